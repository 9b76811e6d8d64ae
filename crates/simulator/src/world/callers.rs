//! Operators and tasks: their calls and the answers.

use std::collections::BTreeMap;

use lynxmill_control_node::{Answer, CallId, ControlRequest, Input};
use lynxmill_time::{TimeDelta, Timestamp};

use super::{Event, FIRST_VERSION, OpenCall, ROLLOUT_TASKS, World};
use crate::machine::machine_of;
use crate::network::{Endpoint, Payload};
use crate::operator::{PLAIN, ZONES};
use crate::rollout_operator::RolloutNews;
use crate::task::{Stage, TaskActor, TaskOutcome};
use crate::violation::Violation;

impl World {
    pub(super) fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    pub(super) fn call_arrives(
        &mut self,
        machine: usize,
        caller: Endpoint,
        call: u64,
        request: ControlRequest,
        sent_after: u64,
    ) {
        if !self.machines[machine].is_running() {
            if self.machines[machine].powered {
                self.send(
                    Endpoint::Machine(machine),
                    caller,
                    0,
                    Payload::Refused { call },
                );
            }
            return;
        }
        let what = match &request {
            ControlRequest::Change(_)
            | ControlRequest::Evacuate { .. }
            | ControlRequest::Rollout(_) => "an order",
            ControlRequest::ReadBack => "a read-back",
            ControlRequest::Heartbeat(_) => "a heartbeat",
            ControlRequest::SignOff(_) => "a sign-off",
        };
        self.calls.0.insert(
            call,
            OpenCall {
                caller,
                machine,
                what,
                arrived: self.now,
            },
        );
        self.input(
            machine,
            Input::Call {
                call: CallId(call),
                request,
                sent_after,
            },
        );
    }

    pub(super) fn wake_at(&mut self, caller: Endpoint, at: Timestamp) {
        let at = at.max(self.now + TimeDelta::from_micros(100));
        if self.next_wakes.insert(caller, at) != Some(at) {
            self.queue.add(at, Event::Caller(caller));
        }
    }

    pub(super) fn wake_caller(&mut self, caller: Endpoint) {
        if self.next_wakes.get(&caller) != Some(&self.now) {
            return;
        }
        match caller {
            Endpoint::Operator(index) => self.wake_operator(index),
            Endpoint::Task(index) => self.wake_task(index),
            Endpoint::RolloutOperator => self.wake_rollout_operator(),
            _ => {}
        }
    }

    pub(super) fn wake_rollout_operator(&mut self) {
        let (machines, call) = (self.listed_machines(), self.next_call());
        let Some(operator) = &mut self.rollout_operator else {
            return;
        };
        let wish = operator.wake(self.now, &machines, &mut self.ledger, call);
        let next = operator.next_wake();
        if let Some(wish) = wish {
            let process = self.machines[wish.machine].process.as_ref();
            let merged = process.map_or(0, |process| process.node.merged());
            let connection = self.operators.len();
            let sent_after = self
                .operator_connections
                .call(connection, wish.machine, merged);
            let payload = Payload::Call {
                call: wish.call,
                request: wish.request,
                sent_after,
            };
            let to = Endpoint::Machine(wish.machine);
            self.send(Endpoint::RolloutOperator, to, 0, payload);
        }
        self.wake_at(Endpoint::RolloutOperator, next);
    }

    pub(super) fn rollout_operator_answered(&mut self, call: u64, answer: &Answer) {
        let Some(operator) = &mut self.rollout_operator else {
            return;
        };
        let news = operator.answered(self.now, call, answer, &mut self.ledger);
        let next = operator.next_wake();
        self.wake_at(Endpoint::RolloutOperator, next);
        match news {
            RolloutNews::Nothing => {}
            RolloutNews::Acknowledged(version) => {
                let at = self.now;
                self.trace_line(|| format!("tasks of {version} start"));
                (0..ROLLOUT_TASKS).for_each(|_| self.add_task_of(PLAIN, &version, at));
            }
            RolloutNews::Completed(version) => {
                let now = self.now;
                let is_old =
                    |task: &&mut TaskActor| task.service == PLAIN && task.version != version;
                let old = self.tasks.iter_mut().filter(is_old);
                old.for_each(|task| task.crash(now));
                // Whoever starts from now on runs the new version.
                self.released_version = version;
            }
            RolloutNews::Reverted(version) => {
                let now = self.now;
                let new = self.tasks.iter_mut().filter(|task| task.version == version);
                new.for_each(|task| task.drain(now));
            }
        }
    }

    pub(super) fn wake_operator(&mut self, index: usize) {
        let (machines, most) = (self.listed_machines(), self.plan.orders);
        let call = self.next_call();
        let operator = &mut self.operators[index];
        let wish = operator.wake(
            self.now,
            &machines,
            most,
            &mut self.versions,
            &mut self.ledger,
            call,
        );
        if let Some(wish) = wish {
            let process = self.machines[wish.machine].process.as_ref();
            let merged = process.map_or(0, |process| process.node.merged());
            let payload = Payload::Call {
                call: wish.call,
                request: wish.request,
                sent_after: self.operator_connections.call(index, wish.machine, merged),
            };
            self.send(
                Endpoint::Operator(index),
                Endpoint::Machine(wish.machine),
                0,
                payload,
            );
        }
        self.wake_at(Endpoint::Operator(index), self.operators[index].next_wake());
    }

    pub(crate) fn add_task(&mut self, service: &'static str) {
        let version = if service == PLAIN {
            self.released_version.clone()
        } else {
            FIRST_VERSION.to_owned()
        };
        let at = self.now + self.random.time_delta(0.0, 0.5);
        self.add_task_of(service, &version, at);
    }

    /// A task that first calls at a time.
    pub(super) fn add_task_of(&mut self, service: &'static str, version: &str, at: Timestamp) {
        let index = self.tasks.len();
        let zone = ZONES[index % ZONES.len()];
        let id = format!("i-{index}");
        let task = TaskActor::new(self.plan.seed, id, service, version, zone, self.now);
        self.tasks.push(task);
        self.wake_at(Endpoint::Task(index), at);
    }

    pub(super) fn wake_task(&mut self, index: usize) {
        let machines = self.listed_machines();
        let call = self.next_call();
        if let Some((machine, request)) = self.tasks[index].wake(self.now, &machines, call) {
            let payload = Payload::Call {
                call,
                request,
                sent_after: 0,
            };
            self.send(
                Endpoint::Task(index),
                Endpoint::Machine(machine),
                0,
                payload,
            );
        }
        self.schedule_task(index);
    }

    pub(crate) fn schedule_task(&mut self, index: usize) {
        if self.tasks[index].stage != Stage::Ended {
            self.wake_at(Endpoint::Task(index), self.tasks[index].next_wake());
        }
    }

    pub(super) fn answer_arrives(&mut self, caller: Endpoint, call: u64, answer: Answer) {
        match caller {
            Endpoint::Operator(index) => {
                let before = self
                    .ledger
                    .orders
                    .iter()
                    .filter(|o| o.acknowledged.is_some())
                    .count();
                self.operators[index].answered(self.now, call, answer, &mut self.ledger);
                let after = self
                    .ledger
                    .orders
                    .iter()
                    .filter(|o| o.acknowledged.is_some())
                    .count();
                if after > before && std::mem::take(&mut self.closing) {
                    let at = self.now + self.random.time_delta(0.0, 0.002);
                    self.queue.add(at, Event::CloseNow);
                }
                self.wake_at(Endpoint::Operator(index), self.operators[index].next_wake());
            }
            Endpoint::Task(index) => self.task_answered(index, call, &answer),
            Endpoint::RolloutOperator => self.rollout_operator_answered(call, &answer),
            _ => {}
        }
    }

    pub(super) fn task_answered(&mut self, index: usize, call: u64, answer: &Answer) {
        let machines = self.listed_machines();
        let place = |address: &str| {
            let machine = machine_of(address)?;
            machines.iter().position(|listed| *listed == machine)
        };
        let news = self.tasks[index].answered(self.now, call, answer, place);
        let id = self.tasks[index].id.clone();
        match news {
            TaskOutcome::DrainAcknowledged | TaskOutcome::SignOffAcknowledged => {
                self.ledger.leaving.entry(id).or_insert(self.now);
            }
            TaskOutcome::Granted => self.check_one_owner(index),
            TaskOutcome::Nothing => {}
        }
        self.schedule_task(index);
    }

    /// No key that a task was just granted is held by another.
    pub(super) fn check_one_owner(&mut self, index: usize) {
        let now = self.now;
        let held: BTreeMap<u32, u64> = self.tasks[index].holds(now).collect();
        let service = self.tasks[index].service;
        for (place, other) in self.tasks.iter().enumerate() {
            if place == index || other.service != service {
                continue;
            }
            if let Some((from, _)) = other.holds(now).find(|(from, _)| held.contains_key(from)) {
                let (first, second) = (other.id.clone(), self.tasks[index].id.clone());
                return self.ledger.record_violation(
                    now,
                    Violation::TwoOwners {
                        from,
                        first,
                        second,
                    },
                );
            }
        }
    }

    pub(super) fn refusal_arrives(&mut self, caller: Endpoint, call: u64) {
        match caller {
            Endpoint::Operator(index) => {
                self.operators[index].refused(self.now, call, &mut self.ledger);
                self.wake_at(Endpoint::Operator(index), self.operators[index].next_wake());
            }
            Endpoint::Task(index) => {
                self.tasks[index].refused(self.now, call);
                self.schedule_task(index);
            }
            Endpoint::RolloutOperator => {
                if let Some(operator) = &mut self.rollout_operator {
                    operator.refused(self.now, call);
                    let next = operator.next_wake();
                    self.wake_at(Endpoint::RolloutOperator, next);
                }
            }
            _ => {}
        }
    }
}
