//! Disks that are lost, members that catch up, newcomers that are seated.

use lynxmill_consensus::{RegisterCopy, majority};

use super::world::{Bug, LateNewcomer, Node, Phase, Setup, World, ip, machine};

/// What a member gives to one that catches up.
fn copy_of(node: &Node) -> RegisterCopy {
    RegisterCopy {
        from: node.acceptor.ip.clone(),
        members: node.acceptor.members.clone(),
        pending_membership: node.acceptor.pending_membership(),
        catching_up: node.acceptor.catching_up,
        storage_failed: false,
        registers: node.acceptor.registers.values().cloned().collect(),
    }
}

/// How far apart the numbers of two lives of one machine are.
const NEXT_LIFE: u64 = 16;

impl World {
    /// A machine is lost for good.
    pub fn crash(&mut self, n: usize) {
        self.nodes[n].update(|node| node.down = true);
        self.sent.retain(|sent| sent.to != n);
    }

    /// A machine starts again with an empty disk; who proposed there has forgotten its round.
    pub fn wipe(&mut self, n: usize) {
        self.wipes_left -= 1;
        let members = self.newest_members();
        self.nodes[n].update(|node| {
            let life = node.acceptor.incarnation + NEXT_LIFE;
            *node = Node {
                waits: true,
                ..Node::default()
            };
            (node.acceptor.ip, node.acceptor.incarnation) = (ip(n), life);
            node.acceptor.catching_up = true;
            // It asks the members that it finds who they are.
            node.acceptor.members = members;
        });
        for proposer in &mut self.proposers {
            if proposer.machine == n && !matches!(proposer.phase, Phase::Done) {
                proposer.update(|proposer| (proposer.phase, proposer.lost) = (Phase::Idle, 0));
            }
        }
    }

    /// Longer than any round may last has gone by: rounds that may still count on a forgotten promise are
    /// over.
    pub fn wait_for_rounds(&mut self, setup: &Setup, n: usize) {
        self.nodes[n].update(|node| node.waits = false);
        if setup.bug == Bug::RecoversAtOnce {
            return;
        }
        for proposer in &mut self.proposers {
            if proposer.phase.round().is_some() {
                proposer.update(|proposer| proposer.phase = Phase::Idle);
            }
        }
    }

    /// A member that catches up reads another, and counts once it has read enough of them.
    pub fn read_copy(&mut self, at: usize, from: usize) {
        let copy = copy_of(&self.nodes[from]);
        self.nodes[at].update(|node| {
            node.copies.retain(|held| held.from != copy.from);
            node.copies.push(copy);
            node.copies.sort_by(|a, b| a.from.cmp(&b.from));
            let copies = std::mem::take(&mut node.copies);
            if !node.acceptor.recover(&copies) {
                node.copies = copies;
            }
        });
    }

    /// The newcomer that a change of members is to seat.
    pub fn newcomer(&self, p: usize) -> Option<usize> {
        let Phase::Seat(round) = &self.proposers[p].phase else {
            return None;
        };
        let target = round.target.as_ref()?;
        target
            .ips
            .iter()
            .find(|ip| !round.members.ips.contains(ip))
            .map(|ip| machine(ip))
    }

    /// Members that the newcomer is to read: those that have accepted the change.
    pub fn seat_sources(&self, p: usize) -> Vec<usize> {
        let Phase::Seat(round) = &self.proposers[p].phase else {
            return Vec::new();
        };
        let previous = |ip: &&String| round.members.ips.contains(ip);
        round
            .ballots
            .acceptors()
            .iter()
            .filter(previous)
            .map(|ip| machine(ip))
            .collect()
    }

    /// The newcomer reads a member that has accepted the change, and takes its seat once it has read enough.
    pub fn read_for_seat(&mut self, setup: &Setup, p: usize, from: usize) {
        let Some(newcomer) = self.newcomer(p) else {
            return;
        };
        let copy = copy_of(&self.nodes[from]);
        let Phase::Seat(mut round) = self.proposers[p].phase.clone() else {
            return;
        };
        let Some(target) = round.target.clone() else {
            return;
        };
        round.copies.retain(|held| held.from != copy.from);
        round.copies.push(copy);
        round.copies.sort_by(|a, b| a.from.cmp(&b.from));
        let (ballot, previous) = (round.ballots.ballot, round.members.clone());
        let tells = self.nodes[newcomer].update(|node| {
            let seated = node
                .acceptor
                .promote(ballot, &previous, &target, &round.copies);
            seated && setup.newcomer_tells && node.acceptor.adopt_membership(&target)
        });
        if tells {
            self.agreed_members(&target);
        }
        self.proposers[p].update(|proposer| proposer.phase = Phase::Seat(round));
    }

    /// Whether the newcomer of a change holds all that a voter has to.
    pub fn is_newcomer_seated(&self, p: usize) -> bool {
        let Phase::Seat(round) = &self.proposers[p].phase else {
            return false;
        };
        let seated = |n: usize| {
            round
                .target
                .as_ref()
                .is_some_and(|target| self.nodes[n].acceptor.is_voter_of(target))
        };
        self.newcomer(p).is_some_and(seated)
    }

    /// Whether a change may be finished before its newcomer is seated.
    pub fn may_finish_without_newcomer(&self, setup: &Setup, p: usize) -> bool {
        let Phase::Seat(round) = &self.proposers[p].phase else {
            return false;
        };
        let Some(target) = &round.target else {
            return false;
        };
        let stands = |ip: &&String| {
            let n = machine(ip);
            !self.is_down(setup, n) && self.nodes[n].acceptor.is_voter_of(target)
        };
        match setup.late_newcomer {
            LateNewcomer::Waited => false,
            LateNewcomer::Finished => true,
            LateNewcomer::FinishedIfOthersStand => {
                target.ips.iter().filter(stands).count() >= majority(target)
            }
        }
    }
}
