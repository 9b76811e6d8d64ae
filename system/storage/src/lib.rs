//! Durable store of the control state. What a write holds is on disk when it returns; writers that come while a
//! sync is under way share the next one.

mod digest;
pub mod inspect;
mod store;

pub use digest::{RANGES, differing, digests, range, sum};
pub use store::{Batch, Held, StorageError, Store, Ticket, VERSION};
