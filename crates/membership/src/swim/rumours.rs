//! What is passed on with whatever is sent, and how it is sent.

use std::cmp::Reverse;

use prost::Message as _;

use super::{CLAIM, GossipItem, GossipPriority, Key, Swim, Transmission, claim};
use crate::codec::{Body, Claim, Kind, Payload, Signed, encode};
use crate::keys::Identity;
use crate::node::Transport;

/// How often something is passed on, for each tenfold of members.
const PASSED: f64 = 4.0;
/// Rumours that are looked at for one datagram, which holds fewer.
const AT_ONCE: usize = 32;
/// Part of a datagram's bytes that its head and signature take.
const HEAD: usize = 200;

impl<S: Identity> Swim<S> {
    pub(super) fn sign(&self, claim: &Claim) -> Signed {
        let text = encode(claim);
        let signature = self.seal.sign(CLAIM, &text);
        Signed {
            author: self.name.clone(),
            key: self.seal.key(),
            text,
            signature,
        }
    }

    /// This instance's own word about itself, to be passed on.
    pub(super) fn say(&mut self, kind: Kind) {
        let at = self.at.to_string();
        self.word = self.sign(&claim(&self.name, kind, self.incarnation, &at));
        self.pass(self.name.clone(), Kind::Alive, self.word.clone());
    }

    pub(super) fn pass(&mut self, about: String, kind: Kind, signed: Signed) {
        let by = if kind == Kind::Suspect {
            signed.author.clone()
        } else {
            String::new()
        };
        let key = (about, kind as i32, by);
        // A sign of life makes the suspicions that it answers needless.
        let answered: Vec<Key> = match kind {
            Kind::Alive => {
                let from = (key.0.clone(), i32::MIN, String::new());
                self.rumours
                    .range(from..)
                    .take_while(|(of, _)| of.0 == key.0)
                    .map(|(of, _)| of.clone())
                    .collect()
            }
            _ => vec![key.clone()],
        };
        for key in answered {
            if let Some(rumour) = self.rumours.remove(&key) {
                self.due.remove(&rumour.place);
            }
        }
        self.told += 1;
        let place = (0, Reverse(self.told));
        self.due.insert(place, key.clone());
        self.rumours.insert(key, GossipItem { signed, place });
    }

    /// What has been passed on least goes along, the newest first, as far as there is room.
    fn claims(&mut self, mut room: usize) -> Vec<Signed> {
        let most = (PASSED * self.tenfolds()).ceil() as u32;
        let first: Vec<(GossipPriority, Key)> = self
            .due
            .iter()
            .take(AT_ONCE)
            .map(|(place, key)| (*place, key.clone()))
            .collect();
        let mut claims = Vec::new();
        for ((passed, number), key) in first {
            let Some(rumour) = self.rumours.get_mut(&key) else {
                continue;
            };
            let size = rumour.signed.encoded_len() + 4;
            if size > room {
                continue;
            }
            room -= size;
            claims.push(rumour.signed.clone());
            self.due.remove(&(passed, number));
            if passed + 1 < most {
                rumour.place = (passed + 1, number);
                self.due.insert(rumour.place, key);
            } else {
                self.rumours.remove(&key);
            }
        }
        claims
    }

    pub(super) fn send(&mut self, to: usize, what: Payload, out: &mut Vec<Transmission>) {
        // Who is suspected is told so first of all, to answer for itself.
        let accused = self.members[to]
            .by
            .values()
            .next()
            .filter(|_| matches!(what, Payload::Ping(_)));
        let first = accused.cloned();
        self.send_with(to, what, first, out);
    }

    pub(super) fn send_with(
        &mut self,
        to: usize,
        what: Payload,
        first: Option<Signed>,
        out: &mut Vec<Transmission>,
    ) {
        let (at, name) = (self.members[to].at, self.members[to].name.clone());
        let mut room = self
            .terms
            .datagram
            .saturating_sub(HEAD + self.name.len() + name.len());
        room = room.saturating_sub(first.as_ref().map_or(0, |signed| signed.encoded_len() + 4));
        let mut claims: Vec<Signed> = first.into_iter().collect();
        claims.extend(self.claims(room));
        out.push(Transmission {
            to: at,
            name,
            road: Transport::Datagram,
            body: Body {
                what: Some(what),
                claims,
                ..Body::default()
            },
        });
    }

    /// Something to some others at once, with whatever is to be told.
    pub fn tell_some(&mut self, out: &mut Vec<Transmission>) {
        let mut there = self.present_ones(None);
        for _ in 0..self.terms.helpers.min(there.len()) {
            let at = self.below(there.len());
            let to = there.swap_remove(at);
            self.send(to, Payload::News(true), out);
        }
    }

    /// To all who are there.
    pub fn tell_all(&mut self, what: &Payload, out: &mut Vec<Transmission>) {
        for member in self.members.iter().filter(|m| m.state.there()) {
            let body = Body {
                what: Some(what.clone()),
                ..Body::default()
            };
            out.push(Transmission {
                to: member.at,
                name: member.name.clone(),
                road: Transport::Datagram,
                body,
            });
        }
    }

    /// What every claim that is not passed on any more leaves: nothing. For tests and the status.
    pub fn rumours(&self) -> usize {
        self.rumours.len()
    }
}
