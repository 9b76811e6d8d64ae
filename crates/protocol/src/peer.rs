//! Messages between members of the core. Every request has an id that its response repeats; a
//! notification has the id 0 and gets no response.

use lynxmill_configuration::Item;

use crate::edge::Task;

/// A ballot number: ordered by count, then by the proposer. Each proposer gives every ballot once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Ballot {
    /// Higher than every count that the proposer has seen.
    #[prost(uint64, tag = "1")]
    pub count: u64,
    /// The proposer's IPv4 address as a number.
    #[prost(uint32, tag = "2")]
    pub node: u32,
    /// The low half of the proposer's incarnation, so that a restarted process never repeats a
    /// ballot.
    #[prost(uint32, tag = "3")]
    pub incarnation: u32,
}

/// The members of the core by IPv4 address, in the order in which they joined.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Membership {
    /// Rises by one with each change of the members.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// IPv4 addresses without port.
    #[prost(string, repeated, tag = "2")]
    pub ips: Vec<String>,
}

/// A single-decree Paxos register as one acceptor holds it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Register {
    /// `calls` (changes), `members`, or `berth/SERVICE` (a shard table).
    #[prost(string, tag = "1")]
    pub name: String,
    /// The highest ballot that was promised.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    /// The ballot by which `value` was accepted; the default ballot if none was.
    #[prost(message, required, tag = "3")]
    pub accepted: Ballot,
    /// The accepted value, as an encoded message; empty if none was accepted.
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
}

/// Phase 1a: asks an acceptor to promise a ballot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Prepare {
    /// The name of the register.
    #[prost(string, tag = "1")]
    pub register: String,
    /// The ballot to be promised.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The membership by which the proposer counts its majority.
    #[prost(message, required, tag = "3")]
    pub members: Membership,
}

/// Phase 1b: an acceptor's answer to `Prepare`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Promise {
    /// Whether the ballot was promised.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// The highest ballot that was promised before this request.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    /// The ballot by which `value` was accepted.
    #[prost(message, required, tag = "3")]
    pub accepted: Ballot,
    /// The accepted value; empty if none was accepted.
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
    /// The number of the last change whose items are merged on this member's disk.
    #[prost(uint64, tag = "5")]
    pub merged: u64,
    /// The incarnation of the acceptor's process; an accept holds only within it.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// A newer membership than the proposer knows.
    #[prost(message, optional, tag = "7")]
    pub members: Option<Membership>,
    /// A change of the members may have been chosen: that has to be finished first.
    #[prost(bool, tag = "8")]
    pub membership_changing: bool,
}

/// Phase 2a: asks an acceptor to accept a value.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accept {
    /// The name of the register.
    #[prost(string, tag = "1")]
    pub register: String,
    /// The ballot that was promised.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The membership by which the proposer counts its majority.
    #[prost(message, required, tag = "3")]
    pub members: Membership,
    /// The value, as an encoded message.
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
    /// The incarnation that the acceptor's promise named; 0 for an acceptor that has not promised.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

/// Phase 2b: an acceptor's answer to `Accept`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    /// Whether the value was accepted.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// The highest ballot that the acceptor has promised.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
}

/// One change of the configuration: items that were agreed on together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Change {
    /// Rises by one with each change.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The items with their history, to be merged in any order.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<Item>,
}

/// The value of the register `calls`: agreed changes from the first that is not merged on a
/// majority.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PendingChanges {
    /// The number of the last change that was ever agreed, also if it is no longer in `changes`.
    #[prost(uint64, tag = "1")]
    pub last_number: u64,
    /// The changes in the order of their numbers.
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<Change>,
}

/// A range of keys of a sharded service with one owner.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Slice {
    /// The first key.
    #[prost(uint32, tag = "1")]
    pub from: u32,
    /// The last key, included.
    #[prost(uint32, tag = "2")]
    pub to: u32,
    /// The stored owner's `InstanceId`; empty if there never was one.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// The fencing token: it rises with every change of the owner.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
}

/// The value of a register `berth/SERVICE`: who owns which keys, and which member decides on it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ShardTable {
    /// Rises with every new owner of the table; writes of an older term are refused.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The member that decides on this table, by IPv4 address.
    #[prost(string, tag = "2")]
    pub owner: String,
    /// Slices in the order of their keys, without gaps.
    #[prost(message, repeated, tag = "3")]
    pub slices: Vec<Slice>,
}

/// Asks a member for the lease on a service's shard table, or for its renewal.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseRequest {
    /// The sharded service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The member that asks, by IPv4 address.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// The incarnation of the holder's process: a restarted one holds no lease of the former.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The epoch of the membership that the holder goes by.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Gives the lease back instead of asking for it.
    #[prost(bool, tag = "5")]
    pub release: bool,
}

/// The heartbeat between members, sent a few times a second; its response is the receiver's status.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberStatus {
    /// The sender's IPv4 address.
    #[prost(string, tag = "1")]
    pub ip: String,
    /// The newest membership that the sender has adopted.
    #[prost(message, required, tag = "2")]
    pub members: Membership,
    /// The number of the last change that the sender has merged.
    #[prost(uint64, tag = "3")]
    pub merged: u64,
    /// The sender shuts down gracefully.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// The sender has no vote until it has read the registers of others.
    #[prost(bool, tag = "5")]
    pub catching_up: bool,
    /// Services whose shard tables the sender owns.
    #[prost(string, repeated, tag = "6")]
    pub owned_services: Vec<String>,
    /// Where the sender serves tasks and operators, as `IP:PORT`.
    #[prost(string, tag = "7")]
    pub control_address: String,
    /// Digest of the tasks that the sender knows: equal where the tasks are equal.
    #[prost(uint64, tag = "8")]
    pub tasks_digest: u64,
    /// Digest of the configuration's items.
    #[prost(uint64, tag = "9")]
    pub items_digest: u64,
    /// The sender is a learner that has read all items and can be promoted.
    #[prost(bool, tag = "10")]
    pub learner_ready: bool,
    /// Tasks that send their heartbeats to the sender; none from versions that do not count them.
    #[prost(message, optional, tag = "11")]
    pub heartbeats: Option<HeartbeatLoad>,
}

/// Tasks that send their heartbeats to a member.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HeartbeatLoad {
    /// Those that may send them to another member as well.
    #[prost(uint32, tag = "1")]
    pub movable: u32,
    /// Those whose shards the member owns.
    #[prost(uint32, tag = "2")]
    pub pinned: u32,
}

/// Changed tasks, and heartbeats that the sender received lately.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InstanceReport {
    /// Tasks whose state changed.
    #[prost(message, repeated, tag = "1")]
    pub tasks: Vec<Task>,
    /// `InstanceId`s of tasks whose heartbeats were received.
    #[prost(string, repeated, tag = "2")]
    pub heartbeat_ids: Vec<String>,
    /// The `CallSeq` of each of these heartbeats, in the same order.
    #[prost(uint64, repeated, tag = "3")]
    pub heartbeat_sequences: Vec<u64>,
}

/// Asks for the next chunk of a snapshot: the items in key ranges whose digests differ.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotRequest {
    /// The requester's digests, one for each range; empty to get all items.
    #[prost(uint64, repeated, tag = "1")]
    pub digests: Vec<u64>,
    /// The last key of the previous chunk; empty for the first one.
    #[prost(string, tag = "2")]
    pub after: String,
}

/// One chunk of a snapshot, in the order of keys. All items were agreed on, so each may be merged
/// as it arrives; only the last chunk makes the snapshot complete.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// The number of the last change that the sender had merged when it made this chunk.
    #[prost(uint64, tag = "1")]
    pub merged: u64,
    /// About 128 KiB of items.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<Item>,
    /// No items follow.
    #[prost(bool, tag = "3")]
    pub is_last: bool,
    /// How many items follow in later chunks.
    #[prost(uint32, tag = "4")]
    pub items_left: u32,
}

/// Which value of a register the requester holds already.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RegisterVersion {
    /// The name of the register.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The ballot by which its value was accepted.
    #[prost(message, required, tag = "2")]
    pub accepted: Ballot,
}

/// Asks for the next chunk of a copy of all registers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegistersRequest {
    /// The last name of the previous chunk; empty for the first one.
    #[prost(string, tag = "1")]
    pub after: String,
    /// Values that the requester holds already: the response leaves them out.
    #[prost(message, repeated, tag = "2")]
    pub known: Vec<RegisterVersion>,
}

/// One chunk of a member's registers, in the order of their names.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegistersChunk {
    /// About 128 KiB of registers; values that the requester knows are empty.
    #[prost(message, repeated, tag = "1")]
    pub registers: Vec<Register>,
    /// The membership that the sender has adopted.
    #[prost(message, required, tag = "2")]
    pub members: Membership,
    /// A membership that the sender has accepted and that is not known to be chosen. Until that is
    /// settled it answers no ballot of any other register, so the copied registers do not change.
    #[prost(message, optional, tag = "3")]
    pub pending_membership: Option<Membership>,
    /// The sender has no vote itself: its copy counts for nothing.
    #[prost(bool, tag = "4")]
    pub catching_up: bool,
    /// No registers follow.
    #[prost(bool, tag = "5")]
    pub is_last: bool,
    /// The number of the last change that the sender has merged.
    #[prost(uint64, tag = "6")]
    pub merged: u64,
    /// The sender has its vote, but its disk refuses writes: what it has in memory is all that is on
    /// its disk, and more. Builds that do not know this field take `catching_up`, which is set as well.
    #[prost(bool, tag = "7")]
    pub storage_failed: bool,
}

/// Asks a learner to become a voter of `next`, which a majority of `previous` has accepted. It
/// first copies the registers of those that have.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PromoteRequest {
    /// The ballot by which `next` was accepted.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The membership before the change.
    #[prost(message, required, tag = "2")]
    pub previous: Membership,
    /// The membership after the change, with the learner.
    #[prost(message, required, tag = "3")]
    pub next: Membership,
    /// Members of `previous`; copies of those that have accepted `next` count.
    #[prost(string, repeated, tag = "4")]
    pub sources: Vec<String>,
}

/// A request or a notification between members.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerRequest {
    /// Phase 1a of a ballot.
    #[prost(message, tag = "2")]
    Prepare(Prepare),
    /// Phase 2a of a ballot.
    #[prost(message, tag = "3")]
    Accept(Accept),
    /// Changes that were chosen.
    #[prost(message, tag = "4")]
    Learn(PendingChanges),
    /// Asks for a lease, or releases it.
    #[prost(message, tag = "5")]
    LeaseRequest(LeaseRequest),
    /// The sender's heartbeat.
    #[prost(message, tag = "6")]
    MemberStatus(MemberStatus),
    /// What the sender knows of tasks.
    #[prost(message, tag = "7")]
    InstanceReport(InstanceReport),
    /// Asks for items.
    #[prost(message, tag = "8")]
    Snapshot(SnapshotRequest),
    /// Asks for registers.
    #[prost(message, tag = "9")]
    Registers(RegistersRequest),
    /// Asks a learner to become a voter.
    #[prost(message, tag = "10")]
    Promote(PromoteRequest),
}

/// A request with its id.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestEnvelope {
    /// Unique among the sender's requests; 0 for a notification.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The request; none if its kind is not known to this build.
    #[prost(oneof = "PeerRequest", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<PeerRequest>,
}

/// The response to a `PeerRequest`.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerResponse {
    /// To `Prepare`.
    #[prost(message, tag = "2")]
    Promise(Promise),
    /// To `Accept`.
    #[prost(message, tag = "3")]
    Accepted(Accepted),
    /// To a lease request, a report, a notification of changes or a promotion: whether it was
    /// taken.
    #[prost(bool, tag = "4")]
    Acknowledged(bool),
    /// To `Snapshot`.
    #[prost(message, tag = "5")]
    Snapshot(SnapshotChunk),
    /// To `MemberStatus`: the receiver's own status.
    #[prost(message, tag = "6")]
    MemberStatus(MemberStatus),
    /// To `Registers`.
    #[prost(message, tag = "7")]
    Registers(RegistersChunk),
}

/// A response with the id of its request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseEnvelope {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The response; none if its kind is not known to this build.
    #[prost(oneof = "PeerResponse", tags = "2, 3, 4, 5, 6, 7")]
    pub body: Option<PeerResponse>,
}
