//! Orders on their way to the relay: each is encoded once, keeps its turn and is cut into calls by bytes.

use serde::Serialize;

/// The protocol's bound on a call's body.
const BODY: usize = 60_000;
const OPEN: &str = "{\"ops\":[";
const CLOSE: &str = "]}";

/// What an order sets: a later one for the same makes one that still waits needless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sets {
    Line { slice: usize, server: Option<u32> },
    Levels { slice: usize, mask: u64 },
    Mark { number: u16 },
}

impl Sets {
    pub fn server(self) -> Option<u32> {
        match self {
            Sets::Line { server, .. } => server,
            _ => None,
        }
    }

    pub fn slice(self) -> Option<usize> {
        match self {
            Sets::Line { slice, .. } | Sets::Levels { slice, .. } => Some(slice),
            Sets::Mark { .. } => None,
        }
    }

    fn same(self, other: Sets) -> bool {
        match (self, other) {
            (Sets::Line { slice, .. }, Sets::Line { slice: other, .. }) => slice == other,
            (Sets::Levels { .. }, Sets::Levels { .. }) => self == other,
            (Sets::Mark { .. }, Sets::Mark { .. }) => true,
            _ => false,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Order {
    pub sets: Sets,
    /// Which charge of its slice it was written in.
    pub charge: u32,
    /// The mark of a call of unknown fate that it went with.
    sent_with: Option<u16>,
    text: String,
}

#[derive(Serialize)]
#[serde(tag = "op", rename_all = "lowercase")]
enum Op<'a> {
    Share {
        table: usize,
        server: &'a str,
        weight: f64,
    },
    Admit {
        table: usize,
        routes: &'a [&'a str],
        admit: f64,
        policy: u8,
    },
    Mark {
        nonce_out: u16,
        on: u8,
    },
}

impl Op<'_> {
    fn order(self, sets: Sets, charge: u32) -> Order {
        let text = serde_json::to_string(&self).unwrap_or_default();
        Order {
            sets,
            charge,
            sent_with: None,
            text,
        }
    }
}

pub fn publish(slice: usize, charge: u32, server: u32, name: &str) -> Order {
    let sets = Sets::Line {
        slice,
        server: Some(server),
    };
    Op::Share {
        table: slice,
        server: name,
        weight: 1.0,
    }
    .order(sets, charge)
}

pub fn shut(slice: usize, charge: u32, name: &str) -> Order {
    let sets = Sets::Line {
        slice,
        server: None,
    };
    Op::Share {
        table: slice,
        server: name,
        weight: 0.0,
    }
    .order(sets, charge)
}

pub fn levels(
    slice: usize,
    charge: u32,
    mask: u64,
    names: &[&str],
    level: f64,
    again: u8,
) -> Order {
    let op = Op::Admit {
        table: slice,
        routes: names,
        admit: level,
        policy: again,
    };
    op.order(Sets::Levels { slice, mask }, charge)
}

pub fn mark(number: u16) -> Order {
    Op::Mark {
        nonce_out: number,
        on: 1,
    }
    .order(Sets::Mark { number }, 0)
}

/// Notes that these went in one call, whose mark will tell whether it was carried out.
pub(crate) fn sent_together(orders: &mut [Order]) {
    let mark = orders.iter().find_map(|order| match order.sets {
        Sets::Mark { number } => Some(number),
        _ => None,
    });
    orders.iter_mut().for_each(|order| order.sent_with = mark);
}

/// Orders that wait, in the order they were written; at most one for each thing that can be set.
#[derive(Default)]
pub struct Outbox {
    waiting: Vec<Order>,
}

impl Outbox {
    pub fn push(&mut self, order: Order) {
        self.waiting.retain(|old| !old.sets.same(order.sets));
        self.waiting.push(order);
    }

    /// Takes orders of a call back, before all that were written since, less those that these replace.
    pub fn put_back(&mut self, orders: Vec<Order>) {
        let newer = std::mem::take(&mut self.waiting);
        orders
            .into_iter()
            .chain(newer)
            .for_each(|order| self.push(order));
    }

    pub fn keep(&mut self, still: impl Fn(&Order) -> bool) {
        self.waiting.retain(still);
    }

    pub fn any(&self, such: impl Fn(&Order) -> bool) -> bool {
        self.waiting.iter().any(such)
    }

    pub fn count(&self) -> usize {
        self.waiting.len()
    }

    /// Takes out the orders of a call of unknown fate that carried this mark.
    pub fn take_carried(&mut self, mark: u16) -> Vec<Order> {
        let (carried, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|order| order.sent_with == Some(mark));
        self.waiting = waiting;
        carried
    }

    /// The owners that waiting orders set.
    pub fn servers(&self) -> impl Iterator<Item = u32> {
        self.waiting.iter().filter_map(|order| order.sets.server())
    }

    pub fn waits(&self, sets: Sets) -> bool {
        self.waiting.iter().any(|order| order.sets == sets)
    }

    /// The next call: as many orders as fit, and its body.
    pub fn call(&mut self) -> Option<(Vec<Order>, String)> {
        let mut body = String::from(OPEN);
        let fits = |body: &mut String, order: &Order| {
            if body.len() + order.text.len() + 1 + CLOSE.len() > BODY {
                return false;
            }
            if body.len() > OPEN.len() {
                body.push(',');
            }
            body.push_str(&order.text);
            true
        };
        let count = self
            .waiting
            .iter()
            .take_while(|order| fits(&mut body, order))
            .count();
        body.push_str(CLOSE);
        (count > 0).then(|| (self.waiting.drain(..count).collect(), body))
    }
}
