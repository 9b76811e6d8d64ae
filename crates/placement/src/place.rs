//! A custodian's work: what it is told, one round of decisions a turn, what has to be written before it is
//! told to anyone. The planner's state is here, each part of its work in a file of its own.

mod cuts;
mod edges;
mod grants;
mod listings;
mod register;
mod table;
mod terms;
mod turn;

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_assigner::{Assigner, Standing};
use lynxmill_protocol::{ShardTable, Slice};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::holds::Hold;

pub use terms::{Grant, PlacementStep, Terms, Told, fresh};

#[derive(Clone, Debug, Default)]
struct Place {
    slice: Slice,
    hold: Hold,
    /// The mark of its shut, while it is shut.
    shut: Option<u64>,
    /// Edges are told of the shut: not before its owner can be told with its next beat.
    told: bool,
    /// Decided, but not on disk yet.
    next: Option<u32>,
    /// Owner and fence of a write that may or may not stand in the register.
    unsure: Option<(String, u64)>,
    handover: String,
    /// The owner was granted it: edges may send.
    granted: bool,
    requests: f64,
    /// Requests a second, of late.
    rate: f64,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    tries: f64,
    lost: f64,
    seconds: f64,
    held: Option<f64>,
}

#[derive(Clone, Debug)]
struct Holder {
    number: u32,
    proxy: usize,
    answered: u64,
    /// Its last beat.
    beat: Option<Timestamp>,
}

/// A placement in one custodian's hands.
pub struct PlacementPlanner {
    terms: Terms,
    assigner: Assigner,
    berth: ShardTable,
    places: Vec<Place>,
    holders: BTreeMap<String, Holder>,
    names: BTreeMap<u32, String>,
    /// Edges by name: their proxy's number, and the table that each has answered while joined.
    edges: BTreeMap<String, (usize, u64, bool)>,
    proxies: usize,
    /// The last mark of the assigner, and when each was made.
    mark: u64,
    marked: BTreeMap<u64, Timestamp>,
    /// The number of the last table that went out, and, for each mark, of the one with all that was shut
    /// by it.
    table: u64,
    tables: BTreeMap<u64, u64>,
    listed: BTreeMap<String, (Standing, Option<Timestamp>)>,
    seen: BTreeMap<String, Seen>,
    reported: Timestamp,
    dirty: BTreeSet<usize>,
    whole: bool,
    writing: bool,
    /// Stored owners that the assigner has still to be told, at the first turn.
    stored: Option<Vec<Option<u32>>>,
    /// Streams that began or ended since the last turn.
    streams: Vec<(usize, bool)>,
    /// Requests a second of each slice, for an assigner that has just begun.
    rates: Option<Vec<f64>>,
    /// The mark at which the assigner began.
    base: u64,
    /// When the first task was listed, while nobody has owned anything yet.
    first_listed: Option<Timestamp>,
}

impl PlacementPlanner {
    /// Takes a service over, by what its register holds, in the custodian's own term.
    pub fn new(now: Timestamp, seed: u64, terms: Terms, berth: ShardTable) -> Self {
        let until = now + terms.longest_hold.times(crate::holds::SLOW_CLOCK) + terms.lease;
        let place = |slice: &Slice| {
            let task = (!slice.owner.is_empty()).then(|| slice.owner.clone());
            Place {
                slice: slice.clone(),
                granted: task.is_some(),
                hold: Hold { task, until },
                ..Place::default()
            }
        };
        let places: Vec<Place> = berth.slices.iter().map(place).collect();
        let mut plan = PlacementPlanner {
            assigner: Assigner::new(seed, now, terms::facts(&terms, berth.slices.len())),
            terms,
            places,
            berth,
            holders: BTreeMap::new(),
            names: BTreeMap::new(),
            edges: BTreeMap::new(),
            proxies: 0,
            mark: 0,
            marked: BTreeMap::new(),
            table: 0,
            tables: BTreeMap::new(),
            listed: BTreeMap::new(),
            seen: BTreeMap::new(),
            reported: now,
            dirty: BTreeSet::new(),
            whole: true,
            writing: false,
            stored: None,
            streams: Vec::new(),
            rates: None,
            base: 0,
            first_listed: None,
        };
        let owners: Vec<String> = plan.places.iter().map(|p| p.slice.owner.clone()).collect();
        let number = |o: &String| (!o.is_empty()).then(|| plan.holder(o).number);
        plan.stored = Some(owners.iter().map(number).collect());
        plan
    }

    /// How long a task holds what a beat's answer names.
    pub fn hold(&self) -> TimeDelta {
        self.terms.hold
    }

    pub fn term(&self) -> u64 {
        self.berth.term
    }

    pub fn service(&self) -> &str {
        &self.terms.service
    }

    fn holder(&mut self, id: &str) -> &mut Holder {
        if !self.holders.contains_key(id) {
            let number = self.holders.len() as u32;
            let proxy = self.proxies;
            self.proxies += 1;
            self.names.insert(number, id.to_owned());
            self.holders.insert(
                id.to_owned(),
                Holder {
                    number,
                    proxy,
                    answered: 0,
                    beat: None,
                },
            );
            self.streams.push((proxy, true));
        }
        self.holders.get_mut(id).expect("was put there")
    }

    /// Slices on their way, and tasks that own any.
    pub fn counts(&self) -> (usize, usize) {
        let owners: BTreeSet<&str> = self.places.iter().map(|p| p.slice.owner.as_str()).collect();
        (
            self.places
                .iter()
                .filter(|p| p.shut.is_some() || p.next.is_some())
                .count(),
            owners.len(),
        )
    }
}
