//! An edge proxy between a scripted member of the core, scripted tasks and scripted clients, on loopback. Each test
//! program uses its part.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lynxmill_configuration::{Configuration, ConfigurationChange};
use lynxmill_protocol::{
    ConfigurationUpdate, EdgeInfo, EdgeList, Task, TaskUpdate, ToEdge, ToEdgeBody, encode_frame,
};

/// Arrivals at tasks: by attempt, which tasks.
pub(crate) type Arrivals = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

const CONFIG: &str = r#"{"Upsert":{
 "Routes":[
  {"Name":"get","Host":"h","PathPrefix":"/get/","RouteKind":"idempotent","TimeoutS":2,"TargetS":0.5,
   "Service":"s","MaxAttempts":2,"Version":"1"},
  {"Name":"once","Host":"h","PathPrefix":"/once/","RouteKind":"non_idempotent","TimeoutS":2,"TargetS":0.5,
   "Service":"s","MaxAttempts":2,"Version":"1"}],
 "Services":[{"Name":"s","HealthPath":"/health","MaxConns":100,"Version":"1"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000,"HeaderTimeoutS":3,"IdleTimeoutS":15,"Version":"1"}}}"#;

/// What the proxy logs, in its folder.
const LOG_FILE: &str = "log";

/// Ports that the system gives to nobody by itself: from this one on, so many.
const LOWEST_PORT: u32 = 10_000;
const PORTS: u32 = 10_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An address that a process started here can listen on. Nobody who lets the system choose a port gets it meanwhile.
fn reserved_address() -> String {
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = LOWEST_PORT + (std::process::id() * 37 + number) % PORTS;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}

fn free() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

fn read_request(stream: &mut TcpStream) -> Option<(String, BTreeMap<String, String>)> {
    let (mut bytes, mut piece) = (Vec::new(), [0u8; 4096]);
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = head.lines();
            let first = lines.next()?.to_owned();
            let pair = |line: &str| {
                let (name, value) = line.split_once(':')?;
                Some((name.to_ascii_lowercase(), value.trim().to_owned()))
            };
            let headers: BTreeMap<String, String> = lines.filter_map(pair).collect();
            let length = headers
                .get("content-length")
                .map_or(0, |v| v.parse().unwrap_or(0));
            if bytes.len() >= end + 4 + length {
                return Some((first, headers));
            }
        }
        match stream.read(&mut piece) {
            Ok(got) if got > 0 => bytes.extend_from_slice(&piece[..got]),
            _ => return None,
        }
    }
}

fn answer(status: &str, headers: &str, id: &str, length: usize, body: &str) -> Vec<u8> {
    let echo =
        format!("Lynxmill-Attempt-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    format!("HTTP/1.1 {status}\r\n{echo}").into_bytes()
}

/// Bytes of an answer's body unless a path asks for another.
pub(crate) const SHORT_ANSWER: usize = 5;
/// More bytes than the sockets between a proxy and its client hold.
pub(crate) const LONG_ANSWER: usize = 16 << 20;

const SEAL: &str = "Lynxmill-Server-Seal: 1.2\r\n";

/// `after-MS-bytes-N`: how long the task works, and how long its answer is.
fn timed_answer(what: &str) -> Option<(Duration, usize)> {
    let (after, bytes) = what.strip_prefix("after-")?.split_once("-bytes-")?;
    Some((
        Duration::from_millis(after.parse().ok()?),
        bytes.parse().ok()?,
    ))
}

/// The path's last part says what becomes of the first arrival; every later one is served.
fn play(what: &str, first: bool, id: &str, expects: bool) -> (Vec<u8>, bool) {
    let good = answer("200 OK", SEAL, id, SHORT_ANSWER, "whole");
    if !expects {
        return (
            answer(
                "421 Misdirected Request",
                "Lynxmill-Not-Executed: 1\r\n",
                id,
                0,
                "",
            ),
            false,
        );
    }
    if let Some((time, bytes)) = timed_answer(what) {
        std::thread::sleep(time);
        return (answer("200 OK", SEAL, id, bytes, &"x".repeat(bytes)), false);
    }
    match what {
        "shed-all" => (
            answer("503 Full", "Lynxmill-Not-Executed: 1\r\n", id, 0, ""),
            false,
        ),
        _ if !first => (good, false),
        "hang-up" => (Vec::new(), true),
        "cut" => (answer("200 OK", SEAL, id, 500, "part"), true),
        "other-id" => (answer("200 OK", SEAL, "another", 5, "stray"), true),
        "no-seal" => (answer("200 OK", "", id, 5, "bare!"), false),
        "error" => (answer("500 Error", SEAL, id, 4, "oops"), false),
        "shed" => (
            answer("503 Full", "Lynxmill-Not-Executed: 1\r\n", id, 0, ""),
            false,
        ),
        "long" => (
            answer("200 OK", SEAL, id, LONG_ANSWER, &"x".repeat(LONG_ANSWER)),
            false,
        ),
        "extra" => (
            [good, answer("200 OK", SEAL, "another", 5, "extra")].concat(),
            false,
        ),
        _ => (good, false),
    }
}

fn task(name: &'static str, listener: TcpListener, arrivals: Arrivals) {
    for mut stream in listener.incoming().flatten() {
        let arrivals = arrivals.clone();
        std::thread::spawn(move || {
            while let Some((line, headers)) = read_request(&mut stream) {
                let id = headers
                    .get("lynxmill-attempt-id")
                    .cloned()
                    .unwrap_or_default();
                let first = {
                    let mut all = arrivals.lock().unwrap();
                    let at = all.entry(id.clone()).or_default();
                    at.push(name.to_owned());
                    at.len() == 1
                };
                let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
                let what = path.rsplit('/').next().unwrap_or_default();
                let expects =
                    headers.get("lynxmill-expect-instance").map(String::as_str) == Some(name);
                let (bytes, close) = play(what, first, &id, expects);
                if stream.write_all(&bytes).is_err() || close {
                    return;
                }
            }
        });
    }
}

/// What a client may take.
pub(crate) struct ClientLimits {
    pub body_bytes: usize,
    pub idle_s: u32,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            body_bytes: 1000,
            idle_s: 15,
        }
    }
}

/// The proxy's process and what its tasks have seen.
pub(crate) struct World {
    pub process: Child,
    /// Where clients connect.
    pub front: String,
    pub arrivals: Arrivals,
    readiness: String,
    folder: std::path::PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl World {
    /// Starts all of it; the proxy has `grace_s` seconds between SIGTERM and SIGKILL.
    pub(crate) fn new(name: &str, grace_s: f64) -> World {
        World::with_limits(name, grace_s, 200, &ClientLimits::default())
    }

    /// With this memory for the proxy, in MB.
    pub(crate) fn with_limits(
        name: &str,
        grace_s: f64,
        memory_mb: u32,
        limits: &ClientLimits,
    ) -> World {
        let config = CONFIG
            .replace(
                "\"MaxBodyBytes\":1000",
                &format!("\"MaxBodyBytes\":{}", limits.body_bytes),
            )
            .replace(
                "\"IdleTimeoutS\":15",
                &format!("\"IdleTimeoutS\":{}", limits.idle_s),
            );
        let arrivals = Arrivals::default();
        let mut tasks = Vec::new();
        for id in ["i-a", "i-b"] {
            let listener = free();
            let (address, service) = (listener.local_addr().unwrap().to_string(), "s".to_owned());
            tasks.push(Task {
                id: id.to_owned(),
                service,
                address,
                zone: "z".to_owned(),
                slots: 4,
                ..Task::default()
            });
            let arrivals = arrivals.clone();
            std::thread::spawn(move || task(id, listener, arrivals));
        }
        let core = free();
        let port = core.local_addr().unwrap().port();
        std::thread::spawn(move || {
            let mut configuration = Configuration::default();
            for item in ConfigurationChange::read(config.as_bytes()).unwrap().items {
                configuration.merge(&item);
            }
            let items: Vec<_> = configuration.items.values().cloned().collect();
            for mut stream in core.incoming().flatten() {
                let edges = vec![EdgeInfo {
                    name: "edge-1".to_owned(),
                    zone: "z".to_owned(),
                }];
                let told = [
                    ToEdgeBody::TaskUpdate(TaskUpdate {
                        tasks: tasks.clone(),
                        is_complete: true,
                    }),
                    ToEdgeBody::EdgeList(EdgeList { edges }),
                    ToEdgeBody::ConfigurationUpdate(ConfigurationUpdate {
                        items: items.clone(),
                        is_complete: true,
                    }),
                ];
                told.into_iter()
                    .for_each(|body| drop(stream.write_all(&encode_frame(&ToEdge::plain(body)))));
                std::thread::spawn(move || std::io::copy(&mut stream, &mut std::io::sink()));
            }
        });
        let [front, ready] = [reserved_address(), reserved_address()];
        let folder = std::env::temp_dir().join(format!("edge-proxy-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("local.yaml");
        let settings = format!(
            "NodeName: edge-1\nRole: edge\nMachineClass: edge\nServes: [edge]\nIp: 127.0.0.1\nZone: z\nRegion: r\n\
             Zones: {{z: r}}\nListenAddrs: {{Front: \"{front}\", Readiness: \"{ready}\"}}\nInternalPorts: [{port}]\n\
             SeedNodes: [\"127.0.0.1:1\"]\nBeatIntervalS: 1.5\nLimits: {{MemoryMb: {memory_mb}}}\n\
             Bounds: {{RetryRatio: 0.2, RetrySlack: 64, GraceS: {grace_s}}}\n"
        );
        std::fs::write(&file, settings).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_lynxmill-edge-proxy"))
            .arg("--settings")
            .arg(&file)
            .stderr(File::create(folder.join(LOG_FILE)).unwrap())
            .spawn()
            .unwrap();
        let mut world = World {
            process,
            front,
            arrivals,
            readiness: ready,
            folder,
        };
        let until = Instant::now() + Duration::from_secs(20);
        while !world.is_ready() {
            let ended = world.process.try_wait().unwrap();
            assert!(ended.is_none(), "it ended: {}", world.log());
            assert!(Instant::now() < until, "never ready: {}", world.log());
            std::thread::yield_now();
        }
        world
    }

    /// What the proxy has logged.
    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join(LOG_FILE)).unwrap_or_default()
    }

    /// Whether clients may be sent to the proxy.
    pub(crate) fn is_ready(&self) -> bool {
        let question = b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        raw(&self.readiness, question).contains(" 200 ")
    }
}

/// Sends bytes and takes all that comes until the end.
pub(crate) fn raw(address: &str, bytes: &[u8]) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return String::new();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let _ = stream.write_all(bytes);
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    String::from_utf8_lossy(&got).into_owned()
}
