//! Rollouts of service versions as a state machine without I/O or clock: what edges observed of a new version
//! ([`Evidence`]), whether it is worse than those before it ([`Judge`]), and what follows from that and from the
//! operator's term ([`RolloutController`]).
//!
//! Each member plays it by itself, from what all edges report to all members. What is decided is agreed on as a change,
//! so that it does not matter which member decides, or whether several do.

mod controller;
mod evidence;
mod judge;
mod schedule;
mod trial_size;

pub use controller::{Decided, EdgeState, Reason, RolloutController, Surroundings, WaitsFor};
pub use evidence::{Counts, Evidence, RouteOutcomes};
pub use judge::{Judge, RouteShares, Verdict};
pub use schedule::{ExposureBounds, Schedule, TrafficDivision};
