//! Connections, and messages that arrive.

use lynxmill_control_node::{ConnectionId, Input, StreamId};
use lynxmill_protocol::RequestEnvelope;

use super::{Event, REDIAL_S, World};
use crate::machine::Machine;
use crate::network::{Endpoint, Packet, Payload, name};

impl World {
    pub(super) fn dial(&mut self, from: usize, to: usize) {
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

    pub(super) fn deliver(&mut self, packet: Packet) {
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

    pub(super) fn deliver_peer_request(
        &mut self,
        machine: usize,
        connection: u64,
        envelope: RequestEnvelope,
    ) {
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

    pub(super) fn stream_closes(&mut self, machine: usize, stream: u64) {
        if self.streams.remove(&stream).is_some() {
            self.input(
                machine,
                Input::EdgeClosed {
                    stream: StreamId(stream),
                },
            );
        }
    }
}
