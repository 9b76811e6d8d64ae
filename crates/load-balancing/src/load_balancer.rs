//! What an edge knows: itself, the configuration, tasks and how they do, the other edges.

use std::collections::{BTreeMap, HashMap};

use lynxmill_configuration::{Bounds, RoutingTable, Service};
use lynxmill_protocol::{
    EdgeInfo, EdgeList, LoadReport, ShardTableUpdate, SliceObservation, Task, TaskObservation,
    TaskState,
};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::retry_budget::RetryBudget;
use crate::shard_map::{ShardMap, ShardOwner};
use crate::slow_start::{RateWindow, rate_share};

/// Seconds that a request is taken to last where nothing is known yet.
const LATENCY_WEIGHT: f64 = 0.06;
/// Weight of the newest time in a running mean.
const FRESH: f64 = 0.1;
/// A load told by a task counts for so long.
const REPORTED_LOAD_MAX_AGE: TimeDelta = TimeDelta::from_micros(400_000);
/// Members tell edges that a task has gone cold again only where that keeps it cold longer by more than
/// this part of a beat interval: an edge takes it for cold that much longer than it was told.
const WARM_UP_MARGIN_HEARTBEATS: f64 = 0.2;
/// Beat intervals after which a member that has just started has found silent what is. Until then what it
/// knew of a task before its start counts for less than the word of a member that has been listening.
const RECALL_HEARTBEATS: f64 = 3.0;
/// Beat intervals for which a life is left alone after another task answered at its address: by then it is
/// found silent.
const REPLACED_HEARTBEATS: f64 = 3.0;
/// How long a task rests after a failure, doubled with each further one up to the most.
const EJECTION_TIME: TimeDelta = TimeDelta::from_micros(300_000);
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Where the edge stands.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub regions: HashMap<String, String>,
}

impl Locality {
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }
}

/// How a try at a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// An answer of its own, whatever it says.
    Answered(TimeDelta),
    /// It said that it did not run the request.
    Shed,
    /// It is another one, or doesn't hold the key.
    Misdirected,
    /// No connection, or none that held.
    Failed,
}

#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    pub task: Task,
    /// Members of the core that have told of it: whether they find it silent, since which of its calls.
    described_by: BTreeMap<String, (bool, u64)>,
    /// Members whose word is from before their last start, and until when it may be out of date.
    recalled_by: BTreeMap<String, Timestamp>,
    /// Another task answered at its address: it is left alone until then.
    replaced_until: Timestamp,
    warm_up_until: Timestamp,
    rate: RateWindow,
    in_flight: u32,
    /// Running and waiting as it last told, when, and what this edge had in flight there then.
    reported_load: Option<(f64, Timestamp, u32)>,
    mean_latency: Option<f64>,
    failures: u32,
    ejected_until: Timestamp,
    // Since the last report.
    attempts: u32,
    failed_attempts: u32,
    latency_sum_s: f64,
}

impl Endpoint {
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.task.state == TaskState::Ready as i32
            && !self.has_timed_out(now)
            && now >= self.replaced_until
    }

    /// One member that is cut off may find all silent, or hear what no other hears.
    fn has_timed_out(&self, now: Timestamp) -> bool {
        let recalled = |member: &str| {
            self.recalled_by
                .get(member)
                .is_some_and(|until| now < *until)
        };
        let mut heard = self
            .described_by
            .iter()
            .filter(|(member, _)| !recalled(member))
            .peekable();
        if heard.peek().is_some() {
            return heard.all(|(_, (silent, _))| *silent);
        }
        !self.described_by.is_empty() && self.described_by.values().all(|(silent, _)| *silent)
    }

    pub fn mean_latency_s(&self) -> f64 {
        self.mean_latency.unwrap_or(LATENCY_WEIGHT)
    }

    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        now < self.warm_up_until
    }

    /// Requests that it has, as far as this edge can tell.
    pub fn load(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.in_flight);
        match self.reported_load {
            Some((told, at, then)) if now - at < REPORTED_LOAD_MAX_AGE => {
                (told + own - f64::from(then)).max(own)
            }
            _ => own,
        }
    }
}

pub struct LoadBalancer {
    pub locality: Locality,
    bounds: Bounds,
    heartbeat_interval: TimeDelta,
    routes: RoutingTable,
    endpoints: BTreeMap<String, Endpoint>,
    services: BTreeMap<String, Vec<String>>,
    shards: BTreeMap<String, ShardMap>,
    edges: Vec<EdgeInfo>,
    budgets: BTreeMap<String, RetryBudget>,
    demand: BTreeMap<(String, u32), u32>,
    last_report: Timestamp,
}

impl LoadBalancer {
    pub fn new(now: Timestamp, locality: Locality, bounds: Bounds) -> Self {
        LoadBalancer {
            locality,
            bounds,
            heartbeat_interval: TimeDelta::default(),
            routes: RoutingTable::default(),
            endpoints: BTreeMap::new(),
            services: BTreeMap::new(),
            shards: BTreeMap::new(),
            edges: Vec::new(),
            budgets: BTreeMap::new(),
            demand: BTreeMap::new(),
            last_report: now,
        }
    }

    pub fn routes(&self) -> &RoutingTable {
        &self.routes
    }

    pub fn set_routes(&mut self, routes: RoutingTable) {
        self.routes = routes;
    }

    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// How often tasks beat, as the settings tell.
    pub fn set_heartbeat_interval(&mut self, interval: TimeDelta) {
        self.heartbeat_interval = interval;
    }

    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    pub(crate) fn endpoints_of(&self, service: &str) -> &[String] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Until when a task counts as cold by a member's word.
    fn warm_up_until(&self, now: Timestamp, task: &Task) -> Timestamp {
        if task.warm_up_left_ms == 0 {
            return now;
        }
        now + TimeDelta::from_micros(i64::from(task.warm_up_left_ms) * 1000)
            + self.heartbeat_interval.times(WARM_UP_MARGIN_HEARTBEATS)
    }

    /// A member's word of a task.
    pub fn update_task(&mut self, now: Timestamp, member: &str, task: &Task) {
        let warm_up_until = self.warm_up_until(now, task);
        let Some(seen) = self.endpoints.get_mut(&task.id) else {
            if task.state != TaskState::Gone as i32 {
                let described_by =
                    BTreeMap::from([(member.to_owned(), (task.timed_out, task.call_seq))]);
                let seen = Endpoint {
                    task: task.clone(),
                    described_by,
                    warm_up_until,
                    ..Endpoint::default()
                };
                self.endpoints.insert(task.id.clone(), seen);
                self.services
                    .entry(task.service.clone())
                    .or_default()
                    .push(task.id.clone());
            }
            return;
        };
        // A task may go cold again, but never warms up sooner than it said: a member that tells so has
        // missed a word.
        if task.call_seq >= seen.task.call_seq {
            seen.warm_up_until = seen.warm_up_until.max(warm_up_until);
        }
        seen.recalled_by.remove(member);
        // A member that found it silent has to have heard of a later call since.
        let word = seen
            .described_by
            .entry(member.to_owned())
            .or_insert((task.timed_out, task.call_seq));
        if task.timed_out || task.call_seq > word.1 {
            *word = (task.timed_out, task.call_seq.max(word.1));
        }
        seen.task.merge(task);
    }

    /// A task as a member that has just started knew it before: it has not heard it since.
    pub fn recall_task(&mut self, now: Timestamp, member: &str, task: &Task) {
        self.update_task(now, member, task);
        let until = now + self.heartbeat_interval.times(RECALL_HEARTBEATS);
        if let Some(seen) = self.endpoints.get_mut(&task.id) {
            seen.recalled_by.insert(member.to_owned(), until);
        }
    }

    /// A member's stream has ended: what it found silent may have been heard since.
    pub fn member_lost(&mut self, member: &str) {
        for seen in self.endpoints.values_mut() {
            if seen.described_by.len() > 1 {
                seen.described_by.remove(member);
            }
        }
    }

    /// Tasks that nobody knows any more.
    pub fn retain_members(&mut self, known: impl Fn(&str) -> bool) {
        let tasks = &mut self.endpoints;
        tasks.retain(|id, seen| known(id) || seen.in_flight > 0);
        for ids in self.services.values_mut() {
            ids.retain(|id| tasks.contains_key(id));
        }
    }

    pub fn set_edges(&mut self, list: EdgeList) {
        self.edges = list.edges;
    }

    pub fn edge_count(&self) -> usize {
        self.edges.len().max(1)
    }

    /// A sharded service's table; whether its mark is to be answered.
    pub fn apply_shard_table(&mut self, table: &ShardTableUpdate) -> bool {
        self.shards
            .entry(table.service.clone())
            .or_default()
            .apply(table)
    }

    pub(crate) fn shard_owner(&self, service: &str, key: u32) -> (u32, ShardOwner) {
        self.shards
            .get(service)
            .map_or((0, ShardOwner::Closed), |slices| slices.lookup(key))
    }

    pub(crate) fn count_demand(&mut self, service: &str, from: u32) {
        *self.demand.entry((service.to_owned(), from)).or_default() += 1;
    }

    /// Guards cold tasks: whether this edge may send one more there.
    pub(crate) fn has_warm_up_capacity(
        &mut self,
        now: Timestamp,
        id: &str,
        service: &Service,
    ) -> bool {
        let Some(seen) = self.endpoints.get_mut(id) else {
            return false;
        };
        if !seen.is_warming_up(now) || service.cold_per_s <= 0.0 {
            return true;
        }
        let part = rate_share(
            id,
            &seen.task.zone,
            &self.locality.name,
            &self.edges,
            service.cold_per_s,
        );
        seen.rate.has_capacity(now, part)
    }

    /// A request came for a service.
    pub fn count_request(&mut self, service: &str) {
        let (ratio, slack, edges) = (
            self.bounds.retry_ratio,
            self.bounds.retry_slack,
            self.edge_count(),
        );
        let budget = self
            .budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(slack, edges));
        budget.request(ratio, slack, edges);
    }

    /// Whether a request may go to a further task of a service.
    pub fn acquire_retry(&mut self, service: &str) -> bool {
        self.budgets
            .get_mut(service)
            .is_some_and(RetryBudget::try_acquire)
    }

    /// A request goes to a task.
    pub fn attempt_started(&mut self, now: Timestamp, id: &str) {
        if let Some(seen) = self.endpoints.get_mut(id) {
            seen.in_flight += 1;
            seen.rate.record(now);
        }
    }

    /// Whether a task's service is known not to be divided by keys: such a task is misdirected to only where
    /// another one stands at its address.
    fn is_unsharded(&self, id: &str) -> bool {
        let service = self
            .endpoints
            .get(id)
            .and_then(|seen| self.routes.service(&seen.task.service));
        service.is_some_and(|service| !service.sharded)
    }

    /// It has ended; `load` is what the task told: running and waiting.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        id: &str,
        result: AttemptResult,
        load: Option<f64>,
    ) {
        let replaced = result == AttemptResult::Misdirected && self.is_unsharded(id);
        let Some(seen) = self.endpoints.get_mut(id) else {
            return;
        };
        if replaced {
            seen.replaced_until = now + self.heartbeat_interval.times(REPLACED_HEARTBEATS);
        }
        seen.in_flight = seen.in_flight.saturating_sub(1);
        if let Some(load) = load {
            // Its own answer is no longer among what runs there.
            seen.reported_load = Some(((load - 1.0).max(0.0), now, seen.in_flight));
        }
        seen.attempts += 1;
        match result {
            AttemptResult::Answered(took) => {
                let mean = seen.mean_latency.get_or_insert(took.secs());
                *mean += (took.secs() - *mean) * FRESH;
                seen.latency_sum_s += took.secs();
                seen.failures = 0;
            }
            AttemptResult::Shed => seen.failed_attempts += 1,
            AttemptResult::Misdirected => {
                seen.failed_attempts += 1;
                seen.ejected_until = now + EJECTION_TIME;
            }
            AttemptResult::Failed => {
                seen.failed_attempts += 1;
                seen.failures = (seen.failures + 1).min(MAX_EJECTION_DOUBLINGS);
                seen.ejected_until =
                    now + EJECTION_TIME.times(f64::from(1u32 << (seen.failures - 1)));
            }
        }
    }

    /// A try that was given up before anything of it was sent.
    pub fn attempt_unsent(&mut self, id: &str) {
        if let Some(seen) = self.endpoints.get_mut(id) {
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }

    /// What was seen of sharded services since the last report: of others nobody asks.
    pub fn take_report(&mut self, now: Timestamp) -> LoadReport {
        let interval_ms = ((now - self.last_report).micros() / 1000).max(0) as u32;
        self.last_report = now;
        let mut tasks = Vec::new();
        let (tables, all) = (&self.shards, &mut self.endpoints);
        let asked = |seen: &Endpoint| seen.attempts > 0 && tables.contains_key(&seen.task.service);
        for (id, seen) in all.iter_mut().filter(|(_, seen)| asked(seen)) {
            let answered =
                f64::from(seen.attempts - seen.failed_attempts.min(seen.attempts)).max(1.0);
            let in_flight = seen.load(now).max(0.0) as u32;
            let mean_latency_ms = seen.latency_sum_s / answered * 1000.0;
            tasks.push(TaskObservation {
                id: id.clone(),
                attempts: seen.attempts,
                failures: seen.failed_attempts,
                mean_latency_ms,
                in_flight,
            });
            (seen.attempts, seen.failed_attempts, seen.latency_sum_s) = (0, 0, 0.0);
        }
        let demand = std::mem::take(&mut self.demand);
        let slice = |((service, from), requests)| SliceObservation {
            service,
            from,
            requests,
        };
        LoadReport {
            interval_ms,
            tasks,
            slices: demand.into_iter().map(slice).collect(),
        }
    }
}
