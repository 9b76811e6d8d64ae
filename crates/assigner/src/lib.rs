//! lynxmill's decisions and the interface that they are called through.

mod facts;
mod fleet;
mod kept;
mod orders;
mod rules;

pub use facts::{Facts, Listing, Operation, Seen, Standing};
pub use orders::Orders;
pub use rules::Assigner;
