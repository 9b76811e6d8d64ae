//! Consensus of the core without I/O, clock or disk: single-decree Paxos registers with changing
//! members, leases, and the registry of task instances. Whatever has to be on disk before a
//! response goes out is returned with the response.

mod acceptor;
mod ballot_round;
mod changes;
mod election;
mod instance_registry;
mod lease;
mod membership_monitor;
mod quorum;

pub use acceptor::{Acceptor, MEMBERSHIP_REGISTER, RECOVERY_DELAY, RegisterCopy};
pub use ballot_round::{BallotRound, RoundOutcome};
pub use changes::{Decision, is_behind, newest_item, unmerged, validate, with_refusal};
pub use election::{ElectionStep, LeaseElection};
pub use instance_registry::{InstanceRecord, InstanceRegistry};
pub use lease::{HeldLease, LEASE_DURATION, LeaseGrants};
pub use membership_monitor::{MembershipChange, MembershipMonitor};
pub use quorum::{majority, node_number, recovery_quorum};
