//! The call by which a task says that it is there, and its answer, as JSON.

use serde::{Deserialize, Serialize};

/// Keys that a task holds: from, to, fence.
pub type Row = (u32, u32, u64);
/// Keys that a task has let go: from, to, handover.
pub type ReleasedRow = (u32, u32, String);
/// Keys that a task is to hold: from, to, fence, handover.
pub type GrantRow = (u32, u32, u64, String);

/// What does not change while a task runs.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Info<'a> {
    /// Its service.
    pub service: &'a str,
    /// The version of its software.
    pub version: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// How many requests it works on at once.
    pub slots: u32,
}

/// What changes while a task runs.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Status {
    /// `ready` or `draining`.
    pub state: &'static str,
    /// Rises with each call.
    pub call_seq: u64,
    /// How much longer it is slow from its start, in seconds.
    pub cold_left_s: f64,
}

/// The body of `PUT /v1/instances/ID`.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatBody<'a> {
    /// Where it takes requests, as `IP:PORT`.
    pub address: &'a str,
    /// What does not change.
    pub info: Info<'a>,
    /// What changes.
    pub status: Status,
    /// What it holds or still works on.
    pub holdings: Vec<Row>,
    /// What it has let go since its last acknowledged call.
    pub released: Vec<ReleasedRow>,
}

/// The answer.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct HeartbeatAnswer {
    /// Where later calls are to go.
    pub beat_target: Option<String>,
    /// All that it is to hold.
    pub holdings: Option<Vec<GrantRow>>,
    /// For how long, in seconds from when the call was sent.
    pub hold_s: Option<f64>,
}
