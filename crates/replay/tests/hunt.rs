//! Days from seeds with troubles that run into one another, and hours of them one after another.

use std::collections::BTreeMap;

use lynxmill_recording::RecordedEvent;
use lynxmill_replay::{
    GeneratedDay, InjectedFault, Memory, Play, TROUBLES, drawn, hunt, make, play,
};
use rstest::rstest;

/// Five assigners, 2,400 forwarders and 200 servers behind a channel as narrow as the largest fleets have.
fn large() -> GeneratedDay {
    GeneratedDay {
        name: "large".to_owned(),
        seconds: 20.0,
        forwarders: 2400,
        servers: 200,
        assigners: 5,
        slices: 960,
        load: 0.1,
        pace: Some(150.0),
        ..GeneratedDay::default()
    }
}

/// As many servers and forwarders for an assigner, in little.
fn little() -> GeneratedDay {
    GeneratedDay {
        forwarders: 48,
        servers: 12,
        assigners: 3,
        slices: 36,
        seconds: 40.0,
        ..large()
    }
}

#[rstest]
#[case::drains_and_restarts(2)]
#[case::a_zone_and_few_assigners(4)]
#[case::late_lists(5)]
fn a_large_fleet_keeps_the_rules(#[case] seed: u64) {
    let found = hunt(&large(), seed..seed + 1, None, |_| ()).expect("a day");
    assert_eq!(
        found[0].report.broken,
        [],
        "seed {seed}: {:?}",
        found[0].made.troubles
    );
    assert!(found[0].report.whole.asked > 10_000);
}

#[test]
fn many_little_days_keep_the_rules_and_come_again_by_their_seed() {
    let found = hunt(&little(), 0..60, None, |_| ()).expect("days");
    for found in &found {
        assert_eq!(
            found.report.broken,
            [],
            "seed {}: {:?}",
            found.made.seed,
            found.made.troubles
        );
    }
    let again = hunt(&little(), 31..32, None, |_| ()).expect("a day");
    assert_eq!(again[0].report.json(), found[31].report.json());
}

/// With the lease of forwarders ignored the hunt comes upon the breach, and tells its seed.
#[test]
fn a_fault_is_found_with_its_seed() {
    let made = GeneratedDay {
        load: 0.5,
        ..little()
    };
    let found = hunt(&made, 0..24, Some(InjectedFault::LeaseIgnored), |_| ()).expect("days");
    let broken: Vec<_> = found
        .iter()
        .filter(|f| f.report.broken.iter().any(|b| b.rule == 2))
        .collect();
    assert!(!broken.is_empty());
    let seed = broken[0].made.seed;
    let alone = hunt(
        &made,
        seed..seed + 1,
        Some(InjectedFault::LeaseIgnored),
        |_| (),
    )
    .expect("a day");
    assert_eq!(alone[0].report.broken, broken[0].report.broken);
}

/// However troubles overlap: a server starts only once it is down or silent, and drains only while it runs.
#[test]
fn overlapping_troubles_are_possible_ones() {
    for seed in 0..40 {
        let made = drawn(&little(), seed);
        let (count, known) = (made.troubles.len(), |kind: &String| {
            TROUBLES.contains(&kind.as_str())
        });
        assert!(
            (2..=4).contains(&count) && made.troubles.iter().all(known),
            "{:?}",
            made.troubles
        );
        let mut up: BTreeMap<u32, bool> = BTreeMap::new();
        for trouble in make(&made).expect("a day").troubles {
            let (server, starts) = match trouble.what {
                RecordedEvent::ServerStarts(s) => (s, true),
                RecordedEvent::ServerEnds(s) => (s, false),
                RecordedEvent::ServerFallsSilent(s) | RecordedEvent::ServerDrains(s) => {
                    assert!(*up.get(&s).unwrap_or(&true), "seed {seed}: {trouble:?}");
                    continue;
                }
                _ => continue,
            };
            // One that is silent may start anew or end.
            up.insert(server, starts);
        }
    }
}

/// Two hours in which every kind of trouble comes twice: nothing that has gone stands in the way later on.
#[test]
fn hours_of_troubles_keep_the_rules() {
    let troubles: Vec<String> = TROUBLES
        .iter()
        .chain(&TROUBLES)
        .map(|&kind| kind.to_owned())
        .collect();
    let made = GeneratedDay {
        seconds: 7200.0,
        forwarders: 12,
        servers: 12,
        slices: 24,
        load: 0.03,
        troubles,
        pace: Some(2000.0),
        ..little()
    };
    let day = make(&made).expect("a day");
    let configuration = serde_json::from_str(&day.head.configuration).expect("JSON");
    let report = play(&day, &configuration, &Play::default(), Memory::default())
        .expect("a play")
        .report;
    assert_eq!(report.broken, []);
    // In the last ten minutes as in the first.
    let part = |windows: &[lynxmill_replay::ReportPart]| {
        windows.iter().map(|part| part.service).sum::<f64>() / windows.len() as f64
    };
    let windows = &report.windows;
    assert!(
        part(&windows[windows.len() - 60..]) > part(&windows[..60]) - 0.02,
        "{:?}",
        report.worst_window
    );
}
