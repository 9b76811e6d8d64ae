//! Starts the disk, the listeners and the threads, and waits for the order to end.

use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lynxmill_configuration::NodeSettings;
use lynxmill_control_node::{Input, NodeOptions, StoredState, TICK};
use lynxmill_startup::ServeError;
use lynxmill_storage::Store;
use tokio::sync::watch;

use crate::error::ProgramError;
use crate::host::Host;
use crate::signals::Signals;
use crate::writer::WriteQueue;
use crate::{connections, control, directory, edge_streams, http, shutdown, start, writer};

/// The database in the folder that `DataPath` names.
const DATABASE_FILE: &str = "control.redb";
/// Between two looks at signals.
const SIGNAL_POLL: Duration = Duration::from_millis(100);
/// The settings file is looked at once in so many looks at signals.
const SETTINGS_POLL: u32 = 20;
/// Between two log lines of counters.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(10);
/// The stack of a thread, in bytes.
const STACK_BYTES: usize = 512 << 10;

/// Opens the database and reads what this node stored in its former incarnations.
fn open_store(
    settings: &NodeSettings,
    incarnation: u64,
) -> Result<(StoredState, Store), ProgramError> {
    let folder = settings.data_path.clone().unwrap_or_default();
    std::fs::create_dir_all(&folder)
        .map_err(|error| ProgramError::Folder(folder.clone(), error))?;
    let path = Path::new(&folder).join(DATABASE_FILE);
    let (store, contents) = Store::open(&path)
        .map_err(|error| ProgramError::Database(path.display().to_string(), error))?;
    let options = NodeOptions::new(settings, incarnation);
    Ok((StoredState::new(contents, &options), store))
}

/// A thread that serves until the process ends or is told to.
pub(crate) type ServiceThread = JoinHandle<()>;

pub(crate) fn spawn(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> Result<ServiceThread, ProgramError> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(work)
        .map_err(|error| ServeError::Thread(name.to_owned(), error).into())
}

fn listen(ip: &str, port: u16) -> Result<TcpListener, ProgramError> {
    TcpListener::bind((ip, port))
        .map_err(|error| ServeError::Listen(format!("{ip}:{port}"), error.into()).into())
}

fn tick(host: &Arc<Host>) {
    let pause = Duration::from_micros(TICK.micros() as u64);
    let mut next_counters = Instant::now() + COUNTERS_INTERVAL;
    loop {
        std::thread::sleep(pause);
        host.step(Input::Tick);
        if Instant::now() >= next_counters {
            next_counters = Instant::now() + COUNTERS_INTERVAL;
            host.log_counters();
        }
    }
}

/// A number that no other incarnation of this process has: of the time of day and the process id, never 0.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanoseconds = since_epoch.map_or(1, |duration| duration.as_nanos() as u64);
    nanoseconds ^ (u64::from(std::process::id()) << 40) | 1
}

/// Runs the program until it is told to end.
pub(crate) fn run(settings: NodeSettings, signals: &Signals) -> Result<(), ProgramError> {
    let incarnation = new_incarnation();
    let started = Instant::now();
    let (stored, store) = open_store(&settings, incarnation)?;
    let edge_listener = listen(&settings.ip, settings.internal_port())?;
    let member_listener = listen(&settings.ip, settings.internal_port() + 1)?;
    let addresses = settings.listen();
    let which_start = if stored.founded {
        "the very first time"
    } else {
        "again"
    };
    log::info!("{} starts, {which_start}", settings.node_name);
    let (writes, queued) = WriteQueue::new();
    let host = Arc::new(Host::new(settings, incarnation, started, stored, writes));
    let shared = host.clone();
    spawn("writer", move || writer::run(&shared, &store, &queued))?;
    let shared = host.clone();
    spawn("members", move || {
        connections::serve(&shared, &member_listener)
    })?;
    let shared = host.clone();
    spawn("edges", move || {
        edge_streams::serve(&shared, &edge_listener)
    })?;
    let shared = host.clone();
    spawn("tick", move || tick(&shared))?;
    let (end, ends) = watch::channel(false);
    let services = [
        http::serve(
            "control",
            &host,
            &addresses.control,
            control::handle,
            ends.clone(),
        )?,
        http::serve(
            "directory",
            &host,
            &addresses.directory,
            directory::handle,
            ends,
        )?,
    ];
    wait_for_termination(&host, signals);
    shutdown::leave(&host, &end, &services);
    Ok(())
}

/// Takes the seeds of the settings file as it is now; all else needs a restart.
fn reload(host: &Arc<Host>) {
    match start::read_current() {
        Ok(settings) => {
            let seeds = settings.seed_ips();
            log::info!("seeds of the settings file: {}", seeds.join(" "));
            host.step(Input::Seeds(seeds));
        }
        Err(error) => log::warn!("the settings file is left as it was read before: {error}"),
    }
}

fn settings_modified() -> Option<SystemTime> {
    std::fs::metadata(start::path().ok()?).ok()?.modified().ok()
}

/// Waits for SIGTERM. Meanwhile it reads the settings file again on SIGHUP and whenever it was modified.
fn wait_for_termination(host: &Arc<Host>, signals: &Signals) {
    let mut last_modified = settings_modified();
    let mut polls = 0u32;
    while !signals.is_terminated() {
        std::thread::sleep(SIGNAL_POLL);
        polls += 1;
        let modified = if polls.is_multiple_of(SETTINGS_POLL) {
            settings_modified()
        } else {
            last_modified
        };
        if signals.take_hang_up() || modified != last_modified {
            last_modified = modified;
            reload(host);
        }
    }
}
