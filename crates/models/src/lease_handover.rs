//! A lease across a change of the members: the owner renews it by the old members while others accept the new ones, a
//! newcomer takes its seat, and another member asks for the lease by the new ones. Requests are late or lost, members
//! learn of the change late or never, one may start again. Answers come at once: a late one gives a lease no later end.
//! Member 0's clock runs slow.

use std::hash::{Hash, Hasher};

use lynxmill_consensus::{Acceptor, HeldLease, LeaseGrants, MEMBERSHIP_REGISTER, RegisterCopy};
use lynxmill_protocol::{Accept, Ballot, LeaseRequest, Membership};
use lynxmill_time::Timestamp;
use prost::Message;

use crate::fingerprint::{Content, Fingerprint, Part};
use crate::search::Model;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bug {
    #[default]
    None,
    /// A member that has accepted other members goes on granting by those that it has adopted.
    GrantsWhileChanging,
    /// The newcomer grants leases from its seat on.
    NewcomerGrantsAtOnce,
}

/// Who is replaced by the newcomer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replaced {
    /// The owner stays a member.
    Another,
    Owner,
}

/// Passing times in microseconds, which straddle the lease (0.8 s) and the grant (0.84 s).
const PAUSES: [i64; 2] = [55_000, 790_000];
/// The members before the change are 0 to 2; the newcomer is the last machine.
const MACHINES: usize = 4;
const NEWCOMER: usize = 3;
/// The owner at first, and the member that asks for the lease after it.
const CLAIMANTS: [usize; 2] = [0, 1];
/// How slow the clock of member 0 is.
const SLOW_CLOCK: f64 = 0.98;

/// The model and its size.
pub struct LeaseHandoverModel {
    bug: Bug,
    old: Membership,
    new: Membership,
    pauses: u8,
    restarts: u8,
    /// How often the owner may renew its lease, and the other claimant ask for it.
    requests: [u8; CLAIMANTS.len()],
}

/// A claimant's last request, and the lease that it holds.
#[derive(Clone, Debug, Default)]
struct Claim {
    held: HeldLease,
    requests: u8,
    epoch: u64,
    /// Machines that have not got the request.
    unasked: Vec<usize>,
}

impl Content for Claim {
    fn feed(&self, into: &mut Fingerprint) {
        self.held.feed(into);
        (self.requests, self.epoch, &self.unasked).hash(into);
    }
}

/// The state of all.
#[derive(Clone, Debug)]
pub struct State {
    now: i64,
    pauses_left: u8,
    restarts_left: u8,
    acceptors: Vec<Part<Acceptor>>,
    leases: Vec<Part<LeaseGrants>>,
    claims: Vec<Part<Claim>>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.now, self.pauses_left, self.restarts_left).hash(hasher);
        (&self.acceptors, &self.leases, &self.claims).hash(hasher);
    }
}

/// Something that may happen.
#[derive(Clone, Debug)]
pub enum Action {
    Pause {
        micros: i64,
    },
    /// A claimant asks for the lease, or renews it.
    Request {
        claim: usize,
    },
    /// The request comes to a machine.
    Grant {
        claim: usize,
        machine: usize,
    },
    /// A member accepts the new members.
    Accept {
        machine: usize,
    },
    /// The newcomer takes its seat.
    Promote,
    /// A machine learns of the new members.
    Adopt {
        machine: usize,
    },
    /// A process starts again, with its disk.
    Restart {
        machine: usize,
    },
}

fn ip(machine: usize) -> String {
    format!("10.0.0.{}", machine + 1)
}

fn membership(epoch: u64, machines: &[usize]) -> Membership {
    Membership {
        epoch,
        ips: machines.iter().map(|machine| ip(*machine)).collect(),
    }
}

fn change_ballot() -> Ballot {
    Ballot {
        count: 1,
        node: 1,
        incarnation: 1,
    }
}

impl LeaseHandoverModel {
    /// A model with so many passing times, restarts, renewals by the owner and requests of the other claimant.
    pub fn new(
        bug: Bug,
        replaced: Replaced,
        pauses: u8,
        restarts: u8,
        requests: [u8; CLAIMANTS.len()],
    ) -> Self {
        let stay = match replaced {
            Replaced::Another => [0, 1, NEWCOMER],
            Replaced::Owner => [1, 2, NEWCOMER],
        };
        LeaseHandoverModel {
            bug,
            old: membership(1, &[0, 1, 2]),
            new: membership(2, &stay),
            pauses,
            restarts,
            requests,
        }
    }

    fn clock(&self, state: &State, machine: usize) -> Timestamp {
        let rate = if machine == 0 { SLOW_CLOCK } else { 1.0 };
        Timestamp::from_micros((state.now as f64 * rate) as i64)
    }

    fn holds(&self, state: &State, claim: usize) -> bool {
        let clock = self.clock(state, CLAIMANTS[claim]);
        state.claims[claim].held.is_held(clock)
    }

    /// Members that have accepted the new ones, as a newcomer copies them.
    fn copies(&self, state: &State) -> Vec<RegisterCopy> {
        let copy = |acceptor: &Part<Acceptor>| RegisterCopy {
            from: acceptor.ip.clone(),
            members: acceptor.members.clone(),
            pending_membership: acceptor.pending_membership(),
            catching_up: acceptor.catching_up,
            storage_failed: false,
            registers: acceptor.registers.values().cloned().collect(),
        };
        state.acceptors[..NEWCOMER].iter().map(copy).collect()
    }

    fn has_accepted(&self, acceptor: &Acceptor) -> bool {
        acceptor.value(MEMBERSHIP_REGISTER).is_some()
    }

    /// Whether a majority of the old members has accepted the new ones.
    fn is_chosen(&self, state: &State) -> bool {
        let accepted = state.acceptors[..NEWCOMER]
            .iter()
            .filter(|acceptor| self.has_accepted(acceptor));
        accepted.count() > self.old.ips.len() / 2
    }

    fn grant(&self, state: &mut State, claim: usize, machine: usize) -> bool {
        let request = LeaseRequest {
            service: "checkout".to_owned(),
            holder: ip(CLAIMANTS[claim]),
            incarnation: claim as u64 + 1,
            epoch: state.claims[claim].epoch,
            release: false,
        };
        let clock = self.clock(state, machine);
        let acceptor = &state.acceptors[machine];
        let may_grant = acceptor.may_grant_leases()
            || (self.bug == Bug::GrantsWhileChanging && !acceptor.catching_up);
        let members = acceptor.members.clone();
        may_grant && state.leases[machine].update(|leases| leases.grant(clock, &request, &members))
    }

    fn request(&self, state: &mut State, claim: usize) {
        let machine = CLAIMANTS[claim];
        let (clock, members) = (
            self.clock(state, machine),
            state.acceptors[machine].members.clone(),
        );
        state.claims[claim].update(|claim| {
            claim.held.request(clock);
            claim.requests += 1;
            claim.epoch = members.epoch;
            let others = (0..MACHINES).filter(|other| *other != machine);
            claim.unasked = others
                .filter(|other| members.ips.contains(&ip(*other)))
                .collect();
        });
        if self.grant(state, claim, machine) {
            state.claims[claim].update(|claim| claim.held.granted(&ip(machine), &members));
        }
    }

    fn accept(&self, state: &mut State, machine: usize) -> bool {
        let request = Accept {
            register: MEMBERSHIP_REGISTER.to_owned(),
            ballot: change_ballot(),
            members: self.old.clone(),
            value: self.new.encode_to_vec(),
            incarnation: 0,
        };
        state.acceptors[machine].update(|acceptor| acceptor.accept(&request).0.ok)
    }

    fn promote(&self, state: &mut State) -> bool {
        let copies = self.copies(state);
        let (old, new) = (&self.old, &self.new);
        let seated = state.acceptors[NEWCOMER].update(|acceptor| {
            acceptor.promote(change_ballot(), old, new, &copies) && acceptor.adopt_membership(new)
        });
        let clock = self.clock(state, NEWCOMER);
        if seated && self.bug != Bug::NewcomerGrantsAtOnce {
            state.leases[NEWCOMER].update(|leases| leases.became_voter(clock));
        }
        seated
    }

    fn adopt(&self, state: &mut State, machine: usize) -> bool {
        let adopted =
            state.acceptors[machine].update(|acceptor| acceptor.adopt_membership(&self.new));
        let clock = self.clock(state, machine);
        if adopted && state.acceptors[machine].catching_up {
            state.leases[machine].update(|leases| leases.became_voter(clock));
        }
        adopted
    }

    fn restart(&self, state: &mut State, machine: usize) {
        let clock = self.clock(state, machine);
        state.restarts_left -= 1;
        state.leases[machine].update(|leases| *leases = LeaseGrants::new(clock, false));
        for (claim, claimant) in CLAIMANTS.iter().enumerate() {
            if *claimant == machine {
                state.claims[claim].update(|claim| {
                    *claim = Claim {
                        requests: claim.requests,
                        ..Claim::default()
                    };
                });
            }
        }
    }

    fn claim_actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (claim, asked) in state.claims.iter().enumerate() {
            let acceptor = &state.acceptors[CLAIMANTS[claim]];
            if asked.requests < self.requests[claim] && !acceptor.catching_up {
                actions.push(Action::Request { claim });
            }
            let grants = asked.unasked.iter();
            actions.extend(grants.map(|machine| Action::Grant {
                claim,
                machine: *machine,
            }));
        }
    }

    fn change_actions(&self, state: &State, actions: &mut Vec<Action>) {
        let waiting =
            (0..NEWCOMER).filter(|machine| !self.has_accepted(&state.acceptors[*machine]));
        actions.extend(waiting.map(|machine| Action::Accept { machine }));
        if !self.is_chosen(state) {
            return;
        }
        let unaware = (0..NEWCOMER)
            .filter(|machine| state.acceptors[*machine].members.epoch == self.old.epoch);
        actions.extend(unaware.map(|machine| Action::Adopt { machine }));
        if state.acceptors[NEWCOMER].catching_up {
            actions.push(Action::Promote);
        }
    }
}

impl LeaseHandoverModel {
    /// Claimant 0 has got the lease from itself and from member 2, and no request of it is on its way.
    fn owned(&self, mut state: State) -> State {
        let claim = 0;
        self.request(&mut state, claim);
        state = self
            .step(&state, &Action::Grant { claim, machine: 2 })
            .unwrap_or(state);
        state.claims[claim].update(|claim| (claim.requests, claim.unasked) = (0, Vec::new()));
        state
    }
}

impl Model for LeaseHandoverModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        let acceptor = |machine: usize| Acceptor {
            ip: ip(machine),
            incarnation: 1,
            members: self.old.clone(),
            catching_up: machine == NEWCOMER,
            ..Acceptor::default()
        };
        let state = State {
            now: 0,
            pauses_left: self.pauses,
            restarts_left: self.restarts,
            acceptors: (0..MACHINES)
                .map(|machine| Part::new(acceptor(machine)))
                .collect(),
            leases: (0..MACHINES)
                .map(|_| Part::new(LeaseGrants::new(Timestamp::default(), true)))
                .collect(),
            claims: CLAIMANTS
                .iter()
                .map(|_| Part::new(Claim::default()))
                .collect(),
        };
        vec![self.owned(state)]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        if state.pauses_left > 0 {
            actions.extend(PAUSES.map(|micros| Action::Pause { micros }));
        }
        if state.restarts_left > 0 {
            actions.extend((0..MACHINES).map(|machine| Action::Restart { machine }));
        }
        self.claim_actions(state, &mut actions);
        self.change_actions(state, &mut actions);
        actions
    }

    fn step(&self, state: &State, action: &Action) -> Option<State> {
        let mut next = state.clone();
        let happened = match action {
            Action::Pause { micros } => {
                (next.now, next.pauses_left) = (state.now + micros, state.pauses_left - 1);
                true
            }
            Action::Request { claim } => {
                self.request(&mut next, *claim);
                true
            }
            Action::Grant { claim, machine } => {
                let granted = self.grant(&mut next, *claim, *machine);
                let members = state.acceptors[CLAIMANTS[*claim]].members.clone();
                next.claims[*claim].update(|claim| {
                    claim.unasked.retain(|other| other != machine);
                    if granted {
                        claim.held.granted(&ip(*machine), &members);
                    }
                });
                true
            }
            Action::Accept { machine } => self.accept(&mut next, *machine),
            Action::Promote => self.promote(&mut next),
            Action::Adopt { machine } => self.adopt(&mut next, *machine),
            Action::Restart { machine } => {
                self.restart(&mut next, *machine);
                true
            }
        };
        happened.then_some(next)
    }

    fn violation(&self, state: &State) -> Option<String> {
        let all = (0..CLAIMANTS.len()).all(|claim| self.holds(state, claim));
        all.then(|| "two members hold the lease".to_owned())
    }
}
