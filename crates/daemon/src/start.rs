//! The file that PROXY_CONFIG names and the clock.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lynxmill_assigner_settings::DecodeError;
use lynxmill_assigner_state::{Addresses, Epoch, Start, decode};
use lynxmill_membership_transport::OpenSockets;
use lynxmill_settings::{SettingsError, compare, daemon, position};
use lynxmill_time::Timestamp;
use serde_json::Value;

use crate::hub::Operators;
use crate::record::{Recorder, in_force, wish};
use crate::{drive, runtime, store};

pub(crate) fn path() -> Result<String, DecodeError> {
    std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG names no file".to_owned())
}

/// What the platform's own form does not have. A file with any of it, or in the notation of which JSON is a part, is
/// checked against the schema whole.
const FRONTS: [&str; 5] = ["membership", "metrics", "record", "runtime", "store"];

/// The platform's own form: the schema is not even compiled for it.
fn plain(told: &Value) -> bool {
    !FRONTS
        .iter()
        .any(|key| told.get(key).is_some_and(|told| !told.is_null()))
}

/// What has changed and takes a restart.
fn waits(before: &Value, now: &Value) -> Vec<String> {
    if plain(before) && plain(now) {
        // Chance and the last list only matter at a start.
        let changed = |key: &&str| before.get(key) != now.get(key);
        return ["name", "listen", "limits", "settings"]
            .into_iter()
            .filter(changed)
            .map(str::to_owned)
            .collect();
    }
    let differences = compare(daemon(), before, now).into_iter();
    differences
        .filter(|of| !of.live)
        .map(|of| of.path)
        .collect()
}

/// The file that PROXY_CONFIG names, as it was read last.
pub(crate) struct File {
    path: String,
    told: Value,
}

impl File {
    pub(crate) fn open(path: String) -> Result<Self, DecodeError> {
        Ok(File {
            told: Self::read(&path)?,
            path,
        })
    }

    fn read(path: &str) -> Result<Value, DecodeError> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        match serde_json::from_str::<Value>(&text) {
            Ok(told) if plain(&told) => Ok(told),
            _ => {
                let line = |error: &SettingsError| {
                    format!(
                        "{path}:{}: {}",
                        position(&text, error.at.start),
                        error.line()
                    )
                };
                let told = daemon().check(&text).map(|checked| checked.value);
                told.map_err(|faults| faults.iter().map(line).collect::<Vec<_>>().join("; "))
            }
        }
    }

    pub(crate) fn start(&self) -> Result<Start, DecodeError> {
        decode(&self.told, |variable| std::env::var(variable).ok())
            .map_err(|e| format!("{}: {e}", self.path))
    }

    /// Where it asks to be driven at.
    pub(crate) fn drive(&self) -> Result<Option<SocketAddr>, DecodeError> {
        drive::address(&self.told).map_err(|e| format!("{}: {e}", self.path))
    }

    /// The runtime socket, listening, and its journal.
    pub(crate) fn runtime(&self) -> Result<Option<Operators>, DecodeError> {
        let named = |e| format!("{}: {e}", self.path);
        let Some(options) = runtime::wish(&self.told).map_err(named)? else {
            return Ok(None);
        };
        let listening = runtime::listen(&options).map_err(named)?;
        let journal = runtime::journal(&options).map_err(named)?;
        Ok(Some(Operators {
            wish: options,
            listening,
            journal,
            reload: None,
        }))
    }

    /// The member's sockets, bound, and its keys.
    pub(crate) fn membership(&self, name: &str) -> Result<Option<OpenSockets>, DecodeError> {
        let Some(options) = self
            .told
            .get("membership")
            .filter(|options| !options.is_null())
        else {
            return Ok(None);
        };
        let named = |e| format!("{}: `membership` {e}", self.path);
        let options = serde_json::from_value(options.clone()).map_err(|e| named(e.to_string()))?;
        OpenSockets::new(options, name).map(Some).map_err(named)
    }

    /// Metrics are told at the assigner's address.
    pub(crate) fn metrics(&self) -> bool {
        self.told
            .get("metrics")
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }

    /// The registry that takes the relay's place.
    pub(crate) fn store(&self) -> Result<Option<store::StoreOptions>, DecodeError> {
        store::wish(&self.told).map_err(|e| format!("{}: {e}", self.path))
    }

    /// The recording it asks for, begun, and the configuration in force.
    pub(crate) fn recorder(&self, epoch: Epoch) -> Result<Option<(Recorder, String)>, DecodeError> {
        let start = self.start()?;
        let Some(options) =
            wish(&self.told, start.memory).map_err(|e| format!("{}: {e}", self.path))?
        else {
            return Ok(None);
        };
        let configuration = in_force(&self.told, |variable| std::env::var(variable).ok());
        let begun = Recorder::start(options, start.name, epoch, configuration.clone());
        begun
            .map(|recorder| Some((recorder, configuration)))
            .map_err(|e| e.to_string())
    }

    /// Reads the file again. Its addresses beat the variables, which are as old as the program; one that
    /// can't be read or is wrong changes nothing. Told beside them: what has changed and takes a restart.
    pub(crate) fn reread(&mut self) -> Result<(Addresses, Vec<String>), DecodeError> {
        let told = Self::read(&self.path)?;
        let start = decode(&told, |_| None).map_err(|e| format!("{}: {e}", self.path))?;
        let waits = waits(&self.told, &told);
        for path in &waits {
            log::warn!(
                "`{path}` has changed in {}, which takes a restart",
                self.path
            );
        }
        let before = std::mem::replace(&mut self.told, told);
        let mut addresses = start.addresses;
        // A registry's address takes a restart, as all else of it.
        if self.told.get("store").or(before.get("store")).is_some() {
            addresses.relay = decode(&before, |_| None)
                .map_err(|e| format!("{}: {e}", self.path))?
                .addresses
                .relay;
        }
        Ok((addresses, waits))
    }
}

/// The module's time counts from the program's start; wall time only maps what other machines tell.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    epoch: Epoch,
}

impl Clock {
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            epoch: Epoch {
                unix_ms: unix.as_secs_f64() * 1e3,
            },
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_secs(self.start.elapsed().as_secs_f64())
    }

    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        let after = (at - Timestamp::default()).secs().clamp(0.0, 1e9);
        self.start + Duration::from_secs_f64(after)
    }
}
