//! A log against the reducer: told the same at the same times, it must order the same.

use std::collections::BTreeMap;

use lynxmill_assigner_settings::DecodeError;
use lynxmill_assigner_state::{Effect, Epoch, State};
use lynxmill_recording::{Day, Entry, Life};

use crate::driver::state;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplayCounts {
    pub lives: usize,
    pub events: usize,
    pub calls: usize,
    /// Entries of lives whose beginning the log lacks, or in which entries are missing.
    pub left_out: usize,
    /// The first order that differs.
    pub differs: Option<String>,
}

struct RunningAssigner {
    state: State,
    /// Calls asked for and not yet found in the log.
    due: Vec<String>,
}

/// Tells the reducer all that a day's log says was heard, and compares what it orders.
///
/// # Errors
/// A configuration in the log that can't be read.
pub fn redrive(day: &Day) -> Result<ReplayCounts, DecodeError> {
    let mut found = ReplayCounts::default();
    let mut lives: BTreeMap<Life, Option<RunningAssigner>> = BTreeMap::new();
    let mut effects = Vec::new();
    for log in &day.log {
        let now = lynxmill_time::Timestamp::from_micros(log.at);
        if let Entry::Started(configuration) = &log.entry {
            let epoch = Epoch {
                unix_ms: day.head.began_ms,
            };
            let living = RunningAssigner {
                state: state(now, epoch, configuration)?,
                due: Vec::new(),
            };
            lives.insert(log.of, Some(living));
            found.lives += 1;
            continue;
        }
        let Some(Some(living)) = lives.get_mut(&log.of) else {
            found.left_out += 1;
            continue;
        };
        match &log.entry {
            Entry::Heard(event) => {
                found.events += 1;
                living.state.reduce(now, event.clone(), &mut effects);
                for effect in effects.drain(..) {
                    if let Effect::Call(body) = effect {
                        living.due.push(body);
                    }
                }
            }
            Entry::Ordered(body) => {
                found.calls += 1;
                if living.due.is_empty() || living.due.remove(0) != *body {
                    let at = now.secs();
                    found.differs = Some(format!("{:?} at {at:.6} s ordered {body}", log.of));
                    return Ok(found);
                }
            }
            // What was heard meanwhile is not known: nothing after can be compared.
            Entry::Missing(_) => {
                lives.insert(log.of, None);
            }
            Entry::Started(_) => {}
        }
    }
    Ok(found)
}
