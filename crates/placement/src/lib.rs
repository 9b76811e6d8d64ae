//! Shard placement for one sharded service: the root crate's `Assigner` decides, edges are its proxies, and
//! so is every task, as a holder that answers a mark only once it has let go what was shut. No I/O and no
//! clock.

mod decisions;
mod planner;
mod shard_lease;
mod split;

pub use planner::{
    Grant, HeldShard, Parameters, PlacementPlanner, PlacementStep, ReleasedShard, TaskHoldings,
    initial_slices,
};
pub use shard_lease::{CLOCK_DRIFT, ShardLease};
