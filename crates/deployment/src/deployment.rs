//! The processes of a system: settings files in a folder, programs started, told to end, killed, started again. Only
//! processes that were started here are ended here.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use lynxmill_configuration::{Bounds, NodeSettings};
use lynxmill_startup::SETTINGS_VARIABLE;
use rustix::process::{Pid, Signal, kill_process};

use crate::client;
use crate::site::Site;

/// Between two looks at what is waited for.
const POLL: Duration = Duration::from_millis(50);

/// A machine of a system, by its number from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Machine {
    /// A member of the core: a control-plane node.
    Member(usize),
    /// An edge proxy.
    Edge(usize),
}

impl Machine {
    /// Its `NodeName`.
    pub fn name(self) -> String {
        match self {
            Machine::Member(n) => format!("core-{}", n + 1),
            Machine::Edge(n) => format!("edge-{}", n + 1),
        }
    }

    /// The program that it runs.
    fn program(self) -> &'static str {
        match self {
            Machine::Member(_) => "lynxmill-control-plane",
            Machine::Edge(_) => "lynxmill-edge-proxy",
        }
    }
}

impl fmt::Display for Machine {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.name())
    }
}

/// How many machines a system has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Members of the core.
    pub members: usize,
    /// Edge proxies.
    pub edges: usize,
}

impl Default for Size {
    fn default() -> Self {
        Size {
            members: 3,
            edges: 2,
        }
    }
}

impl Size {
    /// All machines.
    pub fn machines(self) -> impl Iterator<Item = Machine> {
        let edges = (0..self.edges).map(Machine::Edge);
        (0..self.members).map(Machine::Member).chain(edges)
    }

    /// How many members may be lost at once.
    pub(crate) fn tolerated_members(self) -> u32 {
        (self.members.saturating_sub(1) / 2) as u32
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

/// A system. Its processes end with it, and its folder goes unless it is to be kept.
pub struct Deployment {
    /// The addresses.
    pub site: Site,
    /// Settings files, disks and logs.
    pub folder: PathBuf,
    /// The folder stays.
    pub keep: bool,
    size: Size,
    processes: BTreeMap<Machine, Process>,
}

impl Deployment {
    /// Starts three members and two edges with programs from a folder.
    ///
    /// # Errors
    ///
    /// What is missing or can't be started.
    pub fn start(programs: &Path) -> Result<Self, String> {
        Deployment::start_with(programs, Size::default())
    }

    /// Starts a system of this size with programs from a folder.
    ///
    /// # Errors
    ///
    /// What is missing or can't be started.
    pub fn start_with(programs: &Path, size: Size) -> Result<Self, String> {
        for machine in [Machine::Member(0), Machine::Edge(0)] {
            let name = machine.program();
            if !programs.join(name).is_file() {
                let folder = programs.display();
                return Err(format!(
                    "{folder} has no {name}: `cargo build --release` makes it"
                ));
            }
        }
        let site = Site::free(size)?;
        let folder = std::env::temp_dir().join(site.name());
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let process = |machine: Machine| Process {
            local: site.settings(machine, size, &folder),
            program: programs.join(machine.program()),
            folder: folder.clone(),
            child: None,
        };
        let processes = size.machines().map(|m| (m, process(m))).collect();
        let mut system = Deployment {
            site,
            folder,
            keep: false,
            size,
            processes,
        };
        for process in system.processes.values_mut() {
            process.start()?;
        }
        Ok(system)
    }

    /// Where members take calls.
    pub fn controls(&self) -> Vec<String> {
        (0..self.size.members)
            .map(|n| self.site.control(n))
            .collect()
    }

    /// Where members tell clients of edges.
    pub fn directories(&self) -> Vec<String> {
        (0..self.size.members)
            .map(|n| self.site.directory(n))
            .collect()
    }

    /// Where edges take clients.
    pub fn fronts(&self) -> Vec<String> {
        (0..self.size.edges).map(|n| self.site.front(n)).collect()
    }

    /// Where edges tell whether they are ready.
    pub fn readiness(&self) -> Vec<String> {
        (0..self.size.edges)
            .map(|n| self.site.readiness(n))
            .collect()
    }

    fn process(&mut self, machine: Machine) -> Result<&mut Process, String> {
        self.processes
            .get_mut(&machine)
            .ok_or_else(|| format!("there is no {machine}"))
    }

    /// Sends a signal to the process of a machine.
    ///
    /// # Errors
    ///
    /// If it is not there, or has not been started.
    pub fn signal(&mut self, machine: Machine, signal: Signal) -> Result<(), String> {
        self.process(machine)?.signal(signal)
    }

    /// Ends the process of a machine without a word.
    pub fn kill(&mut self, machine: Machine) {
        if let Ok(process) = self.process(machine) {
            process.kill();
        }
    }

    /// How the process of a machine has ended; None while it runs.
    pub fn exit(&mut self, machine: Machine) -> Option<ExitStatus> {
        let process = self.processes.get_mut(&machine)?;
        process.child.as_mut()?.try_wait().ok()?
    }

    /// The id of the process of a machine, if one was started.
    pub fn process_id(&self, machine: Machine) -> Option<u32> {
        let process = self.processes.get(&machine)?;
        process.child.as_ref().map(Child::id)
    }

    /// The settings file of a machine.
    pub fn settings_path(&self, machine: Machine) -> PathBuf {
        self.folder.join(format!("{machine}.yaml"))
    }

    /// What all machines are told to keep to.
    pub fn bounds(&self) -> Bounds {
        let first = self.processes.values().next();
        first
            .map(|process| process.local.bounds())
            .unwrap_or_default()
    }

    /// Where a machine writes its log.
    pub fn log_path(&self, machine: Machine) -> PathBuf {
        self.folder.join(format!("{machine}.log"))
    }

    /// The data folder of a member.
    pub fn data_folder(&self, n: usize) -> PathBuf {
        let process = self.processes.get(&Machine::Member(n));
        process
            .and_then(|process| process.local.data_path.clone())
            .unwrap_or_default()
            .into()
    }

    /// The address of a member's machine.
    pub fn core_address(&self, n: usize) -> String {
        self.site.machine(Machine::Member(n))
    }

    /// Where a member takes the streams of edges.
    pub fn internal_address(&self, n: usize) -> String {
        self.site.internal(n)
    }

    /// From its next start on a member keeps its state in another folder.
    pub fn move_data(&mut self, n: usize, folder: &Path) {
        if let Ok(process) = self.process(Machine::Member(n)) {
            process.local.data_path = Some(folder.display().to_string());
        }
    }

    /// Starts a machine again, on the disk that it left.
    ///
    /// # Errors
    ///
    /// Why it can't be started.
    pub fn restart(&mut self, machine: Machine) -> Result<(), String> {
        let process = self.process(machine)?;
        process.local.bootstrap = false;
        process.start()
    }

    /// Tells of a process that has ended by itself.
    ///
    /// # Errors
    ///
    /// Which one, how, and what it wrote last.
    pub fn sound(&mut self) -> Result<(), String> {
        self.processes
            .values_mut()
            .find_map(Process::ended)
            .map_or(Ok(()), Err)
    }

    /// Waits for something to hold, until a process ends by itself or time is up.
    ///
    /// # Errors
    ///
    /// What ended, or what was waited for.
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
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    /// Sends a configuration until a member takes or refuses it; which one, and its answer.
    ///
    /// # Errors
    ///
    /// If none does in time.
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

    /// Waits until all edges are ready.
    ///
    /// # Errors
    ///
    /// If one is not in time.
    pub fn wait_ready(&mut self, patience: Duration) -> Result<(), String> {
        let pages = self.readiness();
        let ready =
            |at: &String| client::get(at, "/v1/readiness").is_ok_and(|answer| answer.status == 200);
        self.wait("all edges are ready", patience, || pages.iter().all(ready))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
