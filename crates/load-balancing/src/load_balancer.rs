//! What an edge knows: its locality, the configuration, tasks and how they do, the other edges.

use std::collections::{BTreeMap, HashMap};

use lynxmill_configuration::{Bounds, RoutingTable, Service, VersionAccess};
use lynxmill_protocol::{
    EdgeInfo, EdgeList, EvacuationNotice, LoadReport, ShardTableUpdate, SliceObservation, Task,
    TaskObservation, TaskState,
};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::retry_budget::RetryBudget;
use crate::rollouts::RolloutTraffic;
use crate::shard_map::{ShardMap, ShardOwner};
use crate::slow_start::{RateWindow, rate_share};

/// Latency that is assumed of a task that has not answered yet, in seconds.
const DEFAULT_LATENCY_S: f64 = 0.06;
/// Weight of the newest latency in a moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// A load that a task reported counts for so long.
const REPORTED_LOAD_MAX_AGE: TimeDelta = TimeDelta::from_micros(400_000);
/// Members tell edges of a longer warm-up only where it is longer by more than this fraction of a
/// heartbeat interval: an edge assumes that much more than it was told.
const WARM_UP_MARGIN_HEARTBEATS: f64 = 0.2;
/// Heartbeat intervals after which a member that has just started knows which tasks have timed out.
/// Until then what it knew before its start counts less than what a running member says.
const RECALL_HEARTBEATS: f64 = 3.0;
/// Heartbeat intervals for which a task gets nothing after another one answered at its address: by
/// then it has timed out.
const REPLACED_HEARTBEATS: f64 = 3.0;
/// Heartbeat intervals for which the tasks of a zone that is taken back are assumed to warm up: by then their
/// heartbeats have told of it.
const TAKEN_BACK_HEARTBEATS: f64 = 2.0;
/// How long a task is ejected after a failure, doubled with each further one.
const EJECTION_TIME: TimeDelta = TimeDelta::from_micros(300_000);
/// How often the ejection time is doubled at most.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Where the edge is.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    /// The edge's `NodeName`.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The region of each zone.
    pub regions: HashMap<String, String>,
}

impl Locality {
    /// The region of a zone; empty if the zone is not known.
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }
}

/// How an attempt at a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// An answer of its own, whatever it says, after this latency.
    Answered(TimeDelta),
    /// The task said that it did not run the request.
    Shed,
    /// Another task answered, or the task does not own the key.
    Misdirected,
    /// No connection, or one that broke.
    Failed,
}

/// A task as an edge sees it.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The task as last described.
    pub task: Task,
    /// What its version may be sent.
    pub(crate) access: VersionAccess,
    /// Members that have described it: whether it has timed out there, and since which of its
    /// calls.
    described_by: BTreeMap<String, (bool, u64)>,
    /// Members that know it from before their last start, and until when that may be out of date.
    recalled_by: BTreeMap<String, Timestamp>,
    /// Another task answered at its address: it gets nothing until then.
    replaced_until: Timestamp,
    warm_up_until: Timestamp,
    /// Its zone was taken back: it is assumed to warm up until then.
    taken_back_until: Timestamp,
    rate: RateWindow,
    in_flight: u32,
    /// Requests running and queued as it last reported, when, and what this edge had in flight
    /// there then.
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
    /// Whether it takes requests.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.task.state == TaskState::Ready as i32
            && !self.has_timed_out(now)
            && now >= self.replaced_until
    }

    /// Whether all members that know it say so: one that is cut off may find all timed out, or hear
    /// what no other hears.
    fn has_timed_out(&self, now: Timestamp) -> bool {
        let recalled = |member: &str| {
            self.recalled_by
                .get(member)
                .is_some_and(|until| now < *until)
        };
        let mut descriptions = self
            .described_by
            .iter()
            .filter(|(member, _)| !recalled(member))
            .peekable();
        if descriptions.peek().is_some() {
            return descriptions.all(|(_, (silent, _))| *silent);
        }
        !self.described_by.is_empty() && self.described_by.values().all(|(silent, _)| *silent)
    }

    /// Moving average of its latency, in seconds.
    pub fn mean_latency_s(&self) -> f64 {
        self.mean_latency.unwrap_or(DEFAULT_LATENCY_S)
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether it has failed lately.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Whether it is in its slow start.
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        now < self.warm_up_until.max(self.taken_back_until)
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

/// The state of the policy.
pub struct LoadBalancer {
    /// Where the edge is.
    pub locality: Locality,
    bounds: Bounds,
    heartbeat_interval: TimeDelta,
    pub(crate) routes: RoutingTable,
    pub(crate) endpoints: BTreeMap<String, Endpoint>,
    pub(crate) services: BTreeMap<String, Vec<String>>,
    pub(crate) rollouts: Vec<RolloutTraffic>,
    /// When a message of any member last came.
    pub(crate) last_heard: Timestamp,
    shards: BTreeMap<String, ShardMap>,
    edges: Vec<EdgeInfo>,
    /// Zones whose evacuation or its end was asked for lately, and until when that counts.
    requested_evacuations: BTreeMap<String, Timestamp>,
    budgets: BTreeMap<String, RetryBudget>,
    demand: BTreeMap<(String, u32), u32>,
    last_report: Timestamp,
}

impl LoadBalancer {
    /// A policy that knows nothing yet.
    pub fn new(now: Timestamp, locality: Locality, bounds: Bounds) -> Self {
        LoadBalancer {
            locality,
            bounds,
            heartbeat_interval: TimeDelta::default(),
            routes: RoutingTable::default(),
            endpoints: BTreeMap::new(),
            services: BTreeMap::new(),
            rollouts: Vec::new(),
            last_heard: now,
            shards: BTreeMap::new(),
            edges: Vec::new(),
            requested_evacuations: BTreeMap::new(),
            budgets: BTreeMap::new(),
            demand: BTreeMap::new(),
            last_report: now,
        }
    }

    /// The routing table.
    pub fn routes(&self) -> &RoutingTable {
        &self.routes
    }

    /// Replaces the routing table.
    pub fn set_routes(&mut self, routes: RoutingTable) {
        self.routes = routes;
        self.refresh_rollouts();
    }

    /// An evacuation was asked for: until the notice ends, each task of the zone gets no more than a cold one
    /// bears, since it may have turned cold and say so only with its next heartbeat. An evacuation that is
    /// agreed late may be taken back at once, so its being in force does not end the notice.
    pub fn evacuation_requested(&mut self, now: Timestamp, notice: &EvacuationNotice) {
        self.requested_evacuations.retain(|_, until| now < *until);
        let until = now + TimeDelta::from_micros(i64::from(notice.valid_ms) * 1000);
        let known = self
            .requested_evacuations
            .entry(notice.zone.clone())
            .or_insert(until);
        *known = until.max(*known);
    }

    /// Replaces the routing table by that of a member whose stream has just begun. Tasks of a zone that is
    /// evacuated no longer are assumed to warm up: an edge that was cut off learns that the zone is taken back
    /// before it hears of its tasks again.
    pub fn set_routes_after_join(&mut self, now: Timestamp, routes: RoutingTable) {
        let until = now + self.heartbeat_interval.times(TAKEN_BACK_HEARTBEATS);
        for endpoint in self.endpoints.values_mut() {
            let zone = &endpoint.task.zone;
            if self.routes.evacuated(zone) && !routes.evacuated(zone) {
                endpoint.taken_back_until = until;
            }
        }
        self.set_routes(routes);
    }

    /// Replaces the figures of the rules.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Sets the interval between two heartbeats of a task.
    pub fn set_heartbeat_interval(&mut self, interval: TimeDelta) {
        self.heartbeat_interval = interval;
    }

    /// A task by `InstanceId`.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Whether a task may be sent a request now, as far as its state and its zone go.
    pub fn may_send(&self, now: Timestamp, id: &str) -> bool {
        self.endpoint(id).is_some_and(|endpoint| {
            endpoint.is_usable(now)
                && endpoint.access != VersionAccess::Denied
                && !self.routes.evacuated(&endpoint.task.zone)
        })
    }

    pub(crate) fn endpoints_of(&self, service: &str) -> &[String] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Until when a task warms up, as a member describes it.
    fn warm_up_until(&self, now: Timestamp, task: &Task) -> Timestamp {
        if task.warm_up_left_ms == 0 {
            return now;
        }
        now + TimeDelta::from_micros(i64::from(task.warm_up_left_ms) * 1000)
            + self.heartbeat_interval.times(WARM_UP_MARGIN_HEARTBEATS)
    }

    /// A member has described tasks.
    pub fn update_tasks(&mut self, now: Timestamp, member: &str, tasks: &[Task]) {
        for task in tasks {
            self.update_task(now, member, task);
        }
        self.refresh_tasks_in_use();
    }

    /// A member has described a task.
    pub fn update_task(&mut self, now: Timestamp, member: &str, task: &Task) {
        let warm_up_until = self.warm_up_until(now, task);
        let Some(endpoint) = self.endpoints.get_mut(&task.id) else {
            if task.state != TaskState::Gone as i32 {
                let described_by =
                    BTreeMap::from([(member.to_owned(), (task.timed_out, task.call_seq))]);
                let endpoint = Endpoint {
                    task: task.clone(),
                    access: self.routes.version_access(&task.service, &task.version),
                    described_by,
                    warm_up_until,
                    ..Endpoint::default()
                };
                self.endpoints.insert(task.id.clone(), endpoint);
                self.services
                    .entry(task.service.clone())
                    .or_default()
                    .push(task.id.clone());
            }
            return;
        };
        // A task may go cold again, but never warms up sooner than it said: a member that tells so has
        // missed a word.
        if task.call_seq >= endpoint.task.call_seq {
            endpoint.warm_up_until = endpoint.warm_up_until.max(warm_up_until);
        }
        endpoint.recalled_by.remove(member);
        // A member that found it silent has to have heard of a later call since.
        let description = endpoint
            .described_by
            .entry(member.to_owned())
            .or_insert((task.timed_out, task.call_seq));
        if task.timed_out || task.call_seq > description.1 {
            *description = (task.timed_out, task.call_seq.max(description.1));
        }
        endpoint.task.merge(task);
    }

    /// A member that has just started has described a task as it knew it before: it has not heard
    /// of it since.
    pub fn recall_task(&mut self, now: Timestamp, member: &str, task: &Task) {
        self.update_task(now, member, task);
        let until = now + self.heartbeat_interval.times(RECALL_HEARTBEATS);
        if let Some(endpoint) = self.endpoints.get_mut(&task.id) {
            endpoint.recalled_by.insert(member.to_owned(), until);
        }
    }

    /// The same for several tasks.
    pub fn recall_tasks(&mut self, now: Timestamp, member: &str, tasks: &[Task]) {
        for task in tasks {
            self.recall_task(now, member, task);
        }
        self.refresh_tasks_in_use();
    }

    /// A member's stream has ended: what had timed out there may have been heard of since.
    pub fn member_lost(&mut self, member: &str) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.described_by.len() > 1 {
                endpoint.described_by.remove(member);
            }
        }
    }

    /// Drops tasks that nobody knows any more.
    pub fn retain_members(&mut self, known: impl Fn(&str) -> bool) {
        let tasks = &mut self.endpoints;
        tasks.retain(|id, seen| known(id) || seen.in_flight > 0);
        for ids in self.services.values_mut() {
            ids.retain(|id| tasks.contains_key(id));
        }
        self.refresh_tasks_in_use();
    }

    /// Replaces the list of edges.
    pub fn set_edges(&mut self, list: EdgeList) {
        self.edges = list.edges;
    }

    /// How many edges there are, at least one.
    pub fn edge_count(&self) -> usize {
        self.edges.len().max(1)
    }

    /// Applies an update of a shard table; whether it is to be acknowledged.
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

    /// Requests a second that all edges together may send to a task; none if that is not limited.
    fn rate_limit(&self, now: Timestamp, endpoint: &Endpoint, service: &Service) -> Option<f64> {
        if service.cold_per_s <= 0.0 {
            return None;
        }
        if endpoint.is_warming_up(now) {
            return Some(service.cold_per_s);
        }
        let until = self.requested_evacuations.get(&endpoint.task.zone)?;
        let most = service.cold_per_s * self.bounds.cold_overshoot + self.bounds.cold_slack;
        (now < *until).then_some(most.max(service.cold_per_s))
    }

    /// Whether this edge may send one more request to the task: always, unless it warms up or may have turned
    /// cold.
    pub(crate) fn has_warm_up_capacity(
        &mut self,
        now: Timestamp,
        id: &str,
        service: &Service,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        let Some(per_s) = self.rate_limit(now, endpoint, service) else {
            return true;
        };
        let part = rate_share(
            id,
            &endpoint.task.zone,
            &self.locality.name,
            &self.edges,
            per_s,
        );
        self.endpoints
            .get_mut(id)
            .is_some_and(|endpoint| endpoint.rate.has_capacity(now, part))
    }

    /// A client's request for a service has arrived: it adds to the retry budget.
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
        self.earn_rollout_credit(service);
    }

    /// Takes a retry from the service's budget; whether there was one.
    pub fn acquire_retry(&mut self, service: &str) -> bool {
        self.budgets
            .get_mut(service)
            .is_some_and(RetryBudget::try_acquire)
    }

    /// An attempt at a task begins.
    pub fn attempt_started(&mut self, now: Timestamp, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight += 1;
            endpoint.rate.record(now);
        }
        self.spend_rollout_credit(id);
    }

    /// Whether a task's service is known not to be sharded: then another task can only answer
    /// because it has the address now.
    fn is_unsharded(&self, id: &str) -> bool {
        let service = self
            .endpoints
            .get(id)
            .and_then(|endpoint| self.routes.service(&endpoint.task.service));
        service.is_some_and(|service| !service.sharded)
    }

    /// An attempt has ended; `load` is what the task reported: running and queued.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        id: &str,
        result: AttemptResult,
        load: Option<f64>,
    ) {
        let replaced = result == AttemptResult::Misdirected && self.is_unsharded(id);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if replaced {
            endpoint.replaced_until = now + self.heartbeat_interval.times(REPLACED_HEARTBEATS);
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if let Some(load) = load {
            // Its own answer is no longer among what runs there.
            endpoint.reported_load = Some(((load - 1.0).max(0.0), now, endpoint.in_flight));
        }
        endpoint.attempts += 1;
        match result {
            AttemptResult::Answered(took) => {
                let mean = endpoint.mean_latency.get_or_insert(took.secs());
                *mean += (took.secs() - *mean) * LATENCY_WEIGHT;
                endpoint.latency_sum_s += took.secs();
                endpoint.failures = 0;
            }
            AttemptResult::Shed => endpoint.failed_attempts += 1,
            AttemptResult::Misdirected => {
                endpoint.failed_attempts += 1;
                endpoint.ejected_until = now + EJECTION_TIME;
            }
            AttemptResult::Failed => {
                endpoint.failed_attempts += 1;
                endpoint.failures = (endpoint.failures + 1).min(MAX_EJECTION_DOUBLINGS);
                endpoint.ejected_until =
                    now + EJECTION_TIME.times(f64::from(1u32 << (endpoint.failures - 1)));
            }
        }
    }

    /// An attempt was given up before anything of it was sent.
    pub fn attempt_unsent(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// What was observed of sharded services since the last report.
    pub fn take_report(&mut self, now: Timestamp) -> LoadReport {
        let interval_ms = ((now - self.last_report).micros() / 1000).max(0) as u32;
        self.last_report = now;
        let mut tasks = Vec::new();
        let (tables, all) = (&self.shards, &mut self.endpoints);
        let asked = |endpoint: &Endpoint| {
            endpoint.attempts > 0 && tables.contains_key(&endpoint.task.service)
        };
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
            rollouts: self.observe_rollouts(),
        }
    }
}
