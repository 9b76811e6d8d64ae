//! Where clients go: edges that are ready, near ones first.

use std::sync::Arc;

use rouille::{Request, Response};
use serde::Serialize;

use crate::host::Host;

/// `GET /v1/resolve?Name&Region&Zone`: 200 with the addresses, or 503 while no edge is ready.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Resolved {
    addresses: Vec<String>,
    ttl_s: f64,
}

pub(crate) fn handle(host: &Arc<Host>, request: &Request) -> Response {
    if request.method() != "GET" || request.url() != "/v1/resolve" {
        return Response::empty_404();
    }
    let (zone, region) = (request.get_param("Zone"), request.get_param("Region"));
    host.count("resolved");
    let (addresses, ttl_s) =
        host.with_node(|now, node| node.resolve(now, zone.as_deref(), region.as_deref()));
    if addresses.is_empty() {
        return Response::text("no edge is ready\n").with_status_code(503);
    }
    Response::json(&Resolved { addresses, ttl_s })
}
