//! The end of the process in order: the node leaves its peers, then callers get their answers to the last byte, as long
//! as the grace lasts.

use std::sync::Arc;
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::time::{Duration, Instant};

use lynxmill_control_node::Input;

use crate::host::Host;
use crate::serve::spawn;

/// Between two looks at whether the node may end.
const DEPARTURE_POLL: Duration = Duration::from_millis(20);
/// How long the last effects may take to go out.
const LAST_EFFECTS: Duration = Duration::from_millis(100);
/// What is left of the grace for the end of the process itself: SIGKILL must not come before it. SIGTERM may have
/// come a tenth of a second before it was looked at.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// Ends the service. First those that stay have to hold what this node has acknowledged, then each of `answers`
/// returns once its server answers nobody.
pub(crate) fn leave<const N: usize>(host: &Arc<Host>, answers: [Box<dyn FnOnce() + Send>; N]) {
    let started = Instant::now();
    let grace = Duration::from_secs_f64(host.settings.bounds().grace_s.max(0.0));
    let exit_at = started + grace.saturating_sub(EXIT_RESERVE);
    host.step(Input::Leave);
    while !host.has_left() {
        std::thread::sleep(DEPARTURE_POLL);
    }
    std::thread::sleep(LAST_EFFECTS);
    let answered = wait_until_answered(answers, exit_at);
    host.log_counters();
    let took = started.elapsed().as_secs_f64();
    if answered {
        log::info!("gone {took:.2} s after SIGTERM");
    } else {
        log::warn!("gone {took:.2} s after SIGTERM, while callers still read their answers");
    }
}

/// Whether all callers had their answers by `until`.
fn wait_until_answered<const N: usize>(
    answers: [Box<dyn FnOnce() + Send>; N],
    until: Instant,
) -> bool {
    let (done, finished) = channel();
    let waiting = spawn("answers", move || {
        answers.into_iter().for_each(|answered| answered());
        let _ = done.send(());
    });
    if let Err(error) = waiting {
        log::warn!("it does not wait for callers: {error}");
        return false;
    }
    let left = until.saturating_duration_since(Instant::now());
    finished.recv_timeout(left) != Err(RecvTimeoutError::Timeout)
}
