//! Orders of two operators under one version: the same again is acknowledged again, other content never beside it.

use lynxmill_configuration::Item;
use lynxmill_models::register::{Bug, Goal, RegisterModel, Setup};
use lynxmill_models::search::{large, search};

/// A service that weighs nothing on any other item.
fn order(content: &str) -> Goal {
    let body = format!("{{\"Name\":\"checkout\",\"Content\":\"{content}\"}}");
    Goal::Order(Item { key: "s/checkout".to_owned(), version: 1, dropped: false, body })
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
#[ignore = "to be switched on with the branch `orders`: until then an equal version is confirmed whatever it says"]
fn two_contents_under_one_version_are_never_both_acknowledged() {
    let outcome = search(&RegisterModel::new(setup(Bug::None, ["one", "two", "one"])));
    outcome.assert_holds("orders, two contents");
}

#[test]
fn the_same_order_again_can_be_read_back_wherever_it_is_acknowledged() {
    let outcome = search(&RegisterModel::new(setup(Bug::None, ["one", "one", "one"])));
    outcome.assert_holds("orders, one content");
}

#[test]
fn an_equal_version_with_other_content_confirmed_is_found() {
    let outcome = search(&RegisterModel::new(setup(Bug::EqualVersionConfirmed, ["one", "two", "one"])));
    outcome.assert_finds("an equal version with other content confirmed", "two contents under one version");
}
