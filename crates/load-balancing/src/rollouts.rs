//! Rollouts at an edge: which tasks of a new version may be sent requests, how many, and how these end.
//!
//! A version that is brought in earns a fraction of a request with each request for its service and gets none that it
//! has not earned. So all edges together never send it more than its share, whatever each of them knows. Its tasks are
//! used one after the other, as many as its share is of them, so that each bears what it will bear once all are in use.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_configuration::{Rollout, VersionAccess, rollout_rank};
use lynxmill_protocol::{
    LATENCY_BUCKETS, OutcomeCounts, RolloutObservation, TaskState, latency_bucket,
};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::load_balancer::{Endpoint, LoadBalancer};
use crate::selection::Candidates;

/// Requests that a version may have earned and not got.
const MAX_CREDIT: f64 = 2.0;
/// Without a message from any member for so long, an edge sends nothing to a version that has only a share.
const CONTACT_TIMEOUT: TimeDelta = TimeDelta::from_micros(2_600_000);

/// How a request that a task may have run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A good answer after this latency.
    Succeeded(TimeDelta),
    /// A failure, an answer that can't be passed on, or none.
    Failed,
}

/// A rollout in progress, as an edge carries it out.
#[derive(Clone, Debug)]
pub(crate) struct RolloutTraffic {
    service: String,
    /// The number of the change that ordered it.
    number: u64,
    version: String,
    share: f64,
    /// The version of the rollouts' item that is in force.
    item_version: u64,
    /// Requests that the version has earned.
    credit: f64,
    requests: u64,
    target_requests: u64,
    /// Counts by route, for the new version and for the others.
    outcomes: BTreeMap<(String, bool), OutcomeCounts>,
    /// Tasks of the version that are in use, by `InstanceId`.
    in_use: BTreeSet<String>,
}

impl RolloutTraffic {
    fn new(service: &str, rollout: &Rollout) -> Self {
        RolloutTraffic {
            service: service.to_owned(),
            number: rollout.number,
            version: rollout.target_version.clone(),
            share: 0.0,
            item_version: 0,
            credit: 0.0,
            requests: 0,
            target_requests: 0,
            outcomes: BTreeMap::new(),
            in_use: BTreeSet::new(),
        }
    }

    /// All requests are to go to the version.
    fn takes_over(&self) -> bool {
        self.share >= 1.0
    }

    fn earn(&mut self) {
        self.requests += 1;
        self.credit = (self.credit + self.share).min(MAX_CREDIT);
    }

    /// Whether the version may be sent one more request.
    fn has_credit(&self) -> bool {
        self.takes_over() || (self.share > 0.0 && self.credit >= 1.0)
    }

    fn record(&mut self, route: &str, is_target: bool, is_warm: bool, outcome: Outcome) {
        let counts = self.outcomes.entry((route.to_owned(), is_target));
        let counts = counts.or_insert_with(|| OutcomeCounts {
            route: route.to_owned(),
            is_target,
            latencies: vec![0; LATENCY_BUCKETS],
            ..OutcomeCounts::default()
        });
        counts.ended += 1;
        match outcome {
            Outcome::Failed => counts.failed += 1,
            Outcome::Succeeded(latency) if is_warm => {
                counts.latencies[latency_bucket(latency.secs())] += 1;
            }
            Outcome::Succeeded(_) => {}
        }
    }
}

impl LoadBalancer {
    /// A member has sent a message.
    pub fn member_heard(&mut self, now: Timestamp) {
        self.last_heard = now;
    }

    /// Whether a rollout is in progress.
    pub fn has_rollouts(&self) -> bool {
        !self.rollouts.is_empty()
    }

    /// Takes the rollouts of a new routing table over.
    pub(crate) fn refresh_rollouts(&mut self) {
        let mut known = std::mem::take(&mut self.rollouts);
        let mut refreshed = Vec::new();
        for (service, item_version, rollouts) in self.routes().rollouts() {
            for rollout in rollouts.in_progress() {
                let before = known
                    .iter()
                    .position(|traffic| traffic.number == rollout.number);
                let mut traffic = before.map_or_else(
                    || RolloutTraffic::new(service, rollout),
                    |at| known.swap_remove(at),
                );
                (traffic.share, traffic.item_version) = (rollout.share, item_version);
                refreshed.push(traffic);
            }
        }
        self.rollouts = refreshed;
        self.refresh_access();
    }

    fn refresh_access(&mut self) {
        let routes = &self.routes;
        for endpoint in self.endpoints.values_mut() {
            let task = &endpoint.task;
            endpoint.access = routes.version_access(&task.service, &task.version);
        }
        self.refresh_tasks_in_use();
    }

    /// Tasks have come or gone: divides those of new versions anew.
    pub(crate) fn refresh_tasks_in_use(&mut self) {
        for traffic in &mut self.rollouts {
            let mut by_zone: BTreeMap<&str, Vec<(u64, &String)>> = BTreeMap::new();
            let ids = self.services.get(&traffic.service).into_iter().flatten();
            for id in ids {
                let Some(endpoint) = self.endpoints.get(id) else {
                    continue;
                };
                let task = &endpoint.task;
                let is_ready = task.state == TaskState::Ready as i32 && !task.timed_out;
                if is_ready && task.version == traffic.version {
                    let zone = by_zone.entry(task.zone.as_str()).or_default();
                    zone.push((rollout_rank(traffic.number, id), id));
                }
            }
            traffic.in_use.clear();
            for mut tasks in by_zone.into_values() {
                tasks.sort();
                let used = (tasks.len() as f64 * traffic.share).ceil() as usize;
                let used = tasks.into_iter().take(used).map(|(_, id)| id.clone());
                traffic.in_use.extend(used);
            }
        }
    }

    /// A client's request for a service has arrived: new versions earn their share of it.
    pub(crate) fn earn_rollout_credit(&mut self, service: &str) {
        let of_service = self
            .rollouts
            .iter_mut()
            .filter(|traffic| traffic.service == service);
        of_service.for_each(RolloutTraffic::earn);
    }

    /// An attempt at a task begins: what its version had earned is spent.
    pub(crate) fn spend_rollout_credit(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        if !matches!(endpoint.access, VersionAccess::Share(_)) {
            return;
        }
        let task = &endpoint.task;
        let is_of =
            |t: &&mut RolloutTraffic| t.service == task.service && t.version == task.version;
        if let Some(traffic) = self.rollouts.iter_mut().find(is_of) {
            traffic.credit = (traffic.credit - 1.0).max(0.0);
            traffic.target_requests += 1;
        }
    }

    /// Tasks of new versions that a request may go to before all others; none if no version has earned it.
    pub(crate) fn rollout_candidates(
        &self,
        now: Timestamp,
        candidates: &Candidates,
    ) -> Option<&BTreeSet<String>> {
        let is_retry = !candidates.excluded.is_empty();
        let in_contact = now - self.last_heard <= CONTACT_TIMEOUT;
        let may_send = |traffic: &&RolloutTraffic| {
            traffic.service == candidates.service.name
                && traffic.has_credit()
                && (traffic.takes_over() || (!is_retry && in_contact))
        };
        self.rollouts
            .iter()
            .find(may_send)
            .map(|traffic| &traffic.in_use)
    }

    /// How a request at a task ended, for the judgement of rollouts.
    pub fn record_outcome(&mut self, now: Timestamp, id: &str, route: &str, outcome: Outcome) {
        if self.rollouts.is_empty() {
            return;
        }
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let is_warm = !endpoint.is_warming_up(now);
        let task = &endpoint.task;
        let of_service = self
            .rollouts
            .iter_mut()
            .filter(|t| t.service == task.service);
        for traffic in of_service {
            let is_target = traffic.version == task.version;
            if is_target || endpoint.access == VersionAccess::Released {
                traffic.record(route, is_target, is_warm, outcome);
            }
        }
    }

    /// What was observed of rollouts since this edge heard of them.
    pub(crate) fn observe_rollouts(&self) -> Vec<RolloutObservation> {
        let observation = |traffic: &RolloutTraffic| {
            let others = |e: &&Endpoint| {
                e.task.service == traffic.service && e.task.version != traffic.version
            };
            RolloutObservation {
                service: traffic.service.clone(),
                number: traffic.number,
                item_version: traffic.item_version,
                requests: traffic.requests,
                target_requests: traffic.target_requests,
                others_in_flight: self
                    .endpoints
                    .values()
                    .filter(others)
                    .map(Endpoint::in_flight)
                    .sum(),
                outcomes: traffic.outcomes.values().cloned().collect(),
            }
        };
        self.rollouts.iter().map(observation).collect()
    }
}
