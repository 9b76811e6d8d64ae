//! Faults as data: what happens, when, to whom and for how long. A run plays a plan; a plan is drawn from a
//! seed, and one that breaks an invariant can be made shorter and played again.

use std::fmt;
use std::str::FromStr;

use lynxmill_time::{TimeDelta, Timestamp};

use crate::random::Random;

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal,)*) => {
        /// What goes wrong, or is done to the system.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum FaultKind {
            $($(#[$doc])* $kind,)*
        }

        impl FaultKind {
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$kind,)*];

            pub fn name(self) -> &'static str {
                match self {
                    $(FaultKind::$kind => $name,)*
                }
            }
        }
    };
}

kinds! {
    /// A node neither hears nor is heard by other nodes.
    CutOff = "cut-off",
    /// What other nodes send to a node is held up.
    CutIncoming = "cut-incoming",
    /// What a node sends to other nodes is held up.
    CutOutgoing = "cut-outgoing",
    /// Two nodes don't reach each other.
    CutPair = "cut-pair",
    /// One direction between two nodes.
    CutOneWay = "cut-one-way",
    /// The nodes fall into two parts.
    Partition = "partition",
    /// A node is cut off from its callers and edges.
    CutCallers = "cut-callers",
    /// All connections of a node are reset.
    Reset = "reset",
    /// Messages are lost and late everywhere.
    BadNetwork = "bad-network",
    /// A process does nothing for a while; what came in meanwhile follows at once.
    Freeze = "freeze",
    /// Each step of a node takes tens of milliseconds.
    Slow = "slow",
    /// A process is killed; it starts again with its disk.
    Kill = "kill",
    /// A machine loses power: of what was not synced each batch may be there or missing, or all is.
    PowerLoss = "power-loss",
    /// A machine comes back with an empty disk.
    WipeDisk = "wipe-disk",
    KillAll = "kill-all",
    PowerLossAll = "power-loss-all",
    /// A new machine comes first, then the old one leaves in order.
    ReplacePlanned = "replace-planned",
    /// A machine is gone for good; a new one comes in its place.
    ReplaceUnplanned = "replace-unplanned",
    /// A disk refuses writes.
    DiskFull = "disk-full",
    DiskSlow = "disk-slow",
    /// A disk hangs.
    DiskStall = "disk-stall",
    EdgeRestart = "edge-restart",
    TaskCrash = "task-crash",
    TaskDrain = "task-drain",
    /// A node's steady clock runs 2% slow.
    ClockSlow = "clock-slow",
    /// A node's steady clock runs 2% fast.
    ClockFast = "clock-fast",
}

impl fmt::Display for FaultKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.name())
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = FaultKind::ALL.iter().find(|kind| kind.name() == name);
        found.copied().ok_or_else(|| {
            let names: Vec<&str> = FaultKind::ALL.iter().map(|kind| kind.name()).collect();
            format!("there is no fault {name:?}; there are {}", names.join(", "))
        })
    }
}

/// One fault of a plan. `who` and `other` choose among the machines, tasks or edges that are there at that
/// time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub at: Timestamp,
    pub kind: FaultKind,
    pub machine: usize,
    pub other: usize,
    pub duration: TimeDelta,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            at,
            kind,
            machine,
            other,
            duration,
        } = self;
        write!(
            out,
            "{:.3} s: {kind} {machine} {other} for {:.3} s",
            at.secs(),
            duration.secs()
        )
    }
}

/// What happens at the end, right after an order was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    Nothing,
    KillAll,
    PowerLossAll,
    /// As many disks as may be lost are wiped, while all others lose power.
    WipeMost,
}

/// All that a run depends on besides the code.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    pub core_size: usize,
    pub operators: usize,
    /// Orders that each operator makes at most.
    pub orders: usize,
    pub tasks: usize,
    pub edges: usize,
    /// Operators give one version to two contents now and then.
    pub conflicts: bool,
    pub faults: Vec<Fault>,
    pub closing: Closing,
    /// No fault begins later.
    pub calm_at: Timestamp,
}

impl fmt::Display for Plan {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Plan {
            seed,
            core_size,
            operators,
            orders,
            tasks,
            edges,
            ..
        } = self;
        writeln!(
            out,
            "seed {seed}: {core_size} members, {operators} operators with {orders} orders each, {tasks} tasks, \
             {edges} edges, conflicts {}, calm at {:.3} s, closing {:?}",
            self.conflicts,
            self.calm_at.secs(),
            self.closing
        )?;
        self.faults
            .iter()
            .try_for_each(|fault| writeln!(out, "  {fault}"))
    }
}

/// Faults begin after the system has come up, in seconds.
const FIRST_S: f64 = 3.0;
const LAST_S: (f64, f64) = (6.0, 20.0);
const MAX_FAULTS: usize = 9;

fn lasting(random: &mut Random) -> TimeDelta {
    // Short ones are as likely as long ones, on a log scale: 0.05 s to 15 s.
    TimeDelta::from_secs(0.05 * (300f64).powf(random.unit()))
}

/// Plans have up to so many clocks that creep, each for up to this time.
const MAX_CLOCK_FAULTS: usize = 3;
const LONGEST_CREEP_S: f64 = 20.0;

impl FaultKind {
    /// A clock that creeps; such faults have a stream of random numbers of their own.
    pub fn is_of_clock(self) -> bool {
        matches!(self, FaultKind::ClockSlow | FaultKind::ClockFast)
    }
}

impl Plan {
    /// Adds clocks that creep. What else the seed draws stays as it is without them.
    #[must_use]
    pub fn with_clock_faults(mut self) -> Plan {
        let mut random = Random::new(self.seed, "clocks");
        for _ in 0..random.below(MAX_CLOCK_FAULTS + 1) {
            let kind = if random.chance(0.5) {
                FaultKind::ClockSlow
            } else {
                FaultKind::ClockFast
            };
            self.faults.push(Fault {
                at: Timestamp::from_secs(random.seconds(0.0, self.calm_at.secs())),
                kind,
                machine: random.below(16),
                other: 0,
                duration: TimeDelta::from_secs(random.seconds(1.0, LONGEST_CREEP_S)),
            });
        }
        self.faults.sort_by_key(|fault| fault.at);
        self
    }

    /// A plan without faults.
    pub fn calm(seed: u64, core_size: usize) -> Plan {
        Plan {
            seed,
            core_size,
            operators: 2,
            orders: 1000,
            tasks: 4,
            edges: 2,
            conflicts: false,
            faults: Vec::new(),
            closing: Closing::Nothing,
            calm_at: Timestamp::from_secs(10.0),
        }
    }

    /// The plan of a seed; `kinds` are the faults that it may have, all but those of clocks if there are none.
    pub fn drawn(seed: u64, kinds: &[FaultKind]) -> Plan {
        let mut random = Random::new(seed, "plan");
        let steady: Vec<FaultKind> = FaultKind::ALL
            .iter()
            .copied()
            .filter(|kind| !kind.is_of_clock())
            .collect();
        let kinds = if kinds.is_empty() { &steady } else { kinds };
        let core_size = if random.chance(0.75) { 3 } else { 5 };
        let last = random.seconds(LAST_S.0, LAST_S.1);
        let count = 1 + random.below(MAX_FAULTS);
        let mut faults = Vec::new();
        while faults.len() < count {
            let at = Timestamp::from_secs(random.seconds(FIRST_S, last));
            let fault = Fault {
                at,
                kind: random.choose(kinds).copied().unwrap_or(FaultKind::Kill),
                machine: random.below(16),
                other: random.below(16),
                duration: lasting(&mut random),
            };
            // Troubles come together: often a second one follows at once.
            let follows = random.chance(0.4);
            let second = Fault {
                at: at + random.time_delta(0.0, 0.8),
                kind: random.choose(kinds).copied().unwrap_or(FaultKind::Kill),
                machine: random.below(16),
                other: random.below(16),
                duration: lasting(&mut random),
            };
            faults.push(fault);
            faults.extend(follows.then_some(second));
        }
        faults.sort_by_key(|fault| fault.at);
        let closing = match random.below(5) {
            0 => Closing::KillAll,
            1 => Closing::PowerLossAll,
            2 | 3 => Closing::WipeMost,
            _ => Closing::Nothing,
        };
        Plan {
            seed,
            core_size,
            operators: 2,
            orders: 1000,
            tasks: 1 + random.below(5),
            edges: 1 + random.below(3),
            conflicts: random.chance(0.3),
            faults,
            closing,
            calm_at: Timestamp::from_secs(last + random.seconds(1.0, 4.0)),
        }
    }
}
