//! A forwarder with tables and servers, and raw connections to it. Each test program uses its part.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lynxmill_fake_servers::FakeServers;
use lynxmill_fake_servers::registry::{Faults, Registry};
use lynxmill_registry::layout::{KeyLocation as Key, Layout, Line, spell};
use lynxmill_test_bed::Process;
use serde_json::{Value, json};

pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
pub(crate) const SLICES: usize = 4;

pub(crate) fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn layout() -> Layout {
    Layout::new("lynxmill")
}

pub(crate) fn settings() -> Value {
    let mut settings = lynxmill_fake_servers::settings();
    settings["specifics"]["shards"] = json!(SLICES);
    for (key, value) in [
        ("lease", json!(1.0)),
        ("settle", json!(5.0)),
        ("retry_default", json!(1)),
    ] {
        settings["specifics"][key] = value;
    }
    for class in 0..2 {
        settings["classes"][class]["deadline"] = json!(4.0);
    }
    settings
}

/// A forwarder of its own registry and discovery; nobody assigns.
pub(crate) struct Place {
    pub registry: Registry,
    pub discovery: FakeServers,
    pub forwarder: Process,
    generation: u64,
}

pub(crate) fn file(told: &Value) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("lynxforward-{}-{count}.json", std::process::id()));
    std::fs::write(&path, told.to_string()).expect("a file");
    path
}

impl Place {
    /// All slices at this server; `change` has the file its own way.
    pub(crate) fn start(server: SocketAddr, change: impl FnOnce(&mut Value)) -> Place {
        let discovery =
            FakeServers::start(any(), any(), Duration::from_secs(1)).expect("free ports");
        let registry = Registry::start(Faults::default()).expect("a free port");
        let mut told = json!({"name": "f0", "number": 0, "zone": "a", "listen": "127.0.0.1:0",
            "status": "127.0.0.1:0", "discovery": discovery.discovery, "collectors": [], "client_head": "x-client", "turned_back": [429],
            "store": {"protocol": "etcd", "address": registry.at, "lease_s": 2, "look_ms": 50}, "limits": {},
            "routes": [{"operation": "lookup", "path": "/lookup/{key}"}, {"operation": "vote", "path": "/vote/{key}"}],
            "settings": settings()});
        change(&mut told);
        let program = Path::new(env!("CARGO_BIN_EXE_lynxforward"));
        let forwarder = Process::start(program, file(&told), None).expect("it starts");
        let mut place = Place {
            registry,
            discovery,
            forwarder,
            generation: 0,
        };
        place.list("s", server);
        place.own("s");
        place.ready();
        place
    }

    pub(crate) fn list(&self, name: &str, at: SocketAddr) {
        self.discovery
            .change(|state| state.list_at(name, &at.to_string(), "ready", 0.0));
    }

    /// All slices belong to this server from now on.
    pub(crate) fn own(&mut self, server: &str) {
        self.generation += 1;
        let line = Line {
            server: Some(server.to_owned()),
            generation: self.generation,
            stamp: "t".into(),
        };
        for slice in 0..SLICES {
            let key = layout().key(&Key::Line(slice));
            self.registry.change(|store| store.put(&key, &spell(&line)));
        }
    }

    pub(crate) fn status(&mut self) -> Value {
        let line = self.forwarder.told("status at ").expect("its line");
        let at: SocketAddr = line
            .rsplit(' ')
            .next()
            .and_then(|at| at.parse().ok())
            .expect("an address");
        let mut client = Client(TcpStream::connect(at).expect("a connection"));
        client.send("GET /status HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n");
        let text = client.rest();
        serde_json::from_str(text.split("\r\n\r\n").nth(1).unwrap_or_default()).expect("JSON")
    }

    /// Waits until it has its tables, knows where servers are and may write.
    fn ready(&mut self) {
        let end = Instant::now() + PATIENCE;
        loop {
            let status = self.status();
            let (tables, known) = (&status["tables"], status["servers_known"] == 1);
            let held = tables["slices"]
                .as_array()
                .is_some_and(|slices| slices.len() == SLICES);
            if known && held && tables["writes"] == true {
                return;
            }
            assert!(Instant::now() < end, "it is not ready: {status}");
        }
    }

    pub(crate) fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.forwarder.address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
        stream.set_nodelay(true).expect("an option");
        Client(stream)
    }

    /// One whole exchange on a connection of its own.
    pub(crate) fn ask(&self, text: &str) -> String {
        let mut client = self.connect();
        client.send(text);
        client.rest()
    }

    pub(crate) fn vote(&self) -> String {
        self.ask("POST /vote/k HTTP/1.1\r\nhost: f\r\nconnection: close\r\ncontent-length: 6\r\n\r\nballot")
    }

    pub(crate) fn lookup(&self) -> String {
        self.ask("GET /lookup/k HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n")
    }
}

pub(crate) struct Client(pub TcpStream);

impl Client {
    pub(crate) fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("room to write");
    }

    /// What comes until the other side has ended.
    pub(crate) fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The next head.
    pub(crate) fn head(&mut self) -> String {
        let (mut bytes, mut one) = (Vec::new(), [0; 1]);
        while !bytes.ends_with(b"\r\n\r\n") && matches!(self.0.read(&mut one), Ok(1)) {
            bytes.push(one[0]);
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// A server by script: each connection is handed to it in turn, by number.
pub(crate) fn scripted(script: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(any()).expect("a free port");
    let at = listener.local_addr().expect("an address");
    let script = std::sync::Arc::new(script);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let script = script.clone();
            let _ = stream.set_read_timeout(Some(PATIENCE));
            std::thread::spawn(move || script(number, stream));
        }
    });
    at
}

/// Reads a head; what has come behind it.
pub(crate) fn head(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let (mut bytes, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return Some((String::from_utf8_lossy(&bytes).into_owned(), rest));
        }
        match stream.read(&mut piece) {
            Ok(got) if got > 0 => bytes.extend_from_slice(&piece[..got]),
            _ => return None,
        }
    }
}

pub(crate) fn say(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

pub(crate) fn hang_up(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
