//! A call of the operator as it is read from JSON.

use serde_json::{Map, Value};

use crate::items::Item;
use crate::resources::{Limits, Route, Service};
use crate::validation::{ValidationError, check_route};

/// A call of the operator, read whole: it takes effect whole or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationChange {
    /// The items that it sets or removes.
    pub items: Vec<Item>,
}

/// The lists of a call, and how the keys of their items begin.
pub(crate) const LISTS: [(&str, &str); 2] = [("Routes", "r/"), ("Services", "s/")];

fn version(of: &Map<String, Value>, what: &str) -> Result<u64, ValidationError> {
    let digits = of.get("Version").and_then(Value::as_str);
    let read = digits
        .filter(|d| !d.is_empty())
        .and_then(|d| u64::from_str_radix(d, 16).ok());
    read.ok_or_else(|| ValidationError::InvalidVersion(what.to_owned()))
}

fn object<'a>(of: &'a Value, what: &str) -> Result<&'a Map<String, Value>, ValidationError> {
    of.as_object()
        .ok_or_else(|| ValidationError::Unreadable(format!("{what} is not an object")))
}

fn name(of: &Map<String, Value>, what: &str) -> Result<String, ValidationError> {
    let name = of
        .get("Name")
        .and_then(Value::as_str)
        .filter(|name| !name.is_empty());
    name.map(str::to_owned)
        .ok_or_else(|| ValidationError::MissingName(what.to_owned()))
}

fn typed<T: serde::de::DeserializeOwned>(key: &str, body: &Value) -> Result<T, ValidationError> {
    serde_json::from_value(body.clone())
        .map_err(|e| ValidationError::Unreadable(format!("{key}: {e}")))
}

/// An item that is set to a row of an `Upsert`.
fn upserted(key: String, value: &Value) -> Result<Item, ValidationError> {
    let mut body = object(value, &key)?.clone();
    let version = version(&body, &key)?;
    body.remove("Version");
    let body = Value::Object(body);
    match key.split_at(2).0 {
        "r/" => check_route(&typed::<Route>(&key, &body)?)?,
        "s/" => typed::<Service>(&key, &body).map(drop)?,
        _ => typed::<Limits>(&key, &body).map(drop)?,
    }
    Ok(Item::upserted(key, version, &body))
}

impl ConfigurationChange {
    /// Reads the body of `PATCH /v1/configuration`. Of an object that has one key twice the last value
    /// counts, so that a body sent again always reads the same.
    ///
    /// # Errors
    ///
    /// [`ValidationError`] if the body is no JSON of the expected shape.
    pub fn read(body: &[u8]) -> Result<Self, ValidationError> {
        let unreadable = |e: serde_json::Error| ValidationError::Unreadable(e.to_string());
        let whole: Value = serde_json::from_slice(body).map_err(unreadable)?;
        let whole = object(&whole, "the call")?;
        let mut change = ConfigurationChange::default();
        let none = Value::Object(Map::new());
        let upsert = object(whole.get("Upsert").unwrap_or(&none), "Upsert")?;
        let remove = object(whole.get("Remove").unwrap_or(&none), "Remove")?;
        for (list, prefix) in LISTS {
            for value in rows(upsert, list)? {
                let key = format!("{prefix}{}", name(object(value, list)?, list)?);
                change.items.push(upserted(key, value)?);
            }
            for value in rows(remove, list)? {
                let row = object(value, list)?;
                let key = format!("{prefix}{}", name(row, list)?);
                let version = version(row, &key)?;
                change.items.push(Item::removed(key, version));
            }
        }
        if let Some(limits) = upsert.get("Limits").filter(|v| !v.is_null()) {
            change.items.push(upserted("l/".to_owned(), limits)?);
        }
        Ok(change)
    }
}

fn rows<'a>(of: &'a Map<String, Value>, list: &str) -> Result<&'a [Value], ValidationError> {
    match of.get(list) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(rows)) => Ok(rows),
        Some(_) => Err(ValidationError::Unreadable(format!("{list} is not a list"))),
    }
}
