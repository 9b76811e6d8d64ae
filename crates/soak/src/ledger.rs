//! What was sent, run, answered, granted and done, by time. Times are seconds since the start of the soak.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use lynxmill_deployment::Machine;
use serde::Serialize;

/// How a client's try of a request ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Outcome {
    /// A whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// The task's seal; empty if there is none.
        seal: String,
        /// It is whole, has the id that was sent and, where a task answered, that task's bytes.
        is_own: bool,
    },
    /// The connection ended without a whole answer.
    Cut,
    /// The client left before.
    Left,
    /// The client's time was over.
    TimedOut,
    /// There was no connection: nothing was sent.
    NotSent,
}

/// One try of a request on a connection of a client.
#[derive(Clone, Debug, Serialize)]
pub struct Try {
    /// `Lynxmill-Attempt-Id`: the same for all tries of a request.
    pub id: String,
    /// The path without the id.
    pub kind: &'static str,
    /// It may run more than once.
    pub repeatable: bool,
    /// The edge.
    pub edge: usize,
    /// When its first byte was sent.
    pub sent: f64,
    /// When its last byte was sent.
    pub sent_whole: f64,
    /// When the answer was whole, or it was over.
    pub ended: f64,
    /// How it ended.
    pub outcome: Outcome,
}

/// What a task does with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum TaskFault {
    /// It answers.
    None,
    /// It closes the connection in the midst of the answer.
    Cut,
    /// It answers after half a second more.
    Late,
    /// It sends the whole answer twice.
    Twice,
    /// It answers 503 though it has run, and does not say that it has not.
    RefusedAfterRun,
    /// Its answer has no length and ends with the connection.
    WithoutLength,
    /// Its version is bad: it answers 500.
    BadVersion,
}

/// A request that a task has run.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// `Lynxmill-Attempt-Id`.
    pub id: String,
    /// The task.
    pub task: String,
    /// When it arrived.
    pub begun: f64,
    /// When its answer was given to the socket; none if it was not.
    pub ended: Option<f64>,
    /// What the task did.
    pub fault: TaskFault,
}

/// A task's life.
#[derive(Clone, Debug, Serialize)]
pub struct TaskLife {
    /// Its service.
    pub service: &'static str,
    /// Its software's version.
    pub version: String,
    /// Its zone.
    pub zone: &'static str,
    /// When its draining, or its sign-off if that came first, was acknowledged.
    pub leave_acknowledged: Option<f64>,
    /// When its process ended.
    pub ended: Option<f64>,
}

/// Keys that a task held for a time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Hold {
    /// The task.
    pub task: String,
    /// The first key.
    pub first: u32,
    /// The last key.
    pub last: u32,
    /// The fence.
    pub fence: u64,
    /// From when.
    pub since: f64,
    /// Until when: released, run out, or the task's end.
    pub until: f64,
}

/// What was done to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum MachineEvent {
    /// SIGTERM.
    Terminated,
    /// SIGKILL by the schedule.
    Killed,
    /// SIGSTOP.
    Frozen,
    /// SIGCONT.
    Thawed,
    /// SIGHUP.
    HungUp,
    /// Its process has started.
    Started,
    /// It ended after SIGTERM, in order.
    Ended,
    /// It ended after SIGTERM with a status that is no success.
    EndedBadly,
    /// It was still there at the end of the grace, and got SIGKILL.
    OutlastedGrace,
    /// It ended by itself.
    EndedByItself,
}

/// A change of the configuration: the route `/moving/` goes to a service.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// Its version.
    pub version: u64,
    /// The service.
    pub service: &'static str,
    /// When it was sent first.
    pub sent: f64,
    /// When it was acknowledged.
    pub acknowledged: Option<f64>,
}

/// A zone that was evacuated.
#[derive(Clone, Debug, Serialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: &'static str,
    /// When its evacuation was acknowledged.
    pub acknowledged: Option<f64>,
    /// When it was asked to be taken back.
    pub taken_back: Option<f64>,
}

/// How a rollout has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RolloutEnd {
    /// The version has taken over.
    Completed,
    /// The version gets nothing.
    Reverted,
}

/// A version of a service that was brought in.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: &'static str,
    /// The version.
    pub version: String,
    /// Half of its answers are failures.
    pub is_bad: bool,
    /// Its term, in seconds from the order.
    pub term_s: f64,
    /// When it was ordered first.
    pub ordered: f64,
    /// When the order was acknowledged.
    pub acknowledged: Option<f64>,
    /// When its end was told, and what it was.
    pub ended: Option<(f64, RolloutEnd)>,
    /// The end that was read back, where it was the newest of its service.
    pub read_back: Option<RolloutEnd>,
}

/// What a process uses at a moment.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// When.
    pub at: f64,
    /// Open descriptors.
    pub descriptors: usize,
    /// Those of them that are connections of tasks and operators.
    pub callers: usize,
    /// Resident memory in MB.
    pub resident_mb: f64,
}

/// Everything that happened.
#[derive(Debug, Default, Serialize)]
pub struct Records {
    /// Tries of requests, by their end.
    pub tries: Vec<Try>,
    /// Runs by request.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// Tasks by id.
    pub tasks: BTreeMap<String, TaskLife>,
    /// Keys held, for holds that are over.
    pub holds: Vec<Hold>,
    /// What was done to each machine.
    #[serde(skip)]
    pub machines: BTreeMap<Machine, Vec<(f64, MachineEvent)>>,
    /// Changes by version.
    pub changes: Vec<Change>,
    /// Evacuations in order.
    pub evacuations: Vec<Evacuation>,
    /// Versions of services that were brought in.
    pub rollouts: Vec<RolloutRecord>,
    /// What processes use while nothing is disrupted, at the start and at the end, by machine and incarnation.
    #[serde(skip)]
    pub usage: BTreeMap<(Machine, u32), Vec<Usage>>,
    /// Versions that were read back at the end.
    pub read_back: Option<u64>,
}

impl Records {
    /// Notes what was done to a machine.
    pub fn machine(&mut self, machine: Machine, at: f64, event: MachineEvent) {
        self.machines.entry(machine).or_default().push((at, event));
    }

    /// What the last process of each machine used when it was last measured.
    pub fn last_usage(&self) -> BTreeMap<Machine, Usage> {
        let mut last: BTreeMap<Machine, Usage> = BTreeMap::new();
        for ((machine, _), usages) in &self.usage {
            for usage in usages {
                let known = last.entry(*machine).or_insert(*usage);
                if usage.at > known.at {
                    *known = *usage;
                }
            }
        }
        last
    }

    /// Tasks whose processes run at a moment.
    pub fn running_tasks(&self, at: f64) -> usize {
        let runs = |life: &&TaskLife| life.ended.is_none_or(|ended| ended > at);
        self.tasks.values().filter(runs).count()
    }

    /// Runs of one request.
    pub fn runs_of(&self, id: &str) -> &[Run] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    /// Whether something was done to a machine in a span of time.
    pub fn disturbed(&self, machine: Machine, from: f64, to: f64) -> bool {
        let events = self.machines.get(&machine);
        events.is_some_and(|events| events.iter().any(|(at, _)| (from..=to).contains(at)))
    }

    /// Whether something was done to any member of the core in a span of time.
    pub fn core_disturbed(&self, from: f64, to: f64) -> bool {
        let members = self.machines.keys().copied();
        members
            .filter(|machine| matches!(machine, Machine::Member(_)))
            .any(|machine| self.disturbed(machine, from, to))
    }

    /// Whether an edge is in touch for a whole span: neither it nor the core was disturbed then, nor `contact_s` before.
    pub fn in_touch(&self, edge: usize, from: f64, to: f64, contact_s: f64) -> bool {
        let from = from - contact_s;
        !self.disturbed(Machine::Edge(edge), from, to) && !self.core_disturbed(from, to)
    }
}

/// The records of a soak under way, shared by all that take part.
#[derive(Debug)]
pub struct Ledger {
    began: Instant,
    records: Mutex<Records>,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger {
            began: Instant::now(),
            records: Mutex::default(),
        }
    }
}

impl Ledger {
    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// A moment in seconds since the start.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.began).as_secs_f64()
    }

    /// The records.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
