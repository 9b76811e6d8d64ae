//! Heartbeats of many tasks spread over members that go, come back, freeze, and are out of reach of some tasks.

use std::collections::BTreeMap;

use lynxmill_control_node::{
    COUNTED_HEARTBEATS, HeartbeatBalancer, HeartbeatTarget, MAX_MOVED_SHARE,
};
use lynxmill_protocol::HeartbeatLoad;
use lynxmill_random::Pcg;
use lynxmill_time::{TimeDelta, Timestamp};
use rstest::rstest;

const MEMBERS: usize = 5;
const INTERVAL: TimeDelta = TimeDelta::from_micros(1_500_000);
/// Between two comparisons; the others' counts are as old.
const COMPARISON: TimeDelta = TimeDelta::from_micros(300_000);
/// Heartbeat intervals after which a process has heard of every task.
const KNOWS_ALL_HEARTBEATS: f64 = 2.6;
/// Within what tolerance loads count as even: the surplus that stays, and what changes between two counts.
const EVEN: f64 = 1.25;

struct Member {
    balancer: HeartbeatBalancer,
    /// If not, it answers nothing.
    runs: bool,
    started: Timestamp,
    last_heartbeats: BTreeMap<usize, Timestamp>,
}

impl Member {
    fn started(now: Timestamp) -> Self {
        Member {
            balancer: HeartbeatBalancer::default(),
            runs: true,
            started: now,
            last_heartbeats: BTreeMap::new(),
        }
    }
}

struct Task {
    member: usize,
    next: Timestamp,
    /// The member that its shards are at, if its service is sharded.
    pinned_to: Option<usize>,
    /// A member that it can't reach.
    unreachable: Option<usize>,
}

struct World {
    now: Timestamp,
    members: Vec<Member>,
    tasks: Vec<Task>,
    random: Pcg,
    next_comparison: Timestamp,
    moves: usize,
    /// The most heartbeats that one member got within a comparison.
    most_at_once: usize,
    got: [usize; MEMBERS],
}

fn address(member: usize) -> String {
    format!("10.0.0.{member}:80")
}

impl World {
    /// All tasks at one member; the first ones pinned to it.
    fn gathered(tasks: usize, pinned: usize) -> Self {
        let mut random = Pcg::new(7);
        let now = Timestamp::from_secs(10.0);
        let members = (0..MEMBERS).map(|_| Member::started(now)).collect();
        let tasks = (0..tasks)
            .map(|n| Task {
                member: 0,
                next: now + TimeDelta::from_secs(INTERVAL.secs() * random.unit()),
                pinned_to: (n < pinned).then_some(0),
                unreachable: None,
            })
            .collect();
        World {
            now,
            members,
            tasks,
            random,
            next_comparison: now,
            moves: 0,
            most_at_once: 0,
            got: [0; MEMBERS],
        }
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + TimeDelta::from_secs(seconds);
        while self.now < until {
            self.now = self.now + TimeDelta::from_secs(0.02);
            for task in 0..self.tasks.len() {
                if self.tasks[task].next <= self.now {
                    self.heartbeat(task);
                }
            }
            if self.now >= self.next_comparison {
                self.next_comparison = self.now + COMPARISON;
                self.compare();
            }
        }
    }

    fn heartbeat(&mut self, number: usize) {
        let now = self.now;
        let task = &mut self.tasks[number];
        let member = task.member;
        if !self.members[member].runs || task.unreachable == Some(member) {
            // The next member, after its patience.
            task.member = (member + 1 + (self.random.unit() * 3.0) as usize) % MEMBERS;
            task.next = now + TimeDelta::from_secs(1.0);
            return;
        }
        task.next = now + INTERVAL;
        self.got[member] += 1;
        if let Some(owner) = task.pinned_to.filter(|owner| self.members[*owner].runs) {
            task.member = owner;
            self.members[member].last_heartbeats.insert(number, now);
            return;
        }
        let draws = [self.random.unit(), self.random.unit()];
        let target = self.members[member]
            .balancer
            .redirect(now, &number.to_string(), draws);
        self.members[member].last_heartbeats.insert(number, now);
        if let Some(target) = target {
            self.moves += 1;
            task.member = (0..MEMBERS)
                .find(|member| address(*member) == target)
                .expect("a member");
        }
    }

    fn compare(&mut self) {
        let now = self.now;
        self.most_at_once = self
            .most_at_once
            .max(*self.got.iter().max().expect("members"));
        self.got = [0; MEMBERS];
        let told: Vec<Option<HeartbeatLoad>> = self
            .members
            .iter()
            .map(|member| member.balancer.load().filter(|_| member.runs))
            .collect();
        for number in 0..MEMBERS {
            let member = &mut self.members[number];
            if !member.runs || now - member.started < INTERVAL.times(KNOWS_ALL_HEARTBEATS) {
                continue;
            }
            let counted = INTERVAL.times(COUNTED_HEARTBEATS);
            member
                .last_heartbeats
                .retain(|_, last| now - *last < counted);
            let mut load = HeartbeatLoad::default();
            for (task, last) in &member.last_heartbeats {
                match self.tasks[*task].pinned_to {
                    Some(owner) if owner == number => load.pinned += 1,
                    Some(_) => {}
                    None if member.balancer.has_moved(&task.to_string(), *last) => {}
                    None => load.movable += 1,
                }
            }
            let others: Vec<HeartbeatTarget> = (0..MEMBERS)
                .filter(|other| *other != number)
                .filter_map(|other| {
                    Some(HeartbeatTarget {
                        control_address: address(other),
                        load: told[other]?,
                    })
                })
                .collect();
            member.balancer.compare(now, INTERVAL, load, &others);
        }
    }

    /// The most heartbeats at a member that runs, over the mean of those.
    fn most_over_mean(&self) -> f64 {
        let loads: Vec<f64> = (0..MEMBERS)
            .filter(|member| self.members[*member].runs)
            .map(|member| self.tasks.iter().filter(|t| t.member == member).count() as f64)
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        loads.iter().copied().fold(0.0, f64::max) / mean
    }
}

/// Guards against tasks that all send their heartbeats to the member that stayed up, for ever.
#[rstest]
#[case::small(180)]
#[case::target(7_200)]
fn gathered_heartbeats_are_spread(#[case] tasks: usize) {
    let mut world = World::gathered(tasks, 0);
    assert_eq!(world.most_over_mean(), MEMBERS as f64);
    world.run(30.0);
    let most = world.most_over_mean();
    assert!(most <= EVEN, "{most}");
    assert!(world.moves <= tasks, "{} moves", world.moves);
    // At first the member that they gathered at gets all; no other ever gets more than its even part and what may be moved.
    let moves = world.moves;
    world.run(60.0);
    assert!(
        world.moves <= moves + tasks / 50,
        "{} more",
        world.moves - moves
    );
}

/// What arrives at a member while others hand over is bounded: no stampede.
#[test]
fn a_member_that_comes_back_is_filled_step_by_step() {
    let tasks = 7_200;
    let mut world = World::gathered(tasks, 0);
    world.run(40.0);
    world.members[2].runs = false;
    world.run(20.0);
    assert!(world.most_over_mean() <= EVEN, "{}", world.most_over_mean());
    world.members[2] = Member::started(world.now);
    world.most_at_once = 0;
    world.run(40.0);
    assert!(world.most_over_mean() <= EVEN, "{}", world.most_over_mean());
    let heartbeats = tasks as f64 * COMPARISON.secs() / INTERVAL.secs();
    let bound = heartbeats / (MEMBERS - 1) as f64 * (1.0 + MAX_MOVED_SHARE);
    let most = world.most_at_once as f64;
    assert!(most <= bound, "{most} of {heartbeats} in one comparison");
}

/// The owner of the shards keeps its pinned tasks and gets few others.
#[test]
fn pinned_heartbeats_stay_and_the_others_fill_up() {
    let mut world = World::gathered(180, 60);
    world.run(60.0);
    let pinned = |task: &&Task| task.pinned_to.is_some();
    assert!(
        world
            .tasks
            .iter()
            .filter(pinned)
            .all(|task| task.member == 0)
    );
    let others: Vec<usize> = (1..MEMBERS)
        .map(|member| world.tasks.iter().filter(|t| t.member == member).count())
        .collect();
    // 120 movable ones on four members; the fifth has 60 already.
    assert!(
        others.iter().all(|count| (22..=38).contains(count)),
        "{others:?}"
    );
}

/// What is well spread is left as it is.
#[test]
fn even_loads_are_not_moved() {
    let mut world = World::gathered(7_200, 0);
    for (number, task) in world.tasks.iter_mut().enumerate() {
        task.member = number % MEMBERS;
    }
    world.run(60.0);
    assert_eq!(world.moves, 0);
}

/// A frozen member is in touch with nobody; once it runs again it gets its part.
#[test]
fn a_frozen_member_gets_nothing_and_is_filled_again() {
    let mut world = World::gathered(180, 0);
    world.run(40.0);
    world.members[1].runs = false;
    world.run(10.0);
    assert!(world.tasks.iter().all(|task| task.member != 1));
    world.members[1].runs = true;
    world.run(60.0);
    assert!(world.most_over_mean() <= EVEN, "{}", world.most_over_mean());
}

/// Tasks that can't reach the member with room are not sent there again and again.
#[test]
fn tasks_that_can_not_reach_a_member_are_left_alone() {
    let mut world = World::gathered(180, 0);
    for task in &mut world.tasks {
        task.unreachable = Some(4);
    }
    world.run(120.0);
    // Each of 180 may be tried once in 30 s.
    assert!(world.moves <= 180 * 5, "{} moves", world.moves);
    let reachable: Vec<usize> = (0..4)
        .map(|member| world.tasks.iter().filter(|t| t.member == member).count())
        .collect();
    assert!(reachable.iter().all(|count| *count <= 80), "{reachable:?}");
}
