//! Starts lynxmilld and speaks to it over loopback, with the stand-in as relay, discovery and collectors.

mod common;

use std::process::Command;
use std::time::{Duration, Instant};

use lynxmill_fake_servers::{CallOutcome, Collector, FakeServers, State, config, settings, words};
use rstest::rstest;
use serde_json::{Value, json};

use common::{ANY, Daemon, PATIENCE, command, write};

/// Three servers, eight slices at the first two, and proxies 0 to 2.
fn standin() -> FakeServers {
    let any = || ANY.parse().expect("an address");
    let lease = settings()["specifics"]["lease"].as_f64().expect("a lease");
    let standin =
        FakeServers::start(any(), any(), Duration::from_secs_f64(lease)).expect("free ports");
    standin.change(|state| {
        ["s-a", "s-b", "s-c"]
            .iter()
            .for_each(|server| state.list(server, "ready", 0.0));
        (0..8).for_each(|slice| state.give(slice, Some(["s-a", "s-b"][slice % 2])));
        (0..3).for_each(|px| state.attach(px));
    });
    standin
}

fn published(state: &State) -> usize {
    state
        .calls
        .iter()
        .filter(|(fate, _)| *fate == CallOutcome::Answered)
        .map(|(_, ops)| ops.len())
        .sum()
}

/// The stand-in and an assigner that has republished all eight owners.
fn serving() -> (FakeServers, Daemon) {
    let standin = standin();
    let daemon = Daemon::start(&standin);
    standin.wait("all owners are published again", |state| {
        published(state) > 8
    });
    (standin, daemon)
}

/// Every slice in charge is owned, and by none of those that must not.
fn owned_by_others(state: &State, not: &str) -> bool {
    let mine = || state.slices.iter().filter(|(_, slice)| slice.mine);
    mine().all(|(_, slice)| slice.line.as_deref().is_some_and(|owner| owner != not))
}

/// All slices of the drained server have others.
fn moved(standin: &FakeServers) {
    standin.wait("all slices have moved", |state| {
        owned_by_others(state, "s-a")
    });
}

/// Drains a server while proxy 1 is behind: its slices are shut and can't go on yet.
fn shut_with_one_behind(standin: &FakeServers) {
    standin.change(|state| {
        state.slow(1, true);
        state.list("s-a", "draining", 0.0);
    });
    standin.wait("the slices are shut", |state| state.owner(0).is_none());
}

fn never_torn(standin: &FakeServers) {
    let torn = &standin.state().torn;
    assert!(torn.is_empty(), "two owners at a time: {torn:?}");
}

/// Moves until each fate of a call has met one.
const MOST_MOVES: usize = 3;

#[rstest]
#[case::answered(&[])]
#[case::throttled(&[CallOutcome::Throttled, CallOutcome::Throttled, CallOutcome::Throttled])]
#[case::invalid(&[CallOutcome::Invalid, CallOutcome::Invalid])]
#[case::broken(&[CallOutcome::Broken(false), CallOutcome::Broken(false)])]
#[case::broken_but_carried_out(&[CallOutcome::Broken(true), CallOutcome::Broken(true)])]
#[case::silent(&[CallOutcome::Silent(false), CallOutcome::Silent(false)])]
#[case::silent_but_carried_out(&[CallOutcome::Silent(true), CallOutcome::Silent(true)])]
#[case::garbled(&[CallOutcome::Garbled(false), CallOutcome::Garbled(true)])]
#[case::boasts(&[CallOutcome::Boasts, CallOutcome::Boasts])]
#[case::takes_some(&[CallOutcome::Takes(1), CallOutcome::Takes(0), CallOutcome::Takes(2)])]
fn a_drained_server_gives_up_its_slices_whatever_becomes_of_calls(#[case] fates: &[CallOutcome]) {
    let (standin, _daemon) = serving();
    standin.change(|state| state.fates.extend(fates));
    // A move that had begun before the drain needs a call less: then the next one meets the fate that is left.
    let (mut drained, mut other) = ("s-a", "s-b");
    for _ in 0..MOST_MOVES {
        standin.change(|state| {
            state.list(other, "ready", 0.0);
            state.list(drained, "draining", 0.0);
        });
        standin.wait("all slices have moved", |state| {
            owned_by_others(state, drained)
        });
        never_torn(&standin);
        if standin.state().fates.is_empty() {
            return;
        }
        std::mem::swap(&mut drained, &mut other);
    }
    panic!("left over: {:?}", standin.state().fates);
}

#[test]
fn a_move_waits_for_a_proxy_that_is_behind() {
    let (standin, daemon) = serving();
    shut_with_one_behind(&standin);
    assert!(daemon.alive());
    assert!(standin.state().owner(0).is_none());
    standin.change(|state| state.slow(1, false));
    moved(&standin);
    never_torn(&standin);
}

#[test]
fn proxies_come_and_go_while_slices_are_on_their_way() {
    let (standin, _daemon) = serving();
    shut_with_one_behind(&standin);
    standin.change(|state| {
        state.detach(1);
        state.attach(3);
        state.detach(0);
        state.attach(0);
    });
    moved(&standin);
    never_torn(&standin);
}

#[test]
fn what_changed_while_the_news_were_cut_is_taken_over() {
    let (standin, daemon) = serving();
    standin.change(|state| {
        state.out_of_reach = true;
        state.cut();
        state.detach(1);
        state.attach(3);
        state.take(2);
        state.give(3, Some("s-c"));
    });
    daemon.told("watch");
    standin.change(|state| state.out_of_reach = false);
    standin.wait("the watch has come back", |state| state.watched == 2);
    daemon.until("what stands is known", |status| {
        status["standing_known"] == true && status["slices"] == 7 && status["proxies"] == 3
    });
    let before = standin.change(|state| {
        state.list("s-a", "draining", 0.0);
        state.calls.len()
    });
    moved(&standin);
    let late = format!("{:?}", &standin.state().calls[before..]);
    assert!(
        !late.contains("table: 2,"),
        "orders for a slice that has gone: {late}"
    );
    assert_eq!(standin.state().owner(3), Some("s-c"));
    never_torn(&standin);
}

#[test]
fn a_watch_without_signs_of_life_is_dialled_again() {
    let (standin, daemon) = serving();
    standin.change(|state| state.out_of_reach = true);
    daemon.told("ended reason=silent");
    standin.change(|state| state.out_of_reach = false);
    standin.wait("the watch has come back", |state| state.watched == 2);
    standin.change(|state| state.list("s-a", "draining", 0.0));
    moved(&standin);
}

#[test]
fn news_that_can_not_be_read_end_the_watch_and_it_is_dialled_again() {
    let (standin, daemon) = serving();
    standin.change(|state| {
        let _ = state.watches[0].send(Ok("{\"type\":\"owner\",\"object\":[1,\n".into()));
    });
    daemon.told("ended reason=unreadable");
    standin.wait("the watch has come back", |state| state.watched == 2);
    assert!(daemon.alive());
}

#[rstest]
#[case::changes(false)]
#[case::a_whole_list(true)]
fn discovery_is_asked_again_after_its_silence(#[case] whole: bool) {
    let (standin, daemon) = serving();
    standin.change(|state| state.mute = true);
    daemon.told("reason=no-answer");
    standin.change(|state| {
        state.list("s-a", "gone", 0.0);
        (state.whole, state.mute) = (whole, false);
    });
    moved(&standin);
}

#[test]
fn killed_outright_it_starts_again_from_the_store_with_an_old_list() {
    let standin = standin();
    let known = standin.change(|state| state.members(None));
    let mut daemon = Daemon::start_at(&standin, ANY.parse().expect("an address"), known.clone());
    standin.wait("all owners are published again", |state| {
        published(state) > 8
    });
    shut_with_one_behind(&standin);
    daemon.child.kill().expect("a process");
    daemon.child.wait().expect("its end");
    standin.change(|state| {
        state.cut();
        (0..3).for_each(|px| state.detach(px));
        state.list("s-a", "gone", 0.0);
    });
    let again = Daemon::start_at(&standin, daemon.address, known);
    standin.change(|state| (0..3).for_each(|px| state.attach(px)));
    standin.wait("all slices have owners", |state| {
        owned_by_others(state, "s-a")
    });
    assert!(again.alive());
    never_torn(&standin);
}

#[test]
fn told_to_end_it_ends_at_once() {
    let (_standin, mut daemon) = serving();
    assert!(daemon.collector().alive());
    let mut quiet = daemon.collector();
    assert!(quiet.alive());
    signal(&daemon, "TERM");
    assert_eq!(daemon.child.wait().expect("its end").code(), Some(0));
    daemon.told("ended reason=stopping zone=a");
}

#[rstest]
#[case::broken(b"*2\r\n$x\r\n".to_vec(), "bad-frame")]
#[case::binary(vec![0, 159, 146, 150], "bad-frame")]
#[case::http(b"GET /\x01 nonsense\r\n\r\n".to_vec(), "")]
#[case::too_long(b"*1\r\n$2000000\r\n".to_vec(), "too-long")]
#[case::kind(words(&["assign", "a", "b"]), "unknown-kind")]
#[case::no_zone(words(&["telemetry", "zone", "nowhere"]), "no-such-zone")]
#[case::no_collector(words(&["telemetry"]), "bad-fields")]
#[case::proxy(words(&["attach", "proxy", "1", "zone", "a", "weight", "2", "fresh", "1"]), "unknown-kind")]
#[case::not_joined(words(&["range_stats", "slice", "1", "class", "vote", "tries", "4", "span_ms", "500"]),
    "not-joined")]
fn bad_input_closes_that_connection_alone(#[case] bytes: Vec<u8>, #[case] reason: &str) {
    let (_standin, daemon) = serving();
    let mut collector = daemon.collector();
    let mut bad = Collector::connect(daemon.address).expect("a connection");
    bad.write(&bytes).expect("room to write");
    bad.rest().expect("it is closed");
    daemon.told(&format!("ended reason={reason}"));
    assert!(collector.alive() && daemon.alive());
}

#[rstest]
#[case::nothing(b"", b"", "silent")]
#[case::half_a_message(b"*1\r\n$2\r\nh", b"", "silent")]
#[case::half_http(b"GET /status HT", b"", "silent")]
#[case::a_byte_now_and_then(b"*1\r\n$900\r\n", b"x", "silent")]
#[case::endless_signs_of_life(b"", b"*1\r\n$2\r\nhb\r\n", "not-joined")]
fn who_does_not_join_is_closed_however_its_bytes_come(
    #[case] first: &[u8],
    #[case] then: &[u8],
    #[case] reason: &str,
) {
    let (_standin, daemon) = serving();
    let mut collector = daemon.collector();
    let begun = Instant::now();
    let mut stranger = Collector::connect(daemon.address).expect("a connection");
    let mut open = stranger.write(first).is_ok();
    while open && !then.is_empty() {
        std::thread::sleep(Duration::from_millis(20));
        open = stranger.write(then).is_ok() && begun.elapsed() < PATIENCE;
    }
    let _ = stranger.rest().expect("it is closed");
    // The page owes the end within 3 s, to whoever goes on within 6 s.
    assert!(begun.elapsed() < Duration::from_secs(if then.is_empty() { 3 } else { 6 }));
    daemon.told(&format!("ended reason={reason}"));
    assert!(collector.alive(), "a collector may be quiet");
}

#[test]
fn a_joined_one_that_goes_on_with_no_message_is_closed() {
    let (_standin, daemon) = serving();
    let (mut collector, mut quiet) = (daemon.collector(), daemon.collector());
    collector.write(b"*1\r\n$900\r\nx").expect("room to write");
    while collector.write(b"x").is_ok() {
        std::thread::sleep(Duration::from_millis(20));
    }
    daemon.told("ended reason=unfinished zone=a");
    assert!(quiet.alive());
}

#[test]
fn a_spoilt_report_among_sound_ones_is_left_out_alone() {
    let (_standin, daemon) = serving();
    let mut collector = daemon.collector();
    let report = |slice| {
        words(&[
            "range_stats",
            "slice",
            slice,
            "class",
            "vote",
            "tries",
            "4",
            "span_ms",
            "500",
        ])
    };
    let bytes = [report("1"), report("9e9"), report("99"), report("2")].concat();
    collector.write(&bytes).expect("room to write");
    assert!(collector.alive());
    daemon.until("two count", |status| {
        status["reports"] == 2 && status["reports_spoilt"] == 2
    });
}

fn signal(daemon: &Daemon, kind: &str) {
    let kill = format!("kill -{kind} {}", daemon.child.id());
    assert!(
        Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("a shell")
            .success()
    );
}

#[test]
fn a_new_configuration_moves_relay_and_discovery_and_nothing_is_lost() {
    let (old, daemon) = serving();
    let mut collector = daemon.collector();
    shut_with_one_behind(&old);
    let new = old.elsewhere().expect("free ports");
    std::fs::write(&daemon.config, "{\"name\":").expect("a file");
    signal(&daemon, "HUP");
    daemon.told("the configuration of before serves on");
    std::fs::write(
        &daemon.config,
        config(daemon.address, &new, Value::Null).to_string(),
    )
    .expect("a file");
    signal(&daemon, "HUP");
    daemon.told("ended reason=moved");
    new.wait("the watch has come to the new address", |state| {
        state.watched == 2
    });
    old.close();
    new.change(|state| {
        state.slow(1, false);
        state.list("s-b", "gone", 0.0);
    });
    new.wait("all slices have moved", |state| {
        (0..8).all(|slice| state.owner(slice) == Some("s-c"))
    });
    never_torn(&new);
    assert!(collector.alive());
    signal(&daemon, "HUP");
    assert!(daemon.alive(), "nothing has changed");
}

#[test]
fn a_flood_of_strangers_leaves_room_for_collectors() {
    let (_standin, daemon) = serving();
    let mut collector = daemon.collector();
    assert!(collector.alive());
    let flood: Vec<Collector> = (0..150)
        .map(|_| Collector::connect(daemon.address).expect("a connection"))
        .collect();
    assert!(daemon.alive() && collector.alive());
    daemon.told("ended reason=crowded");
    drop(flood);
}

#[test]
fn an_unknown_name_beside_known_ones_is_passed_over() {
    let (_standin, daemon) = serving();
    let mut collector = daemon.collector();
    collector
        .say(&[
            "range_stats",
            "mood",
            "fine",
            "slice",
            "1",
            "class",
            "vote",
            "tries",
            "4",
            "span_ms",
            "500",
        ])
        .expect("room to write");
    collector
        .say(&[
            "upstream_stats",
            "zone",
            "a",
            "server",
            "s-who",
            "tries",
            "4",
            "failed",
            "0",
            "mean_ms",
            "9",
            "span_ms",
            "500",
            "load",
            "outstanding:1",
        ])
        .expect("room to write");
    assert!(collector.alive());
}

#[test]
fn an_address_in_use_is_one_clear_line() {
    let standin = standin();
    let path = write(&config(standin.relay, &standin, Value::Null));
    let output = command(Some(&path)).output().expect("the program");
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success());
    assert!(
        text.lines().count() == 1 && text.contains("`listen`"),
        "{text}"
    );
    let _ = std::fs::remove_file(path);
}

#[rstest]
#[case::none(None, "PROXY_CONFIG")]
#[case::no_json(Some(json!("x")), "settings")]
#[case::address(Some(json!({"listen": "nowhere"})), "listen")]
#[case::setting(Some(json!({"settings": {"classes": []}})), "settings")]
fn a_bad_configuration_is_one_clear_line(#[case] change: Option<Value>, #[case] told: &str) {
    let standin = standin();
    let path = change.map(|change| {
        let mut whole = config(ANY.parse().expect("an address"), &standin, Value::Null);
        match change.as_object() {
            Some(change) => change
                .iter()
                .for_each(|(key, value)| whole[key] = value.clone()),
            None => whole = change,
        }
        write(&whole)
    });
    let output = command(path.as_ref()).output().expect("the program");
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success());
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains(told) || text.contains('`'), "{text}");
    path.iter()
        .for_each(|path| drop(std::fs::remove_file(path)));
}

/// A recording that tells of a move, told again to the reducer.
fn tells_of_a_move(file: &[u8]) -> bool {
    let Ok((day, _)) = lynxmill_recording::read(file) else {
        return false;
    };
    let orders = |log: &lynxmill_recording::Log| match &log.entry {
        lynxmill_recording::Entry::Ordered(text) => {
            text.contains("\"server\":\"s-a\",\"weight\":0")
        }
        _ => false,
    };
    if !day.log.iter().any(orders) {
        return false;
    }
    let found = lynxmill_replay::redrive(&day).expect("a log");
    assert!(
        found.differs.is_none() && found.lives == 1 && found.left_out == 0,
        "{found:?}"
    );
    true
}

fn until_it_tells_of_a_move(file: impl Fn() -> Vec<u8>) {
    let end = Instant::now() + PATIENCE;
    while !tells_of_a_move(&file()) {
        assert!(Instant::now() < end, "the recording tells of no move");
        std::thread::yield_now();
    }
}

#[test]
fn a_recording_cut_by_a_kill_orders_the_same_again() {
    let path = std::env::temp_dir().join(format!("lynxmilld-{}.day", std::process::id()));
    let standin = standin();
    let mut daemon = Daemon::recording(&standin, json!({"to": "file", "path": path, "most_mb": 8}));
    standin.wait("all owners are published again", |state| {
        published(state) > 8
    });
    let mut collector = daemon.collector();
    collector
        .say(&[
            "range_stats",
            "slice",
            "1",
            "class",
            "vote",
            "tries",
            "9",
            "span_ms",
            "500",
        ])
        .expect("room");
    standin.change(|state| state.list("s-a", "draining", 0.0));
    moved(&standin);
    until_it_tells_of_a_move(|| std::fs::read(&path).expect("a file"));
    daemon.child.kill().expect("it runs");
    daemon.child.wait().expect("it ran");
    let file = std::fs::read(&path).expect("a file");
    std::fs::remove_file(&path).expect("a file");
    assert!(tells_of_a_move(&file));
    let extent = lynxmill_recording::read(&file).expect("a day").1;
    assert!(!extent.whole && extent.damage.is_none(), "{extent:?}");
}

#[test]
fn a_ring_tells_the_last_of_the_day_over_http() {
    let standin = standin();
    let daemon = Daemon::recording(&standin, json!({"to": "ring", "most_mb": 4}));
    standin.wait("all owners are published again", |state| {
        published(state) > 8
    });
    standin.change(|state| state.list("s-a", "draining", 0.0));
    moved(&standin);
    until_it_tells_of_a_move(|| daemon.get("/day").1);
}

#[test]
fn without_a_ring_there_is_no_day_to_tell() {
    let (_standin, daemon) = serving();
    assert!(daemon.get("/day").0.starts_with("HTTP/1.1 404"));
}

#[rstest]
#[case::unknown(json!({"to": "tape", "most_mb": 4}))]
#[case::unbounded(json!({"to": "ring"}))]
#[case::nothing(json!({"to": "ring", "most_mb": 0}))]
#[case::over_the_memory(json!({"to": "ring", "most_mb": 49}))]
#[case::other_key(json!({"to": "ring", "most_mb": 4, "speed": 1}))]
#[case::no_such_folder(json!({"to": "file", "path": "/no/such/folder/x.day", "most_mb": 4}))]
fn a_wrong_recording_is_one_clear_line(#[case] record: Value) {
    let mut told = config(ANY.parse().expect("an address"), &standin(), Value::Null);
    told["record"] = record;
    let path = write(&told);
    let output = command(Some(&path)).output().expect("the program");
    std::fs::remove_file(&path).expect("a file");
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(
        !output.status.success() && text.lines().count() == 1 && text.contains("`record"),
        "{text}"
    );
}
