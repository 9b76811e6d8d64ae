//! A process whose descriptors or memory have grown between two calm moments with the same work.

use super::{Rule, Violation};
use crate::ledger::Records;

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
        if last.descriptors > first.descriptors + MORE_DESCRIPTORS {
            let text = format!(
                "{} descriptors, then {}",
                first.descriptors, last.descriptors
            );
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
    found
}
