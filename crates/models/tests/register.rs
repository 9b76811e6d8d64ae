//! The register: proposers on several members, messages in any order, a disk that is lost.

use std::collections::BTreeSet;

use lynxmill_models::register::{Bug, Goal, RegisterModel, Setup};
use lynxmill_models::search::{large, search};

/// Three members, two proposers of which one begins twice, disks of which one may be lost at a time.
fn setup(bug: Bug) -> Setup {
    let rounds = if large() { 2 } else { 1 };
    Setup {
        bug,
        machines: 3,
        founders: 3,
        proposers: vec![(0, Goal::Append(1), 2), (1, Goal::Append(2), rounds)],
        wipes: 1,
        wiped: BTreeSet::from([1, 2]),
        checks_recovery: true,
        ..Setup::default()
    }
}

#[test]
fn what_was_agreed_is_seen_by_every_later_round() {
    search(&RegisterModel::new(setup(Bug::None))).assert_holds("register, one disk lost");
}

#[test]
fn disks_lost_one_after_the_other_lose_nothing() {
    let mut proposers = vec![(0, Goal::Append(1), 1), (1, Goal::Append(2), 1)];
    if large() {
        proposers.push((0, Goal::Append(3), 1));
    }
    let setup = Setup {
        wipes: 2,
        proposers,
        ..setup(Bug::None)
    };
    search(&RegisterModel::new(setup)).assert_holds("register, disks lost one after the other");
}

/// Acceptors refuse another value under the ballot that they have accepted, but not another proposer's
/// prepare under it: two halves of the members may then hold two values under one ballot, and a later round
/// can't tell which one was agreed.
#[test]
fn a_ballot_given_twice_is_found() {
    let proposers = vec![
        (0, Goal::Append(1), 1),
        (0, Goal::Append(2), 1),
        (1, Goal::Append(3), 1),
    ];
    let setup = Setup {
        proposers,
        wipes: 0,
        ..setup(Bug::BallotGivenTwice)
    };
    search(&RegisterModel::new(setup)).assert_finds("a ballot given twice", "agreed");
}

/// The same three proposers with ballots of their own.
#[test]
fn ballots_given_once_keep_two_threads_of_a_member_apart() {
    let proposers = vec![
        (0, Goal::Append(1), 1),
        (0, Goal::Append(2), 1),
        (1, Goal::Append(3), 1),
    ];
    let setup = Setup {
        proposers,
        wipes: 0,
        ..setup(Bug::None)
    };
    search(&RegisterModel::new(setup)).assert_holds("register, two threads of a member");
}

#[test]
fn a_blank_disk_that_votes_is_found() {
    let outcome = search(&RegisterModel::new(setup(Bug::BlankVotes)));
    outcome.assert_finds("a blank disk that votes", "agreed");
}
