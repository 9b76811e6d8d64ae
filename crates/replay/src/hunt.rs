//! Days drawn from seeds, with several troubles that run into one another, each played until something breaks a
//! rule or its end comes.

use lynxmill_assigner_settings::DecodeError;
use lynxmill_recording::Day;

use crate::chance::{Chance, For};
use crate::driver::Memory;
use crate::engine::{InjectedFault, Play, play};
use crate::figure::Report;
use crate::make::{GeneratedDay, make};
use crate::sweep::on_all_cores;
use crate::unfold::TROUBLES;

/// Troubles of one day.
const LEAST: usize = 2;
const MOST: usize = 4;

/// The day of a seed: a fleet of this size, with two to four different troubles.
pub fn drawn(of: &GeneratedDay, seed: u64) -> GeneratedDay {
    let mut chance = Chance::of(seed, For::Hunt, 0, 0);
    let mut left: Vec<&str> = TROUBLES.to_vec();
    let count = LEAST + chance.below(MOST + 1 - LEAST);
    let troubles = (0..count)
        .map(|_| left.remove(chance.below(left.len())).to_owned())
        .collect();
    GeneratedDay {
        name: format!("{}-{seed}", of.name),
        seed,
        troubles,
        overlap: true,
        ..of.clone()
    }
}

/// What came of one seed.
pub struct Found {
    pub made: GeneratedDay,
    pub day: Day,
    pub report: Report,
}

fn one(made: GeneratedDay, fault: Option<InjectedFault>) -> Result<Found, DecodeError> {
    let day = make(&made)?;
    let configuration =
        serde_json::from_str(&day.head.configuration).map_err(|e| format!("configuration: {e}"))?;
    let how = Play {
        fault,
        ..Play::default()
    };
    let report = play(&day, &configuration, &how, Memory::default())?.report;
    Ok(Found { made, day, report })
}

/// Plays the days of these seeds on all cores, in the seeds' order. `done` hears of each as it ends.
///
/// # Errors
/// That of the first day that can't be made or played.
pub fn hunt(
    of: &GeneratedDay,
    seeds: std::ops::Range<u64>,
    fault: Option<InjectedFault>,
    done: impl Fn(&Found) + Sync,
) -> Result<Vec<Found>, DecodeError> {
    let count =
        usize::try_from(seeds.end.saturating_sub(seeds.start)).map_err(|e| e.to_string())?;
    let played = on_all_cores(count, |at| {
        let found = one(drawn(of, seeds.start + at as u64), fault);
        if let Ok(found) = &found {
            done(found);
        }
        found
    })?;
    played.into_iter().collect()
}
