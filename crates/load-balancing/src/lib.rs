//! The load-balancing policy of an edge, without I/O or clock: which task a request goes to, how
//! often it may be retried, how much a warming task bears, which tasks are ejected.

mod attempts;
mod load_balancer;
mod retry_budget;
mod rollouts;
mod selection;
mod shard_map;
mod slow_start;

pub use attempts::{Attempts, RetryDecision};
pub use load_balancer::{AttemptResult, LoadBalancer, Locality};
pub use retry_budget::RetryBudget;
pub use rollouts::Outcome;
pub use selection::{Candidates, Selection};
pub use shard_map::{ShardMap, ShardOwner};
