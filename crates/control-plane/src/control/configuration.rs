//! Orders of the operator: configuration and evacuations.

use std::sync::Arc;
use std::time::Duration;

use lynxmill_configuration::{ConfigurationChange, ValidationError};
use lynxmill_control_node::{Answer, ControlRequest};
use lynxmill_http_server::{Request, Response, response};
use tokio::time::sleep;

use super::answers::done_or_refused;
use crate::host::Host;

/// An order waits for so long before it is begun. Where the network held an order up until its caller gave it up, the end
/// of the connection follows within a round trip, and the server drops the call.
const ABANDONMENT_CHECK: Duration = Duration::from_millis(100);

/// `PATCH /v1/configuration`: sets and removes items.
pub(super) async fn patch(host: &Arc<Host>, request: &Request) -> Response {
    let change = match ConfigurationChange::read(request.body()) {
        Ok(change) => change,
        Err(error) => {
            host.count("changes-unreadable");
            log::info!("a change was refused: {error}");
            return response::error(400, error);
        }
    };
    order(host, request, ControlRequest::Change(change), |_| 400).await
}

/// `GET /v1/configuration`: the newest configuration.
pub(super) async fn read_back(host: &Arc<Host>, request: &Request) -> Response {
    let read_back = ControlRequest::ReadBack;
    match host.call(read_back, request.sent_after()).await {
        Answer::Configuration(newest) => {
            let body = newest.read_back().to_string();
            response::json_text(body)
        }
        other => done_or_refused(other, |_| 409),
    }
}

/// `POST` and `DELETE /v1/evacuation/ZONE`: empties a zone, or takes it back.
pub(super) async fn evacuate(
    host: &Arc<Host>,
    request: &Request,
    zone: &str,
    on: bool,
) -> Response {
    if !host.settings.zones.contains_key(zone) {
        return response::error(404, format!("zone {zone} is not known"));
    }
    let what = if on { "be evacuated" } else { "be taken back" };
    let (caller, sent_after) = (request.caller(), request.sent_after());
    log::info!("{caller} asks that zone {zone} {what}, sent after change {sent_after}");
    let zone = zone.to_owned();
    order(host, request, ControlRequest::Evacuate { zone, on }, |_| {
        409
    })
    .await
}

/// Carries out an order that its caller still waits for; `refusal` tells the status of a refused one. One that was overtaken
/// is to be sent again, here.
pub(super) async fn order(
    host: &Arc<Host>,
    request: &Request,
    order: ControlRequest,
    refusal: impl FnOnce(&ValidationError) -> u16,
) -> Response {
    sleep(ABANDONMENT_CHECK).await;
    match host.call(order, request.sent_after()).await {
        Answer::Outdated => {
            let control = &host.settings.listen().control;
            response::redirect(&format!("http://{control}{}", request.encoded_path()))
        }
        other => done_or_refused(other, refusal),
    }
}
