//! lynxmilld: the assigner on real sockets. One thread reads, decides and writes; actix-server has another
//! that only accepts connections.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

mod accept;
mod close;
mod discovery;
mod drive;
mod happened;
mod hub;
mod journal;
mod logs;
mod metrics;
mod record;
mod relay;
mod resp;
mod runtime;
mod start;
mod status;
mod store;
#[cfg(test)]
mod tests;

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request};
use actix_rt::signal::unix::{SignalKind, signal};
use actix_server::Server;
use actix_service::{ServiceFactory, fn_factory, fn_service};
use tokio::net::TcpSocket;
use tokio::sync::{Notify, mpsc, oneshot};

use hub::{Hub, Operators};
use lynxmill_assigner_settings::DecodeError;
use lynxmill_assigner_state::{Event, Start};
use lynxmill_membership_transport::OpenSockets;
use record::Recorder;
use start::{Clock, File};

/// Connections that may wait to be accepted.
const QUEUE: u32 = 1024;
const LAST_WORDS: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    logs::begin();
    // A panic must not leave half a program serving: it ends, and whoever started it sees so.
    std::panic::set_hook(Box::new(|panic| {
        log::error!("{panic}");
        std::process::abort();
    }));
    let clock = Clock::start();
    match start::path()
        .and_then(File::open)
        .and_then(|file| serve(clock, file))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(fail) => {
            eprintln!("lynxmilld: {fail}");
            ExitCode::FAILURE
        }
    }
}

fn serve(clock: Clock, file: File) -> Result<(), DecodeError> {
    if let Some(at) = file.drive()? {
        return drive::run(at).map_err(|e| format!("drive {at}: {e}"));
    }
    let (start, store) = (file.start()?, file.store()?);
    let operators = file.runtime()?;
    let recorder = file.recorder(clock.epoch())?;
    let members = file.membership(&start.name)?;
    let beside = BackgroundTasks {
        recorder,
        store,
        operators,
        members,
        metrics: file.metrics(),
    };
    actix_rt::System::new()
        .block_on(run(clock, file, start, beside))
        .map_err(|e| e.to_string())
}

/// The address is told again at a restart, which must not wait for connections of the one before to fade.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket
        .bind(at)
        .map_err(|e| io::Error::new(e.kind(), format!("`listen` {at}: {e}")))?;
    socket.listen(QUEUE)?.into_std()
}

/// What a configuration may ask for beside the assigner: a recording and the configuration that it begins with, a
/// registry in the relay's place, the runtime socket, other assigners.
pub struct BackgroundTasks {
    recorder: Option<(Recorder, String)>,
    store: Option<store::StoreOptions>,
    operators: Option<Operators>,
    members: Option<OpenSockets>,
    metrics: bool,
}

async fn run(
    clock: Clock,
    mut file: File,
    start: Start,
    mut beside: BackgroundTasks,
) -> io::Result<()> {
    let (moved, moves) = mpsc::unbounded_channel();
    let mut reread = signal(SignalKind::hangup())?;
    let (ask, mut asked) = mpsc::unbounded_channel::<oneshot::Sender<String>>();
    if let Some(operators) = &mut beside.operators {
        operators.reload = Some(ask);
    }
    actix_rt::spawn(async move {
        loop {
            let tell = tokio::select! {
                Some(()) = reread.recv() => None,
                Some(tell) = asked.recv() => Some(tell),
                else => return,
            };
            let told = match file.reread() {
                Ok((addresses, waits)) => {
                    log::info!("configuration read again: {addresses:?}");
                    let _ = moved.send(addresses);
                    let waits = waits
                        .iter()
                        .map(|path| format!("; `{path}` takes a restart"));
                    format!("done: read again{}", waits.collect::<String>())
                }
                Err(fail) => {
                    log::error!("{fail}; the configuration of before serves on");
                    format!("refused: {fail}; the configuration of before serves on")
                }
            };
            tell.and_then(|tell| tell.send(told).err());
        }
    });
    let end = Arc::new(Notify::new());
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let (mut told, end) = (signal(kind)?, end.clone());
        actix_rt::spawn(async move {
            told.recv().await;
            log::info!("told to end");
            end.notify_one();
            // The hub's thread ends the program, unless it is too busy to do so at once.
            actix_rt::time::sleep(LAST_WORDS).await;
            std::process::exit(0);
        });
    }
    let (sockets, listener) = (start.sockets, listen(start.listen)?);
    log::info!("{} listens on {}", start.name, listener.local_addr()?);
    // The one worker starts the hub, and everything else happens on its thread.
    let start = Arc::new(Mutex::new(Some((start, beside, moves))));
    let factory = move || {
        let (start, end) = (start.clone(), end.clone());
        fn_factory(move || {
            let start = start.lock().ok().and_then(|mut start| start.take());
            let hub = start.map(|(start, beside, moves)| (Hub::start(clock, start, beside), moves));
            let end = end.clone();
            async move {
                let (hub, mut moves) = hub.ok_or(())?;
                let (last, moving) = (hub.clone(), hub.clone());
                actix_rt::spawn(async move {
                    while let Some(to) = moves.recv().await {
                        moving.tell(Event::Moved(to));
                    }
                });
                actix_rt::spawn(async move {
                    end.notified().await;
                    last.end().await;
                });
                let asked = hub.clone();
                let web = HttpService::build()
                    .keep_alive(KeepAlive::Disabled)
                    .h1(fn_service(move |request: Request| {
                        let asked = asked.clone();
                        async move { Ok::<_, Infallible>(status::answer(&asked, request).await) }
                    }));
                let web = Rc::new(web.tcp().new_service(()).await?);
                Ok::<_, ()>(fn_service(move |stream| {
                    let (hub, web) = (hub.clone(), web.clone());
                    async move {
                        accept::serve(stream, hub, web).await;
                        Ok::<_, ()>(())
                    }
                }))
            }
        })
    };
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .max_concurrent_connections(sockets);
    server.listen("assigner", listener, factory)?.run().await
}
