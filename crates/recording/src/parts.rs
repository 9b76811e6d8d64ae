//! What a day holds. Times and spans are microseconds, work is microseconds on one core of a warm server of
//! speed 1, shares lie in 0..1.

use lynxmill_assigner_state::Event;
use serde::{Deserialize, Serialize};

/// Who wrote the day, which tells how much of the world behind it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// The replay's own engine: the world is whole.
    Engine,
    /// An assigner: only what it heard and ordered.
    Assigner,
    /// The world was inferred from what assigners heard.
    Rebuilt,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub name: String,
    pub source: Source,
    pub seed: u64,
    /// Unix time in milliseconds at which the day's clock began.
    pub began_ms: f64,
    /// The configuration in force, as the daemon reads it: JSON text.
    pub configuration: String,
}

/// The world behind the tables: what no assigner is told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct World {
    pub length: i64,
    pub zones: Vec<String>,
    pub operations: Vec<Operation>,
    pub servers: Vec<Server>,
    pub forwarders: Vec<Forwarder>,
    pub assigners: Vec<Assigner>,
    /// The assigner that each slice belongs to, and the server that the store names at first.
    pub slices: Vec<(u16, u32)>,
    pub link: Link,
    pub clients: Clients,
}

/// What the settings don't tell of an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    pub name: String,
    pub writes: bool,
    /// It may run twice.
    pub safe: bool,
    pub deadline: i64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    pub name: String,
    pub zone: u16,
    pub cores: u32,
    pub speed: f64,
    /// Invocations that may wait beside those on a core.
    pub queue: u32,
    /// The size that the list gives.
    pub weight: f64,
    /// Speed at a start as a share of the usual one, and how long until that is reached.
    pub cold_from: f64,
    pub cold_for: i64,
    /// How much faster it is with a slice it has met lately, and for how long it remembers one.
    pub gain: f64,
    pub memory: i64,
    /// It runs when the day begins.
    pub runs: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forwarder {
    pub zone: u16,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assigner {
    pub name: String,
    pub zone: u16,
}

/// Ways and waits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Link {
    pub same_zone: i64,
    pub cross_zone: i64,
    /// An assigner's call to the relay, there and back.
    pub call: i64,
    /// Applying one line, in which a forwarder stands still.
    pub apply: i64,
    /// The store is read so long after a join or a hand-over, at most.
    pub read: i64,
    /// A forwarder dials again after a broken stream.
    pub redial: i64,
    /// A slice whose assigner has died is given to another.
    pub takeover: i64,
    /// News of a broken stream reach the assigner.
    pub notice: i64,
    /// Discovery tells of a start, of a drain or end, and of a server that has fallen silent.
    pub listed: i64,
    pub dropped: i64,
    pub missed: i64,
    /// Reports come so late.
    pub report: i64,
    /// The front goes on sending to a dead forwarder.
    pub front: i64,
    /// A refused client is told to return after this.
    pub return_after: i64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Clients {
    /// Tries after the first.
    pub retries: u32,
    /// A try is given up after this share of the deadline.
    pub try_share: f64,
    pub backoff: i64,
    /// Share that waits as long as it is told to.
    pub honour: f64,
}

/// Invocations' first tries: what the clients asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asks {
    pub at: i64,
    pub client: u32,
    pub zone: u16,
    pub slice: u16,
    pub operation: u8,
    pub work: u32,
}

/// Something that went wrong, or was done to the fleet, at its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedFault {
    pub at: i64,
    pub what: RecordedEvent,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordedEvent {
    ForwarderDies(u16),
    ForwarderReturns(u16),
    ForwarderStalls(u16, i64),
    /// The stream between a forwarder and an assigner breaks.
    StreamBreaks(u16, u16),
    /// It can't be dialled again for so long.
    CutOff(u16, i64),
    AssignerDies(u16),
    AssignerReturns(u16),
    AssignerStalls(u16, i64),
    ServerStarts(u32),
    ServerDrains(u32),
    ServerEnds(u32),
    /// It answers no one, and discovery is late to tell.
    ServerFallsSilent(u32),
    /// An assigner's channel is so many times slower for a while.
    ChannelSlows(u16, f64, i64),
    /// What becomes of that assigner's next call: carried out or not, its answer never comes.
    CallLost(u16, bool),
    /// A server takes so many times longer for a while, or turns all away at once.
    ServerSlows(u32, f64, i64),
    ServerRefuses(u32, i64),
    /// Discovery tells of everything so much later, for a while.
    ListLags(i64, i64),
    /// This share of an assigner's reports comes spoilt, for a while.
    ReportsSpoil(u16, f64, i64),
}

impl World {
    /// Whether what a happening strikes is there.
    pub fn has(&self, what: &RecordedEvent) -> bool {
        use RecordedEvent::*;
        let forwarder = |f: &u16| usize::from(*f) < self.forwarders.len();
        let assigner = |a: &u16| usize::from(*a) < self.assigners.len();
        let server = |s: &u32| (*s as usize) < self.servers.len();
        match what {
            ForwarderDies(f) | ForwarderReturns(f) | ForwarderStalls(f, _) | CutOff(f, _) => {
                forwarder(f)
            }
            StreamBreaks(f, a) => forwarder(f) && assigner(a),
            AssignerDies(a) | AssignerReturns(a) | AssignerStalls(a, _) | CallLost(a, _) => {
                assigner(a)
            }
            ChannelSlows(a, factor, _) => assigner(a) && *factor >= 1.0,
            ServerStarts(s)
            | ServerDrains(s)
            | ServerEnds(s)
            | ServerFallsSilent(s)
            | ServerRefuses(s, _) => server(s),
            ServerSlows(s, factor, _) => server(s) && *factor >= 1.0,
            ListLags(later, _) => *later >= 0,
            ReportsSpoil(a, share, _) => assigner(a) && (0.0..=1.0).contains(share),
        }
    }
}

/// One life of one assigner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    pub assigner: u16,
    pub life: u16,
}

/// What an assigner heard or ordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// It started from this configuration.
    Started(String),
    Heard(Event),
    /// A call: the text of its orders. Its fate is heard.
    Ordered(String),
    /// So many entries were lost, as the writer could not keep up.
    Missing(u64),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Log {
    pub at: i64,
    pub of: Life,
    pub entry: Entry,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub head: Head,
    pub world: Option<World>,
    pub asks: Vec<Asks>,
    pub troubles: Vec<RecordedFault>,
    pub log: Vec<Log>,
}
