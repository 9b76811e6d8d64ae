//! The module's side of a round: what it is told, in the order in which it came, and what it writes.

use std::collections::BTreeMap;

use lynxmill_assigner::{Assigner, Listing, Orders};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::encode::{self, Order, Outbox, Sets};

/// Marks remembered for their answers; they are numbered in 16 bits, and an older one is of no use.
const MARKS: usize = 256;

/// What the module is told in the next round.
pub(crate) enum Input {
    Listed {
        complete: bool,
        remembered: bool,
        entries: Vec<Listing>,
    },
    ListFailed,
    Custody(usize, bool),
    Stored(usize, u32),
    Joined(usize),
    Parted(usize),
    Answered(usize, u16, TimeDelta),
    Heard {
        server: u32,
        tries: f64,
        lost: f64,
        elapsed: TimeDelta,
        over: TimeDelta,
        report: Vec<f64>,
    },
    Demand {
        slice: usize,
        operation: usize,
        tries: f64,
        over: TimeDelta,
    },
    ByHand {
        server: u32,
        out: bool,
        weight: f64,
        trusted: bool,
    },
    /// Whether enough other assigners found that a server answers no one.
    Doubted(u32, bool),
    /// Nothing was heard, but there is something to decide.
    Look,
}

impl Input {
    /// The server that it names as a slice's owner.
    pub(crate) fn server(&self) -> Option<u32> {
        if let Input::Stored(_, server) = self {
            Some(*server)
        } else {
            None
        }
    }
}

pub(crate) fn feed(assigner: &mut Assigner, input: Input) {
    match input {
        Input::Listed {
            complete,
            remembered,
            entries,
        } => assigner.listed(complete, remembered, &entries),
        Input::ListFailed => assigner.list_failed(),
        Input::Custody(slice, on) => assigner.custody(slice, on),
        Input::Stored(slice, server) => assigner.stored(slice, server),
        Input::Joined(proxy) => assigner.joined(proxy),
        Input::Parted(proxy) => assigner.parted(proxy),
        Input::Answered(proxy, mark, elapsed) => assigner.answered(proxy, mark, elapsed),
        Input::Heard {
            server,
            tries,
            lost,
            elapsed,
            over,
            report,
        } => {
            assigner.heard(server, tries, lost, elapsed, over, &report);
        }
        Input::Demand {
            slice,
            operation,
            tries,
            over,
        } => assigner.demand(slice, operation, tries, over),
        Input::ByHand {
            server,
            out,
            weight,
            trusted,
        } => {
            assigner.by_hand(server, out, weight);
            assigner.trust(server, trusted);
        }
        Input::Doubted(server, doubted) => assigner.doubted(server, doubted),
        Input::Look => {}
    }
}

/// A slice's charge, and what the store is known to hold of it.
#[derive(Clone, Default)]
pub(crate) struct Charge {
    pub mine: bool,
    /// Raised whenever the charge begins or ends: orders of an earlier one must not go out any more.
    pub count: u32,
    pub line: Option<u32>,
    /// An owner that a call of unknown fate may have set since.
    pub perhaps: Option<u32>,
    /// Levels may be set in the store.
    pub levelled: bool,
}

impl Charge {
    /// Whether an order for its slice was written in this charge.
    pub(crate) fn holds(&self, order: &Order) -> bool {
        self.mine && self.count == order.charge
    }
}

pub(crate) struct Mark {
    pub number: u16,
    pub ordered: Timestamp,
    /// When a call that carried it ended last.
    pub ended: Option<Timestamp>,
}

/// Servers by the numbers that the module knows them by; a number is never given twice.
#[derive(Default)]
pub(crate) struct Names {
    numbers: BTreeMap<String, u32>,
    names: BTreeMap<u32, String>,
    given: u32,
}

impl Names {
    pub(crate) fn known(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    pub(crate) fn name(&self, number: u32) -> &str {
        self.names.get(&number).map_or("", String::as_str)
    }

    pub(crate) fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.known(name) {
            return number;
        }
        let number = self.given;
        self.given += 1;
        self.numbers.insert(name.to_owned(), number);
        self.names.insert(number, name.to_owned());
        number
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &str)> {
        self.names
            .iter()
            .map(|(number, name)| (*number, name.as_str()))
    }

    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    pub(crate) fn keep(&mut self, still: impl Fn(u32) -> bool) {
        self.names.retain(|number, _| still(*number));
        self.numbers
            .retain(|_, number| self.names.contains_key(number));
    }
}

/// What the module writes in a round.
pub(crate) struct Writer<'a> {
    pub now: Timestamp,
    pub names: &'a Names,
    pub operations: &'a [String],
    pub charges: &'a [Charge],
    pub flying: &'a [Order],
    pub outbox: &'a mut Outbox,
    pub marks: &'a mut Vec<Mark>,
    pub wake: &'a mut Option<Timestamp>,
    pub subscribe: bool,
    /// Slices published while their shut has not reached the store.
    pub hasty: Vec<usize>,
}

impl Writer<'_> {
    fn name(&self, task: u32) -> &str {
        self.names.name(task)
    }

    fn charge(&self, slice: usize) -> u32 {
        self.charges.get(slice).map_or(0, |charge| charge.count)
    }
}

impl Orders for Writer<'_> {
    fn publish(&mut self, slice: usize, task: u32) {
        let shut = Sets::Line {
            slice,
            server: None,
        };
        if self.outbox.waits(shut) || self.flying.iter().any(|order| order.sets == shut) {
            self.hasty.push(slice);
        }
        self.outbox.push(encode::publish(
            slice,
            self.charge(slice),
            task,
            self.name(task),
        ));
    }

    fn shut(&mut self, slice: usize, task: u32) {
        self.outbox
            .push(encode::shut(slice, self.charge(slice), self.name(task)));
    }

    fn let_in(&mut self, slice: usize, mask: u64, level: f64, again: u8) {
        let names = self
            .operations
            .iter()
            .enumerate()
            .filter(|(k, _)| mask >> k & 1 == 1);
        let names: Vec<&str> = names.map(|(_, name)| name.as_str()).collect();
        self.outbox.push(encode::levels(
            slice,
            self.charge(slice),
            mask,
            &names,
            level,
            again,
        ));
    }

    fn mark(&mut self, number: u16) {
        self.outbox.push(encode::mark(number));
        self.marks.retain(|mark| mark.number != number);
        if self.marks.len() >= MARKS {
            self.marks.remove(0);
        }
        self.marks.push(Mark {
            number,
            ordered: self.now,
            ended: None,
        });
    }

    fn wake(&mut self, after: TimeDelta) {
        *self.wake = Some(self.now + after);
    }

    fn subscribe(&mut self) {
        self.subscribe = true;
    }

    fn probe(&mut self, task: u32) {
        log::debug!("no probes on this road, server {}", self.name(task));
    }

    fn answers_no_one(&mut self, task: u32) {
        log::warn!(
            "server {} answers no one, moving its slices",
            self.name(task)
        );
    }

    fn stays(&mut self, slice: usize) {
        log::warn!("slice {slice} stays with its owner: a proxy keeps silent");
    }
}
