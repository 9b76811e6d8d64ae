//! A forwarder: its streams to the assigners, its tables, and whether it may write. It follows its orders to the
//! letter and judges no server; it neither reads nor writes and knows no clock.

use std::collections::BTreeMap;
use std::rc::Rc;

use lynxmill_time::{TimeDelta, Timestamp};

/// The owner in a table, and the number of the issue: the store counts one up whenever the owner changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
    pub server: u32,
    pub issue: u64,
}

/// A slice's table as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored {
    pub line: Option<Line>,
    /// What is let in, by operation.
    pub levels: Vec<f64>,
}

#[derive(Clone, Debug)]
pub enum Change {
    Line(usize, Option<Line>),
    Levels {
        slice: usize,
        operation: usize,
        level: f64,
    },
}

/// What an assigner ordered in one call, as one message for each forwarder.
#[derive(Debug)]
pub struct Message {
    pub changes: Vec<Change>,
    pub marks: Vec<u16>,
    pub ordered: Timestamp,
}

impl Message {
    pub fn lines(&self) -> usize {
        self.changes.len() + self.marks.len()
    }
}

#[derive(Clone, Debug)]
pub struct Stream {
    pub joined: bool,
    /// Counts joins and breaks: what travels on an earlier stream is lost.
    pub epoch: u32,
    pub since: Timestamp,
    /// The store has been read on this stream.
    pub read: bool,
    pub cut_off_until: Timestamp,
    /// Marks that wait for the store to be read.
    owed: Vec<(u16, Timestamp)>,
}

#[derive(Clone, Debug)]
struct Table {
    line: Option<Line>,
    levels: Vec<f64>,
    /// The assigner in charge, as far as it knows.
    charge: Option<usize>,
    /// Writes go until then; none is set while its stream stands and the store has been read.
    until: Option<Timestamp>,
    bare_since: Option<Timestamp>,
}

/// What becomes of an invocation here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoutingDecision {
    To(Line),
    /// Not let in.
    Refused,
    /// No server to pick, or no writes for now.
    Wait,
}

pub struct Forwarder {
    pub zone: usize,
    pub alive: bool,
    pub stalled_until: Timestamp,
    pub streams: Vec<Stream>,
    tables: Vec<Table>,
    /// Invocations that wait for a slice's table, oldest first.
    held: BTreeMap<usize, Vec<u64>>,
    lease: TimeDelta,
}

/// What is asked of whoever carries things out.
#[derive(Debug, PartialEq)]
pub enum ForwarderAction {
    /// These may find a server now.
    Again(Vec<u64>),
    /// Answer this mark, ordered then.
    Answer {
        assigner: usize,
        mark: u16,
        ordered: Timestamp,
    },
}

impl Forwarder {
    pub fn new(
        zone: usize,
        assigners: usize,
        slices: usize,
        operations: usize,
        lease: TimeDelta,
    ) -> Self {
        let stream = Stream {
            joined: false,
            epoch: 0,
            since: Timestamp::default(),
            read: false,
            cut_off_until: Timestamp::default(),
            owed: Vec::new(),
        };
        let table = Table {
            line: None,
            levels: vec![1.0; operations],
            charge: None,
            until: Some(Timestamp::default()),
            bare_since: None,
        };
        Forwarder {
            zone,
            alive: true,
            stalled_until: Timestamp::default(),
            streams: vec![stream; assigners],
            tables: vec![table; slices],
            held: BTreeMap::new(),
            lease,
        }
    }

    pub fn line(&self, slice: usize) -> Option<Line> {
        self.tables[slice].line
    }

    /// Slices that it has had no server for, with a stream to the assigner in charge, and since when.
    pub fn bare(&self) -> impl Iterator<Item = (usize, usize, Timestamp)> {
        self.tables.iter().enumerate().filter_map(|(slice, table)| {
            let charge = table.charge.filter(|&a| self.streams[a].joined)?;
            Some((
                slice,
                charge,
                table.bare_since?.max(self.streams[charge].since),
            ))
        })
    }

    pub fn writes(&self, now: Timestamp, slice: usize) -> bool {
        self.tables[slice].until.is_none_or(|until| now < until)
    }

    /// `draw` is this invocation's own, in 0..1.
    pub fn way(
        &self,
        now: Timestamp,
        slice: usize,
        operation: usize,
        write: bool,
        draw: f64,
    ) -> RoutingDecision {
        let table = &self.tables[slice];
        if draw >= table.levels[operation] {
            return RoutingDecision::Refused;
        }
        match table.line {
            Some(line) if !write || self.writes(now, slice) => RoutingDecision::To(line),
            _ => RoutingDecision::Wait,
        }
    }

    pub fn hold(&mut self, slice: usize, id: u64) {
        self.held.entry(slice).or_default().push(id);
    }

    /// Takes one out that has waited long enough or has been given up.
    pub fn let_go(&mut self, slice: usize, id: u64) -> bool {
        let Some(held) = self.held.get_mut(&slice) else {
            return false;
        };
        let before = held.len();
        held.retain(|other| *other != id);
        before != held.len()
    }

    /// A process dies and all that it knows with it; the ids of what it held.
    pub fn die(&mut self) -> Vec<u64> {
        self.alive = false;
        std::mem::take(&mut self.held)
            .into_values()
            .flatten()
            .collect()
    }

    /// It comes back with nothing: no writes before it has read the store.
    pub fn come_back(&mut self, now: Timestamp) {
        self.alive = true;
        for table in &mut self.tables {
            table.levels.iter_mut().for_each(|level| *level = 1.0);
            (table.line, table.charge, table.until, table.bare_since) =
                (None, None, Some(now), Some(now));
        }
    }

    pub fn join(&mut self, now: Timestamp, assigner: usize) -> u32 {
        let stream = &mut self.streams[assigner];
        (stream.joined, stream.read, stream.since) = (true, false, now);
        stream.epoch += 1;
        stream.owed.clear();
        stream.epoch
    }

    /// What a faulty one does that doesn't read the store: it writes on with what it holds.
    pub fn trust(&mut self, assigner: usize) {
        let held = self
            .tables
            .iter_mut()
            .filter(|table| table.charge == Some(assigner));
        held.for_each(|table| table.until = None);
    }

    /// The stream has broken: writes go on for a lease, reads with what is held.
    pub fn part(&mut self, now: Timestamp, assigner: usize) {
        let stream = &mut self.streams[assigner];
        if !stream.joined {
            return;
        }
        (stream.joined, stream.read) = (false, false);
        stream.epoch += 1;
        stream.owed.clear();
        for table in self
            .tables
            .iter_mut()
            .filter(|table| table.charge == Some(assigner))
        {
            table.until.get_or_insert(now + self.lease);
        }
    }

    /// A slice has another assigner, or none: the same lease, until the store has been read.
    pub fn handed(&mut self, now: Timestamp, slice: usize, to: Option<usize>) {
        let table = &mut self.tables[slice];
        if table.charge != to {
            table.charge = to;
            table.until.get_or_insert(now + self.lease);
        }
    }

    /// A slice as the store holds it, read on a stream that stands to the assigner in charge.
    pub fn store(
        &mut self,
        now: Timestamp,
        slice: usize,
        assigner: usize,
        stored: &Stored,
    ) -> Option<ForwarderAction> {
        let table = &mut self.tables[slice];
        table.charge = Some(assigner);
        table.levels.clone_from(&stored.levels);
        table.until = None;
        self.set(now, slice, stored.line)
    }

    fn set(&mut self, now: Timestamp, slice: usize, line: Option<Line>) -> Option<ForwarderAction> {
        let table = &mut self.tables[slice];
        table.line = line;
        if line.is_none() {
            table.bare_since.get_or_insert(now);
            return None;
        }
        table.bare_since = None;
        self.held.remove(&slice).map(ForwarderAction::Again)
    }

    /// All that its stream's assigner has in charge has been read: marks may be answered.
    pub fn has_read(&mut self, assigner: usize, to: &mut Vec<ForwarderAction>) {
        let stream = &mut self.streams[assigner];
        stream.read = true;
        let owed = std::mem::take(&mut stream.owed);
        to.extend(
            owed.into_iter()
                .map(|(mark, ordered)| ForwarderAction::Answer {
                    assigner,
                    mark,
                    ordered,
                }),
        );
    }

    /// Applies a message that came on the stream that stands.
    pub fn apply(
        &mut self,
        now: Timestamp,
        assigner: usize,
        message: &Rc<Message>,
        to: &mut Vec<ForwarderAction>,
    ) {
        for change in &message.changes {
            match change {
                Change::Line(slice, line) if self.tables[*slice].charge == Some(assigner) => {
                    to.extend(self.set(now, *slice, *line));
                }
                Change::Levels {
                    slice,
                    operation,
                    level,
                } => {
                    let table = &mut self.tables[*slice];
                    if table.charge == Some(assigner) {
                        table.levels[*operation] = *level;
                    }
                }
                Change::Line(..) => {}
            }
        }
        let stream = &mut self.streams[assigner];
        for &mark in &message.marks {
            if stream.read {
                to.push(ForwarderAction::Answer {
                    assigner,
                    mark,
                    ordered: message.ordered,
                });
            } else {
                stream.owed.push((mark, message.ordered));
            }
        }
    }
}
