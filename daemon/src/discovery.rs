//! Discovery's list: its form, and one call for it, whole or as a watch.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use lynxmill::Standing;
use serde::Deserialize;

use crate::close::Reason;
use crate::relay::{Failed, body_of};

/// How long a call may be held when nothing is new. The agent answers at no cost, so a short hold shows its
/// silence soon; what it holds back longer counts as told anyhow.
const HOLD: Duration = Duration::from_millis(1000);
/// An answer that is due comes from the same machine: later than this after the hold, it won't come.
const LATE: Duration = Duration::from_millis(500);
const LONGEST: usize = 8 << 20;

#[derive(Clone, Debug, Deserialize)]
pub struct Members {
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    pub name: String,
    #[serde(rename = "status", deserialize_with = "standing")]
    pub standing: Standing,
    #[serde(default)]
    pub weight: Option<f64>,
    #[serde(default)]
    pub since_ms: f64,
}

fn standing<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Standing, D::Error> {
    let word = String::deserialize(from)?;
    match word.as_str() {
        "ready" => Ok(Standing::Ready),
        "draining" => Ok(Standing::Draining),
        "gone" => Ok(Standing::Gone),
        other => Err(serde::de::Error::custom(format!("unknown status {other:?}"))),
    }
}

pub fn members(from: serde_json::Value) -> Result<Members, serde_json::Error> {
    serde_json::from_value(from)
}

/// One call, on a connection of its own: the whole list, or what has come since a version.
pub async fn ask(client: &Client, at: SocketAddr, from: Option<u64>) -> Result<Members, Failed> {
    let (path, patience) = match from {
        Some(index) => (format!("?from={index}&hold_ms={}", HOLD.as_millis()), HOLD + LATE),
        None => (String::new(), LATE),
    };
    let call = client.get(format!("http://{at}/catalog/members{path}")).force_close();
    let answer = actix_rt::time::timeout(patience, body_of(call.send(), LONGEST)).await;
    let (ok, body) = answer.unwrap_or_else(|_| Err(Failed::new(Reason::NoAnswer, "in time")))?;
    if !ok {
        return Err(Failed::new(Reason::TurnedBack, String::from_utf8_lossy(&body)));
    }
    serde_json::from_slice(&body).map_err(|e| Failed::new(Reason::Unreadable, e))
}
