//! A task is silent only if all members that know it say so: one that is cut off hears what no other hears.

use lynxmill::{Moment, Span};
use lynxmill_configuration::{Bounds, Service};
use lynxmill_load_balancing::{Choice, LoadBalancer, Pick, Place};
use lynxmill_protocol::Task;

fn word(seq: u64, silent: bool) -> Task {
    let (id, service) = ("i-1".to_owned(), "box".to_owned());
    Task { id, service, zone: "z".to_owned(), slots: 4, call_seq: seq, silent, ..Task::default() }
}

fn picks(pilot: &mut LoadBalancer) -> Pick {
    let service = Service { name: "box".to_owned(), ..Service::default() };
    let aim = Span::from_secs(0.5);
    let choice = Choice { service: &service, homes: &[], key: None, tried: &[], aim };
    pilot.choose(Moment::default(), &choice, 0.0)
}

#[test]
fn a_task_that_one_member_still_hears_is_sent_requests() {
    let now = Moment::default();
    let mut pilot = LoadBalancer::new(now, Place::default(), Bounds::default());
    let served = Pick::Task("i-1".to_owned());
    pilot.task(now, "cut off", &word(1, false));
    pilot.task(now, "a", &word(5, true));
    pilot.task(now, "b", &word(5, true));
    assert_eq!(picks(&mut pilot), served);
    pilot.task(now, "cut off", &word(9, true));
    assert_eq!(picks(&mut pilot), Pick::None);
    // It is heard again by one.
    pilot.task(now, "b", &word(12, false));
    assert_eq!(picks(&mut pilot), served);
}

#[test]
fn what_a_member_found_counts_no_more_once_its_stream_has_ended() {
    let now = Moment::default();
    let mut pilot = LoadBalancer::new(now, Place::default(), Bounds::default());
    pilot.task(now, "a", &word(1, false));
    pilot.task(now, "b", &word(1, true));
    pilot.parted("a");
    assert_eq!(picks(&mut pilot), Pick::None);
    // The last word stays where no member is left to tell another.
    pilot.parted("b");
    assert_eq!(picks(&mut pilot), Pick::None);
}
