//! Whether a peer stands still: within each span in which something was expected of it, so many bytes must have moved.
//! How long it takes in all counts for nothing.

use lynxmill_time::{TimeDelta, Timestamp};

#[derive(Clone, Copy, Debug)]
pub struct Progress {
    span: TimeDelta,
    least: u64,
    /// What was waited for so far in this span, and what has moved.
    waited: TimeDelta,
    moved: u64,
    /// Since when something is expected of the peer.
    since: Option<Timestamp>,
}

impl Progress {
    pub fn new(span: TimeDelta, least: u64) -> Self {
        Progress {
            span,
            least,
            waited: TimeDelta::default(),
            moved: 0,
            since: None,
        }
    }

    /// From now on it is the peer's turn: to send, or to take what is written.
    pub fn expect(&mut self, now: Timestamp) {
        self.since.get_or_insert(now);
    }

    /// Bytes have moved, and it is nobody's turn.
    pub fn moved(&mut self, now: Timestamp, bytes: u64) {
        if let Some(since) = self.since.take() {
            self.waited = self.waited + (now - since);
        }
        self.moved += bytes;
        if self.waited >= self.span || self.moved >= self.least.saturating_mul(2) {
            (self.waited, self.moved) = (TimeDelta::default(), 0);
        }
    }

    /// When it counts as standing still unless enough has moved; None while nothing is expected.
    pub fn until(&self) -> Option<Timestamp> {
        self.since.map(|since| since + (self.span - self.waited))
    }

    pub fn stalled(&self, now: Timestamp) -> bool {
        self.moved < self.least && self.until().is_some_and(|until| now >= until)
    }
}
