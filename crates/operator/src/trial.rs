//! A small system with tasks and a client of its own, started by one command.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use ureq::http;

use crate::task::{Task, TaskOptions};
use lynxmill_deployment::client::{self, Answer};
use lynxmill_deployment::{BEAT_S, Deployment, REGION, ZONES};

pub const HOST: &str = "shop.example";
/// Until the first configuration is acknowledged, edges are ready, or a first request is served.
const PATIENCE: Duration = Duration::from_secs(20);
/// What the client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(2_000);
const PAUSE: Duration = Duration::from_millis(100);
/// Requests of each kind at first.
const FIRST: usize = 3;
/// Between rounds of requests, and rounds between lines, while it keeps serving.
const ROUND: Duration = Duration::from_secs(1);
const ROUNDS_A_LINE: u32 = 5;

/// The version of the software of the first tasks.
pub const FIRST_VERSION: &str = "v1";

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub method: &'static str,
    pub prefix: &'static str,
    /// Bytes of its body.
    pub bytes: usize,
    /// It bears a key.
    pub keyed: bool,
    /// It may run more than once.
    pub repeatable: bool,
}

pub fn kinds() -> [Kind; 5] {
    let kind = |name, method, prefix, bytes, keyed, repeatable| Kind {
        name,
        method,
        prefix,
        bytes,
        keyed,
        repeatable,
    };
    [
        kind("read", "GET", "/read/", 0, false, true),
        kind("order", "POST", "/order/", 64, false, false),
        kind("upload", "PUT", "/upload/", 1 << 20, false, false),
        kind("split", "GET", "/split/", 0, false, true),
        kind("keyed", "GET", "/keyed/", 0, true, true),
    ]
}

/// The first configuration: a route for each kind of request.
pub fn configuration() -> Value {
    let version = "00000001";
    let route = |name: &str, kind: &str, to: Value| {
        let mut route = json!({
            "Name": format!("r-{name}"), "Host": HOST, "PathPrefix": format!("/{name}/"), "RouteKind": kind,
            "TimeoutS": 5.0, "TargetS": 1.0, "Priority": 1, "MaxAttempts": 2, "HomeRegions": [REGION],
            "Version": version,
        });
        let to = to.as_object().cloned().unwrap_or_default();
        to.into_iter().for_each(|(key, value)| route[key] = value);
        route
    };
    let service = |name: &str, sharded: bool| {
        let mut service = json!({
            "Name": name, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false,
            "ColdStartS": 0.5, "ColdPerS": 20.0, "Version": version,
        });
        if sharded {
            (service["Sharded"], service["WarmupS"], service["Grants"]) =
                (json!(true), json!(0.5), json!("heartbeat"));
        }
        service
    };
    let split = json!([{"Service": "mill", "Weight": 80}, {"Service": "mill-next", "Weight": 20}]);
    json!({
        "Upsert": {
            "Routes": [
                route("read", "idempotent", json!({"Service": "mill"})),
                route("order", "non_idempotent", json!({"Service": "mill"})),
                route("upload", "upload", json!({"Service": "mill"})),
                route("split", "idempotent", json!({"Split": split})),
                route("keyed", "idempotent", json!({"Service": "sorter"})),
            ],
            "Services": [service("mill", false), service("mill-next", false), service("sorter", true)],
            "Limits": {
                "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15,
                "Version": version,
            },
        },
        "Remove": {"Routes": []},
    })
}

/// The tasks of that configuration, each at an address of its own.
pub fn tasks(system: &Deployment) -> Result<Vec<Task>, String> {
    let all = [
        ("mill", 0),
        ("mill", 1),
        ("mill-next", 2),
        ("sorter", 0),
        ("sorter", 1),
    ];
    let start = |(n, (service, zone)): (usize, &(&'static str, usize))| {
        Task::start(TaskOptions {
            service,
            version: FIRST_VERSION,
            fails_after: None,
            zone: ZONES[*zone],
            sharded: *service == "sorter",
            ip: system.site.task(n),
            controls: system.controls(),
            beat: Duration::from_secs_f64(BEAT_S),
        })
    };
    all.iter().enumerate().map(start).collect()
}

/// A request that was answered.
#[derive(Debug)]
pub struct Sent {
    pub attempt: String,
    pub path: String,
    pub front: String,
    pub answer: Answer,
    pub took: Duration,
}

impl Sent {
    /// A success with the task's seal and the id that was sent.
    pub fn served(&self) -> bool {
        let answer = &self.answer;
        let whole = answer.status == 200 && !answer.header("Lynxmill-Server-Seal").is_empty();
        whole && answer.header("Lynxmill-Attempt-Id") == self.attempt
    }
}

/// Where the directory sends a client.
pub fn resolve(directories: &[String]) -> Result<Vec<String>, String> {
    let path = format!("/v1/resolve?Name={HOST}&Region={REGION}&Zone={}", ZONES[2]);
    let mut last = "there is no directory".to_owned();
    for at in directories {
        match client::get(at, &path) {
            Ok(answer) if answer.status == 200 => {
                let told = answer.json()?;
                let addresses = told["Addresses"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(Value::as_str);
                return Ok(addresses.map(str::to_owned).collect());
            }
            Ok(answer) => last = format!("{at} answers {}: {}", answer.status, answer.body.trim()),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Sends one request of a kind to an edge, once.
pub fn send(front: &str, kind: &Kind) -> Result<Sent, String> {
    let n = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let attempt = format!("{:08x}{n:08x}", std::process::id());
    let path = format!("{}{n}", kind.prefix);
    let mut request = http::Request::builder()
        .method(kind.method)
        .uri(format!("http://{front}{path}"))
        .header("Host", HOST)
        .header("Lynxmill-Attempt-Id", &attempt)
        .header("Lynxmill-Deadline-Ms", DEADLINE.as_millis().to_string());
    if kind.keyed {
        // All over the keys, in steps that share no divisor with their number.
        request = request.header("Lynxmill-Shard-Key", (n * 7_919 % 65_536).to_string());
    }
    let request = request
        .body(vec![b'x'; kind.bytes])
        .map_err(|e| e.to_string())?;
    let began = Instant::now();
    let answer = client::call(&client::agent(DEADLINE), request)?;
    Ok(Sent {
        attempt,
        path,
        front: front.to_owned(),
        answer,
        took: began.elapsed(),
    })
}

fn told(kind: &Kind, sent: &Result<Sent, String>) -> String {
    match sent {
        Ok(sent) => {
            let (status, ms) = (sent.answer.status, sent.took.as_secs_f64() * 1e3);
            let answer = sent.answer.body.trim();
            format!(
                "{:6} {status} in {ms:6.1} ms by {}: {answer}",
                kind.name, sent.front
            )
        }
        Err(error) => format!("{:6} {error}", kind.name),
    }
}

fn step(born: Instant, what: &str) {
    println!("{:5.1} s  {what}", born.elapsed().as_secs_f64());
}

/// Sends until one is served, since tables and slices take a moment at first.
fn first(system: &mut Deployment, front: &str, kind: &Kind) -> Result<(), String> {
    system.wait(
        &format!("a {} request is served", kind.name),
        PATIENCE,
        || send(front, kind).is_ok_and(|sent| sent.served()),
    )
}

pub(crate) fn run(
    seconds: Option<u64>,
    programs: Option<PathBuf>,
    keep: bool,
) -> Result<(), String> {
    let end = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, end.clone()).map_err(|e| e.to_string())?;
    }
    let beside = || {
        Ok(std::env::current_exe()?
            .parent()
            .map(PathBuf::from)
            .unwrap_or_default())
    };
    let programs = programs
        .map_or_else(beside, Ok)
        .map_err(|e: std::io::Error| e.to_string())?;
    let born = Instant::now();
    let mut system = Deployment::start(&programs)?;
    system.keep = keep;
    step(
        born,
        &format!(
            "three control-plane nodes and two edge proxies start; files in {}",
            system.folder.display()
        ),
    );
    let tasks = tasks(&system)?;
    step(
        born,
        &format!("{} tasks beat: {}", tasks.len(), names(&tasks)),
    );
    let (by, answer) = system.configure(&configuration(), PATIENCE)?;
    if answer.status != 200 {
        return Err(format!(
            "{by} answers the configuration by {}: {}",
            answer.status,
            answer.body.trim()
        ));
    }
    step(
        born,
        &format!("the first configuration is acknowledged by {by}"),
    );
    system.wait_ready(PATIENCE)?;
    step(born, "both edges are ready");
    let mut fronts = Vec::new();
    let directories = system.directories();
    system.wait("the directory names both edges", PATIENCE, || {
        fronts = resolve(&directories).unwrap_or_default();
        fronts.len() == 2
    })?;
    step(
        born,
        &format!("the directory sends clients to {}", fronts.join(" and ")),
    );
    for kind in &kinds() {
        for front in &fronts {
            first(&mut system, front, kind)?;
        }
        for n in 0..FIRST {
            step(born, &told(kind, &send(&fronts[n % fronts.len()], kind)));
        }
    }
    let control = &system.controls()[0];
    println!();
    println!("It keeps serving; look at it from another terminal:");
    println!("  lynxmill system show {control}");
    println!("  lynxmill system show {}", system.readiness()[0]);
    println!("  curl http://{control}/v1/configuration");
    println!(
        "  curl -H 'Host: {HOST}' -H 'Lynxmill-Attempt-Id: 1' http://{}/read/hello",
        fronts[0]
    );
    println!(
        "{}",
        seconds.map_or("Ctrl-C ends it.".to_owned(), |s| format!(
            "It ends after {s} s."
        ))
    );
    println!();
    keep_serving(
        born,
        &mut system,
        &fronts,
        &end,
        seconds.map(Duration::from_secs),
    )
}

fn names(tasks: &[Task]) -> String {
    tasks
        .iter()
        .map(|task| format!("{} in {}", task.service(), task.zone()))
        .collect::<Vec<_>>()
        .join(", ")
}

/// A round of requests a second, a line every few rounds, until it is told to end.
fn keep_serving(
    born: Instant,
    system: &mut Deployment,
    fronts: &[String],
    end: &AtomicBool,
    lasts: Option<Duration>,
) -> Result<(), String> {
    let began = Instant::now();
    let over =
        || end.load(Ordering::Relaxed) || lasts.is_some_and(|lasts| began.elapsed() >= lasts);
    let (mut sent, mut served, mut rounds) = (0u64, 0u64, 0u32);
    while !over() {
        for kind in &kinds() {
            let answer = send(&fronts[rounds as usize % fronts.len()], kind);
            sent += 1;
            match &answer {
                Ok(answer) if answer.served() => served += 1,
                _ => step(born, &told(kind, &answer)),
            }
        }
        rounds += 1;
        if rounds.is_multiple_of(ROUNDS_A_LINE) {
            step(born, &format!("{served} of {sent} requests served"));
        }
        let next = Instant::now() + ROUND;
        while !over() && Instant::now() < next {
            std::thread::sleep(PAUSE);
        }
        system.sound()?;
    }
    step(
        born,
        &format!("{served} of {sent} requests served; all ends"),
    );
    Ok(())
}
