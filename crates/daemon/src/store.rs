//! A key-value registry in the place of the relay, where the configuration names one. The depot keeps the store's
//! side of things; what it tells goes to the hub in order, as the relay's news do.

use std::net::SocketAddr;
use std::rc::Rc;

use lynxmill_assigner_state::Event;
use lynxmill_registry::layout::Layout;
use lynxmill_registry::{
    Backoff, RegistryStore, ShardOwnership, Spelling, StoreStep, WatchFollower, Writes,
};
use lynxmill_registry_transport::{Registry, Runner};
use lynxmill_time::TimeDelta;
use serde::Deserialize;
use serde_json::Value;

use crate::hub::Hub;
use crate::start::Clock;

/// The key `store` of the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StoreOptions {
    pub protocol: Spelling,
    pub address: SocketAddr,
    pub prefix: String,
    /// The assigner's lease at the registry; another takes its slices after it.
    pub lease_s: u64,
    /// Between two looks whether the watch keeps up.
    pub look_ms: u64,
    /// Transactions that may wait.
    pub waiting: usize,
}

/// # Errors
/// One line that names the key; bounds and defaults are the schema's.
pub(crate) fn wish(told: &Value) -> Result<Option<StoreOptions>, String> {
    let options = told.get("store").filter(|options| !options.is_null());
    options
        .map(|options| serde_json::from_value(options.clone()).map_err(|e| format!("`store`: {e}")))
        .transpose()
}

/// What the depot must know of the deployment.
pub(crate) struct Deployment {
    pub name: String,
    pub operations: Vec<String>,
    pub slices: usize,
    pub seed: u64,
}

pub(crate) struct Store(Rc<Runner<RegistryStore>>);

impl Store {
    pub(crate) fn start(
        options: &StoreOptions,
        of: Deployment,
        clock: Clock,
        hub: &Rc<Hub>,
    ) -> Self {
        let layout = Layout::new(&options.prefix);
        let registry = Registry::new(options.address, options.protocol.protocol(layout.prefix()));
        let look = TimeDelta::from_secs(options.look_ms as f64 / 1e3);
        let backoff =
            |turn| Backoff::new(look.times(0.1), look.times(4.0), of.seed.wrapping_add(turn));
        let follow = WatchFollower::new(
            registry.protocol().style(),
            layout.prefix(),
            look,
            backoff(1),
        );
        let writes = Writes::new(options.waiting, look.times(0.1), backoff(2));
        // Another's slices are left to it for as long as it may still speak for them.
        let patience = TimeDelta::from_secs(options.lease_s as f64 * 0.5);
        let custody = ShardOwnership::new(&of.name, options.lease_s, patience, backoff(3));
        let depot = RegistryStore::new(
            &of.name,
            layout,
            of.operations,
            of.slices,
            follow,
            writes,
            custody,
        );
        let (tell, mut told) = tokio::sync::mpsc::unbounded_channel();
        let hears = hub.clone();
        actix_rt::spawn(async move {
            while let Some(event) = told.recv().await {
                hears.tell(event);
            }
        });
        Store(Runner::start(
            depot,
            registry,
            move || clock.now(),
            move |event: Event| drop(tell.send(event)),
        ))
    }

    fn step(&self, of: impl FnOnce(&mut RegistryStore, lynxmill_time::Timestamp, &mut StoreStep)) {
        self.0.step(|depot, now, asks, out| {
            let mut step = StoreStep::default();
            of(depot, now, &mut step);
            asks.append(&mut step.asks);
            out.append(&mut step.events);
        });
    }

    pub(crate) fn watch(&self) {
        self.step(|depot, now, step| depot.watch(now, step));
    }

    pub(crate) fn call(&self, body: &str) {
        self.step(|depot, now, step| depot.call(now, body, step));
    }
}
