//! Discovery's list: its form, and one call for it, whole or as a watch.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use lynxmill_assigner_state::Members;

use crate::close::Reason;
use crate::relay::{Failed, body_of};

/// How long a call may be held when nothing is new. The agent answers at no cost, so a short hold shows its
/// silence soon; what it holds back longer counts as told anyhow.
const HOLD: Duration = Duration::from_millis(1000);
/// An answer that is due comes from the same machine: later than this after the hold, it won't come.
const LATE: Duration = Duration::from_millis(500);
const LONGEST: usize = 8 << 20;

/// One call, on a connection of its own: the whole list, or what has come since a version.
pub(crate) async fn ask(
    client: &Client,
    at: SocketAddr,
    from: Option<u64>,
) -> Result<Members, Failed> {
    let (path, patience) = match from {
        Some(index) => (
            format!("?from={index}&hold_ms={}", HOLD.as_millis()),
            HOLD + LATE,
        ),
        None => (String::new(), LATE),
    };
    let call = client
        .get(format!("http://{at}/catalog/members{path}"))
        .force_close();
    let answer = actix_rt::time::timeout(patience, body_of(call.send(), LONGEST)).await;
    let (ok, body) = answer.unwrap_or_else(|_| Err(Failed::new(Reason::NoAnswer, "in time")))?;
    if !ok {
        return Err(Failed::new(
            Reason::TurnedBack,
            String::from_utf8_lossy(&body),
        ));
    }
    serde_json::from_slice(&body).map_err(|e| Failed::new(Reason::Unreadable, e))
}
