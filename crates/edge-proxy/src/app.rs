//! What all parts of the edge share, in its one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

use lynxmill_configuration::{Configuration, NodeSettings, RoutingTable};
use lynxmill_load_balancing::{LoadBalancer, Locality};
use lynxmill_random::Pcg;
use lynxmill_time::{TimeDelta, Timestamp};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connections::{ClientConnections, PendingWork};
use crate::memory::BodyMemory;
use crate::pool::Pools;
use crate::ready::Health;
use crate::reports::LoadReports;
use crate::shutdown::GracePeriod;

/// The part of the memory that requests' bodies may take, and answers as much again.
const MEMORY_SHARE: f64 = 0.3;
/// The least memory that is reckoned with, in MB.
const MIN_MEMORY_MB: f64 = 64.0;

/// The state of one edge.
pub struct App {
    /// The settings file as it was last read.
    pub settings: RefCell<NodeSettings>,
    started: Instant,
    /// A number that no other start of this edge has.
    pub incarnation: u64,
    /// Which task a request goes to.
    pub load_balancer: RefCell<LoadBalancer>,
    /// Connections to tasks.
    pub pools: RefCell<Pools>,
    /// The items that are in force.
    pub configuration: RefCell<Configuration>,
    /// A member that has compared itself with a majority told all it has.
    pub is_synchronized: Cell<bool>,
    /// A whole configuration is in hand.
    pub is_configured: Cell<bool>,
    /// The time until SIGKILL, once SIGTERM has come.
    pub grace: Cell<Option<GracePeriod>>,
    /// Tables have changed.
    pub table_changed: Notify,
    /// Readiness has changed.
    pub readiness_changed: Notify,
    /// What the readiness page shows.
    pub health: Arc<Health>,
    /// Members whose streams have just begun: the next that each tells of tasks is all it has.
    pub welcomed_by: RefCell<BTreeSet<String>>,
    /// Tasks that each member of the core knows.
    pub tasks_by_member: RefCell<BTreeMap<String, BTreeSet<String>>>,
    /// Reports to the members of the core.
    pub reports: RefCell<LoadReports>,
    /// Connections of clients.
    pub connections: ClientConnections,
    /// Requests under way.
    pub active_requests: Cell<usize>,
    /// What requests' bodies hold.
    pub request_memory: Arc<BodyMemory>,
    /// What answers hold until their clients have read them.
    pub answer_memory: Arc<BodyMemory>,
    random: RefCell<Pcg>,
}

impl App {
    /// An edge that knows its settings and nothing else yet.
    pub fn new(settings: NodeSettings) -> Rc<Self> {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let incarnation =
            since.map_or(0, |d| d.as_nanos() as u64) ^ u64::from(std::process::id()) << 40;
        let place = Locality {
            name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            regions: settings.zones.clone(),
        };
        let mut load_balancer = LoadBalancer::new(Timestamp::default(), place, settings.bounds());
        load_balancer.set_heartbeat_interval(TimeDelta::from_secs(settings.beat_interval_s));
        let memory_mb = settings.resource_limits().memory_mb.max(MIN_MEMORY_MB);
        let body_bytes = (memory_mb * MEMORY_SHARE * 1e6) as usize;
        Rc::new(App {
            load_balancer: RefCell::new(load_balancer),
            started: Instant::now(),
            incarnation,
            pools: RefCell::new(Pools::default()),
            configuration: RefCell::new(Configuration::default()),
            is_synchronized: Cell::new(false),
            is_configured: Cell::new(false),
            grace: Cell::new(None),
            table_changed: Notify::new(),
            readiness_changed: Notify::new(),
            health: Arc::new(Health::default()),
            welcomed_by: RefCell::new(BTreeSet::new()),
            tasks_by_member: RefCell::new(BTreeMap::new()),
            reports: RefCell::new(LoadReports::default()),
            connections: ClientConnections::default(),
            active_requests: Cell::new(0),
            request_memory: BodyMemory::new(body_bytes),
            answer_memory: BodyMemory::new(body_bytes),
            random: RefCell::new(Pcg::new(incarnation)),
            settings: RefCell::new(settings),
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as i64)
    }

    /// What clients still wait for.
    pub fn pending_work(&self) -> PendingWork {
        PendingWork {
            connections: self.connections.open(),
            requests: self.active_requests.get(),
            answers: self.connections.unwritten_answers(),
        }
    }

    /// A moment as tokio's clock has it.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.started + std::time::Duration::from_micros(at.micros().max(0) as u64)
    }

    /// A random number from 0 to 1.
    pub fn random_fraction(&self) -> f64 {
        self.random.borrow_mut().unit()
    }

    /// Counts one more event of a kind.
    pub fn count(&self, what: &'static str) {
        *self
            .health
            .counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(what)
            .or_default() += 1;
    }

    /// One line with all that was counted.
    pub fn log_counters(&self) {
        let counters = self
            .health
            .counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let all: Vec<String> = counters
            .iter()
            .map(|(what, count)| format!("{what}={count}"))
            .collect();
        log::info!("counted {}", all.join(" "));
    }

    /// The configuration has changed; `after_join`: a member whose stream has just begun has told all of it.
    pub fn apply_configuration(&self, after_join: bool) {
        let routes = RoutingTable::new(&self.configuration.borrow());
        let mut load_balancer = self.load_balancer.borrow_mut();
        if after_join {
            load_balancer.set_routes_after_join(self.now(), routes);
        } else {
            load_balancer.set_routes(routes);
        }
        drop(load_balancer);
        self.table_changed.notify_waiters();
        self.update_readiness();
    }

    /// Whether clients may be sent here.
    pub fn is_ready(&self) -> bool {
        self.is_configured.get() && !self.is_leaving()
    }

    /// Whether SIGTERM has come.
    pub fn is_leaving(&self) -> bool {
        self.grace.get().is_some()
    }

    /// Whether an answer that takes `time` from now on would be cut by the end of the process.
    pub fn ends_within(&self, time: TimeDelta) -> bool {
        let finished = self.instant(self.now() + time);
        self.grace
            .get()
            .is_some_and(|grace| grace.is_too_late(finished))
    }

    /// Tells whoever asks whether it is ready.
    pub fn update_readiness(&self) {
        let ready = self.is_ready();
        if self.health.ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
            self.readiness_changed.notify_waiters();
        }
    }

    /// The longest connections to one task may be many: its own bound divided among the edges.
    pub fn connections_per_task(&self, max_conns: u32) -> usize {
        let edges = self.load_balancer.borrow().edge_count();
        ((f64::from(max_conns) * 0.8 / edges as f64) as usize).max(2)
    }

    /// Time that has passed since a moment.
    pub fn elapsed(&self, since: Timestamp) -> TimeDelta {
        self.now() - since
    }
}
