//! Bodies and answers that take more memory together than an edge proxy has.

mod world;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use world::{ClientLimits, LONG_ANSWER, World};

const GRACE_S: f64 = 2.0;
/// Three tenths of it are less than two long answers or two long bodies.
const MEMORY_MB: u32 = 64;
/// Answers and bodies of three tenths each, and the program itself.
const MOST_MEMORY_KB: u64 = 90 << 10;
/// A body that is in order by itself.
const LONG_BODY: usize = 12 << 20;
const PIECE: usize = 64 << 10;
const PATIENCE: Duration = Duration::from_secs(20);
/// Clients that want long answers at once.
const CLIENTS: usize = 10;
/// Far less than a client waits that is held up by others.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Time for long answers to come from their tasks.
const TIME_TO_ANSWER: Duration = Duration::from_millis(300);

fn world(name: &str, idle_s: u32) -> World {
    let limits = ClientLimits {
        body_bytes: 16 << 20,
        idle_s,
    };
    World::with_limits(name, GRACE_S, MEMORY_MB, &limits)
}

fn send(world: &World, bytes: &[u8]) -> TcpStream {
    let mut client = TcpStream::connect(&world.front).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    client.write_all(bytes).unwrap();
    client
}

fn get(world: &World, path: &str, id: &str) -> TcpStream {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nLynxmill-Attempt-Id: {id}\r\nLynxmill-Deadline-Ms: 1900\r\n\
         Connection: close\r\n\r\n"
    );
    send(world, request.as_bytes())
}

fn rest(client: &mut TcpStream) -> Vec<u8> {
    let mut got = Vec::new();
    let _ = client.read_to_end(&mut got);
    got
}

/// Sends pieces of a body of unknown length, which does not end.
fn send_unending_body(world: &World, id: &str, bytes: usize) -> TcpStream {
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: h\r\nLynxmill-Attempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut client = send(world, head.as_bytes());
    let piece = [format!("{PIECE:x}\r\n").as_bytes(), &[b'x'; PIECE], b"\r\n"].concat();
    for _ in 0..bytes / PIECE {
        // A refusal may come in the midst of it.
        if client.write_all(&piece).is_err() {
            break;
        }
    }
    client
}

fn peak_memory_kb(world: &World) -> u64 {
    let path = format!("/proc/{}/status", world.process.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap()
}

/// Guards against 413 for a body that is no longer than bodies may be: its client would not come again.
#[test]
fn bodies_that_are_too_much_together_are_a_matter_of_load() {
    let world = world("bodies", 15);
    let _first = send_unending_body(&world, "b-1", LONG_BODY);
    std::thread::sleep(TIME_TO_ANSWER);
    let mut second = send_unending_body(&world, "b-2", LONG_BODY);
    let refused = String::from_utf8_lossy(&rest(&mut second)).into_owned();
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
}

/// Guards against an edge that ends for want of memory while many clients read long answers.
#[test]
fn long_answers_wait_for_memory_and_small_ones_do_not() {
    let world = world("answers", 15);
    let mut clients: Vec<TcpStream> = (0..CLIENTS)
        .map(|n| get(&world, "/get/long", &format!("a-{n}")))
        .collect();
    std::thread::sleep(TIME_TO_ANSWER);
    let began = Instant::now();
    let small = rest(&mut get(&world, "/get/x", "small"));
    assert!(small.starts_with(b"HTTP/1.1 200 "));
    assert!(began.elapsed() < AT_ONCE, "it took {:?}", began.elapsed());
    let reading: Vec<_> = clients
        .drain(..)
        .map(|mut client| std::thread::spawn(move || rest(&mut client)))
        .collect();
    let answers: Vec<Vec<u8>> = reading
        .into_iter()
        .map(|read| read.join().unwrap())
        .collect();
    let whole = answers.iter().filter(|answer| answer.len() > LONG_ANSWER);
    assert!(whole.count() >= 2);
    let cut = answers
        .iter()
        .find(|answer| answer.len() <= LONG_ANSWER && !answer.starts_with(b"HTTP/1.1 504 "));
    assert_eq!(cut.map(Vec::len), None, "of {LONG_ANSWER} bytes");
    assert!(
        peak_memory_kb(&world) < MOST_MEMORY_KB,
        "{} kB",
        peak_memory_kb(&world)
    );
}

/// Guards against a client that reads nothing and keeps the memory of its answer for ever.
#[test]
fn a_client_that_takes_nothing_gives_its_memory_back() {
    let world = world("stalled", 1);
    let _stalled = get(&world, "/get/long", "s-0");
    std::thread::sleep(TIME_TO_ANSWER);
    let began = Instant::now();
    let mut next = rest(&mut get(&world, "/get/long", "s-1"));
    while next.starts_with(b"HTTP/1.1 504 ") && began.elapsed() < PATIENCE {
        next = rest(&mut get(&world, "/get/long", "s-2"));
    }
    assert!(next.len() > LONG_ANSWER, "{} bytes", next.len());
}
