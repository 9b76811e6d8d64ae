//! A whole deployment on loopback, started by one call: a registry and discovery that stand in, servers with a ledger, and
//! the project's own assigners and forwarders as processes; a load of clients, troubles from a seed, and all rules
//! checked from the ledger at the end. For tests, for trying things out, for measurements.

mod load;
mod process;
mod troubles;
mod world;

pub use load::{Load, Outcome, Tally};
pub use process::{Process, program};
pub use troubles::{Trouble, Troubles};
pub use world::{Rig, Wish};
