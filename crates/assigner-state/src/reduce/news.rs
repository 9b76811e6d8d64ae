//! The relay's news: who has joined, what was answered, which slices are in charge, and what stands after a
//! gap.

use std::collections::BTreeSet;

use lynxmill_time::{TimeDelta, Timestamp};

use super::{Effect, Standing, State};
use crate::round::{Charge, Input, Names};
use crate::told::News;

impl Standing {
    /// One line of what stands, or of what has changed since.
    fn note(&mut self, line: &News, names: &mut Names) {
        match line {
            News::Attach { proxy } => {
                self.proxies.insert(*proxy);
            }
            News::Detach { proxy } => {
                self.proxies.remove(proxy);
            }
            News::Owner { slice, on: true } => {
                self.slices.insert(*slice, None);
            }
            News::Owner { slice, on: false } => {
                self.slices.remove(slice);
            }
            News::Entry { slice, server } => {
                self.slices.insert(*slice, Some(names.number(server)));
            }
            News::Done { .. } | News::Alive => {}
        }
    }
}

impl State {
    pub(super) fn news(&mut self, now: Timestamp, line: News) {
        match &line {
            News::Owner { .. } => {}
            News::Entry { slice, .. } if self.given.contains(slice) => {}
            _ => self.flush_given(),
        }
        if let Some(standing) = &mut self.standing {
            standing.note(&line, &mut self.names);
        }
        match line {
            News::Alive => self.stands(),
            News::Attach { proxy } => {
                self.joined.insert(proxy);
                // One that stands after a gap may have left in it: answers to earlier marks are lost.
                self.inbox.push(Input::Joined(proxy.into()));
            }
            News::Detach { proxy } => {
                self.part(proxy);
            }
            News::Done {
                proxy,
                mark,
                took_ms,
            } => self.answered(now, proxy, mark, took_ms),
            News::Owner { slice, on } => self.owner(slice, on),
            News::Entry { slice, server } => self.entry(slice, &server),
        }
    }

    /// What a watch that is to succeed tells: it only counts once it has told all that stands, but for
    /// answers, which the one before may no longer tell.
    pub(super) fn next_news(&mut self, now: Timestamp, line: News, effects: &mut Vec<Effect>) {
        // The rest of what came with the end of what stands.
        let Some(next) = &mut self.next else {
            return self.news(now, line);
        };
        match line {
            News::Done { .. } => self.news(now, line),
            News::Alive => {
                effects.push(Effect::Succeed);
                self.succeeded(now);
            }
            line => next.note(&line, &mut self.names),
        }
    }

    /// No news were missed, so what both watches tell goes on as it was; the rest is told as it would have
    /// been.
    fn succeeded(&mut self, now: Timestamp) {
        let Some(next) = self.next.take() else { return };
        let here = 0..self.charges.len();
        let stays = |slice: &usize| self.charges[*slice].mine && !self.given.contains(slice);
        let stays: BTreeSet<usize> = here.clone().filter(stays).collect();
        let parted = self
            .joined
            .difference(&next.proxies)
            .map(|&proxy| News::Detach { proxy });
        let joined = next
            .proxies
            .difference(&self.joined)
            .map(|&proxy| News::Attach { proxy });
        let lost =
            here.filter(|slice| self.charges[*slice].mine && !next.slices.contains_key(slice));
        let lost = lost.map(|slice| News::Owner { slice, on: false });
        let given = next
            .slices
            .iter()
            .filter(|(slice, _)| !stays.contains(slice));
        let given = given.flat_map(|(&slice, line)| {
            let entry = |&server: &u32| News::Entry {
                slice,
                server: self.names.name(server).to_owned(),
            };
            [News::Owner { slice, on: true }]
                .into_iter()
                .chain(line.as_ref().map(entry))
        });
        let news: Vec<News> = parted.chain(joined).chain(lost).chain(given).collect();
        news.into_iter().for_each(|line| self.news(now, line));
        self.flush_given();
    }

    fn part(&mut self, proxy: u16) {
        if self.joined.remove(&proxy) {
            self.inbox.push(Input::Parted(proxy.into()));
        }
    }

    /// The relay counts from when it got the call, the module from when it wrote: what lies between is added,
    /// or a fence would be taken for older than it is.
    fn answered(&mut self, now: Timestamp, proxy: u16, number: u16, took_ms: f64) {
        let Some(mark) = self.marks.iter().find(|mark| mark.number == number) else {
            log::debug!(
                "proxy {proxy} answers mark {number}, which is not of this start or long past"
            );
            return;
        };
        let took = TimeDelta::from_secs(took_ms.max(0.0) / 1e3);
        let elapsed = (mark.ended.unwrap_or(now) - mark.ordered + took).min(now - mark.ordered);
        self.inbox
            .push(Input::Answered(proxy.into(), number, elapsed));
        // A call of unknown fate that a proxy answers was carried out: it need not go again.
        let carried = self.outbox.take_carried(number);
        if !carried.is_empty() {
            self.call_at = None;
        }
        self.settle(now, &carried);
    }

    fn owner(&mut self, slice: usize, on: bool) {
        let Some(mine) = self.charges.get(slice).map(|charge| charge.mine) else {
            log::warn!("no such slice {slice}");
            return;
        };
        if self.standing.is_some() && on && mine {
            return;
        }
        self.given.remove(&slice);
        self.charge(slice, on);
        if on {
            self.given.insert(slice);
        }
        // One given once more is out of the module's hands until its line has come.
        if mine || !on {
            self.inbox.push(Input::Custody(slice, false));
        }
    }

    /// A charge begins or ends: what waits of the earlier one must not go out.
    pub(super) fn charge(&mut self, slice: usize, on: bool) {
        let charge = &mut self.charges[slice];
        *charge = Charge {
            mine: on,
            count: charge.count + 1,
            ..Charge::default()
        };
        self.outbox.keep(|order| order.sets.slice() != Some(slice));
    }

    fn entry(&mut self, slice: usize, server: &str) {
        if slice >= self.charges.len() {
            log::warn!("no such slice {slice}");
            return;
        }
        let server = self.names.number(server);
        if self.given.remove(&slice) {
            self.charges[slice].line = Some(server);
            self.inbox
                .extend([Input::Custody(slice, true), Input::Stored(slice, server)]);
        }
    }

    /// Given slices without a line in the store, as other news has come.
    fn flush_given(&mut self) {
        for slice in std::mem::take(&mut self.given) {
            self.inbox.push(Input::Custody(slice, true));
        }
    }

    /// The standing state is complete: what it lacks has gone in the meantime, and a line that nobody here
    /// wrote shows that a slice has been in other hands.
    fn stands(&mut self) {
        let Some(standing) = self.standing.take() else {
            return;
        };
        // At the start there is nothing to compare with.
        if !std::mem::take(&mut self.blind) {
            return;
        }
        // Whoever isn't there may have come, read the store and left again unseen: its lease runs from now.
        let absent = (0..self.proxies).filter(|proxy| !standing.proxies.contains(proxy));
        self.inbox
            .extend(absent.map(|proxy| Input::Parted(proxy.into())));
        self.joined.retain(|proxy| standing.proxies.contains(proxy));
        for slice in 0..self.charges.len() {
            let charge = &self.charges[slice];
            if !charge.mine {
                continue;
            }
            let Some(&line) = standing.slices.get(&slice) else {
                self.charge(slice, false);
                self.inbox.push(Input::Custody(slice, false));
                continue;
            };
            // Another line was set by somebody else, or by a call whose fate is known now: it is the truth.
            if line != charge.line {
                log::warn!("slice {slice} has another line than was known, begins anew");
                self.begin_anew(slice, line);
            }
        }
    }
}
