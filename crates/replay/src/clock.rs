//! The virtual clock: what is due, in the order of its time and then of its asking.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lynxmill_time::Timestamp;

struct ScheduledEvent<T> {
    key: Reverse<(Timestamp, u64)>,
    what: T,
}

impl<T> PartialEq for ScheduledEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<T> Eq for ScheduledEvent<T> {}

impl<T> PartialOrd for ScheduledEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ScheduledEvent<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

pub(crate) struct EventQueue<T> {
    due: BinaryHeap<ScheduledEvent<T>>,
    count: u64,
    now: Timestamp,
}

impl<T> EventQueue<T> {
    pub(crate) fn new() -> Self {
        EventQueue {
            due: BinaryHeap::new(),
            count: 0,
            now: Timestamp::default(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.now
    }

    /// What is asked for in the past is due at once: time never goes back.
    pub(crate) fn at(&mut self, at: Timestamp, what: T) {
        self.count += 1;
        self.due.push(ScheduledEvent {
            key: Reverse((at.max(self.now), self.count)),
            what,
        });
    }

    /// The next thing due by `end`; the clock stands at its time then.
    pub(crate) fn next(&mut self, end: Timestamp) -> Option<T> {
        if self.due.peek()?.key.0.0 > end {
            return None;
        }
        let due = self.due.pop()?;
        self.now = due.key.0.0;
        Some(due.what)
    }
}
