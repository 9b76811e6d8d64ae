//! What both protocols share: requests and replies without sockets, and what can be wrong with a reply.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;

use crate::follow::Style;
use crate::pair::{Answer, Ask, Expect, Pair};

/// A request over HTTP/1.1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    pub body: Option<String>,
    /// Its answer has no end: each line of it is a piece.
    pub stream: bool,
    /// The registry may hold it so long, in seconds.
    pub held: u64,
}

#[derive(Clone, Debug)]
pub struct Reply<'a> {
    pub status: u16,
    /// The header `X-Consul-Index`.
    pub index: Option<&'a str>,
    pub body: &'a [u8],
}

/// Why a reply is of no use: a reason code for the log and a detail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub code: &'static str,
    pub detail: String,
    /// It shows that nothing was carried out.
    pub not_done: bool,
    /// When to come again, where it says so.
    pub later_ms: Option<u64>,
}

impl Fault {
    pub fn new(code: &'static str, detail: impl ToString) -> Self {
        let detail = detail.to_string().chars().take(200).collect();
        Fault {
            code,
            detail,
            not_done: false,
            later_ms: None,
        }
    }

    /// The answer that a failed ask comes to.
    pub fn answer(&self, ask: &Ask) -> Option<Answer> {
        failed(ask, self)
    }
}

fn failed(ask: &Ask, fault: &Fault) -> Option<Answer> {
    Some(match ask {
        Ask::Page { turn, .. } | Ask::Watch { turn, .. } | Ask::Look { turn, .. } => {
            Answer::Failed { turn: *turn }
        }
        Ask::Grant { turn, .. } | Ask::Keep { turn, .. } => Answer::Failed { turn: *turn },
        Ask::Txn { id, .. } | Ask::Get { id, .. } => match fault.later_ms {
            Some(millis) => Answer::Later { id: *id, millis },
            None if fault.not_done => Answer::Later { id: *id, millis: 0 },
            None => Answer::Unknown { id: *id },
        },
        Ask::Leave { .. } | Ask::Revoke { .. } | Ask::WakeAt(_) => return None,
    })
}

pub trait Protocol {
    fn style(&self) -> Style;

    /// None for what needs no request of its own.
    fn request(&self, ask: &Ask) -> Option<Request>;

    /// What a whole reply says.
    ///
    /// # Errors
    /// What is wrong with it.
    fn reply(&self, ask: &Ask, reply: &Reply) -> Result<Answer, Fault>;

    /// What a line of a stream says, if it says anything.
    ///
    /// # Errors
    /// What is wrong with it: the stream is of no further use.
    fn piece(&self, ask: &Ask, line: &[u8]) -> Result<Option<Answer>, Fault>;
}

pub fn encode(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

pub fn decode(text: &str) -> Result<Vec<u8>, Fault> {
    BASE64_STANDARD
        .decode(text)
        .map_err(|e| Fault::new("bad-base64", e))
}

pub fn decode_text(text: &str) -> Result<String, Fault> {
    String::from_utf8(decode(text)?).map_err(|e| Fault::new("unreadable", e))
}

/// An index that a registry can have: over 0, and within the signed numbers that both use.
pub fn index(number: u64) -> Result<u64, Fault> {
    if (1..=i64::MAX as u64).contains(&number) {
        Ok(number)
    } else {
        Err(Fault::new("absurd-index", number))
    }
}

/// Guards against a reply that is not ours: keys below another prefix.
pub fn inside(prefix: &str, key: &str) -> Result<(), Fault> {
    if key.starts_with(prefix) {
        Ok(())
    } else {
        Err(Fault::new("out-of-prefix", key))
    }
}

pub fn json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|e| Fault::new("unreadable", e))
}

/// Whether a guard holds of a key as it was read.
pub fn holds(there: Option<&Pair>, expect: &Expect) -> bool {
    match (there, expect) {
        (None, Expect::Absent) => true,
        (Some(pair), Expect::At(revision)) => pair.changed == *revision,
        (Some(pair), Expect::Of(lease)) => pair.lease.as_ref() == Some(lease),
        _ => false,
    }
}

/// Statuses that mean the same in both protocols.
pub fn status(reply: &Reply) -> Result<(), Fault> {
    let text = || String::from_utf8_lossy(reply.body).into_owned();
    match reply.status {
        300..=399 => Err(Fault::new("redirected", reply.status)),
        429 => Err(Fault {
            later_ms: Some(1000),
            not_done: true,
            ..Fault::new("turned-back", text())
        }),
        400..=499 => Err(Fault {
            not_done: true,
            ..Fault::new("turned-back", text())
        }),
        500..=599 => Err(Fault::new("turned-back", text())),
        _ => Ok(()),
    }
}
