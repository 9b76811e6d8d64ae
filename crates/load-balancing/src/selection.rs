//! Which task a request goes to: the one where it would be done first, as far as this edge can
//! tell, with the bytes between zones and regions counted as time.

use lynxmill_configuration::{Service, VersionAccess};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::load_balancer::{Endpoint, LoadBalancer, Locality};
use crate::shard_map::ShardOwner;

/// What a task in another zone costs, as a fraction of the latency target.
const OTHER_ZONE: f64 = 0.12;
/// What a task in another region costs on top, as a fraction of the latency target.
const OTHER_REGION: f64 = 0.5;
/// What a task whose slots are all but taken costs, as a fraction of its mean latency.
const QUEUE_COST: f64 = 0.35;
/// What an ejected task costs, in latency targets: it is the last resort.
const FAILURE_COST: f64 = 4.0;

/// What a request allows.
#[derive(Clone, Debug)]
pub struct Candidates<'a> {
    /// The service that it goes to.
    pub service: &'a Service,
    /// Regions that it may run in; any if empty.
    pub homes: &'a [String],
    /// `Lynxmill-Shard-Key`.
    pub key: Option<u32>,
    /// Tasks that it was sent to already.
    pub excluded: &'a [String],
    /// The latency target of its route.
    pub latency_target: TimeDelta,
}

/// What was selected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// This task, by `InstanceId`.
    Task(String),
    /// The key's slice is closed: it may open at any moment.
    Closed,
    /// No task may be sent it now.
    None,
}

impl LoadBalancer {
    fn is_open(&self, now: Timestamp, endpoint: &Endpoint, candidates: &Candidates) -> bool {
        let place: &Locality = &self.locality;
        let region = place.region_of(&endpoint.task.zone);
        endpoint.is_usable(now)
            && endpoint.access != VersionAccess::Denied
            && !self.routes().evacuated(&endpoint.task.zone)
            && (candidates.homes.is_empty() || candidates.homes.iter().any(|home| home == region))
            && !candidates.excluded.contains(&endpoint.task.id)
    }

    /// Seconds that a request would take there, beyond its work.
    fn cost(&self, now: Timestamp, endpoint: &Endpoint, latency_target: TimeDelta) -> f64 {
        let (mean, slots) = (
            endpoint.mean_latency_s(),
            f64::from(endpoint.task.slots.max(1)),
        );
        let load = endpoint.load(now);
        let waits = (load + 1.0 - slots).max(0.0) / slots * mean;
        let crowd = load / slots * QUEUE_COST * mean;
        let far = if endpoint.task.zone == self.locality.zone {
            0.0
        } else if self.locality.region_of(&endpoint.task.zone) == self.locality.region {
            OTHER_ZONE
        } else {
            OTHER_ZONE + OTHER_REGION
        };
        let failed = if endpoint.is_ejected(now) {
            FAILURE_COST
        } else {
            0.0
        };
        waits + crowd + (far + failed) * latency_target.secs()
    }

    /// Selects a task; `random` from 0 to 1 breaks ties.
    pub fn select(&mut self, now: Timestamp, candidates: &Candidates, random: f64) -> Selection {
        if candidates.service.sharded {
            return self.select_owner(now, candidates);
        }
        let preferred = self.rank_new_version(now, candidates, random);
        if let Some(id) = self.first_with_capacity(now, preferred, candidates.service) {
            return Selection::Task(id);
        }
        let ranked = self.rank_released(now, candidates, random);
        let first = self.first_with_capacity(now, ranked, candidates.service);
        first.map_or(Selection::None, Selection::Task)
    }

    /// The tasks of a version that is brought in, if it has earned the request, the best first.
    fn rank_new_version(
        &self,
        now: Timestamp,
        candidates: &Candidates,
        random: f64,
    ) -> Vec<String> {
        let Some(in_use) = self.rollout_candidates(now, candidates) else {
            return Vec::new();
        };
        let endpoints = in_use.iter().filter_map(|id| self.endpoint(id));
        self.rank(now, endpoints, candidates, random)
    }

    /// The tasks of versions that are released, the best first.
    fn rank_released(&self, now: Timestamp, candidates: &Candidates, random: f64) -> Vec<String> {
        let ids = self.endpoints_of(&candidates.service.name).iter();
        let released = ids
            .filter_map(|id| self.endpoint(id))
            .filter(|endpoint| endpoint.access == VersionAccess::Released);
        self.rank(now, released, candidates, random)
    }

    fn first_with_capacity(
        &mut self,
        now: Timestamp,
        ranked: Vec<String>,
        service: &Service,
    ) -> Option<String> {
        let mut ranked = ranked.into_iter();
        ranked.find(|id| self.has_warm_up_capacity(now, id, service))
    }

    /// Those of these tasks that may be sent the request, the cheapest first; `random` breaks ties.
    fn rank<'a>(
        &self,
        now: Timestamp,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        candidates: &Candidates,
        random: f64,
    ) -> Vec<String> {
        let mut best: Vec<(f64, &str)> = Vec::new();
        for endpoint in endpoints.filter(|endpoint| self.is_open(now, endpoint, candidates)) {
            let cost = self.cost(now, endpoint, candidates.latency_target);
            best.push((cost, &endpoint.task.id));
        }
        best.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Near-equals share: edges that know the same must not all go to one task.
        let near =
            best.first().map_or(0.0, |first| first.0) + candidates.latency_target.secs() * 0.01;
        let equal = best.partition_point(|(cost, _)| *cost <= near);
        if equal > 1 {
            let by = (random * equal as f64) as usize % equal;
            best[..equal].rotate_left(by);
        }
        best.into_iter().map(|(_, id)| id.to_owned()).collect()
    }

    fn select_owner(&mut self, now: Timestamp, candidates: &Candidates) -> Selection {
        let Some(key) = candidates.key else {
            return Selection::None;
        };
        let (from, found) = self.shard_owner(&candidates.service.name, key);
        self.count_demand(&candidates.service.name, from);
        let ShardOwner::Owner(id) = found else {
            return Selection::Closed;
        };
        let open = self
            .endpoint(&id)
            .is_some_and(|endpoint| self.is_open(now, endpoint, candidates));
        if !open {
            // Its owner has gone or was tried: the slice is about to move, if the request may go there at
            // all.
            return Selection::Closed;
        }
        if self.has_warm_up_capacity(now, &id, candidates.service) {
            Selection::Task(id)
        } else {
            Selection::None
        }
    }
}
