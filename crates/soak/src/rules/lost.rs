//! LOST: around planned work (from a SIGTERM until 1 s after `GraceS`, or after a SIGHUP) a process has read a whole request and
//! the connection ends without a complete answer, once a task has it or later than `LossSlackS` after its last byte.

use lynxmill_deployment::Machine;

use super::{Bounds, Rule, Violation};
use crate::ledger::{MachineEvent, Outcome, Records, Run, TaskFault, Try};

/// Planned work counts for so long after the grace.
const AFTER_GRACE_S: f64 = 1.0;

pub(super) fn check(records: &Records, bounds: &Bounds) -> Vec<Violation> {
    let cut = records
        .tries
        .iter()
        .filter(|sent| sent.outcome == Outcome::Cut);
    cut.filter(|sent| is_lost(records, bounds, sent))
        .map(|sent| {
            let runs = runs_of(records, sent).count();
            let text = format!(
                "edge-{} closed without a whole answer; {runs} runs",
                sent.edge + 1
            );
            Violation::new(Rule::Lost, sent.ended, &sent.id, text)
        })
        .collect()
}

/// The runs that a try brought about; others of its request came of other tries.
fn runs_of<'a>(records: &'a Records, sent: &Try) -> impl Iterator<Item = &'a Run> {
    let span = sent.sent..=sent.ended;
    let runs = records.runs_of(&sent.id).iter();
    runs.filter(move |run| span.contains(&run.begun))
}

fn is_lost(records: &Records, bounds: &Bounds, sent: &Try) -> bool {
    let reached = runs_of(records, sent).next().is_some();
    let was_read = reached || sent.ended - sent.sent_whole > bounds.loss_slack_s;
    let task_broke_off =
        runs_of(records, sent).any(|run| run.fault == TaskFault::Cut || run.ended.is_none());
    let too_late = sent.ended - sent.sent >= bounds.deadline_s;
    was_read
        && !task_broke_off
        && !too_late
        && !is_unplanned(records, bounds, sent)
        && planned_at(records, bounds, sent)
            .is_some_and(|planned| !worked_late(records, bounds, sent, planned))
}

/// The planned work that the try falls into.
fn planned_at(records: &Records, bounds: &Bounds, sent: &Try) -> Option<f64> {
    let events = records.machines.get(&Machine::Edge(sent.edge))?;
    let lasts = bounds.grace_s + AFTER_GRACE_S;
    events
        .iter()
        .filter(|(_, event)| matches!(event, MachineEvent::Terminated | MachineEvent::HungUp))
        .map(|(at, _)| *at)
        .find(|at| sent.ended >= *at && sent.sent <= at + lasts)
}

fn is_unplanned(records: &Records, bounds: &Bounds, sent: &Try) -> bool {
    let span = sent.sent - bounds.contact_s..=sent.ended;
    let is_unplanned = |event: &MachineEvent| {
        matches!(
            event,
            MachineEvent::Killed | MachineEvent::Frozen | MachineEvent::Thawed
        )
    };
    records.machines.iter().any(|(machine, events)| {
        let concerned =
            matches!(machine, Machine::Member(_)) || *machine == Machine::Edge(sent.edge);
        concerned
            && events
                .iter()
                .any(|(at, event)| span.contains(at) && is_unplanned(event))
    })
}

/// Whether the task was still at work in the second half of the grace.
fn worked_late(records: &Records, bounds: &Bounds, sent: &Try, planned: f64) -> bool {
    let half = planned + bounds.grace_s / 2.0;
    runs_of(records, sent).any(|run| run.ended.is_none_or(|ended| ended > half))
}
