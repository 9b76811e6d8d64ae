//! A member's claim to custody of a service: when it asks for the lease, renews it, or steps back.

use lynxmill_protocol::Membership;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::lease::HeldLease;

/// Between renewals.
const RENEWAL_INTERVAL: TimeDelta = TimeDelta::from_micros(200_000);
/// Later members in a service's order wait this much longer for each before them.
const RANK_DELAY: TimeDelta = TimeDelta::from_micros(200_000);
/// How long the others may take to answer a claim.
const RESPONSE_TIMEOUT: TimeDelta = TimeDelta::from_micros(150_000);
/// A claim without majority is made again after up to so long, by chance.
const MAX_BACKOFF: TimeDelta = TimeDelta::from_micros(400_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    Wait,
    /// Ask all members for the lease, or for a further one.
    Request,
    /// Give back what some have promised: others may have it.
    Release,
}

#[derive(Clone, Debug, Default)]
pub struct LeaseElection {
    lease: HeldLease,
    requested_at: Option<Timestamp>,
    not_before: Timestamp,
    free_since: Option<Timestamp>,
}

impl LeaseElection {
    /// `taken`: another may hold the lease, or this member may not have it; `rank`: how many go before it;
    /// `drawn` from 0 to 1.
    pub fn step(&mut self, now: Timestamp, taken: bool, rank: usize, random: f64) -> ElectionStep {
        if let Some(asked) = self.requested_at {
            let holds = self.lease.is_held(now);
            if now - asked
                < if holds {
                    RENEWAL_INTERVAL
                } else {
                    RESPONSE_TIMEOUT
                }
            {
                return ElectionStep::Wait;
            }
            if holds && !taken {
                return self.request(now);
            }
            // Guards against claims that split the promises among them and renew their own part for ever.
            self.reset();
            self.not_before = now + RANK_DELAY.times(rank as f64) + MAX_BACKOFF.times(random);
            return ElectionStep::Release;
        }
        if taken {
            self.free_since = None;
            return ElectionStep::Wait;
        }
        let since = *self.free_since.get_or_insert(now);
        let due = now - since >= RANK_DELAY.times(rank as f64) && now >= self.not_before;
        if due {
            self.request(now)
        } else {
            ElectionStep::Wait
        }
    }

    fn request(&mut self, now: Timestamp) -> ElectionStep {
        self.requested_at = Some(now);
        self.lease.request(now);
        ElectionStep::Request
    }

    /// A member has promised.
    pub fn granted(&mut self, from: &str, members: &Membership) {
        if self.requested_at.is_some() {
            self.lease.granted(from, members);
        }
    }

    pub fn is_held(&self, now: Timestamp) -> bool {
        self.lease.is_held(now)
    }

    pub fn reset(&mut self) {
        self.lease.release();
        self.requested_at = None;
        self.free_since = None;
    }
}
