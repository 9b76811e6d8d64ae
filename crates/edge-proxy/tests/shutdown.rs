//! What clients of an edge proxy get whose process is told to end.

mod world;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use socket2::{Domain, Socket, Type};

use world::{LONG_ANSWER, World};

/// Seconds between SIGTERM and SIGKILL.
const GRACE_S: f64 = 4.0;
/// Bytes that a slow client's socket takes.
const SMALL_WINDOW: usize = 16 << 10;
/// Far more than a process without work takes to end.
const TIME_TO_END: Duration = Duration::from_millis(500);
/// A client that gets nothing for so long gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(2);

/// A client's connection with a small window, as over a slow link.
fn connect(world: &World) -> TcpStream {
    let address: SocketAddr = world.front.parse().unwrap();
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_WINDOW).unwrap();
    socket.connect(&address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

fn request(method: &str, path: &str, id: &str, length: usize) -> String {
    let length = if method == "POST" {
        format!("Content-Length: {length}\r\n")
    } else {
        String::new()
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nLynxmill-Attempt-Id: {id}\r\nLynxmill-Deadline-Ms: 1900\r\n{length}\r\n"
    )
}

/// Reads the head of an answer and no byte more.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0u8];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8(head).unwrap()
}

/// Bytes of a body that come until the end of the connection, or `most`.
fn read_body(stream: &mut TcpStream, most: usize) -> usize {
    let mut piece = vec![0u8; SMALL_WINDOW];
    let mut got = 0;
    while got < most {
        match stream.read(&mut piece) {
            Ok(bytes) if bytes > 0 => got += bytes,
            _ => break,
        }
    }
    got
}

fn terminate(world: &World) {
    let id = Pid::from_child(&world.process);
    kill_process(id, Signal::TERM).unwrap();
}

/// Waits until the process takes no more connections.
fn wait_for_closing(world: &World) {
    let address: SocketAddr = world.front.parse().unwrap();
    let until = Instant::now() + Duration::from_secs_f64(GRACE_S);
    while TcpStream::connect(address).is_ok() {
        assert!(Instant::now() < until, "it takes connections for ever");
        std::thread::sleep(POLL);
    }
}

/// Whether the process ends within some time; its exit has to be a success.
fn ends_within(world: &mut World, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        if let Some(status) = world.process.try_wait().unwrap() {
            assert!(status.success(), "{status}");
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(POLL);
    }
}

/// Guards against answers that are cut by the end of the process while slow clients still read them.
#[test]
fn answers_that_clients_still_read_come_whole_from_an_edge_that_ends() {
    let mut world = World::new("slow-readers", GRACE_S);
    let requests = [("GET", "/get/long"), ("POST", "/once/long")];
    let mut clients: Vec<TcpStream> = requests
        .iter()
        .map(|(method, path)| {
            let mut client = connect(&world);
            let bytes = request(method, path, &format!("{method}-1"), 0);
            client.write_all(bytes.as_bytes()).unwrap();
            assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
            client
        })
        .collect();
    terminate(&world);
    wait_for_closing(&world);
    assert!(!ends_within(&mut world, TIME_TO_END), "it did not wait");
    for client in &mut clients {
        assert_eq!(read_body(client, LONG_ANSWER), LONG_ANSWER);
    }
    let arrivals = world.arrivals.lock().unwrap().clone();
    assert_eq!(arrivals["POST-1"].len(), 1, "{arrivals:?}");
    drop(clients);
    assert!(ends_within(&mut world, TIME_TO_END), "it waited for nobody");
}
