//! What becomes of many instances when some die, stall, leave, come back, or can't hear each other.

use lynxmill_membership::{Config, State};
use lynxmill_membership_simulator::{World, name};
use lynxmill_time::{TimeDelta, Timestamp};
use rstest::rstest;

fn world(size: usize, seed: u64) -> World {
    let mut world = World::new(size, Config::default(), seed);
    for _ in 0..60 {
        world.run(1.0);
        if world.agree() == size {
            break;
        }
    }
    assert_eq!(world.agree(), size, "all have met");
    world.run(5.0);
    assert_eq!(world.mistakes.dead, 0);
    world
}

#[rstest]
#[case::three(3, 15.0)]
#[case::twenty(20, 25.0)]
#[case::hundred(100, 35.0)]
fn a_death_is_known_by_all_in_time(#[case] size: usize, #[case] most: f64) {
    for seed in 0..3 {
        let mut world = world(size, seed);
        let dies = world.now;
        world.kill(size - 1);
        world.run(most);
        let known = world.known_after(size - 1, dies);
        assert!(known.is_some(), "seed {seed}");
        assert_eq!(world.mistakes.dead, 0, "seed {seed}");
    }
}

#[rstest]
#[case::some(0.05)]
#[case::much(0.3)]
fn lost_datagrams_make_nobody_dead(#[case] loss: f64) {
    for seed in 0..3 {
        let mut world = world(20, seed);
        world.loss = loss;
        world.run(120.0);
        assert_eq!(world.mistakes.dead, 0, "seed {seed}: {:?}", world.mistakes);
        world.loss = 0.0;
        world.run(40.0);
        assert_eq!(world.agree(), 20, "seed {seed}");
    }
}

/// One whose datagrams mostly get lost on their way out hears all and is heard by few.
#[test]
fn one_way_loss_harms_nobody_else() {
    let mut world = world(20, 4);
    world.deaf.insert(7, 0.6);
    world.run(90.0);
    let others = (0..20).filter(|&n| n != 7);
    let dead = others
        .clone()
        .flat_map(|a| others.clone().map(move |b| (a, b)));
    let wrong: Vec<_> = dead
        .filter(|pair| world.dead_at.contains_key(pair))
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
}

#[test]
fn a_stalled_process_that_returns_drags_nobody_down() {
    for seed in 0..4 {
        let mut world = world(20, seed);
        let before = world.mistakes.suspected;
        world.stall(5, TimeDelta::from_secs(8.0));
        world.run(60.0);
        let taken: Vec<_> = world
            .dead_at
            .keys()
            .filter(|(_, about)| *about != 5)
            .collect();
        assert!(taken.is_empty(), "seed {seed}: {taken:?}");
        assert!(
            world.mistakes.suspected - before <= 6,
            "seed {seed}: {:?}",
            world.mistakes
        );
        assert_eq!(world.agree(), 20, "seed {seed}: it is back");
    }
}

#[rstest]
#[case::clock_right(0)]
#[case::clock_an_hour_behind(-3_600_000)]
#[case::clock_an_hour_ahead(3_600_000)]
fn one_that_crashed_comes_back_under_its_name(#[case] clock_ms: i64) {
    let mut world = world(20, 5);
    world.kill(9);
    world.run(40.0);
    assert_eq!(world.agree(), 19);
    world.start(9, clock_ms);
    world.run(70.0);
    assert_eq!(world.agree(), 20);
    // Before anybody had missed it, too.
    world.kill(9);
    world.run(1.0);
    world.start(9, clock_ms);
    world.run(70.0);
    assert_eq!(world.agree(), 20);
}

#[test]
fn a_partition_heals() {
    let mut world = world(20, 6);
    for node in 0..8 {
        world.sides[node] = 1;
    }
    world.run(60.0);
    assert_eq!(world.agree(), 0);
    let seen =
        |world: &World, node: usize| world.nodes[node].as_ref().map_or(0, |of| of.swim.present());
    assert_eq!((seen(&world, 0), seen(&world, 19)), (8, 12));
    world.sides.fill(0);
    world.run(150.0);
    assert_eq!(world.agree(), 20);
}

#[test]
fn who_leaves_is_not_suspected() {
    let mut world = world(20, 7);
    let before = world.mistakes;
    let now = world.now;
    if let Some(node) = &mut world.nodes[3] {
        let mut out = Vec::new();
        node.leave(now, &mut out);
        assert!(!out.is_empty());
    }
    // It stays to be asked for a moment, and goes.
    world.run(3.0);
    world.kill(3);
    world.run(30.0);
    let state = |of: &lynxmill_membership::Member| of.state == State::Left;
    let told = world
        .living()
        .filter(|(_, of)| of.swim.member(&name(3)).is_some_and(state))
        .count();
    assert_eq!(told, 19);
    assert_eq!(world.mistakes, before);
}

#[test]
fn the_ceiling_holds_in_every_second() {
    let terms = Config {
        bytes_per_s: 6_000.0,
        messages_per_s: 12.0,
        ..Config::default()
    };
    let mut world = World::new(60, terms, 8);
    for second in 0..60 {
        world.run(1.0);
        if second == 20 {
            (0..20).for_each(|node| world.kill(node));
        }
    }
    // What a second leaves over may go in the next.
    assert!(world.most_bytes <= 12_000, "{}", world.most_bytes);
    let held: u64 = world.living().map(|(_, of)| of.tally.held_back).sum();
    assert!(held > 0, "the ceiling was reached");
}

#[test]
fn a_seed_gives_the_same_course_twice() {
    let course = |seed| {
        let mut world = World::new(20, Config::default(), seed);
        world.loss = 0.1;
        world.run(30.0);
        world.kill(4);
        world.run(40.0);
        (world.sent(), world.mistakes, world.dead_at.clone())
    };
    assert_eq!(course(9), course(9));
    assert_ne!(course(9).0, course(10).0);
}

#[test]
fn nothing_is_passed_on_for_ever() {
    let mut world = world(20, 10);
    world.run(60.0);
    let left: usize = world.living().map(|(_, of)| of.swim.rumours()).sum();
    assert_eq!(left, 0);
    let (_, before) = world.sent();
    let from: Timestamp = world.now;
    world.run(10.0);
    let (_, after) = world.sent();
    // A probe and an answer a second, and an exchange in half a minute.
    let each = (after - before) as f64 / 20.0 / (world.now - from).secs();
    assert!(each < 2.5, "{each} messages a second");
}
