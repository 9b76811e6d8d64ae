//! The seeded network: delay, loss of whole messages, order kept within a connection and nowhere else, cuts
//! of one direction, messages that a cut holds up and that come late once it heals, links of a bandwidth.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_control_node::{Answer, ControlRequest, InstanceHeartbeat};
use lynxmill_protocol::{
    FromEdgeBody, PeerRequest, PeerResponse, RequestEnvelope, ResponseEnvelope, ToEdgeBody,
};
use lynxmill_time::{TimeDelta, Timestamp};
use prost::Message;

use crate::random::Random;

/// Who sends and receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    Machine(usize),
    Operator(usize),
    RolloutOperator,
    Task(usize),
    Edge(usize),
}

/// What goes over the network.
#[derive(Clone, Debug)]
pub(crate) enum Payload {
    PeerRequest(RequestEnvelope),
    PeerResponse(ResponseEnvelope),
    Call {
        call: u64,
        request: ControlRequest,
        /// The last change that the machine had merged before the call was sent, as far as it can know.
        sent_after: u64,
    },
    Answer {
        call: u64,
        answer: Answer,
    },
    /// The machine is there, but no process takes the call.
    Refused {
        call: u64,
    },
    OpenStream {
        stream: u64,
    },
    ToNode {
        stream: u64,
        message: FromEdgeBody,
    },
    ToEdge {
        stream: u64,
        body: ToEdgeBody,
    },
    CloseStream {
        stream: u64,
    },
}

/// A message on its way. Messages of one connection and direction come in order.
#[derive(Clone, Debug)]
pub(crate) struct Packet {
    pub from: Endpoint,
    pub to: Endpoint,
    /// 0 for calls, each of which has a connection of its own.
    pub connection: u64,
    pub payload: Payload,
}

#[derive(Debug)]
struct HeldPacket {
    since: Timestamp,
    packet: Packet,
}

/// A machine's link: bytes wait for those before them.
#[derive(Debug)]
struct Link {
    bytes_per_s: f64,
    free_at: Timestamp,
}

/// Delay in calm, in seconds.
const DELAY_S: (f64, f64) = (0.000_3, 0.004);
/// How long a connection bears bytes that nobody has acknowledged, in seconds; each cut draws from these.
const USER_TIMEOUT_S: (f64, f64) = (1.0, 3.0);

/// Callers wait this long for an answer.
const CALLER_PATIENCE: TimeDelta = TimeDelta::from_micros(1_000_000);

#[derive(Debug)]
pub(crate) struct Network {
    random: Random,
    /// Cuts of a direction, and since when; several faults may cut the same.
    cuts: BTreeMap<(Endpoint, Endpoint), (usize, Timestamp)>,
    /// Part of the messages that are lost, and the most that a message is delayed, in seconds.
    loss: f64,
    slowest_s: f64,
    order: BTreeMap<(u64, Endpoint), Timestamp>,
    held: Vec<HeldPacket>,
    links: BTreeMap<Endpoint, Link>,
    /// Streams of edges that have lost a message: TCP ends them.
    broken: BTreeSet<u64>,
    /// Orders that a cut held up arrive after it, however long their callers have gone.
    late_orders: bool,
}

fn is_stream(payload: &Payload) -> bool {
    let to_node = matches!(payload, Payload::OpenStream { .. } | Payload::ToNode { .. });
    to_node
        || matches!(
            payload,
            Payload::ToEdge { .. } | Payload::CloseStream { .. }
        )
}

fn size(payload: &Payload) -> usize {
    match payload {
        Payload::PeerRequest(envelope) => envelope.encoded_len(),
        Payload::PeerResponse(response) => response.encoded_len(),
        Payload::Call {
            request: ControlRequest::Change(change),
            ..
        } => change.items.iter().map(Message::encoded_len).sum(),
        _ => 100,
    }
}

impl Network {
    pub(crate) fn new(seed: u64, late_orders: bool) -> Self {
        Network {
            random: Random::new(seed, "network"),
            cuts: BTreeMap::new(),
            loss: 0.0,
            slowest_s: 0.0,
            order: BTreeMap::new(),
            held: Vec::new(),
            links: BTreeMap::new(),
            broken: BTreeSet::new(),
            late_orders,
        }
    }

    /// Gives a machine's link a bandwidth, in megabits a second.
    pub(crate) fn limit(&mut self, of: Endpoint, megabits_per_s: f64) {
        self.links.insert(
            of,
            Link {
                bytes_per_s: megabits_per_s * 125_000.0,
                free_at: Timestamp::default(),
            },
        );
    }

    /// Part of the messages that are lost, and the most that a message is delayed beyond the usual, in
    /// seconds.
    pub(crate) fn set_quality(&mut self, loss: f64, slowest_s: f64) {
        (self.loss, self.slowest_s) = (loss, slowest_s);
    }

    pub(crate) fn cut(&mut self, now: Timestamp, from: Endpoint, to: Endpoint) {
        self.cuts.entry((from, to)).or_insert((0, now)).0 += 1;
    }

    /// When a message could last be sent.
    pub(crate) fn last_open(&self, now: Timestamp, from: Endpoint, to: Endpoint) -> Timestamp {
        self.cuts.get(&(from, to)).map_or(now, |(_, since)| *since)
    }

    pub(crate) fn join(&mut self, from: Endpoint, to: Endpoint) {
        if let Some(cuts) = self.cuts.get_mut(&(from, to)) {
            cuts.0 -= 1;
            if cuts.0 == 0 {
                self.cuts.remove(&(from, to));
            }
        }
    }

    pub(crate) fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    /// When a message arrives; none if it is lost, or held up by a cut.
    pub(crate) fn send(&mut self, now: Timestamp, packet: Packet) -> Option<(Timestamp, Packet)> {
        if self.is_cut(packet.from, packet.to) {
            self.held.push(HeldPacket { since: now, packet });
            return None;
        }
        if self.broken.contains(&packet.connection) {
            return None;
        }
        if self.loss > 0.0 && self.random.chance(self.loss) {
            self.broken
                .extend(is_stream(&packet.payload).then_some(packet.connection));
            return None;
        }
        Some((self.arrival(now, &packet), packet))
    }

    fn arrival(&mut self, now: Timestamp, packet: &Packet) -> Timestamp {
        let mut at = now + self.random.time_delta(DELAY_S.0, DELAY_S.1);
        if self.slowest_s > 0.0 {
            at = at + self.random.time_delta(0.0, self.slowest_s);
        }
        for end in [packet.from, packet.to] {
            if let Some(link) = self.links.get_mut(&end) {
                let took = TimeDelta::from_secs(size(&packet.payload) as f64 / link.bytes_per_s);
                link.free_at = link.free_at.max(now) + took;
                at = at.max(link.free_at);
            }
        }
        if packet.connection != 0 {
            let last = self
                .order
                .entry((packet.connection, packet.to))
                .or_default();
            at = at.max(*last + TimeDelta::from_micros(1));
            *last = at;
        }
        at
    }

    /// A caller has given up: its connection is closed, and nobody answers what was held up on it.
    fn caller_has_gone(now: Timestamp, held: &HeldPacket) -> bool {
        held.packet.connection == 0 && now - held.since > CALLER_PATIENCE
    }

    /// Whether a held-up message arrives although its caller has given up: an order whose caller closed its connection in
    /// order, with the end of the connection far behind it.
    fn arrives_late(&self, held: &HeldPacket) -> bool {
        let from_operator = matches!(
            held.packet.from,
            Endpoint::Operator(_) | Endpoint::RolloutOperator
        );
        self.late_orders && from_operator && matches!(held.packet.payload, Payload::Call { .. })
    }

    /// After a cut was joined: what it held up arrives, unless its connection gave up; those connections are
    /// broken.
    pub(crate) fn release(&mut self, now: Timestamp) -> (Vec<(Timestamp, Packet)>, Vec<u64>) {
        let (mut arrive, mut broken) = (Vec::new(), Vec::new());
        let patience = self.random.time_delta(USER_TIMEOUT_S.0, USER_TIMEOUT_S.1);
        for held in std::mem::take(&mut self.held) {
            let Packet {
                from,
                to,
                connection,
                ..
            } = held.packet;
            if Network::caller_has_gone(now, &held) && !self.arrives_late(&held) {
                continue;
            }
            if self.is_cut(from, to) {
                self.held.push(held);
            } else if self.arrives_late(&held) {
                arrive.push((self.arrival(now, &held.packet), held.packet));
            } else if now - held.since > patience || broken.contains(&connection) {
                broken.extend((connection != 0).then_some(connection));
            } else {
                arrive.push((self.arrival(now, &held.packet), held.packet));
            }
        }
        (arrive, broken)
    }

    /// Connections whose bytes have been held up for longer than any bears, and streams that have lost a
    /// message.
    pub(crate) fn timed_out_connections(&mut self, now: Timestamp) -> Vec<u64> {
        let most = TimeDelta::from_secs(USER_TIMEOUT_S.1);
        let held = std::mem::take(&mut self.held);
        let (late_orders, mut held): (Vec<HeldPacket>, Vec<HeldPacket>) =
            held.into_iter().partition(|held| self.arrives_late(held));
        let late = held.iter().filter(|held| now - held.since > most);
        let broken: Vec<u64> = late.map(|held| held.packet.connection).collect();
        held.retain(|held| now - held.since <= most && !broken.contains(&held.packet.connection));
        self.held = held;
        self.held.extend(late_orders);
        broken
            .into_iter()
            .chain(std::mem::take(&mut self.broken))
            .collect()
    }

    /// Nothing more of a connection arrives.
    pub(crate) fn forget(&mut self, connection: u64) {
        self.held
            .retain(|held| held.packet.connection != connection);
        self.order.retain(|(of, _), _| *of != connection);
    }

    /// A machine is gone: what others have for it is of no use.
    pub(crate) fn forget_endpoint(&mut self, of: Endpoint) {
        self.held
            .retain(|held| held.packet.to != of && held.packet.from != of);
    }
}

fn request_name(request: &ControlRequest) -> String {
    match request {
        ControlRequest::Heartbeat(InstanceHeartbeat { task, holdings }) => format!(
            "heartbeat {} of {}, {}, state {}, holds {}, released {}",
            task.call_seq,
            task.id,
            task.service,
            task.state,
            holdings.held.len(),
            holdings.released.len()
        ),
        ControlRequest::Change(change) => {
            let items = change.items.iter().map(|item| match item.dropped {
                true => format!("drop {} {}", item.key, item.version),
                false => format!("{} {}", item.key, item.version),
            });
            format!("change {}", items.collect::<Vec<_>>().join(", "))
        }
        other => format!("{other:?}"),
    }
}

/// A short name of a message, for a replay.
pub(crate) fn name(payload: &Payload) -> String {
    match payload {
        Payload::PeerRequest(envelope) => match &envelope.body {
            Some(PeerRequest::Prepare(p)) => format!("prepare {} {}", p.register, p.ballot.count),
            Some(PeerRequest::Accept(a)) => format!("accept {} {}", a.register, a.ballot.count),
            Some(PeerRequest::Learn(pending)) => format!("learn up to {}", pending.last_number),
            Some(PeerRequest::LeaseRequest(lease)) if lease.release => {
                format!("lease back {}", lease.service)
            }
            Some(PeerRequest::LeaseRequest(lease)) => format!("lease {}", lease.service),
            Some(PeerRequest::MemberStatus(_)) => "status".to_owned(),
            Some(PeerRequest::InstanceReport(report)) => {
                format!(
                    "tasks {} ids {}",
                    report.tasks.len(),
                    report.heartbeat_ids.len()
                )
            }
            Some(PeerRequest::Snapshot(asked)) => format!("snapshot after {:?}", asked.after),
            Some(PeerRequest::Registers(asked)) => format!("registers after {:?}", asked.after),
            Some(PeerRequest::Promote(seat)) => format!("seat in epoch {}", seat.next.epoch),
            None => "empty".to_owned(),
        },
        Payload::PeerResponse(response) => match &response.body {
            Some(PeerResponse::Promise(p)) => {
                format!(
                    "promise {} of {}, merged {}",
                    p.ok, p.promised.count, p.merged
                )
            }
            Some(PeerResponse::Accepted(a)) => format!("accepted {} at {}", a.ok, a.promised.count),
            Some(PeerResponse::Acknowledged(yes)) => format!("yes {yes}"),
            Some(PeerResponse::Snapshot(part)) => {
                format!(
                    "snapshot part of {}, {} left, merged {}",
                    part.items.len(),
                    part.items_left,
                    part.merged
                )
            }
            Some(PeerResponse::MemberStatus(_)) => "status".to_owned(),
            Some(PeerResponse::Registers(part)) => {
                format!(
                    "registers part of {}, catching up {}",
                    part.registers.len(),
                    part.catching_up
                )
            }
            None => "empty".to_owned(),
        },
        Payload::Call { call, request, .. } => format!("call {call}: {}", request_name(request)),
        Payload::Answer {
            call,
            answer: Answer::Configuration(all),
        } => {
            format!("answer {call}: {} items", all.items.len())
        }
        Payload::Answer {
            call,
            answer: Answer::Heartbeat(beat),
        } => {
            let granted = beat
                .holdings
                .as_ref()
                .map(|granted| (granted.grants.len(), granted.lease_s));
            format!(
                "answer {call}: target {:?}, rows and hold {granted:?}",
                beat.beat_target
            )
        }
        Payload::Answer { call, answer } => format!("answer {call}: {answer:?}"),
        Payload::Refused { call } => format!("nobody takes call {call}"),
        Payload::OpenStream { stream } => format!("opens stream {stream}"),
        Payload::ToNode { stream, message } => format!("stream {stream}: {message:?}"),
        Payload::ToEdge {
            stream,
            body: ToEdgeBody::ConfigurationUpdate(update),
        } => {
            format!(
                "stream {stream}: {} items, whole {}",
                update.items.len(),
                update.is_complete
            )
        }
        Payload::ToEdge {
            stream,
            body: ToEdgeBody::ShardTableUpdate(table),
        } => {
            format!(
                "stream {stream}: table of {} rows, term {}",
                table.entries.len(),
                table.term
            )
        }
        Payload::ToEdge { stream, body } => format!("stream {stream}: {body:?}"),
        Payload::CloseStream { stream } => format!("closes stream {stream}"),
    }
}
