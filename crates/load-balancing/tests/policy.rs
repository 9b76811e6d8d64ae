//! What an edge chooses, and what all edges together may send.

use std::collections::BTreeMap;

use lynxmill_configuration::{Bounds, Configuration, RoutingTable, Service, evacuation};
use lynxmill_load_balancing::{
    AttemptResult, Candidates, LoadBalancer, Locality, Selection, ShardMap, ShardOwner,
};
use lynxmill_protocol::{
    EdgeInfo, EdgeList, EvacuationNotice, ShardEntry, ShardTableUpdate, Task, TaskState,
};
use lynxmill_time::{TimeDelta, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(60_000_000 + ms as i64 * 1000)
}

fn bounds() -> Bounds {
    Bounds {
        retry_ratio: 0.2,
        retry_slack: 64.0,
        cold_overshoot: 1.5,
        cold_slack: 5.0,
        ..Bounds::default()
    }
}

/// SplitMix64.
struct Dice(u64);

impl Dice {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }

    fn unit(&mut self) -> f64 {
        self.below(1 << 32) as f64 / (1u64 << 32) as f64
    }
}

/// Zones: za and zb in region r1, zc in r2.
fn edge(name: &str) -> LoadBalancer {
    let regions = [("za", "r1"), ("zb", "r1"), ("zc", "r2")];
    let regions = regions
        .map(|(z, r)| (z.to_owned(), r.to_owned()))
        .into_iter()
        .collect();
    let place = Locality {
        name: name.to_owned(),
        zone: "za".to_owned(),
        region: "r1".to_owned(),
        regions,
    };
    LoadBalancer::new(at(0), place, bounds())
}

fn task(id: &str, zone: &str) -> Task {
    let (id, zone, service) = (id.to_owned(), zone.to_owned(), "s".to_owned());
    Task {
        id,
        zone,
        service,
        slots: 4,
        call_seq: 1,
        ..Task::default()
    }
}

fn with(tasks: &[(&str, &str)]) -> LoadBalancer {
    let mut pilot = edge("e");
    tasks
        .iter()
        .for_each(|(id, zone)| pilot.update_task(at(0), "core", &task(id, zone)));
    pilot
}

fn service(cold_per_s: f64) -> Service {
    Service {
        name: "s".to_owned(),
        cold_per_s,
        ..Service::default()
    }
}

struct Ask {
    service: Service,
    homes: Vec<String>,
    key: Option<u32>,
    tried: Vec<String>,
}

fn ask() -> Ask {
    Ask {
        service: service(0.0),
        homes: Vec::new(),
        key: None,
        tried: Vec::new(),
    }
}

impl Ask {
    fn at(&self, pilot: &mut LoadBalancer, now: Timestamp, drawn: f64) -> Selection {
        let (service, homes, excluded) =
            (&self.service, self.homes.as_slice(), self.tried.as_slice());
        pilot.select(
            now,
            &Candidates {
                service,
                homes,
                key: self.key,
                excluded,
                latency_target: TimeDelta::from_secs(0.6),
            },
            drawn,
        )
    }

    /// All that are chosen, whatever is drawn.
    fn picks(&self, pilot: &mut LoadBalancer, now: Timestamp) -> Vec<String> {
        let mut picks: Vec<String> = (0..20)
            .filter_map(|i| match self.at(pilot, now, f64::from(i) / 20.0) {
                Selection::Task(id) => Some(id),
                _ => None,
            })
            .collect();
        picks.sort();
        picks.dedup();
        picks
    }
}

// --- budgets of all edges together ---

#[test]
fn further_tries_of_all_edges_keep_within_the_budget() {
    for (seed, count) in [1, 2, 3, 12, 40, 60]
        .into_iter()
        .cycle()
        .take(30)
        .enumerate()
    {
        let mut dice = Dice(seed as u64);
        let mut edges: Vec<LoadBalancer> = (0..count).map(|i| edge(&format!("e{i}"))).collect();
        let list = (0..count)
            .map(|i| EdgeInfo {
                name: format!("e{i}"),
                zone: "za".to_owned(),
            })
            .collect();
        let fleet = EdgeList { edges: list };
        edges.iter_mut().for_each(|e| e.set_edges(fleet.clone()));
        // Half of them know of two in three only.
        let old = EdgeList {
            edges: fleet.edges[..count - count / 3].to_vec(),
        };
        edges
            .iter_mut()
            .step_by(2)
            .for_each(|e| e.set_edges(old.clone()));
        // By tenths of a second: requests, further tries.
        let mut counts = [(0.0, 0.0); 600];
        let mut busy = 0;
        for (tenth, (requests, further)) in counts.iter_mut().enumerate() {
            // Calm, bursts and failures of everything take turns; a few edges get most.
            if tenth % 30 == 0 {
                busy = [0, 2, 10, 60][dice.below(4) as usize];
            }
            for _ in 0..busy {
                let one = dice.below(count as u64).min(dice.below(count as u64)) as usize;
                edges[one].count_request("s");
                *requests += 1.0;
                (0..3).for_each(|_| *further += f64::from(u8::from(edges[one].acquire_retry("s"))));
            }
        }
        for window in counts.windows(100) {
            let requests: f64 = window.iter().map(|c| c.0).sum();
            let further: f64 = window.iter().map(|c| c.1).sum();
            assert!(
                further <= 0.2 * requests + 64.0,
                "{count} edges, seed {seed}: {further} of {requests}"
            );
        }
        assert!(
            counts.iter().map(|c| c.1).sum::<f64>() > 64.0,
            "{count} edges hardly try again"
        );
    }
}

#[test]
fn no_further_try_for_a_service_without_requests() {
    assert!(!edge("e").acquire_retry("s"));
}

// --- cold tasks ---

/// Most requests that a cold task gets within a second from edges that send all they may.
fn most_in_a_second(
    per_s: f64,
    edges: usize,
    old: &EdgeList,
    new: &EdgeList,
    dice: &mut Dice,
) -> (usize, usize) {
    let cold = Task {
        warm_up_left_ms: 60_000,
        ..task("t", "za")
    };
    let mut ask = ask();
    ask.service = service(per_s);
    let mut pilots: Vec<LoadBalancer> = (0..edges).map(|i| edge(&format!("e{i}"))).collect();
    for (i, pilot) in pilots.iter_mut().enumerate() {
        pilot.update_task(at(0), "core", &cold);
        pilot.set_edges(if i % 2 == 0 { old.clone() } else { new.clone() });
    }
    let mut sent: Vec<u64> = Vec::new();
    for ms in (0..5000).step_by(20) {
        let first = dice.below(edges as u64) as usize;
        for i in 0..edges {
            let pilot = &mut pilots[(first + i) % edges];
            while let Selection::Task(id) = ask.at(pilot, at(ms), 0.0) {
                pilot.attempt_started(at(ms), &id);
                sent.push(ms);
            }
        }
    }
    let within = |i: usize| {
        sent[i..]
            .iter()
            .take_while(|ms| **ms < sent[i] + 1000)
            .count()
    };
    ((0..sent.len()).map(within).max().unwrap_or(0), sent.len())
}

#[test]
fn cold_tasks_get_what_they_bear_though_half_the_edges_know_an_old_list() {
    let mut dice = Dice(5);
    for per_s in [0.4, 1.0, 3.9, 11.0, 40.0, 120.0] {
        for edges in [1, 2, 3, 9, 30] {
            let listed = |i: usize| EdgeInfo {
                name: format!("e{i}"),
                zone: ["za", "zb", "zc"][i % 3].to_owned(),
            };
            let new = EdgeList {
                edges: (0..edges).map(listed).collect(),
            };
            // Some have joined since, some that it names have gone.
            let known = |i: &usize| dice.below(3) > 0 || i.is_multiple_of(2);
            let mut old: Vec<EdgeInfo> = (0..edges).filter(known).map(listed).collect();
            old.extend((edges..edges + edges / 4).map(listed));
            let (most, all) =
                most_in_a_second(per_s, edges, &EdgeList { edges: old }, &new, &mut dice);
            let bound = per_s * 1.5 + 5.0;
            assert!(
                most as f64 <= bound,
                "{per_s} a second, {edges} edges: {most} of {bound}"
            );
            let (_, same) = most_in_a_second(per_s, edges, &new, &new, &mut dice);
            assert!(
                same as f64 >= per_s * 5.0 * 0.45,
                "{per_s}, {edges} edges: only {same}, {all}"
            );
        }
    }
}

#[test]
fn less_than_one_a_second_is_saved_up() {
    let fleet = EdgeList {
        edges: vec![EdgeInfo {
            name: "e0".to_owned(),
            zone: "za".to_owned(),
        }],
    };
    let (most, all) = most_in_a_second(0.5, 1, &fleet, &fleet, &mut Dice(1));
    assert!(most == 1 && all <= 2, "{all} in five seconds");
}

#[test]
fn an_edge_that_is_not_listed_sends_nothing_to_a_cold_task() {
    let mut pilot = with(&[]);
    pilot.update_task(
        at(0),
        "core",
        &Task {
            warm_up_left_ms: 500,
            ..task("t", "za")
        },
    );
    pilot.set_edges(EdgeList {
        edges: vec![EdgeInfo {
            name: "other".to_owned(),
            zone: "za".to_owned(),
        }],
    });
    let ask = Ask {
        service: service(10.0),
        ..ask()
    };
    assert_eq!(ask.at(&mut pilot, at(10), 0.0), Selection::None);
    assert_eq!(ask.picks(&mut pilot, at(500)), ["t"], "warm by then");
}

#[test]
fn what_is_kept_of_a_task_does_not_grow_with_its_requests() {
    let mut pilot = with(&[("t", "za")]);
    let size = |pilot: &LoadBalancer| format!("{:?}", pilot.endpoint("t")).len();
    let mut sizes = Vec::new();
    for ms in (0..60_000).step_by(10) {
        pilot.attempt_started(at(ms), "t");
        pilot.attempt_ended(
            at(ms),
            "t",
            AttemptResult::Answered(TimeDelta::from_secs(0.01)),
            None,
        );
        sizes.push(size(&pilot));
    }
    assert!(
        sizes[5999] < sizes[500] * 2,
        "{} after a minute, {} after 5 s",
        sizes[5999],
        sizes[500]
    );
}

// --- where requests may go ---

#[test]
fn evacuated_zones_foreign_regions_and_tried_tasks_are_never_chosen() {
    let zones = ["za", "zb", "zc"];
    for seed in 0..200 {
        let mut dice = Dice(seed);
        let count = 1 + dice.below(7);
        let tasks: Vec<(String, &str)> = (0..count)
            .map(|i| (format!("t{i}"), zones[dice.below(3) as usize]))
            .collect();
        let mut pilot = with(
            &tasks
                .iter()
                .map(|(id, zone)| (id.as_str(), *zone))
                .collect::<Vec<_>>(),
        );
        let evacuated = zones[dice.below(3) as usize];
        let mut configuration = Configuration::default();
        configuration.merge(&evacuation(evacuated, true, 0));
        pilot.set_routes(RoutingTable::new(&configuration));
        let mut ask = ask();
        ask.homes =
            [vec![], vec!["r1".to_owned()], vec!["r2".to_owned()]][dice.below(3) as usize].clone();
        ask.tried = tasks
            .iter()
            .filter(|_| dice.below(3) == 0)
            .map(|(id, _)| id.clone())
            .collect();
        let region = |zone: &str| if zone == "zc" { "r2" } else { "r1" };
        let may = |id: &str, zone: &str| {
            let home = ask.homes.is_empty() || ask.homes.iter().any(|home| home == region(zone));
            home && zone != evacuated && !ask.tried.iter().any(|t| t == id)
        };
        for ms in 0..30 {
            match ask.at(&mut pilot, at(ms), dice.unit()) {
                Selection::Task(id) => {
                    let zone = tasks.iter().find(|(known, _)| *known == id).unwrap().1;
                    assert!(may(&id, zone), "seed {seed}: {id} in {zone}");
                    pilot.attempt_started(at(ms), &id);
                    if dice.below(2) == 0 {
                        pilot.attempt_ended(at(ms), &id, AttemptResult::Failed, Some(3.0));
                    }
                }
                pick => assert!(
                    pick == Selection::None && !tasks.iter().any(|(id, z)| may(id, z)),
                    "seed {seed}"
                ),
            }
        }
    }
}

#[test]
fn a_zone_taken_back_is_used_again() {
    let mut pilot = with(&[("t", "za")]);
    let mut configuration = Configuration::default();
    for (on, version, chosen) in [(true, 0, 0), (false, 1, 1)] {
        configuration.merge(&evacuation("za", on, version));
        pilot.set_routes(RoutingTable::new(&configuration));
        assert_eq!(ask().picks(&mut pilot, at(1)).len(), chosen);
    }
}

/// Requests that the task `t` is sent in a second, one asked for each millisecond.
fn sent_in_second_from(edge: &mut LoadBalancer, ask: &Ask, from: u64) -> usize {
    let sends = (from..from + 1000).filter(|ms| {
        let selected = ask.at(edge, at(*ms), 0.5) == Selection::Task("t".to_owned());
        if selected {
            edge.attempt_started(at(*ms), "t");
        }
        selected
    });
    sends.count()
}

#[test]
fn tasks_of_a_zone_taken_back_while_cut_off_get_no_more_than_warming_ones_bear() {
    let mut edge = with(&[("t", "za")]);
    edge.set_heartbeat_interval(TimeDelta::from_secs(1.5));
    edge.set_edges(EdgeList {
        edges: vec![EdgeInfo {
            name: "e".to_owned(),
            zone: "za".to_owned(),
        }],
    });
    let mut configuration = Configuration::default();
    configuration.merge(&evacuation("za", true, 0));
    edge.set_routes(RoutingTable::new(&configuration));
    configuration.merge(&evacuation("za", false, 1));
    edge.set_routes_after_join(at(1000), RoutingTable::new(&configuration));
    let ask = Ask {
        service: service(20.0),
        ..ask()
    };
    let (first, later) = (
        sent_in_second_from(&mut edge, &ask, 1000),
        sent_in_second_from(&mut edge, &ask, 4100),
    );
    assert!((1..=35).contains(&first), "{first} in the first second");
    assert_eq!(later, 1000, "its heartbeats have said that it is warm");
}

/// An evacuation that no majority has agreed on: the zone stays in use, and its tasks turn cold up to a heartbeat
/// before they say so (43 requests in a second where 35 are allowed, mfgw-kitchen with two of three members lost).
#[test]
fn tasks_of_a_zone_whose_evacuation_was_only_asked_for_get_no_more_than_cold_ones_bear() {
    let mut edge = with(&[("t", "za")]);
    edge.set_edges(EdgeList {
        edges: vec![EdgeInfo {
            name: "e".to_owned(),
            zone: "za".to_owned(),
        }],
    });
    let asked = |zone: &str| EvacuationNotice {
        zone: zone.to_owned(),
        valid_ms: 5000,
    };
    let ask = Ask {
        service: service(20.0),
        ..ask()
    };
    edge.evacuation_requested(at(0), &asked("zb"));
    assert_eq!(
        sent_in_second_from(&mut edge, &ask, 0),
        1000,
        "its own zone is none of it"
    );
    edge.evacuation_requested(at(1000), &asked("za"));
    sent_in_second_from(&mut edge, &ask, 1000);
    let capped = sent_in_second_from(&mut edge, &ask, 2100);
    assert!((20..=35).contains(&capped), "{capped} in a second");
    assert_eq!(sent_in_second_from(&mut edge, &ask, 7200), 1000);
    // Agreed late and taken back at once.
    edge.evacuation_requested(at(9000), &asked("za"));
    let mut configuration = Configuration::default();
    for (on, version, most) in [(true, 0, 0), (false, 1, 35)] {
        configuration.merge(&evacuation("za", on, version));
        edge.set_routes(RoutingTable::new(&configuration));
        let sent = sent_in_second_from(&mut edge, &ask, 9000 + 1100 * version);
        assert!(sent <= most, "{sent} in a second, evacuated {on}");
    }
}

#[test]
fn near_comes_before_far_unless_it_is_crowded() {
    let mut pilot = with(&[("far", "zc"), ("near", "za"), ("next", "zb")]);
    let mut order = Vec::new();
    let mut ask = ask();
    for _ in 0..3 {
        let picks = ask.picks(&mut pilot, at(1));
        ask.tried.extend(picks.clone());
        order.extend(picks);
    }
    assert_eq!(order, ["near", "next", "far"]);
    ask.tried.clear();
    let mut by_zone = BTreeMap::new();
    for _ in 0..60 {
        let Selection::Task(id) = ask.at(&mut pilot, at(1), 0.0) else {
            panic!("no task")
        };
        pilot.attempt_started(at(1), &id);
        *by_zone.entry(id).or_insert(0) += 1;
    }
    assert!(
        by_zone["near"] > by_zone["next"] && by_zone["next"] > by_zone["far"],
        "{by_zone:?}"
    );
}

#[test]
fn equals_share_and_a_told_load_counts_for_a_while() {
    let mut pilot = with(&[("a", "za"), ("b", "za")]);
    assert_eq!(ask().picks(&mut pilot, at(1)), ["a", "b"]);
    pilot.attempt_started(at(1), "a");
    pilot.attempt_ended(
        at(2),
        "a",
        AttemptResult::Answered(TimeDelta::from_secs(0.06)),
        Some(9.0),
    );
    assert_eq!(ask().picks(&mut pilot, at(3)), ["b"]);
    assert_eq!(ask().picks(&mut pilot, at(500)), ["a", "b"]);
}

#[test]
fn failed_tasks_rest_longer_each_time_and_come_back() {
    let mut pilot = with(&[("bad", "za"), ("good", "zc")]);
    let fail = |pilot: &mut LoadBalancer, ms: u64| {
        pilot.attempt_started(at(ms), "bad");
        pilot.attempt_ended(at(ms), "bad", AttemptResult::Failed, None);
    };
    let mut now = 0;
    for rest in [300, 600, 1200, 2400, 2400] {
        fail(&mut pilot, now);
        assert_eq!(ask().picks(&mut pilot, at(now + rest - 1)), ["good"]);
        let last_resort = Ask {
            tried: vec!["good".to_owned()],
            ..ask()
        };
        assert_eq!(last_resort.picks(&mut pilot, at(now + 1)), ["bad"]);
        now += rest;
        assert_eq!(ask().picks(&mut pilot, at(now)), ["bad"]);
    }
    pilot.attempt_started(at(now), "bad");
    pilot.attempt_ended(
        at(now),
        "bad",
        AttemptResult::Answered(TimeDelta::from_secs(0.06)),
        None,
    );
    fail(&mut pilot, now + 1);
    assert_eq!(
        ask().picks(&mut pilot, at(now + 301)),
        ["bad"],
        "an answer ends the count"
    );
}

// --- tasks ---

#[test]
fn draining_and_gone_never_go_back() {
    let mut pilot = with(&[("t", "za")]);
    for (state, seq, chosen) in [
        (TaskState::Ready, 2, 1),
        (TaskState::Draining, 2, 0),
        (TaskState::Ready, 9, 0),
        (TaskState::Gone, 1, 0),
        (TaskState::Draining, 11, 0),
    ] {
        pilot.update_task(
            at(1),
            "core",
            &Task {
                state: state as i32,
                call_seq: seq,
                ..task("t", "za")
            },
        );
        assert_eq!(
            ask().picks(&mut pilot, at(2)).len(),
            chosen,
            "{state:?} {seq}"
        );
    }
    assert_eq!(
        pilot.endpoint("t").unwrap().task.state,
        TaskState::Gone as i32
    );
}

#[test]
fn a_silent_task_is_left_until_it_is_heard_again() {
    let mut pilot = with(&[("t", "za")]);
    for (timed_out, seq, chosen) in [(true, 1, 0), (false, 1, 0), (false, 2, 1)] {
        pilot.update_task(
            at(1),
            "core",
            &Task {
                timed_out,
                call_seq: seq,
                ..task("t", "za")
            },
        );
        assert_eq!(ask().picks(&mut pilot, at(2)).len(), chosen);
    }
}

// --- tables ---

fn row(from: u32, owner: &str, generation: u64, closed: bool) -> ShardEntry {
    ShardEntry {
        from,
        to: from + 99,
        owner: owner.to_owned(),
        generation,
        closed,
    }
}

fn table(term: u64, is_complete: bool, entries: Vec<ShardEntry>) -> ShardTableUpdate {
    ShardTableUpdate {
        service: "s".to_owned(),
        term,
        sequence: 1,
        is_complete,
        entries,
    }
}

fn owner(id: &str) -> ShardOwner {
    ShardOwner::Owner(id.to_owned())
}

#[test]
fn lower_terms_and_parts_of_unknown_ones_are_ignored() {
    let mut slices = ShardMap::default();
    assert!(
        !slices.apply(&table(3, false, vec![row(0, "a", 1, false)])),
        "its first table is whole"
    );
    assert_eq!(slices.lookup(5), (0, ShardOwner::Closed));
    assert!(slices.apply(&table(
        3,
        true,
        vec![row(0, "a", 4, false), row(100, "a", 4, false)]
    )));
    assert!(!slices.apply(&table(2, true, vec![row(0, "b", 9, false)])));
    assert!(!slices.apply(&table(4, false, vec![row(0, "b", 9, false)])));
    assert_eq!((slices.lookup(5).1, slices.term()), (owner("a"), 3));
    assert!(slices.apply(&table(3, false, vec![row(0, "b", 5, false)])));
    assert_eq!(
        (slices.lookup(5).1, slices.lookup(150)),
        (owner("b"), (100, owner("a")))
    );
    assert!(slices.apply(&table(4, true, vec![row(0, "c", 6, false)])));
    assert_eq!(
        (slices.lookup(5).1, slices.lookup(150).1),
        (owner("c"), ShardOwner::Closed)
    );
}

#[test]
fn the_generation_only_rises() {
    let mut dice = Dice(9);
    let (mut slices, mut newest) = (ShardMap::default(), 0);
    slices.apply(&table(1, true, vec![row(0, "t0", 0, false)]));
    for _ in 0..500 {
        let fence = dice.below(60);
        slices.apply(&table(
            1,
            dice.below(4) == 0,
            vec![row(0, &format!("t{fence}"), fence, false)],
        ));
        newest = newest.max(fence);
        assert_eq!(slices.lookup(99), (0, owner(&format!("t{newest}"))));
    }
    assert_eq!(
        slices.lookup(100).1,
        ShardOwner::Closed,
        "past the last key"
    );
}

#[test]
fn a_key_goes_to_its_owner_and_nowhere_while_its_slice_is_shut() {
    let mut pilot = with(&[("a", "zc"), ("b", "za")]);
    let mut ask = Ask {
        key: Some(7),
        ..ask()
    };
    ask.service.sharded = true;
    assert_eq!(ask.at(&mut pilot, at(1), 0.0), Selection::Closed);
    assert!(pilot.apply_shard_table(&table(1, true, vec![row(0, "a", 1, false)])));
    assert_eq!(
        ask.at(&mut pilot, at(1), 0.9),
        Selection::Task("a".to_owned())
    );
    ask.tried.push("a".to_owned());
    assert_eq!(
        ask.at(&mut pilot, at(1), 0.0),
        Selection::Closed,
        "not a second time"
    );
    ask.tried.clear();
    assert!(pilot.apply_shard_table(&table(1, false, vec![row(0, "a", 1, true)])));
    assert_eq!(ask.at(&mut pilot, at(1), 0.0), Selection::Closed);
    assert!(pilot.apply_shard_table(&table(1, false, vec![row(0, "b", 2, false)])));
    assert_eq!(
        ask.at(&mut pilot, at(1), 0.0),
        Selection::Task("b".to_owned())
    );
    ask.homes.push("r2".to_owned());
    assert_eq!(
        ask.at(&mut pilot, at(1), 0.0),
        Selection::Closed,
        "its owner stands outside its homes"
    );
    ask.key = None;
    assert_eq!(ask.at(&mut pilot, at(1), 0.0), Selection::None);
    let asked: u32 = pilot
        .take_report(at(1000))
        .slices
        .iter()
        .map(|s| s.requests)
        .sum();
    assert_eq!(
        asked, 6,
        "the demand of a slice counts whether it is open or not"
    );
}
