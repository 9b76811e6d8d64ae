//! Edges: their streams, their answers to tables, what they are told of shuts and what they saw.

use lynxmill_protocol::LoadReport;
use lynxmill_time::Timestamp;

use super::PlacementPlanner;

impl PlacementPlanner {
    pub fn edge_joined(&mut self, name: &str) {
        let next = self.proxies;
        let edge = self
            .edges
            .entry(name.to_owned())
            .or_insert((next, 0, false));
        if edge.0 == next {
            self.proxies += 1;
        }
        edge.2 = true;
        edge.1 = 0;
        let proxy = edge.0;
        self.streams.push((proxy, true));
    }

    pub fn edge_parted(&mut self, name: &str) {
        if let Some(edge) = self.edges.get_mut(name) {
            edge.2 = false;
            self.streams.push((edge.0, false));
        }
    }

    pub fn edge_answered(&mut self, name: &str, term: u64, mark: u64) {
        if term == self.berth.term
            && let Some(edge) = self.edges.get_mut(name)
        {
            edge.1 = edge.1.max(mark.min(self.table));
        }
    }

    /// The newest mark that an edge has answered by answering a table.
    pub(super) fn answered(&self, table: u64) -> u64 {
        self.tables
            .iter()
            .rev()
            .find(|(_, number)| **number <= table)
            .map_or(0, |(mark, _)| *mark)
    }

    /// Tells edges of shuts whose owner need not be waited for: it holds nothing, leaves, or missed a beat.
    pub(super) fn tell_shuts(&mut self, now: Timestamp) {
        for (i, place) in self
            .places
            .iter_mut()
            .enumerate()
            .filter(|(_, p)| p.shut.is_some() && !p.told)
        {
            let owner = &place.slice.owner;
            let holds = place.hold.by(now) == Some(owner.as_str());
            let beat = self.holders.get(owner).and_then(|holder| holder.beat);
            if !holds || beat.is_none_or(|at| now - at > self.terms.gather) {
                place.told = true;
                self.dirty.insert(i);
            }
        }
    }

    /// What an edge saw.
    pub fn report(&mut self, report: &LoadReport) {
        let (holders, seen) = (&self.holders, &mut self.seen);
        for task in report.tasks.iter().filter(|t| holders.contains_key(&t.id)) {
            let sums = seen.entry(task.id.clone()).or_default();
            sums.tries += f64::from(task.attempts);
            sums.lost += f64::from(task.failures);
            sums.seconds += f64::from(task.attempts - task.failures.min(task.attempts))
                * task.mean_latency_ms
                / 1000.0;
            sums.held = Some(sums.held.unwrap_or(0.0).max(f64::from(task.in_flight)));
        }
        for slice in report
            .slices
            .iter()
            .filter(|s| s.service == self.terms.service)
        {
            let place = self.places.iter_mut().find(|p| p.slice.from == slice.from);
            place
                .into_iter()
                .for_each(|p| p.requests += f64::from(slice.requests));
        }
    }
}
