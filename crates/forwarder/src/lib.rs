//! What a forwarder decides, as state machines that neither read nor write and know no clock. It follows the
//! published tables: it judges no server, tries another only on order, and a try that may have run is never
//! repeated where an effect could come twice.
//!
//! `Routes` names an invocation's operation, slice and client; `Gate` and `Paces` say who may come in; `Flight` is one
//! invocation from its arrival to its end; `Pool` hands out connections to servers; `Progress` tells who stands
//! still; `Sums` is what was met, as assigners are told it; `Book` says where servers are.

mod book;
mod flight;
mod gate;
mod paces;
mod pool;
mod progress;
mod routes;
mod sums;
mod terms;

pub use book::Book;
pub use flight::{Fate, Final, Flight, Reach, Seen, Step};
pub use gate::{Gate, Shut};
pub use paces::Paces;
pub use pool::{Bounds, Conn, Grant, Pool, Ticket};
pub use progress::Progress;
pub use routes::{Found, Lost, Pattern, Route, Routes, Source};
pub use sums::{Met, Sums};
pub use terms::{Again, Effect, Operation, Terms};
