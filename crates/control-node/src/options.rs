//! What a node is told at its start: the settings that it needs, and what its disk holds.

use lynxmill_configuration::{Bounds, Configuration, NodeSettings};
use lynxmill_consensus::Acceptor;
use lynxmill_protocol::{Membership, Task};
use lynxmill_storage::DiskContents;

/// The part of the settings that a node needs.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    /// This node's IPv4 address, its name among members.
    pub ip: String,
    /// `NodeName`, for edges and logs.
    pub name: String,
    /// Where it serves tasks and operators, as `IP:PORT`.
    pub control_address: String,
    /// All zones.
    pub zones: Vec<String>,
    /// IPv4 addresses of some members.
    pub seeds: Vec<String>,
    /// How many members there are to be.
    pub core_size: usize,
    /// Between two heartbeats of a task, in seconds.
    pub heartbeat_interval_s: f64,
    /// Figures of the rules.
    pub bounds: Bounds,
    /// The incarnation of this process; no other start of it has the same.
    pub incarnation: u64,
    /// The very first start of the whole system.
    pub bootstrap: bool,
}

impl NodeOptions {
    /// Takes the options from the settings file.
    pub fn new(settings: &NodeSettings, incarnation: u64) -> Self {
        NodeOptions {
            ip: settings.ip.clone(),
            name: settings.node_name.clone(),
            control_address: settings.listen().control,
            zones: settings.zones.keys().cloned().collect(),
            seeds: settings.seed_ips(),
            core_size: settings.core_size(),
            heartbeat_interval_s: settings.beat_interval_s,
            bounds: settings.bounds(),
            incarnation,
            bootstrap: settings.bootstrap,
        }
    }
}

/// What the node remembers from its former incarnations.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// Promises, accepted values and the membership.
    pub acceptor: Acceptor,
    /// The merged items.
    pub configuration: Configuration,
    /// The last change whose items are merged.
    pub merged: u64,
    /// Tasks as last known.
    pub tasks: Vec<Task>,
    /// Nothing was ever chosen: the seeds are the first members, which has to be stored.
    pub founded: bool,
}

impl StoredState {
    /// Takes the state from the disk. At the very first start a seed founds the core together with
    /// the others.
    pub fn new(held: DiskContents, options: &NodeOptions) -> Self {
        let registers = held
            .registers
            .into_iter()
            .map(|r| (r.name.clone(), r))
            .collect();
        let mut acceptor = Acceptor {
            ip: options.ip.clone(),
            incarnation: options.incarnation,
            members: held.members,
            catching_up: !held.is_voter,
            registers,
        };
        let founded = options.bootstrap
            && acceptor.members.ips.is_empty()
            && options.seeds.contains(&options.ip);
        if founded {
            acceptor.members = Membership {
                epoch: 1,
                ips: options.seeds.clone(),
            };
            acceptor.catching_up = false;
        }
        let (configuration, merged, tasks) = (held.configuration, held.merged, held.tasks);
        StoredState {
            acceptor,
            configuration,
            merged,
            tasks,
            founded,
        }
    }
}
