//! A simulated sharded service on a clock of its own: custodians one after another, a register, edges, tasks,
//! and the checks that hold at each step. All chance comes from one seed.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_load_balancing::{ShardMap, ShardOwner};
use lynxmill_placement::{
    Grant, HeldShard, Parameters, PlacementPlanner, ReleasedShard, TaskHoldings, initial_slices,
};
use lynxmill_protocol::{
    LoadReport, ShardTable, ShardTableUpdate, SliceObservation, Task, TaskObservation, TaskState,
};
use lynxmill_time::{TimeDelta, Timestamp};

pub(crate) const SERVICE: &str = "kv";
pub(crate) const HOLD: TimeDelta = TimeDelta::from_micros(2_000_000);
pub(crate) const LEASE: TimeDelta = TimeDelta::from_micros(1_000_000);
const STEP: TimeDelta = TimeDelta::from_micros(25_000);
const BEAT: TimeDelta = TimeDelta::from_micros(500_000);
/// A beat without an answer by then was in vain.
const ANSWER: TimeDelta = TimeDelta::from_micros(1_000_000);
/// A second on a clock that runs 2% slow.
const SLOW: f64 = 1.0 / 0.98;
const SLICES: u32 = 8;

pub(crate) fn ms(ms: u64) -> TimeDelta {
    TimeDelta::from_micros(ms as i64 * 1000)
}

pub(crate) fn terms() -> Parameters {
    Parameters {
        service: SERVICE.to_owned(),
        latency_target: ms(500),
        lease_duration: HOLD,
        max_lease_duration: HOLD,
        edge_lease: LEASE,
        interval: ms(1000),
        drain: ms(2000),
        heartbeat_grace: ms(650),
        warm_up: ms(1000),
        max_slices: SLICES as usize,
    }
}

/// SplitMix64.
#[derive(Default)]
pub(crate) struct Dice(pub u64);

impl Dice {
    pub(crate) fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }

    pub(crate) fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    fn span(&mut self, from: u64, to: u64) -> TimeDelta {
        ms(from + self.below(to - from))
    }
}

/// Deliberate faults, to see that the checks find them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Bug {
    #[default]
    None,
    /// Tasks' holds count from the answer, while the custodian counts from the beat.
    HoldFromAnswer,
    /// The custodian takes every clock for exact and nothing for under way.
    ShortMargin,
    /// A custodian goes on granting after its lease.
    Stale,
    /// Owners are granted what has been decided, but not written.
    EarlyGrant,
    /// Silent edges are taken to have answered.
    DeafEdges,
}

struct Custodian {
    plan: PlacementPlanner,
    until: Timestamp,
    /// Cut off from the register.
    cut: bool,
    /// Its machine is slow: no turn until then.
    busy_until: Timestamp,
    /// A write under way: when its outcome is told, and whether as a success.
    writing: Option<(Timestamp, ShardTable, bool)>,
}

#[derive(Default)]
struct Edge {
    joined: bool,
    since: Timestamp,
    silent_until: Timestamp,
    back_at: Timestamp,
    inbox: Vec<(Timestamp, ShardTableUpdate)>,
    slices: ShardMap,
    /// The highest mark of each term that the custodian has heard from it.
    heard: BTreeMap<u64, u64>,
}

#[derive(Clone)]
struct Held {
    to: u32,
    fence: u64,
    until: Timestamp,
    /// When its last work is over, if it is let go.
    leaves: Option<Timestamp>,
}

/// The rows of a grant one by one for each of so many slices: neighbours may come as one row.
fn by_slice(rows: &[Grant], slices: u32) -> Vec<Grant> {
    let width = 65_536 / slices;
    let parts = |row: &Grant| {
        let row = row.clone();
        (row.from..=row.to)
            .step_by(width as usize)
            .map(move |from| Grant {
                from,
                to: from + width - 1,
                ..row.clone()
            })
    };
    rows.iter().flat_map(parts).collect()
}

#[derive(Default)]
struct Actor {
    id: String,
    zone: String,
    rate: f64,
    state: i32,
    up: bool,
    ends_at: Option<Timestamp>,
    frozen_until: Timestamp,
    /// Cut off from the custodian.
    cut_until: Timestamp,
    seq: u64,
    next: Timestamp,
    sent: Option<Timestamp>,
    holds: BTreeMap<u32, Held>,
    seen: BTreeMap<u32, u64>,
    released: Vec<ReleasedShard>,
    /// What members know of it: state, when heard, the newest call.
    known: Option<(i32, Timestamp, u64)>,
}

struct Beat {
    at: Timestamp,
    who: usize,
    sent: Timestamp,
    seq: u64,
    state: i32,
    told: TaskHoldings,
}

struct Answer {
    at: Timestamp,
    who: usize,
    sent: Timestamp,
    rows: Option<Vec<Grant>>,
}

#[derive(Default)]
pub(crate) struct World {
    now: Timestamp,
    dice: Dice,
    bug: Bug,
    register: ShardTable,
    custodian: Option<Custodian>,
    stale: Option<Custodian>,
    free_at: Timestamp,
    writes: Vec<(Timestamp, ShardTable)>,
    edges: BTreeMap<String, Edge>,
    marks: Vec<(Timestamp, String, u64, u64)>,
    tasks: Vec<Actor>,
    beats: Vec<Beat>,
    answers: Vec<Answer>,
    evacuated: Option<String>,
    wild: bool,
    reported: Timestamp,
    // For the checks.
    /// When the owner's hold last began at the latest, if it may hold.
    since: BTreeMap<u32, Timestamp>,
    /// Slices that edges may send to by what they were last told; when the others were shut, by which mark.
    open: BTreeSet<u32>,
    shut: BTreeMap<u32, (u64, Timestamp)>,
    granted: BTreeMap<(u32, u64), String>,
    newest: BTreeMap<u32, u64>,
    pub moves: usize,
    pub terms: u64,
    pub fault: Option<String>,
}

impl World {
    pub(crate) fn new(seed: u64, bug: Bug) -> Self {
        let register = ShardTable {
            slices: initial_slices(SLICES),
            ..ShardTable::default()
        };
        let now = Timestamp::from_secs(100.0);
        let mut world = World {
            now,
            dice: Dice(seed),
            bug,
            register,
            wild: true,
            ..World::default()
        };
        for name in ["e1", "e2", "e3"] {
            world.edges.insert(name.to_owned(), Edge::default());
        }
        (0..3).for_each(|_| world.start());
        world
    }

    fn fail(&mut self, why: String) {
        let at = self.now.secs();
        self.fault.get_or_insert(format!("at {at:.3}: {why}"));
    }

    fn start(&mut self) {
        let n = self.tasks.len();
        let next = self.now + self.dice.span(0, 400);
        self.tasks.push(Actor {
            id: format!("t{n}"),
            zone: if n.is_multiple_of(2) { "za" } else { "zb" }.to_owned(),
            rate: if self.dice.one_in(2) { SLOW } else { 1.0 },
            up: true,
            next,
            ..Actor::default()
        });
    }

    /// Plays so long with faults, then so long in quiet; what was found wrong.
    pub(crate) fn play(&mut self, wild: TimeDelta, quiet: TimeDelta) -> Option<String> {
        let (calm, end) = (self.now + wild, self.now + wild + quiet);
        while self.now < end && self.fault.is_none() {
            if self.wild && self.now >= calm {
                self.calm();
            }
            self.step();
        }
        if self.fault.is_none() {
            self.check_settled();
        }
        self.fault.clone()
    }

    fn calm(&mut self) {
        (self.wild, self.evacuated) = (false, None);
        let now = self.now;
        for edge in self.edges.values_mut() {
            edge.silent_until = now;
            edge.back_at = edge.back_at.min(now);
        }
        self.tasks
            .iter_mut()
            .for_each(|t| (t.frozen_until, t.cut_until) = (now, now));
        let ready = |t: &&Actor| t.up && t.state == TaskState::Ready as i32;
        for _ in self.tasks.iter().filter(ready).count()..2 {
            self.start();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        if self.wild {
            self.mischief();
        }
        self.land_writes();
        self.custody();
        self.run_edges();
        self.run_tasks();
        self.take_beats();
        self.check_holds();
    }

    fn mischief(&mut self) {
        if self.dice.one_in(160) && self.custodian.is_some() {
            self.crash();
        }
        if self.dice.one_in(240)
            && let Some(custodian) = &mut self.custodian
        {
            custodian.cut = true;
        }
        let edge = format!("e{}", 1 + self.dice.below(3));
        let (quiet, away) = (self.dice.span(100, 6000), self.dice.span(50, 3000));
        if self.dice.one_in(100) {
            self.edges.get_mut(&edge).unwrap().silent_until = self.now + quiet;
        }
        if self.dice.one_in(100) && self.edges[&edge].joined {
            let back = self.now + away;
            let dropped = self.edges.get_mut(&edge).unwrap();
            (dropped.joined, dropped.back_at) = (false, back);
            dropped.inbox.clear();
            // Some are back before their old stream is known to have ended.
            if self.dice.one_in(3) {
                dropped.back_at = self.now;
            } else {
                self.custodian
                    .iter_mut()
                    .for_each(|c| c.plan.edge_parted(&edge));
            }
        }
        let up: Vec<usize> = (0..self.tasks.len())
            .filter(|&i| self.tasks[i].up)
            .collect();
        if up.len() < 2 || (up.len() < 5 && self.dice.one_in(60)) {
            return self.start();
        }
        let who = up[self.dice.below(up.len() as u64) as usize];
        let frozen = self.now + self.dice.span(200, 5000);
        match self.dice.below(400) {
            0 if up.len() > 2 => self.tasks[who].up = false,
            1..=3 if up.len() > 2 => self.tasks[who].state = TaskState::Draining as i32,
            4 => self.tasks[who].frozen_until = frozen,
            5..=10 => self.tasks[who].cut_until = frozen,
            11 => self.evacuated = Some("za".to_owned()),
            12..=14 => self.evacuated = None,
            _ => {}
        }
    }

    fn crash(&mut self) {
        self.custodian = None;
        // Its writes may still be under way.
        if self.dice.one_in(2) {
            self.writes.clear();
        }
        let free = if self.dice.one_in(3) { 50 } else { 1000 };
        self.free_at = self.now + self.dice.span(0, free);
    }

    // --- custodian and register ---

    fn land_writes(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = self.writes.drain(..).partition(|w| w.0 <= self.now);
        self.writes = later;
        for (_, berth) in due {
            // Only the newest term may write.
            if berth.term == self.register.term {
                self.check_write(&berth);
                self.register = berth;
            }
        }
    }

    fn take_over(&mut self) {
        self.terms += 1;
        let term = self.register.term + 1;
        self.register = ShardTable {
            term,
            owner: format!("m{term}"),
            ..self.register.clone()
        };
        let mut terms = terms();
        if self.bug == Bug::ShortMargin {
            terms.lease_duration = HOLD.times(0.92);
        }
        let mut plan = PlacementPlanner::new(
            self.now,
            self.dice.below(u64::MAX),
            terms,
            self.register.clone(),
        );
        self.open.clear();
        self.shut.clear();
        let owned = self.register.slices.iter().filter(|s| !s.owner.is_empty());
        self.since = owned.map(|s| (s.from, self.now)).collect();
        for (name, edge) in self.edges.iter_mut().filter(|(_, e)| e.joined) {
            plan.edge_joined(name);
            edge.since = self.now;
        }
        self.push(&plan.complete_update());
        let until = self.now + LEASE;
        self.custodian = Some(Custodian {
            plan,
            until,
            cut: false,
            busy_until: self.now,
            writing: None,
        });
    }

    fn push(&mut self, table: &ShardTableUpdate) {
        for row in &table.entries {
            if !row.closed {
                self.open.insert(row.from);
            } else if self.open.remove(&row.from) {
                self.shut.insert(row.from, (table.sequence, self.now));
            }
        }
        for edge in self.edges.values_mut().filter(|e| e.joined) {
            let least = edge.inbox.last().map_or(self.now, |m| m.0);
            let late = if self.dice.one_in(20) {
                self.dice.span(0, 1500)
            } else {
                self.dice.span(1, 60)
            };
            edge.inbox.push((least.max(self.now + late), table.clone()));
        }
    }

    fn custody(&mut self) {
        let now = self.now;
        if self.custodian.as_ref().is_some_and(|c| now >= c.until) {
            let old = self.custodian.take();
            self.free_at = now;
            self.stale = old.filter(|_| self.bug == Bug::Stale);
        }
        let Some(mut custodian) = self.custodian.take() else {
            if now >= self.free_at {
                self.take_over();
            }
            return;
        };
        if !custodian.cut {
            custodian.until = now + LEASE;
        }
        match custodian.writing.take() {
            Some((at, berth, done)) if at <= now => {
                if done {
                    custodian.plan.written(berth)
                } else {
                    custodian.plan.write_failed()
                }
            }
            other => custodian.writing = other,
        }
        if self.wild && self.dice.one_in(200) {
            custodian.busy_until = now + self.dice.span(0, 900);
        }
        if custodian.writing.is_none() && custodian.busy_until <= now {
            let listed = self.listed();
            let evacuated = self.evacuated.clone();
            let put = custodian
                .plan
                .step(now, &listed, &|zone| evacuated.as_deref() == Some(zone));
            put.table.iter().for_each(|table| self.push(table));
            if let Some(berth) = put.write {
                self.write(&mut custodian, berth);
            }
        }
        self.custodian = Some(custodian);
    }

    /// A write lands or not, and its maker hears of it, or only that it can't tell.
    fn write(&mut self, custodian: &mut Custodian, berth: ShardTable) {
        let late = if self.dice.one_in(5) { 600 } else { 60 };
        let lands = self.now + self.dice.span(5, late);
        let told = lands + self.dice.span(5, 80);
        let fate = if self.wild { self.dice.below(10) } else { 9 };
        let in_time = !custodian.cut && fate != 0;
        if in_time {
            self.writes.push((lands, berth.clone()));
        }
        let known = in_time && fate != 1;
        if self.bug == Bug::EarlyGrant && in_time {
            custodian.plan.written(berth);
        } else {
            custodian.writing = Some((if known { told } else { self.now + ms(700) }, berth, known));
        }
    }

    fn listed(&self) -> Vec<Task> {
        let known = |t: &Actor| {
            let (state, heard, seq) = t.known?;
            Some(Task {
                id: t.id.clone(),
                service: SERVICE.to_owned(),
                zone: t.zone.clone(),
                slots: 4,
                state,
                call_seq: seq,
                timed_out: self.now - heard > BEAT.times(3.0),
                ..Task::default()
            })
        };
        self.tasks.iter().filter_map(known).collect()
    }

    // --- edges ---

    fn run_edges(&mut self) {
        let now = self.now;
        for (name, edge) in &mut self.edges {
            if !edge.joined && edge.back_at <= now {
                (edge.joined, edge.since) = (true, now);
                if let Some(custodian) = &mut self.custodian {
                    custodian.plan.edge_joined(name);
                    edge.inbox
                        .push((now + ms(20), custodian.plan.complete_update()));
                }
            }
            while edge.silent_until <= now && edge.inbox.first().is_some_and(|m| m.0 <= now) {
                let (_, table) = edge.inbox.remove(0);
                if edge.slices.apply(&table) && table.sequence > 0 {
                    let late = if self.dice.one_in(20) {
                        self.dice.span(0, 2500)
                    } else {
                        self.dice.span(1, 60)
                    };
                    self.marks
                        .push((now + late, name.clone(), table.term, table.sequence));
                }
            }
        }
        let Some(custodian) = &mut self.custodian else {
            return;
        };
        if self.bug == Bug::DeafEdges {
            let (term, mark) = (
                custodian.plan.term(),
                custodian.plan.complete_update().sequence,
            );
            self.edges
                .keys()
                .for_each(|name| custodian.plan.edge_acknowledged(name, term, mark));
        }
        for (_, name, term, mark) in self.marks.extract_if(.., |m| m.0 <= now) {
            custodian.plan.edge_acknowledged(&name, term, mark);
            let heard = self
                .edges
                .get_mut(&name)
                .unwrap()
                .heard
                .entry(term)
                .or_default();
            *heard = mark.max(*heard);
        }
        if now - self.reported >= ms(1000) {
            self.reported = now;
            let odd = self.dice.below(self.tasks.len() as u64) as usize;
            let took = |i: usize| if i == odd && self.wild { 400.0 } else { 30.0 };
            let seen = |(i, t): (usize, &Actor)| TaskObservation {
                id: t.id.clone(),
                attempts: 40,
                mean_latency_ms: took(i),
                ..TaskObservation::default()
            };
            let tasks = self
                .tasks
                .iter()
                .enumerate()
                .filter(|(_, t)| t.up)
                .map(seen)
                .collect();
            let slice = |s: &lynxmill_protocol::Slice| SliceObservation {
                service: SERVICE.to_owned(),
                from: s.from,
                requests: 5 + (s.from >> 12),
            };
            let slices = self.register.slices.iter().map(slice).collect();
            custodian.plan.report(&LoadReport {
                rollouts: Vec::new(),
                interval_ms: 1000,
                tasks,
                slices,
            });
        }
    }

    // --- tasks ---

    fn run_tasks(&mut self) {
        let now = self.now;
        for answer in self
            .answers
            .extract_if(.., |a| a.at <= now)
            .collect::<Vec<_>>()
        {
            let late =
                now - answer.sent > ANSWER || self.tasks[answer.who].sent != Some(answer.sent);
            let task = &self.tasks[answer.who];
            if task.up && task.frozen_until <= now && !late {
                self.acknowledged(answer);
            }
        }
        for who in 0..self.tasks.len() {
            let (work, wait) = (self.dice.below(3), self.dice.span(450, 550));
            let lost = self.wild && self.dice.one_in(12);
            let up = if self.wild && self.dice.one_in(15) {
                self.dice.span(0, 1600)
            } else {
                self.dice.span(1, 40)
            };
            let task = &mut self.tasks[who];
            if !task.up || task.frozen_until > now {
                continue;
            }
            task.holds.retain(|_, held| held.until > now);
            let done: Vec<u32> = task
                .holds
                .iter()
                .filter(|(_, h)| h.leaves.is_some_and(|at| at <= now))
                .map(|(f, _)| *f)
                .collect();
            for from in done {
                let held = task.holds.remove(&from).unwrap();
                task.released.push(ReleasedShard {
                    from,
                    to: held.to,
                    handover: format!("{}/{from}/{}", task.id, held.fence),
                });
                task.next = now;
            }
            if task.state == TaskState::Draining as i32 {
                let ends = *task.ends_at.get_or_insert(now + ms(2500));
                if now >= ends {
                    task.up = false;
                    let id = task.id.clone();
                    task.known = Some((TaskState::Gone as i32, now, task.seq + 1));
                    if work > 0 {
                        self.custodian.iter_mut().for_each(|c| c.plan.sign_off(&id));
                        self.free(&id, None);
                    }
                    continue;
                }
            }
            task.sent = task.sent.filter(|sent| now - *sent <= ANSWER);
            if task.sent.is_some() || now < task.next {
                continue;
            }
            task.seq += 1;
            (task.sent, task.next) = (Some(now), now + wait);
            let holdings = task
                .holds
                .iter()
                .map(|(from, h)| HeldShard {
                    from: *from,
                    to: h.to,
                    generation: h.fence,
                })
                .collect();
            let told = TaskHoldings {
                id: task.id.clone(),
                held: holdings,
                released: task.released.clone(),
            };
            let (seq, state) = (task.seq, task.state);
            if !lost && task.cut_until <= now {
                self.beats.push(Beat {
                    at: now + up,
                    who,
                    sent: now,
                    seq,
                    state,
                    told,
                });
            }
        }
    }

    /// Whoever held these keys holds them no more.
    fn free(&mut self, id: &str, from: Option<u32>) {
        let owned =
            |s: &&lynxmill_protocol::Slice| s.owner == id && from.is_none_or(|f| f == s.from);
        let keys: Vec<u32> = self
            .register
            .slices
            .iter()
            .filter(owned)
            .map(|s| s.from)
            .collect();
        self.since.retain(|key, _| !keys.contains(key));
    }

    fn take_beats(&mut self) {
        let now = self.now;
        for beat in self
            .beats
            .extract_if(.., |b| b.at <= now)
            .collect::<Vec<_>>()
        {
            let task = &mut self.tasks[beat.who];
            let cut = task.cut_until > now;
            // What a later call has overtaken is nothing.
            if task.known.is_some_and(|(_, _, seq)| seq > beat.seq) {
                continue;
            }
            task.known = Some((beat.state, now, beat.seq));
            let stale = self.stale.is_some() && self.dice.one_in(2);
            let by = if stale {
                &mut self.stale
            } else {
                &mut self.custodian
            };
            let rows = by
                .as_mut()
                .filter(|c| stale || now < c.until)
                .map(|c| c.plan.heartbeat(now, &beat.told));
            if rows.is_some() && !stale {
                beat.told
                    .released
                    .iter()
                    .for_each(|row| self.free(&beat.told.id, Some(row.from)));
            }
            for grant in rows.iter().flatten().filter(|_| !stale) {
                self.since.insert(grant.from, now);
                self.check_grant(&beat.told.id, grant);
            }
            let lost = self.wild && self.dice.one_in(12);
            let down = if self.wild && self.dice.one_in(4) {
                self.dice.span(0, 1100)
            } else {
                self.dice.span(1, 40)
            };
            if !lost && !cut {
                self.answers.push(Answer {
                    at: now + down,
                    who: beat.who,
                    sent: beat.sent,
                    rows,
                });
            }
        }
    }

    fn acknowledged(&mut self, answer: Answer) {
        let now = self.now;
        let from = if self.bug == Bug::HoldFromAnswer {
            now
        } else {
            answer.sent
        };
        let work = self.dice.span(0, 90);
        let task = &mut self.tasks[answer.who];
        task.sent = None;
        // What it let go since the beat is still to be told.
        let before: Vec<_> = task.released.iter().map(|r| r.from).collect();
        let Some(rows) = answer.rows else { return };
        let rows = by_slice(&rows, self.register.slices.len() as u32);
        task.released.clear();
        for row in &rows {
            if task
                .seen
                .get(&row.from)
                .is_some_and(|seen| *seen > row.generation)
            {
                continue;
            }
            task.seen.insert(row.from, row.generation);
            let until = from + HOLD.times(task.rate);
            if until > now {
                task.holds.insert(
                    row.from,
                    Held {
                        to: row.to,
                        fence: row.generation,
                        until,
                        leaves: None,
                    },
                );
            }
        }
        for (from, held) in &mut task.holds {
            if !rows.iter().any(|row| row.from == *from) {
                held.leaves.get_or_insert(now + work);
            }
        }
        if !before.is_empty() || task.holds.values().any(|h| h.leaves.is_some()) {
            task.next = task.next.min(now + ms(100));
        }
    }

    // --- checks ---

    fn holders(&self, from: u32) -> Vec<&Actor> {
        let holds = |t: &&Actor| t.up && t.holds.get(&from).is_some_and(|h| h.until > self.now);
        self.tasks.iter().filter(holds).collect()
    }

    fn check_holds(&mut self) {
        for i in 0..self.register.slices.len() {
            let from = self.register.slices[i].from;
            let ids: Vec<String> = self.holders(from).iter().map(|t| t.id.clone()).collect();
            if ids.len() > 1 {
                self.fail(format!("slice {from} is held by {ids:?}"));
            }
        }
    }

    fn check_grant(&mut self, id: &str, grant: &Grant) {
        let newest = self.newest.entry(grant.from).or_default();
        let (before, key) = (*newest, (grant.from, grant.generation));
        *newest = before.max(grant.generation);
        let who = self.granted.entry(key).or_insert_with(|| id.to_owned());
        if grant.generation < before || who != id {
            let why = format!(
                "slice {} granted to {id} under fence {}: {before}, {who}",
                grant.from, grant.generation
            );
            self.fail(why);
        }
    }

    /// Owners change only after the former one's hold, and with all edges' answers.
    fn check_write(&mut self, berth: &ShardTable) {
        if berth.slices.len() != self.register.slices.len() {
            // Many tasks need finer slices: only while nobody has owned or holds any.
            let owned = self.register.slices.iter().any(|s| !s.owner.is_empty());
            let held = self.tasks.iter().any(|t| t.up && !t.holds.is_empty());
            if owned || held {
                self.fail("divided anew while slices are owned".to_owned());
            }
            return;
        }
        for i in 0..berth.slices.len() {
            let (old, new) = (self.register.slices[i].clone(), &berth.slices[i]);
            if new.generation < old.generation {
                self.fail(format!(
                    "slice {}: fence {} after {}",
                    old.from, new.generation, old.generation
                ));
            }
            if old.owner == new.owner || old.owner.is_empty() {
                continue;
            }
            self.moves += 1;
            let others = self.holders(old.from).iter().any(|t| t.id != new.owner);
            let lasts = self
                .since
                .remove(&old.from)
                .is_some_and(|at| self.now - at < HOLD.times(SLOW));
            if others || lasts {
                self.fail(format!(
                    "slice {} written to {} in {}'s hold",
                    old.from, new.owner, old.owner
                ));
            }
            let Some((mark, at)) = self.shut.get(&old.from).copied() else {
                continue;
            };
            let owes =
                |e: &&Edge| e.joined && e.since <= at && e.heard.get(&berth.term) < Some(&mark);
            if self.edges.values().any(|e| owes(&e)) {
                self.fail(format!(
                    "slice {} moved while an edge kept silent on mark {mark}",
                    old.from
                ));
            }
        }
    }

    fn check_settled(&mut self) {
        for slice in self.register.slices.clone() {
            let ready =
                |t: &Actor| t.up && t.state == TaskState::Ready as i32 && t.id == slice.owner;
            let held = self.holders(slice.from).iter().any(|t| ready(t));
            let open =
                |e: &Edge| e.slices.lookup(slice.from).1 == ShardOwner::Owner(slice.owner.clone());
            if !held || !self.edges.values().all(open) {
                self.fail(format!(
                    "slice {} of {:?} has not settled",
                    slice.from, slice.owner
                ));
            }
        }
    }
}
