//! The record of what operators, tasks and edges have seen, and what has to hold of it.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_configuration::{Configuration, Item, evacuation_key};
use lynxmill_protocol::{Ballot, Register};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::operator::PLAIN;
use crate::rollout_history::RolloutHistory;
use crate::violation::Violation;

/// An edge that starts may lack what was acknowledged within this time before.
pub(crate) const EDGE_LAG: TimeDelta = TimeDelta::from_micros(3_000_000);
/// A node that has been cut off for longer than this serves nothing that needs a majority.
pub(crate) const CUT_OFF: TimeDelta = TimeDelta::from_micros(1_500_000);

/// What may become of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validity {
    /// It can be taken, whatever else was.
    Valid,
    /// It never can.
    Invalid,
    /// That depends on others.
    Unknown,
}

/// An order of an operator and what became of it.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    pub items: Vec<Item>,
    pub evacuation: Option<(String, bool)>,
    pub validity: Validity,
    pub first_sent: Timestamp,
    pub acknowledged: Option<Timestamp>,
    pub refused: Option<Timestamp>,
    /// Attempts without a clear answer: these may still take effect.
    pub unclear_answers: usize,
}

/// Whether two items of one key and version say the same; what they remember of other versions may differ.
fn same(one: &Item, other: &Item) -> bool {
    (one.dropped, &one.body) == (other.dropped, &other.body)
}

#[derive(Clone, Debug)]
struct Acknowledged {
    item: Item,
    at: Timestamp,
}

/// What callers have seen so far.
#[derive(Debug, Default)]
pub struct History {
    pub orders: Vec<OrderRecord>,
    /// For each key and version, the orders that carried it.
    orders_by_item: BTreeMap<(String, u64), Vec<usize>>,
    acknowledged: BTreeMap<String, Vec<Acknowledged>>,
    /// Items that were seen in force, with the place.
    in_force: BTreeMap<(String, u64), (Item, String)>,
    accepted: BTreeMap<(String, Ballot), Vec<u8>>,
    /// Tasks whose drain or sign-off was acknowledged.
    pub leaving: BTreeMap<String, Timestamp>,
    pub(crate) rollouts: RolloutHistory,
    pub violation: Option<(Timestamp, Violation)>,
}

impl History {
    /// Notes the first violation.
    pub fn record_violation(&mut self, now: Timestamp, violation: Violation) {
        self.violation.get_or_insert((now, violation));
    }

    pub fn order(&mut self, record: OrderRecord) -> usize {
        let number = self.orders.len();
        for item in &record.items {
            self.orders_by_item
                .entry((item.key.clone(), item.version))
                .or_default()
                .push(number);
        }
        self.orders.push(record);
        number
    }

    pub fn order_acknowledged(&mut self, now: Timestamp, number: usize) {
        let order = &mut self.orders[number];
        if order.validity == Validity::Invalid {
            return self.record_violation(now, Violation::InvalidAcknowledged { order: number });
        }
        if order.acknowledged.is_some() {
            return;
        }
        order.acknowledged = Some(now);
        for item in order.items.clone() {
            let all = self.acknowledged.entry(item.key.clone()).or_default();
            let other = all
                .iter()
                .any(|a| a.item.version == item.version && !same(&a.item, &item));
            let (key, version) = (item.key.clone(), item.version);
            all.push(Acknowledged { item, at: now });
            if other {
                self.record_violation(now, Violation::TwoContents { key, version });
            }
        }
    }

    pub fn order_refused(&mut self, now: Timestamp, number: usize, reason: &str) {
        let order = &mut self.orders[number];
        if order.acknowledged.is_some() {
            let why = reason.to_owned();
            return self.record_violation(now, Violation::TakenThenRefused { order: number, why });
        }
        order.refused = Some(now);
        for item in self.orders[number].items.clone() {
            let seen = self.in_force.get(&(item.key.clone(), item.version));
            let place = seen
                .filter(|(held, _)| same(held, &item))
                .map(|(_, place)| place.clone());
            if let Some(place) = place
                && !self.may_stand(&item)
            {
                self.record_violation(
                    now,
                    Violation::RefusedInForce {
                        place,
                        key: item.key,
                        version: item.version,
                    },
                );
            }
        }
    }

    /// Whether an order that was neither refused nor is invalid has carried an item.
    fn may_stand(&self, item: &Item) -> bool {
        let orders = self.orders_by_item.get(&(item.key.clone(), item.version));
        orders.into_iter().flatten().any(|number| {
            let order = &self.orders[*number];
            let carried = order.items.iter().any(|carried| {
                (&carried.key, carried.version) == (&item.key, item.version) && same(carried, item)
            });
            carried && order.refused.is_none() && order.validity != Validity::Invalid
        })
    }

    /// Items that are in force somewhere.
    pub fn in_force<'a>(
        &mut self,
        now: Timestamp,
        place: &str,
        items: impl Iterator<Item = &'a Item>,
    ) {
        for item in items.filter(|item| item.has_operator_version()) {
            let known = self.in_force.get(&(item.key.clone(), item.version));
            if known.is_some_and(|(held, _)| same(held, item)) {
                continue;
            }
            if !self.may_stand(item) {
                let (key, version) = (item.key.clone(), item.version);
                self.record_violation(
                    now,
                    Violation::RefusedInForce {
                        place: place.to_owned(),
                        key,
                        version,
                    },
                );
            }
            self.in_force.insert(
                (item.key.clone(), item.version),
                (item.clone(), place.to_owned()),
            );
        }
    }

    /// What was acknowledged before a time is in a configuration.
    fn holds_acknowledged(
        &mut self,
        now: Timestamp,
        place: &str,
        before: Timestamp,
        held: &Configuration,
    ) {
        let mut found = None;
        for (key, all) in &self.acknowledged {
            for Acknowledged { item, .. } in all.iter().filter(|a| a.at < before) {
                let version = held.items.get(key).map(|item| item.version);
                if version.is_none_or(|version| version < item.version) {
                    let (place, key, acknowledged) = (place.to_owned(), key.clone(), item.version);
                    let missing = Violation::AcknowledgedChangeMissing {
                        place,
                        key,
                        acknowledged,
                        found: version,
                    };
                    found.get_or_insert(missing);
                } else if version == Some(item.version)
                    && !held.items.get(key).is_some_and(|held| same(held, item))
                {
                    let (place, key, version) = (place.to_owned(), key.clone(), item.version);
                    found.get_or_insert(Violation::OtherContent {
                        place,
                        key,
                        version,
                    });
                }
            }
        }
        if let Some(violation) = found {
            self.record_violation(now, violation);
        }
    }

    pub fn read_back(&mut self, now: Timestamp, asked: Timestamp, held: &Configuration) {
        self.holds_acknowledged(now, "the read-back", asked, held);
        self.in_force(now, "the read-back", held.items.values());
        let mut places = BTreeMap::new();
        for route in held.routes() {
            let place = (route.host.to_ascii_lowercase(), route.path_prefix.clone());
            if let Some(first) = places.insert(place, route.name.clone()) {
                let place = "the read-back".to_owned();
                self.record_violation(
                    now,
                    Violation::DuplicateRoute {
                        place,
                        first,
                        second: route.name,
                    },
                );
            }
        }
        self.evacuations(now, asked, held);
        let rollouts = held.rollouts(PLAIN).unwrap_or_default();
        if let Some(violation) = self.rollouts.read(now, asked, &rollouts) {
            self.record_violation(now, violation);
        }
    }

    /// Whether the first change is acknowledged, which carries all services.
    pub(crate) fn is_first_change_acknowledged(&self) -> bool {
        self.orders
            .first()
            .is_some_and(|order| order.acknowledged.is_some())
    }

    /// An order that nothing speaks against was refused.
    pub(crate) fn rollout_refused(&mut self, now: Timestamp, version: &str, why: &str) {
        let (version, why) = (version.to_owned(), why.to_owned());
        self.record_violation(now, Violation::RolloutRefused { version, why });
    }

    /// The last acknowledged evacuation of each zone is in a read-back, where no other was asked for since. Those that
    /// were asked for before it must not take effect after it, whether or not they were acknowledged.
    fn evacuations(&mut self, now: Timestamp, asked: Timestamp, held: &Configuration) {
        let zones: BTreeSet<String> = self
            .orders
            .iter()
            .filter_map(|o| o.evacuation.clone())
            .map(|(zone, _)| zone)
            .collect();
        for zone in zones {
            let of: Vec<&OrderRecord> = self
                .orders
                .iter()
                .filter(|o| o.evacuation.as_ref().is_some_and(|(z, _)| *z == zone))
                .collect();
            let last = of
                .iter()
                .rposition(|o| o.acknowledged.is_some_and(|at| at < asked));
            let Some(last) = last else { continue };
            let Some((_, on)) = of[last].evacuation.clone() else {
                continue;
            };
            // An operator asks for one at a time, and each zone has one operator.
            let unclear = of[last + 1..]
                .iter()
                .any(|o| o.evacuation.as_ref().is_some_and(|(_, other)| *other != on));
            let stands = held
                .items
                .get(&evacuation_key(&zone))
                .is_some_and(|item| !item.dropped);
            if !unclear && stands != on {
                self.record_violation(now, Violation::EvacuationLost { zone, on });
            }
        }
    }

    /// An edge got its first whole configuration in this life.
    pub fn edge_opened(&mut self, now: Timestamp, edge: &str, held: &Configuration) {
        let before = Timestamp::from_micros(now.micros() - EDGE_LAG.micros());
        self.holds_acknowledged(now, edge, before, held);
    }

    /// Registers that a node is about to write.
    pub fn written(&mut self, now: Timestamp, registers: &[Register]) {
        for register in registers
            .iter()
            .filter(|register| register.accepted != Ballot::default())
        {
            let of = (register.name.clone(), register.accepted);
            let value = self
                .accepted
                .entry(of)
                .or_insert_with(|| register.value.clone());
            if *value != register.value {
                let (register, ballot) = (register.name.clone(), register.accepted);
                self.record_violation(now, Violation::TwoValuesOfOneBallot { register, ballot });
            }
        }
    }
}
