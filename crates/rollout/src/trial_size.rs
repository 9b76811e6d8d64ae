//! The size of a trial by key. Keys differ in how many requests come for them, so that the tasks of a trial may get far
//! fewer than its share; it is then made larger.

use lynxmill_time::{TimeDelta, Timestamp};

/// How long requests are counted before the size is looked at. Keys take most of it to change hands.
const WINDOW: TimeDelta = TimeDelta::from_micros(2_500_000);
/// A trial that gets less than this part of its share is made larger.
const SMALL_PART: f64 = 0.5;
/// By how much it is made larger at a time, and at most.
const STEP: f64 = 2.0;
const MAX_FACTOR: f64 = 4.0;

/// Requests for a service and for the version that is brought in, counted from some moment on.
#[derive(Clone, Copy, Debug)]
struct Window {
    since: Timestamp,
    requests: u64,
    target_requests: u64,
}

/// By how much a trial is larger than its share says.
#[derive(Clone, Debug)]
pub(crate) struct TrialSize {
    factor: f64,
    window: Option<Window>,
}

impl Default for TrialSize {
    fn default() -> Self {
        TrialSize {
            factor: 1.0,
            window: None,
        }
    }
}

impl TrialSize {
    /// The number of tasks is to be multiplied by this.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    /// Takes all requests so far, and those for the version, while it has this share.
    pub(crate) fn observe(
        &mut self,
        now: Timestamp,
        share: f64,
        requests: u64,
        target_requests: u64,
    ) {
        let current = Window {
            since: now,
            requests,
            target_requests,
        };
        let window = *self.window.get_or_insert(current);
        if now - window.since < WINDOW {
            return;
        }
        self.window = Some(current);
        let expected = requests.saturating_sub(window.requests) as f64 * share;
        let sent = target_requests.saturating_sub(window.target_requests) as f64;
        if expected > 0.0 && sent < expected * SMALL_PART {
            self.factor = (self.factor * STEP).min(MAX_FACTOR);
        }
    }
}
