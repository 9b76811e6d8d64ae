//! Which servers are usable, and which are suspected to have failed.

use super::Assigner;
use crate::facts::Standing;
use crate::fleet::Fleet;
use crate::orders::Orders;

/// Successes in a row that must be missing, from all zones, before a server is suspect.
const FAILURES_UNTIL_SUSPECT: f64 = 8.0;
/// The same for one that the list has dropped or others doubt, as a part: own eyes must see it too.
const UNLISTED_FAILURE_SHARE: f64 = 0.25;

impl Assigner {
    pub(super) fn all(&self) -> std::ops::Range<usize> {
        0..self.fleet.task.len()
    }

    pub(super) fn usables(&self) -> impl Iterator<Item = usize> {
        self.all().filter(|&i| self.usable(i))
    }

    /// Guards against listed servers that don't exist: where they can be probed, they must answer once.
    pub(super) fn usable(&self, i: usize) -> bool {
        let proven = self.fleet.proven[i] || !self.facts.probes;
        self.listed_ready(i) && self.fleet.suspect[i].is_none() && proven
    }

    pub(super) fn listed_ready(&self, i: usize) -> bool {
        self.fleet.standing[i] == Standing::Ready && !self.fleet.out[i]
    }

    /// It drains, by the list or by hand.
    pub(super) fn leaves(&self, i: usize) -> bool {
        self.fleet.standing[i] == Standing::Draining || self.fleet.out[i]
    }

    /// Guards against servers that answer no one, long before the list tells. A jammed server loses many
    /// tries too, but it did so before: what counts is how many successes should have come by its share of
    /// late. When half the fleet looks dead the servers are not the cause, and owners stay.
    pub(super) fn suspect(&mut self, out: &mut impl Orders) {
        let trial = self.facts.lease.times(4.0);
        let ready: Vec<usize> = self
            .all()
            .filter(|&i| self.fleet.standing[i] == Standing::Ready)
            .collect();
        let bar = |f: &Fleet, i: usize| {
            if f.dropped[i] || f.doubted[i] {
                UNLISTED_FAILURE_SHARE
            } else {
                1.0
            }
        };
        let run = |f: &Fleet, i: usize| f.lost_run[i] * f.success[i] / bar(f, i);
        let silent = |f: &Fleet, i: usize| {
            f.suspect[i].is_some() || (run(f, i) >= FAILURES_UNTIL_SUSPECT && !f.trusted[i])
        };
        let dead = ready.iter().filter(|&&i| silent(&self.fleet, i)).count();
        for i in ready.iter().copied() {
            let due = self.fleet.probed[i].is_none_or(|at| self.now - at >= self.facts.interval);
            let doubtful = self.fleet.suspect[i].is_some() || !self.fleet.proven[i];
            if self.facts.probes && due && doubtful {
                self.fleet.probed[i] = Some(self.now);
                out.probe(self.fleet.task[i]);
            }
            if self.fleet.suspect[i].is_some_and(|at| self.now - at > trial) {
                self.fleet.forget_health(i);
            } else if self.fleet.suspect[i].is_none()
                && silent(&self.fleet, i)
                && dead * 2 <= ready.len()
            {
                self.fleet.suspect[i] = Some(self.now);
                out.answers_no_one(self.fleet.task[i]);
            }
        }
    }
}
