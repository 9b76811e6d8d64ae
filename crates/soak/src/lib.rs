//! A seeded soak of real processes: a system on loopback with clients, tasks and operators of its own, disrupted in series by
//! signals, restarts and changes. All that is sent, run, answered and granted goes into a ledger, and rules check it.

mod clients;
mod error;
mod http;
mod keys;
pub mod ledger;
mod links;
mod operators;
pub mod plot;
mod processes;
pub mod report;
mod rollouts;
pub mod rules;
mod run;
pub mod schedule;
pub mod settings;
mod shrink;
mod tasks;
mod versions;

pub use error::SoakError;
pub use run::run;
pub use shrink::{Find, shrink};
