//! Busy slices are cut, stay with their owner meanwhile, and part of them moves on.

use std::collections::BTreeMap;

use lynxmill_placement::{
    HeldShard, Parameters, PlacementPlanner, ReleasedShard, TaskHoldings, initial_slices,
};
use lynxmill_protocol::{LoadReport, ShardTable, SliceObservation, Task, TaskObservation};
use lynxmill_time::{TimeDelta, Timestamp};

const TURN: i64 = 25;
const BUSY: u32 = 20_000;

fn ms(ms: i64) -> TimeDelta {
    TimeDelta::from_micros(ms * 1000)
}

fn terms() -> Parameters {
    Parameters {
        service: "kv".to_owned(),
        latency_target: ms(300),
        lease_duration: ms(5000),
        max_lease_duration: ms(5000),
        edge_lease: ms(2500),
        interval: ms(1000),
        drain: ms(2000),
        heartbeat_grace: ms(1900),
        warm_up: ms(1000),
        max_slices: 100,
    }
}

/// Four tasks that beat and one edge that sends nearly all to one key; what is in force of its table.
struct World {
    now: Timestamp,
    plan: PlacementPlanner,
    register: ShardTable,
    table: BTreeMap<u32, (u32, String, bool)>,
    held: BTreeMap<String, Vec<(u32, u32, u64)>>,
    mark: u64,
}

fn held_shard((from, to, generation): &(u32, u32, u64)) -> HeldShard {
    HeldShard {
        from: *from,
        to: *to,
        generation: *generation,
    }
}

impl World {
    fn owner(&self, key: u32) -> Option<&str> {
        let (_, row) = self.table.range(..=key).next_back()?;
        (key <= row.0 && !row.2).then_some(row.1.as_str())
    }

    fn beat(&mut self, id: &str) {
        let mut held = self.held.remove(id).unwrap_or_default();
        let keys =
            |rows: &[(u32, u32, u64)], key: u32| rows.iter().any(|r| r.0 <= key && key <= r.1);
        let mut told = TaskHoldings {
            id: id.to_owned(),
            held: held.iter().map(held_shard).collect(),
            ..TaskHoldings::default()
        };
        let grants = self.plan.heartbeat(self.now, &told);
        let next: Vec<_> = grants
            .iter()
            .map(|g| (g.from, g.to, g.generation))
            .collect();
        // What is left out it lets go at once and says so.
        let gone: Vec<_> = held
            .iter()
            .flat_map(|r| (r.0..=r.1).step_by(8))
            .filter(|k| !keys(&next, *k))
            .collect();
        held = next;
        if !gone.is_empty() {
            told.held = held.iter().map(held_shard).collect();
            told.released = gone
                .iter()
                .map(|k| ReleasedShard {
                    from: *k,
                    to: k + 7,
                    handover: "handed".to_owned(),
                })
                .collect();
            self.plan.heartbeat(self.now, &told);
        }
        self.held.insert(id.to_owned(), held);
    }

    fn run(&mut self, span: i64, slow: bool) {
        let ids = ["a", "b", "c", "d"];
        let task = |id: &&str| Task {
            id: (*id).to_owned(),
            service: "kv".to_owned(),
            slots: 4,
            ..Task::default()
        };
        let tasks: Vec<Task> = ids.iter().map(task).collect();
        for turn in 0..span / TURN {
            self.now = self.now + ms(TURN);
            if turn % 20 == 0 {
                ids.iter().for_each(|id| self.beat(id));
            }
            if turn % 40 == 0 {
                let from = self
                    .table
                    .range(..=BUSY)
                    .next_back()
                    .map_or(0, |(from, _)| *from);
                let owner = self.owner(BUSY).unwrap_or_default().to_owned();
                let seen = |id: &&str| {
                    let busy = slow && **id == owner;
                    let (mean_latency_ms, in_flight) = if busy { (400.0, 9) } else { (30.0, 1) };
                    TaskObservation {
                        id: (*id).to_owned(),
                        attempts: 40,
                        failures: 0,
                        mean_latency_ms,
                        in_flight,
                    }
                };
                let slices = vec![SliceObservation {
                    service: "kv".to_owned(),
                    from,
                    requests: 100,
                }];
                self.plan.report(&LoadReport {
                    rollouts: Vec::new(),
                    interval_ms: 1000,
                    tasks: ids.iter().map(seen).collect(),
                    slices,
                });
            }
            self.plan.edge_acknowledged("e", 1, self.mark);
            let put = self.plan.step(self.now, &tasks, &|_| false);
            if let Some(table) = put.table {
                self.mark = table.sequence;
                for row in table.entries {
                    self.table.insert(row.from, (row.to, row.owner, row.closed));
                }
            }
            if let Some(berth) = put.write {
                self.register = berth.clone();
                self.plan.written(berth);
            }
        }
    }
}

fn world() -> World {
    let register = ShardTable {
        term: 1,
        slices: initial_slices(16),
        ..ShardTable::default()
    };
    let now = Timestamp::from_secs(50.0);
    let mut plan = PlacementPlanner::new(now, 7, terms(), register.clone());
    plan.edge_joined("e");
    let (table, held) = (BTreeMap::new(), BTreeMap::new());
    World {
        now,
        plan,
        register,
        table,
        held,
        mark: 0,
    }
}

#[test]
fn a_busy_slice_is_cut_and_served_by_its_owner_all_the_while() {
    let mut world = world();
    world.run(6000, false);
    let owner = world.owner(BUSY).unwrap().to_owned();
    assert!(world.table.len() >= 16);
    let before: Vec<(u32, String)> = (0..65536)
        .step_by(64)
        .map(|k| (k, world.owner(k).unwrap().to_owned()))
        .collect();
    for _ in 0..16 {
        world.run(500, false);
        assert_eq!(world.owner(BUSY), Some(owner.as_str()));
    }
    let (from, row) = world.table.range(..=BUSY).next_back().unwrap();
    assert!(row.0 - from < 300, "{from} to {}", row.0);
    assert!(
        before
            .iter()
            .all(|(key, owner)| world.owner(*key) == Some(owner)),
        "nothing moved for that"
    );
    // All keys are somebody's, once.
    let rows: Vec<(u32, u32)> = world
        .table
        .iter()
        .map(|(from, row)| (*from, row.0))
        .collect();
    assert!(
        rows.windows(2).all(|w| w[0].1 + 1 == w[1].0)
            && rows[0].0 == 0
            && rows[rows.len() - 1].1 == 65535
    );
}

#[test]
fn what_a_slow_owner_has_beside_the_busy_keys_moves_and_generations_rise() {
    let mut world = world();
    world.run(6000, false);
    let owner = world.owner(BUSY).unwrap().to_owned();
    let fences: BTreeMap<u32, u64> = world
        .register
        .slices
        .iter()
        .map(|s| (s.from, s.generation))
        .collect();
    world.run(40_000, true);
    let moved = world
        .register
        .slices
        .iter()
        .filter(|s| s.generation > 1)
        .count();
    assert!(moved > 0, "a slow owner above the mean hands over");
    for slice in &world.register.slices {
        let (_, fence) = fences.range(..=slice.from).next_back().unwrap();
        assert!(slice.generation >= *fence);
    }
    assert!(world.register.slices.len() <= 100);
    assert!(
        world.owner(BUSY).is_some(),
        "served in the end, by {owner} or another"
    );
}
