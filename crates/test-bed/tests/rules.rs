//! Assigners, forwarders and servers on loopback, the programs as they are, while what can go wrong does: all rules are
//! checked from what really ran.

use std::collections::BTreeSet;
use std::io::Read;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lynxmill_fake_servers::rules::BrokenRule;
use lynxmill_fake_servers::worker::Misbehavior;
use lynxmill_test_bed::{Fault, FaultSchedule, Load, Tally, TestBed, TestBedOptions};
use rstest::rstest;

/// Clients for so long, with troubles; then until all has settled.
async fn play(
    wish: TestBedOptions,
    kinds: &[Fault],
    every: f64,
    rate: f64,
    lasts: f64,
) -> (TestBed, Tally) {
    let seed = wish.seed;
    let mut rig = TestBed::start(wish).expect("all is built and starts");
    let load = Load::new(rig.ports(), seed);
    let mut troubles = FaultSchedule::new(kinds, Duration::from_secs_f64(every), seed);
    let begun = rig.now();
    let lasts = Duration::from_secs_f64(lasts);
    let coming = {
        let load = load.clone();
        actix_rt::spawn(async move { load.run(rate, lasts).await })
    };
    while !coming.is_finished() || !troubles.over() {
        actix_rt::time::sleep(Duration::from_millis(25)).await;
        let since = rig.now() - begun;
        troubles
            .step(&mut rig, since, kinds.is_empty() || since >= lasts)
            .expect("what went comes back");
        rig.look();
    }
    let tally = load.tally.borrow().clone();
    (rig, tally)
}

fn told(rig: &TestBed, tally: &Tally) -> String {
    let logs: Vec<_> = rig
        .forwarders
        .iter()
        .map(|forwarder| forwarder.last(3))
        .collect();
    format!(
        "service {:.3} of {}, {:?}, {:?}; {logs:#?}",
        tally.service(),
        tally.asked,
        tally.by,
        tally.reasons
    )
}

/// Each vote that a client was told of ran once; whatever else ran did so once at most.
fn votes_count(rig: &TestBed, tally: &Tally) {
    let ledger = rig.workers.ledger();
    for id in &tally.answered {
        let times = ledger.ran.iter().filter(|ran| ran.id == *id).count();
        assert_eq!(times, 1, "{id}");
    }
}

fn sound(rig: &TestBed, tally: &Tally, least: f64) {
    let broken: Vec<BrokenRule> = rig.broken();
    assert!(broken.is_empty(), "{broken:#?}\n{}", told(rig, tally));
    assert!(tally.service() >= least, "{}", told(rig, tally));
    votes_count(rig, tally);
}

#[rstest]
#[case::etcd("etcd")]
#[case::consul("consul")]
fn a_calm_day_is_served_whole(#[case] protocol: &'static str) {
    actix_rt::System::new().block_on(async {
        let wish = TestBedOptions {
            protocol,
            ..TestBedOptions::default()
        };
        let (rig, tally) = play(wish, &[], 1.0, 60.0, 4.0).await;
        eprintln!("{}", told(&rig, &tally));
        sound(&rig, &tally, 0.95);
    });
}

/// What one kind of trouble leaves of the service; each alone.
#[rstest]
#[case::kill_forwarder(Fault::KillForwarder, 0.7)]
#[case::halt_forwarder(Fault::HaltForwarder, 0.5)]
#[case::replace_forwarder(Fault::ReplaceForwarder, 0.9)]
#[case::break_watches(Fault::BreakWatches, 0.9)]
#[case::silence(Fault::Silence, 0.4)]
#[case::silent_server(Fault::SilentServer, 0.4)]
#[case::deploy(Fault::Deploy, 0.8)]
#[case::kill_assigner(Fault::KillAssigner, 0.8)]
#[case::halt_assigner(Fault::HaltAssigner, 0.8)]
fn all_rules_hold_while_something_goes_wrong(#[case] kind: Fault, #[case] least: f64) {
    actix_rt::System::new().block_on(async {
        let wish = TestBedOptions {
            seed: 7,
            ..TestBedOptions::default()
        };
        let (rig, tally) = play(wish, &[kind], 2.0, 60.0, 9.0).await;
        eprintln!("{kind:?} {}", told(&rig, &tally));
        sound(&rig, &tally, least);
    });
}

/// Seven in ten gone at once in the middle of a drain, and back one after the other; and beside it broken streams, a
/// registry that says nothing and more of the same.
#[rstest]
#[case::forwarders(&[Fault::KillMostForwarders], 0.3)]
#[case::assigners(&[Fault::KillMostAssigners], 0.5)]
#[case::both_and_silence(
    &[Fault::KillMostForwarders, Fault::KillMostAssigners, Fault::BreakWatches, Fault::Silence],
    0.2
)]
fn all_rules_hold_while_most_are_gone(#[case] kinds: &[Fault], #[case] least: f64) {
    actix_rt::System::new().block_on(async {
        let wish = TestBedOptions {
            seed: 9,
            forwarders: 7,
            assigners: 3,
            servers: 6,
            slices: 30,
            ..TestBedOptions::default()
        };
        let (rig, tally) = play(wish, kinds, 2.0, 60.0, 9.0).await;
        eprintln!("{kinds:?} {}", told(&rig, &tally));
        sound(&rig, &tally, least);
    });
}

/// All at once, overlapping, eight forwarders and twelve servers.
#[rstest]
#[case::first(11)]
#[case::second(12)]
fn all_rules_hold_on_rough_days(#[case] seed: u64) {
    actix_rt::System::new().block_on(async {
        let wish = TestBedOptions {
            seed,
            forwarders: 8,
            servers: 12,
            slices: 48,
            assigners: 2,
            ..TestBedOptions::default()
        };
        let kinds: Vec<Fault> = Fault::ALL.iter().map(|(_, kind)| *kind).collect();
        let (rig, tally) = play(wish, &kinds, 0.8, 120.0, 15.0).await;
        eprintln!("{}", told(&rig, &tally));
        sound(&rig, &tally, 0.4);
    });
}

/// A successor on the same port, again and again: nobody's connection breaks and nobody is given up.
#[test]
fn a_planned_restart_loses_no_invocation() {
    actix_rt::System::new().block_on(async {
        let wish = TestBedOptions {
            seed: 8,
            forwarders: 2,
            ..TestBedOptions::default()
        };
        let (rig, tally) = play(wish, &[Fault::ReplaceForwarder], 1.0, 100.0, 7.0).await;
        let lost = tally
            .by
            .iter()
            .filter(|((_, how), _)| ["broke", "given up"].contains(how))
            .count();
        assert_eq!(lost, 0, "{}", told(&rig, &tally));
        sound(&rig, &tally, 0.9);
    });
}

/// With a guard of the forwarders taken out the checks find the breach that it guards against.
#[test]
fn writes_without_a_lease_are_found() {
    actix_rt::System::new().block_on(async {
        let wish = TestBedOptions {
            seed: 3,
            fault: Some("writes-without-lease"),
            servers: 1,
            ..TestBedOptions::default()
        };
        let mut rig = TestBed::start(wish).expect("all is built and starts");
        let load = Load::new(rig.ports(), 3);
        let coming = {
            let load = load.clone();
            actix_rt::spawn(async move { load.run(150.0, Duration::from_secs(12)).await })
        };
        // One stands still while the slices of a server that drains move away; it goes on with what it held.
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        rig.forwarders[0].halt();
        rig.add_server(true).expect("a free port");
        rig.list("s-000", "draining");
        let mut moved = false;
        while !coming.is_finished() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            let gone = rig
                .owners()
                .values()
                .all(|owner| owner.as_deref().is_some_and(|owner| owner != "s-000"));
            if gone && !moved {
                moved = true;
                actix_rt::time::sleep(Duration::from_millis(700)).await;
                rig.forwarders[0].go_on();
            }
        }
        let broken = rig.broken();
        assert!(
            moved && broken.iter().any(|broken| broken.rule == 2),
            "moved {moved}: {broken:?}"
        );
    });
}

#[test]
fn votes_that_are_repeated_are_found() {
    actix_rt::System::new().block_on(async {
        let wish = TestBedOptions {
            seed: 4,
            fault: Some("repeats-all"),
            ..TestBedOptions::default()
        };
        let rig = TestBed::start(wish).expect("all is built and starts");
        let load = Load::new(rig.ports(), 4);
        rig.servers["s-001"].mood(Misbehavior::BreaksAfter);
        load.run(100.0, Duration::from_secs(3)).await;
        let broken = rig.broken();
        assert!(
            broken
                .iter()
                .any(|broken| broken.rule == 2 && broken.what.contains("again")),
            "{broken:?}"
        );
    });
}

/// The same with the guards in: a vote whose server breaks off is never repeated, and its client is told so.
#[test]
fn a_vote_whose_fate_is_unknown_is_never_repeated() {
    actix_rt::System::new().block_on(async {
        let wish = TestBedOptions {
            seed: 5,
            again: 3,
            ..TestBedOptions::default()
        };
        let rig = TestBed::start(wish).expect("all is built and starts");
        let load = Load::new(rig.ports(), 5);
        rig.servers["s-001"].mood(Misbehavior::BreaksAfter);
        load.run(100.0, Duration::from_secs(3)).await;
        let tally = load.tally.borrow().clone();
        assert!(
            tally.reasons.contains_key("fate-unknown"),
            "{}",
            told(&rig, &tally)
        );
        let broken = rig.broken();
        assert!(broken.is_empty(), "{broken:?}");
        votes_count(&rig, &tally);
    });
}

/// Whoever takes a vote whole and hangs up before the answer may have passed it on: its client does not come again.
#[test]
fn a_client_never_repeats_a_vote_that_went_out() {
    actix_rt::System::new().block_on(async {
        let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
        let ports = listeners
            .each_ref()
            .map(|listener| listener.local_addr().expect("bound"));
        let taken = Arc::new(Mutex::new(Vec::new()));
        for listener in listeners {
            let taken = taken.clone();
            std::thread::spawn(move || {
                for mut stream in listener.incoming().map_while(Result::ok) {
                    let mut read = Vec::new();
                    let mut piece = [0; 4096];
                    while !read.ends_with(b"ballot") {
                        match stream.read(&mut piece) {
                            Ok(n) if n > 0 => read.extend_from_slice(&piece[..n]),
                            _ => break,
                        }
                    }
                    let text = String::from_utf8_lossy(&read).to_lowercase();
                    let id = text
                        .lines()
                        .find_map(|line| line.strip_prefix("x-id: "))
                        .map(str::to_owned);
                    taken.lock().expect("no panic").extend(id);
                }
            });
        }
        let load = Load::new(&ports, 6);
        load.run(60.0, Duration::from_secs(1)).await;
        let taken = taken.lock().expect("no panic");
        let votes: Vec<&String> = taken.iter().filter(|id| id.starts_with("vote-")).collect();
        let once: BTreeSet<&String> = votes.iter().copied().collect();
        assert!(!votes.is_empty() && votes.len() == once.len(), "{votes:?}");
        assert!(
            taken.len() > votes.len() + 20,
            "lookups come again: {taken:?}"
        );
    });
}
