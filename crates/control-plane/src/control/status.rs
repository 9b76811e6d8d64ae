//! What engineers on call ask a node: its counters and its state.

use std::sync::Arc;

use lynxmill_control_node::NodeReport;
use lynxmill_http_server::{Response, response};
use serde::Serialize;

use crate::host::Host;

/// `GET /v1/counters`: the counters of this process.
pub(super) fn counters(host: &Arc<Host>) -> Response {
    response::json(200, &host.counters())
}

/// How far a snapshot is.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct SnapshotStatus {
    from: String,
    items: usize,
    items_left: usize,
}

/// The body of the answer to `GET /v1/status`.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct NodeStatus {
    in_contact: bool,
    synchronized: bool,
    is_voter: bool,
    storage_failed: bool,
    leaving: bool,
    epoch: u64,
    members: Vec<String>,
    merged: u64,
    pending_changes: usize,
    pending_bytes: usize,
    catching_up: Option<SnapshotStatus>,
    held_leases: Vec<String>,
    evacuated_zones: Vec<String>,
}

impl From<NodeReport> for NodeStatus {
    fn from(report: NodeReport) -> Self {
        let progress = report.catching_up.map(|progress| SnapshotStatus {
            from: progress.from,
            items: progress.items,
            items_left: progress.items_left,
        });
        NodeStatus {
            in_contact: report.in_contact,
            synchronized: report.synchronized,
            is_voter: report.is_voter,
            storage_failed: report.storage_failed,
            leaving: report.leaving,
            epoch: report.members.epoch,
            members: report.members.ips,
            merged: report.merged,
            pending_changes: report.pending_changes.0,
            pending_bytes: report.pending_changes.1,
            catching_up: progress,
            held_leases: report.held_leases,
            evacuated_zones: report.evacuated_zones,
        }
    }
}

/// `GET /v1/status`: how this node stands.
pub(super) fn status(host: &Arc<Host>) -> Response {
    let report = host.with_node(|now, node| node.report(now));
    response::json(200, &NodeStatus::from(report))
}
