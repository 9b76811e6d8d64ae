//! DRAIN: later than `DrainS` after a machine acknowledged that a task is draining or gone, a request reaches the task, sent on by
//! machines in touch.

use super::{Bounds, Rule, Violation, runs_in_touch};
use crate::ledger::{Records, Run};

pub(super) fn check(records: &Records, bounds: &Bounds) -> Vec<Violation> {
    let left = |run: &Run| {
        let life = records.tasks.get(&run.task)?;
        life.leave_acknowledged
    };
    runs_in_touch(records, bounds, |run| {
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
