//! Stands in for the relay, discovery and collectors, as the protocol page tells of them. What they hold and
//! how they misbehave is a `World` that its owner changes and looks at; the sockets only serve it.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc, missing_docs)]

mod collector;
pub mod registry;
pub mod rules;
mod serve;
pub mod worker;
mod world;

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use actix_server::ServerHandle;
use serde_json::{Value, json};

pub use collector::{Collector, words};
pub use world::{CallOutcome, State, World, WorldUpdate};

/// How long an expected change may take before it is taken for missing.
const PATIENCE: Duration = Duration::from_secs(20);

pub struct FakeServers {
    world: Arc<World>,
    served: ServerHandle,
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
}

impl FakeServers {
    /// Serves both addresses on a thread of its own until the program ends; port 0 is any free one.
    pub fn start(
        relay: SocketAddr,
        discovery: SocketAddr,
        lease: Duration,
    ) -> std::io::Result<Self> {
        Self::serve(Arc::new(World::new(lease)), relay, discovery)
    }

    fn serve(world: Arc<World>, relay: SocketAddr, discovery: SocketAddr) -> std::io::Result<Self> {
        let (relay, discovery) = (TcpListener::bind(relay)?, TcpListener::bind(discovery)?);
        let at = (relay.local_addr()?, discovery.local_addr()?);
        let (tell, told) = std::sync::mpsc::channel();
        let served = world.clone();
        std::thread::spawn(move || serve::run(&served, relay, discovery, &tell));
        let served = told.recv().map_err(std::io::Error::other)?;
        Ok(FakeServers {
            world,
            served,
            relay: at.0,
            discovery: at.1,
        })
    }

    /// The same relay and discovery at two other addresses.
    pub fn elsewhere(&self) -> std::io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::serve(self.world.clone(), any, any)
    }

    /// These addresses end: they take nothing new, and close what is open.
    pub fn close(&self) {
        drop(self.served.stop(false));
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.world.lock()
    }

    /// Changes what stands and tells whoever waits for it.
    pub fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        self.world.change(change)
    }

    /// Waits until what stands is as told; panics when that takes too long.
    pub fn wait(&self, what: &str, until: impl Fn(&State) -> bool) {
        let end = Instant::now() + PATIENCE;
        let mut state = self.world.lock();
        while !until(&state) {
            let left = end.saturating_duration_since(Instant::now());
            assert!(
                !left.is_zero(),
                "{what}: not so in time; calls {:#?}",
                state.calls
            );
            state = self.world.wait(state, left);
        }
    }
}

/// The settings of the stand-in's deployment: eight slices, four proxies, short times.
pub fn settings() -> Value {
    serde_json::from_str(include_str!("../settings.json")).unwrap_or_default()
}

/// An assigner's configuration; `listen` may have port 0.
pub fn config(listen: SocketAddr, standin: &FakeServers, known: Value) -> Value {
    json!({
        "name": "n0", "listen": listen, "discovery": standin.discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
        "registry": {"address": standin.relay}, "known": known, "settings": settings(),
    })
}
