//! The record of a day: its head, the world behind it and what each assigner heard and ordered, at their times.
//!
//! A file is the mark `lynxday\n`, the version as two bytes, then frames; `frame.rs` has their form. Times are
//! microseconds from the day's beginning. Whoever writes calls `Writer` with parts in any order of kind, a head
//! first; whoever reads gets a `Day` and how far it could be read.

mod count;
mod frame;
mod merge;
mod parts;
mod read;
mod ring;
mod write;

pub use count::{Bare, Counted, Known, Row, count};
pub use frame::{Fault, VERSION};
pub use merge::merge;
pub use parts::{
    Asks, Assigner, Clients, Day, Entry, Forwarder, Happening, Head, Life, Link, Log, Operation,
    Server, Source, Trouble, World,
};
pub use read::{Extent, read};
pub use ring::Ring;
pub use write::{Course, Writer, bytes, digest};
