//! Busy slices cut, and the assigner begun anew with the parts.

use std::collections::BTreeSet;

use lynxmill_assigner::Assigner;
use lynxmill_time::Timestamp;

use super::terms::facts;
use super::{Place, PlacementPlanner};
use crate::split;

impl PlacementPlanner {
    /// Cuts busy slices, while none is on its way: all parts stay with their owner, under its fence, and the
    /// assigner begins anew with them. The register learns of the parts with the next write.
    pub(super) fn split(&mut self, now: Timestamp) {
        let still =
            |p: &Place| p.shut.is_none() && p.next.is_none() && p.unsure.is_none() && p.granted;
        let owners: BTreeSet<&str> = self.places.iter().map(|p| p.slice.owner.as_str()).collect();
        let rates: Vec<f64> = self.places.iter().map(|p| p.rate).collect();
        let busy = split::busy(&self.berth.slices, &rates, owners.len(), self.terms.most);
        if busy.is_empty() || !self.places.iter().all(still) {
            return;
        }
        let mut places = Vec::new();
        for (i, place) in std::mem::take(&mut self.places).into_iter().enumerate() {
            if !busy.contains(&i) {
                places.push(place);
                continue;
            }
            let parts = split::parts(&place.slice);
            let rate = place.rate / parts.len() as f64;
            places.extend(parts.into_iter().map(|slice| Place {
                slice,
                rate,
                ..place.clone()
            }));
        }
        self.places = places;
        self.berth.slices = self.places.iter().map(|p| p.slice.clone()).collect();
        self.dirty = (0..self.places.len()).collect();
        let numbers = self
            .places
            .iter()
            .map(|p| self.holders.get(&p.slice.owner).map(|h| h.number))
            .collect();
        self.stored = Some(numbers);
        self.rates = Some(self.places.iter().map(|p| p.rate).collect());
        self.listed.clear();
        self.streams = self.edges.values().map(|edge| (edge.0, edge.2)).collect();
        self.streams
            .extend(self.holders.values().map(|holder| (holder.proxy, true)));
        self.base = self.mark;
        let seed = self.berth.term ^ now.micros() as u64;
        self.assigner = Assigner::new(seed, now, facts(&self.terms, self.places.len()));
    }
}
