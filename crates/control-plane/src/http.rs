//! The HTTP servers of the control plane, each in a thread of its own.

use std::sync::Arc;
use std::time::Duration;

use lynxmill_http_server::{HttpServer, Limits, Request, Response};
use lynxmill_startup::ServeError;
use tokio::runtime::Builder;
use tokio::sync::watch;

use crate::error::ProgramError;
use crate::host::Host;
use crate::serve::{ServiceThread, spawn};

/// What callers of one server may take up. Every task of a deployment may keep a connection to one member.
const LIMITS: Limits = Limits {
    connections: MAX_CONNECTIONS,
    idle_time: MIN_IDLE_TIME,
    body_bytes: 16 << 20,
    all_bodies_bytes: 48 << 20,
    body_time: Duration::from_secs(10),
};
/// Without `MaxFds`.
const MAX_CONNECTIONS: usize = 16_384;
/// Descriptors that `MaxFds` keeps for files.
const FILE_DESCRIPTORS: u64 = 200;
/// The part of the others that callers of one server may take; edges and members need the rest.
const CALLERS_PART: u64 = 3;
const ALL_PARTS: u64 = 4;
/// Tasks keep the connection on which they send their heartbeats. One that was quiet for so many of them has gone elsewhere.
const IDLE_HEARTBEATS: f64 = 8.0;
/// Operators keep their connections for at least so long.
const MIN_IDLE_TIME: Duration = Duration::from_secs(10);

/// How many connections the callers of one server may have open.
fn max_connections(max_fds: u64) -> usize {
    if max_fds == 0 {
        return MAX_CONNECTIONS;
    }
    let sockets = max_fds.saturating_sub(FILE_DESCRIPTORS);
    let callers = usize::try_from(sockets * CALLERS_PART / ALL_PARTS).unwrap_or(MAX_CONNECTIONS);
    callers.clamp(1, MAX_CONNECTIONS)
}

/// Answers calls on an address in a thread that ends once `ends` is true and all callers have their answers. Each call
/// tells the last change that was merged before it was sent.
pub(crate) fn serve<H, F>(
    name: &'static str,
    host: &Arc<Host>,
    address: &str,
    handle: H,
    ends: watch::Receiver<bool>,
) -> Result<ServiceThread, ProgramError>
where
    H: Fn(Arc<Host>, Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listen = |error: std::io::Error| ServeError::Listen(address.to_owned(), error.into());
    let idle_time = Duration::from_secs_f64(host.settings.beat_interval_s * IDLE_HEARTBEATS);
    let limits = Limits {
        connections: max_connections(host.settings.resource_limits().max_fds),
        idle_time: idle_time.max(MIN_IDLE_TIME),
        ..LIMITS
    };
    let server = HttpServer::bind(address, limits).map_err(listen)?;
    host.count_connections(name, server.open_connections());
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(listen)?;
    let host = host.clone();
    let merged = host.merged_changes();
    spawn(name, move || {
        let handle = move |request| handle(host.clone(), request);
        if let Err(error) = runtime.block_on(server.serve_versioned(handle, merged, ends)) {
            log::error!("{name}: {error}");
        }
    })
}
