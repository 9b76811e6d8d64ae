//! Membership, leases and per-item consensus of the core. No sockets, no clock, no disk: what has to be on
//! disk before a reply goes out is handed to the caller with the reply.

mod acceptor;
mod changes;
mod election;
mod instances;
mod lease;
mod monitor;
mod quorum;
mod round;

pub use acceptor::{Acceptor, CATCH_UP_WAIT, MEMBERS, RegisterCopy};
pub use changes::{Decision, behind, unmerged, validate};
pub use election::{ElectionStep, LeaseElection};
pub use instances::{InstanceRecord, InstanceRegistry};
pub use lease::{HeldLease, LEASE, Leases};
pub use monitor::{MembershipChange, MembershipMonitor};
pub use quorum::{enough_to_merge, majority, node};
pub use round::{BallotRound, RoundOutcome};
