//! Slow start: how many requests a warming task may be sent. A few edges, chosen by hash, share
//! what it bears.

use std::collections::VecDeque;

use lynxmill_configuration::fnv1a;
use lynxmill_protocol::EdgeInfo;
use lynxmill_time::{TimeDelta, Timestamp};

/// The fraction of a warming task's rate that is given out.
const RATE_MARGIN: f64 = 0.8;
/// Requests a second that make an edge's share worth having.
const MIN_EDGE_RATE: f64 = 3.0;

fn order(task: &str, edge: &str) -> u64 {
    let mixed = fnv1a(task.bytes().chain([0]).chain(edge.bytes()));
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Requests a second that this edge may send to a warming task; 0 if the hash chooses others. Edges
/// of the task's own zone go first.
pub(crate) fn rate_share(task: &str, zone: &str, me: &str, edges: &[EdgeInfo], per_s: f64) -> f64 {
    let sharing = ((per_s / MIN_EDGE_RATE) as usize).clamp(1, edges.len().max(1));
    let rank = |edge: &EdgeInfo| (edge.zone != zone, order(task, &edge.name));
    let Some(mine) = edges.iter().find(|edge| edge.name == me).map(rank) else {
        return 0.0;
    };
    let before = edges.iter().filter(|edge| rank(edge) < mine).count();
    if before < sharing {
        per_s * RATE_MARGIN / sharing as f64
    } else {
        0.0
    }
}

/// Requests that were sent to a task within the last second, and when the last of all was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateWindow {
    sent_at: VecDeque<Timestamp>,
    last_sent: Option<Timestamp>,
}

impl RateWindow {
    fn drop_expired(&mut self, now: Timestamp) {
        let second = TimeDelta::from_secs(1.05);
        while self.sent_at.front().is_some_and(|at| now - *at > second) {
            self.sent_at.pop_front();
        }
    }

    /// Whether one more request keeps within `rate` in any second.
    pub(crate) fn has_capacity(&mut self, now: Timestamp, rate: f64) -> bool {
        self.drop_expired(now);
        // Parts under one a second are saved up over several.
        if rate < 1.0 {
            let gap = TimeDelta::from_secs(1.0 / rate.max(1e-3));
            return rate > 0.0 && self.last_sent.is_none_or(|at| now - at >= gap);
        }
        (self.sent_at.len() as f64) < rate.floor()
    }

    /// A request is sent now.
    pub(crate) fn record(&mut self, now: Timestamp) {
        self.drop_expired(now);
        self.sent_at.push_back(now);
        self.last_sent = Some(now);
    }
}
