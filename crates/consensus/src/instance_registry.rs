//! Which tasks there are, by their beats and by what other members heard.

use std::collections::BTreeMap;

use lynxmill_configuration::fnv1a;
use lynxmill_protocol::{Task, TaskState};
use lynxmill_time::{TimeDelta, Timestamp};

/// Beats missed until a task counts as silent, and until it is forgotten.
const TIMEOUT_HEARTBEATS: f64 = 2.6;
const EXPIRY_HEARTBEATS: f64 = 40.0;

#[derive(Clone, Debug)]
pub struct InstanceRecord {
    pub task: Task,
    pub last_seen: Timestamp,
    /// When its own beat came here last.
    pub last_heartbeat: Option<Timestamp>,
    warm_up_until: Timestamp,
}

impl InstanceRecord {
    /// As it is told to others now.
    pub fn as_of(&self, now: Timestamp) -> Task {
        let left = (self.warm_up_until - now).micros().max(0) / 1000;
        Task {
            warm_up_left_ms: left as u32,
            ..self.task.clone()
        }
    }
}

#[derive(Clone, Debug)]
pub struct InstanceRegistry {
    started: Timestamp,
    heartbeat_interval: TimeDelta,
    tasks: BTreeMap<String, InstanceRecord>,
}

impl InstanceRegistry {
    pub fn new(now: Timestamp, heartbeat_interval: TimeDelta) -> Self {
        InstanceRegistry {
            started: now,
            heartbeat_interval,
            tasks: BTreeMap::new(),
        }
    }

    /// Tasks as they were known before this process began: they count as heard now, and have to be heard
    /// again soon.
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

    pub fn get(&self, id: &str) -> Option<&InstanceRecord> {
        self.tasks.get(id)
    }

    pub fn all(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.tasks.values()
    }

    /// Up for long enough that every task must have been heard of.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        now - self.started > self.heartbeat_interval.times(TIMEOUT_HEARTBEATS)
    }

    /// A task's own word or another's on it; whether it says anything of weight.
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

    /// A task's own beat came here.
    pub fn heartbeat_received(&mut self, now: Timestamp, id: &str) {
        if let Some(known) = self.tasks.get_mut(id) {
            known.last_heartbeat = Some(now);
        }
    }

    /// Sum over the tasks that are heard of: members that know the same have the same.
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

    /// Another member heard it lately.
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

    /// The tasks of a service count as heard of now, but for those that have fallen silent already.
    pub fn restart_timeouts(&mut self, now: Timestamp, service: &str) {
        let lively =
            |known: &&mut InstanceRecord| known.task.service == service && !known.task.timed_out;
        self.tasks
            .values_mut()
            .filter(lively)
            .for_each(|known| known.last_seen = known.last_seen.max(now));
    }

    /// It signed off, or what it says is not to be waited for.
    pub fn mark_gone(&mut self, id: &str) -> Option<Task> {
        let known = self.tasks.get_mut(id)?;
        known.task.state = TaskState::Gone as i32;
        Some(known.task.clone())
    }

    /// Tasks that were not heard of for long: they are forgotten.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<String> {
        let most = self.heartbeat_interval.times(EXPIRY_HEARTBEATS);
        let old = self
            .tasks
            .extract_if(.., |_, known| now - known.last_seen >= most);
        old.map(|(id, _)| id).collect()
    }

    /// Tasks that have fallen silent by now.
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
