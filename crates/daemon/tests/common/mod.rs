//! The program under test and ways to look at it. Each test program uses its part.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use lynxmill_fake_servers::{Collector, FakeServers, config, settings};
use serde_json::Value;

pub(crate) const ANY: &str = "127.0.0.1:0";
/// How long what must come may take.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// Four servers, eight slices at the first two, three proxies.
pub(crate) fn standin() -> FakeServers {
    let any = || ANY.parse().expect("an address");
    let lease = settings()["specifics"]["lease"].as_f64().expect("a lease");
    let standin =
        FakeServers::start(any(), any(), Duration::from_secs_f64(lease)).expect("free ports");
    standin.change(|state| {
        ["s-a", "s-b", "s-c", "s-d"]
            .iter()
            .for_each(|server| state.list(server, "ready", 0.0));
        (0..8).for_each(|slice| state.give(slice, Some(["s-a", "s-b"][slice % 2])));
        (0..3).for_each(|px| state.attach(px));
    });
    standin
}

/// What the program wrote so far.
pub(crate) type Log = Arc<(Mutex<Vec<String>>, Condvar)>;

pub(crate) struct Daemon {
    pub child: Child,
    pub log: Log,
    pub address: SocketAddr,
    pub config: PathBuf,
}

pub(crate) fn command(config: Option<&PathBuf>) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lynxmilld"));
    let told = [
        "PROXY_CONFIG",
        "PROXY_NAME",
        "PROXY_LISTEN",
        "PROXY_DISCOVERY",
        "RUST_LOG",
    ];
    for variable in told {
        command.env_remove(variable);
    }
    if let Some(path) = config {
        command.env("PROXY_CONFIG", path);
    }
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

pub(crate) fn write(config: &Value) -> PathBuf {
    write_text(&config.to_string())
}

pub(crate) fn write_text(config: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "lynxmilld-{}-{}.json",
        std::process::id(),
        COUNT.fetch_add(1, Ordering::Relaxed)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("a file");
    path
}

impl Daemon {
    pub(crate) fn start(standin: &FakeServers) -> Self {
        Self::start_at(standin, ANY.parse().expect("an address"), Value::Null)
    }

    pub(crate) fn start_at(standin: &FakeServers, listen: SocketAddr, known: Value) -> Self {
        Self::start_with(listen, &config(listen, standin, known))
    }

    pub(crate) fn recording(standin: &FakeServers, record: Value) -> Self {
        let listen = ANY.parse().expect("an address");
        let mut config = config(listen, standin, Value::Null);
        config["record"] = record;
        Self::start_with(listen, &config)
    }

    pub(crate) fn start_with(listen: SocketAddr, config: &Value) -> Self {
        Self::start_file(listen, write(config))
    }

    /// From a configuration as it is written.
    pub(crate) fn start_on(config: &str) -> Self {
        Self::start_file(ANY.parse().expect("an address"), write_text(config))
    }

    fn start_file(listen: SocketAddr, config: PathBuf) -> Self {
        let mut child = command(Some(&config)).spawn().expect("the program");
        let log = Log::default();
        let (lines, stderr) = (log.clone(), child.stderr.take().expect("its log"));
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lines.0.lock().expect("lines").push(line);
                lines.1.notify_all();
            }
        });
        let mut daemon = Daemon {
            child,
            log,
            address: listen,
            config,
        };
        let line = daemon.told("listens on ");
        daemon.address = line
            .rsplit(' ')
            .next()
            .and_then(|a| a.parse().ok())
            .expect("its address");
        daemon
    }

    /// Waits for a line of the log with these words.
    pub(crate) fn told(&self, words: &str) -> String {
        let (lock, changed) = &*self.log;
        let end = Instant::now() + PATIENCE;
        let mut lines = lock.lock().expect("lines");
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(words)) {
                return line.clone();
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "{words:?} is not told in time: {lines:#?}");
            lines = changed.wait_timeout(lines, left).expect("lines").0;
        }
    }

    pub(crate) fn collector(&self) -> Collector {
        let mut collector = Collector::connect(self.address).expect("a connection");
        collector
            .say(&["telemetry", "zone", "a"])
            .expect("room to write");
        collector
    }

    pub(crate) fn alive(&self) -> bool {
        Collector::connect(self.address)
            .expect("a connection")
            .alive()
    }

    /// The head and the body of what a path is answered with.
    pub(crate) fn get(&self, path: &str) -> (String, Vec<u8>) {
        let mut asked = Collector::connect(self.address).expect("a connection");
        let request = format!("GET {path} HTTP/1.1\r\nhost: n0\r\n\r\n");
        asked.write(request.as_bytes()).expect("room to write");
        let answer = asked.rest().expect("an answer");
        let end = answer
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .expect("a head");
        (
            String::from_utf8_lossy(&answer[..end]).into_owned(),
            answer[end + 4..].to_vec(),
        )
    }

    pub(crate) fn status(&self) -> Value {
        let (head, body) = self.get("/status");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        serde_json::from_slice(&body).expect("JSON")
    }

    /// Asks for the status until it is as told.
    pub(crate) fn until(&self, what: &str, so: impl Fn(&Value) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !so(&self.status()) {
            assert!(Instant::now() < end, "{what}: {}", self.status());
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
