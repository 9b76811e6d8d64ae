//! The record of a day: its head, the world behind it and what each assigner heard and ordered, at their times.
//!
//! A file is the mark `lynxday\n`, the version as two bytes, then frames; `frame.rs` has their form. Times are
//! microseconds from the day's beginning. Whoever writes calls `Writer` with parts in any order of kind, a head
//! first; whoever reads gets a `Day` and how far it could be read.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, missing_docs)]

mod count;
mod frame;
mod merge;
mod parts;
mod read;
mod ring;
mod write;

pub use count::{DayCounts, KnownServer, Row, UnavailableSpan, count};
pub use frame::{FrameError, VERSION};
pub use merge::merge;
pub use parts::{
    Asks, Assigner, Clients, Day, Entry, Forwarder, Head, Life, Link, Log, Operation,
    RecordedEvent, RecordedFault, Server, Source, World,
};
pub use read::{ReadExtent, read};
pub use ring::Ring;
pub use write::{RunDigest, Writer, bytes, digest};
