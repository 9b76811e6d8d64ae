//! Orders to bring new versions of services in, and how far they are.

use std::sync::Arc;

use lynxmill_configuration::{
    RolloutOrder, RolloutState, ServiceRollouts, ValidationError, finalize,
};
use lynxmill_control_node::{Answer, ControlRequest};
use lynxmill_http_server::{Request, Response, response};
use serde::{Deserialize, Serialize};

use super::answers::done_or_refused;
use super::configuration::order;
use crate::host::Host;

/// The longest term of a rollout, in seconds.
const MAX_DURATION_S: f64 = 30.0 * 24.0 * 3600.0;

/// The body of `POST /v1/rollouts`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RolloutBody {
    service: String,
    target_version: String,
    #[serde(rename = "DurationS")]
    duration_s: f64,
}

/// The body of the answer to `GET /v1/rollouts/SERVICE`.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RolloutStatus {
    state: &'static str,
    target_version: String,
}

/// Why an order can't be read.
#[derive(Debug, thiserror::Error)]
enum InvalidOrder {
    #[error("the order can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("{0} is empty")]
    Empty(&'static str),
    #[error("DurationS is {0}: it has to be above 0, and at most {MAX_DURATION_S}")]
    InvalidDuration(f64),
}

fn read(body: &[u8]) -> Result<RolloutOrder, InvalidOrder> {
    let body: RolloutBody = serde_json::from_slice(body)?;
    if body.service.is_empty() {
        return Err(InvalidOrder::Empty("Service"));
    }
    if body.target_version.is_empty() {
        return Err(InvalidOrder::Empty("TargetVersion"));
    }
    let duration_s = body.duration_s;
    if !(duration_s > 0.0 && duration_s <= MAX_DURATION_S) {
        return Err(InvalidOrder::InvalidDuration(duration_s));
    }
    Ok(RolloutOrder {
        service: body.service,
        target_version: body.target_version,
        duration_ms: (duration_s * 1000.0).ceil() as u64,
        base_versions: Vec::new(),
    })
}

/// `POST /v1/rollouts`: brings a new version of a service in.
pub(super) async fn start(host: &Arc<Host>, request: &Request) -> Response {
    let rollout = match read(request.body()) {
        Ok(rollout) => rollout,
        Err(error) => {
            host.count("rollouts-unreadable");
            log::info!("a rollout was refused: {error}");
            return response::error(400, error);
        }
    };
    let (caller, sent_after) = (request.caller(), request.sent_after());
    let (service, version) = (&rollout.service, &rollout.target_version);
    log::info!(
        "{caller} asks that version {version} of {service} be brought in, sent after change {sent_after}"
    );
    order(
        host,
        request,
        ControlRequest::Rollout(rollout),
        refusal_status,
    )
    .await
}

fn refusal_status(reason: &ValidationError) -> u16 {
    match reason {
        ValidationError::RolloutUnderWay(..) => 409,
        _ => 400,
    }
}

/// `GET /v1/rollouts/SERVICE`: how far the rollout of a service is.
pub(super) async fn show(host: &Arc<Host>, request: &Request, service: &str) -> Response {
    match host
        .call(ControlRequest::ReadBack, request.sent_after())
        .await
    {
        Answer::Configuration(newest) => match newest.rollouts(service) {
            Some(rollouts) => respond(host, &rollouts),
            None => response::error(404, format!("no version of {service} was ever brought in")),
        },
        other => done_or_refused(other, |_| 409),
    }
}

fn respond(host: &Arc<Host>, rollouts: &ServiceRollouts) -> Response {
    let current = rollouts.current();
    // The answer has room for one: where rollouts of one service overlap, each is shown by turns, drawn by lot so that
    // no caller always meets the same.
    let drawn = finalize(host.next_number());
    let Some(rollout) = current.get(drawn as usize % current.len().max(1)) else {
        return response::error(404, "no rollout is known");
    };
    let state = match rollout.state {
        RolloutState::InProgress => "in_progress",
        RolloutState::Completed => "completed",
        RolloutState::Reverted => "reverted",
    };
    let target_version = rollout.target_version.clone();
    response::json(
        200,
        &RolloutStatus {
            state,
            target_version,
        },
    )
}
