//! Placement of one sharded service: turns, beats, reports, tables.

use std::hint::black_box;

use lynxmill_placement::{HeldShard, Parameters, PlacementPlanner, TaskHoldings, initial_slices};
use lynxmill_protocol::{
    LoadReport, ShardTable, SliceObservation, Task, TaskObservation, encode_frame,
};
use lynxmill_time::{TimeDelta, Timestamp};
use prost::Message;

use crate::fit::{Point, processor_us, show, time};
use crate::heap::holds;
use crate::made;

const SLICES: u32 = 64;
const TURN: f64 = 0.025;
/// Turns of a beat's interval.
const BEAT: u64 = 60;

struct World {
    plan: PlacementPlanner,
    tasks: Vec<Task>,
    edges: Vec<String>,
    now: Timestamp,
    turns: u64,
    /// Microseconds of each turn and beat, once it is steady.
    turn_us: Vec<f64>,
    beat_us: Vec<f64>,
    writes: usize,
}

impl World {
    fn new(tasks: usize, edges: usize) -> Self {
        let terms = Parameters {
            service: made::service_name(0),
            latency_target: TimeDelta::from_secs(0.6),
            lease_duration: TimeDelta::from_secs(5.0),
            max_lease_duration: TimeDelta::from_secs(5.0),
            edge_lease: TimeDelta::from_secs(2.5),
            interval: TimeDelta::from_secs(1.0),
            drain: TimeDelta::from_secs(3.0),
            heartbeat_grace: TimeDelta::from_secs(2.0),
            warm_up: TimeDelta::from_secs(3.0),
            max_slices: 64,
        };
        let berth = ShardTable {
            term: 1,
            owner: "10.0.0.1".to_owned(),
            slices: initial_slices(SLICES),
        };
        let mut plan = PlacementPlanner::new(Timestamp::default(), 7, terms, berth);
        let edges: Vec<String> = (0..edges).map(made::edge_name).collect();
        edges.iter().for_each(|name| plan.edge_joined(name));
        let tasks = made::tasks(tasks, 1, 1);
        let (turn_us, beat_us) = (Vec::new(), Vec::new());
        World {
            plan,
            tasks,
            edges,
            now: Timestamp::default(),
            turns: 0,
            turn_us,
            beat_us,
            writes: 0,
        }
    }

    fn step(&mut self, holdings: &mut [Vec<HeldShard>]) {
        self.turns += 1;
        self.now = self.now + TimeDelta::from_secs(TURN);
        let begun = processor_us();
        let put = self.plan.step(self.now, &self.tasks, &|_| false);
        self.turn_us.push(processor_us() - begun);
        if let Some(berth) = put.write {
            self.writes += 1;
            self.plan.written(berth);
        }
        if let Some(table) = put.table {
            self.edges.iter().for_each(|name| {
                self.plan
                    .edge_acknowledged(name, table.term, table.sequence)
            });
        }
        for (i, held) in holdings.iter_mut().enumerate() {
            if self.turns % BEAT != i as u64 % BEAT {
                continue;
            }
            let told = TaskHoldings {
                id: self.tasks[i].id.clone(),
                held: held.clone(),
                released: Vec::new(),
            };
            let begun = processor_us();
            let grants = self.plan.heartbeat(self.now, &told);
            self.beat_us.push(processor_us() - begun);
            *held = grants
                .iter()
                .map(|grant| HeldShard {
                    from: grant.from,
                    to: grant.to,
                    generation: grant.generation,
                })
                .collect();
        }
    }

    /// Ten seconds to come to rest, then as many turns as are measured.
    fn play(tasks: usize, edges: usize, turns: usize) -> World {
        let mut world = World::new(tasks, edges);
        let mut holdings = vec![Vec::new(); tasks];
        (0..400).for_each(|_| world.step(&mut holdings));
        (world.turn_us, world.beat_us, world.writes) = (Vec::new(), Vec::new(), 0);
        (0..turns).for_each(|_| world.step(&mut holdings));
        world
    }
}

fn report(rows: usize) -> LoadReport {
    let task = |i| TaskObservation {
        id: made::id(i),
        attempts: 3,
        failures: 0,
        mean_latency_ms: 61.7,
        in_flight: 2,
    };
    let slice = |i| SliceObservation {
        service: made::service_name(0),
        from: (i as u32 % SLICES) * 1024,
        requests: 2,
    };
    LoadReport {
        rollouts: Vec::new(),
        interval_ms: 1_000,
        tasks: (0..rows).map(task).collect(),
        slices: (0..rows).map(slice).collect(),
    }
}

pub fn run(runs: usize) {
    let turns = runs.max(10) * 20;
    let by_edges = [12, 60, 200, 735].map(|n| (n, World::play(36, n, turns)));
    let of = |worlds: &[(usize, World)], pick: fn(&World) -> &Vec<f64>| -> Vec<Point> {
        worlds
            .iter()
            .map(|(n, w)| Point::of(*n, pick(w).clone()))
            .collect()
    };
    show(
        "slices: PlacementPlanner::turn, 36 tasks",
        "us",
        "edge",
        &of(&by_edges, |w| &w.turn_us),
    );
    show(
        "slices: PlacementPlanner::beat, 36 tasks",
        "us",
        "edge",
        &of(&by_edges, |w| &w.beat_us),
    );
    for edges in [12, 735] {
        let by_tasks = [8, 16, 36, 64].map(|n| (n, World::play(n, edges, turns)));
        show(
            &format!("slices: PlacementPlanner::turn, {edges} edges"),
            "us",
            "task",
            &of(&by_tasks, |w| &w.turn_us),
        );
        show(
            &format!("slices: PlacementPlanner::beat, {edges} edges"),
            "us",
            "task",
            &of(&by_tasks, |w| &w.beat_us),
        );
    }
    let rows = [8, 36, 150];
    let taken = |n: usize| {
        let (mut world, report) = (World::play(36, 12, 10), report(n));
        Point::of(n, time(runs, 10, || world.plan.report(black_box(&report))))
    };
    show(
        "slices: PlacementPlanner::report",
        "us",
        "row",
        &rows.map(taken),
    );
    let read = |n: usize| {
        let bytes = report(n).encode_to_vec();
        Point::of(
            n,
            time(runs, 10, || {
                drop(black_box(LoadReport::decode(bytes.as_slice())))
            }),
        )
    };
    show("slices: report decoded", "us", "row", &rows.map(read));
    let table = World::play(36, 12, 10).plan.complete_update();
    println!(
        "slices: a whole table of 64 slices: {} B",
        encode_frame(&table).len()
    );
    let one = lynxmill_protocol::ShardTableUpdate {
        entries: table.entries[..1].to_vec(),
        is_complete: false,
        ..table
    };
    println!(
        "slices: a change of one slice: {} B",
        encode_frame(&one).len()
    );
    let memory = |n: usize| Point::exact(n, holds(|| World::play(36, n, 10).plan).0);
    show(
        "slices: memory of a PlacementPlanner, 36 tasks",
        "B",
        "edge",
        &[12, 60, 200, 735].map(memory),
    );
}
