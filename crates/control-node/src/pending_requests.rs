//! Requests to other members that wait for their responses.

use std::collections::BTreeMap;

use lynxmill_time::{TimeDelta, Timestamp};

/// A response that comes later is ignored.
const MAX_WAIT: TimeDelta = TimeDelta::from_micros(5_000_000);

/// What a response belongs to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Awaited {
    Heartbeat { sent_at: Timestamp },
    Ballot { register: String, attempt: u64 },
    Promotion { attempt: u64 },
    Lease { service: String, attempt: u64 },
    Replication(u64),
    Snapshot(u64),
    Registers(u64),
    DepartureReport { number: u64 },
}

/// Requests by their id; each takes one response.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    last: u64,
    awaited: BTreeMap<u64, (Timestamp, Awaited)>,
}

impl PendingRequests {
    /// Registers a request and returns its id.
    pub(crate) fn add(&mut self, now: Timestamp, awaited: Awaited) -> u64 {
        self.last += 1;
        self.awaited.insert(self.last, (now, awaited));
        self.last
    }

    /// What a response belongs to; none if it was answered before or has expired.
    pub(crate) fn take(&mut self, id: u64) -> Option<Awaited> {
        self.awaited.remove(&id).map(|(_, awaited)| awaited)
    }

    pub(crate) fn drop_expired(&mut self, now: Timestamp) {
        self.awaited.retain(|_, (asked, _)| now - *asked < MAX_WAIT);
    }
}
