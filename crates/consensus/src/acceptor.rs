//! A member's registers: what it has promised and accepted.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_protocol::{Accept, Accepted, Ballot, Membership, Prepare, Promise, Register};
use lynxmill_time::TimeDelta;
use prost::Message;

use crate::quorum::recovery_quorum;

/// A member that catches up waits this long before it reads others: longer than any round of ballots may
/// last, so that nobody still counts on a promise that it has forgotten.
pub const RECOVERY_DELAY: TimeDelta = TimeDelta::from_micros(1_500_000);

pub const MEMBERSHIP_REGISTER: &str = "members";

#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    pub ip: String,
    /// A number of this life of its process.
    pub incarnation: u64,
    /// The newest members that were agreed.
    pub members: Membership,
    /// It answers no ballot: its disk is empty, or it is no member.
    pub catching_up: bool,
    pub registers: BTreeMap<String, Register>,
}

/// A copy of another member's registers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegisterCopy {
    pub from: String,
    pub members: Membership,
    /// The membership that it has accepted and that is not known to be agreed.
    pub pending_membership: Option<Membership>,
    pub catching_up: bool,
    pub registers: Vec<Register>,
}

/// What has to be on disk before the reply goes out.
pub type RegisterWrite = Option<Register>;

impl Acceptor {
    /// The members that it may have helped to agree on.
    pub fn pending_membership(&self) -> Option<Membership> {
        let register = self.registers.get(MEMBERSHIP_REGISTER)?;
        Membership::decode(register.value.as_slice())
            .ok()
            .filter(|m| m.epoch > self.members.epoch)
    }

    fn register(&self, name: &str) -> Register {
        let fresh = || Register {
            name: name.to_owned(),
            ..Register::default()
        };
        self.registers.get(name).cloned().unwrap_or_else(fresh)
    }

    /// Guards against two majorities: whoever goes by older members than have been agreed here, or may have
    /// been, is refused.
    fn is_outdated(&self, register: &str, members: &Membership) -> bool {
        members.epoch < self.members.epoch
            || (register != MEMBERSHIP_REGISTER && self.pending_membership().is_some())
    }

    /// Whether it was a member right before these were agreed: it knows those before, or has as one of them
    /// accepted these.
    fn follows(&self, members: &Membership) -> bool {
        let next = members.epoch <= self.members.epoch + 1 && self.members.ips.contains(&self.ip);
        next || self
            .pending_membership()
            .is_some_and(|pending| pending == *members)
    }

    /// Whether it may answer ballots of these members: it is one and has not been out since it last counted.
    fn votes_in(&self, members: &Membership) -> bool {
        !self.catching_up && members.ips.contains(&self.ip) && self.follows(members)
    }

    pub fn prepare(&mut self, request: &Prepare, merged: u64) -> (Promise, RegisterWrite) {
        let mut register = self.register(&request.register);
        let newer = (request.members.epoch < self.members.epoch).then(|| self.members.clone());
        let membership_changing =
            request.register != MEMBERSHIP_REGISTER && self.pending_membership().is_some();
        let ok = self.votes_in(&request.members)
            && !self.is_outdated(&request.register, &request.members)
            // Ballots are of one maker each: the same one may be asked for twice.
            && request.ballot >= register.promised;
        let promise = Promise {
            ok,
            promised: register.promised,
            accepted: register.accepted,
            value: register.value.clone(),
            merged,
            incarnation: self.incarnation,
            members: newer,
            membership_changing,
        };
        if !ok {
            return (promise, None);
        }
        register.promised = request.ballot;
        self.registers
            .insert(request.register.clone(), register.clone());
        (promise, Some(register))
    }

    pub fn accept(&mut self, request: &Accept) -> (Accepted, RegisterWrite) {
        let mut register = self.register(&request.register);
        let ok = self.votes_in(&request.members)
            && (request.incarnation == 0 || request.incarnation == self.incarnation)
            && !self.is_outdated(&request.register, &request.members)
            && request.ballot >= register.promised
            // One ballot, one value: whatever went wrong at its maker.
            && (request.ballot != register.accepted || request.value == register.value);
        if !ok {
            return (
                Accepted {
                    ok,
                    promised: register.promised,
                },
                None,
            );
        }
        (register.promised, register.accepted) = (request.ballot, request.ballot);
        register.value = request.value.clone();
        self.registers
            .insert(request.register.clone(), register.clone());
        (
            Accepted {
                ok,
                promised: request.ballot,
            },
            Some(register),
        )
    }

    /// What others hold, read by a member whose disk was lost: from enough of them it becomes a voter again.
    pub fn recover(&mut self, copies: &[RegisterCopy]) -> bool {
        let epoch = copies
            .iter()
            .map(|copy| copy.members.epoch)
            .max()
            .unwrap_or(0)
            .max(self.members.epoch);
        let stands = |copy: &&RegisterCopy| !copy.catching_up && copy.members.epoch == epoch;
        let Some(first) = copies.iter().find(stands) else {
            return false;
        };
        let members = first.members.clone();
        let standing = copies.iter().filter(stands);
        if !members.ips.contains(&self.ip) || standing.clone().count() < recovery_quorum(&members) {
            return false;
        }
        standing.for_each(|copy| self.merge_registers(&copy.registers));
        self.members = members;
        self.catching_up = false;
        true
    }

    /// A newcomer takes its seat in `next`, which a majority of `previous` has accepted by `ballot`. `copies`
    /// are of members of `previous` that have accepted it: they answer no ballot of another register, so no
    /// write of `previous` can be missing from enough of their copies, and none can follow. From then on it
    /// votes in `next`.
    pub fn promote(
        &mut self,
        ballot: Ballot,
        previous: &Membership,
        next: &Membership,
        copies: &[RegisterCopy],
    ) -> bool {
        if self.is_voter_of(next) {
            return true;
        }
        let frozen = |copy: &&RegisterCopy| {
            !copy.catching_up
                && previous.ips.contains(&copy.from)
                && copy.pending_membership.as_ref() == Some(next)
        };
        let sources: BTreeSet<&String> = copies
            .iter()
            .filter(frozen)
            .map(|copy| &copy.from)
            .collect();
        let newcomer = next.ips.contains(&self.ip) && !previous.ips.contains(&self.ip);
        if !newcomer
            || sources.len() < recovery_quorum(previous)
            || self.members.epoch > previous.epoch
        {
            return false;
        }
        self.registers.clear();
        copies
            .iter()
            .filter(frozen)
            .for_each(|copy| self.merge_registers(&copy.registers));
        let value = next.encode_to_vec();
        let seat = Register {
            name: MEMBERSHIP_REGISTER.to_owned(),
            promised: ballot,
            accepted: ballot,
            value,
        };
        self.registers.insert(MEMBERSHIP_REGISTER.to_owned(), seat);
        self.members = previous.clone();
        self.catching_up = false;
        true
    }

    /// Whether it holds all that a voter of these members has to hold.
    pub fn is_voter_of(&self, members: &Membership) -> bool {
        self.votes_in(members)
    }

    fn merge_registers(&mut self, copies: &[Register]) {
        for copy in copies {
            let fresh = || Register {
                name: copy.name.clone(),
                ..Register::default()
            };
            let held = self
                .registers
                .entry(copy.name.clone())
                .or_insert_with(fresh);
            held.promised = held.promised.max(copy.promised);
            if copy.accepted > held.accepted {
                held.accepted = copy.accepted;
                held.value = copy.value.clone();
            }
        }
    }

    /// Membership that were agreed; whether they are news.
    pub fn adopt_membership(&mut self, members: &Membership) -> bool {
        let newer = members.epoch > self.members.epoch;
        if newer {
            // Who was out holds nothing of what was agreed without it, and who is out no longer counts.
            self.catching_up |= !self.follows(members) || !members.ips.contains(&self.ip);
            self.members = members.clone();
        }
        newer
    }

    pub fn highest_ballot(&self, register: &str) -> Ballot {
        self.registers
            .get(register)
            .map_or(Ballot::default(), |r| r.promised.max(r.accepted))
    }

    pub fn value(&self, register: &str) -> Option<&[u8]> {
        let register = self.registers.get(register)?;
        (register.accepted != Ballot::default()).then_some(register.value.as_slice())
    }
}
