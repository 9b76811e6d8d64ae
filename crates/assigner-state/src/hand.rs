//! Orders that operators give by hand: each has an id and is carried out once, however often and over however many
//! connections it comes. Told apart are accepted, begun, done, refused, replaced and over.

use std::collections::VecDeque;

use lynxmill_time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

/// Ended orders whose results are remembered, and orders under way.
pub const REMEMBERED: usize = 512;
pub const UNDER_WAY: usize = 128;
/// About what an order takes, for those who are told to return.
const USUAL: TimeDelta = TimeDelta::from_micros(500_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Want {
    /// Discovery's word counts again.
    Ready,
    /// Its slices leave and it gets none, whatever discovery says.
    Drain,
    /// The same, and its health is no longer looked at.
    Maint,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    Server {
        server: String,
        want: Want,
    },
    Weight {
        server: String,
        weight: f64,
    },
    Owner {
        slice: usize,
        server: String,
    },
    /// Whether a server is judged by what it answers.
    Health {
        server: String,
        watched: bool,
    },
}

impl Order {
    /// What it is about: a later order about the same replaces it.
    fn about(&self) -> (u8, String) {
        match self {
            Order::Server { server, .. } => (0, server.clone()),
            Order::Weight { server, .. } => (1, server.clone()),
            Order::Owner { slice, .. } => (2, slice.to_string()),
            Order::Health { server, .. } => (3, server.clone()),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    Accepted,
    /// The module has it.
    Begun,
    Done,
    /// Nothing of it is carried out: why, with the rule where one forbids it.
    Refused(String),
    /// A later order about the same took its place.
    Replaced,
    /// Its time is over; what it changed has been taken back.
    Over,
}

impl Stage {
    pub fn ended(&self) -> bool {
        !matches!(self, Stage::Accepted | Stage::Begun)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub id: String,
    pub order: Order,
    pub stage: Stage,
    /// When it came, and until when it holds.
    #[serde(skip)]
    pub at: Timestamp,
    #[serde(skip)]
    pub until: Option<Timestamp>,
}

/// What the journal keeps of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub id: String,
    pub order: Order,
    pub stage: Stage,
    /// Unix time in milliseconds until which it holds.
    pub until_ms: Option<f64>,
    /// It is under way or holds: a restart takes it up again. Else only its result is remembered.
    pub stands: bool,
}

/// What is said to who gives an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Said {
    /// It stands so; for the second time, where it came before.
    Stands(Entry),
    /// This id was given to another order.
    Taken(Entry),
    /// Too many are under way: come again after so many milliseconds.
    Full { return_ms: u64 },
}

#[derive(Default)]
pub struct Ledger {
    under_way: VecDeque<Entry>,
    /// Done, but holding until somebody or their time takes them back.
    holding: Vec<Entry>,
    ended: VecDeque<Entry>,
    given: u64,
    /// What has ended and has not been looked at.
    news: Vec<Entry>,
}

impl Ledger {
    /// The order of an id, wherever it stands.
    pub fn find(&self, id: &str) -> Option<&Entry> {
        let all = self
            .under_way
            .iter()
            .chain(&self.holding)
            .chain(&self.ended);
        all.into_iter().find(|entry| entry.id == id)
    }

    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.ended
            .iter()
            .chain(&self.holding)
            .chain(&self.under_way)
    }

    pub fn under_way(&self) -> impl Iterator<Item = &Entry> {
        self.under_way.iter()
    }

    /// Takes an order, under an id that is given where none came. What it replaces ends.
    pub fn take(
        &mut self,
        now: Timestamp,
        id: Option<String>,
        order: Order,
        lasts: Option<TimeDelta>,
    ) -> Said {
        if let Some(known) = id.as_deref().and_then(|id| self.find(id)) {
            let known = known.clone();
            return if known.order == order {
                Said::Stands(known)
            } else {
                Said::Taken(known)
            };
        }
        if self.under_way.len() >= UNDER_WAY {
            let return_ms = USUAL.times(self.under_way.len() as f64).micros() / 1000;
            return Said::Full {
                return_ms: return_ms.max(1) as u64,
            };
        }
        let id = self.named(id);
        let about = order.about();
        let (replaced, stay): (Vec<Entry>, Vec<Entry>) = self
            .under_way
            .drain(..)
            .chain(self.holding.drain(..))
            .partition(|entry| entry.order.about() == about);
        for entry in stay {
            if entry.stage.ended() {
                self.holding.push(entry)
            } else {
                self.under_way.push_back(entry)
            }
        }
        for entry in replaced {
            self.end(Entry {
                stage: Stage::Replaced,
                ..entry
            });
        }
        let entry = Entry {
            id,
            order,
            stage: Stage::Accepted,
            at: now,
            until: lasts.map(|lasts| now + lasts),
        };
        self.under_way.push_back(entry.clone());
        Said::Stands(entry)
    }

    fn named(&mut self, id: Option<String>) -> String {
        id.unwrap_or_else(|| {
            self.given += 1;
            format!("#{}", self.given)
        })
    }

    /// An order that can't be carried out: it replaces nothing, and its result is remembered.
    pub fn refuse(
        &mut self,
        now: Timestamp,
        id: Option<String>,
        order: Order,
        reason: String,
    ) -> Entry {
        let id = self.named(id);
        let entry = Entry {
            id,
            order,
            stage: Stage::Refused(reason),
            at: now,
            until: None,
        };
        self.end(entry.clone());
        entry
    }

    fn end(&mut self, entry: Entry) {
        if self.ended.len() >= REMEMBERED {
            self.ended.pop_front();
        }
        self.news.push(entry.clone());
        self.ended.push_back(entry);
    }

    /// What has ended since this was asked last.
    pub fn news(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.news)
    }

    /// An order of an earlier life, from the journal.
    pub fn restore(&mut self, entry: Entry) {
        // Ids that were given go on from where they were.
        let number = entry
            .id
            .strip_prefix('#')
            .and_then(|number| number.parse().ok());
        self.given = self.given.max(number.unwrap_or(0));
        match entry.stage {
            Stage::Accepted | Stage::Begun => self.under_way.push_back(entry),
            _ => self.ended.push_back(entry),
        }
    }

    /// An order that has come further; the entry as it stands now.
    pub fn step(&mut self, id: &str, stage: Stage) -> Option<Entry> {
        let at = self.under_way.iter().position(|entry| entry.id == id)?;
        self.under_way[at].stage = stage;
        let entry = self.under_way[at].clone();
        if entry.stage.ended() {
            self.under_way.remove(at);
            let holds = entry.stage == Stage::Done && !matches!(entry.order, Order::Owner { .. });
            if holds {
                self.holding.push(entry.clone())
            } else {
                self.end(entry.clone())
            }
        }
        Some(entry)
    }

    /// Orders whose time is over by now.
    pub fn over(&mut self, now: Timestamp) -> Vec<Entry> {
        let due = |entry: &Entry| entry.until.is_some_and(|until| until <= now);
        let mut over: Vec<Entry> = self
            .under_way
            .iter()
            .chain(&self.holding)
            .filter(|e| due(e))
            .cloned()
            .collect();
        self.under_way.retain(|entry| !due(entry));
        self.holding.retain(|entry| !due(entry));
        for entry in &mut over {
            entry.stage = Stage::Over;
            self.end(entry.clone());
        }
        over
    }

    /// When the next one is over.
    pub fn next(&self) -> Option<Timestamp> {
        self.under_way
            .iter()
            .chain(&self.holding)
            .filter_map(|entry| entry.until)
            .min()
    }
}
