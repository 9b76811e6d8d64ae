//! What both protocols share: requests and replies without sockets, and what can be wrong with a reply.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;

use crate::transaction::{Answer, KeyValue, Precondition, StoreRequest};
use crate::watch::WatchStyle;

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
pub struct CodecError {
    pub code: &'static str,
    pub detail: String,
    /// It shows that nothing was carried out.
    pub not_done: bool,
    /// When to come again, where it says so.
    pub later_ms: Option<u64>,
}

impl CodecError {
    pub fn new(code: &'static str, detail: impl ToString) -> Self {
        let detail = detail.to_string().chars().take(200).collect();
        CodecError {
            code,
            detail,
            not_done: false,
            later_ms: None,
        }
    }

    /// The answer that a failed ask comes to.
    pub fn answer(&self, ask: &StoreRequest) -> Option<Answer> {
        failed(ask, self)
    }
}

fn failed(ask: &StoreRequest, error: &CodecError) -> Option<Answer> {
    Some(match ask {
        StoreRequest::Page { turn, .. }
        | StoreRequest::Watch { turn, .. }
        | StoreRequest::Look { turn, .. } => Answer::Failed { turn: *turn },
        StoreRequest::Grant { turn, .. } | StoreRequest::Keep { turn, .. } => {
            Answer::Failed { turn: *turn }
        }
        StoreRequest::Txn { id, .. } | StoreRequest::Get { id, .. } => match error.later_ms {
            Some(millis) => Answer::Later { id: *id, millis },
            None if error.not_done => Answer::Later { id: *id, millis: 0 },
            None => Answer::Unknown { id: *id },
        },
        StoreRequest::Leave { .. } | StoreRequest::Revoke { .. } | StoreRequest::WakeAt(_) => {
            return None;
        }
    })
}

pub trait Protocol {
    fn style(&self) -> WatchStyle;

    /// None for what needs no request of its own.
    fn request(&self, ask: &StoreRequest) -> Option<Request>;

    /// What a whole reply says.
    ///
    /// # Errors
    /// What is wrong with it.
    fn reply(&self, ask: &StoreRequest, reply: &Reply) -> Result<Answer, CodecError>;

    /// What a line of a stream says, if it says anything.
    ///
    /// # Errors
    /// What is wrong with it: the stream is of no further use.
    fn piece(&self, ask: &StoreRequest, line: &[u8]) -> Result<Option<Answer>, CodecError>;
}

pub(crate) fn encode(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

pub(crate) fn decode(text: &str) -> Result<Vec<u8>, CodecError> {
    BASE64_STANDARD
        .decode(text)
        .map_err(|e| CodecError::new("bad-base64", e))
}

pub(crate) fn decode_text(text: &str) -> Result<String, CodecError> {
    String::from_utf8(decode(text)?).map_err(|e| CodecError::new("unreadable", e))
}

/// An index that a registry can have: over 0, and within the signed numbers that both use.
pub(crate) fn index(number: u64) -> Result<u64, CodecError> {
    if (1..=i64::MAX as u64).contains(&number) {
        Ok(number)
    } else {
        Err(CodecError::new("absurd-index", number))
    }
}

/// Guards against a reply that is not ours: keys below another prefix.
pub(crate) fn inside(prefix: &str, key: &str) -> Result<(), CodecError> {
    if key.starts_with(prefix) {
        Ok(())
    } else {
        Err(CodecError::new("out-of-prefix", key))
    }
}

pub(crate) fn json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CodecError> {
    serde_json::from_slice(body).map_err(|e| CodecError::new("unreadable", e))
}

/// Whether a guard holds of a key as it was read.
pub(crate) fn holds(there: Option<&KeyValue>, expect: &Precondition) -> bool {
    match (there, expect) {
        (None, Precondition::Absent) => true,
        (Some(pair), Precondition::At(revision)) => pair.changed == *revision,
        (Some(pair), Precondition::Of(lease)) => pair.lease.as_ref() == Some(lease),
        _ => false,
    }
}

/// Statuses that mean the same in both protocols.
pub(crate) fn status(reply: &Reply) -> Result<(), CodecError> {
    let text = || String::from_utf8_lossy(reply.body).into_owned();
    match reply.status {
        300..=399 => Err(CodecError::new("redirected", reply.status)),
        429 => Err(CodecError {
            later_ms: Some(1000),
            not_done: true,
            ..CodecError::new("turned-back", text())
        }),
        400..=499 => Err(CodecError {
            not_done: true,
            ..CodecError::new("turned-back", text())
        }),
        500..=599 => Err(CodecError::new("turned-back", text())),
        _ => Ok(()),
    }
}
