//! Load-balancing policy of an edge: which tasks there are and how they do, which one a request goes to,
//! whether it may go to a further one. No I/O and no clock.

mod budget;
mod choice;
mod cold;
mod slices;
mod tries;
mod view;

pub use budget::Budget;
pub use choice::{Choice, Pick};
pub use slices::{Found, Slices};
pub use tries::{Further, Tries};
pub use view::{Ended, LoadBalancer, Place};
