//! Where clients go: edges that are ready, near ones first.

use std::sync::Arc;

use lynxmill_http_server::{Request, Response, response};
use serde::Serialize;

use crate::host::Host;

/// `GET /v1/resolve?Name&Region&Zone`: 200 with the addresses, or 503 while no edge is ready.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Resolved {
    addresses: Vec<String>,
    ttl_s: f64,
}

pub(crate) async fn handle(host: Arc<Host>, request: Request) -> Response {
    if request.method() != "GET" || request.path() != "/v1/resolve" {
        return response::empty(404);
    }
    let (zone, region) = (request.parameter("Zone"), request.parameter("Region"));
    host.count("resolved");
    let (addresses, ttl_s) =
        host.with_node(|now, node| node.resolve(now, zone.as_deref(), region.as_deref()));
    if addresses.is_empty() {
        return response::text(503, "no edge is ready\n");
    }
    response::json(200, &Resolved { addresses, ttl_s })
}
