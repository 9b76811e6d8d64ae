//! What clients of a forwarder get that is told to end.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{PATIENCE, Place, head, scripted};
use lynxmill_raw_client::{read_body, read_head};
use serde_json::{Value, json};

/// More bytes than the sockets between a forwarder and its client hold.
const LONG_ANSWER: usize = 16 << 20;
const DRAIN_S: f64 = 4.0;
/// Far more than a forwarder without connections takes to end.
const TIME_TO_END: Duration = Duration::from_millis(1_500);
/// Far more than a process that waits for nobody takes to end.
const TIME_TO_WAIT: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(2);
/// Forwarders that end one after the other, each while a client connects over and over.
const CROWDED_ENDS: usize = 10;
/// Time for a forwarder to become idle between two connections.
const CONNECT_INTERVAL: Duration = Duration::from_micros(100);
const REQUEST: &str = "GET /lookup/k HTTP/1.1\r\nhost: f\r\n\r\n";

/// A server whose every answer is long.
fn long_answers() -> SocketAddr {
    scripted(|_, mut stream| {
        while head(&mut stream).is_some() {
            let start = format!("HTTP/1.1 200 OK\r\ncontent-length: {LONG_ANSWER}\r\n\r\n");
            let answer = [start.into_bytes(), vec![b'x'; LONG_ANSWER]].concat();
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    })
}

fn started() -> Place {
    Place::start(long_answers(), |told: &mut Value| {
        told["drain_s"] = json!(DRAIN_S);
    })
}

/// A client on a slow link that has read the head of a long answer.
fn begin_reading(place: &Place, request: &str) -> TcpStream {
    let mut client = lynxmill_raw_client::connect(place.forwarder.address, PATIENCE);
    client.write_all(request.as_bytes()).expect("room to write");
    let head = read_head(&mut client);
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    client
}

fn wait_for_closing(place: &Place) {
    let until = Instant::now() + Duration::from_secs_f64(DRAIN_S);
    while TcpStream::connect(place.forwarder.address).is_ok() {
        assert!(Instant::now() < until, "it takes connections for ever");
        std::thread::sleep(POLL);
    }
}

/// Whether it ends within some time; its exit has to be a success.
fn ends_within(place: &mut Place, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        if let Some(code) = place.forwarder.ended() {
            assert_eq!(code, 0);
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
fn an_answer_that_a_client_still_reads_comes_whole_from_a_forwarder_that_ends() {
    let mut place = started();
    let mut client = begin_reading(&place, REQUEST);
    place.forwarder.end();
    wait_for_closing(&place);
    assert!(!ends_within(&mut place, TIME_TO_WAIT), "it did not wait");
    assert_eq!(read_body(&mut client, LONG_ANSWER), LONG_ANSWER);
    drop(client);
    assert!(ends_within(&mut place, TIME_TO_END), "it waits for nobody");
}

/// Guards against answers that are lost as the forwarder closes a connection on which its client sends once more.
#[test]
fn a_client_that_sends_across_a_close_gets_its_answer_whole() {
    let mut place = started();
    let closing = REQUEST.replace("host: f", "host: f\r\nconnection: close");
    let mut clients = [&closing, &closing].map(|request| begin_reading(&place, request));
    assert_eq!(read_across_a_close(&mut clients[0]), LONG_ANSWER);
    place.forwarder.end();
    wait_for_closing(&place);
    assert_eq!(read_across_a_close(&mut clients[1]), LONG_ANSWER);
    drop(clients);
    assert!(ends_within(&mut place, TIME_TO_END), "it waits for nobody");
}

/// Reads a long answer and sends a further request while its last part is under way.
fn read_across_a_close(client: &mut TcpStream) -> usize {
    lynxmill_raw_client::read_across_a_close(client, LONG_ANSWER, REQUEST)
}

/// Guards against a forwarder that never ends since a client connected in the very moment of SIGTERM.
#[test]
fn a_forwarder_ends_though_clients_connect_all_the_time() {
    for round in 0..CROWDED_ENDS {
        let mut place = started();
        let reader = begin_reading(&place, REQUEST);
        let address = place.forwarder.address;
        let connecting = std::thread::spawn(move || connect_until_refused(address));
        place.forwarder.end();
        place.forwarder.told("ends, with").expect("its line");
        drop(reader);
        let ended = ends_within(&mut place, TIME_TO_END);
        place.forwarder.kill();
        connecting.join().expect("a client");
        assert!(ended, "it goes on, round {round}");
    }
}

fn connect_until_refused(address: SocketAddr) {
    while TcpStream::connect(address).is_ok() {
        std::thread::sleep(CONNECT_INTERVAL);
    }
}
