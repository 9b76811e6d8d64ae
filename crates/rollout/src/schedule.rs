//! How much of a service's traffic a new version may get, and when: a trial, then a rise by steps.

use lynxmill_time::TimeDelta;

/// The bounds on what a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// The share of the requests between the order and the term.
    pub share: f64,
    /// Requests beyond that share.
    pub slack: f64,
}

/// The share that is taken where the settings name none.
const DEFAULT_EXPOSURE: f64 = 0.1;
/// The trial's share, as a part of the bound.
const TRIAL_SHARE: f64 = 0.5;
/// The steps of the rise: the share as a part of the bound, and the part of the term after which it begins.
const RISE: [(f64, f64); 2] = [(1.5, 0.40), (3.5, 0.48)];
/// The part of the term after which the version gets all requests.
const TAKE_OVER: f64 = 0.56;
/// The part of the bound that is used by plan.
const USED_EXPOSURE: f64 = 0.9;
/// The same for a service whose traffic is divided by key: a trial by a few tasks, then all keys at once, since keys take
/// seconds to change hands.
const TRIAL_SHARE_BY_KEY: f64 = 1.0;
const TAKE_OVER_BY_KEY: f64 = 0.5;
/// The part of the bound after which a trial by key does not wait for its time: a service with few tasks uses it up early.
const EARLY_TAKE_OVER: f64 = 0.5;
/// The least time that a rate is taken over, in seconds.
const MIN_ELAPSED_S: f64 = 0.1;
/// How long it may take until a bad version is found and all edges know.
const REACTION: TimeDelta = TimeDelta::from_micros(1_000_000);

/// How a service's traffic is divided among versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TrafficDivision {
    /// Request by request.
    #[default]
    ByRequest,
    /// By the keys that tasks hold.
    ByKey,
}

/// The steps of one rollout.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    duration: TimeDelta,
    bounds: ExposureBounds,
    division: TrafficDivision,
}

impl Schedule {
    /// The steps within the operator's term.
    pub fn new(duration: TimeDelta, bounds: ExposureBounds, division: TrafficDivision) -> Self {
        let share = if bounds.share > 0.0 {
            bounds.share
        } else {
            DEFAULT_EXPOSURE
        };
        Schedule {
            duration,
            bounds: ExposureBounds { share, ..bounds },
            division,
        }
    }

    /// The operator's term.
    pub fn duration(&self) -> TimeDelta {
        self.duration
    }

    /// The share of the trial.
    pub fn trial_share(&self) -> f64 {
        let part = match self.division {
            TrafficDivision::ByRequest => TRIAL_SHARE,
            TrafficDivision::ByKey => TRIAL_SHARE_BY_KEY,
        };
        (self.bounds.share * part).min(1.0)
    }

    /// The step after a share: the next share, and when it may begin, from the order.
    pub fn next_step(&self, share: f64) -> (f64, TimeDelta) {
        if self.division == TrafficDivision::ByKey {
            return (1.0, self.duration.times(TAKE_OVER_BY_KEY));
        }
        let steps = RISE
            .iter()
            .map(|(part, after)| (self.bounds.share * part, *after));
        let next = steps
            .filter(|(next, _)| *next < 1.0)
            .find(|(next, _)| *next > share + 1e-9);
        let (share, after) = next.unwrap_or((1.0, TAKE_OVER));
        (share, self.duration.times(after))
    }

    /// Whether a version that turns bad right after a step to this share would stay within the bound. `requests` and
    /// `sent` are what the service and the version got so far.
    pub fn keeps_bound(&self, share: f64, requests: u64, sent: u64, elapsed: TimeDelta) -> bool {
        let rate = requests as f64 / elapsed.secs().max(MIN_ELAPSED_S);
        let allowed = self.allowed(requests, elapsed);
        sent as f64 + rate * share * REACTION.secs() <= allowed
    }

    /// Whether a version got all that a bad one may by plan.
    pub fn is_used_up(&self, requests: u64, sent: u64, elapsed: TimeDelta) -> bool {
        sent as f64 > self.allowed(requests, elapsed)
    }

    /// Whether the next step may begin before its time, since the version has got much of what a bad one may.
    pub fn may_hurry(&self, requests: u64, sent: u64, elapsed: TimeDelta) -> bool {
        let enough = self.allowed(requests, elapsed) * EARLY_TAKE_OVER;
        self.division == TrafficDivision::ByKey && sent as f64 > enough
    }

    /// Requests that a version may get by plan, if as many come for its service as until now.
    fn allowed(&self, requests: u64, elapsed: TimeDelta) -> f64 {
        let elapsed_s = elapsed.secs().max(MIN_ELAPSED_S);
        let rate = requests as f64 / elapsed_s;
        let expected = rate * self.duration.secs().max(elapsed_s);
        (expected * self.bounds.share + self.bounds.slack) * USED_EXPOSURE
    }
}
