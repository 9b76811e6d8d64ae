//! The assigners' side: their lives, what they are told and what they order; relay, discovery and collectors.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use lynxmill_assigner::Standing;
use lynxmill_assigner_settings::DecodeError;
use lynxmill_assigner_state::{
    Asked, Effect, Endpoint, Epoch, Event, Members, Message, Met, News, Outcome,
};
use lynxmill_recording::{Entry, Life, Log};
use lynxmill_time::{TimeDelta, Timestamp};
use serde_json::json;

use super::{Due, Engine, span};
use crate::chance::For;
use crate::driver::Driver;
use crate::forwarder::Forwarder;
use crate::relay::{Call, Channel};

/// A sign of life on the watch.
const ALIVE: TimeDelta = TimeDelta::from_micros(1_000_000);
/// A call for the list is held so long, and a call whose answer is lost is given up after this.
const HOLD: TimeDelta = TimeDelta::from_micros(1_000_000);
const LOST: TimeDelta = TimeDelta::from_micros(100_000);

/// What forwarders met at a server, or asked for of a slice, since the last report of it.
#[derive(Clone, Copy)]
struct LoadSum {
    tries: u32,
    failed: u32,
    took: TimeDelta,
    since: Timestamp,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Row {
    Met { zone: usize, server: u32 },
    Asked { slice: usize, operation: usize },
}

pub(super) struct Node {
    name: String,
    pub zone: usize,
    life: u16,
    pub alive: bool,
    pub stalled_until: Timestamp,
    wake_at: Option<Timestamp>,
    /// The watch has been asked for, and told what stands.
    watching: bool,
    /// Version of the list that its agent holds, and the call that waits for a newer one.
    pub agent: u64,
    asking: Option<(u64, u32)>,
    asks: u32,
    /// Servers it has been told drain or are gone, and when.
    pub informed: BTreeMap<u32, Timestamp>,
    /// When the news of each forwarder's leaving reach it.
    pub parting: Vec<Timestamp>,
    pub channel: Channel,
    pub lost_calls: VecDeque<bool>,
    /// This share of reports comes spoilt until then.
    pub spoil: (f64, Timestamp),
    sums: BTreeMap<Row, LoadSum>,
    last_sum: BTreeMap<Row, Timestamp>,
}

impl Node {
    pub(super) fn new(of: &lynxmill_recording::Assigner, forwarders: usize) -> Self {
        Node {
            name: of.name.clone(),
            zone: of.zone.into(),
            life: 0,
            alive: false,
            stalled_until: Timestamp::default(),
            wake_at: None,
            watching: false,
            agent: 0,
            asking: None,
            asks: 0,
            informed: BTreeMap::new(),
            parting: vec![Timestamp::default(); forwarders],
            channel: Channel::new(forwarders),
            lost_calls: VecDeque::new(),
            spoil: (0.0, Timestamp::default()),
            sums: BTreeMap::new(),
            last_sum: BTreeMap::new(),
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.name
    }

    pub(super) fn of(&self, assigner: usize) -> Life {
        Life {
            assigner: assigner as u16,
            life: self.life,
        }
    }
}

impl<D: Driver> Engine<'_, D> {
    fn node(&mut self, of: Life) -> Option<&mut Node> {
        let node = &mut self.nodes[usize::from(of.assigner)];
        (node.alive && node.life == of.life).then_some(node)
    }

    pub(super) fn lives(&mut self, of: Life) -> bool {
        self.node(of).is_some()
    }

    /// Whether a server stands as any slice's owner.
    pub(super) fn owns(&self, server: u32) -> bool {
        self.store
            .slices
            .iter()
            .any(|slice| slice.line.is_some_and(|line| line.server == server))
    }

    /// Silent servers whose last slice has been shut by now.
    fn rid_of_silent(&mut self, now: Timestamp) {
        let open: Vec<u32> = self
            .silent
            .iter()
            .filter(|(_, (_, rid))| rid.is_none())
            .map(|(server, _)| *server)
            .collect();
        for server in open {
            if !self.owns(server)
                && let Some((at, rid)) = self.silent.get_mut(&server)
            {
                *rid = Some(now - *at);
            }
        }
    }

    fn note(&mut self, of: Life, entry: Entry) {
        let log = Log {
            at: self.agenda.now().micros(),
            of,
            entry,
        };
        self.course.note(&log);
        if let Some(kept) = &mut self.log {
            kept.push(log);
        }
    }

    // --- lives ---

    pub(super) fn start(&mut self, assigner: usize) -> Result<(), DecodeError> {
        let now = self.agenda.now();
        let known = self.members(self.nodes[assigner].agent, 0, true);
        let node = &mut self.nodes[assigner];
        (node.life, node.alive, node.watching, node.wake_at) = (node.life + 1, true, false, None);
        (node.asking, node.stalled_until) = (None, now);
        node.informed.values_mut().for_each(|at| *at = now);
        node.sums.clear();
        node.last_sum.clear();
        let of = node.of(assigner);
        let name = node.name.clone();
        let seed = self.draw(For::Seed, assigner as u64, of.life.into()).word();
        let mut configuration = self.configuration.clone();
        let keys = [
            ("name", json!(name)),
            ("seed", json!(format!("{seed:x}"))),
            ("known", json!(known)),
        ];
        for (key, value) in keys {
            configuration[key] = value;
        }
        if let Some(settings) = configuration.get_mut("settings") {
            settings["position"] = json!(assigner);
        }
        let configuration = configuration.to_string();
        let epoch = Epoch {
            unix_ms: self.day.began_ms,
        };
        self.driver.start(of, now, epoch, &configuration)?;
        self.note(of, Entry::Started(configuration));
        self.member_begins(of);
        self.tell(of, Event::Begin)?;
        for zone in 0..self.day.zones.len() {
            self.tell(of, Event::Opened(zone as u64))?;
            self.tell(
                of,
                Event::Said(zone as u64, Message::Zone(self.day.zones[zone].clone())),
            )?;
        }
        self.agenda.at(now + self.terms.interval, Due::Report(of));
        Ok(())
    }

    pub(super) fn assigner_dies(&mut self, a: usize) {
        let now = self.agenda.now();
        if !self.nodes[a].alive {
            return;
        }
        let of = self.nodes[a].of(a);
        self.nodes[a].alive = false;
        self.nodes[a].channel.clear(now);
        self.driver.end(of);
        for f in 0..self.forwarders.len() {
            self.forwarders[f].part(now, a);
            self.nodes[a].parting[f] = now;
        }
        self.agenda
            .at(now + span(self.day.link.takeover), Due::Takeover(of));
    }

    pub(super) fn assigner_returns(&mut self, a: usize) -> Result<(), DecodeError> {
        if self.nodes[a].alive {
            return Ok(());
        }
        self.start(a)?;
        let now = self.agenda.now();
        for f in 0..self.forwarders.len() {
            let mut draw = self.draw(For::Delay, f as u64, now.micros() as u64);
            let after = span(self.day.link.redial).times(draw.between(0.1, 1.0));
            self.agenda.at(now + after, Due::Dial(f, a));
        }
        self.agenda.at(
            now + span(self.day.link.takeover),
            Due::GiveBack(self.nodes[a].of(a)),
        );
        Ok(())
    }

    /// Slices of one that is still dead go to the others in turn; without any they wait.
    pub(super) fn take_over(&mut self, of: Life) {
        let from = usize::from(of.assigner);
        if self.nodes[from].alive && self.nodes[from].life == of.life {
            return;
        }
        let alive: Vec<usize> = (0..self.nodes.len())
            .filter(|&a| self.nodes[a].alive)
            .collect();
        let slices: Vec<usize> = self.store.in_charge(from).collect();
        let to = |slice: usize| (!alive.is_empty()).then(|| alive[slice % alive.len()]);
        self.give(slices.into_iter().map(|slice| (slice, to(slice))).collect());
    }

    /// One that is back gets its own.
    pub(super) fn give_back(&mut self, of: Life) {
        if self.node(of).is_some() {
            let a = usize::from(of.assigner);
            let own = (0..self.day.owners.len()).filter(|&s| usize::from(self.day.owners[s]) == a);
            let away: Vec<(usize, Option<usize>)> = own
                .filter(|&s| self.store.charge[s] != Some(a))
                .map(|s| (s, Some(a)))
                .collect();
            self.give(away);
        }
    }

    fn give(&mut self, slices: Vec<(usize, Option<usize>)>) {
        let now = self.agenda.now();
        for &(slice, to) in &slices {
            if let Some(from) = self.store.charge[slice].filter(|&from| Some(from) != to) {
                self.news_at(from, now, News::Owner { slice, on: false });
            }
            self.store.give(now, slice, to);
            if let Some(to) = to {
                self.news_at(to, now, News::Owner { slice, on: true });
                if let Some(line) = self.store.slices[slice].line {
                    let server = self.servers[line.server as usize].kind().name.clone();
                    self.news_at(to, now, News::Entry { slice, server });
                }
            }
        }
        for f in (0..self.forwarders.len())
            .filter(|&f| self.forwarders[f].alive)
            .collect::<Vec<_>>()
        {
            self.handed(f, &slices);
        }
    }

    // --- what they are told ---

    /// Tells one event at once, or when a stall is over, and carries out what it asks for.
    pub(super) fn tell(&mut self, of: Life, event: Event) -> Result<(), DecodeError> {
        let now = self.agenda.now();
        let Some(node) = self.node(of) else {
            return Ok(());
        };
        if node.stalled_until > now {
            let until = node.stalled_until;
            self.agenda.at(until, Due::Tell(of, event));
            return Ok(());
        }
        let mut effects = Vec::new();
        self.note(of, Entry::Heard(event.clone()));
        self.member_saw(of, &event);
        self.driver.tell(of, now, event, &mut effects)?;
        for effect in effects {
            self.effect(of, effect)?;
        }
        Ok(())
    }

    pub(super) fn wake(&mut self, of: Life, at: Timestamp) -> Result<(), DecodeError> {
        let now = self.agenda.now();
        let Some(node) = self.node(of) else {
            return Ok(());
        };
        if node.wake_at != Some(at) {
            return Ok(());
        }
        if node.stalled_until > now {
            let until = node.stalled_until;
            self.agenda.at(until, Due::Wake(of, at));
            return Ok(());
        }
        node.wake_at = None;
        self.tell(of, Event::Wake)
    }

    fn effect(&mut self, of: Life, effect: Effect) -> Result<(), DecodeError> {
        let now = self.agenda.now();
        let a = usize::from(of.assigner);
        match effect {
            Effect::WakeAt(at) => {
                let at = at.max(now);
                if self.nodes[a].wake_at != Some(at) {
                    self.nodes[a].wake_at = Some(at);
                    self.agenda.at(at, Due::Wake(of, at));
                }
            }
            Effect::Watch => self.watch(of),
            Effect::Call(body) => {
                let call: Call = serde_json::from_str(&body).map_err(|e| format!("a call: {e}"))?;
                self.calls += 1;
                self.orders += call.ops.len() as u64;
                self.note(of, Entry::Ordered(body));
                self.agenda
                    .at(now + span(self.day.link.call / 2), Due::Carry(of, call));
            }
            Effect::Ask(from) => self.ask_list(of, from),
            // The replay's addresses don't move, and collectors that are closed would be a fault to be seen.
            Effect::Close(id, reason) => {
                return Err(format!("connection {id} was closed: {reason:?}"));
            }
            Effect::MoveRelay(_)
            | Effect::MoveDiscovery(_)
            | Effect::LeaveWatch
            | Effect::NextWatch
            | Effect::LeaveNext
            | Effect::Succeed
            | Effect::HandTold(..)
            | Effect::HandStep(_)
            | Effect::Keep(_)
            | Effect::Saw { .. } => {}
        }
        Ok(())
    }

    fn tell_at(&mut self, of: Life, at: Timestamp, event: Event) {
        self.agenda.at(at, Due::Tell(of, event));
    }

    // --- the relay ---

    fn watch(&mut self, of: Life) {
        let a = usize::from(of.assigner);
        let at = self.agenda.now() + span(self.day.link.same_zone);
        self.tell_at(of, at, Event::WatchBegun);
        let joined = |(_, f): &(usize, &Forwarder)| f.alive && f.streams[a].joined;
        let attach = |(f, _): (usize, &Forwarder)| News::Attach { proxy: f as u16 };
        let mut news: Vec<News> = self
            .forwarders
            .iter()
            .enumerate()
            .filter(joined)
            .map(attach)
            .collect();
        for slice in self.store.in_charge(a) {
            news.push(News::Owner { slice, on: true });
            let entry = |line: crate::forwarder::Line| News::Entry {
                slice,
                server: self.servers[line.server as usize].kind().name.clone(),
            };
            news.extend(self.store.slices[slice].line.map(entry));
        }
        news.push(News::Alive);
        self.tell_at(of, at, Event::News(news));
        self.nodes[a].watching = true;
        self.agenda.at(at + ALIVE, Due::Alive(of));
    }

    pub(super) fn alive(&mut self, of: Life) {
        if self.node(of).is_some() {
            let now = self.agenda.now();
            self.tell_at(of, now, Event::News(vec![News::Alive]));
            self.agenda.at(now + ALIVE, Due::Alive(of));
        }
    }

    /// News for whoever watches; a watch that begins later is told what stands then.
    pub(super) fn news_at(&mut self, a: usize, at: Timestamp, news: News) {
        let node = &self.nodes[a];
        if node.alive && node.watching {
            let (of, way) = (node.of(a), span(self.day.link.same_zone));
            self.tell_at(of, at + way, Event::News(vec![news]));
        }
    }

    pub(super) fn carry(&mut self, of: Life, call: &Call) {
        let now = self.agenda.now();
        let a = usize::from(of.assigner);
        let back = now + span(self.day.link.call - self.day.link.call / 2);
        let lost = self.nodes[a].lost_calls.pop_front();
        if lost == Some(false) {
            return self.tell_at(of, now + LOST, Event::Called(Outcome::Unknown));
        }
        let operations = &self.terms.operations;
        let named = |name: &str| {
            let all = 0..operations.len();
            all.filter(|&k| name == "*" || operations[k].name == name)
                .collect::<Vec<_>>()
        };
        let listed = |name: &str| {
            let server = *self.names.get(name)?;
            self.listed
                .iter()
                .any(|(known, ..)| *known == server)
                .then_some(server)
        };
        let carried = self.store.carry_out(now, a, &call.ops, listed, named);
        self.moves += carried.moves as u64;
        self.rid_of_silent(now);
        let outcome = Outcome::Taken(carried.taken);
        match lost {
            Some(_) => self.tell_at(of, now + LOST, Event::Called(Outcome::Unknown)),
            None => self.tell_at(of, back, Event::Called(outcome)),
        }
        if carried.message.lines() > 0 && self.nodes[a].alive {
            self.spread(a, Rc::new(carried.message));
        }
    }

    /// One message for each joined forwarder.
    fn spread(&mut self, a: usize, message: Rc<crate::forwarder::Message>) {
        let now = self.agenda.now();
        let mut waiting: f64 = 0.0;
        for f in 0..self.forwarders.len() {
            let stream = &self.forwarders[f].streams[a];
            if !self.forwarders[f].alive || !stream.joined {
                continue;
            }
            let epoch = stream.epoch;
            let sent = self.nodes[a].channel.send(now, f, &message, &self.terms);
            waiting = waiting.max(sent.waiting);
            self.checks
                .messages(now, sent.messages, self.terms.messages, f);
            let mut draw = self.draw(For::Delay, f as u64, now.micros() as u64);
            // Mostly about the mean, now and then up to the longest.
            let unit = draw.unit();
            let usual = self.terms.delay.times(0.5 + unit);
            let way = if draw.unit() < 0.9 {
                usual
            } else {
                self.terms.delay_most.times(0.5 + 0.5 * unit)
            };
            let at = self.nodes[a]
                .channel
                .arrives(f, sent.leaves + way.min(self.terms.delay_most));
            self.agenda
                .at(at, Due::Deliver(f, a, epoch, message.clone()));
        }
        self.checks
            .channel(now, waiting, self.terms.most_waiting, a);
    }

    // --- discovery ---

    pub(super) fn list(&mut self, server: u32, standing: Standing, since_ms: f64, after: i64) {
        self.listed.push((server, standing, since_ms));
        let index = self.listed.len() as u64;
        let now = self.agenda.now();
        let (lag, until) = self.lag;
        let after = span(after) + if now < until { lag } else { span(0) };
        for a in 0..self.nodes.len() {
            self.agenda.at(now + after, Due::Agent(a, index));
        }
    }

    pub(super) fn agent(&mut self, a: usize, index: u64) {
        let now = self.agenda.now();
        let node = &mut self.nodes[a];
        if index <= node.agent {
            return;
        }
        for (server, standing, _) in &self.listed[node.agent as usize..index as usize] {
            if *standing == Standing::Ready {
                node.informed.remove(server);
            } else {
                node.informed.entry(*server).or_insert(now);
            }
        }
        node.agent = index;
        if let Some((from, _)) = node.asking.take_if(|(from, _)| index > *from) {
            self.answer_list(a, from);
        }
    }

    fn members(&self, index: u64, from: u64, whole: bool) -> Members {
        let mut newest: BTreeMap<u32, (Standing, f64)> = BTreeMap::new();
        for (server, standing, since) in &self.listed[from as usize..index as usize] {
            // What merely changes its standing keeps its start.
            let since = if *standing == Standing::Ready {
                *since
            } else {
                self.since_of(*server)
            };
            newest.insert(*server, (*standing, since));
        }
        let told =
            |(_, (standing, _)): &(u32, (Standing, f64))| !whole || *standing != Standing::Gone;
        let endpoint = |(server, (standing, since_ms)): (u32, (Standing, f64))| {
            let kind = self.servers[server as usize].kind();
            Endpoint {
                name: kind.name.clone(),
                standing,
                weight: Some(kind.weight),
                since_ms,
            }
        };
        Members {
            index,
            snapshot: whole,
            endpoints: newest.into_iter().filter(told).map(endpoint).collect(),
        }
    }

    fn since_of(&self, server: u32) -> f64 {
        let ready =
            |(s, standing, _): &&(u32, Standing, f64)| *s == server && *standing == Standing::Ready;
        self.listed
            .iter()
            .rev()
            .find(ready)
            .map_or(0.0, |(_, _, since)| *since)
    }

    fn ask_list(&mut self, of: Life, from: Option<u64>) {
        let a = usize::from(of.assigner);
        let now = self.agenda.now();
        let node = &mut self.nodes[a];
        match from {
            Some(from) if from >= node.agent => {
                node.asks += 1;
                node.asking = Some((from, node.asks));
                let asked = node.asks;
                self.agenda.at(now + HOLD, Due::Held(of, asked));
            }
            Some(from) => self.answer_list(a, from),
            None => {
                let members = self.members(self.nodes[a].agent, 0, true);
                self.tell_at(
                    of,
                    now + span(self.day.link.same_zone),
                    Event::Listed(members),
                );
            }
        }
    }

    fn answer_list(&mut self, a: usize, from: u64) {
        let node = &self.nodes[a];
        if node.alive {
            let members = self.members(node.agent, from, false);
            let at = self.agenda.now() + span(self.day.link.same_zone);
            self.tell_at(node.of(a), at, Event::Listed(members));
        }
    }

    /// A call for the list has been held as long as it may be: nothing is new.
    pub(super) fn held_long(&mut self, of: Life, asked: u32) {
        let Some(node) = self.node(of) else { return };
        if let Some((from, _)) = node.asking.take_if(|(_, count)| *count == asked) {
            self.answer_list(of.assigner.into(), from);
        }
    }

    // --- collectors ---

    fn sum(&mut self, slice: usize, row: Row) -> Option<&mut LoadSum> {
        let now = self.agenda.now();
        let node = &mut self.nodes[self.store.charge[slice]?];
        let since = node.last_sum.get(&row).copied().unwrap_or(now);
        Some(node.sums.entry(row).or_insert(LoadSum {
            tries: 0,
            failed: 0,
            took: span(0),
            since,
        }))
    }

    pub(super) fn met(
        &mut self,
        zone: usize,
        slice: usize,
        server: u32,
        lost: bool,
        took: TimeDelta,
    ) {
        if let Some(sum) = self.sum(slice, Row::Met { zone, server }) {
            sum.tries += 1;
            if lost {
                sum.failed += 1;
            } else {
                sum.took = sum.took + took;
            }
        }
    }

    pub(super) fn demanded(&mut self, slice: usize, operation: usize) {
        if let Some(sum) = self.sum(slice, Row::Asked { slice, operation }) {
            sum.tries += 1;
        }
    }

    /// Reports leave each interval, the oldest sums first, as many as an assigner takes in; the rest adds up.
    pub(super) fn report(&mut self, of: Life) {
        let now = self.agenda.now();
        let interval = self.terms.interval;
        let most = (self.terms.ingest * interval.secs()).max(1.0) as usize;
        let mut draw = self.draw(For::Spoilt, of.assigner.into(), now.micros() as u64);
        let Some(node) = self.node(of) else { return };
        let (share, until) = node.spoil;
        let share = if now < until { share } else { 0.0 };
        let mut rows: Vec<(Timestamp, Row)> = node
            .sums
            .iter()
            .map(|(row, sum)| (sum.since, *row))
            .collect();
        rows.sort_unstable();
        let mut said = Vec::new();
        for (_, row) in rows.into_iter().take(most) {
            let Some(sum) = node.sums.remove(&row) else {
                continue;
            };
            node.last_sum.insert(row, now);
            said.push((row, sum));
        }
        let at = now + span(self.day.link.report);
        for (row, sum) in said {
            let span_ms = (now - sum.since).max(interval).micros() as f64 / 1e3;
            let (id, message) = match row {
                Row::Met { zone, server } => {
                    let good = f64::from(sum.tries - sum.failed);
                    let mean_ms = if good > 0.0 {
                        sum.took.micros() as f64 / 1e3 / good
                    } else {
                        0.0
                    };
                    let met = Met {
                        zone: self.day.zones[zone].clone(),
                        server: self.servers[server as usize].kind().name.clone(),
                        tries: sum.tries.into(),
                        failed: sum.failed.into(),
                        mean_ms,
                        span_ms,
                        load: if good > 0.0 {
                            self.load(server)
                        } else {
                            Vec::new()
                        },
                    };
                    (zone, Message::Met(met))
                }
                Row::Asked { slice, operation } => {
                    let operation = self.terms.operations[operation].name.clone();
                    (
                        0,
                        Message::Asked(Asked {
                            slice,
                            operation,
                            tries: sum.tries.into(),
                            span_ms,
                        }),
                    )
                }
            };
            let spoilt = share > 0.0 && draw.unit() < share;
            let message = if spoilt {
                Message::Spoilt("cut short".to_owned())
            } else {
                message
            };
            self.tell_at(of, at, Event::Said(id as u64, message));
        }
        self.agenda.at(now + interval, Due::Report(of));
    }

    fn load(&self, server: u32) -> Vec<(String, f64)> {
        let server = &self.servers[server as usize];
        let cores = f64::from(server.kind().cores);
        let value = |field: &String| match field.as_str() {
            "outstanding" => Some(server.in_hand() as f64),
            "backlog" => Some((server.in_hand() as f64 - cores).max(0.0)),
            "utilization" => Some((server.in_hand() as f64 / cores).min(1.0)),
            _ => None,
        };
        self.report_fields
            .iter()
            .filter_map(|field| Some((field.clone(), value(field)?)))
            .collect()
    }
}
