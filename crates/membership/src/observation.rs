//! What this instance sees of servers by its own proxies' reports: of each the run of tries since the last
//! that succeeded.

use std::collections::BTreeMap;

use lynxmill_time::{TimeDelta, Timestamp};

use crate::evidence::{OwnObservation, Verdict, all_lost};

#[derive(Clone, Copy, Debug)]
struct ObservationRun {
    tries: u32,
    lost: u32,
    /// Of the last success, and of the last report.
    well: Option<Timestamp>,
    heard: Timestamp,
}

/// Own sums, and which servers others' words have made doubtful.
#[derive(Clone, Debug)]
pub struct Observation {
    lasts: TimeDelta,
    runs: BTreeMap<String, ObservationRun>,
    doubted: BTreeMap<String, Timestamp>,
}

fn whole(count: f64) -> u32 {
    count.clamp(0.0, f64::from(u32::MAX)) as u32
}

impl Observation {
    /// What is older than `lasts` counts for nothing.
    pub fn new(lasts: TimeDelta) -> Self {
        Observation {
            lasts,
            runs: BTreeMap::new(),
            doubted: BTreeMap::new(),
        }
    }

    /// A report of own proxies: so many tries at a server, so many of them lost. Returns whether it makes the server silent to
    /// own eyes, which is worth a look at once.
    pub fn met(&mut self, now: Timestamp, server: &str, tries: f64, lost: f64) -> bool {
        let (tries, lost) = (whole(tries), whole(lost).min(whole(tries)));
        if tries == 0 {
            return false;
        }
        let run = self
            .runs
            .get(server)
            .filter(|run| now - run.heard < self.lasts);
        let before = run.copied().unwrap_or(ObservationRun {
            tries: 0,
            lost: 0,
            well: None,
            heard: now,
        });
        let run = if lost < tries {
            ObservationRun {
                tries,
                lost,
                well: Some(now),
                heard: now,
            }
        } else {
            // A report with successes that comes before losses begin is not part of the run.
            let begun = before.lost < before.tries;
            let (tried, gone) = if begun {
                (0, 0)
            } else {
                (before.tries, before.lost)
            };
            ObservationRun {
                tries: tried.saturating_add(tries),
                lost: gone.saturating_add(lost),
                heard: now,
                ..before
            }
        };
        let silent = |run: &ObservationRun| all_lost(run.tries, run.lost);
        self.runs.insert(server.to_owned(), run);
        silent(&run) && !silent(&before)
    }

    pub fn own(&self, now: Timestamp, server: &str) -> OwnObservation {
        let Some(run) = self
            .runs
            .get(server)
            .filter(|run| now - run.heard < self.lasts)
        else {
            return OwnObservation::default();
        };
        // Losses since count against a success that came before them.
        let quiet = run
            .well
            .filter(|_| run.lost < run.tries)
            .map(|well| now - well);
        OwnObservation {
            tries: run.tries,
            lost: run.lost,
            quiet,
        }
    }

    /// All that is fresh; the rest is forgotten.
    pub fn all(&mut self, now: Timestamp) -> Vec<(String, OwnObservation)> {
        let lasts = self.lasts;
        self.runs.retain(|_, run| now - run.heard < lasts);
        self.runs
            .keys()
            .map(|server| (server.clone(), self.own(now, server)))
            .collect()
    }

    /// Which servers have become doubtful, or are so no longer, by what `weigh` makes of each that somebody
    /// spoke of.
    pub fn doubts<'a>(
        &mut self,
        now: Timestamp,
        spoken_of: impl Iterator<Item = &'a str>,
        weigh: impl Fn(&str, OwnObservation) -> Verdict,
    ) -> Vec<(String, bool)> {
        let mut changed = Vec::new();
        let mut doubted = BTreeMap::new();
        for server in spoken_of {
            if matches!(weigh(server, self.own(now, server)), Verdict::Silent(_)) {
                let since = self.doubted.get(server).copied();
                if since.is_none() {
                    changed.push((server.to_owned(), true));
                }
                doubted.insert(server.to_owned(), since.unwrap_or(now));
            }
        }
        changed.extend(
            self.doubted
                .keys()
                .filter(|of| !doubted.contains_key(*of))
                .map(|of| (of.clone(), false)),
        );
        self.doubted = doubted;
        changed
    }

    /// Servers that are doubtful, and since when.
    pub fn doubted(&self) -> impl Iterator<Item = (&str, Timestamp)> {
        self.doubted
            .iter()
            .map(|(server, since)| (server.as_str(), *since))
    }
}
