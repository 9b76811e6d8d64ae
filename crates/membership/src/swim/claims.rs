//! What others claim, of themselves, of others and of this instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lynxmill_time::Timestamp;

use super::{CLAIM, Change, Member, SOON, State, Swim, Transmission};
use crate::codec::{Body, Claim, Kind, Payload, Signed, decode};
use crate::keys::Identity;

impl<S: Identity> Swim<S> {
    /// Takes in a message of a member, whose signature has been found to be its own.
    pub fn heard(
        &mut self,
        now: Timestamp,
        from: &str,
        from_at: SocketAddr,
        body: &Body,
        out: &mut Vec<Transmission>,
    ) {
        let mut accused = false;
        for signed in &body.claims {
            accused |= self.claimed(now, signed);
        }
        let Some(&by) = self.by_name.get(from) else {
            return;
        };
        match &body.what {
            Some(Payload::Ping(number)) => {
                // Where it speaks from now counts for the answer.
                let at = std::mem::replace(&mut self.members[by].at, from_at);
                // Who asks with a suspicion has missed what was said to it, or is told so now.
                let word = (accused || self.left).then(|| self.word.clone());
                self.send_with(by, Payload::Ack(*number), word, out);
                self.members[by].at = at;
            }
            Some(Payload::Ask(ask)) => self.asked(now, by, ask, out),
            Some(Payload::Ack(number)) => self.acked(now, by, *number, out),
            Some(Payload::Nack(number)) => {
                if let Some(probe) = self.probes.iter_mut().find(|probe| probe.number == *number) {
                    probe.nacks += 1;
                }
            }
            Some(Payload::Exchange(_)) => {
                self.heard_of = body.present;
                if (self.present() as u32) < self.heard_of {
                    let soon = self.last
                        + self
                            .terms
                            .exchange_every
                            .times(SOON * (0.75 + 0.5 * self.unit()));
                    self.exchange_at = self.exchange_at.min(soon);
                }
            }
            Some(
                Payload::Behind(_) | Payload::News(_) | Payload::Ballots(_) | Payload::Votes(_),
            )
            | None => {}
        }
    }

    /// A claim in its author's own words; it counts only if its author wrote it, and only if it tells
    /// something new. Returns whether it suspects this instance.
    fn claimed(&mut self, now: Timestamp, signed: &Signed) -> bool {
        let Ok(said) = decode::<Claim>(&signed.text) else {
            return false;
        };
        let kind = Kind::try_from(said.kind).unwrap_or(Kind::Unknown);
        let mine = said.about == self.name;
        if self.news(&said, kind, signed)
            && self.seal.holds(
                &signed.author,
                signed.key,
                CLAIM,
                &signed.text,
                &signed.signature,
            )
        {
            if mine {
                self.about_me(kind, &said)
            } else {
                self.about_other(now, kind, &said, signed)
            }
        }
        mine && kind == Kind::Suspect
    }

    fn about_other(&mut self, now: Timestamp, kind: Kind, said: &Claim, signed: &Signed) {
        let Ok(at) = said.at.parse::<SocketAddr>() else {
            if kind == Kind::Suspect
                && let Some(&about) = self.by_name.get(&said.about)
            {
                self.accused(now, about, signed.clone());
            }
            return;
        };
        self.of_itself(now, kind, said, at, signed);
    }

    /// Whether a claim would change anything: most don't, and need no look at their signatures.
    fn news(&self, said: &Claim, kind: Kind, signed: &Signed) -> bool {
        let own = signed.author == said.about;
        if said.about == self.name {
            return match kind {
                Kind::Suspect => !own && said.incarnation == self.incarnation,
                Kind::Alive | Kind::Left => {
                    own && said.incarnation >= self.incarnation && *signed != self.word
                }
                Kind::Unknown => false,
            };
        }
        let known = self.by_name.get(&said.about).map(|&i| &self.members[i]);
        match (kind, known) {
            (Kind::Alive | Kind::Left, None) => own,
            (Kind::Alive, Some(member)) => own && said.incarnation > member.incarnation,
            (Kind::Left, Some(member)) => {
                own && said.incarnation >= member.incarnation && member.state != State::Left
            }
            (Kind::Suspect, Some(member)) => {
                member.state.there()
                    && !own
                    && said.incarnation == member.incarnation
                    && !member.by.contains_key(&signed.author)
            }
            _ => false,
        }
    }

    /// A suspicion is answered with a new incarnation; a word of an earlier start of this instance is
    /// outdone.
    fn about_me(&mut self, kind: Kind, said: &Claim) {
        if self.left {
            return;
        }
        if kind == Kind::Suspect {
            self.health.worse(1);
        }
        self.incarnation = said.incarnation.saturating_add(1);
        self.say(Kind::Alive);
    }

    fn of_itself(
        &mut self,
        now: Timestamp,
        kind: Kind,
        said: &Claim,
        at: SocketAddr,
        signed: &Signed,
    ) {
        let state = if kind == Kind::Left {
            State::Left
        } else {
            State::Alive
        };
        let about = match self.by_name.get(&said.about) {
            Some(&about) => about,
            None => self.enter(now, said, at, signed, state),
        };
        let member = &mut self.members[about];
        (member.incarnation, member.at, member.word) = (said.incarnation, at, signed.clone());
        member.by.clear();
        self.become_(now, about, state);
        self.pass(said.about.clone(), Kind::Alive, signed.clone());
    }

    fn enter(
        &mut self,
        now: Timestamp,
        said: &Claim,
        at: SocketAddr,
        signed: &Signed,
        state: State,
    ) -> usize {
        let about = self.members.len();
        self.members.push(Member {
            name: said.about.clone(),
            at,
            state,
            incarnation: said.incarnation,
            since: now,
            word: signed.clone(),
            by: BTreeMap::new(),
            deadline: now,
            looks: 0,
        });
        self.by_name.insert(said.about.clone(), about);
        self.there += usize::from(state == State::Alive);
        let place = self.below(self.order.len() + 1);
        self.order.insert(place, about);
        self.changes.push(Change {
            name: said.about.clone(),
            from: None,
            to: state,
        });
        about
    }
}
