//! Orders of the operator: configuration and evacuations.

use std::sync::Arc;
use std::time::Duration;

use lynxmill_configuration::ConfigurationChange;
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
    let answer = order(host, ControlRequest::Change(change)).await;
    done_or_refused(answer, 400)
}

/// `GET /v1/configuration`: the newest configuration.
pub(super) async fn read_back(host: &Arc<Host>) -> Response {
    match host.call(ControlRequest::ReadBack).await {
        Answer::Configuration(newest) => {
            let body = newest.read_back().to_string();
            response::json_text(body)
        }
        other => done_or_refused(other, 409),
    }
}

/// `POST` and `DELETE /v1/evacuation/ZONE`: empties a zone, or takes it back.
pub(super) async fn evacuate(host: &Arc<Host>, zone: &str, on: bool) -> Response {
    if !host.settings.zones.contains_key(zone) {
        return response::error(404, format!("zone {zone} is not known"));
    }
    let zone = zone.to_owned();
    let answer = order(host, ControlRequest::Evacuate { zone, on }).await;
    done_or_refused(answer, 409)
}

/// Carries out an order that its caller still waits for.
async fn order(host: &Arc<Host>, request: ControlRequest) -> Answer {
    sleep(ABANDONMENT_CHECK).await;
    host.call(request).await
}
