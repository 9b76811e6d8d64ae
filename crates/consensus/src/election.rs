//! A member's claim to custody of a service: when it asks for the lease, renews it, or steps back.

use lynxmill_protocol::Membership;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::lease::HeldLease;

/// Between renewals.
const RENEW: TimeDelta = TimeDelta::from_micros(200_000);
/// Later members in a service's order wait this much longer for each before them.
const ORDER: TimeDelta = TimeDelta::from_micros(200_000);
/// How long the others may take to answer a claim.
const ANSWERS: TimeDelta = TimeDelta::from_micros(150_000);
/// A claim without majority is made again after up to so long, by chance.
const BACK_OFF: TimeDelta = TimeDelta::from_micros(400_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    Wait,
    /// Ask all members for the lease, or for a further one.
    Ask,
    /// Give back what some have promised: others may have it.
    GiveBack,
}

#[derive(Clone, Debug, Default)]
pub struct LeaseElection {
    tenure: HeldLease,
    asked: Option<Timestamp>,
    not_before: Timestamp,
    free_since: Option<Timestamp>,
}

impl LeaseElection {
    /// `taken`: another may hold the lease, or this member may not have it; `rank`: how many go before it;
    /// `drawn` from 0 to 1.
    pub fn step(&mut self, now: Timestamp, taken: bool, rank: usize, drawn: f64) -> ElectionStep {
        if let Some(asked) = self.asked {
            let holds = self.tenure.holds(now);
            if now - asked < if holds { RENEW } else { ANSWERS } {
                return ElectionStep::Wait;
            }
            if holds && !taken {
                return self.ask(now);
            }
            // Guards against claims that split the promises among them and renew their own part for ever.
            self.end();
            self.not_before = now + ORDER.times(rank as f64) + BACK_OFF.times(drawn);
            return ElectionStep::GiveBack;
        }
        if taken {
            self.free_since = None;
            return ElectionStep::Wait;
        }
        let since = *self.free_since.get_or_insert(now);
        let due = now - since >= ORDER.times(rank as f64) && now >= self.not_before;
        if due {
            self.ask(now)
        } else {
            ElectionStep::Wait
        }
    }

    fn ask(&mut self, now: Timestamp) -> ElectionStep {
        self.asked = Some(now);
        self.tenure.ask(now);
        ElectionStep::Ask
    }

    /// A member has promised.
    pub fn yes(&mut self, from: &str, members: &Membership) {
        if self.asked.is_some() {
            self.tenure.yes(from, members);
        }
    }

    pub fn holds(&self, now: Timestamp) -> bool {
        self.tenure.holds(now)
    }

    pub fn end(&mut self) {
        self.tenure.end();
        self.asked = None;
        self.free_since = None;
    }
}
