//! Operator tooling and a local deployment: files checked, running programs shown, changes planned, and the
//! whole system tried on loopback. `lynxmill system` hands its words to the parser here.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, missing_docs)]

pub mod check;
mod command_line;
pub mod disk;
mod disk_command_line;
mod explore;
pub mod plan;
pub mod rollout;
mod rollout_command_line;
mod show;
mod soak;
mod task;
mod trial;

pub use command_line::run;
pub use lynxmill_deployment::client::{Answer, REDIRECT, agent, by, by_following, get, patch};
pub use lynxmill_deployment::{Deployment, Machine, Signal, Site};
pub use task::{Task, TaskOptions};
pub use trial::{FIRST_VERSION, HOST, Kind, Sent, configuration, kinds, resolve, send, tasks};
