//! A lease has one holder also while the members change.

use lynxmill_models::lease_handover::{Bug, LeaseHandoverModel, Replaced};
use lynxmill_models::search::{large, search};

fn model(bug: Bug, replaced: Replaced) -> LeaseHandoverModel {
    if large() {
        LeaseHandoverModel::new(bug, replaced, 3, 0, [2, 1])
    } else {
        LeaseHandoverModel::new(bug, replaced, 2, 0, [1, 1])
    }
}

#[test]
fn a_lease_is_not_renewed_by_the_old_members_once_new_ones_are_chosen() {
    search(&model(Bug::None, Replaced::Another)).assert_holds("lease, another replaced");
}

#[test]
fn an_owner_that_is_replaced_holds_its_lease_to_its_end_alone() {
    search(&model(Bug::None, Replaced::Owner)).assert_holds("lease, owner replaced");
}

#[test]
fn members_that_start_again_during_a_change_give_no_lease_away() {
    let model = LeaseHandoverModel::new(Bug::None, Replaced::Another, 1, 1, [1, 1]);
    search(&model).assert_holds("lease, with a restart");
}

#[test]
fn a_member_that_grants_while_the_members_change_is_found() {
    let outcome = search(&model(Bug::GrantsWhileChanging, Replaced::Another));
    outcome.assert_finds("grants while the members change", "two members hold");
}

#[test]
fn a_newcomer_that_grants_at_once_is_found() {
    let outcome = search(&model(Bug::NewcomerGrantsAtOnce, Replaced::Another));
    outcome.assert_finds("a newcomer that grants at once", "two members hold");
}
