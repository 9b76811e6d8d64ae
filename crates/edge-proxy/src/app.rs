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

use crate::pool::Pools;
use crate::ready::Shown;
use crate::reports::Reports;

/// The state of one edge.
pub struct App {
    /// The settings file as it was last read.
    pub local: RefCell<NodeSettings>,
    born: Instant,
    /// A number that no other start of this edge has.
    pub life: u64,
    /// Which task a request goes to.
    pub pilot: RefCell<LoadBalancer>,
    /// Connections to tasks.
    pub pools: RefCell<Pools>,
    /// The items that are in force.
    pub configuration: RefCell<Configuration>,
    /// A member that has compared itself with a majority told all it has.
    pub compared: Cell<bool>,
    /// A whole configuration is in hand.
    pub whole: Cell<bool>,
    /// SIGTERM has come.
    pub leaving: Cell<bool>,
    /// Tables have changed.
    pub changed: Notify,
    /// Readiness has changed.
    pub announce: Notify,
    /// What the readiness page shows.
    pub shown: Arc<Shown>,
    /// Members whose streams have just begun: the next that each tells of tasks is all it has.
    pub greeted: RefCell<BTreeSet<String>>,
    /// Tasks that each member of the core knows.
    pub known: RefCell<BTreeMap<String, BTreeSet<String>>>,
    /// Reports to the members of the core.
    pub reports: RefCell<Reports>,
    /// Requests under way.
    pub busy: Cell<usize>,
    /// Bytes of requests' bodies that are held.
    pub held: Cell<usize>,
    chance: RefCell<Pcg>,
}

impl App {
    /// An edge that knows its settings and nothing else yet.
    pub fn new(local: NodeSettings) -> Rc<Self> {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let life = since.map_or(0, |d| d.as_nanos() as u64) ^ u64::from(std::process::id()) << 40;
        let place = Locality {
            name: local.node_name.clone(),
            zone: local.zone.clone(),
            region: local.region.clone(),
            regions: local.zones.clone(),
        };
        let mut pilot = LoadBalancer::new(Timestamp::default(), place, local.bounds());
        pilot.set_heartbeat_interval(TimeDelta::from_secs(local.beat_interval_s));
        Rc::new(App {
            pilot: RefCell::new(pilot),
            born: Instant::now(),
            life,
            pools: RefCell::new(Pools::default()),
            configuration: RefCell::new(Configuration::default()),
            compared: Cell::new(false),
            whole: Cell::new(false),
            leaving: Cell::new(false),
            changed: Notify::new(),
            announce: Notify::new(),
            shown: Arc::new(Shown::default()),
            greeted: RefCell::new(BTreeSet::new()),
            known: RefCell::new(BTreeMap::new()),
            reports: RefCell::new(Reports::default()),
            busy: Cell::new(0),
            held: Cell::new(0),
            chance: RefCell::new(Pcg::new(life)),
            local: RefCell::new(local),
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.born.elapsed().as_micros() as i64)
    }

    /// A moment as tokio's clock has it.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.born + std::time::Duration::from_micros(at.micros().max(0) as u64)
    }

    /// A random number from 0 to 1.
    pub fn drawn(&self) -> f64 {
        self.chance.borrow_mut().unit()
    }

    /// Counts one more event of a kind.
    pub fn count(&self, what: &'static str) {
        *self
            .shown
            .counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(what)
            .or_default() += 1;
    }

    /// One line with all that was counted.
    pub fn log_counters(&self) {
        let counters = self
            .shown
            .counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let all: Vec<String> = counters
            .iter()
            .map(|(what, count)| format!("{what}={count}"))
            .collect();
        log::info!("counted {}", all.join(" "));
    }

    /// The configuration has changed.
    pub fn configured(&self) {
        let configuration = self.configuration.borrow();
        self.pilot
            .borrow_mut()
            .set_routes(RoutingTable::new(&configuration));
        drop(configuration);
        self.changed.notify_waiters();
        self.look();
    }

    /// Whether clients may be sent here.
    pub fn ready(&self) -> bool {
        self.whole.get() && !self.leaving.get()
    }

    /// Tells whoever asks whether it is ready.
    pub fn look(&self) {
        let ready = self.ready();
        if self.shown.ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
            self.announce.notify_waiters();
        }
    }

    /// The longest connections to one task may be many: its own bound divided among the edges.
    pub fn conns(&self, max_conns: u32) -> usize {
        let edges = self.pilot.borrow().edge_count();
        ((f64::from(max_conns) * 0.8 / edges as f64) as usize).max(2)
    }

    /// Time that has passed since a moment.
    pub fn span(&self, since: Timestamp) -> TimeDelta {
        self.now() - since
    }
}
