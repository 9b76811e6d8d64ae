//! The reducer: every change of state goes through `reduce`, which takes one event, calls the module when a
//! round is due and asks for effects. It reads and writes nothing itself and decides nothing.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill::{Assigner, Listing, Moment, Pcg, Span};
use serde::Serialize;

use crate::close::Reason;
use crate::discovery::Members;
use crate::encode::{self, Order, Outbox, Sets};
use crate::relay::{News, Outcome};
use crate::resp::{Asked, Message, Met};
use crate::round::{Charge, Input, Mark, Names, Writer, feed};
use crate::start::{Clock, Start};

/// Pause before a call that was turned back, or a connection that did not come up, is tried again.
const PAUSE_S: f64 = 0.1;

#[derive(Debug)]
pub enum Event {
    Begin,
    Wake,
    Opened(u64),
    Said(u64, Message),
    Ended(u64),
    /// The watch's head has come: what stands follows.
    WatchBegun,
    News(Vec<News>),
    WatchEnded,
    Called(Outcome),
    Listed(Members),
    ListFailed,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    WakeAt(Moment),
    Watch,
    Call(String),
    Ask(Option<u64>),
    Close(u64, Reason),
}

/// What of the standing state a new watch has told so far.
#[derive(Default)]
struct Standing {
    proxies: BTreeSet<u16>,
    slices: BTreeMap<usize, Option<u32>>,
}

pub struct State {
    name: String,
    clock: Clock,
    assigner: Assigner,
    operations: Vec<String>,
    report_fields: Vec<String>,
    on_request: bool,
    again: u8,
    step: Span,
    chance: Pcg,
    names: Names,
    inbox: Vec<Input>,
    round_at: Option<Moment>,
    wake_at: Option<Moment>,
    // The relay.
    outbox: Outbox,
    flying: Option<Vec<Order>>,
    call_at: Option<Moment>,
    marks: Vec<Mark>,
    charges: Vec<Charge>,
    proxies: u16,
    joined: BTreeSet<u16>,
    watch_at: Option<Moment>,
    watch_begun: Moment,
    watching: bool,
    /// Since the watch broke nobody has told what stands.
    blind: bool,
    standing: Option<Standing>,
    /// Slices given whose line in the store may be the next piece of news.
    given: BTreeSet<usize>,
    // Discovery.
    index: Option<u64>,
    ask_at: Option<Moment>,
    asked: Moment,
    asking: bool,
    // Connections at the assigner's address that have named no zone yet, and all.
    strangers: BTreeSet<u64>,
    open: BTreeSet<u64>,
    most_open: usize,
    tally: Tally,
}

#[derive(Default)]
struct Tally {
    rounds: u64,
    messages: u64,
    calls: u64,
    again: u64,
    refused: u64,
}

/// For those who look: what `GET /status` tells.
#[derive(Serialize)]
pub struct Status {
    name: String,
    /// The watch has told all that stands.
    standing_known: bool,
    list_index: Option<u64>,
    proxies: usize,
    slices: usize,
    connections: usize,
    orders_waiting: usize,
    rounds: u64,
    messages: u64,
    calls: u64,
    calls_of_unknown_fate: u64,
    orders_refused: u64,
}

impl State {
    pub fn new(clock: Clock, now: Moment, start: Start) -> Self {
        let facts = start.facts;
        let mut state = State {
            name: start.name,
            clock,
            operations: facts.operations.iter().map(|o| o.name.clone()).collect(),
            report_fields: start.report_fields,
            on_request: facts.list_on_request,
            again: facts.again,
            step: start.step,
            chance: Pcg::new(start.seed),
            names: Names::default(),
            inbox: Vec::new(),
            round_at: None,
            wake_at: None,
            outbox: Outbox::default(),
            flying: None,
            call_at: None,
            marks: Vec::new(),
            charges: vec![Charge::default(); facts.slices],
            proxies: facts.proxies.try_into().unwrap_or(u16::MAX),
            joined: BTreeSet::new(),
            watch_at: None,
            watch_begun: now,
            watching: false,
            blind: false,
            standing: None,
            given: BTreeSet::new(),
            index: None,
            ask_at: None,
            asked: now,
            asking: false,
            strangers: BTreeSet::new(),
            open: BTreeSet::new(),
            // Half of the sockets are for those who connect; the accept queue and calls need theirs.
            most_open: start.sockets / 2,
            tally: Tally::default(),
            assigner: Assigner::new(start.seed, now, facts),
        };
        if let Some(known) = start.known {
            state.listed(known, true, true);
        }
        state
    }

    pub fn status(&self) -> Status {
        Status {
            name: self.name.clone(),
            standing_known: self.watching && self.standing.is_none(),
            list_index: self.index,
            proxies: self.joined.len(),
            slices: self.charges.iter().filter(|charge| charge.mine).count(),
            connections: self.open.len(),
            orders_waiting: self.outbox.len(),
            rounds: self.tally.rounds,
            messages: self.tally.messages,
            calls: self.tally.calls,
            calls_of_unknown_fate: self.tally.again,
            orders_refused: self.tally.refused,
        }
    }

    /// The owner that the store is believed to hold.
    #[cfg(test)]
    pub fn line(&self, slice: usize) -> Option<&str> {
        self.charges[slice].line.map(|server| self.names.name(server))
    }

    pub fn reduce(&mut self, now: Moment, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Begin => {
                effects.push(Effect::Watch);
                if !self.on_request {
                    self.ask(now, effects);
                }
                self.round_at = Some(now);
            }
            Event::Wake => {}
            Event::Opened(id) => self.opened(id, effects),
            Event::Said(id, message) => {
                self.tally.messages += 1;
                self.said(id, message, effects);
            }
            Event::Ended(id) => {
                self.strangers.remove(&id);
                self.open.remove(&id);
            }
            Event::WatchBegun => {
                (self.watching, self.standing) = (true, Some(Standing::default()));
            }
            Event::News(news) => news.into_iter().for_each(|line| self.news(now, line)),
            Event::WatchEnded => {
                // What had come of the standing state is no ground to think the rest gone, and slices whose
                // line had not come yet will be told again: the module has not heard of them.
                (self.watching, self.standing, self.blind) = (false, None, true);
                for slice in std::mem::take(&mut self.given) {
                    self.charge(slice, false);
                }
                self.watch_at =
                    Some(if now - self.watch_begun < pause() { now + self.jittered() } else { now });
            }
            Event::Called(outcome) => self.called(now, outcome),
            Event::Listed(members) => {
                self.asking = false;
                let complete = members.snapshot || self.index.is_none();
                // Guards against an agent that answers at once and tells nothing: no call on its heels.
                let idle = members.endpoints.is_empty() && now - self.asked < pause();
                self.listed(members, complete, false);
                if idle {
                    self.ask_at = Some(now + self.jittered());
                } else {
                    self.ask(now, effects);
                }
            }
            Event::ListFailed => {
                self.asking = false;
                if self.on_request {
                    self.inbox.push(Input::ListFailed);
                } else {
                    self.ask_at = Some(now + self.jittered());
                }
            }
        }
        self.run(now, effects);
    }

    /// All that is due by now, and the time to wake at for the rest.
    fn run(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if !self.inbox.is_empty() && self.round_at.is_none() {
            self.round_at = Some(now + self.step);
        }
        // What stands is asked for once no call is under way that could change it meanwhile.
        if self.flying.is_none() && due(&mut self.watch_at, now) {
            self.watch_begun = now;
            effects.push(Effect::Watch);
        }
        if due(&mut self.ask_at, now) {
            self.ask(now, effects);
        }
        let woken = due(&mut self.wake_at, now);
        if due(&mut self.round_at, now) || woken {
            self.round_at = None;
            self.round(now, effects);
        }
        // Guards against orders of an earlier charge: a slice may have been in other hands in the meantime.
        if self.call_at.is_none_or(|at| at <= now) && self.flying.is_none() && !self.blind {
            self.call_at = None;
            self.call(effects);
        }
        let call_at = self.call_at.filter(|_| !self.blind && self.flying.is_none());
        let watch_at = self.watch_at.filter(|_| self.flying.is_none());
        let dues = [self.round_at, self.wake_at, watch_at, self.ask_at, call_at];
        if let Some(at) = dues.into_iter().flatten().min() {
            effects.push(Effect::WakeAt(at));
        }
    }

    fn jittered(&mut self) -> Span {
        pause().times(0.5 + self.chance.unit())
    }

    // --- rounds ---

    fn round(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let inbox = std::mem::take(&mut self.inbox);
        let mut writer = Writer {
            now,
            names: &self.names,
            operations: &self.operations,
            charges: &self.charges,
            flying: self.flying.as_deref().unwrap_or_default(),
            outbox: &mut self.outbox,
            marks: &mut self.marks,
            wake: &mut self.wake_at,
            subscribe: false,
            hasty: Vec::new(),
        };
        let feed = |assigner: &mut Assigner| {
            inbox.into_iter().for_each(|input| feed(assigner, input));
            Ok::<(), std::convert::Infallible>(())
        };
        let Ok(()) = self.assigner.round(now, feed, &mut writer);
        self.tally.rounds += 1;
        let (subscribe, hasty) = (writer.subscribe, writer.hasty);
        if subscribe {
            self.ask(now, effects);
        }
        // Guards against a fence around a shut that the store has not seen: whoever comes back could read the
        // old owner there. The slice begins anew with what the store holds.
        for slice in hasty {
            log::warn!("slice {slice}: published before its shut reached the store, begins anew");
            self.begin_anew(slice, self.charges[slice].line);
        }
    }

    /// A slice in charge is told to the module as if it were given now; levels of before are taken back, as
    /// the store does when it gives one.
    fn begin_anew(&mut self, slice: usize, line: Option<u32>) {
        let levelled = self.charges[slice].levelled;
        self.charge(slice, true);
        self.charges[slice].line = line;
        if levelled {
            let count = self.charges[slice].count;
            self.outbox.push(encode::levels(slice, count, u64::MAX, &["*"], 1.0, self.again));
        }
        self.inbox.push(Input::Custody(slice, true));
        self.inbox.extend(line.map(|server| Input::Stored(slice, server)));
    }

    // --- who connects ---

    fn opened(&mut self, id: u64, effects: &mut Vec<Effect>) {
        self.open.insert(id);
        self.strangers.insert(id);
        if self.open.len() > self.most_open {
            // The oldest stranger makes room; where all are collectors, the newcomer goes.
            let oldest = self.strangers.first().copied().unwrap_or(id);
            effects.push(Effect::Close(oldest, Reason::Crowded));
        }
    }

    fn said(&mut self, id: u64, message: Message, effects: &mut Vec<Effect>) {
        match message {
            Message::Heartbeat => {}
            Message::Zone(_) => {
                self.strangers.remove(&id);
            }
            Message::Met(met) => self.met(met),
            Message::Asked(asked) => {
                if !self.demanded(&asked) {
                    effects.push(Effect::Close(id, Reason::BadFields));
                }
            }
        }
    }

    fn met(&mut self, met: Met) {
        // A server that neither list nor store has named is nobody's owner: its report tells nothing yet.
        let Some(server) = self.names.known(&met.server) else { return };
        let value = |field: &String| met.load.iter().find(|(name, _)| name == field).map(|(_, value)| *value);
        let report = if met.load.is_empty() {
            Vec::new()
        } else {
            self.report_fields.iter().map(|field| value(field).unwrap_or(f64::NAN)).collect()
        };
        self.inbox.push(Input::Heard {
            server,
            tries: met.tries,
            lost: met.failed,
            elapsed: Span::from_secs(met.mean_ms / 1e3),
            over: Span::from_secs(met.span_ms / 1e3),
            report,
        });
    }

    fn demanded(&mut self, asked: &Asked) -> bool {
        let operation = self.operations.iter().position(|name| *name == asked.operation);
        let Some(operation) = operation.filter(|_| asked.slice < self.charges.len()) else { return false };
        let over = Span::from_secs(asked.span_ms / 1e3);
        self.inbox.push(Input::Demand { slice: asked.slice, operation, tries: asked.tries, over });
        true
    }

    // --- the relay's news ---

    fn news(&mut self, now: Moment, line: News) {
        match &line {
            News::Owner { .. } => {}
            News::Entry { slice, .. } if self.given.contains(slice) => {}
            _ => self.flush_given(),
        }
        match line {
            News::Alive => self.stands(),
            News::Attach { proxy } => {
                self.joined.insert(proxy);
                if let Some(standing) = &mut self.standing {
                    standing.proxies.insert(proxy);
                }
                // One that stands after a gap may have left in it: answers to earlier marks are lost.
                self.inbox.push(Input::Joined(proxy.into()));
            }
            News::Detach { proxy } => {
                if let Some(standing) = &mut self.standing {
                    standing.proxies.remove(&proxy);
                }
                self.part(proxy);
            }
            News::Done { proxy, mark, took_ms } => self.answered(now, proxy, mark, took_ms),
            News::Owner { slice, on } => self.owner(slice, on),
            News::Entry { slice, server } => self.entry(slice, &server),
        }
    }

    fn part(&mut self, proxy: u16) {
        if self.joined.remove(&proxy) {
            self.inbox.push(Input::Parted(proxy.into()));
        }
    }

    /// The relay counts from when it got the call, the module from when it wrote: what lies between is added,
    /// or a fence would be taken for older than it is.
    fn answered(&mut self, now: Moment, proxy: u16, number: u16, took_ms: f64) {
        let Some(mark) = self.marks.iter().find(|mark| mark.number == number) else {
            log::debug!("proxy {proxy} answers mark {number}, which is not of this start or long past");
            return;
        };
        let took = Span::from_secs(took_ms.max(0.0) / 1e3);
        let elapsed = (mark.ended.unwrap_or(now) - mark.ordered + took).min(now - mark.ordered);
        self.inbox.push(Input::Answered(proxy.into(), number, elapsed));
        // A call of unknown fate that a proxy answers was carried out: it need not go again.
        let carried = self.outbox.take_carried(number);
        self.settle(now, &carried);
    }

    fn owner(&mut self, slice: usize, on: bool) {
        let Some(mine) = self.charges.get(slice).map(|charge| charge.mine) else {
            log::warn!("no such slice {slice}");
            return;
        };
        if let Some(standing) = &mut self.standing {
            if on {
                standing.slices.insert(slice, None);
            } else {
                standing.slices.remove(&slice);
            }
            if on && mine {
                return;
            }
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
    fn charge(&mut self, slice: usize, on: bool) {
        let charge = &mut self.charges[slice];
        *charge = Charge { mine: on, count: charge.count + 1, ..Charge::default() };
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
            self.inbox.extend([Input::Custody(slice, true), Input::Stored(slice, server)]);
        }
        if let Some(standing) = &mut self.standing {
            standing.slices.insert(slice, Some(server));
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
        let Some(standing) = self.standing.take() else { return };
        // At the start there is nothing to compare with.
        if !std::mem::take(&mut self.blind) {
            return;
        }
        // Whoever isn't there may have come, read the store and left again unseen: its lease runs from now.
        let absent = (0..self.proxies).filter(|proxy| !standing.proxies.contains(proxy));
        self.inbox.extend(absent.map(|proxy| Input::Parted(proxy.into())));
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

    // --- calls to the relay ---

    fn call(&mut self, effects: &mut Vec<Effect>) {
        let Some((orders, body)) = self.outbox.call() else { return };
        self.tally.calls += 1;
        for order in &orders {
            if let Sets::Levels { slice, .. } = order.sets {
                self.charges[slice].levelled = true;
            }
        }
        self.flying = Some(orders);
        effects.push(Effect::Call(body));
    }

    fn called(&mut self, now: Moment, outcome: Outcome) {
        let Some(mut orders) = self.flying.take() else { return };
        // What an ended charge has ordered is void, whatever came of it.
        let charges = &self.charges;
        let held = |order: &Order| order.sets.slice().is_none_or(|slice| charges[slice].holds(order));
        match outcome {
            Outcome::Taken(taken) => {
                let mut rest = orders.split_off(taken.min(orders.len())).into_iter();
                let refused = rest.next();
                let rest = rest.filter(held).collect();
                self.settle(now, &orders);
                self.outbox.put_back(rest);
                if let Some(order) = refused {
                    self.refused(now, order);
                }
            }
            Outcome::Throttled | Outcome::Unknown => {
                orders.retain(held);
                if outcome == Outcome::Unknown {
                    self.may_stand(now, &mut orders);
                }
                self.outbox.put_back(orders);
                self.call_at = Some(now + self.jittered());
            }
        }
    }

    /// These orders were carried out or not: nobody knows yet.
    fn may_stand(&mut self, now: Moment, orders: &mut [Order]) {
        self.tally.again += 1;
        self.ended(now, orders);
        encode::sent_together(orders);
        for order in orders {
            if let Sets::Line { slice, server: Some(server) } = order.sets {
                self.charges[slice].perhaps = Some(server);
            }
        }
    }

    /// An order that the relay can't use is left out, but for a mark, and a slice whose line it was to set
    /// begins anew with what the store holds: the module must not believe in a line that is not there.
    fn refused(&mut self, now: Moment, order: Order) {
        self.tally.refused += 1;
        log::warn!("the relay refused {:?}", order.sets);
        self.call_at = Some(now + self.jittered());
        match order.sets {
            Sets::Line { slice, .. } if self.charges[slice].holds(&order) => {
                let Charge { perhaps, line, .. } = self.charges[slice];
                self.begin_anew(slice, perhaps.or(line));
            }
            // Moves wait for the answers to it.
            Sets::Mark { .. } => self.outbox.put_back(vec![order]),
            _ => {}
        }
    }

    /// These orders have been carried out.
    fn settle(&mut self, now: Moment, orders: &[Order]) {
        self.ended(now, orders);
        for order in orders {
            if let Sets::Line { slice, server } = order.sets
                && self.charges[slice].holds(order)
            {
                (self.charges[slice].line, self.charges[slice].perhaps) = (server, None);
            }
        }
    }

    fn ended(&mut self, now: Moment, orders: &[Order]) {
        for order in orders {
            if let Sets::Mark { number } = order.sets {
                let marks = self.marks.iter_mut().filter(|mark| mark.number == number);
                marks.for_each(|mark| mark.ended = Some(now));
            }
        }
    }

    // --- discovery ---

    fn ask(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if !self.asking {
            (self.asking, self.asked, self.ask_at) = (true, now, None);
            effects.push(Effect::Ask(self.index));
        }
    }

    fn listed(&mut self, members: Members, complete: bool, remembered: bool) {
        if !remembered {
            self.index = Some(members.index);
        }
        if members.endpoints.is_empty() && !complete && !self.on_request {
            return;
        }
        let entries = members.endpoints.iter().map(|endpoint| Listing {
            task: self.names.number(&endpoint.name),
            standing: endpoint.standing,
            size: endpoint.weight,
            started: self.clock.since(endpoint.since_ms),
        });
        let entries = entries.collect();
        self.inbox.push(Input::Listed { complete, remembered, entries });
    }
}

fn pause() -> Span {
    Span::from_secs(PAUSE_S)
}

fn due(at: &mut Option<Moment>, now: Moment) -> bool {
    at.take_if(|at| *at <= now).is_some()
}
