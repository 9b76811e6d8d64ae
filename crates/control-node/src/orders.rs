//! Orders of the operator: changes, evacuations and read-backs. Those that wait go through one
//! round of the register of changes together, and each is decided against the newest state with
//! those before it.

use std::fmt;
use std::sync::Arc;

use lynxmill_configuration::{
    Configuration, ConfigurationChange, Item, REFUSALS_KEY, ROLLOUTS_PREFIX, RolloutOrder,
    RolloutStep, ValidationError, evacuation, evacuation_key,
};
use lynxmill_consensus::{BallotRound, Decision, is_behind, unmerged, validate, with_refusal};
use lynxmill_protocol::{ConfigurationUpdate, PeerRequest, PendingChanges, ToEdgeBody};
use lynxmill_storage::{Batch, combined_digest};
use lynxmill_time::{TimeDelta, Timestamp};
use prost::Message;

use crate::event::Event;
use crate::messages::{Answer, CallId, Unavailable};
use crate::node::ControlNode;
use crate::order_age::last_opposite_decision;
use crate::proposals::{Choice, Purpose};
use crate::storage::AfterStore;

/// The register that holds the pending changes.
pub(crate) const CHANGES_REGISTER: &str = "calls";
/// Callers wait a second for an order.
const ORDER_TIMEOUT: TimeDelta = TimeDelta::from_micros(900_000);
/// Without contact with a majority callers are sent elsewhere sooner; a ballot that a majority
/// answers is contact.
const ORDER_TIMEOUT_WITHOUT_CONTACT: TimeDelta = TimeDelta::from_micros(300_000);
/// For a change of more than [`LARGE_CHANGE_ITEMS`] items.
const LARGE_ORDER_TIMEOUT: TimeDelta = TimeDelta::from_micros(2_500_000);
/// A change of more items may take longer.
const LARGE_CHANGE_ITEMS: usize = 100;
/// Orders that go through one round together.
const MAX_ORDERS_PER_ROUND: usize = 16;
/// Between two checks whether something that was accepted here is not known to be chosen.
const COMMIT_CHECK_INTERVAL: TimeDelta = TimeDelta::from_micros(1_000_000);

/// What an order asks for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OrderKind {
    Change(ConfigurationChange),
    Evacuation {
        zone: String,
        on: bool,
    },
    Rollout(RolloutOrder),
    /// A decision of this node on a rollout in progress; nobody waits for an answer.
    RolloutStep(RolloutStep),
    ReadBack,
    /// Compares this node with a majority; nobody waits for an answer.
    Synchronize,
}

impl fmt::Display for OrderKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderKind::Change(change) => write!(out, "a change of {} items", change.items.len()),
            OrderKind::Evacuation { zone, on: true } => write!(out, "to evacuate zone {zone}"),
            OrderKind::Evacuation { zone, on: false } => write!(out, "to take zone {zone} back"),
            OrderKind::Rollout(order) => {
                let RolloutOrder {
                    service,
                    target_version,
                    ..
                } = order;
                write!(out, "to bring version {target_version} of {service} in")
            }
            OrderKind::RolloutStep(step) => write!(out, "a step of a rollout of {}", step.service),
            OrderKind::ReadBack => write!(out, "a read-back"),
            OrderKind::Synchronize => write!(out, "a comparison with a majority"),
        }
    }
}

impl OrderKind {
    /// The change that the order makes to the newest state, as a change after the number `last_number`. One for an
    /// evacuation that stands already renews it: orders that were sent before this one must not undo it.
    fn change_for(
        &self,
        newest: &Configuration,
        last_number: u64,
    ) -> Result<ConfigurationChange, ValidationError> {
        let items = match self {
            OrderKind::Change(change) => return Ok(change.clone()),
            OrderKind::Evacuation { zone, on } => {
                let after = newest.version(&evacuation_key(zone)).max(last_number);
                vec![evacuation(zone, *on, after)]
            }
            OrderKind::Rollout(order) => {
                let item = newest.order_rollout(order, last_number)?;
                item.into_iter().collect()
            }
            OrderKind::RolloutStep(step) => {
                let item = newest.advance_rollout(step, last_number);
                item.into_iter().collect()
            }
            OrderKind::ReadBack | OrderKind::Synchronize => Vec::new(),
        };
        Ok(ConfigurationChange { items })
    }
}

/// What becomes of an order in the round that is open.
#[derive(Clone, Debug, PartialEq)]
enum Verdict {
    /// Not part of this round.
    Deferred,
    Accepted,
    Refused(ValidationError),
    /// It was sent before a decision that it would undo.
    Outdated,
}

#[derive(Debug)]
struct Order {
    call: Option<CallId>,
    kind: OrderKind,
    /// The last change that was merged here before the order was sent.
    sent_after: u64,
    deadline: Timestamp,
    verdict: Verdict,
}

#[derive(Debug, Default)]
pub(crate) struct Orders {
    waiting: Vec<Order>,
    next_commit_check: Timestamp,
}

impl ControlNode {
    pub(crate) fn order_change(
        &mut self,
        now: Timestamp,
        call: CallId,
        change: ConfigurationChange,
        sent_after: u64,
    ) {
        let patience = if change.items.len() > LARGE_CHANGE_ITEMS {
            LARGE_ORDER_TIMEOUT
        } else {
            ORDER_TIMEOUT
        };
        let kind = OrderKind::Change(change);
        self.enqueue_order(now, call, kind, sent_after, patience);
    }

    pub(crate) fn order_evacuation(
        &mut self,
        now: Timestamp,
        call: CallId,
        zone: String,
        on: bool,
        sent_after: u64,
    ) {
        self.notice_evacuation(now, &zone, on);
        let kind = OrderKind::Evacuation { zone, on };
        self.enqueue_order(now, call, kind, sent_after, ORDER_TIMEOUT);
    }

    pub(crate) fn order_rollout(
        &mut self,
        now: Timestamp,
        call: CallId,
        mut order: RolloutOrder,
        sent_after: u64,
    ) {
        order.base_versions = self.running_versions(now, &order);
        let kind = OrderKind::Rollout(order);
        self.enqueue_order(now, call, kind, sent_after, ORDER_TIMEOUT);
    }

    /// Has a decision of this node on a rollout agreed on; not if one on the same rollout waits already.
    pub(crate) fn order_rollout_step(&mut self, now: Timestamp, step: RolloutStep) -> bool {
        let waits = |order: &Order| match &order.kind {
            OrderKind::RolloutStep(other) => other.number == step.number,
            _ => false,
        };
        if self.orders.waiting.iter().any(waits) {
            return false;
        }
        let order = Order {
            call: None,
            kind: OrderKind::RolloutStep(step),
            sent_after: self.merged,
            deadline: now + ORDER_TIMEOUT,
            verdict: Verdict::Deferred,
        };
        self.orders.waiting.push(order);
        self.propose_orders(now);
        true
    }

    pub(crate) fn order_read_back(&mut self, now: Timestamp, call: CallId) {
        self.enqueue_order(now, call, OrderKind::ReadBack, self.merged, ORDER_TIMEOUT);
    }

    fn enqueue_order(
        &mut self,
        now: Timestamp,
        call: CallId,
        kind: OrderKind,
        sent_after: u64,
        timeout: TimeDelta,
    ) {
        if self.departure.is_some() {
            return self.answer(call, Answer::Unavailable(Unavailable::Leaving));
        }
        if self.acceptor.catching_up || !self.is_member() {
            return self.answer(call, Answer::Unavailable(Unavailable::NoContact));
        }
        // A node that has just started finds contact soon; one that is cut off sends the caller elsewhere.
        let patience = if self.in_contact(now) {
            timeout
        } else {
            ORDER_TIMEOUT_WITHOUT_CONTACT
        };
        let order = Order {
            call: Some(call),
            kind,
            sent_after,
            deadline: now + patience,
            verdict: Verdict::Deferred,
        };
        self.orders.waiting.push(order);
        self.propose_orders(now);
    }

    /// Drops an order whose caller has gone, unless it is part of the round that is open: it may have been agreed on.
    pub(crate) fn abandon_order(&mut self, call: CallId) {
        let waiting = self.orders.waiting.len();
        self.orders
            .waiting
            .retain(|order| order.call != Some(call) || order.verdict != Verdict::Deferred);
        if self.orders.waiting.len() < waiting {
            self.count("orders-abandoned");
        }
    }

    /// Opens a round for the orders that wait, unless one is open.
    pub(crate) fn propose_orders(&mut self, now: Timestamp) {
        self.expire_orders(now);
        let latest = self.orders.waiting.iter().map(|order| order.deadline).max();
        if let Some(give_up) = latest {
            self.propose(now, CHANGES_REGISTER, Purpose::CommitChanges, give_up);
        }
    }

    /// Answers orders that have waited for too long, so that their callers can ask another node.
    pub(crate) fn expire_orders(&mut self, now: Timestamp) {
        let waiting = std::mem::take(&mut self.orders.waiting);
        let (late, waiting): (Vec<Order>, Vec<Order>) =
            waiting.into_iter().partition(|o| now >= o.deadline);
        self.orders.waiting = waiting;
        let in_contact = self.in_contact(now);
        for call in late.into_iter().filter_map(|order| order.call) {
            self.count(if in_contact {
                "orders-unanswered"
            } else {
                "orders-without-contact"
            });
            let reason = if in_contact {
                Unavailable::NoMajority
            } else {
                Unavailable::NoContact
            };
            self.answer(call, Answer::Unavailable(reason));
        }
    }

    /// Decides on the orders that wait, by what a majority holds.
    pub(crate) fn choose_changes(&mut self, now: Timestamp, round: &BallotRound) -> Choice {
        self.expire_orders(now);
        let pending = round
            .accepted_value()
            .and_then(|value| PendingChanges::decode(value).ok())
            .unwrap_or_default();
        if is_behind(self.merged, &pending) {
            let ahead = round
                .most_advanced()
                .filter(|(_, merged)| *merged > self.merged);
            if let Some(from) = ahead.map(|(ip, _)| ip.to_owned()) {
                self.read_snapshot(now, &from);
            }
            return Choice::Wait;
        }
        if self.orders.waiting.is_empty() {
            return Choice::End;
        }
        let pending = self.judge_orders(pending, round.merged_by_majority().min(self.merged));
        let all_outdated = self
            .orders
            .waiting
            .iter()
            .all(|order| order.verdict == Verdict::Outdated);
        // A decision counts only by what has surely been agreed; else that is agreed first.
        if all_outdated && (round.is_chosen() || round.accepted_value().is_none()) {
            // An order that is sent again is sent after all that it was judged by.
            let agreed = round
                .accepted_value()
                .and_then(|value| PendingChanges::decode(value).ok());
            self.learn(now, &agreed.unwrap_or_default());
            self.answer_orders(now);
            return Choice::End;
        }
        Choice::Propose(pending.encode_to_vec())
    }

    fn judge_orders(
        &mut self,
        accepted: PendingChanges,
        merged_by_majority: u64,
    ) -> PendingChanges {
        let mut pending = accepted;
        for (index, order) in self.orders.waiting.iter_mut().enumerate() {
            if index >= MAX_ORDERS_PER_ROUND {
                order.verdict = Verdict::Deferred;
                continue;
            }
            let opposite = last_opposite_decision(&order.kind, &self.configuration, &pending);
            let last_number = pending.last_number;
            let mut invalid = None;
            let make = |newest: &Configuration| {
                let change = order.kind.change_for(newest, last_number);
                change.unwrap_or_else(|reason| {
                    invalid = Some(reason);
                    ConfigurationChange::default()
                })
            };
            let decision = validate(
                &self.configuration,
                self.merged,
                pending.clone(),
                merged_by_majority,
                make,
            );
            let decision = invalid.map_or(decision, Decision::Refuse);
            order.verdict = match decision {
                Decision::Propose(_) if order.sent_after < opposite => Verdict::Outdated,
                Decision::Propose(next) | Decision::Unchanged(next) => {
                    pending = next;
                    Verdict::Accepted
                }
                // What was refused must not come into force by the same order when it arrives late.
                Decision::Refuse(reason) => {
                    pending = with_refusal(pending);
                    Verdict::Refused(reason)
                }
                Decision::Behind => Verdict::Deferred,
            };
        }
        pending
    }

    /// The changes were chosen, and with them the decisions on the orders.
    pub(crate) fn changes_chosen(&mut self, now: Timestamp, value: &[u8]) {
        let pending = PendingChanges::decode(value).unwrap_or_default();
        self.learn(now, &pending);
        for ip in self.other_members() {
            self.send_notification(&ip, PeerRequest::Learn(pending.clone()));
        }
        self.answer_orders(now);
        self.propose_orders(now);
    }

    fn answer_orders(&mut self, now: Timestamp) {
        let waiting = std::mem::take(&mut self.orders.waiting);
        let decided = |order: &Order| order.verdict != Verdict::Deferred;
        let (decided, waiting): (Vec<Order>, Vec<Order>) = waiting.into_iter().partition(decided);
        self.orders.waiting = waiting;
        for order in decided {
            self.answer_order(now, order);
        }
    }

    fn answer_order(&mut self, now: Timestamp, order: Order) {
        if let Verdict::Refused(reason) = order.verdict {
            self.count("changes-refused");
            self.log(Event::ChangeRefused(reason.to_string()));
            return order
                .call
                .into_iter()
                .for_each(|call| self.answer(call, Answer::Refused(reason.clone())));
        }
        if order.verdict == Verdict::Outdated {
            self.count("orders-outdated");
            self.log(Event::OrderOutdated {
                order: order.kind.to_string(),
                sent_after: order.sent_after,
            });
            return order
                .call
                .into_iter()
                .for_each(|call| self.answer(call, Answer::Outdated));
        }
        let answer = match order.kind {
            OrderKind::ReadBack => Answer::Configuration(self.configuration.clone()),
            OrderKind::Change(_) => {
                self.count("changes");
                Answer::Done
            }
            OrderKind::Evacuation { zone, on } => {
                self.log(Event::Evacuation { zone, on });
                Answer::Done
            }
            OrderKind::Rollout(RolloutOrder {
                service,
                target_version,
                ..
            }) => {
                self.count("rollouts");
                self.log(Event::RolloutOrdered {
                    service,
                    version: target_version,
                });
                Answer::Done
            }
            OrderKind::RolloutStep(_) => return,
            OrderKind::Synchronize => return self.synchronized(now),
        };
        order
            .call
            .into_iter()
            .for_each(|call| self.answer(call, answer.clone()));
    }

    // --- comparing with a majority ---

    /// Compares this node with a majority after contact was found, and while something accepted
    /// here is not known to be chosen.
    pub(crate) fn synchronize(&mut self, now: Timestamp) {
        let due = !self.contact.synchronized
            || (now >= self.orders.next_commit_check && self.has_uncommitted_changes());
        let open = self
            .orders
            .waiting
            .iter()
            .any(|order| order.kind == OrderKind::Synchronize);
        if !due || open || !self.in_contact(now) {
            return;
        }
        self.orders.next_commit_check = now + COMMIT_CHECK_INTERVAL;
        let deadline = now + ORDER_TIMEOUT;
        let order = Order {
            call: None,
            kind: OrderKind::Synchronize,
            sent_after: self.merged,
            deadline,
            verdict: Verdict::Deferred,
        };
        self.orders.waiting.push(order);
        self.propose_orders(now);
    }

    fn has_uncommitted_changes(&self) -> bool {
        let accepted = self
            .acceptor
            .value(CHANGES_REGISTER)
            .and_then(|value| PendingChanges::decode(value).ok());
        accepted.is_some_and(|pending| pending.last_number > self.merged)
    }

    fn synchronized(&mut self, now: Timestamp) {
        if self.in_contact(now) && !std::mem::replace(&mut self.contact.synchronized, true) {
            self.log(Event::Synchronized);
            self.serve_waiting_joins(now);
        }
    }

    /// Changes that the register still holds, and their size in bytes.
    pub(crate) fn pending_changes_size(&self) -> (usize, usize) {
        let Some(value) = self.acceptor.value(CHANGES_REGISTER) else {
            return (0, 0);
        };
        let pending = PendingChanges::decode(value).unwrap_or_default();
        (pending.changes.len(), value.len())
    }

    // --- merging ---

    /// Merges changes that were chosen; false if earlier ones are missing.
    pub(crate) fn learn(&mut self, now: Timestamp, pending: &PendingChanges) -> bool {
        if is_behind(self.merged, pending) {
            return false;
        }
        let items: Vec<Item> = unmerged(self.merged, pending)
            .flat_map(|change| change.items.clone())
            .collect();
        self.merge(&items, pending.last_number);
        self.serve_waiting_joins(now);
        true
    }

    /// Merges items that were agreed, up to the change `merged`, and tells the edges of those that stand
    /// anew. What is stored is the merged item, which remembers the versions of its name.
    pub(crate) fn merge(&mut self, items: &[Item], merged: u64) {
        let (changed, anew) = self.merge_items(items);
        if changed.iter().any(|item| item.key.starts_with("s/")) {
            self.refresh_sharded_services();
        }
        if changed
            .iter()
            .any(|item| item.key.starts_with(ROLLOUTS_PREFIX))
        {
            self.refresh_rollouts();
        }
        if !changed.is_empty() {
            self.items_digest = combined_digest(&self.configuration);
        }
        let further = merged > self.merged;
        self.merged = self.merged.max(merged);
        if changed.is_empty() && !further {
            return;
        }
        // How far that is goes to disk with the next promise, and only if all these batches came through.
        let batch = Batch {
            items: changed,
            ..Batch::default()
        };
        self.store_then(batch, AfterStore::Merged(self.merged));
        if !anew.is_empty() {
            let update = ConfigurationUpdate {
                items: anew,
                is_complete: false,
            };
            self.send_edges(self.edges.all(), ToEdgeBody::ConfigurationUpdate(update));
        }
    }

    /// The merged items that are not as before, and those of them that stand anew, as edges get them.
    fn merge_items(&mut self, items: &[Item]) -> (Vec<Item>, Vec<Item>) {
        let (mut changed, mut anew) = (Vec::new(), Vec::new());
        for item in items {
            let before = self.configuration.items.get(&item.key).cloned();
            if before.as_ref() == Some(item) {
                continue;
            }
            let stands = Arc::make_mut(&mut self.configuration).merge(item);
            let Some(merged) = self.configuration.items.get(&item.key) else {
                continue;
            };
            if before.as_ref() != Some(merged) {
                changed.push(merged.clone());
            }
            if stands && item.key != REFUSALS_KEY {
                anew.push(merged.without_history());
            }
        }
        (changed, anew)
    }
}
