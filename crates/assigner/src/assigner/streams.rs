//! Streams of proxies: who is connected, and who has acknowledged which barrier.

use lynxmill_time::TimeDelta;

use super::{Assigner, OTHER_MESSAGE_SHARE};
use crate::kept::{Slice, Stream};

impl Assigner {
    /// Lines written that have not reached the channel yet, where these are held back.
    pub fn unsent(&mut self, lines: f64) {
        self.unsent = lines;
    }

    pub fn joined(&mut self, px: usize) {
        if self.streams.len() <= px {
            self.streams.resize(
                px + 1,
                Stream {
                    parted: self.now,
                    ..Stream::default()
                },
            );
        }
        let old = self.streams[px];
        let back = Stream {
            begun: self.barrier,
            shown: self.stored_barrier,
            rid: old.parted,
            ..old
        };
        let old = if old.joined { old } else { back };
        self.streams[px] = Stream {
            joined: true,
            since: self.barrier,
            asked: 0,
            ..old
        };
    }

    pub fn parted(&mut self, px: usize) {
        let Some(stream) = self.streams.get_mut(px) else {
            return;
        };
        (stream.joined, stream.parted) = (false, self.now);
    }

    /// A proxy's answer to a mark; one from before its stream, or before a slice's shut, is nothing.
    pub fn answered(&mut self, px: usize, number: u16, elapsed: TimeDelta) {
        let mark = self.barrier
            - (self.barrier.wrapping_sub(u64::from(number)) & 0xffff).min(self.barrier);
        let Some(stream) = self.streams.get(px).copied() else {
            return;
        };
        if !stream.joined || mark <= stream.answered.max(stream.since) {
            return;
        }
        let applied = self
            .sent
            .iter()
            .find(|s| s.mark == mark)
            .map_or(self.now, |s| s.at + elapsed);
        for &tbl in &self.moving {
            let Slice {
                handover: Some(handover),
                given,
                ..
            } = &mut self.slices[tbl]
            else {
                continue;
            };
            let late = stream.rid.max(*given) + self.facts.lease;
            let applied = if handover.mark <= stream.shown {
                applied.min(late)
            } else {
                applied
            };
            if stream.answered < handover.mark && handover.mark <= mark {
                handover.fence = handover.fence.max(applied);
            }
        }
        self.streams[px].answered = mark;
    }

    /// A proxy that joined while slices are shut has unanswered marks: one fresh mark for all such.
    pub(super) fn ask_joiners(&mut self) {
        let shut = self
            .open()
            .filter_map(|t| Some(self.slices[t].handover?.mark))
            .max();
        let owes =
            |s: &Stream| s.joined && s.asked <= s.since && shut > Some(s.answered.max(s.shown));
        let pause = self
            .sent
            .last()
            .is_none_or(|s| self.now - s.at > self.facts.push_delay);
        if pause && self.streams.iter().any(owes) && self.may_write(OTHER_MESSAGE_SHARE) {
            self.lines += 1.0;
        }
    }
}
