//! Which tasks there are, by their heartbeats and by the reports of other members.

use std::collections::BTreeMap;

use lynxmill_configuration::fnv1a;
use lynxmill_protocol::{Task, TaskState};
use lynxmill_time::{TimeDelta, Timestamp};

/// A task times out after this many heartbeat intervals.
const TIMEOUT_HEARTBEATS: f64 = 2.6;
/// A task is forgotten after this many heartbeat intervals.
const EXPIRY_HEARTBEATS: f64 = 40.0;

/// What a member knows of a task.
#[derive(Clone, Debug)]
pub struct InstanceRecord {
    /// The task as last described.
    pub task: Task,
    /// When its last heartbeat was received, here or elsewhere.
    pub last_seen: Timestamp,
    /// When a heartbeat of it last arrived at this member.
    pub last_heartbeat: Option<Timestamp>,
    warm_up_until: Timestamp,
}

impl InstanceRecord {
    /// The task with the warm-up time that is left now.
    pub fn as_of(&self, now: Timestamp) -> Task {
        let left = (self.warm_up_until - now).micros().max(0) / 1000;
        Task {
            warm_up_left_ms: left as u32,
            ..self.task.clone()
        }
    }
}

/// All tasks that a member knows.
#[derive(Clone, Debug)]
pub struct InstanceRegistry {
    started: Timestamp,
    heartbeat_interval: TimeDelta,
    tasks: BTreeMap<String, InstanceRecord>,
}

impl InstanceRegistry {
    /// An empty registry of a process that starts now.
    pub fn new(now: Timestamp, heartbeat_interval: TimeDelta) -> Self {
        InstanceRegistry {
            started: now,
            heartbeat_interval,
            tasks: BTreeMap::new(),
        }
    }

    /// Adds tasks that were on disk: they count as seen now and time out unless they are heard of
    /// again.
    pub fn restore(&mut self, tasks: Vec<Task>) {
        for task in tasks {
            let known = InstanceRecord {
                last_seen: self.started,
                last_heartbeat: None,
                warm_up_until: self.started,
                task,
            };
            self.tasks.insert(known.task.id.clone(), known);
        }
    }

    /// The record of a task, by `InstanceId`.
    pub fn get(&self, id: &str) -> Option<&InstanceRecord> {
        self.tasks.get(id)
    }

    /// All records, in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.tasks.values()
    }

    /// Whether this process has run for long enough to have heard of every task.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        now - self.started > self.heartbeat_interval.times(TIMEOUT_HEARTBEATS)
    }

    /// Merges a description of a task; whether its state or time-out changed, or it warms up
    /// longer.
    pub fn update(&mut self, now: Timestamp, task: &Task) -> bool {
        let warm_up_until = now + TimeDelta::from_micros(i64::from(task.warm_up_left_ms) * 1000);
        let Some(known) = self.tasks.get_mut(&task.id) else {
            self.tasks.insert(
                task.id.clone(),
                InstanceRecord {
                    task: task.clone(),
                    last_seen: now,
                    last_heartbeat: None,
                    warm_up_until,
                },
            );
            return true;
        };
        let newer = task.call_seq > known.task.call_seq;
        let warm_up_longer = newer
            && task.warm_up_left_ms > 0
            && warm_up_until > known.warm_up_until + self.heartbeat_interval.times(0.2);
        if newer {
            known.last_seen = now;
            known.warm_up_until = warm_up_until;
        }
        let before = (known.task.state, known.task.timed_out);
        known.task.merge(task);
        before != (known.task.state, known.task.timed_out) || warm_up_longer
    }

    /// Whether some task of this version of a service is known.
    pub fn has_version(&self, service: &str, version: &str) -> bool {
        let mut all = self.tasks.values();
        all.any(|known| known.task.service == service && known.task.version == version)
    }

    /// A heartbeat of the task arrived at this member.
    pub fn heartbeat_received(&mut self, now: Timestamp, id: &str) {
        if let Some(known) = self.tasks.get_mut(id) {
            known.last_heartbeat = Some(now);
        }
    }

    /// Digest of the tasks that have not timed out: equal on members that know the same.
    pub fn digest(&self) -> u64 {
        let lively = |known: &&InstanceRecord| {
            !known.task.timed_out && known.task.state != TaskState::Gone as i32
        };
        let mix =
            |known: &InstanceRecord| fnv1a(known.task.id.bytes().chain([known.task.state as u8]));
        self.tasks
            .values()
            .filter(lively)
            .map(mix)
            .fold(0, u64::wrapping_add)
    }

    /// Another member received a heartbeat of the task; whether it had timed out here.
    pub fn seen_elsewhere(&mut self, now: Timestamp, id: &str, seq: u64) -> bool {
        let Some(known) = self.tasks.get_mut(id) else {
            return false;
        };
        if seq <= known.task.call_seq {
            return false;
        }
        (known.task.call_seq, known.last_seen) = (seq, now);
        std::mem::take(&mut known.task.timed_out)
    }

    /// Restarts the time-outs of a service's tasks, except of those that have timed out already.
    pub fn restart_timeouts(&mut self, now: Timestamp, service: &str) {
        let lively =
            |known: &&mut InstanceRecord| known.task.service == service && !known.task.timed_out;
        self.tasks
            .values_mut()
            .filter(lively)
            .for_each(|known| known.last_seen = known.last_seen.max(now));
    }

    /// The task has signed off.
    pub fn mark_gone(&mut self, id: &str) -> Option<Task> {
        let known = self.tasks.get_mut(id)?;
        known.task.state = TaskState::Gone as i32;
        Some(known.task.clone())
    }

    /// Whether the task has said that it drains, and has not signed off yet.
    pub fn is_draining(&self, id: &str) -> bool {
        let state = self.tasks.get(id).map(|known| known.task.state);
        state == Some(TaskState::Draining as i32)
    }

    /// Removes tasks that were not heard of for long; their ids.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<String> {
        let most = self.heartbeat_interval.times(EXPIRY_HEARTBEATS);
        let old = self
            .tasks
            .extract_if(.., |_, known| now - known.last_seen >= most);
        old.map(|(id, _)| id).collect()
    }

    /// Marks the tasks that have timed out by now and returns them.
    pub fn take_timed_out(&mut self, now: Timestamp) -> Vec<Task> {
        let silent = self.heartbeat_interval.times(TIMEOUT_HEARTBEATS);
        let late =
            |known: &&mut InstanceRecord| !known.task.timed_out && now - known.last_seen > silent;
        let fallen = self.tasks.values_mut().filter(late);
        fallen
            .map(|known| {
                known.task.timed_out = true;
                known.task.clone()
            })
            .collect()
    }
}
