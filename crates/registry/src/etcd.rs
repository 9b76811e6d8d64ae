//! etcd's v3 API as its JSON gateway spells it: bytes in base64, 64-bit numbers as text, absent fields for zeros.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};

use crate::codec::{
    CodecError, Protocol, Reply, Request, decode, decode_text, encode, index, inside, json as read,
    status,
};
use crate::transaction::{
    Answer, Change, KeyValue, Lease, Precondition, PutOperation, Revision, StoreRequest,
};
use crate::watch::WatchStyle;

/// Keys to a page.
const PAGE: usize = 500;
/// gRPC's codes for a revision that has been compacted, for too much at once, and for what is not there.
const OUT_OF_RANGE: u64 = 11;
const EXHAUSTED: u64 = 8;
const NOT_FOUND: u64 = 5;

pub struct Etcd {
    prefix: String,
}

/// A 64-bit number, as text or as a number.
#[derive(Clone, Copy, Debug, Default)]
struct Number(u64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Either(PhantomData<()>);
        impl Visitor<'_> for Either {
            type Value = Number;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a 64-bit number, as text or plain")
            }
            fn visit_u64<E: Error>(self, number: u64) -> Result<Number, E> {
                Ok(Number(number))
            }
            fn visit_i64<E: Error>(self, number: i64) -> Result<Number, E> {
                u64::try_from(number).map(Number).map_err(E::custom)
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Number, E> {
                text.parse().map(Number).map_err(E::custom)
            }
        }
        from.deserialize_any(Either(PhantomData))
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Header {
    revision: Number,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Kv {
    key: String,
    value: String,
    create_revision: Number,
    mod_revision: Number,
    lease: Number,
}

#[derive(Deserialize)]
struct RangeResponse {
    header: Header,
    #[serde(default)]
    kvs: Vec<Kv>,
    #[serde(default)]
    more: bool,
    /// All keys of the range, whatever else was asked of them.
    #[serde(default)]
    count: Number,
}

#[derive(Deserialize)]
struct Committed {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct LeaseGrantResponse {
    #[serde(rename = "ID")]
    id: Number,
    #[serde(rename = "TTL", default)]
    ttl: Number,
}

#[derive(Deserialize)]
struct StreamResponse<T> {
    result: Option<T>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct WatchResponse {
    header: Header,
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    compact_revision: Number,
    #[serde(default)]
    cancel_reason: String,
    #[serde(default)]
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    #[serde(rename = "type", default)]
    kind: String,
    kv: Kv,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ErrorResponse {
    code: u64,
    grpc_code: u64,
    message: String,
    error: Value,
}

/// The first key behind all that begin with this.
fn end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

impl Etcd {
    pub fn new(prefix: &str) -> Self {
        Etcd {
            prefix: prefix.to_owned(),
        }
    }

    fn pair(&self, kv: Kv) -> Result<KeyValue, CodecError> {
        let key = decode_text(&kv.key)?;
        inside(&self.prefix, &key)?;
        let lease = Some(kv.lease.0)
            .filter(|&lease| lease != 0)
            .map(|lease| Lease(lease.to_string()));
        Ok(KeyValue {
            key,
            value: decode(&kv.value)?,
            made: Revision(index(kv.create_revision.0)?),
            changed: Revision(index(kv.mod_revision.0)?),
            lease,
        })
    }

    fn pairs(&self, kvs: Vec<Kv>) -> Result<Vec<KeyValue>, CodecError> {
        kvs.into_iter().map(|kv| self.pair(kv)).collect()
    }

    fn change(&self, event: Event) -> Result<Change, CodecError> {
        if event.kind != "DELETE" {
            return self.pair(event.kv).map(Change::Put);
        }
        let key = decode_text(&event.kv.key)?;
        inside(&self.prefix, &key)?;
        Ok(Change::Gone {
            key,
            at: Revision(index(event.kv.mod_revision.0)?),
        })
    }

    fn range(&self, from: &[u8], more: Value) -> Value {
        let mut range = json!({"key": encode(from), "range_end": encode(&end(&self.prefix))});
        if let (Some(range), Value::Object(more)) = (range.as_object_mut(), more) {
            range.extend(more);
        }
        range
    }
}

fn compare((key, expect): &(String, Precondition)) -> Value {
    let key = encode(key.as_bytes());
    match expect {
        Precondition::Absent => {
            json!({"key": key, "result": "EQUAL", "target": "CREATE", "create_revision": "0"})
        }
        Precondition::At(revision) => {
            json!({"key": key, "result": "EQUAL", "target": "MOD", "mod_revision": revision.0.to_string()})
        }
        Precondition::Of(lease) => {
            json!({"key": key, "result": "EQUAL", "target": "LEASE", "lease": lease.0})
        }
    }
}

fn operation(put: &PutOperation) -> Value {
    let key = encode(put.key.as_bytes());
    match &put.value {
        Some(value) => {
            let lease = put.lease.as_ref().map_or("0", |lease| &lease.0);
            json!({"request_put": {"key": key, "value": encode(value), "lease": lease}})
        }
        None => json!({"request_delete_range": {"key": key}}),
    }
}

fn post(path: &str, body: &Value) -> Request {
    Request {
        method: "POST",
        path: path.to_owned(),
        body: Some(body.to_string()),
        stream: false,
        held: 0,
    }
}

/// What an error says, whatever status it comes with.
fn told(reply: &Reply) -> Option<ErrorResponse> {
    let error: ErrorResponse = serde_json::from_slice(reply.body).ok()?;
    (error.code != 0 || error.grpc_code != 0 || !error.error.is_null()).then_some(error)
}

impl Protocol for Etcd {
    fn style(&self) -> WatchStyle {
        WatchStyle::Stream
    }

    fn request(&self, ask: &StoreRequest) -> Option<Request> {
        Some(match ask {
            StoreRequest::Page { after, at, .. } => {
                // The next key is the same with a zero byte behind it.
                let from = after
                    .as_ref()
                    .map(|after| [after.as_bytes(), &[0]].concat());
                let from = from.unwrap_or_else(|| self.prefix.as_bytes().to_vec());
                let at = at.map_or(0, |at| at.0);
                let more = json!({"limit": PAGE.to_string(), "revision": at.to_string()});
                post("/v3/kv/range", &self.range(&from, more))
            }
            StoreRequest::Watch { from, .. } => {
                let more = json!({"start_revision": from.0.to_string(), "progress_notify": true});
                let create = self.range(self.prefix.as_bytes(), more);
                Request {
                    stream: true,
                    ..post("/v3/watch", &json!({"create_request": create}))
                }
            }
            StoreRequest::Look { since, .. } => {
                let since = (since.0 + 1).to_string();
                let more = json!({"min_mod_revision": since, "keys_only": true, "limit": "1",
                    "sort_target": "MOD", "sort_order": "DESCEND"});
                post("/v3/kv/range", &self.range(self.prefix.as_bytes(), more))
            }
            StoreRequest::Txn { txn, .. } => {
                let compare: Vec<Value> = txn.guards.iter().map(compare).collect();
                let success: Vec<Value> = txn.puts.iter().map(operation).collect();
                post(
                    "/v3/kv/txn",
                    &json!({"compare": compare, "success": success}),
                )
            }
            StoreRequest::Get { key, .. } => {
                post("/v3/kv/range", &json!({"key": encode(key.as_bytes())}))
            }
            StoreRequest::Grant { seconds, .. } => post(
                "/v3/lease/grant",
                &json!({"TTL": seconds.to_string(), "ID": "0"}),
            ),
            StoreRequest::Keep { lease, .. } => {
                post("/v3/lease/keepalive", &json!({"ID": lease.0}))
            }
            StoreRequest::Revoke { lease } => post("/v3/lease/revoke", &json!({"ID": lease.0})),
            StoreRequest::Leave { .. } | StoreRequest::WakeAt(_) => return None,
        })
    }

    fn reply(&self, ask: &StoreRequest, reply: &Reply) -> Result<Answer, CodecError> {
        if let Some(error) = told(reply) {
            let code = error.code.max(error.grpc_code);
            let text = if error.message.is_empty() {
                error.error.to_string()
            } else {
                error.message
            };
            return match ask {
                StoreRequest::Page { turn, .. } if code == OUT_OF_RANGE => Ok(Answer::Compacted {
                    turn: *turn,
                    oldest: Revision(0),
                }),
                StoreRequest::Keep { turn, .. } if code == NOT_FOUND => {
                    Ok(Answer::Expired { turn: *turn })
                }
                // Its lease is no more: it is not carried out, and never will be.
                StoreRequest::Txn { id, .. } if code == NOT_FOUND => {
                    Ok(Answer::Refused { id: *id })
                }
                _ if code == EXHAUSTED => Err(CodecError {
                    later_ms: Some(1000),
                    not_done: true,
                    ..CodecError::new("turned-back", text)
                }),
                // An error with a good status is no answer: nobody knows what was done.
                _ if reply.status == 200 => Err(CodecError::new("error-body", text)),
                _ => Err(status(reply)
                    .err()
                    .unwrap_or_else(|| CodecError::new("turned-back", text))),
            };
        }
        status(reply)?;
        let revision = |header: &Header| index(header.revision.0).map(Revision);
        Ok(match ask {
            StoreRequest::Page { turn, .. } => {
                let ranged: RangeResponse = read(reply.body)?;
                let revision = revision(&ranged.header)?;
                Answer::Page {
                    turn: *turn,
                    revision,
                    more: ranged.more,
                    pairs: self.pairs(ranged.kvs)?,
                }
            }
            StoreRequest::Look { turn, .. } => {
                let ranged: RangeResponse = read(reply.body)?;
                let revision = revision(&ranged.header)?;
                let newest = ranged
                    .kvs
                    .first()
                    .map(|kv| index(kv.mod_revision.0).map(Revision))
                    .transpose()?;
                Answer::Looked {
                    turn: *turn,
                    revision,
                    newest,
                    count: ranged.count.0,
                }
            }
            StoreRequest::Txn { id, .. } => {
                let done: Committed = read(reply.body)?;
                let revision = revision(&done.header)?;
                if done.succeeded {
                    Answer::Done { id: *id, revision }
                } else {
                    Answer::Refused { id: *id }
                }
            }
            StoreRequest::Get { id, .. } => {
                let ranged: RangeResponse = read(reply.body)?;
                let revision = revision(&ranged.header)?;
                Answer::Got {
                    id: *id,
                    revision,
                    pair: self.pairs(ranged.kvs)?.into_iter().next(),
                }
            }
            StoreRequest::Grant { turn, .. } => {
                let granted: LeaseGrantResponse = read(reply.body)?;
                Answer::Granted {
                    turn: *turn,
                    lease: Lease(index(granted.id.0)?.to_string()),
                }
            }
            StoreRequest::Keep { turn, .. } => {
                let kept: StreamResponse<LeaseGrantResponse> = read(reply.body)?;
                let alive = kept.result.is_some_and(|kept| kept.ttl.0 > 0);
                if alive {
                    Answer::Kept { turn: *turn }
                } else {
                    Answer::Expired { turn: *turn }
                }
            }
            StoreRequest::Watch { .. }
            | StoreRequest::Leave { .. }
            | StoreRequest::Revoke { .. }
            | StoreRequest::WakeAt(_) => {
                return Err(CodecError::new("unreadable", "an answer to nothing"));
            }
        })
    }

    fn piece(&self, ask: &StoreRequest, line: &[u8]) -> Result<Option<Answer>, CodecError> {
        let StoreRequest::Watch { turn, .. } = ask else {
            return Ok(None);
        };
        let turn = *turn;
        if line.trim_ascii().is_empty() {
            return Ok(None);
        }
        let told: StreamResponse<WatchResponse> = read(line)?;
        let Some(watched) = told.result else {
            return Err(CodecError::new(
                "turned-back",
                told.error.unwrap_or_default(),
            ));
        };
        if watched.compact_revision.0 > 0 {
            let oldest = Revision(index(watched.compact_revision.0)?);
            return Ok(Some(Answer::Compacted { turn, oldest }));
        }
        if watched.canceled {
            return Err(CodecError::new("turned-back", watched.cancel_reason));
        }
        if watched.created {
            return Ok(Some(Answer::Begun { turn }));
        }
        let revision = Revision(index(watched.header.revision.0)?);
        let changes = watched.events.into_iter().map(|event| self.change(event));
        Ok(Some(Answer::Changes {
            turn,
            revision,
            changes: changes.collect::<Result<_, _>>()?,
        }))
    }
}
