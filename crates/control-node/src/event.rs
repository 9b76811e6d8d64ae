//! Changes of state that are worth a line in the log.

use std::fmt;

/// A change of state that is worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A majority answers.
    ContactFound,
    /// No majority answers any more.
    ContactLost,
    /// Compared with a majority.
    Synchronized,
    /// A change of the members was chosen.
    MembershipChanged {
        /// The epoch of the membership.
        epoch: u64,
        /// IPv4 addresses of the members, separated by spaces.
        members: String,
    },
    /// A change of the members was abandoned.
    MembershipChangeFailed {
        /// IPv4 addresses of the members that were wanted.
        wanted: String,
    },
    /// This node, a learner, votes.
    Promoted {
        /// The epoch of the membership.
        epoch: u64,
    },
    /// The change stands, but its learner did not answer.
    PromotedWithoutResponse {
        /// The learner's IPv4 address.
        newcomer: String,
    },
    /// This node votes again after its disk was lost.
    BecameVoter,
    /// A snapshot is read.
    SnapshotStarted {
        /// The member, by IPv4 address.
        from: String,
    },
    /// All items have arrived.
    SnapshotComplete {
        /// Items that have arrived.
        items: usize,
    },
    /// A chunk did not arrive.
    SnapshotFailed {
        /// The member, by IPv4 address.
        from: String,
        /// Items that have arrived.
        items: usize,
    },
    /// A write has failed; the text is the disk's error.
    StorageFailed(String),
    /// Everything has been written again.
    StorageRecovered,
    /// An edge has opened its stream.
    EdgeJoined(String),
    /// An edge's stream has ended.
    EdgeLeft(String),
    /// This node owns a shard table.
    OwnershipTaken {
        /// The sharded service.
        service: String,
        /// The term of the shard table.
        term: u64,
    },
    /// The lease on a shard table has expired.
    OwnershipLost(String),
    /// Another member owns the shard table.
    OwnershipDeposed(String),
    /// A task sends no heartbeats.
    InstanceTimedOut {
        /// `InstanceId`.
        id: String,
        /// The sharded service.
        service: String,
    },
    /// The first task of a version of a service was heard of.
    VersionSeen {
        /// The service.
        service: String,
        /// The version of its software.
        version: String,
    },
    /// An operator's rollout was agreed on.
    RolloutOrdered {
        /// The service.
        service: String,
        /// The version that is brought in.
        version: String,
    },
    /// This member has a decision on a rollout agreed on.
    RolloutDecided {
        /// The service.
        service: String,
        /// The version that is brought in.
        version: String,
        /// What is decided.
        decision: String,
        /// Why.
        reason: String,
    },
    /// A rollout waits for something else than before.
    RolloutWaits {
        /// The service.
        service: String,
        /// The version that is brought in.
        version: String,
        /// What it waits for.
        waits_for: String,
    },
    /// A decision on a rollout was agreed on.
    RolloutAdvanced {
        /// The service.
        service: String,
        /// The version that is brought in.
        version: String,
        /// What is in force.
        decision: String,
    },
    /// A change breaks a rule; the text names item and rule.
    ChangeRefused(String),
    /// A zone is evacuated, or taken back.
    Evacuation {
        /// The zone.
        zone: String,
        /// Whether the zone is emptied, or taken back.
        on: bool,
    },
    /// An order was sent before a decision that it would undo: its caller is asked to send it again.
    OrderOutdated {
        /// What it asks for.
        order: String,
        /// The last change that was merged here before it was sent.
        sent_after: u64,
    },
    /// This node shuts down gracefully.
    Leaving,
    /// The grace is over, but others do not hold everything.
    LeftIncomplete(&'static str),
}

impl Event {
    /// Whether it asks for an engineer's attention.
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
                write!(
                    out,
                    "promoted to a voter in epoch {epoch}, with all registers"
                )
            }
            Event::PromotedWithoutResponse { newcomer } => {
                write!(
                    out,
                    "{newcomer} was added without a response: it has to catch up as a member"
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
                write!(out, "the snapshot is complete, {items} items")
            }
            Event::SnapshotFailed { from, items } => {
                write!(
                    out,
                    "the snapshot from {from} broke off after {items} items"
                )
            }
            Event::StorageFailed(error) => {
                write!(out, "no ballots until the disk takes writes again: {error}")
            }
            Event::StorageRecovered => write!(out, "the disk takes writes again"),
            Event::EdgeJoined(name) => write!(out, "edge {name} joined"),
            Event::EdgeLeft(name) => write!(out, "edge {name} left"),
            Event::OwnershipTaken { service, term } => {
                write!(out, "owns the shards of {service} in term {term}")
            }
            Event::OwnershipLost(service) => {
                write!(out, "the lease on the shards of {service} has run out")
            }
            Event::OwnershipDeposed(service) => write!(out, "another owns the shards of {service}"),
            Event::InstanceTimedOut { id, service } => {
                write!(out, "task {id} of {service} has timed out")
            }
            Event::VersionSeen { service, version } => {
                write!(out, "first task of {service} in version {version}")
            }
            Event::RolloutOrdered { service, version } => {
                write!(out, "version {version} of {service} is to be brought in")
            }
            Event::RolloutDecided {
                service,
                version,
                decision,
                reason,
            } => write!(
                out,
                "rollout of {service} to {version}: decides on {decision}: {reason}"
            ),
            Event::RolloutWaits {
                service,
                version,
                waits_for,
            } => write!(
                out,
                "rollout of {service} to {version} waits for {waits_for}"
            ),
            Event::RolloutAdvanced {
                service,
                version,
                decision,
            } => write!(out, "rollout of {service} to {version}: {decision}"),
            Event::ChangeRefused(error) => write!(out, "a change was refused: {error}"),
            Event::Evacuation { zone, on: true } => write!(out, "zone {zone} is evacuated"),
            Event::Evacuation { zone, on: false } => write!(out, "zone {zone} is taken back"),
            Event::OrderOutdated { order, sent_after } => write!(
                out,
                "an order {order}, sent after change {sent_after}, was overtaken: its caller is asked to send it again"
            ),
            Event::Leaving => write!(out, "leaving"),
            Event::LeftIncomplete(what) => {
                write!(out, "leaves at the end of its grace, but without {what}")
            }
        }
    }
}
