//! The registry in the spelling of etcd's JSON gateway.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};

use super::store::{Guard, Kv, Operation, Store};
use super::{Reply, Shared, locked};

/// A watch from a revision on.
pub(super) struct Watch {
    prefix: String,
    next: u64,
    begun: bool,
    pub ended: bool,
}

fn encode(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

fn text(of: &Value) -> Option<String> {
    String::from_utf8(BASE64_STANDARD.decode(of.as_str()?).ok()?).ok()
}

fn number(of: &Value) -> u64 {
    of.as_u64()
        .or_else(|| of.as_str()?.parse().ok())
        .unwrap_or(0)
}

fn kv(key: &str, kv: &Kv) -> Value {
    let mut told = json!({"key": encode(key.as_bytes()), "create_revision": kv.made.to_string(),
        "mod_revision": kv.changed.to_string(), "version": "1"});
    if !kv.value.is_empty() {
        told["value"] = json!(encode(&kv.value));
    }
    if kv.lease != 0 {
        told["lease"] = json!(kv.lease.to_string());
    }
    told
}

fn header(revision: u64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

/// What all keys of a range begin with, as its end tells.
fn prefix(from: &str, end: &str) -> String {
    let mut last = end.as_bytes().to_vec();
    match last.last_mut() {
        Some(byte) if *byte > 0 => *byte -= 1,
        _ => return from.to_owned(),
    }
    String::from_utf8(last).unwrap_or_default()
}

impl Watch {
    /// What there is to tell by now.
    pub(super) fn lines(&mut self, store: &Store) -> Vec<String> {
        let mut lines = Vec::new();
        let mut tell = |result: Value| lines.push(format!("{}\n", json!({"result": result})));
        if !std::mem::replace(&mut self.begun, true) {
            tell(json!({"header": header(store.revision), "watch_id": "0", "created": true}));
        }
        match store.since(&self.prefix, self.next) {
            Err(oldest) => {
                tell(
                    json!({"header": header(store.revision), "watch_id": "0", "canceled": true,
                    "compact_revision": oldest.to_string()}),
                );
                self.ended = true;
            }
            Ok(changes) => {
                let events: Vec<Value> = changes
                    .iter()
                    .map(|(at, key, now)| match now {
                        Some(now) => json!({"kv": kv(key, now)}),
                        None => json!({"type": "DELETE",
                            "kv": {"key": encode(key.as_bytes()), "mod_revision": at.to_string()}}),
                    })
                    .collect();
                if !events.is_empty() {
                    tell(
                        json!({"header": header(store.revision), "watch_id": "0", "events": events}),
                    );
                }
                self.next = self.next.max(store.revision + 1);
            }
        }
        lines
    }
}

fn good(value: &Value) -> Reply {
    Reply::Whole(200, None, value.to_string())
}

fn bad(status: u16, code: u64, message: &str) -> Reply {
    Reply::Whole(
        status,
        None,
        json!({"error": message, "code": code, "message": message}).to_string(),
    )
}

fn range(shared: &Shared, asked: &Value) -> Option<Reply> {
    let from = text(&asked["key"])?;
    let store = locked(&shared.store);
    let (limit, mut at) = (number(&asked["limit"]) as usize, number(&asked["revision"]));
    let Some(end) =
        text(&asked["range_end"]).or_else(|| asked["range_end"].as_str().map(|_| String::new()))
    else {
        let one = store.keys.get(&from).map(|one| kv(&from, one));
        let kvs: Vec<Value> = one.into_iter().collect();
        return Some(good(
            &json!({"header": header(store.revision), "kvs": kvs, "count": kvs.len().to_string()}),
        ));
    };

    let stale = at == 0 && shared.strikes(|faults| faults.stale);
    let revision = if stale {
        store.revision.saturating_sub(3).max(store.compacted).max(1)
    } else {
        store.revision
    };
    if stale {
        at = revision;
    }
    let newer = number(&asked["min_mod_revision"]);
    if newer > 0 {
        // Its count is that of all keys of the range.
        let (count, first) = store.newer(&prefix(&from, &end), newer);
        let kvs: Vec<Value> = first.iter().map(|(key, one)| kv(key, one)).collect();
        let told =
            json!({"header": header(store.revision), "kvs": kvs, "count": count.to_string()});
        return Some(good(&told));
    }
    let most = if limit == 0 { usize::MAX } else { limit + 1 };
    let Some(mut all) = store.range(&from, &prefix(&from, &end), at, most) else {
        return Some(bad(
            400,
            11,
            "etcdserver: mvcc: required revision has been compacted",
        ));
    };
    let count = all.len();
    let more = limit > 0 && count > limit;
    if more {
        all.truncate(limit);
    }
    let kvs: Vec<Value> = all.iter().map(|(key, one)| kv(key, one)).collect();
    Some(good(
        &json!({"header": header(revision), "kvs": kvs, "more": more, "count": count.to_string()}),
    ))
}

fn guard(asked: &Value) -> Option<Guard> {
    let key = text(&asked["key"])?;
    Some(match asked["target"].as_str()? {
        "CREATE" if number(&asked["create_revision"]) == 0 => Guard::Absent(key),
        "MOD" => Guard::At(key, number(&asked["mod_revision"])),
        "LEASE" => Guard::Of(key, number(&asked["lease"])),
        _ => return None,
    })
}

fn operation(asked: &Value) -> Option<Operation> {
    if let Some(put) = asked.get("request_put") {
        let value = BASE64_STANDARD.decode(put["value"].as_str()?).ok()?;
        return Some(Operation::Put {
            key: text(&put["key"])?,
            value,
            lease: number(&put["lease"]),
        });
    }
    Some(Operation::Delete {
        key: text(&asked["request_delete_range"]["key"])?,
    })
}

fn txn(shared: &Shared, asked: &Value) -> Option<Reply> {
    let list = |key: &str| asked[key].as_array().cloned().unwrap_or_default();
    let guards: Vec<Guard> = list("compare").iter().map(guard).collect::<Option<_>>()?;
    let operations: Vec<Operation> = list("success")
        .iter()
        .map(operation)
        .collect::<Option<_>>()?;
    if guards.len() > 128 || operations.len() > 128 {
        return Some(bad(
            400,
            3,
            "etcdserver: too many operations in txn request",
        ));
    }
    let done = shared.change(|store| store.txn(&guards, &operations));
    Some(match done {
        Ok(revision) => good(&json!({"header": header(revision), "succeeded": true})),
        Err(at) if at >= guards.len() => bad(404, 5, "etcdserver: requested lease not found"),
        Err(_) => good(&json!({"header": header(locked(&shared.store).revision)})),
    })
}

pub(super) fn answer(shared: &Shared, path: &str, body: &[u8]) -> Reply {
    let asked: Value = serde_json::from_slice(body).unwrap_or_default();
    let lease = number(&asked["ID"]);
    let reply = match path {
        "/v3/kv/range" => range(shared, &asked),
        "/v3/kv/txn" => txn(shared, &asked),
        "/v3/watch" => {
            let create = &asked["create_request"];
            text(&create["key"]).map(|from| {
                let start = number(&create["start_revision"]);
                let next = if start == 0 {
                    locked(&shared.store).revision + 1
                } else {
                    start
                };
                let end = text(&create["range_end"]).unwrap_or_default();
                Reply::Stream(Watch {
                    prefix: prefix(&from, &end),
                    next,
                    begun: false,
                    ended: false,
                })
            })
        }
        "/v3/lease/grant" => {
            let seconds = number(&asked["TTL"]);
            let lease = shared.change(|store| store.grant(seconds as f64));
            let revision = locked(&shared.store).revision;
            Some(good(
                &json!({"header": header(revision), "ID": lease.to_string(), "TTL": seconds.to_string()}),
            ))
        }
        "/v3/lease/keepalive" => {
            let kept = shared
                .change(|store| store.keep(lease))
                .map_or(0, |lasts| lasts.as_secs());
            let mut told =
                json!({"header": header(locked(&shared.store).revision), "ID": lease.to_string()});
            if kept > 0 {
                told["TTL"] = json!(kept.to_string());
            }
            Some(good(&json!({"result": told})))
        }
        "/v3/lease/revoke" => {
            shared.change(|store| store.revoke(lease));
            Some(good(
                &json!({"header": header(locked(&shared.store).revision)}),
            ))
        }
        _ => Some(bad(404, 5, "Not Found")),
    };
    reply.unwrap_or_else(|| bad(400, 3, "no such request"))
}
