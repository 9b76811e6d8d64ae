//! Durable store of the control state. What a write holds is on disk when it returns; writers that come while
//! a sync is under way share the next one.

mod digest;
mod group;
pub mod inspect;
mod store;
mod sync;

pub use digest::{RANGES, differing, digests, range, sum};
pub use group::{GroupCommit, Joined, Ticket};
pub use store::{Batch, Held, StorageError, Store, VERSION};
