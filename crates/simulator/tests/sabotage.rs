//! Bugs put into a node's surroundings on purpose are found, each by the seed that is named.

use lynxmill_simulator::{Exploration, FaultKind, RunOptions, Sabotage, explore};
use rstest::rstest;

const JOBS: usize = 4;

#[rstest]
#[case::stored_before_sync(Sabotage::StoredBeforeSync, 1, 600, &[])]
#[case::forgetful_voter(Sabotage::ForgetfulVoter, 1, 600, &[FaultKind::WipeDisk, FaultKind::CutPair])]
#[case::false_contact(Sabotage::FalseContact, 1, 100, &[FaultKind::CutOff])]
#[case::seat_without_copy(Sabotage::SeatWithoutCopy, 1, 400, &[FaultKind::ReplaceUnplanned,
    FaultKind::WipeDisk])]
fn is_found(
    #[case] sabotage: Sabotage,
    #[case] first: u64,
    #[case] seeds: u64,
    #[case] kinds: &[FaultKind],
) {
    let options = RunOptions {
        sabotage: Some(sabotage),
        ..RunOptions::default()
    };
    let exploration = Exploration {
        first,
        seeds,
        jobs: JOBS,
        kinds: kinds.to_vec(),
        options,
        clock_faults: false,
        most_found: 1,
    };
    let (found, _) = explore(&exploration, |_| {});
    assert!(
        !found.is_empty(),
        "{sabotage} was not found in {seeds} seeds"
    );
}
