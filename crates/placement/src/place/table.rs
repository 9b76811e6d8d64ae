//! The table that edges are told.

use lynxmill_protocol::{Row, Slice, Table};

use super::PlacementPlanner;

impl PlacementPlanner {
    fn row(&self, i: usize) -> Row {
        let place = &self.places[i];
        let shut = (place.shut.is_some() && place.told) || place.next.is_some() || !place.granted;
        let Slice {
            from,
            to,
            owner,
            fence,
        } = place.slice.clone();
        Row {
            from,
            to,
            owner,
            fence,
            shut,
        }
    }

    pub(super) fn next_table(&mut self) -> Table {
        self.table += 1;
        let whole = std::mem::take(&mut self.whole);
        let dirty = std::mem::take(&mut self.dirty);
        if whole {
            return self.whole_table();
        }
        let rows = dirty.into_iter().map(|i| self.row(i)).collect();
        let (service, term) = (self.terms.service.clone(), self.berth.term);
        Table {
            service,
            term,
            mark: self.table,
            whole,
            rows,
        }
    }

    /// For an edge that has just joined.
    pub fn whole_table(&self) -> Table {
        let rows = (0..self.places.len()).map(|i| self.row(i)).collect();
        let (service, term) = (self.terms.service.clone(), self.berth.term);
        Table {
            service,
            term,
            mark: self.table,
            whole: true,
            rows,
        }
    }
}
