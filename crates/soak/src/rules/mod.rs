//! The rules that a soak checks, each as the users' pages state it, with its windows and excuses.

mod configuration;
mod denied;
mod drain;
mod evacuation;
mod exposure;
mod leak;
mod lost;
mod mixed;
mod owner;
mod process;
mod refused;
mod rollout;
mod twice;
mod unasked;

use std::collections::BTreeMap;

use serde::Serialize;

pub(crate) use refused::PROMISES;

use crate::ledger::{Records, Run, Try};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Rule {
    /// Around planned work a client gets no whole answer to a request that was read.
    Lost,
    /// A request that may run once has run more often.
    Twice,
    /// A task ran what no client sent.
    Unasked,
    /// A client gets a success that is not its task's whole answer.
    Mixed,
    /// A request was refused with a promise that it had not run, and ran.
    Refused,
    /// Proper requests are turned away.
    Denied,
    /// Two tasks hold one key.
    Owner,
    /// An acknowledged change is not in force, or forgotten.
    Config,
    /// Requests arrive in an evacuated zone.
    Evac,
    /// Requests arrive at a task that has left.
    Drain,
    /// A bad version gets too much, or too late.
    Exposure,
    /// A rollout does not end, or a bad version is completed.
    Rollout,
    /// A process ends by itself, badly, or not within its grace.
    Process,
    /// A process uses more and more.
    Leak,
}

/// What the system has promised; times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// `ContactS`.
    pub contact_s: f64,
    /// `GraceS`.
    pub grace_s: f64,
    /// `DrainS`.
    pub drain_s: f64,
    /// `EvacuateS`.
    pub evacuate_s: f64,
    /// `ConfigApplyS`.
    pub config_apply_s: f64,
    /// `LossSlackS`.
    pub loss_slack_s: f64,
    /// `ExposureShare`: a part of a service's requests.
    pub exposure_share: f64,
    /// `ExposureSlack`: requests.
    pub exposure_slack: f64,
    /// How long clients wait.
    pub deadline_s: f64,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in seconds since the start.
    pub at: f64,
    /// The request, task, key or process concerned.
    pub subject: String,
    /// What was seen.
    pub text: String,
}

impl Violation {
    fn new(rule: Rule, at: f64, subject: impl ToString, text: impl ToString) -> Self {
        Violation {
            rule,
            at,
            subject: subject.to_string(),
            text: text.to_string(),
        }
    }
}

/// The records, and the tries of each request.
struct Evidence<'a> {
    records: &'a Records,
    tries: BTreeMap<&'a str, Vec<&'a Try>>,
}

impl<'a> Evidence<'a> {
    fn new(records: &'a Records) -> Self {
        let mut tries: BTreeMap<&str, Vec<&Try>> = BTreeMap::new();
        for sent in &records.tries {
            tries.entry(&sent.id).or_default().push(sent);
        }
        Evidence { records, tries }
    }

    /// All tries of a request.
    fn tries_of(&self, id: &str) -> &[&'a Try] {
        self.tries.get(id).map_or(&[], Vec::as_slice)
    }

    /// The try that brought a run about: it was under way as the run began.
    fn try_of(&self, run: &Run) -> Option<&'a Try> {
        let tries = self.tries_of(&run.id).iter().copied();
        tries
            .filter(|sent| sent.sent <= run.begun)
            .max_by(|a, b| a.sent.total_cmp(&b.sent))
    }

    /// Wanted runs, each with the try that brought it about, where the edge was in touch from the try to the run.
    fn runs_in_touch(
        &self,
        bounds: &Bounds,
        wanted: impl Fn(&Run) -> bool,
    ) -> Vec<(&'a Run, &'a Try)> {
        let runs = self.records.runs.values().flatten();
        runs.filter(|run| wanted(run))
            .filter_map(|run| Some((run, self.try_of(run)?)))
            .filter(|(run, sent)| {
                self.records
                    .in_touch(sent.edge, sent.sent, run.begun, bounds.contact_s)
            })
            .collect()
    }
}

/// All violations, by time.
pub fn check(records: &Records, bounds: &Bounds) -> Vec<Violation> {
    let evidence = Evidence::new(records);
    let mut all = [
        lost::check(records, bounds),
        twice::check(records),
        unasked::check(records),
        mixed::check(records),
        refused::check(&evidence),
        denied::check(records, bounds),
        owner::check(records),
        configuration::check(&evidence, bounds),
        evacuation::check(&evidence, bounds),
        drain::check(&evidence, bounds),
        exposure::check(&evidence, bounds),
        rollout::check(records, bounds),
        process::check(records),
        leak::check(records),
    ]
    .concat();
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}
