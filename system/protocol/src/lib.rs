//! Wire protocol between assigners: messages in frames, each a length of four bytes (big end first) and a body.
//! Shared by streams of edges and of members; no I/O.

mod core;
mod edge;
mod frame;

pub use core::{
    Accept, Accepted, Asked, Ballot, Berth, Call, Calls, Dump, Heard, Lease, Member, Members, Packet, Pick,
    Prepare, Promise, Register, Reply, Said, Slice,
};
pub use edge::{
    Answered, Edge, EdgeAt, EdgeSays, Fleet, Goods, Hello, MarkAnswer, Ready, Report, Row, SliceSeen, State,
    Table, Task, TaskSeen, Tasks, ToEdge, ToEdgeBody, Welcome,
};
pub use frame::{Broken, Frames, MOST, frame};
