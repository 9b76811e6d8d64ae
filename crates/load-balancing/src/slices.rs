//! A sharded service's table at an edge.

use std::collections::BTreeMap;

use lynxmill_protocol::{ShardEntry, ShardTableUpdate};

/// Who may be sent a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    Owner(String),
    /// On its way, or nobody's yet.
    Shut,
}

#[derive(Clone, Debug, Default)]
pub struct Slices {
    term: u64,
    rows: BTreeMap<u32, ShardEntry>,
}

impl Slices {
    /// Takes a table; whether it was in order, so that its mark is to be answered.
    pub fn apply(&mut self, table: &ShardTableUpdate) -> bool {
        if table.term < self.term || (table.term > self.term && !table.is_complete) {
            return false;
        }
        if table.is_complete && table.term > self.term {
            self.rows.clear();
        }
        self.term = table.term;
        for row in &table.entries {
            // The generation only rises.
            if self
                .rows
                .get(&row.from)
                .is_none_or(|held| held.generation <= row.generation)
            {
                self.rows.insert(row.from, row.clone());
            }
        }
        true
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    /// The slice of a key: its first key, and its owner.
    pub fn find(&self, key: u32) -> (u32, Found) {
        let row = self
            .rows
            .range(..=key)
            .next_back()
            .map(|(_, row)| row)
            .filter(|row| key <= row.to);
        match row {
            Some(row) if !row.closed && !row.owner.is_empty() => {
                (row.from, Found::Owner(row.owner.clone()))
            }
            Some(row) => (row.from, Found::Shut),
            None => (0, Found::Shut),
        }
    }
}
