//! Edges and their streams.

use lynxmill_protocol::ToEdgeBody;

use super::{Event, World};
use crate::edge::{EdgeAction, LOOK};
use crate::machine::machine_of;
use crate::network::{Endpoint, Payload};

impl World {
    pub(super) fn wake_edge(&mut self, edge: usize, life: u64) {
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

    pub(super) fn deliver_to_edge(
        &mut self,
        edge: usize,
        machine: usize,
        stream: u64,
        body: ToEdgeBody,
    ) {
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
}
