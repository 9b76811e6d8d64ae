//! When messages may be written: a budget for each proxy, and a channel of limited rate.

use lynxmill_time::{TimeDelta, Timestamp};

use super::{Assigner, DRAIN_MESSAGE_SHARE};
use crate::kept::{Sent, Stream};
use crate::orders::Orders;

/// Part of the lines allowed to wait that drains may use, and of what leaves in time for a drain behind it.
const MAX_QUEUE_SHARE: f64 = 0.85;
const DRAIN_RESERVE_SHARE: f64 = 0.6;
const BEGUN: f64 = 0.6;
/// Messages but those of drains wait for company until the channel could have sent mere heads so many times.
const BATCHING_HEADERS: f64 = 3.0;
/// Up to this part drains need not even keep the spacing that makes the messages last.
const UNSPACED_SHARE: f64 = 0.3;

impl Assigner {
    /// The one account of messages per proxy and lines waiting. `part` of the allowance is for such orders;
    /// the rest is kept for what may not wait (drains first). What joins a message already due costs none.
    pub(super) fn may_write(&self, part: f64) -> bool {
        let allowed = self.facts.pushes_allowed * part;
        let drain = part >= DRAIN_MESSAGE_SHARE;
        let heads = if drain {
            0.0
        } else {
            self.cost(0.0) * BATCHING_HEADERS / self.facts.lines_per_s.max(1.0)
        };
        let even = TimeDelta::from_secs(heads)
            .max(self.push_span().times(1.0 / self.facts.pushes_allowed));
        let recent = self
            .sent
            .iter()
            .filter(|s| self.now - s.at < self.push_span())
            .count() as f64;
        let spaced = (drain && recent <= allowed * UNSPACED_SHARE)
            || self.sent.last().is_none_or(|s| self.now - s.at >= even);
        let few = self.lines > 0.0 || (spaced && recent + 1.0 <= allowed);
        let due =
            self.facts.lines_per_s * (self.facts.drain_grace - self.facts.push_delay_max).secs();
        let spared = due.min(self.facts.most_waiting) * DRAIN_RESERVE_SHARE * part;
        let most = if drain {
            self.facts.most_waiting * MAX_QUEUE_SHARE
        } else {
            spared
        };
        // A message begun must have room to be filled, or a slow channel carries nothing but heads.
        let most = if self.lines == 0.0 {
            most * BEGUN
        } else {
            most
        };
        few && (self.waiting + self.lines == 0.0 || self.waiting + self.cost(self.lines) < most)
    }

    /// Lines that may still wait in the channel, which may be slow: an answer shows that all messages before
    /// it have left, not what went to others with its mark. Guards against answers lost while no news came: a
    /// proxy told to be joined once more counts as long as a full channel takes.
    pub(super) fn still_waiting(&self, answered: u64) -> f64 {
        let full = TimeDelta::from_secs(self.facts.most_waiting / self.facts.lines_per_s.max(1.0));
        let owes = |s: &Sent, p: &Stream| {
            let asked = p.since < s.mark || (p.begun < s.mark && self.now - s.at < full);
            p.joined && asked && p.answered < s.mark
        };
        let left = |s: &Sent| s.lines * self.streams.iter().filter(|p| owes(s, p)).count() as f64;
        self.sent
            .iter()
            .filter(|s| s.mark >= answered)
            .map(left)
            .sum()
    }

    /// Messages may bunch up on their way, so the span in which they are counted is that much longer.
    pub(super) fn push_span(&self) -> TimeDelta {
        self.facts.reload_span + self.facts.push_delay_max
    }

    pub(super) fn cost(&self, lines: f64) -> f64 {
        self.joined * (self.facts.overhead + lines + 1.0)
    }

    pub(super) fn send(&mut self, out: &mut impl Orders) {
        self.barrier += 1;
        out.mark((self.barrier & 0xffff) as u16);
        for stream in self.streams.iter_mut().filter(|s| s.joined) {
            stream.asked = self.barrier;
        }
        let span = self.push_span();
        self.sent.retain(|s| self.now - s.at <= span);
        self.sent.push(Sent {
            mark: self.barrier,
            at: self.now,
            lines: self.facts.overhead + self.lines + 1.0,
        });
    }

    /// Wakes at the next fence, or after an interval.
    pub(super) fn sleep(&mut self, out: &mut impl Orders) {
        let dues = self
            .open()
            .filter_map(|t| Some(self.lease_deadline(t, self.slices[t].handover?)));
        let at = dues
            .filter(|&due| due > self.now)
            .fold(self.now + self.facts.interval, Timestamp::min);
        if self.wake_at.is_none_or(|w| w <= self.now || at < w) {
            self.wake_at = Some(at);
            out.wake(at - self.now);
        }
    }
}
