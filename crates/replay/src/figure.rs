//! Service as the users define it: billed value answered within the latency objective, divided by billed value
//! asked for, from the first second, each client's retries under its first try.

use lynxmill_time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

use crate::checks::RuleViolation;
use crate::terms::ReplayConfig;

/// What an invocation came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Succeeded,
    /// Answered, but after its objective.
    Late,
    RateLimited,
    Errored,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    pub asked: u64,
    pub succeeded: u64,
    pub late: u64,
    pub rate_limited: u64,
    pub errored: u64,
    /// Without an answer when the day ended.
    pub open: u64,
    pub billed_asked: f64,
    pub billed_answered: f64,
}

impl Tally {
    fn ask(&mut self, worth: f64) {
        self.asked += 1;
        self.open += 1;
        self.billed_asked += worth;
    }

    fn came(&mut self, came: RequestOutcome, worth: f64) {
        self.open -= 1;
        match came {
            RequestOutcome::Succeeded => {
                self.succeeded += 1;
                self.billed_answered += worth;
            }
            RequestOutcome::Late => self.late += 1,
            RequestOutcome::RateLimited => self.rate_limited += 1,
            RequestOutcome::Errored => self.errored += 1,
        }
    }

    /// Every invocation asked for is somewhere.
    pub fn conserved(&self) -> bool {
        self.asked == self.succeeded + self.late + self.rate_limited + self.errored + self.open
    }

    /// 1 where nothing was asked for.
    pub fn service(&self) -> f64 {
        if self.billed_asked > 0.0 {
            self.billed_answered / self.billed_asked
        } else {
            1.0
        }
    }
}

/// Length of a window.
pub(crate) const WINDOW: TimeDelta = TimeDelta::from_micros(10_000_000);

pub struct Account {
    worth: Vec<f64>,
    pub whole: Tally,
    pub operations: Vec<Tally>,
    pub windows: Vec<Tally>,
}

impl Account {
    pub fn new(terms: &ReplayConfig, length: TimeDelta) -> Self {
        let windows = (length.micros() / WINDOW.micros() + 1).clamp(1, 100_000) as usize;
        Account {
            worth: terms.operations.iter().map(|o| o.worth).collect(),
            whole: Tally::default(),
            operations: vec![Tally::default(); terms.operations.len()],
            windows: vec![Tally::default(); windows],
        }
    }

    fn window(&self, first: Timestamp) -> usize {
        ((first.micros().max(0) / WINDOW.micros()) as usize).min(self.windows.len() - 1)
    }

    pub fn asked(&mut self, operation: usize, first: Timestamp) {
        let (worth, window) = (self.worth[operation], self.window(first));
        self.whole.ask(worth);
        self.operations[operation].ask(worth);
        self.windows[window].ask(worth);
    }

    pub fn came(&mut self, operation: usize, first: Timestamp, came: RequestOutcome) {
        let (worth, window) = (self.worth[operation], self.window(first));
        self.whole.came(came, worth);
        self.operations[operation].came(came, worth);
        self.windows[window].came(came, worth);
    }

    pub fn conserved(&self) -> bool {
        let all = || {
            std::iter::once(&self.whole)
                .chain(&self.operations)
                .chain(&self.windows)
        };
        let parts = |of: &[Tally]| of.iter().map(|t| t.asked).sum::<u64>() == self.whole.asked;
        all().all(Tally::conserved) && parts(&self.operations) && parts(&self.windows)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportPart {
    pub name: String,
    pub service: f64,
    pub tally: Tally,
}

/// What a play of a day came to. The same day and settings give the same bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub day: String,
    pub day_digest: String,
    pub settings_digest: String,
    /// Settings that differ from the recorded ones.
    pub changed: Vec<(String, String)>,
    /// None where a rule was broken: such a play counts for nothing.
    pub service: Option<f64>,
    pub broken: Vec<RuleViolation>,
    pub whole: Tally,
    pub operations: Vec<ReportPart>,
    pub windows: Vec<ReportPart>,
    pub worst_window: Option<String>,
    pub tries: u64,
    /// Owners published that were not the ones before.
    pub moves: u64,
    pub orders: u64,
    pub calls: u64,
    /// How close the day came to the limits.
    pub most_waiting: f64,
    pub most_messages: usize,
    pub longest_bare_s: f64,
    pub longest_drain_s: f64,
    /// Digest of all that the assigners heard and ordered.
    pub course: String,
}

impl Report {
    /// The canonical text: what two plays are compared by.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
