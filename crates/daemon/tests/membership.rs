//! The program among other assigners: what they say of servers reaches the module, and operators see and
//! steer it.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use lynxmill_fake_servers::{Collector, config};
use lynxmill_membership_transport::{
    OpenSockets, Runner, TransportOptions, TrustedKeys, fresh, write_secret,
};
use lynxmill_time::Timestamp;
use serde_json::{Value, json};

use common::{ANY, Daemon, PATIENCE, command, standin, write};

struct Keys(PathBuf);

impl Keys {
    fn new(of: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("lynxmilld-{of}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut trusted = TrustedKeys::open_or_new(&folder.join("trust")).expect("none yet");
        for name in ["n0", "m1", "m2"] {
            let secret = fresh().expect("chance");
            write_secret(&folder.join(name), &secret).expect("written");
            trusted.add(name, secret.public());
        }
        trusted.write(&folder.join("trust")).expect("written");
        Keys(folder)
    }

    fn wish(&self, name: &str) -> Value {
        json!({"listen": ANY, "secret": self.0.join(name), "trust": self.0.join("trust"), "period_ms": 200,
            "timeout_ms": 80, "exchange_s": 4.0, "evidence_s": 6.0, "seeds": [], "bytes_per_s": 24000,
            "messages_per_s": 60, "intake_per_s": 400})
    }
}

impl Drop for Keys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn ask(at: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(at).expect("the socket");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    stream
        .write_all(format!("{line}\n").as_bytes())
        .expect("room to write");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

fn rows(at: SocketAddr, what: &str) -> Vec<Value> {
    serde_json::from_str(&ask(at, &format!("show {what} json"))).expect("rows")
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Two other assigners that have lost all they sent to a server.
fn peers(folder: &Path, keys: &Keys, seed: SocketAddr) -> std::sync::mpsc::Sender<()> {
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let wishes: Vec<(String, TransportOptions)> = ["m1", "m2"]
        .iter()
        .map(|name| {
            let mut wish = keys.wish(name);
            wish["seeds"] = json!([seed]);
            (
                (*name).to_owned(),
                serde_json::from_value(wish).expect("a wish"),
            )
        })
        .collect();
    assert!(folder.exists());
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let begun = Instant::now();
            let clock = move || Timestamp::from_secs(begun.elapsed().as_secs_f64());
            let start = |(name, wish): (String, TransportOptions)| {
                Runner::start(
                    OpenSockets::new(wish, &name).expect("opened"),
                    7,
                    clock,
                    |_| {},
                )
                .expect("started")
            };
            let runners: Vec<_> = wishes.into_iter().map(start).collect();
            while matches!(
                stopped.try_recv(),
                Err(std::sync::mpsc::TryRecvError::Empty)
            ) {
                for runner in &runners {
                    runner.met("s-a", 20.0, 20.0);
                    runner.met("s-b", 20.0, 20.0);
                }
                actix_rt::time::sleep(Duration::from_millis(200)).await;
            }
        });
    });
    stop
}

fn report(collector: &mut Collector, server: &str, tries: &str, failed: &str) {
    let said = [
        "upstream_stats",
        "zone",
        "a",
        "server",
        server,
        "tries",
        tries,
        "failed",
        failed,
        "mean_ms",
        "90.0",
        "span_ms",
        "500.0",
        "load",
        "outstanding:2",
    ];
    collector.say(&said).expect("room to write");
}

#[test]
fn others_words_and_a_few_own_losses_move_what_neither_does_alone() {
    let (standin, keys) = (standin(), Keys::new("others"));
    let mut told = config(ANY.parse().expect("an address"), &standin, Value::Null);
    told["name"] = json!("n0");
    told["membership"] = keys.wish("n0");
    told["runtime"] = json!({"commands_per_s": 1000, "connections": 8, "line_bytes": 400, "sockets": [
        {"address": "127.0.0.1:0", "level": "admin"}]});
    told["metrics"] = json!(true);
    let daemon = Daemon::start_with(ANY.parse().expect("an address"), &told);
    let last = |line: String| {
        line.rsplit(' ')
            .next()
            .and_then(|at| at.parse::<SocketAddr>().ok())
            .expect("an address")
    };
    let (member, desk) = (
        last(daemon.told("member n0 at ")),
        last(daemon.told("runtime socket on ")),
    );
    let stop = peers(&keys.0, &keys, member);
    let alive = || {
        rows(desk, "members")
            .iter()
            .filter(|row| row["state"] == "alive")
            .count()
    };
    until("both are met", || alive() == 2);
    until("both servers are doubted", || {
        rows(desk, "evidence")
            .iter()
            .filter(|row| row["doubted"] == json!(true) && row["by"] == "m1")
            .count()
            == 2
    });

    // Own successes at one server, three own losses at the other, where eight would be needed: only the other
    // one's slices go.
    let mut collector = daemon.collector();
    let owned = |server: &str| {
        (0..8)
            .filter(|slice| standin.state().owner(*slice) == Some(server))
            .count()
    };
    let moved = Instant::now();
    while owned("s-a") > 0 {
        assert!(moved.elapsed() < PATIENCE, "{}", ask(desk, "show evidence"));
        assert_eq!(owned("s-b"), 4, "own eyes come first");
        report(&mut collector, "s-b", "6", "0");
        report(&mut collector, "s-c", "6", "0");
        report(&mut collector, "s-d", "6", "0");
        if moved.elapsed() < Duration::from_millis(300) {
            report(&mut collector, "s-a", "3", "3");
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    assert!(standin.state().torn.is_empty());
    until("own success ends the doubt", || {
        report_rows(desk, "s-b")
            .iter()
            .all(|row| row["doubted"] == json!(false))
    });
    let (_, metrics) = daemon.get("/metrics");
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    assert!(metrics.contains("lynxmill_members 3"), "{metrics}");
    assert_eq!(ask(desk, "leave members"), "done\n");
    drop(stop);
}

fn report_rows(desk: SocketAddr, server: &str) -> Vec<Value> {
    rows(desk, "evidence")
        .into_iter()
        .filter(|row| row["server"] == server)
        .collect()
}

#[test]
fn keys_and_settings_that_can_not_be_used_end_it_in_one_line() {
    use std::os::unix::fs::PermissionsExt;
    let (standin, keys) = (standin(), Keys::new("bad"));
    let refused = |membership: Value| {
        let mut told = config(ANY.parse().expect("an address"), &standin, Value::Null);
        told["name"] = json!("n0");
        told["membership"] = membership;
        let path = write(&told);
        let out = command(Some(&path)).output().expect("it ran");
        let _ = std::fs::remove_file(&path);
        assert!(!out.status.success());
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        let lines: Vec<&str> = text
            .lines()
            .filter(|line| line.starts_with("lynxmilld: "))
            .collect();
        assert_eq!(lines.len(), 1, "{text}");
        lines[0].to_owned()
    };
    let mut wish = keys.wish("n0");
    wish["timeout_ms"] = json!(900);
    let told = refused(wish);
    assert!(told.contains("membership.timeout_ms"), "{told}");
    let mut wish = keys.wish("n0");
    wish["secret"] = json!(keys.0.join("m1"));
    wish["trust"] = json!(keys.0.join("none"));
    let told = refused(wish);
    assert!(
        told.contains("`membership`") && told.contains("none: No such file"),
        "{told}"
    );
    std::fs::set_permissions(keys.0.join("n0"), std::fs::Permissions::from_mode(0o604))
        .expect("set");
    let told = refused(keys.wish("n0"));
    assert!(told.contains("mode 604"), "{told}");
    assert!(
        !told.contains(
            std::fs::read_to_string(keys.0.join("n0"))
                .expect("read")
                .trim()
        )
    );
}
