//! Orders of the operator: configuration and evacuations.

use std::sync::Arc;

use lynxmill_configuration::ConfigurationChange;
use lynxmill_control_node::{Answer, ControlRequest};
use rouille::{Request, Response};

use super::response::{done_or_refused, read_body, refused};
use crate::host::Host;

/// `PATCH /v1/configuration`: sets and removes items.
pub(super) fn patch(host: &Arc<Host>, request: &Request) -> Result<Response, Response> {
    let bytes = read_body(request)?;
    let change = ConfigurationChange::read(&bytes).map_err(|error| {
        host.count("changes-unreadable");
        log::info!("a change was refused: {error}");
        refused(400, error)
    })?;
    done_or_refused(host.call(ControlRequest::Change(change)), 400)
}

/// `GET /v1/configuration`: the newest configuration.
pub(super) fn read_back(host: &Arc<Host>) -> Result<Response, Response> {
    match host.call(ControlRequest::ReadBack) {
        Answer::Configuration(newest) => {
            let body = newest.read_back().to_string();
            Ok(Response::from_data("application/json", body))
        }
        other => done_or_refused(other, 409),
    }
}

/// `POST` and `DELETE /v1/evacuation/ZONE`: empties a zone, or takes it back.
pub(super) fn evacuate(host: &Arc<Host>, zone: &str, on: bool) -> Result<Response, Response> {
    if !host.settings.zones.contains_key(zone) {
        return Err(refused(404, format!("zone {zone} is not known")));
    }
    let zone = zone.to_owned();
    done_or_refused(host.call(ControlRequest::Evacuate { zone, on }), 409)
}
