//! The process: its listener, signals, upkeep, and the end in order.

use std::rc::Rc;
use std::time::Duration;

use lynxmill_configuration::NodeSettings;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::app::App;
use crate::{downstream, ready, start, streams};

/// Parts of `GraceS`: until idle connections are closed, and until the process is gone.
const CLOSE_SHARE: f64 = 0.5;
const EXIT_SHARE: f64 = 0.9;
/// How often the settings file is looked at.
const LOOK: Duration = Duration::from_secs(2);
/// Looks between two lines of counters.
const COUNTERS_POLLS: u32 = 5;

/// Takes what the settings file now says of seeds and bounds; all else needs a new start.
fn reload(app: &App) {
    match start::reread() {
        Ok(local) => {
            if local.seed_nodes != app.settings.borrow().seed_nodes
                || local.bounds != app.settings.borrow().bounds
            {
                log::info!("the settings file has changed");
            }
            app.load_balancer.borrow_mut().set_bounds(local.bounds());
            let mut held = app.settings.borrow_mut();
            (held.seed_nodes, held.bounds) = (local.seed_nodes, local.bounds);
        }
        Err(fault) => log::warn!("the settings file is left as it was read before: {fault}"),
    }
}

async fn run_maintenance(app: Rc<App>) {
    let modified = || start::path().and_then(|p| std::fs::metadata(p).ok()?.modified().ok());
    let mut last = modified();
    let mut looks = 0u32;
    loop {
        sleep(LOOK).await;
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
pub async fn run(local: NodeSettings) -> Result<(), String> {
    let fault = |what: &str, e: std::io::Error| format!("{what}: {e}");
    let listen = local.listen();
    let grace = local.bounds().grace_s.max(1.0);
    let app = App::new(local);
    ready::serve(&listen.readiness, app.health.clone())?;
    let listener = TcpListener::bind(&listen.front)
        .await
        .map_err(|e| fault(&listen.front, e))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| fault("SIGTERM", e))?;
    let mut hup = signal(SignalKind::hangup()).map_err(|e| fault("SIGHUP", e))?;
    let (end, ends) = watch::channel(false);
    spawn_local(streams::keep(app.clone()));
    spawn_local(run_maintenance(app.clone()));
    let accepting = spawn_local(downstream::accept(app.clone(), listener, ends));
    loop {
        tokio::select! {
            _ = hup.recv() => reload(&app),
            _ = term.recv() => break,
        }
    }
    log::info!("leaving");
    let began = Instant::now();
    app.leaving.set(true);
    app.update_readiness();
    sleep_until(began + Duration::from_secs_f64(grace * CLOSE_SHARE)).await;
    let _ = end.send(true);
    accepting.abort();
    let gone = began + Duration::from_secs_f64(grace * EXIT_SHARE);
    while app.active_requests.get() > 0 && Instant::now() < gone {
        sleep(Duration::from_millis(20)).await;
    }
    // The last answers have still to be written.
    let _ = timeout(Duration::from_millis(60), std::future::pending::<()>()).await;
    app.log_counters();
    log::info!("gone");
    Ok(())
}
