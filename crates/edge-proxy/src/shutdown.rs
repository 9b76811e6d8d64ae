//! The end of the process in order: first it is no longer ready, then idle connections are closed and no new ones
//! taken, then it waits until each client has its answer to the last byte, as long as the grace lasts.

use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::app::App;

/// The shortest grace that is reckoned with, in seconds.
const MIN_GRACE_S: f64 = 1.0;
/// The fraction of the grace after which idle connections are closed.
const CLOSE_SHARE: f64 = 0.5;
/// What is left of the grace for the end of the process itself: SIGKILL must not come before it.
const EXIT_RESERVE: Duration = Duration::from_millis(200);

/// The time between SIGTERM and SIGKILL.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriod {
    started: Instant,
    close_at: Instant,
    exit_at: Instant,
}

impl GracePeriod {
    /// Begins now and lasts `grace_s` seconds.
    pub fn new(grace_s: f64) -> Self {
        let started = Instant::now();
        let grace = Duration::from_secs_f64(grace_s.max(MIN_GRACE_S));
        GracePeriod {
            started,
            close_at: started + grace.mul_f64(CLOSE_SHARE),
            exit_at: started + grace.saturating_sub(EXIT_RESERVE),
        }
    }

    /// Whether a request that came just now is one of the last, and would be answered at `finished` only after the
    /// process has ended.
    pub fn is_too_late(&self, finished: Instant) -> bool {
        Instant::now() >= self.close_at && finished > self.exit_at
    }
}

/// Ends the service within the grace: `end` tells all connections, `accepting` takes new ones.
pub(crate) async fn leave(
    app: &App,
    grace: GracePeriod,
    end: &watch::Sender<bool>,
    accepting: JoinHandle<()>,
) {
    log::info!("leaving: {}", app.pending_work());
    app.grace.set(Some(grace));
    app.update_readiness();
    sleep_until(grace.close_at).await;
    log::info!("closing idle connections: {}", app.pending_work());
    let _ = end.send(true);
    let finished = timeout_at(grace.exit_at, async {
        let _ = accepting.await;
        // Requests end with their answers, connections only once those are written.
        app.connections.wait_until_none().await;
    })
    .await;
    app.log_counters();
    let took = grace.started.elapsed().as_secs_f64();
    match finished {
        Ok(()) => log::info!("gone {took:.2} s after SIGTERM: {}", app.pending_work()),
        Err(_) => log::warn!(
            "gone {took:.2} s after SIGTERM, at the end of the grace: {}",
            app.pending_work()
        ),
    }
}
