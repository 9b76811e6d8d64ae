//! Items by name, each with its own version; the highest wins, set or dropped.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value};

use crate::resources::{Limits, Route, Service};

/// A `TargetS` may be less than this above its route's `TimeoutS`, in seconds.
const AIM_OVER: f64 = 60.0;

/// Why a call can't be taken.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
    #[error("the configuration can't be read in full: {0}")]
    Unreadable(String),
    #[error("{0}: no Version of hexadecimal digits")]
    Version(String),
    #[error("{0}: an item has no Name")]
    NoName(String),
    #[error("route {0} names service {1}, which is not known")]
    UnknownService(String, String),
    #[error("routes {0} and {1} have the same host and prefix")]
    SamePlace(String, String),
    #[error("route {0}: TimeoutS is not above 0")]
    NoTimeout(String),
    #[error("route {0}: TargetS is a minute or more above TimeoutS")]
    AimOver(String),
    #[error("route {0}: MaxAttempts is 0")]
    NoAttempts(String),
    #[error("route {0}: Host is empty")]
    NoHost(String),
    #[error("route {0}: PathPrefix does not begin and end with a slash")]
    Prefix(String),
    #[error("route {0}: its Split has no weight above 0, or one below")]
    NoWeight(String),
}

/// An item of the control state as it is kept and sent: `r/NAME`, `s/NAME`, `l/` (limits), `e/ZONE`
/// (evacuations). `body` is the operator's JSON without `Version`, as it was sent.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Item {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(bool, tag = "3")]
    pub dropped: bool,
    #[prost(string, tag = "4")]
    pub body: String,
}

pub fn evacuation_key(zone: &str) -> String {
    format!("e/{zone}")
}

/// The item that empties a zone or takes it back, after one of this version.
pub fn evacuation(zone: &str, on: bool, after: u64) -> Item {
    Item { key: evacuation_key(zone), version: after + 1, dropped: !on, body: String::new() }
}

/// A call of the operator, read whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationChange {
    pub items: Vec<Item>,
}

const LISTS: [(&str, &str); 2] = [("Routes", "r/"), ("Services", "s/")];

fn version(of: &Map<String, Value>, what: &str) -> Result<u64, ValidationError> {
    let digits = of.get("Version").and_then(Value::as_str);
    let read = digits.filter(|d| !d.is_empty()).and_then(|d| u64::from_str_radix(d, 16).ok());
    read.ok_or_else(|| ValidationError::Version(what.to_owned()))
}

fn object<'a>(of: &'a Value, what: &str) -> Result<&'a Map<String, Value>, ValidationError> {
    of.as_object().ok_or_else(|| ValidationError::Unreadable(format!("{what} is not an object")))
}

fn name(of: &Map<String, Value>, what: &str) -> Result<String, ValidationError> {
    let name = of.get("Name").and_then(Value::as_str).filter(|name| !name.is_empty());
    name.map(str::to_owned).ok_or_else(|| ValidationError::NoName(what.to_owned()))
}

fn typed<T: serde::de::DeserializeOwned>(key: &str, body: &Value) -> Result<T, ValidationError> {
    serde_json::from_value(body.clone()).map_err(|e| ValidationError::Unreadable(format!("{key}: {e}")))
}

fn set(key: String, value: &Value) -> Result<Item, ValidationError> {
    let mut body = object(value, &key)?.clone();
    let version = version(&body, &key)?;
    body.remove("Version");
    let body = Value::Object(body);
    match key.split_at(2).0 {
        "r/" => alone(&typed::<Route>(&key, &body)?)?,
        "s/" => typed::<Service>(&key, &body).map(drop)?,
        _ => typed::<Limits>(&key, &body).map(drop)?,
    }
    Ok(Item { key, version, dropped: false, body: body.to_string() })
}

/// What can be said of a route by itself.
fn alone(route: &Route) -> Result<(), ValidationError> {
    let name = || route.name.clone();
    let split = &route.split;
    let weights: f64 = split.iter().map(|s| s.weight).sum();
    match () {
        () if route.host.is_empty() => Err(ValidationError::NoHost(name())),
        () if !(route.timeout_s > 0.0 && route.timeout_s.is_finite()) => {
            Err(ValidationError::NoTimeout(name()))
        }
        () if route.target_s >= route.timeout_s + AIM_OVER => Err(ValidationError::AimOver(name())),
        () if route.max_attempts == 0 => Err(ValidationError::NoAttempts(name())),
        () if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') => {
            Err(ValidationError::Prefix(name()))
        }
        () if !split.is_empty() && (weights <= 0.0 || split.iter().any(|s| s.weight < 0.0)) => {
            Err(ValidationError::NoWeight(name()))
        }
        () => Ok(()),
    }
}

impl ConfigurationChange {
    pub fn read(body: &[u8]) -> Result<Self, ValidationError> {
        let unreadable = |e: serde_json::Error| ValidationError::Unreadable(e.to_string());
        let whole: Value = serde_json::from_slice(body).map_err(unreadable)?;
        let whole = object(&whole, "the call")?;
        let mut patch = ConfigurationChange::default();
        let none = Value::Object(Map::new());
        let upsert = object(whole.get("Upsert").unwrap_or(&none), "Upsert")?;
        let remove = object(whole.get("Remove").unwrap_or(&none), "Remove")?;
        for (list, prefix) in LISTS {
            for value in rows(upsert, list)? {
                let key = format!("{prefix}{}", name(object(value, list)?, list)?);
                patch.items.push(set(key, value)?);
            }
            for value in rows(remove, list)? {
                let row = object(value, list)?;
                let key = format!("{prefix}{}", name(row, list)?);
                let version = version(row, &key)?;
                patch.items.push(Item { key, version, dropped: true, body: String::new() });
            }
        }
        if let Some(limits) = upsert.get("Limits").filter(|v| !v.is_null()) {
            patch.items.push(set("l/".to_owned(), limits)?);
        }
        Ok(patch)
    }
}

fn rows<'a>(of: &'a Map<String, Value>, list: &str) -> Result<&'a [Value], ValidationError> {
    match of.get(list) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(rows)) => Ok(rows),
        Some(_) => Err(ValidationError::Unreadable(format!("{list} is not a list"))),
    }
}

/// All items that are known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub items: BTreeMap<String, Item>,
}

impl Configuration {
    /// Takes an item that is newer than what is held; whether it was.
    pub fn merge(&mut self, item: &Item) -> bool {
        let newer = self.items.get(&item.key).is_none_or(|held| held.version < item.version);
        if newer {
            self.items.insert(item.key.clone(), item.clone());
        }
        newer
    }

    pub fn version(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.version)
    }

    fn standing(&self, prefix: &str) -> impl Iterator<Item = &Item> {
        let of = self.items.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix));
        of.map(|(_, item)| item).filter(|item| !item.dropped)
    }

    pub fn routes(&self) -> impl Iterator<Item = Route> {
        self.standing("r/").filter_map(|item| serde_json::from_str(&item.body).ok())
    }

    pub fn services(&self) -> impl Iterator<Item = Service> {
        self.standing("s/").filter_map(|item| serde_json::from_str(&item.body).ok())
    }

    pub fn limits(&self) -> Limits {
        self.standing("l/").find_map(|item| serde_json::from_str(&item.body).ok()).unwrap_or_default()
    }

    /// Zones that are to get nothing.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.standing("e/").filter_map(|item| item.key.strip_prefix("e/"))
    }

    /// Whether a call may follow what is held; its items that are overtaken change nothing and can do no harm.
    pub fn check(&self, patch: &ConfigurationChange) -> Result<(), ValidationError> {
        let mut next = self.clone();
        let changed: Vec<&Item> = patch.items.iter().filter(|item| next.merge(item)).collect();
        let routes_matter = changed.iter().any(|i| i.key.starts_with("r/") || i.dropped);
        if !routes_matter {
            return Ok(());
        }
        let known: BTreeSet<&str> = next.standing("s/").filter_map(|i| i.key.strip_prefix("s/")).collect();
        let mut places: BTreeMap<(String, String), String> = BTreeMap::new();
        for route in next.routes() {
            if let Some((service, _)) = route.services().into_iter().find(|(s, _)| !known.contains(s)) {
                return Err(ValidationError::UnknownService(route.name.clone(), service.to_owned()));
            }
            let place = (route.host.to_ascii_lowercase(), route.path_prefix.clone());
            if let Some(other) = places.insert(place, route.name.clone()) {
                return Err(ValidationError::SamePlace(other, route.name));
            }
        }
        Ok(())
    }

    /// All that stands, laid out as in the first call's `Upsert`.
    pub fn read_back(&self) -> Value {
        let whole = |item: &Item| {
            let mut value: Value = serde_json::from_str(&item.body).unwrap_or_default();
            value["Version"] = Value::String(format!("{:08x}", item.version));
            value
        };
        let mut all = Map::new();
        for (list, prefix) in LISTS {
            all.insert(list.to_owned(), self.standing(prefix).map(whole).collect());
        }
        if let Some(limits) = self.standing("l/").next() {
            all.insert("Limits".to_owned(), whole(limits));
        }
        Value::Object(all)
    }
}
