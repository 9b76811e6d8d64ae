//! What has to hold in every run, as the violation of each invariant.

use std::fmt;

use lynxmill_protocol::Ballot;

/// An invariant that a run has broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A read-back or a starting edge has an older version than was acknowledged, or none.
    AcknowledgedChangeMissing {
        place: String,
        key: String,
        acknowledged: u64,
        found: Option<u64>,
    },
    /// A version holds other content than was acknowledged.
    OtherContent {
        place: String,
        key: String,
        version: u64,
    },
    /// Two contents of one version were acknowledged.
    TwoContents {
        key: String,
        version: u64,
    },
    TakenThenRefused {
        order: usize,
        why: String,
    },
    InvalidAcknowledged {
        order: usize,
    },
    /// What was refused or is invalid, or what nobody sent.
    RefusedInForce {
        place: String,
        key: String,
        version: u64,
    },
    /// Two routes that stand have the same host and prefix.
    DuplicateRoute {
        place: String,
        first: String,
        second: String,
    },
    EvacuationLost {
        zone: String,
        on: bool,
    },
    /// A node served without contact with a majority.
    ServedCutOff {
        machine: usize,
        what: &'static str,
        cut_off_ms: i64,
    },
    /// A task that drains or is gone, which was acknowledged, is taken for ready.
    DrainForgotten {
        task: String,
        place: String,
    },
    TwoOwners {
        from: u32,
        first: String,
        second: String,
    },
    /// Two nodes take the lease on a service's shards for theirs.
    TwoLeaseHolders {
        service: String,
        first: usize,
        second: usize,
    },
    TwoValuesOfOneBallot {
        register: String,
        ballot: Ballot,
    },
    AnsweredTwice {
        call: u64,
    },
    /// An acknowledged rollout is not in a read-back.
    RolloutLost {
        version: String,
    },
    /// A rollout that had ended has another state.
    RolloutWentBack {
        version: String,
    },
    RolloutRefused {
        version: String,
        why: String,
    },
    BadVersionCompleted {
        version: String,
    },
    /// A bad version got more requests in its term than it may.
    BadVersionExposed {
        version: String,
        requests: u64,
        sent: u64,
    },
    RolloutStuck {
        version: String,
    },
    /// Liveness in calm time.
    OrderStuck {
        order: usize,
    },
    NoVoter {
        machine: usize,
    },
    ShardsWithoutOwner {
        service: String,
    },
    EdgeNotServed {
        edge: String,
    },
    /// The register of changes holds too many.
    RegisterGrew {
        machine: usize,
        changes: usize,
    },
    Panicked {
        message: String,
    },
}

impl Violation {
    /// Two violations of the same kind break the same invariant.
    pub fn kind(&self) -> std::mem::Discriminant<Violation> {
        std::mem::discriminant(self)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::AcknowledgedChangeMissing {
                place,
                key,
                acknowledged,
                found: Some(found),
            } => {
                write!(
                    out,
                    "{place} has {key} at {found}, though {acknowledged} was acknowledged"
                )
            }
            Violation::AcknowledgedChangeMissing {
                place,
                key,
                acknowledged,
                found: None,
            } => {
                write!(
                    out,
                    "{place} lacks {key}, though {acknowledged} was acknowledged"
                )
            }
            Violation::OtherContent {
                place,
                key,
                version,
            } => {
                write!(
                    out,
                    "{place} has {key} at {version} with other content than was acknowledged"
                )
            }
            Violation::TwoContents { key, version } => {
                write!(out, "two contents of {key} at {version} were acknowledged")
            }
            Violation::TakenThenRefused { order, why } => {
                write!(
                    out,
                    "order {order} was acknowledged before and is refused now: {why}"
                )
            }
            Violation::InvalidAcknowledged { order } => {
                write!(out, "order {order} is invalid and was acknowledged")
            }
            Violation::RefusedInForce {
                place,
                key,
                version,
            } => {
                write!(
                    out,
                    "{place} has {key} at {version}, which was refused or is invalid"
                )
            }
            Violation::DuplicateRoute {
                place,
                first,
                second,
            } => {
                write!(
                    out,
                    "{place} has {first} and {second} with the same host and prefix"
                )
            }
            Violation::EvacuationLost { zone, on } => {
                write!(
                    out,
                    "the acknowledged evacuation of {zone} ({on}) is not in the read-back"
                )
            }
            Violation::ServedCutOff {
                machine,
                what,
                cut_off_ms,
            } => {
                write!(
                    out,
                    "node {machine}, cut off for {cut_off_ms} ms, served {what}"
                )
            }
            Violation::DrainForgotten { task, place } => {
                write!(
                    out,
                    "{place} takes {task} for ready, though its drain was acknowledged"
                )
            }
            Violation::TwoOwners {
                from,
                first,
                second,
            } => {
                write!(
                    out,
                    "{first} and {second} hold the keys from {from} at once"
                )
            }
            Violation::TwoLeaseHolders {
                service,
                first,
                second,
            } => {
                write!(
                    out,
                    "nodes {first} and {second} hold the lease on the shards of {service} at once"
                )
            }
            Violation::TwoValuesOfOneBallot { register, ballot } => {
                write!(
                    out,
                    "two values of register {register} were accepted under ballot {ballot:?}"
                )
            }
            Violation::AnsweredTwice { call } => write!(out, "call {call} was answered twice"),
            Violation::RolloutLost { version } => {
                write!(
                    out,
                    "the acknowledged rollout to {version} is not in the read-back"
                )
            }
            Violation::RolloutWentBack { version } => {
                write!(out, "the rollout to {version} had ended otherwise")
            }
            Violation::RolloutRefused { version, why } => {
                write!(out, "the rollout to {version} was refused: {why}")
            }
            Violation::BadVersionCompleted { version } => {
                write!(out, "the rollout to {version} was completed")
            }
            Violation::BadVersionExposed {
                version,
                requests,
                sent,
            } => {
                write!(
                    out,
                    "{version} got {sent} of {requests} requests in its term"
                )
            }
            Violation::RolloutStuck { version } => {
                write!(out, "the rollout to {version} has not ended in calm time")
            }
            Violation::OrderStuck { order } => {
                write!(out, "order {order} was not acknowledged in calm time")
            }
            Violation::NoVoter { machine } => {
                write!(out, "member {machine} does not vote in calm time")
            }
            Violation::ShardsWithoutOwner { service } => {
                write!(out, "nobody grants the shards of {service} in calm time")
            }
            Violation::EdgeNotServed { edge } => {
                write!(out, "{edge} got no configuration in calm time")
            }
            Violation::RegisterGrew { machine, changes } => {
                write!(
                    out,
                    "the register of node {machine} holds {changes} changes"
                )
            }
            Violation::Panicked { message } => write!(out, "panic: {message}"),
        }
    }
}
