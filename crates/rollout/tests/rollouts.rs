//! Good and bad versions of each kind, with other faults about: edges, tasks and requests drawn from a seed, the
//! controller as it runs in a member, decisions in force a while after they are due.

use lynxmill_configuration::{Rollout, RolloutDecision, RolloutState};
use lynxmill_protocol::{LATENCY_BUCKETS, OutcomeCounts, RolloutObservation, latency_bucket};
use lynxmill_random::Pcg;
use lynxmill_rollout::{
    Decided, EdgeState, ExposureBounds, RolloutController, Surroundings, TrafficDivision,
};
use lynxmill_time::{TimeDelta, Timestamp};

const TERM_S: f64 = 14.0;
const STEP_S: f64 = 0.1;
const REPORT_S: f64 = 0.5;
/// From a decision until all edges go by it.
const IN_FORCE_S: f64 = 0.3;
const EXPOSURE: ExposureBounds = ExposureBounds {
    share: 0.1,
    slack: 50.0,
};
const EDGES: usize = 12;
const ROLLBACK_S: f64 = 5.0;

/// What is wrong with a version or with its surroundings.
#[derive(Clone, Copy, Debug, Default)]
struct World {
    /// Requests a second on the busy route and on the other one.
    rates: [f64; 2],
    /// The share of failures and of slow answers at the new version, by route.
    errors: [f64; 2],
    slow: [f64; 2],
    /// How many times as long slow answers take.
    slow_factor: f64,
    /// From when on, after the order.
    bad_from_s: f64,
    /// The share of failures and of slow answers at all versions, and from when on.
    common_errors: f64,
    common_slow: f64,
    trouble_from_s: f64,
    /// Waiting that does not grow with work: a link between regions for half of the requests, and queues.
    wait_s: f64,
    /// The service's traffic is divided by key: how long keys take to change hands.
    handover_s: Option<f64>,
}

impl World {
    fn sound() -> Self {
        World {
            rates: [700.0, 200.0],
            slow_factor: 6.0,
            ..World::default()
        }
    }
}

/// What came of a rollout.
#[derive(Debug, Default)]
struct End {
    state: Option<RolloutState>,
    at_s: f64,
    requests: u64,
    target_requests: u64,
    /// When the version gave its 50th bad answer, and the last request that it was sent.
    fiftieth_s: Option<f64>,
    last_sent_s: f64,
}

impl End {
    fn keeps_exposure(&self) -> bool {
        // Clients go on until the term, whatever has been decided.
        let rate = self.requests as f64 / self.at_s;
        let allowed = rate * TERM_S * EXPOSURE.share + EXPOSURE.slack;
        self.target_requests as f64 <= allowed
    }

    fn keeps_rollback(&self) -> bool {
        self.fiftieth_s
            .is_none_or(|at| self.last_sent_s <= at + ROLLBACK_S)
    }
}

struct Player {
    world: World,
    random: Pcg,
    rollout: Rollout,
    controller: RolloutController,
    observations: Vec<RolloutObservation>,
    end: End,
    bad: u64,
    item_version: u64,
    share_before: f64,
    share_since_s: f64,
}

fn poisson(random: &mut Pcg, mean: f64) -> u64 {
    let (mut left, mut count) = ((-mean).exp(), 0);
    let mut drawn = random.unit();
    let limit = left;
    left = drawn;
    while left > limit {
        count += 1;
        drawn = random.unit();
        left *= drawn;
    }
    count
}

impl Player {
    fn new(world: World, seed: u64) -> Self {
        let rollout = Rollout {
            target_version: "v2".to_owned(),
            duration_ms: (TERM_S * 1000.0) as u64,
            number: 7,
            base_versions: vec!["v1".to_owned()],
            overlaps: Vec::new(),
            state: RolloutState::InProgress,
            share: 0.0,
            elapsed_ms: 0,
        };
        let observation = RolloutObservation {
            number: 7,
            ..RolloutObservation::default()
        };
        let division = if world.handover_s.is_some() {
            TrafficDivision::ByKey
        } else {
            TrafficDivision::ByRequest
        };
        Player {
            world,
            random: Pcg::new(seed),
            controller: RolloutController::new(Timestamp::default(), &rollout, EXPOSURE, division),
            rollout,
            observations: vec![observation; EDGES],
            end: End::default(),
            bad: 0,
            item_version: 1,
            share_before: 0.0,
            share_since_s: 0.0,
        }
    }

    fn latency_s(&mut self, is_slow: bool) -> f64 {
        // Work that is spread, on tasks of different speeds.
        let speed = [0.6, 1.0, 1.4][(self.random.unit() * 3.0) as usize % 3];
        let spread = (self.random.unit() + self.random.unit() + self.random.unit() - 1.5) * 0.7;
        let factor = if is_slow { self.world.slow_factor } else { 1.0 };
        let waits = if self.random.unit() < 0.5 { 1.0 } else { 0.0 } + self.random.unit();
        0.16 * spread.exp() / speed * factor + self.world.wait_s * waits
    }

    /// The share that is in force.
    fn share(&self, now_s: f64) -> f64 {
        let is_handed_over = |took: f64| now_s >= self.share_since_s + took;
        if self.world.handover_s.is_none_or(is_handed_over) {
            self.rollout.share
        } else {
            self.share_before
        }
    }

    fn request(&mut self, now_s: f64, route: usize) {
        let edge = (self.random.unit() * EDGES as f64) as usize % EDGES;
        let is_target = self.random.unit() < self.share(now_s);
        let world = self.world;
        let (mut errors, mut slow) = (0.002, 0.0);
        if now_s >= world.trouble_from_s {
            errors += world.common_errors;
            slow += world.common_slow;
        }
        if is_target && now_s >= world.bad_from_s {
            errors += world.errors[route];
            slow += world.slow[route];
        }
        let failed = self.random.unit() < errors;
        let is_slow = self.random.unit() < slow;
        let latency_s = self.latency_s(is_slow);
        self.end.requests += 1;
        let observation = &mut self.observations[edge];
        observation.requests += 1;
        if is_target {
            observation.target_requests += 1;
            self.end.target_requests += 1;
            self.end.last_sent_s = now_s;
            self.bad += u64::from(failed || is_slow);
            if self.bad == 50 {
                self.end.fiftieth_s.get_or_insert(now_s);
            }
        }
        let name = format!("route-{route}");
        let same = |c: &OutcomeCounts| c.route == name && c.is_target == is_target;
        let at = observation.outcomes.iter().position(same);
        let at = at.unwrap_or_else(|| {
            observation.outcomes.push(OutcomeCounts {
                route: name.clone(),
                is_target,
                latencies: vec![0; LATENCY_BUCKETS],
                ..OutcomeCounts::default()
            });
            observation.outcomes.len() - 1
        });
        let counts = &mut observation.outcomes[at];
        counts.ended += 1;
        if failed {
            counts.failed += 1;
        } else {
            counts.latencies[latency_bucket(latency_s)] += 1;
        }
    }

    fn apply(&mut self, now_s: f64, decided: &Decided) {
        self.item_version += 1;
        self.rollout.elapsed_ms = (decided.elapsed.micros() / 1000) as u64;
        match decided.decision {
            RolloutDecision::Share(share) if share == self.rollout.share => {}
            RolloutDecision::Share(share) => {
                self.share_before = self.rollout.share;
                (self.rollout.share, self.share_since_s) = (share, now_s);
            }
            RolloutDecision::Complete => self.end.state = Some(RolloutState::Completed),
            RolloutDecision::Revert => self.end.state = Some(RolloutState::Reverted),
        }
    }

    fn play(mut self) -> End {
        let edges: Vec<EdgeState> = (0..EDGES)
            .map(|n| EdgeState {
                name: format!("edge-{n}"),
                incarnation: 1,
                knows_versions: true,
            })
            .collect();
        let mut pending: Option<(f64, Decided)> = None;
        let mut next_report_s = 0.0;
        for step in 0.. {
            let now_s = f64::from(step) * STEP_S;
            for route in 0..2 {
                let arrivals = poisson(&mut self.random, self.world.rates[route] * STEP_S);
                (0..arrivals).for_each(|_| self.request(now_s, route));
            }
            if now_s >= next_report_s {
                next_report_s += REPORT_S;
                for (edge, observation) in edges.iter().zip(&mut self.observations) {
                    observation.item_version = self.item_version;
                    self.controller.observe(&edge.name, 1, observation.clone());
                }
            }
            let surroundings = Surroundings {
                edges: edges.clone(),
                target_tasks: 150,
                other_tasks: 150,
                item_version: self.item_version,
                others_hold_keys: self.world.handover_s.is_some() && self.share(now_s) < 1.0,
                ..Surroundings::default()
            };
            let now = Timestamp::from_secs(now_s);
            let decided = self.controller.step(now, &self.rollout, &surroundings);
            if pending.is_none() {
                pending = decided.map(|decided| (now_s + IN_FORCE_S, decided));
            }
            if let Some((_, decided)) = pending.take_if(|(at_s, _)| now_s >= *at_s) {
                self.apply(now_s, &decided);
            }
            if self.end.state.is_some() {
                self.end.at_s = now_s;
                return self.end;
            }
        }
        unreachable!("a rollout ends at its term")
    }
}

/// Plays a world from several seeds; how many ended as wanted within all bounds.
fn assert_ends(world: World, wanted: RolloutState, seeds: u64, most_wrong: usize) {
    let mut wrong = Vec::new();
    for seed in 0..seeds {
        let end = Player::new(world, seed).play();
        assert!(end.at_s <= TERM_S, "seed {seed}: {end:?}");
        if wanted == RolloutState::Reverted {
            assert!(end.keeps_exposure(), "seed {seed}: {end:?}");
            assert!(end.keeps_rollback(), "seed {seed}: {end:?}");
        }
        if end.state != Some(wanted) {
            wrong.push((seed, end));
        }
    }
    assert!(
        wrong.len() <= most_wrong,
        "{world:?}: {} of {seeds}: {wrong:?}",
        wrong.len()
    );
}

#[test]
fn a_sound_version_is_completed_in_its_term() {
    assert_ends(World::sound(), RolloutState::Completed, 200, 0);
}

#[test]
fn a_sound_version_is_completed_where_faults_strike_all_versions() {
    for common in [(0.05, 0.0), (0.0, 0.15), (0.1, 0.1), (0.3, 0.0)] {
        for trouble_from_s in [0.0, 4.0, 7.0] {
            let world = World {
                common_errors: common.0,
                common_slow: common.1,
                trouble_from_s,
                ..World::sound()
            };
            assert_ends(world, RolloutState::Completed, 40, 1);
        }
    }
}

#[test]
fn a_version_that_fails_is_reverted() {
    for share in [0.3, 0.45, 0.6] {
        let world = World {
            errors: [share, share],
            ..World::sound()
        };
        assert_ends(world, RolloutState::Reverted, 40, 0);
    }
}

#[test]
fn a_version_that_fails_on_one_route_is_reverted() {
    for errors in [[0.3, 0.0], [0.0, 0.3], [0.0, 0.5]] {
        let world = World {
            errors,
            ..World::sound()
        };
        assert_ends(world, RolloutState::Reverted, 40, 0);
    }
}

#[test]
fn a_version_that_fails_on_a_route_with_little_traffic_is_reverted() {
    let world = World {
        rates: [800.0, 40.0],
        errors: [0.0, 0.5],
        ..World::sound()
    };
    assert_ends(world, RolloutState::Reverted, 40, 0);
}

#[test]
fn a_version_that_is_slow_is_reverted() {
    for (share, factor) in [(0.3, 8.0), (0.5, 4.0), (0.6, 6.0)] {
        let world = World {
            slow: [share, share],
            slow_factor: factor,
            ..World::sound()
        };
        assert_ends(world, RolloutState::Reverted, 40, 0);
    }
}

#[test]
fn a_version_that_turns_bad_late_is_reverted() {
    for bad_from_s in [1.0, 2.5, 4.0, 6.0] {
        let world = World {
            errors: [0.4, 0.4],
            bad_from_s,
            ..World::sound()
        };
        assert_ends(world, RolloutState::Reverted, 40, 0);
    }
}

#[test]
fn a_version_is_reverted_while_faults_strike_all_versions() {
    let world = World {
        errors: [0.4, 0.4],
        common_errors: 0.1,
        common_slow: 0.1,
        ..World::sound()
    };
    assert_ends(world, RolloutState::Reverted, 40, 0);
}

/// A service with few tasks whose traffic is divided by key, and whose answers wait for other things than work.
fn by_key() -> World {
    World {
        rates: [200.0, 90.0],
        wait_s: 0.1,
        handover_s: Some(2.5),
        ..World::sound()
    }
}

#[test]
fn a_sound_version_takes_all_keys_over_in_its_term() {
    assert_ends(by_key(), RolloutState::Completed, 200, 2);
}

#[test]
fn a_bad_version_never_takes_all_keys_over() {
    let bad = [
        ([0.4, 0.4], [0.0, 0.0]),
        ([0.0, 0.5], [0.0, 0.0]),
        ([0.0, 0.0], [0.4, 0.4]),
        ([0.0, 0.0], [0.6, 0.6]),
    ];
    for (errors, slow) in bad {
        let world = World {
            errors,
            slow,
            slow_factor: 8.0,
            ..by_key()
        };
        assert_ends(world, RolloutState::Reverted, 100, 0);
    }
}

#[test]
fn a_version_that_gets_few_requests_does_not_take_over() {
    let world = World {
        rates: [14.0, 6.0],
        ..by_key()
    };
    assert_ends(world, RolloutState::Reverted, 20, 0);
}

#[test]
fn without_requests_there_is_no_verdict_and_the_version_is_reverted_by_its_term() {
    let world = World {
        rates: [1.0, 0.0],
        ..World::sound()
    };
    assert_ends(world, RolloutState::Reverted, 10, 0);
}

#[test]
fn a_member_that_hears_late_of_a_rollout_goes_by_what_others_measured() {
    let rollout = Rollout {
        elapsed_ms: 13_500,
        share: 0.05,
        ..Player::new(World::sound(), 1).rollout
    };
    let mut controller = RolloutController::new(
        Timestamp::from_secs(100.0),
        &rollout,
        EXPOSURE,
        TrafficDivision::ByRequest,
    );
    let decided = controller.step(
        Timestamp::from_secs(100.0),
        &rollout,
        &Surroundings::default(),
    );
    let decided = decided.expect("a decision");
    assert_eq!(decided.decision, RolloutDecision::Revert);
    assert!(decided.elapsed >= TimeDelta::from_secs(13.5));
}

#[test]
fn the_time_that_has_passed_is_recorded_while_nothing_changes() {
    let rollout = Rollout {
        share: 0.05,
        elapsed_ms: 100,
        ..Player::new(World::sound(), 1).rollout
    };
    let mut controller = RolloutController::new(
        Timestamp::default(),
        &rollout,
        EXPOSURE,
        TrafficDivision::ByRequest,
    );
    let surroundings = Surroundings::default();
    let mut step = |at_s| controller.step(Timestamp::from_secs(at_s), &rollout, &surroundings);
    assert_eq!(step(0.2), None);
    assert_eq!(step(TERM_S * 0.25 - 0.1), None);
    let decided = step(TERM_S * 0.25 + 0.1).expect("a record");
    assert_eq!(decided.decision, RolloutDecision::Share(0.05));
    assert!(decided.elapsed.secs() >= TERM_S * 0.25);
}

#[test]
fn a_version_does_not_take_over_while_an_edge_sends_to_those_before_it() {
    let rollout = Rollout {
        elapsed_ms: 8_000,
        share: 1.0,
        ..Player::new(World::sound(), 1).rollout
    };
    let edge = |knows_versions| EdgeState {
        name: "edge-0".to_owned(),
        incarnation: 1,
        knows_versions,
    };
    let mut controller = RolloutController::new(
        Timestamp::default(),
        &rollout,
        EXPOSURE,
        TrafficDivision::ByRequest,
    );
    let mut surroundings = Surroundings {
        edges: vec![edge(true)],
        item_version: 5,
        ..Surroundings::default()
    };
    let at = Timestamp::from_secs;
    let report = |item_version, others_in_flight| RolloutObservation {
        number: 7,
        item_version,
        others_in_flight,
        ..RolloutObservation::default()
    };
    assert_eq!(
        controller.step(at(1.5), &rollout, &surroundings),
        None,
        "it has not reported"
    );
    controller.observe("edge-0", 1, report(4, 0));
    assert_eq!(
        controller.step(at(1.6), &rollout, &surroundings),
        None,
        "by an older share"
    );
    controller.observe("edge-0", 1, report(5, 3));
    assert_eq!(
        controller.step(at(1.7), &rollout, &surroundings),
        None,
        "requests under way"
    );
    controller.observe("edge-0", 1, report(5, 0));
    surroundings.edge_lost_lately = true;
    assert_eq!(
        controller.step(at(1.8), &rollout, &surroundings),
        None,
        "an edge was lost"
    );
    surroundings.edge_lost_lately = false;
    surroundings.edges.push(edge(false));
    assert_eq!(
        controller.step(at(1.9), &rollout, &surroundings),
        None,
        "of another program"
    );
    surroundings.edges.pop();
    let decided = controller
        .step(at(2.0), &rollout, &surroundings)
        .expect("a decision");
    assert_eq!(decided.decision, RolloutDecision::Complete);
}
