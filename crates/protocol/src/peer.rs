//! What members of the core tell each other. Every request has a number, which its reply repeats; what wants
//! no reply has none.

use lynxmill_configuration::Item;

use crate::edge::Task;

/// Ballots are ordered by count, then by who made them; `life` is a number of the maker's process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Ballot {
    #[prost(uint64, tag = "1")]
    pub count: u64,
    #[prost(uint32, tag = "2")]
    pub node: u32,
    #[prost(uint32, tag = "3")]
    pub incarnation: u32,
}

/// The core's members by IPv4 address, in the order of their joining.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Membership {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, repeated, tag = "2")]
    pub ips: Vec<String>,
}

/// A compare-and-set register of one member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Register {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    #[prost(message, required, tag = "3")]
    pub accepted: Ballot,
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Prepare {
    #[prost(string, tag = "1")]
    pub register: String,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "3")]
    pub members: Membership,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Promise {
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Promised to whom, if not to this ballot.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    #[prost(message, required, tag = "3")]
    pub accepted: Ballot,
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
    /// The number of the last call whose items are merged on this member's disk.
    #[prost(uint64, tag = "5")]
    pub merged: u64,
    /// The number of the acceptor's life; an accept holds only within it.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Newer members than the asker knows.
    #[prost(message, optional, tag = "7")]
    pub members: Option<Membership>,
    /// A change of the members may have been agreed: that has to be finished first.
    #[prost(bool, tag = "8")]
    pub membership_changing: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Accept {
    #[prost(string, tag = "1")]
    pub register: String,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "3")]
    pub members: Membership,
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
    /// As the acceptor's promise told; 0 from whom none came.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    #[prost(bool, tag = "1")]
    pub ok: bool,
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
}

/// A change of the control state: items that came together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Change {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<Item>,
}

/// The value of the register `calls`: the last calls, from the first that is not merged on a majority.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PendingChanges {
    #[prost(uint64, tag = "1")]
    pub last_number: u64,
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<Change>,
}

/// A slice of a sharded service: keys `from` to `to`, both included.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Slice {
    #[prost(uint32, tag = "1")]
    pub from: u32,
    #[prost(uint32, tag = "2")]
    pub to: u32,
    /// The stored owner's `InstanceId`; empty if there never was one.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// The generation, which only rises.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
}

/// The value of a register `berth/SERVICE`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ShardTable {
    /// Rises with every custodian.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(string, tag = "2")]
    pub owner: String,
    #[prost(message, repeated, tag = "3")]
    pub slices: Vec<Slice>,
}

/// A custodian asks for its lease, or for a further one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseRequest {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub holder: String,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// It gives the lease back.
    #[prost(bool, tag = "5")]
    pub release: bool,
}

/// Who is there, told a few times a second; what a member knows of others' news is answered by `merged`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberStatus {
    #[prost(string, tag = "1")]
    pub ip: String,
    #[prost(message, required, tag = "2")]
    pub members: Membership,
    #[prost(uint64, tag = "3")]
    pub merged: u64,
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    #[prost(bool, tag = "5")]
    pub catching_up: bool,
    /// Services that it is custodian of.
    #[prost(string, repeated, tag = "6")]
    pub owned_services: Vec<String>,
    /// Addresses for what it serves.
    #[prost(string, tag = "7")]
    pub control_address: String,
    /// Sum over the tasks that it hears of: members that know the same tell the same.
    #[prost(uint64, tag = "8")]
    pub tasks_digest: u64,
    /// The same over its items.
    #[prost(uint64, tag = "9")]
    pub items_digest: u64,
    /// No member yet, it has read all that members hold and can be given a seat.
    #[prost(bool, tag = "10")]
    pub learner_ready: bool,
}

/// News of tasks, and who was heard lately: by `InstanceId` and `CallSeq`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InstanceReport {
    #[prost(message, repeated, tag = "1")]
    pub tasks: Vec<Task>,
    #[prost(string, repeated, tag = "2")]
    pub heartbeat_ids: Vec<String>,
    #[prost(uint64, repeated, tag = "3")]
    pub heartbeat_sequences: Vec<u64>,
}

/// Asks for the next part of a snapshot of the items: those in key ranges whose digest differs, after a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotRequest {
    /// The asker's digests, one a range; empty for all items.
    #[prost(uint64, repeated, tag = "1")]
    pub digests: Vec<u64>,
    /// The last key of the part before; empty for the first part.
    #[prost(string, tag = "2")]
    pub after: String,
}

/// One part of a snapshot, in the order of keys. All items were agreed, so each may be merged as it comes;
/// only the last part makes the snapshot whole.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// The last change that the sender had merged when it made this part.
    #[prost(uint64, tag = "1")]
    pub merged: u64,
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<Item>,
    #[prost(bool, tag = "3")]
    pub is_last: bool,
    /// Items that are left after this part.
    #[prost(uint32, tag = "4")]
    pub items_left: u32,
}

/// The ballot of the value that the asker holds of a register.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RegisterVersion {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(message, required, tag = "2")]
    pub accepted: Ballot,
}

/// Asks for the next part of a copy of all registers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegistersRequest {
    /// The last name of the part before; empty for the first part.
    #[prost(string, tag = "1")]
    pub after: String,
    /// Values that the asker holds already: these are left out.
    #[prost(message, repeated, tag = "2")]
    pub known: Vec<RegisterVersion>,
}

/// One part of a member's registers, in the order of names.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegistersChunk {
    #[prost(message, repeated, tag = "1")]
    pub registers: Vec<Register>,
    #[prost(message, required, tag = "2")]
    pub members: Membership,
    /// The membership that the sender has accepted and that is not known to be agreed. Until that is settled
    /// it answers no ballot of any other register, so these registers stay as they are.
    #[prost(message, optional, tag = "3")]
    pub pending_membership: Option<Membership>,
    /// The sender catches up itself: its copy counts for nothing.
    #[prost(bool, tag = "4")]
    pub catching_up: bool,
    #[prost(bool, tag = "5")]
    pub is_last: bool,
    #[prost(uint64, tag = "6")]
    pub merged: u64,
}

/// Asks a newcomer to take its seat: both majorities have accepted `next`, and it is to copy the registers of
/// those that have before it accepts as well.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PromoteRequest {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "2")]
    pub previous: Membership,
    #[prost(message, required, tag = "3")]
    pub next: Membership,
    /// Members of `previous` that have accepted `next`.
    #[prost(string, repeated, tag = "4")]
    pub sources: Vec<String>,
}

/// A request, or news.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerRequest {
    #[prost(message, tag = "2")]
    Prepare(Prepare),
    #[prost(message, tag = "3")]
    Accept(Accept),
    /// PendingChanges that were agreed.
    #[prost(message, tag = "4")]
    Learn(PendingChanges),
    #[prost(message, tag = "5")]
    LeaseRequest(LeaseRequest),
    #[prost(message, tag = "6")]
    MemberStatus(MemberStatus),
    #[prost(message, tag = "7")]
    InstanceReport(InstanceReport),
    #[prost(message, tag = "8")]
    Snapshot(SnapshotRequest),
    #[prost(message, tag = "9")]
    Registers(RegistersRequest),
    #[prost(message, tag = "10")]
    Promote(PromoteRequest),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestEnvelope {
    /// 0 where no reply is wanted.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(oneof = "PeerRequest", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<PeerRequest>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerResponse {
    #[prost(message, tag = "2")]
    Promise(Promise),
    #[prost(message, tag = "3")]
    Accepted(Accepted),
    /// A lease is given; that something was taken.
    #[prost(bool, tag = "4")]
    Acknowledged(bool),
    #[prost(message, tag = "5")]
    Snapshot(SnapshotChunk),
    #[prost(message, tag = "6")]
    MemberStatus(MemberStatus),
    #[prost(message, tag = "7")]
    Registers(RegistersChunk),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseEnvelope {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(oneof = "PeerResponse", tags = "2, 3, 4, 5, 6, 7")]
    pub body: Option<PeerResponse>,
}
