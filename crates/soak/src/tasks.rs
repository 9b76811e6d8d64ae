//! Scripted tasks: they answer, are late or break off, answer twice, without a length or with a refusal after they ran, beat, hold keys, drain, sign off first, or crash.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lynxmill_deployment::heartbeat::{
    HeartbeatAnswer, HeartbeatBody, Info, ReleasedRow, Row, Status,
};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::http::{Caller, Head, HttpStream, Pace};
use crate::keys::HeldKeys;
use crate::ledger::{Ledger, Run, TaskFault, TaskLife};
use crate::links::Links;

/// A heartbeat counts within a second.
const PATIENCE: Duration = Duration::from_secs(1);
/// While keys are let go, and after a call that failed.
const SOON: Duration = Duration::from_millis(100);
/// A leaving task serves on for longer than it has to.
const LONGER_S: f64 = 0.4;
/// An end that is not acknowledged comes anyway.
const UNACKNOWLEDGED_S: f64 = 6.0;
/// How long work takes at most.
const MAX_WORK_MS: u64 = 80;
/// How late a late answer is.
const LATE: Duration = Duration::from_millis(500);
const SLOTS: u32 = 16;
/// One of so many tasks closes connections that rest.
const CLOSES_ONE_IN: u8 = 3;
const IDLE_TIME: Duration = Duration::from_secs(2);
const SHARDED_SERVICE: &str = "sorter";

static LIVES: AtomicU64 = AtomicU64::new(1);

/// What a task is to be.
#[derive(Clone, Debug)]
pub(crate) struct TaskOptions {
    pub service: &'static str,
    /// Its software's version.
    pub version: String,
    /// Half of its answers are failures.
    pub is_bad: bool,
    pub zone: &'static str,
    /// Its machine's address.
    pub ip: String,
    /// Where it may beat.
    pub controls: Vec<String>,
    pub beat: Duration,
    /// How long it serves on after it said that it leaves, in seconds.
    pub drain_s: f64,
}

/// How a task is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskEnd {
    Drain,
    SignOffFirst,
    Crash,
}

/// A task under way.
pub(crate) struct TaskHandle {
    pub options: TaskOptions,
    pub end: UnboundedSender<TaskEnd>,
    pub finished: JoinHandle<()>,
}

struct Shared {
    id: String,
    sharded: bool,
    is_bad: bool,
    ledger: Arc<Ledger>,
    keys: Mutex<HeldKeys>,
}

impl Shared {
    fn keys(&self) -> MutexGuard<'_, HeldKeys> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a task, of which an end can be asked.
pub(crate) async fn start(
    options: TaskOptions,
    ledger: &Arc<Ledger>,
    links: &Arc<Links>,
) -> io::Result<TaskHandle> {
    let life = LIVES.fetch_add(1, Ordering::Relaxed);
    let id = format!("i-{}-{}-{life}", options.service, std::process::id());
    let listener = TcpListener::bind((options.ip.as_str(), 0)).await?;
    let address = listener.local_addr()?.to_string();
    let lived = TaskLife {
        service: options.service,
        version: options.version.clone(),
        zone: options.zone,
        leave_acknowledged: None,
        ended: None,
    };
    ledger.records().tasks.insert(id.clone(), lived);
    let shared = Arc::new(Shared {
        keys: Mutex::new(HeldKeys::new(&id)),
        sharded: options.service == SHARDED_SERVICE,
        is_bad: options.is_bad,
        ledger: ledger.clone(),
        id,
    });
    let (end, ends) = unbounded_channel();
    let beats = Heartbeats {
        shared: shared.clone(),
        options: options.clone(),
        address,
        caller: Caller::new(links.clone()),
        target: None,
        next_control: life as usize,
        seq: 0,
        released: Vec::new(),
    };
    let finished = tokio::spawn(live(shared, listener, beats, ends));
    Ok(TaskHandle {
        options,
        end,
        finished,
    })
}

/// Serves until the heartbeats end; then all connections end with the task.
async fn live(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut beats: Heartbeats,
    ends: UnboundedReceiver<TaskEnd>,
) {
    let mut connections = JoinSet::new();
    let accept = async {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let served = serve(shared.clone(), HttpStream::new(stream));
                connections.spawn(async move { drop(served.await) });
            }
        }
    };
    tokio::select! {
        () = accept => {}
        () = beats.run(ends) => {}
    }
    let now = shared.ledger.now();
    let holds = shared.keys().end_all(now);
    let mut records = shared.ledger.records();
    records.holds.extend(holds);
    if let Some(life) = records.tasks.get_mut(&shared.id) {
        life.ended = Some(now);
    }
}

/// The bytes of an answer, which only this request has.
pub(crate) fn body_of(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().cycle().take(bytes).collect()
}

fn fault_of(id: &str, is_bad: bool) -> TaskFault {
    // By the id alone, so that a seed does the same again.
    let drawn = id.bytes().fold(7u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    match drawn % 100 {
        0..2 => TaskFault::Cut,
        2..5 => TaskFault::Late,
        5..7 => TaskFault::Twice,
        7..9 => TaskFault::RefusedAfterRun,
        9..10 => TaskFault::WithoutLength,
        10..60 if is_bad => TaskFault::BadVersion,
        _ => TaskFault::None,
    }
}

/// How long connections may rest at this task, by its id; some close none.
fn idle_time(id: &str) -> Option<Duration> {
    let last = id.bytes().last().unwrap_or_default();
    last.is_multiple_of(CLOSES_ONE_IN).then_some(IDLE_TIME)
}

/// The next head; none if the connection has ended, or has rested for too long.
async fn next_head(stream: &mut HttpStream, idle: Option<Duration>) -> io::Result<Option<Head>> {
    match idle {
        Some(idle) => timeout(idle, stream.read_head()).await.unwrap_or(Ok(None)),
        None => stream.read_head().await,
    }
}

async fn serve(shared: Arc<Shared>, mut stream: HttpStream) -> io::Result<()> {
    let idle = idle_time(&shared.id);
    while let Some(head) = next_head(&mut stream, idle).await? {
        let arrived = shared.ledger.now();
        let body = stream.read_body(&head, Pace::FAST).await?;
        if head.word(1) == "/health" {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nLynxmill-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                shared.id
            );
            stream.write(answer.as_bytes()).await?;
            continue;
        }
        let id = head.header("lynxmill-attempt-id").unwrap_or_default();
        if let Some(refusal) = refusal(&shared, &head, arrived) {
            let answer = format!(
                "HTTP/1.1 {refusal}\r\nLynxmill-Attempt-Id: {id}\r\nLynxmill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write(answer.as_bytes()).await?;
            continue;
        }
        run(&shared, &mut stream, &head, &body, arrived).await?;
    }
    Ok(())
}

fn refusal(shared: &Shared, head: &Head, now: f64) -> Option<&'static str> {
    let expected = head.header("lynxmill-expect-instance");
    if expected.is_some_and(|expected| expected != shared.id) {
        return Some("421 Misdirected Request");
    }
    let key = head
        .header("lynxmill-shard-key")
        .and_then(|key| key.parse().ok());
    let served = !shared.sharded || key.is_some_and(|key| shared.keys().serves(key, now));
    (!served).then_some("421 Misdirected Request")
}

/// A request whose method, path or body is not what its client sent, by its id.
fn altered(head: &Head, body: &[u8]) -> bool {
    let id = head.header("lynxmill-attempt-id").unwrap_or_default();
    let path = head.word(1);
    let sent = head
        .header("soak-body")
        .and_then(|bytes| bytes.parse().ok());
    let method = head.header("soak-method").unwrap_or_default();
    path.rsplit('/').next() != Some(id)
        || head.word(0) != method
        || sent.is_none_or(|bytes: usize| body != body_of(id, bytes))
}

async fn run(
    shared: &Shared,
    stream: &mut HttpStream,
    head: &Head,
    body: &[u8],
    begun: f64,
) -> io::Result<()> {
    let id = head.header("lynxmill-attempt-id").unwrap_or_default();
    let fault = fault_of(id, shared.is_bad);
    let known_as = if altered(head, body) {
        format!("{id}, altered: {}", head.line)
    } else {
        id.to_owned()
    };
    let place = {
        let mut records = shared.ledger.records();
        let runs = records.runs.entry(known_as.clone()).or_default();
        runs.push(Run {
            id: known_as.clone(),
            task: shared.id.clone(),
            begun,
            ended: None,
            fault,
        });
        runs.len() - 1
    };
    let work = u64::from(id.bytes().fold(0u8, |sum, byte| sum.wrapping_add(byte))) % MAX_WORK_MS;
    sleep(Duration::from_millis(work)).await;
    if fault == TaskFault::Late {
        sleep(LATE).await;
    }
    let bytes = head
        .header("soak-answer")
        .and_then(|bytes| bytes.parse().ok())
        .unwrap_or(0);
    let answer = answer(shared, id, bytes, fault);
    if fault == TaskFault::Cut {
        stream.write(&answer[..answer.len() / 2]).await?;
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    stream.write(&answer).await?;
    let now = shared.ledger.now();
    if let Some(run) = shared.ledger.records().runs.get_mut(&known_as) {
        run[place].ended = Some(now);
    }
    match fault {
        // The same once more, in the place of the next answer.
        TaskFault::Twice => stream.write(&answer).await,
        TaskFault::WithoutLength => stream.end().await,
        _ => Ok(()),
    }
}

/// The bytes of an answer.
fn answer(shared: &Shared, id: &str, bytes: usize, fault: TaskFault) -> Vec<u8> {
    let (status, bytes) = match fault {
        TaskFault::RefusedAfterRun => ("503 Service Unavailable", 0),
        TaskFault::BadVersion => ("500 Internal Server Error", bytes),
        _ => ("200 OK", bytes),
    };
    let length = match fault {
        TaskFault::WithoutLength => "Connection: close".to_owned(),
        _ => format!("Content-Length: {bytes}"),
    };
    let keep_alive = idle_time(&shared.id).map_or(String::new(), |idle| {
        format!("Keep-Alive: timeout={}\r\n", idle.as_secs())
    });
    let mut answer = format!(
        "HTTP/1.1 {status}\r\nLynxmill-Attempt-Id: {id}\r\nLynxmill-Server-Seal: {}.{id}\r\n\
         Lynxmill-Instance-Load: 1,0,{SLOTS}\r\n{keep_alive}{length}\r\n\r\n",
        shared.id
    )
    .into_bytes();
    answer.extend(body_of(id, bytes));
    answer
}

/// Beats of a task until it ends.
struct Heartbeats {
    shared: Arc<Shared>,
    options: TaskOptions,
    address: String,
    caller: Caller,
    target: Option<String>,
    next_control: usize,
    seq: u64,
    released: Vec<ReleasedRow>,
}

impl Heartbeats {
    async fn run(&mut self, mut ends: UnboundedReceiver<TaskEnd>) {
        loop {
            let pause = if self.beat("ready").await {
                self.options.beat
            } else {
                SOON
            };
            tokio::select! {
                () = sleep(pause) => {}
                end = ends.recv() => {
                    match end {
                        Some(TaskEnd::Drain) => self.drain().await,
                        Some(TaskEnd::SignOffFirst) => self.sign_off_first().await,
                        Some(TaskEnd::Crash) | None => {}
                    }
                    return;
                }
            }
        }
    }

    fn acknowledged_leaving(&self) {
        let now = self.shared.ledger.now();
        let mut records = self.shared.ledger.records();
        if let Some(life) = records.tasks.get_mut(&self.shared.id) {
            life.leave_acknowledged.get_or_insert(now);
        }
    }

    fn is_leaving_acknowledged(&self) -> Option<f64> {
        let records = self.shared.ledger.records();
        records.tasks.get(&self.shared.id)?.leave_acknowledged
    }

    /// Says `draining` and beats on, serves as long as it has to, signs off and ends.
    async fn drain(&mut self) {
        let began = self.shared.ledger.now();
        let serves_s = self.options.drain_s + LONGER_S;
        loop {
            if self.beat("draining").await {
                self.acknowledged_leaving();
            }
            let now = self.shared.ledger.now();
            let acknowledged = self.is_leaving_acknowledged();
            let done = acknowledged.is_some_and(|at| now - at >= serves_s);
            if done || now - began > serves_s + UNACKNOWLEDGED_S {
                break;
            }
            sleep(SOON).await;
        }
        self.sign_off().await;
    }

    /// Signs off, serves on without a heartbeat and ends.
    async fn sign_off_first(&mut self) {
        let began = Instant::now();
        while !self.sign_off().await && began.elapsed().as_secs_f64() < UNACKNOWLEDGED_S {
            sleep(SOON).await;
        }
        self.acknowledged_leaving();
        let until = Instant::now() + Duration::from_secs_f64(self.options.drain_s + LONGER_S);
        sleep_until(until).await;
    }

    fn control(&self) -> String {
        let controls = &self.options.controls;
        let listed = controls[self.next_control % controls.len()].clone();
        self.target.clone().unwrap_or(listed)
    }

    /// The next call goes to another member.
    fn failed(&mut self) {
        self.target = None;
        self.next_control += 1;
    }

    /// Whether the sign-off was acknowledged.
    async fn sign_off(&mut self) -> bool {
        let path = format!("/v1/instances/{}", self.shared.id);
        let control = self.control();
        let answer = self
            .caller
            .call(&control, "DELETE", &path, "", PATIENCE)
            .await;
        let done = answer.is_ok_and(|answer| (200..300).contains(&answer.status));
        if !done {
            self.failed();
        }
        done
    }

    /// Beats once; whether it was acknowledged and the next is not due soon.
    async fn beat(&mut self, state: &'static str) -> bool {
        self.seq += 1;
        let sent = self.shared.ledger.now();
        let holdings = self.holdings(sent);
        let body = HeartbeatBody {
            address: &self.address,
            info: Info {
                service: self.options.service,
                version: &self.options.version,
                zone: self.options.zone,
                slots: SLOTS,
            },
            status: Status {
                state,
                call_seq: self.seq,
                cold_left_s: 0.0,
            },
            holdings,
            released: self.released.clone(),
        };
        let Ok(body) = serde_json::to_string(&body) else {
            return false;
        };
        let path = format!("/v1/instances/{}", self.shared.id);
        let control = self.control();
        let answer = self
            .caller
            .call(&control, "PUT", &path, &body, PATIENCE)
            .await;
        let Ok(answer) = answer else {
            self.failed();
            return false;
        };
        if let Some((address, _)) = answer.redirect() {
            self.target = Some(address.to_owned());
            return false;
        }
        if !(200..300).contains(&answer.status) {
            self.failed();
            return false;
        }
        self.released.clear();
        let granted: HeartbeatAnswer = serde_json::from_slice(&answer.body).unwrap_or_default();
        self.target = granted.beat_target.or(self.target.take());
        if let (Some(rows), Some(hold_s)) = (granted.holdings, granted.hold_s) {
            let now = self.shared.ledger.now();
            self.shared.keys().grant(&rows, now, sent + hold_s);
        }
        !self.shared.keys().is_releasing()
    }

    /// What it holds, after what ran out or is released by now.
    fn holdings(&mut self, now: f64) -> Vec<Row> {
        let mut keys = self.shared.keys();
        let expired = keys.expire(now);
        let (ended, released) = keys.release_due(now);
        let rows = keys.rows();
        drop(keys);
        self.released.extend(released);
        let mut records = self.shared.ledger.records();
        records.holds.extend(expired);
        records.holds.extend(ended);
        rows
    }
}
