//! The assigner's decisions. An adapter makes one `Assigner` for each instance and calls `round` once for each
//! batch of events: the feed that it passes in calls the method of each event (`listed`, `heard`,
//! `answered`, ...), which only records it; then the round decides and writes through the `Orders` that it was
//! given. Each concern is in a module of its own.

mod admission;
mod handover;
mod health;
mod listing;
mod load;
mod manual_orders;
mod message_budget;
mod observations;
mod rebalancing;
mod slow_start;
mod streams;

use std::collections::{BTreeMap, BTreeSet};

use crate::facts::Facts;
use crate::fleet::Fleet;
use crate::kept::{Sent, Slice, Stream};
use crate::orders::Orders;
use lynxmill_random::Pcg;
use lynxmill_time::Timestamp;

const REFUSED_ADMISSION: f64 = 0.9;
/// Targets whose load lies within this ratio of the best are drawn by chance, so that assigners don't herd.
const NEAR_BEST_RATIO: f64 = 1.1;
/// Parts of the messages per proxy up to which orders may be written: drains, owners to publish, all else.
const DRAIN_MESSAGE_SHARE: f64 = 1.0;
const OWNER_MESSAGE_SHARE: f64 = 0.85;
const OTHER_MESSAGE_SHARE: f64 = 0.6;
/// A server is strained when its answers take this part of the usual latency objective, and calm under that
/// part of it; then its admission is cut (the dearest operation keeps a least level) or lifted by so much a
/// step. In an overload its cores are as busy as this.
const STRAINED_LATENCY_SHARE: f64 = 0.45;
const ADMISSION_INCREASE: f64 = 0.05;
const MIN_ATTEMPTS: f64 = 6.0;
const NEVER: Timestamp = Timestamp::from_micros(i64::MAX / 4);

#[derive(Default)]
pub struct Assigner {
    facts: Facts,
    random: Pcg,
    started: Timestamp,
    now: Timestamp,
    fleet: Fleet,
    slices: Vec<Slice>,
    /// Slices on their way.
    moving: BTreeSet<usize>,
    streams: Vec<Stream>,
    /// When the last parted of those rid of what was shut up to a mark who owe the next; `NEVER` if not.
    owing: BTreeMap<u64, Timestamp>,
    /// The newest mark that is known to be in the store: who joins now reads what came before it.
    stored_barrier: u64,
    barrier: u64,
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
    more_valuable: Vec<f64>,
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
        let more_valuable = kinds.clone().map(dearer).collect();
        Assigner {
            random: Pcg::new(seed),
            started: now,
            now,
            slices: vec![Slice::default(); facts.slices],
            streams: vec![absent; facts.proxies],
            last_step: now,
            more_valuable,
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
        self.stored_barrier = self
            .sent
            .iter()
            .filter(past)
            .map(|s| s.mark)
            .fold(self.stored_barrier, u64::max);
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
        self.heat = self.demand_by_slice();
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
}
