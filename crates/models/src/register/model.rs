//! The register's environment as a model: what may happen in a state.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use super::world::{Phase, Request, Setup, World};
use crate::search::Model;

/// Something that may happen.
#[derive(Clone, Debug)]
pub enum Action {
    /// A proposer begins a round, giving up the one before.
    Begin {
        proposer: usize,
    },
    /// A request comes to its machine; whether the reply comes back.
    Deliver {
        sent: usize,
        answered: bool,
    },
    LoseDisk {
        machine: usize,
    },
    /// A machine is lost for good.
    Crash {
        machine: usize,
    },
    /// Longer than any round may last goes by at a machine whose disk was lost.
    WaitForRounds {
        machine: usize,
    },
    ReadCopy {
        at: usize,
        from: usize,
    },
    ReadForSeat {
        proposer: usize,
        from: usize,
    },
    FinishChange {
        proposer: usize,
    },
    /// News of the newest members comes to a machine.
    LearnMembers {
        machine: usize,
        epoch: u64,
    },
    LearnChanges {
        machine: usize,
        changes: usize,
    },
}

/// The model of a register at the size of its setup.
pub struct RegisterModel {
    setup: Setup,
    /// Recoveries that were played before, by what they start from.
    recovered: Mutex<HashMap<u128, Option<String>>>,
}

impl RegisterModel {
    /// A model of this size.
    pub fn new(setup: Setup) -> Self {
        RegisterModel {
            setup,
            recovered: Mutex::default(),
        }
    }

    fn alive(&self, world: &World) -> impl Iterator<Item = usize> {
        (0..self.setup.machines).filter(|n| !world.is_down(&self.setup, *n))
    }

    fn round_actions(&self, world: &World, actions: &mut Vec<Action>) {
        let proposers = 0..world.proposers.len();
        actions.extend(
            proposers
                .filter(|p| world.may_begin(*p))
                .map(|proposer| Action::Begin { proposer }),
        );
        for (sent, request) in world.sent.iter().enumerate() {
            if !world.is_down(&self.setup, request.to) {
                let awaited = world.is_awaited(request);
                let accept = matches!(request.request, Request::Accept(_));
                // Who can't begin again does nothing else for want of a reply.
                let may_be_lost =
                    accept && (!awaited || world.proposers[request.proposer].rounds_left > 0);
                let replies = [(true, awaited), (false, may_be_lost)];
                let may_be = replies.into_iter().filter(|(_, may_be)| *may_be);
                actions.extend(may_be.map(|(answered, _)| Action::Deliver { sent, answered }));
            }
        }
    }

    fn recovery_actions(&self, world: &World, actions: &mut Vec<Action>) {
        for machine in self.alive(world) {
            let node = &world.nodes[machine];
            let member = node.acceptor.members.ips.contains(&node.acceptor.ip);
            let may_lose = world.wipes_left > 0 && self.setup.wiped.contains(&machine);
            if may_lose
                && member
                && !node.acceptor.catching_up
                && world.bears_loss_of(&self.setup, machine)
            {
                actions.push(Action::LoseDisk { machine });
            }
            let may_crash =
                self.setup.crashing.contains(&machine) && !world.nodes.iter().any(|node| node.down);
            if may_crash && world.bears_loss_of(&self.setup, machine) {
                actions.push(Action::Crash { machine });
            }
            if node.waits {
                actions.push(Action::WaitForRounds { machine });
            } else if node.acceptor.catching_up && member {
                let others = self.alive(world).filter(|from| *from != machine);
                actions.extend(others.map(|from| Action::ReadCopy { at: machine, from }));
            }
        }
    }

    fn seat_actions(&self, world: &World, actions: &mut Vec<Action>) {
        for (proposer, held) in world.proposers.iter().enumerate() {
            if !matches!(held.phase, Phase::Seat(_)) {
                continue;
            }
            let seated = world.is_newcomer_seated(proposer);
            if seated
                || world.newcomer(proposer).is_none()
                || world.may_finish_without_newcomer(&self.setup, proposer)
            {
                actions.push(Action::FinishChange { proposer });
            }
            if !seated {
                let sources = world.seat_sources(proposer).into_iter();
                actions.extend(sources.map(|from| Action::ReadForSeat { proposer, from }));
            }
        }
    }

    fn news_actions(&self, world: &World, actions: &mut Vec<Action>) {
        for machine in self.alive(world) {
            let node = &world.nodes[machine];
            let newer = world
                .epochs
                .keys()
                .filter(|epoch| **epoch > node.acceptor.members.epoch);
            actions.extend(newer.map(|epoch| Action::LearnMembers {
                machine,
                epoch: *epoch,
            }));
            let changes = world
                .agreed_changes
                .iter()
                .enumerate()
                .filter(|(_, c)| c.last_number > node.merged);
            actions.extend(changes.map(|(changes, _)| Action::LearnChanges { machine, changes }));
        }
    }

    fn recovers(&self, world: &World) -> Option<String> {
        let key = world.standing_fingerprint();
        let known = self
            .recovered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&key)
            .cloned();
        known.unwrap_or_else(|| {
            let recovers = world.recovers(&self.setup);
            self.recovered
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(key, recovers.clone());
            recovers
        })
    }
}

impl Model for RegisterModel {
    type State = World;
    type Action = Action;

    fn initial(&self) -> Vec<World> {
        vec![World::new(&self.setup)]
    }

    fn actions(&self, world: &World) -> Vec<Action> {
        let mut actions = Vec::new();
        self.round_actions(world, &mut actions);
        self.recovery_actions(world, &mut actions);
        self.seat_actions(world, &mut actions);
        self.news_actions(world, &mut actions);
        actions
    }

    fn step(&self, world: &World, action: &Action) -> Option<World> {
        let mut next = world.clone();
        match action {
            Action::Begin { proposer } => next.begin(&self.setup, *proposer),
            Action::Deliver { sent, answered } => {
                next.deliver(&self.setup, &world.sent[*sent], *answered);
            }
            Action::LoseDisk { machine } => next.wipe(*machine),
            Action::Crash { machine } => next.crash(*machine),
            Action::WaitForRounds { machine } => next.wait_for_rounds(&self.setup, *machine),
            Action::ReadCopy { at, from } => next.read_copy(*at, *from),
            Action::ReadForSeat { proposer, from } => {
                next.read_for_seat(&self.setup, *proposer, *from)
            }
            Action::FinishChange { proposer } => next.finish_change(*proposer),
            Action::LearnMembers { machine, epoch } => {
                next.learn_members(*machine, &world.epochs[epoch])
            }
            Action::LearnChanges { machine, changes } => next.learn_changes(*machine, *changes),
        }
        next.forget_spent(&self.setup);
        Some(next)
    }

    fn violation(&self, world: &World) -> Option<String> {
        if world.broken.is_some() {
            return world.broken.clone();
        }
        if self.setup.checks_recovery {
            self.recovers(world)
        } else {
            None
        }
    }
}
