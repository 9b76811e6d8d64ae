//! The table that edges are told.

use lynxmill_protocol::{ShardEntry, ShardTableUpdate, Slice};

use super::PlacementPlanner;

impl PlacementPlanner {
    fn row(&self, i: usize) -> ShardEntry {
        let place = &self.places[i];
        let closed = (place.shut.is_some() && place.told) || place.next.is_some() || !place.granted;
        let Slice {
            from,
            to,
            owner,
            generation,
        } = place.slice.clone();
        ShardEntry {
            from,
            to,
            owner,
            generation,
            closed,
        }
    }

    pub(super) fn next_table(&mut self) -> ShardTableUpdate {
        self.table += 1;
        let is_complete = std::mem::take(&mut self.whole);
        let dirty = std::mem::take(&mut self.dirty);
        if is_complete {
            return self.whole_table();
        }
        let entries = dirty.into_iter().map(|i| self.row(i)).collect();
        let (service, term) = (self.terms.service.clone(), self.berth.term);
        ShardTableUpdate {
            service,
            term,
            sequence: self.table,
            is_complete,
            entries,
        }
    }

    /// For an edge that has just joined.
    pub fn whole_table(&self) -> ShardTableUpdate {
        let entries = (0..self.places.len()).map(|i| self.row(i)).collect();
        let (service, term) = (self.terms.service.clone(), self.berth.term);
        ShardTableUpdate {
            service,
            term,
            sequence: self.table,
            is_complete: true,
            entries,
        }
    }
}
