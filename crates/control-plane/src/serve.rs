//! The start: disk, memory, listeners, threads, and the end.

use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use lynxmill_configuration::NodeSettings;
use lynxmill_control_node::{Input, NodeOptions, StoredState, TICK};
use lynxmill_storage::Store;
use rouille::Server;

use crate::host::Host;
use crate::writer::WriteQueue;
use crate::{connections, control, directory, edge_streams, start, writer};

const FILE: &str = "control.redb";
/// Threads that answer calls.
const CONTROL: usize = 16;
const DIRECTORY: usize = 4;
/// Between looks at signals, and how many of them go by between looks at the settings file.
const NAP: Duration = Duration::from_millis(100);
const LOOK: u32 = 20;
/// Between looks at whether the node may end.
const LEAVE_NAP: Duration = Duration::from_millis(20);
/// How long the last effects may take to go out.
const LAST_EFFECTS: Duration = Duration::from_millis(100);
/// Between two lines of counters.
const COUNTERS: Duration = Duration::from_secs(10);
const STACK: usize = 512 << 10;

fn open(settings: &NodeSettings, life: u64) -> Result<(StoredState, Store), String> {
    let folder = settings.data_path.clone().unwrap_or_default();
    std::fs::create_dir_all(&folder).map_err(|e| format!("{folder}: {e}"))?;
    let path = Path::new(&folder).join(FILE);
    let (store, held) = Store::open(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok((
        StoredState::new(held, &NodeOptions::new(settings, life)),
        store,
    ))
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = std::thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK);
    thread
        .spawn(work)
        .map(drop)
        .map_err(|e| format!("no thread for {name}: {e}"))
}

fn tick(host: &Arc<Host>) {
    let pause = Duration::from_micros(TICK.micros() as u64);
    let mut next_counters = Instant::now() + COUNTERS;
    loop {
        std::thread::sleep(pause);
        host.step(Input::Tick);
        if Instant::now() >= next_counters {
            next_counters = Instant::now() + COUNTERS;
            host.log_counters();
        }
    }
}

pub fn run(settings: NodeSettings) -> Result<(), String> {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let life = since.map_or(1, |d| d.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40) | 1;
    let born = Instant::now();
    let (stored, store) = open(&settings, life)?;
    let bind = |ip: &str, port: u16| {
        TcpListener::bind((ip, port)).map_err(|e| format!("{ip}:{port}: {e}"))
    };
    let for_edges = bind(&settings.ip, settings.internal_port())?;
    let for_members = bind(&settings.ip, settings.internal_port() + 1)?;
    let listen = settings.listen();
    let first = if stored.founded {
        "the very first time"
    } else {
        "again"
    };
    log::info!("{} starts, {first}", settings.node_name);
    let (writes, queued) = WriteQueue::new();
    let host = Arc::new(Host::new(settings, life, born, stored, writes));
    let fault = |address: &str, e: &dyn std::fmt::Display| format!("{address}: {e}");
    let shared = host.clone();
    let calls = Server::new(&listen.control, move |request| {
        control::handle(&shared, request)
    })
    .map_err(|e| fault(&listen.control, &e))?
    .pool_size(CONTROL);
    let shared = host.clone();
    let asks = Server::new(&listen.directory, move |request| {
        directory::handle(&shared, request)
    })
    .map_err(|e| fault(&listen.directory, &e))?
    .pool_size(DIRECTORY);
    let (for_writer, for_peers, for_streams, for_ticks) =
        (host.clone(), host.clone(), host.clone(), host.clone());
    spawn("writer", move || writer::run(&for_writer, &store, &queued))?;
    spawn("members", move || {
        connections::serve(&for_peers, &for_members)
    })?;
    spawn("edges", move || {
        edge_streams::serve(&for_streams, &for_edges)
    })?;
    spawn("tick", move || tick(&for_ticks))?;
    spawn("control", move || calls.run())?;
    spawn("directory", move || asks.run())?;
    end(&host)
}

/// Takes new seeds of the settings file; all else needs a new start.
fn reload(host: &Arc<Host>) {
    match start::local() {
        Ok(settings) => {
            let seeds = settings.seed_ips();
            log::info!("seeds of the settings file: {}", seeds.join(" "));
            host.step(Input::Seeds(seeds));
        }
        Err(fault) => log::warn!("the settings file is left as it was read before: {fault}"),
    }
}

/// Waits for the order to leave; the node ends once those that stay hold what it has acknowledged.
fn end(host: &Arc<Host>) -> Result<(), String> {
    use signal_hook::consts::{SIGHUP, SIGTERM};
    let term = Arc::new(AtomicBool::new(false));
    let hup = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, term.clone()).map_err(|e| e.to_string())?;
    signal_hook::flag::register(SIGHUP, hup.clone()).map_err(|e| e.to_string())?;
    let modified = || {
        start::path()
            .ok()
            .and_then(|p| std::fs::metadata(p).ok()?.modified().ok())
    };
    let (mut last, mut naps) = (modified(), 0u32);
    while !term.load(Ordering::Relaxed) {
        std::thread::sleep(NAP);
        naps += 1;
        let now = if naps.is_multiple_of(LOOK) {
            modified()
        } else {
            last
        };
        if hup.swap(false, Ordering::Relaxed) || now != last {
            last = now;
            reload(host);
        }
    }
    host.step(Input::Leave);
    while !host.has_left() {
        std::thread::sleep(LEAVE_NAP);
    }
    std::thread::sleep(LAST_EFFECTS);
    host.log_counters();
    Ok(())
}
