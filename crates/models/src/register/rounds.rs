//! Rounds of proposers, in the order of the control plane's `agree` and `change_members`.

use lynxmill_configuration::{Configuration, ConfigurationChange, Item};
use lynxmill_consensus::{
    BallotRound, Decision, MEMBERSHIP_REGISTER, RoundOutcome, is_behind, unmerged, validate,
};
use lynxmill_protocol::{Accept, Ballot, Membership, PendingChanges, Prepare, ShardTable, Slice};
use prost::Message;

use crate::fingerprint::Part;

use super::world::{
    Bug, CHANGES, Goal, LIST, Node, Phase, Proposer, Request, Round, Sent, Setup, TABLE, World, ip,
    machine,
};

/// Whether answers to these are awaited by this proposer now.
fn awaits(proposer: &Proposer, request: &Request) -> bool {
    let (ballot, phase_fits) = match request {
        Request::Prepare(asked) => (
            asked.ballot,
            matches!(proposer.phase, Phase::Prepare(_) | Phase::PrepareBoth(_)),
        ),
        Request::Accept(asked) => (asked.ballot, matches!(proposer.phase, Phase::Accept(_))),
    };
    phase_fits
        && proposer
            .phase
            .round()
            .is_some_and(|round| round.ballots.ballot == ballot)
}

/// Merges what was agreed, unless something before it is missing.
fn merge_changes(node: &mut Node, changes: &PendingChanges) {
    if is_behind(node.merged, changes) {
        return;
    }
    let items: Vec<Item> = unmerged(node.merged, changes)
        .flat_map(|change| &change.items)
        .cloned()
        .collect();
    for item in &items {
        node.configuration.merge(item);
    }
    node.merged = node.merged.max(changes.last_number);
}

/// The shard table that a round has found.
fn held_table(round: &Round) -> ShardTable {
    round
        .ballots
        .accepted_value()
        .map(ShardTable::decode)
        .and_then(Result::ok)
        .unwrap_or_default()
}

impl World {
    /// Whether the reply to a request is awaited now.
    pub fn is_awaited(&self, sent: &Sent) -> bool {
        awaits(&self.proposers[sent.proposer], &sent.request)
    }

    /// Drops requests that can't change anything any more, and what proposers without rounds left remember,
    /// so that states that differ only in these are one.
    pub fn forget_spent(&mut self, setup: &Setup) {
        for proposer in &mut self.proposers {
            if proposer.rounds_left == 0 && matches!(proposer.phase, Phase::Idle) {
                proposer.update(|proposer| (proposer.phase, proposer.lost) = (Phase::Done, 0));
            }
        }
        let sent = std::mem::take(&mut self.sent);
        self.sent = sent
            .into_iter()
            .filter(|sent| self.is_awaited(sent) || self.may_matter(setup, sent))
            .collect();
    }

    /// Whether an acceptor may yet take a request whose reply nobody awaits.
    fn may_matter(&self, setup: &Setup, sent: &Sent) -> bool {
        if self.nodes[sent.to].down {
            return false;
        }
        let Request::Accept(asked) = &sent.request else {
            return false;
        };
        let node = &self.nodes[sent.to];
        let bound = asked.incarnation != 0 && setup.bug != Bug::AcceptOutlivesDisk;
        if bound && asked.incarnation != node.acceptor.incarnation {
            return false;
        }
        let held = node.acceptor.registers.get(&asked.register);
        let spent =
            held.is_some_and(|held| held.promised > asked.ballot || held.accepted == asked.ballot);
        let may_be_wiped = !bound && self.wipes_left > 0 && setup.wiped.contains(&sent.to);
        !spent || may_be_wiped
    }

    /// Whether a proposer may begin a round, giving up one that runs.
    pub fn may_begin(&self, p: usize) -> bool {
        let proposer = &self.proposers[p];
        let busy = matches!(proposer.phase, Phase::Done | Phase::Seat(_));
        let node = &self.nodes[proposer.machine];
        !busy
            && !node.down
            && proposer.rounds_left > 0
            && !node.acceptor.catching_up
            && !node.acceptor.members.ips.is_empty()
    }

    /// Begins a round with a new ballot.
    pub fn begin(&mut self, setup: &Setup, p: usize) {
        let proposer = (*self.proposers[p]).clone();
        let changes_members = proposer.finishing || matches!(proposer.goal, Goal::Change(_));
        let register = match (&proposer.goal, changes_members) {
            (_, true) => MEMBERSHIP_REGISTER,
            (Goal::Order(_), _) => CHANGES,
            (Goal::TakeOver | Goal::MoveShard(_), _) => TABLE,
            _ => LIST,
        };
        let floor = self.longest.clone();
        let twice = setup.bug == Bug::BallotGivenTwice;
        let taken_at_the_same_time = self.ballot_beside(p).filter(|_| twice);
        let (ballot, members) = self.nodes[proposer.machine].update(|node| {
            let count = node
                .count
                .max(proposer.lost)
                .max(node.acceptor.highest_ballot(register).count)
                + 1;
            node.count = count;
            let maker = lynxmill_consensus::node_number(&node.acceptor.ip);
            let own = Ballot {
                count,
                node: maker,
                incarnation: node.acceptor.incarnation as u32,
            };
            let ballot = taken_at_the_same_time.unwrap_or(own);
            (ballot, node.acceptor.members.clone())
        });
        let round = Round {
            ballots: BallotRound::new(ballot, &members),
            register: register.to_owned(),
            members,
            target: None,
            value: Vec::new(),
            floor,
            copies: Vec::new(),
        };
        self.ask(p, &round, false);
        self.proposers[p].update(|proposer| {
            proposer.rounds_left -= 1;
            proposer.phase = Phase::Prepare(round);
        });
        self.answer_own(setup, p);
    }

    /// The ballot that another thread of the same machine prepares.
    fn ballot_beside(&self, p: usize) -> Option<Ballot> {
        let beside = |other: &&Part<Proposer>| {
            other.machine == self.proposers[p].machine && matches!(other.phase, Phase::Prepare(_))
        };
        let mut rounds = self
            .proposers
            .iter()
            .filter(beside)
            .filter_map(|other| other.phase.round());
        rounds.next().map(|round| round.ballots.ballot)
    }

    /// The acceptor on a proposer's own machine answers at once, as in the control plane.
    fn answer_own(&mut self, setup: &Setup, p: usize) {
        let at = self.proposers[p].machine;
        let own = |sent: &Part<Sent>| {
            sent.proposer == p && sent.to == at && awaits(&self.proposers[p], &sent.request)
        };
        if let Some(place) = self.sent.iter().position(own) {
            let sent = self.sent.remove(place);
            self.deliver(setup, &sent, true);
        }
    }

    /// Sends a round's prepares, or its accepts.
    fn ask(&mut self, p: usize, round: &Round, accept: bool) {
        for to in round.ballots.recipients() {
            let (register, ballot, members) = (
                round.register.clone(),
                round.ballots.ballot,
                round.members.clone(),
            );
            let request = if accept {
                let (value, incarnation) = (round.value.clone(), round.ballots.incarnation(&to));
                Request::Accept(Accept {
                    register,
                    ballot,
                    members,
                    value,
                    incarnation,
                })
            } else {
                Request::Prepare(Prepare {
                    register,
                    ballot,
                    members,
                })
            };
            self.send(Sent {
                proposer: p,
                to: machine(&to),
                request,
            });
        }
    }

    /// A request comes to a machine; its reply is taken at once, or lost.
    pub fn deliver(&mut self, setup: &Setup, sent: &Sent, answered: bool) {
        let awaited = awaits(&self.proposers[sent.proposer], &sent.request);
        let from = ip(sent.to);
        let turn = match &sent.request {
            Request::Prepare(asked) => {
                let promise = self.vote(setup, sent.to, |node| {
                    node.acceptor.prepare(asked, node.merged).0
                });
                (awaited && answered).then(|| {
                    self.take(sent.proposer, |round| {
                        round.ballots.promised(&from, promise)
                    })
                })
            }
            Request::Accept(asked) => {
                let mut asked = asked.clone();
                if setup.bug == Bug::AcceptOutlivesDisk {
                    asked.incarnation = 0;
                }
                let accepted = self.vote(setup, sent.to, |node| node.acceptor.accept(&asked).0);
                (awaited && answered).then(|| {
                    self.take(sent.proposer, |round| {
                        round.ballots.accepted(&from, accepted)
                    })
                })
            }
        };
        if let Some(turn) = turn {
            self.turn(setup, sent.proposer, turn);
        }
    }

    fn vote<R>(&mut self, setup: &Setup, at: usize, answer: impl FnOnce(&mut Node) -> R) -> R {
        self.nodes[at].update(|node| {
            let honest = node.acceptor.catching_up;
            node.acceptor.catching_up &= setup.bug != Bug::BlankVotes;
            let reply = answer(node);
            node.acceptor.catching_up = honest;
            reply
        })
    }

    fn take(&mut self, p: usize, answer: impl FnOnce(&mut Round) -> RoundOutcome) -> RoundOutcome {
        self.proposers[p].update(|proposer| match &mut proposer.phase {
            Phase::Prepare(round) | Phase::PrepareBoth(round) | Phase::Accept(round) => {
                answer(round)
            }
            _ => RoundOutcome::Pending,
        })
    }

    fn turn(&mut self, setup: &Setup, p: usize, turn: RoundOutcome) {
        let idle = |proposer: &mut Proposer| proposer.phase = Phase::Idle;
        match turn {
            RoundOutcome::Pending => {}
            RoundOutcome::Propose => self.propose(setup, p),
            RoundOutcome::Chosen => self.agreed(setup, p),
            RoundOutcome::Preempted(ballot) => self.proposers[p].update(|proposer| {
                proposer.lost = ballot.count;
                idle(proposer);
            }),
            RoundOutcome::MembershipChanged(members) => {
                self.learn_members(self.proposers[p].machine, &members);
                self.proposers[p].update(idle);
            }
            RoundOutcome::MembershipChanging => self.proposers[p].update(|proposer| {
                proposer.finishing = true;
                idle(proposer);
            }),
        }
    }

    /// Takes members that were agreed.
    pub fn learn_members(&mut self, n: usize, members: &Membership) {
        if self.nodes[n].acceptor.members.epoch < members.epoch {
            self.nodes[n].update(|node| node.acceptor.adopt_membership(members));
        }
    }

    fn propose(&mut self, setup: &Setup, p: usize) {
        let proposer = (*self.proposers[p]).clone();
        match proposer.phase.clone() {
            Phase::PrepareBoth(round) => self.ask_accepts(setup, p, round),
            Phase::Prepare(round) if round.register == MEMBERSHIP_REGISTER => {
                self.propose_members(setup, p, round)
            }
            Phase::Prepare(mut round) => match &proposer.goal {
                Goal::Append(element) => {
                    round.value = round.ballots.accepted_value().unwrap_or_default().to_vec();
                    if !round.value.contains(element) {
                        round.value.push(*element);
                    }
                    self.ask_accepts(setup, p, round);
                }
                Goal::Order(order) => self.propose_order(setup, p, round, order),
                Goal::TakeOver => self.propose_take_over(setup, p, round),
                Goal::MoveShard(owner) => self.propose_move(setup, p, round, owner),
                Goal::Change(_) => {}
            },
            _ => {}
        }
    }

    fn ask_accepts(&mut self, setup: &Setup, p: usize, round: Round) {
        self.ask(p, &round, true);
        self.proposers[p].update(|proposer| proposer.phase = Phase::Accept(round));
        self.answer_own(setup, p);
    }

    fn propose_members(&mut self, setup: &Setup, p: usize, mut round: Round) {
        let held = round
            .ballots
            .accepted_value()
            .and_then(|value| Membership::decode(value).ok());
        let pending = held.filter(|held| held.epoch > round.members.epoch);
        let wanted = match &self.proposers[p].goal {
            Goal::Change(to) => Some(to.clone()).filter(|to| to.epoch == round.members.epoch + 1),
            _ => None,
        };
        let Some(target) = pending.or(wanted) else {
            // Nothing is left to be done.
            return self.proposers[p].update(|proposer| {
                let done = matches!(proposer.goal, Goal::Change(_));
                proposer.phase = if done { Phase::Done } else { Phase::Idle };
                proposer.finishing = false;
            });
        };
        round.value = target.encode_to_vec();
        round.target = Some(target.clone());
        if setup.previous_majority_is_enough {
            return self.ask_accepts(setup, p, round);
        }
        round.ballots.require_majority_of_both(&target);
        self.ask(p, &round, false);
        self.proposers[p].update(|proposer| proposer.phase = Phase::PrepareBoth(round));
        self.answer_own(setup, p);
    }

    fn propose_order(&mut self, setup: &Setup, p: usize, mut round: Round, order: &Item) {
        let changes = round
            .ballots
            .accepted_value()
            .map(PendingChanges::decode)
            .and_then(Result::ok)
            .unwrap_or_default();
        let at = self.proposers[p].machine;
        let node = &self.nodes[at];
        let make = |newest: &Configuration| {
            let taken = newest.version(&order.key) == order.version;
            let passed_over = setup.bug == Bug::EqualVersionConfirmed && taken;
            ConfigurationChange {
                items: if passed_over {
                    Vec::new()
                } else {
                    vec![order.clone()]
                },
            }
        };
        match validate(
            &node.configuration,
            node.merged,
            changes,
            round.ballots.merged_by_majority(),
            make,
        ) {
            Decision::Propose(next) | Decision::Unchanged(next) => {
                round.value = next.encode_to_vec();
                self.ask_accepts(setup, p, round);
            }
            Decision::Refuse(_) => {
                self.proposers[p].update(|proposer| proposer.phase = Phase::Done)
            }
            Decision::Behind => self.pull(p, at, &round),
        }
    }

    /// As the control plane's `take_over`: stored owners stay, the term rises.
    fn propose_take_over(&mut self, setup: &Setup, p: usize, mut round: Round) {
        let mut table = held_table(&round);
        table.term += 1;
        table.owner = ip(self.proposers[p].machine);
        if table.slices.is_empty() {
            table.slices.push(Slice {
                from: 0,
                to: u32::MAX,
                ..Slice::default()
            });
        }
        round.value = table.encode_to_vec();
        self.ask_accepts(setup, p, round);
    }

    /// As the control plane's `turn`: only in its own term; whoever finds another one has been deposed.
    fn propose_move(&mut self, setup: &Setup, p: usize, mut round: Round, owner: &str) {
        let machine = self.proposers[p].machine;
        let held = held_table(&round);
        let own = self.tables.get(&machine).cloned();
        let own = own.filter(|own| own.term == held.term || setup.bug == Bug::TermIgnored);
        let Some(mut table) = own else {
            self.tables.remove(&machine);
            return self.proposers[p].update(|proposer| proposer.phase = Phase::Done);
        };
        for slice in &mut table.slices {
            (slice.owner, slice.generation) = (owner.to_owned(), slice.generation + 1);
        }
        round.value = table.encode_to_vec();
        self.ask_accepts(setup, p, round);
    }

    /// Takes what is missing from whoever has merged the most, then tries again.
    fn pull(&mut self, p: usize, at: usize, round: &Round) {
        let Some((from, _)) = round.ballots.most_advanced() else {
            return;
        };
        let source = self.nodes[machine(from)].clone();
        self.nodes[at].update(|node| {
            for item in source.configuration.items.values() {
                node.configuration.merge(item);
            }
            node.merged = node.merged.max(source.merged);
        });
        self.proposers[p].update(|proposer| proposer.phase = Phase::Idle);
    }

    fn agreed(&mut self, setup: &Setup, p: usize) {
        let proposer = (*self.proposers[p]).clone();
        let Phase::Accept(round) = proposer.phase.clone() else {
            return;
        };
        if let Some(target) = round.target.clone() {
            let newcomer = target.ips.iter().any(|ip| !round.members.ips.contains(ip));
            let seats = newcomer && setup.bug != Bug::SeatedBlank;
            self.proposers[p].update(|proposer| proposer.phase = Phase::Seat(round));
            if !seats {
                self.finish_change(p);
            }
            return;
        }
        self.proposers[p].update(|proposer| proposer.phase = Phase::Done);
        match &proposer.goal {
            Goal::Order(order) => self.agreed_order(&proposer, &round, order),
            Goal::TakeOver | Goal::MoveShard(_) => {
                let table = ShardTable::decode(round.value.as_slice()).unwrap_or_default();
                self.agree_on_table(proposer.machine, round.ballots.ballot, table);
            }
            _ => self.agreed_list(round.value, &round.floor),
        }
    }

    fn agreed_order(&mut self, proposer: &Proposer, round: &Round, order: &Item) {
        let Ok(changes) = PendingChanges::decode(round.value.as_slice()) else {
            return;
        };
        self.nodes[proposer.machine].update(|node| merge_changes(node, &changes));
        self.acknowledge(order);
        if !self.agreed_changes.contains(&changes) {
            self.agreed_changes.push(changes);
            self.agreed_changes
                .sort_by_key(|changes| (changes.last_number, changes.encode_to_vec()));
        }
        let held = self.nodes[proposer.machine]
            .configuration
            .items
            .get(&order.key);
        if held.is_none_or(|held| held.version < order.version) {
            self.fail(format!("acknowledged order can't be read back: {order:?}"));
        }
    }

    /// News of changes of the operator that were agreed.
    pub fn learn_changes(&mut self, to: usize, changes: usize) {
        let changes = self.agreed_changes[changes].clone();
        self.nodes[to].update(|node| merge_changes(node, &changes));
    }

    /// The change of members is told as agreed.
    pub fn finish_change(&mut self, p: usize) {
        let Phase::Seat(round) = self.proposers[p].phase.clone() else {
            return;
        };
        let Some(target) = round.target else { return };
        self.agreed_members(&target);
        self.learn_members(self.proposers[p].machine, &target);
        self.proposers[p].update(|proposer| {
            let own = matches!(&proposer.goal, Goal::Change(to) if *to == target);
            proposer.phase = if own { Phase::Done } else { Phase::Idle };
            proposer.finishing = false;
        });
    }
}
