//! Custody among members that are met: who should hold what by who is there, votes asked of all who belong,
//! and what has come of it. A slice that should be another's is given up only once whoever serves it says
//! that it is shut.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_time::{TimeDelta, Timestamp};
use rand_core::Rng;
use rand_pcg::Pcg32;

use crate::codec::{BallotKind, BallotRow, Ballots, Payload, VoteRow, Votes};
use crate::shard_voting::{
    Ballot, OpenBallot, SliceHolder, Vote, VoteStep, Voter, bound, division, likes,
};

/// Rows of one datagram.
const ROWS: usize = 40;
/// Spans of a vote after which a slice has been free for long.
const FREE: f64 = 3.0;

/// What has become of a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    Got {
        slice: u32,
        generation: u64,
    },
    /// Its votes are over: nothing may be said for it from now on.
    Lost(u32),
    /// It should be another's: to be shut everywhere, and then released.
    HandOver(u32),
}

pub struct Charges {
    name: String,
    slices: u32,
    period: TimeDelta,
    voter: Voter,
    holder: SliceHolder,
    chance: Pcg32,
    look_at: Timestamp,
    leaving: BTreeSet<u32>,
    /// Slices that nobody else has its vote for, and since when; after `patience` whoever has room may claim.
    free: BTreeMap<u32, Timestamp>,
    patience: TimeDelta,
    /// How many slices others said that they hold, and when.
    says: BTreeMap<String, (usize, Timestamp)>,
    pub told: Vec<Charge>,
}

impl Charges {
    /// `life` is above that of any start before, in milliseconds of a wall clock.
    pub fn new(
        name: &str,
        of: (u32, TimeDelta, TimeDelta),
        voters: usize,
        life: u64,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let (slices, lasts, period) = of;
        Charges {
            name: name.to_owned(),
            slices,
            period,
            voter: Voter::new(lasts, life, now),
            holder: SliceHolder::new(lasts, voters, life << 20),
            chance: Pcg32::new(seed, 0x766f_7465),
            look_at: now,
            leaving: BTreeSet::new(),
            free: BTreeMap::new(),
            says: BTreeMap::new(),
            patience: lasts.times(FREE),
            told: Vec::new(),
        }
    }

    pub fn wake(&self) -> Timestamp {
        self.holder
            .wake()
            .map_or(self.look_at, |at| at.min(self.look_at))
    }

    /// Slices that it holds for sure, with their generations.
    pub fn holds(&self, now: Timestamp) -> BTreeMap<u32, u64> {
        self.holder
            .slices()
            .filter_map(|slice| Some((slice, self.holder.holds(now, slice)?)))
            .collect()
    }

    /// What is due: claims, votes that are to be kept, slices that should be another's. Returns what is to be
    /// asked of all others.
    pub fn tick(
        &mut self,
        now: Timestamp,
        present: impl FnOnce() -> BTreeSet<String>,
    ) -> Vec<Payload> {
        let mut steps = Vec::new();
        let chance = &mut self.chance;
        self.holder.tick(
            now,
            || f64::from(chance.next_u32()) / 4_294_967_296.0,
            &mut steps,
        );
        if now >= self.look_at && self.voter.speaks(now) {
            self.look(now, &present(), &mut steps);
        }
        if now >= self.look_at {
            self.look_at = now + self.period;
        }
        self.done(now, steps)
    }

    /// What it should hold by what it sees. Others may see it otherwise: whoever holds a slice gives it up
    /// only for having too many itself, and one that stays free is claimed by all who have room; votes and
    /// chance settle it.
    fn look(&mut self, now: Timestamp, present: &BTreeSet<String>, steps: &mut Vec<VoteStep>) {
        let held: Vec<Option<String>> = (0..self.slices)
            .map(|slice| self.voter.given(now, slice).map(str::to_owned))
            .collect();
        let own = self.holds(now);
        let mut spare: Vec<u32> = own.keys().copied().collect();
        spare.sort_by_key(|&slice| std::cmp::Reverse(likes(slice, &self.name)));
        let keeps = if present.contains(&self.name) {
            bound(held.len(), present.len())
        } else {
            0
        };
        let over: BTreeSet<u32> = spare.into_iter().skip(keeps).collect();
        self.told.extend(
            over.difference(&self.leaving)
                .map(|&slice| Charge::HandOver(slice)),
        );
        self.leaving = over;
        let patience = self.patience;
        self.says.retain(|_, (_, at)| now - *at < patience);
        let says = self
            .says
            .iter()
            .map(|(name, (count, _))| (name.clone(), *count))
            .collect();
        let divided = division(&held, present, &says);
        let room = own.len() < keeps;
        for (slice, (held, divided)) in (0..).zip(held.iter().zip(&divided)) {
            if held.as_ref().is_some_and(|held| *held != self.name) {
                self.free.remove(&slice);
                self.holder.drop_claim(now, slice, steps);
                continue;
            }
            let since = *self.free.entry(slice).or_insert(now);
            let long = now - since > self.patience;
            if divided.as_ref() == Some(&self.name) || (long && room) {
                self.holder.want(now, slice, steps);
            } else {
                self.holder.drop_claim(now, slice, steps);
            }
        }
    }

    /// It is shut everywhere.
    pub fn release(&mut self, now: Timestamp, slice: u32) -> Vec<Payload> {
        let mut steps = Vec::new();
        self.holder.release(now, slice, &mut steps);
        self.leaving.remove(&slice);
        self.done(now, steps)
    }

    /// Votes for itself at once; the rest is to be asked of the others.
    fn done(&mut self, now: Timestamp, mut steps: Vec<VoteStep>) -> Vec<Payload> {
        let mut rows = Vec::new();
        while let Some(step) = steps.pop() {
            match step {
                VoteStep::Ask(asked) => {
                    let voted = self.voter.take(now, &self.name, &asked);
                    self.holder.voted(now, &self.name, &voted, &mut steps);
                    rows.push(row(&asked));
                }
                VoteStep::Got { slice, generation } => {
                    self.told.push(Charge::Got { slice, generation })
                }
                VoteStep::Lost(slice) => {
                    self.leaving.remove(&slice);
                    self.told.push(Charge::Lost(slice));
                }
            }
        }
        if rows.is_empty() {
            return Vec::new();
        }
        let holds = self.holds(now).len() as u32;
        rows.chunks(ROWS)
            .map(|rows| {
                Payload::Ballots(Ballots {
                    rows: rows.to_vec(),
                    holds,
                })
            })
            .collect()
    }

    /// Another asks for votes: what it is answered.
    pub fn asked(&mut self, now: Timestamp, from: &str, ballots: &Ballots) -> Payload {
        self.says
            .insert(from.to_owned(), (ballots.holds as usize, now));
        let mut rows = Vec::new();
        for row in ballots
            .rows
            .iter()
            .take(ROWS)
            .filter(|row| row.slice < self.slices)
        {
            let ballot = match BallotKind::try_from(row.kind) {
                Ok(BallotKind::Claim) => Ballot::Claim,
                Ok(BallotKind::Keep) => Ballot::Keep,
                Ok(BallotKind::Release) => Ballot::Release,
                Ok(BallotKind::Unknown) | Err(_) => continue,
            };
            let asked = OpenBallot {
                ballot,
                slice: row.slice,
                generation: row.generation,
                round: row.round,
            };
            let Vote {
                slice,
                round,
                yes,
                known,
            } = self.voter.take(now, from, &asked);
            rows.push(VoteRow {
                slice,
                round,
                yes,
                known,
            });
        }
        Payload::Votes(Votes { rows })
    }

    pub fn voted(&mut self, now: Timestamp, from: &str, votes: &Votes) {
        let mut steps = Vec::new();
        for row in votes.rows.iter().take(ROWS) {
            let voted = Vote {
                slice: row.slice,
                round: row.round,
                yes: row.yes,
                known: row.known,
            };
            self.holder.voted(now, from, &voted, &mut steps);
        }
        let asks = self.done(now, steps);
        debug_assert!(asks.is_empty(), "an answer asks for nothing");
    }
}

fn row(asked: &OpenBallot) -> BallotRow {
    let kind = match asked.ballot {
        Ballot::Claim => BallotKind::Claim,
        Ballot::Keep => BallotKind::Keep,
        Ballot::Release => BallotKind::Release,
    };
    let OpenBallot {
        slice,
        generation,
        round,
        ..
    } = *asked;
    BallotRow {
        kind: kind as i32,
        slice,
        generation,
        round,
    }
}
