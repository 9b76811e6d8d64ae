//! Requests to other members that wait for their responses.

use std::collections::BTreeMap;

use lynxmill_time::{TimeDelta, Timestamp};

/// A response that comes later than this is not waited for by anybody.
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
    DepartureReport,
}

#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    last: u64,
    awaited: BTreeMap<u64, (Timestamp, Awaited)>,
}

impl PendingRequests {
    /// The number of a new request.
    pub fn add(&mut self, now: Timestamp, awaited: Awaited) -> u64 {
        self.last += 1;
        self.awaited.insert(self.last, (now, awaited));
        self.last
    }

    /// What a response belongs to; each request takes one response.
    pub fn take(&mut self, id: u64) -> Option<Awaited> {
        self.awaited.remove(&id).map(|(_, awaited)| awaited)
    }

    pub fn drop_expired(&mut self, now: Timestamp) {
        self.awaited.retain(|_, (asked, _)| now - *asked < MAX_WAIT);
    }
}
