//! Heartbeats and sign-offs of tasks.

use std::sync::Arc;

use lynxmill_control_node::{Answer, ControlRequest, HeartbeatAnswer, InstanceHeartbeat};
use lynxmill_http_server::{Request, Response, response};
use lynxmill_placement::{Grant, HeldShard, ReleasedShard, TaskHoldings};
use lynxmill_protocol::{Task, TaskState};
use serde::{Deserialize, Serialize};

use super::answers::done_or_refused;
use crate::host::Host;

/// The longest warm-up that a task may announce, in seconds.
const MAX_WARM_UP_S: f64 = 3600.0;

/// What does not change while a task runs.
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

/// What changes while a task runs.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
    state: String,
    call_seq: u64,
    #[serde(default, rename = "ColdLeftS")]
    warm_up_left_s: f64,
}

/// The body of `PUT /v1/instances/ID`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HeartbeatBody {
    address: String,
    info: Info,
    status: Status,
    #[serde(default)]
    holdings: Vec<HeldRow>,
    #[serde(default)]
    released: Vec<ReleasedRow>,
}

/// From, to, generation.
#[derive(Deserialize)]
struct HeldRow(u32, u32, u64);

/// From, to, handover.
#[derive(Deserialize)]
struct ReleasedRow(u32, u32, String);

/// From, to, generation, handover.
#[derive(Serialize)]
struct GrantRow(u32, u32, u64, String);

/// The body of the answer to a heartbeat.
#[derive(Default, Serialize)]
#[serde(rename_all = "PascalCase")]
struct HeartbeatResponse {
    #[serde(skip_serializing_if = "Option::is_none")]
    beat_target: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    holdings: Option<Vec<GrantRow>>,
    #[serde(skip_serializing_if = "Option::is_none", rename = "HoldS")]
    lease_s: Option<f64>,
}

impl From<HeldRow> for HeldShard {
    fn from(HeldRow(from, to, generation): HeldRow) -> Self {
        HeldShard {
            from,
            to,
            generation,
        }
    }
}

impl From<ReleasedRow> for ReleasedShard {
    fn from(ReleasedRow(from, to, handover): ReleasedRow) -> Self {
        ReleasedShard { from, to, handover }
    }
}

impl From<Grant> for GrantRow {
    fn from(grant: Grant) -> Self {
        GrantRow(grant.from, grant.to, grant.generation, grant.handover)
    }
}

impl From<HeartbeatAnswer> for HeartbeatResponse {
    fn from(answer: HeartbeatAnswer) -> Self {
        let lease_s = answer.holdings.as_ref().map(|granted| granted.lease_s);
        let holdings = answer
            .holdings
            .map(|granted| granted.grants.into_iter().map(GrantRow::from).collect());
        HeartbeatResponse {
            beat_target: answer.beat_target,
            holdings,
            lease_s,
        }
    }
}

impl HeartbeatBody {
    fn into_heartbeat(self, id: &str) -> InstanceHeartbeat {
        let state = if self.status.state == "ready" {
            TaskState::Ready
        } else {
            TaskState::Draining
        };
        let warm_up_left_s = self.status.warm_up_left_s.clamp(0.0, MAX_WARM_UP_S);
        let task = Task {
            id: id.to_owned(),
            service: self.info.service,
            address: self.address,
            zone: self.info.zone,
            slots: self.info.slots,
            state: state as i32,
            call_seq: self.status.call_seq,
            warm_up_left_ms: (warm_up_left_s * 1000.0) as u32,
            timed_out: false,
            version: self.info.version,
        };
        let holdings = TaskHoldings {
            id: id.to_owned(),
            held: self.holdings.into_iter().map(HeldShard::from).collect(),
            released: self.released.into_iter().map(ReleasedShard::from).collect(),
        };
        InstanceHeartbeat { task, holdings }
    }
}

fn respond(id: &str, answer: Answer) -> Response {
    match answer {
        Answer::Redirect(control) => {
            let location = format!("http://{control}/v1/instances/{id}");
            response::redirect(&location)
        }
        Answer::Heartbeat(answer) => response::json(200, &HeartbeatResponse::from(answer)),
        other => done_or_refused(other, |_| 409),
    }
}

/// `PUT /v1/instances/ID`: a task's heartbeat.
pub(super) async fn heartbeat(host: &Arc<Host>, id: &str, request: &Request) -> Response {
    let body: HeartbeatBody = match serde_json::from_slice(request.body()) {
        Ok(body) => body,
        Err(error) => return response::error(400, error),
    };
    let heartbeat = body.into_heartbeat(id);
    let sent_after = request.sent_after();
    respond(
        id,
        host.call(ControlRequest::Heartbeat(heartbeat), sent_after)
            .await,
    )
}

/// `DELETE /v1/instances/ID`: a task signs off.
pub(super) async fn sign_off(host: &Arc<Host>, id: &str, request: &Request) -> Response {
    let sign_off = ControlRequest::SignOff(id.to_owned());
    respond(id, host.call(sign_off, request.sent_after()).await)
}
