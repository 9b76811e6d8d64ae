//! Clients that go on using an edge until its process is gone, from a seed: each answer that was begun comes whole, what a
//! task has run is answered, what may run once runs once, and a refusal is a promise.
//!
//! `LYNXMILL_SOAK_SEEDS` sets the number of seeds, `LYNXMILL_SEED` the first.

mod world;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use lynxmill_random::Pcg;
use rustix::process::{Pid, Signal, kill_process};
use socket2::{Domain, Socket, Type};

use world::World;

/// Seconds between SIGTERM and SIGKILL.
const GRACE_S: f64 = 4.0;
const CLIENTS: u64 = 24;
/// Seeds that are played unless the environment says otherwise.
const SEEDS: u64 = 3;
/// SIGTERM comes so long after the clients have begun, at the most.
const SERVICE: Duration = Duration::from_millis(800);
/// The longest that a task works.
const WORK_MS: f64 = 150.0;
/// The longest pause of a client in the middle of sending a request.
const SEND_PAUSE: Duration = Duration::from_millis(250);
/// The longest that a slow client takes for a whole answer.
const READ_TIME: Duration = Duration::from_millis(300);
const MAX_ANSWER: f64 = 1_000_000.0;
const MAX_BODY: f64 = 900.0;
/// Bytes that a slow client's socket takes.
const SMALL_WINDOW: usize = 16 << 10;
/// A client that gets nothing for so long gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(5);

/// What a client got.
#[derive(Debug, PartialEq)]
enum Outcome {
    /// A status and the whole body, and whether the connection stays open.
    Answered {
        status: u16,
        bytes: usize,
        stays: bool,
    },
    /// The connection ended before the first byte of an answer.
    Unanswered,
    /// The connection ended within an answer.
    Cut { got: usize, expected: usize },
}

/// A request and what became of it.
#[derive(Debug)]
struct Exchange {
    id: String,
    method: &'static str,
    answer_bytes: usize,
    outcome: Outcome,
}

struct Client {
    name: String,
    front: SocketAddr,
    random: Pcg,
    exchanges: Vec<Exchange>,
}

fn number(name: &str, usual: u64) -> u64 {
    let told = std::env::var(name).ok();
    told.and_then(|v| v.parse().ok()).unwrap_or(usual)
}

impl Client {
    fn connect(&self) -> Option<TcpStream> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(SMALL_WINDOW).expect("a window");
        socket.connect(&self.front.into()).ok()?;
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true).expect("an option");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a timeout");
        Some(stream)
    }

    /// Goes on until nobody takes its connections.
    fn run(mut self) -> Vec<Exchange> {
        while let Some(mut stream) = self.connect() {
            while self.exchange(&mut stream) {}
        }
        self.exchanges
    }

    /// Sends a request, some in two parts, and reads its answer; whether the connection stays open.
    fn exchange(&mut self, stream: &mut TcpStream) -> bool {
        let id = format!("{}-{}", self.name, self.exchanges.len());
        let once = self.random.unit() < 0.5;
        let (method, route) = if once {
            ("POST", "once")
        } else {
            ("GET", "get")
        };
        let work = (self.random.unit() * WORK_MS) as u64;
        let answer_bytes = (self.random.unit().powi(3) * MAX_ANSWER) as usize;
        let body = vec![
            b'b';
            if once {
                (self.random.unit() * MAX_BODY) as usize
            } else {
                0
            }
        ];
        let head = format!(
            "{method} /{route}/after-{work}-bytes-{answer_bytes} HTTP/1.1\r\nHost: h\r\n\
             Lynxmill-Attempt-Id: {id}\r\nLynxmill-Deadline-Ms: 1900\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let whole = [head.into_bytes(), body].concat();
        let first = 1 + (self.random.unit() * (whole.len() - 1) as f64) as usize;
        let pauses = self.random.unit() < 0.3;
        let sent = stream.write_all(&whole[..first]).and_then(|()| {
            if pauses {
                std::thread::sleep(SEND_PAUSE.mul_f64(self.random.unit()));
            }
            stream.write_all(&whole[first..])
        });
        let slow = self.random.unit() < 0.3;
        let outcome = read_answer(stream, slow);
        let stays = sent.is_ok() && matches!(outcome, Outcome::Answered { stays: true, .. });
        self.exchanges.push(Exchange {
            id,
            method,
            answer_bytes,
            outcome,
        });
        stays
    }
}

/// Reads one answer; `slow`: over all of `READ_TIME`.
fn read_answer(stream: &mut TcpStream, slow: bool) -> Outcome {
    let mut head = Vec::new();
    let mut byte = [0u8];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ if head.is_empty() => return Outcome::Unanswered,
            _ => {
                return Outcome::Cut {
                    got: 0,
                    expected: 0,
                };
            }
        }
    }
    let head = String::from_utf8(head).expect("text").to_ascii_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let expected: usize =
        header("content-length: ").map_or(0, |v| v.trim().parse().expect("a length"));
    let mut piece = vec![0u8; SMALL_WINDOW];
    let mut got = 0;
    while got < expected {
        let most = piece.len().min(expected - got);
        match stream.read(&mut piece[..most]) {
            Ok(bytes) if bytes > 0 => got += bytes,
            _ => return Outcome::Cut { got, expected },
        }
        if slow {
            std::thread::sleep(READ_TIME.mul_f64(SMALL_WINDOW as f64 / MAX_ANSWER));
        }
    }
    Outcome::Answered {
        status: head[9..12].parse().expect("a status"),
        bytes: got,
        stays: header("connection: ").is_none_or(|v| v.trim() != "close"),
    }
}

/// Why an exchange breaks a rule; `runs`: how many tasks its request came to.
fn violation(exchange: &Exchange, runs: usize) -> Option<&'static str> {
    match exchange.outcome {
        Outcome::Cut { .. } => Some("an answer that was begun is cut"),
        Outcome::Unanswered if runs > 0 => Some("a task has run it, and nobody answers"),
        Outcome::Answered {
            status: 200, bytes, ..
        } if bytes != exchange.answer_bytes => Some("an answer of another length"),
        Outcome::Answered { status: 200, .. } if runs == 0 => Some("nobody has run it"),
        Outcome::Answered { status: 503, .. } if runs > 0 => Some("refused, and yet it has run"),
        _ if exchange.method == "POST" && runs > 1 => Some("it has run twice"),
        _ => None,
    }
}

/// One life of an edge; how many exchanges were served in its shutdown.
fn play(seed: u64) -> usize {
    let mut world = World::new(&format!("soak-{seed}"), GRACE_S);
    let front = world.front.parse().expect("an address");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let client = Client {
                name: format!("{seed}-{n}"),
                front,
                random: Pcg::new(seed * CLIENTS + n),
                exchanges: Vec::new(),
            };
            std::thread::spawn(move || client.run())
        })
        .collect();
    std::thread::sleep(SERVICE.mul_f64(Pcg::new(seed).unit()));
    let before = world.arrivals.lock().expect("arrivals").len();
    let terminated = Instant::now();
    kill_process(Pid::from_child(&world.process), Signal::TERM).expect("a signal");
    let status = loop {
        if let Some(status) = world.process.try_wait().expect("a process") {
            break status;
        }
        std::thread::sleep(POLL);
    };
    assert!(status.success(), "seed {seed}: {status}");
    assert!(
        terminated.elapsed().as_secs_f64() < GRACE_S,
        "seed {seed}: too late"
    );
    let exchanges = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client"));
    let arrivals = world.arrivals.lock().expect("arrivals").clone();
    for exchange in exchanges {
        let runs = arrivals.get(&exchange.id).map_or(0, Vec::len);
        let broken = violation(&exchange, runs);
        assert_eq!(broken, None, "seed {seed}, {runs} runs: {exchange:?}");
    }
    arrivals.len() - before
}

#[test]
fn clients_that_stay_until_the_end_lose_no_answer() {
    let first = number("LYNXMILL_SEED", 1);
    for seed in first..first + number("LYNXMILL_SOAK_SEEDS", SEEDS) {
        let served = play(seed);
        println!("seed {seed}: {served} requests came to tasks after SIGTERM");
        assert!(
            served > CLIENTS as usize,
            "seed {seed}: too few to say something"
        );
    }
}
