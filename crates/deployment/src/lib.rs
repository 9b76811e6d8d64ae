//! A system of real processes on loopback: members of the core and edges, each with an address of its own, and calls to
//! them by HTTP.

pub mod client;
mod deployment;
pub mod heartbeat;
mod site;

pub use client::Answer;
pub use deployment::{Deployment, Machine, Size};
pub use rustix::process::Signal;
pub use site::{BEAT_S, REGION, Site, ZONES};
