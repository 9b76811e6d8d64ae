//! Decides what becomes of an operator's change, given the value of the register of changes.

use lynxmill_configuration::{Configuration, ConfigurationChange, Item, ValidationError, refusal};
use lynxmill_protocol::{Change, PendingChanges};

/// What becomes of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// To be proposed: the pending changes with this one added.
    Propose(PendingChanges),
    /// The change sets nothing new; the pending changes are proposed again, so that they are surely
    /// chosen.
    Unchanged(PendingChanges),
    /// The change is refused as a whole.
    Refuse(ValidationError),
    /// Earlier changes than those in the register have to be merged first.
    Behind,
}

/// Whether changes before those in the register are missing here.
pub fn is_behind(merged: u64, pending: &PendingChanges) -> bool {
    pending
        .changes
        .first()
        .map_or(merged < pending.last_number, |first| {
            merged + 1 < first.number
        })
}

/// The pending changes that are not merged here yet.
pub fn unmerged(merged: u64, pending: &PendingChanges) -> impl Iterator<Item = &Change> {
    pending
        .changes
        .iter()
        .filter(move |call| call.number > merged)
}

/// The newest copy of an item, with the pending changes merged.
pub fn newest_item<'a>(
    current: &'a Configuration,
    pending: &'a PendingChanges,
    key: &str,
) -> Option<&'a Item> {
    let pending_items = pending.changes.iter().flat_map(|change| &change.items);
    let copies = pending_items.chain(current.items.get(key));
    copies
        .filter(|item| item.key == key)
        .max_by_key(|item| item.version)
}

/// The pending changes with the record that an order was refused.
pub fn with_refusal(mut pending: PendingChanges) -> PendingChanges {
    pending.last_number += 1;
    pending.changes.push(Change {
        number: pending.last_number,
        items: vec![refusal(pending.last_number)],
    });
    pending
}

/// Decides on a change. `current` is the configuration up to the change `merged`, `pending` the
/// value of the register, `merged_by_majority` the last change that is merged on a majority;
/// `build` makes the change from the newest configuration.
///
/// The newest configuration has the pending changes merged: of two changes that give one version
/// different contents the register decides which comes first, and the second is refused here. Items
/// are proposed with their history, so that a repeated request is recognised by whoever learns the
/// change.
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
