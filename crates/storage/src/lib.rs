//! Durable store of the control state. What a write holds is on disk when it returns; writers that come while
//! a sync is under way share the next one.

mod digest;
mod group_commit;
pub mod inspect;
mod store;
mod sync;

pub use digest::{RANGE_COUNT, combined_digest, differing_items, digests, range_of};
pub use group_commit::{GroupCommit, Mergeable, Ticket};
pub use store::{Batch, DiskContents, FORMAT_VERSION, StorageError, Store};
