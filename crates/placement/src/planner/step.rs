//! One step of a placement: what was observed since the last one goes to the assigner, and its decisions
//! become a table to be written and an update for the edges.

use std::collections::BTreeMap;
use std::convert::Infallible;

use lynxmill_assigner::{Assigner, Listing};
use lynxmill_protocol::{ShardTable, Task};
use lynxmill_time::{TimeDelta, Timestamp};

use super::{PlacementPlanner, PlacementStep, TaskLoad};
use crate::decisions::Decisions;

/// Weight of the newest interval in the moving average of a slice's request rate.
const NEWEST_RATE_WEIGHT: f64 = 0.6;
/// How many barriers are remembered; the assigner's own numbers have 16 bits.
const MAX_BARRIERS: usize = 256;
/// The part of a barrier's number that the assigner knows.
const BARRIER_MASK: u64 = 0xffff;

/// A proxy and the newest barrier that it has acknowledged.
#[derive(Clone, Copy, Debug)]
struct BarrierAcknowledgement {
    proxy: usize,
    barrier: u64,
}

/// What edges reported over an interval.
#[derive(Debug, Default)]
struct Observations {
    loads: BTreeMap<String, TaskLoad>,
    /// Requests for each slice; empty if there were none at all.
    demand: Vec<f64>,
}

/// Everything that the assigner is given in one round.
struct RoundInput {
    listed: Vec<Listing>,
    restored_owners: Vec<Option<u32>>,
    streams: Vec<(usize, bool)>,
    acknowledgements: Vec<BarrierAcknowledgement>,
    observations: Observations,
    /// The time that the observations cover.
    elapsed: TimeDelta,
    initial_rates: Vec<f64>,
}

impl PlacementPlanner {
    /// Takes one step: `tasks` are all known tasks, `is_evacuated` tells evacuated zones.
    pub fn step(
        &mut self,
        now: Timestamp,
        tasks: &[Task],
        is_evacuated: &dyn Fn(&str) -> bool,
    ) -> PlacementStep {
        let listed = if self.is_gathering(now, tasks) {
            Vec::new()
        } else {
            self.divide_for(now, self.ready_count(tasks));
            self.listings(now, tasks, is_evacuated)
        };
        let acknowledgements = self.acknowledgements(now);
        let elapsed = now - self.last_report;
        let is_due = elapsed >= self.parameters.interval;
        let observations = if is_due {
            self.last_report = now;
            self.take_observations(elapsed)
        } else {
            Observations::default()
        };
        let input = RoundInput {
            listed,
            restored_owners: self.owners_to_restore.take().unwrap_or_default(),
            streams: std::mem::take(&mut self.streams),
            acknowledgements,
            observations,
            elapsed,
            initial_rates: self.initial_rates.take().unwrap_or_default(),
        };
        let decisions = self.decide(now, &input);
        let step = self.carry_out(now, decisions);
        if is_due && step.write.is_none() {
            self.split(now);
        }
        step
    }

    /// What tasks and edges have newly acknowledged. A task acknowledges a barrier by holding none of the
    /// slices that were closed by it.
    fn acknowledgements(&mut self, now: Timestamp) -> Vec<BarrierAcknowledgement> {
        // Nobody has acknowledged what edges have not been told: one that joins now would get the slice
        // open.
        let announced = self
            .barrier_sequences
            .last_key_value()
            .map_or(0, |(barrier, _)| *barrier);
        let mut acknowledgements = Vec::new();
        let first_closed = self.first_closed_by_holder(now);
        for holder in self.holders.values_mut() {
            let id = &self.names[&holder.number];
            let barrier = first_closed
                .get(id)
                .map_or(self.barrier, |closed_at| closed_at.saturating_sub(1))
                .min(announced);
            if barrier > holder.acknowledged {
                holder.acknowledged = barrier;
                acknowledgements.push(BarrierAcknowledgement {
                    proxy: holder.proxy,
                    barrier,
                });
            }
        }
        let edges = self.edges.values().filter(|edge| edge.joined);
        acknowledgements.extend(edges.map(|edge| BarrierAcknowledgement {
            proxy: edge.proxy,
            barrier: self.acknowledged_barrier(edge.acknowledged),
        }));
        acknowledgements
    }

    /// For each task that holds a closed slice, the first barrier at which one was closed.
    fn first_closed_by_holder(&self, now: Timestamp) -> BTreeMap<String, u64> {
        let mut first: BTreeMap<String, u64> = BTreeMap::new();
        for slice in &self.slices {
            let holder = slice.lease.holder_at(now);
            if let (Some(barrier), Some(id)) = (slice.closed_at, holder) {
                let known = first.entry(id.to_owned()).or_insert(barrier);
                *known = barrier.min(*known);
            }
        }
        first
    }

    /// What edges have reported since the last time, over `elapsed`.
    fn take_observations(&mut self, elapsed: TimeDelta) -> Observations {
        let mut demand = Vec::with_capacity(self.slices.len());
        for slice in &mut self.slices {
            let requests = std::mem::take(&mut slice.request_count);
            let rate = requests / elapsed.secs();
            slice.request_rate += (rate - slice.request_rate) * NEWEST_RATE_WEIGHT;
            demand.push(requests);
        }
        // No request at all tells nothing of where they will be: without demand all slices look alike.
        if demand.iter().sum::<f64>() <= 0.0 {
            demand.clear();
        }
        Observations {
            loads: std::mem::take(&mut self.loads),
            demand,
        }
    }

    /// One round of the assigner.
    fn decide(&mut self, now: Timestamp, input: &RoundInput) -> Decisions {
        let (holders, barrier_times) = (&self.holders, &self.barrier_times);
        let first_barrier = self.first_barrier;
        let feed = |assigner: &mut Assigner| {
            feed_membership(assigner, input);
            for acknowledgement in &input.acknowledgements {
                let barrier = acknowledgement.barrier;
                if barrier <= first_barrier {
                    continue;
                }
                let elapsed = barrier_times
                    .get(&barrier)
                    .map_or(TimeDelta::default(), |at| now - *at);
                let number = ((barrier - first_barrier) & BARRIER_MASK) as u16;
                assigner.answered(acknowledgement.proxy, number, elapsed);
            }
            for (id, load) in &input.observations.loads {
                feed_load(assigner, holders[id].number, load, input.elapsed);
            }
            feed_demand(assigner, input);
            Ok::<(), Infallible>(())
        };
        let mut decisions = Decisions::default();
        let Ok(()) = self.assigner.round(now, feed, &mut decisions);
        decisions
    }

    fn carry_out(&mut self, now: Timestamp, decisions: Decisions) -> PlacementStep {
        if decisions.barrier.is_some() {
            self.begin_barrier(now);
        }
        let moves = decisions.published.len();
        for (index, number) in decisions.published {
            let slice = &mut self.slices[index];
            (slice.next_owner, slice.closed_at) = (Some(number), None);
            self.writing = true;
        }
        // A slice that was published before, or in this very step, stays closed once that is written.
        for index in decisions.closed {
            let slice = &mut self.slices[index];
            (slice.closed_at, slice.announced) = (Some(self.barrier), false);
        }
        self.announce_closed(now);
        let write = self.take_write();
        let table = (!self.dirty.is_empty() || self.send_all).then(|| self.next_update());
        self.record_announced_barriers();
        PlacementStep {
            write,
            table,
            stays: decisions.staying.len(),
            moves,
        }
    }

    fn begin_barrier(&mut self, now: Timestamp) {
        self.barrier += 1;
        self.barrier_times.insert(self.barrier, now);
        let oldest = self.barrier.saturating_sub(MAX_BARRIERS as u64);
        self.barrier_times.retain(|barrier, _| *barrier > oldest);
    }

    /// The table to be written, if it differs from the stored one.
    fn take_write(&mut self) -> Option<ShardTable> {
        if !std::mem::take(&mut self.writing) {
            return None;
        }
        let table = self.table_with_decisions();
        if table == self.stored {
            // The same owners go on: that is on disk already.
            self.written(table);
            return None;
        }
        Some(table)
    }

    /// Remembers by which update edges were told of each barrier's closed slices.
    fn record_announced_barriers(&mut self) {
        let first_unannounced = self
            .slices
            .iter()
            .filter(|slice| !slice.announced)
            .filter_map(|slice| slice.closed_at)
            .min();
        let announced = first_unannounced.map_or(self.barrier, |barrier| barrier - 1);
        let next = self
            .barrier_sequences
            .last_key_value()
            .map_or(1, |(barrier, _)| barrier + 1);
        for barrier in next..=announced {
            self.barrier_sequences.insert(barrier, self.sequence);
        }
        while self.barrier_sequences.len() > MAX_BARRIERS {
            self.barrier_sequences.pop_first();
        }
    }
}

/// Stored owners, streams and tasks.
fn feed_membership(assigner: &mut Assigner, input: &RoundInput) {
    for (slice, owner) in input.restored_owners.iter().enumerate() {
        assigner.custody(slice, true);
        if let Some(number) = owner {
            assigner.stored(slice, *number);
        }
    }
    for (proxy, joined) in &input.streams {
        if *joined {
            assigner.joined(*proxy);
        } else {
            assigner.parted(*proxy);
        }
    }
    if !input.listed.is_empty() {
        assigner.listed(false, false, &input.listed);
    }
}

fn feed_load(assigner: &mut Assigner, number: u32, load: &TaskLoad, elapsed: TimeDelta) {
    let answered = (load.attempts - load.failures).max(1.0);
    let latency = TimeDelta::from_secs(load.seconds / answered);
    let in_flight: Vec<f64> = load.in_flight.into_iter().collect();
    assigner.heard(
        number,
        load.attempts,
        load.failures,
        latency,
        elapsed,
        &in_flight,
    );
}

fn feed_demand(assigner: &mut Assigner, input: &RoundInput) {
    for (slice, rate) in input.initial_rates.iter().enumerate() {
        assigner.demand(slice, 0, *rate, TimeDelta::from_secs(1.0));
    }
    for (slice, requests) in input.observations.demand.iter().enumerate() {
        assigner.demand(slice, 0, *requests, input.elapsed);
    }
}
