//! OWNER: two tasks that are up hold the same keys for over half a second.

use super::{Rule, Violation};
use crate::ledger::{Hold, Records};

/// For so long two tasks may hold a key.
const LONGEST_OVERLAP_S: f64 = 0.5;

pub(super) fn check(records: &Records) -> Vec<Violation> {
    let mut holds: Vec<&Hold> = records.holds.iter().collect();
    holds.sort_by(|a, b| a.since.total_cmp(&b.since));
    let mut found = Vec::new();
    for (place, second) in holds.iter().enumerate() {
        let first = holds[..place]
            .iter()
            .find(|first| overlaps(records, first, second));
        if let Some(first) = first {
            found.push(violation(first, second));
        }
    }
    found
}

fn overlaps(records: &Records, first: &Hold, second: &Hold) -> bool {
    let service = |hold: &Hold| records.tasks.get(&hold.task).map(|life| life.service);
    let shared_keys = first.first <= second.last && second.first <= first.last;
    let shared_time = first.until.min(second.until) - first.since.max(second.since);
    first.task != second.task
        && service(first) == service(second)
        && shared_keys
        && shared_time > LONGEST_OVERLAP_S
}

fn violation(first: &Hold, second: &Hold) -> Violation {
    let key = first.first.max(second.first);
    let text = format!(
        "{} (fence {}) until {:.3} s and {} (fence {}) from {:.3} s on",
        first.task, first.fence, first.until, second.task, second.fence, second.since
    );
    Violation::new(
        Rule::Owner,
        second.since + LONGEST_OVERLAP_S,
        format!("key {key}"),
        text,
    )
}
