//! The commands of the runtime socket, without the socket: lines to typed commands, who may give them, what they are
//! answered. Several commands stand on a line with `;` between them; a name with blanks stands in quotes.

mod answer;
mod happened;
pub mod journal;
mod limits;
mod line;

pub use answer::{entry, looked, said, tabled};
pub use happened::Happened;
pub use limits::{Pace, Turned};
pub use line::{Bound, Command, Fault, HELP, Level, Show, parse};
