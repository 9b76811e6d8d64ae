//! What a node is told at its start.

use lynxmill_configuration::{Bounds, Configuration, NodeSettings};
use lynxmill_consensus::Acceptor;
use lynxmill_protocol::{Membership, Task};
use lynxmill_storage::DiskContents;

/// The part of the settings that a node goes by.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    pub ip: String,
    pub name: String,
    pub control_address: String,
    pub zones: Vec<String>,
    pub seeds: Vec<String>,
    /// How many members there are to be.
    pub core_size: usize,
    pub heartbeat_interval_s: f64,
    pub bounds: Bounds,
    /// A number of this life of its process, which no other life of it has.
    pub incarnation: u64,
    /// The very first start of the whole system.
    pub bootstrap: bool,
}

impl NodeOptions {
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

/// What was on disk at the start.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    pub acceptor: Acceptor,
    pub configuration: Configuration,
    pub merged: u64,
    pub tasks: Vec<Task>,
    /// Nothing was ever agreed: the seeds are the first members, and that has to be stored.
    pub founded: bool,
}

impl StoredState {
    /// What a disk holds. At the very first start a seed founds the core together with the others.
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
