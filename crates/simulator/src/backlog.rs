//! One member is down through hundreds of changes and comes back over a slow link: how far the register of
//! changes grows meanwhile, and how long the member takes to hold all of them again.

use std::collections::VecDeque;

use lynxmill_configuration::Item;
use lynxmill_control_node::NodeReport;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::disk::Unsynced;
use crate::faults::Plan;
use crate::network::Endpoint;
use crate::operator::{PLAIN, first_call, route};
use crate::random::Random;
use crate::violation::Violation;
use crate::world::{RunOptions, World};

/// Between two looks.
const LOOK: TimeDelta = TimeDelta::from_micros(50_000);
/// Routes in one call of the first configuration.
const CHUNK: usize = 100;
/// A run that takes longer than this is given up.
const LONGEST: TimeDelta = TimeDelta::from_micros(3_600_000_000);
/// The member that is down.
const DOWN: usize = 2;

/// What is sent while the member is down.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    pub routes: usize,
    pub changes: usize,
    /// Changes in one call.
    pub per_call: usize,
    /// The returning member's link.
    pub megabits_per_s: f64,
}

/// What was measured, in simulated time.
#[derive(Clone, Debug)]
pub struct BacklogReport {
    /// The most changes that a register held, and bytes, while the member was down and came back.
    pub most_changes: usize,
    pub most_bytes: usize,
    /// From the member's start until it has merged all and votes.
    pub caught_up_after: Option<TimeDelta>,
    pub votes_after: Option<TimeDelta>,
    /// How long all changes took.
    pub changes_took: TimeDelta,
    pub violation: Option<Violation>,
}

fn padded(name: &str, version: u64, mark: u64) -> Item {
    // About 900 bytes, as the routes of a large site have.
    let name = format!("{name}-{}", "x".repeat(200));
    route(&name, &name, PLAIN, version, mark)
}

impl Backlog {
    fn script(&self, seed: u64) -> (VecDeque<Vec<Item>>, VecDeque<Vec<Item>>) {
        let mut random = Random::new(seed, "backlog");
        let name = |place: usize| format!("bulk-{place}");
        let all: Vec<Item> = (0..self.routes)
            .map(|place| padded(&name(place), 1, 0))
            .collect();
        let mut first = VecDeque::from([first_call()]);
        first.extend(all.chunks(CHUNK).map(<[Item]>::to_vec));
        let changes: Vec<Item> = (0..self.changes)
            .map(|number| {
                padded(
                    &name(random.below(self.routes)),
                    2 + number as u64,
                    number as u64,
                )
            })
            .collect();
        (
            first,
            changes
                .chunks(self.per_call.max(1))
                .map(<[Item]>::to_vec)
                .collect(),
        )
    }
}

struct Measured {
    most_changes: usize,
    most_bytes: usize,
}

impl Measured {
    fn look(&mut self, world: &World) {
        for report in world.reports().into_iter().flatten() {
            self.most_changes = self.most_changes.max(report.pending_changes.0);
            self.most_bytes = self.most_bytes.max(report.pending_changes.1);
        }
    }
}

/// Plays until a condition holds, or for too long; whether it holds.
fn play(world: &mut World, measured: &mut Measured, done: impl Fn(&World) -> bool) -> bool {
    let end = world.now + LONGEST;
    while !done(world) {
        if world.now >= end || world.ledger.violation.is_some() {
            return false;
        }
        world.run_until(world.now + LOOK);
        world.now = world.now.max(world.now + LOOK);
        measured.look(world);
    }
    true
}

fn has_sent_all(world: &World) -> bool {
    let operator = &world.operators[0];
    operator.script.is_empty()
        && operator
            .under_way()
            .is_none_or(|(_, number)| number.is_none())
}

fn merged(report: &Option<NodeReport>) -> u64 {
    report.as_ref().map_or(0, |report| report.merged)
}

/// Plays it and measures.
pub fn backlog(seed: u64, of: &Backlog) -> BacklogReport {
    let calm_at = Timestamp::default() + LONGEST + LONGEST;
    let plan = Plan {
        operators: 1,
        orders: usize::MAX,
        tasks: 2,
        edges: 1,
        calm_at,
        ..Plan::calm(seed, 3)
    };
    let mut world = World::new(plan, RunOptions::default());
    let mut measured = Measured {
        most_changes: 0,
        most_bytes: 0,
    };
    let (first, changes) = of.script(seed);
    world.operators[0].script = first;
    play(&mut world, &mut measured, has_sent_all);
    world.end_process(DOWN, true, Unsynced::Lost);
    (measured.most_changes, measured.most_bytes) = (0, 0);
    let began = world.now;
    world.operators[0].script = changes;
    play(&mut world, &mut measured, has_sent_all);
    let changes_took = world.now - began;
    world
        .network
        .limit(Endpoint::Machine(DOWN), of.megabits_per_s);
    let returned = world.now;
    world.start(DOWN, false);
    let votes = |world: &World| {
        world.reports()[DOWN]
            .as_ref()
            .is_some_and(|report| report.is_voter)
    };
    let holds_all = |world: &World| {
        let reports = world.reports();
        votes(world) && merged(&reports[DOWN]) >= merged(&reports[0]).max(merged(&reports[1]))
    };
    let votes_after = play(&mut world, &mut measured, votes).then(|| world.now - returned);
    let caught_up_after = play(&mut world, &mut measured, holds_all).then(|| world.now - returned);
    BacklogReport {
        most_changes: measured.most_changes,
        most_bytes: measured.most_bytes,
        caught_up_after,
        votes_after,
        changes_took,
        violation: world
            .ledger
            .violation
            .as_ref()
            .map(|(_, violation)| violation.clone()),
    }
}
