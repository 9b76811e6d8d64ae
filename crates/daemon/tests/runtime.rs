//! The runtime socket of the program: orders by hand reach the tables under the rules, once each.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Command;

use lynxmill_fake_servers::{CallOutcome, FakeServers, State, config};
use rstest::rstest;
use serde_json::{Value, json};

use common::{ANY, Daemon, PATIENCE, command, standin, write};

struct Desk {
    daemon: Daemon,
    path: PathBuf,
}

impl Desk {
    fn start(standin: &FakeServers, name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("lynxmill-{}-{name}.sock", std::process::id()));
        let mut told = config(ANY.parse().expect("an address"), standin, Value::Null);
        told["runtime"] = json!({"commands_per_s": 1000, "connections": 8, "line_bytes": 400, "sockets": [
            {"path": path, "level": "operator", "mode": "640"}, {"address": "127.0.0.1:0", "level": "user"}]});
        let daemon = Daemon::start_with(ANY.parse().expect("an address"), &told);
        let desk = Desk { daemon, path };
        desk.ready(standin);
        desk
    }

    /// Waits for the first news: the store's, and the list of servers, which come in any order.
    fn ready(&self, standin: &FakeServers) {
        standin.wait("all owners are published again", |state| {
            published(state) > 8
        });
        let end = std::time::Instant::now() + PATIENCE;
        let listed = |servers: &Value| servers.as_array().is_some_and(|all| all.len() == 4);
        while !listed(&self.show("servers")) {
            assert!(std::time::Instant::now() < end, "no list of servers");
        }
    }

    fn connect(&self) -> UnixStream {
        let stream = UnixStream::connect(&self.path).expect("the socket");
        stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
        stream
    }

    fn ask(&self, line: &str) -> String {
        let mut stream = self.connect();
        stream
            .write_all(format!("{line}\n").as_bytes())
            .expect("room to write");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }

    fn done(&self, line: &str) {
        let answer = self.ask(line);
        assert!(
            answer.starts_with("done"),
            "{line}: {answer}{}",
            self.ask("show orders")
        );
    }

    fn show(&self, what: &str) -> Value {
        serde_json::from_str(&self.ask(&format!("show {what} json"))).expect("JSON")
    }
}

impl Drop for Desk {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

fn published(state: &State) -> usize {
    state
        .calls
        .iter()
        .filter(|(fate, _)| *fate == CallOutcome::Answered)
        .map(|(_, ops)| ops.len())
        .sum()
}

fn owned(state: &State, not: &str) -> bool {
    (0..8).all(|slice| state.owner(slice).is_some_and(|owner| owner != not))
}

fn never_torn(standin: &FakeServers) {
    assert!(
        standin.state().torn.is_empty(),
        "two owners at a time: {:?}",
        standin.state().torn
    );
}

#[test]
fn a_server_drained_by_hand_gives_up_its_slices_and_gets_none_until_it_is_put_back() {
    let standin = standin();
    let desk = Desk::start(&standin, "drain");
    let answer = desk.ask("set server s-a state drain id d1 wait 45s");
    assert!(answer.starts_with("done id=d1"), "{answer}");
    assert!(owned(&standin.state(), "s-a"));
    // Discovery's word does not put it back, nor does a drain of others bring it slices.
    standin.change(|state| {
        state.list("s-a", "ready", 1.0);
        state.list("s-b", "draining", 0.0);
    });
    standin.wait("all have moved", |state| {
        owned(state, "s-b") && owned(state, "s-a")
    });
    let again = desk.ask("set server s-a state drain id d1");
    assert!(again.starts_with("done id=d1"), "its first result: {again}");
    let other = desk.ask("set server s-c state drain id d1");
    assert!(other.contains("given to another order"), "{other}");
    desk.done("set server s-a state ready wait 45s");
    standin.change(|state| {
        state.list("s-c", "draining", 0.0);
        state.list("s-d", "draining", 0.0);
    });
    standin.wait("it serves again", |state| {
        (0..8).all(|slice| state.owner(slice) == Some("s-a"))
    });
    never_torn(&standin);
}

#[test]
fn the_last_server_is_not_taken_out_and_the_rule_is_named() {
    let standin = standin();
    let desk = Desk::start(&standin, "last");
    for server in ["s-b", "s-c", "s-d"] {
        desk.done(&format!("set server {server} state drain wait 45s"));
    }
    let refused = desk.ask("set server s-a state maint");
    assert!(
        refused.starts_with("refused") && refused.contains("rule 1"),
        "{refused}"
    );
    assert!((0..8).all(|slice| standin.state().owner(slice) == Some("s-a")));
}

#[test]
fn an_order_that_is_refused_replaces_nothing() {
    let standin = standin();
    let desk = Desk::start(&standin, "refused");
    desk.done("set server s-a state drain for 10m id d wait 45s");
    for server in ["s-b", "s-c"] {
        desk.done(&format!("set server {server} state drain wait 45s"));
    }
    let again = desk.ask("set server s-a state maint id m");
    assert!(
        again.starts_with("done") || again.starts_with("begun"),
        "it is out already: {again}"
    );
    let refused = desk.ask("set server s-d state maint id n");
    assert!(
        refused.starts_with("refused") && refused.contains("rule 1"),
        "{refused}"
    );
    desk.done("set server s-b state ready id r wait 45s");
    desk.done("set weight s-b 2 id w wait 45s");
    assert!(desk.ask("set weight s-x 2 id x").starts_with("refused"));
    standin.change(|state| state.slow(1, true));
    assert!(desk.ask("set slice 0 owner s-b id k").starts_with("begun"));
    let refused = desk.ask("set slice 0 owner s-a id l");
    assert!(
        refused.starts_with("refused") && refused.contains("rule 3"),
        "{refused}"
    );
    standin.change(|state| state.slow(1, false));
    assert!(
        desk.ask("wait k 45s").starts_with("done"),
        "{}",
        desk.ask("show orders")
    );
    // What was refused for a server leaves the order that holds for it alone.
    desk.done("set server s-d state drain id o wait 45s");
    let refused = desk.ask("set server s-b state drain id p");
    assert!(refused.starts_with("refused"), "{refused}");
    assert!(
        desk.ask("wait r 45s").starts_with("done"),
        "{}",
        desk.ask("show orders")
    );
}

#[test]
fn a_hundred_orders_some_twice_some_cut_off_reach_every_table_once() {
    let standin = standin();
    let desk = Desk::start(&standin, "hundred");
    let servers = ["s-a", "s-b", "s-c", "s-d"];
    let mut wanted = [0_usize; 8];
    for turn in 0..100 {
        let (slice, server) = (turn * 5 % 8, (turn * 7 + turn / 8) % 4);
        let line = match turn % 10 {
            8 => format!("set weight {} 2 id w{turn} wait 45s", servers[server]),
            9 => format!("set weight {} 1 id w{turn} wait 45s", servers[server]),
            _ => {
                wanted[slice] = server;
                format!(
                    "set slice {slice} owner {} id o{turn} wait 45s",
                    servers[server]
                )
            }
        };
        match turn % 5 {
            // Its answer is never read.
            1 => drop(desk.connect().write_all(format!("{line}\n").as_bytes())),
            2 => {
                let (first, second) = (desk.ask(&line), desk.ask(&line));
                assert!(
                    first.starts_with("done") && first == second,
                    "{first}{second}"
                );
            }
            // Calls go wrong under it.
            3 => {
                standin.change(|state| {
                    state.fates.extend([
                        CallOutcome::Broken(true),
                        CallOutcome::Throttled,
                        CallOutcome::Silent(false),
                    ])
                });
                desk.done(&line);
            }
            _ => desk.done(&line),
        }
        if turn % 5 == 1 {
            let id = line
                .split("id ")
                .nth(1)
                .and_then(|rest| rest.split(' ').next())
                .expect("an id")
                .to_owned();
            // It may have been cut off before it was whole: then it is given again, by its id.
            let stands = desk.ask(&format!("wait {id} 10s"));
            assert!(
                stands.starts_with("done") || desk.ask(&line).starts_with("done"),
                "{stands}"
            );
        }
    }
    standin.wait("every slice is where it was wanted", |state| {
        (0..8).all(|slice| state.owner(slice) == Some(servers[wanted[slice]]))
    });
    let orders = desk.show("orders");
    let ids: Vec<&str> = orders
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|o| o["id"].as_str())
        .collect();
    assert_eq!(ids.len(), 100, "each order once");
    assert_eq!(desk.show("pending"), json!([]));
    never_torn(&standin);
}

#[test]
fn an_order_to_an_assigner_that_stands_still_is_not_lost() {
    let standin = standin();
    let desk = Desk::start(&standin, "still");
    let signal = |name: &str| {
        let line = format!("kill -{name} {}", desk.daemon.child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &line])
                .status()
                .expect("a shell")
                .success()
        );
    };
    signal("STOP");
    let mut stream = desk.connect();
    stream
        .write_all(b"set server s-a state drain id late wait 45s\n")
        .expect("room to write");
    signal("CONT");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("done id=late"), "{answer}");
    assert!(owned(&standin.state(), "s-a"));
}

#[test]
fn an_order_waits_for_a_proxy_that_is_behind_and_for_a_relay_out_of_reach() {
    let standin = standin();
    let desk = Desk::start(&standin, "behind");
    standin.change(|state| state.slow(1, true));
    let begun = desk.ask("set slice 0 owner s-c id s wait 300ms");
    assert!(begun.starts_with("begun"), "{begun}");
    standin.change(|state| state.slow(1, false));
    desk.done("wait s 45s");
    standin.change(|state| {
        state.out_of_reach = true;
        state.cut();
    });
    assert!(desk.ask("set slice 1 owner s-d id t").starts_with("begun"));
    standin.change(|state| state.out_of_reach = false);
    desk.done("wait t 45s");
    // One that the module has already when what stands is told anew.
    standin.change(|state| state.slow(1, true));
    assert!(desk.ask("set slice 2 owner s-d id u").starts_with("begun"));
    standin.change(|state| state.cut());
    desk.daemon.told("watch 127.0.0.1:");
    standin.change(|state| state.slow(1, false));
    desk.done("wait u 45s");
    assert_eq!(standin.state().owner(1), Some("s-d"));
    never_torn(&standin);
}

#[test]
fn an_order_that_holds_for_a_time_is_taken_back() {
    let standin = standin();
    let desk = Desk::start(&standin, "time");
    for line in [
        "set server s-a state drain for 1s id short wait 45s",
        "set weight s-b 3 for 300ms id w wait 45s",
    ] {
        let answer = desk.ask(line);
        // On a slow machine its time may be over before it is done.
        assert!(
            answer.starts_with("done") || answer.starts_with("over"),
            "{line}: {answer}"
        );
    }
    let over = |id: &str| desk.ask(&format!("wait {id} 45s")).starts_with("over");
    let end = std::time::Instant::now() + PATIENCE;
    while !(over("short") && over("w")) {
        assert!(
            std::time::Instant::now() < end,
            "{}",
            desk.ask("show orders")
        );
    }
    let back = |servers: &Value| {
        let all = servers.as_array().expect("a list");
        all.iter()
            .all(|server| server["out"] == false && server["weight"] == 1.0)
    };
    while !back(&desk.show("servers")) {
        assert!(std::time::Instant::now() < end, "{}", desk.show("servers"));
    }
}

#[rstest]
#[case::server("set server s-x state drain", "no server")]
#[case::slice("set slice 99 owner s-a", "other hands")]
#[case::wrong("set server s-a stat drain", "wrong: column 16")]
#[case::unknown("wait nobody 1s", "no order")]
fn what_can_not_be_done_is_told_in_one_line(#[case] line: &str, #[case] told: &str) {
    let standin = standin();
    let desk = Desk::start(&standin, &line.replace([' ', '-'], ""));
    let answer = desk.ask(line);
    assert!(
        answer.contains(told) && answer.lines().count() == 1,
        "{answer}"
    );
}

#[test]
fn sessions_are_bounded_in_number_line_and_pace_and_by_their_level() {
    let standin = standin();
    let desk = Desk::start(&standin, "bounds");
    assert_eq!(
        std::fs::metadata(&desk.path)
            .expect("a file")
            .permissions()
            .mode()
            & 0o777,
        0o640
    );
    assert!(desk.ask(&"x".repeat(500)).starts_with("refused: a line"));
    let held: Vec<UnixStream> = (0..8).map(|_| desk.connect()).collect();
    let end = std::time::Instant::now() + PATIENCE;
    while !desk
        .ask("show info")
        .starts_with("refused: too many sessions")
    {
        assert!(std::time::Instant::now() < end);
    }
    drop(held);
    while desk.ask("show info").starts_with("refused") {
        assert!(std::time::Instant::now() < end);
    }
    // Others go on undisturbed.
    assert!(desk.daemon.alive());
    let line = desk.daemon.told("runtime socket on ");
    let address = line.rsplit(' ').next().expect("its address");
    let mut stream = TcpStream::connect(address).expect("the loopback socket");
    stream
        .write_all(b"set server s-a state drain\n")
        .expect("room to write");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.contains("level does not allow"), "{answer}");
    let mut stream = desk.connect();
    stream.write_all(b"prompt\n").expect("room to write");
    let flood = format!("{}\n", vec!["help"; 60].join(";"));
    for _ in 0..120 {
        stream.write_all(flood.as_bytes()).expect("room to write");
    }
    stream.write_all(b"quit\n").expect("room to write");
    // Whoever is turned away for a while may leave all the same.
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("an end");
    assert!(answers.contains("too many commands, return after"));
}

#[rstest]
#[case::outside(json!({"sockets": [{"address": "0.0.0.0:0", "level": "user"}]}), "loopback")]
#[case::level(json!({"sockets": [{"address": "127.0.0.1:0", "level": "root"}]}), "runtime")]
#[case::mode(json!({"sockets": [{"path": "/tmp/x.sock", "level": "user", "mode": "rw"}]}), "mode")]
#[case::folder(json!({"sockets": [{"path": "/no/such/x.sock", "level": "user"}]}), "/no/such/x.sock")]
#[case::pace(json!({"sockets": [], "commands_per_s": 0}), "commands_per_s")]
#[case::other_key(json!({"sockets": [], "speed": 1}), "speed")]
fn a_wrong_runtime_socket_is_one_clear_line(#[case] runtime: Value, #[case] told_of: &str) {
    let mut told = config(ANY.parse().expect("an address"), &standin(), Value::Null);
    told["runtime"] = runtime;
    let path = write(&told);
    let output = command(Some(&path)).output().expect("the program");
    std::fs::remove_file(&path).expect("a file");
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(
        !output.status.success() && text.lines().count() == 1 && text.contains(told_of),
        "{text}"
    );
}

/// A desk whose orders are kept in a file.
fn kept(standin: &FakeServers, name: &str) -> (Desk, PathBuf) {
    let file = std::env::temp_dir().join(format!("lynxmill-{}-{name}.journal", std::process::id()));
    let _ = std::fs::remove_file(&file);
    (again(standin, name, &file), file)
}

fn again(standin: &FakeServers, name: &str, file: &std::path::Path) -> Desk {
    let path = std::env::temp_dir().join(format!("lynxmill-{}-{name}.sock", std::process::id()));
    let mut told = config(ANY.parse().expect("an address"), standin, Value::Null);
    told["runtime"] = json!({"journal": file, "sockets": [{"path": path, "level": "operator"}]});
    let daemon = Daemon::start_with(ANY.parse().expect("an address"), &told);
    Desk { daemon, path }
}

fn kill(desk: &mut Desk, standin: &FakeServers) {
    desk.daemon.child.kill().expect("it runs");
    desk.daemon.child.wait().expect("it ran");
    // Its streams break with it, and the store gives the slices again.
    standin.change(|state| {
        (0..3).for_each(|px| state.detach(px));
        state.watches.clear();
        (0..3).for_each(|px| state.attach(px));
    });
}

#[test]
fn orders_in_a_journal_survive_a_kill_and_are_not_done_twice() {
    let standin = standin();
    let (mut desk, file) = kept(&standin, "survive");
    desk.ready(&standin);
    let drained = desk.ask("set server s-a state drain id d wait 45s");
    assert!(
        drained.starts_with("done id=d") && !drained.contains("restarts"),
        "{drained}"
    );
    desk.done("set slice 1 owner s-d id o wait 45s");
    desk.done("set weight s-c 2 id w wait 45s");
    // One that can't be done yet when it is killed.
    standin.change(|state| state.slow(1, true));
    assert!(
        desk.ask("set slice 2 owner s-d id late")
            .starts_with("begun")
    );
    kill(&mut desk, &standin);
    standin.change(|state| state.slow(1, false));
    drop(desk);
    let desk = again(&standin, "survive", &file);
    assert!(
        desk.ask("wait late 45s").starts_with("done id=late"),
        "{}",
        desk.ask("show orders")
    );
    assert_eq!(standin.state().owner(2), Some("s-d"));
    assert!(owned(&standin.state(), "s-a"), "it is still out");
    let moves = standin.state().calls.len();
    for line in [
        "set server s-a state drain id d",
        "set slice 1 owner s-d id o",
    ] {
        assert!(
            desk.ask(line).starts_with("done"),
            "its first result: {}",
            desk.ask(line)
        );
    }
    let other = desk.ask("set slice 1 owner s-c id o");
    assert!(other.contains("given to another order"), "{other}");
    let servers = desk.show("servers");
    let weighed = |server: &Value| server["name"] == "s-c" && server["weight"] == 2.0;
    assert!(
        servers
            .as_array()
            .is_some_and(|all| all.iter().any(weighed)),
        "{servers}"
    );
    assert!(
        standin.state().calls.len() <= moves + 2,
        "nothing is done again"
    );
    desk.done("set server s-a state ready id back wait 45s");
    std::fs::remove_file(file).expect("a file");
    never_torn(&standin);
}

#[test]
fn a_torn_tail_of_the_journal_is_cut_and_told() {
    let standin = standin();
    let (mut desk, file) = kept(&standin, "torn");
    desk.ready(&standin);
    desk.done("set server s-a state drain id d wait 45s");
    kill(&mut desk, &standin);
    drop(desk);
    let mut bytes = std::fs::read(&file).expect("a file");
    bytes.extend([40, 0, 0, 0, 1, 2, 3]);
    std::fs::write(&file, bytes).expect("a file");
    let desk = again(&standin, "torn", &file);
    desk.daemon.told("ended in 7 bytes that were not whole");
    assert!(
        desk.ask("set server s-a state drain id d wait 45s")
            .starts_with("done id=d")
    );
    std::fs::remove_file(file).expect("a file");
}

#[test]
fn a_journal_that_can_not_be_opened_is_one_clear_line() {
    let mut told = config(ANY.parse().expect("an address"), &standin(), Value::Null);
    told["runtime"] = json!({"journal": "/no/such/folder/x.journal", "sockets": []});
    let path = write(&told);
    let output = command(Some(&path)).output().expect("the program");
    std::fs::remove_file(&path).expect("a file");
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(
        !output.status.success() && text.lines().count() == 1 && text.contains("x.journal"),
        "{text}"
    );
}

/// A desk whose configuration is a file in the notation, and the file.
fn typed(standin: &FakeServers, name: &str) -> (Desk, PathBuf) {
    let path = std::env::temp_dir().join(format!("lynxmill-{}-{name}.sock", std::process::id()));
    let told = config(ANY.parse().expect("an address"), standin, Value::Null).to_string();
    let runtime =
        format!("// The desk's.\nruntime: sockets: [{{path: {path:?}, level: \"admin\"}}]\n");
    let fields = &told[1..told.len() - 1];
    let daemon = Daemon::start_on(&format!("{fields}\n{runtime}runtime: line_bytes: 2KiB\n"));
    let desk = Desk { daemon, path };
    desk.ready(standin);
    let file = desk.daemon.config.clone();
    (desk, file)
}

#[test]
fn a_file_of_typed_records_is_read_again_whole_or_not_at_all() {
    let standin = standin();
    let (desk, file) = typed(&standin, "typed");
    let text = std::fs::read_to_string(&file).expect("a file");
    assert_eq!(desk.ask("reload"), "done: read again\n");
    std::fs::write(&file, text.replace("2KiB", "4KiB")).expect("a file");
    assert_eq!(
        desk.ask("reload"),
        "done: read again; `runtime.line_bytes` takes a restart\n"
    );
    std::fs::write(&file, text.replace("2KiB", "2MiB").replace("admin", "root")).expect("a file");
    let refused = desk.ask("reload");
    assert!(
        refused.contains("`runtime.line_bytes`: expected") && refused.contains("level`"),
        "{refused}"
    );
    assert!(
        refused.ends_with("the configuration of before serves on\n")
            && refused.lines().count() == 1
    );
    assert!(
        desk.ask(&"x".repeat(2049))
            .starts_with("refused: a line is up to 2048")
    );
    desk.done("set server s-a state drain wait 45s");
}

#[test]
fn what_has_happened_is_told_counted_and_cleared() {
    let standin = standin();
    let (desk, _) = typed(&standin, "happened");
    let mut odd =
        lynxmill_fake_servers::Collector::connect(desk.daemon.address).expect("a connection");
    odd.write(b"nonsense\r\n").expect("room to write");
    desk.daemon.told("connection 127.0.0.1:");
    desk.done("set server s-a state drain id told wait 45s");
    let events = desk.show("events").to_string();
    assert!(
        events.contains("bad-frame") && events.contains("done id=told"),
        "{events}"
    );
    let errors = desk.show("errors");
    let bad = |row: &Value| {
        row["road"] == "connection" && row["reason"] == "bad-frame" && row["times"] == 1
    };
    assert!(
        errors.as_array().is_some_and(|rows| rows.iter().any(bad)),
        "{errors}"
    );
    assert_eq!(desk.show("times")["orders_done"], 1);
    assert_eq!(desk.ask("clear counters"), "done\n");
    assert_eq!(
        (desk.show("errors"), &desk.show("times")["orders_done"]),
        (json!([]), &json!(0))
    );
    assert!(
        desk.ask("show events").lines().count() > 1
            && desk
                .ask("show limits")
                .contains("orders_under_way_most: 128")
    );
}

#[test]
fn a_stream_is_shut_by_its_number_and_the_socket_s_limits_are_set() {
    let standin = standin();
    let (desk, _) = typed(&standin, "shut");
    let collector = desk.daemon.collector();
    let address = collector.address().expect("an address").to_string();
    let end = std::time::Instant::now() + PATIENCE;
    let number = loop {
        let streams = desk.show("streams");
        let found = streams
            .as_array()
            .and_then(|all| all.iter().find(|of| of["peer"] == address.as_str()));
        if let Some(number) = found.and_then(|of| of["stream"].as_u64()) {
            break number;
        }
        assert!(std::time::Instant::now() < end, "{streams}");
    };
    assert_eq!(desk.ask(&format!("shutdown stream {number}")), "done\n");
    desk.daemon
        .told(&format!("connection {address} ended reason=by-hand"));
    assert_eq!(
        desk.ask(&format!("shutdown stream {number}")),
        "refused: no stream of this number\n"
    );
    assert!(desk.ask("set limit connections 1").starts_with("done"));
    let held = desk.connect();
    while !desk
        .ask("show info")
        .starts_with("refused: too many sessions")
    {
        assert!(std::time::Instant::now() < end);
    }
    drop(held);
    while !desk.ask("set log-level debug").starts_with("done") {
        assert!(std::time::Instant::now() < end);
    }
    desk.daemon.told("log level debug, by hand");
}

#[test]
fn a_file_s_text_is_checked_at_the_socket_before_it_is_written() {
    let standin = standin();
    let (desk, file) = typed(&standin, "payload");
    let text = std::fs::read_to_string(&file).expect("a file");
    assert_eq!(desk.ask(&format!("check settings <<\n{text}\n")), "right\n");
    let wrong = desk.ask(&format!(
        "check settings <<\n{}\n",
        text.replace("2KiB", "2s").replace("admin", "root")
    ));
    assert!(
        wrong.lines().count() == 2 && wrong.starts_with("wrong: ") && wrong.contains("level`"),
        "{wrong}"
    );
    let long = format!("check settings <<\n{}\n\n", "a: 1\n".repeat(20_000));
    assert!(desk.ask(&long).starts_with("refused: what follows <<"));
}

#[test]
fn metrics_are_told_where_the_file_asks_for_them() {
    let standin = standin();
    let mut told = config(ANY.parse().expect("an address"), &standin, Value::Null);
    let without = Daemon::start_with(ANY.parse().expect("an address"), &told);
    assert!(without.get("/metrics").0.starts_with("HTTP/1.1 404"));
    drop(without);
    told["metrics"] = json!(true);
    let daemon = Daemon::start_with(ANY.parse().expect("an address"), &told);
    let end = std::time::Instant::now() + PATIENCE;
    let lines = [
        "lynxmill_proxies 3",
        "# TYPE lynxmill_rounds_total counter",
        "lynxmill_server_slices{server=\"s-a\"} ",
    ];
    let text = loop {
        let (head, body) = daemon.get("/metrics");
        assert!(
            head.starts_with("HTTP/1.1 200") && head.contains("text/plain"),
            "{head}"
        );
        let text = String::from_utf8(body).expect("text");
        if lines.iter().all(|line| text.contains(line)) {
            break text;
        }
        assert!(std::time::Instant::now() < end, "{text}");
    };
    let ended = "lynxmill_connections_ended_total{road=\"list\",reason=\"done\"}";
    assert!(text.contains(ended), "{text}");
}

#[test]
fn the_log_is_json_where_that_is_asked_for() {
    let standin = standin();
    let path = write(&config(
        ANY.parse().expect("an address"),
        &standin,
        Value::Null,
    ));
    let mut child = command(Some(&path))
        .env("LYNXMILL_LOG", "json")
        .spawn()
        .expect("the program");
    let lines = std::io::BufReader::new(child.stderr.take().expect("its log"));
    let mut lines = std::io::BufRead::lines(lines).map_while(Result::ok);
    let ended = lines
        .by_ref()
        .map(|line| serde_json::from_str::<Value>(&line).expect("JSON"))
        .find(|line| line["road"] == "list");
    let ended = ended.expect("the list's end");
    assert_eq!(
        (&ended["reason"], &ended["level"]),
        (&json!("done"), &json!("INFO"))
    );
    assert!(
        ended["text"]
            .as_str()
            .is_some_and(|text| text.contains("ended reason=done")),
        "{ended}"
    );
    child.kill().expect("it runs");
    child.wait().expect("it ran");
    std::fs::remove_file(path).expect("a file");
}

#[test]
fn a_server_s_health_is_switched_by_hand_for_a_while() {
    let standin = standin();
    let desk = Desk::start(&standin, "health");
    let trusted = || {
        let servers = desk.show("servers");
        let all = servers.as_array().cloned().unwrap_or_default();
        all.iter()
            .any(|server| server["name"] == "s-a" && server["trusted"] == true)
    };
    desk.done("disable health s-a id h wait 45s");
    assert!(trusted() && desk.ask("disable health s-a id h").starts_with("done id=h"));
    assert!(desk.ask("disable health s-x").starts_with("refused"));
    desk.done("enable health s-a wait 45s");
    assert!(!trusted());
    desk.done("disable health s-a for 300ms id again wait 45s");
    let end = std::time::Instant::now() + PATIENCE;
    while trusted() || !desk.ask("wait again 1s").starts_with("over") {
        assert!(
            std::time::Instant::now() < end,
            "{}",
            desk.ask("show orders")
        );
    }
    never_torn(&standin);
}
