//! Counts over the logs of all assigners of a day: what each ordered and heard by second, which slices were without an
//! owner and who was waited for, and when each knew of a server's start, drain or end.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_assigner_state::{Event, Message, News, Outcome};
use serde::{Deserialize, Serialize};

use crate::parts::{Entry, Log};

/// What one assigner did and heard in one second, or all did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Row {
    pub calls: u64,
    /// Bytes of the calls' bodies.
    pub bytes: u64,
    pub shuts: u64,
    pub owners: u64,
    pub levels: u64,
    pub marks: u64,
    /// Calls that were turned back, whose fate is unknown, or of which not all orders were taken.
    pub failed: u64,
    pub joined: u64,
    pub parted: u64,
    pub answers: u64,
    pub reports: u64,
    pub spoilt: u64,
    /// Changes of the list.
    pub listed: u64,
    /// Slices without an owner at the second's end.
    pub bare: u64,
}

impl Row {
    pub fn add(&mut self, other: &Row) {
        let Row {
            calls,
            bytes,
            shuts,
            owners,
            levels,
            marks,
            failed,
            ..
        } = other;
        self.calls += calls;
        self.bytes += bytes;
        self.shuts += shuts;
        self.owners += owners;
        self.levels += levels;
        self.marks += marks;
        self.failed += failed;
        let Row {
            joined,
            parted,
            answers,
            reports,
            spoilt,
            listed,
            bare,
            ..
        } = other;
        self.joined += joined;
        self.parted += parted;
        self.answers += answers;
        self.reports += reports;
        self.spoilt += spoilt;
        self.listed += listed;
        self.bare += bare;
    }
}

/// A slice without an owner, by the orders of the assigner in charge. Times are microseconds from the day's beginning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnavailableSpan {
    pub slice: usize,
    pub assigner: u16,
    /// The owner that it was shut for.
    pub from: String,
    pub shut: i64,
    /// When all proxies that were joined at the shut and stayed had answered.
    pub answered: Option<i64>,
    /// Proxies that parted without an answer, and the last time one did.
    pub parted: u64,
    pub last_parted: Option<i64>,
    /// The next owner and when it was ordered.
    pub to: Option<(String, i64)>,
    /// When that assigner's life or its charge of the slice ended without one.
    pub left: Option<i64>,
}

/// What became known of a server, and when, in microseconds from the day's beginning, at each assigner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KnownServer {
    pub server: String,
    pub what: &'static str,
    pub by: BTreeMap<u16, i64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DayCounts {
    /// By second and assigner; what is not there is all zero.
    pub seconds: BTreeMap<(i64, u16), Row>,
    /// In the order of their shuts.
    pub bare: Vec<UnavailableSpan>,
    /// In the order in which the first assigner knew.
    pub known: Vec<KnownServer>,
    /// Calls whose text could not be read, and entries that a recorder lost.
    pub unread: u64,
    pub missing: u64,
}

#[derive(Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
enum RecordedOperation {
    Share {
        table: usize,
        server: String,
        weight: f64,
    },
    Admit {},
    Mark {
        nonce_out: u16,
    },
    #[serde(other)]
    Other,
}

#[derive(Deserialize)]
struct Call {
    ops: Vec<RecordedOperation>,
}

/// Who still owes an answer to a call that shut slices.
#[derive(Default)]
struct OwedAnswer {
    mark: u16,
    by: BTreeSet<u16>,
    answered: Option<i64>,
    parted: u64,
    last_parted: Option<i64>,
}

/// An assigner's life as its log tells it.
#[derive(Default)]
struct AssignerIncarnation {
    life: u16,
    joined: BTreeSet<u16>,
    owed: Vec<OwedAnswer>,
    /// Places of those that still wait for somebody.
    waiting: Vec<usize>,
    /// Slices that are shut: place in `bare`, and in `owed`.
    shut: BTreeMap<usize, (usize, usize)>,
    /// Orders of the call under way.
    under_way: usize,
}

impl AssignerIncarnation {
    /// Takes a proxy out of those waited for, where its answer or its parting counts for a call.
    fn settled(&mut self, at: i64, proxy: u16, of: impl Fn(&mut OwedAnswer) -> bool) {
        let owed = &mut self.owed;
        self.waiting.retain(|&place| {
            let owed = &mut owed[place];
            if owed.by.contains(&proxy) && of(owed) {
                owed.by.remove(&proxy);
            }
            if owed.by.is_empty() {
                owed.answered = Some(at);
            }
            !owed.by.is_empty()
        });
    }
}

/// Whether an answer to one mark is one to another too: both count up, around at the end of 16 bits.
fn covers(answer: u16, mark: u16) -> bool {
    answer.wrapping_sub(mark) < 0x8000
}

#[derive(Default)]
struct Counter {
    counted: DayCounts,
    lives: BTreeMap<u16, AssignerIncarnation>,
    /// The place in `known` of what each server was last told to be.
    last: BTreeMap<String, usize>,
}

impl Counter {
    fn row(&mut self, at: i64, assigner: u16) -> &mut Row {
        self.counted
            .seconds
            .entry((at.div_euclid(1_000_000), assigner))
            .or_default()
    }

    fn started(&mut self, at: i64, of: crate::parts::Life) {
        let before = self.lives.insert(
            of.assigner,
            AssignerIncarnation {
                life: of.life,
                ..AssignerIncarnation::default()
            },
        );
        if let Some(before) = before {
            before
                .shut
                .values()
                .for_each(|&open| left(&mut self.counted.bare, &before, open, Some(at)));
        }
    }

    fn ordered(&mut self, at: i64, assigner: u16, text: &str) {
        let row = self.row(at, assigner);
        (row.calls, row.bytes) = (row.calls + 1, row.bytes + text.len() as u64);
        let Ok(Call { ops }) = serde_json::from_str::<Call>(text) else {
            self.counted.unread += 1;
            return;
        };
        let mut row = Row::default();
        let Counter { counted, lives, .. } = self;
        let life = lives.entry(assigner).or_default();
        life.under_way = ops.len();
        let mark = ops.iter().rev().find_map(|op| {
            if let RecordedOperation::Mark { nonce_out } = op {
                Some(*nonce_out)
            } else {
                None
            }
        });
        let first = life.owed.len();
        for op in ops {
            match op {
                RecordedOperation::Share {
                    table,
                    server,
                    weight,
                } if weight > 0.0 => {
                    row.owners += 1;
                    let Some((place, owed)) = life.shut.remove(&table) else {
                        continue;
                    };
                    let (bare, owed) = (&mut counted.bare[place], &life.owed[owed]);
                    (bare.answered, bare.parted) = (owed.answered, owed.parted);
                    (bare.last_parted, bare.to) = (owed.last_parted, Some((server, at)));
                }
                RecordedOperation::Share { table, server, .. } => {
                    row.shuts += 1;
                    if life.owed.len() == first {
                        let by = life.joined.clone();
                        life.owed.push(OwedAnswer {
                            mark: mark.unwrap_or(0),
                            by,
                            ..OwedAnswer::default()
                        });
                    }
                    life.shut.entry(table).or_insert_with(|| {
                        counted.bare.push(UnavailableSpan {
                            slice: table,
                            assigner,
                            from: server,
                            shut: at,
                            answered: None,
                            parted: 0,
                            last_parted: None,
                            to: None,
                            left: None,
                        });
                        (counted.bare.len() - 1, first)
                    });
                }
                RecordedOperation::Admit {} => row.levels += 1,
                RecordedOperation::Mark { .. } => row.marks += 1,
                RecordedOperation::Other => {}
            }
        }
        if life.owed.len() > first {
            life.waiting.push(first);
        }
        self.row(at, assigner).add(&row);
    }

    fn news(&mut self, at: i64, assigner: u16, news: &News) {
        let mut row = Row::default();
        let life = self.lives.entry(assigner).or_default();
        match news {
            News::Attach { proxy } => {
                row.joined += u64::from(life.joined.insert(*proxy));
            }
            News::Detach { proxy } => {
                row.parted += u64::from(life.joined.remove(proxy));
                life.settled(at, *proxy, |owed| {
                    (owed.parted, owed.last_parted) = (owed.parted + 1, Some(at));
                    true
                });
            }
            News::Done { proxy, mark, .. } => {
                row.answers += 1;
                life.settled(at, *proxy, |owed| covers(*mark, owed.mark));
            }
            News::Owner { slice, on: false } => {
                if let Some(open) = life.shut.remove(slice) {
                    left(&mut self.counted.bare, life, open, Some(at));
                }
            }
            News::Owner { .. } | News::Entry { .. } | News::Alive => {}
        }
        self.row(at, assigner).add(&row);
    }

    fn heard(&mut self, at: i64, assigner: u16, event: &Event) {
        match event {
            Event::News(news) => news.iter().for_each(|news| self.news(at, assigner, news)),
            Event::Said(_, Message::Spoilt(_)) => self.row(at, assigner).spoilt += 1,
            Event::Said(_, Message::Met(_) | Message::Asked(_)) => {
                self.row(at, assigner).reports += 1
            }
            Event::Called(outcome) => {
                let all = self.lives.entry(assigner).or_default().under_way;
                let whole = matches!(outcome, Outcome::Taken(taken) if *taken >= all);
                self.row(at, assigner).failed += u64::from(!whole);
            }
            Event::Listed(members) => {
                self.row(at, assigner).listed += members.endpoints.len() as u64;
                for endpoint in members.endpoints.iter().filter(|_| !members.snapshot) {
                    let what = match endpoint.standing {
                        lynxmill_assigner::Standing::Ready => "ready",
                        lynxmill_assigner::Standing::Draining => "draining",
                        lynxmill_assigner::Standing::Gone => "gone",
                    };
                    self.knows(at, assigner, &endpoint.name, what);
                }
            }
            _ => {}
        }
    }

    /// What an assigner is told of a server belongs to the news before if that was the same and it had not had it.
    fn knows(&mut self, at: i64, assigner: u16, server: &str, what: &'static str) {
        let known = &mut self.counted.known;
        let of = self.last.get(server).copied();
        let same = of.filter(|&of| known[of].what == what && !known[of].by.contains_key(&assigner));
        let place = same.unwrap_or_else(|| {
            known.push(KnownServer {
                server: server.to_owned(),
                what,
                by: BTreeMap::new(),
            });
            self.last.insert(server.to_owned(), known.len() - 1);
            known.len() - 1
        });
        known[place].by.insert(assigner, at);
    }

    /// What was open when the log ends, and how many slices were open at the end of each second.
    fn end(mut self, at: i64) -> DayCounts {
        let Counter {
            counted: DayCounts { bare, seconds, .. },
            lives,
            ..
        } = &mut self;
        for life in lives.values() {
            life.shut
                .values()
                .for_each(|&open| left(bare, life, open, None));
        }
        for of in bare {
            let until = of
                .to
                .as_ref()
                .map_or(of.left.unwrap_or(at), |(_, until)| *until);
            for second in of.shut.div_euclid(1_000_000)..until.div_euclid(1_000_000) {
                seconds.entry((second, of.assigner)).or_default().bare += 1;
            }
        }
        self.counted
    }
}

/// A slice that stays without an owner, as far as its assigner's log goes.
fn left(
    bare: &mut [UnavailableSpan],
    life: &AssignerIncarnation,
    (place, owed): (usize, usize),
    at: Option<i64>,
) {
    let (bare, owed) = (&mut bare[place], &life.owed[owed]);
    (bare.answered, bare.parted) = (owed.answered, owed.parted);
    (bare.last_parted, bare.left) = (owed.last_parted, at);
}

/// Counts over a log in the order of its times, as `merge` leaves one.
pub fn count(log: &[Log]) -> DayCounts {
    let mut counter = Counter::default();
    for Log { at, of, entry } in log {
        let known = counter
            .lives
            .get(&of.assigner)
            .is_some_and(|life| life.life == of.life);
        if !known && !matches!(entry, Entry::Started(_)) {
            counter.started(*at, *of);
        }
        match entry {
            Entry::Started(_) => counter.started(*at, *of),
            Entry::Ordered(text) => counter.ordered(*at, of.assigner, text),
            Entry::Heard(event) => counter.heard(*at, of.assigner, event),
            Entry::Missing(count) => counter.counted.missing += count,
        }
    }
    counter.end(log.last().map_or(0, |last| last.at))
}
