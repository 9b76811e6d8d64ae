//! Messages between edges and members of the core.

use lynxmill_configuration::Item;

/// The state of a task. It only advances: a higher value is never replaced by a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum TaskState {
    /// Takes requests.
    Ready = 0,
    /// Finishes its requests and takes no new ones.
    Draining = 1,
    /// Has signed off.
    Gone = 2,
}

/// One incarnation of a task, as its heartbeats describe it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Task {
    /// `InstanceId`.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Where it serves requests, as `IP:PORT`.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// How many requests it serves at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// A `TaskState`.
    #[prost(enumeration = "TaskState", tag = "6")]
    pub state: i32,
    /// `CallSeq` of the heartbeat: rises with every call of the task.
    #[prost(uint64, tag = "7")]
    pub call_seq: u64,
    /// How much longer it warms up, in milliseconds from when this was sent.
    #[prost(uint32, tag = "8")]
    pub warm_up_left_ms: u32,
    /// No heartbeat was received for longer than they may be late.
    #[prost(bool, tag = "9")]
    pub timed_out: bool,
    /// The version of its software.
    #[prost(string, tag = "10")]
    pub version: String,
}

impl Task {
    /// Merges another description of the same incarnation; whether the state, the address or the
    /// time-out changed, or the task warms up longer.
    pub fn merge(&mut self, other: &Task) -> bool {
        let state = self.state.max(other.state);
        let newer = other.call_seq > self.call_seq;
        let mut next = if newer { other.clone() } else { self.clone() };
        next.state = state;
        if other.call_seq == self.call_seq {
            next.timed_out |= other.timed_out;
        }
        // Only what is new counts as a change, not every beat.
        let changed = (next.state, next.timed_out, &next.address)
            != (self.state, self.timed_out, &self.address)
            || next.warm_up_left_ms > self.warm_up_left_ms;
        *self = next;
        changed
    }
}

// --- from an edge ---

/// An edge's first message on a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The edge's `NodeName`.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The edge's zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The edge's region.
    #[prost(string, tag = "3")]
    pub region: String,
    /// Where it serves clients, as `IP:PORT`.
    #[prost(string, tag = "4")]
    pub front: String,
    /// The incarnation of its process.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// It reads compressed messages.
    #[prost(bool, tag = "6")]
    pub reads_compressed: bool,
    /// It keeps versions of services apart; others are not told of tasks whose version is not released.
    #[prost(bool, tag = "7")]
    pub knows_versions: bool,
}

/// Tells whether an edge is ready for clients.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EdgeReadiness {
    /// Whether the directory may name it.
    #[prost(bool, tag = "1")]
    pub ready: bool,
}

/// Confirms that a service's shard table is in force at an edge, up to a sequence number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TableAcknowledgement {
    /// The sharded service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The term of the table.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The sequence number of the last update that is in force.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

/// What an edge observed of a task since its last report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskObservation {
    /// `InstanceId`.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Requests that were sent to it.
    #[prost(uint32, tag = "2")]
    pub attempts: u32,
    /// Attempts without an answer.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Mean latency of the attempts that were answered, in milliseconds.
    #[prost(double, tag = "4")]
    pub mean_latency_ms: f64,
    /// Requests running and queued at the task, as its last response told.
    #[prost(uint32, tag = "5")]
    pub in_flight: u32,
}

/// Requests for keys of a slice since the last report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceObservation {
    /// The sharded service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The first key of the slice.
    #[prost(uint32, tag = "2")]
    pub from: u32,
    /// How many requests were sent.
    #[prost(uint32, tag = "3")]
    pub requests: u32,
}

/// How requests of one route ended at tasks of a rollout's version, or at those of the versions before it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OutcomeCounts {
    /// The name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// At tasks of the version that is brought in.
    #[prost(bool, tag = "2")]
    pub is_target: bool,
    /// Requests that tasks may have run.
    #[prost(uint32, tag = "3")]
    pub ended: u32,
    /// Those without a good answer.
    #[prost(uint32, tag = "4")]
    pub failed: u32,
    /// Good answers of tasks that do not warm up, by latency: see [`latency_bucket`].
    #[prost(uint32, repeated, tag = "5")]
    pub latencies: Vec<u32>,
}

/// What an edge observed of a rollout since it heard of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutObservation {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The number of the change that ordered the rollout.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The version of the rollouts' item that is in force at the edge.
    #[prost(uint64, tag = "3")]
    pub item_version: u64,
    /// Requests of clients for the service.
    #[prost(uint64, tag = "4")]
    pub requests: u64,
    /// Requests that were sent to the version that is brought in.
    #[prost(uint64, tag = "5")]
    pub target_requests: u64,
    /// Requests under way at tasks of other versions.
    #[prost(uint32, tag = "6")]
    pub others_in_flight: u32,
    /// How requests ended, by route and version.
    #[prost(message, repeated, tag = "7")]
    pub outcomes: Vec<OutcomeCounts>,
}

/// Buckets of [`OutcomeCounts::latencies`].
pub const LATENCY_BUCKETS: usize = 26;
/// Latencies below this are in the first bucket, in seconds.
const FIRST_LATENCY_S: f64 = 0.004;

/// The bucket of a latency in seconds. Two buckets are a factor of two apart.
pub fn latency_bucket(latency_s: f64) -> usize {
    let half_octaves = (latency_s / FIRST_LATENCY_S).max(1.0).log2() * 2.0;
    (half_octaves as usize).min(LATENCY_BUCKETS - 1)
}

/// What an edge observed, sent about once a second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadReport {
    /// The time that the report covers, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub interval_ms: u32,
    /// One entry for each task that requests were sent to.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<TaskObservation>,
    /// One entry for each slice that requests were sent to.
    #[prost(message, repeated, tag = "3")]
    pub slices: Vec<SliceObservation>,
    /// One entry for each rollout in progress, counted since the edge heard of it.
    #[prost(message, repeated, tag = "4")]
    pub rollouts: Vec<RolloutObservation>,
}

/// A message from an edge.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FromEdge {
    /// The message; none if its kind is not known to this build.
    #[prost(oneof = "FromEdgeBody", tags = "1, 2, 3, 4")]
    pub body: Option<FromEdgeBody>,
}

/// The kinds of messages from an edge.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FromEdgeBody {
    /// The first message of a stream.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Whether the edge is ready.
    #[prost(message, tag = "2")]
    Readiness(EdgeReadiness),
    /// A shard table is in force.
    #[prost(message, tag = "3")]
    TableAcknowledgement(TableAcknowledgement),
    /// What the edge observed.
    #[prost(message, tag = "4")]
    LoadReport(LoadReport),
}

// --- to an edge ---

/// A member's first message on a stream, sent again when the members change.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EdgeWelcome {
    /// The member's `NodeName`.
    #[prost(string, tag = "1")]
    pub name: String,
    /// IPv4 addresses of all members: the edge opens a stream to each.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
}

/// Items of the configuration, evacuations among them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationUpdate {
    /// The items without their history.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
    /// These are all items, from a member that has compared itself with a majority.
    #[prost(bool, tag = "2")]
    pub is_complete: bool,
}

/// Tasks that changed, or all of them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskUpdate {
    /// The tasks.
    #[prost(message, repeated, tag = "1")]
    pub tasks: Vec<Task>,
    /// These are all tasks, from a member that has run for long enough to have received a heartbeat
    /// of each.
    #[prost(bool, tag = "2")]
    pub is_complete: bool,
}

/// One slice of a service's shard table, as edges see it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ShardEntry {
    /// The first key.
    #[prost(uint32, tag = "1")]
    pub from: u32,
    /// The last key, included.
    #[prost(uint32, tag = "2")]
    pub to: u32,
    /// The owner's `InstanceId`; empty if there is none.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// The fencing token, which only rises.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    /// No request may be sent: the slice is being handed over.
    #[prost(bool, tag = "5")]
    pub closed: bool,
}

/// Entries of a service's shard table. A higher term replaces all of a lower one, and its first
/// update is complete; within a term later entries replace earlier ones. The edge acknowledges
/// `sequence` (if not 0) once the entries are in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardTableUpdate {
    /// The sharded service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The term of the table's owner.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Rises with every update that wants an acknowledgement.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// These are all entries of the table.
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
    /// Entries in the order of their keys.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<ShardEntry>,
}

/// An edge as other edges know it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EdgeInfo {
    /// Its `NodeName`.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its zone.
    #[prost(string, tag = "2")]
    pub zone: String,
}

/// The edges that have a stream to the member, sorted by name.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EdgeList {
    /// The edges.
    #[prost(message, repeated, tag = "1")]
    pub edges: Vec<EdgeInfo>,
}

/// The answer to an edge's report: a stream without any message for long is dead.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportAcknowledgement {}

/// An operator has asked that a zone be emptied or taken back, which need not have been agreed: its tasks may
/// turn cold before their heartbeats say so.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvacuationNotice {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// For how long this holds from now on, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub valid_ms: u32,
}

/// A message to an edge.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ToEdge {
    /// The message; none if its kind is not known to this build.
    #[prost(oneof = "ToEdgeBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<ToEdgeBody>,
    /// A whole message in place of the body, compressed by `zstd`; only for edges that read it.
    #[prost(bytes = "vec", tag = "8")]
    pub compressed: Vec<u8>,
    /// How long the compressed message is by itself, in bytes.
    #[prost(uint32, tag = "9")]
    pub plain_bytes: u32,
}

/// The kinds of messages to an edge.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ToEdgeBody {
    /// Who the members are.
    #[prost(message, tag = "1")]
    EdgeWelcome(EdgeWelcome),
    /// Items of the configuration.
    #[prost(message, tag = "2")]
    ConfigurationUpdate(ConfigurationUpdate),
    /// Tasks.
    #[prost(message, tag = "3")]
    TaskUpdate(TaskUpdate),
    /// Entries of a shard table.
    #[prost(message, tag = "4")]
    ShardTableUpdate(ShardTableUpdate),
    /// Which edges there are.
    #[prost(message, tag = "5")]
    EdgeList(EdgeList),
    /// A report was received.
    #[prost(message, tag = "6")]
    ReportAcknowledgement(ReportAcknowledgement),
    /// An evacuation was asked for.
    #[prost(message, tag = "7")]
    EvacuationNotice(EvacuationNotice),
}
