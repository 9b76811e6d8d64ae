//! The register `calls`: the operator's changes, judged against the newest state.

use lynxmill_configuration::{Configuration, ConfigurationChange, ValidationError};
use lynxmill_protocol::{Change, PendingChanges};

/// What becomes of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// To be proposed: calls still to be merged, the change among them.
    Propose(PendingChanges),
    /// Nothing new in it; what stands is proposed once more, so that it surely stands.
    Again(PendingChanges),
    /// Not to be taken, nor any part of it.
    Refuse(ValidationError),
    /// PendingChanges before those in the register have to be merged first.
    Behind,
}

/// Whether calls before those in the register are missing.
pub fn behind(merged: u64, calls: &PendingChanges) -> bool {
    calls
        .calls
        .first()
        .map_or(merged < calls.last, |first| merged + 1 < first.number)
}

/// The calls that are not merged yet.
pub fn unmerged(merged: u64, calls: &PendingChanges) -> impl Iterator<Item = &Change> {
    calls.calls.iter().filter(move |call| call.number > merged)
}

/// Judges a change: `held` is what is merged here up to `merged`, `calls` what the register holds, `safe` the
/// last call that is merged on a majority. `make` turns the newest state into the change.
///
/// The newest state has the pending calls merged, so of two orders that took one version with different
/// content while both were in flight the register serialises them and the second is refused here. Items are
/// proposed with the history of their names: whoever learns a call, now or from a snapshot, can tell orders
/// that are sent again.
pub fn validate(
    held: &Configuration,
    merged: u64,
    calls: PendingChanges,
    safe: u64,
    make: impl FnOnce(&Configuration) -> ConfigurationChange,
) -> Decision {
    if behind(merged, &calls) {
        return Decision::Behind;
    }
    let mut newest = held.clone();
    for item in unmerged(merged, &calls).flat_map(|call| &call.items) {
        newest.merge(item);
    }
    let mut next = PendingChanges {
        last: calls.last,
        calls: calls.calls,
    };
    next.calls.retain(|call| call.number > safe);
    let change = make(&newest);
    if let Err(fault) = newest.check(&change) {
        return Decision::Refuse(fault);
    }
    let items = newest.apply(&change);
    if items.is_empty() {
        return Decision::Again(next);
    }
    next.last += 1;
    next.calls.push(Change {
        number: next.last,
        items,
    });
    Decision::Propose(next)
}
