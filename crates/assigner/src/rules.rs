//! Every decision of lynxmill. An adapter makes one `Assigner` per instance with `new` and calls `round` once
//! for each batch: the feed it passes in calls the method of each event (`listed`, `heard`, `answered`, ...),
//! which only takes note, and then the round decides and writes through the `Orders` it was given. The
//! interface is `Orders` in orders.rs, `Facts` and `Listing` in facts.rs, `Timestamp` and `TimeDelta` in `lynxmill-time`.

use std::collections::{BTreeMap, BTreeSet};

use crate::facts::{Facts, Listing, Seen, Standing};
use crate::fleet::Fleet;
use crate::kept::{Handover, Sent, Slice, Stream};
use crate::orders::Orders;
use lynxmill_random::Pcg;
use lynxmill_time::{TimeDelta, Timestamp};

/// A server is slow when its answers take this many times the median (the design's figure).
const SLOW: f64 = 2.0;
/// A sick server keeps this part of a fair share; others are well while all let in this much on average.
const ROOMY: f64 = 0.33;
const REFUSES: f64 = 0.9;
/// Successes in a row that must be missing, from all zones, before a server is suspect.
const LOST_RUN: f64 = 8.0;
/// The same for one that the list has dropped or others doubt, as a part: own eyes must see it too.
const DROPPED: f64 = 0.25;
/// Targets whose load lies within this ratio of the best are drawn by chance, so that assigners don't herd.
const NEAR: f64 = 1.1;
/// Fair shares, by its warmth, that a cold server may be given, as part of the multiple that pushes it over.
const COLD_SHARE: f64 = 0.55;
/// Intervals that a server must stay slow before the mover acts; more where levels give relief first.
const SLOW_FOR: f64 = 4.0;
const RELIEVED_FOR: f64 = 16.0;
/// Parts of the messages per proxy up to which orders may be written: drains, owners to publish, all else.
const FOR_DRAIN: f64 = 1.0;
const FOR_OWNER: f64 = 0.85;
const FOR_REST: f64 = 0.6;
/// Part of the lines allowed to wait that drains may use, and of what leaves in time for a drain behind it.
const MOST_WAITING: f64 = 0.85;
const SPARED: f64 = 0.6;
const BEGUN: f64 = 0.6;
/// Messages but those of drains wait for company until the channel could have sent mere heads so many times.
const HEADS: f64 = 3.0;
/// Up to this part drains need not even keep the spacing that makes the messages last.
const PLENTY: f64 = 0.3;
/// A server is strained when its answers take this part of the usual latency objective, and calm under that
/// part of it; then its admission is cut (the dearest operation keeps a least level) or lifted by so much a
/// step. In an overload its cores are as busy as this.
const LATE: f64 = 0.45;
const CALM: f64 = 0.6;
const CUT: f64 = 0.31;
const LEAST: f64 = 0.9;
const LIFT: f64 = 0.05;
const BUSY: f64 = 0.75;
/// Part of the time within which the list must be asked for, after which a failed call is made again.
const ASK_AGAIN: f64 = 0.15;
/// Part of the time that a slice may be bare after which it goes before hotter ones.
const LONG_BARE: f64 = 0.2;
/// Weight of an interval's sum in a running mean.
const FRESH: f64 = 0.5;
/// Intervals after which a sum counts half, after which it is too old, and tries that make a mean.
const FADE: f64 = 2.0;
const STALE: f64 = 8.0;
const ENOUGH: f64 = 6.0;
const NEVER: Timestamp = Timestamp::from_micros(i64::MAX / 4);

#[derive(Default)]
pub struct Assigner {
    facts: Facts,
    chance: Pcg,
    born: Timestamp,
    now: Timestamp,
    fleet: Fleet,
    slices: Vec<Slice>,
    /// Slices on their way.
    moving: BTreeSet<usize>,
    streams: Vec<Stream>,
    /// When the last parted of those rid of what was shut up to a mark who owe the next; `NEVER` if not.
    owing: BTreeMap<u64, Timestamp>,
    /// The newest mark that is known to be in the store: who joins now reads what came before it.
    shown: u64,
    mark: u64,
    sent: Vec<Sent>,
    lines: f64,
    joined: f64,
    waiting: f64,
    unsent: f64,
    share: f64,
    rates: Vec<f64>,
    heat: Vec<f64>,
    load: Vec<f64>,
    others: Vec<f64>,
    cold_fair: f64,
    last_step: Timestamp,
    /// How many operations are dearer than each.
    dearer: Vec<f64>,
    wake_at: Option<Timestamp>,
    subscribed: bool,
    ask_at: Timestamp,
}

impl Assigner {
    pub fn new(seed: u64, now: Timestamp, facts: Facts) -> Self {
        let absent = Stream {
            parted: now,
            ..Stream::default()
        };
        // Billed value for the work, of which the latency objective is the best measure told.
        let worth = |k: usize| {
            facts.operations[k].billed_value / facts.operations[k].latency_objective.secs()
        };
        let kinds = 0..facts.operations.len();
        let dearer = |k: usize| {
            kinds
                .clone()
                .filter(|&o| (worth(o), k) > (worth(k), o))
                .count() as f64
        };
        let dearer = kinds.clone().map(dearer).collect();
        Assigner {
            chance: Pcg::new(seed),
            born: now,
            now,
            slices: vec![Slice::default(); facts.slices],
            streams: vec![absent; facts.proxies],
            last_step: now,
            dearer,
            subscribed: !facts.list_on_request,
            ask_at: now,
            facts,
            ..Assigner::default()
        }
    }

    /// One round: the feed notes all that came in, then the decisions go to `out`.
    pub fn round<E>(
        &mut self,
        now: Timestamp,
        feed: impl FnOnce(&mut Self) -> Result<(), E>,
        out: &mut impl Orders,
    ) -> Result<(), E> {
        self.now = now;
        feed(self)?;
        self.decide(out);
        Ok(())
    }

    pub fn operation(&self, name: &str) -> Option<usize> {
        self.facts.operations.iter().position(|o| o.name == name)
    }

    /// The list, whole or only what changed; one `remembered` from before a start may be out of date.
    pub fn listed(&mut self, complete: bool, remembered: bool, entries: &[Listing]) {
        self.subscribed |= !remembered;
        if complete {
            for i in self.all() {
                if !entries.iter().any(|e| e.task == self.fleet.task[i]) {
                    self.stand(i, Standing::Gone);
                }
            }
        }
        for entry in entries {
            let i = self.fleet.at(entry.task, self.now);
            self.stand(i, entry.standing);
            self.fleet.lot[i] = entry.lot;
            self.fleet.size[i] =
                entry.size.filter(|&s| s > 0.0).unwrap_or(1.0) * self.fleet.weight[i];
            if entry.started != self.fleet.started[i] {
                self.fleet.started[i] = entry.started;
                self.fleet.forget_health(i);
                self.fleet.admit[i] = self.usual_admission();
            }
        }
        self.forget();
    }

    /// Guards the memory against every server ever listed: of those that have gone and own nothing no more
    /// are kept than there are others.
    fn forget(&mut self) {
        while self.usables().count() * 2 < self.all().len() {
            let owned = |i: usize| self.slices.iter().any(|s| s.owner == Some(i));
            let gone =
                |&i: &usize| self.fleet.standing[i] == Standing::Gone && !self.fleet.dropped[i];
            let Some(i) = self.all().find(|i| gone(i) && !owned(*i)) else {
                return;
            };
            self.fleet.remove(i);
            let last = Some(self.fleet.task.len());
            for slice in &mut self.slices {
                slice.owner = if slice.owner == last {
                    Some(i)
                } else {
                    slice.owner
                };
                slice.wish = if slice.wish == last {
                    Some(i)
                } else {
                    slice.wish.filter(|&w| w != i)
                };
            }
        }
    }

    /// Guards against a wrong list: where only draining binds, one merely dropped stays while it answers.
    fn stand(&mut self, i: usize, standing: Standing) {
        let running = self.fleet.standing[i] == Standing::Ready;
        self.fleet.dropped[i] =
            standing == Standing::Gone && running && self.facts.dropped_stay_open;
        if self.fleet.dropped[i] {
            return;
        }
        if self.fleet.standing[i] == Standing::Gone && standing == Standing::Ready {
            self.fleet.forget_health(i);
        }
        self.fleet.standing[i] = standing;
    }

    /// An operator's word on a server: whether it is out of use, and a factor for its size.
    pub fn by_hand(&mut self, task: u32, out: bool, weight: f64) {
        let i = self.fleet.at(task, self.now);
        self.fleet.size[i] *= weight / self.fleet.weight[i];
        (self.fleet.out[i], self.fleet.weight[i]) = (out, weight);
    }

    /// An operator's word that a server is not to be judged by what it answers, or is again.
    pub fn trust(&mut self, task: u32, trusted: bool) {
        let i = self.fleet.at(task, self.now);
        if std::mem::replace(&mut self.fleet.trusted[i], trusted) != trusted {
            self.fleet.forget_health(i);
        }
    }

    /// Enough other assigners found that a server answers no one, or do so no longer.
    pub fn doubted(&mut self, task: u32, doubted: bool) {
        let i = self.fleet.at(task, self.now);
        self.fleet.doubted[i] = doubted;
    }

    /// Guards proxies against an operator who takes out the last warm server that can be used.
    pub fn forbids_out(&self, task: u32) -> Option<&'static str> {
        let other = |i: usize| self.fleet.task[i] != task && self.warmth(i) >= 1.0;
        (!self.usables().any(other)).then_some("rule 1: no other warm server can be used")
    }

    /// Why an operator can't have a slice at a server.
    pub fn forbids_wish(&self, tbl: usize, task: u32) -> Option<&'static str> {
        let heat = self.heat.get(tbl).copied().unwrap_or(0.0);
        let Some(i) = self.all().find(|&i| self.fleet.task[i] == task) else {
            return Some("the server can't be used");
        };
        match () {
            () if !self.slices[tbl].mine => Some("the slice is in other hands"),
            () if self.leaves(i) => Some("rule 3: the server is to be left"),
            () if !self.usable(i) => Some("the server can't be used"),
            () if self.load.len() > i && !self.fits(i, heat) => {
                Some("rule 4: the server is too cold for it")
            }
            () => None,
        }
    }

    /// An operator wants a slice at a server; it moves as any other does, unless that can't be.
    pub fn wish(&mut self, tbl: usize, task: u32) -> Option<&'static str> {
        let no = self.forbids_wish(tbl, task);
        if no.is_none() {
            self.slices[tbl].wish = Some(self.fleet.at(task, self.now));
        }
        no
    }

    /// What is known of a server, for those who look.
    pub fn seen(&self, task: u32) -> Option<Seen> {
        let i = self.all().find(|&i| self.fleet.task[i] == task)?;
        Some(Seen {
            standing: self.fleet.standing[i],
            out: self.fleet.out[i],
            trusted: self.fleet.trusted[i],
            weight: self.fleet.weight[i],
            suspect: self.fleet.suspect[i].is_some(),
            admit: self.fleet.admit[i],
            load: self.load.get(i).copied().unwrap_or(0.0),
        })
    }

    /// Whether a slice is on its way, and whether a wish for it is still open.
    pub fn moves(&self, tbl: usize) -> (bool, bool) {
        (
            self.slices[tbl].handover.is_some(),
            self.slices[tbl].wish.is_some(),
        )
    }

    pub fn owner(&self, tbl: usize) -> Option<u32> {
        self.slices[tbl].owner.map(|i| self.fleet.task[i])
    }

    /// Slices in charge that a server owns, or owned before a move that is not over.
    pub fn owned(&self, task: u32) -> usize {
        let of = |s: &&Slice| s.mine && s.owner.is_some_and(|i| self.fleet.task[i] == task);
        self.slices.iter().filter(of).count()
    }

    /// The subscription to the list failed or broke: ask again after a jittered wait.
    pub fn list_failed(&mut self) {
        self.subscribed = false;
        self.ask_at = self.now
            + self
                .facts
                .ask_within
                .times(ASK_AGAIN * (0.5 + self.chance.unit()));
    }

    /// Lines written that have not reached the channel yet, where these are held back.
    pub fn unsent(&mut self, lines: f64) {
        self.unsent = lines;
    }

    /// Whether a server is remembered.
    pub fn knows(&self, task: u32) -> bool {
        self.fleet.knows(task)
    }

    pub fn known(&self) -> usize {
        self.fleet.task.len()
    }

    pub fn custody(&mut self, tbl: usize, on: bool) {
        self.moving.remove(&tbl);
        let rate = self.slices[tbl].rate.take();
        self.slices[tbl] = Slice {
            mine: on,
            given: self.now,
            republish: on,
            rate,
            ..Slice::default()
        };
    }

    pub fn stored(&mut self, tbl: usize, task: u32) {
        let i = self.fleet.at(task, self.now);
        self.slices[tbl].owner = Some(i);
        self.fleet.proven[i] = true;
    }

    pub fn joined(&mut self, px: usize) {
        if self.streams.len() <= px {
            self.streams.resize(
                px + 1,
                Stream {
                    parted: self.now,
                    ..Stream::default()
                },
            );
        }
        let old = self.streams[px];
        let back = Stream {
            begun: self.mark,
            shown: self.shown,
            rid: old.parted,
            ..old
        };
        let old = if old.joined { old } else { back };
        self.streams[px] = Stream {
            joined: true,
            since: self.mark,
            asked: 0,
            ..old
        };
    }

    pub fn parted(&mut self, px: usize) {
        let Some(stream) = self.streams.get_mut(px) else {
            return;
        };
        (stream.joined, stream.parted) = (false, self.now);
    }

    /// A probe's result: a suspect that answers is none, but rests for a lease. A jammed one would be given
    /// slices at once, being empty, and jam again.
    pub fn probed(&mut self, task: u32, answered: bool) {
        let i = self.fleet.at(task, self.now);
        self.fleet.proven[i] |= answered;
        if answered && self.fleet.suspect[i].is_some_and(|at| self.now - at > self.facts.lease) {
            self.fleet.forget_health(i);
        }
    }

    /// A proxy's answer to a mark; one from before its stream, or before a slice's shut, is nothing.
    pub fn answered(&mut self, px: usize, number: u16, elapsed: TimeDelta) {
        let mark = self.mark - (self.mark.wrapping_sub(u64::from(number)) & 0xffff).min(self.mark);
        let Some(stream) = self.streams.get(px).copied() else {
            return;
        };
        if !stream.joined || mark <= stream.answered.max(stream.since) {
            return;
        }
        let applied = self
            .sent
            .iter()
            .find(|s| s.mark == mark)
            .map_or(self.now, |s| s.at + elapsed);
        for &tbl in &self.moving {
            let Slice {
                handover: Some(handover),
                given,
                ..
            } = &mut self.slices[tbl]
            else {
                continue;
            };
            let late = stream.rid.max(*given) + self.facts.lease;
            let applied = if handover.mark <= stream.shown {
                applied.min(late)
            } else {
                applied
            };
            if stream.answered < handover.mark && handover.mark <= mark {
                handover.fence = handover.fence.max(applied);
            }
        }
        self.streams[px].answered = mark;
    }

    pub fn heard(
        &mut self,
        task: u32,
        tries: f64,
        lost: f64,
        elapsed: TimeDelta,
        over: TimeDelta,
        report: &[f64],
    ) {
        let i = self.fleet.at(task, self.now);
        let fresh = self.fresh(over);
        let fleet = &mut self.fleet;
        let tries = tries.max(0.0);
        let lost = lost.clamp(0.0, tries);
        // Where there are no levels only the mover gives relief, which needs the newest picture of a jam.
        let least = if self.facts.levels_work {
            over
        } else {
            TimeDelta::default()
        };
        let half = self.facts.interval.times(FADE).max(least);
        let faded = 0.5f64.powf((self.now - fleet.heard[i]).secs() / half.secs());
        fleet.tries[i] = fleet.tries[i] * faded + tries;
        fleet.lost[i] = fleet.lost[i] * faded + lost;
        fleet.seconds[i] = fleet.seconds[i] * faded + (tries - lost) * elapsed.secs().max(0.0);
        fleet.ended[i] = fleet.ended[i] * faded + tries;
        fleet.over[i] = fleet.over[i] * faded + over.secs().max(0.0);
        (fleet.heard[i], fleet.span[i]) = (self.now, over);
        let field = self.facts.held_field.or(self.facts.busy_field);
        if let Some(value) = field.and_then(|k| report.get(k)).filter(|v| **v >= 0.0) {
            // A count in hand shows a jam at once; how busy the cores are swings, so its mean is kept.
            let weight = if self.facts.held_field.is_some() {
                1.0
            } else {
                fresh
            };
            let before = fleet.seen[i].unwrap_or(*value);
            fleet.seen[i] = Some(before + (value - before) * weight);
        }
        if lost < tries {
            fleet.proven[i] = true;
            fleet.lost_run[i] = 0.0;
            fleet.success[i] += ((tries - lost) / tries - fleet.success[i]) * fresh;
        } else if self.slices.iter().any(|s| s.mine && s.owner == Some(i)) {
            self.fleet.lost_run[i] += lost;
        }
    }

    pub fn demand(&mut self, tbl: usize, operation: usize, tries: f64, over: TimeDelta) {
        let (kinds, seen) = (
            self.facts.operations.len(),
            tries.max(0.0) / over.secs().max(1e-3),
        );
        let weight = self.fresh(over);
        let rate = self.slices[tbl]
            .rate
            .get_or_insert_with(|| vec![0.0; kinds]);
        rate[operation] +=
            (seen - rate[operation]) * if rate[operation] > 0.0 { weight } else { 1.0 };
    }

    /// Weight of the newest sum in a running mean: at full size each covers many intervals.
    fn fresh(&self, over: TimeDelta) -> f64 {
        1.0 - (1.0 - FRESH).powf(over.secs().max(0.0) / self.facts.interval.secs().max(1e-3))
    }

    fn decide(&mut self, out: &mut impl Orders) {
        self.lines = 0.0;
        let joined = || self.streams.iter().filter(|s| s.joined);
        self.joined = joined().count() as f64;
        // Rid of a line for good: who answered its shut; who came back to a store with it, a lease after.
        let back = self
            .streams
            .iter()
            .filter(|s| s.answered < s.shown)
            .map(|s| (s.answered, s.rid));
        let parted = |s: &Stream| {
            (
                s.answered.max(s.shown),
                if s.joined { NEVER } else { s.parted },
            )
        };
        self.owing.clear();
        for (mark, at) in back.chain(self.streams.iter().map(parted)) {
            let last = self.owing.entry(mark).or_insert(at);
            *last = at.max(*last);
        }
        let best = self.streams.iter().map(|s| s.answered).max().unwrap_or(0);
        let past = |s: &&Sent| s.mark <= best && self.now - s.at > self.facts.push_delay_max;
        self.shown = self
            .sent
            .iter()
            .filter(past)
            .map(|s| s.mark)
            .fold(self.shown, u64::max);
        let held = if self.unsent > 0.0 {
            self.cost(self.unsent)
        } else {
            0.0
        };
        self.waiting = self.still_waiting(best).max(held);
        self.share =
            self.slices.iter().filter(|s| s.mine).count() as f64 / self.slices.len().max(1) as f64;
        if !self.subscribed && self.now >= self.ask_at {
            self.ask_at = self.now + self.facts.ask_within;
            out.subscribe();
        }
        self.suspect(out);
        let rate = |k: usize| {
            self.slices
                .iter()
                .filter_map(|s| Some(s.rate.as_ref()?[k]))
                .sum::<f64>()
        };
        self.rates = (0..self.facts.operations.len()).map(rate).collect();
        self.heat = self.heats();
        self.load = self.loads();
        self.cold_fair = self.fair_success();
        self.finish(out);
        self.evacuate(out);
        // What shuts have begun owners may join: the messages left must not go to shuts alone.
        if self.lines > 0.0 {
            self.finish(out);
        }
        self.grant(out);
        self.balance(out);
        self.relieve(out);
        self.ask_joiners();
        if self.lines > 0.0 {
            self.send(out);
        }
        self.sleep(out);
    }

    // --- servers ---

    fn all(&self) -> std::ops::Range<usize> {
        0..self.fleet.task.len()
    }

    fn usables(&self) -> impl Iterator<Item = usize> {
        self.all().filter(|&i| self.usable(i))
    }

    /// Guards against listed servers that don't exist: where they can be probed, they must answer once.
    fn usable(&self, i: usize) -> bool {
        let proven = self.fleet.proven[i] || !self.facts.probes;
        self.listed_ready(i) && self.fleet.suspect[i].is_none() && proven
    }

    fn listed_ready(&self, i: usize) -> bool {
        self.fleet.standing[i] == Standing::Ready && !self.fleet.out[i]
    }

    /// It drains, by the list or by hand.
    fn leaves(&self, i: usize) -> bool {
        self.fleet.standing[i] == Standing::Draining || self.fleet.out[i]
    }

    /// Fraction of its capacity that a server surely has by now.
    fn warmth(&self, i: usize) -> f64 {
        let Some(started) = self.fleet.started[i] else {
            return 1.0;
        };
        let age = (self.now - started).secs() / self.facts.warm_after.secs().max(1e-3);
        let least = self.facts.cold_from.clamp(0.01, 1.0);
        (least + (1.0 - least) * age).clamp(least, 1.0)
    }

    /// Guards against servers that answer no one, long before the list tells. A jammed server loses many
    /// tries too, but it did so before: what counts is how many successes should have come by its share of
    /// late. When half the fleet looks dead the servers are not the cause, and owners stay.
    fn suspect(&mut self, out: &mut impl Orders) {
        let trial = self.facts.lease.times(4.0);
        let ready: Vec<usize> = self
            .all()
            .filter(|&i| self.fleet.standing[i] == Standing::Ready)
            .collect();
        let bar = |f: &Fleet, i: usize| {
            if f.dropped[i] || f.doubted[i] {
                DROPPED
            } else {
                1.0
            }
        };
        let run = |f: &Fleet, i: usize| f.lost_run[i] * f.success[i] / bar(f, i);
        let silent = |f: &Fleet, i: usize| {
            f.suspect[i].is_some() || (run(f, i) >= LOST_RUN && !f.trusted[i])
        };
        let dead = ready.iter().filter(|&&i| silent(&self.fleet, i)).count();
        for i in ready.iter().copied() {
            let due = self.fleet.probed[i].is_none_or(|at| self.now - at >= self.facts.interval);
            let doubtful = self.fleet.suspect[i].is_some() || !self.fleet.proven[i];
            if self.facts.probes && due && doubtful {
                self.fleet.probed[i] = Some(self.now);
                out.probe(self.fleet.task[i]);
            }
            if self.fleet.suspect[i].is_some_and(|at| self.now - at > trial) {
                self.fleet.forget_health(i);
            } else if self.fleet.suspect[i].is_none()
                && silent(&self.fleet, i)
                && dead * 2 <= ready.len()
            {
                self.fleet.suspect[i] = Some(self.now);
                out.answers_no_one(self.fleet.task[i]);
            }
        }
    }

    /// Demand of each slice in seconds of latency objective a second; the mean where none is known.
    fn heats(&self) -> Vec<f64> {
        let aims = self
            .facts
            .operations
            .iter()
            .map(|k| k.latency_objective.secs());
        let heat = |rate: &Vec<f64>| {
            rate.iter()
                .zip(aims.clone())
                .map(|(r, aim)| r * aim)
                .sum::<f64>()
        };
        let known: Vec<Option<f64>> = self
            .slices
            .iter()
            .map(|s| s.rate.as_ref().map(heat))
            .collect();
        let count = known.iter().flatten().count();
        let typical = if count > 0 {
            known.iter().flatten().sum::<f64>() / count as f64
        } else {
            1.0
        };
        known
            .into_iter()
            .map(|heat| heat.unwrap_or(typical))
            .collect()
    }

    /// Load of each server: its slices of this instance, and what the load reports show beyond these where
    /// other instances have slices as well. Guards against taking servers of other instances for idle: one
    /// that shows nothing here has a fair share, unless it started under this instance's eyes.
    fn loads(&mut self) -> Vec<f64> {
        let mut load = vec![0.0; self.fleet.task.len()];
        for tbl in 0..self.slices.len() {
            if let (true, Some(i)) = (self.slices[tbl].mine, self.slices[tbl].owner) {
                load[i] += self.heat[tbl];
            }
        }
        let all = load.iter().sum::<f64>() / self.share.max(1e-9);
        let shows: Vec<f64> = self.usables().filter_map(|i| self.fleet.seen[i]).collect();
        let typical = shows.iter().sum::<f64>() / shows.len().max(1) as f64;
        let guess =
            |i: usize| self.fleet.seen[i].unwrap_or(if self.new_here(i) { 0.0 } else { typical });
        let seen: f64 = self.usables().map(guess).sum();
        let others =
            |i: usize| (guess(i) / seen.max(1e-9) * all - load[i]).max(0.0) * (1.0 - self.share);
        self.others = self
            .all()
            .map(|i| if self.usable(i) { others(i) } else { 0.0 })
            .collect();
        load.iter()
            .zip(&self.others)
            .map(|(own, others)| own + others)
            .collect()
    }

    fn new_here(&self, i: usize) -> bool {
        self.fleet.started[i].is_some_and(|s| s > self.born)
    }

    fn ratio(&self, i: usize, extra: f64) -> f64 {
        (self.load[i] + extra).max(0.0) / (self.fleet.size[i] * self.warmth(i))
    }

    /// Mean seconds of a server's late successes, if enough of them are known and not long past.
    fn elapsed(&self, i: usize) -> Option<f64> {
        let succeeded = self.fleet.tries[i] - self.fleet.lost[i];
        let known = succeeded >= ENOUGH
            && self.now - self.fleet.heard[i] < self.facts.interval.times(STALE);
        known.then(|| self.fleet.seconds[i] / succeeded)
    }

    /// Tries that end there in a second, whatever span their sums are for: the larger the fleet the longer.
    fn pace(&self, i: usize) -> f64 {
        self.facts.zones * self.fleet.ended[i] / self.fleet.over[i].max(1e-3)
    }

    /// Seconds that a newcomer waits if what the server holds leaves at the pace of late: a jam shows here
    /// well before it shows in the times of what got through. A handful in hand is no queue.
    fn queue_time(&self, i: usize) -> f64 {
        let held = self.fleet.seen[i].filter(|&s| self.facts.held_field.is_some() && s >= ENOUGH);
        held.map_or(0.0, |s| s * self.share / self.pace(i).max(1e-3))
    }

    /// Guards cold servers: they hold no more slices than a fair share, by their warmth, of what all lately
    /// succeeded in: in an overload a fair share of demand is more than anyone can do. Each is one
    /// instance's to fill, or the parts of many would be too small for a single slice.
    fn fits(&self, i: usize, extra: f64) -> bool {
        let own = self.load[i] - self.others[i];
        self.warmth(i) >= 1.0 || own + extra <= self.cold_room(i) * self.part(i)
    }

    /// What a cold server may hold of all instances together.
    fn cold_room(&self, i: usize) -> f64 {
        let share = self.facts.tip_multiple * COLD_SHARE;
        self.cold_fair * self.fleet.size[i] * self.warmth(i) * share / self.share.max(1e-9)
    }

    /// The part of a cold server's room that is this instance's: all where its lot says so, else what it
    /// holds of the slices beyond its own share, as others must have gone. Its share where it can't be told.
    fn part(&self, i: usize) -> f64 {
        let count = self.facts.assigners;
        match self.facts.position {
            None => self.share,
            Some(position) if self.fleet.lot[i] as usize % count == position => 1.0,
            Some(_) => ((self.share * count as f64 - 1.0) / (count as f64 - 1.0)).max(0.0),
        }
    }

    /// What the usable servers succeed in, in the measure of heat, by size and warmth.
    fn fair_success(&self) -> f64 {
        let succeeded: f64 = self
            .usables()
            .map(|i| self.pace(i) * self.fleet.success[i])
            .sum();
        let able: f64 = self
            .usables()
            .map(|i| self.fleet.size[i] * self.warmth(i))
            .sum();
        succeeded / able.max(1e-9) * self.usual_objective(self.usual_admission()).min(1e9)
    }

    /// The roomiest usable server for a slice, by chance among near-equals.
    fn roomiest(&mut self, heat: f64, not: Option<usize>) -> Option<usize> {
        let mut fit: Vec<usize> = self
            .usables()
            .filter(|&i| Some(i) != not && self.fits(i, heat))
            .collect();
        if fit.iter().any(|&i| !self.fleet.dropped[i]) {
            fit.retain(|&i| !self.fleet.dropped[i]);
        }
        let best = fit
            .iter()
            .map(|&i| self.ratio(i, heat))
            .min_by(f64::total_cmp)?;
        let near: Vec<usize> = fit
            .into_iter()
            .filter(|&i| self.ratio(i, heat) <= best * NEAR)
            .collect();
        Some(near[(self.chance.unit() * near.len() as f64) as usize])
    }

    // --- moves ---

    fn open(&self) -> impl Iterator<Item = usize> {
        self.moving.iter().copied()
    }

    /// Publishes what is fenced, the hottest first, but what has long been bare before all, or the coolest
    /// might never get a turn; reopens what stays unresolved.
    fn finish(&mut self, out: &mut impl Orders) {
        let mut open: Vec<usize> = self.open().collect();
        let long = self.facts.bare.times(LONG_BARE);
        let late = |t: usize| {
            self.slices[t]
                .handover
                .is_some_and(|h| self.now - h.since > long)
        };
        open.sort_by(|&a, &b| {
            late(b)
                .cmp(&late(a))
                .then(self.heat[b].total_cmp(&self.heat[a]))
        });
        for tbl in open {
            let Some(handover) = self.slices[tbl].handover else {
                continue;
            };
            if !self.may_write(FOR_OWNER) {
                return;
            }
            let (old, heat) = (self.slices[tbl].owner, self.heat[tbl]);
            if self.now >= self.fence_due(tbl, handover) {
                let wish = self.slices[tbl]
                    .wish
                    .filter(|&i| self.usable(i) && self.fits(i, heat));
                let next = wish.or_else(|| self.roomiest(heat, old));
                if let Some(i) = next.or_else(|| self.last_resort(handover)) {
                    old.inspect(|&o| self.load[o] -= heat);
                    self.load[i] += heat;
                    self.publish(tbl, i, out);
                }
            } else if let Some(i) = old
                && self.now - handover.since > self.facts.lease.times(4.0)
                && self.usable(i)
            {
                out.stays(tbl);
                self.publish(tbl, i, out);
            }
        }
    }

    /// Guards against leaving a slice bare: when no server will do for long, a warm one that is listed ready.
    fn last_resort(&self, handover: Handover) -> Option<usize> {
        let late = self.now - handover.since > self.facts.bare.times(0.5);
        let ready = |&i: &usize| late && self.listed_ready(i) && self.warmth(i) >= 1.0;
        let least = |&a: &usize, &b: &usize| self.load[a].total_cmp(&self.load[b]);
        self.usables()
            .filter(ready)
            .min_by(least)
            .or_else(|| self.all().filter(ready).min_by(least))
    }

    /// When all that owe an answer to the shut are rid of the line, and what all had in hand has settled.
    fn fence_due(&self, tbl: usize, handover: Handover) -> Timestamp {
        let last = self.owing.range(..handover.mark).map(|(_, &at)| at).max();
        let lease = last.map(|at| at.max(self.slices[tbl].given) + self.facts.lease);
        lease.map_or(handover.fence, |at| at.max(handover.fence)) + self.facts.settle
    }

    /// Moves the slices of servers that drain, then of those gone, suspect or too full for a cold one. Given
    /// slices are published again with what room is left, as drains may fall due right then; one that has no
    /// owner counts as shut by who died.
    fn evacuate(&mut self, out: &mut impl Orders) {
        let still = |&t: &usize| self.slices[t].mine && self.slices[t].handover.is_none();
        let mut still: Vec<usize> = (0..self.slices.len()).filter(still).collect();
        let drains = |t: usize| self.slices[t].owner.map(|i| !self.leaves(i));
        still.sort_by(|&a, &b| {
            drains(a)
                .cmp(&drains(b))
                .then(self.heat[b].total_cmp(&self.heat[a]))
        });
        for &tbl in &still {
            let own = |i: usize| self.load[i] - self.others[i];
            let full = |i: usize| self.warmth(i) < 1.0 && own(i) * 0.5 > self.cold_room(i);
            let fit = |&i: &usize| self.usable(i) && !full(i);
            let owner = self.slices[tbl].owner;
            // Only rules 1 and 3 are in a hurry; for the rest there must be messages left to publish with.
            let part = if owner.is_some_and(|i| self.listed_ready(i)) {
                FOR_OWNER
            } else {
                FOR_DRAIN
            };
            if owner.filter(fit).is_none() && self.may_write(part) {
                owner.inspect(|&i| self.load[i] -= self.heat[tbl]);
                self.shut(tbl, out);
            }
        }
        for tbl in still {
            let Slice {
                republish,
                owner: Some(i),
                handover: None,
                ..
            } = self.slices[tbl]
            else {
                continue;
            };
            if republish && self.may_write(FOR_REST) {
                self.publish(tbl, i, out);
            }
        }
    }

    /// Shuts the slices that operators want elsewhere; a wish that can't be granted any more is dropped.
    fn grant(&mut self, out: &mut impl Orders) {
        for tbl in 0..self.slices.len() {
            let Slice {
                mine: true,
                wish: Some(i),
                handover: None,
                owner,
                ..
            } = self.slices[tbl]
            else {
                continue;
            };
            if owner == Some(i) || !self.usable(i) || !self.fits(i, self.heat[tbl]) {
                self.slices[tbl].wish = None;
            } else if self.may_write(FOR_REST) {
                owner.inspect(|&o| self.load[o] -= self.heat[tbl]);
                self.load[i] += self.heat[tbl];
                self.shut(tbl, out);
            }
        }
    }

    /// The mover: a slow server loaded above the mean hands its hottest slice to the roomiest. Where all
    /// others are well and levels do nothing the server is sick, and hands most.
    fn balance(&mut self, out: &mut impl Orders) {
        let mut answers: Vec<f64> = self.usables().filter_map(|i| self.elapsed(i)).collect();
        answers.sort_by(f64::total_cmp);
        let Some(&median) = answers.get(answers.len() / 2) else {
            return;
        };
        let size: f64 = self.usables().map(|i| self.fleet.size[i]).sum();
        let fair = self.load.iter().sum::<f64>() / size.max(1e-9);
        // Where the fleet has grown its new servers are filled up to a fair share without a wait; in a
        // deploy, where as many go, that shuffles slices for nothing.
        let hold = self.facts.interval.times(if self.facts.levels_work {
            RELIEVED_FOR
        } else {
            SLOW_FOR
        });
        let objective = self.usual_objective(1.0) * LATE;
        let gone = self
            .all()
            .filter(|&i| self.fleet.standing[i] != Standing::Ready)
            .count();
        let grown = self.usables().filter(|&i| self.new_here(i)).count() > gone;
        let mut due: Vec<(usize, bool)> = Vec::new();
        for i in self.all() {
            let late = self.usable(i) && self.elapsed(i).is_some_and(|e| e > median * SLOW);
            let since = self.fleet.slow_since[i].unwrap_or(self.now);
            let slow = late && self.load[i] > fair * self.fleet.size[i];
            self.fleet.slow_since[i] = slow.then_some(since);
            let held = self.now - since >= hold;
            due.extend((slow && (held || grown)).then_some((i, held)));
        }
        due.sort_by(|a, b| self.ratio(b.0, 0.0).total_cmp(&self.ratio(a.0, 0.0)));
        let calm =
            !self.facts.levels_work && median < objective && self.usual_admission() >= REFUSES;
        for (from, held) in due {
            let enough = if calm && held {
                fair * self.fleet.size[from] * ROOMY
            } else {
                self.load[from]
            };
            let most = (!held).then_some(fair);
            while self.may_write(FOR_REST)
                && self.hand_over(from, most, out)
                && self.load[from] > enough
            {}
        }
    }

    /// Shuts the hottest slice that some other server can take without being worse off than `from` is; where
    /// `most` is told only a new one up to that ratio.
    fn hand_over(&mut self, from: usize, most: Option<f64>, out: &mut impl Orders) -> bool {
        let rests = |s: &Slice| s.mine && s.owner == Some(from) && s.handover.is_none();
        let mut held: Vec<usize> = (0..self.slices.len())
            .filter(|&t| rests(&self.slices[t]))
            .collect();
        held.sort_by(|&a, &b| self.heat[b].total_cmp(&self.heat[a]));
        for tbl in held {
            let heat = self.heat[tbl];
            if let Some(to) = self.roomiest(heat, Some(from))
                && self.ratio(to, heat) * NEAR < self.ratio(from, 0.0)
                && most.is_none_or(|most| self.new_here(to) && self.ratio(to, heat) < most)
            {
                self.load[from] -= heat;
                self.load[to] += heat;
                self.fleet.slow_since[from] = None;
                self.shut(tbl, out);
                return true;
            }
        }
        false
    }

    /// Guards against overload, whatever lies behind it: a strained server lets in less, the operation with
    /// the least billed value for its work first, and more again as soon as it answers well. Losses weigh
    /// only where answers are slow as well: broken connections alone are no overload.
    fn relieve(&mut self, out: &mut impl Orders) {
        if self.now - self.last_step >= self.facts.interval.max(self.facts.push_delay_max) {
            self.last_step = self.now;
            self.step_levels();
        }
        if !self.facts.levels_work || !self.may_write(FOR_REST) {
            return;
        }
        let mut due: Vec<(f64, usize, f64)> = Vec::new();
        for (tbl, slice) in self.slices.iter().enumerate() {
            let Slice {
                mine: true,
                owner: Some(i),
                handover: None,
                admitted,
                ..
            } = *slice
            else {
                continue;
            };
            let (admit, was) = (self.fleet.admit[i], admitted.unwrap_or(1.0));
            if (admit - was).abs() >= LIFT || (admit == 1.0 && was < 1.0) {
                due.push(((admit - was).abs() * self.heat[tbl], tbl, admit));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, tbl, admit) in due {
            if self.may_write(FOR_REST) {
                self.write_levels(tbl, admit, out);
            }
        }
    }

    fn step_levels(&mut self) {
        let least = LEAST / self.dearer.len().max(1) as f64;
        let shows = self.facts.push_delay_max + self.facts.interval.times(2.0);
        for i in self.usables().collect::<Vec<_>>() {
            let (tries, lost, admit) =
                (self.fleet.tries[i], self.fleet.lost[i], self.fleet.admit[i]);
            if self.now - self.fleet.cut[i] < shows.max(self.fleet.span[i])
                || (tries >= ENOUGH && lost >= tries)
            {
                continue;
            }
            let answer = (self.fleet.seconds[i] / (tries - lost).max(1.0)).max(self.queue_time(i));
            let late = answer / (self.usual_objective(admit) * LATE);
            let strain = if tries < ENOUGH {
                0.0
            } else {
                late * (1.0 + lost / tries)
            };
            // Strained though its cores have time to spare is no overload: letting less in would not help.
            let busy = self.fleet.seen[i]
                .filter(|_| self.facts.held_field.is_none())
                .unwrap_or(1.0);
            if strain > 1.0 && busy > BUSY {
                // Guards against a server that is sick by itself: levels have given all, others are well.
                let sick = admit <= least && self.facts.levels_work && lost * 2.0 > tries;
                if sick
                    && !self.fleet.trusted[i]
                    && self.warmth(i) >= 1.0
                    && self.usual_admission() >= REFUSES
                {
                    self.fleet.suspect[i] = Some(self.now);
                }
                self.fleet.admit[i] = (admit - CUT * (strain - 1.0).min(1.0)).max(least);
                self.fleet.cut[i] = self.now;
                if self.facts.levels_work {
                    (
                        self.fleet.tries[i],
                        self.fleet.lost[i],
                        self.fleet.seconds[i],
                    ) = (0.0, 0.0, 0.0);
                }
            } else if strain < CALM || busy < BUSY * CALM {
                let most = if self.warmth(i) < 1.0 {
                    self.usual_admission()
                } else {
                    1.0
                };
                self.fleet.admit[i] = (admit + LIFT).min(most);
            }
        }
    }

    /// Guards cold servers in an overload: as long as one is cold it lets in what all do on average, or
    /// clients refused elsewhere come down on it at once.
    fn usual_admission(&self) -> f64 {
        self.usables().map(|i| self.fleet.admit[i]).sum::<f64>()
            / self.usables().count().max(1) as f64
    }

    /// Mean latency objective, in seconds, of what is let in at an admission.
    fn usual_objective(&self, admit: f64) -> f64 {
        let let_in = |k: usize| self.rates[k] * self.level(k, admit);
        let kinds = || 0..self.facts.operations.len();
        let aims: f64 = kinds()
            .map(|k| let_in(k) * self.facts.operations[k].latency_objective.secs())
            .sum();
        if aims > 0.0 {
            aims / kinds().map(let_in).sum::<f64>()
        } else {
            f64::INFINITY
        }
    }

    /// A server's admission as a level of one operation: the cheapest is down to nothing before the next
    /// gives.
    fn level(&self, operation: usize, admit: f64) -> f64 {
        let kinds = self.dearer.len() as f64;
        (admit * kinds - self.dearer[operation]).clamp(0.0, 1.0)
    }

    fn write_levels(&mut self, tbl: usize, admit: f64, out: &mut impl Orders) {
        let was = self.slices[tbl].admitted.replace(admit).unwrap_or(1.0);
        for k in 0..self.facts.operations.len() {
            let level = self.level(k, admit);
            if level != self.level(k, was) {
                out.let_in(tbl, 1 << k, level, self.facts.again);
                self.lines += 1.0;
            }
        }
    }

    /// A proxy that joined while slices are shut has unanswered marks: one fresh mark for all such.
    fn ask_joiners(&mut self) {
        let shut = self
            .open()
            .filter_map(|t| Some(self.slices[t].handover?.mark))
            .max();
        let owes =
            |s: &Stream| s.joined && s.asked <= s.since && shut > Some(s.answered.max(s.shown));
        let pause = self
            .sent
            .last()
            .is_none_or(|s| self.now - s.at > self.facts.push_delay);
        if pause && self.streams.iter().any(owes) && self.may_write(FOR_REST) {
            self.lines += 1.0;
        }
    }

    /// Shuts a slice for all operations: its line is taken out of every proxy's table.
    fn shut(&mut self, tbl: usize, out: &mut impl Orders) {
        let (mark, since) = (self.mark + 1, self.now);
        self.slices[tbl].handover = Some(Handover {
            mark,
            since,
            fence: since,
        });
        self.moving.insert(tbl);
        self.lines += 1.0;
        if let Some(i) = self.slices[tbl].owner {
            out.shut(tbl, self.fleet.task[i]);
        }
    }

    /// Raises the generation and publishes the owner. Guards slices that are shut: only a cold owner's levels
    /// go along at once, others follow where the message has room.
    fn publish(&mut self, tbl: usize, i: usize, out: &mut impl Orders) {
        self.moving.remove(&tbl);
        let slice = &mut self.slices[tbl];
        slice.generation += 1;
        (slice.handover, slice.republish, slice.owner, slice.wish) = (None, false, Some(i), None);
        out.publish(tbl, self.fleet.task[i]);
        self.lines += 1.0;
        if self.facts.levels_work && self.warmth(i) < 1.0 {
            self.write_levels(tbl, self.fleet.admit[i], out);
        }
    }

    /// The one account of messages per proxy and lines waiting. `part` of the allowance is for such orders;
    /// the rest is kept for what may not wait (drains first). What joins a message already due costs none.
    fn may_write(&self, part: f64) -> bool {
        let allowed = self.facts.pushes_allowed * part;
        let drain = part >= FOR_DRAIN;
        let heads = if drain {
            0.0
        } else {
            self.cost(0.0) * HEADS / self.facts.lines_per_s.max(1.0)
        };
        let even = TimeDelta::from_secs(heads)
            .max(self.push_span().times(1.0 / self.facts.pushes_allowed));
        let recent = self
            .sent
            .iter()
            .filter(|s| self.now - s.at < self.push_span())
            .count() as f64;
        let spaced = (drain && recent <= allowed * PLENTY)
            || self.sent.last().is_none_or(|s| self.now - s.at >= even);
        let few = self.lines > 0.0 || (spaced && recent + 1.0 <= allowed);
        let due =
            self.facts.lines_per_s * (self.facts.drain_grace - self.facts.push_delay_max).secs();
        let spared = due.min(self.facts.most_waiting) * SPARED * part;
        let most = if drain {
            self.facts.most_waiting * MOST_WAITING
        } else {
            spared
        };
        // A message begun must have room to be filled, or a slow channel carries nothing but heads.
        let most = if self.lines == 0.0 {
            most * BEGUN
        } else {
            most
        };
        few && (self.waiting + self.lines == 0.0 || self.waiting + self.cost(self.lines) < most)
    }

    /// Lines that may still wait in the channel, which may be slow: an answer shows that all messages before
    /// it have left, not what went to others with its mark. Guards against answers lost while no news came: a
    /// proxy told to be joined once more counts as long as a full channel takes.
    fn still_waiting(&self, answered: u64) -> f64 {
        let full = TimeDelta::from_secs(self.facts.most_waiting / self.facts.lines_per_s.max(1.0));
        let owes = |s: &Sent, p: &Stream| {
            let asked = p.since < s.mark || (p.begun < s.mark && self.now - s.at < full);
            p.joined && asked && p.answered < s.mark
        };
        let left = |s: &Sent| s.lines * self.streams.iter().filter(|p| owes(s, p)).count() as f64;
        self.sent
            .iter()
            .filter(|s| s.mark >= answered)
            .map(left)
            .sum()
    }

    /// Messages may bunch up on their way, so the span in which they are counted is that much longer.
    fn push_span(&self) -> TimeDelta {
        self.facts.reload_span + self.facts.push_delay_max
    }

    fn cost(&self, lines: f64) -> f64 {
        self.joined * (self.facts.overhead + lines + 1.0)
    }

    fn send(&mut self, out: &mut impl Orders) {
        self.mark += 1;
        out.mark((self.mark & 0xffff) as u16);
        for stream in self.streams.iter_mut().filter(|s| s.joined) {
            stream.asked = self.mark;
        }
        let span = self.push_span();
        self.sent.retain(|s| self.now - s.at <= span);
        self.sent.push(Sent {
            mark: self.mark,
            at: self.now,
            lines: self.facts.overhead + self.lines + 1.0,
        });
    }

    /// Wakes at the next fence, or after an interval.
    fn sleep(&mut self, out: &mut impl Orders) {
        let dues = self
            .open()
            .filter_map(|t| Some(self.fence_due(t, self.slices[t].handover?)));
        let at = dues
            .filter(|&due| due > self.now)
            .fold(self.now + self.facts.interval, Timestamp::min);
        if self.wake_at.is_none_or(|w| w <= self.now || at < w) {
            self.wake_at = Some(at);
            out.wake(at - self.now);
        }
    }
}
