//! Who owns a shard is granted only under a held lease, and a deposed owner's writes are fenced by its term.

use lynxmill_models::ownership::{Bug, OwnershipModel};
use lynxmill_models::search::{large, search};

fn model(bug: Bug) -> OwnershipModel {
    if large() {
        OwnershipModel::new(bug, 3, [1, 1])
    } else {
        OwnershipModel::new(bug, 2, [0, 1])
    }
}

#[test]
fn grants_follow_the_register_under_one_lease() {
    search(&model(Bug::None)).assert_holds("ownership");
}

#[test]
fn one_member_at_a_time_holds_a_lease_that_is_renewed() {
    let (pauses, questions) = if large() { (4, [2, 2]) } else { (3, [2, 1]) };
    search(&OwnershipModel::leases(Bug::None, pauses, questions)).assert_holds("leases, renewed");
}

#[test]
fn a_grant_without_the_lease_is_found() {
    search(&model(Bug::GrantsWithoutLease)).assert_finds("a grant without the lease", "granted by");
}

#[test]
fn a_deposed_owner_that_ignores_its_term_is_found() {
    let outcome = search(&model(Bug::TermIgnored));
    outcome.assert_finds(
        "a deposed owner that ignores its term",
        "deposed owner's write agreed",
    );
}

#[test]
fn a_clock_slower_than_promises_bear_is_found() {
    search(&model(Bug::ClockTooSlow))
        .assert_finds("a clock too slow", "two members hold the lease");
}
