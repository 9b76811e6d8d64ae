//! Callers of a control-plane node that stop midway, or give an order up before it arrives.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use lynxmill_operator::{Deployment, configuration, get};
use serde_json::{Value, json};

use common::{PATIENCE, configured};

/// More than a node has threads.
const STALLED_CALLERS: usize = 40;
/// Far longer than an order takes.
const TIME_FOR_ORDERS: Duration = Duration::from_secs(2);
/// A caller that waits for longer goes to another node.
const CALLER_PATIENCE: Duration = Duration::from_secs(1);

fn send(control: &str, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(control).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    stream.write_all(request.as_bytes()).expect("room to write");
    stream
}

/// Guards against callers that stop in the middle of a body and leave no thread for heartbeats.
#[test]
fn callers_that_stop_midway_hold_no_other_up() {
    let system = configured();
    let control = &system.controls()[0];
    let half = "PATCH /v1/configuration HTTP/1.1\r\nHost: c\r\nContent-Length: 9000\r\n\r\nhalf";
    let stalled: Vec<TcpStream> = (0..STALLED_CALLERS).map(|_| send(control, half)).collect();
    let began = Instant::now();
    let answer = get(control, "/v1/status").expect("an answer");
    assert_eq!(answer.status, 200);
    assert!(began.elapsed() < CALLER_PATIENCE);
    drop(stalled);
}

/// The configuration with a longer timeout, under a higher version.
fn later_change() -> String {
    let mut change = configuration();
    for kind in ["Routes", "Services"] {
        for item in change["Upsert"][kind].as_array_mut().expect("a list") {
            item["Version"] = json!("00000002");
        }
    }
    change.to_string()
}

fn newest_versions(system: &Deployment) -> Vec<Value> {
    let read_back = |control: &String| get(control, "/v1/configuration").ok();
    let answer = system
        .controls()
        .iter()
        .filter_map(read_back)
        .find(|answer| answer.status == 200)
        .expect("an answer");
    let newest = answer.json().expect("JSON");
    let routes = newest["Routes"].as_array().expect("a list");
    routes
        .iter()
        .map(|route| route["Version"].clone())
        .collect()
}

/// Guards against an order that the network held up until its caller had given it up, and that undoes a later one.
#[test]
fn an_order_that_its_caller_gave_up_is_not_carried_out() {
    let system = configured();
    let body = later_change();
    let order = format!(
        "PATCH /v1/configuration HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    for control in system.controls() {
        drop(send(&control, &order));
    }
    std::thread::sleep(TIME_FOR_ORDERS);
    let versions = newest_versions(&system);
    assert!(!versions.is_empty());
    assert!(
        versions.iter().all(|version| version == "00000001"),
        "{versions:?}"
    );
}
