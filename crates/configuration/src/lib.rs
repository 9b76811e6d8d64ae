//! Resources: what a process is told at its start, and the configuration's items: routes, services, limits,
//! evacuations. Their checks, and copies merged by version. No I/O and no clock.

mod change;
mod hash;
mod identity;
mod items;
mod resources;
mod rollouts;
mod routing_table;
mod settings;
mod validation;

pub use change::ConfigurationChange;
pub use hash::{finalize, fnv1a};
pub use identity::{MAX_HISTORY, TakenVersion};
pub use items::{Configuration, Item, REFUSALS_KEY, evacuation, evacuation_key, refusal};
pub use resources::{Limits, Route, RouteKind, Service, Split};
pub use rollouts::{
    ROLLOUTS_PREFIX, Rollout, RolloutDecision, RolloutOrder, RolloutState, RolloutStep,
    ServiceRollouts, VersionAccess, rollout_rank, rollouts_key,
};
pub use routing_table::{MatchedRoute, RoutingTable};
pub use settings::{Bounds, FaultTolerance, Listen, NodeSettings, ResourceLimits, parse};
pub use validation::ValidationError;
