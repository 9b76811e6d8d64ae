//! Consensus on one item: an acceptor's part; and the durable store, on this machine's disk.

use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use lynxmill_consensus::Acceptor;
use lynxmill_placement::initial_slices;
use lynxmill_protocol::{Accept, Ballot, Membership, Prepare, ShardTable};
use lynxmill_storage::{Batch, Store};
use prost::Message;

use crate::fit::{Point, show, time};
use crate::made;

fn members() -> Membership {
    Membership {
        epoch: 1,
        ips: (1..=5).map(|i| format!("10.0.{i}.1")).collect(),
    }
}

/// A value of so many slices.
fn value(slices: usize) -> Vec<u8> {
    let mut berth = ShardTable {
        term: 3,
        owner: "10.0.1.1".to_owned(),
        slices: initial_slices(slices as u32),
    };
    for (i, slice) in berth.slices.iter_mut().enumerate() {
        (slice.owner, slice.generation) = (made::id(i), 7);
    }
    berth.encode_to_vec()
}

pub fn run(runs: usize) {
    let round = |slices: usize, registers: usize| {
        let mut acceptor = Acceptor {
            members: members(),
            incarnation: 9,
            ..Acceptor::default()
        };
        let (value, mut count) = (value(slices), 0);
        time(runs, 50, || {
            count += 1;
            let ballot = Ballot {
                count,
                node: 1,
                incarnation: 5,
            };
            let register = format!("berth/{}", made::service_name(count as usize % registers));
            let asked = Prepare {
                register: register.clone(),
                ballot,
                members: members(),
            };
            black_box(acceptor.prepare(&asked, 1));
            let value = value.clone();
            black_box(acceptor.accept(&Accept {
                register,
                ballot,
                members: members(),
                value,
                incarnation: 9,
            }));
        })
    };
    let sizes = [8, 64, 512];
    let points = sizes.map(|n| Point::of(n, round(n, 1)));
    show("ballots: prepare and accept", "us", "slice", &points);
    let points = [1, 20, 100, 200].map(|n| Point::of(n, round(64, n)));
    show("ballots: of 64 slices each", "us", "register", &points);
    show(
        "ballots: bytes of a value",
        "B",
        "slice",
        &sizes.map(|n| Point::exact(n, value(n).len())),
    );
}

/// Writers at once, each writing one route at a time: milliseconds a write, and how many writes a sync took.
pub fn disk(runs: usize) {
    let folder = std::env::temp_dir().join(format!("capacity-bench-{}", std::process::id()));
    if let Err(fault) = std::fs::create_dir_all(&folder) {
        return eprintln!("capacity-bench: {}: {fault}", folder.display());
    }
    let mut points = Vec::new();
    for writers in [1usize, 8, 32] {
        let Ok((store, _)) = Store::open(&folder.join(format!("disk-{writers}.redb"))) else {
            continue;
        };
        let (written, failed) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let begun = Instant::now();
        let took: Vec<f64> = std::thread::scope(|scope| {
            let write = |writer: usize| {
                let (store, written, failed) = (&store, &written, &failed);
                scope.spawn(move || {
                    let one = |i: usize| {
                        let items = vec![made::route(writer * 64 + i % 64, 8 + i as u64)];
                        let at = Instant::now();
                        let done = store.write(Batch {
                            items,
                            merged: Some(i as u64),
                            ..Batch::default()
                        });
                        if done.is_ok() { written } else { failed }.fetch_add(1, Ordering::Relaxed);
                        at.elapsed().as_secs_f64() * 1e3
                    };
                    (0..runs).map(one).collect::<Vec<f64>>()
                })
            };
            let threads: Vec<_> = (0..writers).map(write).collect();
            threads
                .into_iter()
                .flat_map(|thread| thread.join().unwrap_or_default())
                .collect()
        });
        let (written, failed) = (written.into_inner(), failed.into_inner());
        let a_second = written as f64 / begun.elapsed().as_secs_f64();
        println!("disk: {writers} writers at once: {a_second:.0} writes a second, {failed} failed");
        points.push(Point::of(writers, took));
    }
    show(
        "disk: Store::write, this machine's",
        "ms",
        "writer",
        &points,
    );
    let opened = [200usize, 800, 2_300].map(|n| {
        let path = folder.join(format!("open-{n}.redb"));
        if let Ok((store, _)) = Store::open(&path) {
            let items = made::configuration(n, made::SERVICES)
                .items
                .into_values()
                .collect();
            let _ = store.write(Batch {
                items,
                ..Batch::default()
            });
        }
        Point::of(
            n,
            time(runs.min(10), 1, || drop(black_box(Store::open(&path)))),
        )
    });
    show("disk: Store::open, all read", "us", "route", &opened);
    let _ = std::fs::remove_dir_all(&folder);
}
