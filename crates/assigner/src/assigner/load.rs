//! Estimates of load and capacity, and the choice of the server with the most room.

use super::{Assigner, MIN_ATTEMPTS, NEAR_BEST_RATIO};

const MAX_AGE_INTERVALS: f64 = 8.0;

impl Assigner {
    /// Demand of each slice in seconds of latency objective a second; the mean where none is known.
    pub(super) fn demand_by_slice(&self) -> Vec<f64> {
        let aims = self
            .facts
            .operations
            .iter()
            .map(|k| k.latency_objective.secs());
        let heat = |rate: &Vec<f64>| {
            rate.iter()
                .zip(aims.clone())
                .map(|(r, aim)| r * aim)
                .sum::<f64>()
        };
        let known: Vec<Option<f64>> = self
            .slices
            .iter()
            .map(|s| s.rate.as_ref().map(heat))
            .collect();
        let count = known.iter().flatten().count();
        let typical = if count > 0 {
            known.iter().flatten().sum::<f64>() / count as f64
        } else {
            1.0
        };
        known
            .into_iter()
            .map(|heat| heat.unwrap_or(typical))
            .collect()
    }

    /// Load of each server: its slices of this instance, and what the load reports show beyond these where
    /// other instances have slices as well. Guards against taking servers of other instances for idle: one
    /// that shows nothing here has a fair share, unless it started under this instance's eyes.
    pub(super) fn loads(&mut self) -> Vec<f64> {
        let mut load = vec![0.0; self.fleet.task.len()];
        for tbl in 0..self.slices.len() {
            if let (true, Some(i)) = (self.slices[tbl].mine, self.slices[tbl].owner) {
                load[i] += self.heat[tbl];
            }
        }
        let all = load.iter().sum::<f64>() / self.share.max(1e-9);
        let shows: Vec<f64> = self.usables().filter_map(|i| self.fleet.seen[i]).collect();
        let typical = shows.iter().sum::<f64>() / shows.len().max(1) as f64;
        let guess =
            |i: usize| self.fleet.seen[i].unwrap_or(if self.new_here(i) { 0.0 } else { typical });
        let seen: f64 = self.usables().map(guess).sum();
        let others =
            |i: usize| (guess(i) / seen.max(1e-9) * all - load[i]).max(0.0) * (1.0 - self.share);
        self.others = self
            .all()
            .map(|i| if self.usable(i) { others(i) } else { 0.0 })
            .collect();
        load.iter()
            .zip(&self.others)
            .map(|(own, others)| own + others)
            .collect()
    }

    pub(super) fn ratio(&self, i: usize, extra: f64) -> f64 {
        (self.load[i] + extra).max(0.0) / (self.fleet.size[i] * self.warmth(i))
    }

    /// Mean seconds of a server's late successes, if enough of them are known and not long past.
    pub(super) fn elapsed(&self, i: usize) -> Option<f64> {
        let succeeded = self.fleet.tries[i] - self.fleet.lost[i];
        let known = succeeded >= MIN_ATTEMPTS
            && self.now - self.fleet.heard[i] < self.facts.interval.times(MAX_AGE_INTERVALS);
        known.then(|| self.fleet.seconds[i] / succeeded)
    }

    /// Tries that end there in a second, whatever span their sums are for: the larger the fleet the longer.
    pub(super) fn service_rate(&self, i: usize) -> f64 {
        self.facts.zones * self.fleet.ended[i] / self.fleet.over[i].max(1e-3)
    }

    /// Seconds that a newcomer waits if what the server holds leaves at the pace of late: a jam shows here
    /// well before it shows in the times of what got through. A handful in hand is no queue.
    pub(super) fn queue_time(&self, i: usize) -> f64 {
        let held =
            self.fleet.seen[i].filter(|&s| self.facts.held_field.is_some() && s >= MIN_ATTEMPTS);
        held.map_or(0.0, |s| s * self.share / self.service_rate(i).max(1e-3))
    }

    /// Guards cold servers: they hold no more slices than a fair share, by their warmth, of what all lately
    /// succeeded in: in an overload a fair share of demand is more than anyone can do. Each is one
    /// instance's to fill, or the parts of many would be too small for a single slice.
    pub(super) fn fits(&self, i: usize, extra: f64) -> bool {
        let own = self.load[i] - self.others[i];
        self.warmth(i) >= 1.0 || own + extra <= self.warming_capacity(i) * self.part(i)
    }

    /// The part of a cold server's room that is this instance's: all where its lot says so, else what it
    /// holds of the slices beyond its own share, as others must have gone. Its share where it can't be told.
    pub(super) fn part(&self, i: usize) -> f64 {
        let count = self.facts.assigners;
        match self.facts.position {
            None => self.share,
            Some(position) if self.fleet.lot[i] as usize % count == position => 1.0,
            Some(_) => ((self.share * count as f64 - 1.0) / (count as f64 - 1.0)).max(0.0),
        }
    }

    /// What the usable servers succeed in, in the measure of heat, by size and warmth.
    pub(super) fn fair_success(&self) -> f64 {
        let succeeded: f64 = self
            .usables()
            .map(|i| self.service_rate(i) * self.fleet.success[i])
            .sum();
        let able: f64 = self
            .usables()
            .map(|i| self.fleet.size[i] * self.warmth(i))
            .sum();
        succeeded / able.max(1e-9) * self.usual_objective(self.usual_admission()).min(1e9)
    }

    /// The roomiest usable server for a slice, by chance among near-equals.
    pub(super) fn server_with_most_room(&mut self, heat: f64, not: Option<usize>) -> Option<usize> {
        let mut fit: Vec<usize> = self
            .usables()
            .filter(|&i| Some(i) != not && self.fits(i, heat))
            .collect();
        if fit.iter().any(|&i| !self.fleet.dropped[i]) {
            fit.retain(|&i| !self.fleet.dropped[i]);
        }
        let best = fit
            .iter()
            .map(|&i| self.ratio(i, heat))
            .min_by(f64::total_cmp)?;
        let near: Vec<usize> = fit
            .into_iter()
            .filter(|&i| self.ratio(i, heat) <= best * NEAR_BEST_RATIO)
            .collect();
        Some(near[(self.random.unit() * near.len() as f64) as usize])
    }
}
