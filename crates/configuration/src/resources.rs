//! The operator's routes, services and limits, read from JSON with the keys of the control
//! protocol.

use serde::{Deserialize, Serialize};

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May be repeated.
    Idempotent,
    /// Must not be repeated once a task may have read it.
    NonIdempotent,
    /// A long body; must not be repeated.
    Upload,
}

/// A weighted part of a route's traffic.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Split {
    /// The service that it goes to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// In proportion to the other weights; at least 0.
    #[prost(double, tag = "2")]
    pub weight: f64,
}

/// Which requests go to which service, and how.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Route {
    /// Unique among routes.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The `Host` header that it matches.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The prefix of the path that it matches, beginning with `/`.
    #[prost(string, tag = "3")]
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent` or `upload`.
    #[prost(string, tag = "4")]
    pub route_kind: String,
    /// A request ends after this many seconds.
    #[prost(double, tag = "5")]
    pub timeout_s: f64,
    /// The latency target, in seconds.
    #[prost(double, tag = "6")]
    pub target_s: f64,
    /// Its rank when capacity is short: 0 is the highest.
    #[prost(uint32, tag = "7")]
    pub priority: u32,
    /// Where requests go, without `split`.
    #[prost(string, tag = "8")]
    pub service: String,
    /// Where requests go, by weight.
    #[prost(message, repeated, tag = "9")]
    pub split: Vec<Split>,
    /// How many tasks may work on one request at most.
    #[prost(uint32, tag = "10")]
    pub max_attempts: u32,
    /// Regions that requests should be sent to; empty for any.
    #[prost(string, repeated, tag = "11")]
    pub home_regions: Vec<String>,
}

impl Route {
    /// The kind; an unknown one is never repeated.
    pub fn kind(&self) -> RouteKind {
        match self.route_kind.as_str() {
            "idempotent" => RouteKind::Idempotent,
            "upload" => RouteKind::Upload,
            _ => RouteKind::NonIdempotent,
        }
    }

    /// Whether a request may be sent to a second task.
    pub fn is_idempotent(&self) -> bool {
        self.kind() == RouteKind::Idempotent
    }

    /// The services that it may send to, with their weights.
    pub fn services(&self) -> Vec<(&str, f64)> {
        if self.split.is_empty() {
            return vec![(self.service.as_str(), 1.0)];
        }
        self.split
            .iter()
            .map(|s| (s.service.as_str(), s.weight))
            .collect()
    }

    /// The service for a random number from 0 to 1.
    pub fn select_service(&self, random: f64) -> &str {
        let all = self.services();
        let mut left = random * all.iter().map(|s| s.1).sum::<f64>();
        for (service, weight) in &all {
            left -= weight;
            if left < 0.0 {
                return service;
            }
        }
        all.iter().rev().find(|s| s.1 > 0.0).map_or("", |s| s.0)
    }
}

/// A group of tasks that serve the same requests.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Service {
    /// Unique among services.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Path for health checks.
    #[prost(string, tag = "2")]
    pub health_path: String,
    /// Connections to one task at most, over all edges.
    #[prost(uint32, tag = "3")]
    pub max_conns: u32,
    /// `h1`.
    #[prost(string, tag = "4")]
    pub protocol: String,
    /// Whether tasks speak TLS.
    #[prost(bool, tag = "5")]
    pub tls: bool,
    /// How long a task warms up, in seconds.
    #[prost(double, tag = "6")]
    pub cold_start_s: f64,
    /// Requests a second that a warming task can take.
    #[prost(double, tag = "7")]
    pub cold_per_s: f64,
    /// Whether each key belongs to one task.
    #[prost(bool, tag = "8")]
    pub sharded: bool,
    /// How long a key that arrived without a handover is slow, in seconds.
    #[prost(double, tag = "9")]
    pub warmup_s: f64,
    /// How tasks learn of their keys: `heartbeat`.
    #[prost(string, tag = "10")]
    pub grants: String,
}

/// What clients may send.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    /// Longest header, in bytes.
    #[prost(uint64, tag = "1")]
    pub max_header_bytes: u64,
    /// Longest body, in bytes.
    #[prost(uint64, tag = "2")]
    pub max_body_bytes: u64,
    /// A header has to arrive within this many seconds.
    #[prost(double, tag = "3")]
    pub header_timeout_s: f64,
    /// A connection may be idle for this many seconds.
    #[prost(double, tag = "4")]
    pub idle_timeout_s: f64,
}
