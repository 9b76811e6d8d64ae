//! Joins are served only by a member in contact with a majority, under a cut one way.

use lynxmill_models::contact::{Bug, ContactModel};
use lynxmill_models::search::{large, search};

fn model(bug: Bug) -> ContactModel {
    ContactModel {
        bug,
        pauses: if large() { 4 } else { 3 },
        questions: 2,
    }
}

#[test]
fn joins_are_served_only_in_contact() {
    search(&model(Bug::None)).assert_holds("contact");
}

#[test]
fn a_member_without_contact_that_serves_a_join_is_found() {
    let outcome = search(&model(Bug::HeardLately));
    outcome.assert_finds(
        "a member without contact that serves a join",
        "served a join",
    );
}

#[test]
fn a_late_answer_that_counts_for_a_later_question_is_found() {
    let outcome = search(&model(Bug::LateAnswerCounts));
    outcome.assert_finds(
        "a late answer that counts for a later question",
        "served a join",
    );
}
