//! What goes into a node and what comes out of it.

use std::sync::Arc;

use lynxmill_configuration::{Configuration, ConfigurationChange, ValidationError};
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

/// A task's heartbeat, read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceHeartbeat {
    pub task: Task,
    pub holdings: TaskHoldings,
}

/// A call of a task or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    Change(ConfigurationChange),
    Evacuate { zone: String, on: bool },
    ReadBack,
    Heartbeat(InstanceHeartbeat),
    SignOff(String),
}

/// Something that happened to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed; sent every `TICK`.
    Tick,
    /// Another member asks or tells, on a connection that it opened.
    Peer {
        connection: ConnectionId,
        envelope: RequestEnvelope,
    },
    /// Another member answers.
    Response {
        from: String,
        response: ResponseEnvelope,
    },
    /// A task or an operator calls.
    Call {
        call: CallId,
        request: ControlRequest,
    },
    /// An edge speaks; the first message of a stream is its hello.
    Edge {
        stream: StreamId,
        message: FromEdgeBody,
    },
    EdgeClosed {
        stream: StreamId,
    },
    /// All batches up to `ticket` that were not reported before are on disk, or have failed.
    Stored {
        ticket: u64,
        failure: Option<String>,
    },
    /// The settings file names these nodes.
    Seeds(Vec<String>),
    /// The process is to end.
    Leave,
}

/// Why a call can't be answered here and now; another node may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    #[error("no contact with a majority of the core")]
    NoContact,
    #[error("no majority of the core has answered in time")]
    NoMajority,
    #[error("too few other members have it")]
    TooFewReplicas,
    #[error("the service has no owner of its shards yet")]
    NoOwner,
    #[error("this node is leaving")]
    Leaving,
    #[error("this node has not run for a while: its caller may have gone elsewhere")]
    WasSuspended,
}

/// The answer to a heartbeat; only the owner of a service's shards grants holdings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatAnswer {
    pub beat_target: Option<String>,
    /// What the task is to hold, and for how many seconds.
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
    Done,
    Refused(ValidationError),
    Unavailable(Unavailable),
    Heartbeat(HeartbeatAnswer),
    /// The node at this control address has to answer.
    Redirect(String),
    Configuration(Arc<Configuration>),
}

/// What the program has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Keep a connection to this member from now on.
    Connect(String),
    /// Ask or tell another member; lost if there is no connection.
    Request {
        to: String,
        envelope: RequestEnvelope,
    },
    Respond {
        connection: ConnectionId,
        response: ResponseEnvelope,
    },
    Answer {
        call: CallId,
        answer: Answer,
    },
    /// Write behind all batches before it, and report it by `Input::Stored`.
    Store {
        ticket: u64,
        batch: Batch,
    },
    SendEdges {
        streams: Vec<StreamId>,
        body: ToEdgeBody,
    },
    CloseEdge(StreamId),
    Log(Event),
    /// The process may end now.
    Exit,
}
