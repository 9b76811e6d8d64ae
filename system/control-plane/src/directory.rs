//! Where clients go: edges that are ready, near ones first.

use std::sync::Arc;

use rouille::{Request, Response};
use serde::Serialize;

use crate::port::{ControlPlane, lock};

/// Addresses told at most.
const MOST: usize = 64;
/// Seconds that an answer holds.
const TTL: f64 = 5.0;

/// `GET /v1/resolve?Name&Region&Zone`: 200 with the addresses, or 503 while no edge is ready.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Resolved {
    addresses: Vec<String>,
    ttl_s: f64,
}

pub fn handle(port: &Arc<ControlPlane>, request: &Request) -> Response {
    if request.method() != "GET" || request.url() != "/v1/resolve" {
        return Response::empty_404();
    }
    let (zone, region) = (request.get_param("Zone"), request.get_param("Region"));
    let edges = lock(&port.edges);
    let ready: Vec<_> = edges.streams.values().filter(|edge| edge.ready).map(|edge| &edge.hello).collect();
    let near = |fits: &dyn Fn(&lynxmill_protocol::Hello) -> bool| -> Vec<String> {
        ready.iter().filter(|hello| fits(hello)).map(|hello| hello.front.clone()).collect()
    };
    let mut addresses = near(&|hello| Some(&hello.zone) == zone.as_ref());
    if addresses.is_empty() {
        addresses = near(&|hello| Some(&hello.region) == region.as_ref());
    }
    if addresses.is_empty() {
        addresses = near(&|_| true);
    }
    drop(edges);
    addresses.truncate(MOST);
    port.count("resolved");
    if addresses.is_empty() || port.leaving() {
        return Response::text("no edge is ready\n").with_status_code(503);
    }
    let bounds = port.local.bounds();
    let ttl_s = if bounds.ttl_max_s > 0.0 { TTL.min(bounds.ttl_max_s) } else { TTL };
    Response::json(&Resolved { addresses, ttl_s })
}
