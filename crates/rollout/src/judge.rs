//! Whether a new version is worse than those before it.
//!
//! A request counts as bad if it failed, or if its answer took several times as long as answers of the versions before
//! usually take on its route. On each route, and over all of them, a sequential test compares two hypotheses: that the
//! share of bad requests is what the versions before have (and some more), or that it is larger by [`BAD_SHARE`]. The
//! score never falls below zero (CUSUM), so that a version that turns bad late is found as soon as one that always was.
//! A second test finds a difference that is smaller and certain.

use std::collections::BTreeMap;

use lynxmill_time::Timestamp;

use crate::evidence::{Counts, RouteOutcomes};

/// The share of bad requests that a sound version may have in any case.
const TOLERATED_SHARE: f64 = 0.05;
/// What a sound version may have beyond the versions before it: a factor, and a share.
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_EXCESS: f64 = 0.02;
/// The share of bad requests that a sound version may have where nothing else is sent any more that it could be compared
/// with.
const TOLERATED_SHARE_ALONE: f64 = 0.18;
/// How long requests of the versions before count as recent: the time after which they count for 1/e.
const RECENT_S: f64 = 0.6;
/// By how much the share of bad requests of a bad version is larger.
const BAD_SHARE: f64 = 0.2;
/// The logarithm of the likelihood ratio at which a version is found bad: an error of 1 in 10,000 by Wald's bound.
const BAD_SCORE: f64 = 9.2;
/// Above this a version is not sent more.
const SUSPICIOUS_SCORE: f64 = 3.0;
/// Buckets of latency, two to a factor of two, between a usual answer and a slow one.
const SLOW_BUCKETS: usize = 4;
/// Answers of the versions before that are needed to tell what is usual.
const MIN_BASE: u64 = 20;
/// Requests from which the second test has a meaning.
const MIN_CERTAIN: f64 = 60.0;
/// Standard deviations, and the difference of shares, of the second test.
const CERTAIN_DEVIATIONS: f64 = 5.0;
const CERTAIN_DIFFERENCE: f64 = 0.08;
/// The name under which the requests of all routes are judged together.
const ALL_ROUTES: &str = "all routes";

/// What is known of a new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Sound,
    /// It may be bad: it should not be sent more than it is.
    Suspicious,
    /// It is bad.
    Bad(BadVersion),
}

/// On which route a version was found bad, and by how much.
#[derive(Clone, Debug, PartialEq)]
pub struct BadVersion {
    /// The route.
    pub route: String,
    /// Requests of the new version, and bad ones among them.
    pub target: (u64, u64),
    /// Requests of the versions before, and bad ones among them.
    pub base: (u64, u64),
}

/// The bad requests among all that ended.
fn bad_of(counts: &Counts, slow_from: Option<usize>) -> (u64, u64) {
    let slow = slow_from.map_or(0, |bucket| counts.slower_than(bucket));
    (counts.ended, counts.failed + slow)
}

fn share((ended, bad): (u64, u64)) -> f64 {
    if ended == 0 {
        0.0
    } else {
        bad as f64 / ended as f64
    }
}

/// The bucket above which answers are slow, by the median of the versions before; none if too few are known.
fn slow_bucket(base: &Counts) -> Option<usize> {
    let known: u64 = base.latencies.iter().sum();
    let median = base.median_bucket().filter(|_| known >= MIN_BASE)?;
    Some(median + SLOW_BUCKETS)
}

/// The judgement of one new version.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    routes: BTreeMap<String, RouteJudgement>,
    last_look: Timestamp,
}

/// The judgement of one route.
#[derive(Clone, Debug, Default)]
struct RouteJudgement {
    /// The logarithm of the likelihood ratio of the two hypotheses, at least 0.
    score: f64,
    /// Requests that ended lately at the versions before, and bad ones among them.
    recent_base: (f64, f64),
    excess: Excess,
}

/// Bad requests of the new version beyond what the versions before had at the same time: a fault that strikes all of
/// them while the new version gets more than before must not count against it.
#[derive(Clone, Copy, Debug, Default)]
struct Excess {
    ended: f64,
    bad: f64,
    variance: f64,
}

impl Excess {
    /// Adds requests of the new version, given how many of the versions before ended lately and were bad.
    fn add(&mut self, (ended, bad): (u64, u64), (base_ended, base_bad): (f64, f64)) {
        if ended == 0 || base_ended < MIN_BASE as f64 {
            return;
        }
        let ended = ended as f64;
        let expected = base_bad / base_ended;
        self.ended += ended;
        self.bad += bad as f64 - ended * expected;
        let spread = expected.max(1.0 / base_ended) * (1.0 - expected);
        self.variance += ended * spread * (1.0 + ended / base_ended);
    }

    fn is_certain(&self) -> bool {
        self.ended >= MIN_CERTAIN
            && self.bad > CERTAIN_DIFFERENCE * self.ended
            && self.bad > CERTAIN_DEVIATIONS * self.variance.sqrt()
    }
}

impl Judge {
    /// Judges the outcomes that came lately, given all of them. `is_alone`: nothing is sent to other versions any more.
    pub fn judge(
        &mut self,
        now: Timestamp,
        lately: &BTreeMap<String, RouteOutcomes>,
        totals: &BTreeMap<String, RouteOutcomes>,
        is_alone: bool,
    ) -> Verdict {
        let look = Look {
            memory: (-(now - self.last_look).secs() / RECENT_S).exp(),
            is_alone,
        };
        self.last_look = now;
        let mut pooled = Pooled::default();
        for (route, all) in totals {
            let slow_from = slow_bucket(&all.base);
            let recent = lately.get(route);
            let target_now = recent.map_or((0, 0), |r| bad_of(&r.target, slow_from));
            let base_now = recent.map_or((0, 0), |r| bad_of(&r.base, slow_from));
            let seen = Seen {
                target_now,
                base_now,
                target: bad_of(&all.target, slow_from),
                base: bad_of(&all.base, slow_from),
            };
            pooled.add(&seen);
            if let Some(bad) = self.judge_route(route, &seen, look) {
                return Verdict::Bad(bad);
            }
        }
        if let Some(bad) = self.judge_route(ALL_ROUTES, &pooled.0, look) {
            return Verdict::Bad(bad);
        }
        if self
            .routes
            .values()
            .any(|route| route.score > SUSPICIOUS_SCORE)
        {
            Verdict::Suspicious
        } else {
            Verdict::Sound
        }
    }

    fn judge_route(&mut self, name: &str, seen: &Seen, look: Look) -> Option<BadVersion> {
        let route = self.routes.entry(name.to_owned()).or_default();
        route.remember_base(seen.base_now, look.memory);
        route.excess.add(seen.target_now, route.recent_base);
        let tolerated = route.tolerated_share(seen.base, look.is_alone);
        let bad_share = tolerated + BAD_SHARE;
        let (ended, bad) = seen.target_now;
        let good = ended.saturating_sub(bad) as f64;
        let gain = bad as f64 * (bad_share / tolerated).ln()
            + good * ((1.0 - bad_share) / (1.0 - tolerated)).ln();
        route.score = (route.score + gain).max(0.0);
        let is_bad = route.score >= BAD_SCORE || route.excess.is_certain();
        is_bad.then(|| BadVersion {
            route: name.to_owned(),
            target: seen.target,
            base: seen.base,
        })
    }
}

/// One look at the outcomes.
#[derive(Clone, Copy, Debug)]
struct Look {
    /// What requests count for that were recent at the last look.
    memory: f64,
    /// Nothing is sent to other versions any more.
    is_alone: bool,
}

/// Requests that ended and bad ones among them, of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    target_now: (u64, u64),
    base_now: (u64, u64),
    target: (u64, u64),
    base: (u64, u64),
}

impl RouteJudgement {
    fn remember_base(&mut self, (ended, bad): (u64, u64), memory: f64) {
        self.recent_base.0 = self.recent_base.0 * memory + ended as f64;
        self.recent_base.1 = self.recent_base.1 * memory + bad as f64;
    }

    /// The share of bad requests that a sound version may have now, given all requests at the versions before.
    fn tolerated_share(&self, base: (u64, u64), is_alone: bool) -> f64 {
        let (ended, bad) = self.recent_base;
        let lately = if ended >= MIN_BASE as f64 {
            bad / ended
        } else {
            0.0
        };
        let usual = share(base).max(lately) * TOLERATED_FACTOR + TOLERATED_EXCESS;
        let least = if is_alone {
            TOLERATED_SHARE_ALONE
        } else {
            TOLERATED_SHARE
        };
        usual.clamp(least, 1.0 - BAD_SHARE - TOLERATED_SHARE)
    }
}

/// The sum over all routes.
#[derive(Default)]
struct Pooled(Seen);

impl Pooled {
    fn add(&mut self, more: &Seen) {
        let add = |sum: &mut (u64, u64), more: (u64, u64)| {
            *sum = (sum.0 + more.0, sum.1 + more.1);
        };
        add(&mut self.0.target_now, more.target_now);
        add(&mut self.0.base_now, more.base_now);
        add(&mut self.0.target, more.target);
        add(&mut self.0.base, more.base);
    }
}
