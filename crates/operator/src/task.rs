//! A stand-in for a task: answers requests, beats, and holds keys of a sharded service as it is granted them.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rouille::{Request, Response, Server};

use lynxmill_deployment::client;
use lynxmill_deployment::heartbeat::{
    GrantRow, HeartbeatAnswer, HeartbeatBody, Info, ReleasedRow, Row, Status,
};

const KEYS: usize = 1 << 16;
const SLOTS: u32 = 8;
/// A beat counts within a second.
const PATIENCE: Duration = Duration::from_secs(1);
/// After keys were let go.
const SOON: Duration = Duration::from_millis(50);
const LOOK: Duration = Duration::from_millis(100);

static LIVES: AtomicU32 = AtomicU32::new(0);

/// Keys held, by the fence of each; 0 is none.
struct HeldKeys {
    held: Vec<u64>,
    seen: Vec<u64>,
    until: Instant,
}

impl HeldKeys {
    fn new() -> Self {
        HeldKeys {
            held: vec![0; KEYS],
            seen: vec![0; KEYS],
            until: Instant::now(),
        }
    }

    fn holds(&self, key: Option<usize>) -> bool {
        let fence = key.and_then(|key| self.held.get(key)).copied().unwrap_or(0);
        fence > 0 && Instant::now() < self.until
    }

    fn expire(&mut self) {
        if Instant::now() >= self.until {
            self.held.fill(0);
        }
    }

    fn rows(&self) -> Vec<Row> {
        let mut rows: Vec<Row> = Vec::new();
        for (key, fence) in self
            .held
            .iter()
            .enumerate()
            .filter(|(_, fence)| **fence > 0)
        {
            let key = key as u32;
            match rows.last_mut() {
                Some((_, to, last)) if *to + 1 == key && last == fence => *to = key,
                _ => rows.push((key, key, *fence)),
            }
        }
        rows
    }

    /// Takes what it is to hold from now on; what it lets go.
    fn grant(&mut self, rows: &[GrantRow], until: Instant) -> Vec<(u32, u32)> {
        let mut next = vec![0; KEYS];
        for (from, to, fence, _) in rows {
            let range = *from as usize..=(*to as usize).min(KEYS - 1);
            if range.is_empty() || self.seen[range.clone()].iter().any(|seen| seen > fence) {
                continue;
            }
            next[range.clone()].fill(*fence);
            self.seen[range].fill(*fence);
        }
        let mut freed: Vec<(u32, u32)> = Vec::new();
        for key in (0..KEYS).filter(|key| self.held[*key] > 0 && next[*key] == 0) {
            let key = key as u32;
            match freed.last_mut() {
                Some((_, to)) if *to + 1 == key => *to = key,
                _ => freed.push((key, key)),
            }
        }
        (self.held, self.until) = (next, until);
        freed
    }
}

struct Shared {
    id: String,
    service: String,
    version: &'static str,
    /// From then on it fails every second request.
    fails_from: Option<Instant>,
    zone: String,
    sharded: bool,
    keys: Mutex<HeldKeys>,
    /// How often each attempt has run here.
    runs: Mutex<BTreeMap<String, u32>>,
    ended: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn turned_away(&self, status: u16, reason: &str) -> Response {
        Response::text(format!("{reason}\n"))
            .with_status_code(status)
            .with_additional_header("Lynxmill-Not-Executed", "1")
    }

    fn answer(&self, request: &Request) -> Response {
        let id = self.id.clone();
        if request.method() == "GET" && request.url() == "/health" {
            return Response::text("well\n").with_additional_header("Lynxmill-Instance-Id", id);
        }
        let mut body = Vec::new();
        let read = request.data().map(|mut data| data.read_to_end(&mut body));
        let Some(attempt) = request.header("Lynxmill-Attempt-Id").map(str::to_owned) else {
            return self.turned_away(400, "no id");
        };
        let echo = |response: Response| {
            response.with_additional_header("Lynxmill-Attempt-Id", attempt.clone())
        };
        if !matches!(read, Some(Ok(_))) {
            return echo(self.turned_away(400, "the body is not whole"));
        }
        if request
            .header("Lynxmill-Expect-Instance")
            .is_some_and(|expected| expected != id)
        {
            return echo(self.turned_away(421, "another task is expected"));
        }
        // Held to the end of the work, so that no key is let go under it.
        let keys = lock(&self.keys);
        let key = request
            .header("Lynxmill-Shard-Key")
            .and_then(|key| key.parse().ok());
        if self.sharded && !keys.holds(key) {
            return echo(self.turned_away(421, "the key is not held here"));
        }
        let runs = {
            let mut runs = lock(&self.runs);
            *runs.entry(attempt.clone()).or_default() += 1;
            runs.len()
        };
        let fails = self.fails_from.is_some_and(|from| Instant::now() >= from);
        if fails && runs % 2 == 0 {
            return echo(Response::text("failed\n").with_status_code(500));
        }
        let (method, url, bytes) = (request.method(), request.raw_url(), body.len());
        let told = format!(
            "{} {id} ran {method} {url} with {bytes} bytes\n",
            self.service
        );
        let seal = format!("{id}.{attempt}");
        echo(Response::text(told))
            .with_additional_header("Lynxmill-Server-Seal", seal)
            .with_additional_header("Lynxmill-Instance-Load", format!("1,0,{SLOTS}"))
    }
}

/// What a task is to be.
pub struct TaskOptions {
    pub service: &'static str,
    /// Its software's version.
    pub version: &'static str,
    /// From when on it fails every second request; never where it has none.
    pub fails_after: Option<Duration>,
    pub zone: &'static str,
    pub sharded: bool,
    /// Its machine's address.
    pub ip: String,
    /// Where it may beat.
    pub controls: Vec<String>,
    pub beat: Duration,
}

/// A stand-in under way; it ends when it is dropped.
pub struct Task {
    shared: Arc<Shared>,
    pub address: String,
    end: Option<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Task {
    pub fn start(options: TaskOptions) -> Result<Self, String> {
        let life = LIVES.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::new(Shared {
            id: format!("i-{}-{}-{life}", options.service, std::process::id()),
            service: options.service.to_owned(),
            version: options.version,
            fails_from: options.fails_after.map(|after| Instant::now() + after),
            zone: options.zone.to_owned(),
            sharded: options.sharded,
            keys: Mutex::new(HeldKeys::new()),
            runs: Mutex::new(BTreeMap::new()),
            ended: AtomicBool::new(false),
        });
        let answering = shared.clone();
        let server = Server::new((options.ip.as_str(), 0), move |request| {
            answering.answer(request)
        })
        .map_err(|e| format!("{}: {e}", options.ip))?;
        let address = server.server_addr().to_string();
        let (end, ends) = channel();
        let spawn = |name: &str, work: Box<dyn FnOnce() + Send>| {
            std::thread::Builder::new()
                .name(name.to_owned())
                .spawn(work)
                .map_err(|e| e.to_string())
        };
        let state = shared.clone();
        let serve = move || {
            while !state.ended.load(Ordering::Relaxed) {
                server.poll_timeout(LOOK);
            }
        };
        let serving = spawn("task", Box::new(serve))?;
        let mut beats = HeartbeatSender {
            shared: shared.clone(),
            address: address.clone(),
            controls: options.controls,
            target: None,
            every: options.beat,
            seq: 0,
            released: Vec::new(),
        };
        let beating = spawn("heartbeats", Box::new(move || beats.run(&ends)))?;
        Ok(Task {
            shared,
            address,
            end: Some(end),
            threads: vec![serving, beating],
        })
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn service(&self) -> &str {
        &self.shared.service
    }

    pub fn version(&self) -> &str {
        self.shared.version
    }

    pub fn zone(&self) -> &str {
        &self.shared.zone
    }

    /// How often each attempt has run here.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.shared.runs).clone()
    }

    /// How many keys it holds.
    pub fn keys(&self) -> usize {
        self.keys_from(1)
    }

    /// How many keys it holds in this generation or a later one.
    pub fn keys_from(&self, fence: u64) -> usize {
        lock(&self.shared.keys)
            .held
            .iter()
            .filter(|held| **held >= fence)
            .count()
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        self.end.take();
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

struct HeartbeatSender {
    shared: Arc<Shared>,
    address: String,
    controls: Vec<String>,
    target: Option<String>,
    every: Duration,
    seq: u64,
    released: Vec<ReleasedRow>,
}

impl HeartbeatSender {
    /// Until the other end of the channel is gone.
    fn run(&mut self, ends: &Receiver<()>) {
        let agent = client::agent(PATIENCE);
        loop {
            let pause = if self.beat(&agent) { SOON } else { self.every };
            if ends.recv_timeout(pause) == Err(std::sync::mpsc::RecvTimeoutError::Disconnected) {
                return;
            }
        }
    }

    /// Beats once; whether the next one is due at once.
    fn beat(&mut self, agent: &ureq::Agent) -> bool {
        self.seq += 1;
        let holdings = {
            let mut keys = lock(&self.shared.keys);
            keys.expire();
            keys.rows()
        };
        let beat = HeartbeatBody {
            address: &self.address,
            info: Info {
                service: &self.shared.service,
                version: self.shared.version,
                zone: &self.shared.zone,
                slots: SLOTS,
            },
            status: Status {
                state: "ready",
                call_seq: self.seq,
                cold_left_s: 0.0,
            },
            holdings,
            released: self.released.clone(),
        };
        let Ok(body) = serde_json::to_vec(&beat) else {
            return false;
        };
        let at = self
            .target
            .clone()
            .unwrap_or_else(|| self.controls[0].clone());
        let sent = Instant::now();
        let path = format!("/v1/instances/{}", self.shared.id);
        let answer = client::by(agent, "PUT", &at, &path, body).ok();
        if let Some(owner) = answer.as_ref().and_then(redirected_to) {
            self.target = Some(owner);
            return true;
        }
        let answer = answer.filter(|a| (200..300).contains(&a.status));
        let Some(granted) =
            answer.and_then(|a| serde_json::from_str::<HeartbeatAnswer>(&a.body).ok())
        else {
            // The next assigner at once.
            self.target = None;
            self.controls.rotate_left(1);
            return true;
        };
        self.released.clear();
        let moved = granted.beat_target.is_some() && granted.beat_target != self.target;
        self.target = granted.beat_target.or(self.target.take());
        let (Some(rows), Some(hold)) = (granted.holdings, granted.hold_s) else {
            return moved;
        };
        let until = sent + Duration::from_secs_f64(hold.clamp(0.0, 60.0));
        let freed = lock(&self.shared.keys).grant(&rows, until);
        let mark = |(from, to)| (from, to, format!("{}-{}-{from}", self.shared.id, self.seq));
        self.released = freed.into_iter().map(mark).collect();
        moved || !self.released.is_empty()
    }
}

/// The control address that a 307 names.
fn redirected_to(answer: &client::Answer) -> Option<String> {
    let location = (answer.status == client::REDIRECT).then(|| answer.header("Location"))?;
    let (address, _) = client::location_parts(location)?;
    Some(address.to_owned())
}
