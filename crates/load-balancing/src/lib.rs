//! Load-balancing policy of an edge: which tasks there are and how they do, which one a request goes to,
//! whether it may go to a further one. No I/O and no clock.

mod attempts;
mod load_balancer;
mod retry_budget;
mod selection;
mod shard_map;
mod slow_start;

pub use attempts::{Attempts, RetryDecision};
pub use load_balancer::{AttemptResult, LoadBalancer, Locality};
pub use retry_budget::RetryBudget;
pub use selection::{Candidates, Selection};
pub use shard_map::{ShardMap, ShardOwner};
