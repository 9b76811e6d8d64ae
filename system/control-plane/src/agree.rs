//! Rounds of ballots, carried out: ask all, take a majority, propose.

use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use lynxmill_consensus::{BallotRound, RoundOutcome, node};
use lynxmill_protocol::{Accept, Accepted, Ballot, Membership, PeerRequest, PeerResponse, Prepare, Promise};
use lynxmill_storage::Batch;
use prost::Message;

use crate::port::{ControlPlane, lock};

/// How long others may take to answer one ballot; a round lasts twice as long at most.
const ANSWERS: Duration = Duration::from_millis(350);
/// After a lost ballot, by chance up to this.
const BACK_OFF: f64 = 0.04;
pub const MEMBERS: &str = "members";

/// What is to be done with what a majority holds.
pub enum ProposalDecision {
    Propose(Vec<u8>),
    /// It has merged what is missing here: from there first.
    Pull(String),
    Stop,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum AgreementError {
    #[error("no majority of the core answers")]
    NoMajority,
    #[error("there is nothing to propose")]
    Stopped,
}

impl ControlPlane {
    pub fn prepare(&self, asked: &Prepare) -> Promise {
        let (promise, ticket) = {
            let mut core = lock(&self.core);
            if core.storage_failed {
                return Promise { life: self.life, ..Promise::default() };
            }
            let merged = core.merged;
            let (promise, write) = core.acceptor.prepare(asked, merged);
            let ticket =
                write.map(|register| self.store.put(Batch { registers: vec![register], ..Batch::default() }));
            (promise, ticket)
        };
        match ticket.map_or(Ok(()), |ticket| self.store.wait(ticket)) {
            Ok(()) => promise,
            Err(fault) => {
                self.failed(&fault.to_string());
                Promise { ok: false, ..promise }
            }
        }
    }

    pub fn accept(&self, asked: &Accept) -> Accepted {
        let (accepted, ticket) = {
            let mut core = lock(&self.core);
            if core.storage_failed {
                return Accepted::default();
            }
            let (accepted, write) = core.acceptor.accept(asked);
            let ticket =
                write.map(|register| self.store.put(Batch { registers: vec![register], ..Batch::default() }));
            (accepted, ticket)
        };
        match ticket.map_or(Ok(()), |ticket| self.store.wait(ticket)) {
            Ok(()) => accepted,
            Err(fault) => {
                self.failed(&fault.to_string());
                Accepted { ok: false, ..accepted }
            }
        }
    }

    /// The disk took no write: what is in memory may be ahead of it.
    pub fn failed(&self, fault: &str) {
        if !std::mem::replace(&mut lock(&self.core).storage_failed, true) {
            log::error!("no ballots until the disk takes writes again: {fault}");
        }
        self.count("disk-failed");
    }

    fn ballot(&self, register: &str, lost: u64) -> Ballot {
        use std::sync::atomic::Ordering::Relaxed;
        let highest = lock(&self.core).acceptor.highest(register).count;
        let count = highest.max(lost).max(self.ballots.load(Relaxed)) + 1;
        self.ballots.store(count, Relaxed);
        Ballot { count, node: node(&self.me), life: self.life as u32 }
    }

    /// Takes answers until the round has come to something.
    fn collect(
        &self,
        answers: &Receiver<(String, PeerResponse)>,
        mut turn: RoundOutcome,
        mut step: impl FnMut(&str, PeerResponse) -> Option<RoundOutcome>,
    ) -> RoundOutcome {
        let until = Instant::now() + ANSWERS;
        while turn == RoundOutcome::Wait {
            let left = until.saturating_duration_since(Instant::now());
            match answers.recv_timeout(left) {
                Ok((from, said)) => turn = step(&from, said).unwrap_or(turn),
                Err(_) => break,
            }
        }
        turn
    }

    fn ask_promises(&self, round: &mut BallotRound, register: &str, members: &Membership) -> RoundOutcome {
        let (waiting, answers) = channel();
        let asked = Prepare { register: register.to_owned(), ballot: round.ballot, members: members.clone() };
        let asks = round.asks();
        for ip in asks.iter().filter(|ip| **ip != self.me) {
            self.peers.ask(ip, PeerRequest::Prepare(asked.clone()), &waiting);
        }
        drop(waiting);
        let mut turn = RoundOutcome::Wait;
        if asks.contains(&self.me) {
            turn = round.promised(&self.me, self.prepare(&asked));
        }
        self.collect(&answers, turn, |from, said| {
            let PeerResponse::Promise(promise) = said else { return None };
            Some(round.promised(from, promise))
        })
    }

    fn ask_accepts(
        &self,
        round: &mut BallotRound,
        register: &str,
        members: &Membership,
        value: &[u8],
    ) -> RoundOutcome {
        let (waiting, answers) = channel();
        let asked = |ip: &str| Accept {
            register: register.to_owned(),
            ballot: round.ballot,
            members: members.clone(),
            value: value.to_vec(),
            life: round.life(ip),
        };
        let asks = round.asks();
        for ip in asks.iter().filter(|ip| **ip != self.me) {
            self.peers.ask(ip, PeerRequest::Accept(asked(ip)), &waiting);
        }
        drop(waiting);
        let own = asks.contains(&self.me).then(|| self.accept(&asked(&self.me)));
        let turn = own.map_or(RoundOutcome::Wait, |own| round.accepted(&self.me, own));
        self.collect(&answers, turn, |from, said| {
            let PeerResponse::Accepted(accepted) = said else { return None };
            Some(round.accepted(from, accepted))
        })
    }

    /// Agrees on a register's next value; `decide` sees what a majority holds and may be asked several times.
    pub fn agree(
        &self,
        register: &str,
        until: Instant,
        mut decide: impl FnMut(&BallotRound) -> ProposalDecision,
    ) -> Result<Vec<u8>, AgreementError> {
        let mut lost = 0;
        loop {
            let members = self.members();
            if members.ips.is_empty() || Instant::now() >= until {
                return Err(AgreementError::NoMajority);
            }
            let mut round = BallotRound::new(self.ballot(register, lost), &members);
            let mut turn = self.ask_promises(&mut round, register, &members);
            let mut value = Vec::new();
            if turn == RoundOutcome::Propose {
                match decide(&round) {
                    ProposalDecision::Stop => return Err(AgreementError::Stopped),
                    ProposalDecision::Pull(ip) => {
                        if !self.pull(&ip) {
                            std::thread::sleep(Duration::from_millis(20));
                        }
                        continue;
                    }
                    ProposalDecision::Propose(next) => value = next,
                }
                turn = self.ask_accepts(&mut round, register, &members, &value);
            }
            match turn {
                RoundOutcome::Agreed => return Ok(value),
                RoundOutcome::Lost(ballot) => {
                    lost = ballot.count;
                    self.count("ballots-lost");
                }
                RoundOutcome::Overtaken(newer) => self.agreed_members(&newer),
                RoundOutcome::Changing => drop(self.change_members(None, until)),
                RoundOutcome::Wait | RoundOutcome::Propose => self.count("ballots-unanswered"),
            }
            std::thread::sleep(Duration::from_secs_f64(BACK_OFF * self.drawn()));
        }
    }

    /// Changes the members, or finishes a change that may have been agreed; both majorities have to bear it.
    pub fn change_members(
        &self,
        to: Option<Membership>,
        until: Instant,
    ) -> Result<Membership, AgreementError> {
        let mut lost = 0;
        loop {
            let members = self.members();
            if members.ips.is_empty() || Instant::now() >= until {
                return Err(AgreementError::NoMajority);
            }
            let mut round = BallotRound::new(self.ballot(MEMBERS, lost), &members);
            let mut turn = self.ask_promises(&mut round, MEMBERS, &members);
            let mut next = None;
            if turn == RoundOutcome::Propose {
                let held = round.current().and_then(|value| Membership::decode(value).ok());
                let pending = held.filter(|held| held.epoch > members.epoch);
                let wanted = to.clone().filter(|to| to.epoch == members.epoch + 1);
                let Some(target) = pending.or(wanted) else { return Ok(members) };
                // What newcomers hold counts as well.
                round.also(&target);
                turn = self.ask_promises(&mut round, MEMBERS, &members);
                if turn == RoundOutcome::Propose {
                    turn = self.ask_accepts(&mut round, MEMBERS, &members, &target.encode_to_vec());
                }
                next = Some(target);
            }
            match (turn, next) {
                (RoundOutcome::Agreed, Some(next)) => {
                    self.agreed_members(&next);
                    self.tell_members();
                    return Ok(next);
                }
                (RoundOutcome::Overtaken(newer), _) => self.agreed_members(&newer),
                (RoundOutcome::Lost(ballot), _) => lost = ballot.count,
                _ => {}
            }
            std::thread::sleep(Duration::from_secs_f64(BACK_OFF * self.drawn()));
        }
    }
}
