//! Probes of others, by oneself and through helpers, and on behalf of others.

use lynxmill_time::Timestamp;

use super::{IndirectProbe, LEAST, Probe, State, Swim, Transmission};
use crate::codec::{Ask, Payload};
use crate::keys::Identity;

/// Part of the timeout after which a helper says that it has no answer yet.
const NACK_AFTER: f64 = 0.8;

impl<S: Identity> Swim<S> {
    /// Each in its turn, in an order drawn anew for each turn.
    pub(super) fn whom(&mut self) -> Option<usize> {
        for _ in 0..=self.order.len() {
            if self.next >= self.order.len() {
                self.next = 0;
                for i in (1..self.order.len()).rev() {
                    let j = self.below(i + 1);
                    self.order.swap(i, j);
                }
            }
            let about = *self.order.get(self.next)?;
            self.next += 1;
            let busy = self.probes.iter().any(|probe| probe.about == about);
            if self.members[about].state.there() && !busy {
                return Some(about);
            }
        }
        None
    }

    pub(super) fn probe(&mut self, now: Timestamp, about: usize, out: &mut Vec<Transmission>) {
        self.number += 1;
        let number = self.number;
        let patience = self.health.patience();
        let helped_at = now + self.terms.timeout.times(patience);
        let over_at = now + self.terms.period.times(patience);
        let incarnation = self.members[about].incarnation;
        self.probes.push(Probe {
            number,
            about,
            incarnation,
            helped_at,
            over_at,
            asked: false,
            helpers: 0,
            nacks: 0,
        });
        self.send(about, Payload::Ping(number), out);
    }

    pub(super) fn probes_due(&mut self, now: Timestamp, out: &mut Vec<Transmission>) {
        for k in 0..self.probes.len() {
            let Probe {
                number,
                about,
                helped_at,
                asked: false,
                ..
            } = self.probes[k]
            else {
                continue;
            };
            if now < helped_at {
                continue;
            }
            self.probes[k].asked = true;
            let mut there = self.present_ones(Some(about));
            for _ in 0..self.terms.helpers.min(there.len()) {
                let at = self.below(there.len());
                let helper = there.swap_remove(at);
                self.probes[k].helpers += 1;
                let about = self.members[about].name.clone();
                self.send(helper, Payload::Ask(Ask { number, about }), out);
            }
        }
        let (over, still): (Vec<Probe>, Vec<Probe>) = std::mem::take(&mut self.probes)
            .into_iter()
            .partition(|probe| now >= probe.over_at);
        self.probes = still;
        for probe in over {
            // Helpers that are well say at least that they have no answer: where they don't, it may be this
            // instance.
            let silent = probe.helpers - probe.nacks.min(probe.helpers);
            self.health
                .worse(if probe.helpers == 0 { 1 } else { silent.min(2) });
            if self.members[probe.about].incarnation == probe.incarnation {
                self.suspect(now, probe.about);
            }
        }
    }

    pub(super) fn favours_due(&mut self, now: Timestamp, out: &mut Vec<Transmission>) {
        for k in 0..self.favours.len() {
            if now >= self.favours[k].nack_at && now < self.favours[k].over_at {
                let (of, number) = (self.favours[k].of, self.favours[k].its_number);
                self.favours[k].nack_at = self.favours[k].over_at;
                self.send(of, Payload::Nack(number), out);
            }
        }
        self.favours.retain(|favour| now < favour.over_at);
    }

    pub(super) fn asked(
        &mut self,
        now: Timestamp,
        of: usize,
        ask: &Ask,
        out: &mut Vec<Transmission>,
    ) {
        let Some(&about) = self.by_name.get(&ask.about) else {
            return;
        };
        self.number += 1;
        let number = self.number;
        let nack_at = now + self.terms.timeout.times(NACK_AFTER);
        let over_at = now + self.terms.period;
        self.favours.push(IndirectProbe {
            number,
            of,
            its_number: ask.number,
            nack_at,
            over_at,
        });
        self.send(about, Payload::Ping(number), out);
    }

    pub(super) fn acked(
        &mut self,
        now: Timestamp,
        by: usize,
        number: u64,
        out: &mut Vec<Transmission>,
    ) {
        if let Some(k) = self
            .favours
            .iter()
            .position(|favour| favour.number == number)
        {
            let favour = self.favours.remove(k);
            return self.send(favour.of, Payload::Ack(favour.its_number), out);
        }
        let Some(k) = self.probes.iter().position(|probe| probe.number == number) else {
            return;
        };
        let probe = self.probes.remove(k);
        self.health.better();
        // A sign of life, if not yet its own new word: it has its time to answer anew, and one suspected by
        // others alone is cleared.
        if self.members[probe.about].state == State::Suspect {
            let own = self.members[probe.about].by.contains_key(&self.name);
            if probe.about == by && !own && self.members[by].looks > 0 {
                self.cleared(now, by);
            } else if self.members[probe.about].looks > 0 {
                let anew = now + self.terms.period.times(LEAST * self.tenfolds());
                let member = &mut self.members[probe.about];
                (member.looks, member.deadline) = (0, member.deadline.max(anew));
            }
        }
    }
}
