//! The registry in the spelling of Consul's HTTP API.

use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};

use super::store::{Guard, Kv, Operation, Store};
use super::{Reply, Shared, locked};

fn session(lease: u64) -> String {
    format!("00000000-0000-0000-0000-{lease:012x}")
}

fn lease(session: &str) -> u64 {
    session
        .rsplit('-')
        .next()
        .and_then(|part| u64::from_str_radix(part, 16).ok())
        .unwrap_or(0)
}

fn kv(key: &str, kv: &Kv) -> Value {
    let value = if kv.value.is_empty() {
        Value::Null
    } else {
        json!(BASE64_STANDARD.encode(&kv.value))
    };
    let mut told = json!({"LockIndex": 0, "Key": key, "Flags": 0, "Value": value, "CreateIndex": kv.made,
        "ModifyIndex": kv.changed});
    if kv.lease != 0 {
        told["Session"] = json!(session(kv.lease));
    }
    told
}

fn good(value: &Value) -> Reply {
    Reply::Whole(200, None, value.to_string())
}

fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|(_, value)| value)
}

fn seen(store: &Store, key: &str, recurse: bool) -> (u64, Vec<(String, Kv)>) {
    let here = |k: &str| {
        if recurse {
            k.starts_with(key)
        } else {
            k == key
        }
    };
    let all = store
        .keys
        .iter()
        .filter(|(k, _)| here(k))
        .map(|(k, kv)| (k.clone(), kv.clone()))
        .collect();
    // Its index is never 0, and moves with every change anywhere: spurious answers are allowed.
    (store.revision.max(1), all)
}

async fn read(shared: &Shared, key: &str, asked: &str) -> Reply {
    let recurse = query(asked, "recurse").is_some();
    let index = query(asked, "index").and_then(|index| index.parse::<u64>().ok());
    if let Some(index) = index {
        let wait = query(asked, "wait")
            .and_then(|wait| wait.strip_suffix('s')?.parse().ok())
            .unwrap_or(300);
        let newer = async {
            loop {
                let changed = shared.changed.notified();
                if locked(&shared.store).revision != index {
                    return;
                }
                changed.await;
            }
        };
        let _ = actix_rt::time::timeout(Duration::from_secs(wait), newer).await;
    }
    let (index, all) = seen(&locked(&shared.store), key, recurse);
    let told: Vec<Value> = all.iter().map(|(key, one)| kv(key, one)).collect();
    if told.is_empty() {
        return Reply::Whole(404, Some(index), String::new());
    }
    Reply::Whole(200, Some(index), Value::Array(told).to_string())
}

fn txn(shared: &Shared, body: &[u8]) -> Option<Reply> {
    let asked: Vec<Value> = serde_json::from_slice(body).ok()?;
    if asked.len() > 64 {
        return Some(Reply::Whole(
            413,
            None,
            "Transaction contains too many operations".to_owned(),
        ));
    }
    let (mut guards, mut operations, mut places) = (Vec::new(), Vec::new(), Vec::new());
    for (place, op) in asked.iter().enumerate() {
        let op = &op["KV"];
        let key = op["Key"].as_str()?.to_owned();
        let value = || {
            BASE64_STANDARD
                .decode(op["Value"].as_str().unwrap_or_default())
                .ok()
        };
        let of = lease(op["Session"].as_str().unwrap_or_default());
        match op["Verb"].as_str()? {
            "check-not-exists" => guards.push(Guard::Absent(key)),
            "check-index" => guards.push(Guard::At(key, op["Index"].as_u64()?)),
            "check-session" => guards.push(Guard::Of(key, of)),
            "set" => operations.push(Operation::Put {
                key,
                value: value()?,
                lease: 0,
            }),
            "lock" => operations.push(Operation::Put {
                key,
                value: value()?,
                lease: of,
            }),
            "delete" => operations.push(Operation::Delete { key }),
            _ => return None,
        }
        places.push(place);
    }
    let locks: Vec<String> = operations
        .iter()
        .filter_map(|op| match op {
            Operation::Put { key, lease, .. } if *lease != 0 => Some(key.clone()),
            _ => None,
        })
        .collect();
    let done = shared.change(|store| {
        // A key that another session holds can't be locked.
        let held = |key: &String| {
            let mine = operations.iter().any(|op| {
                matches!(op, Operation::Put { key: k, lease, .. }
                    if k == key && store.keys.get(k).is_some_and(|kv| kv.lease == *lease))
            });
            store.keys.get(key).is_some_and(|kv| kv.lease != 0) && !mine
        };
        if locks.iter().any(held) {
            Err(0)
        } else {
            store.txn(&guards, &operations)
        }
    });
    let store = locked(&shared.store);
    Some(match done {
        Ok(_) => {
            let result = |op: &Operation| match op {
                Operation::Put { key, .. } => {
                    store.keys.get(key).map(|one| json!({"KV": kv(key, one)}))
                }
                Operation::Delete { .. } => None,
            };
            good(
                &json!({"Results": operations.iter().filter_map(result).collect::<Vec<_>>(), "Errors": null}),
            )
        }
        Err(at) => {
            let errors = json!([{"OpIndex": at, "What": "failed check"}]);
            Reply::Whole(
                409,
                None,
                json!({"Results": null, "Errors": errors}).to_string(),
            )
        }
    })
}

pub(super) async fn answer(
    shared: &Shared,
    method: &str,
    path: &str,
    asked: &str,
    body: &[u8],
) -> Reply {
    let told: Value = serde_json::from_slice(body).unwrap_or_default();
    let reply = match (method, path) {
        ("GET", path) if path.starts_with("/v1/kv/") => Some(read(shared, &path[7..], asked).await),
        ("PUT", "/v1/txn") => txn(shared, body),
        ("PUT", "/v1/session/create") => {
            let seconds = told["TTL"]
                .as_str()
                .and_then(|ttl| ttl.strip_suffix('s')?.parse().ok());
            seconds.map(|seconds: f64| {
                let lease = shared.change(|store| store.grant(seconds));
                good(&json!({"ID": session(lease)}))
            })
        }
        ("PUT", path) if path.starts_with("/v1/session/renew/") => {
            let id = &path["/v1/session/renew/".len()..];
            let kept = shared.change(|store| store.keep(lease(id)));
            Some(match kept {
                Some(_) => good(&json!([{"ID": id}])),
                None => Reply::Whole(404, None, format!("Session id '{id}' not found")),
            })
        }
        ("PUT", path) if path.starts_with("/v1/session/destroy/") => {
            let id = lease(&path["/v1/session/destroy/".len()..]);
            shared.change(|store| store.revoke(id));
            Some(good(&json!(true)))
        }
        _ => Some(Reply::Whole(404, None, String::new())),
    };
    reply.unwrap_or_else(|| Reply::Whole(400, None, "no such request".to_owned()))
}
