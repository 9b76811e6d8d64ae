//! What a server tells of when a request was sent, by the version that its state had reached before.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use lynxmill_http_server::{HttpServer, Limits, Request, response};
use tokio::runtime::Builder;
use tokio::sync::watch;

const PATIENCE: Duration = Duration::from_secs(10);
/// Longer than the server takes to see a version.
const SEEN: Duration = Duration::from_millis(100);

fn limits() -> Limits {
    Limits {
        connections: 100,
        idle_time: PATIENCE,
        body_bytes: 0,
        all_bodies_bytes: 0,
        body_time: PATIENCE,
    }
}

/// A server that answers each request with the version that it was sent after.
struct Running {
    address: SocketAddr,
    versions: watch::Sender<u64>,
    _end: watch::Sender<bool>,
}

fn listening() -> (HttpServer, SocketAddr) {
    let server = HttpServer::bind("127.0.0.1:0", limits()).expect("a port");
    let address = server.local_address().expect("an address");
    (server, address)
}

fn started((server, address): (HttpServer, SocketAddr), version: u64) -> Running {
    let (end, ends) = watch::channel(false);
    let (versions, reached) = watch::channel(version);
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let handle = |request: Request| async move { response::json(200, &request.sent_after()) };
        runtime.block_on(server.serve_versioned(handle, reached, ends))
    });
    std::thread::sleep(SEEN);
    Running {
        address,
        versions,
        _end: end,
    }
}

impl Running {
    fn reach(&self, version: u64) {
        self.versions.send_replace(version);
        std::thread::sleep(SEEN);
    }

    fn connect(&self) -> TcpStream {
        connect(self.address)
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    stream
}

/// The version that a request on a connection is known to be sent after.
fn sent_after(stream: &mut TcpStream) -> u64 {
    let request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    stream.write_all(request).expect("room to write");
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("an answer");
        answer.push(byte[0]);
    }
    let head = String::from_utf8(answer).expect("text").to_lowercase();
    let length = head.split("content-length: ").nth(1).expect("a length");
    let length = length.split("\r\n").next().expect("a line");
    let mut body = vec![0; length.parse().expect("a number")];
    stream.read_exact(&mut body).expect("the whole body");
    let body = String::from_utf8(body).expect("text");
    body.parse().expect("a number")
}

/// A connection knows what was reached when it was established, however late its first request comes, and then what was
/// reached at its last answer.
#[test]
fn a_request_was_sent_after_the_last_answer_on_its_connection() {
    let server = started(listening(), 3);
    let mut kept = server.connect();
    std::thread::sleep(SEEN);
    server.reach(5);
    assert_eq!(sent_after(&mut kept), 3);
    assert_eq!(sent_after(&mut kept), 5);
    server.reach(8);
    assert_eq!(sent_after(&mut kept), 5);
    assert_eq!(sent_after(&mut server.connect()), 8);
    assert_eq!(sent_after(&mut kept), 8);
}

/// Connections that wait in the system's queue while the state goes on were established before it did, though the server
/// takes them after it.
#[test]
fn a_connection_that_waited_in_the_queue_knows_the_version_of_before() {
    let (server, address) = listening();
    let mut waited = connect(address);
    let server = started((server, address), 7);
    assert_eq!(sent_after(&mut waited), 0);
    assert_eq!(sent_after(&mut server.connect()), 7);
}
