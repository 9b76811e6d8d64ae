//! What is remembered of what has happened is bounded, and told by its age.

use lynxmill_runtime_commands::EventLog;

const S: i64 = 1_000_000;

#[test]
fn the_last_events_stay_under_their_numbers() {
    let mut happened = EventLog::new(0);
    for turn in 0..2000_i64 {
        happened.event(turn * S, "order", format!("{turn} {}", "x".repeat(500)));
    }
    let events = happened.events(2000 * S);
    let events = events.as_array().expect("a list");
    assert_eq!((events.len(), &events[0]["event"]), (512, &1489.into()));
    let last = &events[511];
    assert_eq!(
        (&last["ago_ms"], last["text"].as_str().map(str::len)),
        (&1000.into(), Some(243))
    );
}

#[test]
fn ends_are_counted_by_road_and_reason_and_only_odd_ones_are_errors() {
    let mut happened = EventLog::new(0);
    for turn in 0..5 {
        happened.ended(turn * S, "call", "broken", false, format!("turn {turn}"));
        happened.ended(turn * S, "call", "done", true, String::new());
    }
    happened.ended(6 * S, "list", "no-answer", false, String::new());
    let errors = happened.errors(10 * S);
    let rows: Vec<(&str, u64, u64)> = errors
        .as_array()
        .expect("a list")
        .iter()
        .map(|row| {
            (
                row["reason"].as_str().unwrap_or(""),
                row["times"].as_u64().unwrap_or(0),
                row["ago_ms"].as_u64().unwrap_or(0),
            )
        })
        .collect();
    assert_eq!(
        rows,
        [("no-answer", 1, 4000), ("broken", 5, 6000)],
        "the last first"
    );
    assert_eq!(errors[1]["detail"], "turn 4");
    assert_eq!(
        happened.counts().map(|(_, _, times)| times).sum::<u64>(),
        11
    );
    happened.clear(10 * S);
    assert_eq!(happened.counts().count(), 0);
}

#[test]
fn how_long_orders_took_is_told_by_parts() {
    let mut happened = EventLog::new(0);
    assert_eq!(happened.times(0)["orders_done"], 0);
    (1..=100).for_each(|turn| happened.order(turn * 10_000));
    happened.order(1 << 60);
    happened.order(-5);
    let (done, seconds) = happened.orders(&[0.5, 0.98, 1.0]);
    assert_eq!(done, 102);
    assert!(
        (0.49..0.51).contains(&seconds[0]) && (0.98..1.01).contains(&seconds[1]),
        "{seconds:?}"
    );
    assert!(
        seconds[2] >= 3600.0,
        "more than an hour counts as that: {seconds:?}"
    );
    happened.clear(7 * S);
    assert_eq!(
        (
            &happened.times(9 * S)["orders_done"],
            &happened.times(9 * S)["since_s"]
        ),
        (&0.into(), &2.0.into())
    );
}
