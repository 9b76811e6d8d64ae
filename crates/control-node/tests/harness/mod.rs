//! A few nodes on a scripted clock, with a network that can be cut in one direction and disks that can be
//! lost.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_configuration::{Bounds, ConfigurationChange, Item};
use lynxmill_control_node::{
    Answer, CallId, ConnectionId, ControlNode, ControlRequest, Effect, Input, InstanceHeartbeat,
    NodeOptions, StoredState, StreamId, TICK,
};
use lynxmill_placement::TaskHoldings;
use lynxmill_protocol::{
    FromEdgeBody, Hello, RequestEnvelope, ResponseEnvelope, Task, TaskState, ToEdgeBody,
};
use lynxmill_storage::{Batch, DiskContents};
use lynxmill_time::{TimeDelta, Timestamp};

/// One way, between any two nodes.
const DELAY: TimeDelta = TimeDelta::from_micros(3_000);

enum Message {
    Request(RequestEnvelope),
    Response(ResponseEnvelope),
}

/// A node, what it runs on, and what it has said to others than members.
pub(crate) struct Machine {
    pub node: ControlNode,
    pub disk: DiskContents,
    pub up: bool,
    pub left: bool,
    answers: BTreeMap<CallId, Answer>,
    edge_messages: BTreeMap<StreamId, Vec<ToEdgeBody>>,
}

/// Nodes by their addresses, which end in their numbers.
pub(crate) struct Cluster {
    pub now: Timestamp,
    pub machines: BTreeMap<usize, Machine>,
    /// Messages from the first to the second are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Machines whose disks refuse writes.
    pub full_disks: BTreeSet<usize>,
    network: Vec<(Timestamp, usize, usize, Message)>,
    seeds: Vec<String>,
    last: u64,
}

pub(crate) fn ip(number: usize) -> String {
    format!("10.0.0.{number}")
}

fn number(ip: &str) -> usize {
    ip.rsplit('.')
        .next()
        .and_then(|n| n.parse().ok())
        .expect("an address of the cluster")
}

pub(crate) fn route(name: &str, version: u64, timeout: f64) -> Item {
    let body = format!(
        r#"{{"Name":"{name}","Host":"h","PathPrefix":"/{name}/","RouteKind":"idempotent","TimeoutS":{timeout},"TargetS":1,"Service":"s","MaxAttempts":2}}"#
    );
    Item {
        key: format!("r/{name}"),
        version,
        body,
        ..Item::default()
    }
}

pub(crate) fn service() -> Item {
    Item {
        key: "s/s".to_owned(),
        version: 1,
        body: r#"{"Name":"s"}"#.to_owned(),
        ..Item::default()
    }
}

pub(crate) fn change(items: &[Item]) -> ControlRequest {
    ControlRequest::Change(ConfigurationChange {
        items: items.to_vec(),
    })
}

pub(crate) fn heartbeat(id: &str, seq: u64, state: TaskState) -> ControlRequest {
    let task = Task {
        id: id.to_owned(),
        service: "s".to_owned(),
        call_seq: seq,
        state: state as i32,
        ..Task::default()
    };
    let holdings = TaskHoldings {
        id: id.to_owned(),
        ..TaskHoldings::default()
    };
    ControlRequest::Heartbeat(InstanceHeartbeat { task, holdings })
}

fn write(disk: &mut DiskContents, batch: Batch) {
    for item in &batch.items {
        disk.configuration.merge(item);
    }
    for register in batch.registers {
        disk.registers.retain(|held| held.name != register.name);
        disk.registers.push(register);
    }
    for task in batch.tasks {
        disk.tasks.retain(|held| held.id != task.id);
        disk.tasks.push(task);
    }
    disk.members = batch.members.unwrap_or(std::mem::take(&mut disk.members));
    disk.merged = batch.merged.unwrap_or(disk.merged);
    disk.is_voter = batch.is_voter.unwrap_or(disk.is_voter);
}

impl Cluster {
    /// `size` nodes that found the core, in contact and with a service configured.
    pub(crate) fn founded(size: usize) -> Self {
        let seeds = (1..=size).map(ip).collect();
        let mut cluster = Cluster {
            now: Timestamp::default(),
            machines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            full_disks: BTreeSet::new(),
            network: Vec::new(),
            seeds,
            last: 0,
        };
        (1..=size).for_each(|number| cluster.start(number, DiskContents::default(), true));
        cluster.run(1.0);
        assert_eq!(cluster.call(1, change(&[service()])), Some(Answer::Done));
        cluster
    }

    fn options(&self, number: usize, bootstrap: bool) -> NodeOptions {
        NodeOptions {
            ip: ip(number),
            name: format!("node-{number}"),
            control_address: format!("{}:80", ip(number)),
            zones: vec!["z".to_owned()],
            seeds: self.seeds.clone(),
            core_size: self.seeds.len(),
            heartbeat_interval_s: 1.0,
            bounds: Bounds {
                grace_s: 6.0,
                ack_s: 5.0,
                max_hold_s: 10.0,
                ..Bounds::default()
            },
            incarnation: self.last + 1,
            bootstrap,
        }
    }

    /// Starts a process with what is on its disk.
    pub(crate) fn start(&mut self, number: usize, disk: DiskContents, bootstrap: bool) {
        self.last += 1;
        let options = self.options(number, bootstrap);
        let stored = StoredState::new(disk.clone(), &options);
        let node = ControlNode::new(self.now, options, stored);
        let (answers, edge_messages) = (BTreeMap::new(), BTreeMap::new());
        let machine = Machine {
            node,
            disk,
            up: true,
            left: false,
            answers,
            edge_messages,
        };
        self.machines.insert(number, machine);
    }

    pub(crate) fn kill(&mut self, number: usize) {
        if let Some(machine) = self.machines.get_mut(&number) {
            machine.up = false;
        }
    }

    /// Starts a killed process again, with its disk.
    pub(crate) fn restart(&mut self, number: usize) {
        let disk = self
            .machines
            .remove(&number)
            .map(|machine| machine.disk)
            .unwrap_or_default();
        self.start(number, disk, false);
    }

    /// Cuts a node off: what it says, what it hears, or both.
    pub(crate) fn cut(&mut self, from: usize, says: bool, hears: bool) {
        for other in self.machines.keys().copied().filter(|other| *other != from) {
            if says {
                self.cuts.insert((from, other));
            }
            if hears {
                self.cuts.insert((other, from));
            }
        }
    }

    pub(crate) fn step(&mut self, number: usize, input: Input) {
        let Some(machine) = self.machines.get_mut(&number).filter(|machine| machine.up) else {
            return;
        };
        let effects = machine.node.step(self.now, input);
        let is_full = self.full_disks.contains(&number);
        let mut stored = None;
        for effect in effects {
            match effect {
                Effect::Request { to, envelope } => {
                    self.send(number, self::number(&to), Message::Request(envelope))
                }
                Effect::Respond {
                    connection: ConnectionId(to),
                    response,
                } => {
                    self.send(number, to as usize, Message::Response(response));
                }
                Effect::Store { ticket, batch } => {
                    if !is_full {
                        write(
                            &mut self.machines.get_mut(&number).expect("it runs").disk,
                            batch,
                        );
                    }
                    stored = Some(ticket);
                }
                other => self.outside(number, other),
            }
        }
        if let Some(ticket) = stored {
            self.step(
                number,
                Input::Stored {
                    ticket,
                    failure: is_full.then(|| "no space left on device".to_owned()),
                },
            );
        }
    }

    fn outside(&mut self, number: usize, effect: Effect) {
        let machine = self.machines.get_mut(&number).expect("it runs");
        match effect {
            Effect::Answer { call, answer } => drop(machine.answers.insert(call, answer)),
            Effect::SendEdges { streams, body } => {
                for stream in streams {
                    machine
                        .edge_messages
                        .entry(stream)
                        .or_default()
                        .push(body.clone());
                }
            }
            Effect::Exit => machine.left = true,
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !self.cuts.contains(&(from, to)) {
            self.network.push((self.now + DELAY, from, to, message));
        }
    }

    /// Lets time pass, tick by tick.
    pub(crate) fn run(&mut self, seconds: f64) {
        let until = self.now + TimeDelta::from_secs(seconds);
        while self.now < until {
            self.now = self.now + TICK;
            self.deliver();
            for number in self.machines.keys().copied().collect::<Vec<_>>() {
                self.step(number, Input::Tick);
            }
        }
    }

    /// Delivers all that is due, and what follows from it within this tick.
    fn deliver(&mut self) {
        let end = self.now;
        loop {
            let due = |message: &&(Timestamp, usize, usize, Message)| message.0 <= end;
            let next = self
                .network
                .iter()
                .filter(due)
                .map(|message| message.0)
                .min();
            let Some(at) = next else { break };
            let place = self
                .network
                .iter()
                .position(|message| message.0 == at)
                .expect("one is due");
            let (_, from, to, message) = self.network.remove(place);
            self.now = at;
            let input = match message {
                Message::Request(envelope) => Input::Peer {
                    connection: ConnectionId(from as u64),
                    envelope,
                },
                Message::Response(response) => Input::Response {
                    from: ip(from),
                    response,
                },
            };
            self.step(to, input);
        }
        self.now = end;
    }

    /// Sends a call; its number.
    pub(crate) fn send_call(&mut self, number: usize, request: ControlRequest) -> CallId {
        let sent_after = self.machines[&number].node.merged();
        self.send_call_after(number, request, sent_after)
    }

    /// Sends a call of which the node knows only that it was sent after an earlier change; its number.
    pub(crate) fn send_call_after(
        &mut self,
        number: usize,
        request: ControlRequest,
        sent_after: u64,
    ) -> CallId {
        self.last += 1;
        let call = CallId(self.last);
        self.step(
            number,
            Input::Call {
                call,
                request,
                sent_after,
            },
        );
        call
    }

    pub(crate) fn answer(&self, number: usize, call: CallId) -> Option<Answer> {
        self.machines[&number].answers.get(&call).cloned()
    }

    /// A call, and its answer within three seconds.
    pub(crate) fn call(&mut self, number: usize, request: ControlRequest) -> Option<Answer> {
        let call = self.send_call(number, request);
        self.answer_within_three_seconds(number, call)
    }

    /// The answer to a call within three seconds.
    pub(crate) fn answer_within_three_seconds(
        &mut self,
        number: usize,
        call: CallId,
    ) -> Option<Answer> {
        for _ in 0..120 {
            if let Some(answer) = self.answer(number, call) {
                return Some(answer);
            }
            self.run(TICK.secs());
        }
        None
    }

    /// An edge opens a stream.
    pub(crate) fn join(&mut self, number: usize, name: &str) -> StreamId {
        self.last += 1;
        let stream = StreamId(self.last);
        let hello = Hello {
            name: name.to_owned(),
            ..Hello::default()
        };
        self.step(
            number,
            Input::Edge {
                stream,
                message: FromEdgeBody::Hello(hello),
            },
        );
        stream
    }

    /// All that an edge has got on a stream.
    pub(crate) fn edge_messages(&self, number: usize, stream: StreamId) -> &[ToEdgeBody] {
        let messages = self.machines[&number].edge_messages.get(&stream);
        messages.map_or(&[], Vec::as_slice)
    }

    /// The whole configuration that an edge has got on a stream.
    pub(crate) fn whole_configuration(&self, number: usize, stream: StreamId) -> Option<Vec<Item>> {
        let messages = self.machines[&number].edge_messages.get(&stream)?;
        messages.iter().find_map(|message| match message {
            ToEdgeBody::ConfigurationUpdate(update) if update.is_complete => {
                Some(update.items.clone())
            }
            _ => None,
        })
    }

    /// Zones that an edge was noticed of on a stream.
    pub(crate) fn evacuation_notices(&self, number: usize, stream: StreamId) -> Vec<String> {
        let messages = self.machines[&number].edge_messages.get(&stream);
        let zone = |message: &ToEdgeBody| match message {
            ToEdgeBody::EvacuationNotice(notice) => Some(notice.zone.clone()),
            _ => None,
        };
        messages.into_iter().flatten().filter_map(zone).collect()
    }

    pub(crate) fn members(&self, number: usize) -> Vec<usize> {
        let report = self.machines[&number].node.report(self.now);
        let mut members: Vec<usize> = report
            .members
            .ips
            .iter()
            .map(|ip| self::number(ip))
            .collect();
        members.sort_unstable();
        members
    }

    pub(crate) fn is_voter(&self, number: usize) -> bool {
        self.machines[&number].node.report(self.now).is_voter
    }
}
