//! The register `calls`: the operator's changes, judged against the newest state.

use lynxmill_configuration::{Fault, Item, Manifest, Patch};
use lynxmill_protocol::{Call, Calls};

/// What becomes of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// To be proposed: calls still to be merged, the change among them.
    Propose(Calls),
    /// Nothing new in it; what stands is proposed once more, so that it surely stands.
    Again(Calls),
    Refuse(Fault),
    /// Calls before those in the register have to be merged first.
    Behind,
}

/// Whether calls before those in the register are missing.
pub fn behind(merged: u64, calls: &Calls) -> bool {
    calls.calls.first().map_or(merged < calls.last, |first| merged + 1 < first.number)
}

/// The calls that have still to be merged.
pub fn unmerged(merged: u64, calls: &Calls) -> impl Iterator<Item = &Call> {
    calls.calls.iter().filter(move |call| call.number > merged)
}

/// Judges a change: `held` is what is merged here up to `merged`, `calls` what the register holds, `safe` the last
/// call that is merged on a majority. `make` turns the newest state into the change.
pub fn judge(
    held: &Manifest,
    merged: u64,
    calls: Calls,
    safe: u64,
    make: impl FnOnce(&Manifest) -> Patch,
) -> Verdict {
    if behind(merged, &calls) {
        return Verdict::Behind;
    }
    let mut newest = held.clone();
    for item in unmerged(merged, &calls).flat_map(|call| &call.items) {
        newest.merge(item);
    }
    let mut next = Calls { last: calls.last, calls: calls.calls };
    next.calls.retain(|call| call.number > safe);
    let patch = make(&newest);
    if let Err(fault) = newest.check(&patch) {
        return Verdict::Refuse(fault);
    }
    let news = |item: &&Item| newest.items.get(&item.key).is_none_or(|held| held.version < item.version);
    let items: Vec<Item> = patch.items.iter().filter(news).cloned().collect();
    if items.is_empty() {
        return Verdict::Again(next);
    }
    next.last += 1;
    next.calls.push(Call { number: next.last, items });
    Verdict::Propose(next)
}
