//! The state of a placement in the hands of the shard table's owner. Each part of its work is in a
//! file of its own.

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

/// A slice, and what is under way with it.
#[derive(Clone, Debug, Default)]
struct SliceState {
    slice: Slice,
    /// The last grant.
    lease: ShardLease,
    /// The barrier at which it was closed, while it is closed.
    closed_at: Option<u64>,
    /// Edges are told that it is closed: not before its owner can be told with its next heartbeat.
    announced: bool,
    /// The next owner's number: decided, but not on disk yet.
    next_owner: Option<u32>,
    /// Owner and generation of a write that may or may not stand in the register.
    uncertain: Option<(String, u64)>,
    /// What the last owner handed over.
    handover: String,
    /// The owner was granted it: edges may send.
    granted: bool,
    /// Requests since the last report.
    request_count: f64,
    /// Moving average of the requests a second.
    request_rate: f64,
}

/// What edges observed of a task since the last report, summed up.
#[derive(Clone, Debug, Default)]
struct TaskLoad {
    attempts: f64,
    failures: f64,
    seconds: f64,
    in_flight: Option<f64>,
}

/// A task as a holder of leases.
#[derive(Clone, Debug)]
struct LeaseHolder {
    /// Its number among the assigner's tasks.
    number: u32,
    /// Its number among the assigner's proxies.
    proxy: usize,
    /// The last barrier that it has acknowledged.
    acknowledged: u64,
    /// When its last heartbeat was received.
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

/// The placement of one service, in the term of one owner of its shard table.
pub struct PlacementPlanner {
    parameters: Parameters,
    assigner: Assigner,
    stored: ShardTable,
    slices: Vec<SliceState>,
    holders: BTreeMap<String, LeaseHolder>,
    names: BTreeMap<u32, String>,
    edges: BTreeMap<String, EdgeState>,
    proxies: usize,
    /// The assigner's last barrier, and when each was made.
    barrier: u64,
    barrier_times: BTreeMap<u64, Timestamp>,
    /// The sequence number of the last update, and, for each barrier, of the one with all that was
    /// closed by it.
    sequence: u64,
    barrier_sequences: BTreeMap<u64, u64>,
    listed: BTreeMap<String, (Standing, Option<Timestamp>)>,
    loads: BTreeMap<String, TaskLoad>,
    last_report: Timestamp,
    dirty: BTreeSet<usize>,
    send_all: bool,
    writing: bool,
    /// Stored owners that the assigner has still to be told, at the first step.
    owners_to_restore: Option<Vec<Option<u32>>>,
    /// Streams that began or ended since the last step.
    streams: Vec<(usize, bool)>,
    /// Requests a second of each slice, for an assigner that has just begun.
    initial_rates: Option<Vec<f64>>,
    /// The barrier at which the assigner began.
    first_barrier: u64,
    /// When the first task was listed, while nobody has owned anything yet.
    first_listed: Option<Timestamp>,
}

impl PlacementPlanner {
    /// Takes a service over, by what its register holds, in the owner's own term.
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

    /// How long a task holds the keys of a grant.
    pub fn lease_duration(&self) -> TimeDelta {
        self.parameters.lease_duration
    }

    /// The term of the table's owner.
    pub fn term(&self) -> u64 {
        self.stored.term
    }

    /// The sharded service.
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

    /// Requests a second for the keys of each owner.
    pub fn request_rates(&self) -> BTreeMap<&str, f64> {
        let mut rates = BTreeMap::new();
        for state in &self.slices {
            *rates.entry(state.slice.owner.as_str()).or_default() += state.request_rate;
        }
        rates
    }

    /// Tasks that own keys, or may still hold some, once for each slice.
    pub fn holders(&self, now: Timestamp) -> impl Iterator<Item = &str> {
        self.slices.iter().flat_map(move |state| {
            let owner = Some(state.slice.owner.as_str());
            owner.into_iter().chain(state.lease.holder_at(now))
        })
    }

    /// How many slices are being moved, and how many tasks own any.
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
