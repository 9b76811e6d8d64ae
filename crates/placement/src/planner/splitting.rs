//! Busy slices are split, and the assigner begins anew with the parts.

use std::collections::BTreeSet;

use lynxmill_assigner::Assigner;
use lynxmill_protocol::Slice;
use lynxmill_time::Timestamp;

use super::parameters::{assigner_facts, initial_slices};
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
            split::max_count(self.listed.len(), self.parameters.max_slices),
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
        self.begin_assigner_anew(now);
    }

    /// Divides a table that nobody has owned a slice of as finely as so many tasks need.
    pub(super) fn divide_for(&mut self, now: Timestamp, tasks: usize) {
        if !split::are_too_few(self.slices.len(), tasks) {
            return;
        }
        let count = split::initial_count(tasks);
        let unowned = |p: &SliceState| {
            p.slice.owner.is_empty() && p.next_owner.is_none() && p.uncertain.is_none()
        };
        if count <= self.slices.len() || !self.slices.iter().all(unowned) {
            return;
        }
        self.stored.slices = initial_slices(count as u32);
        let state = |slice: &Slice| SliceState {
            slice: slice.clone(),
            ..SliceState::default()
        };
        self.slices = self.stored.slices.iter().map(state).collect();
        self.send_all = true;
        self.owners_to_restore = Some(vec![None; count]);
        self.begin_assigner_anew(now);
    }

    /// The slices are others than before: the assigner is told of everything once more.
    fn begin_assigner_anew(&mut self, now: Timestamp) {
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
