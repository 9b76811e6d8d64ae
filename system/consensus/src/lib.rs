//! Membership, leases and per-item consensus of the core. No sockets, no clock, no disk: what has to be on disk
//! before a reply goes out is handed to the caller with the reply.

mod acceptor;
mod calls;
mod claim;
mod lease;
mod quorum;
mod roll;
mod round;
mod tasks;

pub use acceptor::{Acceptor, BLANK_WAIT};
pub use calls::{Verdict, behind, judge, unmerged};
pub use claim::{Claim, Step};
pub use lease::{LEASE, Leases, Tenure};
pub use quorum::{enough_to_merge, majority, node};
pub use roll::{Change, Roll};
pub use round::{Round, Turn};
pub use tasks::{Known, Yard};
