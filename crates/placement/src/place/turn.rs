//! One round of decisions a turn, and what follows of it.

use std::collections::BTreeMap;

use lynxmill_assigner::Assigner;
use lynxmill_protocol::Task;
use lynxmill_time::{TimeDelta, Timestamp};

use super::{PlacementPlanner, PlacementStep};
use crate::orders::Notes;

/// Weight of the newest interval in a slice's rate.
const FRESH: f64 = 0.6;

impl PlacementPlanner {
    /// One turn: `tasks` are all that are known, `empty` tells evacuated zones.
    pub fn turn(
        &mut self,
        now: Timestamp,
        tasks: &[Task],
        empty: &dyn Fn(&str) -> bool,
    ) -> PlacementStep {
        let listed = if self.gathering(now, tasks) {
            Vec::new()
        } else {
            self.listings(now, tasks, empty)
        };
        let mut answers: Vec<(usize, u64)> = Vec::new();
        // Nobody answers what edges have not been told: one that joins now would get the slice open.
        let told = self.tables.last_key_value().map_or(0, |(mark, _)| *mark);
        for holder in self.holders.values_mut() {
            let id = &self.names[&holder.number];
            let owes = self
                .places
                .iter()
                .filter(|p| p.hold.by(now) == Some(id.as_str()));
            let first = owes.filter_map(|p| p.shut).min();
            let cleared = first
                .map_or(self.mark, |mark| mark.saturating_sub(1))
                .min(told);
            if cleared > holder.answered {
                holder.answered = cleared;
                answers.push((holder.proxy, cleared));
            }
        }
        answers.extend(
            self.edges
                .values()
                .filter(|e| e.2)
                .map(|e| (e.0, self.answered(e.1))),
        );
        let span = now - self.reported;
        let due = span >= self.terms.interval;
        let seen = if due {
            std::mem::take(&mut self.seen)
        } else {
            BTreeMap::new()
        };
        let demand: Vec<f64> = if due {
            self.reported = now;
            let demand: Vec<f64> = self
                .places
                .iter_mut()
                .map(|p| std::mem::take(&mut p.requests))
                .collect();
            for (place, requests) in self.places.iter_mut().zip(&demand) {
                place.rate += (requests / span.secs() - place.rate) * FRESH;
            }
            // No request at all tells nothing of where they will be: without heat all places look alike.
            if demand.iter().sum::<f64>() > 0.0 {
                demand
            } else {
                Vec::new()
            }
        } else {
            Vec::new()
        };
        let (streams, stored) = (std::mem::take(&mut self.streams), self.stored.take());
        let rates = self.rates.take();
        let (holders, marked, base) = (&self.holders, &self.marked, self.base);
        let feed = |assigner: &mut Assigner| {
            for (i, number) in stored.into_iter().flatten().enumerate() {
                assigner.custody(i, true);
                if let Some(number) = number {
                    assigner.stored(i, number);
                }
            }
            for (proxy, joined) in streams {
                if joined {
                    assigner.joined(proxy)
                } else {
                    assigner.parted(proxy)
                }
            }
            if !listed.is_empty() {
                assigner.listed(false, false, &listed);
            }
            for (proxy, mark) in answers.iter().filter(|(_, mark)| *mark > base) {
                let elapsed = marked
                    .get(mark)
                    .map_or(TimeDelta::default(), |at| now - *at);
                assigner.answered(*proxy, ((*mark - base) & 0xffff) as u16, elapsed);
            }
            for (id, sums) in &seen {
                let done = (sums.tries - sums.lost).max(1.0);
                let took = TimeDelta::from_secs(sums.seconds / done);
                let held: Vec<f64> = sums.held.into_iter().collect();
                assigner.heard(holders[id].number, sums.tries, sums.lost, took, span, &held);
            }
            for (i, rate) in rates.iter().flatten().enumerate() {
                assigner.demand(i, 0, *rate, TimeDelta::from_secs(1.0));
            }
            for (i, requests) in demand.iter().enumerate() {
                assigner.demand(i, 0, *requests, span);
            }
            Ok::<(), std::convert::Infallible>(())
        };
        let mut notes = Notes::default();
        let _ = self.assigner.round(now, feed, &mut notes);
        let put = self.carry_out(now, notes);
        if due && put.write.is_none() {
            self.split(now);
        }
        put
    }

    fn carry_out(&mut self, now: Timestamp, notes: Notes) -> PlacementStep {
        if notes.mark.is_some() {
            self.mark += 1;
            self.marked.insert(self.mark, now);
            let old = self.mark.saturating_sub(256);
            self.marked.retain(|mark, _| *mark > old);
        }
        let moves = notes.published.len();
        for (i, number) in notes.published {
            (self.places[i].next, self.places[i].shut) = (Some(number), None);
            self.writing = true;
        }
        // One that was published before, or in this very turn, stays shut once that is written.
        for i in notes.shut {
            (self.places[i].shut, self.places[i].told) = (Some(self.mark), false);
        }
        self.tell_shuts(now);
        let wanted = std::mem::take(&mut self.writing).then(|| self.wanted());
        // The same owners go on: that is on disk already.
        let (same, write) = match wanted {
            Some(berth) if berth == self.berth => (Some(berth), None),
            other => (None, other),
        };
        same.into_iter().for_each(|berth| self.written(berth));
        let table = (!self.dirty.is_empty() || self.whole).then(|| self.next_table());
        let open = self
            .places
            .iter()
            .filter(|p| !p.told)
            .filter_map(|p| p.shut)
            .min();
        let told = open.map_or(self.mark, |mark| mark - 1);
        for mark in self.tables.last_key_value().map_or(1, |(mark, _)| mark + 1)..=told {
            self.tables.insert(mark, self.table);
        }
        while self.tables.len() > 256 {
            self.tables.pop_first();
        }
        PlacementStep {
            write,
            table,
            stays: notes.stays.len(),
            moves,
        }
    }
}
