//! Custody by votes: every order in which things can come about for two who want one slice, long random walks
//! for more, and who should hold what.

#[path = "../../registry/tests/explore/mod.rs"]
mod explore;

use std::collections::{BTreeMap, BTreeSet};

use explore::{Model, Printed, explore, most};
use lynxmill_membership::{
    Ballot, OpenBallot, SliceHolder, Vote, VoteStep as Did, Voter, division,
};
use lynxmill_time::{TimeDelta, Timestamp};
use proptest::prelude::*;
use rand_core::Rng;
use rand_pcg::Pcg32;

const VOTERS: usize = 3;
const LASTS: f64 = 3.0;
const LAST: i64 = 11;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A voter that starts again votes at once.
    Forgets,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, PartialOrd, Ord)]
enum Mail {
    Ask(usize, usize, OpenBallot),
    Vote(usize, usize, Vote),
}

#[derive(Clone, Hash)]
struct World {
    now: i64,
    voters: Vec<Printed<Voter>>,
    holders: Vec<Printed<SliceHolder>>,
    mail: Vec<Mail>,
    /// Who had a generation.
    had: BTreeMap<u64, usize>,
    crashes: u8,
    wrong: Option<&'static str>,
}

#[derive(Clone, Debug)]
enum Step {
    Tick,
    Deliver(usize),
    Lose(usize),
    Crash(usize),
    Release(usize),
}

struct Two(Fault);

fn at(now: i64) -> Timestamp {
    Timestamp::from_secs(now as f64)
}

fn name(of: usize) -> String {
    format!("m{of}")
}

impl World {
    fn did(&mut self, of: usize, out: Vec<Did>) {
        for step in out {
            match step {
                Did::Ask(asked) => {
                    self.mail
                        .extend((0..VOTERS).map(|to| Mail::Ask(of, to, asked.clone())));
                }
                Did::Got { generation, .. } => {
                    if *self.had.entry(generation).or_insert(of) != of {
                        self.wrong = Some("two had one generation");
                    }
                }
                Did::Lost(_) => {}
            }
        }
        self.mail.sort();
        self.mail.dedup();
    }

    fn check(&mut self) {
        let holds = self
            .holders
            .iter()
            .filter(|holder| holder.0.holds(at(self.now), 0).is_some())
            .count();
        if holds > 1 {
            self.wrong = Some("two hold one slice");
        }
    }
}

impl Model for Two {
    type World = World;
    type Step = Step;

    fn first(&self) -> World {
        let voter = |_| {
            Printed(Voter::new(
                TimeDelta::from_secs(LASTS),
                0,
                at(-(LASTS as i64)),
            ))
        };
        let holder = |of| {
            Printed(SliceHolder::new(
                TimeDelta::from_secs(LASTS),
                VOTERS,
                of as u64 * 1000,
            ))
        };
        let mut world = World {
            now: 0,
            voters: (0..VOTERS).map(voter).collect(),
            holders: (0..2).map(holder).collect(),
            mail: Vec::new(),
            had: BTreeMap::new(),
            crashes: 0,
            wrong: None,
        };
        for of in 0..2 {
            let mut out = Vec::new();
            world.holders[of].0.want(at(0), 0, &mut out);
            world.did(of, out);
        }
        world
    }

    fn steps(&self, world: &World, to: &mut Vec<Step>) {
        to.extend((0..world.mail.len()).map(Step::Deliver));
        if world.now < LAST {
            to.push(Step::Tick);
        }
        if world.crashes < 1 {
            to.extend((0..VOTERS).map(Step::Crash));
        }
        to.extend(
            (0..2)
                .filter(|&of| world.holders[of].0.holds(at(world.now), 0).is_some())
                .map(Step::Release),
        );
        // What is lost is as what comes after the end; one loss shortens the way there.
        if world.mail.len() > 8 {
            to.extend((0..world.mail.len()).map(Step::Lose));
        }
    }

    fn next(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let mut out = Vec::new();
        let now = at(world.now);
        match step {
            Step::Tick => {
                world.now += 1;
                for of in 0..2 {
                    let mut out = Vec::new();
                    world.holders[of]
                        .0
                        .tick(at(world.now), || of as f64, &mut out);
                    world.did(of, out);
                }
            }
            Step::Deliver(i) => match world.mail.remove(i) {
                Mail::Ask(from, to, asked) => {
                    let voted = world.voters[to].0.take(now, &name(from), &asked);
                    world.mail.push(Mail::Vote(to, from, voted));
                    world.mail.sort();
                }
                Mail::Vote(from, to, voted) => {
                    world.holders[to]
                        .0
                        .voted(now, &name(from), &voted, &mut out);
                    world.did(to, out);
                }
            },
            Step::Lose(i) => drop(world.mail.remove(i)),
            Step::Crash(of) => {
                world.crashes += 1;
                let begun = if self.0 == Fault::Forgets {
                    now + TimeDelta::from_secs(-LASTS)
                } else {
                    now
                };
                // Its floor is what a wall clock would give it.
                world.voters[of] = Printed(Voter::new(
                    TimeDelta::from_secs(LASTS),
                    100 + world.now as u64,
                    begun,
                ));
                if of < 2 {
                    let round = of as u64 * 1000 + 500 + world.now as u64;
                    world.holders[of] =
                        Printed(SliceHolder::new(TimeDelta::from_secs(LASTS), VOTERS, round));
                    world.holders[of].0.want(now, 0, &mut out);
                    world.did(of, out);
                }
            }
            Step::Release(of) => {
                world.holders[of].0.release(now, 0, &mut out);
                world.did(of, out);
            }
        }
        world.check();
        Some(world)
    }

    fn wrong(&self, world: &World) -> Option<&'static str> {
        world.wrong
    }

    fn seen(&self, world: &World, to: &mut BTreeSet<&'static str>) {
        if !world.had.is_empty() {
            to.insert("one got it");
        }
        if world.had.values().collect::<BTreeSet<_>>().len() == 2 {
            to.insert("the other got it after");
        }
        if world.crashes > 0 && !world.had.is_empty() {
            to.insert("with a crash");
        }
    }
}

#[test]
fn no_order_of_events_gives_a_slice_to_two() {
    let found = explore(&Two(Fault::None), most());
    assert!(found.wrong.is_none(), "{:?}", found.wrong);
    assert!(
        found.seen.contains("one got it") && found.seen.contains("with a crash"),
        "{:?}",
        found.seen
    );
}

/// The same world by chance, far deeper than every order can be followed.
fn walked(
    fault: Fault,
    seeds: std::ops::Range<u64>,
) -> (BTreeSet<&'static str>, Option<(u64, &'static str)>) {
    let (model, mut seen) = (Two(fault), BTreeSet::new());
    for seed in seeds {
        let mut chance = Pcg32::new(seed, 3);
        let mut below = |most: usize| ((u64::from(chance.next_u32()) * most as u64) >> 32) as usize;
        let mut world = model.first();
        for _ in 0..120 {
            let mut steps = Vec::new();
            model.steps(&world, &mut steps);
            let Some(next) = (!steps.is_empty()).then(|| steps.swap_remove(below(steps.len())))
            else {
                break;
            };
            if let Some(next) = model.next(&world, next) {
                world = next;
            }
            model.seen(&world, &mut seen);
            if let Some(wrong) = world.wrong {
                return (seen, Some((seed, wrong)));
            }
        }
    }
    (seen, None)
}

#[test]
fn long_walks_give_a_slice_to_one_after_the_other() {
    let (seen, wrong) = walked(Fault::None, 0..6000);
    assert_eq!(wrong, None);
    assert_eq!(seen.len(), 3, "{seen:?}");
}

#[test]
fn a_voter_that_forgets_what_it_said_is_found() {
    let (_, wrong) = walked(Fault::Forgets, 0..200_000);
    assert!(wrong.is_some());
}

fn names(of: std::ops::Range<usize>) -> BTreeSet<String> {
    of.map(name).collect()
}

fn counts(divided: &[Option<String>]) -> BTreeMap<&String, usize> {
    let mut counts = BTreeMap::new();
    divided
        .iter()
        .flatten()
        .for_each(|name| *counts.entry(name).or_default() += 1);
    counts
}

fn moved(before: &[Option<String>], after: &[Option<String>]) -> usize {
    before
        .iter()
        .zip(after)
        .filter(|(before, after)| before != after)
        .count()
}

#[test]
fn a_member_that_goes_moves_its_slices_alone_and_one_that_comes_no_more_than_its_share() {
    let held = division(&vec![None; 960], &names(0..5), &BTreeMap::new());
    assert!(
        counts(&held).values().all(|count| *count <= 212),
        "{:?}",
        counts(&held)
    );
    let gone = names(0..5)
        .into_iter()
        .filter(|name| name != "m3")
        .collect();
    let after = division(&held, &gone, &BTreeMap::new());
    assert_eq!(moved(&held, &after), counts(&held)[&name(3)]);
    let more = division(&after, &names(0..6), &BTreeMap::new());
    assert!(counts(&more).values().all(|count| *count <= 176));
    let fair = 960 / 6 * 2;
    assert!(
        moved(&after, &more) <= fair + 12,
        "{}",
        moved(&after, &more)
    );
    // Nothing changes, nothing moves.
    assert_eq!(
        moved(&more, &division(&more, &names(0..6), &BTreeMap::new())),
        0
    );
    assert!(
        division(&held, &BTreeSet::new(), &BTreeMap::new())
            .iter()
            .all(Option::is_none)
    );
}

#[test]
fn a_side_without_most_of_the_votes_holds_nothing_once_its_votes_are_over() {
    let lasts = TimeDelta::from_secs(LASTS);
    let mut voters: Vec<Voter> = (0..5).map(|_| Voter::new(lasts, 0, at(-10))).collect();
    let mut holder = SliceHolder::new(lasts, 5, 0);
    let mut vote =
        |holder: &mut SliceHolder, now: f64, out: Vec<Did>, reach: std::ops::Range<usize>| {
            let (mut steps, now) = (Vec::new(), Timestamp::from_secs(now));
            for step in out {
                let Did::Ask(asked) = step else { continue };
                for to in reach.clone() {
                    let voted = voters[to].take(now, "m0", &asked);
                    holder.voted(now, &name(to), &voted, &mut steps);
                }
            }
            steps
        };
    let mut out = Vec::new();
    holder.want(at(0), 7, &mut out);
    let got = vote(&mut holder, 0.0, out, 0..5);
    assert_eq!(
        got,
        [Did::Got {
            slice: 7,
            generation: 1
        }]
    );
    let mut lost = None;
    for k in 1..60 {
        let now = f64::from(k) * 0.1;
        let mut out = Vec::new();
        holder.tick(Timestamp::from_secs(now), || 0.0, &mut out);
        if out.contains(&Did::Lost(7)) {
            lost = Some(now);
            break;
        }
        // From 1 s on it reaches itself and one other alone.
        let _ = vote(&mut holder, now, out, if now < 1.0 { 0..5 } else { 0..2 });
    }
    // Before any voter may give its vote away: the last whole round was asked for at 0.8 s.
    assert!(
        lost.is_some_and(|lost| lost <= 0.8 + LASTS * 0.8 + 0.1),
        "{lost:?}"
    );
    assert_eq!(holder.slices().count(), 0);
}

#[test]
fn a_claim_is_repeated_above_the_generation_that_is_known_and_a_repeated_question_answered_alike() {
    let lasts = TimeDelta::from_secs(LASTS);
    let mut voter = Voter::new(lasts, 50, at(-10));
    let ask = |ballot, generation, round| OpenBallot {
        ballot,
        slice: 1,
        generation,
        round,
    };
    let no = voter.take(at(0), "a", &ask(Ballot::Claim, 1, 1));
    assert_eq!((no.yes, no.known), (false, 50));
    let mut holder = SliceHolder::new(lasts, 1, 0);
    let mut out = Vec::new();
    holder.want(at(0), 1, &mut out);
    holder.voted(at(0), "v", &no, &mut Vec::new());
    out.clear();
    // It gives back what it may have got, and rests first.
    holder.tick(at(1), || 0.5, &mut out);
    assert!(
        matches!(&out[..], [Did::Ask(asked)] if asked.ballot == Ballot::Release),
        "{out:?}"
    );
    holder.tick(at(2), || 0.5, &mut out);
    assert_eq!(out.len(), 1);
    out.clear();
    holder.tick(at(3), || 0.5, &mut out);
    assert!(
        matches!(&out[..], [Did::Ask(asked)] if asked.generation == 51),
        "{out:?}"
    );
    let yes = voter.take(at(2), "a", &ask(Ballot::Claim, 51, 2));
    assert!(yes.yes && voter.take(at(2), "a", &ask(Ballot::Claim, 51, 2)).yes);
    assert!(
        !voter.take(at(2), "b", &ask(Ballot::Claim, 52, 1)).yes,
        "another has it"
    );
    assert!(
        !voter.take(at(2), "b", &ask(Ballot::Release, 51, 1)).yes,
        "nobody gives up what is another's"
    );
    assert!(voter.take(at(3), "a", &ask(Ballot::Release, 51, 3)).yes);
    assert!(
        !voter.take(at(3), "b", &ask(Ballot::Claim, 51, 2)).yes,
        "never the same generation"
    );
    assert!(voter.take(at(3), "b", &ask(Ballot::Claim, 52, 2)).yes);
}

proptest! {
    #[test]
    fn every_slice_is_divided_within_the_bound(
        slices in 1usize..300,
        before in 1usize..9,
        after in 1usize..9,
    ) {
        let held = division(&vec![None; slices], &names(0..before), &BTreeMap::new());
        let divided = division(&held, &names(0..after), &BTreeMap::new());
        let most = (slices as f64 / after as f64 * 1.1).ceil() as usize;
        prop_assert!(divided.iter().all(Option::is_some));
        prop_assert!(counts(&divided).values().all(|count| *count <= most));
        // Only slices whose member is gone, or has too many, are moved.
        let kept = counts(&held).iter().map(|(name, count)| {
            if names(0..after).contains(*name) { (*count).min(most) } else { 0 }
        }).sum::<usize>();
        prop_assert_eq!(moved(&held, &divided), slices - kept);
    }
}
