//! What an assigner is told at its start, decoded once from its variables and its file.

use std::net::SocketAddr;

use lynxmill_assigner::Facts;
use lynxmill_assigner_settings::{DecodeError, field, number, span, text};
use lynxmill_time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::told::{Members, members};

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
    pub step: TimeDelta,
}

/// What a new configuration can move while the assigner serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
}

fn address(of: &str, what: &str) -> Result<SocketAddr, DecodeError> {
    of.parse()
        .map_err(|_| format!("`{what}` is no address: {of:?}"))
}

/// The relay; where a registry takes its place, that one's.
fn relay(told: &Value) -> Result<SocketAddr, DecodeError> {
    match told.get("store").filter(|store| !store.is_null()) {
        Some(store) => address(text(store, "address")?, "store.address"),
        None => address(
            text(field(told, "registry")?, "address")?,
            "registry.address",
        ),
    }
}

/// The variables prevail where both tell.
pub fn decode(
    told: &Value,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Start, DecodeError> {
    let word = |name: &str, key: &str| match variable(name) {
        Some(word) => Ok(word),
        None => text(told, key).map(str::to_owned),
    };
    let (settings, limits) = (field(told, "settings")?, field(told, "limits")?);
    let seed = text(told, "seed")?;
    let known = match told.get("known").filter(|known| !known.is_null()) {
        Some(known) => Some(members(known.clone()).map_err(|e| format!("`known`: {e}"))?),
        None => None,
    };
    Ok(Start {
        name: word("PROXY_NAME", "name")?,
        listen: address(&word("PROXY_LISTEN", "listen")?, "listen")?,
        addresses: Addresses {
            relay: relay(told)?,
            discovery: address(&word("PROXY_DISCOVERY", "discovery")?, "discovery")?,
        },
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| format!("`seed` is no hex number: {seed:?}"))?,
        sockets: number(limits, "sockets")? as usize,
        memory: number(limits, "memory_mb")? as usize * 1_000_000,
        known,
        facts: lynxmill_assigner_settings::facts(settings)?,
        zones: lynxmill_assigner_settings::zones(settings)?,
        report_fields: lynxmill_assigner_settings::report_fields(settings)?,
        step: span(settings, "step")?.max(TimeDelta::default()),
    })
}

/// Maps wall time, which other machines tell, to the module's time by one offset.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Epoch {
    /// Unix time in milliseconds at which the module's time began.
    pub unix_ms: f64,
}

impl Epoch {
    /// A Unix time in milliseconds; 0 means long ago.
    pub fn since(&self, unix_ms: f64) -> Option<Timestamp> {
        (unix_ms > 0.0).then(|| Timestamp::from_secs((unix_ms - self.unix_ms) / 1e3))
    }
}
