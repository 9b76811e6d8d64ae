//! A custodian's work: what it is told, one round of decisions a turn, what has to be written before it is told to
//! anyone.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill::{Assigner, Facts, Listing, Moment, Operation, Span, Standing};
use lynxmill_protocol::{Report, Row, ShardTable, Slice, State, Table, Task};

use crate::holds::Hold;
use crate::orders::Notes;
use crate::split;

/// Keys go from 0 to this.
const LAST_KEY: u32 = 65535;
/// A cold task's part of a warm one's capacity, and what pushes it over, in fair shares: the pages tell neither.
const COLD_FROM: f64 = 0.3;
const TIPS_AT: f64 = 3.0;
/// Room in the channel to edges is no concern of placement here: streams push back by themselves.
const AMPLE: f64 = 1e9;
/// Rows of a beat's answer before neighbours are put together.
const ROWS: usize = 48;
/// Weight of the newest interval in a slice's rate.
const FRESH: f64 = 0.6;

/// What a placement goes by.
#[derive(Clone, Debug)]
pub struct Terms {
    pub service: String,
    /// The least `TargetS` of its routes.
    pub aim: Span,
    pub hold: Span,
    /// Longest hold that anyone may have granted.
    pub longest_hold: Span,
    /// After a dropped stream, and as the quiet time after a take-over.
    pub lease: Span,
    /// How long edges' reports cover.
    pub interval: Span,
    pub drain: Span,
    /// How long tasks may take to be heard of after the first, before slices without owner are given out.
    pub gather: Span,
    pub warm_after: Span,
    /// Slices that it may be cut into where the requests are: rows of a beat's answer are bounded.
    pub most: usize,
}

/// Slices of a service that nobody has owned yet.
pub fn fresh(count: u32) -> Vec<Slice> {
    let step = (LAST_KEY + 1) / count;
    let slice = |i: u32| Slice {
        from: i * step,
        to: if i + 1 == count { LAST_KEY } else { (i + 1) * step - 1 },
        ..Slice::default()
    };
    (0..count).map(slice).collect()
}

/// A row of a beat's answer: from, to, fence, handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    pub from: u32,
    pub to: u32,
    pub fence: u64,
    pub handover: String,
}

/// What a beat says of keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    pub id: String,
    /// From, to, fence.
    pub holdings: Vec<(u32, u32, u64)>,
    /// From, to, handover.
    pub released: Vec<(u32, u32, String)>,
}

/// What has to be carried out after a turn: first the write, then the table.
#[derive(Clone, Debug, Default)]
pub struct PlacementStep {
    pub write: Option<ShardTable>,
    pub table: Option<Table>,
    /// Slices that stay as an edge keeps silent.
    pub stays: usize,
    pub moves: usize,
}

#[derive(Clone, Debug, Default)]
struct Place {
    slice: Slice,
    hold: Hold,
    /// The mark of its shut, while it is shut.
    shut: Option<u64>,
    /// Edges are told of the shut: not before its owner can be told with its next beat.
    told: bool,
    /// Decided, but not on disk yet.
    next: Option<u32>,
    /// Owner and fence of a write that may or may not stand in the register.
    unsure: Option<(String, u64)>,
    handover: String,
    /// The owner was granted it: edges may send.
    granted: bool,
    requests: f64,
    /// Requests a second, of late.
    rate: f64,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    tries: f64,
    lost: f64,
    seconds: f64,
    held: Option<f64>,
}

#[derive(Clone, Debug)]
struct Holder {
    number: u32,
    proxy: usize,
    answered: u64,
    /// Its last beat.
    beat: Option<Moment>,
}

fn facts(terms: &Terms, slices: usize) -> Facts {
    Facts {
        operations: vec![Operation {
            name: "all".to_owned(),
            billed_value: 1.0,
            latency_objective: terms.aim,
        }],
        slices,
        assigners: 1,
        position: Some(0),
        dropped_stay_open: false,
        held_field: Some(0),
        interval: terms.interval,
        zones: 1.0,
        bare: terms.lease.times(4.0),
        lease: terms.lease,
        push_delay: Span::from_micros(20_000),
        push_delay_max: Span::from_micros(200_000),
        lines_per_s: AMPLE,
        drain_grace: terms.drain,
        most_waiting: AMPLE,
        pushes_allowed: f64::INFINITY,
        reload_span: terms.interval,
        cold_from: COLD_FROM,
        tip_multiple: TIPS_AT,
        warm_after: terms.warm_after,
        ..Facts::default()
    }
}

/// Neighbours that are alike make one row: a beat's answer has to stay short.
fn alike(grants: Vec<Grant>) -> Vec<Grant> {
    let mut few: Vec<Grant> = Vec::new();
    for grant in grants {
        let same = |last: &&mut Grant| {
            last.to + 1 == grant.from && last.fence == grant.fence && last.handover == grant.handover
        };
        match few.last_mut().filter(same) {
            Some(last) => last.to = grant.to,
            None => few.push(grant),
        }
    }
    few
}

/// A placement in one custodian's hands.
pub struct PlacementPlanner {
    terms: Terms,
    assigner: Assigner,
    berth: ShardTable,
    places: Vec<Place>,
    holders: BTreeMap<String, Holder>,
    names: BTreeMap<u32, String>,
    /// Edges by name: their proxy's number, and the table that each has answered while joined.
    edges: BTreeMap<String, (usize, u64, bool)>,
    proxies: usize,
    /// The last mark of the assigner, and when each was made.
    mark: u64,
    marked: BTreeMap<u64, Moment>,
    /// The number of the last table that went out, and, for each mark, of the one with all that was shut by it.
    table: u64,
    tables: BTreeMap<u64, u64>,
    listed: BTreeMap<String, (Standing, Option<Moment>)>,
    seen: BTreeMap<String, Seen>,
    reported: Moment,
    dirty: BTreeSet<usize>,
    whole: bool,
    writing: bool,
    /// Stored owners that the assigner has still to be told, at the first turn.
    stored: Option<Vec<Option<u32>>>,
    /// Streams that began or ended since the last turn.
    streams: Vec<(usize, bool)>,
    /// Requests a second of each slice, for an assigner that has just begun.
    rates: Option<Vec<f64>>,
    /// The mark at which the assigner began.
    base: u64,
    /// When the first task was listed, while nobody has owned anything yet.
    first_listed: Option<Moment>,
}

impl PlacementPlanner {
    /// Takes a service over, by what its register holds, in the custodian's own term.
    pub fn new(now: Moment, seed: u64, terms: Terms, berth: ShardTable) -> Self {
        let until = now + terms.longest_hold.times(crate::holds::SLOW_CLOCK) + terms.lease;
        let place = |slice: &Slice| {
            let task = (!slice.owner.is_empty()).then(|| slice.owner.clone());
            Place {
                slice: slice.clone(),
                granted: task.is_some(),
                hold: Hold { task, until },
                ..Place::default()
            }
        };
        let places: Vec<Place> = berth.slices.iter().map(place).collect();
        let mut plan = PlacementPlanner {
            assigner: Assigner::new(seed, now, facts(&terms, berth.slices.len())),
            terms,
            places,
            berth,
            holders: BTreeMap::new(),
            names: BTreeMap::new(),
            edges: BTreeMap::new(),
            proxies: 0,
            mark: 0,
            marked: BTreeMap::new(),
            table: 0,
            tables: BTreeMap::new(),
            listed: BTreeMap::new(),
            seen: BTreeMap::new(),
            reported: now,
            dirty: BTreeSet::new(),
            whole: true,
            writing: false,
            stored: None,
            streams: Vec::new(),
            rates: None,
            base: 0,
            first_listed: None,
        };
        let owners: Vec<String> = plan.places.iter().map(|p| p.slice.owner.clone()).collect();
        let number = |o: &String| (!o.is_empty()).then(|| plan.holder(o).number);
        plan.stored = Some(owners.iter().map(number).collect());
        plan
    }

    /// How long a task holds what a beat's answer names.
    pub fn hold(&self) -> Span {
        self.terms.hold
    }

    pub fn term(&self) -> u64 {
        self.berth.term
    }

    pub fn service(&self) -> &str {
        &self.terms.service
    }

    fn holder(&mut self, id: &str) -> &mut Holder {
        if !self.holders.contains_key(id) {
            let number = self.holders.len() as u32;
            let proxy = self.proxies;
            self.proxies += 1;
            self.names.insert(number, id.to_owned());
            self.holders.insert(id.to_owned(), Holder { number, proxy, answered: 0, beat: None });
            self.streams.push((proxy, true));
        }
        self.holders.get_mut(id).expect("was put there")
    }

    /// A beat of one of the service's tasks: what the task is to hold, from when it sent the beat. None if it may
    /// not be told anything by this custodian.
    pub fn beat(&mut self, now: Moment, told: &Told) -> Vec<Grant> {
        self.holder(&told.id).beat = Some(now);
        self.released(&told.id, &told.released);
        let mut grants = Vec::new();
        for i in 0..self.places.len() {
            let place = &mut self.places[i];
            let owns = place.slice.owner == told.id;
            if owns && place.shut.is_some() {
                // Edges shut it while its owner lets it go: until now it was served.
                if !std::mem::replace(&mut place.told, true) {
                    self.dirty.insert(i);
                }
                continue;
            }
            let other = place.hold.by(now).is_some_and(|task| task != told.id);
            let leaves = place.next.is_some_and(|n| self.names[&n] != told.id);
            if !owns || other || leaves || place.unsure.is_some() {
                continue;
            }
            place.hold.grant(now, &told.id, self.terms.hold);
            let same = told.holdings.iter().filter(|row| row.2 == place.slice.fence);
            let rows = same.map(|row| (row.0, row.1)).collect();
            let holds = split::covered(rows, place.slice.from, place.slice.to);
            if !std::mem::replace(&mut place.granted, true) {
                self.dirty.insert(i);
            }
            let handover = if holds { String::new() } else { place.handover.clone() };
            let Slice { from, to, fence, .. } = place.slice;
            grants.push(Grant { from, to, fence, handover });
        }
        if grants.len() > ROWS { alike(grants) } else { grants }
    }

    /// Keys that a task has let go, in a beat or with its sign-off.
    fn released(&mut self, id: &str, rows: &[(u32, u32, String)]) {
        for place in &mut self.places {
            let Slice { from, to, .. } = place.slice;
            let covered = split::covered(rows.iter().map(|row| (row.0, row.1)).collect(), from, to);
            // What it still is to hold it has not let go for good: such a row is older than its grant.
            let leaves = place.shut.is_some() || place.next.is_some() || place.slice.owner != id;
            if covered && leaves && place.hold.task.as_deref() == Some(id) {
                place.hold.free();
                let row = rows.iter().find(|row| row.0 <= from && from <= row.1);
                place.handover = row.map(|row| row.2.clone()).unwrap_or_default();
            }
        }
    }

    /// A task signed off: it holds nothing any more.
    pub fn signed_off(&mut self, id: &str) {
        for place in self.places.iter_mut().filter(|p| p.hold.task.as_deref() == Some(id)) {
            place.hold.free();
        }
    }

    pub fn edge_joined(&mut self, name: &str) {
        let next = self.proxies;
        let edge = self.edges.entry(name.to_owned()).or_insert((next, 0, false));
        if edge.0 == next {
            self.proxies += 1;
        }
        edge.2 = true;
        edge.1 = 0;
        let proxy = edge.0;
        self.streams.push((proxy, true));
    }

    pub fn edge_parted(&mut self, name: &str) {
        if let Some(edge) = self.edges.get_mut(name) {
            edge.2 = false;
            self.streams.push((edge.0, false));
        }
    }

    pub fn edge_answered(&mut self, name: &str, term: u64, mark: u64) {
        if term == self.berth.term
            && let Some(edge) = self.edges.get_mut(name)
        {
            edge.1 = edge.1.max(mark.min(self.table));
        }
    }

    /// The newest mark that an edge has answered by answering a table.
    fn answered(&self, table: u64) -> u64 {
        self.tables.iter().rev().find(|(_, number)| **number <= table).map_or(0, |(mark, _)| *mark)
    }

    /// Tells edges of shuts whose owner need not be waited for: it holds nothing, leaves, or missed a beat.
    fn tell_shuts(&mut self, now: Moment) {
        for (i, place) in self.places.iter_mut().enumerate().filter(|(_, p)| p.shut.is_some() && !p.told) {
            let owner = &place.slice.owner;
            let holds = place.hold.by(now) == Some(owner.as_str());
            let beat = self.holders.get(owner).and_then(|holder| holder.beat);
            if !holds || beat.is_none_or(|at| now - at > self.terms.gather) {
                place.told = true;
                self.dirty.insert(i);
            }
        }
    }

    /// What an edge saw.
    pub fn report(&mut self, report: &Report) {
        let (holders, seen) = (&self.holders, &mut self.seen);
        for task in report.tasks.iter().filter(|t| holders.contains_key(&t.id)) {
            let sums = seen.entry(task.id.clone()).or_default();
            sums.tries += f64::from(task.tries);
            sums.lost += f64::from(task.lost);
            sums.seconds += f64::from(task.tries - task.lost.min(task.tries)) * task.took_ms / 1000.0;
            sums.held = Some(sums.held.unwrap_or(0.0).max(f64::from(task.held)));
        }
        for slice in report.slices.iter().filter(|s| s.service == self.terms.service) {
            let place = self.places.iter_mut().find(|p| p.slice.from == slice.from);
            place.into_iter().for_each(|p| p.requests += f64::from(slice.requests));
        }
    }

    fn listings(&mut self, now: Moment, tasks: &[Task], empty: &dyn Fn(&str) -> bool) -> Vec<Listing> {
        let mut listed = Vec::new();
        let service = self.terms.service.clone();
        for task in tasks.iter().filter(|t| t.service == service) {
            let standing = match State::try_from(task.state) {
                Ok(State::Ready) if task.silent => Standing::Gone,
                Ok(State::Ready) if empty(&task.zone) => Standing::Draining,
                Ok(State::Ready) => Standing::Ready,
                Ok(State::Draining) => Standing::Draining,
                _ => Standing::Gone,
            };
            let started = (task.cold_left_ms > 0).then(|| {
                let left = i64::from(task.cold_left_ms) * 1000;
                now + Span::from_micros(left - self.terms.warm_after.micros())
            });
            let before = self.listed.get(&task.id).copied();
            // A start is known to the moment only once; what later beats tell differs by their way.
            let started = match (before, started) {
                (Some((_, Some(was))), Some(new)) if (new - was).secs().abs() < 1.0 => Some(was),
                (Some((_, was)), None) => was,
                (_, new) => new,
            };
            if before == Some((standing, started)) {
                continue;
            }
            self.listed.insert(task.id.clone(), (standing, started));
            let number = self.holder(&task.id).number;
            let size = Some(f64::from(task.slots.max(1)));
            listed.push(Listing { task: number, lot: number, standing, size, started });
        }
        listed
    }

    /// Guards against giving all that nobody has owned yet to the first task that beats.
    fn gathering(&mut self, now: Moment, tasks: &[Task]) -> bool {
        if self.places.iter().any(|p| !p.slice.owner.is_empty()) {
            return false;
        }
        if self.first_listed.is_none() && tasks.iter().any(|t| t.service == self.terms.service) {
            self.first_listed = Some(now);
        }
        self.first_listed.is_none_or(|at| now - at < self.terms.gather)
    }

    /// One turn: `tasks` are all that are known, `empty` tells evacuated zones.
    pub fn turn(&mut self, now: Moment, tasks: &[Task], empty: &dyn Fn(&str) -> bool) -> PlacementStep {
        let listed = if self.gathering(now, tasks) { Vec::new() } else { self.listings(now, tasks, empty) };
        let mut answers: Vec<(usize, u64)> = Vec::new();
        // Nobody answers what edges have not been told: one that joins now would get the slice open.
        let told = self.tables.last_key_value().map_or(0, |(mark, _)| *mark);
        for holder in self.holders.values_mut() {
            let id = &self.names[&holder.number];
            let owes = self.places.iter().filter(|p| p.hold.by(now) == Some(id.as_str()));
            let first = owes.filter_map(|p| p.shut).min();
            let cleared = first.map_or(self.mark, |mark| mark.saturating_sub(1)).min(told);
            if cleared > holder.answered {
                holder.answered = cleared;
                answers.push((holder.proxy, cleared));
            }
        }
        answers.extend(self.edges.values().filter(|e| e.2).map(|e| (e.0, self.answered(e.1))));
        let span = now - self.reported;
        let due = span >= self.terms.interval;
        let seen = if due { std::mem::take(&mut self.seen) } else { BTreeMap::new() };
        let demand: Vec<f64> = if due {
            self.reported = now;
            let demand: Vec<f64> = self.places.iter_mut().map(|p| std::mem::take(&mut p.requests)).collect();
            for (place, requests) in self.places.iter_mut().zip(&demand) {
                place.rate += (requests / span.secs() - place.rate) * FRESH;
            }
            // No request at all tells nothing of where they will be: without heat all places look alike.
            if demand.iter().sum::<f64>() > 0.0 { demand } else { Vec::new() }
        } else {
            Vec::new()
        };
        let (streams, stored) = (std::mem::take(&mut self.streams), self.stored.take());
        let rates = self.rates.take();
        let (holders, marked, base) = (&self.holders, &self.marked, self.base);
        let feed = |assigner: &mut Assigner| {
            for (i, number) in stored.into_iter().flatten().enumerate() {
                assigner.custody(i, true);
                if let Some(number) = number {
                    assigner.stored(i, number);
                }
            }
            for (proxy, joined) in streams {
                if joined { assigner.joined(proxy) } else { assigner.parted(proxy) }
            }
            if !listed.is_empty() {
                assigner.listed(false, false, &listed);
            }
            for (proxy, mark) in answers.iter().filter(|(_, mark)| *mark > base) {
                let elapsed = marked.get(mark).map_or(Span::default(), |at| now - *at);
                assigner.answered(*proxy, ((*mark - base) & 0xffff) as u16, elapsed);
            }
            for (id, sums) in &seen {
                let done = (sums.tries - sums.lost).max(1.0);
                let took = Span::from_secs(sums.seconds / done);
                let held: Vec<f64> = sums.held.into_iter().collect();
                assigner.heard(holders[id].number, sums.tries, sums.lost, took, span, &held);
            }
            for (i, rate) in rates.iter().flatten().enumerate() {
                assigner.demand(i, 0, *rate, Span::from_secs(1.0));
            }
            for (i, requests) in demand.iter().enumerate() {
                assigner.demand(i, 0, *requests, span);
            }
            Ok::<(), std::convert::Infallible>(())
        };
        let mut notes = Notes::default();
        let _ = self.assigner.round(now, feed, &mut notes);
        let put = self.carry_out(now, notes);
        if due && put.write.is_none() {
            self.split(now);
        }
        put
    }

    /// Cuts busy slices, while none is on its way: all parts stay with their owner, under its fence, and the
    /// assigner begins anew with them. The register learns of the parts with the next write.
    fn split(&mut self, now: Moment) {
        let still = |p: &Place| p.shut.is_none() && p.next.is_none() && p.unsure.is_none() && p.granted;
        let owners: BTreeSet<&str> = self.places.iter().map(|p| p.slice.owner.as_str()).collect();
        let rates: Vec<f64> = self.places.iter().map(|p| p.rate).collect();
        let busy = split::busy(&self.berth.slices, &rates, owners.len(), self.terms.most);
        if busy.is_empty() || !self.places.iter().all(still) {
            return;
        }
        let mut places = Vec::new();
        for (i, place) in std::mem::take(&mut self.places).into_iter().enumerate() {
            if !busy.contains(&i) {
                places.push(place);
                continue;
            }
            let parts = split::parts(&place.slice);
            let rate = place.rate / parts.len() as f64;
            places.extend(parts.into_iter().map(|slice| Place { slice, rate, ..place.clone() }));
        }
        self.places = places;
        self.berth.slices = self.places.iter().map(|p| p.slice.clone()).collect();
        self.dirty = (0..self.places.len()).collect();
        let numbers =
            self.places.iter().map(|p| self.holders.get(&p.slice.owner).map(|h| h.number)).collect();
        self.stored = Some(numbers);
        self.rates = Some(self.places.iter().map(|p| p.rate).collect());
        self.listed.clear();
        self.streams = self.edges.values().map(|edge| (edge.0, edge.2)).collect();
        self.streams.extend(self.holders.values().map(|holder| (holder.proxy, true)));
        self.base = self.mark;
        let seed = self.berth.term ^ now.micros() as u64;
        self.assigner = Assigner::new(seed, now, facts(&self.terms, self.places.len()));
    }

    fn carry_out(&mut self, now: Moment, notes: Notes) -> PlacementStep {
        if notes.mark.is_some() {
            self.mark += 1;
            self.marked.insert(self.mark, now);
            let old = self.mark.saturating_sub(256);
            self.marked.retain(|mark, _| *mark > old);
        }
        let moves = notes.published.len();
        for (i, number) in notes.published {
            (self.places[i].next, self.places[i].shut) = (Some(number), None);
            self.writing = true;
        }
        // One that was published before, or in this very turn, stays shut once that is written.
        for i in notes.shut {
            (self.places[i].shut, self.places[i].told) = (Some(self.mark), false);
        }
        self.tell_shuts(now);
        let wanted = std::mem::take(&mut self.writing).then(|| self.wanted());
        // The same owners go on: that is on disk already.
        let (same, write) = match wanted {
            Some(berth) if berth == self.berth => (Some(berth), None),
            other => (None, other),
        };
        same.into_iter().for_each(|berth| self.written(berth));
        let table = (!self.dirty.is_empty() || self.whole).then(|| self.next_table());
        let open = self.places.iter().filter(|p| !p.told).filter_map(|p| p.shut).min();
        let told = open.map_or(self.mark, |mark| mark - 1);
        for mark in self.tables.last_key_value().map_or(1, |(mark, _)| mark + 1)..=told {
            self.tables.insert(mark, self.table);
        }
        while self.tables.len() > 256 {
            self.tables.pop_first();
        }
        PlacementStep { write, table, stays: notes.stays.len(), moves }
    }

    /// The register's value with what has been decided.
    fn wanted(&self) -> ShardTable {
        let mut berth = self.berth.clone();
        for (slice, place) in berth.slices.iter_mut().zip(&self.places) {
            if let Some(number) = place.next {
                let owner = &self.names[&number];
                // The same owner goes on under its fence; a new one gets the next, beyond all that may stand.
                match &place.unsure {
                    Some((tried, fence)) if tried == owner => slice.fence = *fence,
                    Some((_, fence)) => slice.fence = fence + 1,
                    None if slice.owner != *owner => slice.fence += 1,
                    None => {}
                }
                slice.owner = owner.clone();
            }
        }
        berth
    }

    /// What was to be written is on disk.
    pub fn written(&mut self, berth: ShardTable) {
        for (i, (slice, place)) in berth.slices.iter().zip(&mut self.places).enumerate() {
            let decided = place.next.is_some_and(|n| self.names[&n] == slice.owner);
            if !decided {
                continue;
            }
            let same = place.slice == *slice;
            place.slice = slice.clone();
            (place.next, place.unsure) = (None, None);
            place.granted = same && place.hold.task.as_deref() == Some(slice.owner.as_str());
            self.dirty.insert(i);
        }
        self.berth = berth;
    }

    /// It could not be written, as far as can be told: again with the next turn.
    pub fn unwritten(&mut self) {
        let tried = self.wanted();
        for (slice, place) in tried.slices.into_iter().zip(&mut self.places) {
            if place.next.is_some() && place.slice != slice {
                place.unsure = Some((slice.owner, slice.fence));
            }
        }
        self.writing = true;
    }

    fn row(&self, i: usize) -> Row {
        let place = &self.places[i];
        let shut = (place.shut.is_some() && place.told) || place.next.is_some() || !place.granted;
        let Slice { from, to, owner, fence } = place.slice.clone();
        Row { from, to, owner, fence, shut }
    }

    fn next_table(&mut self) -> Table {
        self.table += 1;
        let whole = std::mem::take(&mut self.whole);
        let dirty = std::mem::take(&mut self.dirty);
        if whole {
            return self.whole_table();
        }
        let rows = dirty.into_iter().map(|i| self.row(i)).collect();
        let (service, term) = (self.terms.service.clone(), self.berth.term);
        Table { service, term, mark: self.table, whole, rows }
    }

    /// For an edge that has just joined.
    pub fn whole_table(&self) -> Table {
        let rows = (0..self.places.len()).map(|i| self.row(i)).collect();
        let (service, term) = (self.terms.service.clone(), self.berth.term);
        Table { service, term, mark: self.table, whole: true, rows }
    }

    /// Slices on their way, and tasks that own any.
    pub fn counts(&self) -> (usize, usize) {
        let owners: BTreeSet<&str> = self.places.iter().map(|p| p.slice.owner.as_str()).collect();
        (self.places.iter().filter(|p| p.shut.is_some() || p.next.is_some()).count(), owners.len())
    }
}
