//! What is written to disks.

use lynxmill_control_node::Input;

use super::{Event, World};
use crate::disk::Synced;
use crate::sabotage::Sabotage;

impl World {
    pub(super) fn store(&mut self, machine: usize, ticket: u64, batch: lynxmill_storage::Batch) {
        self.ledger.written(self.now, &batch.registers);
        if let Some(members) = batch
            .members
            .as_ref()
            .filter(|members| members.epoch > self.membership.epoch)
        {
            self.previous_membership = std::mem::replace(&mut self.membership, members.clone());
            self.membership_since = self.now;
        }
        let host = &mut self.machines[machine];
        let Some(life) = host.process.as_ref().map(|process| process.incarnation) else {
            return;
        };
        if let Some(over) = host.disk.store(self.now, ticket, batch, &mut self.random) {
            self.queue.add(over, Event::Synced { machine, life });
        }
        if let Some(Sabotage::StoredBeforeSync) = self.options.sabotage {
            self.machines[machine].inbox.push_back(Input::Stored {
                ticket,
                failure: None,
            });
        }
    }

    pub(super) fn synced(&mut self, machine: usize, life: u64) {
        let host = &mut self.machines[machine];
        if !host.runs(life) {
            return;
        }
        match host.disk.synced(self.now, &mut self.random) {
            Synced::Later(at) => self.queue.add(at, Event::Synced { machine, life }),
            Synced::Done {
                ticket,
                failure,
                next,
            } => {
                next.into_iter()
                    .for_each(|at| self.queue.add(at, Event::Synced { machine, life }));
                self.input(machine, Input::Stored { ticket, failure });
            }
        }
    }
}
