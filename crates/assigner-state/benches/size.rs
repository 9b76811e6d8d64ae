//! Time of a kind of load by the size of the fleet: `cargo bench -p lynxmill-state`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use fleet::{Fleet, Load};

fn sizes(criterion: &mut Criterion) {
    let loads: [(&str, Load); 4] = [
        ("a second of reports", Fleet::reports),
        ("a quarter of the proxies come again", Fleet::burst),
        ("all proxies answer", Fleet::answers),
        ("a quarter of the servers replaced", Fleet::release),
    ];
    for (name, load) in loads {
        let mut group = criterion.benchmark_group(name);
        group.sample_size(10);
        for proxies in [150, 600, 2400, 9600] {
            group.bench_with_input(
                BenchmarkId::from_parameter(proxies),
                &proxies,
                |bench, &proxies| {
                    let ready = || {
                        let mut fleet = Fleet::new(proxies);
                        fleet.reports();
                        fleet
                    };
                    bench.iter_batched_ref(ready, load, BatchSize::PerIteration);
                },
            );
        }
    }
}

criterion_group!(benches, sizes);
criterion_main!(benches);
