//! Tasks: beats and lists of them at a member, words of them at an edge, the choice among them.

use std::hint::black_box;

use lynxmill_configuration::{Bounds, RoutingTable, Service};
use lynxmill_consensus::InstanceRegistry;
use lynxmill_load_balancing::{AttemptResult, Candidates, LoadBalancer, Locality};
use lynxmill_protocol::{
    FrameDecoder, InstanceReport, PeerRequest, RequestEnvelope, ShardTableUpdate, TaskUpdate,
    ToEdge, ToEdgeBody, encode_frame,
};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::fit::{Point, processor_us, show, time};
use crate::heap::holds;
use crate::made::{self, SERVICES, TASKS};

const SIZES: [usize; 4] = [200, 1_000, 3_600, TASKS];

fn yard(count: usize) -> InstanceRegistry {
    let mut yard = InstanceRegistry::new(Timestamp::default(), TimeDelta::from_secs(1.5));
    for task in made::tasks(count, 1, SERVICES) {
        yard.update(Timestamp::default(), &task);
    }
    yard
}

fn pilot() -> LoadBalancer {
    let regions = (0..made::ZONES)
        .map(|z| (made::zone(z), made::region(z)))
        .collect();
    let place = Locality {
        name: made::edge_name(0),
        zone: made::zone(0),
        region: made::region(0),
        regions,
    };
    let bounds = Bounds {
        retry_ratio: 0.2,
        retry_slack: 164.0,
        ..Bounds::default()
    };
    LoadBalancer::new(Timestamp::default(), place, bounds)
}

fn heard(yard: &InstanceRegistry) -> InstanceReport {
    let (heartbeat_ids, heartbeat_sequences) = yard
        .all()
        .map(|k| (k.task.id.clone(), k.task.call_seq))
        .unzip();
    InstanceReport {
        tasks: Vec::new(),
        heartbeat_ids,
        heartbeat_sequences,
    }
}

type Measure = fn(usize, usize) -> Point;

fn series(runs: usize, what: &str, unit: &str, per: &str, sizes: &[usize], measure: Measure) {
    let points: Vec<Point> = sizes.iter().map(|size| measure(runs, *size)).collect();
    show(what, unit, per, &points);
}

fn beat(runs: usize, size: usize) -> Point {
    let (mut yard, mut seq, now) = (yard(size), 1, Timestamp::default());
    let values = (0..runs).map(|_| {
        seq += 1;
        let tasks = made::tasks(size, seq, SERVICES);
        let mut next = tasks.iter();
        let one = || {
            black_box(yard.update(now, next.next().expect("one each")));
        };
        time(1, size / 2, one)[0]
    });
    Point::of(size, values.collect())
}

fn retold(runs: usize, size: usize) -> Point {
    let (mut yard, mut seq, now) = (yard(size), 1, Timestamp::default());
    let ids: Vec<String> = (0..size).map(made::id).collect();
    let values = time(runs, 1, || {
        seq += 1;
        for id in &ids {
            black_box(yard.seen_elsewhere(now, id, seq));
        }
    });
    Point::of(size, values)
}

fn fallen(runs: usize, size: usize) -> Point {
    let mut yard = yard(size);
    Point::of(
        size,
        time(runs, 1, || {
            drop(black_box(yard.take_timed_out(Timestamp::default())))
        }),
    )
}

fn told(runs: usize, size: usize) -> Point {
    let (yard, now) = (yard(size), Timestamp::default());
    Point::of(
        size,
        time(runs, 1, || {
            drop(black_box(
                yard.all().map(|k| k.as_of(now)).collect::<Vec<_>>(),
            ))
        }),
    )
}

fn list(runs: usize, size: usize) -> Point {
    let yard = yard(size);
    let make = || {
        encode_frame(&RequestEnvelope {
            id: 0,
            body: Some(PeerRequest::InstanceReport(heard(&yard))),
        })
    };
    Point::of(size, time(runs, 1, || drop(black_box(make()))))
}

fn list_read(runs: usize, size: usize) -> Point {
    let bytes = encode_frame(&RequestEnvelope {
        id: 0,
        body: Some(PeerRequest::InstanceReport(heard(&yard(size)))),
    });
    let values = time(runs, 1, || {
        let mut frames = FrameDecoder::default();
        frames.push(&bytes);
        drop(black_box(frames.next_message::<RequestEnvelope>()));
    });
    Point::of(size, values)
}

fn whole(size: usize) -> ToEdge {
    let tasks = made::tasks(size, 1_000, SERVICES);
    ToEdge::plain(ToEdgeBody::TaskUpdate(TaskUpdate {
        tasks,
        is_complete: true,
    }))
}

fn whole_made(runs: usize, size: usize) -> Point {
    let message = whole(size);
    Point::of(
        size,
        time(runs, 1, || drop(black_box(encode_frame(&message)))),
    )
}

fn whole_taken(runs: usize, size: usize) -> Point {
    let bytes = encode_frame(&whole(size));
    let values = time(runs, 1, || {
        let mut frames = FrameDecoder::default();
        frames.push(&bytes);
        let Ok(Some(ToEdge {
            body: Some(ToEdgeBody::TaskUpdate(tasks)),
            ..
        })) = frames.next_message()
        else {
            return;
        };
        let mut pilot = pilot();
        tasks
            .tasks
            .iter()
            .for_each(|task| pilot.update_task(Timestamp::default(), "10.0.1.1", task));
        black_box(&pilot);
    });
    Point::of(size, values)
}

fn pilot_with(size: usize, services: usize, cold_ms: u32) -> LoadBalancer {
    let mut pilot = pilot();
    for mut task in made::tasks(size, 1, services) {
        task.warm_up_left_ms = cold_ms;
        pilot.update_task(Timestamp::default(), "10.0.1.1", &task);
    }
    pilot
}

/// Reports are of sharded services only: all are.
fn sharded(mut pilot: LoadBalancer) -> LoadBalancer {
    for i in 0..SERVICES {
        let service = made::service_name(i);
        pilot.apply_shard_table(&ShardTableUpdate {
            service,
            term: 1,
            sequence: 0,
            is_complete: true,
            entries: Vec::new(),
        });
    }
    pilot
}

fn reported(runs: usize, size: usize) -> Point {
    let mut pilot = sharded(pilot_with(TASKS, SERVICES, 0));
    let (now, ids) = (
        Timestamp::default(),
        (0..size).map(made::id).collect::<Vec<_>>(),
    );
    let values = (0..runs).map(|_| {
        for id in &ids {
            pilot.attempt_started(now, id);
            pilot.attempt_ended(
                now,
                id,
                AttemptResult::Answered(TimeDelta::from_secs(0.1)),
                Some(2.0),
            );
        }
        let begun = processor_us();
        black_box(pilot.take_report(now));
        processor_us() - begun
    });
    Point::of(size, values.collect())
}

fn report_bytes(size: usize) -> usize {
    let mut pilot = sharded(pilot_with(size, 1, 0));
    let now = Timestamp::default();
    for i in 0..size {
        pilot.attempt_started(now, &made::id(i));
        pilot.attempt_ended(
            now,
            &made::id(i),
            AttemptResult::Answered(TimeDelta::from_secs(0.1)),
            Some(2.0),
        );
    }
    encode_frame(&pilot.take_report(now)).len()
}

pub fn run(runs: usize) {
    series(
        runs,
        "tasks: beat (InstanceRegistry::word)",
        "us",
        "task",
        &SIZES,
        beat,
    );
    series(
        runs,
        "tasks: list taken (InstanceRegistry::heard)",
        "us",
        "task",
        &SIZES,
        retold,
    );
    series(
        runs,
        "tasks: sweep (InstanceRegistry::fallen)",
        "us",
        "task",
        &SIZES,
        fallen,
    );
    series(
        runs,
        "tasks: copies (InstanceRecord::told)",
        "us",
        "task",
        &SIZES,
        told,
    );
    series(
        runs,
        "tasks: list made and encoded",
        "us",
        "task",
        &SIZES,
        list,
    );
    series(runs, "tasks: list decoded", "us", "task", &SIZES, list_read);
    series(
        runs,
        "tasks: whole encoded",
        "us",
        "task",
        &SIZES,
        whole_made,
    );
    series(
        runs,
        "tasks: whole decoded, in LoadBalancer",
        "us",
        "task",
        &SIZES,
        whole_taken,
    );
    let rows = [8, 36, 150];
    series(
        runs,
        "tasks: LoadBalancer::report, of 7200",
        "us",
        "row",
        &rows,
        reported,
    );
    let exact = |of: &dyn Fn(usize) -> usize, sizes: &[usize]| -> Vec<Point> {
        sizes.iter().map(|n| Point::exact(*n, of(*n))).collect()
    };
    show(
        "tasks: bytes of a list",
        "B",
        "task",
        &exact(&|n| encode_frame(&heard(&yard(n))).len(), &SIZES),
    );
    show(
        "tasks: bytes of the whole",
        "B",
        "task",
        &exact(&|n| encode_frame(&whole(n)).len(), &SIZES),
    );
    show(
        "tasks: bytes of a report",
        "B",
        "row",
        &exact(&report_bytes, &rows),
    );
    show(
        "tasks: memory of a InstanceRegistry",
        "B",
        "task",
        &exact(&|n| holds(|| yard(n)).0, &SIZES),
    );
    let known = |n| holds(|| pilot_with(n, SERVICES, 0)).0;
    show(
        "tasks: memory of a LoadBalancer",
        "B",
        "task",
        &exact(&known, &SIZES),
    );
    let edges = [12, 60, 200, 735];
    show(
        "edges: bytes of the fleet",
        "B",
        "edge",
        &exact(&|n| encode_frame(&made::fleet(n)).len(), &edges),
    );
}

fn chosen(runs: usize, pilot: &mut LoadBalancer, size: usize) -> Point {
    let service = Service {
        name: made::service_name(0),
        cold_per_s: 3.9,
        ..Service::default()
    };
    let tried: [String; 0] = [];
    let choice = Candidates {
        service: &service,
        homes: &[],
        key: None,
        excluded: &tried,
        latency_target: TimeDelta::from_secs(0.6),
    };
    let mut drawn = 0.0;
    let values = time(runs, 20, || {
        drawn = (drawn + 0.377) % 1.0;
        black_box(pilot.select(Timestamp::default(), &choice, drawn));
    });
    Point::of(size, values)
}

/// The choice among so many tasks of one service, warm and cold.
pub fn choice(runs: usize) {
    let among = |runs, size| chosen(runs, &mut pilot_with(size, 1, 0), size);
    series(
        runs,
        "choice: LoadBalancer::choose",
        "us",
        "task",
        &[8, 16, 36, 200, 1_000, TASKS],
        among,
    );
    let among_cold = |runs, size| {
        let mut pilot = pilot_with(36, 1, 60_000);
        pilot.set_edges(made::fleet(size));
        chosen(runs, &mut pilot, size)
    };
    series(
        runs,
        "choice: of 36 tasks, all cold",
        "us",
        "edge",
        &[12, 60, 200, 735],
        among_cold,
    );
    let of_routes = |runs, size| {
        let chart = RoutingTable::new(&made::configuration(size, SERVICES));
        let host = format!("tenant{:05}.example", size / 2 * 9);
        let path = format!("/part{:04}/2f", size / 2);
        Point::of(
            size,
            time(runs, 20, || {
                drop(black_box(chart.match_route(&host, &path)))
            }),
        )
    };
    series(
        runs,
        "choice: Chart::find",
        "us",
        "route",
        &[50, 200, 800, 2_300],
        of_routes,
    );
}
