//! Admission levels: under overload the least valuable operations are refused first.

use super::{
    ADMISSION_INCREASE, Assigner, MIN_ATTEMPTS, REFUSED_ADMISSION, STRAINED_LATENCY_SHARE,
};
use crate::orders::Orders;

const CALM_LATENCY_SHARE: f64 = 0.6;
const ADMISSION_DECREASE: f64 = 0.31;
const MIN_ADMISSION: f64 = 0.9;
const OVERLOADED_UTILIZATION: f64 = 0.75;

impl Assigner {
    pub(super) fn step_levels(&mut self) {
        let least = MIN_ADMISSION / self.more_valuable.len().max(1) as f64;
        let shows = self.facts.push_delay_max + self.facts.interval.times(2.0);
        for i in self.usables().collect::<Vec<_>>() {
            let (tries, lost, admit) =
                (self.fleet.tries[i], self.fleet.lost[i], self.fleet.admit[i]);
            if self.now - self.fleet.cut[i] < shows.max(self.fleet.span[i])
                || (tries >= MIN_ATTEMPTS && lost >= tries)
            {
                continue;
            }
            let answer = (self.fleet.seconds[i] / (tries - lost).max(1.0)).max(self.queue_time(i));
            let late = answer / (self.usual_objective(admit) * STRAINED_LATENCY_SHARE);
            let strain = if tries < MIN_ATTEMPTS {
                0.0
            } else {
                late * (1.0 + lost / tries)
            };
            // Strained though its cores have time to spare is no overload: letting less in would not help.
            let busy = self.fleet.seen[i]
                .filter(|_| self.facts.held_field.is_none())
                .unwrap_or(1.0);
            if strain > 1.0 && busy > OVERLOADED_UTILIZATION {
                // Guards against a server that is sick by itself: levels have given all, others are well.
                let sick = admit <= least && self.facts.levels_work && lost * 2.0 > tries;
                if sick
                    && !self.fleet.trusted[i]
                    && self.warmth(i) >= 1.0
                    && self.usual_admission() >= REFUSED_ADMISSION
                {
                    self.fleet.suspect[i] = Some(self.now);
                }
                self.fleet.admit[i] =
                    (admit - ADMISSION_DECREASE * (strain - 1.0).min(1.0)).max(least);
                self.fleet.cut[i] = self.now;
                if self.facts.levels_work {
                    (
                        self.fleet.tries[i],
                        self.fleet.lost[i],
                        self.fleet.seconds[i],
                    ) = (0.0, 0.0, 0.0);
                }
            } else if strain < CALM_LATENCY_SHARE
                || busy < OVERLOADED_UTILIZATION * CALM_LATENCY_SHARE
            {
                let most = if self.warmth(i) < 1.0 {
                    self.usual_admission()
                } else {
                    1.0
                };
                self.fleet.admit[i] = (admit + ADMISSION_INCREASE).min(most);
            }
        }
    }

    /// Guards cold servers in an overload: as long as one is cold it lets in what all do on average, or
    /// clients refused elsewhere come down on it at once.
    pub(super) fn usual_admission(&self) -> f64 {
        self.usables().map(|i| self.fleet.admit[i]).sum::<f64>()
            / self.usables().count().max(1) as f64
    }

    /// Mean latency objective, in seconds, of what is let in at an admission.
    pub(super) fn usual_objective(&self, admit: f64) -> f64 {
        let let_in = |k: usize| self.rates[k] * self.level(k, admit);
        let kinds = || 0..self.facts.operations.len();
        let aims: f64 = kinds()
            .map(|k| let_in(k) * self.facts.operations[k].latency_objective.secs())
            .sum();
        if aims > 0.0 {
            aims / kinds().map(let_in).sum::<f64>()
        } else {
            f64::INFINITY
        }
    }

    /// A server's admission as a level of one operation: the cheapest is down to nothing before the next
    /// gives.
    pub(super) fn level(&self, operation: usize, admit: f64) -> f64 {
        let kinds = self.more_valuable.len() as f64;
        (admit * kinds - self.more_valuable[operation]).clamp(0.0, 1.0)
    }

    pub(super) fn write_levels(&mut self, tbl: usize, admit: f64, out: &mut impl Orders) {
        let was = self.slices[tbl].admitted.replace(admit).unwrap_or(1.0);
        for k in 0..self.facts.operations.len() {
            let level = self.level(k, admit);
            if level != self.level(k, was) {
                out.let_in(tbl, 1 << k, level, self.facts.again);
                self.lines += 1.0;
            }
        }
    }
}
