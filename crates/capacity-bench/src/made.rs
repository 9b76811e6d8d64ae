//! Tasks, edges, routes and services like those of the pages, in any number.

use lynxmill_configuration::{Configuration, Item};
use lynxmill_protocol::{EdgeInfo, EdgeList, Task};

pub const ZONES: usize = 21;
pub const REGIONS: usize = 8;
/// Tasks of the target, in this many services.
pub const TASKS: usize = 7_200;
pub const SERVICES: usize = 200;

pub fn service_name(i: usize) -> String {
    format!("service-{i:03}")
}

pub fn zone(i: usize) -> String {
    format!("zone-hal{:02}", i % ZONES)
}

pub fn region(zone: usize) -> String {
    format!("region-{}", zone % ZONES % REGIONS)
}

pub fn id(i: usize) -> String {
    format!("i-{:08x}", (i as u32 + 1).wrapping_mul(0x9e37_79b1))
}

pub fn task(i: usize, seq: u64, services: usize) -> Task {
    Task {
        id: id(i),
        service: service_name(i % services.max(1)),
        address: format!("10.{}.{}.{}:8080", 128 + i % 64, i / 250 % 250, i % 250),
        zone: zone(i / services.max(1)),
        slots: 4,
        call_seq: seq,
        version: "v1".to_owned(),
        ..Task::default()
    }
}

pub fn tasks(count: usize, seq: u64, services: usize) -> Vec<Task> {
    (0..count).map(|i| task(i, seq, services)).collect()
}

pub fn edge_name(i: usize) -> String {
    format!("edge-{}-{i}", zone(i))
}

pub fn fleet(count: usize) -> EdgeList {
    EdgeList {
        edges: (0..count)
            .map(|i| EdgeInfo {
                name: edge_name(i),
                zone: zone(i),
            })
            .collect(),
    }
}

/// An item with its own identity, as it comes from a call.
fn remembered(item: Item) -> Item {
    Item {
        history: vec![item.identity()],
        ..item
    }
}

/// A route's item as the operator sends it, the first call's version or a later one.
pub fn route(i: usize, version: u64) -> Item {
    let (service, name) = (
        service_name(i % SERVICES),
        format!("r-{:07x}", i * 104_729 % 0xfff_ffff),
    );
    let body = serde_json::json!({
        "Name": name, "Host": format!("tenant{:05}.example", i * 9), "PathPrefix": format!("/part{i:04}/"),
        "RouteKind": "idempotent", "TimeoutS": 2.5, "TargetS": 0.6, "Priority": 2, "Service": service,
        "MaxAttempts": 2, "HomeRegions": ["region-1"],
    });
    remembered(Item {
        key: format!("r/{name}"),
        version,
        body: body.to_string(),
        ..Item::default()
    })
}

pub fn service(i: usize, sharded: bool) -> Item {
    let name = service_name(i);
    let mut body = serde_json::json!({
        "Name": name, "HealthPath": "/health", "MaxConns": 430, "Protocol": "h1", "Tls": false,
        "ColdStartS": 3.0, "ColdPerS": 3.9,
    });
    if sharded {
        body["Sharded"] = true.into();
        body["WarmupS"] = 2.0.into();
        body["Grants"] = "heartbeat".into();
    }
    remembered(Item {
        key: format!("s/{name}"),
        version: 7,
        body: body.to_string(),
        ..Item::default()
    })
}

/// Routes and services; half of the services are sharded, the later ones.
pub fn configuration(routes: usize, services: usize) -> Configuration {
    let mut configuration = Configuration::default();
    for i in 0..routes {
        configuration.merge(&route(i, 7));
    }
    for i in 0..services {
        configuration.merge(&service(i, i >= services / 2));
    }
    configuration
}
