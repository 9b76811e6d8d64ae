//! What edges observed of a rollout, added up.

use std::collections::BTreeMap;

use lynxmill_protocol::{LATENCY_BUCKETS, OutcomeCounts, RolloutObservation};

/// How requests ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Requests that tasks may have run.
    pub ended: u64,
    /// Those without a good answer.
    pub failed: u64,
    /// Good answers of tasks that do not warm up, by bucket of latency.
    pub latencies: [u64; LATENCY_BUCKETS],
}

impl Default for Counts {
    fn default() -> Self {
        Counts {
            ended: 0,
            failed: 0,
            latencies: [0; LATENCY_BUCKETS],
        }
    }
}

impl Counts {
    /// Adds what was counted since an earlier report of the same process.
    fn add(&mut self, now: &OutcomeCounts, before: Option<&OutcomeCounts>) {
        let since =
            |now: u32, before: Option<u32>| u64::from(now.saturating_sub(before.unwrap_or(0)));
        self.ended += since(now.ended, before.map(|b| b.ended));
        self.failed += since(now.failed, before.map(|b| b.failed));
        for (bucket, sum) in self.latencies.iter_mut().enumerate() {
            let at = |counts: &OutcomeCounts| counts.latencies.get(bucket).copied().unwrap_or(0);
            *sum += since(at(now), before.map(at));
        }
    }

    /// Adds other counts.
    pub fn add_all(&mut self, other: &Counts) {
        self.ended += other.ended;
        self.failed += other.failed;
        for (sum, more) in self.latencies.iter_mut().zip(&other.latencies) {
            *sum += more;
        }
    }

    /// Good answers that are slower than a bucket.
    pub fn slower_than(&self, bucket: usize) -> u64 {
        self.latencies.iter().skip(bucket + 1).sum()
    }

    /// Requests that failed, or were answered by tasks that do not warm up.
    pub fn judged(&self) -> u64 {
        self.failed + self.latencies.iter().sum::<u64>()
    }

    /// The bucket that a part of the good answers does not exceed; none without good answers.
    pub fn quantile_bucket(&self, part: f64) -> Option<usize> {
        let all: u64 = self.latencies.iter().sum();
        let mut below = 0;
        self.latencies.iter().position(|count| {
            below += count;
            all > 0 && below as f64 >= all as f64 * part
        })
    }
}

/// How requests of one route ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteOutcomes {
    /// At tasks of the version that is brought in.
    pub target: Counts,
    /// At tasks of the versions before it.
    pub base: Counts,
}

/// All that edges have reported of a rollout.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The last report of each edge's process.
    last: BTreeMap<(String, u64), RolloutObservation>,
    /// All outcomes by route.
    pub totals: BTreeMap<String, RouteOutcomes>,
    /// Those that were not judged yet.
    unjudged: BTreeMap<String, RouteOutcomes>,
    /// Requests for the service, and those that were sent to the new version.
    pub requests: u64,
    /// Requests that were sent to the new version.
    pub target_requests: u64,
}

impl Evidence {
    /// An edge reports what it has counted since it heard of the rollout. Reports of one process only grow.
    pub fn observe(&mut self, edge: &str, incarnation: u64, observation: RolloutObservation) {
        let process = (edge.to_owned(), incarnation);
        let before = self.last.get(&process);
        let requests_before = before.map_or((0, 0), |b| (b.requests, b.target_requests));
        self.requests += observation.requests.saturating_sub(requests_before.0);
        self.target_requests += observation
            .target_requests
            .saturating_sub(requests_before.1);
        for counts in &observation.outcomes {
            let same =
                |c: &&OutcomeCounts| c.route == counts.route && c.is_target == counts.is_target;
            let counted = before.and_then(|b| b.outcomes.iter().find(same));
            for sums in [&mut self.totals, &mut self.unjudged] {
                let route = sums.entry(counts.route.clone()).or_default();
                let side = if counts.is_target {
                    &mut route.target
                } else {
                    &mut route.base
                };
                side.add(counts, counted);
            }
        }
        self.last.insert(process, observation);
    }

    /// The last report of an edge's process.
    pub fn last_of(&self, edge: &str, incarnation: u64) -> Option<&RolloutObservation> {
        self.last.get(&(edge.to_owned(), incarnation))
    }

    /// The outcomes that came since this was last asked for.
    pub fn take_unjudged(&mut self) -> BTreeMap<String, RouteOutcomes> {
        std::mem::take(&mut self.unjudged)
    }

    /// Requests that ended at tasks of the new version.
    pub fn target_ended(&self) -> u64 {
        self.totals.values().map(|route| route.target.ended).sum()
    }
}
