//! The end of the process in order: the node leaves its peers, then callers get their answers to the last byte, as long
//! as the grace lasts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lynxmill_control_node::Input;
use tokio::sync::watch;

use crate::host::Host;
use crate::serve::ServiceThread;

/// Between two looks at whether the node may end.
const DEPARTURE_POLL: Duration = Duration::from_millis(20);
/// How long the last effects may take to go out.
const LAST_EFFECTS: Duration = Duration::from_millis(100);
/// What is left of the grace for the end of the process itself: SIGKILL must not come before it. SIGTERM may have
/// come a tenth of a second before it was looked at.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// Between two looks at whether all callers have their answers.
const ANSWERS_POLL: Duration = Duration::from_millis(5);

/// Ends the service. First those that stay have to hold what this node has acknowledged, then `end` tells the HTTP
/// servers, and each of `services` ends once it answers nobody.
pub(crate) fn leave(host: &Arc<Host>, end: &watch::Sender<bool>, services: &[ServiceThread]) {
    let started = Instant::now();
    let grace = Duration::from_secs_f64(host.settings.bounds().grace_s.max(0.0));
    let exit_at = started + grace.saturating_sub(EXIT_RESERVE);
    host.step(Input::Leave);
    while !host.has_left() {
        std::thread::sleep(DEPARTURE_POLL);
    }
    std::thread::sleep(LAST_EFFECTS);
    let _ = end.send(true);
    let answered = wait_until_ended(services, exit_at);
    host.log_counters();
    let took = started.elapsed().as_secs_f64();
    if answered {
        log::info!("gone {took:.2} s after SIGTERM");
    } else {
        log::warn!("gone {took:.2} s after SIGTERM, while callers still read their answers");
    }
}

/// Whether all servers had ended by `until`.
fn wait_until_ended(services: &[ServiceThread], until: Instant) -> bool {
    while !services.iter().all(ServiceThread::is_finished) {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(ANSWERS_POLL);
    }
    true
}
