//! Fenced handovers: a slice is shut at all proxies, and published once all have acknowledged that or a lease has passed.

use lynxmill_time::Timestamp;

use super::{Assigner, OWNER_MESSAGE_SHARE};
use crate::kept::Handover;
use crate::orders::Orders;

/// Part of the time that a slice may be bare after which it goes before hotter ones.
const LONG_UNAVAILABLE_SHARE: f64 = 0.2;

impl Assigner {
    pub(super) fn open(&self) -> impl Iterator<Item = usize> {
        self.moving.iter().copied()
    }

    /// Publishes what is fenced, the hottest first, but what has long been bare before all, or the coolest
    /// might never get a turn; reopens what stays unresolved.
    pub(super) fn finish(&mut self, out: &mut impl Orders) {
        let mut open: Vec<usize> = self.open().collect();
        let long = self.facts.bare.times(LONG_UNAVAILABLE_SHARE);
        let late = |t: usize| {
            self.slices[t]
                .handover
                .is_some_and(|h| self.now - h.since > long)
        };
        open.sort_by(|&a, &b| {
            late(b)
                .cmp(&late(a))
                .then(self.heat[b].total_cmp(&self.heat[a]))
        });
        for tbl in open {
            let Some(handover) = self.slices[tbl].handover else {
                continue;
            };
            if !self.may_write(OWNER_MESSAGE_SHARE) {
                return;
            }
            let (old, heat) = (self.slices[tbl].owner, self.heat[tbl]);
            if self.now >= self.lease_deadline(tbl, handover) {
                let wish = self.slices[tbl]
                    .wish
                    .filter(|&i| self.usable(i) && self.fits(i, heat));
                let next = wish.or_else(|| self.server_with_most_room(heat, old));
                if let Some(i) = next.or_else(|| self.last_resort(handover)) {
                    old.inspect(|&o| self.load[o] -= heat);
                    self.load[i] += heat;
                    self.publish(tbl, i, out);
                }
            } else if let Some(i) = old
                && self.now - handover.since > self.facts.lease.times(4.0)
                && self.usable(i)
            {
                out.stays(tbl);
                self.publish(tbl, i, out);
            }
        }
    }

    /// Guards against leaving a slice bare: when no server will do for long, a warm one that is listed ready.
    pub(super) fn last_resort(&self, handover: Handover) -> Option<usize> {
        let late = self.now - handover.since > self.facts.bare.times(0.5);
        let ready = |&i: &usize| late && self.listed_ready(i) && self.warmth(i) >= 1.0;
        let least = |&a: &usize, &b: &usize| self.load[a].total_cmp(&self.load[b]);
        self.usables()
            .filter(ready)
            .min_by(least)
            .or_else(|| self.all().filter(ready).min_by(least))
    }

    /// When all that owe an answer to the shut are rid of the line, and what all had in hand has settled.
    pub(super) fn lease_deadline(&self, tbl: usize, handover: Handover) -> Timestamp {
        let last = self.owing.range(..handover.mark).map(|(_, &at)| at).max();
        let lease = last.map(|at| at.max(self.slices[tbl].given) + self.facts.lease);
        lease.map_or(handover.fence, |at| at.max(handover.fence)) + self.facts.settle
    }

    /// Shuts a slice for all operations: its line is taken out of every proxy's table.
    pub(super) fn shut(&mut self, tbl: usize, out: &mut impl Orders) {
        let (mark, since) = (self.barrier + 1, self.now);
        self.slices[tbl].handover = Some(Handover {
            mark,
            since,
            fence: since,
        });
        self.moving.insert(tbl);
        self.lines += 1.0;
        if let Some(i) = self.slices[tbl].owner {
            out.shut(tbl, self.fleet.task[i]);
        }
    }

    /// Raises the generation and publishes the owner. Guards slices that are shut: only a cold owner's levels
    /// go along at once, others follow where the message has room.
    pub(super) fn publish(&mut self, tbl: usize, i: usize, out: &mut impl Orders) {
        self.moving.remove(&tbl);
        let slice = &mut self.slices[tbl];
        slice.generation += 1;
        (slice.handover, slice.republish, slice.owner, slice.wish) = (None, false, Some(i), None);
        out.publish(tbl, self.fleet.task[i]);
        self.lines += 1.0;
        if self.facts.levels_work && self.warmth(i) < 1.0 {
            self.write_levels(tbl, self.fleet.admit[i], out);
        }
    }
}
