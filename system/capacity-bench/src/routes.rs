//! The configuration: routing table, merges, checks, digests, copies.

use std::hint::black_box;

use lynxmill_configuration::{Chart, Item, Manifest, Patch};
use lynxmill_consensus::judge;
use lynxmill_protocol::{Calls, Goods, ToEdge, ToEdgeBody, frame};
use lynxmill_storage::{differing, digests};

use crate::fit::{Point, show, time};
use crate::heap::holds;
use crate::made::{self, SERVICES};

const SIZES: [usize; 4] = [50, 200, 800, 2_300];

fn over(what: &str, unit: &str, per: &str, sizes: &[usize], measure: &dyn Fn(usize) -> Point) {
    show(what, unit, per, &sizes.iter().map(|n| measure(*n)).collect::<Vec<_>>());
}

fn goods(manifest: &Manifest) -> ToEdge {
    let items: Vec<Item> = manifest.items.values().cloned().collect();
    ToEdge { body: Some(ToEdgeBody::Goods(Goods { items, whole: true })) }
}

/// The first call of the operator, as it comes in.
fn first_call(routes: usize) -> Vec<u8> {
    let back = made::manifest(routes, SERVICES).read_back();
    serde_json::json!({ "Upsert": back }).to_string().into_bytes()
}

pub fn run(runs: usize) {
    let timed = |n: usize, batch: usize, work: &mut dyn FnMut()| Point::of(n, time(runs, batch, work));
    let of = |n: usize| made::manifest(n, SERVICES);
    over("routes: Chart::new", "us", "route", &SIZES, &|n| {
        let manifest = of(n);
        timed(n, 1, &mut || drop(black_box(Chart::new(&manifest))))
    });
    over("routes: Manifest::merge, one newer", "us", "route", &SIZES, &|n| {
        let (mut manifest, mut version) = (of(n), 7);
        timed(n, 20, &mut || {
            version += 1;
            black_box(manifest.merge(&made::route(n / 2, version)));
        })
    });
    over("routes: Manifest::check, one item", "us", "route", &SIZES, &|n| {
        let (manifest, patch) = (of(n), Patch { items: vec![made::route(n / 2, 8)] });
        timed(n, 1, &mut || drop(black_box(manifest.check(&patch))))
    });
    over("routes: judge, one item", "us", "route", &SIZES, &|n| {
        let (manifest, patch) = (of(n), Patch { items: vec![made::route(n / 2, 8)] });
        let calls = Calls { last: 9, calls: Vec::new() };
        timed(n, 1, &mut || drop(black_box(judge(&manifest, 9, calls.clone(), 9, |_| patch.clone()))))
    });
    over("routes: Patch::read, first call", "us", "route", &SIZES, &|n| {
        let body = first_call(n);
        timed(n, 1, &mut || drop(black_box(Patch::read(&body))))
    });
    over("routes: read_back", "us", "route", &SIZES, &|n| {
        let manifest = of(n);
        timed(n, 1, &mut || drop(black_box(manifest.read_back().to_string())))
    });
    over("routes: digests", "us", "route", &SIZES, &|n| {
        let manifest = of(n);
        timed(n, 1, &mut || drop(black_box(digests(&manifest))))
    });
    over("routes: differing by one", "us", "route", &SIZES, &|n| {
        let (manifest, mut other) = (of(n), of(n));
        other.merge(&made::route(n / 2, 8));
        let told = digests(&other);
        timed(n, 1, &mut || drop(black_box(differing(&manifest, &told))))
    });
    over("routes: whole encoded", "us", "route", &SIZES, &|n| {
        let message = goods(&of(n));
        timed(n, 1, &mut || drop(black_box(frame(&message))))
    });
    over("routes: services() to the end", "us", "service", &[2, 20, 80, 200], &|n| {
        let manifest = made::manifest(0, n);
        timed(n, 1, &mut || {
            black_box(manifest.services().filter(|s| s.name.is_empty()).count());
        })
    });
    over("routes: bytes of the whole", "B", "route", &SIZES, &|n| {
        Point::exact(n, frame(&goods(&of(n))).len())
    });
    over("routes: bytes of one changed", "B", "route", &[1], &|n| {
        let body = Some(ToEdgeBody::Goods(Goods { items: vec![made::route(n, 8)], whole: false }));
        Point::exact(n, frame(&ToEdge { body }).len())
    });
    over("routes: memory of a Manifest", "B", "route", &SIZES, &|n| Point::exact(n, holds(|| of(n)).0));
    over("routes: memory of a Chart", "B", "route", &SIZES, &|n| {
        let manifest = of(n);
        Point::exact(n, holds(|| Chart::new(&manifest)).0)
    });
}
