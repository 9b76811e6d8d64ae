//! What all threads share, each part behind a lock of its own that is held for moments only. Where two are held the
//! order is plans, edges, core, yard.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use lynxmill::{Moment, Pcg, Span};
use lynxmill_configuration::{Configuration, Item, NodeSettings, Service};
use lynxmill_consensus::{Acceptor, InstanceRegistry, Leases, MembershipMonitor};
use lynxmill_protocol::{ConfigurationUpdate, Membership, PendingChanges, ToEdgeBody};
use lynxmill_storage::{Batch, Store};

use crate::custody::Custody;
use crate::edges::Edges;
use crate::peers::Peers;

/// The control state in memory; the disk follows.
pub struct ControlState {
    pub acceptor: Acceptor,
    pub configuration: Configuration,
    /// The last call whose items are merged.
    pub merged: u64,
    /// Services divided by key, read of the items once for each change.
    pub sharded: Arc<Vec<Service>>,
    /// It has compared itself with a majority since its start.
    pub synchronized: bool,
    /// A write failed: no ballot is answered until all has been written once more.
    pub storage_failed: bool,
}

impl ControlState {
    /// Reads the services anew.
    pub fn services(&mut self) {
        self.sharded = Arc::new(self.configuration.services().filter(|s| s.sharded).collect());
    }

    /// All of it, as it has to be on disk.
    pub fn whole(&self) -> Batch {
        Batch {
            items: self.configuration.items.values().cloned().collect(),
            registers: self.acceptor.registers.values().cloned().collect(),
            members: Some(self.acceptor.members.clone()),
            merged: Some(self.merged),
            is_voter: Some(!self.acceptor.catching_up),
            ..Batch::default()
        }
    }
}

/// What another member last told.
#[derive(Clone, Debug, Default)]
pub struct PeerStatus {
    pub control: String,
    pub custody: Vec<String>,
    pub merged: u64,
    pub tasks: u64,
    pub items: u64,
    pub at: Moment,
}

pub struct ControlPlane {
    pub local: NodeSettings,
    pub me: String,
    born: Instant,
    pub life: u64,
    pub core: Mutex<ControlState>,
    pub store: Store,
    pub yard: Mutex<InstanceRegistry>,
    pub edges: Mutex<Edges>,
    pub plans: Mutex<BTreeMap<String, Custody>>,
    pub leases: Mutex<Leases>,
    pub roll: Mutex<MembershipMonitor>,
    pub words: Mutex<BTreeMap<String, PeerStatus>>,
    pub peers: Peers,
    pub leaving: AtomicBool,
    pub ballots: AtomicU64,
    chance: Mutex<Pcg>,
    counters: Mutex<BTreeMap<&'static str, u64>>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub struct Parts {
    pub local: NodeSettings,
    pub life: u64,
    pub born: Instant,
    pub core: ControlState,
    pub store: Store,
    pub fresh: bool,
}

impl ControlPlane {
    pub fn new(made: Parts) -> Self {
        let Parts { local, life, born, core, store, fresh } = made;
        let now = Moment::default();
        ControlPlane {
            me: local.ip.clone(),
            yard: Mutex::new(InstanceRegistry::new(now, Span::from_secs(local.beat_interval_s))),
            edges: Mutex::new(Edges::default()),
            plans: Mutex::new(BTreeMap::new()),
            leases: Mutex::new(Leases::new(now, fresh)),
            roll: Mutex::new(MembershipMonitor::new(now, local.core_size())),
            words: Mutex::new(BTreeMap::new()),
            peers: Peers::default(),
            leaving: AtomicBool::new(false),
            ballots: AtomicU64::new(0),
            chance: Mutex::new(Pcg::new(life)),
            counters: Mutex::new(BTreeMap::new()),
            core: Mutex::new(core),
            store,
            born,
            life,
            local,
        }
    }

    pub fn now(&self) -> Moment {
        Moment::from_micros(self.born.elapsed().as_micros() as i64)
    }

    pub fn drawn(&self) -> f64 {
        lock(&self.chance).unit()
    }

    pub fn count(&self, what: &'static str) {
        *lock(&self.counters).entry(what).or_default() += 1;
    }

    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        let mut all = lock(&self.counters).clone();
        all.extend(lock(&self.edges).sent.iter().map(|(what, bytes)| (*what, *bytes)));
        all
    }

    /// One line with all that was counted.
    pub fn log_counters(&self) {
        let all: Vec<String> = self.counters().iter().map(|(what, n)| format!("{what}={n}")).collect();
        log::info!("counted {}", all.join(" "));
    }

    pub fn members(&self) -> Membership {
        lock(&self.core).acceptor.members.clone()
    }

    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Merges items that were agreed, up to the call `merged`, and tells the edges. They may reach the disk later:
    /// a majority holds them in the register.
    pub fn merge(&self, items: &[Item], merged: u64) {
        let changed = {
            let mut core = lock(&self.core);
            let changed: Vec<Item> = items.iter().filter(|i| core.configuration.merge(i)).cloned().collect();
            if changed.iter().any(|item| item.key.starts_with("s/")) {
                core.services();
            }
            let further = merged > core.merged;
            core.merged = core.merged.max(merged);
            if !changed.is_empty() || further {
                let (items, merged) = (changed.clone(), Some(core.merged));
                let _queued = self.store.put(Batch { items, merged, ..Batch::default() });
            }
            changed
        };
        if !changed.is_empty() {
            lock(&self.edges)
                .push(ToEdgeBody::ConfigurationUpdate(ConfigurationUpdate { items: changed, whole: false }));
        }
    }

    /// PendingChanges that were agreed; false if earlier ones are missing.
    pub fn learn(&self, calls: &PendingChanges) -> bool {
        let (behind, items) = {
            let core = lock(&self.core);
            let unmerged = lynxmill_consensus::unmerged(core.merged, calls);
            let items: Vec<Item> = unmerged.flat_map(|call| call.items.clone()).collect();
            (lynxmill_consensus::behind(core.merged, calls), items)
        };
        if behind {
            return false;
        }
        self.merge(&items, calls.last);
        true
    }

    /// It has compared itself with a majority: edges may go by what it has.
    pub fn settle(&self) {
        let items = {
            let mut core = lock(&self.core);
            if std::mem::replace(&mut core.synchronized, true) {
                return;
            }
            core.configuration.items.values().cloned().collect()
        };
        log::info!("synchronized");
        lock(&self.edges).push(ToEdgeBody::ConfigurationUpdate(ConfigurationUpdate { items, whole: true }));
    }
}
