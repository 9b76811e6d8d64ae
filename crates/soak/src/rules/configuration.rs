//! CONFIG: an edge in touch handles a request sent later than `ConfigApplyS` after a change was acknowledged by an older
//! version; or the newest acknowledged change is not read back at the end.

use super::{Bounds, Evidence, Rule, Violation};
use crate::ledger::{Change, Records};

pub(super) fn check(evidence: &Evidence<'_>, bounds: &Bounds) -> Vec<Violation> {
    let records = evidence.records;
    let mut found = Vec::new();
    for (place, change) in records.changes.iter().enumerate() {
        let next_sent = records.changes.get(place + 1).map(|next| next.sent);
        let Some(acknowledged) = change.acknowledged else {
            continue;
        };
        let from = acknowledged + bounds.config_apply_s;
        let until = next_sent.unwrap_or(f64::INFINITY);
        found.extend(wrong_runs(evidence, bounds, change, from, until));
    }
    found.extend(forgotten(records));
    found
}

fn wrong_runs(
    evidence: &Evidence<'_>,
    bounds: &Bounds,
    change: &Change,
    from: f64,
    until: f64,
) -> Vec<Violation> {
    let elsewhere = |task: &str| {
        let life = evidence.records.tasks.get(task);
        life.is_some_and(|life| life.service != change.service)
    };
    evidence
        .runs_in_touch(bounds, |run| run.begun > from && elsewhere(&run.task))
        .into_iter()
        .filter(|(run, sent)| sent.kind == "moving" && sent.sent > from && run.begun < until)
        .map(|(run, sent)| {
            let text = format!(
                "{} ran it {:.2} s after version {} was acknowledged",
                run.task,
                sent.sent - (from - bounds.config_apply_s),
                change.version
            );
            Violation::new(Rule::Config, run.begun, &run.id, text)
        })
        .collect()
}

fn forgotten(records: &Records) -> Option<Violation> {
    let newest = records
        .changes
        .iter()
        .filter(|change| change.acknowledged.is_some());
    let newest = newest.map(|change| change.version).max()?;
    let read_back = records.read_back?;
    let text = format!("version {newest} was acknowledged, {read_back} is read back");
    (read_back < newest)
        .then(|| Violation::new(Rule::Config, f64::INFINITY, "the configuration", text))
}
