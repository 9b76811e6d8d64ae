//! lynxmill's decisions and the interface that they are called through.

mod chance;
mod facts;
mod fleet;
mod kept;
mod orders;
mod rules;
mod time;

pub use chance::Pcg;
pub use facts::{Facts, Listing, Operation, Seen, Standing};
pub use orders::Orders;
pub use rules::Assigner;
pub use time::{TimeDelta, Timestamp};
