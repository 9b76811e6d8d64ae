//! Which member holds which slice where no store tells it. Everybody who belongs votes: a slice is held by
//! whoever has the votes of most of them, each for a span that the voter counts from when it gives it and the
//! holder, a little shorter, from when it asked. Each new charge has a generation above all before it. No
//! clocks are compared, only spans, and a side of a partition without most of the votes holds nothing.
//! `division` tells who should hold what.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_time::{TimeDelta, Timestamp};

/// Part of a vote's span that its holder counts on; the rest is for clocks that run at other rates.
const SURE: f64 = 0.8;
/// Votes are asked for again so many times in their span.
const TIMES: f64 = 3.0;
/// How far above a fair share of the slices a member may be.
const BOUND: f64 = 1.1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ballot {
    /// A charge that begins, in a generation that nobody may have had.
    Claim,
    /// One that goes on.
    Keep,
    /// One that is over: the slice is shut everywhere.
    Release,
}

/// What a member asks of a voter; its answer names the round.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpenBallot {
    pub ballot: Ballot,
    pub slice: u32,
    pub generation: u64,
    pub round: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vote {
    pub slice: u32,
    pub round: u64,
    pub yes: bool,
    /// The highest generation that the voter knows of the slice.
    pub known: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct GrantedVote {
    to: String,
    generation: u64,
    until: Timestamp,
}

/// A member's votes, those for itself among them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    lasts: TimeDelta,
    /// What it has said before its start it doesn't know: no vote until all of that is over, and no
    /// generation of then.
    silent_until: Timestamp,
    floor: u64,
    given: BTreeMap<u32, GrantedVote>,
}

impl Voter {
    /// `floor` is to be above all generations before this start: the wall clock's milliseconds will do, as
    /// charges change less often than that.
    pub fn new(lasts: TimeDelta, floor: u64, now: Timestamp) -> Self {
        Voter {
            lasts,
            silent_until: now + lasts,
            floor,
            given: BTreeMap::new(),
        }
    }

    /// Who has its vote for a slice.
    pub fn given(&self, now: Timestamp, slice: u32) -> Option<&str> {
        self.given
            .get(&slice)
            .filter(|given| given.until > now)
            .map(|given| given.to.as_str())
    }

    /// Whether it votes yet.
    pub fn speaks(&self, now: Timestamp) -> bool {
        now >= self.silent_until
    }

    pub fn take(&mut self, now: Timestamp, from: &str, asked: &OpenBallot) -> Vote {
        let OpenBallot {
            ballot,
            slice,
            generation,
            round,
        } = *asked;
        let given = self.given.get(&slice);
        let known = given.map_or(self.floor, |given| given.generation.max(self.floor));
        let taken = given.is_some_and(|given| given.until > now && given.to != from);
        let its = given.is_some_and(|given| given.to == from && given.generation == generation);
        let yes = match ballot {
            Ballot::Claim => (generation > known || its) && !taken,
            Ballot::Keep => {
                its || (given.is_none_or(|given| given.generation < generation) && !taken)
            }
            Ballot::Release => its,
        };
        let yes = yes && now >= self.silent_until;
        if yes {
            let until = if ballot == Ballot::Release {
                now
            } else {
                now + self.lasts
            };
            self.given.insert(
                slice,
                GrantedVote {
                    to: from.to_owned(),
                    generation,
                    until,
                },
            );
        }
        Vote {
            slice,
            round,
            yes,
            known: known.max(if yes { generation } else { 0 }),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Claims,
    /// A claim was not won: its votes are given back, so that another's may be, until it is tried again.
    Rests,
    Holds,
}

#[derive(Clone, Debug)]
struct Charge {
    phase: Phase,
    generation: u64,
    /// The newest round, and when each that may still be answered was asked.
    round: u64,
    asked: BTreeMap<u64, Timestamp>,
    /// Until when each voter's vote counts here.
    until: BTreeMap<String, Timestamp>,
    next: Timestamp,
}

/// What a holder asks for, and what has come of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoteStep {
    Ask(OpenBallot),
    Got { slice: u32, generation: u64 },
    Lost(u32),
}

/// The slices that a member holds, or wants.
#[derive(Clone, Debug)]
pub struct SliceHolder {
    lasts: TimeDelta,
    voters: usize,
    round: u64,
    charges: BTreeMap<u32, Charge>,
    known: BTreeMap<u32, u64>,
}

impl SliceHolder {
    /// `voters` are all who belong, whether there or not; rounds count from `round`, which is to be above
    /// those of any start before.
    pub fn new(lasts: TimeDelta, voters: usize, round: u64) -> Self {
        SliceHolder {
            lasts,
            voters,
            round,
            charges: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    fn most(&self) -> usize {
        self.voters / 2 + 1
    }

    fn ask(&mut self, now: Timestamp, slice: u32, ballot: Ballot, out: &mut Vec<VoteStep>) {
        self.round += 1;
        let (round, lasts) = (self.round, self.lasts);
        let Some(charge) = self.charges.get_mut(&slice) else {
            return;
        };
        charge.round = round;
        charge.asked.retain(|_, at| now - *at < lasts);
        charge.asked.insert(round, now);
        charge.next = now + lasts.times(SURE / TIMES);
        out.push(VoteStep::Ask(OpenBallot {
            ballot,
            slice,
            generation: charge.generation,
            round,
        }));
    }

    /// Begins to claim a slice that it is to hold.
    pub fn want(&mut self, now: Timestamp, slice: u32, out: &mut Vec<VoteStep>) {
        if self.charges.contains_key(&slice) {
            return;
        }
        let generation = self.known.get(&slice).copied().unwrap_or(0) + 1;
        let charge = Charge {
            phase: Phase::Claims,
            generation,
            round: 0,
            asked: BTreeMap::new(),
            until: BTreeMap::new(),
            next: now,
        };
        self.charges.insert(slice, charge);
        self.ask(now, slice, Ballot::Claim, out);
    }

    /// Gives a slice up, once it is shut everywhere. A claim that is under way is over as well.
    pub fn release(&mut self, now: Timestamp, slice: u32, out: &mut Vec<VoteStep>) {
        self.ask(now, slice, Ballot::Release, out);
        self.charges.remove(&slice);
    }

    /// Gives up a claim that is not won; what it holds stays.
    pub fn drop_claim(&mut self, now: Timestamp, slice: u32, out: &mut Vec<VoteStep>) {
        if self
            .charges
            .get(&slice)
            .is_some_and(|charge| charge.phase != Phase::Holds)
        {
            self.release(now, slice, out);
        }
    }

    /// Generation of a slice that it holds for sure.
    pub fn holds(&self, now: Timestamp, slice: u32) -> Option<u64> {
        let charge = self
            .charges
            .get(&slice)
            .filter(|charge| charge.phase == Phase::Holds)?;
        let votes = charge.until.values().filter(|until| **until > now).count();
        (votes >= self.most()).then_some(charge.generation)
    }

    pub fn slices(&self) -> impl Iterator<Item = u32> {
        self.charges.keys().copied()
    }

    pub fn voted(&mut self, now: Timestamp, from: &str, voted: &Vote, out: &mut Vec<VoteStep>) {
        let known = self.known.entry(voted.slice).or_default();
        *known = voted.known.max(*known);
        let (sure, most) = (self.lasts.times(SURE), self.most());
        let Some(charge) = self.charges.get_mut(&voted.slice) else {
            return;
        };
        let Some(asked) = charge
            .asked
            .get(&voted.round)
            .copied()
            .filter(|_| voted.yes)
        else {
            return;
        };
        let until = charge.until.entry(from.to_owned()).or_default();
        *until = (asked + sure).max(*until);
        let votes = charge.until.values().filter(|until| **until > now).count();
        if charge.phase == Phase::Claims && votes >= most {
            charge.phase = Phase::Holds;
            out.push(VoteStep::Got {
                slice: voted.slice,
                generation: charge.generation,
            });
        }
    }

    /// Keeps what it holds and claims anew what it has not got; `patience` spreads claims that get into each
    /// other's way.
    pub fn tick(
        &mut self,
        now: Timestamp,
        mut patience: impl FnMut() -> f64,
        out: &mut Vec<VoteStep>,
    ) {
        let due: Vec<u32> = self.charges.keys().copied().collect();
        for slice in due {
            let held = self.holds(now, slice).is_some();
            let Some(charge) = self.charges.get_mut(&slice) else {
                continue;
            };
            match charge.phase {
                Phase::Holds if !held => {
                    self.charges.remove(&slice);
                    out.push(VoteStep::Lost(slice));
                }
                Phase::Holds if now >= charge.next => self.ask(now, slice, Ballot::Keep, out),
                Phase::Claims if now >= charge.next => {
                    (charge.until, charge.asked) = (BTreeMap::new(), BTreeMap::new());
                    charge.phase = Phase::Rests;
                    self.ask(now, slice, Ballot::Release, out);
                    let wait = self.lasts.times(patience());
                    if let Some(charge) = self.charges.get_mut(&slice) {
                        charge.next = now + wait;
                    }
                }
                Phase::Rests if now >= charge.next => {
                    // No vote of the generation before counts for the next.
                    let above = self
                        .known
                        .get(&slice)
                        .copied()
                        .unwrap_or(0)
                        .max(charge.generation);
                    charge.generation = above + 1;
                    (charge.until, charge.asked) = (BTreeMap::new(), BTreeMap::new());
                    charge.phase = Phase::Claims;
                    self.ask(now, slice, Ballot::Claim, out);
                }
                _ => {}
            }
        }
    }

    /// When there is something to do next.
    pub fn wake(&self) -> Option<Timestamp> {
        let due = |charge: &Charge| match charge.phase {
            Phase::Claims | Phase::Rests => charge.next,
            // When the votes are too few, it is to be known at once.
            Phase::Holds => {
                let mut until: Vec<Timestamp> = charge.until.values().copied().collect();
                until.sort();
                let over = until
                    .len()
                    .checked_sub(self.most())
                    .and_then(|k| until.get(k).copied());
                over.map_or(charge.next, |over| over.min(charge.next))
            }
        };
        self.charges.values().map(due).min()
    }
}

/// FNV-1a over all of them, alike on every machine and in every version.
pub fn mixed(parts: &[&[u8]]) -> u64 {
    let byte = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    parts
        .iter()
        .flat_map(|part| part.iter())
        .fold(0xcbf2_9ce4_8422_2325, byte)
}

/// How much a slice likes to be a member's: its bits well mixed, or names that are alike would be liked alike.
pub(crate) fn likes(slice: u32, name: &str) -> u64 {
    let hash = mixed(&[name.as_bytes(), &slice.to_be_bytes()]);
    let hash = (hash ^ hash >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    (hash ^ hash >> 33).wrapping_mul(0xc4ce_b9fe_1a85_ec53)
}

/// Slices that one of so many members may hold.
pub(crate) fn bound(slices: usize, present: usize) -> usize {
    (slices as f64 / present.max(1) as f64 * BOUND).ceil() as usize
}

/// Who should hold each slice: whoever does, if it is there and not above its bound; else, among those with
/// room, whom the slice likes best. `says` is how many each says that it has. Empty where nobody is there.
pub fn division(
    held: &[Option<String>],
    present: &BTreeSet<String>,
    says: &BTreeMap<String, usize>,
) -> Vec<Option<String>> {
    if present.is_empty() {
        return vec![None; held.len()];
    }
    let most = bound(held.len(), present.len());
    let mut count: BTreeMap<&String, usize> = present.iter().map(|name| (name, 0)).collect();
    let mut divided: Vec<Option<String>> = vec![None; held.len()];
    // Of one that holds too many those go that it is least liked by.
    let mut order: Vec<usize> = (0..held.len()).collect();
    let liked = |slice: usize| {
        held[slice]
            .as_ref()
            .map_or(0, |name| likes(slice as u32, name))
    };
    order.sort_by_key(|&slice| std::cmp::Reverse(liked(slice)));
    for &slice in &order {
        if let Some(name) = &held[slice]
            && let Some(count) = count.get_mut(name).filter(|count| **count < most)
        {
            *count += 1;
            divided[slice] = Some(name.clone());
        }
    }
    // What a member says that it has prevails over what is seen of it.
    for (name, count) in &mut count {
        *count = says.get(*name).copied().unwrap_or(0).max(*count);
    }
    for (slice, divided) in divided
        .iter_mut()
        .enumerate()
        .filter(|(_, divided)| divided.is_none())
    {
        let room = count.iter_mut().filter(|(_, count)| **count < most);
        if let Some((name, count)) = room.max_by_key(|(name, _)| likes(slice as u32, name)) {
            *count += 1;
            *divided = Some((*name).clone());
        }
    }
    divided
}
