//! The terms that forwarders, channel and rules go by, read once from the settings in force.

use lynxmill_assigner_settings::{DecodeError, field, flag, list, number, span, text};
use lynxmill_time::TimeDelta;
use serde_json::Value;

/// Slack that the rules on sockets give to time limits on forwarders and servers.
const SLACK_S: f64 = 0.3;

#[derive(Clone, Debug)]
pub struct OperationConfig {
    pub name: String,
    pub worth: f64,
    pub aim: TimeDelta,
    pub deadline: TimeDelta,
}

#[derive(Clone, Debug)]
pub struct ReplayConfig {
    pub operations: Vec<OperationConfig>,
    pub slices: usize,
    pub forwarders: usize,
    pub interval: TimeDelta,
    pub ingest: f64,
    pub lease: TimeDelta,
    pub bare: TimeDelta,
    pub grace: TimeDelta,
    pub overhead: f64,
    pub lines_per_s: f64,
    pub most_waiting: f64,
    pub messages: f64,
    pub messages_over: TimeDelta,
    pub delay: TimeDelta,
    pub delay_most: TimeDelta,
    pub waits: TimeDelta,
    pub tip_multiple: f64,
    pub tip_after: TimeDelta,
    pub warm_after: TimeDelta,
    pub slack: TimeDelta,
    pub exclusive: bool,
}

/// A figure that older settings lack.
fn or<T>(
    of: &Value,
    key: &str,
    read: impl Fn(&Value, &str) -> Result<T, DecodeError>,
    usual: T,
) -> Result<T, DecodeError> {
    if of.get(key).is_some_and(|v| !v.is_null()) {
        read(of, key)
    } else {
        Ok(usual)
    }
}

impl ReplayConfig {
    /// From a configuration's `settings`.
    ///
    /// # Errors
    /// One line that names the key.
    pub fn of(settings: &Value) -> Result<Self, DecodeError> {
        let (own, rules) = (field(settings, "specifics")?, field(settings, "rules")?);
        let operation = |class: &Value| {
            Ok(OperationConfig {
                name: text(class, "name")?.to_owned(),
                worth: number(class, "credit")?,
                aim: span(class, "slo")?,
                deadline: span(class, "deadline")?,
            })
        };
        let interval = span(own, "interval")?;
        if interval <= TimeDelta::default() {
            return Err("`interval` must be over 0".to_owned());
        }
        Ok(ReplayConfig {
            operations: list(settings, "classes")?
                .iter()
                .map(operation)
                .collect::<Result<_, DecodeError>>()?,
            slices: number(own, "shards")? as usize,
            forwarders: number(own, "proxy_count")? as usize,
            interval,
            ingest: or(own, "ingest_rate", number, 1e9)?,
            lease: span(own, "lease")?,
            bare: span(own, "bare")?,
            grace: span(rules, "stop_sending_within")?,
            overhead: number(own, "overhead")?,
            lines_per_s: number(own, "lines_per_s")?.max(1.0),
            most_waiting: number(own, "most_waiting")?,
            messages: number(own, "pushes_allowed")?,
            messages_over: span(own, "reload_span")?,
            delay: span(own, "propagation")?,
            delay_most: span(own, "push_delay_max")?,
            waits: or(own, "waits_for_table", span, TimeDelta::from_secs(SLACK_S))?,
            tip_multiple: number(rules, "tip_multiple")?,
            tip_after: or(rules, "tip_after", span, TimeDelta::from_secs(2.0))?,
            warm_after: span(rules, "warm_after")?,
            slack: TimeDelta::from_secs(SLACK_S),
            exclusive: or(own, "exclusive", flag, true)?,
        })
    }
}
