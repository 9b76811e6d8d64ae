//! Registers of a core in trouble: lost, late and reordered words, crashes, lost disks, changing members.

mod world;

use world::{Bug, Seen, World};

const SEEDS: u64 = 150;

fn play(size: usize) {
    let (mut all, mut stuck) = (Seen::default(), 0);
    for seed in 0..SEEDS {
        let seen = World::new(seed, size, Bug::None).play();
        let seen = seen.unwrap_or_else(|why| panic!("seed {seed}, {why}"));
        assert!(
            seen.settled || seen.stuck,
            "seed {seed}: nothing is agreed in calm times: {seen:?}"
        );
        all.acknowledged += seen.acknowledged;
        all.changes += seen.changes;
        all.filled += seen.filled;
        all.wiped += seen.wiped;
        stuck += u64::from(seen.stuck);
    }
    println!("{stuck} stuck, {all:?}");
    assert!(
        stuck * 50 <= SEEDS,
        "no majority stands at the end of {stuck} worlds"
    );
    let enough =
        all.acknowledged > 10_000 && all.changes > 200 && all.filled > 150 && all.wiped > 150;
    assert!(enough, "too little happened: {all:?}");
}

#[test]
fn three_members_lose_nothing() {
    play(3);
}

#[test]
fn five_members_lose_nothing() {
    play(5);
}

/// The seeds that are needed until the checker tells of a bug, and what it tells.
fn found(bug: Bug, watch_votes: bool) -> (u64, String) {
    let told = (0..600).find_map(|seed| {
        let mut world = World::new(seed, if seed % 4 < 2 { 3 } else { 5 }, bug);
        world.watch_votes = watch_votes;
        world.play().err().map(|why| (seed, why))
    });
    let told = told.unwrap_or_else(|| panic!("{bug:?} is not found"));
    println!("{bug:?}: seed {}, {}", told.0, told.1);
    told
}

#[test]
fn an_acknowledgement_before_its_sync_is_found() {
    found(Bug::AcksBeforeSync, true);
}

#[test]
fn a_blank_disk_that_votes_is_found() {
    assert!(found(Bug::BlankVotes, true).1.contains("votes"));
    assert!(
        !found(Bug::BlankVotes, false).1.contains("votes"),
        "by what is lost as well"
    );
}

#[test]
fn a_proposer_that_ignores_what_was_accepted_is_found() {
    found(Bug::IgnoresHighest, true);
}

#[test]
fn members_changed_by_the_new_majority_alone_are_found() {
    found(Bug::NewMajorityOnly, true);
}
