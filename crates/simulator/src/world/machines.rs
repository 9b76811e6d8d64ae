//! Machines of a run: their processes, and what these do.

use lynxmill_control_node::{Answer, CallId, ConnectionId, Effect, Input, StreamId, TICK};
use lynxmill_protocol::{Membership, ToEdgeBody};
use lynxmill_time::Timestamp;

use super::{Event, HANDSHAKE_S, MAX_QUEUE_TIME, SLOW_STEP_S, World};
use crate::invariants::CUT_OFF;
use crate::machine::{machine_of, node_options};
use crate::network::{Endpoint, Packet, Payload};
use crate::sabotage::Sabotage;
use crate::violation::Violation;

impl World {
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

    pub(super) fn tick(&mut self, machine: usize, life: u64) {
        let host = &mut self.machines[machine];
        if !host.runs(life) {
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

    pub(super) fn carry_out(&mut self, machine: usize, effects: Vec<Effect>) {
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

    pub(super) fn send_peer(&mut self, from: usize, to: usize, connection: u64, payload: Payload) {
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

    pub(super) fn answered(&mut self, machine: usize, call: u64, answer: Answer) {
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
    pub(super) fn check_contact(&mut self, machine: usize, what: &'static str) {
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
    pub(super) fn last_contact(&self, machine: usize) -> Timestamp {
        let before = self
            .last_contact_with(machine, &self.previous_membership)
            .min(self.membership_since);
        self.last_contact_with(machine, &self.membership)
            .max(before)
    }

    pub(super) fn last_contact_with(&self, machine: usize, members: &Membership) -> Timestamp {
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

    pub(super) fn send_edges(&mut self, machine: usize, streams: Vec<StreamId>, body: ToEdgeBody) {
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
}
