//! What an assigner is told at its start: its variables and the file that PROXY_CONFIG names, decoded once.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lynxmill::{Facts, Moment, Span};
use lynxmill_wire::{Fail, field, number, span, text};
use serde_json::Value;

use crate::discovery::{self, Members};

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub seed: u64,
    /// The limits: file descriptors, and bytes of memory.
    pub sockets: usize,
    pub memory: usize,
    pub known: Option<Members>,
    pub facts: Facts,
    /// What load reports call their values, in the order that the module knows them by.
    pub report_fields: Vec<String>,
    /// Least span between two rounds.
    pub step: Span,
}

pub fn read() -> Result<Start, Fail> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG names no file".to_owned())?;
    let bytes = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let told: Value = serde_json::from_slice(&bytes).map_err(|e| format!("{path}: {e}"))?;
    decode(&told, |variable| std::env::var(variable).ok()).map_err(|e| format!("{path}: {e}"))
}

fn address(of: &str, what: &str) -> Result<SocketAddr, Fail> {
    of.parse().map_err(|_| format!("`{what}` is no address: {of:?}"))
}

/// The variables prevail where both tell.
pub fn decode(told: &Value, variable: impl Fn(&str) -> Option<String>) -> Result<Start, Fail> {
    let word = |name: &str, key: &str| match variable(name) {
        Some(word) => Ok(word),
        None => text(told, key).map(str::to_owned),
    };
    let (settings, limits) = (field(told, "settings")?, field(told, "limits")?);
    let seed = text(told, "seed")?;
    let known = match told.get("known").filter(|known| !known.is_null()) {
        Some(known) => Some(discovery::members(known.clone()).map_err(|e| format!("`known`: {e}"))?),
        None => None,
    };
    Ok(Start {
        name: word("PROXY_NAME", "name")?,
        listen: address(&word("PROXY_LISTEN", "listen")?, "listen")?,
        discovery: address(&word("PROXY_DISCOVERY", "discovery")?, "discovery")?,
        relay: address(text(field(told, "registry")?, "address")?, "registry.address")?,
        seed: u64::from_str_radix(seed, 16).map_err(|_| format!("`seed` is no hex number: {seed:?}"))?,
        sockets: number(limits, "sockets")? as usize,
        memory: number(limits, "memory_mb")? as usize * 1_000_000,
        known,
        facts: lynxmill_wire::facts(settings)?,
        report_fields: lynxmill_wire::report_fields(settings)?,
        step: span(settings, "step")?.max(Span::default()),
    })
}

/// The module's time counts from the program's start; wall time only maps what other machines tell.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1e3 }
    }

    pub fn now(&self) -> Moment {
        Moment::from_secs(self.start.elapsed().as_secs_f64())
    }

    pub fn instant(&self, at: Moment) -> Instant {
        let after = (at - Moment::default()).secs().clamp(0.0, 1e9);
        self.start + Duration::from_secs_f64(after)
    }

    /// A Unix time in milliseconds; 0 means long ago.
    pub fn since(&self, unix_ms: f64) -> Option<Moment> {
        (unix_ms > 0.0).then(|| Moment::from_secs((unix_ms - self.unix_ms) / 1e3))
    }
}
