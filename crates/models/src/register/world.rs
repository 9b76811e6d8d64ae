//! The state of the environment, and the invariants that are looked at when something is agreed.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;

use lynxmill_configuration::{Configuration, Item};
use lynxmill_consensus::{Acceptor, BallotRound, RegisterCopy, recovery_quorum};
use lynxmill_protocol::{
    Accept, Ballot, Membership, PendingChanges, Prepare, Register, ShardTable,
};
use prost::Message;

use crate::fingerprint::{Content, Fingerprint, Part};

/// The register that values are appended to.
pub(super) const LIST: &str = "list";
/// The register of the operator's changes.
pub(super) const CHANGES: &str = "calls";
/// The register of the shard table.
pub(super) const TABLE: &str = "berth/checkout";

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bug {
    #[default]
    None,
    /// Two threads of a member take the same ballot.
    BallotGivenTwice,
    /// A change of members is told as agreed while the newcomer holds nothing.
    SeatedBlank,
    /// A member whose disk was lost answers ballots at once.
    BlankVotes,
    /// An accept is not bound to the acceptor's life.
    AcceptOutlivesDisk,
    /// A member whose disk was lost reads others while older rounds still run.
    RecoversAtOnce,
    /// An order whose version is taken is acknowledged whatever it says.
    EqualVersionConfirmed,
    /// A deposed owner of the table writes it whatever term it has.
    TermIgnored,
}

/// What a proposer is after.
#[derive(Clone, Debug, PartialEq)]
pub enum Goal {
    /// Adds an element to the list.
    Append(u8),
    /// Changes the members.
    Change(Membership),
    /// Sends an order of the operator.
    Order(Item),
    /// Takes the shard table over in a term of its own.
    TakeOver,
    /// Gives the one shard to another owner, in the term that its machine has taken.
    MoveShard(String),
}

/// What becomes of a change of members whose newcomer does not answer in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LateNewcomer {
    /// It is waited for.
    #[default]
    Waited,
    /// The change is finished without a further look.
    Finished,
    /// The change is finished once a majority of the new members, asked again, still stands.
    FinishedIfOthersStand,
}

/// The size of a model: members, proposers and how much may go wrong.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    pub bug: Bug,
    /// All machines; the first `founders` are members at first.
    pub machines: usize,
    pub founders: usize,
    /// Machines that are lost for good before anything happens.
    pub dead: BTreeSet<usize>,
    /// Where each proposer runs, what it is after and how many rounds it may begin.
    pub proposers: Vec<(usize, Goal, u8)>,
    /// How many disks may be lost, and whose.
    pub wipes: u8,
    pub wiped: BTreeSet<usize>,
    /// Machines of which one may be lost for good at any time, as far as the members bear it.
    pub crashing: BTreeSet<usize>,
    /// Whether the majority of the members before is enough to agree on a change of members.
    pub previous_majority_is_enough: bool,
    /// Whether a newcomer that has taken its seat goes by the change as agreed and tells so, as it may: it is
    /// only asked once the change is agreed.
    pub newcomer_tells: bool,
    /// What becomes of a change of members while the newcomer does not answer.
    pub late_newcomer: LateNewcomer,
    /// Whether the invariant of recovery is looked at in every state.
    pub checks_recovery: bool,
}

impl Setup {
    /// The members at first.
    pub fn first_members(&self) -> Membership {
        Membership {
            epoch: 1,
            ips: (0..self.founders).map(ip).collect(),
        }
    }
}

/// A machine's address.
pub(super) fn ip(machine: usize) -> String {
    format!("10.0.0.{}", machine + 1)
}

/// A machine by its address.
pub(super) fn machine(ip: &str) -> usize {
    lynxmill_consensus::node_number(ip) as usize % 256 - 1
}

/// A member, or a machine that may become one.
#[derive(Clone, Debug, Default)]
pub struct Node {
    pub acceptor: Acceptor,
    /// The count of the last ballot that it made.
    pub count: u64,
    pub configuration: Configuration,
    pub merged: u64,
    /// What it has read of others while it catches up.
    pub copies: Vec<RegisterCopy>,
    /// It is lost for good.
    pub down: bool,
    /// Its disk was lost and older rounds may still run.
    pub waits: bool,
}

impl Content for Ballot {
    fn feed(&self, into: &mut Fingerprint) {
        (self.count, self.node, self.incarnation).hash(into);
    }
}

impl Content for Membership {
    fn feed(&self, into: &mut Fingerprint) {
        (self.epoch, &self.ips).hash(into);
    }
}

impl Content for Register {
    fn feed(&self, into: &mut Fingerprint) {
        (&self.name, &self.value).hash(into);
        self.promised.feed(into);
        self.accepted.feed(into);
    }
}

impl Content for Acceptor {
    fn feed(&self, into: &mut Fingerprint) {
        let Acceptor {
            ip,
            incarnation,
            members,
            catching_up,
            registers,
        } = self;
        (ip, incarnation, catching_up, registers.len()).hash(into);
        members.feed(into);
        registers.values().for_each(|register| register.feed(into));
    }
}

impl Content for RegisterCopy {
    fn feed(&self, into: &mut Fingerprint) {
        let RegisterCopy {
            from,
            members,
            pending_membership,
            catching_up,
            storage_failed,
            registers,
        } = self;
        (
            from,
            pending_membership.is_some(),
            catching_up,
            storage_failed,
            registers.len(),
        )
            .hash(into);
        members.feed(into);
        pending_membership
            .iter()
            .for_each(|pending| pending.feed(into));
        registers.iter().for_each(|register| register.feed(into));
    }
}

impl Content for Node {
    fn feed(&self, into: &mut Fingerprint) {
        let Node {
            acceptor,
            count,
            configuration,
            merged,
            copies,
            down,
            waits,
        } = self;
        acceptor.feed(into);
        (
            count,
            merged,
            down,
            waits,
            copies.len(),
            configuration.items.len(),
        )
            .hash(into);
        configuration
            .items
            .values()
            .for_each(|item| item.encode_to_vec().hash(into));
        copies.iter().for_each(|copy| copy.feed(into));
    }
}

/// A round of a proposer, with what it goes by.
#[derive(Clone, Debug)]
pub struct Round {
    pub ballots: BallotRound,
    pub register: String,
    pub members: Membership,
    pub target: Option<Membership>,
    pub value: Vec<u8>,
    /// The list that had been agreed when the round began.
    pub floor: Vec<u8>,
    /// What a newcomer has read of the members that have accepted.
    pub copies: Vec<RegisterCopy>,
}

/// Where a proposer stands.
#[derive(Clone, Debug, Default)]
pub enum Phase {
    #[default]
    Idle,
    Prepare(Round),
    /// The new members are asked as well.
    PrepareBoth(Round),
    Accept(Round),
    /// Both majorities have accepted new members; the newcomer takes its seat.
    Seat(Round),
    Done,
}

impl Phase {
    /// The round that answers are awaited for.
    pub fn round(&self) -> Option<&Round> {
        match self {
            Phase::Prepare(round) | Phase::PrepareBoth(round) | Phase::Accept(round) => Some(round),
            _ => None,
        }
    }
}

/// One who proposes; several may run on one machine.
#[derive(Clone, Debug)]
pub struct Proposer {
    pub machine: usize,
    pub goal: Goal,
    pub rounds_left: u8,
    /// A change of members that others began has to be finished first.
    pub finishing: bool,
    pub lost: u64,
    pub phase: Phase,
}

/// A request, as it is delivered.
#[derive(Clone, Debug)]
pub enum Request {
    Prepare(Prepare),
    Accept(Accept),
}

/// A request on its way to one machine.
#[derive(Clone, Debug)]
pub struct Sent {
    pub proposer: usize,
    pub to: usize,
    pub request: Request,
}

impl Content for Round {
    fn feed(&self, into: &mut Fingerprint) {
        let Round {
            ballots,
            register,
            members,
            target,
            value,
            floor,
            copies,
        } = self;
        into.feed_debug(ballots);
        (register, value, floor, target.is_some(), copies.len()).hash(into);
        members.feed(into);
        target.iter().for_each(|target| target.feed(into));
        copies.iter().for_each(|copy| copy.feed(into));
    }
}

impl Content for Proposer {
    fn feed(&self, into: &mut Fingerprint) {
        let Proposer {
            machine,
            goal,
            rounds_left,
            finishing,
            lost,
            phase,
        } = self;
        (
            machine,
            rounds_left,
            finishing,
            lost,
            std::mem::discriminant(phase),
        )
            .hash(into);
        into.feed_debug(goal);
        match phase {
            Phase::Idle | Phase::Done => {}
            Phase::Prepare(round)
            | Phase::PrepareBoth(round)
            | Phase::Accept(round)
            | Phase::Seat(round) => {
                round.feed(into);
            }
        }
    }
}

impl Content for Sent {
    fn feed(&self, into: &mut Fingerprint) {
        (
            self.proposer,
            self.to,
            std::mem::discriminant(&self.request),
        )
            .hash(into);
        match &self.request {
            Request::Prepare(Prepare {
                register,
                ballot,
                members,
            }) => {
                register.hash(into);
                ballot.feed(into);
                members.feed(into);
            }
            Request::Accept(Accept {
                register,
                ballot,
                members,
                value,
                incarnation,
            }) => {
                (register, value, incarnation).hash(into);
                ballot.feed(into);
                members.feed(into);
            }
        }
    }
}

/// The state of all.
#[derive(Clone, Debug)]
pub struct World {
    pub nodes: Vec<Part<Node>>,
    pub proposers: Vec<Part<Proposer>>,
    /// In the order of their fingerprints, so that the order of sending does not tell states apart.
    pub sent: Vec<Part<Sent>>,
    pub wipes_left: u8,
    /// The longest list that was agreed.
    pub longest: Vec<u8>,
    pub epochs: BTreeMap<u64, Membership>,
    /// Calls of the operator that were agreed, and orders that were acknowledged.
    pub agreed_changes: Vec<PendingChanges>,
    pub acknowledged: Vec<Item>,
    /// The table that each machine has taken over and goes by, and all that were agreed.
    pub tables: BTreeMap<usize, ShardTable>,
    pub agreed_tables: BTreeMap<Ballot, ShardTable>,
    pub broken: Option<String>,
}

impl std::hash::Hash for World {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (&self.nodes, &self.proposers, &self.sent, self.wipes_left).hash(hasher);
        (&self.longest, &self.broken).hash(hasher);
        self.epochs
            .values()
            .for_each(|members| (members.epoch, &members.ips).hash(hasher));
        self.agreed_changes
            .iter()
            .for_each(|changes| changes.encode_to_vec().hash(hasher));
        self.acknowledged
            .iter()
            .for_each(|order| order.encode_to_vec().hash(hasher));
        self.tables
            .iter()
            .for_each(|(n, table)| (n, table.encode_to_vec()).hash(hasher));
        for (ballot, table) in &self.agreed_tables {
            (ballot.encode_to_vec(), table.encode_to_vec()).hash(hasher);
        }
    }
}

impl World {
    /// All is well and nothing was proposed yet.
    pub fn new(setup: &Setup) -> Self {
        let first = setup.first_members();
        let node = |n: usize| {
            let founder = n < setup.founders;
            let members = if founder {
                first.clone()
            } else {
                Membership::default()
            };
            let incarnation = n as u64 + 1;
            let acceptor = Acceptor {
                ip: ip(n),
                incarnation,
                members,
                catching_up: !founder,
                ..Acceptor::default()
            };
            Part::new(Node {
                acceptor,
                ..Node::default()
            })
        };
        let proposer = |(machine, goal, rounds): &(usize, Goal, u8)| {
            let (machine, goal, rounds_left) = (*machine, goal.clone(), *rounds);
            let phase = Phase::Idle;
            Part::new(Proposer {
                machine,
                goal,
                rounds_left,
                finishing: false,
                lost: 0,
                phase,
            })
        };
        World {
            nodes: (0..setup.machines).map(node).collect(),
            proposers: setup.proposers.iter().map(proposer).collect(),
            sent: Vec::new(),
            wipes_left: setup.wipes,
            longest: Vec::new(),
            epochs: BTreeMap::from([(1, first)]),
            agreed_changes: Vec::new(),
            acknowledged: Vec::new(),
            tables: BTreeMap::new(),
            agreed_tables: BTreeMap::new(),
            broken: None,
        }
    }

    /// The newest members that were agreed.
    pub fn newest_members(&self) -> Membership {
        self.epochs
            .values()
            .next_back()
            .cloned()
            .unwrap_or_default()
    }

    /// Puts a request into the network; one that is there already may be delivered again anyway.
    pub fn send(&mut self, sent: Sent) {
        let sent = Part::new(sent);
        let place = self
            .sent
            .binary_search_by_key(&sent.fingerprint(), Part::fingerprint);
        if let Err(place) = place {
            self.sent.insert(place, sent);
        }
    }

    /// The fingerprint of what a recovery starts from: it does not depend on rounds under way.
    pub fn standing_fingerprint(&self) -> u128 {
        let epochs: Vec<_> = self
            .epochs
            .values()
            .map(|members| (members.epoch, &members.ips))
            .collect();
        Fingerprint::of(&(&self.nodes, epochs, &self.longest))
    }

    /// Whether a machine is lost for good.
    pub fn is_down(&self, setup: &Setup, n: usize) -> bool {
        setup.dead.contains(&n) || self.nodes[n].down
    }

    /// Whether one more disk may be lost: no more are out at once than the newest members bear.
    pub fn bears_loss_of(&self, setup: &Setup, lost: usize) -> bool {
        let members = self.newest_members();
        let blank_counts = setup.bug == Bug::SeatedBlank;
        let out = |ip: &&String| {
            let n = machine(ip);
            let newcomer = n >= setup.founders && blank_counts;
            n == lost || self.is_down(setup, n) || (self.nodes[n].acceptor.catching_up && !newcomer)
        };
        members.ips.iter().filter(out).count() < recovery_quorum(&members)
    }

    /// Records the first invariant that was broken.
    pub fn fail(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// A value once agreed is seen by every later agreed round, and no two values succeed the same state.
    pub fn agreed_list(&mut self, list: Vec<u8>, floor: &[u8]) {
        if !list.starts_with(floor) {
            return self.fail(format!(
                "agreed value lost: {floor:?} was agreed before, then {list:?}"
            ));
        }
        let list_is_short = list.len() < self.longest.len();
        let (short, long) = if list_is_short {
            (&list, &self.longest)
        } else {
            (&self.longest, &list)
        };
        if !long.starts_with(short) {
            return self.fail(format!("two successors agreed: {short:?} and {long:?}"));
        }
        self.longest = long.clone();
    }

    /// No two sets of members are agreed in one epoch.
    pub fn agreed_members(&mut self, members: &Membership) {
        let first = self
            .epochs
            .entry(members.epoch)
            .or_insert_with(|| members.clone())
            .clone();
        if first != *members {
            self.fail(format!(
                "two sets of members agreed: {first:?} and {members:?}"
            ));
        }
    }

    /// Terms and generations of agreed tables never go down in the order of their ballots.
    pub fn agree_on_table(&mut self, machine: usize, ballot: Ballot, table: ShardTable) {
        self.tables.insert(machine, table.clone());
        self.agreed_tables.insert(ballot, table);
        let fence = |table: &ShardTable| table.slices.first().map_or(0, |slice| slice.generation);
        let order: Vec<_> = self
            .agreed_tables
            .values()
            .map(|table| (table.term, fence(table)))
            .collect();
        if !order.is_sorted() {
            self.fail(format!(
                "deposed owner's write agreed: {:?}",
                self.agreed_tables
            ));
        }
    }

    /// The table that the register holds, as far as writes to it have been agreed.
    pub fn agreed_table(&self) -> ShardTable {
        self.agreed_tables
            .values()
            .next_back()
            .cloned()
            .unwrap_or_default()
    }

    /// Two different contents under one version are never both acknowledged.
    pub fn acknowledge(&mut self, order: &Item) {
        let same_version = |held: &&Item| held.key == order.key && held.version == order.version;
        match self.acknowledged.iter().find(same_version).cloned() {
            Some(held) if held != *order => {
                self.fail(format!(
                    "two contents under one version acknowledged: {held:?} and {order:?}"
                ));
            }
            Some(_) => {}
            None => {
                self.acknowledged.push(order.clone());
                self.acknowledged
                    .sort_by(|a, b| (&a.key, a.version).cmp(&(&b.key, b.version)));
            }
        }
    }
}
