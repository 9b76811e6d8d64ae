//! Wire protocol between assigners: messages in frames, each a length of four bytes (big end first) and a
//! body. Shared by streams of edges and of members; no I/O.

mod peer;
mod edge;
mod frame;

pub use peer::{
    Accept, Accepted, Ballot, Change, InstanceReport, LeaseRequest, MemberStatus, Membership,
    PeerRequest, PeerResponse, PendingChanges, Prepare, Promise, PromoteRequest, Register,
    RegisterVersion, RegistersChunk, RegistersRequest, RequestEnvelope, ResponseEnvelope,
    ShardTable, Slice, SnapshotChunk, SnapshotRequest,
};
pub use edge::{
    ConfigurationUpdate, EdgeInfo, EdgeList, EdgeReadiness, EdgeWelcome, FromEdge, FromEdgeBody,
    Hello, LoadReport, ReportAcknowledgement, ShardEntry, ShardTableUpdate, SliceObservation,
    TableAcknowledgement, Task, TaskObservation, TaskState, TaskUpdate, ToEdge, ToEdgeBody,
};
pub use frame::{FrameDecoder, FrameError, MAX_FRAME_BYTES, encode_frame};
