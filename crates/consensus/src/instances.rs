//! Which tasks there are, by their beats and by what other members heard.

use std::collections::BTreeMap;

use lynxmill_configuration::fnv1a;
use lynxmill_protocol::{State, Task};
use lynxmill_time::{TimeDelta, Timestamp};

/// Beats missed until a task counts as silent, and until it is forgotten.
const SILENT: f64 = 2.6;
const FORGOTTEN: f64 = 40.0;

#[derive(Clone, Debug)]
pub struct InstanceRecord {
    pub task: Task,
    pub heard: Timestamp,
    /// When its own beat came here last.
    pub beat: Option<Timestamp>,
    cold_until: Timestamp,
}

impl InstanceRecord {
    /// As it is told to others now.
    pub fn told(&self, now: Timestamp) -> Task {
        let left = (self.cold_until - now).micros().max(0) / 1000;
        Task {
            cold_left_ms: left as u32,
            ..self.task.clone()
        }
    }
}

#[derive(Clone, Debug)]
pub struct InstanceRegistry {
    born: Timestamp,
    beat: TimeDelta,
    tasks: BTreeMap<String, InstanceRecord>,
}

impl InstanceRegistry {
    pub fn new(now: Timestamp, beat: TimeDelta) -> Self {
        InstanceRegistry {
            born: now,
            beat,
            tasks: BTreeMap::new(),
        }
    }

    /// Tasks as they were known before this process began: they count as heard now, and have to be heard
    /// again soon.
    pub fn restore(&mut self, tasks: Vec<Task>) {
        for task in tasks {
            let known = InstanceRecord {
                heard: self.born,
                beat: None,
                cold_until: self.born,
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
    pub fn grown(&self, now: Timestamp) -> bool {
        now - self.born > self.beat.times(SILENT)
    }

    /// A task's own word or another's on it; whether it says anything of weight.
    pub fn word(&mut self, now: Timestamp, word: &Task) -> bool {
        let cold_until = now + TimeDelta::from_micros(i64::from(word.cold_left_ms) * 1000);
        let Some(known) = self.tasks.get_mut(&word.id) else {
            self.tasks.insert(
                word.id.clone(),
                InstanceRecord {
                    task: word.clone(),
                    heard: now,
                    beat: None,
                    cold_until,
                },
            );
            return true;
        };
        let newer = word.call_seq > known.task.call_seq;
        let colder =
            newer && word.cold_left_ms > 0 && cold_until > known.cold_until + self.beat.times(0.2);
        if newer {
            known.heard = now;
            known.cold_until = cold_until;
        }
        let before = (known.task.state, known.task.silent);
        known.task.merge(word);
        before != (known.task.state, known.task.silent) || colder
    }

    /// A task's own beat came here.
    pub fn beaten(&mut self, now: Timestamp, id: &str) {
        if let Some(known) = self.tasks.get_mut(id) {
            known.beat = Some(now);
        }
    }

    /// Sum over the tasks that are heard of: members that know the same have the same.
    pub fn digest(&self) -> u64 {
        let lively =
            |known: &&InstanceRecord| !known.task.silent && known.task.state != State::Gone as i32;
        let mix =
            |known: &InstanceRecord| fnv1a(known.task.id.bytes().chain([known.task.state as u8]));
        self.tasks
            .values()
            .filter(lively)
            .map(mix)
            .fold(0, u64::wrapping_add)
    }

    /// Another member heard it lately.
    pub fn heard(&mut self, now: Timestamp, id: &str, seq: u64) -> bool {
        let Some(known) = self.tasks.get_mut(id) else {
            return false;
        };
        if seq <= known.task.call_seq {
            return false;
        }
        (known.task.call_seq, known.heard) = (seq, now);
        std::mem::take(&mut known.task.silent)
    }

    /// The tasks of a service count as heard of now, but for those that have fallen silent already.
    pub fn restart_silence(&mut self, now: Timestamp, service: &str) {
        let lively =
            |known: &&mut InstanceRecord| known.task.service == service && !known.task.silent;
        self.tasks
            .values_mut()
            .filter(lively)
            .for_each(|known| known.heard = known.heard.max(now));
    }

    /// It signed off, or what it says is not to be waited for.
    pub fn gone(&mut self, id: &str) -> Option<Task> {
        let known = self.tasks.get_mut(id)?;
        known.task.state = State::Gone as i32;
        Some(known.task.clone())
    }

    /// Tasks that were not heard of for long: they are forgotten.
    pub fn forgotten(&mut self, now: Timestamp) -> Vec<String> {
        let most = self.beat.times(FORGOTTEN);
        let old = self
            .tasks
            .extract_if(.., |_, known| now - known.heard >= most);
        old.map(|(id, _)| id).collect()
    }

    /// Tasks that have fallen silent by now.
    pub fn fallen(&mut self, now: Timestamp) -> Vec<Task> {
        let silent = self.beat.times(SILENT);
        let late = |known: &&mut InstanceRecord| !known.task.silent && now - known.heard > silent;
        let fallen = self.tasks.values_mut().filter(late);
        fallen
            .map(|known| {
                known.task.silent = true;
                known.task.clone()
            })
            .collect()
    }
}
