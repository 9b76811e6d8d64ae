//! A task is silent only if all members that know it say so: one that is cut off hears what no other hears.

use lynxmill_configuration::{Bounds, Configuration, ConfigurationChange, RoutingTable, Service};
use lynxmill_load_balancing::{AttemptResult, Candidates, LoadBalancer, Locality, Selection};
use lynxmill_protocol::Task;
use lynxmill_time::{TimeDelta, Timestamp};

fn word(seq: u64, timed_out: bool) -> Task {
    let (id, service) = ("i-1".to_owned(), "box".to_owned());
    Task {
        id,
        service,
        zone: "z".to_owned(),
        slots: 4,
        call_seq: seq,
        timed_out,
        ..Task::default()
    }
}

fn picks(pilot: &mut LoadBalancer) -> Selection {
    picks_at(pilot, Timestamp::default())
}

fn picks_at(pilot: &mut LoadBalancer, now: Timestamp) -> Selection {
    let service = Service {
        name: "box".to_owned(),
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
    pilot.select(now, &choice, 0.0)
}

#[test]
fn a_task_that_one_member_still_hears_is_sent_requests() {
    let now = Timestamp::default();
    let mut pilot = LoadBalancer::new(now, Locality::default(), Bounds::default());
    let served = Selection::Task("i-1".to_owned());
    pilot.update_task(now, "cut off", &word(1, false));
    pilot.update_task(now, "a", &word(5, true));
    pilot.update_task(now, "b", &word(5, true));
    assert_eq!(picks(&mut pilot), served);
    pilot.update_task(now, "cut off", &word(9, true));
    assert_eq!(picks(&mut pilot), Selection::None);
    // It is heard again by one.
    pilot.update_task(now, "b", &word(12, false));
    assert_eq!(picks(&mut pilot), served);
}

#[test]
fn what_a_member_found_counts_no_more_once_its_stream_has_ended() {
    let now = Timestamp::default();
    let mut pilot = LoadBalancer::new(now, Locality::default(), Bounds::default());
    pilot.update_task(now, "a", &word(1, false));
    pilot.update_task(now, "b", &word(1, true));
    pilot.member_lost("a");
    assert_eq!(picks(&mut pilot), Selection::None);
    // The last word stays where no member is left to tell another.
    pilot.member_lost("b");
    assert_eq!(picks(&mut pilot), Selection::None);
}

fn served() -> Selection {
    Selection::Task("i-1".to_owned())
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

/// An edge whose tasks beat every 1.5 s.
fn edge() -> LoadBalancer {
    let mut edge = LoadBalancer::new(at(0.0), Locality::default(), Bounds::default());
    edge.set_heartbeat_interval(TimeDelta::from_secs(1.5));
    edge
}

#[test]
fn a_member_that_has_just_started_revives_no_task_that_others_find_silent() {
    let mut edge = edge();
    edge.update_task(at(0.0), "a", &word(7, true));
    edge.recall_task(at(1.0), "b", &word(7, false));
    assert_eq!(picks_at(&mut edge, at(1.0)), Selection::None);
    assert_eq!(picks_at(&mut edge, at(5.4)), Selection::None);
    // By now it would have found the task silent as well: it hears what the other does not.
    assert_eq!(picks_at(&mut edge, at(5.6)), served());
}

#[test]
fn a_task_that_only_members_knew_that_have_just_started_is_sent_requests() {
    let mut edge = edge();
    edge.recall_task(at(1.0), "a", &word(7, false));
    edge.recall_task(at(1.0), "b", &word(7, false));
    assert_eq!(picks_at(&mut edge, at(1.0)), served());
}

#[test]
fn what_a_member_hears_after_its_start_counts_at_once() {
    let mut edge = edge();
    edge.update_task(at(0.0), "a", &word(7, true));
    edge.recall_task(at(1.0), "b", &word(7, false));
    edge.update_task(at(1.2), "b", &word(8, false));
    assert_eq!(picks_at(&mut edge, at(1.2)), served());
}

/// Services are divided by keys or not.
fn chart(sharded: bool) -> RoutingTable {
    let service = format!(r#"{{"Name":"box","Sharded":{sharded},"Version":"00000001"}}"#);
    let call = format!(r#"{{"Upsert":{{"Services":[{service}]}}}}"#);
    let change = ConfigurationChange::read(call.as_bytes()).unwrap();
    let mut configuration = Configuration::default();
    assert!(change.items.iter().all(|item| configuration.merge(item)));
    RoutingTable::new(&configuration)
}

#[test]
fn a_life_is_left_alone_once_another_task_answers_at_its_address() {
    // A task of a sharded service says the same of a key that it doesn't hold: that one only rests.
    for (sharded, left_alone) in [(false, true), (true, false)] {
        let mut edge = edge();
        edge.set_routes(chart(sharded));
        edge.update_task(at(0.0), "a", &word(1, false));
        assert_eq!(picks_at(&mut edge, at(0.0)), served());
        edge.attempt_started(at(0.0), "i-1");
        edge.attempt_ended(at(0.0), "i-1", AttemptResult::Misdirected, None);
        assert_eq!(
            picks_at(&mut edge, at(4.4)) == Selection::None,
            left_alone,
            "sharded: {sharded}"
        );
        assert_eq!(picks_at(&mut edge, at(4.6)), served(), "not for ever");
    }
}
