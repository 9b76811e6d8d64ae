//! Connections between nodes: each dials each other, asks on the connection that it dialled, and is answered
//! there.

use std::collections::BTreeMap;

/// The connections that stand; a number is never used twice.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    /// By who dialled and who was dialled; 0 while there is none.
    by_pair: BTreeMap<(usize, usize), u64>,
    pairs: BTreeMap<u64, (usize, usize)>,
    last: u64,
}

impl Connections {
    /// A number for a connection or a stream.
    pub(crate) fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Wants a connection from now on; whether that is news.
    pub(crate) fn want(&mut self, from: usize, to: usize) -> bool {
        let new = !self.by_pair.contains_key(&(from, to));
        self.by_pair.entry((from, to)).or_default();
        new
    }

    /// Whether one is wanted that does not stand.
    pub(crate) fn is_missing(&self, from: usize, to: usize) -> bool {
        self.by_pair.get(&(from, to)) == Some(&0)
    }

    pub(crate) fn stands(&mut self, from: usize, to: usize) {
        let number = self.number();
        self.by_pair.insert((from, to), number);
        self.pairs.insert(number, (from, to));
    }

    pub(crate) fn between(&self, from: usize, to: usize) -> Option<u64> {
        self.by_pair
            .get(&(from, to))
            .copied()
            .filter(|number| *number != 0)
    }

    /// Who dialled and who was dialled.
    pub(crate) fn ends(&self, number: u64) -> Option<(usize, usize)> {
        self.pairs.get(&number).copied()
    }

    /// A connection is no more; who has to dial again.
    pub(crate) fn break_off(&mut self, number: u64) -> Option<(usize, usize)> {
        let pair = self.pairs.remove(&number)?;
        if let Some(held) = self.by_pair.get_mut(&pair) {
            *held = 0;
        }
        Some(pair)
    }

    /// All connections of a machine.
    pub(crate) fn of(&self, machine: usize) -> Vec<u64> {
        let all = self
            .pairs
            .iter()
            .filter(|(_, (from, to))| *from == machine || *to == machine);
        all.map(|(number, _)| *number).collect()
    }

    /// A process has ended: it wants none any more.
    pub(crate) fn forget_dialler(&mut self, machine: usize) {
        self.by_pair.retain(|(from, _), _| *from != machine);
    }
}
