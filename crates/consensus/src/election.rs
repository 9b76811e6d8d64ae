//! Elects the owner of a service's shard table: when a member requests the lease, renews it, or
//! withdraws.

use lynxmill_protocol::Membership;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::lease::HeldLease;

/// Between two renewals.
const RENEWAL_INTERVAL: TimeDelta = TimeDelta::from_micros(200_000);
/// A member waits this much longer for each member before it in the service's order.
const RANK_DELAY: TimeDelta = TimeDelta::from_micros(200_000);
/// How long the others may take to answer a request.
const RESPONSE_TIMEOUT: TimeDelta = TimeDelta::from_micros(150_000);
/// After a request without a majority, a random delay up to this.
const MAX_BACKOFF: TimeDelta = TimeDelta::from_micros(400_000);

/// What the member has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Nothing now.
    Wait,
    /// Request the lease, or its renewal, of all members.
    Request,
    /// Release the lease at all members, so that another can have it.
    Release,
}

/// One member's part in the election for one service.
#[derive(Clone, Debug, Default)]
pub struct LeaseElection {
    lease: HeldLease,
    requested_at: Option<Timestamp>,
    not_before: Timestamp,
    free_since: Option<Timestamp>,
}

impl LeaseElection {
    /// Decides what to do. `taken`: another member may hold the lease, or this one may not; `rank`:
    /// how many members go before it; `random`: a number from 0 to 1.
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

    /// A member has granted the lease.
    pub fn granted(&mut self, from: &str, members: &Membership) {
        if self.requested_at.is_some() {
            self.lease.granted(from, members);
        }
    }

    /// Whether this member holds the lease.
    pub fn is_held(&self, now: Timestamp) -> bool {
        self.lease.is_held(now)
    }

    /// Withdraws from the election.
    pub fn reset(&mut self) {
        self.lease.release();
        self.requested_at = None;
        self.free_since = None;
    }
}
