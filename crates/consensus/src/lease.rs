//! Leases on the ownership of shard tables: what a member has granted, and what an owner holds.
//! Leases are in memory alone: a process that has just started grants none until all that it may
//! have granted before have expired.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_protocol::{LeaseRequest, Membership};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::quorum::has_majority;

/// How long a lease lasts, from when it was requested.
pub const LEASE_DURATION: TimeDelta = TimeDelta::from_micros(800_000);
/// By how much a clock may run slow: a grant lasts longer than the lease by this factor.
const CLOCK_DRIFT: f64 = 1.05;

#[derive(Clone, Debug)]
struct Grant {
    holder: String,
    incarnation: u64,
    until: Timestamp,
}

/// The leases that a member has granted.
#[derive(Clone, Debug, Default)]
pub struct LeaseGrants {
    grants: BTreeMap<String, Grant>,
    /// No lease is granted earlier.
    not_before: Timestamp,
}

impl LeaseGrants {
    /// `fresh` at the very first start of the system, when no lease can be held.
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

    /// The member has got a vote: grants that were made while others counted without it have to
    /// expire first.
    pub fn became_voter(&mut self, now: Timestamp) {
        self.not_before = self.not_before.max(now + LEASE_DURATION.times(CLOCK_DRIFT));
    }

    /// Grants, renews or releases a lease; whether the request was granted.
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

    /// Whether it grants leases yet.
    pub fn grants_leases(&self, now: Timestamp) -> bool {
        now >= self.not_before
    }

    /// Who holds the lease, as far as this member has granted it.
    pub fn holder(&self, now: Timestamp, service: &str) -> Option<&str> {
        self.grants
            .get(service)
            .filter(|given| given.until > now)
            .map(|given| given.holder.as_str())
    }
}

/// The lease of an owner: granted by a majority, counted from when it was requested.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    requested_at: Timestamp,
    granted_by: BTreeSet<String>,
    until: Timestamp,
}

impl HeldLease {
    /// A request is sent to all members now.
    pub fn request(&mut self, now: Timestamp) {
        self.requested_at = now;
        self.granted_by.clear();
    }

    /// A member has granted the request.
    pub fn granted(&mut self, from: &str, members: &Membership) {
        self.granted_by.insert(from.to_owned());
        if has_majority(members, &self.granted_by) {
            self.until = self.until.max(self.requested_at + LEASE_DURATION);
        }
    }

    /// Whether the lease has not expired.
    pub fn is_held(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Gives the lease up.
    pub fn release(&mut self) {
        *self = HeldLease::default();
    }
}
