//! Resources: what a process is told at its start, and the configuration's items: routes, services, limits,
//! evacuations. Their checks, and copies merged by version. No I/O and no clock.

mod chart;
mod hash;
mod items;
mod resources;
mod settings;

pub use chart::{Chart, Found};
pub use hash::fnv1a;
pub use items::{Configuration, ConfigurationChange, Item, ValidationError, evacuation, evacuation_key};
pub use resources::{Kind, Limits, Route, Service, Split};
pub use settings::{Bounds, Caps, Listen, NodeSettings, Tolerance, local};
