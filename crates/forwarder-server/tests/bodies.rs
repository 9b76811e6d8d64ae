//! Bodies of any length, both ways, between peers of unlike speed: passed on as they come, in bounded memory, and cut where
//! a peer stands still. BODY_MB asks for longer ones, by hand.

mod common;

use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use common::{PATIENCE, Place, head, say, scripted};
use rstest::rstest;
use serde_json::json;

/// What a forwarder may grow by for one body under way, whatever its length, in MB.
const GROWTH: f64 = 3.0;

fn megabytes() -> u64 {
    std::env::var("BODY_MB")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(48)
}

/// Reads all there is, slowly at first; how much it was.
fn drink(from: &mut impl Read, slow: Duration) -> u64 {
    let (mut piece, mut got, begun) = (vec![0; 64 << 10], 0, Instant::now());
    loop {
        if begun.elapsed() < slow {
            std::thread::sleep(Duration::from_millis(20));
        }
        match from.read(&mut piece) {
            Ok(0) | Err(_) => return got,
            Ok(some) => got += some as u64,
        }
    }
}

fn pour(to: &mut impl Write, bytes: u64, chunked: bool) -> std::io::Result<()> {
    let piece = vec![b'r'; 64 << 10];
    let mut left = bytes;
    while left > 0 {
        let now = left.min(piece.len() as u64);
        if chunked {
            write!(to, "{now:x}\r\n")?;
        }
        to.write_all(&piece[..now as usize])?;
        if chunked {
            to.write_all(b"\r\n")?;
        }
        left -= now;
    }
    if chunked {
        to.write_all(b"0\r\n\r\n")
    } else {
        Ok(())
    }
}

fn long(told: &mut serde_json::Value) {
    for class in 0..2 {
        told["settings"]["classes"][class]["deadline"] = json!(300.0);
    }
    told["settings"]["specifics"]["settle"] = json!(300.0);
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn a_long_answer_to_a_slow_reader_is_held_in_bounded_memory(#[case] chunked: bool) {
    let bytes = megabytes() << 20;
    let at = scripted(move |_, mut stream| {
        if head(&mut stream).is_some() {
            let framing = if chunked {
                "transfer-encoding: chunked".to_owned()
            } else {
                format!("content-length: {bytes}")
            };
            say(
                &mut stream,
                &format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n"),
            );
            let _ = pour(&mut stream, bytes, chunked);
        }
    });
    let place = Place::start(at, long);
    let before = place.forwarder.used().2;
    let mut client = place.connect();
    client.send("GET /lookup/k HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n");
    let head = client.head();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let got = drink(&mut client.0, Duration::from_secs(1));
    let grown = place.forwarder.used().2 - before;
    eprintln!(
        "{got} bytes down, peak {:.1} MB, grown by {grown:.1} MB",
        place.forwarder.used().2
    );
    assert!(
        if chunked { got > bytes } else { got == bytes },
        "{got} of {bytes}"
    );
    assert!(grown < GROWTH, "grown by {grown} MB");
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn a_long_body_to_a_slow_server_is_held_in_bounded_memory(#[case] chunked: bool) {
    let bytes = megabytes() << 20;
    let got = Arc::new(AtomicU64::new(0));
    let gets = got.clone();
    let at = scripted(move |_, mut stream| {
        let Some((_, rest)) = head(&mut stream) else {
            return;
        };
        let (mut piece, begun, mut all) = (vec![0; 64 << 10], Instant::now(), rest.len() as u64);
        let whole = |all: u64, tail: &[u8]| {
            if chunked {
                tail.ends_with(b"0\r\n\r\n")
            } else {
                all == bytes
            }
        };
        loop {
            if begun.elapsed() < Duration::from_secs(1) {
                std::thread::sleep(Duration::from_millis(20));
            }
            let Ok(some @ 1..) = stream.read(&mut piece) else {
                return;
            };
            all += some as u64;
            if whole(all, &piece[..some]) {
                gets.store(all, Ordering::SeqCst);
                return say(
                    &mut stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone",
                );
            }
        }
    });
    let place = Place::start(at, long);
    let before = place.forwarder.used().2;
    let mut client = place.connect();
    let framing = if chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {bytes}")
    };
    client.send(&format!(
        "POST /vote/k HTTP/1.1\r\nhost: f\r\nconnection: close\r\n{framing}\r\n\r\n"
    ));
    pour(&mut client.0, bytes, chunked).expect("room to write");
    let answer = client.rest();
    let grown = place.forwarder.used().2 - before;
    eprintln!(
        "{} bytes up, peak {:.1} MB, grown by {grown:.1} MB",
        got.load(Ordering::SeqCst),
        place.forwarder.used().2
    );
    assert!(
        answer.ends_with("done") && got.load(Ordering::SeqCst) >= bytes,
        "{answer}"
    );
    assert!(grown < GROWTH, "grown by {grown} MB");
}

#[test]
fn a_client_that_takes_nothing_is_cut_and_its_server_freed() {
    let ended = Arc::new(AtomicU64::new(0));
    let ends = ended.clone();
    let at = scripted(move |_, mut stream| {
        if head(&mut stream).is_some() {
            say(
                &mut stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n",
            );
            let _ = pour(&mut stream, 1_000_000_000, false);
            ends.fetch_add(1, Ordering::SeqCst);
        }
    });
    let mut place = Place::start(at, |told| {
        long(told);
        told["limits"]["stall_ms"] = json!(400);
    });
    let mut client = place.connect();
    client.send("GET /lookup/k HTTP/1.1\r\nhost: f\r\n\r\n");
    place
        .forwarder
        .told("ended reason=client-stalled")
        .expect("its line");
    let end = Instant::now() + PATIENCE;
    while ended.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < end, "the server still writes");
        std::thread::yield_now();
    }
    assert_eq!(place.status()["to_servers"], 0);
}

#[test]
fn a_slow_but_steady_reader_is_not_cut() {
    let at = scripted(|_, mut stream| {
        if head(&mut stream).is_some() {
            say(
                &mut stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 12000000\r\n\r\n",
            );
            let _ = pour(&mut stream, 12_000_000, false);
        }
    });
    let place = Place::start(at, |told| {
        long(told);
        // The kernel opens a window again only once much of it is free.
        told["limits"]["stall_ms"] = json!(1500);
    });
    let mut client = place.connect();
    client.send("GET /lookup/k HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n");
    client.head();
    assert_eq!(
        drink(&mut client.0, Duration::from_millis(3000)),
        12_000_000
    );
}

#[test]
fn a_server_that_stops_in_the_middle_is_cut_and_nothing_is_sent_again() {
    let times = Arc::new(AtomicU64::new(0));
    let counts = times.clone();
    let at = scripted(move |_, mut stream| {
        if head(&mut stream).is_some() {
            counts.fetch_add(1, Ordering::SeqCst);
            say(
                &mut stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nsome of it",
            );
            std::thread::sleep(PATIENCE);
        }
    });
    let mut place = Place::start(at, |told| {
        long(told);
        told["limits"]["stall_ms"] = json!(300);
        told["settings"]["specifics"]["retry_default"] = json!(3);
    });
    let answer = place.vote();
    assert!(
        !answer.contains("x-lynxmill-reason") && answer.len() < 300,
        "{answer}"
    );
    place
        .forwarder
        .told("ended reason=server-stalled")
        .expect("its line");
    assert_eq!(times.load(Ordering::SeqCst), 1);
}

#[test]
fn a_client_that_stops_in_the_middle_is_told_and_nothing_runs() {
    let whole = Arc::new(AtomicU64::new(0));
    let counts = whole.clone();
    let at = scripted(move |_, mut stream| {
        let Some((_, rest)) = head(&mut stream) else {
            return;
        };
        let mut all = vec![0; 1000 - rest.len()];
        if stream.read_exact(&mut all).is_ok() {
            counts.fetch_add(1, Ordering::SeqCst);
        }
    });
    let place = Place::start(at, |told| {
        long(told);
        told["limits"]["stall_ms"] = json!(300);
    });
    let mut client = place.connect();
    client.send("POST /vote/k HTTP/1.1\r\nhost: f\r\ncontent-length: 1000\r\n\r\nsome");
    let answer = client.head();
    assert!(
        answer.starts_with("HTTP/1.1 408") && answer.contains("client-stalled"),
        "{answer}"
    );
    assert_eq!(whole.load(Ordering::SeqCst), 0);
}
