//! Stand-ins for clients: a steady stream of requests through the edges, each try with an id of its own.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::task::lock;

/// One answered or unanswered request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub status: u16,
}

#[derive(Clone, Debug)]
pub struct Kind {
    pub method: &'static str,
    pub path: &'static str,
    pub host: &'static str,
    pub sharded: bool,
    pub work_ms: u64,
    pub deadline_ms: u64,
    pub body_bytes: usize,
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

static LAST: AtomicU64 = AtomicU64::new(0);

pub fn next_attempt() -> String {
    let n = LAST.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{:08x}{n:08x}", std::process::id())
}

/// A number that looks random, the same in each run.
fn mixed(n: u64) -> u64 {
    let x = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 20
}

impl Clients {
    /// `each`: threads of a kind; every one sends a request, waits for its answer and pauses.
    pub fn start(fronts: &[String], kinds: &[Kind], each: usize, pause: Duration, record: &Record) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for (k, kind) in kinds.iter().enumerate() {
            for n in 0..each {
                let (fronts, kind, stop, sent, record) =
                    (fronts.to_vec(), kind.clone(), stop.clone(), sent.clone(), record.clone());
                threads.push(std::thread::spawn(move || {
                    let mut turn = (k * 1000 + n) as u64 * 7_000_003;
                    while !stop.load(Ordering::SeqCst) {
                        turn += 1;
                        let front = &fronts[mixed(turn) as usize % fronts.len()];
                        one(front, &kind, mixed(turn + 17) % 65536, &sent, &record);
                        std::thread::sleep(pause);
                    }
                }));
            }
        }
        Clients { stop, sent, threads }
    }

    pub fn end(mut self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|t| drop(t.join()));
        lock(&self.sent).clone()
    }
}

fn one(front: &str, kind: &Kind, key: u64, all: &Mutex<Vec<Sent>>, record: &Record) {
    let attempt = next_attempt();
    let mut headers = vec![
        ("Lynxmill-Attempt-Id", attempt.clone()),
        ("Lynxmill-Deadline-Ms", kind.deadline_ms.to_string()),
        ("Stand-In-Work-Ms", kind.work_ms.to_string()),
    ];
    if kind.sharded {
        headers.push(("Lynxmill-Shard-Key", key.to_string()));
    }
    let body = vec![b'x'; kind.body_bytes];
    let sent = Instant::now();
    let patience = Duration::from_millis(kind.deadline_ms);
    record.line(format!("client sends {attempt} {} {} key {key} to {front}", kind.method, kind.path));
    let answer = http::call(front, kind.method, kind.path, kind.host, &headers, &body, patience);
    let status = answer.as_ref().map_or(0, |a| a.status);
    record.line(format!("client got {status} for {attempt} after {:.3} s", sent.elapsed().as_secs_f64()));
    lock(all).push(Sent { status });
}
