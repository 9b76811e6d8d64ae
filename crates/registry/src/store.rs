//! The registry in the place of the relay: what the assigner's reducer asks for becomes transactions, what the
//! registry tells becomes its news. A gap that the copy closes by itself is none for the reducer.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_assigner_state::{Event, News, Outcome};
use lynxmill_time::{TimeDelta, Timestamp};
use serde::Deserialize;

use crate::layout::{
    Applied, Charge, KeyLocation, Layout, Levels, Line, Mark, Presence, read, spell,
};
use crate::shard_ownership::{LiveMembers, ShardOwnership};
use crate::transaction::{
    Answer, Change, KeyValue, Lease, Precondition, PutOperation, Revision, StoreRequest,
    Transaction,
};
use crate::watch::{WatchEvent, WatchFollower};
use crate::writes::{Came, Writes};

/// The reducer is told that the news have ended once the copy has not been known to be current for so long.
const SILENCE: TimeDelta = TimeDelta::from_micros(1_800_000);
/// Slices to a transaction: with their guards they stay below what registries take at once.
const SLICES: usize = 12;
/// Marks whose time of sending is remembered.
const MARKS: usize = 256;

/// What comes of a step: events for the reducer, and what is to be asked of the registry.
#[derive(Debug, Default)]
pub struct StoreStep {
    pub events: Vec<Event>,
    pub asks: Vec<StoreRequest>,
}

#[derive(Deserialize)]
struct Call {
    ops: Vec<StoreOperation>,
}

#[derive(Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
enum StoreOperation {
    Share {
        table: usize,
        server: String,
        weight: f64,
    },
    Admit {
        table: usize,
        routes: Vec<String>,
        admit: f64,
    },
    Mark {
        nonce_out: u16,
    },
}

/// What a transaction was for.
enum Purpose {
    Presence,
    Claim(Vec<usize>),
    /// A part of the call under way: the lines it sets.
    Part(Vec<(usize, Line)>),
}

/// A part of a call: its transaction, the lines that it sets, and the mark that it carries.
#[derive(Default)]
struct TransactionPart {
    txn: Transaction,
    lines: Vec<(usize, Line)>,
    mark: Option<u16>,
}

/// What is written of a slice, newer than the copy may show.
#[derive(Clone, Debug, Default)]
struct RecentWrite {
    line: Option<(Line, Revision)>,
    levels: BTreeMap<String, f64>,
}

pub struct RegistryStore {
    name: String,
    layout: Layout,
    operations: Vec<String>,
    slices: usize,
    follow: WatchFollower,
    writes: Writes,
    custody: ShardOwnership,
    /// The lease that it last spoke under.
    lease: Option<Lease>,
    mine: BTreeMap<usize, RecentWrite>,
    living: BTreeSet<String>,
    /// Forwarders that are there, by the life they told.
    forwarders: BTreeMap<u16, (Revision, String)>,
    purposes: BTreeMap<u64, Purpose>,
    /// Parts of the call under way that are not done yet, and its orders.
    call: Option<(BTreeSet<u64>, usize)>,
    claim_most: usize,
    stamps: u64,
    sent: BTreeMap<u16, Timestamp>,
    /// The reducer has asked for the news; it is being told them.
    wanted: bool,
    telling: bool,
    current: Option<Timestamp>,
    pub spoilt: u64,
}

impl RegistryStore {
    pub fn new(
        name: &str,
        layout: Layout,
        operations: Vec<String>,
        slices: usize,
        follow: WatchFollower,
        writes: Writes,
        custody: ShardOwnership,
    ) -> Self {
        RegistryStore {
            name: name.to_owned(),
            layout,
            operations,
            slices,
            follow,
            writes,
            custody,
            lease: None,
            mine: BTreeMap::new(),
            living: BTreeSet::new(),
            forwarders: BTreeMap::new(),
            purposes: BTreeMap::new(),
            call: None,
            claim_most: SLICES,
            stamps: 0,
            sent: BTreeMap::new(),
            wanted: false,
            telling: false,
            current: None,
            spoilt: 0,
        }
    }

    fn stamp(&mut self) -> String {
        self.stamps += 1;
        let life = self.lease.as_ref().map_or("", |lease| &lease.0);
        format!("{}-{life}-{}", self.name, self.stamps)
    }

    // --- what the reducer asks for ---

    /// The reducer wants the news: what stands is told once the copy is current.
    pub fn watch(&mut self, now: Timestamp, step: &mut StoreStep) {
        (self.wanted, self.telling) = (true, false);
        self.current = None;
        self.wake(now, step);
    }

    /// A call, as its body spells it. Its outcome is told as an event, in its time.
    pub fn call(&mut self, now: Timestamp, body: &str, step: &mut StoreStep) {
        let call: Call = match serde_json::from_str(body) {
            Ok(call) => call,
            Err(_) => return step.events.push(Event::Called(Outcome::Taken(0))),
        };
        let orders = call.ops.len();
        let calls = self.parts(call.ops);
        if calls.is_empty() {
            return step.events.push(Event::Called(Outcome::Taken(orders)));
        }
        let mut parts = BTreeSet::new();
        let mut marks = Vec::new();
        for TransactionPart { txn, lines, mark } in calls {
            match self.writes.push(now, txn, 0, &mut step.asks) {
                Ok(id) => {
                    parts.insert(id);
                    marks.extend(mark);
                    self.purposes.insert(id, Purpose::Part(lines));
                }
                Err(_) => {
                    // What is queued already goes on; orders set, so that they may go twice.
                    for id in parts {
                        self.purposes.remove(&id);
                    }
                    return step.events.push(Event::Called(Outcome::Throttled));
                }
            }
        }
        for mark in marks {
            self.sent.insert(mark, now);
        }
        while self.sent.len() > MARKS
            && let Some(oldest) = self
                .sent
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(mark, _)| *mark)
        {
            self.sent.remove(&oldest);
        }
        self.call = Some((parts, orders));
    }

    /// A call's orders as transactions, in turn, each guarded by the charge and by what its lines were.
    fn parts(&mut self, ops: Vec<StoreOperation>) -> Vec<TransactionPart> {
        let Some(lease) = self.lease.clone() else {
            return Vec::new();
        };
        let mut lines: BTreeMap<usize, Line> = BTreeMap::new();
        let mut levels: BTreeMap<usize, BTreeMap<String, f64>> = BTreeMap::new();
        let mut mark = None;
        let mut turn: Vec<usize> = Vec::new();
        for op in ops {
            match op {
                StoreOperation::Share {
                    table,
                    server,
                    weight,
                } => {
                    // Orders for a slice that is not in its charge count as taken and change nothing.
                    let Some(written) = self.mine.get(&table) else {
                        continue;
                    };
                    let before = lines
                        .get(&table)
                        .or(written.line.as_ref().map(|(line, _)| line));
                    let generation = before.map_or(0, |line| line.generation);
                    let gone = weight <= 0.0;
                    let here = before.is_none_or(|line| line.server.as_ref() == Some(&server));
                    if gone && !here {
                        continue;
                    }
                    let generation = generation + u64::from(!gone);
                    let line = Line {
                        server: (!gone).then_some(server),
                        generation,
                        stamp: String::new(),
                    };
                    lines.insert(table, line);
                    turn.push(table);
                }
                StoreOperation::Admit {
                    table,
                    routes,
                    admit,
                } => {
                    let Some(written) = self.mine.get(&table) else {
                        continue;
                    };
                    let all = levels
                        .entry(table)
                        .or_insert_with(|| written.levels.clone());
                    for route in routes {
                        if route == "*" {
                            all.extend(
                                self.operations
                                    .iter()
                                    .map(|operation| (operation.clone(), admit)),
                            );
                        } else {
                            all.insert(route, admit);
                        }
                    }
                    turn.push(table);
                }
                StoreOperation::Mark { nonce_out } => mark = Some(nonce_out),
            }
        }
        turn.dedup();
        let mut seen = BTreeSet::new();
        turn.retain(|slice| seen.insert(*slice));
        let mut parts: Vec<TransactionPart> = Vec::new();
        for slices in turn.chunks(SLICES) {
            let mut txn = Transaction::default();
            let mut sets = Vec::new();
            for slice in slices {
                txn.guards.push((
                    self.layout.key(&KeyLocation::Charge(*slice)),
                    Precondition::Of(lease.clone()),
                ));
                if let Some(mut line) = lines.remove(slice) {
                    line.stamp = self.stamp();
                    let key = self.layout.key(&KeyLocation::Line(*slice));
                    let at = self
                        .mine
                        .get(slice)
                        .and_then(|written| written.line.as_ref());
                    let expect = at.map_or(Precondition::Absent, |(_, at)| Precondition::At(*at));
                    txn.guards.push((key.clone(), expect));
                    txn.puts.push(PutOperation {
                        key,
                        value: Some(spell(&line)),
                        lease: None,
                    });
                    sets.push((*slice, line));
                }
                if let Some(levels) = levels.remove(slice) {
                    if let Some(written) = self.mine.get_mut(slice) {
                        written.levels.clone_from(&levels);
                    }
                    let value = spell(&Levels {
                        levels,
                        stamp: self.stamp(),
                    });
                    let key = self.layout.key(&KeyLocation::Levels(*slice));
                    txn.puts.push(PutOperation {
                        key,
                        value: Some(value),
                        lease: None,
                    });
                }
            }
            parts.push(TransactionPart {
                txn,
                lines: sets,
                mark: None,
            });
        }
        if let Some(number) = mark {
            // It goes with the last of the orders, so that whoever sees it has them all.
            if parts.is_empty() {
                parts.push(TransactionPart::default());
            }
            let value = Mark {
                mark: number,
                life: lease.0.clone(),
                stamp: self.stamp(),
            };
            let put = PutOperation {
                key: self.layout.key(&KeyLocation::Mark(self.name.clone())),
                value: Some(spell(&value)),
                lease: None,
            };
            let presence = self.layout.key(&KeyLocation::Assigner(self.name.clone()));
            if let Some(TransactionPart { txn, mark, .. }) = parts.last_mut() {
                txn.guards.push((presence, Precondition::Of(lease)));
                txn.puts.push(put);
                *mark = Some(number);
            }
        }
        parts
    }

    // --- time and answers ---

    pub fn wake(&mut self, now: Timestamp, step: &mut StoreStep) {
        self.follow.wake(now, &mut step.asks);
        self.writes.wake(now, &mut step.asks);
        self.custody.wake(now, &mut step.asks);
        self.settle(now, step);
    }

    pub fn take(&mut self, now: Timestamp, answer: Answer, step: &mut StoreStep) {
        let mut came = Vec::new();
        self.writes.take(now, &answer, &mut came, &mut step.asks);
        for (id, came) in came {
            self.came(now, id, came, step);
        }
        self.custody.take(now, &answer, &mut step.asks);
        let mut told = Vec::new();
        self.follow.take(now, answer, &mut told, &mut step.asks);
        let mut news = Vec::new();
        for told in told {
            self.told(now, told, &mut news, step);
        }
        self.tell(news, step);
        self.settle(now, step);
    }

    fn tell(&self, news: Vec<News>, step: &mut StoreStep) {
        if self.telling && !news.is_empty() {
            step.events.push(Event::News(news));
        }
    }

    /// What follows from the time and from all that has come: the lease, claims, the reducer's watch.
    fn settle(&mut self, now: Timestamp, step: &mut StoreStep) {
        match self.custody.live(now) {
            LiveMembers::Yes(lease) if self.lease.as_ref() != Some(&lease) => {
                self.lapse(step);
                self.lease = Some(lease);
                self.present(now, step);
            }
            LiveMembers::Yes(_) => {}
            LiveMembers::No => {
                self.lapse(step);
                self.lease = None;
            }
        }
        if self.telling {
            let until = self.current.unwrap_or(now) + SILENCE;
            if now >= until {
                (self.telling, self.wanted) = (false, false);
                step.events.push(Event::WatchEnded);
            } else {
                step.asks.push(StoreRequest::WakeAt(until));
            }
        }
        if self.follow.seen().is_some() {
            self.claim(now, step);
        }
    }

    /// Its charges are over: they may be in other hands from now on.
    fn lapse(&mut self, step: &mut StoreStep) {
        let lost = std::mem::take(&mut self.mine);
        let news = lost
            .into_keys()
            .map(|slice| News::Owner { slice, on: false })
            .collect();
        self.tell(news, step);
        if self.call.take().is_some() {
            step.events.push(Event::Called(Outcome::Unknown));
        }
        for id in self.writes.give_up() {
            self.purposes.remove(&id);
        }
    }

    fn present(&mut self, now: Timestamp, step: &mut StoreStep) {
        let Some(lease) = self.lease.clone() else {
            return;
        };
        let value = Presence {
            life: lease.0.clone(),
            stamp: self.stamp(),
        };
        let key = self.layout.key(&KeyLocation::Assigner(self.name.clone()));
        let txn = Transaction {
            guards: Vec::new(),
            puts: vec![PutOperation {
                key,
                value: Some(spell(&value)),
                lease: Some(lease),
            }],
        };
        if let Ok(id) = self.writes.push(now, txn, 0, &mut step.asks) {
            self.purposes.insert(id, Purpose::Presence);
        }
    }

    fn claim(&mut self, now: Timestamp, step: &mut StoreStep) {
        let Some(lease) = self.lease.clone() else {
            return;
        };
        // Nobody who is not known to live is to claim: its own presence has to stand first.
        if !self.living.contains(&self.name) {
            return;
        }
        loop {
            let slices = self.custody.claims(now, &self.living, self.claim_most);
            if slices.is_empty() {
                break;
            }
            let presence = self.layout.key(&KeyLocation::Assigner(self.name.clone()));
            let mut txn = Transaction {
                guards: vec![(presence, Precondition::Of(lease.clone()))],
                puts: Vec::new(),
            };
            for slice in &slices {
                let key = self.layout.key(&KeyLocation::Charge(*slice));
                let value = Charge {
                    by: self.name.clone(),
                    stamp: self.stamp(),
                };
                txn.guards.push((key.clone(), Precondition::Absent));
                txn.puts.push(PutOperation {
                    key,
                    value: Some(spell(&value)),
                    lease: Some(lease.clone()),
                });
                // Levels of the one before are taken back.
                let value = spell(&Levels {
                    levels: BTreeMap::new(),
                    stamp: self.stamp(),
                });
                let key = self.layout.key(&KeyLocation::Levels(*slice));
                txn.puts.push(PutOperation {
                    key,
                    value: Some(value),
                    lease: None,
                });
            }
            match self.writes.push(now, txn, 0, &mut step.asks) {
                Ok(id) => drop(self.purposes.insert(id, Purpose::Claim(slices))),
                Err(full) => {
                    slices
                        .iter()
                        .for_each(|slice| self.custody.unclaimed(now, *slice));
                    step.asks
                        .push(StoreRequest::WakeAt(now + full.return_after));
                    break;
                }
            }
        }
        if let Some(next) = self.custody.next().filter(|next| *next > now) {
            step.asks.push(StoreRequest::WakeAt(next));
        }
    }

    fn came(&mut self, now: Timestamp, id: u64, came: Came, step: &mut StoreStep) {
        match (self.purposes.remove(&id), came) {
            (Some(Purpose::Claim(slices)), Came::Refused | Came::Passed) => {
                // One of them was taken: they are tried one by one.
                self.claim_most = 1;
                slices
                    .into_iter()
                    .for_each(|slice| self.custody.unclaimed(now, slice));
            }
            (Some(Purpose::Claim(_)), Came::Done(_)) => {
                self.claim_most = (self.claim_most * 2).min(SLICES)
            }
            (Some(Purpose::Part(lines)), Came::Done(revision)) => {
                for (slice, line) in lines {
                    if let Some(written) = self.mine.get_mut(&slice) {
                        written.line = Some((line, revision));
                    }
                }
                let over = self.call.as_mut().is_some_and(|(parts, _)| {
                    parts.remove(&id);
                    parts.is_empty()
                });
                if over && let Some((_, orders)) = self.call.take() {
                    step.events.push(Event::Called(Outcome::Taken(orders)));
                }
            }
            (Some(Purpose::Part(_)), Came::Refused | Came::Passed) => {
                // A charge has gone, or a line is not what it was: the copy will tell. What follows must not go.
                if let Some((parts, _)) = self.call.take() {
                    for part in self.writes.give_up() {
                        if let Some(Purpose::Claim(slices)) = self.purposes.remove(&part) {
                            slices
                                .into_iter()
                                .for_each(|slice| self.custody.unclaimed(now, slice));
                        }
                    }
                    for part in parts {
                        self.purposes.remove(&part);
                    }
                    step.events.push(Event::Called(Outcome::Throttled));
                    self.follow.read_again(now, &mut step.asks);
                }
            }
            (Some(Purpose::Presence), _) | (None, _) => {}
        }
    }

    // --- what the copy tells ---

    fn told(
        &mut self,
        now: Timestamp,
        told: WatchEvent,
        news: &mut Vec<News>,
        step: &mut StoreStep,
    ) {
        match told {
            WatchEvent::Change(change) => self.change(now, &change, news),
            WatchEvent::Whole { .. } => {
                for slice in 0..self.slices {
                    if !self
                        .follow
                        .held()
                        .contains_key(&self.layout.key(&KeyLocation::Charge(slice)))
                    {
                        self.custody.seen(now, slice, false);
                    }
                }
            }
            WatchEvent::Current { as_of } => {
                self.current = self.current.max(Some(as_of));
                let fresh = now - as_of < SILENCE;
                if self.wanted && !self.telling && fresh {
                    self.telling = true;
                    news.clear();
                    step.events.push(Event::WatchBegun);
                    news.extend(self.stands());
                }
                if fresh {
                    news.push(News::Alive);
                }
            }
            WatchEvent::Broke => {}
            WatchEvent::WentBack { .. } => {
                // What was told may never have been: everything is told anew.
                if std::mem::take(&mut self.telling) {
                    self.wanted = false;
                    step.events.push(Event::WatchEnded);
                }
            }
        }
    }

    fn stands(&self) -> Vec<News> {
        let mut news: Vec<News> = self
            .forwarders
            .keys()
            .map(|&proxy| News::Attach { proxy })
            .collect();
        for (&slice, written) in &self.mine {
            news.extend(given(slice, written));
        }
        news
    }

    fn change(&mut self, now: Timestamp, change: &Change, news: &mut Vec<News>) {
        let Some(place) = self.layout.place(change.key()) else {
            return;
        };
        match (place, change) {
            (KeyLocation::Charge(slice), Change::Put(pair)) if slice < self.slices => {
                self.custody.seen(now, slice, true);
                let own = self.lease.is_some() && pair.lease == self.lease;
                if own && !self.mine.contains_key(&slice) {
                    let written = RecentWrite {
                        line: self.line(slice),
                        levels: BTreeMap::new(),
                    };
                    news.extend(given(slice, &written));
                    self.mine.insert(slice, written);
                } else if !own && self.mine.remove(&slice).is_some() {
                    news.push(News::Owner { slice, on: false });
                }
            }
            (KeyLocation::Charge(slice), Change::Gone { .. }) if slice < self.slices => {
                self.custody.seen(now, slice, false);
                if self.mine.remove(&slice).is_some() {
                    news.push(News::Owner { slice, on: false });
                }
            }
            (KeyLocation::Line(slice), Change::Put(pair)) => {
                let line = self.read_line(pair);
                if let Some(written) = self.mine.get_mut(&slice)
                    && written
                        .line
                        .as_ref()
                        .is_none_or(|(_, at)| *at < pair.changed)
                {
                    written.line = line.map(|line| (line, pair.changed));
                }
            }
            (KeyLocation::Assigner(name), Change::Put(_)) => drop(self.living.insert(name)),
            (KeyLocation::Assigner(name), Change::Gone { .. }) => drop(self.living.remove(&name)),
            (KeyLocation::Forwarder(proxy), Change::Put(pair)) => {
                match read::<Presence>(&pair.value) {
                    Ok(presence) => {
                        let life = (pair.made, presence.life);
                        match self.forwarders.insert(proxy, life.clone()) {
                            Some(before) if before == life => {}
                            Some(_) => {
                                news.extend([News::Detach { proxy }, News::Attach { proxy }])
                            }
                            None => news.push(News::Attach { proxy }),
                        }
                    }
                    Err(_) => self.spoilt += 1,
                }
            }
            (KeyLocation::Forwarder(proxy), Change::Gone { .. }) => {
                let was = self.forwarders.remove(&proxy);
                news.extend(was.map(|_| News::Detach { proxy }));
            }
            (KeyLocation::Answer(proxy, name), Change::Put(pair)) if name == self.name => {
                self.answer(now, proxy, pair, news);
            }
            _ => {}
        }
    }

    fn answer(&mut self, now: Timestamp, proxy: u16, pair: &KeyValue, news: &mut Vec<News>) {
        let Ok(applied) = read::<Applied>(&pair.value) else {
            self.spoilt += 1;
            return;
        };
        let ours = self
            .lease
            .as_ref()
            .is_some_and(|lease| lease.0 == applied.life);
        let its = self
            .forwarders
            .get(&proxy)
            .is_some_and(|(_, life)| *life == applied.by);
        if let Some(sent) = self.sent.get(&applied.mark).filter(|_| ours && its) {
            // Counted until it was heard: no fence may be taken for older than it is.
            let took_ms = (now - *sent).micros() as f64 / 1e3;
            news.push(News::Done {
                proxy,
                mark: applied.mark,
                took_ms,
            });
        }
    }

    fn read_line(&mut self, pair: &KeyValue) -> Option<Line> {
        let line = read::<Line>(&pair.value);
        self.spoilt += u64::from(line.is_err());
        // An owner that can't be read is none: counted as shut, with its revision as the guard.
        Some(line.unwrap_or(Line {
            server: None,
            generation: 0,
            stamp: String::new(),
        }))
    }

    fn line(&mut self, slice: usize) -> Option<(Line, Revision)> {
        let pair = self
            .follow
            .held()
            .get(&self.layout.key(&KeyLocation::Line(slice)))?
            .clone();
        let at = pair.changed;
        self.read_line(&pair).map(|line| (line, at))
    }
}

fn given(slice: usize, written: &RecentWrite) -> Vec<News> {
    let server = written
        .line
        .as_ref()
        .and_then(|(line, _)| line.server.clone());
    let entry = server.map(|server| News::Entry { slice, server });
    [News::Owner { slice, on: true }]
        .into_iter()
        .chain(entry)
        .collect()
}
