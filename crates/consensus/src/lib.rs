//! Membership, leases and per-item consensus of the core. No sockets, no clock, no disk: what has to be on
//! disk before a reply goes out is handed to the caller with the reply.

mod acceptor;
mod changes;
mod election;
mod instance_registry;
mod lease;
mod membership_monitor;
mod quorum;
mod ballot_round;

pub use acceptor::{Acceptor, MEMBERSHIP_REGISTER, RECOVERY_DELAY, RegisterCopy};
pub use changes::{Decision, is_behind, unmerged, validate};
pub use election::{ElectionStep, LeaseElection};
pub use instance_registry::{InstanceRecord, InstanceRegistry};
pub use lease::{HeldLease, LEASE_DURATION, LeaseGrants};
pub use membership_monitor::{MembershipChange, MembershipMonitor};
pub use quorum::{majority, node_number, recovery_quorum};
pub use ballot_round::{BallotRound, RoundOutcome};
