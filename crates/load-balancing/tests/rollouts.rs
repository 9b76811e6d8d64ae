//! A version that is brought in gets its share and no more, whatever each edge knows.

use std::collections::BTreeSet;

use lynxmill_configuration::{
    Bounds, Configuration, Item, RolloutDecision, RolloutOrder, RolloutStep, RoutingTable, Service,
};
use lynxmill_load_balancing::{
    AttemptResult, Candidates, LoadBalancer, Locality, Outcome, Selection,
};
use lynxmill_protocol::Task;
use lynxmill_time::{TimeDelta, Timestamp};

const SERVICE: &str = "pages";
const ROUTE: &str = "read";
const MEMBER: &str = "10.0.0.1";
const TASKS: usize = 20;

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    configuration.merge(&Item {
        key: format!("s/{SERVICE}"),
        version: 1,
        body: format!(r#"{{"Name":"{SERVICE}","MaxConns":100}}"#),
        ..Item::default()
    });
    let order = RolloutOrder {
        service: SERVICE.to_owned(),
        target_version: "v2".to_owned(),
        duration_ms: 12_000,
        base_versions: vec!["v1".to_owned()],
    };
    let item = configuration
        .order_rollout(&order, 0)
        .expect("a valid order");
    configuration.merge(&item.expect("a new order"));
    configuration
}

fn decide(configuration: &mut Configuration, decision: RolloutDecision) {
    let rollouts = configuration.rollouts(SERVICE).expect("rollouts");
    let rollout = rollouts.of_version("v2").expect("a rollout");
    let step = RolloutStep {
        service: SERVICE.to_owned(),
        number: rollout.number,
        from_share: rollout.share,
        decision,
        elapsed_ms: 0,
    };
    let item = configuration
        .advance_rollout(&step, 0)
        .expect("a decision in time");
    configuration.merge(&item);
}

fn task(version: &str, n: usize) -> Task {
    Task {
        id: format!("{version}-{n}"),
        service: SERVICE.to_owned(),
        address: format!("10.1.0.{n}:80"),
        zone: "north".to_owned(),
        slots: 4,
        call_seq: 1,
        version: version.to_owned(),
        ..Task::default()
    }
}

/// An edge that knows the configuration and as many tasks of each version.
fn edge(now: Timestamp, configuration: &Configuration) -> LoadBalancer {
    let locality = Locality {
        name: "edge-1".to_owned(),
        zone: "north".to_owned(),
        ..Locality::default()
    };
    let mut edge = LoadBalancer::new(now, locality, Bounds::default());
    edge.set_routes(RoutingTable::new(configuration));
    let versions = ["v1", "v2"].into_iter();
    let tasks: Vec<Task> = versions
        .flat_map(|v| (0..TASKS).map(move |n| task(v, n)))
        .collect();
    edge.update_tasks(now, MEMBER, &tasks);
    edge.member_heard(now);
    edge
}

fn select(edge: &mut LoadBalancer, now: Timestamp, excluded: &[String]) -> Option<String> {
    let service = Service {
        name: SERVICE.to_owned(),
        ..Service::default()
    };
    let candidates = Candidates {
        service: &service,
        homes: &[],
        key: None,
        excluded,
        latency_target: TimeDelta::from_secs(0.5),
    };
    let random = (now.micros() % 997) as f64 / 997.0;
    match edge.select(now, &candidates, random) {
        Selection::Task(id) => Some(id),
        Selection::Closed | Selection::None => None,
    }
}

/// A request that its task answers at once; the task.
fn request(edge: &mut LoadBalancer, now: Timestamp) -> Option<String> {
    edge.count_request(SERVICE);
    let id = select(edge, now, &[])?;
    edge.attempt_started(now, &id);
    let latency = TimeDelta::from_secs(0.05);
    edge.attempt_ended(now, &id, AttemptResult::Answered(latency), None);
    edge.record_outcome(now, &id, ROUTE, Outcome::Succeeded(latency));
    Some(id)
}

fn is_new(id: &str) -> bool {
    id.starts_with("v2")
}

#[test]
fn all_edges_together_send_a_version_no_more_than_its_share() {
    let mut held = configuration();
    decide(&mut held, RolloutDecision::Share(0.05));
    let mut edges: Vec<LoadBalancer> = (0..62).map(|_| edge(at(0.0), &held)).collect();
    let (mut all, mut new) = (0, 0);
    for round in 0..30 {
        for (n, edge) in edges.iter_mut().enumerate() {
            for _ in 0..n % 3 {
                all += 1;
                let now = at(0.1 + f64::from(round) * 0.05);
                new += usize::from(is_new(&request(edge, now).expect("a task")));
            }
        }
        assert!(new as f64 <= f64::from(all) * 0.05, "{new} of {all}");
    }
    assert!(new > 0, "an edge with few requests takes part as well");
}

#[test]
fn a_version_without_a_share_or_after_its_revert_gets_nothing() {
    let mut held = configuration();
    let mut edge = edge(at(0.0), &held);
    assert!((0..200).all(|_| !is_new(&request(&mut edge, at(1.0)).expect("a task"))));
    decide(&mut held, RolloutDecision::Share(0.5));
    edge.set_routes(RoutingTable::new(&held));
    let tried: Vec<String> = (0..20)
        .filter_map(|_| request(&mut edge, at(1.0)))
        .collect();
    let new = tried
        .into_iter()
        .find(|id| is_new(id))
        .expect("one of the new version");
    assert!(edge.may_send(at(1.0), &new));
    decide(&mut held, RolloutDecision::Revert);
    edge.set_routes(RoutingTable::new(&held));
    assert!(
        !edge.may_send(at(1.0), &new),
        "nor on a connection that was being opened"
    );
    assert!((0..200).all(|_| !is_new(&request(&mut edge, at(1.0)).expect("a task"))));
}

#[test]
fn tasks_that_come_before_their_order_is_known_are_bounded_from_then_on() {
    let mut ordered = configuration();
    decide(&mut ordered, RolloutDecision::Share(0.05));
    let mut edge = edge(at(0.0), &Configuration::default());
    edge.set_routes(RoutingTable::new(&ordered));
    let new = (0..200)
        .filter_map(|_| request(&mut edge, at(1.0)))
        .filter(|id| is_new(id));
    assert!(new.count() <= 10);
}

#[test]
fn an_edge_that_hears_no_member_sends_nothing_to_a_version_with_a_share() {
    let mut held = configuration();
    decide(&mut held, RolloutDecision::Share(0.5));
    let mut edge = edge(at(0.0), &held);
    assert!((0..50).any(|_| is_new(&request(&mut edge, at(1.0)).expect("a task"))));
    assert!((0..50).all(|_| !is_new(&request(&mut edge, at(3.0)).expect("a task"))));
    edge.member_heard(at(3.0));
    assert!((0..50).any(|_| is_new(&request(&mut edge, at(3.1)).expect("a task"))));
}

#[test]
fn a_retry_goes_to_a_version_that_is_released() {
    let mut held = configuration();
    decide(&mut held, RolloutDecision::Share(0.5));
    let mut edge = edge(at(0.0), &held);
    (0..10).for_each(|_| edge.count_request(SERVICE));
    let first = select(&mut edge, at(1.0), &[]).expect("a task");
    assert!(is_new(&first));
    let second = select(&mut edge, at(1.0), &[first]).expect("a task");
    assert!(!is_new(&second));
}

#[test]
fn the_tasks_in_use_bear_what_they_will_bear_in_the_end() {
    let mut held = configuration();
    decide(&mut held, RolloutDecision::Share(0.1));
    let mut edge = edge(at(0.0), &held);
    let used: BTreeSet<String> = (0..400)
        .filter_map(|n| request(&mut edge, at(1.0 + f64::from(n) * 1e-3)))
        .filter(|id| is_new(id))
        .collect();
    assert_eq!(used.len(), TASKS / 10);
}

#[test]
fn a_version_that_takes_over_gets_all_and_those_before_it_stand_by() {
    let mut held = configuration();
    decide(&mut held, RolloutDecision::Share(1.0));
    let mut edge = edge(at(0.0), &held);
    assert!((0..50).all(|_| is_new(&request(&mut edge, at(1.0)).expect("a task"))));
    let all_new: Vec<String> = (0..TASKS).map(|n| format!("v2-{n}")).collect();
    let left = select(&mut edge, at(1.0), &all_new).expect("a task");
    assert!(!is_new(&left));
    decide(&mut held, RolloutDecision::Complete);
    edge.set_routes(RoutingTable::new(&held));
    assert_eq!(
        select(&mut edge, at(1.0), &all_new),
        None,
        "they have been stopped"
    );
}

#[test]
fn a_report_counts_since_the_edge_heard_of_the_rollout() {
    let mut held = configuration();
    decide(&mut held, RolloutDecision::Share(0.5));
    let mut edge = edge(at(0.0), &held);
    (0..20).for_each(|_| drop(request(&mut edge, at(1.0))));
    for _ in 0..2 {
        let report = edge.take_report(at(2.0));
        let seen = &report.rollouts[0];
        assert_eq!((seen.requests, seen.target_requests), (20, 10));
        let ended: u32 = seen.outcomes.iter().map(|counts| counts.ended).sum();
        assert_eq!(ended, 20);
        assert_eq!(seen.others_in_flight, 0);
    }
}
