//! A run: machines, network, operators, tasks and edges on one virtual clock, until the plan is over or an
//! invariant is broken.

use std::collections::BTreeMap;

use lynxmill_control_node::{
    Answer, CallId, ConnectionId, ControlRequest, Effect, Input, NodeReport, StreamId, TICK,
};
use lynxmill_protocol::{Membership, RequestEnvelope, ToEdgeBody};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::connections::Connections;
use crate::digest::EffectDigest;
use crate::disk::{Synced, Unsynced};
use crate::edge::{EdgeAction, EdgeActor, LOOK};
use crate::event_queue::EventQueue;
use crate::fault_injection::Undo;
use crate::faults::Plan;
use crate::invariants::{CUT_OFF, History, Violation};
use crate::machine::{Machine, machine_of, node_options};
use crate::network::{Endpoint, Network, Packet, Payload, name};
use crate::operator::{Operator, PLAIN, SHARDED, Versions, ZONES};
use crate::operator_connections::OperatorConnections;
use crate::random::Random;
use crate::rollout_operator::{RolloutNews, RolloutOperator};
use crate::sabotage::Sabotage;
use crate::task::{Stage, TaskActor, TaskOutcome};

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

    // --- machines ---

    /// Machines on the list that callers and new processes have.
    pub(crate) fn listed_machines(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|m| !self.machines[*m].retired)
            .collect()
    }

    pub(crate) fn start(&mut self, machine: usize, first: bool) {
        if self.machines[machine].is_running() || self.machines[machine].retired {
            return;
        }
        let seeds = if first {
            (0..self.plan.core_size).collect()
        } else {
            self.listed_machines()
        };
        let seeds: Vec<String> = seeds.into_iter().take(5).map(crate::machine::ip).collect();
        let life = self.random.number();
        let mut options = node_options(machine, seeds, self.plan.core_size, life);
        options.bootstrap = first;
        self.trace_line(|| format!("node {machine} starts, life {life}"));
        self.last_event = self.now;
        self.machines[machine].start(self.now, options);
        self.queue.add(self.now, Event::Tick { machine, life });
    }

    fn tick(&mut self, machine: usize, life: u64) {
        let host = &mut self.machines[machine];
        if host
            .process
            .as_ref()
            .is_none_or(|process| process.incarnation != life)
        {
            return;
        }
        self.queue
            .add(self.now + TICK, Event::Tick { machine, life });
        if host.inbox.is_empty() {
            host.inbox.push_back(Input::Tick);
        } else if !host.inbox.contains(&Input::Tick) {
            // What came in while it could not run may be read before or after its timer.
            if self.random.chance(0.5) {
                host.inbox.push_back(Input::Tick);
            } else {
                host.inbox.push_front(Input::Tick);
            }
        }
        self.process_inbox(machine);
    }

    pub(crate) fn input(&mut self, machine: usize, input: Input) {
        self.machines[machine].inbox.push_back(input);
        self.process_inbox(machine);
    }

    /// The process takes what has come in, if it can.
    pub(crate) fn process_inbox(&mut self, machine: usize) {
        loop {
            let host = &mut self.machines[machine];
            if host.frozen > 0 || self.now < host.busy_until {
                return;
            }
            let Some(process) = host.process.as_mut() else {
                host.inbox.clear();
                return;
            };
            let Some(input) = host.inbox.pop_front() else {
                return;
            };
            // After a freeze the node itself has to see that calls may be old.
            if self.now - host.unfrozen_at > MAX_QUEUE_TIME
                && let Some((call, caller)) = self.calls.too_old(self.now, &input)
            {
                self.send(
                    Endpoint::Machine(machine),
                    caller,
                    0,
                    Payload::Refused { call },
                );
                continue;
            }
            self.steps += 1;
            let effects = process.node.step(host.clock.read(self.now), input);
            if host.slow > 0 {
                host.busy_until = self.now + self.random.time_delta(SLOW_STEP_S.0, SLOW_STEP_S.1);
                self.queue
                    .add(self.machines[machine].busy_until, Event::Wake { machine });
            }
            if let Some(digest) = &mut self.digest {
                digest.add(self.now, machine, &effects);
            }
            self.carry_out(machine, effects);
        }
    }

    fn carry_out(&mut self, machine: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Connect(ip) => {
                    if let Some(to) = machine_of(&ip)
                        && self.connections.want(machine, to)
                    {
                        let at = self.now + self.random.time_delta(HANDSHAKE_S.0, HANDSHAKE_S.1);
                        self.queue.add(at, Event::Dial { from: machine, to });
                    }
                }
                Effect::Request { to, envelope } => {
                    let Some(to) = machine_of(&to) else { continue };
                    if let Some(connection) = self.connections.between(machine, to) {
                        self.send_peer(machine, to, connection, Payload::PeerRequest(envelope));
                    }
                }
                Effect::Respond {
                    connection: ConnectionId(connection),
                    response,
                } => {
                    if let Some((dialler, _)) = self.connections.ends(connection) {
                        self.send_peer(
                            machine,
                            dialler,
                            connection,
                            Payload::PeerResponse(response),
                        );
                    }
                }
                Effect::Answer {
                    call: CallId(call),
                    answer,
                } => self.answered(machine, call, answer),
                Effect::Store { ticket, batch } => self.store(machine, ticket, batch),
                Effect::SendEdges { streams, body } => self.send_edges(machine, streams, body),
                Effect::CloseEdge(StreamId(stream)) => {
                    if let Some((edge, _)) = self.streams.remove(&stream) {
                        let (from, to) = (Endpoint::Machine(machine), Endpoint::Edge(edge));
                        self.send(from, to, stream, Payload::CloseStream { stream });
                    }
                }
                Effect::Log(event) => self.trace_line(|| format!("node {machine}: {event}")),
                Effect::Exit => self.retire(machine),
            }
        }
    }

    fn send_peer(&mut self, from: usize, to: usize, connection: u64, payload: Payload) {
        if let Some(Sabotage::FalseContact) = self.options.sabotage
            && self.fakes_status(from, to, &payload)
        {
            return;
        }
        self.send(
            Endpoint::Machine(from),
            Endpoint::Machine(to),
            connection,
            payload,
        );
    }

    pub(crate) fn send(&mut self, from: Endpoint, to: Endpoint, connection: u64, payload: Payload) {
        let packet = Packet {
            from,
            to,
            connection,
            payload,
        };
        if let Some((at, packet)) = self.network.send(self.now, packet) {
            self.queue.add(at, Event::Deliver(Box::new(packet)));
        }
    }

    fn answered(&mut self, machine: usize, call: u64, answer: Answer) {
        let Some(open) = self.calls.0.remove(&call) else {
            return self
                .ledger
                .record_violation(self.now, Violation::AnsweredTwice { call });
        };
        let operator = match open.caller {
            Endpoint::Operator(operator) => Some(operator),
            Endpoint::RolloutOperator => Some(self.operators.len()),
            _ => None,
        };
        if let (Some(operator), Some(process)) = (operator, &self.machines[machine].process) {
            let merged = process.node.merged();
            self.operator_connections
                .answered(operator, machine, merged);
        }
        let serves = matches!(
            answer,
            Answer::Done | Answer::Heartbeat(_) | Answer::Configuration(_)
        );
        if serves && open.what != "a sign-off" {
            self.check_contact(machine, open.what);
        }
        self.send(
            Endpoint::Machine(machine),
            open.caller,
            0,
            Payload::Answer { call, answer },
        );
    }

    /// A node serves what needs contact with a majority.
    fn check_contact(&mut self, machine: usize, what: &'static str) {
        let cut_off = self.now - self.last_contact(machine);
        if cut_off > CUT_OFF {
            let cut_off_ms = cut_off.micros() / 1000;
            self.ledger.record_violation(
                self.now,
                Violation::ServedCutOff {
                    machine,
                    what,
                    cut_off_ms,
                },
            );
        }
    }

    /// When a node could last have asked a majority of the members and been answered since. Until a change
    /// of the members was agreed, those before it are the members.
    fn last_contact(&self, machine: usize) -> Timestamp {
        let before = self
            .last_contact_with(machine, &self.previous_membership)
            .min(self.membership_since);
        self.last_contact_with(machine, &self.membership)
            .max(before)
    }

    fn last_contact_with(&self, machine: usize, members: &Membership) -> Timestamp {
        let here = Endpoint::Machine(machine);
        let contact = |ip: &String| {
            let other = machine_of(ip)?;
            let there = Endpoint::Machine(other);
            let asked = self.network.last_open(self.now, here, there);
            let answered = self.network.last_open(self.now, there, here);
            let ran = self.machines[other].stopped_since.unwrap_or(self.now);
            Some(if other == machine {
                self.now
            } else {
                asked.min(answered).min(ran)
            })
        };
        let mut contacts: Vec<Timestamp> = members.ips.iter().filter_map(contact).collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts
            .get(contacts.len() / 2)
            .copied()
            .unwrap_or(self.now)
    }

    fn send_edges(&mut self, machine: usize, streams: Vec<StreamId>, body: ToEdgeBody) {
        if matches!(&body, ToEdgeBody::ConfigurationUpdate(update) if update.is_complete) {
            self.check_contact(machine, "an edge's join");
        }
        for StreamId(stream) in streams {
            if let Some((edge, _)) = self.streams.get(&stream).copied() {
                let payload = Payload::ToEdge {
                    stream,
                    body: body.clone(),
                };
                self.send(
                    Endpoint::Machine(machine),
                    Endpoint::Edge(edge),
                    stream,
                    payload,
                );
            }
        }
    }

    // --- disks ---

    fn store(&mut self, machine: usize, ticket: u64, batch: lynxmill_storage::Batch) {
        self.ledger.written(self.now, &batch.registers);
        if let Some(members) = batch
            .members
            .as_ref()
            .filter(|members| members.epoch > self.membership.epoch)
        {
            self.previous_membership = std::mem::replace(&mut self.membership, members.clone());
            self.membership_since = self.now;
        }
        let host = &mut self.machines[machine];
        let Some(life) = host.process.as_ref().map(|process| process.incarnation) else {
            return;
        };
        if let Some(over) = host.disk.store(self.now, ticket, batch, &mut self.random) {
            self.queue.add(over, Event::Synced { machine, life });
        }
        if let Some(Sabotage::StoredBeforeSync) = self.options.sabotage {
            self.machines[machine].inbox.push_back(Input::Stored {
                ticket,
                failure: None,
            });
        }
    }

    fn synced(&mut self, machine: usize, life: u64) {
        let host = &mut self.machines[machine];
        if host
            .process
            .as_ref()
            .is_none_or(|process| process.incarnation != life)
        {
            return;
        }
        match host.disk.synced(self.now, &mut self.random) {
            Synced::Later(at) => self.queue.add(at, Event::Synced { machine, life }),
            Synced::Done {
                ticket,
                failure,
                next,
            } => {
                next.into_iter()
                    .for_each(|at| self.queue.add(at, Event::Synced { machine, life }));
                self.input(machine, Input::Stored { ticket, failure });
            }
        }
    }

    // --- the network ---

    fn dial(&mut self, from: usize, to: usize) {
        if !self.machines[from].is_running() || !self.connections.is_missing(from, to) {
            return;
        }
        let ends = [Endpoint::Machine(from), Endpoint::Machine(to)];
        let cut = self.network.is_cut(ends[0], ends[1]) || self.network.is_cut(ends[1], ends[0]);
        let listens = self.machines.get(to).is_some_and(Machine::is_running);
        if cut || !listens || self.machines[from].frozen > 0 {
            let at = self.now + self.random.time_delta(REDIAL_S.0, REDIAL_S.1);
            return self.queue.add(at, Event::Dial { from, to });
        }
        self.connections.stands(from, to);
    }

    /// Connections are reset: what is on its way is lost.
    pub(crate) fn break_connections(&mut self, numbers: Vec<u64>) {
        for number in numbers {
            self.network.forget(number);
            if let Some((from, to)) = self.connections.break_off(number) {
                let at = self.now + self.random.time_delta(REDIAL_S.0, REDIAL_S.1);
                self.queue.add(at, Event::Dial { from, to });
            } else if let Some((edge, machine)) = self.streams.remove(&number) {
                self.input(
                    machine,
                    Input::EdgeClosed {
                        stream: StreamId(number),
                    },
                );
                self.edges[edge].stream_closed(self.now, machine, number);
            }
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let Packet {
            from,
            to,
            connection,
            payload,
        } = packet;
        self.trace_line(|| format!("{from:?} -> {to:?}: {}", name(&payload)));
        match (to, payload) {
            (Endpoint::Machine(machine), Payload::PeerRequest(envelope)) => {
                self.deliver_peer_request(machine, connection, envelope);
            }
            (Endpoint::Machine(machine), Payload::PeerResponse(response)) => {
                if let (Some(_), Endpoint::Machine(from)) =
                    (self.connections.ends(connection), from)
                {
                    let from = crate::machine::ip(from);
                    self.input(machine, Input::Response { from, response });
                }
            }
            (
                Endpoint::Machine(machine),
                Payload::Call {
                    call,
                    request,
                    sent_after,
                },
            ) => self.call_arrives(machine, from, call, request, sent_after),
            (Endpoint::Machine(machine), Payload::OpenStream { stream }) => {
                if let (true, Endpoint::Edge(edge)) = (self.machines[machine].is_running(), from) {
                    self.streams.insert(stream, (edge, machine));
                } else if self.machines[machine].powered {
                    self.send(to, from, stream, Payload::CloseStream { stream });
                }
            }
            (Endpoint::Machine(machine), Payload::ToNode { stream, message }) => {
                if self.streams.contains_key(&stream) {
                    self.input(
                        machine,
                        Input::Edge {
                            stream: StreamId(stream),
                            message,
                        },
                    );
                } else if self.machines[machine].powered {
                    self.send(to, from, stream, Payload::CloseStream { stream });
                }
            }
            (Endpoint::Machine(machine), Payload::CloseStream { stream }) => {
                self.stream_closes(machine, stream);
            }
            (Endpoint::Edge(edge), Payload::ToEdge { stream, body }) => {
                let Endpoint::Machine(machine) = from else {
                    return;
                };
                self.deliver_to_edge(edge, machine, stream, body);
            }
            (Endpoint::Edge(edge), Payload::CloseStream { stream }) => {
                if let Endpoint::Machine(machine) = from {
                    self.edges[edge].stream_closed(self.now, machine, stream);
                }
            }
            (caller, Payload::Answer { call, answer }) => self.answer_arrives(caller, call, answer),
            (caller, Payload::Refused { call }) => self.refusal_arrives(caller, call),
            _ => {}
        }
    }

    fn deliver_peer_request(&mut self, machine: usize, connection: u64, envelope: RequestEnvelope) {
        let stands = self.connections.ends(connection).is_some();
        if stands && !self.seats_at_once(machine, &envelope) {
            let connection = ConnectionId(connection);
            self.input(
                machine,
                Input::Peer {
                    connection,
                    envelope,
                },
            );
        }
    }

    fn stream_closes(&mut self, machine: usize, stream: u64) {
        if self.streams.remove(&stream).is_some() {
            self.input(
                machine,
                Input::EdgeClosed {
                    stream: StreamId(stream),
                },
            );
        }
    }

    // --- callers ---

    fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    fn call_arrives(
        &mut self,
        machine: usize,
        caller: Endpoint,
        call: u64,
        request: ControlRequest,
        sent_after: u64,
    ) {
        if !self.machines[machine].is_running() {
            if self.machines[machine].powered {
                self.send(
                    Endpoint::Machine(machine),
                    caller,
                    0,
                    Payload::Refused { call },
                );
            }
            return;
        }
        let what = match &request {
            ControlRequest::Change(_)
            | ControlRequest::Evacuate { .. }
            | ControlRequest::Rollout(_) => "an order",
            ControlRequest::ReadBack => "a read-back",
            ControlRequest::Heartbeat(_) => "a heartbeat",
            ControlRequest::SignOff(_) => "a sign-off",
        };
        self.calls.0.insert(
            call,
            OpenCall {
                caller,
                machine,
                what,
                arrived: self.now,
            },
        );
        self.input(
            machine,
            Input::Call {
                call: CallId(call),
                request,
                sent_after,
            },
        );
    }

    fn wake_at(&mut self, caller: Endpoint, at: Timestamp) {
        let at = at.max(self.now + TimeDelta::from_micros(100));
        if self.next_wakes.insert(caller, at) != Some(at) {
            self.queue.add(at, Event::Caller(caller));
        }
    }

    fn wake_caller(&mut self, caller: Endpoint) {
        if self.next_wakes.get(&caller) != Some(&self.now) {
            return;
        }
        match caller {
            Endpoint::Operator(index) => self.wake_operator(index),
            Endpoint::Task(index) => self.wake_task(index),
            Endpoint::RolloutOperator => self.wake_rollout_operator(),
            _ => {}
        }
    }

    fn wake_rollout_operator(&mut self) {
        let (machines, call) = (self.listed_machines(), self.next_call());
        let Some(operator) = &mut self.rollout_operator else {
            return;
        };
        let wish = operator.wake(self.now, &machines, &mut self.ledger, call);
        let next = operator.next_wake();
        if let Some(wish) = wish {
            let process = self.machines[wish.machine].process.as_ref();
            let merged = process.map_or(0, |process| process.node.merged());
            let connection = self.operators.len();
            let sent_after = self
                .operator_connections
                .call(connection, wish.machine, merged);
            let payload = Payload::Call {
                call: wish.call,
                request: wish.request,
                sent_after,
            };
            let to = Endpoint::Machine(wish.machine);
            self.send(Endpoint::RolloutOperator, to, 0, payload);
        }
        self.wake_at(Endpoint::RolloutOperator, next);
    }

    fn rollout_operator_answered(&mut self, call: u64, answer: &Answer) {
        let Some(operator) = &mut self.rollout_operator else {
            return;
        };
        let news = operator.answered(self.now, call, answer, &mut self.ledger);
        let next = operator.next_wake();
        self.wake_at(Endpoint::RolloutOperator, next);
        match news {
            RolloutNews::Nothing => {}
            RolloutNews::Acknowledged(version) => {
                let at = self.now;
                self.trace_line(|| format!("tasks of {version} start"));
                (0..ROLLOUT_TASKS).for_each(|_| self.add_task_of(PLAIN, &version, at));
            }
            RolloutNews::Completed(version) => {
                let now = self.now;
                let is_old =
                    |task: &&mut TaskActor| task.service == PLAIN && task.version != version;
                let old = self.tasks.iter_mut().filter(is_old);
                old.for_each(|task| task.crash(now));
                // Whoever starts from now on runs the new version.
                self.released_version = version;
            }
            RolloutNews::Reverted(version) => {
                let now = self.now;
                let new = self.tasks.iter_mut().filter(|task| task.version == version);
                new.for_each(|task| task.drain(now));
            }
        }
    }

    fn wake_operator(&mut self, index: usize) {
        let (machines, most) = (self.listed_machines(), self.plan.orders);
        let call = self.next_call();
        let operator = &mut self.operators[index];
        let wish = operator.wake(
            self.now,
            &machines,
            most,
            &mut self.versions,
            &mut self.ledger,
            call,
        );
        if let Some(wish) = wish {
            let process = self.machines[wish.machine].process.as_ref();
            let merged = process.map_or(0, |process| process.node.merged());
            let payload = Payload::Call {
                call: wish.call,
                request: wish.request,
                sent_after: self.operator_connections.call(index, wish.machine, merged),
            };
            self.send(
                Endpoint::Operator(index),
                Endpoint::Machine(wish.machine),
                0,
                payload,
            );
        }
        self.wake_at(Endpoint::Operator(index), self.operators[index].next_wake());
    }

    pub(crate) fn add_task(&mut self, service: &'static str) {
        let version = if service == PLAIN {
            self.released_version.clone()
        } else {
            FIRST_VERSION.to_owned()
        };
        let at = self.now + self.random.time_delta(0.0, 0.5);
        self.add_task_of(service, &version, at);
    }

    /// A task that first calls at a time.
    fn add_task_of(&mut self, service: &'static str, version: &str, at: Timestamp) {
        let index = self.tasks.len();
        let zone = ZONES[index % ZONES.len()];
        let id = format!("i-{index}");
        let task = TaskActor::new(self.plan.seed, id, service, version, zone, self.now);
        self.tasks.push(task);
        self.wake_at(Endpoint::Task(index), at);
    }

    fn wake_task(&mut self, index: usize) {
        let machines = self.listed_machines();
        let call = self.next_call();
        if let Some((machine, request)) = self.tasks[index].wake(self.now, &machines, call) {
            let payload = Payload::Call {
                call,
                request,
                sent_after: 0,
            };
            self.send(
                Endpoint::Task(index),
                Endpoint::Machine(machine),
                0,
                payload,
            );
        }
        self.schedule_task(index);
    }

    pub(crate) fn schedule_task(&mut self, index: usize) {
        if self.tasks[index].stage != Stage::Ended {
            self.wake_at(Endpoint::Task(index), self.tasks[index].next_wake());
        }
    }

    fn answer_arrives(&mut self, caller: Endpoint, call: u64, answer: Answer) {
        match caller {
            Endpoint::Operator(index) => {
                let before = self
                    .ledger
                    .orders
                    .iter()
                    .filter(|o| o.acknowledged.is_some())
                    .count();
                self.operators[index].answered(self.now, call, answer, &mut self.ledger);
                let after = self
                    .ledger
                    .orders
                    .iter()
                    .filter(|o| o.acknowledged.is_some())
                    .count();
                if after > before && std::mem::take(&mut self.closing) {
                    let at = self.now + self.random.time_delta(0.0, 0.002);
                    self.queue.add(at, Event::CloseNow);
                }
                self.wake_at(Endpoint::Operator(index), self.operators[index].next_wake());
            }
            Endpoint::Task(index) => self.task_answered(index, call, &answer),
            Endpoint::RolloutOperator => self.rollout_operator_answered(call, &answer),
            _ => {}
        }
    }

    fn task_answered(&mut self, index: usize, call: u64, answer: &Answer) {
        let machines = self.listed_machines();
        let place = |address: &str| {
            let machine = machine_of(address)?;
            machines.iter().position(|listed| *listed == machine)
        };
        let news = self.tasks[index].answered(self.now, call, answer, place);
        let id = self.tasks[index].id.clone();
        match news {
            TaskOutcome::DrainAcknowledged | TaskOutcome::SignOffAcknowledged => {
                self.ledger.leaving.entry(id).or_insert(self.now);
            }
            TaskOutcome::Granted => self.check_one_owner(index),
            TaskOutcome::Nothing => {}
        }
        self.schedule_task(index);
    }

    /// No key that a task was just granted is held by another.
    fn check_one_owner(&mut self, index: usize) {
        let now = self.now;
        let held: BTreeMap<u32, u64> = self.tasks[index].holds(now).collect();
        let service = self.tasks[index].service;
        for (place, other) in self.tasks.iter().enumerate() {
            if place == index || other.service != service {
                continue;
            }
            if let Some((from, _)) = other.holds(now).find(|(from, _)| held.contains_key(from)) {
                let (first, second) = (other.id.clone(), self.tasks[index].id.clone());
                return self.ledger.record_violation(
                    now,
                    Violation::TwoOwners {
                        from,
                        first,
                        second,
                    },
                );
            }
        }
    }

    fn refusal_arrives(&mut self, caller: Endpoint, call: u64) {
        match caller {
            Endpoint::Operator(index) => {
                self.operators[index].refused(self.now, call, &mut self.ledger);
                self.wake_at(Endpoint::Operator(index), self.operators[index].next_wake());
            }
            Endpoint::Task(index) => {
                self.tasks[index].refused(self.now, call);
                self.schedule_task(index);
            }
            Endpoint::RolloutOperator => {
                if let Some(operator) = &mut self.rollout_operator {
                    operator.refused(self.now, call);
                    let next = operator.next_wake();
                    self.wake_at(Endpoint::RolloutOperator, next);
                }
            }
            _ => {}
        }
    }

    // --- edges ---

    fn wake_edge(&mut self, edge: usize, life: u64) {
        if self.edges[edge].incarnation != life {
            return;
        }
        let connections = &mut self.connections;
        let actions = self.edges[edge].wake(self.now, || connections.number());
        self.carry_out_edge_actions(edge, actions);
        let sent = self.edges[edge].serve_clients(self.now);
        self.ledger.rollouts.sent(self.now, &sent);
        self.queue.add(self.now + LOOK, Event::Edge { edge, life });
    }

    pub(crate) fn carry_out_edge_actions(&mut self, edge: usize, actions: Vec<EdgeAction>) {
        for action in actions {
            let (machine, stream, payload) = match action {
                EdgeAction::Open { machine, stream } => {
                    (machine, stream, Payload::OpenStream { stream })
                }
                EdgeAction::Say {
                    machine,
                    stream,
                    message,
                } => (machine, stream, Payload::ToNode { stream, message }),
                EdgeAction::Close { machine, stream } => {
                    (machine, stream, Payload::CloseStream { stream })
                }
            };
            self.send(
                Endpoint::Edge(edge),
                Endpoint::Machine(machine),
                stream,
                payload,
            );
        }
    }

    fn deliver_to_edge(&mut self, edge: usize, machine: usize, stream: u64, body: ToEdgeBody) {
        let name = self.edges[edge].name.clone();
        if let ToEdgeBody::ConfigurationUpdate(update) = &body {
            self.ledger.in_force(self.now, &name, update.items.iter());
        }
        let news = self.edges[edge].message_received(self.now, machine, stream, body, machine_of);
        if news.opened {
            self.ledger
                .edge_opened(self.now, &name, &self.edges[edge].configuration);
        }
        self.carry_out_edge_actions(edge, news.actions);
    }

    // --- what ends ---

    /// A process ends; with the power, nobody is told.
    pub(crate) fn end_process(&mut self, machine: usize, power: bool, unsynced: Unsynced) {
        let host = &mut self.machines[machine];
        host.powered = !power;
        host.inbox.clear();
        if host.process.take().is_none() {
            return;
        }
        host.disk.lose(unsynced, &mut self.random);
        host.busy_until = Timestamp::default();
        host.stopped_since = Some(self.now);
        self.trace_line(|| format!("node {machine} ends, power {power}, unsynced {unsynced:?}"));
        self.last_event = self.now;
        self.process_ends.push((self.now, machine));
        self.connections.forget_dialler(machine);
        for number in self.connections.of(machine) {
            self.break_connections(vec![number]);
        }
        let calls: Vec<u64> = self
            .calls
            .0
            .iter()
            .filter(|(_, c)| c.machine == machine)
            .map(|(n, _)| *n)
            .collect();
        for call in calls {
            let Some(open) = self.calls.0.remove(&call) else {
                continue;
            };
            if !power {
                self.send(
                    Endpoint::Machine(machine),
                    open.caller,
                    0,
                    Payload::Refused { call },
                );
            }
        }
        let streams: Vec<(u64, usize)> = self
            .streams
            .iter()
            .filter(|(_, (_, m))| *m == machine)
            .map(|(s, (e, _))| (*s, *e))
            .collect();
        for (stream, edge) in streams {
            self.streams.remove(&stream);
            if !power {
                let payload = Payload::CloseStream { stream };
                self.send(
                    Endpoint::Machine(machine),
                    Endpoint::Edge(edge),
                    stream,
                    payload,
                );
            }
        }
    }

    /// A process that was told to leave is killed, unless it has been started anew since.
    fn grace_is_over(&mut self, machine: usize, life: u64) {
        if self.machines[machine]
            .process
            .as_ref()
            .is_some_and(|process| process.incarnation == life)
        {
            self.retire(machine);
        }
    }

    /// A machine is gone for good.
    pub(crate) fn retire(&mut self, machine: usize) {
        if self.machines[machine].retired {
            return;
        }
        self.trace_line(|| format!("node {machine} is gone for good"));
        self.last_departure = self.now;
        self.end_process(machine, false, Unsynced::Lost);
        (
            self.machines[machine].retired,
            self.machines[machine].powered,
        ) = (true, false);
        self.network.forget_endpoint(Endpoint::Machine(machine));
    }
}
