//! The reducer: every change of state goes through `reduce`, which takes one event, calls the module when a
//! round is due and asks for effects. It reads and writes nothing itself and decides nothing.

mod calls;
mod hands;
mod list;
mod news;
mod visits;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use lynxmill_assigner::Assigner;
use lynxmill_random::Pcg;
use lynxmill_time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

use crate::bound::bytes_at_most;
use crate::encode::{self, Order, Outbox};
use crate::hand::{self, Ledger, Said};
use crate::reason::Reason;
use crate::round::{Charge, Input, Mark, Names, Writer, feed};
use crate::start::{Addresses, Epoch, Start};
use crate::told::Members;
use crate::told::Message;
use crate::told::{News, Outcome};

/// Pause before a call that was turned back, or a connection that did not come up, is tried again.
const PAUSE_S: f64 = 0.1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
    /// The same of a watch that is to take the place of the one that serves.
    NextNews(Vec<News>),
    NextEnded,
    Called(Outcome),
    Listed(Members),
    ListFailed,
    /// A new configuration names these.
    Moved(Addresses),
    /// An operator's order, from a session of the runtime socket; it may hold for so many microseconds.
    Hand {
        from: u64,
        id: Option<String>,
        order: hand::Order,
        lasts: Option<i64>,
    },
    /// A journal of such orders is kept; this stood in it.
    Journal(Vec<hand::Record>),
    /// An order is in the journal, or could not be written there.
    Kept {
        id: String,
        failed: Option<String>,
    },
    /// What other assigners' words on servers come to by now, for each that this has changed for.
    Doubted(Vec<(String, bool)>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    WakeAt(Timestamp),
    Watch,
    Call(String),
    Ask(Option<u64>),
    Close(u64, Reason),
    /// Dials and calls go to these addresses from now on; a call for the list under way is left.
    MoveRelay(SocketAddr),
    MoveDiscovery(SocketAddr),
    LeaveWatch,
    /// Dial a watch beside the one that serves, leave it, or let it take that one's place.
    NextWatch,
    LeaveNext,
    Succeed,
    /// What is said to the session that gave an order, and how an order has come further.
    HandTold(u64, Said),
    HandStep(hand::Entry),
    /// To be written to the journal; one that is under way waits for that.
    Keep(hand::Record),
    /// Own proxies tried a server so often, and lost so many; told where other assigners are to know.
    Saw {
        server: String,
        tries: f64,
        lost: f64,
    },
}

/// What of the standing state a new watch has told so far.
#[derive(Default)]
struct Standing {
    proxies: BTreeSet<u16>,
    slices: BTreeMap<usize, Option<u32>>,
}

pub struct State {
    name: String,
    clock: Epoch,
    addresses: Addresses,
    assigner: Assigner,
    operations: Vec<String>,
    report_fields: Vec<String>,
    on_request: bool,
    again: u8,
    step: TimeDelta,
    /// The longest that the first answer to a mark may take.
    answer_due: TimeDelta,
    chance: Pcg,
    names: Names,
    inbox: Vec<Input>,
    round_at: Option<Timestamp>,
    wake_at: Option<Timestamp>,
    // The relay.
    outbox: Outbox,
    flying: Option<Vec<Order>>,
    call_at: Option<Timestamp>,
    marks: Vec<Mark>,
    charges: Vec<Charge>,
    proxies: u16,
    joined: BTreeSet<u16>,
    watch_at: Option<Timestamp>,
    watch_begun: Timestamp,
    watching: bool,
    /// Since the watch broke nobody has told what stands.
    blind: bool,
    standing: Option<Standing>,
    /// What the watch that is to succeed has told so far.
    next: Option<Standing>,
    /// Slices given whose line in the store may be the next piece of news.
    given: BTreeSet<usize>,
    // Discovery.
    index: Option<u64>,
    ask_at: Option<Timestamp>,
    asked: Timestamp,
    asking: bool,
    // Connections at the assigner's address that have named no zone yet, and all; the zones there are.
    strangers: BTreeSet<u64>,
    open: BTreeSet<u64>,
    most_open: usize,
    zones: Vec<String>,
    spoilt_told: Option<Timestamp>,
    /// Orders by hand, and what of them holds.
    hands: Ledger,
    out: BTreeSet<String>,
    trusted: BTreeSet<String>,
    weights: BTreeMap<String, f64>,
    journaled: bool,
    /// Other assigners are to know what own proxies saw.
    shares: bool,
    /// Sessions that wait for an order to be in the journal, and orders of an earlier life that have yet to
    /// begin.
    awaiting: BTreeMap<String, Vec<u64>>,
    restored: BTreeSet<String>,
    tally: Tally,
}

#[derive(Default)]
struct Tally {
    rounds: u64,
    messages: u64,
    reports: u64,
    spoilt: u64,
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
    servers: usize,
    slices: usize,
    connections: usize,
    /// Those of strangers and collectors that may be open at once.
    connections_at_most: usize,
    /// What the records of a fleet of this size may come to in memory.
    bytes_at_most: usize,
    orders_waiting: usize,
    rounds: u64,
    messages: u64,
    reports: u64,
    reports_spoilt: u64,
    calls: u64,
    calls_of_unknown_fate: u64,
    orders_refused: u64,
}

impl State {
    pub fn new(clock: Epoch, now: Timestamp, start: Start) -> Self {
        let facts = start.facts;
        let mut state = State {
            name: start.name,
            clock,
            addresses: start.addresses,
            operations: facts.operations.iter().map(|o| o.name.clone()).collect(),
            report_fields: start.report_fields,
            on_request: facts.list_on_request,
            again: facts.again,
            step: start.step,
            answer_due: facts.push_delay_max,
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
            next: None,
            given: BTreeSet::new(),
            index: None,
            ask_at: None,
            asked: now,
            asking: false,
            strangers: BTreeSet::new(),
            open: BTreeSet::new(),
            // Half of the sockets are for those who connect; the accept queue and calls need theirs.
            most_open: start.sockets / 2,
            zones: start.zones,
            spoilt_told: None,
            hands: Ledger::default(),
            out: BTreeSet::new(),
            trusted: BTreeSet::new(),
            weights: BTreeMap::new(),
            journaled: false,
            shares: false,
            awaiting: BTreeMap::new(),
            restored: BTreeSet::new(),
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
            servers: self.names.len(),
            slices: self.charges.iter().filter(|charge| charge.mine).count(),
            connections: self.open.len(),
            connections_at_most: self.most_open,
            bytes_at_most: bytes_at_most(self.proxies.into(), self.charges.len(), self.names.len()),
            orders_waiting: self.outbox.count(),
            rounds: self.tally.rounds,
            messages: self.tally.messages,
            reports: self.tally.reports,
            reports_spoilt: self.tally.spoilt,
            calls: self.tally.calls,
            calls_of_unknown_fate: self.tally.again,
            orders_refused: self.tally.refused,
        }
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = (u32, &str)> {
        self.names.iter()
    }

    pub(crate) fn name_of(&self, server: u32) -> &str {
        self.names.name(server)
    }

    pub(crate) fn assigner(&self) -> &Assigner {
        &self.assigner
    }

    pub(crate) fn in_charge(&self) -> impl Iterator<Item = usize> {
        (0..self.charges.len()).filter(|&slice| self.charges[slice].mine)
    }

    pub(crate) fn joined(&self) -> impl Iterator<Item = u16> {
        self.joined.iter().copied()
    }

    /// The owner that the store is believed to hold.
    pub fn line(&self, slice: usize) -> Option<&str> {
        self.charges[slice]
            .line
            .map(|server| self.names.name(server))
    }

    pub fn reduce(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
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
                self.said(now, id, message, effects);
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
                self.leave_next(effects);
                self.watch_lost();
                self.watch_at = Some(if now - self.watch_begun < pause() {
                    now + self.jittered()
                } else {
                    now
                });
            }
            Event::NextNews(news) => news
                .into_iter()
                .for_each(|line| self.next_news(now, line, effects)),
            Event::NextEnded => {
                if self.next.take().is_some() {
                    self.leave_watch(now, effects);
                }
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
            Event::Moved(to) => self.moved(now, to, effects),
            Event::Journal(records) => self.journal(now, records),
            Event::Kept { id, failed } => self.kept(&id, failed, effects),
            Event::Doubted(servers) => {
                let known =
                    |(name, doubted): (String, bool)| Some((self.names.known(&name)?, doubted));
                let known = servers.into_iter().filter_map(known);
                self.inbox
                    .extend(known.map(|(server, doubted)| Input::Doubted(server, doubted)));
            }
            Event::Hand {
                from,
                id,
                order,
                lasts,
            } => {
                self.hand(
                    now,
                    from,
                    id,
                    order,
                    lasts.map(TimeDelta::from_micros),
                    effects,
                );
            }
        }
        self.run(now, effects);
    }

    /// What had come of the standing state is no ground to think the rest gone, and slices whose line had not
    /// come yet will be told again: the module has not heard of them.
    fn watch_lost(&mut self) {
        (self.watching, self.standing, self.blind) = (false, None, true);
        for slice in std::mem::take(&mut self.given) {
            self.charge(slice, false);
        }
    }

    fn leave_next(&mut self, effects: &mut Vec<Effect>) {
        if self.next.take().is_some() {
            effects.push(Effect::LeaveNext);
        }
    }

    fn leave_watch(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        effects.push(Effect::LeaveWatch);
        self.watch_lost();
        self.watch_at = Some(now);
    }

    /// The old addresses soon close what is open there. A call under way has its answer before that. Guards
    /// against a gap in the news, in which answers are lost and nothing can be ordered: the watch goes on
    /// until another at the new address has told all that stands.
    fn moved(&mut self, now: Timestamp, to: Addresses, effects: &mut Vec<Effect>) {
        let from = std::mem::replace(&mut self.addresses, to);
        if to.relay != from.relay {
            effects.push(Effect::MoveRelay(to.relay));
            self.leave_next(effects);
            if self.watching && self.standing.is_none() {
                self.next = Some(Standing::default());
                effects.push(Effect::NextWatch);
            } else {
                self.leave_watch(now, effects);
            }
        }
        if to.discovery != from.discovery {
            effects.push(Effect::MoveDiscovery(to.discovery));
            if std::mem::take(&mut self.asking) || self.ask_at.is_some() {
                self.ask(now, effects);
            }
        }
    }

    /// All that is due by now, and the time to wake at for the rest.
    fn run(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
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
        if self.inbox.is_empty() {
            self.look_at_hands(now, effects);
        }
        let call_at = self
            .call_at
            .filter(|_| !self.blind && self.flying.is_none());
        let watch_at = self.watch_at.filter(|_| self.flying.is_none());
        if !self.inbox.is_empty() {
            self.round_at.get_or_insert(now + self.step);
        }
        let dues = [
            self.round_at,
            self.wake_at,
            watch_at,
            self.ask_at,
            call_at,
            self.hands.next(),
        ];
        if let Some(at) = dues.into_iter().flatten().min() {
            effects.push(Effect::WakeAt(at));
        }
    }

    fn jittered(&mut self) -> TimeDelta {
        pause().times(0.5 + self.chance.unit())
    }

    // --- rounds ---

    fn round(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let inbox = std::mem::take(&mut self.inbox);
        let unsent = self.outbox.count() + self.flying.as_ref().map_or(0, Vec::len);
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
            assigner.unsent(unsent as f64);
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
        if self.names.len() > self.assigner.known() {
            self.forget();
        }
    }

    /// Guards the memory against every name ever seen: those go that the module has let go of and that
    /// nothing here speaks of any more.
    fn forget(&mut self) {
        let lines = self
            .charges
            .iter()
            .flat_map(|charge| [charge.line, charge.perhaps])
            .flatten();
        let told = self.inbox.iter().filter_map(Input::server);
        let flying = self
            .flying
            .iter()
            .flatten()
            .filter_map(|order| order.sets.server());
        let stands = [&self.standing, &self.next].into_iter().flatten();
        let stands = stands.flat_map(|standing| standing.slices.values().copied().flatten());
        let by_hand = self
            .out
            .iter()
            .chain(self.weights.keys())
            .filter_map(|name| self.names.known(name));
        let spoken = lines
            .chain(told)
            .chain(flying)
            .chain(stands)
            .chain(by_hand)
            .chain(self.outbox.servers());
        let spoken: BTreeSet<u32> = spoken.collect();
        self.names
            .keep(|server| self.assigner.knows(server) || spoken.contains(&server));
    }

    /// A slice in charge is told to the module as if it were given now; levels of before are taken back, as
    /// the store does when it gives one.
    fn begin_anew(&mut self, slice: usize, line: Option<u32>) {
        let levelled = self.charges[slice].levelled;
        self.charge(slice, true);
        self.charges[slice].line = line;
        if levelled {
            let count = self.charges[slice].count;
            self.outbox.push(encode::levels(
                slice,
                count,
                u64::MAX,
                &["*"],
                1.0,
                self.again,
            ));
        }
        self.inbox.push(Input::Custody(slice, true));
        self.inbox
            .extend(line.map(|server| Input::Stored(slice, server)));
    }
}

fn pause() -> TimeDelta {
    TimeDelta::from_secs(PAUSE_S)
}

fn due(at: &mut Option<Timestamp>, now: Timestamp) -> bool {
    at.take_if(|at| *at <= now).is_some()
}
