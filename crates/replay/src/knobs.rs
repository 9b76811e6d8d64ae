//! Settings that a replay may change, each with its type and bounds. A name that nobody knows, a value of
//! another type and one out of bounds are told in one line; nothing is played then.

use lynxmill_assigner_settings::DecodeError;
use lynxmill_recording::{Day, World};
use serde_json::{Value, json};

/// What a value may be. Spans are told in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Seconds { least: f64, most: f64 },
    Number { least: f64, most: f64 },
    Count { least: u64, most: u64 },
    OneOf(&'static [&'static str]),
}

#[derive(Clone, Copy)]
enum KnobPath {
    /// Below the configuration's `settings`.
    Setting(&'static str),
    /// What clients and the front do, which the settings don't tell.
    Behind(fn(&mut World, f64)),
}

pub struct SettingKnob {
    pub name: &'static str,
    pub kind: Kind,
    pub what: &'static str,
    place: KnobPath,
}

const fn seconds(least: f64, most: f64) -> Kind {
    Kind::Seconds { least, most }
}

const fn micros(seconds: f64) -> i64 {
    (seconds * 1e6) as i64
}

pub const KNOBS: [SettingKnob; 23] = [
    SettingKnob {
        name: "grace",
        kind: seconds(0.05, 120.0),
        what: "until nothing goes to a server told to drain",
        place: KnobPath::Setting("/rules/stop_sending_within"),
    },
    SettingKnob {
        name: "lease",
        kind: seconds(0.05, 120.0),
        what: "writes go on without the assigner",
        place: KnobPath::Setting("/specifics/lease"),
    },
    SettingKnob {
        name: "settle",
        kind: seconds(0.0, 60.0),
        what: "a write in hand is over by then",
        place: KnobPath::Setting("/specifics/settle"),
    },
    SettingKnob {
        name: "bare",
        kind: seconds(0.1, 600.0),
        what: "a forwarder may be without a server for a slice",
        place: KnobPath::Setting("/specifics/bare"),
    },
    SettingKnob {
        name: "waits",
        kind: seconds(0.0, 60.0),
        what: "an invocation waits for a table with a server",
        place: KnobPath::Setting("/specifics/waits_for_table"),
    },
    SettingKnob {
        name: "interval",
        kind: seconds(0.02, 60.0),
        what: "between two reports",
        place: KnobPath::Setting("/specifics/interval"),
    },
    SettingKnob {
        name: "ingest",
        kind: Kind::Number {
            least: 1.0,
            most: 1e6,
        },
        what: "report lines that an assigner takes in a second",
        place: KnobPath::Setting("/specifics/ingest_rate"),
    },
    SettingKnob {
        name: "lines",
        kind: Kind::Number {
            least: 10.0,
            most: 1e7,
        },
        what: "lines that the channel sends in a second",
        place: KnobPath::Setting("/specifics/lines_per_s"),
    },
    SettingKnob {
        name: "waiting",
        kind: Kind::Number {
            least: 10.0,
            most: 1e8,
        },
        what: "lines that may wait in the channel",
        place: KnobPath::Setting("/specifics/most_waiting"),
    },
    SettingKnob {
        name: "messages",
        kind: Kind::Count {
            least: 0,
            most: 10_000,
        },
        what: "messages to a forwarder within their span, 0 for any number",
        place: KnobPath::Setting("/specifics/pushes_allowed"),
    },
    SettingKnob {
        name: "messages_over",
        kind: seconds(0.1, 600.0),
        what: "the span in which messages count",
        place: KnobPath::Setting("/specifics/reload_span"),
    },
    SettingKnob {
        name: "overhead",
        kind: Kind::Count {
            least: 0,
            most: 10_000,
        },
        what: "lines that a message's head costs",
        place: KnobPath::Setting("/specifics/overhead"),
    },
    SettingKnob {
        name: "delay",
        kind: seconds(0.0, 30.0),
        what: "a message's way, on average",
        place: KnobPath::Setting("/specifics/propagation"),
    },
    SettingKnob {
        name: "delay_most",
        kind: seconds(0.0, 60.0),
        what: "a message's longest way",
        place: KnobPath::Setting("/specifics/push_delay_max"),
    },
    SettingKnob {
        name: "forwarder_tries",
        kind: Kind::Count { least: 0, most: 3 },
        what: "how forwarders try again",
        place: KnobPath::Setting("/specifics/retry_default"),
    },
    SettingKnob {
        name: "levels",
        kind: Kind::OneOf(&["share", "none"]),
        what: "whether levels are kept",
        place: KnobPath::Setting("/specifics/throttle_by"),
    },
    SettingKnob {
        name: "tip",
        kind: Kind::Number {
            least: 1.0,
            most: 100.0,
        },
        what: "multiple of its capacity that pushes a cold server over",
        place: KnobPath::Setting("/rules/tip_multiple"),
    },
    SettingKnob {
        name: "warm_after",
        kind: seconds(0.1, 600.0),
        what: "a server is warm by then",
        place: KnobPath::Setting("/rules/warm_after"),
    },
    SettingKnob {
        name: "cold_from",
        kind: Kind::Number {
            least: 0.01,
            most: 1.0,
        },
        what: "least share of its capacity that a server starts with",
        place: KnobPath::Setting("/rules/cold_from"),
    },
    SettingKnob {
        name: "retries",
        kind: Kind::Count { least: 0, most: 20 },
        what: "a client's tries after its first",
        place: KnobPath::Behind(|world, n| world.clients.retries = n as u32),
    },
    SettingKnob {
        name: "backoff",
        kind: seconds(0.0, 60.0),
        what: "a client's wait before it tries again",
        place: KnobPath::Behind(|world, s| world.clients.backoff = micros(s)),
    },
    SettingKnob {
        name: "try_share",
        kind: Kind::Number {
            least: 0.05,
            most: 1.0,
        },
        what: "share of its deadline after which a client gives a try up",
        place: KnobPath::Behind(|world, share| world.clients.try_share = share),
    },
    SettingKnob {
        name: "return_after",
        kind: seconds(0.0, 60.0),
        what: "when a refused client is told to return",
        place: KnobPath::Behind(|world, s| world.link.return_after = micros(s)),
    },
];

/// A setting and the value it is to have.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub name: &'static str,
    pub value: Value,
}

impl Change {
    pub fn text(&self) -> (String, String) {
        let value = self
            .value
            .as_str()
            .map_or_else(|| self.value.to_string(), str::to_owned);
        (self.name.to_owned(), value)
    }
}

fn knob(name: &str) -> Result<&'static SettingKnob, DecodeError> {
    let known = || KNOBS.iter().map(|k| k.name).collect::<Vec<_>>().join(", ");
    KNOBS
        .iter()
        .find(|k| k.name == name)
        .ok_or_else(|| format!("no setting {name:?}; there are {}", known()))
}

fn value(knob: &SettingKnob, text: &str) -> Result<Value, DecodeError> {
    let odd = |what: String| format!("`{}` is to be {what}, not {text:?}", knob.name);
    let within = |least: f64, most: f64, unit: &str| {
        let number = text
            .parse()
            .ok()
            .filter(|n: &f64| (least..=most).contains(n));
        number
            .map(|n| json!(n))
            .ok_or_else(|| odd(format!("a number from {least} to {most}{unit}")))
    };
    match knob.kind {
        Kind::Seconds { least, most } => within(least, most, " s"),
        Kind::Number { least, most } => within(least, most, ""),
        Kind::Count { least, most } => {
            let count = text
                .parse()
                .ok()
                .filter(|n: &u64| (least..=most).contains(n));
            count
                .map(|n| json!(n))
                .ok_or_else(|| odd(format!("a whole number from {least} to {most}")))
        }
        Kind::OneOf(words) => {
            let known = words.contains(&text);
            if known {
                Ok(json!(text))
            } else {
                Err(odd(format!("one of {}", words.join(", "))))
            }
        }
    }
}

/// Reads `NAME=VALUE` or `NAME=VALUE,VALUE,...`.
///
/// # Errors
/// One line that tells the setting and what it may be.
pub fn parse(text: &str) -> Result<Vec<Change>, DecodeError> {
    let (name, values) = text
        .split_once('=')
        .ok_or_else(|| format!("{text:?} is no NAME=VALUE"))?;
    let knob = knob(name.trim())?;
    let change = |text: &str| {
        Ok(Change {
            name: knob.name,
            value: value(knob, text.trim())?,
        })
    };
    values.split(',').map(change).collect()
}

/// Those of the changes that change anything on this day.
///
/// # Errors
/// As `apply`.
pub fn effective(day: &Day, changes: &[Change]) -> Result<Vec<Change>, DecodeError> {
    let as_it_was = apply(&mut day.clone(), &[])?;
    let mut effective = Vec::new();
    for change in changes {
        let mut other = day.clone();
        let told = apply(&mut other, std::slice::from_ref(change))?;
        if told != as_it_was || other.world != day.world {
            effective.push(change.clone());
        }
    }
    Ok(effective)
}

/// The day's configuration, and its world, with these changes.
///
/// # Errors
/// A configuration that can't be read, or lacks the setting's place.
pub fn apply(day: &mut Day, changes: &[Change]) -> Result<Value, DecodeError> {
    let configuration = &day.head.configuration;
    let mut told: Value =
        serde_json::from_str(configuration).map_err(|e| format!("the day's configuration: {e}"))?;
    for change in changes {
        match knob(change.name)?.place {
            KnobPath::Setting(path) => {
                let (above, key) = path.rsplit_once('/').unwrap_or(("", path));
                let place = told
                    .pointer_mut(&format!("/settings{above}"))
                    .and_then(Value::as_object_mut);
                let place = place.ok_or_else(|| format!("the day's settings have no {above}"))?;
                place.insert(key.to_owned(), change.value.clone());
            }
            KnobPath::Behind(set) => {
                let world = day.world.as_mut().ok_or("the day holds no world")?;
                set(world, change.value.as_f64().unwrap_or_default());
            }
        }
    }
    Ok(told)
}
