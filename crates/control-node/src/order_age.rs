//! Orders that were overtaken on their way.
//!
//! The network may hold an order up until its caller has given it up, has had it carried out by another member, and has
//! seen the opposite order acknowledged. Such an order must not be carried out. Each call tells the last change that was
//! merged here before it was sent (`sent_after`), and each decision on an evacuation, each order of a rollout, and each
//! refusal, has the number of a change. An order that was sent before the last decision that it would undo is not carried out: its
//! caller is asked to send it again. One that still waits does so at once, and its second call was sent after that
//! decision; one that has gone does not.

use lynxmill_configuration::{
    Configuration, REFUSALS_KEY, ServiceRollouts, evacuation_key, rollouts_key,
};
use lynxmill_consensus::newest_item;
use lynxmill_protocol::PendingChanges;

use crate::orders::OrderKind;

/// The number of the last decision that an order would undo; 0 if there is none.
pub(crate) fn last_opposite_decision(
    kind: &OrderKind,
    current: &Configuration,
    pending: &PendingChanges,
) -> u64 {
    match kind {
        OrderKind::Evacuation { zone, on } => {
            let newest = newest_item(current, pending, &evacuation_key(zone));
            let opposite = newest.filter(|item| item.dropped == *on);
            opposite.map_or(0, |item| item.version)
        }
        OrderKind::Change(_) => {
            newest_item(current, pending, REFUSALS_KEY).map_or(0, |item| item.version)
        }
        OrderKind::Rollout(order) => {
            let refused =
                newest_item(current, pending, REFUSALS_KEY).map_or(0, |item| item.version);
            let newest = newest_item(current, pending, &rollouts_key(&order.service));
            let rollouts = newest
                .and_then(ServiceRollouts::of_item)
                .unwrap_or_default();
            refused.max(rollouts.last_other_order(&order.target_version))
        }
        OrderKind::RolloutStep(_) | OrderKind::ReadBack | OrderKind::Synchronize => 0,
    }
}
