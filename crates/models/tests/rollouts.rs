//! Rollouts never go back, whoever decides and whatever arrives late or twice.

use lynxmill_models::rollouts::{Bug, RolloutModel};
use lynxmill_models::search::{large, search};

fn model(bug: Bug, notices: u8) -> RolloutModel {
    RolloutModel {
        bug,
        decisions: if large() { 3 } else { 2 },
        notices,
    }
}

#[test]
fn rollouts_only_advance() {
    search(&model(Bug::None, 1)).assert_holds("rollouts");
}

#[test]
fn an_edge_that_goes_by_the_last_notice_is_found() {
    let outcome = search(&model(Bug::LastToldCounts, 2));
    outcome.assert_finds("an edge that goes by the last notice", "was reverted");
}

#[test]
fn a_decision_on_another_share_is_found() {
    let outcome = search(&model(Bug::AnyShareCounts, 1));
    outcome.assert_finds("a decision on another share", "falls");
}
