//! One run of a plan.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

use lynxmill_time::{TimeDelta, Timestamp};

use crate::digest::EffectDigest;
use crate::faults::Plan;
use crate::violation::Violation;
use crate::world::{RunOptions, World};

/// What a run came to.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// The first violation, and when it was seen.
    pub violation: Option<(Timestamp, Violation)>,
    /// Simulated time, and steps of nodes.
    pub elapsed: TimeDelta,
    pub steps: u64,
    pub orders: usize,
    /// Rollouts that were completed, and reverted.
    pub rollouts: (usize, usize),
    /// Of all that nodes did, if one was asked for.
    pub digest: Option<u128>,
    pub trace: Vec<String>,
}

fn message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()))
        .unwrap_or_default()
}

/// Plays a plan; a panic in a node is a violation.
pub fn run(plan: &Plan, options: &RunOptions) -> RunReport {
    let mut world = World::new(plan.clone(), options.clone());
    let violation = match catch_unwind(AssertUnwindSafe(|| world.run())) {
        Ok(violation) => violation,
        Err(panic) => {
            let message = message(panic.as_ref());
            Some((
                Timestamp::default() + world.elapsed(),
                Violation::Panicked { message },
            ))
        }
    };
    RunReport {
        violation,
        elapsed: world.elapsed(),
        steps: world.steps,
        orders: world.ledger.orders.len(),
        rollouts: world.ledger.rollouts.ended(),
        digest: world.digest.as_ref().map(EffectDigest::value),
        trace: std::mem::take(&mut world.trace),
    }
}
