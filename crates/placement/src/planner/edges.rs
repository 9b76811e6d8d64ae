//! Edges: their streams, their acknowledgements, which slices they are told are closed, and what
//! they observed.

use lynxmill_protocol::LoadReport;
use lynxmill_time::Timestamp;

use super::{EdgeState, PlacementPlanner};

impl PlacementPlanner {
    /// An edge has opened a stream.
    pub fn edge_joined(&mut self, name: &str) {
        let next_proxy = self.proxies;
        let edge = self.edges.entry(name.to_owned()).or_insert(EdgeState {
            proxy: next_proxy,
            acknowledged: 0,
            joined: true,
        });
        if edge.proxy == next_proxy {
            self.proxies += 1;
        }
        edge.joined = true;
        edge.acknowledged = 0;
        self.streams.push((edge.proxy, true));
    }

    /// An edge's stream has ended.
    pub fn edge_parted(&mut self, name: &str) {
        if let Some(edge) = self.edges.get_mut(name) {
            edge.joined = false;
            self.streams.push((edge.proxy, false));
        }
    }

    /// An edge has acknowledged the update of this sequence number.
    pub fn edge_acknowledged(&mut self, name: &str, term: u64, sequence: u64) {
        if term == self.stored.term
            && let Some(edge) = self.edges.get_mut(name)
        {
            edge.acknowledged = edge.acknowledged.max(sequence.min(self.sequence));
        }
    }

    /// The newest barrier that an edge has acknowledged with an update.
    pub(super) fn acknowledged_barrier(&self, table: u64) -> u64 {
        self.barrier_sequences
            .iter()
            .rev()
            .find(|(_, number)| **number <= table)
            .map_or(0, |(mark, _)| *mark)
    }

    /// Tells edges of closed slices whose owner need not be waited for: it holds nothing, or has
    /// missed a heartbeat.
    pub(super) fn announce_closed(&mut self, now: Timestamp) {
        for (i, place) in self
            .slices
            .iter_mut()
            .enumerate()
            .filter(|(_, p)| p.closed_at.is_some() && !p.announced)
        {
            let owner = &place.slice.owner;
            let holds = place.lease.holder_at(now) == Some(owner.as_str());
            let beat = self
                .holders
                .get(owner)
                .and_then(|holder| holder.last_heartbeat);
            if !holds || beat.is_none_or(|at| now - at > self.parameters.heartbeat_grace) {
                place.announced = true;
                self.dirty.insert(i);
            }
        }
    }

    /// An edge's report.
    pub fn report(&mut self, report: &LoadReport) {
        let (holders, seen) = (&self.holders, &mut self.loads);
        for task in report.tasks.iter().filter(|t| holders.contains_key(&t.id)) {
            let sums = seen.entry(task.id.clone()).or_default();
            sums.attempts += f64::from(task.attempts);
            sums.failures += f64::from(task.failures);
            sums.seconds += f64::from(task.attempts - task.failures.min(task.attempts))
                * task.mean_latency_ms
                / 1000.0;
            sums.in_flight = Some(sums.in_flight.unwrap_or(0.0).max(f64::from(task.in_flight)));
        }
        for slice in report
            .slices
            .iter()
            .filter(|s| s.service == self.parameters.service)
        {
            let state = self.slices.iter_mut().find(|p| p.slice.from == slice.from);
            state
                .into_iter()
                .for_each(|p| p.request_count += f64::from(slice.requests));
        }
    }
}
