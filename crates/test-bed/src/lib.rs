//! A whole deployment on loopback, started by one call: a registry and discovery that stand in, servers with a ledger, and
//! the project's own assigners and forwarders as processes; a load of clients, troubles from a seed, and all rules
//! checked from the ledger at the end. For tests, for trying things out, for measurements.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, missing_docs)]

mod faults;
mod load;
mod process;
mod world;

pub use faults::{Fault, FaultSchedule};
pub use load::{Load, Outcome, Tally};
pub use process::{Process, program};
pub use world::{TestBed, TestBedOptions};
