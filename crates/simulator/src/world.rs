//! A run: machines, network, operators, tasks and edges on one virtual clock, until the plan is over or an
//! invariant is broken.

mod callers;
mod delivery;
mod disks;
mod edges;
mod ends;
mod machines;

use std::collections::BTreeMap;

use lynxmill_control_node::{CallId, Input, NodeReport};
use lynxmill_protocol::Membership;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::connections::Connections;
use crate::digest::EffectDigest;
use crate::edge::EdgeActor;
use crate::event_queue::EventQueue;
use crate::fault_injection::Undo;
use crate::faults::Plan;
use crate::invariants::History;
use crate::machine::Machine;
use crate::network::{Endpoint, Network, Packet};
use crate::operator::{Operator, PLAIN, SHARDED, Versions};
use crate::operator_connections::OperatorConnections;
use crate::random::Random;
use crate::rollout_operator::RolloutOperator;
use crate::sabotage::Sabotage;
use crate::task::TaskActor;
use crate::violation::Violation;

/// Between two looks at what has to hold all the time.
const CHECK_INTERVAL: TimeDelta = TimeDelta::from_micros(250_000);
/// A step of a slow node, in seconds.
const SLOW_STEP_S: (f64, f64) = (0.005, 0.06);
/// Before a connection that broke, or could not be made, is dialled again, in seconds.
const REDIAL_S: (f64, f64) = (0.15, 0.75);
/// An order waits no longer than this between its arrival and the node.
const MAX_QUEUE_TIME: TimeDelta = TimeDelta::from_micros(100_000);
/// Tasks of the plain service of each version, where versions are brought in.
const ROLLOUT_TASKS: usize = 2;
const FIRST_VERSION: &str = "v1";
const HANDSHAKE_S: (f64, f64) = (0.001, 0.01);

/// What a run is beside its plan.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// Every step is written down.
    pub trace: bool,
    /// A bug that is put in on purpose.
    pub sabotage: Option<Sabotage>,
    /// A digest is taken of all that nodes do.
    pub digest: bool,
    /// Half of the tasks that end in order sign off first and serve on; the others drain.
    pub sign_offs_first: bool,
    /// Orders that a cut held up arrive after it though their callers have gone, and operators keep half of their
    /// connections.
    pub late_orders: bool,
    /// Versions of a service are brought in, and edges have clients.
    pub rollouts: bool,
}

#[derive(Debug)]
pub(crate) enum Event {
    Tick {
        machine: usize,
        life: u64,
    },
    /// A slow node has time for its next input.
    Wake {
        machine: usize,
    },
    Deliver(Box<Packet>),
    Synced {
        machine: usize,
        life: u64,
    },
    Dial {
        from: usize,
        to: usize,
    },
    Start {
        machine: usize,
    },
    /// A machine is to leave in order, then to be gone.
    Leave {
        machine: usize,
    },
    Retire {
        machine: usize,
        life: u64,
    },
    FaultBegins(usize),
    FaultEnds(Undo),
    /// An operator or a task has something to do.
    Caller(Endpoint),
    Edge {
        edge: usize,
        life: u64,
    },
    LookAround,
    /// All faults are over.
    Close,
    CloseNow,
    End,
}

/// A call that a node has not answered yet.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub caller: Endpoint,
    pub machine: usize,
    what: &'static str,
    arrived: Timestamp,
}

#[derive(Debug, Default)]
pub(crate) struct OpenCalls(pub BTreeMap<u64, OpenCall>);

impl OpenCalls {
    /// An order that has waited for long in a slow node's queue: with a node's own patience it would be
    /// judged after its caller has gone elsewhere. The program answers it with a 5xx in place of handing it
    /// over.
    fn too_old(&mut self, now: Timestamp, input: &Input) -> Option<(u64, Endpoint)> {
        let Input::Call {
            call: CallId(call), ..
        } = input
        else {
            return None;
        };
        let old = |open: &&OpenCall| open.what == "an order" && now - open.arrived > MAX_QUEUE_TIME;
        let caller = self.0.get(call).filter(old)?.caller;
        self.0.remove(call);
        Some((*call, caller))
    }
}

pub struct World {
    pub(crate) now: Timestamp,
    pub(crate) plan: Plan,
    pub(crate) options: RunOptions,
    pub(crate) queue: EventQueue<Event>,
    pub(crate) network: Network,
    pub(crate) connections: Connections,
    pub(crate) machines: Vec<Machine>,
    /// Streams that a node has taken: the edge, and the machine.
    pub(crate) streams: BTreeMap<u64, (usize, usize)>,
    pub(crate) calls: OpenCalls,
    pub(crate) operators: Vec<Operator>,
    pub(crate) rollout_operator: Option<RolloutOperator>,
    pub(crate) tasks: Vec<TaskActor>,
    pub(crate) edges: Vec<EdgeActor>,
    pub(crate) versions: Versions,
    pub ledger: History,
    pub(crate) random: Random,
    /// The newest members that any node has found agreed.
    pub(crate) membership: Membership,
    /// The members before them, and when the newest were first found agreed.
    previous_membership: Membership,
    membership_since: Timestamp,
    /// The version of the plain service that new tasks run.
    released_version: String,
    /// Processes that ended, and when.
    pub(crate) process_ends: Vec<(Timestamp, usize)>,
    /// All faults are over since then, and all machines run.
    pub(crate) calm_since: Option<Timestamp>,
    /// A machine was told to leave then.
    pub(crate) last_departure: Timestamp,
    /// The last time that a fault began or ended, or a process.
    pub(crate) last_event: Timestamp,
    pub(crate) closing: bool,
    /// When each caller is to be woken next; events of other times are stale.
    next_wakes: BTreeMap<Endpoint, Timestamp>,
    last_call: u64,
    operator_connections: OperatorConnections,
    finished: bool,
    pub steps: u64,
    pub(crate) digest: Option<EffectDigest>,
    pub trace: Vec<String>,
}

impl World {
    pub fn new(plan: Plan, options: RunOptions) -> Self {
        let seed = plan.seed;
        let now = Timestamp::from_secs(1000.0);
        let mut world = World {
            now,
            queue: EventQueue::default(),
            network: Network::new(seed, options.late_orders),
            connections: Connections::default(),
            machines: (0..plan.core_size).map(|_| Machine::new()).collect(),
            streams: BTreeMap::new(),
            calls: OpenCalls::default(),
            operators: (0..plan.operators)
                .map(|index| Operator::new(seed, index, now))
                .collect(),
            rollout_operator: options.rollouts.then(|| RolloutOperator::new(seed, now)),
            tasks: Vec::new(),
            edges: Vec::new(),
            versions: Versions::new(plan.conflicts),
            ledger: History::default(),
            random: Random::new(seed, "world"),
            membership: Membership::default(),
            previous_membership: Membership::default(),
            membership_since: now,
            released_version: FIRST_VERSION.to_owned(),
            process_ends: Vec::new(),
            calm_since: None,
            last_departure: now,
            last_event: now,
            closing: false,
            next_wakes: BTreeMap::new(),
            last_call: 0,
            operator_connections: OperatorConnections::new(seed, options.late_orders),
            finished: false,
            steps: 0,
            digest: options.digest.then(EffectDigest::default),
            trace: Vec::new(),
            plan,
            options,
        };
        world.begin();
        world
    }

    /// Moments of the plan count from here.
    pub(crate) fn origin() -> Timestamp {
        Timestamp::from_secs(1000.0)
    }

    pub(crate) fn plan_time(at: Timestamp) -> Timestamp {
        World::origin() + (at - Timestamp::default())
    }

    fn begin(&mut self) {
        for machine in 0..self.machines.len() {
            self.start(machine, true);
        }
        for index in 0..self.plan.tasks {
            let service = if index % 3 == 2 { PLAIN } else { SHARDED };
            self.add_task(service);
        }
        if self.rollout_operator.is_some() {
            (0..ROLLOUT_TASKS).for_each(|_| self.add_task(PLAIN));
            let at = self.now + TimeDelta::from_secs(0.5);
            self.wake_at(Endpoint::RolloutOperator, at);
        }
        for index in 0..self.plan.edges {
            let life = self.random.number();
            let edge = self.new_edge(index, life);
            self.edges.push(edge);
            self.queue.add(self.now, Event::Edge { edge: index, life });
        }
        for index in 0..self.operators.len() {
            self.wake_at(
                Endpoint::Operator(index),
                self.now + TimeDelta::from_secs(0.2),
            );
        }
        for (index, fault) in self.plan.faults.iter().enumerate() {
            self.queue
                .add(World::plan_time(fault.at), Event::FaultBegins(index));
        }
        self.queue.add(self.now, Event::LookAround);
        self.queue
            .add(World::plan_time(self.plan.calm_at), Event::Close);
    }

    /// An edge that starts.
    pub(crate) fn new_edge(&self, index: usize, life: u64) -> EdgeActor {
        let edge = EdgeActor::new(index, life, self.now, &self.listed_machines());
        if self.rollout_operator.is_some() {
            edge.with_clients(self.plan.seed)
        } else {
            edge
        }
    }

    /// Plays to the end, or to the first violation.
    pub fn run(&mut self) -> Option<(Timestamp, Violation)> {
        while !self.finished && self.ledger.violation.is_none() {
            let Some((at, event)) = self.queue.next() else {
                break;
            };
            self.now = at;
            self.handle_event(event);
        }
        let found = self.ledger.violation.clone();
        found.map(|(at, violation)| (Timestamp::default() + (at - World::origin()), violation))
    }

    /// Plays up to a moment, or to the first violation.
    pub(crate) fn run_until(&mut self, at: Timestamp) {
        while self.ledger.violation.is_none() && self.queue.next_at().is_some_and(|next| next <= at)
        {
            let Some((now, event)) = self.queue.next() else {
                break;
            };
            self.now = now;
            self.handle_event(event);
        }
    }

    /// Simulated time that has passed.
    pub fn elapsed(&self) -> TimeDelta {
        self.now - World::origin()
    }

    pub(crate) fn trace_line(&mut self, line: impl FnOnce() -> String) {
        if self.options.trace {
            let at = (self.now - World::origin()).secs();
            self.trace.push(format!("{at:>10.6} {}", line()));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick { machine, life } => self.tick(machine, life),
            Event::Wake { machine } => self.process_inbox(machine),
            Event::Deliver(packet) => self.deliver(*packet),
            Event::Synced { machine, life } => self.synced(machine, life),
            Event::Dial { from, to } => self.dial(from, to),
            Event::Start { machine } => self.start(machine, false),
            Event::Leave { machine } => self.leave(machine),
            Event::Retire { machine, life } => self.grace_is_over(machine, life),
            Event::FaultBegins(index) => self.begin_fault(index),
            Event::FaultEnds(undo) => self.end_fault(undo),
            Event::Caller(caller) => self.wake_caller(caller),
            Event::Edge { edge, life } => self.wake_edge(edge, life),
            Event::LookAround => {
                self.check_invariants();
                self.queue.add(self.now + CHECK_INTERVAL, Event::LookAround);
            }
            Event::Close => self.close(),
            Event::CloseNow => self.close_now(),
            Event::End => {
                self.check_at_end();
                self.finished = true;
            }
        }
    }

    /// How each node stands; none for machines without a process.
    pub fn reports(&self) -> Vec<Option<NodeReport>> {
        self.machines
            .iter()
            .map(|host| host.report(self.now))
            .collect()
    }
}
