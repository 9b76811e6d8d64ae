//! Assigners that talk to each other, where the play wants it: the membership core beside each life, on the day's clock,
//! with the way between zones in between. What it makes of servers comes in as the daemon's member tells it.

use std::net::SocketAddr;

use lynxmill_assigner_settings::DecodeError;
use lynxmill_assigner_state::{Event, Message};
use lynxmill_membership::{
    Config, KeyRing, Node, Observation, Output, SecretKey, Transport, TrustStore,
};
use lynxmill_recording::Life;
use lynxmill_time::{TimeDelta, Timestamp};

use super::{Due, Engine};
use crate::chance::For;
use crate::driver::Driver;

/// One life's member.
pub(super) struct Member {
    node: Node<KeyRing>,
    sight: Observation,
    terms: Config,
    look_at: Timestamp,
    wake_at: Option<Timestamp>,
}

fn address(assigner: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + assigner as u16))
}

impl<D: Driver> Engine<'_, D> {
    fn secret(&self, assigner: usize) -> SecretKey {
        let mut draw = self.draw(For::Key, assigner as u64, 0);
        let mut bytes = [0; 32];
        bytes
            .chunks_mut(8)
            .for_each(|part| part.copy_from_slice(&draw.word().to_be_bytes()));
        SecretKey::of(&bytes.into())
    }

    /// A life's member begins, and knows where the others are to be met.
    pub(super) fn member_begins(&mut self, of: Life) {
        if !self.gossips {
            return;
        }
        let (now, a) = (self.agenda.now(), usize::from(of.assigner));
        let mut trust = TrustStore::default();
        for other in 0..self.nodes.len() {
            trust.add(self.nodes[other].name(), self.secret(other).public());
        }
        let keys = KeyRing {
            secret: self.secret(a),
            trust,
        };
        // A probe an interval: what one sees of servers changes as often.
        let terms = Config {
            period: self.terms.interval,
            ..Config::default()
        };
        let terms = Config {
            timeout: terms.period.times(0.3),
            ..terms
        };
        let seed = self.draw(For::Key, a as u64, 1 + u64::from(of.life)).word();
        let life = 1 + (self.day.began_ms.max(0.0) as u64) + (now.micros() / 1000) as u64;
        let name = self.nodes[a].name().to_owned();
        let mut node = Node::new(&name, address(a), life, terms.clone(), keys, seed, now);
        node.swim
            .join(&(0..self.nodes.len()).map(address).collect::<Vec<_>>());
        let sight = Observation::new(terms.evidence_for.times(0.5));
        let look_at = now + terms.period;
        self.members[a] = Some(Member {
            node,
            sight,
            terms,
            look_at,
            wake_at: None,
        });
        self.member_wakes(of, now);
    }

    pub(super) fn member_saw(&mut self, of: Life, event: &Event) {
        let now = self.agenda.now();
        let Event::Said(_, Message::Met(met)) = event else {
            return;
        };
        let Some(member) = &mut self.members[usize::from(of.assigner)] else {
            return;
        };
        if member.sight.met(now, &met.server, met.tries, met.failed) {
            member.look_at = now;
            self.member_wakes(of, now);
        }
    }

    fn member_wakes(&mut self, of: Life, at: Timestamp) {
        let Some(member) = &mut self.members[usize::from(of.assigner)] else {
            return;
        };
        if member.wake_at.is_none_or(|due| at < due) {
            member.wake_at = Some(at);
            self.agenda.at(at, Due::Member(of, at));
        }
    }

    /// It does what is due.
    pub(super) fn member_due(&mut self, of: Life, at: Timestamp) -> Result<(), DecodeError> {
        let now = self.agenda.now();
        let a = usize::from(of.assigner);
        if !self.lives(of) {
            return Ok(());
        }
        let until = self.nodes[a].stalled_until;
        let Some(member) = self.members[a]
            .as_mut()
            .filter(|member| member.wake_at == Some(at))
        else {
            return Ok(());
        };
        member.wake_at = None;
        if until > now {
            self.member_wakes(of, until);
            return Ok(());
        }
        let mut out = Vec::new();
        member.node.tick(now, &mut out);
        let mut doubts = Vec::new();
        if now >= member.look_at {
            member.look_at = now + member.terms.period;
            doubts = member.node.look(now, &mut member.sight, &mut out);
        }
        let next = member
            .node
            .wake()
            .min(member.look_at)
            .max(now + TimeDelta::from_micros(1000));
        self.send_words(a, out);
        self.member_wakes(of, next);
        if doubts.is_empty() {
            Ok(())
        } else {
            self.tell(of, Event::Doubted(doubts))
        }
    }

    fn send_words(&mut self, from: usize, out: Vec<Output>) {
        for Output { to, road, bytes } in out {
            let to = usize::from(to.port() - 20_000);
            self.send_word(from, to, road, bytes, true);
        }
    }

    fn send_word(&mut self, from: usize, to: usize, road: Transport, bytes: Vec<u8>, asks: bool) {
        let at = self.agenda.now() + self.way(self.nodes[from].zone, self.nodes[to].zone);
        self.agenda.at(
            at,
            Due::Word {
                from,
                to,
                road,
                bytes,
                asks,
            },
        );
    }

    /// A message of one member is there.
    pub(super) fn word(
        &mut self,
        from: usize,
        to: usize,
        road: Transport,
        bytes: Vec<u8>,
        asks: bool,
    ) {
        let now = self.agenda.now();
        if !self.nodes[to].alive {
            return;
        }
        let until = self.nodes[to].stalled_until;
        if until > now {
            return self.agenda.at(
                until,
                Due::Word {
                    from,
                    to,
                    road,
                    bytes,
                    asks,
                },
            );
        }
        let Some(member) = &mut self.members[to] else {
            return;
        };
        let mut out = Vec::new();
        let answer = member
            .node
            .heard(now, address(from), road, &bytes, &mut out);
        if member.node.stirred() {
            member.look_at = now;
        }
        let next = member.node.wake().min(member.look_at).max(now);
        self.send_words(to, out);
        if let Ok(Some(answer)) = answer.map(|answer| answer.filter(|_| asks)) {
            self.send_word(to, from, Transport::Exchange, answer, false);
        }
        let of = self.nodes[to].of(to);
        self.member_wakes(of, next);
    }
}
