//! A process that ends by itself, that fails on SIGTERM, or that is there at the end of `GraceS`.

use super::{Rule, Violation};
use crate::ledger::{MachineEvent, Records};

pub(super) fn check(records: &Records) -> Vec<Violation> {
    let mut found = Vec::new();
    for (machine, events) in &records.machines {
        for (at, event) in events {
            let text = match event {
                MachineEvent::EndedByItself => "ended by itself",
                MachineEvent::EndedBadly => "failed after SIGTERM",
                MachineEvent::OutlastedGrace => "was still there at the end of its grace",
                _ => continue,
            };
            found.push(Violation::new(Rule::Process, *at, machine, text));
        }
    }
    found
}
