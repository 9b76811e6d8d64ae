//! The deployment as far as a forwarder needs it: operations, their times, what may run twice.

use lynxmill_time::TimeDelta;
use serde_json::Value;

/// What running an invocation of an operation twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing more than once.
    Safe,
    /// Servers drop repeats that come within this of the first.
    Keyed { window: TimeDelta },
    /// A second effect.
    Unsafe,
}

/// The order in force for another try after one that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    Never,
    /// One, elsewhere, after proof that the first never ran.
    Unrun,
    /// One after any failure, or two.
    Once,
    Twice,
}

impl RetryPolicy {
    /// As the settings number it; None for a number that stands for nothing.
    pub fn numbered(number: u64) -> Option<RetryPolicy> {
        [
            RetryPolicy::Never,
            RetryPolicy::Unrun,
            RetryPolicy::Once,
            RetryPolicy::Twice,
        ]
        .get(usize::try_from(number).ok()?)
        .copied()
    }

    /// Tries after the first.
    pub fn most(self) -> u32 {
        match self {
            RetryPolicy::Never => 0,
            RetryPolicy::Unrun | RetryPolicy::Once => 1,
            RetryPolicy::Twice => 2,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    pub name: String,
    pub effect: Effect,
    /// Exclusive: only the slice's owner may run it.
    pub writes: bool,
    /// Its latency objective, and how long a client waits in all.
    pub aim: TimeDelta,
    pub deadline: TimeDelta,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ForwarderConfig {
    pub operations: Vec<Operation>,
    pub slices: usize,
    /// Writes end so long after the tables were last known to be current.
    pub lease: TimeDelta,
    /// A write that was sent is over within this: the assigner's fence counts on it.
    pub settle: TimeDelta,
    /// An invocation that finds no server waits so long for one.
    pub hold: TimeDelta,
    /// A try that may be followed by another waits so many aims.
    pub first_wait: f64,
    pub again: RetryPolicy,
    /// Sums are told at this interval.
    pub interval: TimeDelta,
    pub zones: Vec<String>,
}

fn field<'a>(of: &'a Value, key: &str) -> Result<&'a Value, String> {
    of.get(key).ok_or_else(|| format!("`{key}` is missing"))
}

fn number(of: &Value, key: &str) -> Result<f64, String> {
    let number = field(of, key)?
        .as_f64()
        .filter(|number| number.is_finite() && *number >= 0.0);
    number.ok_or_else(|| format!("`{key}` is no number from 0 on"))
}

fn span(of: &Value, key: &str) -> Result<TimeDelta, String> {
    number(of, key).map(TimeDelta::from_secs)
}

fn text<'a>(of: &'a Value, key: &str) -> Result<&'a str, String> {
    field(of, key)?
        .as_str()
        .ok_or_else(|| format!("`{key}` is no text"))
}

fn operation(of: &Value, writes: bool) -> Result<Operation, String> {
    let effect = match (text(of, "effect")?, of.get("group").and_then(Value::as_str)) {
        ("safe", _) => Effect::Safe,
        ("keyed", Some("all") | None) => Effect::Keyed {
            window: span(of, "window")?,
        },
        // Servers beyond a zone or cell don't know each other's repeats, and a table doesn't tell of either.
        ("keyed" | "unsafe", _) => Effect::Unsafe,
        (other, _) => return Err(format!("`effect` is {other:?}: safe, keyed or unsafe")),
    };
    let name = text(of, "name")?.to_owned();
    Ok(Operation {
        name,
        effect,
        writes,
        aim: span(of, "slo")?,
        deadline: span(of, "deadline")?,
    })
}

impl ForwarderConfig {
    /// From the deployment's settings, as the simulator's first message and the assigner's file give them.
    ///
    /// # Errors
    /// One line that names the key.
    pub fn read(settings: &Value) -> Result<ForwarderConfig, String> {
        let own = field(settings, "specifics")?;
        let list = |of: &Value, key: &str| -> Result<Vec<Value>, String> {
            field(of, key)?
                .as_array()
                .cloned()
                .ok_or_else(|| format!("`{key}` is no list"))
        };
        let classes = list(settings, "classes")?;
        let exclusive = own
            .get("exclusive")
            .and_then(Value::as_bool)
            .unwrap_or(false);
        let writes = own.get("class_writes").and_then(Value::as_array);
        let writes = |at: usize| match writes {
            Some(writes) => writes.get(at).and_then(Value::as_bool).unwrap_or(true),
            // Where nothing is said, what may not run twice counts as a write.
            None => exclusive || classes[at]["effect"] != "safe",
        };
        let operations = classes
            .iter()
            .enumerate()
            .map(|(at, of)| operation(of, writes(at)));
        let operations: Vec<Operation> = operations.collect::<Result<_, _>>()?;
        if operations.is_empty() {
            return Err("`classes` has none".to_owned());
        }
        let zones = list(settings, "failure_domains")?;
        let again = number(own, "retry_default")?;
        Ok(ForwarderConfig {
            operations,
            slices: number(own, "shards")? as usize,
            lease: span(own, "lease")?,
            settle: span(own, "settle")?,
            hold: own
                .get("waits_for_table")
                .map_or(Ok(TimeDelta::default()), |_| span(own, "waits_for_table"))?,
            first_wait: own
                .get("first_wait")
                .map_or(Ok(1.0), |_| number(own, "first_wait"))?,
            again: RetryPolicy::numbered(again as u64)
                .ok_or_else(|| format!("`retry_default` is {again}: 0 to 3"))?,
            interval: span(own, "interval")?,
            zones: zones
                .iter()
                .filter_map(Value::as_str)
                .map(str::to_owned)
                .collect(),
        })
    }
}
