//! How long edges hold back from a cold task, by what the core's members tell them of it.

use lynxmill_configuration::{Bounds, Service};
use lynxmill_load_balancing::{Candidates, LoadBalancer, Locality, Selection};
use lynxmill_protocol::{EdgeInfo, EdgeList, Task};
use lynxmill_time::{TimeDelta, Timestamp};

const BEAT_INTERVAL: TimeDelta = TimeDelta::from_micros(1_500_000);
const ZONES: [&str; 4] = ["za", "zb", "zc", "zd"];
const EDGES: usize = 12;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn word(call_seq: u64, warm_up_left_ms: u32) -> Task {
    let (id, service, zone) = ("t".to_owned(), "s".to_owned(), "za".to_owned());
    Task {
        id,
        service,
        zone,
        slots: 4,
        call_seq,
        warm_up_left_ms,
        ..Task::default()
    }
}

/// Edges in four zones, each of which knows all.
fn edges() -> Vec<LoadBalancer> {
    let listed = |i: usize| EdgeInfo {
        name: format!("e{i}"),
        zone: ZONES[i % ZONES.len()].to_owned(),
    };
    let fleet = EdgeList {
        edges: (0..EDGES).map(listed).collect(),
    };
    let edge = |at: &EdgeInfo| {
        let place = Locality {
            name: at.name.clone(),
            zone: at.zone.clone(),
            ..Locality::default()
        };
        let bounds = Bounds {
            cold_overshoot: 1.5,
            cold_slack: 5.0,
            ..Bounds::default()
        };
        let mut balancer = LoadBalancer::new(Timestamp::default(), place, bounds);
        balancer.set_heartbeat_interval(BEAT_INTERVAL);
        balancer.set_edges(fleet.clone());
        balancer
    };
    fleet.edges.iter().map(edge).collect()
}

/// Whether an edge sends a request to the task; one that it sends stays there.
fn sends(edge: &mut LoadBalancer, now: Timestamp) -> bool {
    let service = Service {
        name: "s".to_owned(),
        cold_per_s: 20.0,
        ..Service::default()
    };
    let latency_target = TimeDelta::from_secs(0.5);
    let choice = Candidates {
        service: &service,
        homes: &[],
        key: None,
        excluded: &[],
        latency_target,
    };
    let chosen = edge.select(now, &choice, 0.0) == Selection::Task("t".to_owned());
    if chosen {
        edge.attempt_started(now, "t");
    }
    chosen
}

/// When requests reach the task while each edge has one for it every 10 ms.
fn arrivals(edges: &mut [LoadBalancer], until_ms: i64) -> Vec<i64> {
    let mut arrivals = Vec::new();
    for ms in (10..until_ms).step_by(10) {
        let sent = edges
            .iter_mut()
            .filter_map(|edge| sends(edge, at(ms)).then_some(ms));
        arrivals.extend(sent);
    }
    arrivals
}

fn most_in_a_second(arrivals: &[i64]) -> usize {
    let within = |i: usize| {
        arrivals[i..]
            .iter()
            .take_while(|ms| **ms < arrivals[i] + 1000)
            .count()
    };
    (0..arrivals.len()).map(within).max().unwrap_or(0)
}

/// A zone that is taken back: a task started 159 ms before all tasks of the zone went cold again. Members of
/// the core knew of it, but tell edges only what keeps a task cold for longer by over a fifth of a beat.
#[test]
fn edges_hold_back_until_a_task_is_warm_though_they_were_not_told_of_its_last_turn() {
    let mut edges = edges();
    edges
        .iter_mut()
        .for_each(|edge| edge.update_task(at(0), "core", &word(1, 2984)));
    let really_cold_until = 159 + 3000;
    let arrivals = arrivals(&mut edges, really_cold_until);
    let most = most_in_a_second(&arrivals);
    assert!(
        most <= 35,
        "{most} requests in one second to a cold task that bears 35"
    );
    assert!(
        arrivals.len() >= 30,
        "it gets nearly nothing: {} in {really_cold_until} ms",
        arrivals.len()
    );
}

#[test]
fn a_task_that_was_cold_is_warm_a_fifth_of_a_beat_after_it_was_to_be() {
    let mut edge = edges().remove(0);
    edge.update_task(at(0), "core", &word(1, 3000));
    let sent = |edge: &mut LoadBalancer, ms: i64| (0..50).filter(|_| sends(edge, at(ms))).count();
    assert!(sent(&mut edge, 3299) < 10);
    assert_eq!(sent(&mut edge, 3300), 50);
}

#[test]
fn a_warm_task_is_sent_all_at_once() {
    let mut edge = edges().remove(0);
    edge.update_task(at(0), "core", &word(1, 0));
    assert!((0..50).all(|_| sends(&mut edge, at(1))));
}

/// A member learns of a later beat by its number alone, and may have missed the word that told of coldness.
#[test]
fn a_member_that_missed_a_word_makes_no_cold_task_warm() {
    for (first, second) in [(word(5, 3000), word(6, 0)), (word(5, 0), word(5, 3000))] {
        let mut edge = edges().remove(0);
        edge.update_task(at(0), "a", &first);
        edge.update_task(at(20), "b", &second);
        let sent = (0..50).filter(|_| sends(&mut edge, at(500))).count();
        assert!(sent < 10, "{sent} sent after {first:?}, {second:?}");
    }
}
