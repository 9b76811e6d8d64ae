//! The HTTP calls of tasks, operators and engineers on call.

mod answers;
mod configuration;
mod instances;
mod rollouts;
mod status;

use std::sync::Arc;

use lynxmill_http_server::{Request, Response, response};

use crate::host::Host;

/// Answers one request on the `Control` address.
pub(crate) async fn handle(host: Arc<Host>, request: Request) -> Response {
    let host = &host;
    let path = request.path();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        ("PUT", ["v1", "instances", id]) => instances::heartbeat(host, id, &request).await,
        ("DELETE", ["v1", "instances", id]) => instances::sign_off(host, id, &request).await,
        ("PATCH", ["v1", "configuration"]) => configuration::patch(host, &request).await,
        ("GET", ["v1", "configuration"]) => configuration::read_back(host, &request).await,
        ("POST", ["v1", "evacuation", zone]) => {
            configuration::evacuate(host, &request, zone, true).await
        }
        ("DELETE", ["v1", "evacuation", zone]) => {
            configuration::evacuate(host, &request, zone, false).await
        }
        ("POST", ["v1", "rollouts"]) => rollouts::start(host, &request).await,
        ("GET", ["v1", "rollouts", service]) => rollouts::show(host, &request, service).await,
        ("GET", ["v1", "counters"]) => status::counters(host),
        ("GET", ["v1", "status"]) => status::status(host),
        _ => unknown_call(host, &request),
    }
}

/// A call that this version does not serve: its caller may speak for a later one.
fn unknown_call(host: &Arc<Host>, request: &Request) -> Response {
    let (caller, method, path) = (request.caller(), request.method(), request.path());
    host.count("calls-unknown");
    log::warn!("{caller} makes a call that is not served: {method} {path}");
    response::error(404, "there is no such call")
}
