//! What a placement is told and what it tells.

use lynxmill_assigner::{Facts, Operation};
use lynxmill_protocol::{ShardTable, ShardTableUpdate, Slice};
use lynxmill_time::TimeDelta;

/// Keys go from 0 to this.
const LAST_KEY: u32 = 65535;
/// A cold task's part of a warm one's capacity, and what pushes it over, in fair shares: the pages tell
/// neither.
const COLD_FROM: f64 = 0.3;
const TIPS_AT: f64 = 3.0;
/// Room in the channel to edges is no concern of placement here: streams push back by themselves.
const AMPLE: f64 = 1e9;

/// What a placement goes by.
#[derive(Clone, Debug)]
pub struct Terms {
    pub service: String,
    /// The least `TargetS` of its routes.
    pub aim: TimeDelta,
    pub hold: TimeDelta,
    /// Longest hold that anyone may have granted.
    pub longest_hold: TimeDelta,
    /// After a dropped stream, and as the quiet time after a take-over.
    pub lease: TimeDelta,
    /// How long edges' reports cover.
    pub interval: TimeDelta,
    pub drain: TimeDelta,
    /// How long tasks may take to be heard of after the first, before slices without owner are given out.
    pub gather: TimeDelta,
    pub warm_after: TimeDelta,
    /// Slices that it may be cut into where the requests are: rows of a beat's answer are bounded.
    pub most: usize,
}

/// Slices of a service that nobody has owned yet.
pub fn fresh(count: u32) -> Vec<Slice> {
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

/// A row of a beat's answer: from, to, fence, handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    pub from: u32,
    pub to: u32,
    pub fence: u64,
    pub handover: String,
}

/// What a beat says of keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    pub id: String,
    /// From, to, fence.
    pub holdings: Vec<(u32, u32, u64)>,
    /// From, to, handover.
    pub released: Vec<(u32, u32, String)>,
}

/// What has to be carried out after a turn: first the write, then the table.
#[derive(Clone, Debug, Default)]
pub struct PlacementStep {
    pub write: Option<ShardTable>,
    pub table: Option<ShardTableUpdate>,
    /// Slices that stay as an edge keeps silent.
    pub stays: usize,
    pub moves: usize,
}

/// The terms as the root crate's `Assigner` takes them.
pub(super) fn facts(terms: &Terms, slices: usize) -> Facts {
    Facts {
        operations: vec![Operation {
            name: "all".to_owned(),
            billed_value: 1.0,
            latency_objective: terms.aim,
        }],
        slices,
        assigners: 1,
        position: Some(0),
        dropped_stay_open: false,
        held_field: Some(0),
        interval: terms.interval,
        zones: 1.0,
        bare: terms.lease.times(4.0),
        lease: terms.lease,
        push_delay: TimeDelta::from_micros(20_000),
        push_delay_max: TimeDelta::from_micros(200_000),
        lines_per_s: AMPLE,
        drain_grace: terms.drain,
        most_waiting: AMPLE,
        pushes_allowed: f64::INFINITY,
        reload_span: terms.interval,
        cold_from: COLD_FROM,
        tip_multiple: TIPS_AT,
        warm_after: terms.warm_after,
        ..Facts::default()
    }
}
