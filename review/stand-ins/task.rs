//! A stand-in for a task: serves requests, beats, holds keys as they are granted, and leaves as the pages say.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Buffer};
use crate::json::Json;
use crate::record::Record;
use crate::site::{BEAT, DRAIN_S, SECOND};

pub const KEYS: usize = 1 << 16;
const SLOTS: usize = 4;
/// After keys were let go, and while a lost beat is sent again.
const SOON: Duration = Duration::from_millis(50);
/// A grant that took longer than this on its way is not judged.
const PROMPT: Duration = Duration::from_millis(300);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a task comes to its planned end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaves {
    /// It says `draining`, serves on for `DrainS` and a little, sends DELETE and ends.
    Draining,
    /// It sends DELETE first, serves on as long, and ends.
    SignOffFirst,
}

pub struct Keys {
    pub held: Vec<u64>,
    seen: Vec<u64>,
    pub until: Instant,
    /// The last grant came in promptly, so that it is judged.
    pub prompt: bool,
    /// Requests at work here, by key.
    pub working: BTreeMap<usize, usize>,
}

impl Keys {
    pub fn holds(&self, key: usize, now: Instant) -> bool {
        self.held[key] > 0 && now < self.until
    }

    /// Runs of keys under one fence. What is worked on is still held.
    fn rows(&self) -> Vec<(usize, usize, u64)> {
        let mut rows: Vec<(usize, usize, u64)> = Vec::new();
        for (key, fence) in self.held.iter().enumerate().filter(|(_, fence)| **fence > 0) {
            match rows.last_mut() {
                Some((_, to, last)) if *to + 1 == key && last == fence => *to = key,
                _ => rows.push((key, key, *fence)),
            }
        }
        rows
    }
}

pub struct State {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: String,
    sharded: bool,
    pub keys: Mutex<Keys>,
    running: Mutex<usize>,
    /// How often each try ran here.
    pub runs: Mutex<BTreeMap<String, u32>>,
    pub up: AtomicBool,
    pub arrivals: AtomicU64,
    leaves: Mutex<Option<Leaves>>,
    /// Since when a DELETE or a drain is acknowledged.
    pub leaving_since: Mutex<Option<Instant>>,
    controls: Vec<String>,
    record: Record,
}

pub struct Task(pub Arc<State>);

impl Task {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        sharded: bool,
        ip: &str,
        controls: Vec<String>,
        record: &Record,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|e| format!("{ip}: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
        let state = Arc::new(State {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            sharded,
            keys: Mutex::new(Keys {
                held: vec![0; KEYS],
                seen: vec![0; KEYS],
                until: Instant::now(),
                prompt: true,
                working: BTreeMap::new(),
            }),
            running: Mutex::new(0),
            runs: Mutex::new(BTreeMap::new()),
            up: AtomicBool::new(true),
            arrivals: AtomicU64::new(0),
            leaves: Mutex::new(None),
            leaving_since: Mutex::new(None),
            controls,
            record: record.clone(),
        });
        record.line(format!("task {id} of {service} in {zone} starts at {}", state.address));
        let serving = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !serving.is_up() {
                    return;
                }
                let state = serving.clone();
                std::thread::spawn(move || drop(state.serve(stream)));
            }
        });
        let beating = state.clone();
        std::thread::spawn(move || Beats::new(beating).run());
        Ok(Task(state))
    }

    pub fn leave(&self, how: Leaves) {
        *lock(&self.0.leaves) = Some(how);
    }
}

impl State {
    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    pub fn held_count(&self) -> usize {
        let keys = lock(&self.keys);
        if Instant::now() >= keys.until {
            return 0;
        }
        keys.held.iter().filter(|fence| **fence > 0).count()
    }

    fn answer(&self, to: &mut TcpStream, status: &str, attempt: &str, extra: &[(&str, String)], body: &[u8]) -> std::io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        if !attempt.is_empty() {
            text.push_str(&format!("Lynxmill-Attempt-Id: {attempt}\r\n"));
        }
        let load = *lock(&self.running);
        text.push_str(&format!("Lynxmill-Instance-Load: {load},0,{SLOTS}\r\n"));
        for (name, value) in extra {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        to.write_all(text.as_bytes())?;
        to.write_all(body)
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Buffer::default();
        while let Some(head) = buffer.head(&mut stream)? {
            let body = buffer.body(&mut stream, &head, false)?;
            if !self.is_up() {
                return Ok(());
            }
            let line = head.first.clone();
            let attempt = head.header("Lynxmill-Attempt-Id").unwrap_or_default().to_owned();
            let not_run = [("Lynxmill-Not-Executed", "1".to_owned())];
            if line.contains(" /health ") {
                let id = [("Lynxmill-Instance-Id", self.id.clone())];
                self.answer(&mut stream, "200 OK", "", &id, b"")?;
                continue;
            }
            if attempt.is_empty() {
                self.answer(&mut stream, "400 Bad Request", "", &not_run, b"")?;
                continue;
            }
            if head.header("Lynxmill-Expect-Instance").is_some_and(|expected| expected != self.id) {
                self.record.line(format!("{} turns {attempt} away: another task is expected", self.id));
                self.answer(&mut stream, "421 Misdirected Request", &attempt, &not_run, b"")?;
                continue;
            }
            let number = |name: &str| head.header(name).and_then(|v| v.parse::<u64>().ok());
            let key = number("Lynxmill-Shard-Key").map(|k| k as usize % KEYS);
            if self.sharded {
                let mut keys = lock(&self.keys);
                let Some(key) = key.filter(|k| keys.holds(*k, Instant::now())) else {
                    drop(keys);
                    self.record.line(format!("{} turns {attempt} away: the key is not held", self.id));
                    self.answer(&mut stream, "421 Misdirected Request", &attempt, &not_run, b"")?;
                    continue;
                };
                *keys.working.entry(key).or_default() += 1;
            }
            {
                let mut running = lock(&self.running);
                if *running >= 16 * SLOTS {
                    drop(running);
                    self.answer(&mut stream, "503 Service Unavailable", &attempt, &not_run, b"")?;
                    continue;
                }
                *running += 1;
            }
            self.arrivals.fetch_add(1, Ordering::SeqCst);
            *lock(&self.runs).entry(attempt.clone()).or_default() += 1;
            self.record.line(format!(
                "{} ({}) runs {attempt}: {line}, key {key:?}, {} bytes",
                self.id,
                self.zone,
                body.len()
            ));
            // The clients of these scripts say how long the work takes and how long the answer is.
            std::thread::sleep(Duration::from_millis(number("Stand-In-Work-Ms").unwrap_or(20)));
            let length = number("Stand-In-Answer-Bytes").unwrap_or(400) as usize;
            let seal = [("Lynxmill-Server-Seal", format!("{}.{attempt}", self.id))];
            let body: Vec<u8> = (0..length).map(|n| b'a' + (n % 23) as u8).collect();
            *lock(&self.running) -= 1;
            let kept = match key.filter(|_| self.sharded) {
                Some(key) => self.work_done(key),
                None => true,
            };
            if !self.is_up() {
                return Ok(());
            }
            if kept {
                self.answer(&mut stream, "200 OK", &attempt, &seal, &body)?;
            } else {
                self.answer(&mut stream, "500 Internal Server Error", &attempt, &seal, b"the hold is over")?;
            }
            self.record.line(format!("{} answered {attempt}, in time: {kept}", self.id));
        }
        Ok(())
    }

    /// Work on a key has ended; whether the key was held to its end.
    fn work_done(&self, key: usize) -> bool {
        let mut keys = lock(&self.keys);
        if let Some(count) = keys.working.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                keys.working.remove(&key);
            }
        }
        keys.holds(key, Instant::now())
    }
}

struct Beats {
    state: Arc<State>,
    target: Option<String>,
    next: usize,
    seq: u64,
    released: Vec<(usize, usize, String)>,
    /// Keys that are to be let go once nothing works on them.
    wanted: Option<Vec<u64>>,
}

impl Beats {
    fn new(state: Arc<State>) -> Self {
        let next = state.id.bytes().map(usize::from).sum();
        Beats { state, target: None, next, seq: 0, released: Vec::new(), wanted: None }
    }

    fn at(&self) -> String {
        let controls = &self.state.controls;
        self.target.clone().unwrap_or_else(|| controls[self.next % controls.len()].clone())
    }

    /// A beat has failed: the next assigner is called.
    fn go_on(&mut self) {
        self.target = None;
        self.next += 1;
    }

    fn run(&mut self) {
        let mut due = Instant::now();
        loop {
            let leaves = *lock(&self.state.leaves);
            let acknowledged = *lock(&self.state.leaving_since);
            if let (Some(how), Some(since)) = (leaves, acknowledged) {
                if since.elapsed() >= Duration::from_secs_f64(DRAIN_S + 0.5) {
                    return self.end(how);
                }
            }
            if leaves == Some(Leaves::SignOffFirst) && acknowledged.is_none() {
                if self.sign_off() {
                    *lock(&self.state.leaving_since) = Some(Instant::now());
                }
                continue;
            }
            // One that has signed off beats no more.
            let signed_off = leaves == Some(Leaves::SignOffFirst);
            let draining_now = leaves == Some(Leaves::Draining) && acknowledged.is_none();
            if !signed_off && (Instant::now() >= due || draining_now) {
                let soon = self.beat(leaves == Some(Leaves::Draining));
                due = Instant::now() + if soon { SOON } else { BEAT };
            }
            self.let_go();
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn end(&mut self, how: Leaves) {
        if how == Leaves::Draining {
            while !self.sign_off() {}
        }
        self.state.up.store(false, Ordering::SeqCst);
        self.state.record.line(format!("task {} ends", self.state.id));
    }

    fn sign_off(&mut self) -> bool {
        let (at, id) = (self.at(), self.state.id.clone());
        self.state.record.line(format!("task {id} sends DELETE /v1/instances/{id} to {at}"));
        let status = http::control(&at, "DELETE", &format!("/v1/instances/{id}"), "", SECOND).map_or(0, |a| a.status);
        self.state.record.line(format!("task {id}: {at} answered the DELETE with {status}"));
        if (200..300).contains(&status) {
            return true;
        }
        self.go_on();
        std::thread::sleep(SOON);
        false
    }

    /// Lets go of what it is not to hold any more and does not work on.
    fn let_go(&mut self) {
        let Some(wanted) = self.wanted.clone() else { return };
        let mut keys = lock(&self.state.keys);
        let mut left = false;
        let mut freed: Vec<(usize, usize)> = Vec::new();
        for key in 0..KEYS {
            if keys.held[key] > 0 && wanted[key] == 0 {
                if keys.working.contains_key(&key) {
                    left = true;
                    continue;
                }
                keys.held[key] = 0;
                match freed.last_mut() {
                    Some((_, to)) if *to + 1 == key => *to = key,
                    _ => freed.push((key, key)),
                }
            }
        }
        drop(keys);
        for (from, to) in &freed {
            self.state.record.line(format!("task {} let go {from}..{to}", self.state.id));
        }
        let (id, seq) = (&self.state.id, self.seq);
        self.released.extend(freed.into_iter().map(|(from, to)| (from, to, format!("{id}-{seq}-{from}"))));
        if !left {
            self.wanted = None;
        }
    }

    /// Beats once; whether the next beat is due within 100 ms.
    fn beat(&mut self, draining: bool) -> bool {
        self.seq += 1;
        let state = self.state.clone();
        let held = {
            let mut keys = lock(&state.keys);
            if Instant::now() >= keys.until {
                keys.held.fill(0);
            }
            keys.rows()
        };
        let held: Vec<String> = held.iter().map(|(f, t, n)| format!("[{f},{t},{n}]")).collect();
        let count = self.released.len();
        let released: Vec<String> = self.released.iter().map(|(f, t, h)| format!("[{f},{t},\"{h}\"]")).collect();
        let word = if draining { "draining" } else { "ready" };
        let mut body = format!(
            "{{\"Address\":\"{}\",\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"{}\",\"Slots\":{SLOTS}}},\
             \"Status\":{{\"State\":\"{word}\",\"CallSeq\":{},\"ColdLeftS\":0}}",
            state.address, state.service, state.zone, self.seq
        );
        if state.sharded {
            body.push_str(&format!(",\"Holdings\":[{}],\"Released\":[{}]", held.join(","), released.join(",")));
        }
        body.push('}');
        let path = format!("/v1/instances/{}", state.id);
        let mut at = self.at();
        for _ in 0..3 {
            let sent = Instant::now();
            let answer = match http::control(&at, "PUT", &path, &body, SECOND) {
                Ok(answer) => answer,
                Err(error) => {
                    state.record.line(format!("task {} beat {} ({word}) to {at}: {error}", state.id, self.seq));
                    self.go_on();
                    return true;
                }
            };
            if answer.status == 307 {
                let location = answer.head.header("Location").unwrap_or_default();
                let next = location.strip_prefix("http://").and_then(|l| l.split_once('/'));
                let Some((next, _)) = next else { break };
                at = next.to_owned();
                continue;
            }
            if !(200..300).contains(&answer.status) || sent.elapsed() > SECOND {
                state.record.line(format!("task {} beat {} ({word}) to {at}: {}", state.id, self.seq, answer.status));
                break;
            }
            self.released.drain(..count);
            if draining {
                lock(&state.leaving_since).get_or_insert_with(Instant::now);
            }
            let json = Json::read(&answer.body).unwrap_or(Json::Null);
            self.target = json.get("BeatTarget").and_then(Json::text).map(str::to_owned).or(Some(at.clone()));
            let soon = self.take_grants(sent, &json);
            state.record.line(format!(
                "task {} beat {} ({word}) to {at}: 200 after {:.3} s, holds {} keys",
                state.id,
                self.seq,
                sent.elapsed().as_secs_f64(),
                state.held_count()
            ));
            return soon;
        }
        self.go_on();
        true
    }

    fn take_grants(&mut self, sent: Instant, json: &Json) -> bool {
        let (Some(rows), Some(hold)) = (json.get("Holdings"), json.get("HoldS").and_then(Json::number)) else {
            return false;
        };
        let mut wanted = vec![0u64; KEYS];
        let mut keys = lock(&self.state.keys);
        for row in rows.list() {
            let cells: Vec<f64> = row.list().iter().filter_map(Json::number).collect();
            let [from, to, fence] = cells[..] else { continue };
            let (range, fence) = (from as usize..=(to as usize).min(KEYS - 1), fence as u64);
            if keys.seen[range.clone()].iter().any(|seen| *seen > fence) {
                continue;
            }
            wanted[range.clone()].fill(fence);
            keys.seen[range.clone()].fill(fence);
            let new = keys.held[range.clone()].iter().any(|held| *held != fence);
            if new {
                self.state.record.line(format!(
                    "task {} is granted {}..{} under fence {fence} for {hold} s",
                    self.state.id,
                    range.start(),
                    range.end()
                ));
            }
            keys.held[range].fill(fence);
        }
        keys.until = sent + Duration::from_secs_f64(hold);
        keys.prompt = sent.elapsed() < PROMPT;
        let lets_go = (0..KEYS).any(|key| keys.held[key] > 0 && wanted[key] == 0);
        drop(keys);
        self.wanted = Some(wanted);
        self.let_go();
        lets_go
    }
}
