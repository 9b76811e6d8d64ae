//! A change of members: a newcomer that is seated, a leaver, and a second loss.

use std::collections::BTreeSet;

use lynxmill_models::register::{Bug, Goal, LateNewcomer, RegisterModel, Setup};
use lynxmill_models::search::{large, search};
use lynxmill_protocol::Membership;

fn members(epoch: u64, machines: &[usize]) -> Membership {
    Membership {
        epoch,
        ips: machines
            .iter()
            .map(|n| format!("10.0.0.{}", n + 1))
            .collect(),
    }
}

/// Machine 2 is lost for good, machine 3 takes its place, then the disk of machine 1 is lost.
fn replacement(bug: Bug) -> Setup {
    let rounds = if large() { 3 } else { 2 };
    Setup {
        bug,
        machines: 4,
        founders: 3,
        dead: BTreeSet::from([2]),
        proposers: vec![
            (0, Goal::Change(members(2, &[0, 1, 3])), 2),
            (1, Goal::Append(1), rounds),
        ],
        wipes: 1,
        wiped: BTreeSet::from([0, 1, 3]),
        checks_recovery: true,
        ..Setup::default()
    }
}

/// Machine 2 leaves but still proposes and votes in the members that it knows.
fn leaver(bug: Bug) -> Setup {
    let proposers = vec![
        (0, Goal::Change(members(2, &[0, 1, 3])), 1),
        (2, Goal::Append(2), 1),
    ];
    let wiped = if large() {
        BTreeSet::from([0, 1, 3])
    } else {
        BTreeSet::from([1])
    };
    Setup {
        dead: BTreeSet::new(),
        proposers,
        wiped,
        ..replacement(bug)
    }
}

#[test]
fn a_loss_after_the_seat_leaves_members_that_recover() {
    search(&RegisterModel::new(replacement(Bug::None))).assert_holds("replacement, second loss");
}

#[test]
fn a_newcomer_that_is_late_only_puts_off_what_may_be_lost() {
    let late_newcomer = LateNewcomer::FinishedIfOthersStand;
    let setup = Setup {
        late_newcomer,
        ..replacement(Bug::None)
    };
    search(&RegisterModel::new(setup)).assert_holds("replacement, newcomer late");
    let setup = Setup {
        late_newcomer,
        ..leaver(Bug::None)
    };
    search(&RegisterModel::new(setup)).assert_holds("leaver, newcomer late");
}

#[test]
fn a_leaver_can_agree_on_nothing_beside_its_successors() {
    search(&RegisterModel::new(leaver(Bug::None))).assert_holds("leaver");
}

#[test]
fn two_changes_at_once_agree_on_one() {
    let proposers = vec![
        (
            0,
            Goal::Change(members(2, &[0, 1, 3])),
            if large() { 2 } else { 1 },
        ),
        (1, Goal::Change(members(2, &[0, 1, 2, 3])), 1),
    ];
    let setup = Setup {
        proposers,
        wipes: 0,
        ..leaver(Bug::None)
    };
    search(&RegisterModel::new(setup)).assert_holds("two changes at once");
}

/// The fault of old: {A, B, X blank}, then B's disk is lost; X and B each wait for two full copies for ever.
#[test]
fn a_newcomer_seated_blank_is_found() {
    let outcome = search(&RegisterModel::new(replacement(Bug::SeatedBlank)));
    outcome.assert_finds("a newcomer seated blank", "stuck for ever");
}

/// {A, B, C leaves} to {A, B, X}: A and B accept, B's disk is lost, X does not answer in time, the change is
/// finished all the same. Of the new members A alone stands, so B and X wait for a second full copy for ever,
/// though C has one.
#[test]
fn a_change_finished_after_a_loss_while_its_newcomer_is_late_is_found() {
    let setup = Setup {
        late_newcomer: LateNewcomer::Finished,
        ..leaver(Bug::None)
    };
    let outcome = search(&RegisterModel::new(setup));
    outcome.assert_finds("a change finished after a loss", "stuck for ever");
}

/// Where the majority of the members before agrees on a change by itself: nothing else becomes possible, as
/// long as members change one at a time and a newcomer that is not seated has no vote.
#[test]
fn the_majority_of_the_members_before_is_enough_for_one_change() {
    let before = |setup| Setup {
        previous_majority_is_enough: true,
        late_newcomer: LateNewcomer::FinishedIfOthersStand,
        ..setup
    };
    let changes = vec![
        (0, Goal::Change(members(2, &[0, 1, 3])), 1),
        (1, Goal::Change(members(2, &[0, 1, 2, 3])), 1),
    ];
    let two_changes = Setup {
        proposers: changes,
        wipes: 0,
        ..leaver(Bug::None)
    };
    let setups = [
        ("replacement", replacement(Bug::None)),
        ("leaver", leaver(Bug::None)),
        ("two changes", two_changes),
    ];
    for (name, setup) in setups {
        let outcome = search(&RegisterModel::new(before(setup)));
        outcome.assert_holds(&format!("majority of the members before, {name}"));
    }
}

/// Machine 3 is added to three members, of which machine 2 may be lost for good at any time.
fn addition() -> Setup {
    Setup {
        dead: BTreeSet::new(),
        crashing: BTreeSet::from([2]),
        wipes: 0,
        proposers: vec![
            (0, Goal::Change(members(2, &[0, 1, 2, 3])), 1),
            (1, Goal::Append(1), 1),
        ],
        ..replacement(Bug::None)
    }
}

/// The majority of four is three, and the newcomer has no vote before its seat: with one member lost on the
/// way, the two that have accepted are frozen for ever.
#[test]
fn an_addition_that_needs_both_majorities_and_loses_a_member_is_found() {
    let outcome = search(&RegisterModel::new(addition()));
    outcome.assert_finds("both majorities, addition, a member lost", "stuck for ever");
}

#[test]
fn an_addition_by_the_majority_of_the_members_before_bears_a_lost_member() {
    let setup = Setup {
        previous_majority_is_enough: true,
        ..addition()
    };
    search(&RegisterModel::new(setup))
        .assert_holds("majority of the members before, addition, a member lost");
}

/// As `replacement`, where machine 0, which proposes the change, may be lost for good besides.
fn proposer_lost(newcomer_tells: bool) -> Setup {
    let late_newcomer = LateNewcomer::FinishedIfOthersStand;
    let crashing = BTreeSet::from([0, 1, 3]);
    Setup {
        crashing,
        wipes: 0,
        late_newcomer,
        newcomer_tells,
        ..replacement(Bug::None)
    }
}

/// {A, B, C lost} to {A, B, X}: A and B accept, X takes its seat, A alone knows that the change is agreed and
/// is lost. B and X hold everything, but B goes by members of which only it stands, and X by members that it
/// is none of.
#[test]
fn a_proposer_lost_before_it_tells_of_the_seat_is_found() {
    let outcome = search(&RegisterModel::new(proposer_lost(false)));
    outcome.assert_finds(
        "a proposer lost before it tells of the seat",
        "stuck for ever",
    );
}

#[test]
fn a_newcomer_that_tells_of_its_seat_bears_the_loss_of_the_proposer() {
    for previous_majority_is_enough in [false, true] {
        let setup = Setup {
            previous_majority_is_enough,
            ..proposer_lost(true)
        };
        search(&RegisterModel::new(setup)).assert_holds("proposer lost, the newcomer tells");
    }
}
