//! Which servers there are, by the list, and which slices this assigner owns.

use super::Assigner;
use crate::facts::{Listing, Standing};
use crate::kept::Slice;

/// Part of the time within which the list must be asked for, after which a failed call is made again.
const LIST_RETRY_SHARE: f64 = 0.15;

impl Assigner {
    /// The list, whole or only what changed; one `remembered` from before a start may be out of date.
    pub fn listed(&mut self, complete: bool, remembered: bool, entries: &[Listing]) {
        self.subscribed |= !remembered;
        if complete {
            for i in self.all() {
                if !entries.iter().any(|e| e.task == self.fleet.task[i]) {
                    self.stand(i, Standing::Gone);
                }
            }
        }
        for entry in entries {
            let i = self.fleet.at(entry.task, self.now);
            self.stand(i, entry.standing);
            self.fleet.lot[i] = entry.lot;
            self.fleet.size[i] =
                entry.size.filter(|&s| s > 0.0).unwrap_or(1.0) * self.fleet.weight[i];
            if entry.started != self.fleet.started[i] {
                self.fleet.started[i] = entry.started;
                self.fleet.forget_health(i);
                self.fleet.admit[i] = self.usual_admission();
            }
        }
        self.forget();
    }

    /// Guards the memory against every server ever listed: of those that have gone and own nothing no more
    /// are kept than there are others.
    pub(super) fn forget(&mut self) {
        while self.usables().count() * 2 < self.all().len() {
            let owned = |i: usize| self.slices.iter().any(|s| s.owner == Some(i));
            let gone =
                |&i: &usize| self.fleet.standing[i] == Standing::Gone && !self.fleet.dropped[i];
            let Some(i) = self.all().find(|i| gone(i) && !owned(*i)) else {
                return;
            };
            self.fleet.remove(i);
            let last = Some(self.fleet.task.len());
            for slice in &mut self.slices {
                slice.owner = if slice.owner == last {
                    Some(i)
                } else {
                    slice.owner
                };
                slice.wish = if slice.wish == last {
                    Some(i)
                } else {
                    slice.wish.filter(|&w| w != i)
                };
            }
        }
    }

    /// Guards against a wrong list: where only draining binds, one merely dropped stays while it answers.
    pub(super) fn stand(&mut self, i: usize, standing: Standing) {
        let running = self.fleet.standing[i] == Standing::Ready;
        self.fleet.dropped[i] =
            standing == Standing::Gone && running && self.facts.dropped_stay_open;
        if self.fleet.dropped[i] {
            return;
        }
        if self.fleet.standing[i] == Standing::Gone && standing == Standing::Ready {
            self.fleet.forget_health(i);
        }
        self.fleet.standing[i] = standing;
    }

    /// The subscription to the list failed or broke: ask again after a jittered wait.
    pub fn list_failed(&mut self) {
        self.subscribed = false;
        self.ask_at = self.now
            + self
                .facts
                .ask_within
                .times(LIST_RETRY_SHARE * (0.5 + self.random.unit()));
    }

    /// Whether a server is remembered.
    pub fn knows(&self, task: u32) -> bool {
        self.fleet.knows(task)
    }

    pub fn known(&self) -> usize {
        self.fleet.task.len()
    }

    pub fn custody(&mut self, tbl: usize, on: bool) {
        self.moving.remove(&tbl);
        let rate = self.slices[tbl].rate.take();
        self.slices[tbl] = Slice {
            mine: on,
            given: self.now,
            republish: on,
            rate,
            ..Slice::default()
        };
    }

    pub fn stored(&mut self, tbl: usize, task: u32) {
        let i = self.fleet.at(task, self.now);
        self.slices[tbl].owner = Some(i);
        self.fleet.proven[i] = true;
    }
}
