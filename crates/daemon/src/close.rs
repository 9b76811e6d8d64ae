//! The one log line that every ended connection leaves.

use std::fmt::Display;

pub(crate) use lynxmill_assigner_state::Reason;

use crate::happened;

pub(crate) fn ended(road: &'static str, peer: impl Display, reason: Reason, detail: impl Display) {
    let code = reason.code();
    log::info!(road, peer:%, reason = code, detail:%; "{road} {peer} ended reason={code} {detail}");
    happened::note(|now, happened| {
        let detail = format!("{peer} {detail}");
        if !reason.usual() {
            happened.event(now, "ended", format!("{road} {code} {detail}"));
        }
        happened.ended(now, road, code, reason.usual(), detail);
    });
}
