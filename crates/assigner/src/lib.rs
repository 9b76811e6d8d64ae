//! lynxmill's decisions and the interface that they are called through.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, missing_docs, unreachable_pub)]

mod assigner;
mod facts;
mod fleet;
mod kept;
mod orders;

pub use assigner::Assigner;
pub use facts::{Facts, Listing, Operation, Seen, Standing};
pub use orders::Orders;
