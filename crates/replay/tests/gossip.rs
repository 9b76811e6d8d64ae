//! What it changes that assigners tell each other what they see of servers.

use lynxmill_recording::{Day, RecordedEvent};
use lynxmill_replay::{GeneratedDay, Memory, Play, Played, make, play};

fn day(seed: u64, troubles: &[&str]) -> Day {
    let of = GeneratedDay {
        name: "gossip".to_owned(),
        seed,
        seconds: 40.0,
        forwarders: 60,
        // No multiple of the assigners: each server has slices of all three.
        servers: 25,
        assigners: 3,
        slices: 96,
        load: 0.4,
        troubles: troubles.iter().map(|&of| of.to_owned()).collect(),
        ..GeneratedDay::default()
    };
    make(&of).expect("a day")
}

fn played(day: &Day, gossip: bool) -> Played {
    let configuration = serde_json::from_str(&day.head.configuration).expect("JSON");
    play(
        day,
        &configuration,
        &Play {
            gossip,
            ..Play::default()
        },
        Memory::default(),
    )
    .expect("played")
}

/// Seconds until the last slice of silent servers was shut, and service.
fn of(seeds: std::ops::Range<u64>, gossip: bool) -> (f64, f64, usize) {
    let (mut seconds, mut service, mut count, days) =
        (0.0, 0.0, 0, (seeds.end - seeds.start) as f64);
    for seed in seeds {
        let played = played(&day(seed, &["silent"]), gossip);
        assert!(
            played.report.broken.is_empty(),
            "seed {seed}: {:?}",
            played.report.broken
        );
        for (server, _, rid) in &played.silent {
            let rid = rid.unwrap_or_else(|| panic!("seed {seed}: {server} kept slices"));
            seconds += rid.secs();
            count += 1;
        }
        service += played.report.service.unwrap_or(0.0) / days;
    }
    (seconds / count.max(1) as f64, service, count)
}

#[test]
fn a_silent_server_loses_its_last_slice_sooner() {
    let (alone, served_alone, count) = of(0..8, false);
    let (together, served, _) = of(0..8, true);
    println!(
        "{count} servers: {alone:.2} s and {served_alone:.4} alone, {together:.2} s and {served:.4} together"
    );
    assert!(count >= 8 && together < alone, "{together} {alone}");
}

#[test]
fn the_same_play_twice_is_the_same() {
    let day = day(3, &["silent", "assigner"]);
    let (one, two) = (played(&day, true), played(&day, true));
    assert_eq!(one.report, two.report);
    assert_eq!(one.silent, two.silent);
    assert!(
        day.troubles
            .iter()
            .any(|of| matches!(of.what, RecordedEvent::ServerFallsSilent(_)))
    );
}

/// Troubles that are no server's silence: nobody is drained for what others say, and every rule holds.
#[test]
fn other_troubles_break_no_rule_with_it() {
    for (seed, troubles) in [
        (1, ["deaths", "cutoff"]),
        (2, ["slow", "assigner"]),
        (3, ["zone", "deploy"]),
    ] {
        let played = played(&day(seed, &troubles), true);
        assert!(
            played.report.broken.is_empty(),
            "{troubles:?}: {:?}",
            played.report.broken
        );
    }
}
