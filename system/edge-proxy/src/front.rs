//! Clients' connections, signals, and the end in order.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lynxmill_configuration::NodeSettings;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::app::App;
use crate::{flight, ready, start, streams};

/// Parts of `GraceS`: until idle connections are closed, and until the process is gone.
const HANG_UP: f64 = 0.5;
const GONE: f64 = 0.9;
/// How often the settings file is looked at.
const LOOK: Duration = Duration::from_secs(2);
/// Looks between two lines of counters.
const COUNTED: u32 = 5;

async fn client(app: Rc<App>, stream: TcpStream, mut ends: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(Duration::from_secs(5)));
    let limits = app.pilot.borrow().chart().limits.clone();
    let longest = usize::try_from(limits.max_header_bytes).unwrap_or(0).clamp(16 << 10, 256 << 10);
    let header_s = if limits.header_timeout_s > 0.0 { limits.header_timeout_s } else { 5.0 };
    let idle_s = if limits.idle_timeout_s > 0.0 { limits.idle_timeout_s } else { 15.0 };
    let service = service_fn(|request| {
        let app = app.clone();
        async move {
            let mut reply = flight::serve(app.clone(), request).await;
            if app.leaving.get() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let mut builder = http1::Builder::new();
    // One bound for a header and for the pause before it: the longer of both.
    builder
        .timer(TokioTimer::new())
        .max_buf_size(longest)
        .header_read_timeout(Duration::from_secs_f64(header_s.max(idle_s)));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut told = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if ended.is_err() {
                    app.count("client-broke");
                }
                return;
            }
            changed = ends.changed(), if !told => {
                told = true;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

async fn accept(app: Rc<App>, listener: TcpListener, ends: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(spawn_local(client(app.clone(), stream, ends.clone()))),
            Err(fault) => {
                log::warn!("a client can't be taken: {fault}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Takes what the settings file now says of seeds and bounds; all else needs a new start.
fn reload(app: &App) {
    match start::again() {
        Ok(local) => {
            if local.seed_nodes != app.local.borrow().seed_nodes || local.bounds != app.local.borrow().bounds
            {
                log::info!("the settings file has changed");
            }
            app.pilot.borrow_mut().bounds(local.bounds());
            let mut held = app.local.borrow_mut();
            (held.seed_nodes, held.bounds) = (local.seed_nodes, local.bounds);
        }
        Err(fault) => log::warn!("the settings file is left as it was read before: {fault}"),
    }
}

async fn upkeep(app: Rc<App>) {
    let modified = || start::path().and_then(|p| std::fs::metadata(p).ok()?.modified().ok());
    let mut last = modified();
    let mut looks = 0u32;
    loop {
        sleep(LOOK).await;
        app.pools.borrow_mut().sweep();
        looks += 1;
        if looks.is_multiple_of(COUNTED) {
            app.log_counters();
        }
        let now = modified();
        if now.is_some() && now != last {
            last = now;
            reload(&app);
        }
    }
}

pub async fn run(local: NodeSettings) -> Result<(), String> {
    let fault = |what: &str, e: std::io::Error| format!("{what}: {e}");
    let listen = local.listen();
    let grace = local.bounds().grace_s.max(1.0);
    let app = App::new(local);
    ready::serve(&listen.readiness, app.shown.clone())?;
    let listener = TcpListener::bind(&listen.front).await.map_err(|e| fault(&listen.front, e))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| fault("SIGTERM", e))?;
    let mut hup = signal(SignalKind::hangup()).map_err(|e| fault("SIGHUP", e))?;
    let (end, ends) = watch::channel(false);
    spawn_local(streams::keep(app.clone()));
    spawn_local(upkeep(app.clone()));
    let accepting = spawn_local(accept(app.clone(), listener, ends));
    loop {
        tokio::select! {
            _ = hup.recv() => reload(&app),
            _ = term.recv() => break,
        }
    }
    log::info!("leaving");
    let began = Instant::now();
    app.leaving.set(true);
    app.look();
    sleep_until(began + Duration::from_secs_f64(grace * HANG_UP)).await;
    let _ = end.send(true);
    accepting.abort();
    let gone = began + Duration::from_secs_f64(grace * GONE);
    while app.busy.get() > 0 && Instant::now() < gone {
        sleep(Duration::from_millis(20)).await;
    }
    // The last answers have still to be written.
    let _ = timeout(Duration::from_millis(60), std::future::pending::<()>()).await;
    app.log_counters();
    log::info!("gone");
    Ok(())
}
