//! A small system on loopback: settings files in a folder, real processes, each machine an address of its
//! own. Only processes that were started here are ended here.

use std::collections::HashMap;
use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use lynxmill_configuration::{Bounds, FaultTolerance, Listen, NodeSettings, ResourceLimits};
use lynxmill_startup::SETTINGS_VARIABLE;
use rustix::process::{Pid, Signal, kill_process};

use crate::client;

pub(crate) const REGION: &str = "vale";
pub(crate) const ZONES: [&str; 3] = ["north", "south", "west"];
const CORE: usize = 3;
const EDGES: usize = 2;
/// Last numbers of the machines' addresses.
const CORE_FROM: usize = 11;
const EDGES_FROM: usize = 21;
const TASKS_FROM: usize = 31;
pub(crate) const BEAT_S: f64 = 0.5;
const LOOK: Duration = Duration::from_millis(50);
/// Ports of a system: control, directory, front, readiness, and two between assigners.
const PORTS: u16 = 6;
/// The first of the two ports between assigners, counted from a system's first.
const INTERNAL_PORT: u16 = 4;
/// Below the ports that the kernel gives to callers.
const LOWEST: u32 = 20_000;
const SPAN: u32 = 11_000;

static SITES: AtomicU32 = AtomicU32::new(0);

/// Addresses of a system: a block of 127.0.0.0/8 with ports that are free on all of its machines.
#[derive(Clone, Debug)]
pub struct Site {
    block: String,
    port: u16,
}

impl Site {
    pub fn free() -> Result<Self, String> {
        for _ in 0..200 {
            let n = SITES.fetch_add(1, Ordering::Relaxed);
            let mixed = std::process::id().wrapping_add(n.wrapping_mul(7919));
            let block = format!("127.{}.{}", 64 + mixed / 250 % 128, 1 + mixed % 250);
            let port = (LOWEST + mixed.wrapping_mul(31) % SPAN) as u16;
            let site = Site { block, port };
            if site.all_free() {
                return Ok(site);
            }
        }
        Err("no free ports on loopback".to_owned())
    }

    fn all_free(&self) -> bool {
        let ips = (0..CORE)
            .map(|n| self.core(n))
            .chain((0..EDGES).map(|n| self.edge(n)));
        let taken: Vec<_> = ips
            .flat_map(|ip| (0..PORTS).map(move |offset| (ip.clone(), offset)))
            .map(|(ip, offset)| TcpListener::bind((ip.as_str(), self.port + offset)))
            .collect();
        taken.iter().all(Result::is_ok)
    }

    fn ip(&self, last: usize) -> String {
        format!("{}.{last}", self.block)
    }

    fn core(&self, n: usize) -> String {
        self.ip(CORE_FROM + n)
    }

    fn edge(&self, n: usize) -> String {
        self.ip(EDGES_FROM + n)
    }

    /// An address for a task, by its number.
    pub fn task(&self, n: usize) -> String {
        self.ip(TASKS_FROM + n)
    }

    fn control(&self, n: usize) -> String {
        format!("{}:{}", self.core(n), self.port)
    }

    fn directory(&self, n: usize) -> String {
        format!("{}:{}", self.core(n), self.port + 1)
    }

    fn front(&self, n: usize) -> String {
        format!("{}:{}", self.edge(n), self.port + 2)
    }

    fn readiness(&self, n: usize) -> String {
        format!("{}:{}", self.edge(n), self.port + 3)
    }

    fn local(&self, core: bool, n: usize, folder: &Path) -> NodeSettings {
        let name = format!("{}-{}", if core { "core" } else { "edge" }, n + 1);
        let zones: HashMap<_, _> = ZONES
            .iter()
            .map(|z| ((*z).to_owned(), REGION.to_owned()))
            .collect();
        let words = |list: &[&str]| list.iter().map(|w| (*w).to_owned()).collect::<Vec<_>>();
        let listen = if core {
            Listen {
                control: self.control(n),
                directory: self.directory(n),
                ..Listen::default()
            }
        } else {
            Listen {
                front: self.front(n),
                readiness: self.readiness(n),
                ..Listen::default()
            }
        };
        NodeSettings {
            role: if core { "control-plane" } else { "edge-proxy" }.to_owned(),
            machine_class: if core { "core" } else { "edge" }.to_owned(),
            serves: if core {
                words(&["control", "directory"])
            } else {
                words(&["edge"])
            },
            ip: if core { self.core(n) } else { self.edge(n) },
            zone: ZONES[n % ZONES.len()].to_owned(),
            region: REGION.to_owned(),
            zones,
            listen_addrs: Some(listen),
            internal_ports: [0, 1]
                .map(|n| u32::from(self.port + INTERNAL_PORT + n))
                .to_vec(),
            seed_nodes: (0..CORE).map(|n| self.control(n)).collect(),
            bootstrap: true,
            quorum_member: core,
            limits: Some(ResourceLimits {
                cpu_share: 1.0,
                memory_mb: 260.0,
                max_fds: 1024,
                ..ResourceLimits::default()
            }),
            data_path: core.then(|| folder.join(format!("{name}-disk")).display().to_string()),
            beat_interval_s: BEAT_S,
            fault_tolerance: Some(FaultTolerance {
                machines: 1,
                zones: 1,
                regions: 0,
            }),
            bounds: Some(Bounds {
                contact_s: 5.0,
                ack_s: 8.0,
                catch_up_s: 4.0,
                drain_s: 2.0,
                grace_s: 3.0,
                config_apply_s: 4.0,
                retry_ratio: 0.2,
                retry_window_s: 10.0,
                retry_slack: 64.0,
                cold_overshoot: 1.5,
                cold_slack: 5.0,
                evacuate_s: 5.0,
                max_hold_s: 10.0,
                thaw_s: 0.3,
                ttl_max_s: 5.0,
            }),
            node_name: name,
        }
    }
}

/// A process of the system, and the file that it is told its settings by.
struct Process {
    local: NodeSettings,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn path(&self, ending: &str) -> PathBuf {
        self.folder
            .join(format!("{}.{ending}", self.local.node_name))
    }

    fn start(&mut self) -> Result<(), String> {
        let error = |e: &dyn std::fmt::Display| format!("{}: {e}", self.local.node_name);
        let settings = self.path("yaml");
        let text = serde_yaml_ng::to_string(&self.local).map_err(|e| error(&e))?;
        std::fs::write(&settings, text).map_err(|e| error(&e))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path("log"))
            .map_err(|e| error(&e))?;
        let child = Command::new(&self.program)
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    fn signal(&mut self, signal: Signal) -> Result<(), String> {
        let error = |e: &dyn std::fmt::Display| format!("{}: {e}", self.local.node_name);
        let child = self.child.as_ref().ok_or_else(|| error(&"not started"))?;
        kill_process(Pid::from_child(child), signal).map_err(|e| error(&e))
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// What it wrote last, if it has ended by itself.
    fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        let log = std::fs::read_to_string(self.path("log")).unwrap_or_default();
        let last = log.lines().last().unwrap_or("it wrote nothing").to_owned();
        Some(format!(
            "{} ended with {status}: {last}",
            self.local.node_name
        ))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Three control-plane nodes and two edge proxies. They end with it, and their folder goes unless it is to be
/// kept.
pub struct Deployment {
    pub site: Site,
    pub folder: PathBuf,
    pub keep: bool,
    core: Vec<Process>,
    edges: Vec<Process>,
}

impl Deployment {
    /// Starts all of it with programs from a folder.
    pub fn start(programs: &Path) -> Result<Self, String> {
        for name in ["lynxmill-control-plane", "lynxmill-edge-proxy"] {
            if !programs.join(name).is_file() {
                let folder = programs.display();
                return Err(format!(
                    "{folder} has no {name}: `cargo build --release` makes it"
                ));
            }
        }
        let site = Site::free()?;
        let name = format!("lynxmill-system-{}-{}", std::process::id(), site.port);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let process = |core: bool, n: usize| Process {
            local: site.local(core, n, &folder),
            program: programs.join(if core {
                "lynxmill-control-plane"
            } else {
                "lynxmill-edge-proxy"
            }),
            folder: folder.clone(),
            child: None,
        };
        let core = (0..CORE).map(|n| process(true, n)).collect();
        let edges = (0..EDGES).map(|n| process(false, n)).collect();
        let mut system = Deployment {
            site,
            folder,
            keep: false,
            core,
            edges,
        };
        for process in system.core.iter_mut().chain(&mut system.edges) {
            process.start()?;
        }
        Ok(system)
    }

    pub fn controls(&self) -> Vec<String> {
        (0..self.core.len()).map(|n| self.site.control(n)).collect()
    }

    pub fn directories(&self) -> Vec<String> {
        (0..self.core.len())
            .map(|n| self.site.directory(n))
            .collect()
    }

    pub fn fronts(&self) -> Vec<String> {
        (0..self.edges.len()).map(|n| self.site.front(n)).collect()
    }

    pub fn readiness(&self) -> Vec<String> {
        (0..self.edges.len())
            .map(|n| self.site.readiness(n))
            .collect()
    }

    /// Ends a control-plane node without a word.
    pub fn kill_core(&mut self, n: usize) {
        self.core[n].kill();
    }

    /// Tells a control-plane node to end in order.
    pub fn terminate_core(&mut self, n: usize) -> Result<(), String> {
        self.core[n].signal(Signal::TERM)
    }

    /// Tells a control-plane node that its settings file has changed.
    pub fn hang_up_core(&mut self, n: usize) -> Result<(), String> {
        self.core[n].signal(Signal::HUP)
    }

    /// How a control-plane node has ended; None while it runs.
    pub fn core_exit(&mut self, n: usize) -> Option<ExitStatus> {
        self.core[n].child.as_mut()?.try_wait().ok()?
    }

    /// The data folder of a control-plane node.
    pub fn data_folder(&self, n: usize) -> PathBuf {
        self.core[n]
            .local
            .data_path
            .clone()
            .unwrap_or_default()
            .into()
    }

    /// The address of a control-plane node's machine.
    pub fn core_address(&self, n: usize) -> String {
        self.site.core(n)
    }

    /// Where a control-plane node takes the streams of edges.
    pub fn internal_address(&self, n: usize) -> String {
        format!("{}:{}", self.site.core(n), self.site.port + INTERNAL_PORT)
    }

    /// From its next start on it keeps its state in another folder.
    pub fn move_data(&mut self, n: usize, folder: &Path) {
        self.core[n].local.data_path = Some(folder.display().to_string());
    }

    /// Starts it again on the disk that it left.
    pub fn restart_core(&mut self, n: usize) -> Result<(), String> {
        self.core[n].local.bootstrap = false;
        self.core[n].start()
    }

    /// Tells of a process that has ended by itself.
    pub fn sound(&mut self) -> Result<(), String> {
        self.core
            .iter_mut()
            .chain(&mut self.edges)
            .find_map(Process::ended)
            .map_or(Ok(()), Err)
    }

    /// Waits for something to hold, until a process ends by itself or time is up.
    pub fn wait(
        &mut self,
        what: &str,
        patience: Duration,
        mut holds: impl FnMut() -> bool,
    ) -> Result<(), String> {
        let until = Instant::now() + patience;
        while !holds() {
            self.sound()?;
            if Instant::now() >= until {
                return Err(format!(
                    "{what}: not within {patience:?}; logs are in {}",
                    self.folder.display()
                ));
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Sends a configuration until a control-plane node takes or refuses it; which one, and its answer.
    pub fn configure(
        &mut self,
        change: &serde_json::Value,
        patience: Duration,
    ) -> Result<(String, client::Answer), String> {
        let controls = self.controls();
        let mut answer = None;
        self.wait("a configuration is acknowledged", patience, || {
            answer = controls.iter().find_map(|at| {
                let answer = client::patch(at, change)
                    .ok()
                    .filter(|answer| answer.status < 500)?;
                Some((at.clone(), answer))
            });
            answer.is_some()
        })?;
        answer.ok_or_else(|| "no control-plane node answers".to_owned())
    }

    pub fn wait_ready(&mut self, patience: Duration) -> Result<(), String> {
        let pages = self.readiness();
        let ready =
            |at: &String| client::get(at, "/v1/readiness").is_ok_and(|answer| answer.status == 200);
        self.wait("all edges are ready", patience, || pages.iter().all(ready))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.edges.clear();
        self.core.clear();
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
