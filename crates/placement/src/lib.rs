//! Shard placement for one sharded service, without I/O or clock: which task owns which keys. The
//! decisions are the assigner's; edges are its proxies, and so is every task, as a lease holder
//! that acknowledges a barrier only once it holds nothing of what was closed by it.

mod decisions;
mod planner;
mod shard_lease;
mod split;

pub use planner::{
    Grant, HeldShard, Parameters, PlacementPlanner, PlacementStep, ReleasedShard, TaskHoldings,
    initial_slices,
};
pub use shard_lease::{CLOCK_DRIFT, ShardLease};
