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

pub use acceptor::{Acceptor, MEMBERSHIP_REGISTER, RECOVERY_DELAY, RegisterCopy};
pub use changes::{Decision, is_behind, unmerged, validate};
pub use election::{ElectionStep, LeaseElection};
pub use instances::{InstanceRecord, InstanceRegistry};
pub use lease::{HeldLease, LEASE_DURATION, LeaseGrants};
pub use monitor::{MembershipChange, MembershipMonitor};
pub use quorum::{majority, node_number, recovery_quorum};
pub use round::{BallotRound, RoundOutcome};
