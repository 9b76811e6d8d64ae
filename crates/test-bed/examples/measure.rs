//! Measures forwarders on loopback: what they add to a call, what a core carries, memory per connection, and how long a
//! publication takes to the last of them. Long, so by hand, with nothing else running:
//!
//!     cargo build --release -p lynxmill-daemon -p lynxmill-forward
//!     cargo run --release -p lynxmill-rig --example measure

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;
use hdrhistogram::Histogram;
use lynxmill_fake_servers::worker::WorkerKind;
use lynxmill_registry::layout::{KeyLocation, Layout, Line, spell};
use lynxmill_test_bed::{TestBed, TestBedOptions};
use tokio::net::TcpStream;

fn client() -> Client {
    Client::builder().disable_timeout().finish()
}

/// One call; the server that answered.
async fn call(client: &Client, at: SocketAddr, path: &str) -> Option<String> {
    let sent = client
        .post(format!("http://{at}{path}"))
        .insert_header(("x-client", "m"))
        .send_body("ballot");
    let mut answer = sent.await.ok()?;
    let server = answer
        .headers()
        .get("x-server")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    answer.body().await.ok()?;
    server.filter(|_| answer.status().is_success())
}

async fn latency(at: SocketAddr, path: &str) -> Histogram<u64> {
    let (client, mut took) = (client(), Histogram::<u64>::new(3).expect("a histogram"));
    for turn in 0..6000 {
        let begun = Instant::now();
        call(&client, at, path).await.expect("an answer");
        if turn >= 1000 {
            let _ = took.record(begun.elapsed().as_micros() as u64);
        }
    }
    took
}

/// As many calls as come through in 4 s, so many at a time over all forwarders; and the cores that each forwarder used.
async fn throughput(rig: &TestBed, path: &'static str, at_once: usize) -> (f64, f64) {
    let before: f64 = rig
        .forwarders
        .iter()
        .map(|forwarder| forwarder.used().0)
        .sum();
    let (done, begun) = (Rc::new(Cell::new(0_u64)), Instant::now());
    let tasks: Vec<_> = (0..at_once)
        .map(|number| {
            let (done, at) = (done.clone(), rig.ports()[number % rig.ports().len()]);
            actix_rt::spawn(async move {
                let client = client();
                while begun.elapsed() < Duration::from_secs(4) {
                    if call(&client, at, path).await.is_some() {
                        done.set(done.get() + 1);
                    }
                }
            })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
    let used: f64 = rig
        .forwarders
        .iter()
        .map(|forwarder| forwarder.used().0)
        .sum::<f64>()
        - before;
    (
        done.get() as f64 / begun.elapsed().as_secs_f64(),
        done.get() as f64 / used.max(1e-9),
    )
}

/// KB for each idle connection, at the first forwarder.
async fn idle(rig: &TestBed) -> f64 {
    let (at, rss) = (rig.ports()[0], || rig.forwarders[0].used().1 * 1024.0);
    const IDLE: usize = 800;
    let before = rss();
    let mut held = Vec::new();
    for _ in 0..IDLE {
        held.push(TcpStream::connect(at).await.expect("a connection"));
    }
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    (rss() - before) / held.len() as f64
}

/// KB for each connection with an answer under way that nobody takes, at the second, which has done nothing yet.
async fn busy(rig: &TestBed) -> f64 {
    let (at, rss) = (rig.ports()[1], || rig.forwarders[1].used().1 * 1024.0);
    const BUSY: usize = 200;
    let before = rss();
    let tasks: Vec<_> = (0..BUSY)
        .map(|number| {
            actix_rt::spawn(async move {
                let sent = client()
                    .post(format!("http://{at}/lookup/k{number}"))
                    .insert_header(("x-want-bytes", "4000000"));
                let answer = sent.send().await;
                // Its answer is under way and nobody takes it.
                actix_rt::time::sleep(Duration::from_secs(2)).await;
                drop(answer);
            })
        })
        .collect();
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let busy = (rss() - before) / BUSY as f64;
    for task in tasks {
        let _ = task.await;
    }
    busy
}

/// From a publication in the registry until each forwarder sends to the new owner; the last of them.
async fn publication(rig: &TestBed) -> Histogram<u64> {
    let layout = Layout::new("rig");
    let names: Vec<String> = rig.servers.keys().cloned().collect();
    let mut took = Histogram::<u64>::new(3).expect("a histogram");
    for turn in 0..40_u64 {
        let to = names[turn as usize % names.len()].clone();
        let line = Line {
            server: Some(to.clone()),
            generation: 1_000 + turn,
            stamp: format!("m{turn}"),
        };
        rig.registry.change(|store| {
            for slice in 0..rig.wish.slices {
                store.put(&layout.key(&KeyLocation::Line(slice)), &spell(&line));
            }
        });
        let begun = Instant::now();
        let tasks: Vec<_> = rig
            .ports()
            .iter()
            .map(|at| {
                let (at, to) = (*at, to.clone());
                actix_rt::spawn(async move {
                    let client = client();
                    while call(&client, at, "/lookup/k").await.as_ref() != Some(&to) {}
                    begun.elapsed()
                })
            })
            .collect();
        let mut last = Duration::ZERO;
        for task in tasks {
            last = last.max(task.await.unwrap_or_default());
        }
        let _ = took.record(last.as_micros() as u64);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    took
}

fn shown(of: &Histogram<u64>) -> String {
    let ms = |part| of.value_at_quantile(part) as f64 / 1e3;
    format!("{:.2} / {:.2} / {:.2}", ms(0.5), ms(0.99), ms(0.999))
}

async fn measure(copies: usize) {
    let nature = WorkerKind {
        cores: 64,
        work: Duration::ZERO,
        write_work: Duration::ZERO,
        cold_from: 1.0,
        warm_after: Duration::from_secs(1),
        strange: 1.0,
        most: 100_000,
    };
    // No assigner: nobody but this publishes.
    let wish = TestBedOptions {
        assigners: 0,
        forwarders: copies,
        servers: 2,
        nature,
        ..TestBedOptions::default()
    };
    let rig = TestBed::start(wish).expect("all is built and starts");
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    if copies == 1 {
        let direct = rig.servers.values().next().expect("a server").at;
        for path in ["/lookup/k", "/vote/k"] {
            let (direct, through) = (
                latency(direct, path).await,
                latency(rig.ports()[0], path).await,
            );
            println!(
                "{path}: direct {} ms, through a forwarder {} ms (50/99/99.9%)",
                shown(&direct),
                shown(&through)
            );
        }
        println!(
            "memory: {:.1} MB, {:.1} KB per idle connection",
            rig.forwarders[0].used().1,
            idle(&rig).await
        );
    } else if copies == 4 {
        println!("memory: {:.1} KB per busy connection", busy(&rig).await);
    }
    let (reads, reads_core) = throughput(&rig, "/lookup/k", 32).await;
    let (writes, writes_core) = throughput(&rig, "/vote/k", 32).await;
    let published = publication(&rig).await;
    println!(
        "| {copies} | {reads:.0} | {reads_core:.0} | {writes:.0} | {writes_core:.0} | {} |",
        shown(&published)
    );
}

fn main() {
    actix_rt::System::new().block_on(async {
        println!("| copies | reads a second | per core | writes a second | per core | publication to the last, ms 50/99/99.9% |");
        for copies in [1, 4, 16] {
            measure(copies).await;
        }
    });
}
