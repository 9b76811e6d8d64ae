//! Programs of this project as processes of our own: started, looked at, stopped, killed by their ids.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// How long what must be told may take.
const PATIENCE: Duration = Duration::from_secs(60);
/// Lines of a log that are kept.
const LINES: usize = 4000;

/// Where a program of this project is: beside the one that runs, or a folder above it (tests). One that has not been
/// built is, where cargo has started us.
///
/// # Errors
/// Why it can't be had.
pub fn program(name: &str, package: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let places: Vec<&Path> = own.ancestors().skip(1).take(2).collect();
    let there = |places: &[&Path]| {
        places
            .iter()
            .map(|place| place.join(name))
            .find(|path| path.is_file())
    };
    if let Some(path) = there(&places) {
        return Ok(path);
    }
    let cargo = std::env::var_os("CARGO")
        .ok_or_else(|| format!("no {name} beside {}: build it first", own.display()))?;
    let release = own.components().any(|part| part.as_os_str() == "release");
    let mut build = Command::new(cargo);
    build
        .args(["build", "--quiet", "-p", package, "--bin", name])
        .args(release.then_some("--release"));
    let built = build.status().map_err(|e| e.to_string())?;
    there(&places)
        .filter(|_| built.success())
        .ok_or_else(|| format!("{name} could not be built"))
}

#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    more: Condvar,
}

/// A process, killed when it is dropped.
pub struct Process {
    child: Child,
    log: Arc<Log>,
    pub address: SocketAddr,
    file: PathBuf,
}

impl Process {
    /// Starts a program with its file; it is up once it has told where it listens.
    ///
    /// # Errors
    /// Why it is not.
    pub fn start(path: &Path, file: PathBuf, variable: Option<&str>) -> Result<Process, String> {
        let mut command = Command::new(path);
        for told in [
            "PROXY_CONFIG",
            "PROXY_NAME",
            "PROXY_LISTEN",
            "PROXY_DISCOVERY",
            "RUST_LOG",
            "LYNXMILL_LOG",
        ] {
            command.env_remove(told);
        }
        match variable {
            Some(variable) => command.env(variable, &file),
            None => command.arg(&file),
        };
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .map_err(|e| format!("{}: {e}", path.display()))?;
        let log = Arc::new(Log::default());
        if let Some(stderr) = child.stderr.take() {
            let log = log.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let mut lines = log.lines.lock().unwrap_or_else(PoisonError::into_inner);
                    if lines.len() == LINES {
                        lines.drain(..LINES / 2);
                    }
                    lines.push(line);
                    log.more.notify_all();
                }
            });
        }
        let mut process = Process {
            child,
            log,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            file,
        };
        let line = process.told(" listens on ")?;
        let address = line
            .rsplit(' ')
            .next()
            .and_then(|address| address.parse().ok());
        process.address = address.ok_or_else(|| format!("no address in {line:?}"))?;
        Ok(process)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line of its log with these words.
    ///
    /// # Errors
    /// What it said instead.
    pub fn told(&mut self, words: &str) -> Result<String, String> {
        let end = Instant::now() + PATIENCE;
        let mut lines = self
            .log
            .lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(words)) {
                return Ok(line.clone());
            }
            let ended = self.child.try_wait().is_ok_and(|ended| ended.is_some());
            if ended || Instant::now() >= end {
                return Err(format!("{words:?} was not told: {:?}", lines.last()));
            }
            let wait = self.log.more.wait_timeout(lines, Duration::from_millis(50));
            lines = wait.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// The last lines of its log.
    pub fn last(&self, count: usize) -> Vec<String> {
        let lines = self
            .log
            .lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        lines[lines.len().saturating_sub(count)..].to_vec()
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(id, signal);
        }
    }

    /// It stands still, with all that it holds, until it goes on.
    pub fn halt(&self) {
        self.signal(Signal::STOP);
    }

    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// It is asked to end.
    pub fn end(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether it has ended, and with which code.
    pub fn ended(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.code().unwrap_or(-1))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Seconds of a core that it has used, and MB that it holds and has held at most.
    pub fn used(&self) -> (f64, f64, f64) {
        let of = |what: &str| {
            std::fs::read_to_string(format!("/proc/{}/{what}", self.child.id())).unwrap_or_default()
        };
        let (stat, status) = (of("stat"), of("status"));
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |at: usize| {
            fields
                .get(at)
                .and_then(|field| field.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let mb = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok())
                .unwrap_or(0.0)
                / 1024.0
        };
        ((ticks(11) + ticks(12)) / 100.0, mb("VmRSS:"), mb("VmHWM:"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.go_on();
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}
