//! Orders given by hand: what they come to in the module, and how far each has come.

use lynxmill_time::{TimeDelta, Timestamp};

use super::{Effect, State};
use crate::encode::{self, Sets};
use crate::hand::{Entry, Order, Record, Said, Stage, Want};
use crate::round::Input;

impl State {
    /// Takes an order, once: one that comes again by its id is told how the first stands.
    pub(super) fn hand(
        &mut self,
        now: Timestamp,
        from: u64,
        id: Option<String>,
        order: Order,
        lasts: Option<TimeDelta>,
        effects: &mut Vec<Effect>,
    ) {
        let known = id
            .as_deref()
            .is_some_and(|id| self.hands.find(id).is_some());
        let forbidden = if known { None } else { self.forbidden(&order) };
        let said = match forbidden {
            Some(reason) => Said::Stands(self.hands.refuse(now, id, order, reason)),
            None => self.hands.take(now, id, order, lasts),
        };
        let said = match said {
            Said::Stands(entry)
                if entry.stage == Stage::Accepted && self.awaiting.contains_key(&entry.id) =>
            {
                self.awaiting.entry(entry.id).or_default().push(from);
                return;
            }
            Said::Stands(entry) if entry.stage == Stage::Accepted && !known => {
                // Nobody is told before it is sure to be remembered.
                if self.journaled {
                    effects.push(Effect::Keep(self.record(&entry, true)));
                    self.awaiting.insert(entry.id, vec![from]);
                    return self.tell_journal(effects);
                }
                let stage = self.begin(&entry);
                Said::Stands(self.goes(entry, stage))
            }
            said => said,
        };
        effects.push(Effect::HandTold(from, said));
        self.tell_journal(effects);
    }

    fn goes(&mut self, entry: Entry, stage: Stage) -> Entry {
        log::info!(order = entry.id.as_str(); "order {} by hand {stage:?}: {:?}", entry.id, entry.order);
        self.hands.step(&entry.id, stage).unwrap_or(entry)
    }

    // --- the journal ---

    fn record(&self, entry: &Entry, stands: bool) -> Record {
        let until_ms = entry
            .until
            .map(|until| self.clock.unix_ms + until.micros() as f64 / 1e3);
        Record {
            id: entry.id.clone(),
            order: entry.order.clone(),
            stage: entry.stage.clone(),
            until_ms,
            stands,
        }
    }

    /// What has ended is written as such.
    fn tell_journal(&mut self, effects: &mut Vec<Effect>) {
        let news = self.hands.news();
        if self.journaled {
            effects.extend(
                news.iter()
                    .map(|entry| Effect::Keep(self.record(entry, false))),
            );
        }
    }

    pub(super) fn kept(&mut self, id: &str, failed: Option<String>, effects: &mut Vec<Effect>) {
        let Some(entry) = self.hands.find(id).cloned() else {
            return;
        };
        let sessions = self.awaiting.remove(id).unwrap_or_default();
        let entry = if entry.stage == Stage::Accepted && !sessions.is_empty() {
            let stage = match failed {
                Some(reason) => Stage::Refused(format!("the journal can't be written: {reason}")),
                None => self.begin(&entry),
            };
            self.goes(entry, stage)
        } else {
            entry
        };
        effects.extend(
            sessions
                .into_iter()
                .map(|from| Effect::HandTold(from, Said::Stands(entry.clone()))),
        );
        self.tell_journal(effects);
    }

    /// Takes up what an earlier life was given: what holds servers back does so before the first round.
    pub(super) fn journal(&mut self, now: Timestamp, records: Vec<Record>) {
        self.journaled = true;
        for record in records {
            let until = record
                .until_ms
                .map(|ms| self.clock.since(ms).unwrap_or(now));
            let mut entry = Entry {
                id: record.id,
                order: record.order,
                stage: record.stage,
                at: now,
                until,
            };
            if record.stands {
                entry.stage = match &entry.order {
                    Order::Server { .. } | Order::Weight { .. } | Order::Health { .. } => {
                        self.begin(&entry)
                    }
                    Order::Owner { .. } => {
                        self.restored.insert(entry.id.clone());
                        Stage::Accepted
                    }
                };
            }
            self.hands.restore(entry);
        }
    }

    /// Slices that were wanted elsewhere, once they are in charge again and the server is known.
    fn take_up(&mut self) {
        for id in self.restored.clone() {
            let Some(entry) = self
                .hands
                .find(&id)
                .filter(|e| e.stage == Stage::Accepted)
                .cloned()
            else {
                self.restored.remove(&id);
                continue;
            };
            if self.forbidden(&entry.order).is_none() {
                let stage = self.begin(&entry);
                self.goes(entry, stage);
            }
        }
    }

    /// Why an order can't be carried out, before it replaces anything.
    fn forbidden(&self, order: &Order) -> Option<String> {
        let unknown = |server: &String| format!("no server {server:?} is known");
        match order {
            Order::Server { server, want } => match self.names.known(server) {
                None => Some(unknown(server)),
                Some(_) if *want == Want::Ready => None,
                Some(number) => self.assigner.forbids_out(number).map(str::to_owned),
            },
            Order::Weight { server, .. } | Order::Health { server, .. }
                if self.names.known(server).is_none() =>
            {
                Some(unknown(server))
            }
            Order::Weight { weight, .. } if !(0.01..=100.0).contains(weight) => {
                Some(format!("a weight is 0.01 to 100, not {weight}"))
            }
            Order::Weight { .. } | Order::Health { .. } => None,
            Order::Owner { slice, server } => match self.names.known(server) {
                None => Some(unknown(server)),
                Some(_) if *slice >= self.charges.len() => {
                    Some(format!("slice {slice} is in other hands"))
                }
                Some(number) => self
                    .assigner
                    .forbids_wish(*slice, number)
                    .map(str::to_owned),
            },
        }
    }

    /// Hands an order to the module.
    fn begin(&mut self, entry: &Entry) -> Stage {
        match &entry.order {
            Order::Server { server, want } => {
                self.out.remove(server);
                if *want != Want::Ready {
                    self.out.insert(server.clone());
                }
                self.tell_server(server);
            }
            Order::Weight { server, weight } => {
                self.weights.insert(server.clone(), *weight);
                self.tell_server(server);
            }
            Order::Health { server, watched } => {
                self.trusted.remove(server);
                if !watched {
                    self.trusted.insert(server.clone());
                }
                self.tell_server(server);
            }
            Order::Owner { slice, server } => {
                let Some(number) = self.names.known(server) else {
                    return Stage::Refused(format!("no server {server:?} is known"));
                };
                if let Some(reason) = self.assigner.wish(*slice, number) {
                    return Stage::Refused(reason.to_owned());
                }
                self.inbox.push(Input::Look);
            }
        }
        Stage::Begun
    }

    /// Owners that have been decided on have yet to reach the store.
    fn lines_wait(&self) -> bool {
        let line = |order: &encode::Order| matches!(order.sets, Sets::Line { .. });
        self.outbox.any(line) || self.flying.iter().flatten().any(line)
    }

    fn tell_server(&mut self, name: &str) {
        let Some(server) = self.names.known(name) else {
            return;
        };
        let weight = self.weights.get(name).copied().unwrap_or(1.0);
        let trusted = self.trusted.contains(name);
        self.inbox.push(Input::ByHand {
            server,
            out: self.out.contains(name),
            weight,
            trusted,
        });
    }

    /// Whether operators have said something of a server.
    pub(super) fn by_hand(&self, name: &str) -> bool {
        self.out.contains(name) || self.weights.contains_key(name) || self.trusted.contains(name)
    }

    /// Servers that the list names again have what operators said of them.
    pub(super) fn remind(&mut self, names: &[String]) {
        names.iter().for_each(|name| self.tell_server(name));
    }

    /// After a round: which orders are done, which can't be any more, and whose time is over.
    pub(super) fn look_at_hands(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.take_up();
        let mut came: Vec<(String, Stage)> = Vec::new();
        let mut again: Vec<Entry> = Vec::new();
        for entry in self
            .hands
            .under_way()
            .filter(|entry| entry.stage == Stage::Begun)
        {
            let stage = match &entry.order {
                Order::Server { server, want } => {
                    let left = self
                        .names
                        .known(server)
                        .map_or(0, |number| self.assigner.owned(number));
                    (*want == Want::Ready || (left == 0 && !self.lines_wait()))
                        .then_some(Stage::Done)
                }
                Order::Weight { .. } | Order::Health { .. } => Some(Stage::Done),
                Order::Owner { slice, server } => {
                    let charge = &self.charges[*slice];
                    let there =
                        charge.mine && self.names.known(server) == self.assigner.owner(*slice);
                    if there && charge.line.is_some() && charge.line == self.names.known(server) {
                        Some(Stage::Done)
                    } else if !charge.mine {
                        Some(Stage::Refused("the slice went to other hands".to_owned()))
                    } else if !there && !self.assigner.moves(*slice).1 {
                        // What stands was told anew, which ends all wishes; or the server can't take it any more.
                        let no = self.forbidden(&entry.order);
                        again.extend(no.is_none().then(|| entry.clone()));
                        no.map(|reason| Stage::Refused(format!("not any more: {reason}")))
                    } else {
                        None
                    }
                }
            };
            came.extend(stage.map(|stage| (entry.id.clone(), stage)));
        }
        for entry in again {
            log::info!(order = entry.id.as_str(); "order {} by hand begins again", entry.id);
            self.begin(&entry);
        }
        for (id, stage) in came {
            if let Some(entry) = self.hands.step(&id, stage) {
                log::info!(order = entry.id.as_str(); "order {} by hand {:?}", entry.id, entry.stage);
                // What is done and holds on is no news that it has ended.
                let holds =
                    entry.stage == Stage::Done && !matches!(entry.order, Order::Owner { .. });
                if self.journaled && holds {
                    effects.push(Effect::Keep(self.record(&entry, true)));
                }
                effects.push(Effect::HandStep(entry));
            }
        }
        for entry in self.hands.over(now) {
            log::info!(order = entry.id.as_str(); "order {} by hand is over", entry.id);
            match &entry.order {
                Order::Server { server, .. } => {
                    self.out.remove(server);
                    self.tell_server(server);
                }
                Order::Weight { server, .. } => {
                    self.weights.remove(server);
                    self.tell_server(server);
                }
                Order::Health { server, .. } => {
                    self.trusted.remove(server);
                    self.tell_server(server);
                }
                Order::Owner { .. } => {}
            }
            effects.push(Effect::HandStep(entry));
        }
        self.tell_journal(effects);
    }

    /// Orders by hand survive a restart.
    pub fn journaled(&self) -> bool {
        self.journaled
    }

    /// Orders by hand, the oldest first.
    pub fn orders(&self) -> impl Iterator<Item = &Entry> {
        self.hands.all()
    }

    pub fn order(&self, id: &str) -> Option<&Entry> {
        self.hands.find(id)
    }
}
