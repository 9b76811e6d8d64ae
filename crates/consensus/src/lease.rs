//! Leases on custody: what a member has promised, and what a custodian holds. In memory alone: a process that
//! has just started promises nothing until all that it may have promised before is over.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_protocol::{LeaseRequest, Membership};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::quorum::holds;

/// How long a lease lasts from when it was asked for.
pub const LEASE: TimeDelta = TimeDelta::from_micros(800_000);
/// A clock may run slow by this part: promises last longer than leases.
const SLOW: f64 = 1.05;

#[derive(Clone, Debug)]
struct Given {
    holder: String,
    life: u64,
    until: Timestamp,
}

/// What a member has promised to custodians.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    given: BTreeMap<String, Given>,
    /// Promises none before.
    from: Timestamp,
}

impl Leases {
    /// `fresh` at the very first start of all, when nobody can hold any.
    pub fn new(now: Timestamp, fresh: bool) -> Self {
        let from = if fresh { now } else { now + LEASE.times(SLOW) };
        Leases {
            given: BTreeMap::new(),
            from,
        }
    }

    /// It has become a member: what it had not promised others may rely on its seat for.
    pub fn seated(&mut self, now: Timestamp) {
        self.from = self.from.max(now + LEASE.times(SLOW));
    }

    pub fn ask(&mut self, now: Timestamp, asked: &LeaseRequest, members: &Membership) -> bool {
        if asked.epoch != members.epoch || !members.ips.contains(&asked.holder) {
            return false;
        }
        let held = self
            .given
            .get(&asked.service)
            .filter(|given| given.until > now);
        let same = held.is_some_and(|g| g.holder == asked.holder && g.life == asked.life);
        if asked.back {
            if same {
                self.given.remove(&asked.service);
            }
            return same;
        }
        if (held.is_some() && !same) || now < self.from {
            return false;
        }
        let until = now + LEASE.times(SLOW);
        let given = Given {
            holder: asked.holder.clone(),
            life: asked.life,
            until,
        };
        self.given.insert(asked.service.clone(), given);
        true
    }

    /// Whether it promises any yet.
    pub fn open(&self, now: Timestamp) -> bool {
        now >= self.from
    }

    /// Who holds it, as far as this member has promised.
    pub fn holder(&self, now: Timestamp, service: &str) -> Option<&str> {
        self.given
            .get(service)
            .filter(|given| given.until > now)
            .map(|given| given.holder.as_str())
    }
}

/// What a custodian holds: a lease from a majority, counted from when it asked.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    asked: Timestamp,
    yes: BTreeSet<String>,
    until: Timestamp,
}

impl HeldLease {
    pub fn ask(&mut self, now: Timestamp) {
        self.asked = now;
        self.yes.clear();
    }

    pub fn yes(&mut self, from: &str, members: &Membership) {
        self.yes.insert(from.to_owned());
        if holds(members, &self.yes) {
            self.until = self.until.max(self.asked + LEASE);
        }
    }

    pub fn holds(&self, now: Timestamp) -> bool {
        now < self.until
    }

    pub fn end(&mut self) {
        *self = HeldLease::default();
    }
}
