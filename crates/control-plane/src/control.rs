//! Calls of tasks and operators, each declared beside its handler.

use std::io::Read;
use std::sync::Arc;

use lynxmill_configuration::{ConfigurationChange, ValidationError};
use lynxmill_control_node::{
    Answer, ControlRequest, HeartbeatAnswer, InstanceHeartbeat, NodeReport, Unavailable,
};
use lynxmill_placement::Told;
use lynxmill_protocol::{Task, TaskState};
use rouille::{Request, Response};
use serde::{Deserialize, Serialize};

use crate::host::Host;

/// The longest body that is read, in bytes.
const LONGEST: u64 = 16 << 20;
/// The longest time that a task may say it stays cold, in seconds.
const LONGEST_COLD_S: f64 = 3600.0;

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Refused {
    error: String,
}

fn refused(status: u16, error: impl ToString) -> Response {
    Response::json(&Refused {
        error: error.to_string(),
    })
    .with_status_code(status)
}

fn unavailable(why: Unavailable) -> Response {
    refused(503, why)
}

/// Answers that say no more than that it was done, or not.
fn plain(answer: Answer, refusal: u16) -> Result<Response, Response> {
    match answer {
        Answer::Refused(why) => Err(refused(refusal, why)),
        Answer::Unavailable(why) => Err(unavailable(why)),
        _ => Ok(Response::json(&serde_json::json!({}))),
    }
}

fn body(request: &Request) -> Result<Vec<u8>, Response> {
    let length = request
        .header("Content-Length")
        .and_then(|v| v.parse::<usize>().ok());
    let mut bytes = Vec::new();
    let Some(reader) = request.data() else {
        return Err(refused(400, "the body has been read"));
    };
    if reader.take(LONGEST + 1).read_to_end(&mut bytes).is_err() {
        return Err(refused(400, "the body can't be read in full"));
    }
    if bytes.len() as u64 > LONGEST {
        return Err(refused(413, "the body is too long"));
    }
    if length.is_some_and(|length| length != bytes.len()) {
        return Err(refused(400, "the body is cut short"));
    }
    Ok(bytes)
}

// --- tasks ---

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Info {
    service: String,
    zone: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    slots: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
    state: String,
    call_seq: u64,
    #[serde(default)]
    cold_left_s: f64,
}

/// `PUT /v1/instances/ID`: a task's beat.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Beat {
    address: String,
    info: Info,
    status: Status,
    /// From, to, fence.
    #[serde(default)]
    holdings: Vec<(u32, u32, u64)>,
    /// From, to, handover.
    #[serde(default)]
    released: Vec<(u32, u32, String)>,
}

/// Its answer; `Holdings` are from, to, fence, handover.
#[derive(Default, Serialize)]
#[serde(rename_all = "PascalCase")]
struct BeatAnswer {
    #[serde(skip_serializing_if = "Option::is_none")]
    beat_target: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    holdings: Option<Vec<(u32, u32, u64, String)>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hold_s: Option<f64>,
}

impl From<HeartbeatAnswer> for BeatAnswer {
    fn from(answer: HeartbeatAnswer) -> Self {
        let HeartbeatAnswer {
            beat_target,
            holdings,
        } = answer;
        let (grants, hold_s) = holdings.unzip();
        let row = |g: lynxmill_placement::Grant| (g.from, g.to, g.fence, g.handover);
        let holdings = grants.map(|grants| grants.into_iter().map(row).collect());
        BeatAnswer {
            beat_target,
            holdings,
            hold_s,
        }
    }
}

fn beat_answered(id: &str, answer: Answer) -> Result<Response, Response> {
    match answer {
        Answer::Redirect(control) => {
            let location = format!("http://{control}/v1/instances/{id}");
            Ok(Response::empty_204()
                .with_status_code(307)
                .with_additional_header("Location", location))
        }
        Answer::Heartbeat(answer) => Ok(Response::json(&BeatAnswer::from(answer))),
        other => plain(other, 409),
    }
}

fn beat(host: &Arc<Host>, id: &str, request: &Request) -> Result<Response, Response> {
    let bytes = body(request)?;
    let beat: Beat = serde_json::from_slice(&bytes).map_err(|e| refused(400, e))?;
    let leaving = beat.status.state != "ready";
    let task = Task {
        id: id.to_owned(),
        service: beat.info.service,
        address: beat.address,
        zone: beat.info.zone,
        slots: beat.info.slots,
        state: if leaving {
            TaskState::Draining as i32
        } else {
            TaskState::Ready as i32
        },
        call_seq: beat.status.call_seq,
        warm_up_left_ms: (beat.status.cold_left_s.clamp(0.0, LONGEST_COLD_S) * 1000.0) as u32,
        timed_out: false,
        version: beat.info.version,
    };
    let holdings = Told {
        id: id.to_owned(),
        holdings: beat.holdings,
        released: beat.released,
    };
    beat_answered(
        id,
        host.call(ControlRequest::Heartbeat(InstanceHeartbeat {
            task,
            holdings,
        })),
    )
}

/// `DELETE /v1/instances/ID`: a task signs off.
fn sign_off(host: &Arc<Host>, id: &str) -> Result<Response, Response> {
    beat_answered(id, host.call(ControlRequest::SignOff(id.to_owned())))
}

// --- the operator ---

/// `PATCH /v1/configuration`.
fn patch(host: &Arc<Host>, request: &Request) -> Result<Response, Response> {
    let bytes = body(request)?;
    let change = ConfigurationChange::read(&bytes).map_err(|fault: ValidationError| {
        host.count("changes-unreadable");
        log::info!("a change was refused: {fault}");
        refused(400, fault)
    })?;
    plain(host.call(ControlRequest::Change(change)), 400)
}

/// `GET /v1/configuration`.
fn read_back(host: &Arc<Host>) -> Result<Response, Response> {
    match host.call(ControlRequest::ReadBack) {
        Answer::Configuration(newest) => Ok(Response::from_data(
            "application/json",
            newest.read_back().to_string(),
        )),
        other => plain(other, 409),
    }
}

/// `POST` and `DELETE /v1/evacuation/ZONE`.
fn evacuate(host: &Arc<Host>, zone: &str, on: bool) -> Result<Response, Response> {
    if !host.settings.zones.contains_key(zone) {
        return Err(refused(404, format!("zone {zone} is not known")));
    }
    plain(
        host.call(ControlRequest::Evacuate {
            zone: zone.to_owned(),
            on,
        }),
        409,
    )
}

// --- for those on call ---

/// `GET /v1/counters`: what this process has counted.
fn counters(host: &Arc<Host>) -> Response {
    Response::from_data(
        "application/json",
        serde_json::json!(host.counters()).to_string(),
    )
}

/// How far a snapshot is.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct SnapshotProgress {
    from: String,
    items: usize,
    items_left: usize,
}

/// `GET /v1/status`: how this node stands.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct NodeStatus {
    in_contact: bool,
    synchronized: bool,
    is_voter: bool,
    storage_failed: bool,
    leaving: bool,
    epoch: u64,
    members: Vec<String>,
    merged: u64,
    pending_changes: usize,
    pending_bytes: usize,
    catching_up: Option<SnapshotProgress>,
}

impl From<NodeReport> for NodeStatus {
    fn from(report: NodeReport) -> Self {
        let progress = report.catching_up.map(|progress| SnapshotProgress {
            from: progress.from,
            items: progress.items,
            items_left: progress.items_left,
        });
        NodeStatus {
            in_contact: report.in_contact,
            synchronized: report.synchronized,
            is_voter: report.is_voter,
            storage_failed: report.storage_failed,
            leaving: report.leaving,
            epoch: report.members.epoch,
            members: report.members.ips,
            merged: report.merged,
            pending_changes: report.pending_changes.0,
            pending_bytes: report.pending_changes.1,
            catching_up: progress,
        }
    }
}

fn status(host: &Arc<Host>) -> Response {
    Response::json(&NodeStatus::from(
        host.with_node(|now, node| node.report(now)),
    ))
}

pub fn handle(host: &Arc<Host>, request: &Request) -> Response {
    let url = request.url();
    let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
    let answer = match (request.method(), parts.as_slice()) {
        ("PUT", ["v1", "instances", id]) => beat(host, id, request),
        ("DELETE", ["v1", "instances", id]) => sign_off(host, id),
        ("PATCH", ["v1", "configuration"]) => patch(host, request),
        ("GET", ["v1", "configuration"]) => read_back(host),
        ("POST", ["v1", "evacuation", zone]) => evacuate(host, zone, true),
        ("DELETE", ["v1", "evacuation", zone]) => evacuate(host, zone, false),
        ("GET", ["v1", "counters"]) => Ok(counters(host)),
        ("GET", ["v1", "status"]) => Ok(status(host)),
        _ => Err(refused(404, "there is no such call")),
    };
    answer.unwrap_or_else(|refusal| refusal)
}
