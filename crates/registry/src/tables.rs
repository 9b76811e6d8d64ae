//! The forwarder's side: owners and levels as a followed registry tells them. Reads go on with what is held.
//! Writes end a lease after the copy was last known to be current, and resume only after a whole reading that
//! was begun later.

use std::collections::BTreeMap;

use lynxmill_time::{TimeDelta, Timestamp};

use crate::layout::{KeyLocation, Layout, Levels, Line, Mark, read};
use crate::transaction::{Change, KeyValue};
use crate::watch::WatchEvent;

/// What an invocation of a slice finds.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceView<'a> {
    pub server: Option<&'a str>,
    pub generation: u64,
    pub level: f64,
    pub writes: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Table {
    server: Option<String>,
    generation: u64,
    levels: BTreeMap<String, f64>,
    /// The registry told of an earlier generation than one that was held: no writes until it is passed.
    floor: u64,
}

#[derive(Clone, Debug)]
pub struct Tables {
    layout: Layout,
    lease: TimeDelta,
    tables: BTreeMap<usize, Table>,
    marks: BTreeMap<String, Mark>,
    current: Option<Timestamp>,
    /// Writes ended, or never began: only a whole reading lets them begin.
    lapsed: bool,
    /// A whole reading has come since the lapse.
    whole: bool,
    /// Values that could not be read, and the last of them.
    pub spoilt: u64,
    pub last_spoilt: Option<String>,
}

impl Tables {
    pub fn new(layout: Layout, lease: TimeDelta) -> Self {
        Tables {
            layout,
            lease,
            tables: BTreeMap::new(),
            marks: BTreeMap::new(),
            current: None,
            lapsed: true,
            whole: false,
            spoilt: 0,
            last_spoilt: None,
        }
    }

    /// Looks at the time: true where writes have just ended and everything is to be read again.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let over = self
            .current
            .is_none_or(|current| now - current >= self.lease);
        let lapses = over && !self.lapsed;
        if lapses {
            (self.lapsed, self.whole) = (true, false);
        }
        lapses
    }

    /// Takes what the copy tells; the marks that are to be answered now, by assigner.
    pub fn take(&mut self, now: Timestamp, told: &WatchEvent) -> Vec<(String, Mark)> {
        // What comes late must not lengthen a lease that is over.
        self.tick(now);
        match told {
            WatchEvent::Change(change) => {
                self.change(change);
                Vec::new()
            }
            WatchEvent::Whole { .. } => {
                self.whole = true;
                Vec::new()
            }
            WatchEvent::Current { as_of } => {
                let fresh = now - *as_of < self.lease;
                self.current = self.current.max(Some(*as_of));
                if fresh && self.whole {
                    self.lapsed = false;
                }
                // Marks count once all that was written with them is surely held.
                if fresh && !self.lapsed {
                    std::mem::take(&mut self.marks).into_iter().collect()
                } else {
                    Vec::new()
                }
            }
            WatchEvent::Broke => Vec::new(),
            WatchEvent::WentBack { .. } => {
                // History is another one: what was held is no ground for writes.
                (self.lapsed, self.whole) = (true, false);
                Vec::new()
            }
        }
    }

    fn spoil(&mut self, pair: &KeyValue, reason: String) {
        self.spoilt += 1;
        self.last_spoilt = Some(format!("{}: {reason}", pair.key));
    }

    fn change(&mut self, change: &Change) {
        let Some(place) = self.layout.place(change.key()) else {
            return;
        };
        let Change::Put(pair) = change else {
            match place {
                // Without a line there is nobody to send to.
                KeyLocation::Line(slice) => {
                    let table = self.tables.entry(slice).or_default();
                    table.floor = table.floor.max(table.generation);
                    table.server = None;
                }
                KeyLocation::Levels(slice) => self.tables.entry(slice).or_default().levels.clear(),
                _ => {}
            }
            return;
        };
        match place {
            KeyLocation::Line(slice) => match read::<Line>(&pair.value) {
                Ok(line) => {
                    let table = self.tables.entry(slice).or_default();
                    // Guards against a restored backup: a former owner must not have writes again.
                    if line.generation < table.generation {
                        table.floor = table.floor.max(table.generation + 1);
                    }
                    (table.server, table.generation) = (line.server, line.generation);
                }
                Err(reason) => {
                    // What can't be read names no owner: better none than a former one.
                    self.tables.entry(slice).or_default().server = None;
                    self.spoil(pair, reason);
                }
            },
            KeyLocation::Levels(slice) => match read::<Levels>(&pair.value) {
                Ok(levels) => self.tables.entry(slice).or_default().levels = levels.levels,
                Err(reason) => self.spoil(pair, reason),
            },
            KeyLocation::Mark(assigner) => match read::<Mark>(&pair.value) {
                Ok(mark) => drop(self.marks.insert(assigner, mark)),
                Err(reason) => self.spoil(pair, reason),
            },
            _ => {}
        }
    }

    pub fn writes(&self, now: Timestamp) -> bool {
        !self.lapsed
            && self
                .current
                .is_some_and(|current| now - current < self.lease)
    }

    /// When writes end unless the copy is found current again.
    pub fn until(&self) -> Option<Timestamp> {
        self.current
            .filter(|_| !self.lapsed)
            .map(|current| current + self.lease)
    }

    pub fn see(&self, now: Timestamp, slice: usize, operation: &str) -> SliceView<'_> {
        let Some(table) = self.tables.get(&slice) else {
            return SliceView {
                server: None,
                generation: 0,
                level: 1.0,
                writes: false,
            };
        };
        SliceView {
            server: table.server.as_deref(),
            generation: table.generation,
            level: table.levels.get(operation).copied().unwrap_or(1.0),
            writes: self.writes(now) && table.generation >= table.floor,
        }
    }

    pub fn slices(&self) -> impl Iterator<Item = (usize, Option<&str>, u64)> {
        self.tables
            .iter()
            .map(|(slice, table)| (*slice, table.server.as_deref(), table.generation))
    }
}
