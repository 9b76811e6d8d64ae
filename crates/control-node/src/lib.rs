//! One node of the control plane as a state machine: `ControlNode::step(now, input)` takes one input and
//! returns the effects that the program around it has to carry out, in their order. There is no socket,
//! clock, disk or thread in here, so that the simulator (`lynxmill-simulator`) plays exactly what runs.
//!
//! Each rule has one place:
//!
//! | rule | place |
//! | --- | --- |
//! | contact with a majority | `contact` |
//! | ballots and rounds | `proposals` |
//! | orders of the operator | `orders` |
//! | change of the members, promotion of learners | `membership` |
//! | snapshots, copies of registers, repair of missing changes | `catch_up` |
//! | heartbeats, drains and sign-offs of tasks | `instances` |
//! | which member tasks send their heartbeats to | `heartbeat_balance` |
//! | rollouts of service versions | `rollouts` |
//! | keys of sharded services during a rollout | `sharded_rollouts` |
//! | joins of edges | `edges` |
//! | ownership of shards, grants | `ownership` |
//! | graceful shutdown | `departure` |
//! | what waits for the disk | `storage` |

mod catch_up;
mod contact;
mod departure;
mod edges;
mod evacuation_notices;
mod event;
mod heartbeat_balance;
mod instances;
mod membership;
mod messages;
mod node;
mod options;
mod order_age;
mod orders;
mod ownership;
mod pending_requests;
mod proposals;
mod rollouts;
mod sharded_rollouts;
mod storage;

pub use catch_up::SnapshotProgress;
pub use contact::{CONTACT_LEASE, HEARTBEAT_INTERVAL};
pub use event::Event;
pub use heartbeat_balance::{
    COUNTED_HEARTBEATS, HeartbeatBalancer, HeartbeatTarget, MAX_MOVED_SHARE,
};
pub use messages::{
    Answer, CallId, ConnectionId, ControlRequest, Effect, GrantedHoldings, HeartbeatAnswer, Input,
    InstanceHeartbeat, StreamId, Unavailable,
};
pub use node::{ControlNode, NodeReport, TICK};
pub use options::{NodeOptions, StoredState};
