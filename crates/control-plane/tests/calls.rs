//! Every call of the control plane and of an edge's readiness address, on real processes: each is served, and each of its
//! statuses is given.

mod common;

use std::time::Duration;

use lynxmill_operator::{Answer, Deployment, HOST, agent, by, by_following, configuration};
use serde_json::{Value, json};

use common::{PATIENCE, configured};

const ANSWER_PATIENCE: Duration = Duration::from_secs(5);

/// Which address of the system a call goes to.
#[derive(Clone, Copy, Debug)]
enum To {
    Control,
    Directory,
    Readiness,
}

/// One call, and the status that it is to get.
#[derive(Debug)]
struct Call {
    to: To,
    method: &'static str,
    path: String,
    body: Vec<u8>,
    status: u16,
    /// A field that the answer's object has.
    field: Option<&'static str>,
}

fn call(to: To, method: &'static str, path: &str, body: &Value, status: u16) -> Call {
    let body = if body.is_null() {
        Vec::new()
    } else {
        body.to_string().into_bytes()
    };
    Call {
        to,
        method,
        path: path.to_owned(),
        body,
        status,
        field: None,
    }
}

impl Call {
    fn with_field(mut self, field: &'static str) -> Self {
        self.field = Some(field);
        self
    }

    fn with_body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }
}

fn heartbeat(state: &str) -> Value {
    json!({
        "Address": "127.0.0.1:9", "Info": {"Service": "mill", "Version": "v1", "Zone": "north", "Slots": 2},
        "Status": {"State": state, "CallSeq": 4, "ColdLeftS": 0},
    })
}

fn calls_of_tasks() -> Vec<Call> {
    let task = "/v1/instances/i-1";
    vec![
        call(To::Control, "PUT", task, &heartbeat("ready"), 200),
        call(To::Control, "PUT", task, &heartbeat("draining"), 200),
        call(To::Control, "PUT", task, &json!({"Address": 7}), 400),
        call(To::Control, "PUT", task, &Value::Null, 400).with_body(b"no JSON"),
        call(To::Control, "DELETE", task, &Value::Null, 200),
        call(
            To::Control,
            "DELETE",
            "/v1/instances/i-2",
            &Value::Null,
            200,
        ),
    ]
}

/// A change of one route of the first configuration, in a version.
fn changed_route(version: &str, field: &str, value: Value) -> Value {
    let mut route = configuration()["Upsert"]["Routes"][0].clone();
    route["Version"] = json!(version);
    route[field] = value;
    json!({"Upsert": {"Routes": [route]}})
}

fn calls_of_operators() -> Vec<Call> {
    let patch =
        |body: &Value, status| call(To::Control, "PATCH", "/v1/configuration", body, status);
    let same_place = configuration()["Upsert"]["Routes"][1]["PathPrefix"].clone();
    vec![
        patch(&changed_route("00000002", "TimeoutS", json!(4.0)), 200),
        patch(&changed_route("00000002", "TimeoutS", json!(4.0)), 200),
        patch(&changed_route("00000003", "Service", json!("unknown")), 400),
        patch(&changed_route("00000003", "PathPrefix", same_place), 400),
        patch(&changed_route("00000003", "TimeoutS", json!(0)), 400),
        patch(&changed_route("00000003", "TargetS", json!(90.0)), 400),
        patch(&changed_route("00000003", "MaxAttempts", json!(0)), 400),
        patch(&changed_route("00000003", "Host", json!("")), 400),
        patch(&json!({"Upsert": 7}), 400),
        patch(&Value::Null, 400).with_body(br#"{"Upsert":{"Routes":[{"Na"#),
        patch(
            &json!({"Remove": {"Routes": [{"Name": "r-none", "Version": "00000003"}]}}),
            200,
        ),
        call(To::Control, "GET", "/v1/configuration", &Value::Null, 200).with_field("Routes"),
        call(
            To::Control,
            "POST",
            "/v1/evacuation/south",
            &Value::Null,
            200,
        ),
        call(
            To::Control,
            "POST",
            "/v1/evacuation/south",
            &Value::Null,
            200,
        ),
        call(
            To::Control,
            "DELETE",
            "/v1/evacuation/south",
            &Value::Null,
            200,
        ),
    ]
}

fn calls_of_rollouts() -> Vec<Call> {
    let post = |body: &Value, status| call(To::Control, "POST", "/v1/rollouts", body, status);
    let order = |service: &str, version: &str, term: Value| json!({"Service": service, "TargetVersion": version, "DurationS": term});
    let show = "/v1/rollouts/mill";
    vec![
        call(To::Control, "GET", show, &Value::Null, 404),
        post(&order("unknown", "v2", json!(30)), 400),
        post(&order("mill", "", json!(30)), 400),
        post(&order("", "v2", json!(30)), 400),
        post(&order("mill", "v2", json!(0)), 400),
        post(&order("mill", "v2", json!(-1)), 400),
        post(&order("mill", "v2", json!("soon")), 400),
        post(&json!({"Service": "mill"}), 400),
        post(&Value::Null, 400).with_body(b"no JSON"),
        post(&order("mill", "v2", json!(30)), 200),
        post(&order("mill", "v2", json!(30)), 200),
        post(&order("mill", "v2", json!(40)), 409),
        call(To::Control, "GET", show, &Value::Null, 200).with_field("State"),
        call(To::Control, "GET", show, &Value::Null, 200).with_field("TargetVersion"),
    ]
}

fn calls_of_clients_and_engineers() -> Vec<Call> {
    let resolve = format!("/v1/resolve?Name={HOST}&Region=vale&Zone=north");
    vec![
        call(To::Directory, "GET", &resolve, &Value::Null, 200).with_field("Addresses"),
        call(To::Directory, "GET", &resolve, &Value::Null, 200).with_field("TtlS"),
        call(To::Readiness, "GET", "/v1/readiness", &Value::Null, 200),
        call(To::Control, "GET", "/v1/status", &Value::Null, 200).with_field("InContact"),
        call(To::Control, "GET", "/v1/counters", &Value::Null, 200),
        call(To::Control, "GET", "/v1/no-such-call", &Value::Null, 404),
    ]
}

fn answer(system: &Deployment, call: &Call) -> Answer {
    let caller = agent(ANSWER_PATIENCE);
    let address = match call.to {
        To::Control => &system.controls()[1],
        To::Directory => &system.directories()[1],
        To::Readiness => &system.readiness()[0],
    };
    let answer = match call.to {
        To::Control => by_following(&caller, call.method, address, &call.path, &call.body),
        _ => by(&caller, call.method, address, &call.path, call.body.clone()),
    };
    answer.unwrap_or_else(|error| panic!("{call:?}: {error}"))
}

/// Guards against calls that are promised and not served.
#[test]
fn every_call_is_served_with_each_of_its_statuses() {
    let mut system = configured();
    system.wait_ready(PATIENCE).expect("edges are ready");
    let all = calls_of_tasks()
        .into_iter()
        .chain(calls_of_operators())
        .chain(calls_of_rollouts())
        .chain(calls_of_clients_and_engineers());
    let mut wrong = Vec::new();
    for call in all {
        let answer = answer(&system, &call);
        let has_field = call
            .field
            .is_none_or(|field| answer.json().is_ok_and(|body| !body[field].is_null()));
        if answer.status != call.status || !has_field {
            let (method, path, wanted) = (call.method, &call.path, call.status);
            let sent = String::from_utf8_lossy(&call.body).into_owned();
            let (status, body) = (answer.status, answer.body.trim());
            wrong.push(format!(
                "{method} {path} {sent}: {status} {body}, not {wanted}"
            ));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
