//! The shipping proxy between scripted clients and scripted tasks, from a seed: each caller gets its own
//! answer or an error, what may run once reaches tasks once, a promise holds, nothing waits for ever.
//!
//! `LYNXMILL_EXCHANGES` sets the number of exchanges, `LYNXMILL_SEED` the seed.

mod client;
mod edge;
mod ledger;
mod task;
#[path = "../wire/mod.rs"]
mod wire;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use client::Client;
use edge::Edge;
use ledger::{Chance, Ledger};
use task::Shared;
use wire::Wire;

/// Clients at a time, and tasks.
const CLIENTS: usize = 32;
const TASKS: usize = 4;
/// Far more than the half a second that a request has.
const MOST_FOR_BODY: Duration = Duration::from_secs(3);
/// Exchanges in one life of a proxy.
const LIFE: usize = 2_000;

fn told(name: &str, usual: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(usual)
}

/// Panics so far: one in the proxy ends just the task that met it, and its client sees a close.
static PANICS: AtomicUsize = AtomicUsize::new(0);

fn count_panics() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        usual(panic);
    }));
}

/// One life of the proxy; how many exchanges were begun.
async fn life(seed: u64, exchanges: usize, seen: &mut BTreeMap<String, usize>) -> usize {
    let ledger: Shared = Rc::new(RefCell::new(Ledger::default()));
    let mut tasks = Vec::new();
    for n in 0..TASKS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        tasks.push((
            format!("i-{n}"),
            listener.local_addr().expect("an address").to_string(),
        ));
        spawn_local(task::run(seed, listener, ledger.clone()));
    }
    let edge = Edge::start(tasks).await;
    let begun = Rc::new(Cell::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let name = format!("{seed}-{n}");
            let chance = Chance::new(seed, &name);
            let mut client = Client {
                name,
                edge: edge.address.clone(),
                ledger: ledger.clone(),
                chance,
                made: 0,
            };
            let begun = begun.clone();
            spawn_local(async move {
                while begun.get() < exchanges {
                    let more = client.connection().await;
                    begun.set(begun.get() + more);
                }
            })
        })
        .collect();
    for client in clients {
        client.await.expect("a client that stands");
    }
    for (what, count) in edge.end() {
        *seen.entry(format!("edge {what}")).or_default() += count as usize;
    }
    let ledger = ledger.replace(Ledger::default());
    for (what, count) in &ledger.seen {
        *seen.entry(what.clone()).or_default() += count;
    }
    let broken = ledger.judge();
    let shown = broken
        .iter()
        .take(10)
        .cloned()
        .collect::<Vec<_>>()
        .join("\n");
    assert!(
        broken.is_empty(),
        "seed {seed}, {} broken:\n{shown}\n{seen:?}",
        broken.len()
    );
    assert_eq!(
        PANICS.load(Ordering::Relaxed),
        0,
        "seed {seed}: something panicked"
    );
    begun.get()
}

#[test]
fn callers_get_their_own_answers_and_what_may_run_once_is_sent_once() {
    let (exchanges, seed) = (
        told("LYNXMILL_EXCHANGES", 10_000) as usize,
        told("LYNXMILL_SEED", 1),
    );
    let (mut played, mut seen, began) = (0, BTreeMap::new(), Instant::now());
    count_panics();
    for seed in seed.. {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let most = LIFE.min(exchanges - played);
        played += tokio::task::LocalSet::new().block_on(&runtime, life(seed, most, &mut seen));
        if played >= exchanges {
            break;
        }
    }
    println!(
        "{played} exchanges in {:.1} s: {seen:?}",
        began.elapsed().as_secs_f64()
    );
    // Enough was served for the rest to say something.
    let served = seen.get("200 sealed").copied().unwrap_or(0);
    assert!(served * 3 > played, "{served} served of {played}: {seen:?}");
}

#[test]
fn a_body_that_comes_byte_by_byte_is_left_at_its_requests_deadline() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let edge = Edge::start(Vec::new()).await;
        let mut wire = Wire::new(TcpStream::connect(&edge.address).await.expect("the edge"));
        let head =
            "POST /upload/a HTTP/1.1\r\nHost: h\r\nLynxmill-Attempt-Id: a\r\nContent-Length: 900\r\n\r\n";
        wire.stream.write_all(head.as_bytes()).await.expect("an open connection");
        let began = Instant::now();
        let mut pace = tokio::time::interval(Duration::from_millis(100));
        let answer = loop {
            tokio::select! {
                answer = wire.next() => break answer.expect("an answer"),
                _ = pace.tick() => assert!(began.elapsed() < MOST_FOR_BODY, "still waited for"),
            }
            // The edge may have closed already; its answer is still there.
            let _ = wire.stream.write_all(b"x").await;
        };
        assert!(answer.line.starts_with("HTTP/1.1 408 "), "{}", answer.line);
        edge.end();
    });
}
