//! Consul's KV store over HTTP: blocking queries by index, transactions, sessions. A blocking query tells all there is
//! below the prefix; a change between two of them that was undone again is not seen, as its documentation says.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::codec::{
    CodecError, Protocol, Reply, Request, decode, encode, index, inside, json as read, status,
};
use crate::transaction::{
    Answer, KeyValue, Lease, Precondition, PutOperation, Revision, StoreRequest,
};
use crate::watch::WatchStyle;

/// How long a query may be held: what is held shows that nothing is new, so it is short.
const HELD: u64 = 1;

pub struct Consul {
    prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Kv {
    key: String,
    #[serde(default)]
    value: Option<String>,
    create_index: u64,
    modify_index: u64,
    #[serde(default)]
    session: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TransactionResponse {
    #[serde(default)]
    results: Option<Vec<Outcome>>,
    #[serde(default)]
    errors: Option<Vec<Value>>,
}

#[derive(Deserialize)]
struct Outcome {
    #[serde(rename = "KV")]
    kv: Option<Kv>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Session {
    #[serde(rename = "ID")]
    id: String,
}

impl Consul {
    pub fn new(prefix: &str) -> Self {
        Consul {
            prefix: prefix.to_owned(),
        }
    }

    fn pair(&self, kv: Kv) -> Result<KeyValue, CodecError> {
        inside(&self.prefix, &kv.key)?;
        Ok(KeyValue {
            key: kv.key,
            value: decode(&kv.value.unwrap_or_default())?,
            made: Revision(index(kv.create_index)?),
            changed: Revision(index(kv.modify_index)?),
            lease: kv.session.filter(|session| !session.is_empty()).map(Lease),
        })
    }

    fn pairs(&self, reply: &Reply) -> Result<Vec<KeyValue>, CodecError> {
        // Nothing below the prefix, or no such key.
        if reply.status == 404 {
            return Ok(Vec::new());
        }
        status(reply)?;
        let kvs: Vec<Kv> = read(reply.body)?;
        kvs.into_iter().map(|kv| self.pair(kv)).collect()
    }
}

fn get(path: String, held: u64) -> Request {
    Request {
        method: "GET",
        path,
        body: None,
        stream: false,
        held,
    }
}

fn put(path: String, body: &Value) -> Request {
    Request {
        method: "PUT",
        path,
        body: Some(body.to_string()),
        stream: false,
        held: 0,
    }
}

/// The index of a reply; 0 and none at all are against the protocol.
fn told(reply: &Reply) -> Result<Revision, CodecError> {
    let text = reply
        .index
        .ok_or_else(|| CodecError::new("absurd-index", "none"))?;
    let number = text
        .parse()
        .map_err(|_| CodecError::new("absurd-index", text))?;
    index(number).map(Revision)
}

fn guard((key, expect): &(String, Precondition)) -> Value {
    match expect {
        Precondition::Absent => json!({"KV": {"Verb": "check-not-exists", "Key": key}}),
        Precondition::At(revision) => {
            json!({"KV": {"Verb": "check-index", "Key": key, "Index": revision.0}})
        }
        Precondition::Of(lease) => {
            json!({"KV": {"Verb": "check-session", "Key": key, "Session": lease.0}})
        }
    }
}

fn operation(put: &PutOperation) -> Value {
    match (&put.value, &put.lease) {
        (Some(value), Some(lease)) => {
            json!({"KV": {"Verb": "lock", "Key": put.key, "Value": encode(value), "Session": lease.0}})
        }
        (Some(value), None) => {
            json!({"KV": {"Verb": "set", "Key": put.key, "Value": encode(value)}})
        }
        (None, _) => json!({"KV": {"Verb": "delete", "Key": put.key}}),
    }
}

/// Keys are ours: letters, digits, slashes and dashes; anything else is spelled by its bytes.
fn path(key: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'/' | b'-' | b'_' | b'.');
    key.bytes()
        .map(|b| {
            if plain(b) {
                char::from(b).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

impl Protocol for Consul {
    fn style(&self) -> WatchStyle {
        WatchStyle::Poll
    }

    fn request(&self, ask: &StoreRequest) -> Option<Request> {
        let all = path(&self.prefix);
        Some(match ask {
            StoreRequest::Page { .. } => get(format!("/v1/kv/{all}?recurse=true"), 0),
            // No index at first, so that the query is answered at once.
            StoreRequest::Watch {
                from: Revision(0), ..
            } => get(format!("/v1/kv/{all}?recurse=true"), 0),
            StoreRequest::Watch { from, .. } => get(
                format!("/v1/kv/{all}?recurse=true&index={}&wait={HELD}s", from.0),
                HELD,
            ),
            StoreRequest::Txn { txn, .. } => {
                let guards = txn.guards.iter().map(guard);
                let operations: Vec<Value> = guards.chain(txn.puts.iter().map(operation)).collect();
                put("/v1/txn".to_owned(), &Value::Array(operations))
            }
            StoreRequest::Get { key, .. } => {
                get(format!("/v1/kv/{}?consistent=true", path(key)), 0)
            }
            StoreRequest::Grant { seconds, .. } => {
                let session =
                    json!({"TTL": format!("{seconds}s"), "LockDelay": "0s", "Behavior": "delete"});
                put("/v1/session/create".to_owned(), &session)
            }
            StoreRequest::Keep { lease, .. } => {
                put(format!("/v1/session/renew/{}", path(&lease.0)), &json!({}))
            }
            StoreRequest::Revoke { lease } => put(
                format!("/v1/session/destroy/{}", path(&lease.0)),
                &json!({}),
            ),
            StoreRequest::Look { .. } | StoreRequest::Leave { .. } | StoreRequest::WakeAt(_) => {
                return None;
            }
        })
    }

    fn reply(&self, ask: &StoreRequest, reply: &Reply) -> Result<Answer, CodecError> {
        Ok(match ask {
            StoreRequest::Watch { turn, .. } => {
                let pairs = self.pairs(reply)?;
                Answer::Whole {
                    turn: *turn,
                    revision: told(reply)?,
                    pairs,
                }
            }
            StoreRequest::Page { turn, .. } => {
                let pairs = self.pairs(reply)?;
                Answer::Page {
                    turn: *turn,
                    revision: told(reply)?,
                    pairs,
                    more: false,
                }
            }
            StoreRequest::Get { id, .. } => {
                let pair = self.pairs(reply)?.into_iter().next();
                Answer::Got {
                    id: *id,
                    revision: told(reply)?,
                    pair,
                }
            }
            StoreRequest::Txn { id, .. } => {
                if !matches!(reply.status, 200 | 409) {
                    status(reply)?;
                }
                let done: TransactionResponse = read(reply.body)?;
                let errors = done.errors.is_some_and(|errors| !errors.is_empty());
                match (reply.status, done.results) {
                    (409, _) if errors => Answer::Refused { id: *id },
                    (200, Some(results)) if !errors => {
                        let changed = results
                            .iter()
                            .filter_map(|r| Some(r.kv.as_ref()?.modify_index))
                            .max();
                        Answer::Done {
                            id: *id,
                            revision: Revision(changed.unwrap_or(0)),
                        }
                    }
                    // Good and bad at once: nobody knows what was done.
                    _ => {
                        return Err(CodecError::new(
                            "error-body",
                            String::from_utf8_lossy(reply.body),
                        ));
                    }
                }
            }
            StoreRequest::Grant { turn, .. } => {
                status(reply)?;
                let session: Session = read(reply.body)?;
                if session.id.is_empty() {
                    return Err(CodecError::new("unreadable", "a session without an id"));
                }
                Answer::Granted {
                    turn: *turn,
                    lease: Lease(session.id),
                }
            }
            StoreRequest::Keep { turn, .. } => match reply.status {
                404 => Answer::Expired { turn: *turn },
                _ => {
                    status(reply)?;
                    let kept: Vec<Session> = read(reply.body)?;
                    if kept.is_empty() {
                        Answer::Expired { turn: *turn }
                    } else {
                        Answer::Kept { turn: *turn }
                    }
                }
            },
            StoreRequest::Look { .. }
            | StoreRequest::Leave { .. }
            | StoreRequest::Revoke { .. }
            | StoreRequest::WakeAt(_) => {
                return Err(CodecError::new("unreadable", "an answer to nothing"));
            }
        })
    }

    fn piece(&self, _: &StoreRequest, _: &[u8]) -> Result<Option<Answer>, CodecError> {
        Ok(None)
    }
}
