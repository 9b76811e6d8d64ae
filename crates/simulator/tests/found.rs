//! Seeds that found something. What a seed draws changes with the simulator, so that a seed shows its fault
//! only with the simulator of its time; "again" says which seeds found the same with the mend taken out of
//! the library and the simulator as it was at 1e57ea9. All have to hold with the library as it is.

use lynxmill_simulator::{Plan, RunOptions, run};
use rstest::rstest;

#[rstest]
// A full disk, then all killed: the disk told of changes whose items it lacked, acknowledged changes were
// lost.
#[case::merged_without_items(&[101, 136])]
#[case::merged_without_items_again(&[4, 218, 369, 388, 888, 950, 1097, 1207, 1238, 2368])]
// A newcomer was being added as a 4th, one member was lost: frozen for ever.
#[case::addition_stopped_by_one_loss(&[794])]
// An overtaken heartbeat was acknowledged without contact.
#[case::heartbeat_without_contact(&[2031, 10_618])]
// A frozen or slow node began an order that had been refused elsewhere.
#[case::old_order(&[13_446, 24_486])]
// Copies of registers from before a change of the members were kept for seconds.
#[case::old_copies(&[10_813])]
// A 4th beside a lost member, or one that reached one member only, or one that was lost right after.
#[case::fourth_member(&[50_215, 50_314, 61_448, 101_688])]
// A newcomer was cut off for 1.3 s, the change was finished without it, then a disk was lost.
#[case::newcomer_without_a_seat(&[5_001_533])]
// Faults of the simulator itself: what users count as lost, leaving in calm time, messages lost by a stream.
#[case::simulator(&[186, 3265, 20_001, 25_309, 25_515, 50_724, 51_148])]
// Faults of the simulator: a member that a change had just taken out was measured against the members after
// the change; a second disk was lost while a member that was cut off was being removed.
#[case::simulator_and_changes_of_members(&[991_521, 991_897, 5_009_476])]
// A full disk, a leaver and a lost disk: nobody counted the memory of the member with the full disk.
#[case::full_disk_beside_a_lost_one(&[7_005_272])]
// A newcomer was lost after its seat had been accepted: it was given up after 5.3 s in place of 4 s.
#[case::newcomer_that_never_answers(&[5_005_455])]
// A newcomer came back just before its seat was given up, was added blank, and the member beside it left.
#[case::newcomer_that_is_back(&[8_027_503])]
// A lease of the old members was renewed by members that had accepted others, while the new ones granted it anew.
#[case::lease_across_a_change_of_members(&[5_205_357])]
fn holds(#[case] seeds: &[u64]) {
    for seed in seeds {
        let violation = run(&Plan::drawn(*seed, &[]), &RunOptions::default()).violation;
        assert_eq!(
            violation.map(|(_, violation)| violation.to_string()),
            None,
            "seed {seed}"
        );
    }
}

/// A leaver went though the newcomer in its place had not caught up or had no vote yet, and another member's
/// disk was lost at that moment.
#[test]
fn a_leaver_stays_until_the_newcomer_votes() {
    for seed in [203_293, 204_638, 991_575] {
        let violation = run(&Plan::drawn(seed, &[]), &RunOptions::default()).violation;
        assert_eq!(
            violation.map(|(_, violation)| violation.to_string()),
            None,
            "seed {seed}"
        );
    }
}

/// With a planned replacement, a slow or full disk and a lost disk at one moment.
#[test]
fn members_vote_again_in_calm_time() {
    for seed in [7_005_272, 7_005_620, 7_006_457] {
        let violation = run(&Plan::drawn(seed, &[]), &RunOptions::default()).violation;
        let violation = violation.map(|(_, violation)| violation.to_string());
        assert_eq!(violation, None, "seed {seed}");
    }
}

/// A member whose disk was lost acknowledged a sign-off before it knew any other member, and nobody else heard of it.
#[test]
fn a_sign_off_is_acknowledged_once_others_know_of_it() {
    let options = RunOptions {
        sign_offs_first: true,
        late_orders: true,
        rollouts: true,
        ..RunOptions::default()
    };
    let plan = Plan::drawn(609_166, &[]).with_clock_faults();
    let violation = run(&plan, &options).violation;
    assert_eq!(violation.map(|(_, violation)| violation.to_string()), None);
}
