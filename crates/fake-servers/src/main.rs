//! A toy deployment for trying lynxmilld by hand: a relay with four proxies and eight slices, discovery with
//! three servers, and a collector. After a while one server drains, goes and comes back, and so on.

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lynxmill_fake_servers::{Collector, FakeServers};
use serde_json::Value;

const SERVERS: [&str; 3] = ["s-one", "s-two", "s-three"];
/// Seconds that a server drains, is gone and is back before the next one's turn.
const STAGES: [(u64, &str); 3] = [(10, "draining"), (15, "gone"), (20, "ready")];

fn main() -> Result<(), Box<dyn Error>> {
    let path = std::env::args()
        .nth(1)
        .ok_or("usage: lynxmill-standin CONFIG.json")?;
    let told: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
    let address = |of: &Value| of.as_str().unwrap_or_default().parse::<SocketAddr>();
    let lease = Duration::from_secs_f64(
        told["settings"]["specifics"]["lease"]
            .as_f64()
            .unwrap_or(4.0),
    );
    let (relay, discovery) = (
        address(&told["registry"]["address"])?,
        address(&told["discovery"])?,
    );
    let assigner = address(&told["listen"])?;
    let standin = FakeServers::start(relay, discovery, lease)?;
    println!("relay at {relay}, discovery at {discovery}, waiting for an assigner at {assigner}");
    standin.change(|state| {
        SERVERS
            .iter()
            .for_each(|server| state.list(server, "ready", 0.0));
        (0..8).for_each(|slice| state.give(slice, Some(SERVERS[slice % 3])));
        (0..4).for_each(|px| state.attach(px));
    });
    let (begin, mut turn, mut shown) = (Instant::now(), 0, String::new());
    let mut collector: Option<Collector> = None;
    loop {
        std::thread::sleep(Duration::from_millis(500));
        collector = collector.or_else(|| {
            let mut new = Collector::connect(assigner).ok()?;
            new.say(&["telemetry", "zone", "a"]).ok()?;
            println!("the collector has reached the assigner");
            Some(new)
        });
        if collector
            .as_mut()
            .is_some_and(|collector| report(collector, &standin).is_err())
        {
            println!("the collector has lost the assigner");
            collector = None;
        }
        let (round, server) = (turn / STAGES.len(), SERVERS[turn / STAGES.len() % 3]);
        let (second, status) = STAGES[turn % STAGES.len()];
        if begin.elapsed().as_secs() >= second + 20 * round as u64 {
            let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs_f64() * 1e3;
            standin.change(|state| {
                state.list(server, status, if status == "ready" { now } else { 0.0 })
            });
            println!("{server} is {status}");
            turn += 1;
        }
        let owners = |slice| standin.state().owner(slice).unwrap_or("-").to_owned();
        let owners: Vec<String> = (0..8)
            .map(|slice| format!("{slice}:{}", owners(slice)))
            .collect();
        let owners = owners.join(" ");
        if owners != shown {
            println!("owners {owners}");
            shown = owners;
        }
        for torn in standin.change(|state| std::mem::take(&mut state.torn)) {
            println!("RULE BROKEN: {torn}");
        }
    }
}

/// What the proxies of a quiet day would have met since the last report.
fn report(collector: &mut Collector, standin: &FakeServers) -> std::io::Result<()> {
    for slice in 0..8 {
        let owner = standin.state().owner(slice).map(str::to_owned);
        let Some(owner) = owner else { continue };
        collector.say(&[
            "upstream_stats",
            "zone",
            "a",
            "server",
            &owner,
            "tries",
            "10",
            "failed",
            "0",
            "mean_ms",
            "90.0",
            "span_ms",
            "500.0",
            "load",
            "outstanding:2",
        ])?;
        collector.say(&[
            "range_stats",
            "slice",
            &slice.to_string(),
            "class",
            "lookup",
            "tries",
            "10",
            "failed",
            "0",
            "span_ms",
            "500.0",
        ])?;
    }
    Ok(())
}
