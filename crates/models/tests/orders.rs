//! Orders of two operators under one version: the same again is acknowledged again, other content never
//! beside it.

use lynxmill_configuration::ConfigurationChange;
use lynxmill_models::register::{Bug, Goal, RegisterModel, Setup};
use lynxmill_models::search::{large, search};

/// An order as a member reads it: a service that weighs nothing on any other item, always under one version.
fn order(content: &str) -> Goal {
    let service = format!(r#"{{"Name":"checkout","Version":"00000001","TargetS":{content}}}"#);
    let body = format!(r#"{{"Upsert":{{"Services":[{service}]}}}}"#);
    let change = ConfigurationChange::read(body.as_bytes()).expect("an order that can be read");
    Goal::Order(
        change
            .items
            .into_iter()
            .next()
            .expect("an order of one item"),
    )
}

/// Two orders under one number by two members, and the first once more by the third.
fn setup(bug: Bug, contents: [&str; 3]) -> Setup {
    let rounds = if large() { 2 } else { 1 };
    let [first, second, third] = contents.map(order);
    Setup {
        bug,
        machines: 3,
        founders: 3,
        proposers: vec![(0, first, rounds), (1, second, 1), (2, third, 1)],
        ..Setup::default()
    }
}

#[test]
fn two_contents_under_one_version_are_never_both_acknowledged() {
    let outcome = search(&RegisterModel::new(setup(Bug::None, ["0.1", "0.2", "0.1"])));
    outcome.assert_holds("orders, two contents");
}

#[test]
fn the_same_order_again_can_be_read_back_wherever_it_is_acknowledged() {
    let outcome = search(&RegisterModel::new(setup(Bug::None, ["0.1", "0.1", "0.1"])));
    outcome.assert_holds("orders, one content");
}

#[test]
fn an_equal_version_with_other_content_confirmed_is_found() {
    let outcome = search(&RegisterModel::new(setup(
        Bug::EqualVersionConfirmed,
        ["0.1", "0.2", "0.1"],
    )));
    outcome.assert_finds(
        "an equal version with other content confirmed",
        "two contents under one version",
    );
}
