//! What a process is told by the settings file; fields that are not known are left alone.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Addresses to listen on, as `IP:PORT`; empty if the role does not serve them.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Listen {
    /// Clients.
    #[prost(string, tag = "1")]
    pub front: String,
    /// Health checks of this process.
    #[prost(string, tag = "2")]
    pub readiness: String,
    /// Tasks and operators.
    #[prost(string, tag = "3")]
    pub control: String,
    /// Clients that ask where to go.
    #[prost(string, tag = "4")]
    pub directory: String,
}

/// Resources of the machine.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct ResourceLimits {
    /// Share of a core.
    #[prost(double, tag = "1")]
    pub cpu_share: f64,
    /// Memory in MB.
    #[prost(double, tag = "2")]
    pub memory_mb: f64,
    /// File descriptors.
    #[prost(uint64, tag = "3")]
    pub max_fds: u64,
    /// Bandwidth in Mbit/s.
    #[prost(double, tag = "4")]
    pub link_mbps: f64,
    /// Disk in MB.
    #[prost(double, tag = "5")]
    pub disk_mb: f64,
}

/// What may be lost at once with all rules kept.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FaultTolerance {
    /// Members of the core.
    #[prost(uint32, tag = "1")]
    pub machines: u32,
    /// Whole zones.
    #[prost(uint32, tag = "2")]
    pub zones: u32,
    /// Whole regions.
    #[prost(uint32, tag = "3")]
    pub regions: u32,
}

/// The rules' figures that a process goes by, in seconds where a name ends in `_s`.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    /// Without contact for this many seconds, a machine counts as cut off.
    #[prost(double, tag = "1")]
    pub contact_s: f64,
    /// An order has to be acknowledged within this many seconds.
    #[prost(double, tag = "2")]
    pub ack_s: f64,
    /// A machine that is back counts as lost for this many seconds more.
    #[prost(double, tag = "3")]
    pub catch_up_s: f64,
    /// A draining task serves on for this many seconds.
    #[prost(double, tag = "4")]
    pub drain_s: f64,
    /// A process that is told to end has this many seconds.
    #[prost(double, tag = "5")]
    pub grace_s: f64,
    /// A configuration is in force this many seconds after its acknowledgement.
    #[prost(double, tag = "6")]
    pub config_apply_s: f64,
    /// Retries and hedged requests as a share of all requests, at most.
    #[prost(double, tag = "7")]
    pub retry_ratio: f64,
    /// The time over which that share is measured, in seconds.
    #[prost(double, tag = "8")]
    pub retry_window_s: f64,
    /// Retries beyond that share.
    #[prost(double, tag = "9")]
    pub retry_slack: f64,
    /// By what factor a warming task's rate may be exceeded.
    #[prost(double, tag = "10")]
    pub cold_overshoot: f64,
    /// Requests beyond that factor.
    #[prost(double, tag = "11")]
    pub cold_slack: f64,
    /// An evacuated zone has to be empty after this many seconds.
    #[prost(double, tag = "12")]
    pub evacuate_s: f64,
    /// The longest lease of a task on its keys, in seconds.
    #[prost(double, tag = "13")]
    pub max_hold_s: f64,
    /// Grants that arrive within this many seconds after their sender was frozen do not count.
    #[prost(double, tag = "14")]
    pub thaw_s: f64,
    /// The longest time to live of an answer of the directory, in seconds.
    #[prost(double, tag = "15")]
    #[serde(rename = "ttl_max_s")]
    pub ttl_max_s: f64,
    /// The share of a service's requests that a bad version may get between its order and its term.
    #[prost(double, tag = "16")]
    pub exposure_share: f64,
    /// Requests beyond that share.
    #[prost(double, tag = "17")]
    pub exposure_slack: f64,
}

/// The settings file of a process.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct NodeSettings {
    /// Unique name of the machine.
    #[prost(string, tag = "1")]
    pub node_name: String,
    /// The role of `deploy/system.toml`.
    #[prost(string, tag = "2")]
    pub role: String,
    /// `edge` or `core`.
    #[prost(string, tag = "3")]
    pub machine_class: String,
    /// `edge`, `control`, `directory`.
    #[prost(string, repeated, tag = "4")]
    pub serves: Vec<String>,
    /// IPv4 address of the machine.
    #[prost(string, tag = "5")]
    pub ip: String,
    /// The zone of the machine.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// The region of the machine.
    #[prost(string, tag = "7")]
    pub region: String,
    /// The region of each zone.
    #[prost(map = "string, string", tag = "8")]
    pub zones: HashMap<String, String>,
    /// Addresses to listen on.
    #[prost(message, optional, tag = "9")]
    pub listen_addrs: Option<Listen>,
    /// The first and the last port for messages between assigners.
    #[prost(uint32, repeated, tag = "10")]
    pub internal_ports: Vec<u32>,
    /// `Control` addresses of some members, as `IP:PORT`.
    #[prost(string, repeated, tag = "11")]
    pub seed_nodes: Vec<String>,
    /// The very first start of the whole system.
    #[prost(bool, tag = "12")]
    pub bootstrap: bool,
    /// Whether the machine is a member of the core.
    #[prost(bool, tag = "13")]
    pub quorum_member: bool,
    /// Resources of the machine.
    #[prost(message, optional, tag = "14")]
    pub limits: Option<ResourceLimits>,
    /// The folder for the database; none without a disk.
    #[prost(string, optional, tag = "15")]
    pub data_path: Option<String>,
    /// Between two heartbeats of a task, in seconds.
    #[prost(double, tag = "16")]
    pub beat_interval_s: f64,
    /// What may be lost at once.
    #[prost(message, optional, tag = "17")]
    pub fault_tolerance: Option<FaultTolerance>,
    /// Figures of the rules.
    #[prost(message, optional, tag = "18")]
    pub bounds: Option<Bounds>,
}

impl NodeSettings {
    /// The addresses, empty if there are none.
    pub fn listen(&self) -> Listen {
        self.listen_addrs.clone().unwrap_or_default()
    }

    /// The resources, zero if there are none.
    pub fn resource_limits(&self) -> ResourceLimits {
        self.limits.clone().unwrap_or_default()
    }

    /// The figures, zero if there are none.
    pub fn bounds(&self) -> Bounds {
        self.bounds.clone().unwrap_or_default()
    }

    /// The port on which members of the core take streams of other assigners.
    pub fn internal_port(&self) -> u16 {
        self.internal_ports.first().copied().unwrap_or_default() as u16
    }

    /// The region of a zone; empty if the zone is not known.
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
///
/// # Errors
///
/// The errors of the file, in one line.
pub fn parse(text: &str) -> Result<NodeSettings, String> {
    let local: NodeSettings = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
    let faults = local.errors();
    if faults.is_empty() {
        Ok(local)
    } else {
        Err(faults.join("; "))
    }
}
