//! The file, decoded once.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lynxmill_forwarder::{ForwarderConfig, Pattern, PoolLimits, Route, Routes, Source};
use lynxmill_registry::Spelling;
use lynxmill_settings::{forwarder, position};
use lynxmill_time::{TimeDelta, Timestamp};
use serde::Deserialize;
use serde_json::Value;

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Store {
    pub protocol: Spelling,
    pub address: SocketAddr,
    pub prefix: String,
    pub lease_s: u64,
    pub look_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Collector {
    pub assigner: String,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Limits {
    pub connections: usize,
    pub connections_each: usize,
    pub to_servers: usize,
    pub to_each: usize,
    pub idle_s: f64,
    pub age_s: f64,
    pub connect_ms: u64,
    pub waiting: usize,
    pub wait_ms: u64,
    pub per_client_s: u32,
    pub clients: usize,
    pub window_bytes: usize,
    pub kept_bytes: usize,
    pub head_ms: u64,
    pub keep_alive_s: f64,
    pub stall_ms: u64,
    pub stall_bytes: u64,
}

/// A guard that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum SkippedGuard {
    WritesWithoutLease,
    RepeatsAll,
}

#[derive(Clone, Debug, Deserialize)]
struct RouteSetting {
    operation: String,
    method: Option<String>,
    path: String,
    key_head: Option<String>,
    slice_head: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Options {
    pub name: String,
    pub number: u16,
    pub zone: String,
    pub listen: SocketAddr,
    pub shared_port: bool,
    pub status: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub store: Store,
    pub collectors: Vec<Collector>,
    pub seed: String,
    pub client_head: Option<String>,
    pub turned_back: Vec<u16>,
    pub drain_s: f64,
    pub limits: Limits,
    pub fault: Option<SkippedGuard>,
    routes: Vec<RouteSetting>,
    settings: Value,
}

/// A file that is right.
pub(crate) struct File {
    pub wish: Options,
    pub terms: ForwarderConfig,
    pub routes: Routes,
}

fn route(told: &RouteSetting, terms: &ForwarderConfig) -> Result<Route, String> {
    let operation = terms
        .operations
        .iter()
        .position(|operation| operation.name == told.operation);
    let operation =
        operation.ok_or_else(|| format!("no operation {:?} among `classes`", told.operation))?;
    let pattern = Pattern::read(&told.path)?;
    let source = match (&told.key_head, &told.slice_head, pattern.has_key()) {
        (None, None, true) => Source::Path,
        (Some(head), None, false) => Source::Head(head.clone()),
        (None, Some(head), false) => Source::Slice(head.clone()),
        _ => {
            return Err(format!(
                "{:?}: one of {{key}}, `key_head` and `slice_head`",
                told.path
            ));
        }
    };
    Ok(Route {
        operation,
        method: told.method.clone(),
        pattern,
        source,
    })
}

impl File {
    /// # Errors
    /// All that is wrong with it, in one line.
    pub(crate) fn read(path: &str) -> Result<File, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        let checked = forwarder().check(&text).map_err(|faults| {
            let line = |error: &lynxmill_settings::SettingsError| {
                format!(
                    "{path}:{}: {}",
                    position(&text, error.at.start),
                    error.line()
                )
            };
            faults.iter().map(line).collect::<Vec<_>>().join("; ")
        })?;
        let named = |e: String| format!("{path}: {e}");
        let options: Options =
            serde_json::from_value(checked.value).map_err(|e| named(e.to_string()))?;
        let terms = ForwarderConfig::read(&options.settings)
            .map_err(|e| named(format!("`settings`: {e}")))?;
        if !terms.zones.contains(&options.zone) {
            return Err(named(format!(
                "`zone`: no zone {:?} among `failure_domains`",
                options.zone
            )));
        }
        if options.fault.is_some() && !options.listen.ip().is_loopback() {
            return Err(named("`fault` is for loopback alone".to_owned()));
        }
        let routes: Vec<Route> = options
            .routes
            .iter()
            .map(|told| route(told, &terms).map_err(|e| named(format!("`routes`: {e}"))))
            .collect::<Result<_, _>>()?;
        let routes = Routes {
            routes,
            slices: terms.slices,
            client: options.client_head.clone(),
        };
        Ok(File {
            wish: options,
            terms,
            routes,
        })
    }
}

impl Options {
    pub(crate) fn bounds(&self) -> PoolLimits {
        let of = &self.limits;
        PoolLimits {
            most: of.to_servers,
            each: of.to_each,
            idle: TimeDelta::from_secs(of.idle_s),
            age: TimeDelta::from_secs(of.age_s),
            waiting: of.waiting,
            patience: millis(of.wait_ms),
        }
    }

    pub(crate) fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or(1)
    }
}

pub(crate) fn millis(ms: u64) -> TimeDelta {
    TimeDelta::from_micros(ms as i64 * 1000)
}

/// Time counts from the program's start and goes on while it is stopped.
#[derive(Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Clock(Instant::now())
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.0.elapsed().as_micros() as i64)
    }

    pub(crate) fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        let after =
            Duration::from_micros((at - Timestamp::default()).micros().clamp(0, 1 << 50) as u64);
        tokio::time::Instant::from_std(self.0 + after)
    }
}
