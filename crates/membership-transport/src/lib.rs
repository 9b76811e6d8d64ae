//! A member on sockets: datagrams over UDP, exchanges over TCP at the same address, keys from files that may
//! change while it runs. It decides nothing; `lynxmill_membership` does.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, missing_docs)]

mod files;
mod runner;

pub use files::{TrustedKeys, beside, chance, fresh, read_secret, read_trust, write_secret};
pub use runner::{OpenSockets, Runner, TransportEvent, TransportOptions};
