//! A small deployment on loopback: three machines of the core and some edges, each with an address of its own,
//! started with the commands of the deploy file. Only processes that were started here are ended here.

use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

pub const SIGTERM: i32 = 15;

pub const BEAT: Duration = Duration::from_millis(1500);
pub const DRAIN_S: f64 = 3.0;
pub const GRACE_S: f64 = 6.0;
pub const EVACUATE_S: f64 = 5.0;
pub const SECOND: Duration = Duration::from_secs(1);

/// As on the users' page of the deployment: zone and region.
pub const ZONES: [(&str, &str); 4] =
    [("ams-hal1", "randstad"), ("ens-hal1", "oost"), ("rtm-hal2", "randstad"), ("arn-hal2", "oost")];
const CORE_ZONES: [usize; 3] = [0, 0, 2];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A process of the system.
pub struct Process {
    pub name: String,
    command: Vec<String>,
    root: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> Result<(), String> {
        let path = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(&path);
        let log = log.map_err(|e| format!("{}: {e}", path.display()))?;
        let mut command = Command::new(self.root.join(&self.command[0]));
        command.args(&self.command[1..]).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("LYNXMILL_NODE_FILE", self.folder.join(format!("{}.yaml", self.name)));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.command[0]))?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for, so the id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Site {
    block: String,
    port: u16,
    pub folder: PathBuf,
    pub core: Vec<Process>,
    pub edges: Vec<Process>,
}

/// The command of a role in the deploy file.
fn command(root: &Path, role: &str) -> Result<Vec<String>, String> {
    let path = root.join("deploy/system.toml");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let part = text.split_once(&format!("[roles.{role}]")).map(|(_, rest)| rest);
    let run = part.and_then(|p| p.lines().find_map(|l| l.trim().strip_prefix("run = ")));
    let words = run.map(|r| r.trim_matches('"').split(' ').map(str::to_owned).collect());
    words.ok_or_else(|| format!("the deploy file has no role {role}"))
}

impl Site {
    pub fn start(root: &Path, edges: usize, record: &Record) -> Result<Self, String> {
        let id = std::process::id();
        let found = (0..200u32).find_map(|n| {
            let mixed = id.wrapping_add(n.wrapping_mul(7919));
            let block = format!("127.{}.{}", 64 + mixed / 250 % 128, 1 + mixed % 250);
            let port = (20_000 + mixed.wrapping_mul(31) % 11_000) as u16;
            let machines = (11..14).chain(21..21 + edges);
            let taken: Vec<_> = machines
                .flat_map(|last| (0..6).map(move |p| (last, p)))
                .map(|(last, p)| TcpListener::bind((format!("{block}.{last}"), port + p)))
                .collect();
            taken.iter().all(Result::is_ok).then_some((block, port))
        });
        let (block, port) = found.ok_or("no free ports on loopback")?;
        let folder = std::env::temp_dir().join(format!("lynxmill-review-{id}"));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let mut site = Site { block, port, folder, core: Vec::new(), edges: Vec::new() };
        for n in 0..3 {
            let process = site.process(root, "control-plane", format!("core-{}", n + 1), |site, folder| {
                site.core_settings(n, folder)
            })?;
            site.core.push(process);
        }
        for n in 0..edges {
            let process = site.process(root, "edge-proxy", format!("edge-{}", n + 1), |site, _| {
                site.edge_settings(n)
            })?;
            site.edges.push(process);
        }
        for process in site.core.iter_mut().chain(&mut site.edges) {
            process.start()?;
            record.line(format!("started {}", process.name));
        }
        Ok(site)
    }

    fn process(
        &self,
        root: &Path,
        role: &str,
        name: String,
        settings: impl FnOnce(&Site, &Path) -> String,
    ) -> Result<Process, String> {
        let text = settings(self, &self.folder);
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Process {
            name,
            command: command(root, role)?,
            root: root.to_owned(),
            folder: self.folder.clone(),
            child: None,
        })
    }

    fn core_ip(&self, n: usize) -> String {
        format!("{}.{}", self.block, 11 + n)
    }

    fn edge_ip(&self, n: usize) -> String {
        format!("{}.{}", self.block, 21 + n)
    }

    pub fn task_ip(&self, n: usize) -> String {
        format!("{}.{}", self.block, 31 + n)
    }

    pub fn other_ip(&self) -> String {
        format!("{}.200", self.block)
    }

    pub fn control(&self, n: usize) -> String {
        format!("{}:{}", self.core_ip(n), self.port)
    }

    pub fn controls(&self) -> Vec<String> {
        (0..3).map(|n| self.control(n)).collect()
    }

    pub fn front(&self, n: usize) -> String {
        format!("{}:{}", self.edge_ip(n), self.port + 2)
    }

    pub fn readiness(&self, n: usize) -> String {
        format!("{}:{}", self.edge_ip(n), self.port + 3)
    }

    /// What the settings of all machines have in common, by the users' page of the small deployment.
    fn settings(&self, name: &str, class: &str, ip: &str, zone: usize, rest: &str) -> String {
        let seeds: Vec<String> = self.controls().iter().map(|c| format!("  - \"{c}\"\n")).collect();
        let zones: Vec<String> = ZONES.iter().map(|(z, r)| format!("  {z}: \"{r}\"\n")).collect();
        format!(
            "NodeName: \"{name}\"\nMachineClass: \"{class}\"\nIp: \"{ip}\"\nZone: \"{}\"\nRegion: \"{}\"\n\
             Zones:\n{}InternalPorts:\n  - {}\n  - {}\nSeedNodes:\n{}Bootstrap: true\n\
             DiscoverySource: \"registration\"\nEntryKind: \"directory\"\nBeatIntervalS: {}\n\
             FaultTolerance:\n  Machines: 1\n  Zones: 1\n  Regions: 0\n\
             Bounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  ContactS: 4\n  AckS: 6\n  CatchUpS: 4\n  DrainS: {DRAIN_S}\n  \
             GraceS: {GRACE_S}\n  LossSlackS: 0.2\n  ConfigApplyS: 3\n  RevertSlackS: 0.25\n  StretchS: 8\n  \
             RetryRatio: 0.2\n  RetryWindowS: 10\n  RetrySlack: 64\n  ColdOvershoot: 1.5\n  ColdSlack: 5\n  \
             EvacuateS: {EVACUATE_S}\n  RecoveryS: 15\n  MaxHoldS: 10\n  ThawS: 0.3\n  ttl_max_s: 5\n\
             ConfigMode: \"parts\"\nGrants: \"heartbeat\"\n{rest}",
            ZONES[zone].0,
            ZONES[zone].1,
            zones.concat(),
            self.port + 4,
            self.port + 5,
            seeds.concat(),
            BEAT.as_secs_f64(),
        )
    }

    fn core_settings(&self, n: usize, folder: &Path) -> String {
        let (name, ip) = (format!("core-{}", n + 1), self.core_ip(n));
        let rest = format!(
            "Role: \"control-plane\"\nServes:\n  - \"control\"\n  - \"directory\"\n\
             ListenAddrs:\n  Control: \"{ip}:{}\"\n  Directory: \"{ip}:{}\"\nQuorumMember: true\n\
             Limits:\n  CpuShare: 0.6\n  CpuCores: 1\n  MemoryMb: 256\n  MaxFds: 4096\n  LinkMbps: 1000.0\n  DiskMb: 256\n\
             DataPath: \"{}\"\n",
            self.port,
            self.port + 1,
            folder.join(format!("{name}-disk")).display(),
        );
        self.settings(&name, "core", &ip, CORE_ZONES[n], &rest)
    }

    fn edge_settings(&self, n: usize) -> String {
        let (name, ip) = (format!("edge-{}", n + 1), self.edge_ip(n));
        let rest = format!(
            "Role: \"edge-proxy\"\nServes:\n  - \"edge\"\n\
             ListenAddrs:\n  Front: \"{ip}:{}\"\n  Readiness: \"{ip}:{}\"\nQuorumMember: false\n\
             Limits:\n  CpuShare: 0.17\n  CpuCores: 1\n  MemoryMb: 260\n  MaxFds: 4100\n  LinkMbps: 1000.0\n  DiskMb: 0\n\
             DataPath: null\n",
            self.port + 2,
            self.port + 3,
        );
        self.settings(&name, "edge", &ip, n % ZONES.len(), &rest)
    }

    /// Waits until something holds; no process may end by itself meanwhile.
    pub fn wait(&mut self, what: &str, patience: Duration, mut holds: impl FnMut() -> bool) -> Result<(), String> {
        let until = Instant::now() + patience;
        while !holds() {
            self.all_run()?;
            if Instant::now() >= until {
                return Err(format!("{what}: not within {patience:?}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    pub fn all_run(&mut self) -> Result<(), String> {
        let ended = self.core.iter_mut().chain(&mut self.edges).find_map(|p| p.has_ended().then(|| p.name.clone()));
        ended.map_or(Ok(()), |name| Err(format!("{name} ended by itself")))
    }

    /// The operator's first call, resent until it is taken.
    pub fn configure(&mut self, change: &str, record: &Record) -> Result<(), String> {
        let controls = self.controls();
        let mut next = 0;
        self.wait("the configuration is taken", Duration::from_secs(20), || {
            let at = &controls[next % controls.len()];
            next += 1;
            let status = http::control(at, "PATCH", "/v1/configuration", change, SECOND).map_or(0, |a| a.status);
            record.line(format!("operator PATCH /v1/configuration at {at}: {status}"));
            status == 200
        })
    }

    pub fn wait_ready(&mut self) -> Result<(), String> {
        let pages: Vec<String> = (0..self.edges.len()).map(|n| self.readiness(n)).collect();
        let ready = |at: &String| {
            http::control(at, "GET", "/v1/readiness", "", SECOND).is_ok_and(|answer| answer.status == 200)
        };
        self.wait("all edges are ready", Duration::from_secs(20), || pages.iter().all(ready))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.edges.clear();
        self.core.clear();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
