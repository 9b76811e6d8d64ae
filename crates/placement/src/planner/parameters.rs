//! What a placement is configured with, what it is told and what it asks for.

use lynxmill_assigner::{Facts, Operation};
use lynxmill_protocol::{ShardTable, ShardTableUpdate, Slice};
use lynxmill_time::TimeDelta;

/// Keys go from 0 to this one.
const LAST_KEY: u32 = 65535;
/// The capacity of a warming task as a fraction of a warm one's; no page states it.
const WARMING_CAPACITY: f64 = 0.3;
/// A warming task is overloaded by so many times its fair share; no page states it.
const WARMING_OVERLOAD: f64 = 3.0;
/// Streams to edges exert back pressure by themselves, so the assigner has no message budget here.
const UNLIMITED: f64 = 1e9;
/// After losing its last server a slice may be unavailable for so many edge leases.
const UNAVAILABLE_LEASES: f64 = 4.0;
/// How long an update takes to reach the edges, as a mean and at most.
const PUSH_DELAY: TimeDelta = TimeDelta::from_micros(20_000);
const MAX_PUSH_DELAY: TimeDelta = TimeDelta::from_micros(200_000);

/// The configuration of one service's placement.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// The sharded service.
    pub service: String,
    /// The shortest latency target of the service's routes.
    pub latency_target: TimeDelta,
    /// How long a task holds the keys of a grant, from when it sent the heartbeat.
    pub lease_duration: TimeDelta,
    /// The longest lease that any former owner of the table may have granted.
    pub max_lease_duration: TimeDelta,
    /// How long an edge may go on by its table after its stream has dropped; also the quiet time after a
    /// take-over.
    pub edge_lease: TimeDelta,
    /// The interval of the edges' reports.
    pub interval: TimeDelta,
    /// How long a draining task serves on.
    pub drain: TimeDelta,
    /// How long tasks may take to send a first heartbeat, before slices without an owner are assigned.
    pub heartbeat_grace: TimeDelta,
    /// How long a task warms up.
    pub warm_up: TimeDelta,
    /// How many slices busy ranges may be split into: the grants of one answer are bounded.
    pub max_slices: usize,
}

/// `count` slices of equal width without an owner.
pub fn initial_slices(count: u32) -> Vec<Slice> {
    let step = (LAST_KEY + 1) / count;
    let slice = |i: u32| Slice {
        from: i * step,
        to: if i + 1 == count {
            LAST_KEY
        } else {
            (i + 1) * step - 1
        },
        ..Slice::default()
    };
    (0..count).map(slice).collect()
}

/// Keys that a task is to hold, as the answer to its heartbeat names them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The first key.
    pub from: u32,
    /// The last key, included.
    pub to: u32,
    /// The fencing token: requests and grants of an older one are refused by the task.
    pub generation: u64,
    /// What the former owner handed over with its release; empty without one.
    pub handover: String,
}

/// Keys that a task holds, as its heartbeat names them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldShard {
    /// The first key.
    pub from: u32,
    /// The last key, included.
    pub to: u32,
    /// The fencing token of the grant.
    pub generation: u64,
}

/// Keys that a task has let go since its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedShard {
    /// The first key.
    pub from: u32,
    /// The last key, included.
    pub to: u32,
    /// For the next owner.
    pub handover: String,
}

/// What a heartbeat says of keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskHoldings {
    /// The task's `InstanceId`.
    pub id: String,
    /// Keys that it holds.
    pub held: Vec<HeldShard>,
    /// Keys that it has let go.
    pub released: Vec<ReleasedShard>,
}

/// What has to be carried out after a step: first the write, then the update.
#[derive(Clone, Debug, Default)]
pub struct PlacementStep {
    /// The table to be written to the service's register.
    pub write: Option<ShardTable>,
    /// The update to be sent to all edges.
    pub table: Option<ShardTableUpdate>,
    /// Slices that stay where they are since an edge does not answer.
    pub stays: usize,
    /// Slices that get another owner by this step's write.
    pub moves: usize,
}

/// The parameters as the assigner takes them.
pub(super) fn assigner_facts(parameters: &Parameters, slices: usize) -> Facts {
    Facts {
        operations: vec![Operation {
            name: "all".to_owned(),
            billed_value: 1.0,
            latency_objective: parameters.latency_target,
        }],
        slices,
        assigners: 1,
        position: Some(0),
        dropped_stay_open: false,
        held_field: Some(0),
        interval: parameters.interval,
        zones: 1.0,
        bare: parameters.edge_lease.times(UNAVAILABLE_LEASES),
        lease: parameters.edge_lease,
        push_delay: PUSH_DELAY,
        push_delay_max: MAX_PUSH_DELAY,
        lines_per_s: UNLIMITED,
        drain_grace: parameters.drain,
        most_waiting: UNLIMITED,
        pushes_allowed: f64::INFINITY,
        reload_span: parameters.interval,
        cold_from: WARMING_CAPACITY,
        tip_multiple: WARMING_OVERLOAD,
        warm_after: parameters.warm_up,
        ..Facts::default()
    }
}
