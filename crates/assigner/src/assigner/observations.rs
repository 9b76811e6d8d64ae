//! What proxies report of servers and of demand, as fading sums.

use lynxmill_time::TimeDelta;

use super::Assigner;

/// Weight of an interval's sum in a running mean.
const NEWEST_WEIGHT: f64 = 0.5;
/// Intervals after which a sum counts half, after which it is too old, and tries that make a mean.
const HALF_LIFE_INTERVALS: f64 = 2.0;

impl Assigner {
    /// A probe's result: a suspect that answers is none, but rests for a lease. A jammed one would be given
    /// slices at once, being empty, and jam again.
    pub fn probed(&mut self, task: u32, answered: bool) {
        let i = self.fleet.at(task, self.now);
        self.fleet.proven[i] |= answered;
        if answered && self.fleet.suspect[i].is_some_and(|at| self.now - at > self.facts.lease) {
            self.fleet.forget_health(i);
        }
    }

    pub fn heard(
        &mut self,
        task: u32,
        tries: f64,
        lost: f64,
        elapsed: TimeDelta,
        over: TimeDelta,
        report: &[f64],
    ) {
        let i = self.fleet.at(task, self.now);
        let fresh = self.fresh(over);
        let fleet = &mut self.fleet;
        let tries = tries.max(0.0);
        let lost = lost.clamp(0.0, tries);
        // Where there are no levels only the mover gives relief, which needs the newest picture of a jam.
        let least = if self.facts.levels_work {
            over
        } else {
            TimeDelta::default()
        };
        let half = self.facts.interval.times(HALF_LIFE_INTERVALS).max(least);
        let faded = 0.5f64.powf((self.now - fleet.heard[i]).secs() / half.secs());
        fleet.tries[i] = fleet.tries[i] * faded + tries;
        fleet.lost[i] = fleet.lost[i] * faded + lost;
        fleet.seconds[i] = fleet.seconds[i] * faded + (tries - lost) * elapsed.secs().max(0.0);
        fleet.ended[i] = fleet.ended[i] * faded + tries;
        fleet.over[i] = fleet.over[i] * faded + over.secs().max(0.0);
        (fleet.heard[i], fleet.span[i]) = (self.now, over);
        let field = self.facts.held_field.or(self.facts.busy_field);
        if let Some(value) = field.and_then(|k| report.get(k)).filter(|v| **v >= 0.0) {
            // A count in hand shows a jam at once; how busy the cores are swings, so its mean is kept.
            let weight = if self.facts.held_field.is_some() {
                1.0
            } else {
                fresh
            };
            let before = fleet.seen[i].unwrap_or(*value);
            fleet.seen[i] = Some(before + (value - before) * weight);
        }
        if lost < tries {
            fleet.proven[i] = true;
            fleet.lost_run[i] = 0.0;
            fleet.success[i] += ((tries - lost) / tries - fleet.success[i]) * fresh;
        } else if self.slices.iter().any(|s| s.mine && s.owner == Some(i)) {
            self.fleet.lost_run[i] += lost;
        }
    }

    pub fn demand(&mut self, tbl: usize, operation: usize, tries: f64, over: TimeDelta) {
        let (kinds, seen) = (
            self.facts.operations.len(),
            tries.max(0.0) / over.secs().max(1e-3),
        );
        let weight = self.fresh(over);
        let rate = self.slices[tbl]
            .rate
            .get_or_insert_with(|| vec![0.0; kinds]);
        rate[operation] +=
            (seen - rate[operation]) * if rate[operation] > 0.0 { weight } else { 1.0 };
    }

    /// Weight of the newest sum in a running mean: at full size each covers many intervals.
    pub(super) fn fresh(&self, over: TimeDelta) -> f64 {
        1.0 - (1.0 - NEWEST_WEIGHT)
            .powf(over.secs().max(0.0) / self.facts.interval.secs().max(1e-3))
    }
}
