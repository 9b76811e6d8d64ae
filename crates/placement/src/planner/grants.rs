//! What tasks may hold: answers to their heartbeats, keys that they have let go, sign-offs.

use lynxmill_time::Timestamp;

use super::{Grant, PlacementPlanner, ReleasedShard, SliceState, TaskHoldings};
use crate::split::{KeyRange, covers};

/// Above this many grants neighbours are merged: an answer to a heartbeat has to stay short.
const MAX_GRANTS: usize = 48;

/// Rows of an answer at most: with a handover each they still fit into its 4 KiB.
const MAX_ROWS: usize = 95;

/// Whether a grant goes on where the last one ends, and differs from it by its keys alone.
fn continues(last: &Grant, next: &Grant) -> bool {
    last.to + 1 == next.from && last.generation == next.generation && last.handover == next.handover
}

impl SliceState {
    /// Whether the heartbeat names all keys of this slice under its generation.
    fn is_held_by(&self, holdings: &TaskHoldings) -> bool {
        let ranges = holdings
            .held
            .iter()
            .filter(|shard| shard.generation == self.slice.generation)
            .map(|shard| KeyRange::new(shard.from, shard.to));
        covers(ranges.collect(), KeyRange::of(&self.slice))
    }
}

impl PlacementPlanner {
    /// A heartbeat of one of the service's tasks: what the task is to hold, from when it sent the
    /// heartbeat. Empty if this member may not grant it anything.
    pub fn heartbeat(&mut self, now: Timestamp, holdings: &TaskHoldings) -> Vec<Grant> {
        self.lease_holder(&holdings.id).last_heartbeat = Some(now);
        self.released(&holdings.id, &holdings.released);
        let mut granted = Vec::new();
        for index in 0..self.slices.len() {
            let slice = &self.slices[index];
            let owns = slice.slice.owner == holdings.id;
            if owns && slice.closed_at.is_some() {
                self.announce(index);
            } else if owns && self.may_grant(now, index, &holdings.id) {
                granted.push(index);
            }
        }
        self.grant_all(now, &granted, holdings)
    }

    /// Grants slices to their owner, in as many rows as an answer has room for. What does not fit waits
    /// ungranted, so that edges send nothing there: a task owns so many slices only while almost all others are
    /// gone.
    fn grant_all(
        &mut self,
        now: Timestamp,
        owned: &[usize],
        holdings: &TaskHoldings,
    ) -> Vec<Grant> {
        let merges = owned.len() > MAX_GRANTS;
        let mut rows: Vec<Grant> = Vec::new();
        for &index in owned {
            let grant = self.grant_of(index, holdings);
            let has_room = rows.len() < MAX_ROWS;
            match rows.last_mut() {
                Some(last) if merges && continues(last, &grant) => last.to = grant.to,
                _ if has_room => rows.push(grant),
                _ => continue,
            }
            self.record_grant(now, index, &holdings.id);
        }
        rows
    }

    /// Edges close the slice while its owner lets it go: until now it was served.
    fn announce(&mut self, index: usize) {
        if !std::mem::replace(&mut self.slices[index].announced, true) {
            self.dirty.insert(index);
        }
    }

    /// Whether nobody else may hold the slice or is to get it, as far as this member knows.
    fn may_grant(&self, now: Timestamp, index: usize, id: &str) -> bool {
        let slice = &self.slices[index];
        let other_holds = slice.lease.holder_at(now).is_some_and(|task| task != id);
        let moves_away = slice
            .next_owner
            .is_some_and(|number| self.names[&number] != id);
        !other_holds && !moves_away && slice.uncertain.is_none()
    }

    /// The grant of a slice to its owner; a task that holds it already needs no handover.
    fn grant_of(&self, index: usize, holdings: &TaskHoldings) -> Grant {
        let slice = &self.slices[index];
        let handover = if slice.is_held_by(holdings) {
            String::new()
        } else {
            slice.handover.clone()
        };
        Grant {
            from: slice.slice.from,
            to: slice.slice.to,
            generation: slice.slice.generation,
            handover,
        }
    }

    /// The slice is granted, or the grant renewed: edges may send there.
    fn record_grant(&mut self, now: Timestamp, index: usize, id: &str) {
        let slice = &mut self.slices[index];
        slice.lease.grant(now, id, self.parameters.lease_duration);
        if !std::mem::replace(&mut slice.granted, true) {
            self.dirty.insert(index);
        }
    }

    /// Keys that a task has let go, in a heartbeat or with its sign-off.
    fn released(&mut self, id: &str, released: &[ReleasedShard]) {
        for state in &mut self.slices {
            let range = KeyRange::of(&state.slice);
            let ranges = released
                .iter()
                .map(|shard| KeyRange::new(shard.from, shard.to));
            // What it still is to hold it has not let go for good: such a row is older than its grant.
            let leaves =
                state.closed_at.is_some() || state.next_owner.is_some() || state.slice.owner != id;
            let held = state.lease.holder.as_deref() == Some(id);
            if leaves && held && covers(ranges.collect(), range) {
                state.lease.release();
                let first = released
                    .iter()
                    .find(|shard| shard.from <= range.first && range.first <= shard.to);
                state.handover = first
                    .map(|shard| shard.handover.clone())
                    .unwrap_or_default();
            }
        }
    }

    /// A task that had drained has signed off: it has ended and holds nothing any more.
    pub fn sign_off(&mut self, id: &str) {
        for state in &mut self.slices {
            if state.lease.holder.as_deref() == Some(id) {
                state.lease.release();
            }
        }
    }
}
