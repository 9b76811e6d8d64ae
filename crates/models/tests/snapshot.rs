//! A snapshot taken in parts from senders that go on merging.

use lynxmill_models::search::{large, search};
use lynxmill_models::snapshot::{Bug, SnapshotModel};

fn changes() -> u64 {
    if large() { 6 } else { 4 }
}

#[test]
fn what_counts_as_merged_is_held() {
    for tells_digests in [false, true] {
        let name = format!("snapshot, digests told: {tells_digests}");
        search(&SnapshotModel::new(Bug::None, changes(), tells_digests)).assert_holds(&name);
    }
}

#[test]
fn a_half_taken_snapshot_that_counts_as_whole_is_found() {
    let outcome = search(&SnapshotModel::new(
        Bug::HalfCountsAsWhole,
        changes(),
        false,
    ));
    outcome.assert_finds("a half-taken snapshot that counts as whole", "but lacks");
}

#[test]
fn the_last_parts_number_for_all_is_found() {
    let outcome = search(&SnapshotModel::new(Bug::LastNumberCounts, changes(), false));
    outcome.assert_finds("the last part's number for all", "but lacks");
}
