//! The register `calls`: the operator's changes, judged against the newest state.

use lynxmill_configuration::{Configuration, ConfigurationChange, ValidationError};
use lynxmill_protocol::{Change, PendingChanges};

/// What becomes of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// To be proposed: calls still to be merged, the change among them.
    Propose(PendingChanges),
    /// Nothing new in it; what stands is proposed once more, so that it surely stands.
    Unchanged(PendingChanges),
    /// Not to be taken, nor any part of it.
    Refuse(ValidationError),
    /// PendingChanges before those in the register have to be merged first.
    Behind,
}

/// Whether calls before those in the register are missing.
pub fn is_behind(merged: u64, pending: &PendingChanges) -> bool {
    pending
        .changes
        .first()
        .map_or(merged < pending.last_number, |first| {
            merged + 1 < first.number
        })
}

/// The calls that are not merged yet.
pub fn unmerged(merged: u64, pending: &PendingChanges) -> impl Iterator<Item = &Change> {
    pending
        .changes
        .iter()
        .filter(move |call| call.number > merged)
}

/// Judges a change: `held` is what is merged here up to `merged`, `calls` what the register holds, `safe` the
/// last call that is merged on a majority. `make` turns the newest state into the change.
///
/// The newest state has the pending calls merged, so of two orders that took one version with different
/// content while both were in flight the register serialises them and the second is refused here. Items are
/// proposed with the history of their names: whoever learns a call, now or from a snapshot, can tell orders
/// that are sent again.
pub fn validate(
    current: &Configuration,
    merged: u64,
    pending: PendingChanges,
    merged_by_majority: u64,
    build: impl FnOnce(&Configuration) -> ConfigurationChange,
) -> Decision {
    if is_behind(merged, &pending) {
        return Decision::Behind;
    }
    let mut newest = current.clone();
    for item in unmerged(merged, &pending).flat_map(|call| &call.items) {
        newest.merge(item);
    }
    let mut next = PendingChanges {
        last_number: pending.last_number,
        changes: pending.changes,
    };
    next.changes.retain(|call| call.number > merged_by_majority);
    let change = build(&newest);
    if let Err(fault) = newest.check(&change) {
        return Decision::Refuse(fault);
    }
    let items = newest.apply(&change);
    if items.is_empty() {
        return Decision::Unchanged(next);
    }
    next.last_number += 1;
    next.changes.push(Change {
        number: next.last_number,
        items,
    });
    Decision::Propose(next)
}
