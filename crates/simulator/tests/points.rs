//! Seeds by point: each kind of fault, alone and together with those that belong to the same point.

use lynxmill_simulator::{
    Backlog, Exploration, FaultKind, Plan, RunOptions, backlog, explore, run,
};
use rstest::rstest;

/// Threads of one test; tests run side by side themselves.
const JOBS: usize = 4;

/// Plays seeds from `first` and wants every invariant to hold.
fn hold(first: u64, seeds: u64, kinds: &[FaultKind]) {
    hold_with_clocks(first, seeds, kinds, false);
}

fn hold_with_clocks(first: u64, seeds: u64, kinds: &[FaultKind], clock_faults: bool) {
    hold_all(&Exploration {
        first,
        seeds,
        jobs: JOBS,
        kinds: kinds.to_vec(),
        options: RunOptions::default(),
        clock_faults,
        most_found: 3,
    });
}

fn hold_all(exploration: &Exploration) {
    let (found, end) = explore(exploration, |_| {});
    let found: Vec<String> = found
        .iter()
        .map(|f| {
            format!(
                "seed {} at {:.3} s: {}",
                f.plan.seed,
                f.at.secs(),
                f.violation
            )
        })
        .collect();
    assert!(found.is_empty(), "{}", found.join("\n"));
    assert_eq!(end.seeds, exploration.seeds);
}

#[rstest]
#[case::all_ways(&[FaultKind::CutOff, FaultKind::CutIncoming, FaultKind::CutOutgoing, FaultKind::CutPair,
    FaultKind::CutOneWay, FaultKind::Partition])]
#[case::with_callers(&[FaultKind::CutOff, FaultKind::CutCallers, FaultKind::EdgeRestart, FaultKind::Reset])]
#[case::frozen_and_slow(&[FaultKind::CutIncoming, FaultKind::Freeze, FaultKind::Slow, FaultKind::BadNetwork])]
fn cut_off(#[case] kinds: &[FaultKind]) {
    hold(1_000, 80, kinds);
}

/// Leases, contact and holds are counted by clocks that creep, while their holders are cut off, frozen or killed.
#[rstest]
#[case::of_any_fault(&[])]
#[case::of_lease_holders(&[FaultKind::ClockSlow, FaultKind::ClockFast, FaultKind::CutOff, FaultKind::Freeze,
    FaultKind::Kill])]
fn clocks_that_creep(#[case] kinds: &[FaultKind]) {
    hold_with_clocks(11_000, 80, kinds, true);
}

#[test]
fn two_operators_at_once() {
    hold(
        2_000,
        120,
        &[
            FaultKind::Partition,
            FaultKind::Freeze,
            FaultKind::Kill,
            FaultKind::CutCallers,
        ],
    );
}

#[rstest]
#[case::disks(&[FaultKind::WipeDisk])]
#[case::machines(&[FaultKind::ReplaceUnplanned, FaultKind::WipeDisk])]
#[case::while_cut(&[FaultKind::WipeDisk, FaultKind::ReplaceUnplanned, FaultKind::CutOff,
    FaultKind::PowerLossAll])]
fn the_second_loss(#[case] kinds: &[FaultKind]) {
    hold(3_000, 80, kinds);
}

#[rstest]
#[case::planned(&[FaultKind::ReplacePlanned])]
#[case::with_tasks(&[FaultKind::ReplacePlanned, FaultKind::TaskDrain, FaultKind::TaskCrash, FaultKind::Kill])]
#[case::while_cut(&[FaultKind::ReplacePlanned, FaultKind::CutOneWay, FaultKind::CutOutgoing,
    FaultKind::Reset])]
fn leaving(#[case] kinds: &[FaultKind]) {
    hold(4_000, 80, kinds);
}

#[test]
fn disks_in_trouble() {
    let kinds = [
        FaultKind::DiskFull,
        FaultKind::DiskSlow,
        FaultKind::DiskStall,
        FaultKind::KillAll,
        FaultKind::PowerLoss,
    ];
    hold(5_000, 120, &kinds);
}

#[test]
fn each_kind_of_fault_alone() {
    for (place, kind) in FaultKind::ALL.iter().enumerate() {
        hold(10_000 + 100 * place as u64, 12, &[*kind]);
    }
}

#[test]
fn all_kinds_together() {
    hold(20_000, 400, &[]);
}

/// 2,900 changes to 2,300 routes, ten in a call, while a member is down; it comes back over 3 Mbit/s.
#[test]
fn hundreds_of_changes_while_a_member_is_down() {
    let wanted = Backlog {
        routes: 2_300,
        changes: 2_900,
        per_call: 10,
        megabits_per_s: 3.0,
    };
    let report = backlog(1, &wanted);
    assert_eq!(report.violation, None);
    assert!(
        report.most_changes <= 32,
        "the register held {} changes",
        report.most_changes
    );
    let caught_up = report
        .caught_up_after
        .expect("the member catches up")
        .secs();
    assert!(caught_up <= 10.0, "caught up after {caught_up} s");
}

#[test]
fn a_run_has_one_digest_however_often_it_is_played() {
    let options = RunOptions {
        digest: true,
        ..RunOptions::default()
    };
    let digest = |seed| {
        run(&Plan::drawn(seed, &[]), &options)
            .digest
            .unwrap_or_default()
    };
    assert_eq!(digest(7), digest(7));
    assert_ne!(digest(7), digest(8));
}

/// Tasks that sign off first and serve on while others take over: no key has two holders.
#[rstest]
#[case::in_calm_time(20_000, &[FaultKind::TaskDrain])]
#[case::while_owners_change(21_000, &[FaultKind::TaskDrain, FaultKind::Kill, FaultKind::CutOff])]
fn tasks_that_sign_off_first(#[case] first: u64, #[case] kinds: &[FaultKind]) {
    let options = RunOptions {
        sign_offs_first: true,
        ..RunOptions::default()
    };
    hold_all(&Exploration {
        first,
        seeds: 80,
        jobs: JOBS,
        kinds: kinds.to_vec(),
        options,
        clock_faults: false,
        most_found: 3,
    });
}

/// Orders that a cut held up for however long, and that arrive after their callers have gone elsewhere: none undoes an
/// evacuation that was asked for and acknowledged after it, and none brings in force what was refused meanwhile.
#[rstest]
#[case::callers_cut_off(30_000, &[FaultKind::CutCallers])]
#[case::while_members_come_and_go(31_000, &[FaultKind::CutCallers, FaultKind::Kill, FaultKind::Partition])]
#[case::while_members_are_replaced(32_000, &[FaultKind::CutCallers, FaultKind::ReplacePlanned, FaultKind::WipeDisk])]
fn orders_that_arrive_late(#[case] first: u64, #[case] kinds: &[FaultKind]) {
    let options = RunOptions {
        late_orders: true,
        ..RunOptions::default()
    };
    hold_all(&Exploration {
        first,
        seeds: 200,
        jobs: JOBS,
        kinds: kinds.to_vec(),
        options,
        clock_faults: false,
        most_found: 3,
    });
}

/// Versions of a service are brought in while members and callers fail: an acknowledged order is carried out or undone and
/// never forgotten, what was told of it stands, a bad version gets no more than it may and is not completed.
#[rstest]
#[case::members_cut_off(40_000, &[FaultKind::CutOff, FaultKind::CutOneWay, FaultKind::Partition, FaultKind::CutCallers])]
#[case::members_that_end(41_000, &[FaultKind::Kill, FaultKind::PowerLoss, FaultKind::WipeDisk, FaultKind::KillAll])]
#[case::members_replaced(42_000, &[FaultKind::ReplacePlanned, FaultKind::ReplaceUnplanned, FaultKind::EdgeRestart])]
#[case::all_kinds(43_000, &[])]
fn versions_brought_in(#[case] first: u64, #[case] kinds: &[FaultKind]) {
    let options = RunOptions {
        late_orders: true,
        rollouts: true,
        ..RunOptions::default()
    };
    hold_all(&Exploration {
        first,
        seeds: 60,
        jobs: JOBS,
        kinds: kinds.to_vec(),
        options,
        clock_faults: false,
        most_found: 3,
    });
}

#[test]
fn in_calm_time_sound_versions_are_completed_and_bad_ones_reverted() {
    let options = RunOptions {
        rollouts: true,
        ..RunOptions::default()
    };
    let (mut completed, mut reverted) = (0, 0);
    for seed in 1..=20 {
        let report = run(&Plan::calm(seed, 3), &options);
        assert_eq!(report.violation, None, "seed {seed}");
        completed += report.rollouts.0;
        reverted += report.rollouts.1;
    }
    assert!(completed >= 10, "{completed} completed");
    assert!(reverted >= 5, "{reverted} reverted");
}
