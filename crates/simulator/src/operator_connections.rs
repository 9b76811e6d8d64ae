//! The connections of operators to machines, and what a machine can know of the order of calls on them.

use std::collections::BTreeMap;

use crate::random::Random;

/// How many of the calls go over a connection that was kept, if there is one.
const KEPT_SHARE: f64 = 0.5;

/// For each operator's connection to a machine, the last change that the machine had merged when it established the
/// connection, or gave the last answer on it.
#[derive(Debug)]
pub(crate) struct OperatorConnections {
    known: BTreeMap<(usize, usize), u64>,
    random: Random,
    keeps: bool,
}

impl OperatorConnections {
    pub(crate) fn new(seed: u64, keeps: bool) -> Self {
        OperatorConnections {
            known: BTreeMap::new(),
            random: Random::new(seed, "operators' connections"),
            keeps,
        }
    }

    /// An operator calls a machine that has merged changes up to `merged`: the last change of which the machine can know
    /// that it was merged before the call was sent.
    pub(crate) fn call(&mut self, operator: usize, machine: usize, merged: u64) -> u64 {
        let kept = self.keeps && self.random.chance(KEPT_SHARE);
        let known = self.known.entry((operator, machine)).or_insert(merged);
        if !kept {
            *known = merged;
        }
        (*known).min(merged)
    }

    /// A machine answers an operator.
    pub(crate) fn answered(&mut self, operator: usize, machine: usize, merged: u64) {
        self.known.insert((operator, machine), merged);
    }
}
