//! What a process is told by the settings file; fields that are not known are left alone.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Listen {
    #[prost(string, tag = "1")]
    pub front: String,
    #[prost(string, tag = "2")]
    pub readiness: String,
    #[prost(string, tag = "3")]
    pub control: String,
    #[prost(string, tag = "4")]
    pub directory: String,
}

/// What the machine grants a process.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct ResourceLimits {
    #[prost(double, tag = "1")]
    pub cpu_share: f64,
    #[prost(double, tag = "2")]
    pub memory_mb: f64,
    #[prost(uint64, tag = "3")]
    pub max_fds: u64,
    #[prost(double, tag = "4")]
    pub link_mbps: f64,
    #[prost(double, tag = "5")]
    pub disk_mb: f64,
}

#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FaultTolerance {
    #[prost(uint32, tag = "1")]
    pub machines: u32,
    #[prost(uint32, tag = "2")]
    pub zones: u32,
    #[prost(uint32, tag = "3")]
    pub regions: u32,
}

/// The rules' figures that a process goes by, in seconds where a name ends in `_s`.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    #[prost(double, tag = "1")]
    pub contact_s: f64,
    #[prost(double, tag = "2")]
    pub ack_s: f64,
    #[prost(double, tag = "3")]
    pub catch_up_s: f64,
    #[prost(double, tag = "4")]
    pub drain_s: f64,
    #[prost(double, tag = "5")]
    pub grace_s: f64,
    #[prost(double, tag = "6")]
    pub config_apply_s: f64,
    #[prost(double, tag = "7")]
    pub retry_ratio: f64,
    #[prost(double, tag = "8")]
    pub retry_window_s: f64,
    #[prost(double, tag = "9")]
    pub retry_slack: f64,
    #[prost(double, tag = "10")]
    pub cold_overshoot: f64,
    #[prost(double, tag = "11")]
    pub cold_slack: f64,
    #[prost(double, tag = "12")]
    pub evacuate_s: f64,
    #[prost(double, tag = "13")]
    pub max_hold_s: f64,
    #[prost(double, tag = "14")]
    pub thaw_s: f64,
    #[prost(double, tag = "15")]
    #[serde(rename = "ttl_max_s")]
    pub ttl_max_s: f64,
}

/// The settings file of a process.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct NodeSettings {
    #[prost(string, tag = "1")]
    pub node_name: String,
    #[prost(string, tag = "2")]
    pub role: String,
    #[prost(string, tag = "3")]
    pub machine_class: String,
    #[prost(string, repeated, tag = "4")]
    pub serves: Vec<String>,
    #[prost(string, tag = "5")]
    pub ip: String,
    #[prost(string, tag = "6")]
    pub zone: String,
    #[prost(string, tag = "7")]
    pub region: String,
    #[prost(map = "string, string", tag = "8")]
    pub zones: HashMap<String, String>,
    #[prost(message, optional, tag = "9")]
    pub listen_addrs: Option<Listen>,
    #[prost(uint32, repeated, tag = "10")]
    pub internal_ports: Vec<u32>,
    #[prost(string, repeated, tag = "11")]
    pub seed_nodes: Vec<String>,
    #[prost(bool, tag = "12")]
    pub bootstrap: bool,
    #[prost(bool, tag = "13")]
    pub quorum_member: bool,
    #[prost(message, optional, tag = "14")]
    pub limits: Option<ResourceLimits>,
    #[prost(string, optional, tag = "15")]
    pub data_path: Option<String>,
    #[prost(double, tag = "16")]
    pub beat_interval_s: f64,
    #[prost(message, optional, tag = "17")]
    pub fault_tolerance: Option<FaultTolerance>,
    #[prost(message, optional, tag = "18")]
    pub bounds: Option<Bounds>,
}

impl NodeSettings {
    pub fn listen(&self) -> Listen {
        self.listen_addrs.clone().unwrap_or_default()
    }

    pub fn resource_limits(&self) -> ResourceLimits {
        self.limits.clone().unwrap_or_default()
    }

    pub fn bounds(&self) -> Bounds {
        self.bounds.clone().unwrap_or_default()
    }

    /// The port on which members of the core take streams of other assigners.
    pub fn internal_port(&self) -> u16 {
        self.internal_ports.first().copied().unwrap_or_default() as u16
    }

    pub fn region_of(&self, zone: &str) -> &str {
        self.zones.get(zone).map_or("", String::as_str)
    }

    /// How many machines of the core there are to be.
    pub fn core_size(&self) -> usize {
        2 * self
            .fault_tolerance
            .as_ref()
            .map_or(1, |t| t.machines.max(1)) as usize
            + 1
    }

    /// The seeds' addresses without their ports.
    pub fn seed_ips(&self) -> Vec<String> {
        let ip = |a: &String| {
            a.rsplit_once(':')
                .map_or(a.as_str(), |(ip, _)| ip)
                .to_owned()
        };
        self.seed_nodes.iter().map(ip).collect()
    }

    /// All that is wrong with what it was told.
    pub fn errors(&self) -> Vec<&'static str> {
        let listen = self.listen();
        let serves = |what: &str| self.serves.iter().any(|s| s == what);
        let looks = [
            (self.node_name.is_empty(), "NodeName is empty"),
            (
                self.ip.parse::<std::net::Ipv4Addr>().is_err(),
                "Ip is no IPv4 address",
            ),
            (
                self.zone.is_empty() || !self.zones.contains_key(&self.zone),
                "Zone is not among Zones",
            ),
            (
                self.internal_ports.is_empty(),
                "InternalPorts names no port",
            ),
            (self.seed_nodes.is_empty(), "SeedNodes names nobody"),
            (
                serves("edge") && listen.front.is_empty(),
                "ListenAddrs.Front is missing",
            ),
            (
                serves("edge") && listen.readiness.is_empty(),
                "ListenAddrs.Readiness is missing",
            ),
            (
                serves("control") && listen.control.is_empty(),
                "ListenAddrs.Control is missing",
            ),
            (
                serves("directory") && listen.directory.is_empty(),
                "ListenAddrs.Directory is missing",
            ),
            (self.beat_interval_s <= 0.0, "BeatIntervalS is not above 0"),
        ];
        looks
            .into_iter()
            .filter(|(wrong, _)| *wrong)
            .map(|(_, what)| what)
            .collect()
    }
}

/// Reads and checks a settings file's text.
pub fn parse(text: &str) -> Result<NodeSettings, String> {
    let local: NodeSettings = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
    let faults = local.errors();
    if faults.is_empty() {
        Ok(local)
    } else {
        Err(faults.join("; "))
    }
}
