//! Which slices move: away from servers that drain or have failed, to an owner, and from slow servers.

use super::{
    ADMISSION_INCREASE, Assigner, DRAIN_MESSAGE_SHARE, NEAR_BEST_RATIO, OTHER_MESSAGE_SHARE,
    OWNER_MESSAGE_SHARE, REFUSED_ADMISSION, STRAINED_LATENCY_SHARE,
};
use crate::facts::Standing;
use crate::kept::Slice;
use crate::orders::Orders;

/// A server is slow when its answers take this many times the median (the design's figure).
const SLOW_LATENCY_RATIO: f64 = 2.0;
/// A sick server keeps this part of a fair share; others are well while all let in this much on average.
const MIN_MEAN_ADMISSION: f64 = 0.33;
/// Intervals that a server must stay slow before the mover acts; more where levels give relief first.
const SLOW_INTERVALS: f64 = 4.0;
const RELIEVED_INTERVALS: f64 = 16.0;

impl Assigner {
    /// Moves the slices of servers that drain, then of those gone, suspect or too full for a cold one. Given
    /// slices are published again with what room is left, as drains may fall due right then; one that has no
    /// owner counts as shut by who died.
    pub(super) fn evacuate(&mut self, out: &mut impl Orders) {
        let still = |&t: &usize| self.slices[t].mine && self.slices[t].handover.is_none();
        let mut still: Vec<usize> = (0..self.slices.len()).filter(still).collect();
        let drains = |t: usize| self.slices[t].owner.map(|i| !self.leaves(i));
        still.sort_by(|&a, &b| {
            drains(a)
                .cmp(&drains(b))
                .then(self.heat[b].total_cmp(&self.heat[a]))
        });
        for &tbl in &still {
            let own = |i: usize| self.load[i] - self.others[i];
            let full = |i: usize| self.warmth(i) < 1.0 && own(i) * 0.5 > self.warming_capacity(i);
            let fit = |&i: &usize| self.usable(i) && !full(i);
            let owner = self.slices[tbl].owner;
            // Only rules 1 and 3 are in a hurry; for the rest there must be messages left to publish with.
            let part = if owner.is_some_and(|i| self.listed_ready(i)) {
                OWNER_MESSAGE_SHARE
            } else {
                DRAIN_MESSAGE_SHARE
            };
            if owner.filter(fit).is_none() && self.may_write(part) {
                owner.inspect(|&i| self.load[i] -= self.heat[tbl]);
                self.shut(tbl, out);
            }
        }
        for tbl in still {
            let Slice {
                republish,
                owner: Some(i),
                handover: None,
                ..
            } = self.slices[tbl]
            else {
                continue;
            };
            if republish && self.may_write(OTHER_MESSAGE_SHARE) {
                self.publish(tbl, i, out);
            }
        }
    }

    /// Shuts the slices that operators want elsewhere; a wish that can't be granted any more is dropped.
    pub(super) fn grant(&mut self, out: &mut impl Orders) {
        for tbl in 0..self.slices.len() {
            let Slice {
                mine: true,
                wish: Some(i),
                handover: None,
                owner,
                ..
            } = self.slices[tbl]
            else {
                continue;
            };
            if owner == Some(i) || !self.usable(i) || !self.fits(i, self.heat[tbl]) {
                self.slices[tbl].wish = None;
            } else if self.may_write(OTHER_MESSAGE_SHARE) {
                owner.inspect(|&o| self.load[o] -= self.heat[tbl]);
                self.load[i] += self.heat[tbl];
                self.shut(tbl, out);
            }
        }
    }

    /// The mover: a slow server loaded above the mean hands its hottest slice to the roomiest. Where all
    /// others are well and levels do nothing the server is sick, and hands most.
    pub(super) fn balance(&mut self, out: &mut impl Orders) {
        let mut answers: Vec<f64> = self.usables().filter_map(|i| self.elapsed(i)).collect();
        answers.sort_by(f64::total_cmp);
        let Some(&median) = answers.get(answers.len() / 2) else {
            return;
        };
        let size: f64 = self.usables().map(|i| self.fleet.size[i]).sum();
        let fair = self.load.iter().sum::<f64>() / size.max(1e-9);
        // Where the fleet has grown its new servers are filled up to a fair share without a wait; in a
        // deploy, where as many go, that shuffles slices for nothing.
        let hold = self.facts.interval.times(if self.facts.levels_work {
            RELIEVED_INTERVALS
        } else {
            SLOW_INTERVALS
        });
        let objective = self.usual_objective(1.0) * STRAINED_LATENCY_SHARE;
        let gone = self
            .all()
            .filter(|&i| self.fleet.standing[i] != Standing::Ready)
            .count();
        let grown = self.usables().filter(|&i| self.new_here(i)).count() > gone;
        let mut due: Vec<(usize, bool)> = Vec::new();
        for i in self.all() {
            let late = self.usable(i)
                && self
                    .elapsed(i)
                    .is_some_and(|e| e > median * SLOW_LATENCY_RATIO);
            let since = self.fleet.slow_since[i].unwrap_or(self.now);
            let slow = late && self.load[i] > fair * self.fleet.size[i];
            self.fleet.slow_since[i] = slow.then_some(since);
            let held = self.now - since >= hold;
            due.extend((slow && (held || grown)).then_some((i, held)));
        }
        due.sort_by(|a, b| self.ratio(b.0, 0.0).total_cmp(&self.ratio(a.0, 0.0)));
        let calm = !self.facts.levels_work
            && median < objective
            && self.usual_admission() >= REFUSED_ADMISSION;
        for (from, held) in due {
            let enough = if calm && held {
                fair * self.fleet.size[from] * MIN_MEAN_ADMISSION
            } else {
                self.load[from]
            };
            let most = (!held).then_some(fair);
            while self.may_write(OTHER_MESSAGE_SHARE)
                && self.hand_over(from, most, out)
                && self.load[from] > enough
            {}
        }
    }

    /// Shuts the hottest slice that some other server can take without being worse off than `from` is; where
    /// `most` is told only a new one up to that ratio.
    pub(super) fn hand_over(
        &mut self,
        from: usize,
        most: Option<f64>,
        out: &mut impl Orders,
    ) -> bool {
        let rests = |s: &Slice| s.mine && s.owner == Some(from) && s.handover.is_none();
        let mut held: Vec<usize> = (0..self.slices.len())
            .filter(|&t| rests(&self.slices[t]))
            .collect();
        held.sort_by(|&a, &b| self.heat[b].total_cmp(&self.heat[a]));
        for tbl in held {
            let heat = self.heat[tbl];
            if let Some(to) = self.server_with_most_room(heat, Some(from))
                && self.ratio(to, heat) * NEAR_BEST_RATIO < self.ratio(from, 0.0)
                && most.is_none_or(|most| self.new_here(to) && self.ratio(to, heat) < most)
            {
                self.load[from] -= heat;
                self.load[to] += heat;
                self.fleet.slow_since[from] = None;
                self.shut(tbl, out);
                return true;
            }
        }
        false
    }

    /// Guards against overload, whatever lies behind it: a strained server lets in less, the operation with
    /// the least billed value for its work first, and more again as soon as it answers well. Losses weigh
    /// only where answers are slow as well: broken connections alone are no overload.
    pub(super) fn relieve(&mut self, out: &mut impl Orders) {
        if self.now - self.last_step >= self.facts.interval.max(self.facts.push_delay_max) {
            self.last_step = self.now;
            self.step_levels();
        }
        if !self.facts.levels_work || !self.may_write(OTHER_MESSAGE_SHARE) {
            return;
        }
        let mut due: Vec<(f64, usize, f64)> = Vec::new();
        for (tbl, slice) in self.slices.iter().enumerate() {
            let Slice {
                mine: true,
                owner: Some(i),
                handover: None,
                admitted,
                ..
            } = *slice
            else {
                continue;
            };
            let (admit, was) = (self.fleet.admit[i], admitted.unwrap_or(1.0));
            if (admit - was).abs() >= ADMISSION_INCREASE || (admit == 1.0 && was < 1.0) {
                due.push(((admit - was).abs() * self.heat[tbl], tbl, admit));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, tbl, admit) in due {
            if self.may_write(OTHER_MESSAGE_SHARE) {
                self.write_levels(tbl, admit, out);
            }
        }
    }
}
