//! Suspicions: who has to answer for itself, for how long, and what becomes of it.

use lynxmill_time::{TimeDelta, Timestamp};

use super::{Change, FELLOWS, FIRST, LEAST, LOOKS, Member, State, Swim, Transmission, claim};
use crate::codec::{Kind, Signed};
use crate::keys::Identity;

impl<S: Identity> Swim<S> {
    /// This instance's own probe brought nothing.
    pub(super) fn suspect(&mut self, now: Timestamp, about: usize) {
        let member = &self.members[about];
        if !member.state.there() || member.by.contains_key(&self.name) {
            return;
        }
        let signed = self.sign(&claim(&member.name, Kind::Suspect, member.incarnation, ""));
        self.accused(now, about, signed);
    }

    /// One more suspects a member, in its present incarnation.
    pub(super) fn accused(&mut self, now: Timestamp, about: usize, signed: Signed) {
        let name = self.members[about].name.clone();
        if self.members[about].state == State::Alive {
            self.become_(now, about, State::Suspect);
            self.members[about].looks = 0;
        }
        let since = self.members[about].since;
        self.members[about]
            .by
            .insert(signed.author.clone(), signed.clone());
        let patience = self.time_to_answer(self.members[about].by.len());
        self.members[about].deadline = since + patience;
        // Enough have said so: more would not end it sooner.
        if self.members[about].by.len() <= FELLOWS + 1 {
            self.pass(name, Kind::Suspect, signed);
        }
    }

    /// From the first suspicion on, by how many suspect it.
    fn time_to_answer(&self, by: usize) -> TimeDelta {
        let least = self.terms.period.times(LEAST * self.tenfolds());
        let fellows = FELLOWS.min(self.present().saturating_sub(2));
        if fellows == 0 {
            return least;
        }
        let part = (by.max(1) as f64).ln() / (fellows as f64 + 1.0).ln();
        least.times(FIRST - (FIRST - 1.0) * part.min(1.0))
    }

    pub(super) fn suspects_due(&mut self, now: Timestamp, out: &mut Vec<Transmission>) {
        for about in self.suspects.iter().copied().collect::<Vec<_>>() {
            let Member {
                state: State::Suspect,
                deadline,
                looks,
                ref by,
                ..
            } = self.members[about]
            else {
                continue;
            };
            if looks >= LOOKS && now >= deadline {
                let others = by.keys().filter(|name| **name != self.name).count();
                if by.contains_key(&self.name) || others >= 2 {
                    self.become_(now, about, State::Dead);
                } else {
                    // The looks brought an answer, or the suspicion would be this instance's as well.
                    self.cleared(now, about);
                }
            } else if looks < LOOKS && now >= self.look_at(looks, deadline) {
                self.members[about].looks += 1;
                self.members[about].deadline = deadline.max(now + self.looking(looks));
                self.probe(now, about, out);
            }
        }
    }

    /// What the looks that are still to come take, before anybody is taken for dead: one a period.
    fn looking(&self, looks: u8) -> TimeDelta {
        self.terms
            .period
            .times(f64::from(LOOKS - looks) * self.health.patience())
    }

    pub(super) fn look_at(&self, looks: u8, deadline: Timestamp) -> Timestamp {
        Timestamp::from_micros(
            deadline
                .micros()
                .saturating_sub(self.looking(looks).micros()),
        )
    }

    /// It has answered this instance itself: those who suspected it alone were wrong.
    pub(super) fn cleared(&mut self, now: Timestamp, about: usize) {
        for author in std::mem::take(&mut self.members[about].by).into_keys() {
            *self.wrong.entry(author).or_default() += 1;
        }
        self.become_(now, about, State::Alive);
    }

    pub(super) fn become_(&mut self, now: Timestamp, about: usize, to: State) {
        let member = &mut self.members[about];
        if member.state != to {
            self.there = self.there + usize::from(to.there()) - usize::from(member.state.there());
            if to == State::Suspect {
                self.suspects.insert(about);
            } else {
                self.suspects.remove(&about);
            }
            self.changes.push(Change {
                name: member.name.clone(),
                from: Some(member.state),
                to,
            });
            (member.state, member.since) = (to, now);
        }
        if to != State::Suspect {
            member.looks = 0;
        }
    }
}
