//! The assigner's state behind its sockets: one reducer that takes events, calls the module when a round is due
//! and asks for effects. It neither reads nor writes and knows no clock; the daemon's hub and the replay drive it.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, missing_docs)]

mod bound;
mod encode;
pub mod hand;
mod picture;
mod reason;
mod reduce;
mod round;
mod start;
mod told;

pub use encode::{Order, Outbox, Sets, levels, mark, publish, shut};
pub use picture::{Picture, ServerSeen, SliceSeen};
pub use reason::Reason;
pub use reduce::{Effect, Event, State, Status};
pub use start::{Addresses, Epoch, Start, decode};
pub use told::{Asked, Endpoint, Members, Message, Met, News, Outcome, members};
