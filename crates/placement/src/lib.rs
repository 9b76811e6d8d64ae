//! Shard placement for one sharded service: the root crate's `Assigner` decides, edges are its proxies, and
//! so is every task, as a holder that answers a mark only once it has let go what was shut. No I/O and no
//! clock.

mod holds;
mod orders;
mod place;
mod split;

pub use holds::{Hold, SLOW_CLOCK};
pub use place::{Grant, PlacementPlanner, PlacementStep, Terms, Told, fresh};
