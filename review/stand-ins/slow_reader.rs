//! LOST: an edge is told to end while it writes an answer to a client on a slow link.

use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::clients::next_attempt;
use crate::http::{self, Buffer};
use crate::record::Record;
use crate::site::{GRACE_S, SECOND, SIGTERM, Site};
use crate::task::Task;

const CONFIGURATION: &str = r#"{"Upsert":{"Routes":[
{"Name":"r-read","Host":"bank.example","PathPrefix":"/read/","RouteKind":"idempotent","TimeoutS":10,"TargetS":6,"Priority":2,"Service":"opdrachtbank","MaxAttempts":2,"HomeRegions":[],"Version":"00000001"},
{"Name":"r-send","Host":"bank.example","PathPrefix":"/send/","RouteKind":"non_idempotent","TimeoutS":10,"TargetS":6,"Priority":1,"Service":"opdrachtbank","MaxAttempts":2,"HomeRegions":[],"Version":"00000001"}],
"Services":[{"Name":"opdrachtbank","HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":3.9,"Version":"00000001"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15,"Version":"00000001"}},"Remove":{"Routes":[]}}"#;

/// The answer, and how fast the client's link carries it: 4 MB at 800 KB/s, done within `GraceS`.
const ANSWER_BYTES: usize = 4_000_000;
const WINDOW: i32 = 16 << 10;
const PIECE: usize = 16_000;
const PIECE_TIME: Duration = Duration::from_millis(20);
const DEADLINE_MS: u64 = 10_000;

struct Outcome {
    method: &'static str,
    attempt: String,
    status: u16,
    expected: usize,
    got: usize,
    took: Duration,
}

/// Reads at the pace of its link, whatever else happens; None if there is no answer at all.
fn read_slowly(front: &str, method: &'static str, path: &str, record: &Record) -> std::io::Result<Outcome> {
    let attempt = next_attempt();
    let headers = [
        ("Lynxmill-Attempt-Id", attempt.clone()),
        ("Lynxmill-Deadline-Ms", DEADLINE_MS.to_string()),
        ("Stand-In-Answer-Bytes", ANSWER_BYTES.to_string()),
    ];
    let mut stream = http::connect_over_link(front, WINDOW)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let body: &[u8] = if method == "POST" { b"a submission" } else { b"" };
    let sent = Instant::now();
    stream.write_all(&http::request(method, path, "bank.example", &headers, body))?;
    record.line(format!("client sent {attempt} {method} {path} to {front}"));
    let mut buffer = Buffer::default();
    let ended = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    let head = buffer.head(&mut stream)?.ok_or_else(ended)?;
    record.line(format!("client got the head of the answer to {attempt}: {}", head.first));
    let expected = head.length().unwrap_or(0);
    let mut got = buffer.len();
    let mut piece = vec![0u8; PIECE];
    let begun = Instant::now();
    let mut pieces = 0u32;
    while got < expected {
        let wanted = PIECE.min(expected - got);
        match stream.read(&mut piece[..wanted]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(error) => {
                record.line(format!("client of {attempt}: {error}"));
                break;
            }
        }
        // So many bytes take so much time on the link.
        let due = PIECE_TIME.mul_f64(got as f64 / PIECE as f64);
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
        pieces += 1;
        if pieces % 50 == 0 {
            record.line(format!("client of {attempt} has {got} of {expected} bytes"));
        }
    }
    let took = sent.elapsed();
    record.line(format!("client of {attempt} ends with {got} of {expected} bytes after {:.3} s", took.as_secs_f64()));
    Ok(Outcome { method, attempt, status: head.status(), expected, got, took })
}

pub fn run(root: &Path, trouble: bool, record: &Record) -> Result<bool, String> {
    let mut site = Site::start(root, 2, record)?;
    let mut tasks = Vec::new();
    for (n, zone) in ["ams-hal1", "ens-hal1", "rtm-hal2", "arn-hal2"].iter().enumerate() {
        let id = format!("i-task-{}", n + 1);
        tasks.push(Task::start(&id, "opdrachtbank", zone, false, &site.task_ip(n), site.controls(), record)?);
    }
    site.configure(CONFIGURATION, record)?;
    site.wait_ready()?;
    let front = site.front(0);
    site.wait("a request is served", Duration::from_secs(20), || {
        let headers = [("Lynxmill-Attempt-Id", next_attempt()), ("Lynxmill-Deadline-Ms", "1000".to_owned())];
        http::call(&front, "GET", "/read/first", "bank.example", &headers, b"", SECOND).is_ok_and(|a| a.status == 200)
    })?;
    // No unplanned trouble for longer than ContactS before the requests.
    std::thread::sleep(Duration::from_secs(6));
    let kinds = [("GET", "/read/page"), ("POST", "/send/work")];
    let readers: Vec<_> = kinds
        .into_iter()
        .map(|(method, path)| {
            let (front, record) = (front.clone(), record.clone());
            std::thread::spawn(move || read_slowly(&front, method, path, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let told = Instant::now();
    if trouble {
        record.tell("SIGTERM to edge-1");
        site.edges[0].signal(SIGTERM);
    }
    let mut gone = None;
    while readers.iter().any(|r| !r.is_finished()) {
        if gone.is_none() && site.edges[0].has_ended() {
            gone = Some(told.elapsed());
            record.tell(format!("edge-1 has ended {:.3} s after the SIGTERM", told.elapsed().as_secs_f64()));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut held = true;
    for reader in readers {
        let outcome = reader.join().map_err(|_| "a client failed")?.map_err(|e| format!("no answer: {e}"))?;
        let whole = outcome.got == outcome.expected && outcome.expected == ANSWER_BYTES;
        let bytes = format!("{} of {} bytes after {:.3} s", outcome.got, outcome.expected, outcome.took.as_secs_f64());
        record.tell(format!("{} {}: {}, {bytes}", outcome.method, outcome.attempt, outcome.status));
        if outcome.status != 200 {
            return Err("the request was not served".to_owned());
        }
        let ran: u32 = tasks.iter().filter_map(|t| crate::task::lock(&t.0.runs).get(&outcome.attempt).copied()).sum();
        if !whole && outcome.took < Duration::from_secs_f64(GRACE_S) && ran > 0 {
            held = false;
            record.tell(format!("LOST: {} ran, and its answer was cut by the edge", outcome.attempt));
        }
    }
    Ok(held)
}
