//! What an assigner is told, each message as a small typed value.

use lynxmill_assigner::Standing;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Heartbeat,
    /// A collector names its zone.
    Zone(String),
    Met(Met),
    Asked(Asked),
    /// A message whose framing is sound, but not what it says: the ones around it count all the same.
    Spoilt(String),
}

/// What the proxies of a zone met at a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Met {
    pub zone: String,
    pub server: String,
    pub tries: f64,
    pub failed: f64,
    pub mean_ms: f64,
    pub span_ms: f64,
    pub load: Vec<(String, f64)>,
}

/// Invocations of an operation that arrived for a slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    pub slice: usize,
    pub operation: String,
    pub tries: f64,
    pub span_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Members {
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    pub name: String,
    #[serde(rename = "status", with = "standing")]
    pub standing: Standing,
    #[serde(default)]
    pub weight: Option<f64>,
    #[serde(default)]
    pub since_ms: f64,
}

mod standing {
    use lynxmill_assigner::Standing;
    use serde::{Deserialize, Deserializer, Serializer};

    const WORDS: [(&str, Standing); 3] = [
        ("ready", Standing::Ready),
        ("draining", Standing::Draining),
        ("gone", Standing::Gone),
    ];

    pub(super) fn serialize<S: Serializer>(standing: &Standing, to: S) -> Result<S::Ok, S::Error> {
        let word = WORDS
            .iter()
            .find(|(_, of)| of == standing)
            .map_or("", |(word, _)| word);
        to.serialize_str(word)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Standing, D::Error> {
        let word = String::deserialize(from)?;
        let known = WORDS
            .iter()
            .find(|(known, _)| *known == word)
            .map(|(_, standing)| *standing);
        known.ok_or_else(|| serde::de::Error::custom(format!("unknown status {word:?}")))
    }
}

pub fn members(from: serde_json::Value) -> Result<Members, serde_json::Error> {
    serde_json::from_value(from)
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// So many orders, counted from the first, were taken.
    Taken(usize),
    /// Turned back or never sent: not carried out, to be tried later.
    Throttled,
    /// Carried out as if answered, or not at all.
    Unknown,
}

/// One line of news.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    Attach { proxy: u16 },
    Detach { proxy: u16 },
    Done { proxy: u16, mark: u16, took_ms: f64 },
    Owner { slice: usize, on: bool },
    Entry { slice: usize, server: String },
    Alive,
}
