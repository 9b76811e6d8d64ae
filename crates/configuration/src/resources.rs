//! The operator's items, read from JSON as the pages write them.

use serde::{Deserialize, Serialize};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    Idempotent,
    NonIdempotent,
    Upload,
}

#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Split {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(double, tag = "2")]
    pub weight: f64,
}

/// A route; times in seconds.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Route {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub host: String,
    #[prost(string, tag = "3")]
    pub path_prefix: String,
    #[prost(string, tag = "4")]
    pub route_kind: String,
    #[prost(double, tag = "5")]
    pub timeout_s: f64,
    #[prost(double, tag = "6")]
    pub target_s: f64,
    #[prost(uint32, tag = "7")]
    pub priority: u32,
    #[prost(string, tag = "8")]
    pub service: String,
    #[prost(message, repeated, tag = "9")]
    pub split: Vec<Split>,
    #[prost(uint32, tag = "10")]
    pub max_attempts: u32,
    #[prost(string, repeated, tag = "11")]
    pub home_regions: Vec<String>,
}

impl Route {
    /// Whoever doesn't know a kind repeats nothing.
    pub fn kind(&self) -> RouteKind {
        match self.route_kind.as_str() {
            "idempotent" => RouteKind::Idempotent,
            "upload" => RouteKind::Upload,
            _ => RouteKind::NonIdempotent,
        }
    }

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

    /// The service for a number drawn from 0 to 1.
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

/// A service; times in seconds, `cold_per_s` in requests a second for a cold task.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Service {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub health_path: String,
    #[prost(uint32, tag = "3")]
    pub max_conns: u32,
    #[prost(string, tag = "4")]
    pub protocol: String,
    #[prost(bool, tag = "5")]
    pub tls: bool,
    #[prost(double, tag = "6")]
    pub cold_start_s: f64,
    #[prost(double, tag = "7")]
    pub cold_per_s: f64,
    #[prost(bool, tag = "8")]
    pub sharded: bool,
    #[prost(double, tag = "9")]
    pub warmup_s: f64,
    #[prost(string, tag = "10")]
    pub grants: String,
}

#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    #[prost(uint64, tag = "1")]
    pub max_header_bytes: u64,
    #[prost(uint64, tag = "2")]
    pub max_body_bytes: u64,
    #[prost(double, tag = "3")]
    pub header_timeout_s: f64,
    #[prost(double, tag = "4")]
    pub idle_timeout_s: f64,
}
