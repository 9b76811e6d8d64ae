//! The wire's events, read into the module's own values.

use lynxmill_assigner::{Listing, Standing};
use lynxmill_assigner_settings::{DecodeError, brief, field, number, wrong};
use lynxmill_time::Timestamp;
use serde_json::Value;

/// A load report, empty where none came along; a value that is no number comes as one that is not finite.
pub(crate) fn report(of: &Value) -> Vec<f64> {
    let values = of.get("report").and_then(Value::as_array);
    values.map_or_else(Vec::new, |v| {
        v.iter().map(|v| v.as_f64().unwrap_or(f64::NAN)).collect()
    })
}

pub(crate) fn seed(of: &Value) -> Result<u64, DecodeError> {
    field(of, "salt")?.as_u64().ok_or_else(|| wrong(of, "salt"))
}

pub(crate) fn name_and_fields(event: &Value) -> Result<(&str, &Value), DecodeError> {
    let entry = event
        .as_object()
        .filter(|o| o.len() == 1)
        .and_then(|o| o.iter().next());
    entry
        .map(|(name, fields)| (name.as_str(), fields))
        .ok_or_else(|| format!("odd event {}", brief(event)))
}

pub(crate) fn listing(entry: &Value) -> Result<Listing, DecodeError> {
    let standing = match number(entry, "status")? as u64 {
        0 => Standing::Ready,
        2 => Standing::Draining,
        _ => Standing::Gone,
    };
    let started = entry
        .get("start_time")
        .and_then(Value::as_f64)
        .filter(|&at| at != 0.0);
    let task = number(entry, "task")? as u32;
    Ok(Listing {
        task,
        lot: task,
        standing,
        size: number(entry, "weight").ok(),
        started: started.map(Timestamp::from_secs),
    })
}
