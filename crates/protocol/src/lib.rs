//! The wire protocol between assigners: messages in frames, without I/O. Field numbers and kinds of
//! messages are part of the protocol and never change; names are free.

mod compression;
mod edge;
mod frame;
mod peer;

pub use edge::{
    ConfigurationUpdate, EdgeInfo, EdgeList, EdgeReadiness, EdgeWelcome, EvacuationNotice,
    FromEdge, FromEdgeBody, Hello, LATENCY_BUCKETS, LoadReport, OutcomeCounts,
    ReportAcknowledgement, RolloutObservation, ShardEntry, ShardTableUpdate, SliceObservation,
    TableAcknowledgement, Task, TaskObservation, TaskState, TaskUpdate, ToEdge, ToEdgeBody,
    latency_bucket,
};
pub use frame::{FrameDecoder, FrameError, MAX_FRAME_BYTES, encode_frame};
pub use peer::{
    Accept, Accepted, Ballot, Change, HeartbeatLoad, InstanceReport, LeaseRequest, MemberStatus,
    Membership, PeerRequest, PeerResponse, PendingChanges, Prepare, Promise, PromoteRequest,
    Register, RegisterVersion, RegistersChunk, RegistersRequest, RequestEnvelope, ResponseEnvelope,
    ShardTable, Slice, SnapshotChunk, SnapshotRequest,
};
