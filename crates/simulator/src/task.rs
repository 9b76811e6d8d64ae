//! A scripted task: heartbeats about every second, the keys that it holds and lets go, its drain, sign-off or
//! crash.

use lynxmill_control_node::{Answer, ControlRequest, HeartbeatAnswer, InstanceHeartbeat};
use lynxmill_placement::{Grant, HeldShard, ReleasedShard, TaskHoldings};
use lynxmill_protocol::{Task, TaskState};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::random::Random;

/// A heartbeat that is not answered by then has failed.
const SILENCE: TimeDelta = TimeDelta::from_micros(1_000_000);
const INTERVAL_S: (f64, f64) = (0.9, 1.1);
/// While keys are let go.
const SOON: TimeDelta = TimeDelta::from_micros(100_000);
/// A heartbeat follows so many redirects.
const MAX_REDIRECTS: u32 = 2;
/// A task's clock for its hold may run slow by this factor.
const CLOCK_DRIFT: f64 = 1.02;
/// Work on keys that are let go lasts up to so long, in seconds.
const MAX_WORK_S: f64 = 0.4;
/// From the acknowledged drain to the sign-off.
const DRAIN: TimeDelta = TimeDelta::from_micros(4_300_000);
/// An end that is not acknowledged comes anyway.
const PATIENCE: TimeDelta = TimeDelta::from_micros(5_000_000);
/// Keys are counted in units of so many: slices are no smaller while no requests are told of.
const UNIT: u32 = 1024;
const UNITS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Ready,
    Draining,
    SigningOff,
    /// It has signed off without a drain; it sends no heartbeats any more.
    ServingOn,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct HeldUnit {
    generation: u64,
    expires: Timestamp,
    /// It is left out of the last answer, and let go once work on it is over.
    release_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct OpenCall {
    call: u64,
    sent: Timestamp,
    deadline: Timestamp,
    released: usize,
    stage: Stage,
}

#[derive(Debug)]
pub(crate) struct TaskActor {
    pub id: String,
    pub service: &'static str,
    pub version: String,
    zone: String,
    random: Random,
    pub stage: Stage,
    pub started: Timestamp,
    /// When it ended, or began to.
    pub ended: Option<Timestamp>,
    since: Timestamp,
    call_seq: u64,
    target: usize,
    open: Option<OpenCall>,
    /// Redirects that this heartbeat has followed.
    redirects: u32,
    next: Timestamp,
    held: [Option<HeldUnit>; UNITS],
    highest_generation: [u64; UNITS],
    released: Vec<ReleasedShard>,
    /// When holdings were granted last.
    pub last_grant: Option<Timestamp>,
    /// It signs off first and serves on, in place of a drain.
    signs_off_first: bool,
}

/// What an answer has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskOutcome {
    Nothing,
    Granted,
    DrainAcknowledged,
    SignOffAcknowledged,
}

impl TaskActor {
    pub(crate) fn new(
        seed: u64,
        id: String,
        service: &'static str,
        version: &str,
        zone: &str,
        now: Timestamp,
    ) -> Self {
        let mut random = Random::new(seed, &id);
        let target = random.below(16);
        TaskActor {
            id,
            service,
            version: version.to_owned(),
            zone: zone.to_owned(),
            random,
            stage: Stage::Ready,
            started: now,
            ended: None,
            since: now,
            call_seq: 0,
            target,
            open: None,
            redirects: 0,
            next: now,
            held: [None; UNITS],
            highest_generation: [0; UNITS],
            released: Vec::new(),
            last_grant: None,
            signs_off_first: false,
        }
    }

    pub(crate) fn next_wake(&self) -> Timestamp {
        self.open.as_ref().map_or(self.next, |open| open.deadline)
    }

    pub(crate) fn drain(&mut self, now: Timestamp) {
        if self.stage == Stage::Ready {
            (self.stage, self.since, self.next) = (Stage::Draining, now, now);
            self.ended = Some(now);
        }
    }

    pub(crate) fn sign_off_first(&mut self, now: Timestamp) {
        if self.stage == Stage::Ready {
            (self.stage, self.since, self.next) = (Stage::SigningOff, now, now);
            self.ended = Some(now);
            self.signs_off_first = true;
        }
    }

    /// It ends at once and holds nothing any more.
    pub(crate) fn crash(&mut self, now: Timestamp) {
        (self.stage, self.ended) = (Stage::Ended, Some(now));
        self.held = [None; UNITS];
    }

    /// The fences of what it may still work on.
    pub(crate) fn holds(&self, now: Timestamp) -> impl Iterator<Item = (u32, u64)> {
        let held = self.held.iter().enumerate();
        held.filter_map(move |(unit, hold)| {
            let hold = hold.filter(|hold| now < hold.expires)?;
            Some((unit as u32 * UNIT, hold.generation))
        })
    }

    fn release_due(&mut self, now: Timestamp) {
        for (unit, hold) in self.held.iter_mut().enumerate() {
            let Some(HeldUnit {
                expires,
                release_at,
                ..
            }) = *hold
            else {
                continue;
            };
            let first = unit as u32 * UNIT;
            if now >= expires {
                *hold = None;
            } else if release_at.is_some_and(|at| now >= at) {
                self.released.push(ReleasedShard {
                    from: first,
                    to: first + UNIT - 1,
                    handover: format!("{}-{first}", self.id),
                });
                *hold = None;
            }
        }
    }

    /// Time has passed: the machine to call and what to say, if anything.
    pub(crate) fn wake(
        &mut self,
        now: Timestamp,
        machines: &[usize],
        call: u64,
    ) -> Option<(usize, ControlRequest)> {
        if self.stage == Stage::Ended {
            return None;
        }
        if let Some(open) = &self.open {
            if now < open.deadline {
                return None;
            }
            self.failed(now);
        }
        if now < self.next || machines.is_empty() {
            return None;
        }
        self.release_due(now);
        self.advance_end(now);
        if matches!(self.stage, Stage::ServingOn | Stage::Ended) {
            return None;
        }
        self.call_seq += 1;
        self.open = Some(OpenCall {
            call,
            sent: now,
            deadline: now + SILENCE,
            released: self.released.len(),
            stage: self.stage,
        });
        let machine = machines[self.target % machines.len()];
        Some((machine, self.request()))
    }

    fn advance_end(&mut self, now: Timestamp) {
        let waited = now - self.since;
        match self.stage {
            Stage::Draining if waited >= DRAIN + PATIENCE => {
                (self.stage, self.since) = (Stage::SigningOff, now);
            }
            Stage::SigningOff if waited >= PATIENCE => self.crash(now),
            Stage::ServingOn if waited >= DRAIN => self.crash(now),
            _ => {}
        }
    }

    fn request(&self) -> ControlRequest {
        if self.stage == Stage::SigningOff {
            return ControlRequest::SignOff(self.id.clone());
        }
        let state = if self.stage == Stage::Ready {
            TaskState::Ready
        } else {
            TaskState::Draining
        };
        let task = Task {
            id: self.id.clone(),
            service: self.service.to_owned(),
            address: "10.128.0.9:8080".to_owned(),
            zone: self.zone.clone(),
            slots: 4,
            state: state as i32,
            call_seq: self.call_seq,
            warm_up_left_ms: 0,
            timed_out: false,
            version: self.version.clone(),
        };
        let held = self
            .held
            .iter()
            .enumerate()
            .filter_map(|(unit, hold)| Some((unit as u32, (*hold)?)));
        let holdings = held
            .map(|(unit, hold)| HeldShard {
                from: unit * UNIT,
                to: unit * UNIT + UNIT - 1,
                generation: hold.generation,
            })
            .collect();
        let holdings = TaskHoldings {
            id: self.id.clone(),
            held: holdings,
            released: self.released.clone(),
        };
        ControlRequest::Heartbeat(InstanceHeartbeat { task, holdings })
    }

    /// The call failed: the next goes to another, soon.
    fn failed(&mut self, now: Timestamp) {
        self.open = None;
        self.target = self.target.wrapping_add(1 + self.random.below(2));
        self.next = now + self.random.time_delta(0.01, 0.25);
    }

    pub(crate) fn refused(&mut self, now: Timestamp, call: u64) {
        if self.open.as_ref().is_some_and(|open| open.call == call) {
            self.failed(now);
        }
    }

    /// An answer came; `address` finds the place of a machine among those on the list.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        call: u64,
        answer: &Answer,
        place: impl FnOnce(&str) -> Option<usize>,
    ) -> TaskOutcome {
        let Some(open) = self.open.clone().filter(|open| open.call == call) else {
            return TaskOutcome::Nothing;
        };
        if self.stage == Stage::Ended {
            return TaskOutcome::Nothing;
        }
        let answer = match answer {
            Answer::Heartbeat(answer) => answer,
            // As a 307 is followed: to that node, at once, twice at most.
            Answer::Redirect(owner) if self.redirects < MAX_REDIRECTS => {
                self.redirects += 1;
                (self.open, self.next) = (None, now);
                self.target = place(owner).unwrap_or(self.target);
                return TaskOutcome::Nothing;
            }
            _ => {
                self.redirects = 0;
                self.failed(now);
                return TaskOutcome::Nothing;
            }
        };
        (self.open, self.redirects) = (None, 0);
        self.next = now + self.random.time_delta(INTERVAL_S.0, INTERVAL_S.1);
        if let Some(place) = answer.beat_target.as_deref().and_then(place) {
            self.target = place;
        }
        self.released
            .drain(..open.released.min(self.released.len()));
        let granted = self.apply_grants(now, open.sent, answer);
        match open.stage {
            Stage::SigningOff => {
                if self.signs_off_first {
                    (self.stage, self.since, self.next) = (Stage::ServingOn, now, now + DRAIN);
                } else {
                    self.crash(now);
                }
                TaskOutcome::SignOffAcknowledged
            }
            Stage::Draining => {
                // Every further heartbeat says it again; the first acknowledgement counts.
                if now - self.since >= DRAIN {
                    (self.stage, self.since, self.next) = (Stage::SigningOff, now, now);
                }
                TaskOutcome::DrainAcknowledged
            }
            _ if granted => TaskOutcome::Granted,
            _ => TaskOutcome::Nothing,
        }
    }

    fn apply_grants(&mut self, now: Timestamp, sent: Timestamp, answer: &HeartbeatAnswer) -> bool {
        let Some(granted) = &answer.holdings else {
            return false;
        };
        self.release_due(now);
        self.last_grant = Some(now);
        let expires = sent + TimeDelta::from_secs(granted.lease_s * CLOCK_DRIFT);
        let mut kept = [false; UNITS];
        for Grant {
            from,
            to,
            generation,
            ..
        } in &granted.grants
        {
            let units = (from / UNIT) as usize..=(to / UNIT) as usize;
            for (unit, kept) in kept
                .iter_mut()
                .enumerate()
                .filter(|(unit, _)| units.contains(unit))
            {
                if *generation < self.highest_generation[unit] {
                    continue;
                }
                self.highest_generation[unit] = *generation;
                *kept = true;
                self.held[unit] = Some(HeldUnit {
                    generation: *generation,
                    expires,
                    release_at: None,
                });
            }
        }
        for (hold, kept) in self.held.iter_mut().zip(kept) {
            if let Some(hold) = hold
                .as_mut()
                .filter(|hold| !kept && hold.release_at.is_none())
            {
                hold.release_at = Some(now + self.random.time_delta(0.0, MAX_WORK_S));
            }
        }
        if self
            .held
            .iter()
            .flatten()
            .any(|hold| hold.release_at.is_some())
        {
            self.next = now + SOON;
        }
        true
    }
}
