//! The shard table as edges get it.

use lynxmill_protocol::{ShardEntry, ShardTableUpdate, Slice};

use super::PlacementPlanner;

impl PlacementPlanner {
    fn entry(&self, i: usize) -> ShardEntry {
        let state = &self.slices[i];
        let closed = (state.closed_at.is_some() && state.announced)
            || state.next_owner.is_some()
            || !state.granted;
        let Slice {
            from,
            to,
            owner,
            generation,
        } = state.slice.clone();
        ShardEntry {
            from,
            to,
            owner,
            generation,
            closed,
        }
    }

    pub(super) fn next_update(&mut self) -> ShardTableUpdate {
        self.sequence += 1;
        let is_complete = std::mem::take(&mut self.send_all);
        let dirty = std::mem::take(&mut self.dirty);
        if is_complete {
            return self.complete_update();
        }
        let entries = dirty.into_iter().map(|i| self.entry(i)).collect();
        let (service, term) = (self.parameters.service.clone(), self.stored.term);
        ShardTableUpdate {
            service,
            term,
            sequence: self.sequence,
            is_complete,
            entries,
        }
    }

    /// All entries, for an edge that has just joined.
    pub fn complete_update(&self) -> ShardTableUpdate {
        let entries = (0..self.slices.len()).map(|i| self.entry(i)).collect();
        let (service, term) = (self.parameters.service.clone(), self.stored.term);
        ShardTableUpdate {
            service,
            term,
            sequence: self.sequence,
            is_complete: true,
            entries,
        }
    }
}
