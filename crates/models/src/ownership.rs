//! Ownership of a sharded service: two members that hold the lease one after the other, a shard table whose
//! term fences writes, grants that are given only under a held lease. A member that is frozen is one of which
//! nothing is played while time passes; its requests stay on their way. Member 0's clock runs slow.

use std::hash::{Hash, Hasher};

use lynxmill_consensus::{HeldLease, LeaseGrants};
use lynxmill_protocol::{LeaseRequest, Membership};
use lynxmill_time::Timestamp;

use crate::fingerprint::{Content, Fingerprint, Part};
use crate::register::{self, Goal, Phase, Setup, World};
use crate::search::Model;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bug {
    #[default]
    None,
    /// A grant is given by the table alone, whether or not the lease is held.
    GrantsWithoutLease,
    /// The table's term is not looked at.
    TermIgnored,
    /// A clock runs slower than promises outlast leases.
    ClockTooSlow,
}

/// Passing times in microseconds: they straddle the lease (0.8 s), the lease as a slow clock counts it (0.816
/// s) and the promise (0.84 s).
const PAUSES: [i64; 2] = [55_000, 790_000];
const MEMBERS: usize = 3;
/// Members that claim the lease; each takes the table over and moves the shard to an owner of its own.
const CLAIMANTS: usize = 2;

impl Content for LeaseGrants {
    fn feed(&self, into: &mut Fingerprint) {
        into.feed_debug(self);
    }
}

/// The model and its size.
pub struct OwnershipModel {
    bug: Bug,
    setup: Setup,
    pauses: u8,
    /// How often each may ask for the lease, or for a further one.
    questions: [u8; CLAIMANTS],
}

/// A claimant's lease as it stands.
#[derive(Clone, Debug, Default)]
struct Claim {
    held: HeldLease,
    questions: u8,
    /// Members that have not had the last question, and those whose yes is on its way.
    unasked: Vec<usize>,
    on_way: Vec<usize>,
}

impl Content for Claim {
    fn feed(&self, into: &mut Fingerprint) {
        let Claim {
            held,
            questions,
            unasked,
            on_way,
        } = self;
        held.feed(into);
        (questions, unasked, on_way).hash(into);
    }
}

/// The state of all.
#[derive(Clone, Debug)]
pub struct State {
    world: World,
    now: i64,
    pauses_left: u8,
    leases: Vec<Part<LeaseGrants>>,
    claims: Vec<Part<Claim>>,
    broken: Option<String>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (
            &self.world,
            self.now,
            self.pauses_left,
            &self.leases,
            &self.claims,
            &self.broken,
        )
            .hash(hasher);
    }
}

/// Something that may happen.
#[derive(Clone, Debug)]
pub enum Action {
    Pause {
        micros: i64,
    },
    AskLease {
        claimant: usize,
    },
    /// The question for the lease comes to a member.
    Promise {
        claimant: usize,
        member: usize,
    },
    /// Its yes comes back.
    Yes {
        claimant: usize,
        member: usize,
    },
    /// A claimant that holds the lease begins to take over, or to move the shard.
    Write {
        proposer: usize,
    },
    Deliver {
        sent: usize,
    },
    Grant {
        claimant: usize,
    },
}

impl OwnershipModel {
    /// The leases alone, renewed as often as asked, without writes to the table.
    pub fn leases(bug: Bug, pauses: u8, questions: [u8; CLAIMANTS]) -> Self {
        let mut model = OwnershipModel::new(bug, pauses, questions);
        model.setup.proposers.truncate(1);
        model
    }

    /// A model with so many passing times and questions for the lease by each claimant.
    pub fn new(bug: Bug, pauses: u8, questions: [u8; CLAIMANTS]) -> Self {
        let goals = |claimant: usize| {
            let moves_shard = Goal::MoveShard(format!("task-{claimant}"));
            [
                (claimant, Goal::TakeOver, 1),
                (claimant, moves_shard, if claimant == 0 { 2 } else { 1 }),
            ]
        };
        let term_ignored = if bug == Bug::TermIgnored {
            register::Bug::TermIgnored
        } else {
            register::Bug::None
        };
        let proposers = (0..CLAIMANTS).flat_map(goals).collect();
        let setup = Setup {
            bug: term_ignored,
            machines: MEMBERS,
            founders: MEMBERS,
            proposers,
            ..Setup::default()
        };
        OwnershipModel {
            bug,
            setup,
            pauses,
            questions,
        }
    }

    fn clock(&self, state: &State, member: usize) -> Timestamp {
        let slow = if self.bug == Bug::ClockTooSlow {
            0.93
        } else {
            0.98
        };
        let rate = if member == 0 { slow } else { 1.0 };
        Timestamp::from_micros((state.now as f64 * rate) as i64)
    }

    fn members(&self) -> Membership {
        self.setup.first_members()
    }

    fn holds(&self, state: &State, claimant: usize) -> bool {
        state.claims[claimant]
            .held
            .is_held(self.clock(state, claimant))
    }

    fn promise(&self, state: &mut State, claimant: usize, member: usize) -> bool {
        let members = self.members();
        let holder = members.ips[claimant].clone();
        let asked = LeaseRequest {
            service: "checkout".to_owned(),
            holder,
            incarnation: claimant as u64 + 1,
            epoch: members.epoch,
            release: false,
        };
        let clock = self.clock(state, member);
        state.leases[member].update(|leases| leases.grant(clock, &asked, &members))
    }

    fn ask_lease(&self, state: &mut State, claimant: usize) {
        if !self.holds(state, claimant) {
            // Whoever lost the lease takes the table over anew.
            state.world.tables.remove(&claimant);
        }
        let own = self.promise(state, claimant, claimant);
        let (clock, members) = (self.clock(state, claimant), self.members());
        state.claims[claimant].update(|claim| {
            claim.held.request(clock);
            if own {
                claim.held.granted(&members.ips[claimant], &members);
            }
            claim.questions += 1;
            claim.unasked = (0..MEMBERS).filter(|member| *member != claimant).collect();
            claim.on_way = Vec::new();
        });
    }

    /// Whether a proposer may write: to take over without a table, to move with one. As in the control plane,
    /// a write that lost to a higher ballot is tried again without a look at the lease.
    fn may_write(&self, state: &State, proposer: usize) -> bool {
        let held = &state.world.proposers[proposer];
        let has_table = state.world.tables.contains_key(&held.machine);
        let fits = has_table == matches!(held.goal, Goal::MoveShard(_));
        fits && matches!(held.phase, Phase::Idle)
            && state.world.may_begin(proposer)
            && (held.lost > 0 || self.holds(state, held.machine))
    }

    /// A grant names the stored owner and its generation, as the register has them now.
    fn grant(&self, state: &mut State, claimant: usize) {
        let Some(table) = state.world.tables.get(&claimant) else {
            return;
        };
        let agreed = state.world.agreed_table();
        if table.slices != agreed.slices {
            state.broken = Some(format!(
                "granted by {table:?}, the register says {agreed:?}"
            ));
        }
    }

    /// Claimant 0 holds the lease and has taken the table over.
    fn owned(&self, mut state: State) -> State {
        let claimant = 0;
        let lease = [
            Action::AskLease { claimant },
            Action::Promise {
                claimant,
                member: 2,
            },
            Action::Yes {
                claimant,
                member: 2,
            },
            Action::Write { proposer: 0 },
        ];
        for action in lease {
            state = self.step(&state, &action).unwrap_or(state);
        }
        while !matches!(state.world.proposers[0].phase, Phase::Done) {
            state = self
                .step(&state, &Action::Deliver { sent: 0 })
                .unwrap_or(state);
        }
        state.world.sent.clear();
        state.claims[claimant].update(|claim| (claim.questions, claim.unasked) = (0, Vec::new()));
        state
    }
}

impl Model for OwnershipModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        let state = State {
            world: World::new(&self.setup),
            now: 0,
            pauses_left: self.pauses,
            leases: (0..MEMBERS)
                .map(|_| Part::new(LeaseGrants::new(Timestamp::default(), true)))
                .collect(),
            claims: (0..CLAIMANTS)
                .map(|_| Part::new(Claim::default()))
                .collect(),
            broken: None,
        };
        vec![self.owned(state)]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        if state.pauses_left > 0 {
            actions.extend(PAUSES.map(|micros| Action::Pause { micros }));
        }
        for (claimant, claim) in state.claims.iter().enumerate() {
            if claim.questions < self.questions[claimant] {
                actions.push(Action::AskLease { claimant });
            }
            actions.extend(claim.unasked.iter().map(|member| Action::Promise {
                claimant,
                member: *member,
            }));
            actions.extend(claim.on_way.iter().map(|member| Action::Yes {
                claimant,
                member: *member,
            }));
            let granting = self.holds(state, claimant) || self.bug == Bug::GrantsWithoutLease;
            if granting && state.world.tables.contains_key(&claimant) {
                actions.push(Action::Grant { claimant });
            }
        }
        let proposers =
            (0..state.world.proposers.len()).filter(|proposer| self.may_write(state, *proposer));
        actions.extend(proposers.map(|proposer| Action::Write { proposer }));
        actions.extend((0..state.world.sent.len()).map(|sent| Action::Deliver { sent }));
        actions
    }

    fn step(&self, state: &State, action: &Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Pause { micros } => {
                (next.now, next.pauses_left) = (state.now + micros, state.pauses_left - 1);
            }
            Action::AskLease { claimant } => self.ask_lease(&mut next, *claimant),
            Action::Promise { claimant, member } => {
                let yes = self.promise(&mut next, *claimant, *member);
                next.claims[*claimant].update(|claim| {
                    claim.unasked.retain(|other| other != member);
                    claim.on_way.extend(yes.then_some(*member));
                    claim.on_way.sort_unstable();
                });
            }
            Action::Yes { claimant, member } => {
                let members = self.members();
                next.claims[*claimant].update(|claim| {
                    claim.on_way.retain(|other| other != member);
                    claim.held.granted(&members.ips[*member], &members);
                });
            }
            Action::Write { proposer } => next.world.begin(&self.setup, *proposer),
            Action::Deliver { sent } => {
                next.world
                    .deliver(&self.setup, &state.world.sent[*sent], true)
            }
            Action::Grant { claimant } => self.grant(&mut next, *claimant),
        }
        next.world.forget_spent(&self.setup);
        Some(next)
    }

    fn violation(&self, state: &State) -> Option<String> {
        if (0..CLAIMANTS).all(|claimant| self.holds(state, claimant)) {
            return Some("two members hold the lease".to_owned());
        }
        state.broken.clone().or_else(|| state.world.broken.clone())
    }
}
