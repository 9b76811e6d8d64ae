//! Several values of several settings: each case its own play, on all cores.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use lynxmill_assigner_settings::DecodeError;
use lynxmill_recording::Day;

use crate::driver::Driver;
use crate::engine::{Play, digest, play};
use crate::figure::Report;
use crate::knobs::{Change, apply, effective};

pub type Case = Vec<Change>;

/// Every combination of the values asked for, in their order; one case without changes where none are.
pub fn cases(values: &[Vec<Change>]) -> Vec<Case> {
    values.iter().fold(vec![Vec::new()], |cases, values| {
        let with =
            |case: &Case, value: &Change| [case.as_slice(), std::slice::from_ref(value)].concat();
        cases
            .iter()
            .flat_map(|case| values.iter().map(move |value| with(case, value)))
            .collect()
    })
}

/// Plays each case; the reports come in the cases' order whatever core was quicker. `done` hears of each that
/// has ended.
///
/// # Errors
/// That of the first case that can't be played.
pub fn sweep<D: Driver>(
    day: &Day,
    cases: &[Case],
    driver: impl Fn() -> Result<D, DecodeError> + Sync,
    done: impl Fn(usize) + Sync,
) -> Result<Vec<Report>, DecodeError> {
    let name = digest(day)?;
    let one = |case: &Case| {
        let changed = effective(day, case)?.iter().map(Change::text).collect();
        let mut day = day.clone();
        let configuration = apply(&mut day, case)?;
        let how = Play {
            changed,
            digest: Some(name.clone()),
            ..Play::default()
        };
        play(&day, &configuration, &how, driver()?).map(|played| played.report)
    };
    let played = on_all_cores(cases.len(), |at| {
        let report = one(&cases[at]);
        done(at);
        report
    })?;
    played.into_iter().collect()
}

/// Does each of so many on all cores; what came of them is in their order whatever core was quicker.
///
/// # Errors
/// One of them did not come to its end.
pub(crate) fn on_all_cores<T: Send>(
    count: usize,
    one: impl Fn(usize) -> T + Sync,
) -> Result<Vec<T>, DecodeError> {
    let next = AtomicUsize::new(0);
    let ended: Mutex<Vec<Option<T>>> = Mutex::new((0..count).map(|_| None).collect());
    let cores = std::thread::available_parallelism()
        .map_or(1, usize::from)
        .min(count.max(1));
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    if at >= count {
                        return;
                    }
                    let came = one(at);
                    if let Ok(mut ended) = ended.lock() {
                        ended[at] = Some(came);
                    }
                }
            });
        }
    });
    let ended = ended
        .into_inner()
        .map_err(|_| "a play panicked".to_owned())?;
    ended
        .into_iter()
        .map(|came| came.ok_or_else(|| "a play did not end".to_owned()))
        .collect()
}
