//! A custodian's work step by step: a scripted task or edge at a time.

use std::collections::BTreeMap;

use lynxmill_placement::{
    Grant, HeldShard, Parameters, PlacementPlanner, PlacementStep, ReleasedShard, TaskHoldings,
    initial_slices,
};
use lynxmill_protocol::{ShardEntry, ShardTable, ShardTableUpdate, Slice, Task, TaskState};
use lynxmill_time::{TimeDelta, Timestamp};

fn ms(ms: i64) -> TimeDelta {
    TimeDelta::from_micros(ms * 1000)
}

const TURN: i64 = 25;

fn terms() -> Parameters {
    Parameters {
        service: "kv".to_owned(),
        latency_target: ms(500),
        lease_duration: ms(2000),
        max_lease_duration: ms(2000),
        edge_lease: ms(1000),
        interval: ms(1000),
        drain: ms(2000),
        heartbeat_grace: ms(650),
        warm_up: ms(1000),
        max_slices: 8,
    }
}

fn held_shard(grant: &Grant) -> HeldShard {
    HeldShard {
        from: grant.from,
        to: grant.to,
        generation: grant.generation,
    }
}

fn released_all(handover: &str) -> ReleasedShard {
    ReleasedShard {
        from: 0,
        to: 65535,
        handover: handover.to_owned(),
    }
}

/// A custodian with prompt edges and tasks, as far as they aren't told otherwise.
struct Rig {
    now: Timestamp,
    plan: PlacementPlanner,
    register: ShardTable,
    tasks: BTreeMap<String, Task>,
    held: BTreeMap<String, Vec<Grant>>,
    released: BTreeMap<String, Vec<ReleasedShard>>,
    prompt: Vec<&'static str>,
    /// What writes come to: true if they are known to be done.
    writes: bool,
    mark: u64,
    put: PlacementStep,
    tables: Vec<ShardTableUpdate>,
}

impl Rig {
    fn over(register: ShardTable) -> Self {
        let now = Timestamp::from_secs(50.0);
        Rig {
            now,
            plan: PlacementPlanner::new(now, 3, terms(), register.clone()),
            register,
            tasks: BTreeMap::new(),
            held: BTreeMap::new(),
            released: BTreeMap::new(),
            prompt: Vec::new(),
            writes: true,
            mark: 0,
            put: PlacementStep::default(),
            tables: Vec::new(),
        }
    }

    /// Tasks that own eight slices among them, and edges.
    fn settled(tasks: &[&str], edges: &[&'static str]) -> Self {
        let mut rig = Rig::over(ShardTable {
            term: 1,
            slices: initial_slices(8),
            ..ShardTable::default()
        });
        edges.iter().for_each(|edge| rig.join(edge));
        tasks.iter().for_each(|id| rig.task(id));
        rig.run(3000, tasks);
        assert!(
            rig.register
                .slices
                .iter()
                .all(|s| tasks.contains(&s.owner.as_str()))
        );
        rig
    }

    fn join(&mut self, edge: &'static str) {
        self.plan.edge_joined(edge);
        self.prompt.push(edge);
    }

    fn silence(&mut self, edge: &str) {
        self.prompt.retain(|e| *e != edge);
    }

    fn task(&mut self, id: &str) {
        let (id, service, zone) = (id.to_owned(), "kv".to_owned(), format!("z{id}"));
        self.tasks.insert(
            id.clone(),
            Task {
                id,
                service,
                zone,
                slots: 4,
                ..Task::default()
            },
        );
    }

    fn drain(&mut self, id: &str) {
        self.tasks.get_mut(id).unwrap().state = TaskState::Draining as i32;
    }

    fn turn(&mut self) {
        self.now = self.now + ms(TURN);
        for edge in &self.prompt {
            self.plan
                .edge_acknowledged(edge, self.register.term, self.mark);
        }
        let tasks: Vec<Task> = self.tasks.values().cloned().collect();
        self.put = self.plan.step(self.now, &tasks, &|zone| zone == "empty");
        if let Some(table) = &self.put.table {
            self.mark = table.sequence;
            self.tables.push(table.clone());
        }
        match self.put.write.clone() {
            Some(_) if !self.writes => self.plan.write_failed(),
            Some(berth) => {
                self.register = berth.clone();
                self.plan.written(berth);
            }
            None => {}
        }
    }

    /// Turns for so long; these tasks beat twice a second, and at once when they have let go of keys.
    fn run(&mut self, span: i64, beating: &[&str]) {
        for i in 0..span / TURN {
            self.turn();
            for id in beating {
                if i % 20 == 0 || self.released.get(*id).is_some_and(|r| !r.is_empty()) {
                    self.beat(id);
                }
            }
        }
    }

    fn beat(&mut self, id: &str) -> Vec<Grant> {
        let held = self.held.remove(id).unwrap_or_default();
        let holdings = held.iter().map(held_shard).collect();
        let released = self.released.remove(id).unwrap_or_default();
        let grants = self.plan.heartbeat(
            self.now,
            &TaskHoldings {
                id: id.to_owned(),
                held: holdings,
                released,
            },
        );
        let gone = held
            .iter()
            .filter(|g| !grants.iter().any(|now| now.from == g.from));
        let token = |g: &Grant| ReleasedShard {
            from: g.from,
            to: g.to,
            handover: format!("{id}-{}", g.from),
        };
        self.released
            .insert(id.to_owned(), gone.map(token).collect());
        self.held.insert(id.to_owned(), grants.clone());
        grants
    }

    fn owned(&self, id: &str) -> usize {
        self.register
            .slices
            .iter()
            .filter(|s| s.owner == id)
            .count()
    }

    fn fences(&self) -> Vec<u64> {
        self.register.slices.iter().map(|s| s.generation).collect()
    }

    fn row(&self, from: u32) -> ShardEntry {
        self.plan
            .complete_update()
            .entries
            .into_iter()
            .find(|r| r.from == from)
            .unwrap()
    }

    fn some_of(&self, id: &str) -> u32 {
        self.register
            .slices
            .iter()
            .find(|s| s.owner == id)
            .unwrap()
            .from
    }
}

// --- first placement ---

#[test]
fn keys_are_divided_without_gap() {
    for count in [1, 3, 7, 64] {
        let slices = initial_slices(count);
        assert_eq!((slices[0].from, slices.last().unwrap().to), (0, 65535));
        assert!(
            slices.windows(2).all(|w| w[0].to + 1 == w[1].from),
            "{count}"
        );
    }
}

#[test]
fn first_placement_gathers_tasks_and_spreads_evenly() {
    let mut rig = Rig::over(ShardTable {
        term: 1,
        slices: initial_slices(8),
        ..ShardTable::default()
    });
    rig.join("e");
    rig.task("a");
    rig.run(300, &["a"]);
    ["b", "c", "d"].iter().for_each(|id| rig.task(id));
    rig.run(300, &["a", "b", "c", "d"]);
    assert_eq!(
        (rig.owned(""), rig.held["a"].len()),
        (8, 0),
        "placed before others could be heard of"
    );
    rig.run(1500, &["a", "b", "c", "d"]);
    let owned = ["a", "b", "c", "d"].map(|id| (rig.owned(id), rig.held[id].len()));
    assert_eq!(owned, [(2, 2); 4]);
    assert_eq!(rig.fences(), [1; 8]);
}

/// With 64 slices, 68 of 132 tasks held no key and stood idle (mfgw-kitchen-large).
#[test]
fn every_one_of_many_tasks_gets_keys_at_first() {
    let mut rig = Rig::over(ShardTable {
        term: 1,
        slices: initial_slices(64),
        ..ShardTable::default()
    });
    rig.join("e");
    let ids: Vec<String> = (0..132).map(|number| format!("t{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    ids.iter().for_each(|id| rig.task(id));
    rig.run(2500, &ids);
    assert_eq!(rig.register.slices.len(), 256);
    assert!(ids.iter().all(|id| (1..=2).contains(&rig.owned(id))));
    assert!(ids.iter().all(|id| rig.held[*id].len() == rig.owned(id)));
    let rows = rig.plan.complete_update().entries;
    assert_eq!(rows.len(), 256);
    assert!(rows.iter().all(|row| !row.closed));
}

/// One task that is left with all of 256 slices is granted what an answer of 4 KiB can name; edges send nothing to
/// the rest.
#[test]
fn grants_fit_into_an_answer_however_many_slices_a_task_owns() {
    let slices = initial_slices(256).into_iter().enumerate();
    let owned = slices.map(|(index, slice)| Slice {
        owner: "a".to_owned(),
        generation: index as u64,
        ..slice
    });
    let mut rig = Rig::over(ShardTable {
        term: 2,
        slices: owned.collect(),
        ..ShardTable::default()
    });
    rig.join("e");
    rig.task("a");
    let grants = rig.beat("a");
    assert_eq!(grants.len(), 95);
    let row = |g: &Grant| {
        format!(
            "[{},{},{},\"0123456789abcdef\"],",
            g.from, g.to, g.generation
        )
    };
    assert!(grants.iter().map(|g| row(g).len()).sum::<usize>() < 3900);
}

#[test]
fn nothing_is_granted_before_it_is_written() {
    let mut rig = Rig::over(ShardTable {
        term: 1,
        slices: initial_slices(8),
        ..ShardTable::default()
    });
    (rig.writes, rig.prompt) = (false, Vec::new());
    rig.task("a");
    rig.run(2000, &["a"]);
    assert!(
        rig.put.write.is_some(),
        "an unwritten value is to be tried again"
    );
    assert!(
        rig.beat("a").is_empty() && rig.plan.complete_update().entries.iter().all(|r| r.closed)
    );
    rig.writes = true;
    rig.turn();
    assert!(rig.row(0).closed, "edges may send only what is granted");
    assert_eq!(rig.beat("a").len(), 8);
    assert!(!rig.row(0).closed);
}

// --- moves ---

#[test]
fn a_draining_tasks_slices_move_at_once_with_its_handovers() {
    let mut rig = Rig::settled(&["a", "b"], &["e", "f"]);
    rig.drain("a");
    let (mut moved, before) = (BTreeMap::new(), rig.now);
    while rig.owned("a") > 0 && rig.now - before < ms(1000) {
        rig.run(TURN, &["a"]);
    }
    assert!(rig.now - before < ms(400), "{:?}", rig.now - before);
    // The answer may be lost: handovers come until it is seen to hold the keys.
    for _ in 0..2 {
        rig.held.insert("b".to_owned(), Vec::new());
        moved = rig
            .beat("b")
            .into_iter()
            .map(|g| (g.from, (g.generation, g.handover)))
            .collect();
    }
    let carried: Vec<_> = moved
        .iter()
        .filter(|(_, (_, handover))| !handover.is_empty())
        .collect();
    assert_eq!(carried.len(), 4);
    carried
        .iter()
        .for_each(|(from, told)| assert_eq!(**told, (2, format!("a-{from}"))));
    assert!(
        rig.beat("b").iter().all(|g| g.handover.is_empty()),
        "it holds them already"
    );
}

#[test]
fn an_evacuated_zones_slices_move() {
    let mut rig = Rig::settled(&["a", "b"], &["e"]);
    rig.tasks.get_mut("a").unwrap().zone = "empty".to_owned();
    rig.run(1200, &["a", "b"]);
    assert_eq!(
        (rig.owned("a"), rig.owned("b"), rig.held["b"].len()),
        (0, 8, 8)
    );
}

#[test]
fn a_silent_tasks_slices_wait_for_its_hold() {
    let mut rig = Rig::settled(&["a", "b"], &["e"]);
    rig.beat("a");
    let last = rig.now;
    rig.tasks.get_mut("a").unwrap().timed_out = true;
    while rig.owned("a") > 0 {
        rig.run(TURN, &["b"]);
    }
    let waited = rig.now - last;
    assert!(waited > ms(2041) && waited < ms(2300), "{waited:?}");
}

#[test]
fn a_handover_that_comes_in_the_midst_of_the_write_is_carried() {
    let mut rig = Rig::settled(&["a", "b"], &["e"]);
    let from = rig.some_of("a");
    rig.tasks.get_mut("a").unwrap().timed_out = true;
    rig.writes = false;
    rig.run(2500, &["b"]);
    // Sent before its hold was over, long under way.
    rig.released
        .insert("a".to_owned(), vec![released_all("late")]);
    rig.beat("a");
    rig.writes = true;
    rig.turn();
    let grants = rig.beat("b");
    assert_eq!(
        grants.iter().find(|g| g.from == from).unwrap().handover,
        "late"
    );
}

#[test]
fn a_sign_off_frees_at_once() {
    let mut rig = Rig::settled(&["a", "b"], &["e"]);
    rig.beat("a");
    rig.tasks.get_mut("a").unwrap().state = TaskState::Gone as i32;
    rig.plan.sign_off("a");
    rig.run(200, &["b"]);
    assert_eq!(rig.owned("b"), 8);
}

#[test]
fn what_it_is_still_to_hold_is_not_released() {
    let mut rig = Rig::settled(&["a", "b"], &["e"]);
    // From before its last grant, told again as that beat's answer was lost.
    rig.released
        .insert("a".to_owned(), vec![released_all("old")]);
    assert_eq!(rig.beat("a").len(), 4);
    rig.tasks.get_mut("a").unwrap().timed_out = true;
    rig.run(1500, &["b"]);
    assert_eq!(rig.owned("a"), 4, "moved within the hold");
}

#[test]
fn a_silent_joined_edge_holds_the_move_until_it_reopens() {
    let mut rig = Rig::settled(&["a", "b"], &["e", "f"]);
    rig.silence("f");
    // Full for a while: not draining, so that it may have them back.
    rig.tasks.get_mut("a").unwrap().zone = "empty".to_owned();
    rig.run(2000, &["a", "b"]);
    assert_eq!(
        (rig.owned("a"), rig.held["a"].len()),
        (4, 0),
        "let go, but not moved"
    );
    rig.tasks.get_mut("a").unwrap().zone = "za".to_owned();
    let fences = rig.fences();
    rig.run(1500, &["a", "b"]);
    assert_eq!(rig.held["a"].len(), 0);
    rig.run(1500, &["a", "b"]);
    assert_eq!(
        (rig.held["a"].len(), rig.fences()),
        (4, fences),
        "four leases after the shut"
    );
    assert!(!rig.row(rig.some_of("a")).closed);
}

#[test]
fn an_edge_whose_stream_dropped_is_waited_for_a_lease() {
    let mut rig = Rig::settled(&["a", "b"], &["e", "f"]);
    rig.silence("f");
    rig.plan.edge_parted("f");
    rig.drain("a");
    rig.run(900, &["a", "b"]);
    assert_eq!(rig.owned("a"), 4);
    rig.run(300, &["a", "b"]);
    assert_eq!(rig.owned("a"), 0);
}

#[test]
fn answers_to_older_marks_and_other_terms_count_for_nothing() {
    let mut rig = Rig::settled(&["a", "b"], &["e", "f"]);
    rig.silence("f");
    let older = rig.mark;
    rig.drain("a");
    rig.run(100, &["a", "b"]);
    let (term, mark) = (rig.register.term, rig.mark);
    assert!(mark > older);
    rig.plan.edge_acknowledged("f", term, older);
    rig.plan.edge_acknowledged("f", term - 1, mark);
    rig.plan.edge_acknowledged("f", term + 1, mark);
    rig.plan.edge_acknowledged("nobody", term, mark);
    rig.run(700, &["a", "b"]);
    // It lets go with its next beat, but is the owner until the last edge has answered.
    assert_eq!((rig.owned("a"), rig.held["a"].len()), (4, 0));
    assert!(rig.row(rig.some_of("a")).closed);
    let mark = rig.mark;
    rig.plan.edge_acknowledged("f", term, mark);
    rig.run(200, &["a", "b"]);
    rig.beat("a");
    rig.run(200, &["a", "b"]);
    assert_eq!(rig.owned("a"), 0);
}

#[test]
fn a_mark_that_was_never_sent_is_no_answer_to_later_ones() {
    let mut rig = Rig::settled(&["a", "b"], &["e", "f"]);
    rig.silence("f");
    rig.plan.edge_acknowledged("f", rig.register.term, u64::MAX);
    rig.drain("a");
    rig.run(800, &["a", "b"]);
    assert_eq!(rig.owned("a"), 4);
}

// --- tables ---

#[test]
fn only_rows_that_changed_are_pushed() {
    let mut rig = Rig::settled(&["a", "b"], &["e"]);
    assert!(rig.tables[0].is_complete && rig.tables[0].entries.len() == 8);
    rig.tables.clear();
    rig.run(1000, &["a", "b"]);
    assert!(rig.tables.is_empty(), "{:?}", rig.tables);
    let moved: Vec<u32> = rig
        .register
        .slices
        .iter()
        .filter(|s| s.owner == "a")
        .map(|s| s.from)
        .collect();
    rig.drain("a");
    rig.run(1600, &["a", "b"]);
    assert!(
        rig.tables
            .iter()
            .all(|t| !t.is_complete && t.entries.iter().all(|r| moved.contains(&r.from)))
    );
    let last = rig
        .tables
        .iter()
        .flat_map(|t| &t.entries)
        .filter(|r| !r.closed && r.owner == "b");
    assert_eq!(last.count(), moved.len(), "each opens once");
}

#[test]
fn a_joiner_gets_all_with_what_is_shut() {
    let mut rig = Rig::settled(&["a", "b"], &["e", "f"]);
    rig.silence("f");
    rig.drain("a");
    rig.run(100, &["b"]);
    let early = rig.plan.complete_update();
    assert!(
        early.entries.iter().all(|r| !r.closed),
        "served until its owner can be told to let go"
    );
    assert_eq!(rig.beat("a"), []);
    rig.turn();
    let table = rig.plan.complete_update();
    assert!(
        table.is_complete
            && table.sequence == rig.mark
            && table.term == 1
            && table.entries.len() == 8
    );
    assert!(table.entries.iter().all(|r| r.closed == (r.owner == "a")));
    assert_eq!(rig.plan.counts(), (4, 2));
}

// --- take-over ---

#[test]
fn a_successor_renews_at_once_and_moves_nothing_within_the_longest_hold() {
    let before = Rig::settled(&["a", "b"], &[]).register;
    let mut rig = Rig::over(ShardTable {
        term: 2,
        ..before.clone()
    });
    rig.join("e");
    ["a", "b", "c"].iter().for_each(|id| rig.task(id));
    rig.turn();
    let grants = rig.beat("b");
    assert_eq!(grants.len(), 4);
    assert!(grants.iter().all(|g| {
        before
            .slices
            .iter()
            .any(|s| (s.from, s.generation) == (g.from, g.generation))
    }));
    let took = rig.now;
    rig.tasks.get_mut("a").unwrap().timed_out = true;
    while rig.owned("a") > 0 {
        rig.run(TURN, &["b", "c"]);
    }
    assert!(
        rig.now - took > ms(2041),
        "a may have been granted its keys just before"
    );
    assert_eq!(rig.owned("b"), 4);
}

#[test]
fn what_was_released_to_a_successor_may_move_sooner() {
    let before = Rig::settled(&["a", "b"], &[]).register;
    let mut rig = Rig::over(ShardTable { term: 2, ..before });
    rig.join("e");
    ["a", "b"].iter().for_each(|id| rig.task(id));
    rig.run(100, &["a", "b"]);
    rig.drain("a");
    rig.run(1500, &["a", "b"]);
    assert_eq!(rig.held["b"].len(), 8);
    assert_eq!(
        rig.held["b"].iter().filter(|g| g.generation == 2).count(),
        4
    );
}

// --- who has answered a shut gets none of it back ---

#[test]
fn an_edge_that_comes_back_brings_nothing_back() {
    let mut rig = Rig::settled(&["a", "b"], &["e", "f"]);
    rig.silence("f");
    rig.plan.edge_parted("f");
    rig.drain("a");
    rig.run(600, &["a"]);
    assert_eq!(
        (rig.held["a"].len(), rig.owned("a")),
        (0, 4),
        "let go, the edge is waited for"
    );
    rig.plan.edge_joined("f");
    assert_eq!(rig.beat("a"), []);
}

#[test]
fn an_owner_that_never_held_it_gets_nothing_once_it_is_to_move_on() {
    let mut rig = Rig::settled(&["a", "b"], &["e", "f"]);
    rig.task("c");
    rig.drain("a");
    rig.tasks.get_mut("b").unwrap().zone = "empty".to_owned();
    rig.run(1000, &["a", "b"]);
    assert_eq!((rig.owned("c"), rig.owned("a")), (8, 0));
    rig.tasks.get_mut("b").unwrap().zone = "zb".to_owned();
    rig.silence("f");
    rig.drain("c");
    rig.run(100, &[]);
    assert!(rig.row(0).closed);
    assert_eq!(rig.beat("c"), []);
}

#[test]
fn a_slice_shut_again_before_it_is_written_stays_shut() {
    let mut rig = Rig::settled(&["a"], &["e"]);
    ["b", "c"].iter().for_each(|id| rig.task(id));
    rig.tasks.get_mut("c").unwrap().zone = "empty".to_owned();
    rig.writes = false;
    rig.drain("a");
    rig.run(1000, &["a"]);
    assert!(
        rig.put
            .write
            .as_ref()
            .unwrap()
            .slices
            .iter()
            .all(|s| s.owner == "b")
    );
    // All is shut again in the turn that writes it.
    rig.tasks.get_mut("c").unwrap().zone = "zc".to_owned();
    rig.drain("b");
    rig.writes = true;
    rig.turn();
    assert_eq!(rig.owned("b"), 8);
    assert_eq!(rig.beat("b"), [], "granted what is shut");
    assert!(
        rig.plan.complete_update().entries.iter().all(|r| r.closed),
        "open to edges"
    );
    rig.run(600, &[]);
    assert_eq!(rig.owned("c"), 8);
}

#[test]
fn what_may_have_been_written_is_overruled_by_a_further_write() {
    let mut rig = Rig::settled(&["a", "b"], &["e"]);
    rig.writes = false;
    let (slice, old) = (rig.some_of("a"), rig.fences());
    rig.tasks.get_mut("a").unwrap().timed_out = true;
    rig.run(2500, &["b"]);
    let unsure = rig.put.write.clone().unwrap();
    let at = unsure.slices.iter().position(|s| s.from == slice).unwrap();
    assert_eq!(
        (
            unsure.slices[at].owner.as_str(),
            unsure.slices[at].generation
        ),
        ("b", old[at] + 1)
    );
    // It may stand in the register; now a is back and b goes.
    rig.tasks.get_mut("a").unwrap().timed_out = false;
    rig.drain("b");
    for _ in 0..40 {
        rig.run(TURN, &["a", "b"]);
        assert!(
            !rig.held["a"].iter().any(|g| g.from == slice),
            "granted what may be b's by the register"
        );
    }
    let last = rig.put.write.clone().unwrap();
    assert_eq!(
        (last.slices[at].owner.as_str(), last.slices[at].generation),
        ("a", old[at] + 2)
    );
    rig.writes = true;
    rig.run(600, &["a", "b"]);
    assert!(
        rig.held["a"]
            .iter()
            .any(|g| g.from == slice && g.generation == old[at] + 2)
    );
}
