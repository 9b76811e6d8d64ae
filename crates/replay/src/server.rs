//! A server: cores, a queue, warmth after a start, memory of slices met lately, and the point at which a cold
//! one falls over. It neither knows who sends nor why.

use std::collections::VecDeque;

use lynxmill_recording::Server as Kind;
use lynxmill_time::{TimeDelta, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerHealth {
    Up,
    /// It accepts and never answers.
    Silent,
    /// Connections to it are refused.
    Down,
    /// Pushed over while cold: down for the rest of the day.
    Fallen,
}

#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub id: u64,
    pub slice: usize,
    pub work: TimeDelta,
    pub write: bool,
}

#[derive(Debug, PartialEq)]
pub enum AdmissionOutcome {
    /// It runs until then.
    Runs(Timestamp),
    Waits,
    Full,
    /// Nothing will come of it.
    Nothing,
    Refused,
    /// This one was too much for a cold server.
    FellOver,
}

/// How well a slice is known: a strength that fades, as of a moment.
#[derive(Clone, Copy, Default)]
struct CacheWarmth {
    strength: f64,
    at: Timestamp,
}

/// Part of what is missing to full strength that one invocation adds.
const LEARNS: f64 = 0.1;

pub struct Server {
    kind: Kind,
    pub running: ServerHealth,
    pub started: Option<Timestamp>,
    /// It takes so many times longer until then, and turns all away until then.
    slower: f64,
    slow_until: Timestamp,
    refuses_until: Timestamp,
    on_core: Vec<Job>,
    waiting: VecDeque<Job>,
    met: Vec<CacheWarmth>,
    /// Work brought while cold, oldest first, and its sum.
    brought: VecDeque<(Timestamp, i64)>,
    brought_sum: i64,
}

impl Server {
    pub fn new(kind: Kind, slices: usize) -> Self {
        let running = if kind.runs {
            ServerHealth::Up
        } else {
            ServerHealth::Down
        };
        Server {
            kind,
            running,
            started: None,
            slower: 1.0,
            slow_until: Timestamp::default(),
            refuses_until: Timestamp::default(),
            on_core: Vec::new(),
            waiting: VecDeque::new(),
            met: vec![CacheWarmth::default(); slices],
            brought: VecDeque::new(),
            brought_sum: 0,
        }
    }

    pub fn kind(&self) -> &Kind {
        &self.kind
    }

    /// It comes into the day warm for a slice.
    pub fn knows(&mut self, slice: usize) {
        self.met[slice].strength = 1.0;
    }

    pub fn start(&mut self, now: Timestamp) {
        let slices = self.met.len();
        let fallen = self.running == ServerHealth::Fallen;
        *self = Server::new(self.kind.clone(), slices);
        self.started = Some(now);
        self.running = if fallen {
            ServerHealth::Fallen
        } else {
            ServerHealth::Up
        };
    }

    /// Ends it; all that it had in hand is lost.
    pub fn end(&mut self, running: ServerHealth) -> Vec<Job> {
        if self.running != ServerHealth::Fallen {
            self.running = running;
        }
        let mut lost = std::mem::take(&mut self.on_core);
        lost.extend(self.waiting.drain(..));
        lost
    }

    pub fn slow(&mut self, factor: f64, until: Timestamp) {
        (self.slower, self.slow_until) = (factor, until);
    }

    pub fn refuse(&mut self, until: Timestamp) {
        self.refuses_until = until;
    }

    pub fn in_hand(&self) -> usize {
        self.on_core.len() + self.waiting.len()
    }

    pub fn warmth(&self, now: Timestamp) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age = (now - started).secs() / TimeDelta::from_micros(self.kind.cold_for.max(1)).secs();
        (self.kind.cold_from + (1.0 - self.kind.cold_from) * age).clamp(self.kind.cold_from, 1.0)
    }

    /// Strength of a slice by now; it halves in `memory` and fades ever more slowly.
    fn strength(&self, slice: usize, now: Timestamp) -> f64 {
        let met = self.met[slice];
        let memory = TimeDelta::from_micros(self.kind.memory.max(1)).secs();
        met.strength / (1.0 + (now - met.at).secs().max(0.0) / memory)
    }

    fn begin(&mut self, now: Timestamp, job: Job) -> Timestamp {
        let strength = self.strength(job.slice, now);
        self.met[job.slice] = CacheWarmth {
            strength: strength + (1.0 - strength) * LEARNS,
            at: now,
        };
        let speed = self.kind.speed * self.warmth(now) * (1.0 + self.kind.gain * strength);
        let speed = if now < self.slow_until {
            speed / self.slower
        } else {
            speed
        };
        self.on_core.push(job);
        now + job.work.times(1.0 / speed)
    }

    /// Whether this much more is over what a cold server can bear: a multiple of its present capacity over a
    /// span, counted as a budget.
    fn falls(&mut self, now: Timestamp, work: TimeDelta, multiple: f64, span: TimeDelta) -> bool {
        while let Some(&(at, old)) = self.brought.front()
            && now - at > span
        {
            self.brought.pop_front();
            self.brought_sum -= old;
        }
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            return false;
        }
        self.brought.push_back((now, work.micros()));
        self.brought_sum += work.micros();
        let capacity = f64::from(self.kind.cores) * self.kind.speed * warmth;
        TimeDelta::from_micros(self.brought_sum).secs() > multiple * capacity * span.secs()
    }

    pub fn offer(
        &mut self,
        now: Timestamp,
        job: Job,
        tip_multiple: f64,
        tip_after: TimeDelta,
    ) -> AdmissionOutcome {
        match self.running {
            ServerHealth::Down | ServerHealth::Fallen => return AdmissionOutcome::Refused,
            ServerHealth::Silent => return AdmissionOutcome::Nothing,
            ServerHealth::Up if now < self.refuses_until => return AdmissionOutcome::Full,
            ServerHealth::Up => {}
        }
        if self.falls(now, job.work, tip_multiple, tip_after) {
            self.running = ServerHealth::Fallen;
            return AdmissionOutcome::FellOver;
        }
        if self.on_core.len() < self.kind.cores as usize {
            return AdmissionOutcome::Runs(self.begin(now, job));
        }
        if self.waiting.len() >= self.kind.queue as usize {
            return AdmissionOutcome::Full;
        }
        self.waiting.push_back(job);
        AdmissionOutcome::Waits
    }

    /// The one that a free core takes next, and until when it runs.
    fn next(&mut self, now: Timestamp) -> Option<(u64, Timestamp)> {
        let job = self.waiting.pop_front()?;
        Some((job.id, self.begin(now, job)))
    }

    /// A job ends on its core; `None` if it is not there any more.
    pub fn done(&mut self, now: Timestamp, id: u64) -> Option<(Job, Option<(u64, Timestamp)>)> {
        let at = self.on_core.iter().position(|job| job.id == id)?;
        let job = self.on_core.swap_remove(at);
        Some((job, self.next(now)))
    }

    /// Work stops when nobody waits for it any more.
    pub fn cancel(&mut self, now: Timestamp, id: u64) -> Option<(Job, Option<(u64, Timestamp)>)> {
        if let Some(at) = self.waiting.iter().position(|job| job.id == id) {
            return self.waiting.remove(at).map(|job| (job, None));
        }
        self.done(now, id)
    }
}
