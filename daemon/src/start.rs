//! What an assigner is told at its start: its variables and the file that PROXY_CONFIG names, decoded once;
//! and what the file tells later.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lynxmill::{Facts, Moment, Span};
use lynxmill_wire::{Fail, field, number, span, text};
use serde_json::Value;

use crate::discovery::{self, Members};

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub addresses: Addresses,
    pub seed: u64,
    /// The limits: file descriptors, and bytes of memory.
    pub sockets: usize,
    pub memory: usize,
    pub known: Option<Members>,
    pub facts: Facts,
    /// What load reports call their values, in the order that the module knows them by.
    pub report_fields: Vec<String>,
    pub zones: Vec<String>,
    /// Least span between two rounds.
    pub step: Span,
}

/// What a new configuration can move while the assigner serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
}

pub fn path() -> Result<String, Fail> {
    std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG names no file".to_owned())
}

/// The file that PROXY_CONFIG names, as it was read last.
pub struct File {
    path: String,
    told: Value,
}

impl File {
    pub fn open(path: String) -> Result<Self, Fail> {
        Ok(File { told: Self::read(&path)?, path })
    }

    fn read(path: &str) -> Result<Value, Fail> {
        let bytes = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
        serde_json::from_slice(&bytes).map_err(|e| format!("{path}: {e}"))
    }

    pub fn start(&self) -> Result<Start, Fail> {
        decode(&self.told, |variable| std::env::var(variable).ok()).map_err(|e| format!("{}: {e}", self.path))
    }

    /// Reads the file again. Its addresses beat the variables, which are as old as the program; one that
    /// can't be read or is wrong changes nothing.
    pub fn reread(&mut self) -> Result<Addresses, Fail> {
        let told = Self::read(&self.path)?;
        let start = decode(&told, |_| None).map_err(|e| format!("{}: {e}", self.path))?;
        for key in kept(&self.told, &told) {
            log::warn!("`{key}` has changed in {}, which takes a restart", self.path);
        }
        self.told = told;
        Ok(start.addresses)
    }
}

/// Keys whose new values are not taken over. Chance and the last list only matter at a start.
pub fn kept(before: &Value, now: &Value) -> Vec<&'static str> {
    let changed = |key: &&str| before.get(key) != now.get(key);
    ["name", "listen", "limits", "settings"].into_iter().filter(changed).collect()
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
        addresses: Addresses {
            relay: address(text(field(told, "registry")?, "address")?, "registry.address")?,
            discovery: address(&word("PROXY_DISCOVERY", "discovery")?, "discovery")?,
        },
        seed: u64::from_str_radix(seed, 16).map_err(|_| format!("`seed` is no hex number: {seed:?}"))?,
        sockets: number(limits, "sockets")? as usize,
        memory: number(limits, "memory_mb")? as usize * 1_000_000,
        known,
        facts: lynxmill_wire::facts(settings)?,
        zones: lynxmill_wire::zones(settings)?,
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
