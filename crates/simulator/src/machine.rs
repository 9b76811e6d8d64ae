//! A machine of the core: its disk, and the process that runs a `ControlNode` on it.

use std::collections::VecDeque;

use lynxmill_configuration::Bounds;
use lynxmill_control_node::{ControlNode, Input, NodeOptions, NodeReport, StoredState};
use lynxmill_time::Timestamp;

use crate::clock::Clock;
use crate::disk::Disk;

/// The figures of a small site, in seconds.
const GRACE_S: f64 = 6.0;
const MAX_HOLD_S: f64 = 10.0;
const DRAIN_S: f64 = 4.0;
const BEAT_INTERVAL_S: f64 = 1.0;

pub(crate) struct Process {
    pub node: ControlNode,
    pub incarnation: u64,
    pub started: Timestamp,
}

#[derive(Default)]
pub(crate) struct Machine {
    pub disk: Disk,
    pub clock: Clock,
    pub process: Option<Process>,
    /// Without power it says nothing; with power but without a process it refuses connections.
    pub powered: bool,
    /// It was told to leave, and will not come back.
    pub leaving: bool,
    /// It never comes back.
    pub retired: bool,
    /// Faults that freeze it or slow it down.
    pub frozen: usize,
    pub slow: usize,
    pub inbox: VecDeque<Input>,
    pub busy_until: Timestamp,
    /// Since when it has not run: no process, or a frozen one.
    pub stopped_since: Option<Timestamp>,
    /// Faults that touch it now, and since when none does.
    pub active_faults: usize,
    pub undisturbed_since: Timestamp,
    /// When a freeze was over.
    pub unfrozen_at: Timestamp,
}

impl Machine {
    pub(crate) fn new() -> Self {
        Machine {
            powered: true,
            ..Machine::default()
        }
    }

    /// How its node stands; none without a process.
    pub(crate) fn report(&self, now: Timestamp) -> Option<NodeReport> {
        let process = self.process.as_ref()?;
        Some(process.node.report(self.clock.read(now)))
    }

    /// Whether the process of this incarnation still runs.
    pub(crate) fn runs(&self, incarnation: u64) -> bool {
        let process = self.process.as_ref();
        process.is_some_and(|process| process.incarnation == incarnation)
    }

    pub(crate) fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Takes its disk's state into a new process.
    pub(crate) fn start(&mut self, now: Timestamp, options: NodeOptions) {
        let incarnation = options.incarnation;
        let stored = StoredState::new(self.disk.read(), &options);
        let node = ControlNode::new(self.clock.read(now), options, stored);
        self.powered = true;
        self.undisturbed_since = now;
        self.stopped_since = (self.frozen > 0).then_some(now);
        self.process = Some(Process {
            node,
            incarnation,
            started: now,
        });
    }
}

pub(crate) fn ip(index: usize) -> String {
    format!("10.0.{}.{}", index / 200, 1 + index % 200)
}

pub(crate) fn control_address(index: usize) -> String {
    format!("{}:8146", ip(index))
}

/// The machine of an address, with or without port.
pub(crate) fn machine_of(address: &str) -> Option<usize> {
    let ip = address.split(':').next()?;
    let parts: Vec<usize> = ip.split('.').filter_map(|part| part.parse().ok()).collect();
    match parts[..] {
        [10, 0, high, low] => Some(high * 200 + low - 1),
        _ => None,
    }
}

/// What the settings file tells a process.
pub(crate) fn node_options(
    index: usize,
    seeds: Vec<String>,
    core_size: usize,
    incarnation: u64,
) -> NodeOptions {
    NodeOptions {
        ip: ip(index),
        name: format!("core-{index}"),
        control_address: control_address(index),
        zones: crate::operator::ZONES
            .iter()
            .map(|zone| (*zone).to_owned())
            .collect(),
        seeds,
        core_size,
        heartbeat_interval_s: BEAT_INTERVAL_S,
        bounds: Bounds {
            grace_s: GRACE_S,
            max_hold_s: MAX_HOLD_S,
            drain_s: DRAIN_S,
            catch_up_s: 4.0,
            config_apply_s: 4.0,
            ttl_max_s: 5.0,
            ..Bounds::default()
        },
        incarnation,
        bootstrap: false,
    }
}
