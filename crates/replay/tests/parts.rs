//! The parts that a play rests on, one by one, and what is built on plays.

use std::rc::Rc;

use lynxmill_recording::{Day, Entry, Source};
use lynxmill_replay::{
    Account, AdmissionOutcome, Change, Forwarder, ForwarderAction, GeneratedDay, Job, Line, Memory,
    Message, Play, ReplayConfig, RequestOutcome, RoutingDecision, Server, ServerHealth, Stored,
    TROUBLES, cases, compare, knobs, make, play, rebuild, redrive, sweep,
};
use lynxmill_time::{TimeDelta, Timestamp};
use rstest::rstest;

const LEASE: TimeDelta = TimeDelta::from_micros(4_000_000);

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

fn line(server: u32, issue: u64) -> Line {
    Line { server, issue }
}

fn stored(line: Option<Line>) -> Stored {
    Stored {
        line,
        levels: vec![1.0, 1.0],
    }
}

/// One forwarder with a stream to one assigner, slice 0 at server 3, read at second 1.
fn serving() -> Forwarder {
    let mut forwarder = Forwarder::new(0, 2, 2, 2, LEASE);
    forwarder.join(at(0.5), 0);
    assert_eq!(
        forwarder.store(at(1.0), 0, 0, &stored(Some(line(3, 1)))),
        None
    );
    forwarder.has_read(0, &mut Vec::new());
    forwarder
}

fn way(forwarder: &Forwarder, seconds: f64, write: bool) -> RoutingDecision {
    forwarder.way(at(seconds), 0, usize::from(write), write, 0.5)
}

fn message(changes: Vec<Change>, marks: &[u16]) -> Rc<Message> {
    Rc::new(Message {
        changes,
        marks: marks.to_vec(),
        ordered: at(2.0),
    })
}

#[test]
fn writes_end_a_lease_after_the_stream_and_resume_once_the_store_is_read() {
    let mut forwarder = serving();
    assert_eq!(
        way(&forwarder, 100.0, true),
        RoutingDecision::To(line(3, 1)),
        "while the stream stands"
    );
    forwarder.part(at(10.0), 0);
    assert_eq!(way(&forwarder, 13.9, true), RoutingDecision::To(line(3, 1)));
    assert_eq!(way(&forwarder, 14.0, true), RoutingDecision::Wait);
    assert_eq!(
        way(&forwarder, 99.0, false),
        RoutingDecision::To(line(3, 1)),
        "reads go on with what is held"
    );
    // A second break doesn't lengthen the lease, nor does a join without a look at the store.
    forwarder.join(at(12.0), 0);
    forwarder.part(at(13.0), 0);
    forwarder.join(at(13.5), 0);
    assert_eq!(way(&forwarder, 14.0, true), RoutingDecision::Wait);
    forwarder.store(at(15.0), 0, 0, &stored(Some(line(5, 2))));
    assert_eq!(way(&forwarder, 15.0, true), RoutingDecision::To(line(5, 2)));
}

#[test]
fn a_slice_in_other_hands_has_its_lease_too() {
    let mut forwarder = serving();
    forwarder.handed(at(10.0), 0, Some(1));
    assert!(forwarder.writes(at(13.9), 0) && !forwarder.writes(at(14.1), 0));
    // Orders of the one before no longer count.
    forwarder.apply(
        at(11.0),
        0,
        &message(vec![Change::Line(0, Some(line(9, 5)))], &[]),
        &mut Vec::new(),
    );
    assert_eq!(forwarder.line(0), Some(line(3, 1)));
}

#[test]
fn one_that_has_died_writes_nothing_before_it_has_read() {
    let mut forwarder = serving();
    forwarder.hold(0, 7);
    assert_eq!(forwarder.die(), [7]);
    forwarder.come_back(at(20.0));
    assert_eq!(
        (way(&forwarder, 20.0, true), way(&forwarder, 20.0, false)),
        (RoutingDecision::Wait, RoutingDecision::Wait)
    );
}

#[test]
fn a_mark_is_answered_only_once_the_store_has_been_read() {
    let mut forwarder = Forwarder::new(0, 1, 1, 2, LEASE);
    let mut asks = Vec::new();
    forwarder.join(at(1.0), 0);
    forwarder.apply(at(2.1), 0, &message(vec![], &[7]), &mut asks);
    assert_eq!(asks, []);
    forwarder.has_read(0, &mut asks);
    assert_eq!(
        asks,
        [ForwarderAction::Answer {
            assigner: 0,
            mark: 7,
            ordered: at(2.0)
        }]
    );
    asks.clear();
    forwarder.apply(at(2.2), 0, &message(vec![], &[8]), &mut asks);
    assert_eq!(
        asks,
        [ForwarderAction::Answer {
            assigner: 0,
            mark: 8,
            ordered: at(2.0)
        }]
    );
    // What was owed on an earlier stream is lost with it.
    forwarder.part(at(3.0), 0);
    forwarder.join(at(3.1), 0);
    forwarder.apply(at(3.2), 0, &message(vec![], &[9]), &mut Vec::new());
    forwarder.part(at(3.3), 0);
    forwarder.join(at(3.4), 0);
    asks.clear();
    forwarder.has_read(0, &mut asks);
    assert_eq!(asks, []);
}

#[test]
fn what_waits_for_a_table_goes_on_once_it_has_a_server() {
    let mut forwarder = serving();
    let mut asks = Vec::new();
    forwarder.apply(
        at(2.0),
        0,
        &message(vec![Change::Line(0, None)], &[]),
        &mut asks,
    );
    assert_eq!(way(&forwarder, 2.0, false), RoutingDecision::Wait);
    assert_eq!(
        forwarder
            .bare()
            .map(|(slice, ..)| slice)
            .collect::<Vec<_>>(),
        [0]
    );
    (1..=3).for_each(|id| forwarder.hold(0, id));
    assert!(forwarder.let_go(0, 2) && !forwarder.let_go(0, 2));
    forwarder.apply(
        at(2.2),
        0,
        &message(vec![Change::Line(0, Some(line(4, 2)))], &[]),
        &mut asks,
    );
    assert_eq!(asks, [ForwarderAction::Again(vec![1, 3])]);
    assert_eq!(forwarder.bare().count(), 0);
}

#[test]
fn levels_let_in_their_share_and_are_read_from_the_store() {
    let mut forwarder = serving();
    let level = Change::Levels {
        slice: 0,
        operation: 1,
        level: 0.4,
    };
    forwarder.apply(at(2.0), 0, &message(vec![level], &[]), &mut Vec::new());
    assert_eq!(
        forwarder.way(at(2.0), 0, 1, true, 0.39),
        RoutingDecision::To(line(3, 1))
    );
    assert_eq!(
        forwarder.way(at(2.0), 0, 1, true, 0.4),
        RoutingDecision::Refused
    );
    assert_eq!(
        forwarder.way(at(2.0), 0, 0, false, 0.99),
        RoutingDecision::To(line(3, 1))
    );
    forwarder.store(at(3.0), 0, 0, &stored(Some(line(3, 1))));
    assert_eq!(
        forwarder.way(at(3.0), 0, 1, true, 0.99),
        RoutingDecision::To(line(3, 1))
    );
}

fn server(cores: u32, queue: u32) -> Server {
    let mut kind = make(&GeneratedDay::default())
        .expect("a day")
        .world
        .expect("a world")
        .servers
        .remove(0);
    (kind.cores, kind.queue, kind.speed, kind.gain) = (cores, queue, 1.0, 0.0);
    (kind.cold_from, kind.cold_for) = (0.5, 10_000_000);
    Server::new(kind, 2)
}

fn job(id: u64, seconds: f64) -> Job {
    Job {
        id,
        slice: 0,
        work: TimeDelta::from_secs(seconds),
        write: false,
    }
}

fn offer(server: &mut Server, seconds: f64, job: Job) -> AdmissionOutcome {
    server.offer(at(seconds), job, 2.5, TimeDelta::from_secs(2.0))
}

#[test]
fn a_server_works_in_turn_and_lets_go_of_what_is_cancelled() {
    let mut server = server(1, 2);
    assert_eq!(
        offer(&mut server, 0.0, job(1, 1.0)),
        AdmissionOutcome::Runs(at(1.0))
    );
    assert_eq!(
        offer(&mut server, 0.1, job(2, 1.0)),
        AdmissionOutcome::Waits
    );
    assert_eq!(
        offer(&mut server, 0.2, job(3, 0.5)),
        AdmissionOutcome::Waits
    );
    assert_eq!(offer(&mut server, 0.3, job(4, 0.5)), AdmissionOutcome::Full);
    assert!(
        server
            .cancel(at(0.4), 2)
            .is_some_and(|(job, next)| job.id == 2 && next.is_none())
    );
    let (done, next) = server.done(at(1.0), 1).expect("it ran");
    assert_eq!((done.id, next), (1, Some((3, at(1.5)))));
    assert!(server.done(at(1.0), 1).is_none(), "only once");
    assert!(
        server
            .cancel(at(1.2), 3)
            .is_some_and(|(job, _)| job.id == 3)
    );
    assert_eq!(server.in_hand(), 0);
}

#[test]
fn a_cold_server_is_slower_and_falls_over_for_good() {
    let mut server = server(2, 1000);
    server.start(at(10.0));
    assert_eq!(server.warmth(at(10.0)), 0.5);
    assert_eq!(server.warmth(at(15.0)), 0.75);
    assert_eq!(server.warmth(at(99.0)), 1.0);
    assert_eq!(
        offer(&mut server, 10.0, job(1, 1.0)),
        AdmissionOutcome::Runs(at(12.0))
    );
    // 2 cores at half of their speed for 2 s, 2.5 times: a budget of 5 s of work.
    for id in 2..5 {
        assert_ne!(
            offer(&mut server, 10.1, job(id, 1.3)),
            AdmissionOutcome::FellOver
        );
    }
    assert_eq!(
        offer(&mut server, 10.2, job(5, 1.0)),
        AdmissionOutcome::FellOver
    );
    assert_eq!(server.end(ServerHealth::Down).len(), 4);
    server.start(at(20.0));
    assert_eq!(server.running, ServerHealth::Fallen);
    assert_eq!(
        offer(&mut server, 20.0, job(6, 0.1)),
        AdmissionOutcome::Refused
    );
}

#[test]
fn a_warm_server_takes_any_burst() {
    let mut server = server(1, 1000);
    let fell = |id| offer(&mut server, 0.0, job(id, 1.0)) == AdmissionOutcome::FellOver;
    assert!(!(0..100).any(fell));
}

#[test]
fn what_is_silent_or_down_answers_nothing_or_refuses() {
    let mut one = server(1, 1);
    one.end(ServerHealth::Silent);
    assert_eq!(offer(&mut one, 0.0, job(1, 1.0)), AdmissionOutcome::Nothing);
    one.end(ServerHealth::Down);
    assert_eq!(offer(&mut one, 0.0, job(1, 1.0)), AdmissionOutcome::Refused);
}

fn rough(seed: u64) -> Day {
    let troubles = ["deploy", "cutoff", "assigner", "lost"]
        .map(str::to_owned)
        .to_vec();
    make(&GeneratedDay {
        seed,
        seconds: 40.0,
        load: 0.6,
        troubles,
        ..GeneratedDay::default()
    })
    .expect("a day")
}

fn recorded(day: &Day) -> Day {
    let configuration = serde_json::from_str(&day.head.configuration).expect("JSON");
    let how = Play {
        record: true,
        ..Play::default()
    };
    let played = play(day, &configuration, &how, Memory::default()).expect("a play");
    Day {
        log: played.log,
        ..day.clone()
    }
}

fn service(day: &Day) -> f64 {
    let configuration = serde_json::from_str(&day.head.configuration).expect("JSON");
    let report = play(day, &configuration, &Play::default(), Memory::default())
        .expect("a play")
        .report;
    assert_eq!(report.broken, []);
    report.whole.service()
}

#[test]
fn service_is_billed_value_in_time_over_billed_value_asked_for() {
    let configuration: serde_json::Value =
        serde_json::from_str(&rough(1).head.configuration).expect("JSON");
    let terms = ReplayConfig::of(&configuration["settings"]).expect("terms");
    let mut account = Account::new(&terms, TimeDelta::from_secs(25.0));
    for (operation, first, came) in [
        (0, 1.0, Some(RequestOutcome::Succeeded)),
        (1, 2.0, Some(RequestOutcome::Succeeded)),
        (1, 11.0, Some(RequestOutcome::Late)),
        (0, 12.0, Some(RequestOutcome::RateLimited)),
        (1, 24.9, Some(RequestOutcome::Errored)),
        (0, 24.9, None),
    ] {
        account.asked(operation, at(first));
        came.into_iter()
            .for_each(|came| account.came(operation, at(first), came));
        assert!(account.conserved());
    }
    assert_eq!(account.whole.service(), 6.0 / 18.0);
    let windows: Vec<f64> = account
        .windows
        .iter()
        .map(lynxmill_replay::Tally::service)
        .collect();
    assert_eq!(windows, [1.0, 0.0, 0.0]);
    assert_eq!(account.whole.open, 1);
}

#[test]
fn a_log_told_again_orders_the_same_and_a_changed_one_is_found() {
    let mut day = recorded(&rough(2));
    let found = redrive(&day).expect("a log");
    assert!(
        found.differs.is_none() && found.lives == 3 && found.calls > 10,
        "{found:?}"
    );
    let spoilt = day
        .log
        .iter_mut()
        .rev()
        .find_map(|log| match &mut log.entry {
            Entry::Ordered(text) => Some(text),
            _ => None,
        });
    spoilt.expect("a call").push(' ');
    assert!(redrive(&day).expect("a log").differs.is_some());
}

#[test]
fn a_log_with_a_gap_is_compared_up_to_it() {
    let mut day = recorded(&rough(3));
    let middle = day.log.len() / 2;
    day.log[middle].entry = Entry::Missing(5);
    let found = redrive(&day).expect("a log");
    assert!(found.differs.is_none() && found.left_out > 0, "{found:?}");
}

#[rstest]
fn a_world_inferred_from_what_assigners_heard_comes_near(#[values(1, 2, 3, 4)] seed: u64) {
    let day = rough(seed);
    let rebuilt = rebuild(&recorded(&day)).expect("a world");
    assert_eq!(rebuilt.head.source, Source::Rebuilt);
    let (was, is) = (service(&day), service(&rebuilt));
    assert!((was - is).abs() < 0.08, "{was} and {is}");
}

#[test]
fn a_clock_that_jumps_in_a_log_ends_nothing() {
    let day = recorded(&rough(4));
    let half = day.log.len() / 2;
    for by in [-20_000_000, 3_600_000_000, i64::MIN / 4, i64::MAX / 4] {
        let mut jumped = day.clone();
        jumped.log[half..]
            .iter_mut()
            .for_each(|log| log.at = log.at.saturating_add(by));
        let found = redrive(&jumped).expect("a log");
        assert!(found.events > 1000, "{found:?}");
        // A world of years can't be played; one whose clock went back a little can.
        if by == -20_000_000 {
            let rebuilt = rebuild(&jumped).expect("a world");
            let configuration = serde_json::from_str(&rebuilt.head.configuration).expect("JSON");
            assert!(
                play(
                    &rebuilt,
                    &configuration,
                    &Play::default(),
                    Memory::default()
                )
                .is_ok()
            );
        }
    }
}

#[test]
fn a_log_without_anything_in_it_is_no_world() {
    assert!(rebuild(&rough(1)).is_err());
}

#[rstest]
#[case::unknown("gras=1")]
#[case::no_value("grace")]
#[case::not_a_number("grace=soon")]
#[case::under("grace=0")]
#[case::over("retries=21")]
#[case::fraction("retries=1.5")]
#[case::below_zero("messages=-1")]
#[case::nan("lease=NaN")]
#[case::infinite("lease=inf")]
#[case::word("levels=some")]
#[case::one_of_several("grace=1,2,x")]
fn a_wrong_setting_is_told(#[case] text: &str) {
    let fail = knobs::parse(text).expect_err("wrong");
    assert!(fail.lines().count() == 1 && !fail.is_empty());
}

#[test]
fn every_setting_can_be_changed_within_its_type() {
    for knob in &knobs::KNOBS {
        let value = match knob.kind {
            knobs::Kind::Seconds { most, .. } | knobs::Kind::Number { most, .. } => {
                most.to_string()
            }
            knobs::Kind::Count { most, .. } => most.to_string(),
            knobs::Kind::OneOf(words) => words[1].to_owned(),
        };
        let changes = knobs::parse(&format!("{}={value}", knob.name)).expect("within bounds");
        let day = rough(1);
        assert_eq!(
            knobs::effective(&day, &changes).expect("a day"),
            changes,
            "{}",
            knob.name
        );
    }
}

#[test]
fn a_sweep_comes_in_its_order_and_tells_where_settings_differ() {
    let values = ["lease=4,2", "retries=0,2"].map(|set| knobs::parse(set).expect("a setting"));
    let cases = cases(&values);
    let day = rough(5);
    let reports = sweep(&day, &cases, || Ok(Memory::default()), |_| {}).expect("plays");
    // As recorded means unchanged, and the same in a second sweep.
    let changed: Vec<usize> = reports.iter().map(|report| report.changed.len()).collect();
    assert_eq!(changed, [1, 0, 2, 1]);
    assert_eq!(
        reports,
        sweep(&day, &cases, || Ok(Memory::default()), |_| {}).expect("plays")
    );
    assert!(
        reports
            .iter()
            .all(|report| report.day_digest == reports[0].day_digest)
    );
    let by = compare(&reports[1], &reports[0]);
    assert!(
        !by.same && by.service.is_some_and(|by| by != 0.0) && !by.windows.is_empty(),
        "{by:?}"
    );
    assert!(compare(&reports[0], &reports[0].clone()).same);
}

#[test]
fn a_day_that_does_not_fit_its_settings_is_not_played() {
    let day = rough(1);
    let told: serde_json::Value = serde_json::from_str(&day.head.configuration).expect("JSON");
    for (path, value) in [
        ("/specifics/shards", 3.into()),
        ("/specifics/proxy_count", 2.into()),
    ] {
        let mut told = told.clone();
        *told["settings"].pointer_mut(path).expect("a place") = value;
        assert!(
            play(&day, &told, &Play::default(), Memory::default()).is_err(),
            "{path}"
        );
    }
    let worldless = Day { world: None, ..day };
    assert!(play(&worldless, &told, &Play::default(), Memory::default()).is_err());
}

/// Whatever goes wrong by chance, the rules are kept and no invocation is lost.
#[rstest]
fn rough_days_keep_the_rules(#[values(0, 1, 2, 3, 4, 5, 6, 7)] turn: u64) {
    for seed in turn * 3..turn * 3 + 3 {
        let pick = |k: u64| {
            TROUBLES[((seed * 7 + k * 3 + seed / 5) % TROUBLES.len() as u64) as usize].to_owned()
        };
        let troubles = (0..4).map(pick).collect();
        let made = GeneratedDay {
            seed,
            seconds: 50.0,
            load: 0.3 + 0.06 * (seed % 10) as f64,
            troubles,
            ..GeneratedDay::default()
        };
        assert!(service(&make(&made).expect("a day")) > 0.5, "{made:?}");
    }
}
