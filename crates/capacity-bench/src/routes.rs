//! The configuration: routing table, merges, checks, digests, copies.

use std::hint::black_box;

use lynxmill_configuration::{Configuration, ConfigurationChange, Item, RoutingTable};
use lynxmill_consensus::validate;
use lynxmill_protocol::{ConfigurationUpdate, PendingChanges, ToEdge, ToEdgeBody, encode_frame};
use lynxmill_storage::{differing_items, digests};

use crate::fit::{Point, show, time};
use crate::heap::holds;
use crate::made::{self, SERVICES};

const SIZES: [usize; 4] = [50, 200, 800, 2_300];

fn over(what: &str, unit: &str, per: &str, sizes: &[usize], measure: &dyn Fn(usize) -> Point) {
    show(
        what,
        unit,
        per,
        &sizes.iter().map(|n| measure(*n)).collect::<Vec<_>>(),
    );
}

fn goods(configuration: &Configuration) -> ToEdge {
    let items: Vec<Item> = configuration.items.values().cloned().collect();
    ToEdge::plain(ToEdgeBody::ConfigurationUpdate(ConfigurationUpdate {
        items,
        is_complete: true,
    }))
}

/// The first call of the operator, as it comes in.
fn first_call(routes: usize) -> Vec<u8> {
    let back = made::configuration(routes, SERVICES).read_back();
    serde_json::json!({ "Upsert": back })
        .to_string()
        .into_bytes()
}

pub fn run(runs: usize) {
    let timed =
        |n: usize, batch: usize, work: &mut dyn FnMut()| Point::of(n, time(runs, batch, work));
    let of = |n: usize| made::configuration(n, SERVICES);
    over("routes: Chart::new", "us", "route", &SIZES, &|n| {
        let configuration = of(n);
        timed(n, 1, &mut || {
            drop(black_box(RoutingTable::new(&configuration)))
        })
    });
    over(
        "routes: Configuration::merge, one newer",
        "us",
        "route",
        &SIZES,
        &|n| {
            let (mut configuration, mut version) = (of(n), 7);
            timed(n, 20, &mut || {
                version += 1;
                black_box(configuration.merge(&made::route(n / 2, version)));
            })
        },
    );
    over(
        "routes: Configuration::check, one item",
        "us",
        "route",
        &SIZES,
        &|n| {
            let (configuration, patch) = (
                of(n),
                ConfigurationChange {
                    items: vec![made::route(n / 2, 8)],
                },
            );
            timed(n, 1, &mut || drop(black_box(configuration.check(&patch))))
        },
    );
    over("routes: validate, one item", "us", "route", &SIZES, &|n| {
        let (configuration, patch) = (
            of(n),
            ConfigurationChange {
                items: vec![made::route(n / 2, 8)],
            },
        );
        let calls = PendingChanges {
            last_number: 9,
            changes: Vec::new(),
        };
        timed(n, 1, &mut || {
            drop(black_box(validate(
                &configuration,
                9,
                calls.clone(),
                9,
                |_| patch.clone(),
            )))
        })
    });
    over(
        "routes: ConfigurationChange::read, first call",
        "us",
        "route",
        &SIZES,
        &|n| {
            let body = first_call(n);
            timed(n, 1, &mut || {
                drop(black_box(ConfigurationChange::read(&body)))
            })
        },
    );
    over("routes: read_back", "us", "route", &SIZES, &|n| {
        let configuration = of(n);
        timed(n, 1, &mut || {
            drop(black_box(configuration.read_back().to_string()))
        })
    });
    over("routes: digests", "us", "route", &SIZES, &|n| {
        let configuration = of(n);
        timed(n, 1, &mut || drop(black_box(digests(&configuration))))
    });
    over("routes: differing by one", "us", "route", &SIZES, &|n| {
        let (configuration, mut other) = (of(n), of(n));
        other.merge(&made::route(n / 2, 8));
        let told = digests(&other);
        timed(n, 1, &mut || {
            drop(black_box(differing_items(&configuration, &told)))
        })
    });
    over("routes: whole encoded", "us", "route", &SIZES, &|n| {
        let message = goods(&of(n));
        timed(n, 1, &mut || drop(black_box(encode_frame(&message))))
    });
    over(
        "routes: services() to the end",
        "us",
        "service",
        &[2, 20, 80, 200],
        &|n| {
            let configuration = made::configuration(0, n);
            timed(n, 1, &mut || {
                black_box(
                    configuration
                        .services()
                        .filter(|s| s.name.is_empty())
                        .count(),
                );
            })
        },
    );
    over("routes: bytes of the whole", "B", "route", &SIZES, &|n| {
        Point::exact(n, encode_frame(&goods(&of(n))).len())
    });
    over("routes: bytes of one changed", "B", "route", &[1], &|n| {
        let body = ToEdgeBody::ConfigurationUpdate(ConfigurationUpdate {
            items: vec![made::route(n, 8)],
            is_complete: false,
        });
        Point::exact(n, encode_frame(&ToEdge::plain(body)).len())
    });
    over(
        "routes: memory of a Configuration",
        "B",
        "route",
        &SIZES,
        &|n| Point::exact(n, holds(|| of(n)).0),
    );
    over("routes: memory of a Chart", "B", "route", &SIZES, &|n| {
        let configuration = of(n);
        Point::exact(n, holds(|| RoutingTable::new(&configuration)).0)
    });
}
