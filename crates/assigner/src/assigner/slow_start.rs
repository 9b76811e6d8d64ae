//! How much a server that warms up can take.

use super::Assigner;

/// Fair shares, by its warmth, that a cold server may be given, as part of the multiple that pushes it over.
const WARMING_CAPACITY_SHARE: f64 = 0.55;

impl Assigner {
    /// Fraction of its capacity that a server surely has by now.
    pub(super) fn warmth(&self, i: usize) -> f64 {
        let Some(started) = self.fleet.started[i] else {
            return 1.0;
        };
        let age = (self.now - started).secs() / self.facts.warm_after.secs().max(1e-3);
        let least = self.facts.cold_from.clamp(0.01, 1.0);
        (least + (1.0 - least) * age).clamp(least, 1.0)
    }

    pub(super) fn new_here(&self, i: usize) -> bool {
        self.fleet.started[i].is_some_and(|s| s > self.started)
    }

    /// What a cold server may hold of all instances together.
    pub(super) fn warming_capacity(&self, i: usize) -> f64 {
        let share = self.facts.tip_multiple * WARMING_CAPACITY_SHARE;
        self.cold_fair * self.fleet.size[i] * self.warmth(i) * share / self.share.max(1e-9)
    }
}
