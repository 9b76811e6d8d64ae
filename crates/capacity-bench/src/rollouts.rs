//! The judgement of rollouts: reports of edges taken, and one look at all that they said.

use std::hint::black_box;

use lynxmill_configuration::{Rollout, RolloutState};
use lynxmill_protocol::{LATENCY_BUCKETS, LoadReport, OutcomeCounts, RolloutObservation};
use lynxmill_rollout::{
    EdgeState, ExposureBounds, RolloutController, Surroundings, TrafficDivision,
};
use lynxmill_time::Timestamp;
use prost::Message;

use crate::fit::{Point, show, time};
use crate::made;

const ROUTES: usize = 4;
/// Buckets that answers of one route fall into.
const USED_BUCKETS: usize = 8;

/// What an edge has counted after so many reports.
fn observation(reports: u32) -> RolloutObservation {
    let counts = |n: usize| {
        let mut latencies = vec![0; LATENCY_BUCKETS];
        latencies[8..8 + USED_BUCKETS].fill(reports * 3);
        OutcomeCounts {
            route: format!("route-{}", n / 2),
            is_target: n % 2 == 1,
            ended: reports * 3 * USED_BUCKETS as u32,
            failed: reports / 8,
            latencies,
        }
    };
    RolloutObservation {
        service: made::service_name(0),
        number: 7,
        item_version: 9,
        requests: u64::from(reports) * 100,
        target_requests: u64::from(reports) * 5,
        others_in_flight: 4,
        outcomes: (0..ROUTES * 2).map(counts).collect(),
    }
}

fn rollout() -> Rollout {
    Rollout {
        target_version: "v2".to_owned(),
        duration_ms: 14_000,
        number: 7,
        base_versions: vec!["v1".to_owned()],
        overlaps: Vec::new(),
        state: RolloutState::InProgress,
        share: 0.05,
        elapsed_ms: 0,
    }
}

/// A member that follows one rollout, and the names of its edges.
fn followed(edges: usize) -> (RolloutController, Vec<String>) {
    let bounds = ExposureBounds {
        share: 0.1,
        slack: 50.0,
    };
    let division = TrafficDivision::ByRequest;
    let controller = RolloutController::new(Timestamp::default(), &rollout(), bounds, division);
    let names = (0..edges).map(|n| format!("edge-{n}")).collect();
    (controller, names)
}

/// All edges report once.
fn reports(runs: usize, edges: usize) -> Point {
    let (mut controller, names) = followed(edges);
    let mut count = 0;
    let took = time(runs, 1, || {
        count += 1;
        for name in &names {
            controller.observe(name, 1, observation(count));
        }
    });
    Point::of(edges, took)
}

/// One look.
fn looks(runs: usize, edges: usize) -> Point {
    let (mut controller, names) = followed(edges);
    let states = names.iter().map(|name| EdgeState {
        name: name.clone(),
        incarnation: 1,
        knows_versions: true,
    });
    let surroundings = Surroundings {
        edges: states.collect(),
        target_tasks: 36,
        other_tasks: 36,
        ..Surroundings::default()
    };
    for name in &names {
        controller.observe(name, 1, observation(10));
    }
    let rollout = rollout();
    let mut now_ms = 0;
    let took = time(runs, 10, || {
        now_ms += 1;
        let now = Timestamp::from_micros(now_ms * 1_000);
        black_box(controller.step(now, &rollout, &surroundings));
    });
    Point::of(edges, took)
}

pub fn run(runs: usize) {
    let edges = [62, 295, 740];
    let points = edges.map(|n| reports(runs, n));
    show("rollouts: all edges report once", "us", "edge", &points);
    let points = edges.map(|n| looks(runs, n));
    show("rollouts: one look", "us", "edge", &points);
    let report = |rollouts: usize| LoadReport {
        rollouts: vec![observation(10); rollouts],
        ..LoadReport::default()
    };
    let sizes = [1, 3, 30];
    let points = sizes.map(|n| Point::exact(n, report(n).encoded_len()));
    show("rollouts: bytes of a report", "B", "rollout", &points);
}
