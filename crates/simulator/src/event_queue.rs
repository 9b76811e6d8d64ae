//! The virtual clock: events in the order of their time, those of one moment in the order in which they were
//! added.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use lynxmill_time::Timestamp;

struct Scheduled<E> {
    at: Timestamp,
    number: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn place(&self) -> (Timestamp, u64) {
        (self.at, self.number)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.place() == other.place()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// The heap gives the greatest first: the earliest is to be that.
    fn cmp(&self, other: &Self) -> Ordering {
        other.place().cmp(&self.place())
    }
}

/// Events that are still to happen.
pub(crate) struct EventQueue<E> {
    events: BinaryHeap<Scheduled<E>>,
    numbers: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            events: BinaryHeap::new(),
            numbers: 0,
        }
    }
}

impl<E> EventQueue<E> {
    pub(crate) fn add(&mut self, at: Timestamp, event: E) {
        self.numbers += 1;
        self.events.push(Scheduled {
            at,
            number: self.numbers,
            event,
        });
    }

    /// When the next event is.
    pub(crate) fn next_at(&self) -> Option<Timestamp> {
        self.events.peek().map(|scheduled| scheduled.at)
    }

    /// The next event and its time.
    pub(crate) fn next(&mut self) -> Option<(Timestamp, E)> {
        self.events
            .pop()
            .map(|scheduled| (scheduled.at, scheduled.event))
    }
}
