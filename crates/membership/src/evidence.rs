//! What all members saw of servers, and when that is enough. A server counts as silent by others' words only
//! if this instance has not seen it well itself, if at least two others say so, if they have lost enough
//! between them, and if they outweigh all who say otherwise. Who is often wrong weighs less; who has not spoken for a while weighs nothing.

use std::collections::BTreeMap;

use lynxmill_time::{TimeDelta, Timestamp};

use crate::codec::Row;

/// Tries in a row that must be lost for a witness to say that a server is silent, and the part of its tries.
const ENOUGH: u32 = 3;
const LOST: f64 = 0.9;
/// Lost tries of all who say so, by their weight, and how many of one count at most: nobody makes up for another.
const TOGETHER: f64 = 8.0;
const OF_ONE: u32 = 6;
/// Others that must say so.
const WITNESSES: usize = 2;
/// Weight of a witness that has never been judged, in judgements; and the least weight that still counts as a
/// witness.
const BENEFIT: f64 = 4.0;
const TRUSTED: f64 = 0.5;
/// Part of all weight that must say that a server is silent.
const MAJORITY: f64 = 0.6;
/// Rows of one author that are kept at most.
const ROWS: usize = 64;

/// A witness's word that a server is silent.
fn mostly_lost(tries: u32, lost: u32) -> bool {
    tries >= ENOUGH && f64::from(lost) >= LOST * f64::from(tries)
}

/// A server is silent to own eyes.
pub(crate) fn all_lost(tries: u32, lost: u32) -> bool {
    tries >= ENOUGH && lost == tries
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct ServerRecord {
    tries: u32,
    lost: u32,
    quiet: TimeDelta,
    at: Timestamp,
    /// Since when its author has said this of it, and whether own eyes have borne that out or not.
    since: Timestamp,
    judged: bool,
}

impl ServerRecord {
    fn silent(&self) -> bool {
        mostly_lost(self.tries, self.lost)
    }
}

/// What this instance itself saw of a server of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnObservation {
    pub tries: u32,
    pub lost: u32,
    /// Since the last success, where there was one.
    pub quiet: Option<TimeDelta>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too little is known, or others disagree.
    Open,
    /// This instance has seen it answer of late: no other's word counts.
    Well,
    /// These say so, and are enough.
    Silent(Vec<String>),
}

/// How often an author was right.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    right: f64,
    wrong: f64,
}

impl Record {
    fn weight(self) -> f64 {
        (BENEFIT + self.right) / (BENEFIT + self.right + BENEFIT * self.wrong)
    }
}

#[derive(Clone, Debug)]
pub struct EvidenceLog {
    lasts: TimeDelta,
    /// By server, then author.
    seen: BTreeMap<String, BTreeMap<String, ServerRecord>>,
    /// Number of the last that each author said, and how often it was right.
    numbers: BTreeMap<String, u64>,
    records: BTreeMap<String, Record>,
}

impl EvidenceLog {
    pub fn new(lasts: TimeDelta) -> Self {
        EvidenceLog {
            lasts,
            seen: BTreeMap::new(),
            numbers: BTreeMap::new(),
            records: BTreeMap::new(),
        }
    }

    /// Whether what an author says now is newer than what it said before.
    pub fn newer(&self, author: &str, number: u64) -> bool {
        self.numbers.get(author).is_none_or(|known| *known < number)
    }

    /// What an author says of servers takes the place of all that it said before; its signature has been
    /// looked at.
    pub fn told(&mut self, now: Timestamp, author: &str, number: u64, rows: &[Row]) {
        if !self.newer(author, number) {
            return;
        }
        self.numbers.insert(author.to_owned(), number);
        let mut before: BTreeMap<&String, ServerRecord> = BTreeMap::new();
        for (server, by) in &mut self.seen {
            before.extend(by.remove(author).map(|seen| (server, seen)));
        }
        let mut now_seen = Vec::new();
        for row in rows.iter().take(ROWS) {
            let quiet = TimeDelta::from_micros(i64::from(row.quiet_ms) * 1000);
            let (lost, since, judged) = (row.lost.min(row.tries), now, false);
            let mut seen = ServerRecord {
                tries: row.tries,
                lost,
                quiet,
                at: now,
                since,
                judged,
            };
            if let Some(old) = before
                .get(&row.server)
                .filter(|old| old.silent() == seen.silent())
            {
                (seen.since, seen.judged) = (old.since, old.judged);
            }
            now_seen.push((row.server.clone(), seen));
        }
        for (server, seen) in now_seen {
            self.seen
                .entry(server)
                .or_default()
                .insert(author.to_owned(), seen);
        }
        self.seen.retain(|_, by| !by.is_empty());
    }

    /// Forgets what is too old, and whoever is not there any more.
    pub fn age(&mut self, now: Timestamp, present: impl Fn(&str) -> bool) {
        for by in self.seen.values_mut() {
            by.retain(|author, seen| now - seen.at < self.lasts && present(author));
        }
        self.seen.retain(|_, by| !by.is_empty());
    }

    pub fn weight(&self, author: &str) -> f64 {
        self.records
            .get(author)
            .copied()
            .unwrap_or_default()
            .weight()
    }

    /// What to make of a server, with this instance's own eyes first.
    pub fn weigh(&self, now: Timestamp, server: &str, own: OwnObservation) -> Verdict {
        if own.quiet.is_some_and(|quiet| quiet < self.lasts.times(0.5)) {
            return Verdict::Well;
        }
        let Some(by) = self.seen.get(server) else {
            return Verdict::Open;
        };
        let (mut against, mut all, mut losses) = (0.0, 0.0, 0.0);
        let mut witnesses = Vec::new();
        for (author, seen) in by
            .iter()
            .filter(|(_, seen)| now - seen.at < self.lasts && seen.tries >= ENOUGH)
        {
            let weight = self.weight(author);
            all += weight;
            if seen.silent() {
                against += weight;
                losses += weight * f64::from(seen.lost.min(OF_ONE));
                if weight >= TRUSTED {
                    witnesses.push(author.clone());
                }
            }
        }
        // Its own losses add to the weight, but are no other witness.
        if own.tries >= ENOUGH {
            let lost = mostly_lost(own.tries, own.lost);
            all += 1.0;
            against += f64::from(u8::from(lost));
            losses += if lost {
                f64::from(own.lost.min(OF_ONE))
            } else {
                0.0
            };
        }
        match witnesses.len() >= WITNESSES && losses >= TOGETHER && against >= MAJORITY * all {
            true => Verdict::Silent(witnesses),
            false => Verdict::Open,
        }
    }

    /// Own eyes tell of a server: who has said that it is silent was right where all is lost here as well,
    /// wrong where it has answered here long enough after that was said. Each is judged once for each time
    /// that it begins to say so.
    pub fn judged(&mut self, now: Timestamp, server: &str, own: OwnObservation) {
        let Some(by) = self.seen.get_mut(server) else {
            return;
        };
        let lost = all_lost(own.tries, own.lost);
        for (author, seen) in by
            .iter_mut()
            .filter(|(_, seen)| seen.silent() && !seen.judged)
        {
            let record = self.records.entry(author.clone()).or_default();
            let answered = own
                .quiet
                .is_some_and(|quiet| now - seen.since > self.lasts.times(0.5) + quiet);
            if lost {
                record.right += 1.0;
            } else if answered {
                record.wrong += 1.0;
            }
            seen.judged = lost || answered;
        }
    }

    /// All that counts of a server: author, tries, losses, time since its last success and since it was told.
    pub fn of(
        &self,
        now: Timestamp,
        server: &str,
    ) -> Vec<(String, u32, u32, TimeDelta, TimeDelta)> {
        let row = |(author, seen): (&String, &ServerRecord)| {
            (
                author.clone(),
                seen.tries,
                seen.lost,
                seen.quiet,
                now - seen.at,
            )
        };
        self.seen
            .get(server)
            .map(|by| by.iter().map(row).collect())
            .unwrap_or_default()
    }

    pub fn servers(&self) -> impl Iterator<Item = &str> {
        self.seen.keys().map(String::as_str)
    }
}
