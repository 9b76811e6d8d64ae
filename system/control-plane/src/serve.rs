//! The start: disk, memory, listeners, threads, and the end.

use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use lynxmill_configuration::NodeSettings;
use lynxmill_consensus::Acceptor;
use lynxmill_protocol::{Membership, Task};
use lynxmill_storage::{Batch, Store};
use rouille::Server;

use crate::port::{ControlPlane, ControlState, Parts, lock};
use crate::{control, custody, directory, edges, peers, start, tick};

const FILE: &str = "control.redb";
/// Threads that answer calls.
const CONTROL: usize = 16;
const DIRECTORY: usize = 4;
/// How long others get to hear that this member leaves.
const LAST_WORDS: Duration = Duration::from_millis(300);
/// Between looks at signals, and how many of them go by between looks at the settings file.
const NAP: Duration = Duration::from_millis(100);
const LOOK: u32 = 20;

fn open(local: &NodeSettings, life: u64) -> Result<(ControlState, Store, bool, Vec<Task>), String> {
    let folder = local.data_path.clone().unwrap_or_default();
    std::fs::create_dir_all(&folder).map_err(|e| format!("{folder}: {e}"))?;
    let path = Path::new(&folder).join(FILE);
    let (store, held) = Store::open(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut acceptor = Acceptor { me: local.ip.clone(), life, members: held.members, ..Acceptor::default() };
    acceptor.registers = held.registers.into_iter().map(|r| (r.name.clone(), r)).collect();
    acceptor.catching_up = !held.is_voter;
    let seeds = local.seed_ips();
    let first = local.bootstrap && acceptor.members.ips.is_empty() && seeds.contains(&local.ip);
    if first {
        acceptor.members = Membership { epoch: 1, ips: seeds };
        acceptor.catching_up = false;
        let members = Some(acceptor.members.clone());
        let written = store.write(Batch { members, is_voter: Some(true), ..Batch::default() });
        written.map_err(|e| e.to_string())?;
    }
    let tasks = held.tasks;
    let mut core = ControlState {
        acceptor,
        configuration: held.configuration,
        merged: held.merged,
        sharded: Arc::default(),
        synchronized: false,
        storage_failed: false,
    };
    core.services();
    Ok((core, store, first, tasks))
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = std::thread::Builder::new().name(name.to_owned()).stack_size(512 << 10);
    thread.spawn(work).map(drop).map_err(|e| format!("no thread for {name}: {e}"))
}

pub fn run(local: NodeSettings) -> Result<(), String> {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let life = since.map_or(1, |d| d.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40) | 1;
    let born = Instant::now();
    let (core, store, fresh, tasks) = open(&local, life)?;
    let bind = |ip: &str, port: u16| TcpListener::bind((ip, port)).map_err(|e| format!("{ip}:{port}: {e}"));
    let for_edges = bind(&local.ip, local.internal_port())?;
    let for_members = bind(&local.ip, local.internal_port() + 1)?;
    let listen = local.listen();
    let port = Arc::new(ControlPlane::new(Parts { local, life, born, core, store, fresh }));
    lock(&port.yard).restore(tasks);
    log::info!("{} starts, {}", port.local.node_name, if fresh { "the very first time" } else { "again" });
    port.local.seed_ips().iter().chain(&port.members().ips).for_each(|ip| port.know(ip));
    let fault = |address: &str, e: &dyn std::fmt::Display| format!("{address}: {e}");
    let shared = port.clone();
    let calls = Server::new(&listen.control, move |request| control::handle(&shared, request))
        .map_err(|e| fault(&listen.control, &e))?
        .pool_size(CONTROL);
    let shared = port.clone();
    let asks = Server::new(&listen.directory, move |request| directory::handle(&shared, request))
        .map_err(|e| fault(&listen.directory, &e))?
        .pool_size(DIRECTORY);
    let (for_peers, for_streams, for_ticks, for_custody) =
        (port.clone(), port.clone(), port.clone(), port.clone());
    spawn("members", move || peers::serve(for_peers, for_members))?;
    spawn("edges", move || edges::serve(for_streams, for_edges))?;
    spawn("custody", move || custody::run(for_custody))?;
    spawn("tick", move || tick::run(for_ticks))?;
    spawn("control", move || calls.run())?;
    spawn("directory", move || asks.run())?;
    end(&port)
}

/// Takes new seeds of the settings file; all else needs a new start.
fn reload(port: &ControlPlane) {
    match start::local() {
        Ok(local) => {
            let seeds = local.seed_ips();
            log::info!("seeds of the settings file: {}", seeds.join(" "));
            seeds.iter().for_each(|ip| port.know(ip));
        }
        Err(fault) => log::warn!("the settings file is left as it was read before: {fault}"),
    }
}

/// Waits for the order to leave; leases are given back and others told first.
fn end(port: &ControlPlane) -> Result<(), String> {
    use signal_hook::consts::{SIGHUP, SIGTERM};
    let term = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let hup = Arc::new(std::sync::atomic::AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, term.clone()).map_err(|e| e.to_string())?;
    signal_hook::flag::register(SIGHUP, hup.clone()).map_err(|e| e.to_string())?;
    let modified = || start::path().ok().and_then(|p| std::fs::metadata(p).ok()?.modified().ok());
    let (mut last, mut naps) = (modified(), 0u32);
    while !term.load(Ordering::Relaxed) {
        std::thread::sleep(NAP);
        naps += 1;
        let now = if naps.is_multiple_of(LOOK) { modified() } else { last };
        if hup.swap(false, Ordering::Relaxed) || now != last {
            last = now;
            reload(port);
        }
    }
    log::info!("leaving");
    port.leaving.store(true, Ordering::Relaxed);
    port.give_back();
    port.tell_members();
    std::thread::sleep(LAST_WORDS);
    port.log_counters();
    Ok(())
}
