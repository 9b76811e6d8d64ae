//! The commands of the runtime socket, without the socket: lines to typed commands, who may give them, what they are
//! answered. Several commands stand on a line with `;` between them; a name with blanks stands in quotes.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, clippy::too_many_lines, missing_docs)]

mod answer;
mod happened;
pub mod journal;
mod limits;
mod line;

pub use answer::{entry, looked, said, tabled};
pub use happened::EventLog;
pub use limits::{RateLimited, RateLimiter};
pub use line::{Command, HELP, Level, ParseError, Show, SocketLimit, parse};
