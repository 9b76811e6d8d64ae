//! Plays many seeds on several threads.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lynxmill_time::Timestamp;

use crate::faults::{FaultKind, Plan};
use crate::run::run;
use crate::violation::Violation;
use crate::world::RunOptions;

/// Which seeds are played, and how.
#[derive(Clone, Debug)]
pub struct Exploration {
    pub first: u64,
    pub seeds: u64,
    pub jobs: usize,
    /// The faults that plans may have; all if there are none.
    pub kinds: Vec<FaultKind>,
    pub options: RunOptions,
    /// Plans have clocks that creep, beside what is drawn of `kinds`.
    pub clock_faults: bool,
    /// Goes on after a seed that breaks an invariant, up to so many.
    pub most_found: usize,
}

/// A seed that breaks an invariant.
#[derive(Clone, Debug)]
pub struct Found {
    pub plan: Plan,
    pub at: Timestamp,
    pub violation: Violation,
}

/// How far an exploration is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    pub seeds: u64,
    pub simulated_s: f64,
    pub took_s: f64,
    pub steps: u64,
    pub found: usize,
    /// Sum of the digests of all seeds, where they are taken: it does not depend on their order.
    pub digest: u128,
}

impl Progress {
    pub fn seeds_per_s(&self) -> f64 {
        self.seeds as f64 / self.took_s.max(1e-9)
    }

    /// Simulated hours in an hour.
    pub fn hours_per_hour(&self) -> f64 {
        self.simulated_s / self.took_s.max(1e-9)
    }
}

#[derive(Default)]
struct Shared {
    next: AtomicU64,
    seeds: AtomicU64,
    simulated_micros: AtomicU64,
    steps: AtomicU64,
    stop: AtomicBool,
    found: Mutex<Vec<Found>>,
    digest: Mutex<u128>,
}

impl Shared {
    fn found(&self) -> std::sync::MutexGuard<'_, Vec<Found>> {
        self.found
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn digest(&self) -> std::sync::MutexGuard<'_, u128> {
        self.digest
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn progress(&self, began: Instant) -> Progress {
        Progress {
            seeds: self.seeds.load(Ordering::Relaxed),
            simulated_s: self.simulated_micros.load(Ordering::Relaxed) as f64 / 1e6,
            took_s: began.elapsed().as_secs_f64(),
            steps: self.steps.load(Ordering::Relaxed),
            found: self.found().len(),
            digest: *self.digest(),
        }
    }

    fn play(&self, exploration: &Exploration) {
        while !self.stop.load(Ordering::Relaxed) {
            let place = self.next.fetch_add(1, Ordering::Relaxed);
            if place >= exploration.seeds {
                return;
            }
            let drawn = Plan::drawn(exploration.first + place, &exploration.kinds);
            let plan = if exploration.clock_faults {
                drawn.with_clock_faults()
            } else {
                drawn
            };
            let report = run(&plan, &exploration.options);
            self.seeds.fetch_add(1, Ordering::Relaxed);
            self.simulated_micros
                .fetch_add(report.elapsed.micros() as u64, Ordering::Relaxed);
            self.steps.fetch_add(report.steps, Ordering::Relaxed);
            if let Some(digest) = report.digest {
                let mut sum = self.digest();
                *sum = sum.wrapping_add(digest);
            }
            if let Some((at, violation)) = report.violation {
                let mut found = self.found();
                found.push(Found {
                    plan,
                    at,
                    violation,
                });
                if found.len() >= exploration.most_found {
                    self.stop.store(true, Ordering::Relaxed);
                }
            }
        }
    }
}

/// Plays the seeds; `progress` is told of about once a second. What was found is sorted by seed.
pub fn explore(
    exploration: &Exploration,
    mut progress: impl FnMut(Progress),
) -> (Vec<Found>, Progress) {
    let (shared, began) = (Shared::default(), Instant::now());
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..exploration.jobs.max(1))
            .map(|_| scope.spawn(|| shared.play(exploration)))
            .collect();
        let mut told = Instant::now();
        while !workers.iter().all(|worker| worker.is_finished()) {
            std::thread::sleep(Duration::from_millis(20));
            if told.elapsed() >= Duration::from_secs(1) {
                told = Instant::now();
                progress(shared.progress(began));
            }
        }
    });
    let end = shared.progress(began);
    let mut found = std::mem::take(&mut *shared.found());
    found.sort_by_key(|found| found.plan.seed);
    (found, end)
}
