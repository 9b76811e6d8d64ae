//! What an edge knows: itself, the configuration, tasks and how they do, the other edges.

use std::collections::{BTreeMap, HashMap};

use lynxmill_configuration::{Bounds, RoutingTable, Service};
use lynxmill_protocol::{
    EdgeInfo, EdgeList, LoadReport, ShardTableUpdate, SliceObservation, Task, TaskObservation,
    TaskState,
};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::budget::Budget;
use crate::cold::{Window, part};
use crate::slices::{Found, Slices};

/// Seconds that a request is taken to last where nothing is known yet.
const MEAN: f64 = 0.06;
/// Weight of the newest time in a running mean.
const FRESH: f64 = 0.1;
/// A load told by a task counts for so long.
const TOLD: TimeDelta = TimeDelta::from_micros(400_000);
/// Members tell edges that a task has gone cold again only where that keeps it cold longer by more than
/// this part of a beat interval: an edge takes it for cold that much longer than it was told.
const COLD_MARGIN_BEATS: f64 = 0.2;
/// Beat intervals after which a member that has just started has found silent what is. Until then what it
/// knew of a task before its start counts for less than the word of a member that has been listening.
const RELEARNED_BEATS: f64 = 3.0;
/// Beat intervals for which a life is left alone after another task answered at its address: by then it is
/// found silent.
const REPLACED_BEATS: f64 = 3.0;
/// How long a task rests after a failure, doubled with each further one up to the most.
const REST: TimeDelta = TimeDelta::from_micros(300_000);
const MOST_DOUBLED: u32 = 4;

/// Where the edge stands.
#[derive(Clone, Debug, Default)]
pub struct Place {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub regions: HashMap<String, String>,
}

impl Place {
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }
}

/// How a try at a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
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
pub struct Seen {
    pub task: Task,
    /// Members of the core that have told of it: whether they find it silent, since which of its calls.
    told_by: BTreeMap<String, (bool, u64)>,
    /// Members whose word is from before their last start, and until when it may be out of date.
    recalled_by: BTreeMap<String, Timestamp>,
    /// Another task answered at its address: it is left alone until then.
    replaced_until: Timestamp,
    cold_until: Timestamp,
    window: Window,
    in_flight: u32,
    /// Running and waiting as it last told, when, and what this edge had in flight there then.
    told: Option<(f64, Timestamp, u32)>,
    mean: Option<f64>,
    failures: u32,
    out_until: Timestamp,
    // Since the last report.
    tries: u32,
    lost: u32,
    seconds: f64,
}

impl Seen {
    pub fn usable(&self, now: Timestamp) -> bool {
        self.task.state == TaskState::Ready as i32
            && !self.silent(now)
            && now >= self.replaced_until
    }

    /// One member that is cut off may find all silent, or hear what no other hears.
    fn silent(&self, now: Timestamp) -> bool {
        let recalled = |member: &str| {
            self.recalled_by
                .get(member)
                .is_some_and(|until| now < *until)
        };
        let mut heard = self
            .told_by
            .iter()
            .filter(|(member, _)| !recalled(member))
            .peekable();
        if heard.peek().is_some() {
            return heard.all(|(_, (silent, _))| *silent);
        }
        !self.told_by.is_empty() && self.told_by.values().all(|(silent, _)| *silent)
    }

    pub fn mean(&self) -> f64 {
        self.mean.unwrap_or(MEAN)
    }

    pub fn out(&self, now: Timestamp) -> bool {
        now < self.out_until
    }

    pub fn cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Requests that it has, as far as this edge can tell.
    pub fn load(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.in_flight);
        match self.told {
            Some((told, at, then)) if now - at < TOLD => (told + own - f64::from(then)).max(own),
            _ => own,
        }
    }
}

pub struct LoadBalancer {
    pub place: Place,
    bounds: Bounds,
    beat_interval: TimeDelta,
    chart: RoutingTable,
    tasks: BTreeMap<String, Seen>,
    services: BTreeMap<String, Vec<String>>,
    slices: BTreeMap<String, Slices>,
    edges: Vec<EdgeInfo>,
    budgets: BTreeMap<String, Budget>,
    demand: BTreeMap<(String, u32), u32>,
    reported: Timestamp,
}

impl LoadBalancer {
    pub fn new(now: Timestamp, place: Place, bounds: Bounds) -> Self {
        LoadBalancer {
            place,
            bounds,
            beat_interval: TimeDelta::default(),
            chart: RoutingTable::default(),
            tasks: BTreeMap::new(),
            services: BTreeMap::new(),
            slices: BTreeMap::new(),
            edges: Vec::new(),
            budgets: BTreeMap::new(),
            demand: BTreeMap::new(),
            reported: now,
        }
    }

    pub fn chart(&self) -> &RoutingTable {
        &self.chart
    }

    pub fn configured(&mut self, chart: RoutingTable) {
        self.chart = chart;
    }

    pub fn bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// How often tasks beat, as the settings tell.
    pub fn beat_interval(&mut self, interval: TimeDelta) {
        self.beat_interval = interval;
    }

    pub fn seen(&self, id: &str) -> Option<&Seen> {
        self.tasks.get(id)
    }

    pub(crate) fn of(&self, service: &str) -> &[String] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Until when a task counts as cold by a member's word.
    fn cold_until(&self, now: Timestamp, task: &Task) -> Timestamp {
        if task.warm_up_left_ms == 0 {
            return now;
        }
        now + TimeDelta::from_micros(i64::from(task.warm_up_left_ms) * 1000)
            + self.beat_interval.times(COLD_MARGIN_BEATS)
    }

    /// A member's word of a task.
    pub fn task(&mut self, now: Timestamp, member: &str, task: &Task) {
        let cold_until = self.cold_until(now, task);
        let Some(seen) = self.tasks.get_mut(&task.id) else {
            if task.state != TaskState::Gone as i32 {
                let told_by =
                    BTreeMap::from([(member.to_owned(), (task.timed_out, task.call_seq))]);
                let seen = Seen {
                    task: task.clone(),
                    told_by,
                    cold_until,
                    ..Seen::default()
                };
                self.tasks.insert(task.id.clone(), seen);
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
            seen.cold_until = seen.cold_until.max(cold_until);
        }
        seen.recalled_by.remove(member);
        // A member that found it silent has to have heard of a later call since.
        let word = seen
            .told_by
            .entry(member.to_owned())
            .or_insert((task.timed_out, task.call_seq));
        if task.timed_out || task.call_seq > word.1 {
            *word = (task.timed_out, task.call_seq.max(word.1));
        }
        seen.task.merge(task);
    }

    /// A task as a member that has just started knew it before: it has not heard it since.
    pub fn recalled(&mut self, now: Timestamp, member: &str, task: &Task) {
        self.task(now, member, task);
        let until = now + self.beat_interval.times(RELEARNED_BEATS);
        if let Some(seen) = self.tasks.get_mut(&task.id) {
            seen.recalled_by.insert(member.to_owned(), until);
        }
    }

    /// A member's stream has ended: what it found silent may have been heard since.
    pub fn parted(&mut self, member: &str) {
        for seen in self.tasks.values_mut() {
            if seen.told_by.len() > 1 {
                seen.told_by.remove(member);
            }
        }
    }

    /// Tasks that nobody knows any more.
    pub fn keep(&mut self, known: impl Fn(&str) -> bool) {
        let tasks = &mut self.tasks;
        tasks.retain(|id, seen| known(id) || seen.in_flight > 0);
        for ids in self.services.values_mut() {
            ids.retain(|id| tasks.contains_key(id));
        }
    }

    pub fn edges(&mut self, fleet: EdgeList) {
        self.edges = fleet.edges;
    }

    pub fn edge_count(&self) -> usize {
        self.edges.len().max(1)
    }

    /// A sharded service's table; whether its mark is to be answered.
    pub fn table(&mut self, table: &ShardTableUpdate) -> bool {
        self.slices
            .entry(table.service.clone())
            .or_default()
            .apply(table)
    }

    pub(crate) fn slice(&self, service: &str, key: u32) -> (u32, Found) {
        self.slices
            .get(service)
            .map_or((0, Found::Shut), |slices| slices.find(key))
    }

    pub(crate) fn demand(&mut self, service: &str, from: u32) {
        *self.demand.entry((service.to_owned(), from)).or_default() += 1;
    }

    /// Guards cold tasks: whether this edge may send one more there.
    pub(crate) fn cold_room(&mut self, now: Timestamp, id: &str, service: &Service) -> bool {
        let Some(seen) = self.tasks.get_mut(id) else {
            return false;
        };
        if !seen.cold(now) || service.cold_per_s <= 0.0 {
            return true;
        }
        let part = part(
            id,
            &seen.task.zone,
            &self.place.name,
            &self.edges,
            service.cold_per_s,
        );
        seen.window.room(now, part)
    }

    /// A request came for a service.
    pub fn request(&mut self, service: &str) {
        let (ratio, slack, edges) = (
            self.bounds.retry_ratio,
            self.bounds.retry_slack,
            self.edge_count(),
        );
        let budget = self
            .budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(slack, edges));
        budget.request(ratio, slack, edges);
    }

    /// Whether a request may go to a further task of a service.
    pub fn further(&mut self, service: &str) -> bool {
        self.budgets.get_mut(service).is_some_and(Budget::take)
    }

    /// A request goes to a task.
    pub fn sent(&mut self, now: Timestamp, id: &str) {
        if let Some(seen) = self.tasks.get_mut(id) {
            seen.in_flight += 1;
            seen.window.send(now);
        }
    }

    /// Whether a task's service is known not to be divided by keys: such a task is misdirected to only where
    /// another one stands at its address.
    fn is_unsharded(&self, id: &str) -> bool {
        let service = self
            .tasks
            .get(id)
            .and_then(|seen| self.chart.service(&seen.task.service));
        service.is_some_and(|service| !service.sharded)
    }

    /// It has ended; `load` is what the task told: running and waiting.
    pub fn ended(&mut self, now: Timestamp, id: &str, how: Ended, load: Option<f64>) {
        let replaced = how == Ended::Misdirected && self.is_unsharded(id);
        let Some(seen) = self.tasks.get_mut(id) else {
            return;
        };
        if replaced {
            seen.replaced_until = now + self.beat_interval.times(REPLACED_BEATS);
        }
        seen.in_flight = seen.in_flight.saturating_sub(1);
        if let Some(load) = load {
            // Its own answer is no longer among what runs there.
            seen.told = Some(((load - 1.0).max(0.0), now, seen.in_flight));
        }
        seen.tries += 1;
        match how {
            Ended::Answered(took) => {
                let mean = seen.mean.get_or_insert(took.secs());
                *mean += (took.secs() - *mean) * FRESH;
                seen.seconds += took.secs();
                seen.failures = 0;
            }
            Ended::Shed => seen.lost += 1,
            Ended::Misdirected => {
                seen.lost += 1;
                seen.out_until = now + REST;
            }
            Ended::Failed => {
                seen.lost += 1;
                seen.failures = (seen.failures + 1).min(MOST_DOUBLED);
                seen.out_until = now + REST.times(f64::from(1u32 << (seen.failures - 1)));
            }
        }
    }

    /// A try that was given up before anything of it was sent.
    pub fn unsent(&mut self, id: &str) {
        if let Some(seen) = self.tasks.get_mut(id) {
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }

    /// What was seen of sharded services since the last report: of others nobody asks.
    pub fn report(&mut self, now: Timestamp) -> LoadReport {
        let interval_ms = ((now - self.reported).micros() / 1000).max(0) as u32;
        self.reported = now;
        let mut tasks = Vec::new();
        let (tables, all) = (&self.slices, &mut self.tasks);
        let asked = |seen: &Seen| seen.tries > 0 && tables.contains_key(&seen.task.service);
        for (id, seen) in all.iter_mut().filter(|(_, seen)| asked(seen)) {
            let answered = f64::from(seen.tries - seen.lost.min(seen.tries)).max(1.0);
            let in_flight = seen.load(now).max(0.0) as u32;
            let mean_latency_ms = seen.seconds / answered * 1000.0;
            tasks.push(TaskObservation {
                id: id.clone(),
                attempts: seen.tries,
                failures: seen.lost,
                mean_latency_ms,
                in_flight,
            });
            (seen.tries, seen.lost, seen.seconds) = (0, 0, 0.0);
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
