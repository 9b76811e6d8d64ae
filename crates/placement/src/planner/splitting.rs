//! Busy slices are split, and the assigner begins anew with the parts.

use std::collections::BTreeSet;

use lynxmill_assigner::Assigner;
use lynxmill_time::Timestamp;

use super::parameters::assigner_facts;
use super::{PlacementPlanner, SliceState};
use crate::split;

impl PlacementPlanner {
    /// Cuts busy slices, while none is on its way: all parts stay with their owner, under its fence, and the
    /// assigner begins anew with them. The register learns of the parts with the next write.
    pub(super) fn split(&mut self, now: Timestamp) {
        let still = |p: &SliceState| {
            p.closed_at.is_none() && p.next_owner.is_none() && p.uncertain.is_none() && p.granted
        };
        let owners: BTreeSet<&str> = self.slices.iter().map(|p| p.slice.owner.as_str()).collect();
        let rates: Vec<f64> = self.slices.iter().map(|p| p.request_rate).collect();
        let busy = split::slices_to_split(
            &self.stored.slices,
            &rates,
            owners.len(),
            self.parameters.max_slices,
        );
        if busy.is_empty() || !self.slices.iter().all(still) {
            return;
        }
        let mut states = Vec::new();
        for (i, place) in std::mem::take(&mut self.slices).into_iter().enumerate() {
            if !busy.contains(&i) {
                states.push(place);
                continue;
            }
            let parts = split::split_slice(&place.slice);
            let request_rate = place.request_rate / parts.len() as f64;
            states.extend(parts.into_iter().map(|slice| SliceState {
                slice,
                request_rate,
                ..place.clone()
            }));
        }
        self.slices = states;
        self.stored.slices = self.slices.iter().map(|p| p.slice.clone()).collect();
        self.dirty = (0..self.slices.len()).collect();
        let numbers = self
            .slices
            .iter()
            .map(|p| self.holders.get(&p.slice.owner).map(|h| h.number))
            .collect();
        self.owners_to_restore = Some(numbers);
        self.initial_rates = Some(self.slices.iter().map(|p| p.request_rate).collect());
        self.listed.clear();
        self.streams = self
            .edges
            .values()
            .map(|edge| (edge.proxy, edge.joined))
            .collect();
        self.streams
            .extend(self.holders.values().map(|holder| (holder.proxy, true)));
        self.first_barrier = self.barrier;
        let seed = self.stored.term ^ now.micros() as u64;
        self.assigner = Assigner::new(
            seed,
            now,
            assigner_facts(&self.parameters, self.slices.len()),
        );
    }
}
