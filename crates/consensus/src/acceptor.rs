//! The acceptor of one member: what it has promised and accepted in each register, and by which
//! membership.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_protocol::{Accept, Accepted, Ballot, Membership, Prepare, Promise, Register};
use lynxmill_time::TimeDelta;
use prost::Message;

use crate::quorum::recovery_quorum;

/// A member that lost its disk waits this long before it copies registers: longer than any round of
/// ballots, so that no proposer still counts on a promise that it has forgotten.
pub const RECOVERY_DELAY: TimeDelta = TimeDelta::from_micros(1_500_000);

/// The register that holds the membership.
pub const MEMBERSHIP_REGISTER: &str = "members";

/// The acceptor's state, all of which is on disk except the incarnation.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    /// This member's IPv4 address.
    pub ip: String,
    /// The incarnation of this member's process.
    pub incarnation: u64,
    /// The newest membership that is known to be chosen.
    pub members: Membership,
    /// It answers no ballot: its disk is empty, or it is no member.
    pub catching_up: bool,
    /// Registers by name.
    pub registers: BTreeMap<String, Register>,
}

/// A copy of another member's registers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegisterCopy {
    /// The member that the copy is of, by IPv4 address.
    pub from: String,
    /// The membership that this member had adopted.
    pub members: Membership,
    /// The membership that it has accepted and that is not known to be chosen.
    pub pending_membership: Option<Membership>,
    /// It answers no ballot: it has no vote, or its disk refuses writes.
    pub catching_up: bool,
    /// It has its vote, and its disk refuses writes.
    pub storage_failed: bool,
    /// All of its registers.
    pub registers: Vec<Register>,
}

/// The register that has to be on disk before the response goes out, if it changed.
pub(crate) type RegisterWrite = Option<Register>;

impl Acceptor {
    /// A membership that it has accepted and that may have been chosen.
    pub fn pending_membership(&self) -> Option<Membership> {
        let register = self.registers.get(MEMBERSHIP_REGISTER)?;
        Membership::decode(register.value.as_slice())
            .ok()
            .filter(|m| m.epoch > self.members.epoch)
    }

    /// Whether it may grant leases, and renew them, by the membership that it has adopted. Not once it has accepted
    /// another one, as for ballots: any majority that granted a lease of the old members has one in common with the
    /// majority that accepted the new ones, so that no such lease is renewed after the change was chosen. A newcomer
    /// votes only after that and grants nothing for longer than a lease (`LeaseGrants::became_voter`), and a majority of
    /// the new members without the newcomer holds one that knows of its grant.
    pub fn may_grant_leases(&self) -> bool {
        !self.catching_up && self.pending_membership().is_none()
    }

    fn register(&self, name: &str) -> Register {
        let fresh = || Register {
            name: name.to_owned(),
            ..Register::default()
        };
        self.registers.get(name).cloned().unwrap_or_else(fresh)
    }

    /// Prevents two majorities: a proposer that counts by an older membership than was chosen here,
    /// or may have been, is refused.
    fn is_outdated(&self, register: &str, members: &Membership) -> bool {
        members.epoch < self.members.epoch
            || (register != MEMBERSHIP_REGISTER && self.pending_membership().is_some())
    }

    /// Whether it was a member right before this membership: it has adopted the one before, or has
    /// accepted this one as a member of the one before.
    fn follows(&self, members: &Membership) -> bool {
        let next = members.epoch <= self.members.epoch + 1 && self.members.ips.contains(&self.ip);
        next || self
            .pending_membership()
            .is_some_and(|pending| pending == *members)
    }

    /// Whether it may answer ballots of this membership: it is a member and has been one since it
    /// last had a vote.
    fn votes_in(&self, members: &Membership) -> bool {
        !self.catching_up && members.ips.contains(&self.ip) && self.follows(members)
    }

    /// Phase 1: promises a ballot that is not below the promised one. `merged` is the last change
    /// that is merged on disk.
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

    /// Phase 2: accepts the value of a ballot that is not below the promised one.
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

    /// Recovers a lost disk from copies of other members' registers; whether they were enough to
    /// vote again. Of any n - q + 1 other members at least one has accepted each chosen value.
    ///
    /// A member whose disk refuses writes counts too: its memory holds all that it has ever answered.
    /// What it holds beyond that was asked for by a proposer, so accepting it here is a step of Paxos.
    /// Were it not counted, one full disk beside one lost disk would leave no way back.
    pub fn recover(&mut self, copies: &[RegisterCopy]) -> bool {
        let epoch = copies
            .iter()
            .map(|copy| copy.members.epoch)
            .max()
            .unwrap_or(0)
            .max(self.members.epoch);
        let stands = |copy: &&RegisterCopy| {
            (!copy.catching_up || copy.storage_failed) && copy.members.epoch == epoch
        };
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

    /// Makes a learner a voter of `next`, which a majority of `previous` has accepted by `ballot`;
    /// whether the copies were enough. Copies count if their members have accepted `next`: these
    /// answer no ballot of another register any more, so no value chosen by `previous` can be
    /// missing from n - q + 1 of them, and none can follow. A member whose disk refuses writes does
    /// not count here: after a restart it may not know that it has accepted `next`.
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

    /// Whether it holds all that a voter of this membership has to hold.
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

    /// Adopts a membership that was chosen; whether it is newer than the one before.
    pub fn adopt_membership(&mut self, members: &Membership) -> bool {
        let newer = members.epoch > self.members.epoch;
        if newer {
            // Who was out holds nothing of what was agreed without it, and who is out no longer counts.
            self.catching_up |= !self.follows(members) || !members.ips.contains(&self.ip);
            self.members = members.clone();
        }
        newer
    }

    /// The highest ballot that was promised or accepted in a register.
    pub fn highest_ballot(&self, register: &str) -> Ballot {
        self.registers
            .get(register)
            .map_or(Ballot::default(), |r| r.promised.max(r.accepted))
    }

    /// The accepted value of a register.
    pub fn value(&self, register: &str) -> Option<&[u8]> {
        let register = self.registers.get(register)?;
        (register.accepted != Ballot::default()).then_some(register.value.as_slice())
    }
}
