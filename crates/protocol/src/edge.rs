//! What edges and members of the core tell each other.

use lynxmill_configuration::Item;

/// A task's state; it only goes on: a higher one never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum TaskState {
    Ready = 0,
    Draining = 1,
    Gone = 2,
}

/// A life of a task as the beats tell it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Task {
    /// `InstanceId`.
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub address: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    #[prost(enumeration = "TaskState", tag = "6")]
    pub state: i32,
    /// Rises with every call of the task.
    #[prost(uint64, tag = "7")]
    pub call_seq: u64,
    /// How much longer it stays cold, in milliseconds from when this was sent.
    #[prost(uint32, tag = "8")]
    pub warm_up_left_ms: u32,
    /// It has been silent for longer than beats may be late.
    #[prost(bool, tag = "9")]
    pub timed_out: bool,
    #[prost(string, tag = "10")]
    pub version: String,
}

impl Task {
    /// Takes what is newer of another word on the same life; whether anything of weight changed.
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

/// An edge's first word on a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(string, tag = "3")]
    pub region: String,
    /// Its `Front` address.
    #[prost(string, tag = "4")]
    pub front: String,
    /// A number of this life of its process.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct EdgeReadiness {
    /// Whether the directory may name it.
    #[prost(bool, tag = "1")]
    pub ready: bool,
}

/// The tables up to a mark of a service's custodian are in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TableAcknowledgement {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

/// What an edge saw of a task since its last report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskObservation {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(uint32, tag = "2")]
    pub attempts: u32,
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Mean milliseconds of the tries that were answered.
    #[prost(double, tag = "4")]
    pub mean_latency_ms: f64,
    /// Requests running and waiting, as the task's answers last told.
    #[prost(uint32, tag = "5")]
    pub in_flight: u32,
}

/// Requests for a slice since the last report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceObservation {
    #[prost(string, tag = "1")]
    pub service: String,
    /// The slice's first key.
    #[prost(uint32, tag = "2")]
    pub from: u32,
    #[prost(uint32, tag = "3")]
    pub requests: u32,
}

/// Sent about once a second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadReport {
    #[prost(uint32, tag = "1")]
    pub interval_ms: u32,
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<TaskObservation>,
    #[prost(message, repeated, tag = "3")]
    pub slices: Vec<SliceObservation>,
}

/// A message from an edge.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FromEdge {
    #[prost(oneof = "FromEdgeBody", tags = "1, 2, 3, 4")]
    pub body: Option<FromEdgeBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FromEdgeBody {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Readiness(EdgeReadiness),
    #[prost(message, tag = "3")]
    TableAcknowledgement(TableAcknowledgement),
    #[prost(message, tag = "4")]
    LoadReport(LoadReport),
}

// --- to an edge ---

/// A member's first word on a stream, and again when the members change. `members` are the addresses of all
/// members' streams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EdgeWelcome {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
}

/// Items of the configuration, evacuations among them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationUpdate {
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
    /// All items there are, from a member that has compared itself with a majority.
    #[prost(bool, tag = "2")]
    pub is_complete: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskUpdate {
    #[prost(message, repeated, tag = "1")]
    pub tasks: Vec<Task>,
    /// All tasks that this member knows, and it has been up for long enough to have heard of each.
    #[prost(bool, tag = "2")]
    pub is_complete: bool,
}

/// A slice's line: keys `from` to `to`, both included.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ShardEntry {
    #[prost(uint32, tag = "1")]
    pub from: u32,
    #[prost(uint32, tag = "2")]
    pub to: u32,
    /// The owner's `InstanceId`; empty if there is none.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// The slice's generation, which only rises.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    /// Nothing may be sent: the slice is on its way.
    #[prost(bool, tag = "5")]
    pub closed: bool,
}

/// Lines of a service's table, in one turn of its custodian. A higher term replaces all of a lower one, whose
/// first table is whole; within a term, later lines replace earlier ones. The edge answers `mark` (if not 0)
/// once the lines are in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardTableUpdate {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<ShardEntry>,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EdgeInfo {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub zone: String,
}

/// The edges that are there, sorted by their names.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EdgeList {
    #[prost(message, repeated, tag = "1")]
    pub edges: Vec<EdgeInfo>,
}

/// The answer to an edge's report; a stream on which nothing comes for long is a dead one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportAcknowledgement {}

/// A message to an edge.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ToEdge {
    #[prost(oneof = "ToEdgeBody", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<ToEdgeBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ToEdgeBody {
    #[prost(message, tag = "1")]
    EdgeWelcome(EdgeWelcome),
    #[prost(message, tag = "2")]
    ConfigurationUpdate(ConfigurationUpdate),
    #[prost(message, tag = "3")]
    TaskUpdate(TaskUpdate),
    #[prost(message, tag = "4")]
    ShardTableUpdate(ShardTableUpdate),
    #[prost(message, tag = "5")]
    EdgeList(EdgeList),
    #[prost(message, tag = "6")]
    ReportAcknowledgement(ReportAcknowledgement),
}
