//! Measures the registry client against the stand-in over loopback: changes followed a second and their lag, time to
//! resume after a break, time and memory of a reread. Long, so by hand:
//!
//!     cargo run --release -p lynxmill-registry-io --example measure

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lynxmill_fake_servers::registry::{Faults, Registry as Standin};
use lynxmill_registry::{Backoff, Change, Protocol, WatchEvent, WatchFollower, consul, etcd};
use lynxmill_registry_transport::{Registry, Runner};
use lynxmill_time::{TimeDelta, Timestamp};

fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

#[derive(Default)]
struct Heard {
    changes: Cell<u64>,
    wholes: Cell<u64>,
    broke: Cell<u64>,
    lags: RefCell<Option<Histogram<u64>>>,
}

fn follower(
    standin: &Standin,
    protocol: Box<dyn Protocol>,
    heard: &Rc<Heard>,
) -> Rc<Runner<WatchFollower>> {
    let begun = Instant::now();
    let registry = Registry::new(standin.at, protocol);
    let backoff = Backoff::new(TimeDelta::from_secs(0.01), TimeDelta::from_secs(0.5), 1);
    let follow = WatchFollower::new(
        registry.protocol().style(),
        "m/",
        TimeDelta::from_secs(0.2),
        backoff,
    );
    let (hear, epoch) = (heard.clone(), epoch());
    Runner::start(
        follow,
        registry,
        move || Timestamp::from_secs(begun.elapsed().as_secs_f64()),
        move |told| match told {
            WatchEvent::Change(Change::Put(pair)) => {
                hear.changes.set(hear.changes.get() + 1);
                let sent: u64 = std::str::from_utf8(&pair.value)
                    .ok()
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0);
                if let (Some(lags), true) = (&mut *hear.lags.borrow_mut(), sent > 0) {
                    let now = epoch.elapsed().as_micros() as u64;
                    let _ = lags.record(now.saturating_sub(sent).max(1));
                }
            }
            WatchEvent::Whole { .. } => hear.wholes.set(hear.wholes.get() + 1),
            WatchEvent::Broke => hear.broke.set(hear.broke.get() + 1),
            _ => {}
        },
    )
}

fn epoch() -> Instant {
    static EPOCH: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *EPOCH.get_or_init(Instant::now)
}

async fn until(what: impl Fn() -> bool) -> f64 {
    let begun = Instant::now();
    while !what() && begun.elapsed() < Duration::from_secs(120) {
        actix_rt::time::sleep(Duration::from_micros(200)).await;
    }
    begun.elapsed().as_secs_f64() * 1e3
}

async fn measure(name: &str, protocol: fn() -> Box<dyn Protocol>, lines: usize) {
    let standin = Standin::start(Faults::default()).expect("a free port");
    standin.change(|store| {
        for k in 0..lines {
            store.put(&format!("m/{k:06}"), b"0");
        }
    });
    let heard = Rc::new(Heard::default());
    let before = resident_mb();
    let runner = follower(&standin, protocol(), &heard);
    let reread = until(|| heard.wholes.get() > 0).await;
    let memory = resident_mb() - before;
    *heard.lags.borrow_mut() = Some(Histogram::new(3).expect("a histogram"));
    // Changes as quickly as they are taken in for 3 s, a few at a time.
    let (begun, first) = (Instant::now(), heard.changes.get());
    let mut written = 0;
    while begun.elapsed() < Duration::from_secs(3) {
        let sent = epoch().elapsed().as_micros() as u64;
        standin.change(|store| {
            for k in 0..20 {
                store.put(
                    &format!("m/{:06}", (written + k) % lines),
                    (sent + k as u64).to_string().as_bytes(),
                );
            }
        });
        written += 20;
        let target = first + written as u64;
        // A poll tells only the newest of each key.
        let polls = runner.look(WatchFollower::seen).map(|seen| seen.0);
        let newest = standin.store().revision;
        until(|| {
            heard.changes.get() >= target
                || runner.look(WatchFollower::seen).map(|s| s.0) >= Some(newest)
        })
        .await;
        let _ = polls;
    }
    let seconds = begun.elapsed().as_secs_f64();
    let lags = heard.lags.take().expect("a histogram");
    let quantile = |q: f64| lags.value_at_quantile(q) as f64 / 1e3;
    let mut resumes = Histogram::<u64>::new(3).expect("a histogram");
    for _ in 0..20 {
        standin.break_watches();
        standin.change(|store| store.put("m/000000", b"1"));
        let newest = standin.store().revision;
        let took = until(|| runner.look(WatchFollower::seen).map(|s| s.0) >= Some(newest)).await;
        let _ = resumes.record((took * 1e3) as u64 + 1);
    }
    println!(
        "| {name} | {lines} | {:.0} | {:.2} / {:.2} / {:.2} | {:.1} / {:.1} | {reread:.0} | {memory:.0} |",
        (heard.changes.get() - first) as f64 / seconds,
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        resumes.value_at_quantile(0.5) as f64 / 1e3,
        resumes.max() as f64 / 1e3,
    );
    runner.kill();
    standin.close();
}

fn main() {
    epoch();
    println!(
        "| protocol | lines | changes followed a second | lag ms 50/99/99.9% | resume ms 50%/most | first reading ms | MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    actix_rt::System::new().block_on(async {
        for lines in [1_000, 10_000, 100_000] {
            measure("etcd", || Box::new(etcd::Etcd::new("m/")), lines).await;
        }
        for lines in [1_000, 10_000] {
            measure("consul", || Box::new(consul::Consul::new("m/")), lines).await;
        }
    });
}
