//! The process: its listener, signals and upkeep.

use std::rc::Rc;
use std::time::Duration;

use lynxmill_configuration::NodeSettings;
use lynxmill_startup::ServeError;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::app::App;
use crate::shutdown::GracePeriod;
use crate::{downstream, ready, shutdown, start, streams};

/// Between two looks at the settings file.
const SETTINGS_POLL: Duration = Duration::from_secs(2);
/// Looks at the settings file between two log lines of counters.
const COUNTERS_POLLS: u32 = 5;

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
    // One that comes before its handler ends the process.
    let mut term =
        signal(SignalKind::terminate()).map_err(|error| ServeError::Signal("SIGTERM", error))?;
    let mut hup =
        signal(SignalKind::hangup()).map_err(|error| ServeError::Signal("SIGHUP", error))?;
    let listen = settings.listen();
    let app = App::new(settings);
    ready::serve(&listen.readiness, app.health.clone())?;
    let listener = TcpListener::bind(&listen.front)
        .await
        .map_err(|error| ServeError::Listen(listen.front.clone(), error.into()))?;
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
    let grace = GracePeriod::new(app.settings.borrow().bounds().grace_s);
    shutdown::leave(&app, grace, &end, accepting).await;
    Ok(())
}
