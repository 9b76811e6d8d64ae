//! Requests of clients at an edge while versions of a service are brought in, sent by the shipping load-balancing policy.

use std::collections::BTreeMap;

use lynxmill_configuration::Service;
use lynxmill_load_balancing::{AttemptResult, Candidates, LoadBalancer, Outcome, Selection};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::operator::PLAIN;
use crate::random::Random;

/// Requests between two looks of an edge.
const REQUESTS: usize = 80;
/// The share of requests that a bad version fails.
const BAD_SHARE: f64 = 0.5;
const LATENCY_S: (f64, f64) = (0.02, 0.08);
const LATENCY_TARGET: TimeDelta = TimeDelta::from_micros(500_000);
/// Versions whose names begin so are bad.
pub(crate) const BAD_VERSION: &str = "bad-";

/// What became of the requests.
#[derive(Debug, Default)]
pub(crate) struct SentRequests {
    pub all: u64,
    /// Those that were sent to a task, by its version.
    pub by_version: BTreeMap<String, u64>,
}

#[derive(Debug)]
pub(crate) struct ClientTraffic {
    random: Random,
    service: Service,
}

impl ClientTraffic {
    pub(crate) fn new(seed: u64, edge: &str) -> Self {
        ClientTraffic {
            random: Random::new(seed, &format!("clients of {edge}")),
            service: Service {
                name: PLAIN.to_owned(),
                ..Service::default()
            },
        }
    }

    /// Sends the requests of one look.
    pub(crate) fn send(
        &mut self,
        now: Timestamp,
        load_balancer: &mut LoadBalancer,
    ) -> SentRequests {
        let mut sent = SentRequests::default();
        for _ in 0..REQUESTS {
            sent.all += 1;
            load_balancer.count_request(PLAIN);
            if let Some(version) = self.attempt(now, load_balancer) {
                *sent.by_version.entry(version).or_default() += 1;
            }
        }
        sent
    }

    /// Sends one request; the version of the task that it was sent to.
    fn attempt(&mut self, now: Timestamp, load_balancer: &mut LoadBalancer) -> Option<String> {
        let candidates = Candidates {
            service: &self.service,
            homes: &[],
            key: None,
            excluded: &[],
            latency_target: LATENCY_TARGET,
        };
        let Selection::Task(id) = load_balancer.select(now, &candidates, self.random.unit()) else {
            return None;
        };
        let version = load_balancer.endpoint(&id)?.task.version.clone();
        load_balancer.attempt_started(now, &id);
        let latency = self.random.time_delta(LATENCY_S.0, LATENCY_S.1);
        let (result, outcome) = if version.starts_with(BAD_VERSION) && self.random.chance(BAD_SHARE)
        {
            (AttemptResult::Failed, Outcome::Failed)
        } else {
            (
                AttemptResult::Answered(latency),
                Outcome::Succeeded(latency),
            )
        };
        load_balancer.attempt_ended(now, &id, result, None);
        load_balancer.record_outcome(now, &id, "fixed", outcome);
        Some(version)
    }
}
