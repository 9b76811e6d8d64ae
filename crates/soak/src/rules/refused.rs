//! REFUSED: a request that is not repeatable is answered with 408, 421, 429 or 503, yet it has run, or it runs later.

use super::{Evidence, Rule, Violation};
use crate::ledger::{Outcome, Try};

/// Statuses that promise that a request has not run and never will.
pub(crate) const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let records = evidence.records;
    let promised = records.tries.iter().filter(|sent| {
        let is_promise =
            matches!(&sent.outcome, Outcome::Answered { status, .. } if PROMISES.contains(status));
        is_promise && !sent.repeatable
    });
    promised
        .filter_map(|sent| {
            let until = next_try_at(evidence, sent).unwrap_or(f64::INFINITY);
            let runs = records.runs_of(&sent.id);
            let run = runs
                .iter()
                .find(|run| (sent.sent..until).contains(&run.begun))?;
            let text = format!("edge-{} refused it, {} ran it", sent.edge + 1, run.task);
            Some(Violation::new(Rule::Refused, sent.ended, &sent.id, text))
        })
        .collect()
}

/// From then on a run may belong to a later try.
fn next_try_at(evidence: &Evidence<'_>, sent: &Try) -> Option<f64> {
    let tries = evidence.tries_of(&sent.id).iter();
    tries
        .filter(|other| other.sent > sent.sent)
        .map(|other| other.sent)
        .min_by(f64::total_cmp)
}
