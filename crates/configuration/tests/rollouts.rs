//! Orders of rollouts and decisions on them, as items.

use lynxmill_configuration::{
    Configuration, Item, RolloutDecision, RolloutOrder, RolloutState, RolloutStep, ValidationError,
    VersionAccess, rollouts_key,
};

const SERVICE: &str = "pages";

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    configuration.merge(&Item {
        key: format!("s/{SERVICE}"),
        version: 1,
        body: format!(r#"{{"Name":"{SERVICE}"}}"#),
        ..Item::default()
    });
    configuration
}

fn order(version: &str, duration_ms: u64) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_owned(),
        target_version: version.to_owned(),
        duration_ms,
        base_versions: vec!["v1".to_owned()],
    }
}

/// Takes an order; the number that it got, or that of the item that stands.
fn take(configuration: &mut Configuration, order: &RolloutOrder) -> u64 {
    let item = configuration
        .order_rollout(order, 0)
        .expect("a valid order");
    if let Some(item) = item {
        configuration.merge(&item);
    }
    configuration.version(&rollouts_key(SERVICE))
}

/// Carries a decision out; whether it changed anything.
fn decide(
    configuration: &mut Configuration,
    number: u64,
    from_share: f64,
    decision: RolloutDecision,
) -> bool {
    let step = RolloutStep {
        service: SERVICE.to_owned(),
        number,
        from_share,
        decision,
        elapsed_ms: 1_000,
    };
    let item = configuration.advance_rollout(&step, 0);
    item.is_some_and(|item| configuration.merge(&item))
}

fn access(configuration: &Configuration, version: &str) -> VersionAccess {
    let rollouts = configuration.rollouts(SERVICE);
    rollouts.map_or(VersionAccess::Released, |all| all.access(version))
}

fn state(configuration: &Configuration, version: &str) -> Option<RolloutState> {
    let rollouts = configuration.rollouts(SERVICE)?;
    rollouts.of_version(version).map(|rollout| rollout.state)
}

#[test]
fn a_version_that_is_brought_in_gets_nothing_until_a_share_is_decided() {
    let mut held = configuration();
    let number = take(&mut held, &order("v2", 12_000));
    assert_eq!(access(&held, "v1"), VersionAccess::Released);
    assert_eq!(access(&held, "v2"), VersionAccess::Share(0.0));
    assert_eq!(
        access(&held, "v3"),
        VersionAccess::Denied,
        "no order names it"
    );
    assert!(decide(&mut held, number, 0.0, RolloutDecision::Share(0.05)));
    assert_eq!(access(&held, "v2"), VersionAccess::Share(0.05));
}

#[test]
fn the_same_order_again_changes_nothing_whatever_became_of_it() {
    let mut held = configuration();
    let number = take(&mut held, &order("v2", 12_000));
    assert_eq!(held.order_rollout(&order("v2", 12_000), 0), Ok(None));
    assert!(decide(&mut held, number, 0.0, RolloutDecision::Revert));
    assert_eq!(held.order_rollout(&order("v2", 12_000), 0), Ok(None));
    assert_eq!(state(&held, "v2"), Some(RolloutState::Reverted));
}

#[test]
fn another_term_for_a_version_that_is_brought_in_is_refused() {
    let mut held = configuration();
    take(&mut held, &order("v2", 12_000));
    let refused = held.order_rollout(&order("v2", 13_000), 0);
    assert!(
        matches!(refused, Err(ValidationError::RolloutUnderWay(..))),
        "{refused:?}"
    );
}

#[test]
fn a_rollout_of_an_unknown_service_is_refused() {
    let other = RolloutOrder {
        service: "nobody".to_owned(),
        ..order("v2", 12_000)
    };
    let refused = configuration().order_rollout(&other, 0);
    assert!(
        matches!(refused, Err(ValidationError::UnknownRolloutService(_))),
        "{refused:?}"
    );
}

#[test]
fn a_rollout_that_has_ended_never_goes_on() {
    let mut held = configuration();
    let number = take(&mut held, &order("v2", 12_000));
    assert!(decide(&mut held, number, 0.0, RolloutDecision::Revert));
    assert!(!decide(&mut held, number, 0.0, RolloutDecision::Share(0.5)));
    assert!(!decide(&mut held, number, 0.0, RolloutDecision::Complete));
    assert_eq!(state(&held, "v2"), Some(RolloutState::Reverted));
    assert_eq!(access(&held, "v2"), VersionAccess::Denied);
}

#[test]
fn a_share_that_was_decided_by_an_older_one_is_out_of_date_and_a_revert_never_is() {
    let mut held = configuration();
    let number = take(&mut held, &order("v2", 12_000));
    assert!(decide(&mut held, number, 0.0, RolloutDecision::Share(0.05)));
    assert!(!decide(
        &mut held,
        number,
        0.0,
        RolloutDecision::Share(0.15)
    ));
    assert!(!decide(&mut held, number, 0.0, RolloutDecision::Complete));
    assert!(decide(&mut held, number, 0.0, RolloutDecision::Revert));
}

#[test]
fn a_version_that_has_taken_over_leaves_nothing_to_those_before_it() {
    let mut held = configuration();
    let number = take(&mut held, &order("v2", 12_000));
    assert!(decide(&mut held, number, 0.0, RolloutDecision::Complete));
    assert_eq!(access(&held, "v1"), VersionAccess::Denied);
    assert_eq!(access(&held, "v2"), VersionAccess::Released);
    assert_eq!(
        access(&held, "v3"),
        VersionAccess::Released,
        "nothing is in progress"
    );
}

#[test]
fn an_operator_may_go_back_to_a_version_that_was_taken_over_from() {
    let mut held = configuration();
    let number = take(&mut held, &order("v2", 12_000));
    assert!(decide(&mut held, number, 0.0, RolloutDecision::Complete));
    let back = RolloutOrder {
        base_versions: vec!["v2".to_owned()],
        ..order("v1", 12_000)
    };
    let number = take(&mut held, &back);
    assert_eq!(access(&held, "v1"), VersionAccess::Share(0.0));
    assert_eq!(access(&held, "v2"), VersionAccess::Released);
    assert!(decide(&mut held, number, 0.0, RolloutDecision::Complete));
    assert_eq!(access(&held, "v2"), VersionAccess::Denied);
    let again = take(&mut held, &order("v2", 12_000));
    assert!(
        again > number,
        "a later order of another version stands between"
    );
    assert_eq!(state(&held, "v2"), Some(RolloutState::InProgress));
}

#[test]
fn rollouts_that_overlap_are_both_shown() {
    let mut held = configuration();
    let first = take(&mut held, &order("v2", 12_000));
    let second = take(&mut held, &order("v3", 12_000));
    assert!(decide(&mut held, second, 0.0, RolloutDecision::Revert));
    assert!(decide(&mut held, first, 0.0, RolloutDecision::Complete));
    let rollouts = held.rollouts(SERVICE).expect("rollouts");
    let shown: Vec<&str> = rollouts
        .current()
        .iter()
        .map(|r| r.target_version.as_str())
        .collect();
    assert_eq!(shown, ["v3", "v2"]);
    take(&mut held, &order("v4", 12_000));
    let rollouts = held.rollouts(SERVICE).expect("rollouts");
    let shown: Vec<&str> = rollouts
        .current()
        .iter()
        .map(|r| r.target_version.as_str())
        .collect();
    assert_eq!(shown, ["v4"]);
}
