//! UNASKED: a task runs a request whose id no client sent.

use std::collections::BTreeSet;

use super::{Rule, Violation};
use crate::ledger::Records;

pub(super) fn check(records: &Records) -> Vec<Violation> {
    let sent: BTreeSet<&str> = records.tries.iter().map(|sent| sent.id.as_str()).collect();
    let runs = records.runs.iter();
    runs.filter(|(id, _)| !sent.contains(id.as_str()))
        .flat_map(|(id, runs)| {
            let first = runs.first()?;
            let text = format!("{} ran it", first.task);
            Some(Violation::new(Rule::Unasked, first.begun, id, text))
        })
        .collect()
}
