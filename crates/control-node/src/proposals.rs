//! Rounds of ballots: ask all members, take a majority, propose. One proposal a register at a time, and all
//! ballots of a process come from one counter.

use std::collections::BTreeMap;

use lynxmill_consensus::{BallotRound, MEMBERS, RoundOutcome, node};
use lynxmill_protocol::{
    Accept, Accepted, Ballot, Membership, PeerRequest, PeerResponse, Prepare, Promise, ShardTable,
};
use lynxmill_storage::Batch;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::messages::ConnectionId;
use crate::node::ControlNode;
use crate::outstanding::Awaited;
use crate::storage::{AfterStore, DelayedResponse};

/// How long others may take to answer one question of a round.
const ANSWERS: TimeDelta = TimeDelta::from_micros(350_000);
/// After a lost ballot, by chance up to this.
const BACK_OFF: TimeDelta = TimeDelta::from_micros(40_000);
/// While the members change, or a snapshot is read, before the next try.
const SHORT_WAIT: TimeDelta = TimeDelta::from_micros(30_000);

/// The one source of a process's ballots: `next` takes the source by `&mut`, so no two callers get the same.
#[derive(Debug)]
pub(crate) struct BallotSource {
    last: u64,
    node: u32,
    life: u32,
}

impl BallotSource {
    pub fn new(ip: &str, life: u64) -> Self {
        BallotSource {
            last: 0,
            node: node(ip),
            life: life as u32,
        }
    }

    /// A ballot above all that were given before, and above `seen`.
    fn next(&mut self, seen: u64) -> Ballot {
        self.last = self.last.max(seen) + 1;
        Ballot {
            count: self.last,
            node: self.node,
            life: self.life,
        }
    }
}

/// What a proposal is for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// The orders that wait.
    Changes,
    /// To these members, or just to the end of a change that may have been agreed.
    Members(Option<Membership>),
    /// A service's shards get a new owner: this node.
    TakeOwnership(String),
    /// What the owner of a service's shards has decided, in its term.
    WriteShards {
        service: String,
        term: u64,
        table: ShardTable,
    },
}

/// What to do with what a majority holds.
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
    Pause,
    Prepare,
    Accept,
    /// A newcomer reads what it needs for its seat.
    Seat,
}

#[derive(Debug)]
pub(crate) struct Proposal {
    pub purpose: Purpose,
    pub round: BallotRound,
    pub phase: Phase,
    pub members: Membership,
    pub value: Vec<u8>,
    /// Answers to other questions than this one are late.
    pub question: u64,
    pub deadline: Timestamp,
    give_up: Timestamp,
    lost: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Proposals {
    open: BTreeMap<String, Proposal>,
    questions: u64,
}

impl Proposals {
    pub fn get_mut(&mut self, register: &str) -> Option<&mut Proposal> {
        self.open.get_mut(register)
    }

    pub fn is_open(&self, register: &str) -> bool {
        self.open.contains_key(register)
    }

    pub fn next_question(&mut self) -> u64 {
        self.questions += 1;
        self.questions
    }
}

impl ControlNode {
    /// Begins a proposal, unless one is open on its register.
    pub(crate) fn propose(
        &mut self,
        now: Timestamp,
        register: &str,
        purpose: Purpose,
        give_up: Timestamp,
    ) {
        if self.proposals.is_open(register) {
            return;
        }
        let proposal = Proposal {
            purpose,
            round: BallotRound::new(Ballot::default(), &self.acceptor.members),
            phase: Phase::Pause,
            members: self.acceptor.members.clone(),
            value: Vec::new(),
            question: 0,
            deadline: now,
            give_up,
            lost: 0,
        };
        self.proposals.open.insert(register.to_owned(), proposal);
        self.begin_round(now, register);
    }

    /// Rounds whose answers did not come in time are over, whatever comes later.
    pub(crate) fn expire_proposals(&mut self, now: Timestamp) {
        let late =
            |p: &Proposal| p.phase != Phase::Pause && p.phase != Phase::Seat && now >= p.deadline;
        let registers: Vec<String> = self
            .proposals
            .open
            .iter()
            .filter(|(_, p)| late(p))
            .map(|(name, _)| name.clone())
            .collect();
        for register in registers {
            self.count("ballots-unanswered");
            self.pause(now, &register, BACK_OFF);
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
                Phase::Pause => self.begin_round(now, &register),
                Phase::Seat => self.seat_unanswered(now),
                _ => {}
            }
        }
    }

    fn begin_round(&mut self, now: Timestamp, register: &str) {
        let members = self.acceptor.members.clone();
        let question = self.proposals.next_question();
        let highest = self.acceptor.highest(register).count;
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        if members.ips.is_empty() {
            self.close_proposal(register);
            return;
        }
        if now >= proposal.give_up {
            return self.give_up(now, register);
        }
        let ballot = self.ballots.next(highest.max(proposal.lost));
        proposal.round = BallotRound::new(ballot, &members);
        proposal.members = members;
        (proposal.phase, proposal.question) = (Phase::Prepare, question);
        proposal.deadline = now + ANSWERS;
        self.ask_promises(now, register);
    }

    fn ask_promises(&mut self, now: Timestamp, register: &str) {
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        let (question, asks) = (proposal.question, proposal.round.asks());
        let asked = Prepare {
            register: register.to_owned(),
            ballot: proposal.round.ballot,
            members: proposal.members.clone(),
        };
        for ip in &asks {
            if self.is_me(ip) {
                continue;
            }
            let awaited = Awaited::Ballot {
                register: register.to_owned(),
                question,
            };
            self.ask(now, ip, PeerRequest::Prepare(asked.clone()), awaited);
        }
        if !asks.contains(&self.options.ip) {
            return;
        }
        let (promise, batch) = self.promise(&asked);
        match batch {
            Some(batch) => {
                let (register, promise) = (register.to_owned(), Box::new(promise));
                self.store_then(
                    batch,
                    AfterStore::OwnPromise {
                        register,
                        question,
                        promise,
                    },
                );
            }
            None => {
                let me = self.options.ip.clone();
                self.promised(now, register, question, &me, promise);
            }
        }
    }

    fn ask_accepts(&mut self, now: Timestamp, register: &str) {
        let next_question = self.proposals.next_question();
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        (proposal.phase, proposal.question) = (Phase::Accept, next_question);
        proposal.deadline = now + ANSWERS;
        let (question, asks) = (proposal.question, proposal.round.asks());
        let asked = |ip: &str| Accept {
            register: register.to_owned(),
            ballot: proposal.round.ballot,
            members: proposal.members.clone(),
            value: proposal.value.clone(),
            life: proposal.round.life(ip),
        };
        let requests: Vec<(String, Accept)> = asks
            .into_iter()
            .map(|ip| (ip.clone(), asked(&ip)))
            .collect();
        for (ip, asked) in requests {
            if self.is_me(&ip) {
                self.accept_own(now, register, question, &asked);
            } else {
                let awaited = Awaited::Ballot {
                    register: register.to_owned(),
                    question,
                };
                self.ask(now, &ip, PeerRequest::Accept(asked), awaited);
            }
        }
    }

    fn accept_own(&mut self, now: Timestamp, register: &str, question: u64, asked: &Accept) {
        let (accepted, batch) = self.accept(asked);
        match batch {
            Some(batch) => {
                let register = register.to_owned();
                self.store_then(
                    batch,
                    AfterStore::OwnAccepted {
                        register,
                        question,
                        accepted,
                    },
                );
            }
            None => {
                let me = self.options.ip.clone();
                self.accepted(now, register, question, &me, accepted);
            }
        }
    }

    pub(crate) fn promised(
        &mut self,
        now: Timestamp,
        register: &str,
        question: u64,
        from: &str,
        promise: Promise,
    ) {
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        if proposal.phase != Phase::Prepare || proposal.question != question {
            return;
        }
        let outcome = proposal.round.promised(from, promise);
        match outcome {
            RoundOutcome::Propose => self.choose(now, register),
            other => self.round_ended(now, register, other),
        }
    }

    /// A majority has promised: what follows from what it holds?
    fn choose(&mut self, now: Timestamp, register: &str) {
        let Some(proposal) = self.proposals.open.remove(register) else {
            return;
        };
        let choice = match &proposal.purpose {
            Purpose::Changes => self.choose_changes(now, &proposal.round),
            Purpose::Members(target) => self.choose_members(&proposal, target.clone()),
            Purpose::TakeOwnership(_) => self.choose_ownership(&proposal.round),
            Purpose::WriteShards { term, table, .. } => {
                Self::choose_shards(&proposal.round, *term, table)
            }
        };
        match choice {
            Choice::End => return self.proposal_stopped(now, proposal.purpose),
            Choice::Wait => {
                self.proposals.open.insert(register.to_owned(), proposal);
                return self.pause(now, register, SHORT_WAIT);
            }
            Choice::Propose(value) => {
                self.proposals
                    .open
                    .insert(register.to_owned(), Proposal { value, ..proposal });
            }
        }
        self.ask_accepts(now, register);
    }

    pub(crate) fn accepted(
        &mut self,
        now: Timestamp,
        register: &str,
        question: u64,
        from: &str,
        accepted: Accepted,
    ) {
        let Some(proposal) = self.proposals.get_mut(register) else {
            return;
        };
        if proposal.phase != Phase::Accept || proposal.question != question {
            return;
        }
        let outcome = proposal.round.accepted(from, accepted);
        self.round_ended(now, register, outcome);
    }

    fn round_ended(&mut self, now: Timestamp, register: &str, outcome: RoundOutcome) {
        match outcome {
            RoundOutcome::Wait | RoundOutcome::Propose => {}
            RoundOutcome::Agreed if register == MEMBERS => self.members_accepted(now),
            RoundOutcome::Agreed => self.agreed(now, register),
            RoundOutcome::Lost(ballot) => {
                self.count("ballots-lost");
                if let Some(proposal) = self.proposals.get_mut(register) {
                    proposal.lost = proposal.lost.max(ballot.count);
                }
                self.pause(now, register, BACK_OFF);
            }
            RoundOutcome::Overtaken(newer) => {
                self.pause(now, register, BACK_OFF);
                self.adopt_members(now, &newer);
            }
            RoundOutcome::Changing => {
                self.pause(now, register, SHORT_WAIT);
                self.finish_change_of_members(now);
            }
        }
    }

    fn agreed(&mut self, now: Timestamp, register: &str) {
        let Some(proposal) = self.close_proposal(register) else {
            return;
        };
        match proposal.purpose {
            Purpose::Changes => self.changes_agreed(now, &proposal.value),
            Purpose::Members(_) => {}
            Purpose::TakeOwnership(service) => {
                self.ownership_agreed(now, &service, &proposal.value)
            }
            Purpose::WriteShards {
                service,
                term,
                table,
            } => self.shards_written(&service, term, table),
        }
    }

    pub(crate) fn close_proposal(&mut self, register: &str) -> Option<Proposal> {
        self.proposals.open.remove(register)
    }

    /// Another round after a while, by chance up to `most`.
    fn pause(&mut self, now: Timestamp, register: &str, most: TimeDelta) {
        let after = most.times(self.drawn());
        if let Some(proposal) = self.proposals.get_mut(register) {
            (proposal.phase, proposal.question) = (Phase::Pause, 0);
            proposal.deadline = now + after;
        }
    }

    /// The change of members is tried once more, from its beginning.
    pub(crate) fn retry_members(&mut self, now: Timestamp) {
        self.pause(now, MEMBERS, BACK_OFF);
    }

    /// No majority has answered for as long as this was worth trying.
    fn give_up(&mut self, now: Timestamp, register: &str) {
        let Some(proposal) = self.close_proposal(register) else {
            return;
        };
        match proposal.purpose {
            Purpose::Changes => self.reconsider_orders(now),
            Purpose::Members(target) => self.members_unchanged(target),
            Purpose::TakeOwnership(_) => self.count("ownership-not-taken"),
            Purpose::WriteShards { service, term, .. } => self.shards_unwritten(&service, term),
        }
    }

    /// There was nothing to propose.
    fn proposal_stopped(&mut self, now: Timestamp, purpose: Purpose) {
        match purpose {
            Purpose::Changes => self.reconsider_orders(now),
            Purpose::Members(_) | Purpose::TakeOwnership(_) => {}
            Purpose::WriteShards { service, term, .. } => self.deposed(&service, term),
        }
    }

    // --- the acceptor ---

    fn promise(&mut self, asked: &Prepare) -> (Promise, Option<Batch>) {
        if self.storage.has_failed() {
            return (
                Promise {
                    life: self.acceptor.life,
                    ..Promise::default()
                },
                None,
            );
        }
        // What it tells of changes is on disk with the promise: others drop these changes from the register
        // by it.
        let merged = self.merged_on_disk;
        let (promise, write) = self.acceptor.prepare(asked, merged);
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

    pub(crate) fn asked_to_promise(&mut self, connection: ConnectionId, id: u64, asked: &Prepare) {
        let (promise, batch) = self.promise(asked);
        let failed = PeerResponse::Promise(Promise {
            ok: false,
            ..promise.clone()
        });
        self.respond_behind(
            connection,
            id,
            batch,
            PeerResponse::Promise(promise),
            failed,
        );
    }

    pub(crate) fn asked_to_accept(&mut self, connection: ConnectionId, id: u64, asked: &Accept) {
        let (accepted, batch) = self.accept(asked);
        let failed = PeerResponse::Accepted(Accepted {
            ok: false,
            ..accepted
        });
        self.respond_behind(
            connection,
            id,
            batch,
            PeerResponse::Accepted(accepted),
            failed,
        );
    }

    fn respond_behind(
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
