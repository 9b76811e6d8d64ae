//! ROLLOUT: an acknowledged rollout has not ended a while after its term though no member was disturbed, has another end when it is
//! read back, or a bad version was completed.

use super::{Bounds, Rule, Violation};
use crate::ledger::{Records, RolloutEnd, RolloutRecord};

/// The end is told within so long after the term.
const TOLD_WITHIN_S: f64 = 3.0;

pub(super) fn check(records: &Records, bounds: &Bounds) -> Vec<Violation> {
    let wrong = |rollout: &RolloutRecord| {
        let (at, text) = complaint(records, bounds, rollout)?;
        let subject = format!("{} to {}", rollout.service, rollout.version);
        Some(Violation::new(Rule::Rollout, at, subject, text))
    };
    records.rollouts.iter().filter_map(wrong).collect()
}

fn complaint(
    records: &Records,
    bounds: &Bounds,
    rollout: &RolloutRecord,
) -> Option<(f64, &'static str)> {
    let acknowledged = rollout.acknowledged?;
    let due = acknowledged + rollout.term_s + TOLD_WITHIN_S;
    let Some((at, end)) = rollout.ended else {
        let is_calm = !records.core_disturbed(acknowledged - bounds.contact_s, due);
        return is_calm.then_some((due, "it has not ended"));
    };
    if rollout.is_bad && end == RolloutEnd::Completed {
        return Some((at, "a bad version was completed"));
    }
    let read_back = rollout.read_back?;
    (read_back != end).then_some((at, "it has another end when it is read back"))
}
