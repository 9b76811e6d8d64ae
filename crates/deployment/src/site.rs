//! Addresses and settings of the machines of a system.

use std::collections::HashMap;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};

use lynxmill_configuration::{Bounds, FaultTolerance, Listen, NodeSettings, ResourceLimits};

use crate::deployment::{Machine, Size};

/// The region of all machines.
pub const REGION: &str = "vale";
/// The zones; machines take turns.
pub const ZONES: [&str; 3] = ["north", "south", "west"];
/// Last numbers of the machines' addresses.
const CORE_FROM: usize = 11;
const EDGES_FROM: usize = 31;
const TASKS_FROM: usize = 91;
/// Addresses for tasks.
const TASK_ADDRESSES: usize = 160;
/// Seconds between two heartbeats of a task.
pub const BEAT_S: f64 = 0.5;
/// Ports of a system: control, directory, front, readiness, and two between assigners.
const PORTS: u16 = 6;
/// The first of the two ports between assigners, counted from a system's first.
const INTERNAL_PORT: u16 = 4;
/// Below the ports that the kernel gives to callers.
const LOWEST: u32 = 20_000;
const SPAN: u32 = 11_000;

static SITES: AtomicU32 = AtomicU32::new(0);

/// Addresses of a system: a block of 127.0.0.0/8 with ports that are free on all of its machines.
#[derive(Clone, Debug)]
pub struct Site {
    block: String,
    port: u16,
}

impl Site {
    /// Finds addresses for a system of this size.
    ///
    /// # Errors
    ///
    /// If no block of addresses has free ports.
    pub fn free(size: Size) -> Result<Self, String> {
        for _ in 0..200 {
            let n = SITES.fetch_add(1, Ordering::Relaxed);
            let mixed = std::process::id().wrapping_add(n.wrapping_mul(7919));
            let block = format!("127.{}.{}", 64 + mixed / 250 % 128, 1 + mixed % 250);
            let port = (LOWEST + mixed.wrapping_mul(31) % SPAN) as u16;
            let site = Site { block, port };
            if site.all_free(size) {
                return Ok(site);
            }
        }
        Err("no free ports on loopback".to_owned())
    }

    fn all_free(&self, size: Size) -> bool {
        let taken: Vec<_> = size
            .machines()
            .map(|machine| self.machine(machine))
            .flat_map(|ip| (0..PORTS).map(move |offset| (ip.clone(), offset)))
            .map(|(ip, offset)| TcpListener::bind((ip.as_str(), self.port + offset)))
            .collect();
        taken.iter().all(Result::is_ok)
    }

    fn ip(&self, last: usize) -> String {
        format!("{}.{last}", self.block)
    }

    /// The address of a machine.
    pub fn machine(&self, machine: Machine) -> String {
        match machine {
            Machine::Member(n) => self.ip(CORE_FROM + n),
            Machine::Edge(n) => self.ip(EDGES_FROM + n),
        }
    }

    /// An address for a task, by its number. Many tasks share addresses and take ports of their own.
    pub fn task(&self, n: usize) -> String {
        self.ip(TASKS_FROM + n % TASK_ADDRESSES)
    }

    /// Where a member takes calls.
    pub fn control(&self, n: usize) -> String {
        format!("{}:{}", self.machine(Machine::Member(n)), self.port)
    }

    /// Where a member tells clients of edges.
    pub fn directory(&self, n: usize) -> String {
        format!("{}:{}", self.machine(Machine::Member(n)), self.port + 1)
    }

    /// Where an edge takes clients.
    pub fn front(&self, n: usize) -> String {
        format!("{}:{}", self.machine(Machine::Edge(n)), self.port + 2)
    }

    /// Where an edge tells whether it is ready.
    pub fn readiness(&self, n: usize) -> String {
        format!("{}:{}", self.machine(Machine::Edge(n)), self.port + 3)
    }

    /// Where a member takes the streams of edges.
    pub(crate) fn internal(&self, n: usize) -> String {
        let ip = self.machine(Machine::Member(n));
        format!("{ip}:{}", self.port + INTERNAL_PORT)
    }

    /// A name for files of this system.
    pub(crate) fn name(&self) -> String {
        format!("lynxmill-system-{}-{}", std::process::id(), self.port)
    }

    /// The settings of a machine in a system of this size.
    pub(crate) fn settings(&self, machine: Machine, size: Size, folder: &Path) -> NodeSettings {
        let (core, n) = match machine {
            Machine::Member(n) => (true, n),
            Machine::Edge(n) => (false, n),
        };
        let name = machine.name();
        let zones: HashMap<_, _> = ZONES
            .iter()
            .map(|z| ((*z).to_owned(), REGION.to_owned()))
            .collect();
        let words = |list: &[&str]| list.iter().map(|w| (*w).to_owned()).collect::<Vec<_>>();
        let listen = if core {
            Listen {
                control: self.control(n),
                directory: self.directory(n),
                ..Listen::default()
            }
        } else {
            Listen {
                front: self.front(n),
                readiness: self.readiness(n),
                ..Listen::default()
            }
        };
        NodeSettings {
            role: if core { "control-plane" } else { "edge-proxy" }.to_owned(),
            machine_class: if core { "core" } else { "edge" }.to_owned(),
            serves: if core {
                words(&["control", "directory"])
            } else {
                words(&["edge"])
            },
            ip: self.machine(machine),
            zone: ZONES[n % ZONES.len()].to_owned(),
            region: REGION.to_owned(),
            zones,
            listen_addrs: Some(listen),
            internal_ports: [0, 1]
                .map(|n| u32::from(self.port + INTERNAL_PORT + n))
                .to_vec(),
            seed_nodes: (0..size.members).map(|n| self.control(n)).collect(),
            bootstrap: true,
            quorum_member: core,
            limits: Some(ResourceLimits {
                cpu_share: 1.0,
                memory_mb: 260.0,
                max_fds: 1024,
                ..ResourceLimits::default()
            }),
            data_path: core.then(|| folder.join(format!("{name}-disk")).display().to_string()),
            beat_interval_s: BEAT_S,
            fault_tolerance: Some(FaultTolerance {
                machines: size.tolerated_members(),
                zones: 1,
                regions: 0,
            }),
            bounds: Some(Bounds {
                contact_s: 5.0,
                ack_s: 8.0,
                catch_up_s: 4.0,
                drain_s: 2.0,
                grace_s: 3.0,
                config_apply_s: 4.0,
                retry_ratio: 0.2,
                retry_window_s: 10.0,
                retry_slack: 64.0,
                cold_overshoot: 1.5,
                cold_slack: 5.0,
                evacuate_s: 5.0,
                max_hold_s: 10.0,
                thaw_s: 0.3,
                exposure_share: 0.1,
                exposure_slack: 50.0,
                ttl_max_s: 5.0,
            }),
            node_name: name,
        }
    }
}
