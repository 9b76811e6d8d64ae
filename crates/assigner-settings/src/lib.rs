//! The settings, read into the module's own values: one decoder for the simulator's adapter and the daemon.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, missing_docs)]

use lynxmill_assigner::{Facts, Operation};
use lynxmill_time::TimeDelta;
use serde_json::Value;

pub type DecodeError = String;

pub fn field<'a>(of: &'a Value, key: &str) -> Result<&'a Value, DecodeError> {
    of.get(key)
        .filter(|v| !v.is_null())
        .ok_or_else(|| format!("no `{key}` in {}", brief(of)))
}

pub fn wrong(of: &Value, key: &str) -> DecodeError {
    format!("odd `{key}` in {}", brief(of))
}

pub fn number(of: &Value, key: &str) -> Result<f64, DecodeError> {
    field(of, key)?.as_f64().ok_or_else(|| wrong(of, key))
}

/// A number of proxies or slices, which the wire numbers in 16 bits.
fn count(of: &Value, key: &str) -> Result<usize, DecodeError> {
    let number = number(of, key)?;
    if (0.0..=65_535.0).contains(&number) {
        Ok(number as usize)
    } else {
        Err(wrong(of, key))
    }
}

fn maybe_count(of: &Value, key: &str) -> Result<Option<usize>, DecodeError> {
    if of.get(key).is_none_or(Value::is_null) {
        Ok(None)
    } else {
        count(of, key).map(Some)
    }
}

pub fn span(of: &Value, key: &str) -> Result<TimeDelta, DecodeError> {
    number(of, key).map(TimeDelta::from_secs)
}

pub fn flag(of: &Value, key: &str) -> Result<bool, DecodeError> {
    field(of, key)?.as_bool().ok_or_else(|| wrong(of, key))
}

pub fn text<'a>(of: &'a Value, key: &str) -> Result<&'a str, DecodeError> {
    field(of, key)?.as_str().ok_or_else(|| wrong(of, key))
}

pub fn list<'a>(of: &'a Value, key: &str) -> Result<&'a [Value], DecodeError> {
    field(of, key)?
        .as_array()
        .map(Vec::as_slice)
        .ok_or_else(|| wrong(of, key))
}

pub fn brief(of: &Value) -> String {
    of.to_string().chars().take(200).collect()
}

/// The names of a load report's values, in the order the module knows them by.
pub fn report_fields(settings: &Value) -> Result<Vec<String>, DecodeError> {
    let names = list(field(settings, "feedback")?, "fields")?;
    Ok(names
        .iter()
        .filter_map(|name| name.as_str().map(str::to_owned))
        .collect())
}

/// The zones that collectors may name.
pub fn zones(settings: &Value) -> Result<Vec<String>, DecodeError> {
    Ok(list(settings, "failure_domains")?
        .iter()
        .filter_map(|zone| zone.as_str().map(str::to_owned))
        .collect())
}

/// How many assigners there are, and which of them this is where that is told, counted from 0.
fn assigners(of: &Value) -> Result<(usize, Option<usize>), DecodeError> {
    let (count, position) = (
        maybe_count(of, "balancers")?.unwrap_or(1).max(1),
        maybe_count(of, "position")?,
    );
    match position {
        Some(at) if at >= count => Err(format!(
            "`position` {at} is not one of `balancers` {count}, which count from 0"
        )),
        _ => Ok((count, position)),
    }
}

pub fn facts(of: &Value) -> Result<Facts, DecodeError> {
    let (own, rules) = (field(of, "specifics")?, field(of, "rules")?);
    let operations = list(of, "classes")?.iter().map(|class| {
        Ok(Operation {
            name: text(class, "name")?.to_owned(),
            billed_value: number(class, "credit")?,
            latency_objective: span(class, "slo")?,
        })
    });
    let fields = report_fields(of)?;
    let report_field = |name| fields.iter().position(|f| f == name);
    let (assigners, position) = assigners(of)?;
    Ok(Facts {
        operations: operations.collect::<Result<_, DecodeError>>()?,
        slices: count(own, "shards")?,
        assigners,
        position,
        proxies: count(own, "proxy_count")?,
        list_on_request: text(of, "registry_mode")? == "on_request",
        ask_within: span(rules, "ask_within")?,
        probes: flag(field(of, "policy_limits")?, "probes")?,
        dropped_stay_open: rules
            .get("dropped_stay_open")
            .and_then(Value::as_bool)
            .unwrap_or(false),
        levels_work: text(own, "throttle_by")? == "share",
        again: number(own, "retry_default")? as u8,
        held_field: report_field("outstanding"),
        busy_field: report_field("utilization"),
        zones: list(of, "failure_domains")?.len() as f64,
        interval: span(own, "interval")?,
        bare: span(own, "bare")?,
        lease: span(own, "lease")?,
        settle: span(own, "settle")?,
        push_delay: span(own, "propagation")?,
        push_delay_max: span(own, "push_delay_max")?,
        overhead: number(own, "overhead")?,
        drain_grace: span(rules, "stop_sending_within")?,
        lines_per_s: number(own, "lines_per_s")?,
        most_waiting: number(own, "most_waiting")?,
        pushes_allowed: Some(number(own, "pushes_allowed")?)
            .filter(|&n| n > 0.0)
            .unwrap_or(f64::INFINITY),
        reload_span: span(own, "reload_span")?,
        tip_multiple: number(rules, "tip_multiple")?,
        cold_from: number(rules, "cold_from")?,
        warm_after: span(rules, "warm_after")?,
    })
}
