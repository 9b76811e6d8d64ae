//! What a request's further tries cost, and when there are no more.

use lynxmill_load_balancing::{Attempts, RetryDecision};

#[test]
fn a_task_that_could_not_be_sent_it_costs_neither_budget_nor_attempts() {
    let mut tries = Attempts::new(2);
    assert_eq!(tries.retry(), RetryDecision::Allowed);
    tries.unsent("a");
    tries.unsent("b");
    assert_eq!(
        (tries.retry(), tries.is_last()),
        (RetryDecision::Allowed, false)
    );
    assert_eq!(tries.tried(), ["a", "b"]);
    tries.sent("c");
    assert_eq!(
        (tries.retry(), tries.is_last()),
        (RetryDecision::NeedsBudget, true)
    );
    tries.sent("d");
    assert_eq!(tries.retry(), RetryDecision::Exhausted);
}

#[test]
fn it_is_given_up_where_nobody_can_be_reached() {
    let mut tries = Attempts::new(9);
    for id in ["a", "b", "c"] {
        tries.unsent(id);
        assert_eq!(tries.retry(), RetryDecision::Allowed);
    }
    tries.unsent("d");
    assert_eq!(tries.retry(), RetryDecision::Exhausted);
    assert!(!tries.may_have_run);
}

#[test]
fn one_attempt_is_one_arrival() {
    // A route without MaxAttempts is refused; whoever meets one all the same tries once.
    for most in [0, 1] {
        let mut tries = Attempts::new(most);
        assert!(tries.is_last());
        tries.sent("a");
        assert_eq!(tries.retry(), RetryDecision::Exhausted);
    }
}
