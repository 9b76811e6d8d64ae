//! Which member a task should send its heartbeats to, so that the members in touch get about as many each.
//!
//! Tasks of sharded services are pinned to the owner of their shards; all others can be moved by a `BeatTarget`. Each member
//! counts what it gets, tells the others with its status, and computes the same shares: the movable heartbeats fill the
//! members up to one level above what is pinned to them. A member above its share moves its surplus, to each member below
//! its own in proportion to what that one lacks, so several members that act at once do not move more than there is room
//! for.
//!
//! - No stampede: of the heartbeats that arrive, at most [`MAX_MOVED_SHARE`] are moved.
//! - What is well spread stays: nothing moves while the surplus is within a tolerance.
//! - A process that has not run for long enough to have heard of every task moves none, and gets none.
//! - A task that comes back could not reach the member that it was sent to. It stays for [`RETURN_HEARTBEATS`].

use std::collections::BTreeMap;

use lynxmill_protocol::HeartbeatLoad;
use lynxmill_time::{TimeDelta, Timestamp};

/// Heartbeat intervals for which a task counts where it sent its last heartbeat.
pub const COUNTED_HEARTBEATS: f64 = 1.6;
/// The largest part of the arriving heartbeats that are moved.
pub const MAX_MOVED_SHARE: f64 = 0.2;
/// A surplus of fewer tasks stays.
const MIN_SURPLUS: f64 = 4.0;
/// A surplus of a smaller part of a member's share stays.
const MIN_SURPLUS_SHARE: f64 = 0.125;
/// Heartbeat intervals after which the new member's status counts a task that was moved.
const TRANSIT_HEARTBEATS: f64 = 1.5;
/// Heartbeat intervals before a task that came back is moved again.
const RETURN_HEARTBEATS: f64 = 20.0;

/// A member that can be sent heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatTarget {
    /// Where it serves tasks, as `IP:PORT`.
    pub control_address: String,
    /// What it gets.
    pub load: HeartbeatLoad,
}

#[derive(Clone, Debug)]
struct Move {
    at: Timestamp,
    to: String,
}

/// What is to be moved until the loads are compared again.
#[derive(Clone, Debug)]
struct Plan {
    /// The part of the arriving heartbeats that are moved.
    moved_share: f64,
    /// Heartbeats that are still to be moved.
    surplus: f64,
    /// What other members lack, by control address.
    lacks: Vec<(String, f64)>,
}

/// Decides at one member which heartbeats should go elsewhere.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatBalancer {
    load: Option<HeartbeatLoad>,
    moves: BTreeMap<String, Move>,
    plan: Option<Plan>,
}

/// Up to which level movable heartbeats fill members with these pinned ones.
fn level(mut pinned: Vec<f64>, movable: f64) -> f64 {
    pinned.sort_by(f64::total_cmp);
    let mut below = 0.0;
    let mut level = 0.0;
    for (index, own) in pinned.iter().enumerate() {
        let members = (index + 1) as f64;
        below += own;
        level = (movable + below) / members;
        let next = pinned.get(index + 1);
        if next.is_none_or(|next| level <= *next) {
            break;
        }
    }
    level
}

impl HeartbeatBalancer {
    /// Compares what this member gets, as counted now, with the others in touch; `interval` is the time between two
    /// heartbeats of a task.
    pub fn compare(
        &mut self,
        now: Timestamp,
        interval: TimeDelta,
        load: HeartbeatLoad,
        others: &[HeartbeatTarget],
    ) {
        let returns_within = interval.times(RETURN_HEARTBEATS);
        self.moves
            .retain(|_, moved| now - moved.at < returns_within);
        self.load = Some(load);
        self.plan = self.planned(now, interval, load, others);
    }

    /// Whether some of the heartbeats that arrive now are to go elsewhere.
    pub fn has_surplus(&self) -> bool {
        self.plan.is_some()
    }

    /// What this member gets; none if it has not been counted yet.
    pub fn load(&self) -> Option<HeartbeatLoad> {
        self.load
    }

    /// Whether a task was asked to send its heartbeats elsewhere, and has sent none here since.
    pub fn has_moved(&self, id: &str, last_heartbeat: Timestamp) -> bool {
        self.moves
            .get(id)
            .is_some_and(|moved| moved.at >= last_heartbeat)
    }

    /// A movable heartbeat has come: where the task should send its next ones, if not here. `draws` are two random
    /// numbers from 0 to 1.
    pub fn redirect(&mut self, now: Timestamp, id: &str, draws: [f64; 2]) -> Option<String> {
        let plan = self.plan.as_mut()?;
        if plan.surplus < 1.0 || draws[0] >= plan.moved_share || self.moves.contains_key(id) {
            return None;
        }
        let (to, lack) = draw(&mut plan.lacks, draws[1])?;
        *lack -= 1.0;
        plan.surplus -= 1.0;
        let moved = Move {
            at: now,
            to: to.clone(),
        };
        let to = to.clone();
        self.moves.insert(id.to_owned(), moved);
        Some(to)
    }

    fn planned(
        &self,
        now: Timestamp,
        interval: TimeDelta,
        load: HeartbeatLoad,
        others: &[HeartbeatTarget],
    ) -> Option<Plan> {
        let in_transit = self.in_transit(now, interval);
        let movable_at = |other: &HeartbeatTarget| {
            let coming = in_transit.get(other.control_address.as_str()).copied();
            f64::from(other.load.movable) + coming.unwrap_or_default()
        };
        let own = f64::from(load.movable);
        let own_pinned = f64::from(load.pinned);
        let movable = own + others.iter().map(movable_at).sum::<f64>();
        let pinned = others.iter().map(|other| f64::from(other.load.pinned));
        let level = level(pinned.chain([own_pinned]).collect(), movable);
        let share = (level - own_pinned).max(0.0);
        let surplus = own - share;
        if surplus <= MIN_SURPLUS.max(share * MIN_SURPLUS_SHARE) {
            return None;
        }
        let lack = |other: &HeartbeatTarget| {
            let share = (level - f64::from(other.load.pinned)).max(0.0);
            let lack = (share - movable_at(other)).max(0.0);
            (other.control_address.clone(), lack)
        };
        Some(Plan {
            moved_share: (surplus / own).min(MAX_MOVED_SHARE),
            surplus,
            lacks: others.iter().map(lack).collect(),
        })
    }

    /// Tasks that were moved, and that the status of their new member does not count yet, by its address.
    fn in_transit(&self, now: Timestamp, interval: TimeDelta) -> BTreeMap<&str, f64> {
        let transit = interval.times(TRANSIT_HEARTBEATS);
        let mut by_target = BTreeMap::new();
        for moved in self.moves.values().filter(|moved| now - moved.at < transit) {
            *by_target.entry(moved.to.as_str()).or_default() += 1.0;
        }
        by_target
    }
}

/// One of some weighted choices; none if no weight is above 0.
fn draw(weighted: &mut [(String, f64)], drawn: f64) -> Option<(&mut String, &mut f64)> {
    let total: f64 = weighted.iter().map(|(_, weight)| weight.max(0.0)).sum();
    let mut left = drawn * total;
    for (choice, weight) in weighted.iter_mut().filter(|(_, weight)| *weight > 0.0) {
        left -= *weight;
        if left <= 0.0 {
            return Some((choice, weight));
        }
    }
    None
}
