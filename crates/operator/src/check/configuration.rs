//! Errors of a configuration.

use std::collections::BTreeSet;

use lynxmill_configuration::{Configuration, ConfigurationChange, ValidationError};
use serde_json::{Map, Value};

/// A call's body from a call, or from a configuration laid out as it is read back.
pub fn call(text: &str) -> Result<Value, String> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| ValidationError::Unreadable(e.to_string()).to_string())?;
    let Some(whole) = value.as_object() else {
        return Err(ValidationError::Unreadable("it is not an object".to_owned()).to_string());
    };
    let laid_out = ["Routes", "Services", "Limits"]
        .iter()
        .any(|key| whole.contains_key(*key));
    Ok(if laid_out {
        serde_json::json!({ "Upsert": value })
    } else {
        value
    })
}

/// Each item as a call of its own; what is no list of items stays together.
fn alone(value: &Value) -> Vec<Value> {
    let mut calls = Vec::new();
    for part in ["Upsert", "Remove"] {
        let Some(lists) = value.get(part) else {
            continue;
        };
        let Some(lists) = lists.as_object() else {
            calls.push(serde_json::json!({ part: lists }));
            continue;
        };
        for (list, rows) in lists {
            match rows {
                Value::Array(rows) => {
                    calls.extend(
                        rows.iter()
                            .map(|row| serde_json::json!({ part: { list: [row] } })),
                    );
                }
                other => calls.push(serde_json::json!({ part: { list: other } })),
            }
        }
    }
    calls
}

/// All that is wrong with a call after what is held: items by themselves, then those that don't go together.
pub fn faults(held: &Configuration, value: &Value) -> Vec<String> {
    let none = Map::new();
    let mut faults = Vec::new();
    let known = ["Upsert", "Remove"];
    for key in value
        .as_object()
        .unwrap_or(&none)
        .keys()
        .filter(|key| !known.contains(&key.as_str()))
    {
        faults.push(format!("{key} is not known"));
    }
    let mut sound = ConfigurationChange::default();
    for call in alone(value) {
        match ConfigurationChange::read(call.to_string().as_bytes()) {
            Ok(patch) => sound.items.extend(patch.items),
            Err(error) => faults.push(error.to_string()),
        }
    }
    let mut names = BTreeSet::new();
    for item in &sound.items {
        if !names.insert(item.key.clone()) {
            faults.push(format!("{} stands more than once", item.key));
        }
    }
    // A route that is told of is left out, so that the next fault shows.
    let mut held = held.clone();
    while let Err(error) = held.check(&sound) {
        faults.push(error.to_string());
        let (ValidationError::UnknownService(route, _) | ValidationError::DuplicateRoute(_, route)) =
            error
        else {
            break;
        };
        let key = format!("r/{route}");
        sound.items.retain(|item| item.key != key);
        held.items.remove(&key);
    }
    faults
}

/// Faults of a configuration as the first of a system.
pub fn configuration(text: &str) -> Vec<String> {
    match call(text) {
        Ok(value) => faults(&Configuration::default(), &value),
        Err(error) => vec![error],
    }
}
