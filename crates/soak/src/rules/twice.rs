//! TWICE: a request that is not repeatable runs more than once.

use std::collections::BTreeSet;

use super::{Rule, Violation};
use crate::ledger::Records;

pub(super) fn check(records: &Records) -> Vec<Violation> {
    let once: BTreeSet<&str> = records
        .tries
        .iter()
        .filter(|sent| !sent.repeatable)
        .map(|sent| sent.id.as_str())
        .collect();
    let runs = records.runs.iter();
    runs.filter(|(id, runs)| runs.len() > 1 && once.contains(id.as_str()))
        .map(|(id, runs)| {
            let tasks: Vec<&str> = runs.iter().map(|run| run.task.as_str()).collect();
            let text = format!("ran {} times: {}", runs.len(), tasks.join(", "));
            Violation::new(Rule::Twice, runs[1].begun, id, text)
        })
        .collect()
}
