//! The process: its listener, signals, upkeep, and the end in order.

use std::rc::Rc;
use std::time::Duration;

use lynxmill_configuration::NodeSettings;
use lynxmill_startup::ServeError;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::app::App;
use crate::{downstream, ready, start, streams};

/// After this fraction of `GraceS` idle connections are closed.
const CLOSE_SHARE: f64 = 0.5;
/// After this fraction of `GraceS` the process ends.
const EXIT_SHARE: f64 = 0.9;
/// Between two looks at the settings file.
const SETTINGS_POLL: Duration = Duration::from_secs(2);
/// Looks at the settings file between two log lines of counters.
const COUNTERS_POLLS: u32 = 5;
/// Between two looks at whether requests are under way.
const REQUESTS_POLL: Duration = Duration::from_millis(20);
/// How long the last answers may take to be written.
const LAST_ANSWERS: Duration = Duration::from_millis(60);

/// Takes what the settings file now says of seeds and bounds; all else needs a new start.
fn reload(app: &App) {
    match start::reread() {
        Ok(settings) => {
            if settings.seed_nodes != app.settings.borrow().seed_nodes
                || settings.bounds != app.settings.borrow().bounds
            {
                log::info!("the settings file has changed");
            }
            app.load_balancer.borrow_mut().set_bounds(settings.bounds());
            let mut held = app.settings.borrow_mut();
            (held.seed_nodes, held.bounds) = (settings.seed_nodes, settings.bounds);
        }
        Err(error) => log::warn!("the settings file is left as it was read before: {error}"),
    }
}

async fn run_maintenance(app: Rc<App>) {
    let modified = || start::path().and_then(|p| std::fs::metadata(p).ok()?.modified().ok());
    let mut last = modified();
    let mut looks = 0u32;
    loop {
        sleep(SETTINGS_POLL).await;
        app.pools.borrow_mut().sweep();
        looks += 1;
        if looks.is_multiple_of(COUNTERS_POLLS) {
            app.log_counters();
        }
        let now = modified();
        if now.is_some() && now != last {
            last = now;
            reload(&app);
        }
    }
}

/// Serves clients until SIGTERM.
///
/// # Errors
///
/// [`ServeError`] if an address can't be listened on or a signal handler can't be installed.
pub async fn run(settings: NodeSettings) -> Result<(), ServeError> {
    let listen = settings.listen();
    let grace = settings.bounds().grace_s.max(1.0);
    let app = App::new(settings);
    ready::serve(&listen.readiness, app.health.clone())?;
    let listener = TcpListener::bind(&listen.front)
        .await
        .map_err(|error| ServeError::Listen(listen.front.clone(), error.into()))?;
    let mut term =
        signal(SignalKind::terminate()).map_err(|error| ServeError::Signal("SIGTERM", error))?;
    let mut hup =
        signal(SignalKind::hangup()).map_err(|error| ServeError::Signal("SIGHUP", error))?;
    let (end, ends) = watch::channel(false);
    spawn_local(streams::keep_streams(app.clone()));
    spawn_local(run_maintenance(app.clone()));
    let accepting = spawn_local(downstream::accept(app.clone(), listener, ends));
    loop {
        tokio::select! {
            _ = hup.recv() => reload(&app),
            _ = term.recv() => break,
        }
    }
    leave(&app, grace, &end, &accepting).await;
    Ok(())
}

/// Leaves in order: first it is no longer ready, then idle connections are closed and no new ones taken, then
/// it waits for the requests under way.
async fn leave(app: &App, grace: f64, end: &watch::Sender<bool>, accepting: &JoinHandle<()>) {
    let started = Instant::now();
    log::info!("leaving: {}", app.pending_work());
    app.leaving.set(true);
    app.update_readiness();
    sleep_until(started + Duration::from_secs_f64(grace * CLOSE_SHARE)).await;
    log::info!("closing idle connections: {}", app.pending_work());
    let _ = end.send(true);
    accepting.abort();
    let deadline = started + Duration::from_secs_f64(grace * EXIT_SHARE);
    while app.active_requests.get() > 0 && Instant::now() < deadline {
        sleep(REQUESTS_POLL).await;
    }
    // The last answers have still to be written.
    let _ = timeout(LAST_ANSWERS, std::future::pending::<()>()).await;
    app.log_counters();
    log::info!(
        "gone {:.2} s after SIGTERM: {}",
        started.elapsed().as_secs_f64(),
        app.pending_work()
    );
}
