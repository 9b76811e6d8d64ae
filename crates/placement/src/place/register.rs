//! The register's value: what is to be written, and what has become of it.

use lynxmill_protocol::ShardTable;

use super::PlacementPlanner;

impl PlacementPlanner {
    /// The register's value with what has been decided.
    pub(super) fn wanted(&self) -> ShardTable {
        let mut berth = self.berth.clone();
        for (slice, place) in berth.slices.iter_mut().zip(&self.places) {
            if let Some(number) = place.next {
                let owner = &self.names[&number];
                // The same owner goes on under its fence; a new one gets the next, beyond all that may stand.
                match &place.unsure {
                    Some((tried, fence)) if tried == owner => slice.generation = *fence,
                    Some((_, fence)) => slice.generation = fence + 1,
                    None if slice.owner != *owner => slice.generation += 1,
                    None => {}
                }
                slice.owner = owner.clone();
            }
        }
        berth
    }

    /// What was to be written is on disk.
    pub fn written(&mut self, berth: ShardTable) {
        for (i, (slice, place)) in berth.slices.iter().zip(&mut self.places).enumerate() {
            let decided = place.next.is_some_and(|n| self.names[&n] == slice.owner);
            if !decided {
                continue;
            }
            let same = place.slice == *slice;
            place.slice = slice.clone();
            (place.next, place.unsure) = (None, None);
            place.granted = same && place.hold.task.as_deref() == Some(slice.owner.as_str());
            self.dirty.insert(i);
        }
        self.berth = berth;
    }

    /// It could not be written, as far as can be told: again with the next turn.
    pub fn unwritten(&mut self) {
        let tried = self.wanted();
        for (slice, place) in tried.slices.into_iter().zip(&mut self.places) {
            if place.next.is_some() && place.slice != slice {
                place.unsure = Some((slice.owner, slice.generation));
            }
        }
        self.writing = true;
    }
}
