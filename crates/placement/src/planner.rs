//! A custodian's work: what it is told, one round of decisions a turn, what has to be written before it is
//! told to anyone. The planner's state is here, each part of its work in a file of its own.

mod edge_table;
mod edges;
mod grants;
mod parameters;
mod splitting;
mod step;
mod stored_table;
mod task_listing;

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_assigner::{Assigner, Standing};
use lynxmill_protocol::{ShardTable, Slice};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::shard_lease::ShardLease;

pub use parameters::{
    Grant, HeldShard, Parameters, PlacementStep, ReleasedShard, TaskHoldings, initial_slices,
};

#[derive(Clone, Debug, Default)]
struct SliceState {
    slice: Slice,
    lease: ShardLease,
    /// The mark of its shut, while it is shut.
    closed_at: Option<u64>,
    /// Edges are told of the shut: not before its owner can be told with its next beat.
    announced: bool,
    /// Decided, but not on disk yet.
    next_owner: Option<u32>,
    /// Owner and fence of a write that may or may not stand in the register.
    uncertain: Option<(String, u64)>,
    handover: String,
    /// The owner was granted it: edges may send.
    granted: bool,
    request_count: f64,
    /// Requests a second, of late.
    request_rate: f64,
}

#[derive(Clone, Debug, Default)]
struct TaskLoad {
    attempts: f64,
    failures: f64,
    seconds: f64,
    in_flight: Option<f64>,
}

#[derive(Clone, Debug)]
struct LeaseHolder {
    number: u32,
    proxy: usize,
    acknowledged: u64,
    /// Its last beat.
    last_heartbeat: Option<Timestamp>,
}

/// An edge that has had a stream to this member.
#[derive(Clone, Copy, Debug)]
struct EdgeState {
    /// Its number among the assigner's proxies.
    proxy: usize,
    /// The sequence number of the last update that it has acknowledged on its stream.
    acknowledged: u64,
    joined: bool,
}

/// A placement in one custodian's hands.
pub struct PlacementPlanner {
    parameters: Parameters,
    assigner: Assigner,
    stored: ShardTable,
    slices: Vec<SliceState>,
    holders: BTreeMap<String, LeaseHolder>,
    names: BTreeMap<u32, String>,
    edges: BTreeMap<String, EdgeState>,
    proxies: usize,
    /// The last mark of the assigner, and when each was made.
    barrier: u64,
    barrier_times: BTreeMap<u64, Timestamp>,
    /// The number of the last table that went out, and, for each mark, of the one with all that was shut
    /// by it.
    sequence: u64,
    barrier_sequences: BTreeMap<u64, u64>,
    listed: BTreeMap<String, (Standing, Option<Timestamp>)>,
    loads: BTreeMap<String, TaskLoad>,
    last_report: Timestamp,
    dirty: BTreeSet<usize>,
    send_all: bool,
    writing: bool,
    /// Stored owners that the assigner has still to be told, at the first turn.
    owners_to_restore: Option<Vec<Option<u32>>>,
    /// Streams that began or ended since the last turn.
    streams: Vec<(usize, bool)>,
    /// Requests a second of each slice, for an assigner that has just begun.
    initial_rates: Option<Vec<f64>>,
    /// The mark at which the assigner began.
    first_barrier: u64,
    /// When the first task was listed, while nobody has owned anything yet.
    first_listed: Option<Timestamp>,
}

impl PlacementPlanner {
    /// Takes a service over, by what its register holds, in the custodian's own term.
    pub fn new(now: Timestamp, seed: u64, parameters: Parameters, stored: ShardTable) -> Self {
        let expires = now
            + parameters
                .max_lease_duration
                .times(crate::shard_lease::CLOCK_DRIFT)
            + parameters.edge_lease;
        let state = |slice: &Slice| {
            let holder = (!slice.owner.is_empty()).then(|| slice.owner.clone());
            SliceState {
                slice: slice.clone(),
                granted: holder.is_some(),
                lease: ShardLease { holder, expires },
                ..SliceState::default()
            }
        };
        let slices: Vec<SliceState> = stored.slices.iter().map(state).collect();
        let mut plan = PlacementPlanner {
            assigner: Assigner::new(
                seed,
                now,
                parameters::assigner_facts(&parameters, stored.slices.len()),
            ),
            parameters,
            slices,
            stored,
            holders: BTreeMap::new(),
            names: BTreeMap::new(),
            edges: BTreeMap::new(),
            proxies: 0,
            barrier: 0,
            barrier_times: BTreeMap::new(),
            sequence: 0,
            barrier_sequences: BTreeMap::new(),
            listed: BTreeMap::new(),
            loads: BTreeMap::new(),
            last_report: now,
            dirty: BTreeSet::new(),
            send_all: true,
            writing: false,
            owners_to_restore: None,
            streams: Vec::new(),
            initial_rates: None,
            first_barrier: 0,
            first_listed: None,
        };
        let owners: Vec<String> = plan.slices.iter().map(|p| p.slice.owner.clone()).collect();
        let number = |o: &String| (!o.is_empty()).then(|| plan.lease_holder(o).number);
        plan.owners_to_restore = Some(owners.iter().map(number).collect());
        plan
    }

    /// How long a task holds what a beat's answer names.
    pub fn lease_duration(&self) -> TimeDelta {
        self.parameters.lease_duration
    }

    pub fn term(&self) -> u64 {
        self.stored.term
    }

    pub fn service(&self) -> &str {
        &self.parameters.service
    }

    fn lease_holder(&mut self, id: &str) -> &mut LeaseHolder {
        if !self.holders.contains_key(id) {
            let number = self.holders.len() as u32;
            let proxy = self.proxies;
            self.proxies += 1;
            self.names.insert(number, id.to_owned());
            self.holders.insert(
                id.to_owned(),
                LeaseHolder {
                    number,
                    proxy,
                    acknowledged: 0,
                    last_heartbeat: None,
                },
            );
            self.streams.push((proxy, true));
        }
        self.holders.get_mut(id).expect("was put there")
    }

    /// Slices on their way, and tasks that own any.
    pub fn counts(&self) -> (usize, usize) {
        let owners: BTreeSet<&str> = self.slices.iter().map(|p| p.slice.owner.as_str()).collect();
        (
            self.slices
                .iter()
                .filter(|p| p.closed_at.is_some() || p.next_owner.is_some())
                .count(),
            owners.len(),
        )
    }
}
