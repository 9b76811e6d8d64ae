//! Slices that members divide among them, on a virtual clock, while members die, part, stand still and come back.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_membership::Config;
use lynxmill_membership_simulator::World;
use lynxmill_time::TimeDelta;
use rstest::rstest;

const SLICES: u32 = 60;

struct Day {
    world: World,
    /// Who had each generation of each slice.
    had: BTreeMap<(u32, u64), usize>,
}

impl Day {
    fn new(size: usize, seed: u64) -> Self {
        let terms = Config {
            slices: SLICES,
            bytes_per_s: 60_000.0,
            messages_per_s: 200.0,
            ..Config::default()
        };
        let mut day = Day {
            world: World::new(size, terms, seed),
            had: BTreeMap::new(),
        };
        day.run(45.0);
        assert_eq!(day.held().len(), SLICES as usize, "all slices are held");
        day
    }

    /// Plays on, and looks ten times a second that nobody shares a slice or a generation.
    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds * 10.0) as usize {
            self.world.run(0.1);
            for (slice, by) in self.world.held() {
                assert!(
                    by.len() == 1,
                    "slice {slice} is held by {by:?} at {:?}",
                    self.world.now
                );
                let (node, generation) = by[0];
                let before = *self.had.entry((slice, generation)).or_insert(node);
                assert_eq!(before, node, "generation {generation} of slice {slice}");
            }
        }
    }

    fn held(&self) -> BTreeMap<u32, usize> {
        self.world
            .held()
            .into_iter()
            .map(|(slice, by)| (slice, by[0].0))
            .collect()
    }

    fn by(&self) -> BTreeSet<usize> {
        self.held().into_values().collect()
    }
}

#[rstest]
#[case::three(3, 1)]
#[case::five(5, 2)]
#[case::nine(9, 3)]
fn a_dead_member_s_slices_are_taken_over_and_no_others_move(
    #[case] size: usize,
    #[case] seed: u64,
) {
    let mut day = Day::new(size, seed);
    let before = day.held();
    assert_eq!(day.by().len(), size, "everybody has some");
    day.world.kill(1);
    day.run(60.0);
    let after = day.held();
    assert_eq!(after.len(), SLICES as usize);
    for (slice, was) in before {
        assert!(
            if was == 1 {
                after[&slice] != 1
            } else {
                after[&slice] == was
            },
            "slice {slice}"
        );
    }
    // Back, it gets no more than its share, from those that have too many.
    day.world.start(1, 0);
    day.run(90.0);
    let back = day.held();
    assert_eq!(back.len(), SLICES as usize);
    let moved = back
        .iter()
        .filter(|(slice, node)| after[slice] != **node)
        .count();
    assert!(moved <= SLICES as usize / size + 2, "{moved} moved");
}

#[test]
fn the_side_with_most_votes_holds_all_and_the_other_nothing() {
    let mut day = Day::new(9, 4);
    (0..4).for_each(|node| day.world.sides[node] = 1);
    day.run(70.0);
    let held = day.held();
    assert_eq!(held.len(), SLICES as usize);
    assert!(held.values().all(|node| *node >= 4), "{held:?}");
    day.world.sides.fill(0);
    day.run(200.0);
    assert_eq!(day.held().len(), SLICES as usize);
}

#[test]
fn without_most_of_the_votes_nobody_holds_anything() {
    let mut day = Day::new(5, 5);
    [2, 3, 4].into_iter().for_each(|node| day.world.kill(node));
    day.run(30.0);
    assert!(day.held().is_empty());
    day.world.start(2, 0);
    day.run(90.0);
    assert_eq!(day.held().len(), SLICES as usize);
}

#[rstest]
#[case(6)]
#[case(7)]
#[case(8)]
fn whatever_happens_nobody_shares_a_slice(#[case] seed: u64) {
    let mut day = Day::new(5, seed);
    day.world.loss = 0.1;
    for turn in 0..12u64 {
        let node = ((turn * 3 + seed) % 5) as usize;
        match (turn + seed) % 4 {
            0 => day.world.kill(node),
            1 => day.world.stall(node, TimeDelta::from_secs(7.0)),
            2 => (0..5).for_each(|of| day.world.sides[of] = u8::from(of == node)),
            _ => day.world.sides.fill(0),
        }
        day.run(9.0);
        for node in 0..5 {
            if day.world.nodes[node].is_none() {
                // Its clock may be behind by up to what its votes take to run out.
                day.world.start(node, -2_000);
            }
        }
        day.run(4.0);
    }
    day.world.sides.fill(0);
    day.world.loss = 0.0;
    day.run(200.0);
    assert_eq!(day.held().len(), SLICES as usize);
}
