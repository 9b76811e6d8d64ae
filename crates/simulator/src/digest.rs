//! A digest of everything that nodes do in a run: each effect with its time and machine, as bytes that do
//! not depend on names in the code. Two builds whose digests are equal behave alike; lines of the log are
//! left out.

use lynxmill_control_node::{Answer, Effect, HeartbeatAnswer, Unavailable};
use lynxmill_protocol::ToEdge;
use lynxmill_storage::Batch;
use lynxmill_time::Timestamp;
use prost::Message;
use sha2::{Digest, Sha256};

/// Collects effects in the order in which nodes return them.
#[derive(Clone, Debug, Default)]
pub(crate) struct EffectDigest {
    hash: Sha256,
}

impl EffectDigest {
    /// Adds what one step of a node returned.
    pub(crate) fn add(&mut self, now: Timestamp, machine: usize, effects: &[Effect]) {
        for effect in effects
            .iter()
            .filter(|effect| !matches!(effect, Effect::Log(_)))
        {
            self.number(now.micros() as u64);
            self.number(machine as u64);
            self.effect(effect);
        }
    }

    /// The digest as a number.
    pub(crate) fn value(&self) -> u128 {
        let bytes = self.hash.clone().finalize();
        bytes
            .iter()
            .take(16)
            .fold(0, |value, byte| value << 8 | u128::from(*byte))
    }

    fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Connect(ip) => {
                self.number(1);
                self.text(ip);
            }
            Effect::Request { to, envelope } => {
                self.number(2);
                self.text(to);
                self.message(envelope);
            }
            Effect::Respond {
                connection,
                response,
            } => {
                self.number(3);
                self.number(connection.0);
                self.message(response);
            }
            Effect::Answer { call, answer } => {
                self.number(4);
                self.number(call.0);
                self.answer(answer);
            }
            Effect::Store { ticket, batch } => {
                self.number(5);
                self.number(*ticket);
                self.batch(batch);
            }
            Effect::SendEdges { streams, body } => {
                self.number(6);
                self.number(streams.len() as u64);
                streams.iter().for_each(|stream| self.number(stream.0));
                self.message(&ToEdge::plain(body.clone()));
            }
            Effect::CloseEdge(stream) => {
                self.number(7);
                self.number(stream.0);
            }
            Effect::Exit => self.number(8),
            Effect::Log(_) => {}
        }
    }

    fn answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Done => self.number(1),
            Answer::Refused(error) => {
                self.number(2);
                self.text(&error.to_string());
            }
            Answer::Unavailable(reason) => {
                self.number(3);
                self.number(unavailable(*reason));
            }
            Answer::Heartbeat(heartbeat) => {
                self.number(4);
                self.heartbeat(heartbeat);
            }
            Answer::Redirect(address) => {
                self.number(5);
                self.text(address);
            }
            Answer::Configuration(configuration) => {
                self.number(6);
                self.messages(&configuration.items.values().cloned().collect::<Vec<_>>());
            }
            Answer::Outdated => self.number(7),
        }
    }

    fn heartbeat(&mut self, heartbeat: &HeartbeatAnswer) {
        self.text(heartbeat.beat_target.as_deref().unwrap_or_default());
        let Some(holdings) = &heartbeat.holdings else {
            return self.number(0);
        };
        self.number(1 + holdings.grants.len() as u64);
        for grant in &holdings.grants {
            self.number(grant.from.into());
            self.number(grant.to.into());
            self.number(grant.generation);
            self.text(&grant.handover);
        }
        self.number(holdings.lease_s.to_bits());
    }

    fn batch(&mut self, batch: &Batch) {
        self.messages(&batch.items);
        self.messages(&batch.registers);
        self.messages(batch.members.as_slice());
        self.messages(&batch.tasks);
        self.number(batch.removed_tasks.len() as u64);
        batch.removed_tasks.iter().for_each(|id| self.text(id));
        self.number(batch.merged.map_or(0, |merged| merged + 1));
        self.number(batch.is_voter.map_or(0, |is_voter| 1 + u64::from(is_voter)));
    }

    fn messages(&mut self, messages: &[impl Message]) {
        self.number(messages.len() as u64);
        messages.iter().for_each(|message| self.message(message));
    }

    fn message(&mut self, message: &impl Message) {
        self.bytes(&message.encode_to_vec());
    }

    fn text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hash.update(bytes);
    }

    fn number(&mut self, number: u64) {
        self.hash.update(number.to_be_bytes());
    }
}

fn unavailable(reason: Unavailable) -> u64 {
    match reason {
        Unavailable::NoContact => 1,
        Unavailable::NoMajority => 2,
        Unavailable::TooFewReplicas => 3,
        Unavailable::NoOwner => 4,
        Unavailable::Leaving => 5,
        Unavailable::WasSuspended => 6,
    }
}
