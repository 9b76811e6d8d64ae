//! The invariant of recovery: from every state, once nothing more goes wrong, the members come to agree
//! again. It is shown by playing a calm continuation to its end; a state from which that does not succeed is
//! stuck for ever.

use super::world::{Goal, Phase, Proposer, Setup, World, machine};
use crate::fingerprint::Part;

/// Turns of calm that are enough for every chain of recoveries at these sizes.
const TURNS: usize = 6;
/// Elements that a calm round appends are told from those of the model.
const CALM_ELEMENT: u8 = 200;

impl World {
    /// Whether the members agree on something again when all messages come and no more disks are lost, and on
    /// nothing that breaks an invariant; what is broken, if anything.
    pub fn recovers(&self, setup: &Setup) -> Option<String> {
        let mut calm = self.clone();
        calm.sent.clear();
        calm.proposers.clear();
        let standing: Vec<usize> = (0..setup.machines)
            .filter(|n| !self.is_down(setup, *n))
            .collect();
        let agreed = (0..TURNS).any(|_| calm.calm_turn(setup, &standing));
        let stuck = || "stuck for ever: the members can't agree again".to_owned();
        calm.broken.or_else(|| (!agreed).then(stuck))
    }

    /// All tell each other who the members are, who catches up reads all, and each member tries a round.
    fn calm_turn(&mut self, setup: &Setup, standing: &[usize]) -> bool {
        self.tell_members(standing);
        for at in standing {
            let node = &self.nodes[*at];
            let member = node.acceptor.members.ips.contains(&node.acceptor.ip);
            if node.acceptor.catching_up && member {
                self.wait_for_rounds(setup, *at);
                let sources = self.nodes[*at].acceptor.members.ips.clone();
                let stands = |from: &usize| standing.contains(from) && from != at;
                let sources: Vec<usize> = sources
                    .iter()
                    .map(|ip| machine(ip))
                    .filter(stands)
                    .collect();
                sources
                    .into_iter()
                    .for_each(|from| self.read_copy(*at, from));
            }
        }
        standing
            .iter()
            .any(|at| self.calm_round(setup, *at, standing))
    }

    fn tell_members(&mut self, standing: &[usize]) {
        let known = standing
            .iter()
            .map(|n| self.nodes[*n].acceptor.members.clone());
        let Some(newest) = known.max_by_key(|members| members.epoch) else {
            return;
        };
        standing
            .iter()
            .for_each(|n| self.learn_members(*n, &newest));
    }

    /// A round that finishes a change of members if there is one, then one that appends.
    fn calm_round(&mut self, setup: &Setup, at: usize, standing: &[usize]) -> bool {
        let finishing = self.nodes[at].acceptor.pending_membership().is_some();
        let proposer = Proposer {
            machine: at,
            goal: Goal::Append(CALM_ELEMENT + at as u8),
            rounds_left: 4,
            finishing,
            lost: 0,
            phase: Phase::Idle,
        };
        self.proposers = vec![Part::new(proposer)];
        while self.may_begin(0) {
            self.sent.clear();
            self.begin(setup, 0);
            self.deliver_all(setup, standing);
            self.seat_all(setup, standing);
        }
        matches!(self.proposers[0].phase, Phase::Done) && self.broken.is_none()
    }

    /// Delivers whatever is sent until nothing more is.
    fn deliver_all(&mut self, setup: &Setup, standing: &[usize]) {
        for _ in 0..4 {
            for sent in self
                .sent
                .clone()
                .iter()
                .filter(|sent| standing.contains(&sent.to))
            {
                self.deliver(setup, sent, true);
            }
        }
    }

    fn seat_all(&mut self, setup: &Setup, standing: &[usize]) {
        if !matches!(self.proposers[0].phase, Phase::Seat(_)) {
            return;
        }
        if self
            .newcomer(0)
            .is_some_and(|newcomer| standing.contains(&newcomer))
        {
            for from in self.seat_sources(0) {
                self.read_for_seat(setup, 0, from);
            }
        }
        self.finish_change(0);
        self.tell_members(standing);
    }
}
