//! What is looked at all the time, and what has to come about in calm time.

use std::collections::BTreeMap;

use lynxmill_time::{TimeDelta, Timestamp};

use crate::machine::machine_of;
use crate::operator::SHARDED;
use crate::task::{Stage, TaskActor};
use crate::violation::Violation;
use crate::world::World;

/// Orders are settled, edges served and shards granted within so long in calm time; with the time of a retry.
const PATIENCE: TimeDelta = TimeDelta::from_micros(6_000_000);
/// While no more machines are lost than may be, and nothing more happens, orders are settled within so long.
const BORNE_PATIENCE: TimeDelta = TimeDelta::from_micros(8_000_000);
/// A member votes so long after its start.
const VOTES: TimeDelta = TimeDelta::from_micros(4_250_000);
/// A machine that is gone for good has no seat any more where another waits for it.
const SEATED: TimeDelta = TimeDelta::from_micros(10_000_000);
/// Every key has an owner so long after the last task has ended or come.
const ALL_OWNED: TimeDelta = TimeDelta::from_micros(14_000_000);
/// Requests reach no task longer after its drain was acknowledged.
const DRAIN: TimeDelta = TimeDelta::from_micros(4_000_000);
/// Machines that end within so long of an acknowledged drain may not have it on disk.
const DRAIN_SYNC: TimeDelta = TimeDelta::from_micros(1_000_000);
/// Agreed changes that a register may hold while members are well: some rounds of the orders that go
/// together.
const MAX_PENDING_CHANGES: usize = 64;
const KEYS: u32 = 65_536;
const UNIT: u32 = 1024;

impl World {
    pub(crate) fn check_invariants(&mut self) {
        self.count_losses();
        if self.is_within_tolerance() {
            self.check_orders(self.last_event, BORNE_PATIENCE);
        }
        self.check_leases();
        if let Some(violation) = self.ledger.rollouts.overexposed(self.now) {
            self.ledger.record_violation(self.now, violation);
        }
        let broken = self.network.timed_out_connections(self.now);
        self.break_connections(broken);
        let Some(calm) = self.calm_since.filter(|calm| self.now >= *calm) else {
            return;
        };
        // Whoever is told to leave in calm time, or is gone, leaves time to settle again.
        let calm = calm.max(self.last_departure);
        self.check_orders(calm, PATIENCE);
        let all_ended = self.all_ended();
        let stuck = self
            .ledger
            .rollouts
            .stuck(self.now, calm, all_ended, PATIENCE);
        if let Some(violation) = stuck {
            self.ledger.record_violation(self.now, violation);
        }
        self.check_members(calm);
        self.check_edges(calm);
        if self.now - calm > PATIENCE {
            self.check_shards();
            self.check_drains();
        }
    }

    /// The last moment by which every member's process had ended once.
    fn all_ended(&self) -> Option<Timestamp> {
        let members = self.membership.ips.iter().filter_map(|ip| machine_of(ip));
        let last_end = |machine: usize| {
            let ends = self.process_ends.iter().filter(|(_, m)| *m == machine);
            ends.map(|(at, _)| *at).max()
        };
        members.map(last_end).min().flatten()
    }

    fn check_orders(&mut self, calm: Timestamp, patience: TimeDelta) {
        for index in 0..self.operators.len() {
            let Some((since, number)) = self.operators[index].under_way() else {
                continue;
            };
            if self.now - since.max(calm) > patience {
                let order = number.unwrap_or(usize::MAX);
                self.ledger
                    .record_violation(self.now, Violation::OrderStuck { order });
            }
        }
    }

    /// At no moment do two nodes that run take the same lease for theirs, however their clocks creep. A frozen
    /// one does nothing until it has looked at its clock again.
    fn check_leases(&mut self) {
        let mut holders: BTreeMap<String, usize> = BTreeMap::new();
        for (machine, host) in self.machines.iter().enumerate() {
            let report = host.report(self.now).filter(|_| host.frozen == 0);
            for service in report.into_iter().flat_map(|report| report.held_leases) {
                if let Some(first) = holders.insert(service.clone(), machine) {
                    let violation = Violation::TwoLeaseHolders {
                        service,
                        first,
                        second: machine,
                    };
                    self.ledger.record_violation(self.now, violation);
                }
            }
        }
    }

    fn check_members(&mut self, calm: Timestamp) {
        let members: Vec<usize> = self
            .membership
            .ips
            .iter()
            .filter_map(|ip| machine_of(ip))
            .collect();
        for machine in &members {
            let host = &self.machines[*machine];
            let Some(process) = host.process.as_ref() else {
                continue;
            };
            let Some(report) = host.report(self.now) else {
                continue;
            };
            let late = self.now - process.started.max(calm) > VOTES;
            if late && !report.is_voter && !report.leaving {
                self.ledger
                    .record_violation(self.now, Violation::NoVoter { machine: *machine });
            }
            if report.pending_changes.0 > MAX_PENDING_CHANGES {
                let (machine, changes) = (*machine, report.pending_changes.0);
                self.ledger
                    .record_violation(self.now, Violation::RegisterGrew { machine, changes });
            }
        }
        let waits = self
            .listed_machines()
            .into_iter()
            .find(|machine| !members.contains(machine));
        let gone = members
            .iter()
            .any(|machine| self.machines[*machine].retired);
        if let Some(machine) = waits
            && gone
            && self.now - calm > SEATED
        {
            self.ledger
                .record_violation(self.now, Violation::NoVoter { machine });
        }
    }

    fn check_edges(&mut self, calm: Timestamp) {
        let late = self
            .edges
            .iter()
            .find(|e| !e.open && self.now - e.started.max(calm) > PATIENCE);
        if let Some(edge) = late.map(|edge| edge.name.clone()) {
            self.ledger
                .record_violation(self.now, Violation::EdgeNotServed { edge });
        }
    }

    fn sharded_tasks(&self) -> impl Iterator<Item = &TaskActor> {
        self.tasks
            .iter()
            .filter(|task| task.service == SHARDED && task.stage == Stage::Ready)
    }

    fn check_shards(&mut self) {
        let old = self
            .sharded_tasks()
            .any(|task| self.now - task.started > PATIENCE);
        let granted = self
            .sharded_tasks()
            .filter_map(|task| task.last_grant)
            .max();
        if old && granted.is_none_or(|at| self.now - at > TimeDelta::from_secs(3.0)) {
            let service = SHARDED.to_owned();
            self.ledger
                .record_violation(self.now, Violation::ShardsWithoutOwner { service });
        }
    }

    /// Where more machines ended right after an acknowledgement than may be lost, nobody may have had it on
    /// disk.
    fn is_excused_by_losses(&self, acknowledged: Timestamp) -> bool {
        let soon = |at: Timestamp| {
            at + TimeDelta::from_secs(0.1) >= acknowledged && at - acknowledged < DRAIN_SYNC
        };
        let mut ended: Vec<usize> = self
            .process_ends
            .iter()
            .filter(|(at, _)| soon(*at))
            .map(|(_, m)| *m)
            .collect();
        ended.sort_unstable();
        ended.dedup();
        ended.len() > (self.plan.core_size - 1) / 2
    }

    fn check_drains(&mut self) {
        for (task, acknowledged) in self.ledger.leaving.clone() {
            if self.now - acknowledged <= DRAIN || self.is_excused_by_losses(acknowledged) {
                continue;
            }
            if let Some(edge) = self
                .edges
                .iter()
                .find(|edge| edge.open && edge.is_usable(self.now, &task))
            {
                let place = edge.name.clone();
                self.ledger.record_violation(
                    self.now,
                    Violation::DrainForgotten {
                        task: task.clone(),
                        place,
                    },
                );
            }
        }
    }

    /// At the end of the run: every key is held by somebody, if there was time for it.
    pub(crate) fn check_at_end(&mut self) {
        let settled = self.tasks.iter().all(|t| {
            // A zone that was taken back fills again from then on.
            self.now - t.started > ALL_OWNED && t.ended.is_none_or(|at| self.now - at > ALL_OWNED)
        });
        if !settled || self.sharded_tasks().next().is_none() {
            return;
        }
        let held: std::collections::BTreeSet<u32> = self
            .sharded_tasks()
            .flat_map(|task| task.holds(self.now))
            .map(|(from, _)| from)
            .collect();
        if held.len() < (KEYS / UNIT) as usize {
            let service = format!("{SHARDED}: {} of {} parts", held.len(), KEYS / UNIT);
            self.ledger
                .record_violation(self.now, Violation::ShardsWithoutOwner { service });
        }
    }
}
