//! A process whose descriptors or memory have grown between two calm moments with the same work.
//!
//! Tasks may move from one member to another, so their connections are not compared by member: all members together
//! have about one for each task that runs.

use super::{Rule, Violation};
use crate::ledger::{Records, Usage};

/// Descriptors that may come and go, as of connections that are closing.
const MORE_DESCRIPTORS: usize = 32;
/// Memory that an allocator may keep, in MB.
const MORE_MEMORY_MB: f64 = 96.0;

pub(super) fn check(records: &Records) -> Vec<Violation> {
    let mut found = Vec::new();
    for ((machine, _), usage) in &records.usage {
        let (Some(first), Some(last)) = (usage.first(), usage.last()) else {
            continue;
        };
        if own_descriptors(last) > own_descriptors(first) + MORE_DESCRIPTORS {
            let text = format!("{}, then {}", described(first), described(last));
            found.push(Violation::new(Rule::Leak, last.at, machine, text));
        }
        if last.resident_mb > first.resident_mb + MORE_MEMORY_MB {
            let text = format!(
                "{:.0} MB, then {:.0} MB",
                first.resident_mb, last.resident_mb
            );
            found.push(Violation::new(Rule::Leak, last.at, machine, text));
        }
    }
    found.extend(callers_left(records));
    found
}

/// Descriptors that are no connections of callers.
fn own_descriptors(usage: &Usage) -> usize {
    usage.descriptors.saturating_sub(usage.callers)
}

fn described(usage: &Usage) -> String {
    format!(
        "{} descriptors, {} of them of callers",
        usage.descriptors, usage.callers
    )
}

/// Connections of callers that have gone, at the last moment.
fn callers_left(records: &Records) -> Option<Violation> {
    let last = records.last_usage();
    let (machine, latest) = last
        .iter()
        .max_by(|(_, one), (_, other)| one.at.total_cmp(&other.at))?;
    let callers: usize = last.values().map(|usage| usage.callers).sum();
    let tasks = records.running_tasks(latest.at);
    (callers > tasks + MORE_DESCRIPTORS).then(|| {
        let text = format!("{callers} connections of callers at all members for {tasks} tasks");
        Violation::new(Rule::Leak, latest.at, *machine, text)
    })
}
