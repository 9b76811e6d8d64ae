//! The value of the service's register: what is to be written, and what has become of it.

use lynxmill_protocol::ShardTable;

use super::PlacementPlanner;

impl PlacementPlanner {
    /// The register's value with what has been decided.
    pub(super) fn table_with_decisions(&self) -> ShardTable {
        let mut table = self.stored.clone();
        for (slice, place) in table.slices.iter_mut().zip(&self.slices) {
            if let Some(number) = place.next_owner {
                let owner = &self.names[&number];
                // The same owner goes on under its fence; a new one gets the next, beyond all that may stand.
                match &place.uncertain {
                    Some((tried, fence)) if tried == owner => slice.generation = *fence,
                    Some((_, fence)) => slice.generation = fence + 1,
                    None if slice.owner != *owner => slice.generation += 1,
                    None => {}
                }
                slice.owner = owner.clone();
            }
        }
        table
    }

    /// The table was chosen and is on disk.
    pub fn written(&mut self, table: ShardTable) {
        for (i, (slice, place)) in table.slices.iter().zip(&mut self.slices).enumerate() {
            let decided = place
                .next_owner
                .is_some_and(|n| self.names[&n] == slice.owner);
            if !decided {
                continue;
            }
            let same = place.slice == *slice;
            place.slice = slice.clone();
            (place.next_owner, place.uncertain) = (None, None);
            place.granted = same && place.lease.holder.as_deref() == Some(slice.owner.as_str());
            self.dirty.insert(i);
        }
        self.stored = table;
    }

    /// The table could not be written, as far as this member can tell: it is tried again with the
    /// next step.
    pub fn write_failed(&mut self) {
        let tried = self.table_with_decisions();
        for (slice, place) in tried.slices.into_iter().zip(&mut self.slices) {
            if place.next_owner.is_some() && place.slice != slice {
                place.uncertain = Some((slice.owner, slice.generation));
            }
        }
        self.writing = true;
    }
}
