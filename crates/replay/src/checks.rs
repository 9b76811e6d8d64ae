//! The five rules, checked throughout against what really happens, with a count and the first breach of each.
//! Nothing here knows what the assigners think.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

pub const RULES: [&str; 5] = [
    "a joined forwarder has a server to pick",
    "no effect twice, no slice's writes at two owners or a former one",
    "drains kept within the grace",
    "no cold server pushed over",
    "channel and messages within their limits",
];

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleViolation {
    /// The rule's number, from 1.
    pub rule: u8,
    pub count: u64,
    pub first_at_s: f64,
    pub first: String,
}

/// Writes of a slice that servers hold, and the newest issue whose owner has accepted one.
#[derive(Default)]
struct Writes {
    held: BTreeMap<u32, u32>,
    newest: u64,
}

#[derive(Default)]
pub(crate) struct Checks {
    breaches: BTreeMap<u8, RuleViolation>,
    writes: Vec<Writes>,
    /// Invocations that must not run twice and have been accepted once.
    ran: BTreeSet<u32>,
    /// How close the day came to the limits: lines that waited, messages, the longest that a slice was bare.
    pub most_waiting: f64,
    pub most_messages: usize,
    pub longest_bare: TimeDelta,
    /// The longest after a drain was told that something still went there.
    pub longest_drain: TimeDelta,
}

impl Checks {
    pub(crate) fn new(slices: usize) -> Self {
        Checks {
            writes: (0..slices).map(|_| Writes::default()).collect(),
            ..Checks::default()
        }
    }

    pub(crate) fn breach(&mut self, rule: u8, at: Timestamp, what: impl FnOnce() -> String) {
        let new = || RuleViolation {
            rule,
            count: 0,
            first_at_s: at.secs(),
            first: what(),
        };
        self.breaches.entry(rule).or_insert_with(new).count += 1;
    }

    pub(crate) fn breaches(&self) -> Vec<RuleViolation> {
        self.breaches.values().cloned().collect()
    }

    /// A server accepts a write that came with this issue of the slice's line.
    pub(crate) fn accepted(
        &mut self,
        at: Timestamp,
        slice: usize,
        server: u32,
        issue: u64,
        client: u32,
        safe: bool,
    ) {
        let writes = &mut self.writes[slice];
        let other = writes.held.keys().copied().find(|&held| held != server);
        let former = issue < writes.newest;
        writes.newest = writes.newest.max(issue);
        *writes.held.entry(server).or_default() += 1;
        if let Some(other) = other {
            self.breach(2, at, || {
                format!("slice {slice}: server {server} writes while {other} does")
            });
        }
        if former {
            self.breach(2, at, || {
                format!("slice {slice}: former owner {server} writes after a later one")
            });
        }
        if !safe && !self.ran.insert(client) {
            self.breach(2, at, || {
                format!("invocation {client} of slice {slice} ran twice")
            });
        }
    }

    /// A write has ended, done or cancelled.
    pub(crate) fn ended(&mut self, slice: usize, server: u32) {
        let held = &mut self.writes[slice].held;
        if let Some(count) = held.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                held.remove(&server);
            }
        }
    }

    /// Something is sent to a server that the assigner in charge has been told drains or is gone.
    pub(crate) fn sent(
        &mut self,
        at: Timestamp,
        told: Timestamp,
        grace: TimeDelta,
        what: impl FnOnce() -> String,
    ) {
        let late = at - told;
        self.longest_drain = self.longest_drain.max(late);
        if late > grace {
            self.breach(3, at, || {
                format!("{} {:.2} s after its drain was told", what(), late.secs())
            });
        }
    }

    pub(crate) fn bare(
        &mut self,
        at: Timestamp,
        since: Timestamp,
        most: TimeDelta,
        what: impl FnOnce() -> String,
    ) {
        self.longest_bare = self.longest_bare.max(at - since);
        if at - since > most {
            self.breach(1, at, || {
                format!("{} had no server for {:.1} s", what(), (at - since).secs())
            });
        }
    }

    pub(crate) fn channel(&mut self, at: Timestamp, waiting: f64, most: f64, assigner: usize) {
        self.most_waiting = self.most_waiting.max(waiting);
        if waiting > most {
            self.breach(5, at, || {
                format!("{waiting:.0} lines wait in the channel of assigner {assigner}")
            });
        }
    }

    pub(crate) fn messages(&mut self, at: Timestamp, count: usize, most: f64, forwarder: usize) {
        self.most_messages = self.most_messages.max(count);
        if most > 0.0 && count as f64 > most {
            self.breach(5, at, || {
                format!("{count} messages to forwarder {forwarder}")
            });
        }
    }
}
