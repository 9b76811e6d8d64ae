//! The shard table of a service, as an edge holds it.

use std::collections::BTreeMap;

use lynxmill_protocol::{ShardEntry, ShardTableUpdate};

/// Who may be sent a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardOwner {
    /// This task, by `InstanceId`.
    Owner(String),
    /// Nobody: the slice is being handed over, or has no owner yet.
    Closed,
}

/// The entries of the highest term that the edge has seen.
#[derive(Clone, Debug, Default)]
pub struct ShardMap {
    term: u64,
    entries: BTreeMap<u32, ShardEntry>,
}

impl ShardMap {
    /// Applies an update; whether it was in order, so that it is to be acknowledged.
    pub fn apply(&mut self, table: &ShardTableUpdate) -> bool {
        if table.term < self.term || (table.term > self.term && !table.is_complete) {
            return false;
        }
        if table.is_complete && table.term > self.term {
            self.entries.clear();
        }
        self.term = table.term;
        for row in &table.entries {
            // The generation only rises.
            if self
                .entries
                .get(&row.from)
                .is_none_or(|held| held.generation <= row.generation)
            {
                self.entries.insert(row.from, row.clone());
            }
        }
        true
    }

    /// The term of the entries.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The slice of a key: its first key, and its owner.
    pub fn lookup(&self, key: u32) -> (u32, ShardOwner) {
        let row = self
            .entries
            .range(..=key)
            .next_back()
            .map(|(_, row)| row)
            .filter(|row| key <= row.to);
        match row {
            Some(row) if !row.closed && !row.owner.is_empty() => {
                (row.from, ShardOwner::Owner(row.owner.clone()))
            }
            Some(row) => (row.from, ShardOwner::Closed),
            None => (0, ShardOwner::Closed),
        }
    }
}
