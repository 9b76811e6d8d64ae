//! Exchanges of all that is known, with members and seeds; joining and leaving.

use std::net::SocketAddr;

use lynxmill_time::Timestamp;
use prost::Message as _;

use super::{EXCHANGED, SOON, State, Swim, Transmission};
use crate::codec::{Body, Kind, Payload, Signed};
use crate::keys::Identity;
use crate::node::Transport;

impl<S: Identity> Swim<S> {
    /// What is known, for an exchange: this instance's own word, and as many others as there is room for,
    /// from anywhere on. One that is taken for dead here is told so first, so that it can answer for itself.
    fn everything(&mut self, of: &str, want: bool) -> Body {
        let from = self.below(self.members.len());
        let mut room = (self.terms.bytes_per_s * EXCHANGED) as usize;
        let mut claims = Vec::new();
        let mut take = |signed: &Signed| {
            let size = signed.encoded_len() + 4;
            let fits = size <= room;
            if fits {
                room -= size;
                claims.push(signed.clone());
            }
            fits
        };
        take(&self.word);
        let met = self
            .by_name
            .get(of)
            .map(|&i| &self.members[i])
            .filter(|m| m.state == State::Dead);
        met.into_iter()
            .flat_map(|member| member.by.values())
            .all(&mut take);
        let (before, after) = self.members.split_at(from);
        for member in after.iter().chain(before) {
            let suspected = member
                .by
                .values()
                .filter(|_| member.state == State::Suspect);
            if !std::iter::once(&member.word)
                .chain(suspected)
                .all(&mut take)
            {
                break;
            }
        }
        let present = self.present() as u32;
        Body {
            what: Some(Payload::Exchange(want)),
            claims,
            evidence: Vec::new(),
            present,
        }
    }

    /// Seeds are met until somebody is known, and again whenever nobody is left.
    pub fn join(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.at)
            .collect();
    }

    /// Tells everybody whom it meets from now on that it goes by its own will; returns what to say at once.
    pub fn leave(&mut self, out: &mut Vec<Transmission>) {
        self.left = true;
        self.incarnation += 1;
        self.say(Kind::Left);
        let mut there = self.present_ones(None);
        for _ in 0..(self.terms.helpers * 2).min(there.len()) {
            let at = self.below(there.len());
            let to = there.swap_remove(at);
            self.send(to, Payload::News(true), out);
        }
    }

    /// With anybody, with a seed that is no known member, and now and then with one that is taken for dead: a
    /// partition heals only if somebody tries. Soon again while there are more than are known here.
    pub(super) fn exchange(&mut self, now: Timestamp, out: &mut Vec<Transmission>) {
        let there = self.present_ones(None);
        let gone: Vec<usize> = (0..self.members.len())
            .filter(|&i| self.members[i].state == State::Dead)
            .collect();
        let known = |seed: &SocketAddr| self.members.iter().any(|m| m.at == *seed);
        let strange: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !known(seed))
            .collect();
        let behind = there.is_empty() || (self.present() as u32) < self.heard_of;
        let part = if behind {
            SOON
        } else if !strange.is_empty() {
            SOON.sqrt()
        } else {
            1.0
        };
        self.exchange_at = now
            + self
                .terms
                .exchange_every
                .times(part * (0.75 + 0.5 * self.unit()));
        let mut met: Vec<(SocketAddr, String)> = Vec::new();
        for of in [&there, &gone] {
            if !of.is_empty() {
                let at = self.below(of.len());
                let to = &self.members[of[at]];
                met.push((to.at, to.name.clone()));
            }
        }
        if !strange.is_empty() {
            let at = self.below(strange.len());
            met.push((strange[at], String::new()));
        }
        for (to, name) in met {
            let body = self.everything(&name, true);
            out.push(Transmission {
                to,
                name,
                road: Transport::Exchange,
                body,
            });
        }
    }

    /// The other half of an exchange.
    pub fn answer(&mut self, to: &str) -> Body {
        self.everything(to, false)
    }
}
