//! Many seeded worlds of custodians, edges and tasks; and that their checks find faults put in on purpose.

mod world;

use lynxmill_time::TimeDelta;
use world::{Bug, World, ms};

const WILD: TimeDelta = TimeDelta::from_micros(40_000_000);
const QUIET: TimeDelta = TimeDelta::from_micros(12_000_000);

/// The faults found over seeds, with what happened at all.
fn faults(seeds: std::ops::Range<u64>) -> (Vec<String>, usize, u64) {
    let threads = 3;
    let (mut found, mut moves, mut terms) = (Vec::new(), 0, 0);
    std::thread::scope(|scope| {
        let part = |k: u64| {
            let seeds = seeds.clone().filter(move |s| s % threads == k);
            scope.spawn(move || {
                let play = |seed: u64| {
                    let mut world = World::new(seed, Bug::None);
                    let fault = world.play(WILD, QUIET);
                    (
                        fault.map(|f| format!("seed {seed} {f}")),
                        world.moves,
                        world.terms,
                    )
                };
                seeds.map(play).collect::<Vec<_>>()
            })
        };
        let parts: Vec<_> = (0..threads).map(part).collect();
        for (fault, m, t) in parts.into_iter().flat_map(|p| p.join().unwrap()) {
            found.extend(fault);
            (moves, terms) = (moves + m, terms + t);
        }
    });
    found.sort();
    (found, moves, terms)
}

#[test]
fn no_two_tasks_ever_hold_a_key() {
    let (found, moves, terms) = faults(0..300);
    assert!(
        found.is_empty(),
        "{} worlds went wrong, as {:?}",
        found.len(),
        &found[..found.len().min(8)]
    );
    // The worlds are worth their time only if much happens in them.
    assert!(
        moves > 300 * 20 && terms > 300 * 4,
        "{moves} moves in {terms} terms"
    );
}

/// Plays seeds that are well without the bug until a check of this word shows it.
fn finds(bug: Bug, word: &str) {
    let fault = |seed| {
        World::new(seed, bug)
            .play(WILD, QUIET)
            .filter(|fault| fault.contains(word))
    };
    let found = (0..300).find_map(|seed| Some((seed, fault(seed)?)));
    println!("{bug:?}: {found:?}");
    assert!(found.is_some(), "{bug:?} was not found");
}

#[test]
fn finds_a_hold_counted_from_the_answer() {
    finds(Bug::HoldFromAnswer, "hold");
}

#[test]
fn finds_a_margin_that_forgets_slow_clocks() {
    finds(Bug::ShortMargin, "hold");
}

#[test]
fn finds_a_custodian_that_grants_after_its_lease() {
    finds(Bug::Stale, "is held by");
}

#[test]
fn finds_a_grant_before_its_write() {
    finds(Bug::EarlyGrant, "hold");
}

#[test]
fn finds_edges_that_were_not_waited_for() {
    finds(Bug::DeafEdges, "kept silent");
}

#[test]
fn a_world_without_trouble_settles_and_rests() {
    let mut world = World::new(7, Bug::None);
    assert_eq!(world.play(ms(0), ms(4000)), None);
    assert_eq!(world.moves, 0);
}
