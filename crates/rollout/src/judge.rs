//! Whether a new version is worse than those before it.
//!
//! A request counts as bad if it failed, or if its answer was slow, by one of two measures: slower than nearly all answers
//! of the versions before on its route, or several times as slow as usual there. On each route, and over all of them, a
//! sequential test compares two hypotheses: that the share of bad requests is what the versions before have (and some
//! more), or that it is larger by [`BAD_SHARE`]. The score never falls below zero (CUSUM), so that a version that turns
//! bad late is found as soon as one that always was. A second test finds a difference that is smaller and certain. A
//! version is sound only once the same hypotheses, compared over all of its requests, speak for it on each route that
//! carries much of the traffic.

use std::collections::BTreeMap;
use std::fmt;

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
/// The part of the answers of the versions before that may be slow by the narrower measure.
const SLOWEST_PART: f64 = 0.1;
/// The logarithm of the likelihood ratio at which a version is found sound over all routes, and on each main one: errors of
/// 1 in 50 and 1 in 14.
const SOUND_SCORE: f64 = 3.9;
const ROUTE_SOUND_SCORE: f64 = 2.6;
/// The part of the requests from which a route has to speak for a version.
const MAIN_ROUTE_PART: f64 = 0.1;
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
    /// Its requests speak for it.
    Sound,
    /// Too few requests to tell.
    Unknown,
    /// It may be bad: it should not be sent more than it is.
    Suspicious,
    /// It is bad.
    Bad(RouteShares),
}

/// Requests that ended on a route, and bad ones among them.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteShares {
    /// The route.
    pub route: String,
    /// Requests of the new version, and bad ones among them.
    pub target: (u64, u64),
    /// Requests of the versions before, and bad ones among them.
    pub base: (u64, u64),
}

impl fmt::Display for RouteShares {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RouteShares {
            route,
            target,
            base,
        } = self;
        write!(
            out,
            "{route}: {} of {} requests, {} of {} before",
            target.1, target.0, base.1, base.0
        )
    }
}

/// The requests of each route that failed or took several times as long as usual.
pub(crate) fn shares_by_route(totals: &BTreeMap<String, RouteOutcomes>) -> Vec<RouteShares> {
    let shares = totals.iter().map(|(route, all)| {
        let slow_from = Measure::SeveralTimes.slow_bucket(&all.base);
        RouteShares {
            route: route.clone(),
            target: bad_of(&all.target, slow_from),
            base: bad_of(&all.base, slow_from),
        }
    });
    shares.collect()
}

/// What makes an answer slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Measure {
    /// It took several times as long as answers of the versions before usually do.
    SeveralTimes,
    /// It took longer than nearly all answers of the versions before.
    NearlyAll,
}

impl Measure {
    const ALL: [Measure; 2] = [Measure::SeveralTimes, Measure::NearlyAll];

    /// The bucket above which answers are slow; none if too few of the versions before are known.
    fn slow_bucket(self, base: &Counts) -> Option<usize> {
        if base.latencies.iter().sum::<u64>() < MIN_BASE {
            return None;
        }
        match self {
            Measure::SeveralTimes => base
                .quantile_bucket(0.5)
                .map(|median| median + SLOW_BUCKETS),
            Measure::NearlyAll => base.quantile_bucket(1.0 - SLOWEST_PART),
        }
    }
}

/// Requests that can be judged, and the bad ones among them.
fn bad_of(counts: &Counts, slow_from: Option<usize>) -> (u64, u64) {
    let slow = slow_from.map_or(0, |bucket| counts.slower_than(bucket));
    (counts.judged(), counts.failed + slow)
}

fn share((ended, bad): (u64, u64)) -> f64 {
    if ended == 0 {
        0.0
    } else {
        bad as f64 / ended as f64
    }
}

/// The judgement of one new version.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    routes: BTreeMap<(String, Measure), RouteJudgement>,
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
        let main_route =
            totals.values().map(|all| all.base.ended).sum::<u64>() as f64 * MAIN_ROUTE_PART;
        let mut is_sound = true;
        for measure in Measure::ALL {
            // Nothing is left that answers could be compared with so closely.
            if is_alone && measure == Measure::NearlyAll {
                continue;
            }
            let mut pooled = Pooled::default();
            for (route, all) in totals {
                let seen = Seen::new(measure, all, lately.get(route));
                pooled.add(&seen);
                let judgement = self.routes.entry((route.clone(), measure)).or_default();
                if judgement.judge(&seen, look) {
                    return Verdict::Bad(seen.shares(route));
                }
                is_sound &= (all.base.ended as f64) < main_route
                    || judgement.sound_score(&seen, look) >= ROUTE_SOUND_SCORE;
            }
            let judgement = self
                .routes
                .entry((ALL_ROUTES.to_owned(), measure))
                .or_default();
            if judgement.judge(&pooled.0, look) {
                return Verdict::Bad(pooled.0.shares(ALL_ROUTES));
            }
            is_sound &= judgement.sound_score(&pooled.0, look) >= SOUND_SCORE;
        }
        let mut judgements = self.routes.values();
        if judgements.any(|route| route.score > SUSPICIOUS_SCORE) {
            Verdict::Suspicious
        } else if is_sound {
            Verdict::Sound
        } else {
            Verdict::Unknown
        }
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

impl Seen {
    fn new(measure: Measure, all: &RouteOutcomes, lately: Option<&RouteOutcomes>) -> Self {
        let slow_from = measure.slow_bucket(&all.base);
        let now = |side: fn(&RouteOutcomes) -> &Counts| {
            lately.map_or((0, 0), |lately| bad_of(side(lately), slow_from))
        };
        Seen {
            target_now: now(|outcomes| &outcomes.target),
            base_now: now(|outcomes| &outcomes.base),
            target: bad_of(&all.target, slow_from),
            base: bad_of(&all.base, slow_from),
        }
    }

    fn shares(&self, route: &str) -> RouteShares {
        RouteShares {
            route: route.to_owned(),
            target: self.target,
            base: self.base,
        }
    }
}

/// The logarithm of the likelihood ratio of two shares of bad requests.
fn log_likelihood_ratio((ended, bad): (u64, u64), tolerated: f64, bad_share: f64) -> f64 {
    let good = ended.saturating_sub(bad) as f64;
    bad as f64 * (bad_share / tolerated).ln() + good * ((1.0 - bad_share) / (1.0 - tolerated)).ln()
}

impl RouteJudgement {
    /// Takes what came lately; whether the version is bad.
    fn judge(&mut self, seen: &Seen, look: Look) -> bool {
        self.remember_base(seen.base_now, look.memory);
        self.excess.add(seen.target_now, self.recent_base);
        let tolerated = self.tolerated_share(seen.base, look.is_alone);
        let gain = log_likelihood_ratio(seen.target_now, tolerated, tolerated + BAD_SHARE);
        self.score = (self.score + gain).max(0.0);
        self.score >= BAD_SCORE || self.excess.is_certain()
    }

    /// How much all requests together speak for the version.
    fn sound_score(&self, seen: &Seen, look: Look) -> f64 {
        let tolerated = self.tolerated_share(seen.base, look.is_alone);
        -log_likelihood_ratio(seen.target, tolerated, tolerated + BAD_SHARE)
    }

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
