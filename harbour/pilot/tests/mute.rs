//! A task without power or behind a cut resets nothing: it is told by owing answers and giving none.

use lynxmill::{Moment, Span};
use lynxmill_manifest::{Bounds, Service};
use lynxmill_pilot::{Choice, Ended, Pick, Pilot, Place};
use lynxmill_tidings::Task;

fn at(seconds: f64) -> Moment {
    Moment::default() + Span::from_secs(seconds)
}

/// Two tasks; the near one is cheaper while both do well.
fn pilot() -> Pilot {
    let place = Place { zone: "near".to_owned(), ..Place::default() };
    let mut pilot = Pilot::new(at(0.0), place, Bounds::default());
    for (id, zone) in [("i-near", "near"), ("i-far", "far")] {
        let (id, service, zone) = (id.to_owned(), "box".to_owned(), zone.to_owned());
        pilot.task(at(0.0), "a", &Task { id, service, zone, slots: 4, ..Task::default() });
    }
    pilot
}

fn picks(pilot: &mut Pilot, now: Moment) -> String {
    let service = Service { name: "box".to_owned(), ..Service::default() };
    let aim = Span::from_secs(0.5);
    let choice = Choice { service: &service, homes: &[], key: None, tried: &[], aim };
    match pilot.choose(now, &choice, 0.0) {
        Pick::Task(id) => id,
        other => panic!("{other:?}"),
    }
}

fn mute(pilot: &Pilot, now: Moment) -> bool {
    pilot.seen("i-near").is_some_and(|seen| seen.mute(now))
}

#[test]
fn a_task_that_owes_answers_and_gives_none_is_the_last_resort() {
    let mut pilot = pilot();
    let answered = Ended::Answered(Span::from_secs(0.06));
    pilot.sent(at(1.0), "i-near");
    pilot.ended(at(1.06), "i-near", answered, None);
    // Idle for long is not mute.
    assert!(!mute(&pilot, at(9.0)));
    pilot.sent(at(9.0), "i-near");
    assert_eq!(picks(&mut pilot, at(9.2)), "i-near");
    assert_eq!(picks(&mut pilot, at(9.5)), "i-far");
    // What else is sent there doesn't make it younger.
    pilot.sent(at(9.4), "i-near");
    assert!(mute(&pilot, at(9.5)));
    // It speaks again.
    pilot.ended(at(9.6), "i-near", answered, None);
    assert_eq!(picks(&mut pilot, at(9.7)), "i-near");
}

#[test]
fn a_request_that_was_given_up_is_no_answer() {
    let mut pilot = pilot();
    pilot.sent(at(1.0), "i-near");
    pilot.sent(at(1.0), "i-near");
    pilot.ended(at(1.6), "i-near", Ended::Failed, None);
    assert!(mute(&pilot, at(1.6)));
}

#[test]
fn a_slow_or_crowded_task_is_waited_for() {
    let mut pilot = pilot();
    for _ in 0..12 {
        pilot.sent(at(1.0), "i-near");
    }
    assert!(!mute(&pilot, at(1.8)), "three rounds of its slots are on their way");
    // Answers of others count: it is slow with one, not mute.
    pilot.ended(at(1.8), "i-near", Ended::Answered(Span::from_secs(0.8)), None);
    assert!(!mute(&pilot, at(2.1)));
}
