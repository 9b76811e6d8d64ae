//! Wire protocol between assigners: messages in frames, each a length of four bytes (big end first) and a
//! body. Shared by streams of edges and of members; no I/O.

mod core;
mod edge;
mod frame;

pub use core::{
    Accept, Accepted, Ballot, Change, Envelope, InstanceReport, LeaseRequest, MemberStatus,
    Membership, PeerRequest, PeerResponse, PendingChanges, Prepare, Promise, Register,
    RegisterVersion, RegistersPart, RegistersRequest, ResponseEnvelope, SeatRequest, ShardTable,
    Slice, SnapshotPart, SnapshotRequest,
};
pub use edge::{
    Answered, ConfigurationUpdate, Edge, EdgeAt, EdgeSays, EdgeWelcome, Fleet, Hello, MarkAnswer,
    Ready, Report, Row, SliceSeen, State, Table, Task, TaskSeen, Tasks, ToEdge, ToEdgeBody,
};
pub use frame::{Broken, Frames, MOST, frame};
