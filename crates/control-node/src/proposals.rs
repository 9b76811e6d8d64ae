//! Proposals: a round of Paxos on a register, repeated until its value is chosen or it is
//! abandoned. There is one proposal for a register at a time, and all ballots of a process come
//! from one source.

use std::collections::BTreeMap;

use lynxmill_consensus::{BallotRound, MEMBERSHIP_REGISTER, RoundOutcome, node_number};
use lynxmill_protocol::{
    Accept, Accepted, Ballot, Membership, PeerRequest, PeerResponse, Prepare, Promise, ShardTable,
};
use lynxmill_storage::Batch;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::messages::ConnectionId;
use crate::node::ControlNode;
use crate::pending_requests::Awaited;
use crate::storage::{AfterStore, DelayedResponse};

/// How long others may take to answer one phase.
const RESPONSE_TIMEOUT: TimeDelta = TimeDelta::from_micros(350_000);
/// After a preempted ballot, a random delay up to this.
const MAX_BACKOFF: TimeDelta = TimeDelta::from_micros(40_000);
/// Up to so long before the next attempt, while the membership changes or a snapshot is read.
const RETRY_DELAY: TimeDelta = TimeDelta::from_micros(30_000);

/// The only source of a process's ballots: `next` takes it by `&mut`, so no ballot is given twice.
#[derive(Debug)]
pub(crate) struct BallotSource {
    last_count: u64,
    node: u32,
    incarnation: u32,
}

impl BallotSource {
    pub(crate) fn new(ip: &str, incarnation: u64) -> Self {
        BallotSource {
            last_count: 0,
            node: node_number(ip),
            incarnation: incarnation as u32,
        }
    }

    /// A ballot above all that were given before, and above `seen`.
    fn next(&mut self, seen: u64) -> Ballot {
        self.last_count = self.last_count.max(seen) + 1;
        Ballot {
            count: self.last_count,
            node: self.node,
            incarnation: self.incarnation,
        }
    }
}

/// What a proposal is for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// The orders that wait.
    CommitChanges,
    /// To these members, or just to the end of a change that may have been agreed.
    ChangeMembership(Option<Membership>),
    /// A service's shards get a new owner: this node.
    TakeOwnership(String),
    /// What the owner of a service's shards has decided, in its term.
    WriteShards {
        service: String,
        term: u64,
        table: ShardTable,
    },
}

/// What follows from what a majority holds.
pub(crate) enum Choice {
    Propose(Vec<u8>),
    /// Not now: something has to be read first.
    Wait,
    /// There is nothing to propose.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Until its deadline, then another round.
    Backoff,
    Prepare,
    Accept,
    /// A learner copies the registers that it needs to vote.
    Promote,
}

/// A proposal on one register.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub purpose: Purpose,
    pub round: BallotRound,
    pub phase: Phase,
    pub members: Membership,
    pub value: Vec<u8>,
    /// Responses to other attempts are late.
    pub attempt: u64,
    pub deadline: Timestamp,
    abandon_at: Timestamp,
    highest_seen: u64,
}

/// Open proposals, by register.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    open: BTreeMap<String, Proposal>,
    last_attempt: u64,
}

impl Proposals {
    pub(crate) fn get_mut(&mut self, register: &str) -> Option<&mut Proposal> {
        self.open.get_mut(register)
    }

    pub(crate) fn is_open(&self, register: &str) -> bool {
        self.open.contains_key(register)
    }

    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }
}

impl ControlNode {
    /// Begins a proposal, unless one is open on its register.
    pub(crate) fn propose(
        &mut self,
        now: Timestamp,
        register: &str,
        purpose: Purpose,
        abandon_at: Timestamp,
    ) {
        if self.proposals.is_open(register) {
            return;
        }
        let proposal = Proposal {
            purpose,
            round: BallotRound::new(Ballot::default(), &self.acceptor.members),
            phase: Phase::Backoff,
            members: self.acceptor.members.clone(),
            value: Vec::new(),
            attempt: 0,
            deadline: now,
            abandon_at,
            highest_seen: 0,
        };
        self.proposals.open.insert(register.to_owned(), proposal);
        self.begin_round(now, register);
    }

    /// Rounds whose responses did not come in time are over, whatever comes later.
    pub(crate) fn expire_proposals(&mut self, now: Timestamp) {
        let late = |p: &Proposal| {
            p.phase != Phase::Backoff && p.phase != Phase::Promote && now >= p.deadline
        };
        let registers: Vec<String> = self
            .proposals
            .open
            .iter()
            .filter(|(_, p)| late(p))
            .map(|(name, _)| name.clone())
            .collect();
        for register in registers {
            self.count("ballots-unanswered");
            self.back_off(now, &register, MAX_BACKOFF);
        }
    }

    pub(crate) fn advance_proposals(&mut self, now: Timestamp) {
        let due: Vec<(String, Phase)> = self
            .proposals
            .open
            .iter()
            .filter(|(_, p)| now >= p.deadline)
            .map(|(name, p)| (name.clone(), p.phase))
            .collect();
        for (register, phase) in due {
            match phase {
                Phase::Backoff => self.begin_round(now, &register),
                Phase::Promote => self.promotion_timed_out(now),
                _ => {}
            }
        }
    }

    fn begin_round(&mut self, now: Timestamp, register: &str) {
        let members = self.acceptor.members.clone();
        let question = self.proposals.next_attempt();
        let highest = self.acceptor.highest_ballot(register).count;
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        if members.ips.is_empty() {
            self.close_proposal(register);
            return;
        }
        if now >= proposal.abandon_at {
            return self.abandon(now, register);
        }
        let ballot = self.ballots.next(highest.max(proposal.highest_seen));
        proposal.round = BallotRound::new(ballot, &members);
        proposal.members = members;
        (proposal.phase, proposal.attempt) = (Phase::Prepare, question);
        proposal.deadline = now + RESPONSE_TIMEOUT;
        self.send_prepares(now, register);
    }

    fn send_prepares(&mut self, now: Timestamp, register: &str) {
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        let (attempt, recipients) = (proposal.attempt, proposal.round.recipients());
        let request = Prepare {
            register: register.to_owned(),
            ballot: proposal.round.ballot,
            members: proposal.members.clone(),
        };
        for ip in &recipients {
            if self.is_self(ip) {
                continue;
            }
            let awaited = Awaited::Ballot {
                register: register.to_owned(),
                attempt,
            };
            self.send_request(now, ip, PeerRequest::Prepare(request.clone()), awaited);
        }
        if !recipients.contains(&self.options.ip) {
            return;
        }
        let (promise, batch) = self.promise(&request);
        match batch {
            Some(batch) => {
                let (register, promise) = (register.to_owned(), Box::new(promise));
                self.store_then(
                    batch,
                    AfterStore::HandleOwnPromise {
                        register,
                        attempt,
                        promise,
                    },
                );
            }
            None => {
                let me = self.options.ip.clone();
                self.handle_promise(now, register, attempt, &me, promise);
            }
        }
    }

    fn send_accepts(&mut self, now: Timestamp, register: &str) {
        let next_question = self.proposals.next_attempt();
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        (proposal.phase, proposal.attempt) = (Phase::Accept, next_question);
        proposal.deadline = now + RESPONSE_TIMEOUT;
        let (attempt, recipients) = (proposal.attempt, proposal.round.recipients());
        let request_for = |ip: &str| Accept {
            register: register.to_owned(),
            ballot: proposal.round.ballot,
            members: proposal.members.clone(),
            value: proposal.value.clone(),
            incarnation: proposal.round.incarnation(ip),
        };
        let requests: Vec<(String, Accept)> = recipients
            .into_iter()
            .map(|ip| (ip.clone(), request_for(&ip)))
            .collect();
        for (ip, request) in requests {
            if self.is_self(&ip) {
                self.accept_own_proposal(now, register, attempt, &request);
            } else {
                let awaited = Awaited::Ballot {
                    register: register.to_owned(),
                    attempt,
                };
                self.send_request(now, &ip, PeerRequest::Accept(request), awaited);
            }
        }
    }

    /// Sends a value that a majority has accepted to those that have not: they were not heard then.
    pub(crate) fn resend_accepts(&mut self, now: Timestamp, register: &str) {
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        let request = Accept {
            register: register.to_owned(),
            ballot: proposal.round.ballot,
            members: proposal.members.clone(),
            value: proposal.value.clone(),
            // Whoever accepts now has not promised this ballot, and needs not: the value is chosen.
            incarnation: 0,
        };
        let attempt = proposal.attempt;
        for ip in proposal.round.without_acceptance() {
            if !self.is_self(&ip) {
                let awaited = Awaited::Ballot {
                    register: register.to_owned(),
                    attempt,
                };
                self.send_request(now, &ip, PeerRequest::Accept(request.clone()), awaited);
            }
        }
    }

    fn accept_own_proposal(
        &mut self,
        now: Timestamp,
        register: &str,
        attempt: u64,
        request: &Accept,
    ) {
        let (accepted, batch) = self.accept(request);
        match batch {
            Some(batch) => {
                let register = register.to_owned();
                self.store_then(
                    batch,
                    AfterStore::HandleOwnAccepted {
                        register,
                        attempt,
                        accepted,
                    },
                );
            }
            None => {
                let me = self.options.ip.clone();
                self.handle_accepted(now, register, attempt, &me, accepted);
            }
        }
    }

    pub(crate) fn handle_promise(
        &mut self,
        now: Timestamp,
        register: &str,
        attempt: u64,
        from: &str,
        promise: Promise,
    ) {
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        if proposal.phase != Phase::Prepare || proposal.attempt != attempt {
            return;
        }
        let outcome = proposal.round.promised(from, promise);
        match outcome {
            RoundOutcome::Propose => self.choose_value(now, register),
            other => self.handle_outcome(now, register, other),
        }
    }

    /// A majority has promised: decides what to propose, given what it holds.
    fn choose_value(&mut self, now: Timestamp, register: &str) {
        let Some(proposal) = self.proposals.open.remove(register) else {
            return;
        };
        let choice = match &proposal.purpose {
            Purpose::CommitChanges => self.choose_changes(now, &proposal.round),
            Purpose::ChangeMembership(target) => self.choose_membership(&proposal, target.clone()),
            Purpose::TakeOwnership(_) => self.choose_ownership(&proposal.round),
            Purpose::WriteShards { term, table, .. } => {
                Self::choose_shard_table(&proposal.round, *term, table)
            }
        };
        match choice {
            Choice::End => return self.nothing_to_propose(now, proposal.purpose),
            Choice::Wait => {
                self.proposals.open.insert(register.to_owned(), proposal);
                return self.back_off(now, register, RETRY_DELAY);
            }
            Choice::Propose(value) => {
                self.proposals
                    .open
                    .insert(register.to_owned(), Proposal { value, ..proposal });
            }
        }
        self.send_accepts(now, register);
    }

    pub(crate) fn handle_accepted(
        &mut self,
        now: Timestamp,
        register: &str,
        attempt: u64,
        from: &str,
        accepted: Accepted,
    ) {
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        if proposal.phase != Phase::Accept || proposal.attempt != attempt {
            return;
        }
        let outcome = proposal.round.accepted(from, accepted);
        self.handle_outcome(now, register, outcome);
    }

    fn handle_outcome(&mut self, now: Timestamp, register: &str, outcome: RoundOutcome) {
        match outcome {
            RoundOutcome::Pending | RoundOutcome::Propose => {}
            RoundOutcome::Chosen if register == MEMBERSHIP_REGISTER => {
                self.membership_accepted(now)
            }
            RoundOutcome::Chosen => self.value_chosen(now, register),
            RoundOutcome::Preempted(ballot) => {
                self.count("ballots-preempted");
                if let Some(proposal) = self.proposals.get_mut(register) {
                    proposal.highest_seen = proposal.highest_seen.max(ballot.count);
                }
                self.back_off(now, register, MAX_BACKOFF);
            }
            RoundOutcome::MembershipChanged(newer) => {
                self.back_off(now, register, MAX_BACKOFF);
                self.adopt_membership(now, &newer);
            }
            RoundOutcome::MembershipChanging => {
                self.back_off(now, register, RETRY_DELAY);
                self.finish_membership_change(now);
            }
        }
    }

    fn value_chosen(&mut self, now: Timestamp, register: &str) {
        let Some(proposal) = self.close_proposal(register) else {
            return;
        };
        match proposal.purpose {
            Purpose::CommitChanges => self.changes_chosen(now, &proposal.value),
            Purpose::ChangeMembership(_) => {}
            Purpose::TakeOwnership(service) => {
                self.ownership_chosen(now, &service, &proposal.value)
            }
            Purpose::WriteShards {
                service,
                term,
                table,
            } => self.shard_table_written(&service, term, table),
        }
    }

    pub(crate) fn close_proposal(&mut self, register: &str) -> Option<Proposal> {
        self.proposals.open.remove(register)
    }

    /// Another round after a random delay up to `max`.
    fn back_off(&mut self, now: Timestamp, register: &str, max: TimeDelta) {
        let after = max.times(self.random_fraction());
        if let Some(proposal) = self.proposals.get_mut(register) {
            (proposal.phase, proposal.attempt) = (Phase::Backoff, 0);
            proposal.deadline = now + after;
        }
    }

    /// No majority has answered for as long as this was worth trying.
    fn abandon(&mut self, now: Timestamp, register: &str) {
        let Some(proposal) = self.close_proposal(register) else {
            return;
        };
        match proposal.purpose {
            Purpose::CommitChanges => self.propose_orders(now),
            Purpose::ChangeMembership(target) => self.membership_change_failed(target),
            Purpose::TakeOwnership(_) => self.count("ownership-not-taken"),
            Purpose::WriteShards { service, term, .. } => {
                self.shard_table_write_failed(&service, term)
            }
        }
    }

    /// The proposal ends without a value.
    fn nothing_to_propose(&mut self, now: Timestamp, purpose: Purpose) {
        match purpose {
            Purpose::CommitChanges => self.propose_orders(now),
            Purpose::ChangeMembership(_) | Purpose::TakeOwnership(_) => {}
            Purpose::WriteShards { service, term, .. } => self.ownership_deposed(&service, term),
        }
    }

    // --- the acceptor ---

    fn promise(&mut self, request: &Prepare) -> (Promise, Option<Batch>) {
        if self.storage.has_failed() {
            return (
                Promise {
                    incarnation: self.acceptor.incarnation,
                    ..Promise::default()
                },
                None,
            );
        }
        // What it tells of changes is on disk with the promise: others drop these changes from the register
        // by it.
        let merged = self.merged_on_disk;
        let (promise, write) = self.acceptor.prepare(request, merged);
        let batch = |register| Batch {
            registers: vec![register],
            merged: Some(merged),
            ..Batch::default()
        };
        (promise, write.map(batch))
    }

    fn accept(&mut self, asked: &Accept) -> (Accepted, Option<Batch>) {
        if self.storage.has_failed() {
            return (Accepted::default(), None);
        }
        let (accepted, write) = self.acceptor.accept(asked);
        (
            accepted,
            write.map(|register| Batch {
                registers: vec![register],
                ..Batch::default()
            }),
        )
    }

    pub(crate) fn handle_prepare(&mut self, connection: ConnectionId, id: u64, request: &Prepare) {
        let (promise, batch) = self.promise(request);
        let failed = PeerResponse::Promise(Promise {
            ok: false,
            ..promise.clone()
        });
        self.respond_after_store(
            connection,
            id,
            batch,
            PeerResponse::Promise(promise),
            failed,
        );
    }

    pub(crate) fn handle_accept(&mut self, connection: ConnectionId, id: u64, request: &Accept) {
        let (accepted, batch) = self.accept(request);
        let failed = PeerResponse::Accepted(Accepted {
            ok: false,
            ..accepted
        });
        self.respond_after_store(
            connection,
            id,
            batch,
            PeerResponse::Accepted(accepted),
            failed,
        );
    }

    fn respond_after_store(
        &mut self,
        connection: ConnectionId,
        id: u64,
        batch: Option<Batch>,
        written: PeerResponse,
        failed: PeerResponse,
    ) {
        match batch {
            None => self.respond(connection, id, written),
            Some(batch) => {
                let delayed = DelayedResponse {
                    connection,
                    id,
                    written,
                    failed,
                };
                self.store_then(batch, AfterStore::Respond(Box::new(delayed)));
            }
        }
    }
}
