//! What an instance is told at its start, decoded once, and a server's entry in the list.

use lynxmill_time::{TimeDelta, Timestamp};

#[derive(Clone, Debug)]
pub struct Operation {
    pub name: String,
    pub billed_value: f64,
    pub latency_objective: TimeDelta,
}

#[derive(Clone, Debug, Default)]
pub struct Facts {
    pub operations: Vec<Operation>,
    pub slices: usize,
    /// How many assigners there are, and which of them this is, from 0, where that is told.
    pub assigners: usize,
    pub position: Option<usize>,
    pub proxies: usize,
    pub list_on_request: bool,
    pub ask_within: TimeDelta,
    pub probes: bool,
    pub dropped_stay_open: bool,
    pub levels_work: bool,
    pub again: u8,
    /// Where load reports tell the invocations in hand, and how busy the cores are.
    pub held_field: Option<usize>,
    pub busy_field: Option<usize>,
    pub interval: TimeDelta,
    /// How many zones sums come from.
    pub zones: f64,
    pub bare: TimeDelta,
    pub lease: TimeDelta,
    pub settle: TimeDelta,
    pub push_delay: TimeDelta,
    pub push_delay_max: TimeDelta,
    pub overhead: f64,
    pub lines_per_s: f64,
    pub drain_grace: TimeDelta,
    pub most_waiting: f64,
    /// Infinite where there is no such limit.
    pub pushes_allowed: f64,
    pub reload_span: TimeDelta,
    pub cold_from: f64,
    pub tip_multiple: f64,
    pub warm_after: TimeDelta,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Listing {
    pub task: u32,
    /// A number that all assigners give it alike, whatever they know it by.
    pub lot: u32,
    pub standing: Standing,
    pub size: Option<f64>,
    pub started: Option<Timestamp>,
}

/// A server as an operator sees it.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub standing: Standing,
    pub out: bool,
    pub trusted: bool,
    pub weight: f64,
    pub suspect: bool,
    pub admit: f64,
    pub load: f64,
}
