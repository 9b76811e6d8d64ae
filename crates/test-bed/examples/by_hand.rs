//! Measures orders by hand on loopback: from an order until the last forwarder has it in its tables, beside discovery's own
//! drain of the same server; and what a hundred sessions with a thousand commands a second cost. By hand:
//!
//!     cargo build --release -p lynxmill-daemon -p lynxmill-forward
//!     cargo run --release -p lynxmill-rig --example by_hand

use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lynxmill_test_bed::{TestBed, TestBedOptions};

fn ask(socket: &Path, line: &str) -> String {
    let mut stream = UnixStream::connect(socket).expect("the socket");
    stream
        .write_all(format!("{line}\n").as_bytes())
        .expect("room to write");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Until no forwarder's table names this server.
fn gone(rig: &mut TestBed, server: &str, begun: Instant) -> Duration {
    while rig
        .tables()
        .iter()
        .flatten()
        .any(|owner| owner.as_deref() == Some(server))
    {
        assert!(
            begun.elapsed() < Duration::from_secs(60),
            "{server} keeps its slices"
        );
    }
    begun.elapsed()
}

/// Until it has six slices again, so that there is something to move.
fn back(rig: &mut TestBed, server: &str, socket: &Path) {
    const SIX: usize = 6;
    for slice in 0..SIX {
        ask(socket, &format!("set slice {slice} owner {server}"));
    }
    let has = |table: &Vec<Option<String>>| {
        table
            .iter()
            .filter(|owner| owner.as_deref() == Some(server))
            .count()
            >= SIX
    };
    while !rig.tables().iter().all(has) {
        std::thread::sleep(Duration::from_millis(5));
    }
    // What the mover has left of its messages is the same for all.
    std::thread::sleep(Duration::from_millis(500));
}

fn shown(of: &Histogram<u64>) -> String {
    let ms = |part| of.value_at_quantile(part) as f64 / 1e3;
    format!("{:.2} / {:.2}", ms(0.5), ms(0.99))
}

fn main() {
    let wish = TestBedOptions {
        forwarders: 8,
        servers: 4,
        runtime: true,
        ..TestBedOptions::default()
    };
    let mut rig = TestBed::start(wish).expect("all is built and starts");
    let socket = rig.socket(0);
    std::thread::sleep(Duration::from_secs(3));
    let servers: Vec<String> = rig.servers.keys().cloned().collect();
    let (server, mut hand, mut list) = (
        servers[0].clone(),
        Histogram::<u64>::new(3).expect("one"),
        Histogram::<u64>::new(3).expect("one"),
    );
    for _ in 0..12 {
        back(&mut rig, &server, &socket);
        let begun = Instant::now();
        ask(&socket, &format!("set server {server} state drain"));
        let _ = hand.record(gone(&mut rig, &server, begun).as_micros() as u64);
        ask(
            &socket,
            &format!("set server {server} state ready wait 20s"),
        );
        back(&mut rig, &server, &socket);
        let begun = Instant::now();
        rig.list(&server, "draining");
        let _ = list.record(gone(&mut rig, &server, begun).as_micros() as u64);
        rig.list(&server, "ready");
        std::thread::sleep(Duration::from_millis(300));
    }
    println!(
        "until the last of 8 forwarders, ms 50/99%: by hand {}, by the list {}",
        shown(&hand),
        shown(&list)
    );
    let before = rig.assigners[0].used();
    let begun = Instant::now();
    let sessions: Vec<_> = (0..100)
        .map(|number| {
            let socket = socket.clone();
            std::thread::spawn(move || {
                let mut stream = UnixStream::connect(&socket).expect("the socket");
                let mut answers = BufReader::new(stream.try_clone().expect("a copy"));
                stream.write_all(b"prompt\n").expect("room to write");
                let (mut told, mut took) = (0_u64, Histogram::<u64>::new(3).expect("one"));
                let mut line = String::new();
                for turn in 0..50_u64 {
                    let due = begun + Duration::from_millis(turn * 100 + number);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let sent = Instant::now();
                    stream
                        .write_all(b"show info json\n")
                        .expect("room to write");
                    // A line of its own may stand before the answer.
                    loop {
                        line.clear();
                        if answers.read_line(&mut line).unwrap_or(0) == 0 {
                            break;
                        }
                        if line.contains('{') {
                            told += 1;
                            let _ = took.record(sent.elapsed().as_micros() as u64);
                            break;
                        }
                    }
                }
                (told, took)
            })
        })
        .collect();
    let (mut told, mut took) = (0, Histogram::<u64>::new(3).expect("one"));
    for session in sessions {
        let (some, times) = session.join().expect("a session");
        told += some;
        let _ = took.add(&times);
    }
    let (after, secs) = (rig.assigners[0].used(), begun.elapsed().as_secs_f64());
    println!(
        "{told} commands of 100 sessions in {secs:.1} s: answered within {} ms, {:.1}% of a core, {:.1} MB before and {:.1} MB",
        shown(&took),
        (after.0 - before.0) / secs * 100.0,
        before.1,
        after.1
    );
}
