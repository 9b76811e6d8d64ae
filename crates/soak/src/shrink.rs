//! A shorter schedule that still breaks the same rule: disruptions are left out as long as most runs break it.

use std::path::Path;

use crate::error::SoakError;
use crate::rules::Rule;
use crate::run::run_schedule;
use crate::schedule::Planned;
use crate::settings::SoakSettings;

/// Of so many runs of a schedule, so many have to break the rule: the kernel's order differs from run to run.
const RUNS: usize = 5;
const BROKEN_RUNS: usize = 3;

/// What is shortened, and on which programs.
#[derive(Clone, Copy, Debug)]
pub struct Find<'a> {
    /// The settings of the run.
    pub settings: &'a SoakSettings,
    /// Its seed.
    pub seed: u64,
    /// The rule that was broken.
    pub rule: Rule,
    /// Where the programs are.
    pub programs: &'a Path,
}

impl Find<'_> {
    /// Whether most runs of a schedule break the rule.
    async fn is_broken_by(&self, schedule: &[Planned]) -> Result<bool, SoakError> {
        let mut broken = 0;
        for run in 0..RUNS {
            let report =
                run_schedule(self.settings, self.seed, schedule, self.programs, false).await?;
            broken += usize::from(report.broken().contains_key(&self.rule));
            let left = RUNS - run - 1;
            if broken >= BROKEN_RUNS || broken + left < BROKEN_RUNS {
                break;
            }
        }
        Ok(broken >= BROKEN_RUNS)
    }
}

/// Leaves out halves, quarters and so on, down to single disruptions; `progress` is told of each that could go. The schedule
/// as it was if most runs of it do not break the rule.
///
/// # Errors
///
/// [`SoakError`] if a soak can't be run.
pub async fn shrink(
    find: &Find<'_>,
    schedule: &[Planned],
    mut progress: impl FnMut(&[Planned]),
) -> Result<Vec<Planned>, SoakError> {
    let mut shortest = schedule.to_vec();
    if !find.is_broken_by(&shortest).await? {
        return Ok(shortest);
    }
    let mut size = shortest.len().div_ceil(2);
    while size > 0 {
        let mut first = 0;
        while first < shortest.len() {
            let without = without(&shortest, first, size);
            if find.is_broken_by(&without).await? {
                shortest = without;
                progress(&shortest);
            } else {
                first += size;
            }
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    Ok(shortest)
}

fn without(schedule: &[Planned], first: usize, size: usize) -> Vec<Planned> {
    let last = (first + size).min(schedule.len());
    [&schedule[..first], &schedule[last..]].concat()
}
