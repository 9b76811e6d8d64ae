//! The HTTP calls of tasks, operators and engineers on call.

mod configuration;
mod instances;
mod response;
mod status;

use std::sync::Arc;

use rouille::{Request, Response};

use crate::host::Host;

/// Answers one request on the `Control` address.
pub(crate) fn handle(host: &Arc<Host>, request: &Request) -> Response {
    let url = request.url();
    let segments: Vec<&str> = url.trim_matches('/').split('/').collect();
    let result = match (request.method(), segments.as_slice()) {
        ("PUT", ["v1", "instances", id]) => instances::heartbeat(host, id, request),
        ("DELETE", ["v1", "instances", id]) => instances::sign_off(host, id),
        ("PATCH", ["v1", "configuration"]) => configuration::patch(host, request),
        ("GET", ["v1", "configuration"]) => configuration::read_back(host),
        ("POST", ["v1", "evacuation", zone]) => configuration::evacuate(host, zone, true),
        ("DELETE", ["v1", "evacuation", zone]) => configuration::evacuate(host, zone, false),
        ("GET", ["v1", "counters"]) => Ok(status::counters(host)),
        ("GET", ["v1", "status"]) => Ok(status::status(host)),
        _ => Err(response::refused(404, "there is no such call")),
    };
    result.unwrap_or_else(|refusal| refusal)
}
