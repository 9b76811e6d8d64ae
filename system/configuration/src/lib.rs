//! Resources: what a process is told at its start, and the configuration's items: routes, services, limits,
//! evacuations. Their checks, and copies merged by version. No I/O and no clock.

mod chart;
mod hash;
mod items;
mod settings;
mod terms;

pub use chart::{Chart, Found};
pub use hash::fnv1a;
pub use items::{Fault, Item, Manifest, Patch, evacuation, evacuation_key};
pub use settings::{Bounds, Caps, Listen, Local, Tolerance, local};
pub use terms::{Kind, Limits, Route, Service, Split};
