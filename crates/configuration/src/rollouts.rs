//! Rollouts of service versions: one item a service holds all of its rollouts, and the system gives it its version.

use serde::{Deserialize, Serialize};

use crate::hash::{finalize, fnv1a};
use crate::items::{Configuration, Item};
use crate::validation::ValidationError;

/// The prefix of keys of items that hold a service's rollouts.
pub const ROLLOUTS_PREFIX: &str = "v/";

/// Rollouts of a service that are remembered; the oldest that have ended are forgotten first.
const MAX_REMEMBERED: usize = 32;

/// How far a rollout is. It only advances from `InProgress`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The version gets a share of the traffic.
    InProgress,
    /// The version gets all of the traffic, and the versions before it nothing.
    Completed,
    /// The version gets nothing.
    Reverted,
}

/// A new version of a service that is to take the traffic over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Rollout {
    /// The version that is brought in.
    pub target_version: String,
    /// The operator's term, in milliseconds from the order.
    pub duration_ms: u64,
    /// The number of the change that ordered it.
    pub number: u64,
    /// Versions that ran when it was ordered; empty if they were not known.
    pub base_versions: Vec<String>,
    /// Rollouts of the service that were in progress when it was ordered, by their numbers.
    pub overlaps: Vec<u64>,
    /// How far it is.
    pub state: RolloutState,
    /// The share of the service's requests that the version may get, 0 to 1.
    pub share: f64,
    /// Milliseconds from the order until this was decided.
    pub elapsed_ms: u64,
}

/// An operator's order of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version that is to take its traffic over.
    pub target_version: String,
    /// The operator's term, in milliseconds from the order.
    pub duration_ms: u64,
    /// Versions that run now, without the new one; empty if they are not known.
    pub base_versions: Vec<String>,
}

/// A decision on a rollout in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStep {
    /// The service.
    pub service: String,
    /// The number of the change that ordered the rollout.
    pub number: u64,
    /// The share that the decision is based on.
    pub from_share: f64,
    /// What is decided.
    pub decision: RolloutDecision,
    /// Milliseconds from the order until now.
    pub elapsed_ms: u64,
}

/// What becomes of a rollout in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutDecision {
    /// The version may get this share of the requests.
    Share(f64),
    /// The version has taken over.
    Complete,
    /// The version gets nothing any more.
    Revert,
}

/// What a version of a service may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum VersionAccess {
    /// Requests without a bound.
    #[default]
    Released,
    /// A share of the requests.
    Share(f64),
    /// Nothing.
    Denied,
}

/// All rollouts of a service, in the order in which they were agreed on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceRollouts {
    /// The rollouts, the oldest first.
    pub rollouts: Vec<Rollout>,
}

/// The key of the item that holds a service's rollouts.
pub fn rollouts_key(service: &str) -> String {
    format!("{ROLLOUTS_PREFIX}{service}")
}

/// The place of a task in the order in which a rollout uses and replaces tasks, the same at all members and edges.
pub fn rollout_rank(number: u64, id: &str) -> u64 {
    finalize(fnv1a(number.to_be_bytes().into_iter().chain(id.bytes())))
}

impl Rollout {
    /// Whether it has not ended.
    pub fn is_in_progress(&self) -> bool {
        self.state == RolloutState::InProgress
    }

    fn supersedes(&self, version: &str) -> bool {
        self.state == RolloutState::Completed && self.base_versions.iter().any(|v| v == version)
    }

    /// Whether a version that no rollout names may have come with a later one that is not known here yet.
    fn excludes(&self, version: &str) -> bool {
        let base = &self.base_versions;
        self.is_in_progress() && !base.is_empty() && !base.iter().any(|v| v == version)
    }
}

impl ServiceRollouts {
    /// What an item of rollouts says; none if it can't be read.
    pub fn of_item(item: &Item) -> Option<Self> {
        serde_json::from_str(&item.body).ok()
    }

    /// Those in progress.
    pub fn in_progress(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts
            .iter()
            .filter(|rollout| rollout.is_in_progress())
    }

    /// The newest rollout, and those before it that had not ended when a later one was ordered.
    pub fn current(&self) -> Vec<&Rollout> {
        let mut current: Vec<&Rollout> = Vec::new();
        for rollout in self.rollouts.iter().rev() {
            let overlaps = current
                .iter()
                .any(|later| later.overlaps.contains(&rollout.number));
            if current.is_empty() || rollout.is_in_progress() || overlaps {
                current.push(rollout);
            }
        }
        current
    }

    /// The newest rollout of a version.
    pub fn of_version(&self, version: &str) -> Option<&Rollout> {
        let mut newest_first = self.rollouts.iter().rev();
        newest_first.find(|rollout| rollout.target_version == version)
    }

    /// What a version may be sent. Where a version was never brought in by an order, it is released, unless another
    /// has taken over from it, or it is not among those that ran when a rollout began that is still in progress.
    pub fn access(&self, version: &str) -> VersionAccess {
        let own = self.of_version(version);
        let taken_over_after = |number: u64| {
            let mut all = self.rollouts.iter();
            all.any(|rollout| rollout.number > number && rollout.supersedes(version))
        };
        match own {
            Some(rollout) if rollout.is_in_progress() => VersionAccess::Share(rollout.share),
            Some(rollout) if rollout.state == RolloutState::Reverted => VersionAccess::Denied,
            Some(rollout) if taken_over_after(rollout.number) => VersionAccess::Denied,
            Some(_) => VersionAccess::Released,
            None if taken_over_after(0) => VersionAccess::Denied,
            None if self.in_progress().any(|rollout| rollout.excludes(version)) => {
                VersionAccess::Denied
            }
            None => VersionAccess::Released,
        }
    }

    /// The number of the last order of another version than this one; 0 if there is none.
    pub fn last_other_order(&self, version: &str) -> u64 {
        let others = self.rollouts.iter().filter(|r| r.target_version != version);
        others.map(|rollout| rollout.number).max().unwrap_or(0)
    }

    /// Takes an order up; whether that changes anything. An order that was taken before changes nothing, whatever has
    /// become of it.
    fn order(&mut self, order: &RolloutOrder, number: u64) -> Result<bool, ValidationError> {
        if let Some(known) = self.of_version(&order.target_version) {
            let same_term = known.duration_ms == order.duration_ms;
            if known.is_in_progress() && !same_term {
                let (service, version) = (order.service.clone(), order.target_version.clone());
                return Err(ValidationError::RolloutUnderWay(service, version));
            }
            if known.is_in_progress() || (same_term && !self.has_moved_on(known)) {
                return Ok(false);
            }
        }
        let overlaps = self.in_progress().map(|rollout| rollout.number).collect();
        self.rollouts.push(Rollout {
            overlaps,
            target_version: order.target_version.clone(),
            duration_ms: order.duration_ms,
            number,
            base_versions: order.base_versions.clone(),
            state: RolloutState::InProgress,
            share: 0.0,
            elapsed_ms: 0,
        });
        self.forget_oldest();
        Ok(true)
    }

    /// Whether another version was ordered after this one, and nothing is in progress any more: an order of this version
    /// is then a new one.
    fn has_moved_on(&self, known: &Rollout) -> bool {
        let ordered_later = self.last_other_order(&known.target_version) > known.number;
        ordered_later && self.in_progress().next().is_none()
    }

    fn forget_oldest(&mut self) {
        let surplus = self.rollouts.len().saturating_sub(MAX_REMEMBERED);
        for _ in 0..surplus {
            if let Some(ended) = self.rollouts.iter().position(|r| !r.is_in_progress()) {
                self.rollouts.remove(ended);
            }
        }
    }

    /// Carries a decision out; whether it changes anything. A share that is based on another than the one that stands
    /// is out of date.
    fn advance(&mut self, step: &RolloutStep) -> bool {
        let mut all = self.rollouts.iter_mut();
        let Some(rollout) = all.find(|r| r.number == step.number && r.is_in_progress()) else {
            return false;
        };
        let is_outdated = rollout.share != step.from_share;
        match step.decision {
            RolloutDecision::Share(_) | RolloutDecision::Complete if is_outdated => return false,
            RolloutDecision::Share(share) => rollout.share = share,
            RolloutDecision::Complete => rollout.state = RolloutState::Completed,
            RolloutDecision::Revert => {
                (rollout.state, rollout.share) = (RolloutState::Reverted, 0.0);
            }
        }
        rollout.elapsed_ms = rollout.elapsed_ms.max(step.elapsed_ms);
        true
    }

    fn into_item(self, service: &str, number: u64) -> Item {
        Item {
            key: rollouts_key(service),
            version: number,
            body: serde_json::to_string(&self).unwrap_or_default(),
            ..Item::default()
        }
    }
}

impl Configuration {
    /// The rollouts of a service; none if none was ever ordered.
    pub fn rollouts(&self, service: &str) -> Option<ServiceRollouts> {
        let item = self.items.get(&rollouts_key(service))?;
        ServiceRollouts::of_item(item)
    }

    /// All services with rollouts, and the versions of their items.
    pub fn all_rollouts(&self) -> impl Iterator<Item = (&str, u64, ServiceRollouts)> {
        self.present(ROLLOUTS_PREFIX).filter_map(|item| {
            let service = item.key.strip_prefix(ROLLOUTS_PREFIX)?;
            Some((service, item.version, ServiceRollouts::of_item(item)?))
        })
    }

    /// The item that takes an order up, as a change after the number `last_number`; none if it was taken before.
    ///
    /// # Errors
    ///
    /// If the service is not known, or the version is brought in already, with another term.
    pub fn order_rollout(
        &self,
        order: &RolloutOrder,
        last_number: u64,
    ) -> Result<Option<Item>, ValidationError> {
        if !self.services().any(|service| service.name == order.service) {
            return Err(ValidationError::UnknownRolloutService(
                order.service.clone(),
            ));
        }
        let number = self.next_rollout_number(&order.service, last_number);
        let mut rollouts = self.rollouts(&order.service).unwrap_or_default();
        let changed = rollouts.order(order, number)?;
        Ok(changed.then(|| rollouts.into_item(&order.service, number)))
    }

    /// The item with a decision carried out, as a change after the number `last_number`; none if the decision is out
    /// of date.
    pub fn advance_rollout(&self, step: &RolloutStep, last_number: u64) -> Option<Item> {
        let number = self.next_rollout_number(&step.service, last_number);
        let mut rollouts = self.rollouts(&step.service)?;
        let changed = rollouts.advance(step);
        changed.then(|| rollouts.into_item(&step.service, number))
    }

    fn next_rollout_number(&self, service: &str, last_number: u64) -> u64 {
        self.version(&rollouts_key(service)).max(last_number) + 1
    }
}
