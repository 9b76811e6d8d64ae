//! Which task a request goes to: the one where it would be done first, as far as this edge can tell, with
//! what bytes between zones and regions cost counted as time.

use lynxmill_configuration::Service;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::slices::Found;
use crate::view::{LoadBalancer, Place, Seen};

/// What another zone and another region cost, as parts of the aim.
const OTHER_ZONE: f64 = 0.12;
const OTHER_REGION: f64 = 0.5;
/// What a task whose slots are all but taken costs, as a part of its mean time.
const CROWDED: f64 = 0.35;
/// A task that failed of late is the last resort, as parts of the aim.
const FAILED: f64 = 4.0;

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Choice<'a> {
    pub service: &'a Service,
    /// Where it may run; everywhere if empty.
    pub homes: &'a [String],
    /// `Lynxmill-Shard-Key`.
    pub key: Option<u32>,
    /// Tasks that it was sent to already.
    pub tried: &'a [String],
    pub aim: TimeDelta,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    Task(String),
    /// The key's slice is shut: it may open at any moment.
    Shut,
    /// Nobody may be sent it now.
    None,
}

impl LoadBalancer {
    fn open(&self, now: Timestamp, seen: &Seen, choice: &Choice) -> bool {
        let place: &Place = &self.place;
        let region = place.region_of(&seen.task.zone);
        seen.usable(now)
            && !self.chart().evacuated(&seen.task.zone)
            && (choice.homes.is_empty() || choice.homes.iter().any(|home| home == region))
            && !choice.tried.contains(&seen.task.id)
    }

    /// Seconds that a request would take there, beyond its work.
    fn cost(&self, now: Timestamp, seen: &Seen, aim: TimeDelta) -> f64 {
        let (mean, slots) = (seen.mean(), f64::from(seen.task.slots.max(1)));
        let load = seen.load(now);
        let waits = (load + 1.0 - slots).max(0.0) / slots * mean;
        let crowd = load / slots * CROWDED * mean;
        let far = if seen.task.zone == self.place.zone {
            0.0
        } else if self.place.region_of(&seen.task.zone) == self.place.region {
            OTHER_ZONE
        } else {
            OTHER_ZONE + OTHER_REGION
        };
        let failed = if seen.out(now) { FAILED } else { 0.0 };
        waits + crowd + (far + failed) * aim.secs()
    }

    /// The task for a request; `drawn` from 0 to 1 breaks ties.
    pub fn choose(&mut self, now: Timestamp, choice: &Choice, drawn: f64) -> Pick {
        if choice.service.sharded {
            return self.owner(now, choice);
        }
        let ids = self.of(&choice.service.name);
        let mut best: Vec<(f64, &str)> = Vec::new();
        for id in ids {
            let Some(seen) = self.seen(id).filter(|seen| self.open(now, seen, choice)) else {
                continue;
            };
            best.push((self.cost(now, seen, choice.aim), id));
        }
        best.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Near-equals share: edges that know the same must not all go to one task.
        let near = best.first().map_or(0.0, |first| first.0) + choice.aim.secs() * 0.01;
        let equal = best.partition_point(|(cost, _)| *cost <= near);
        if equal > 1 {
            let by = (drawn * equal as f64) as usize % equal;
            best[..equal].rotate_left(by);
        }
        let ranked: Vec<String> = best.into_iter().map(|(_, id)| id.to_owned()).collect();
        for id in ranked {
            if self.cold_room(now, &id, choice.service) {
                return Pick::Task(id);
            }
        }
        Pick::None
    }

    fn owner(&mut self, now: Timestamp, choice: &Choice) -> Pick {
        let Some(key) = choice.key else {
            return Pick::None;
        };
        let (from, found) = self.slice(&choice.service.name, key);
        self.demand(&choice.service.name, from);
        let Found::Owner(id) = found else {
            return Pick::Shut;
        };
        let open = self
            .seen(&id)
            .is_some_and(|seen| self.open(now, seen, choice));
        if !open {
            // Its owner has gone or was tried: the slice is about to move, if the request may go there at
            // all.
            return Pick::Shut;
        }
        if self.cold_room(now, &id, choice.service) {
            Pick::Task(id)
        } else {
            Pick::None
        }
    }
}
