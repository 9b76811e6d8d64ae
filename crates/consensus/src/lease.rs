//! Leases on custody: what a member has promised, and what a custodian holds. In memory alone: a process that
//! has just started promises nothing until all that it may have promised before is over.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_protocol::{LeaseRequest, Membership};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::quorum::has_majority;

/// How long a lease lasts from when it was asked for.
pub const LEASE_DURATION: TimeDelta = TimeDelta::from_micros(800_000);
/// A clock may run slow by this part: promises last longer than leases.
const CLOCK_DRIFT: f64 = 1.05;

#[derive(Clone, Debug)]
struct Grant {
    holder: String,
    incarnation: u64,
    until: Timestamp,
}

/// What a member has promised to custodians.
#[derive(Clone, Debug, Default)]
pub struct LeaseGrants {
    grants: BTreeMap<String, Grant>,
    /// Promises none before.
    not_before: Timestamp,
}

impl LeaseGrants {
    /// `fresh` at the very first start of all, when nobody can hold any.
    pub fn new(now: Timestamp, fresh: bool) -> Self {
        let not_before = if fresh {
            now
        } else {
            now + LEASE_DURATION.times(CLOCK_DRIFT)
        };
        LeaseGrants {
            grants: BTreeMap::new(),
            not_before,
        }
    }

    /// It has become a member: what it had not promised others may rely on its seat for.
    pub fn became_voter(&mut self, now: Timestamp) {
        self.not_before = self.not_before.max(now + LEASE_DURATION.times(CLOCK_DRIFT));
    }

    pub fn grant(&mut self, now: Timestamp, request: &LeaseRequest, members: &Membership) -> bool {
        if request.epoch != members.epoch || !members.ips.contains(&request.holder) {
            return false;
        }
        let current = self
            .grants
            .get(&request.service)
            .filter(|given| given.until > now);
        let same = current
            .is_some_and(|g| g.holder == request.holder && g.incarnation == request.incarnation);
        if request.release {
            if same {
                self.grants.remove(&request.service);
            }
            return same;
        }
        if (current.is_some() && !same) || now < self.not_before {
            return false;
        }
        let until = now + LEASE_DURATION.times(CLOCK_DRIFT);
        let given = Grant {
            holder: request.holder.clone(),
            incarnation: request.incarnation,
            until,
        };
        self.grants.insert(request.service.clone(), given);
        true
    }

    /// Whether it promises any yet.
    pub fn grants_leases(&self, now: Timestamp) -> bool {
        now >= self.not_before
    }

    /// Who holds it, as far as this member has promised.
    pub fn holder(&self, now: Timestamp, service: &str) -> Option<&str> {
        self.grants
            .get(service)
            .filter(|given| given.until > now)
            .map(|given| given.holder.as_str())
    }
}

/// What a custodian holds: a lease from a majority, counted from when it asked.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    requested_at: Timestamp,
    granted_by: BTreeSet<String>,
    until: Timestamp,
}

impl HeldLease {
    pub fn request(&mut self, now: Timestamp) {
        self.requested_at = now;
        self.granted_by.clear();
    }

    pub fn granted(&mut self, from: &str, members: &Membership) {
        self.granted_by.insert(from.to_owned());
        if has_majority(members, &self.granted_by) {
            self.until = self.until.max(self.requested_at + LEASE_DURATION);
        }
    }

    pub fn is_held(&self, now: Timestamp) -> bool {
        now < self.until
    }

    pub fn release(&mut self) {
        *self = HeldLease::default();
    }
}
