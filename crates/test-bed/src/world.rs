//! The deployment: what there is, how it is changed, what is checked.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lynxmill_fake_servers::FakeServers;
use lynxmill_fake_servers::registry::{Faults, Registry};
use lynxmill_fake_servers::rules::{BrokenRule, Evidence, ReportedState, RuleLimits, check};
use lynxmill_fake_servers::worker::{Worker, WorkerKind, Workers};
use lynxmill_registry::layout::{KeyLocation, Layout, Line, Mark, read, spell};
use serde_json::{Value, json};

use crate::process::{Process, program};

/// What is to be started.
#[derive(Clone, Debug)]
pub struct TestBedOptions {
    pub assigners: usize,
    pub forwarders: usize,
    pub servers: usize,
    pub slices: usize,
    /// `etcd` or `consul`.
    pub protocol: &'static str,
    pub faults: Faults,
    pub nature: WorkerKind,
    /// A guard of the forwarders that is left out.
    pub fault: Option<&'static str>,
    /// The order for other tries: 0 to 3.
    pub again: u64,
    pub seed: u64,
    /// Assigners have a runtime socket.
    pub runtime: bool,
}

impl Default for TestBedOptions {
    fn default() -> Self {
        let nature = WorkerKind {
            cores: 2,
            work: Duration::from_millis(8),
            write_work: Duration::from_millis(5),
            cold_from: 0.3,
            warm_after: Duration::from_secs(4),
            strange: 1.2,
            most: 400,
        };
        TestBedOptions {
            assigners: 1,
            forwarders: 3,
            servers: 4,
            slices: 24,
            protocol: "etcd",
            faults: Faults::default(),
            nature,
            fault: None,
            again: 1,
            seed: 1,
            runtime: false,
        }
    }
}

const LEASE: f64 = 2.0;
const PREFIX: &str = "rig";
/// Messages from one assigner to a proxy within 10 s.
const MESSAGES: usize = 24;
/// What a machine that is busy with all of this at once may be late by.
const SLACK: Duration = Duration::from_millis(700);

impl TestBedOptions {
    fn settings(&self) -> Value {
        json!({
            "classes": [
                {"name": "lookup", "credit": 1.0, "deadline": 2.0, "slo": 0.5, "effect": "safe", "group": "all",
                    "late_share": 0.2, "window": 5.0},
                {"name": "vote", "credit": 5.0, "deadline": 0.8, "slo": 0.4, "effect": "unsafe", "group": "all",
                    "late_share": 0.2, "window": 5.0}],
            "failure_domains": ["a", "b"],
            "feedback": {"fields": ["outstanding"], "source": "answers"},
            "policy_limits": {"probes": false},
            "registry_mode": "pushed",
            "rules": {"ask_within": 10.0, "cold_from": self.nature.cold_from, "stop_sending_within": 5.0,
                "tip_multiple": 2.5, "tip_after": 2.0, "warm_after": self.nature.warm_after.as_secs_f64()},
            "specifics": {"bare": 12.0, "class_writes": [false, true], "exclusive": true, "first_wait": 1.2,
                "interval": 0.25, "lease": LEASE, "lines_per_s": 8500.0, "most_waiting": 12800.0, "overhead": 16.0,
                "propagation": 0.02, "proxy_count": self.forwarders, "push_delay_max": 0.05, "pushes_allowed": MESSAGES,
                "reload_span": 10.0, "retry_default": self.again, "settle": 0.9, "shards": self.slices,
                "throttle_by": "share", "waits_for_table": 0.5},
            "step": 0.004})
    }

    pub fn terms(&self) -> RuleLimits {
        RuleLimits {
            bare: Duration::from_secs_f64(12.0),
            grace: Duration::from_secs_f64(5.0),
            slack: SLACK,
            tip_multiple: 2.5,
            tip_after: Duration::from_secs(2),
            messages: MESSAGES,
            span: Duration::from_secs(10),
        }
    }
}

fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3
}

fn write(text: &str) -> Result<PathBuf, String> {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("lynxmill-rig-{}-{count}.json", std::process::id()));
    std::fs::write(&path, text).map_err(|e| e.to_string())?;
    Ok(path)
}

/// An address that a process can come back to: its port is below those that systems give to connections and to whoever
/// asks for any, or it could be another's by then.
fn lasting() -> Result<SocketAddr, String> {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    const FIRST: usize = 20_000;
    const PORTS: usize = 12_000;
    for _ in 0..PORTS {
        let turn = COUNT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (std::process::id() as usize * 101 + turn) % PORTS;
        let at = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if std::net::TcpListener::bind(at).is_ok() {
            return Ok(at);
        }
    }
    Err("no port is free".to_owned())
}

/// What a forwarder's status tells of its table.
fn table(forwarder: &mut Process) -> Option<Vec<Option<String>>> {
    let line = forwarder.told("status at ").ok()?;
    let mut stream = TcpStream::connect(line.rsplit(' ').next()?).ok()?;
    stream
        .write_all(b"GET /status HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n")
        .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status: Value = serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()?;
    let slices = status["tables"]["slices"].as_array()?;
    Some(
        slices
            .iter()
            .map(|slice| slice["server"].as_str().map(str::to_owned))
            .collect(),
    )
}

pub struct TestBed {
    pub wish: TestBedOptions,
    pub registry: Registry,
    pub discovery: FakeServers,
    pub workers: Workers,
    pub servers: BTreeMap<String, Worker>,
    pub assigners: Vec<Process>,
    pub forwarders: Vec<Process>,
    natures: BTreeMap<String, WorkerKind>,
    told: Vec<ReportedState>,
    /// Slices that have nobody, since when; and those that had.
    bare: BTreeMap<usize, Duration>,
    was_bare: Vec<(usize, Duration, Duration)>,
    /// The revision of each assigner's mark when last looked at.
    marks: BTreeMap<String, u64>,
    marked: Vec<(String, Duration)>,
    made: usize,
    assigner: PathBuf,
    forwarder: PathBuf,
    ports: Vec<SocketAddr>,
}

impl TestBed {
    /// Starts everything; clients may come once this returns.
    ///
    /// # Errors
    /// What did not start.
    pub fn start(wish: TestBedOptions) -> Result<TestBed, String> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let io = |e: std::io::Error| e.to_string();
        let discovery = FakeServers::start(any, any, Duration::from_secs_f64(LEASE)).map_err(io)?;
        let registry = Registry::start(wish.faults.clone()).map_err(io)?;
        let mut rig = TestBed {
            registry,
            discovery,
            workers: Workers::default(),
            servers: BTreeMap::new(),
            assigners: Vec::new(),
            forwarders: Vec::new(),
            natures: BTreeMap::new(),
            told: Vec::new(),
            bare: BTreeMap::new(),
            was_bare: Vec::new(),
            marks: BTreeMap::new(),
            marked: Vec::new(),
            made: 0,
            assigner: program("lynxmilld", "lynxmill-daemon")?,
            forwarder: program("lynxforward", "lynxmill-forward")?,
            ports: Vec::new(),
            wish,
        };
        let names: Vec<String> = (0..rig.wish.servers)
            .map(|_| rig.add_server(true))
            .collect::<Result<_, _>>()?;
        for slice in 0..rig.wish.slices {
            let server = Some(names[slice % names.len()].clone());
            let line = Line {
                server,
                generation: 1,
                stamp: "0".into(),
            };
            let key = Layout::new(PREFIX).key(&KeyLocation::Line(slice));
            rig.registry.change(|store| store.put(&key, &spell(&line)));
        }
        for at in 0..rig.wish.assigners {
            let process = rig.start_assigner(at, lasting()?)?;
            rig.assigners.push(process);
        }
        for at in 0..rig.wish.forwarders {
            let process = rig.start_forwarder(at, lasting()?)?;
            rig.ports.push(process.address);
            rig.forwarders.push(process);
        }
        Ok(rig)
    }

    fn store(&self, lease: u64) -> Value {
        let lease = if self.wish.protocol == "consul" {
            lease.max(10)
        } else {
            lease
        };
        json!({"protocol": self.wish.protocol, "address": self.registry.at, "prefix": PREFIX, "lease_s": lease,
            "look_ms": 100})
    }

    fn start_assigner(&self, at: usize, listen: SocketAddr) -> Result<Process, String> {
        let mut told = json!({"name": format!("n{at}"), "listen": listen, "discovery": self.discovery.discovery,
            "seed": format!("{:x}", self.wish.seed * 1000 + at as u64), "limits": {"memory_mb": 192, "sockets": 256},
            "store": self.store(3), "settings": self.wish.settings()});
        if self.wish.runtime {
            told["runtime"] = json!({"connections": 200, "commands_per_s": 1000,
                "sockets": [{"path": self.socket(at), "level": "operator"}]});
        }
        Process::start(
            &self.assigner,
            write(&told.to_string())?,
            Some("PROXY_CONFIG"),
        )
    }

    fn start_forwarder(&self, at: usize, listen: SocketAddr) -> Result<Process, String> {
        let collectors: Vec<Value> = self
            .assigners
            .iter()
            .enumerate()
            .map(|(at, process)| json!({"assigner": format!("n{at}"), "address": process.address}))
            .collect();
        let zone = ["a", "b"][at % 2];
        let mut told = json!({"name": format!("f{at}"), "number": at, "zone": zone, "listen": listen,
            "shared_port": true, "status": "127.0.0.1:0", "discovery": self.discovery.discovery,
            "store": self.store(3), "collectors": collectors, "seed": format!("{:x}", self.wish.seed),
            "client_head": "x-client", "turned_back": [429], "drain_s": 3, "limits": {},
            "routes": [{"operation": "lookup", "path": "/lookup/{key}"}, {"operation": "vote", "path": "/vote/{key}"}],
            "settings": self.wish.settings()});
        if let Some(fault) = self.wish.fault {
            told["fault"] = json!(fault);
        }
        Process::start(&self.forwarder, write(&told.to_string())?, None)
    }

    /// Where clients find each forwarder, also while it is away.
    pub fn ports(&self) -> &[SocketAddr] {
        &self.ports
    }

    pub fn now(&self) -> Duration {
        self.workers.now()
    }

    /// A new server, told to be ready; its name.
    ///
    /// # Errors
    /// It could not listen.
    pub fn add_server(&mut self, warm: bool) -> Result<String, String> {
        let name = format!("s-{:03}", self.made);
        let nature = self.wish.nature;
        let worker = self
            .workers
            .start(&name, nature, warm)
            .map_err(|e| e.to_string())?;
        let since = if warm { 0.0 } else { unix_ms() };
        self.made += 1;
        self.natures.insert(name.clone(), nature);
        let at = worker.at.to_string();
        self.servers.insert(name.clone(), worker);
        self.discovery
            .change(|state| state.list_at(&name, &at, "ready", since));
        self.told.push(ReportedState {
            at: self.now(),
            server: name.clone(),
            ready: true,
        });
        Ok(name)
    }

    /// Discovery tells that a server drains, or that it has gone.
    pub fn list(&mut self, name: &str, status: &str) {
        let Some(worker) = self.servers.get(name) else {
            return;
        };
        let at = worker.at.to_string();
        self.discovery
            .change(|state| state.list_at(name, &at, status, 0.0));
        self.told.push(ReportedState {
            at: self.now(),
            server: name.to_owned(),
            ready: status == "ready",
        });
    }

    /// Kills a server; what it had in hand comes to nothing. Discovery has not noticed yet.
    pub fn kill_server(&mut self, name: &str) {
        if let Some(worker) = self.servers.get(name) {
            worker.kill();
        }
    }

    /// Starts a killed assigner again at its address.
    ///
    /// # Errors
    /// It did not start.
    pub fn restart_assigner(&mut self, at: usize) -> Result<(), String> {
        let listen = self.assigners[at].address;
        self.assigners[at].kill();
        self.assigners[at] = self.start_assigner(at, listen)?;
        Ok(())
    }

    /// The same of a forwarder; one that is to end by itself goes on beside its successor until then.
    ///
    /// # Errors
    /// It did not start.
    pub fn restart_forwarder(&mut self, at: usize) -> Result<(), String> {
        let next = self.start_forwarder(at, self.ports[at])?;
        let mut before = std::mem::replace(&mut self.forwarders[at], next);
        before.kill();
        Ok(())
    }

    /// A successor takes a forwarder's port over; the one before, which is told to end.
    ///
    /// # Errors
    /// It did not start.
    pub fn replace_forwarder(&mut self, at: usize) -> Result<Process, String> {
        let next = self.start_forwarder(at, self.ports[at])?;
        let before = std::mem::replace(&mut self.forwarders[at], next);
        before.end();
        Ok(before)
    }

    /// An assigner's runtime socket.
    pub fn socket(&self, at: usize) -> PathBuf {
        std::env::temp_dir().join(format!("lynxmill-rig-{}-n{at}.sock", std::process::id()))
    }

    /// Owners as each forwarder holds them, by slice.
    pub fn tables(&mut self) -> Vec<Vec<Option<String>>> {
        self.forwarders
            .iter_mut()
            .map(|forwarder| table(forwarder).unwrap_or_default())
            .collect()
    }

    /// Owners as the store holds them.
    pub fn owners(&self) -> BTreeMap<usize, Option<String>> {
        let (layout, store) = (Layout::new(PREFIX), self.registry.store());
        let owner = |slice: usize| {
            let line = store.keys.get(&layout.key(&KeyLocation::Line(slice)));
            (
                slice,
                line.and_then(|kv| read::<Line>(&kv.value).ok())
                    .and_then(|line| line.server),
            )
        };
        (0..self.wish.slices).map(owner).collect()
    }

    /// Looks at the store, for what can only be seen while it lasts. To be called some times a second.
    pub fn look(&mut self) {
        let (now, owners) = (self.now(), self.owners());
        for (slice, owner) in owners {
            match owner {
                None => drop(self.bare.entry(slice).or_insert(now)),
                Some(_) => {
                    let since = self.bare.remove(&slice);
                    self.was_bare.extend(since.map(|since| (slice, since, now)));
                }
            }
        }
        let store = self.registry.store();
        for at in 0..self.wish.assigners {
            let name = format!("n{at}");
            let key = Layout::new(PREFIX).key(&KeyLocation::Mark(name.clone()));
            let Some(kv) = store.keys.get(&key) else {
                continue;
            };
            // Another life of it has an account of its own, from its forwarders' joining on.
            let Ok(mark) = read::<Mark>(&kv.value) else {
                continue;
            };
            let life = format!("{name} {}", mark.life);
            if self.marks.insert(name, kv.changed) != Some(kv.changed) {
                self.marked.push((life, now));
            }
        }
    }

    /// All breaches so far.
    pub fn broken(&self) -> Vec<BrokenRule> {
        let now = self.now();
        let mut bare = self.was_bare.clone();
        bare.extend(self.bare.iter().map(|(slice, since)| (*slice, *since, now)));
        let ledger = self.workers.ledger();
        let evidence = Evidence {
            ledger: &ledger,
            told: &self.told,
            bare: &bare,
            marks: &self.marked,
            natures: &self.natures,
        };
        check(&evidence, &self.wish.terms())
    }
}
