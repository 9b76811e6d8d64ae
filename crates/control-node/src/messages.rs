//! What goes into a node and what comes out of it.

use std::sync::Arc;

use lynxmill_configuration::{Configuration, ConfigurationChange, RolloutOrder, ValidationError};
use lynxmill_placement::{Grant, TaskHoldings};
use lynxmill_protocol::{FromEdgeBody, RequestEnvelope, ResponseEnvelope, Task, ToEdgeBody};
use lynxmill_storage::Batch;

use crate::event::Event;

/// A connection that another member has opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A call of a task or an operator that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The stream of one edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// A heartbeat of a task, read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceHeartbeat {
    /// The task.
    pub task: Task,
    /// The keys that it holds and has let go.
    pub holdings: TaskHoldings,
}

/// A call of a task or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    /// Sets and removes items of the configuration.
    Change(ConfigurationChange),
    /// Empties a zone, or takes it back.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether the zone is emptied, or taken back.
        on: bool,
    },
    /// Brings a new version of a service in.
    Rollout(RolloutOrder),
    /// Asks for the newest configuration.
    ReadBack,
    /// A task's heartbeat.
    Heartbeat(InstanceHeartbeat),
    /// A task signs off, by `InstanceId`.
    SignOff(String),
}

impl ControlRequest {
    /// Whether it does harm where it is begun late: an old order may have been refused elsewhere since, or the opposite
    /// may have been asked for.
    pub fn is_order(&self) -> bool {
        matches!(
            self,
            ControlRequest::Change(_)
                | ControlRequest::Evacuate { .. }
                | ControlRequest::Rollout(_)
        )
    }
}

/// Something that happened to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed; sent every `TICK`.
    Tick,
    /// Another member sends a request or a notification, on a connection that it opened.
    Peer {
        /// The connection.
        connection: ConnectionId,
        /// The request.
        envelope: RequestEnvelope,
    },
    /// Another member responds.
    Response {
        /// The member, by IPv4 address.
        from: String,
        /// The response.
        response: ResponseEnvelope,
    },
    /// A task or an operator calls.
    Call {
        /// The call.
        call: CallId,
        /// What is asked for.
        request: ControlRequest,
        /// The last change that was merged here at some moment before the caller sent this.
        sent_after: u64,
    },
    /// The caller of an unanswered call has gone.
    Abandoned {
        /// The call.
        call: CallId,
    },
    /// An edge speaks; the first message of a stream is its hello.
    Edge {
        /// The stream.
        stream: StreamId,
        /// The message.
        message: FromEdgeBody,
    },
    /// An edge's stream has ended.
    EdgeClosed {
        /// The stream.
        stream: StreamId,
    },
    /// All batches up to `ticket` that were not reported before are on disk, or have failed.
    Stored {
        /// The ticket of the batch.
        ticket: u64,
        /// The disk's error, if the write has failed.
        failure: Option<String>,
    },
    /// The settings file names these nodes.
    Seeds(Vec<String>),
    /// The process is to end.
    Leave,
}

/// Why a call can't be answered here and now; another node may. A retry is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// This node is cut off.
    #[error("no contact with a majority of the core")]
    NoContact,
    /// Too few members have answered in time; the order may still take effect.
    #[error("no majority of the core has answered in time")]
    NoMajority,
    /// Too few other members have acknowledged a drain.
    #[error("too few other members have it")]
    TooFewReplicas,
    /// No member owns the service's shard table.
    #[error("the service has no owner of its shards yet")]
    NoOwner,
    /// This node shuts down.
    #[error("this node is leaving")]
    Leaving,
    /// The process was frozen: the call may be out of date.
    #[error("this node has not run for a while: its caller may have gone elsewhere")]
    WasSuspended,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatAnswer {
    /// Where the task should send its heartbeats, as `IP:PORT`.
    pub beat_target: Option<String>,
    /// What the task is to hold; only the owner of its shards says so.
    pub holdings: Option<GrantedHoldings>,
}

/// What the owner of a service's shards grants a task.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantedHoldings {
    /// Keys that the task is to hold; all others it has to let go.
    pub grants: Vec<Grant>,
    /// For how many seconds from when the task sent its heartbeat.
    pub lease_s: f64,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The order is in force.
    Done,
    /// The change breaks a rule.
    Refused(ValidationError),
    /// Another node should be asked.
    Unavailable(Unavailable),
    /// The heartbeat was taken.
    Heartbeat(HeartbeatAnswer),
    /// The order was sent before a decision that it would undo; a caller that still wants it sends it again.
    Outdated,
    /// The node at this control address has to answer.
    Redirect(String),
    /// The newest configuration.
    Configuration(Arc<Configuration>),
}

/// What the program has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Keep a connection to this member from now on.
    Connect(String),
    /// Send to another member; lost if there is no connection.
    Request {
        /// The member, by IPv4 address.
        to: String,
        /// The request.
        envelope: RequestEnvelope,
    },
    /// Respond on a connection that another member opened.
    Respond {
        /// The connection.
        connection: ConnectionId,
        /// The response.
        response: ResponseEnvelope,
    },
    /// Answer a call.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Write behind all batches before it, and report it by `Input::Stored`.
    Store {
        /// The ticket of the batch.
        ticket: u64,
        /// What to write.
        batch: Batch,
    },
    /// Send to these edges.
    SendEdges {
        /// The streams.
        streams: Vec<StreamId>,
        /// The message.
        body: ToEdgeBody,
    },
    /// Close an edge's stream.
    CloseEdge(StreamId),
    /// Write a line to the log.
    Log(Event),
    /// The process may end now.
    Exit,
}
