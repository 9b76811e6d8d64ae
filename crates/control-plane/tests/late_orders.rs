//! Orders that the network holds up until their callers have had them carried out elsewhere, and the opposite after them.
//! Between real processes: the bytes of an order come late, and the end of its connection later still.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use lynxmill_operator::{Answer, HOST, REDIRECT, agent, by_following, get, patch};
use rstest::rstest;
use serde_json::{Value, json};

use common::{PATIENCE, configured};

/// Far longer than an order takes.
const TIME_FOR_ORDERS: Duration = Duration::from_secs(2);
/// How far the end of a connection may be behind the last bytes: at once, a round trip between regions, a lost segment,
/// several.
const ENDS_BEHIND_MS: [u64; 4] = [0, 126, 300, 600];
const ZONE: &str = "north";

fn evacuation_path() -> String {
    format!("/v1/evacuation/{ZONE}")
}

/// An order on a connection of its own, as callers make it.
fn evacuation_order(control: &str, method: &str) {
    let answer = by_following(&agent(PATIENCE), method, control, &evacuation_path(), b"");
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{method} at {control}: {}", answer.body);
}

/// A caller's connection to one member.
struct Connection {
    stream: TcpStream,
}

impl Connection {
    fn open(control: &str) -> Self {
        let stream = TcpStream::connect(control).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        Connection { stream }
    }

    fn send(&mut self, method: &str, path: &str, body: &str) {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream
            .write_all(request.as_bytes())
            .expect("room to write");
    }

    /// An order of evacuation that is obeyed, sent again if the member asks for it.
    fn order(&mut self, method: &str) {
        self.send(method, &evacuation_path(), "");
        let mut status = self.status();
        if status == REDIRECT {
            self.send(method, &evacuation_path(), "");
            status = self.status();
        }
        assert_eq!(status, 200, "{method}");
    }

    /// The status of the next answer, whose body is read.
    fn status(&mut self) -> u16 {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            self.stream.read_exact(&mut byte).expect("an answer");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("text").to_lowercase();
        let length = head.split("content-length: ").nth(1).expect("a length");
        let length = length.split("\r\n").next().expect("a line");
        let mut body = vec![0; length.parse().expect("a number")];
        self.stream.read_exact(&mut body).expect("the whole body");
        head.split(' ')
            .nth(1)
            .expect("a status")
            .parse()
            .expect("a number")
    }
}

fn evacuated_zones(control: &str) -> Value {
    let answer: Answer = get(control, "/v1/status").expect("an answer");
    answer.json().expect("JSON")["EvacuatedZones"].clone()
}

/// Guards against a `DELETE` that a cut held up, and that takes a zone back which was evacuated anew meanwhile, however far
/// behind it the end of its caller's connection is.
#[rstest]
#[case::on_a_kept_connection(true)]
#[case::on_a_new_connection(false)]
fn a_late_order_does_not_take_a_zone_back(#[case] kept: bool) {
    let system = configured();
    let [first, second, _] = system.controls().try_into().expect("three members");
    for behind in ENDS_BEHIND_MS {
        let mut held_up = Connection::open(&first);
        if kept {
            held_up.order("POST");
        } else {
            evacuation_order(&first, "POST");
        }
        // The order that `held_up` was to carry gets no answer there.
        evacuation_order(&second, "DELETE");
        evacuation_order(&second, "POST");
        held_up.send("DELETE", &evacuation_path(), "");
        std::thread::sleep(Duration::from_millis(behind));
        drop(held_up);
        std::thread::sleep(TIME_FOR_ORDERS);
        assert_eq!(evacuated_zones(&second), json!([ZONE]), "{behind} ms");
        evacuation_order(&second, "DELETE");
    }
}

/// Guards against a `POST` that empties a zone which was taken back meanwhile.
#[test]
fn a_late_order_does_not_evacuate_a_zone() {
    let system = configured();
    let [first, second, _] = system.controls().try_into().expect("three members");
    let mut held_up = Connection::open(&first);
    evacuation_order(&second, "POST");
    evacuation_order(&second, "DELETE");
    held_up.send("POST", &evacuation_path(), "");
    std::thread::sleep(TIME_FOR_ORDERS);
    drop(held_up);
    assert_eq!(evacuated_zones(&second), json!([]));
}

/// Guards against a change that was refused elsewhere, and that comes into force by the same call as it arrives late and
/// has become valid.
#[test]
fn a_late_change_that_was_refused_does_not_come_into_force() {
    let system = configured();
    let [first, second, _] = system.controls().try_into().expect("three members");
    let route = json!({"Upsert": {"Routes": [{
        "Name": "r-late", "Host": HOST, "PathPrefix": "/late/", "RouteKind": "idempotent", "TimeoutS": 5.0,
        "TargetS": 1.0, "Priority": 1, "Service": "late", "MaxAttempts": 2, "HomeRegions": [], "Version": "00000001",
    }]}});
    let service = json!({"Upsert": {"Services": [{"Name": "late", "HealthPath": "/health", "Version": "00000001"}]}});
    let mut held_up = Connection::open(&first);
    let refused = patch(&second, &route).expect("an answer");
    assert_eq!(refused.status, 400, "{}", refused.body);
    let taken = patch(&second, &service).expect("an answer");
    assert_eq!(taken.status, 200, "{}", taken.body);
    held_up.send("PATCH", "/v1/configuration", &route.to_string());
    std::thread::sleep(TIME_FOR_ORDERS);
    drop(held_up);
    let newest = get(&second, "/v1/configuration").expect("an answer");
    assert!(!newest.body.contains("r-late"), "{}", newest.body);
    // Sent anew it is valid, and taken.
    let sent_again = patch(&first, &route).expect("an answer");
    assert_eq!(sent_again.status, 200, "{}", sent_again.body);
}

/// An operator that changes its mind is obeyed on each of its connections, and asked at most once to send its order again.
#[test]
fn an_operator_that_changes_its_mind_is_obeyed() {
    let system = configured();
    let [first, second, _] = system.controls().try_into().expect("three members");
    let mut kept = Connection::open(&first);
    kept.send("POST", &evacuation_path(), "");
    assert_eq!(kept.status(), 200);
    kept.send("DELETE", &evacuation_path(), "");
    assert_eq!(
        kept.status(),
        200,
        "the order before it was answered on its connection"
    );
    evacuation_order(&second, "POST");
    kept.send("DELETE", &evacuation_path(), "");
    assert_eq!(
        kept.status(),
        REDIRECT,
        "another was acknowledged elsewhere"
    );
    kept.send("DELETE", &evacuation_path(), "");
    assert_eq!(kept.status(), 200);
    assert_eq!(evacuated_zones(&first), json!([]));
}
