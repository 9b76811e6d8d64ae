//! What tasks may hold: answers to their beats, what they have let go, sign-offs.

use lynxmill_protocol::Slice;
use lynxmill_time::Timestamp;

use super::{Grant, PlacementPlanner, Told};
use crate::split;

/// Rows of a beat's answer before neighbours are put together.
const ROWS: usize = 48;

/// Neighbours that are alike make one row: a beat's answer has to stay short.
fn alike(grants: Vec<Grant>) -> Vec<Grant> {
    let mut few: Vec<Grant> = Vec::new();
    for grant in grants {
        let same = |last: &&mut Grant| {
            last.to + 1 == grant.from
                && last.fence == grant.fence
                && last.handover == grant.handover
        };
        match few.last_mut().filter(same) {
            Some(last) => last.to = grant.to,
            None => few.push(grant),
        }
    }
    few
}

impl PlacementPlanner {
    /// A beat of one of the service's tasks: what the task is to hold, from when it sent the beat. None if it
    /// may not be told anything by this custodian.
    pub fn beat(&mut self, now: Timestamp, told: &Told) -> Vec<Grant> {
        self.holder(&told.id).beat = Some(now);
        self.released(&told.id, &told.released);
        let mut grants = Vec::new();
        for i in 0..self.places.len() {
            let place = &mut self.places[i];
            let owns = place.slice.owner == told.id;
            if owns && place.shut.is_some() {
                // Edges shut it while its owner lets it go: until now it was served.
                if !std::mem::replace(&mut place.told, true) {
                    self.dirty.insert(i);
                }
                continue;
            }
            let other = place.hold.by(now).is_some_and(|task| task != told.id);
            let leaves = place.next.is_some_and(|n| self.names[&n] != told.id);
            if !owns || other || leaves || place.unsure.is_some() {
                continue;
            }
            place.hold.grant(now, &told.id, self.terms.hold);
            let same = told
                .holdings
                .iter()
                .filter(|row| row.2 == place.slice.generation);
            let rows = same.map(|row| (row.0, row.1)).collect();
            let holds = split::covered(rows, place.slice.from, place.slice.to);
            if !std::mem::replace(&mut place.granted, true) {
                self.dirty.insert(i);
            }
            let handover = if holds {
                String::new()
            } else {
                place.handover.clone()
            };
            let Slice {
                from,
                to,
                generation,
                ..
            } = place.slice;
            grants.push(Grant {
                from,
                to,
                fence: generation,
                handover,
            });
        }
        if grants.len() > ROWS {
            alike(grants)
        } else {
            grants
        }
    }

    /// Keys that a task has let go, in a beat or with its sign-off.
    fn released(&mut self, id: &str, rows: &[(u32, u32, String)]) {
        for place in &mut self.places {
            let Slice { from, to, .. } = place.slice;
            let covered = split::covered(rows.iter().map(|row| (row.0, row.1)).collect(), from, to);
            // What it still is to hold it has not let go for good: such a row is older than its grant.
            let leaves = place.shut.is_some() || place.next.is_some() || place.slice.owner != id;
            if covered && leaves && place.hold.task.as_deref() == Some(id) {
                place.hold.free();
                let row = rows.iter().find(|row| row.0 <= from && from <= row.1);
                place.handover = row.map(|row| row.2.clone()).unwrap_or_default();
            }
        }
    }

    /// A task signed off: it holds nothing any more.
    pub fn signed_off(&mut self, id: &str) {
        for place in self
            .places
            .iter_mut()
            .filter(|p| p.hold.task.as_deref() == Some(id))
        {
            place.hold.free();
        }
    }
}
