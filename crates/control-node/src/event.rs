//! Changes of state that are worth a line in the log.

use std::fmt;

/// A line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    ContactFound,
    ContactLost,
    Synchronized,
    MembershipChanged { epoch: u64, members: String },
    MembershipChangeFailed { wanted: String },
    Promoted { epoch: u64 },
    PromotedWithoutResponse { newcomer: String },
    BecameVoter,
    SnapshotStarted { from: String },
    SnapshotComplete { items: usize },
    SnapshotFailed { from: String, items: usize },
    StorageFailed(String),
    StorageRecovered,
    EdgeJoined(String),
    EdgeLeft(String),
    OwnershipTaken { service: String, term: u64 },
    OwnershipLost(String),
    OwnershipDeposed(String),
    InstanceTimedOut { id: String, service: String },
    ChangeRefused(String),
    Evacuation { zone: String, on: bool },
    Leaving,
    LeftIncomplete(&'static str),
}

impl Event {
    /// Whether it asks for attention.
    pub fn is_warning(&self) -> bool {
        matches!(
            self,
            Event::ContactLost
                | Event::MembershipChangeFailed { .. }
                | Event::PromotedWithoutResponse { .. }
                | Event::SnapshotFailed { .. }
                | Event::StorageFailed(_)
                | Event::OwnershipLost(_)
                | Event::OwnershipDeposed(_)
                | Event::LeftIncomplete(_)
        )
    }
}

impl fmt::Display for Event {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::ContactFound => write!(out, "in contact with a majority"),
            Event::ContactLost => write!(
                out,
                "no contact with a majority: orders and joins are not served"
            ),
            Event::Synchronized => write!(out, "synchronized with a majority"),
            Event::MembershipChanged { epoch, members } => {
                write!(out, "members in epoch {epoch}: {members}")
            }
            Event::MembershipChangeFailed { wanted } => {
                write!(out, "the members can't be changed to {wanted}")
            }
            Event::Promoted { epoch } => {
                write!(out, "took a seat in epoch {epoch}, with all registers")
            }
            Event::PromotedWithoutResponse { newcomer } => {
                write!(
                    out,
                    "{newcomer} got a seat without an answer: it has to catch up as a member"
                )
            }
            Event::BecameVoter => {
                write!(
                    out,
                    "it votes again: all that was agreed has been read from others"
                )
            }
            Event::SnapshotStarted { from } => write!(out, "reads a snapshot from {from}"),
            Event::SnapshotComplete { items } => {
                write!(out, "the snapshot is whole, {items} items")
            }
            Event::SnapshotFailed { from, items } => {
                write!(
                    out,
                    "the snapshot from {from} broke off after {items} items"
                )
            }
            Event::StorageFailed(fault) => {
                write!(out, "no ballots until the disk takes writes again: {fault}")
            }
            Event::StorageRecovered => write!(out, "the disk takes writes again"),
            Event::EdgeJoined(name) => write!(out, "edge {name} joined"),
            Event::EdgeLeft(name) => write!(out, "edge {name} parted"),
            Event::OwnershipTaken { service, term } => {
                write!(out, "owns the shards of {service} in term {term}")
            }
            Event::OwnershipLost(service) => {
                write!(out, "the lease on the shards of {service} has run out")
            }
            Event::OwnershipDeposed(service) => write!(out, "another owns the shards of {service}"),
            Event::InstanceTimedOut { id, service } => {
                write!(out, "task {id} of {service} is silent")
            }
            Event::ChangeRefused(fault) => write!(out, "a change was refused: {fault}"),
            Event::Evacuation { zone, on: true } => write!(out, "zone {zone} is to be empty"),
            Event::Evacuation { zone, on: false } => write!(out, "zone {zone} is taken back"),
            Event::Leaving => write!(out, "leaving"),
            Event::LeftIncomplete(what) => write!(out, "leaves in time, but without {what}"),
        }
    }
}
