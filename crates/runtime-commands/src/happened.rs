//! What has happened, for those who look: the last events, what ended and why, how long orders took. All of it
//! bounded. Times are microseconds of the caller's clock.

use std::collections::{BTreeMap, VecDeque};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Events that are remembered, and how much of what is said of one.
const EVENTS: usize = 512;
const LONGEST: usize = 240;
/// An hour, in milliseconds: an order that took longer counts as that.
const HOUR: u64 = 3_600_000;

struct Event {
    number: u64,
    at: i64,
    what: &'static str,
    text: String,
}

#[derive(Default)]
struct Count {
    times: u64,
    usual: bool,
    at: i64,
    detail: String,
}

/// By road and reason code, both of which are few.
type Counts = BTreeMap<(&'static str, &'static str), Count>;

pub struct EventLog {
    events: VecDeque<Event>,
    number: u64,
    counts: Counts,
    orders: Option<Histogram<u64>>,
    since: i64,
}

fn short(text: String) -> String {
    if text.chars().count() <= LONGEST {
        text
    } else {
        text.chars().take(LONGEST).chain("...".chars()).collect()
    }
}

fn ago(now: i64, at: i64) -> i64 {
    (now - at).max(0) / 1000
}

impl EventLog {
    pub fn new(now: i64) -> Self {
        // Three digits from a millisecond to an hour: some 30 KB, all of it taken here.
        let orders = Histogram::new_with_bounds(1, HOUR, 3).ok();
        EventLog {
            events: VecDeque::new(),
            number: 0,
            counts: Counts::new(),
            orders,
            since: now,
        }
    }

    pub fn event(&mut self, now: i64, what: &'static str, text: String) {
        if self.events.len() == EVENTS {
            self.events.pop_front();
        }
        self.number += 1;
        self.events.push_back(Event {
            number: self.number,
            at: now,
            what,
            text: short(text),
        });
    }

    /// A connection or a call has ended; `usual` where nobody needs to look at it.
    pub fn ended(
        &mut self,
        now: i64,
        road: &'static str,
        code: &'static str,
        usual: bool,
        detail: String,
    ) {
        let count = self.counts.entry((road, code)).or_default();
        *count = Count {
            times: count.times + 1,
            usual,
            at: now,
            detail: short(detail),
        };
    }

    /// An order by hand is done, after so long.
    pub fn order(&mut self, took: i64) {
        if let Some(orders) = &mut self.orders {
            orders.saturating_record((took.max(0) as u64 / 1000).max(1));
        }
    }

    /// Counts and times begin anew; events stay.
    pub fn clear(&mut self, now: i64) {
        self.counts.clear();
        self.orders.iter_mut().for_each(Histogram::reset);
        self.since = now;
    }

    /// The last events, the oldest first.
    pub fn events(&self, now: i64) -> Value {
        let event = |e: &Event| json!({"event": e.number, "ago_ms": ago(now, e.at), "what": e.what, "text": e.text});
        self.events.iter().map(event).collect()
    }

    /// What ended otherwise than it should, the last first.
    pub fn errors(&self, now: i64) -> Value {
        let mut odd: Vec<_> = self
            .counts
            .iter()
            .filter(|(_, count)| !count.usual)
            .collect();
        odd.sort_by_key(|(_, count)| std::cmp::Reverse(count.at));
        let row = |((road, code), count): (&(&str, &str), &Count)| json!({"road": road, "reason": code, "times": count.times, "ago_ms": ago(now, count.at), "detail": count.detail});
        odd.into_iter().map(row).collect()
    }

    /// How often what ended how, by road and reason code.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        self.counts
            .iter()
            .map(|((road, code), count)| (*road, *code, count.times))
    }

    /// Orders that are done, and seconds within which a part of them were.
    pub fn orders(&self, parts: &[f64]) -> (u64, Vec<f64>) {
        let Some(orders) = &self.orders else {
            return (0, vec![0.0; parts.len()]);
        };
        let seconds = parts
            .iter()
            .map(|part| orders.value_at_quantile(*part) as f64 / 1e3);
        (orders.len(), seconds.collect())
    }

    /// How long orders took from when they were given until they were done.
    pub fn times(&self, now: i64) -> Value {
        let (done, seconds) = self.orders(&[0.5, 0.99, 1.0]);
        json!({"orders_done": done, "s_50": seconds[0], "s_99": seconds[1], "s_most": seconds[2],
            "since_s": ago(now, self.since) as f64 / 1e3})
    }
}
