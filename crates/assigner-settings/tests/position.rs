//! Which of several assigners this is.

use rstest::rstest;
use serde_json::{Value, json};

fn settings(balancers: Value, position: Value) -> Value {
    let text = include_str!("../../../examples/config.json");
    let mut of: Value = serde_json::from_str(text).expect("the example is JSON");
    let mut settings = of["settings"].take();
    settings["balancers"] = balancers;
    settings["position"] = position;
    settings
}

#[rstest]
#[case::alone(json!(1), json!(0), 1, Some(0))]
#[case::not_told(json!(5), Value::Null, 5, None)]
#[case::nothing_told(Value::Null, Value::Null, 1, None)]
#[case::last(json!(5), json!(4), 5, Some(4))]
fn one_of_them(
    #[case] balancers: Value,
    #[case] position: Value,
    #[case] count: usize,
    #[case] at: Option<usize>,
) {
    let facts = lynxmill_assigner_settings::facts(&settings(balancers, position)).expect("sound");
    assert_eq!((facts.assigners, facts.position), (count, at));
}

#[rstest]
#[case::beyond(json!(5), json!(5), "`position` 5 is not one of `balancers` 5, which count from 0")]
#[case::of_one(Value::Null, json!(1), "`position` 1 is not one of `balancers` 1, which count from 0")]
#[case::below(json!(5), json!(-1), "odd `position`")]
fn none_of_them_is_refused(#[case] balancers: Value, #[case] position: Value, #[case] told: &str) {
    let fail =
        lynxmill_assigner_settings::facts(&settings(balancers, position)).expect_err("refused");
    assert!(fail.starts_with(told), "{fail}");
}
