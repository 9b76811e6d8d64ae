//! DRAIN: later than `DrainS` after a machine acknowledged that a task is draining or gone, a request reaches the task, sent on by
//! machines in touch.

use super::{Bounds, Evidence, Rule, Violation};
use crate::ledger::Run;

pub(super) fn check(evidence: &Evidence<'_>, bounds: &Bounds) -> Vec<Violation> {
    let left = |run: &Run| {
        let life = evidence.records.tasks.get(&run.task)?;
        life.leave_acknowledged
    };
    evidence
        .runs_in_touch(bounds, |run| {
            left(run).is_some_and(|at| run.begun > at + bounds.drain_s)
        })
        .into_iter()
        .map(|(run, sent)| {
            let after = run.begun - left(run).unwrap_or(run.begun);
            let text = format!(
                "edge-{} sent it to {}, {after:.2} s after that had left",
                sent.edge + 1,
                run.task
            );
            Violation::new(Rule::Drain, run.begun, &run.id, text)
        })
        .collect()
}
