//! The routing table and the settings file.

use lynxmill_configuration::{
    Configuration, ConfigurationChange, Route, RouteKind, RoutingTable, Split, evacuation, parse,
};
use serde_json::json;

fn chart() -> RoutingTable {
    let route = |name: &str, host: &str, prefix: &str, to: &str, aim: f64| {
        json!({"Name": name, "Host": host, "PathPrefix": prefix, "TimeoutS": 2, "TargetS": aim,
            "MaxAttempts": 1, "Service": to, "Version": "00000001"})
    };
    let routes = [
        route("whole", "a.example", "/", "one", 0.9),
        route("deep", "a.example", "/x/y/", "two", 0.4),
        route("mid", "a.example", "/x/", "one", 0.7),
        route("other", "B.example", "/x/", "two", 0.5),
    ];
    let services = ["one", "two"].map(|s| json!({"Name": s, "Version": "00000001"}));
    let call = json!({"Upsert": {"Routes": routes, "Services": services}}).to_string();
    let patch = ConfigurationChange::read(call.as_bytes()).unwrap();
    let mut all = Configuration::default();
    all.check(&patch).unwrap();
    for item in &patch.items {
        all.merge(item);
    }
    all.merge(&evacuation("hal1", true, 0));
    RoutingTable::new(&all)
}

#[test]
fn the_longest_prefix_wins() {
    let chart = chart();
    let found = |host: &str, path: &str| chart.match_route(host, path).map(|r| r.name.clone());
    for (path, name) in [
        ("/", "whole"),
        ("/x", "whole"),
        ("/x/", "mid"),
        ("/x/y", "mid"),
        ("/x/y/z", "deep"),
    ] {
        assert_eq!(found("a.example", path).as_deref(), Some(name), "{path}");
    }
    assert_eq!(
        found("A.Example:8144", "/x/y/z?q=1").as_deref(),
        Some("deep"),
        "port and case don't count"
    );
    assert_eq!(found("b.example", "/x/y/z").as_deref(), Some("other"));
    assert_eq!(found("b.example", "/y/"), None);
    assert_eq!(found("c.example", "/"), None);
    assert_eq!(
        (
            chart.latency_target("one"),
            chart.latency_target("two"),
            chart.latency_target("none")
        ),
        (Some(0.7), Some(0.4), None)
    );
    assert!(chart.evacuated("hal1") && !chart.evacuated("hal2"));
}

#[test]
fn a_split_is_drawn_by_weight() {
    let to = |service: &str, weight: f64| Split {
        service: service.to_owned(),
        weight,
    };
    let split = vec![
        to("none", 0.0),
        to("most", 90.0),
        to("few", 10.0),
        to("never", 0.0),
    ];
    let route = Route {
        split,
        service: "unused".to_owned(),
        ..Route::default()
    };
    let drawn = |n: u32| route.select_service(f64::from(n) / 1000.0).to_owned();
    assert_eq!((0..1000).filter(|n| drawn(*n) == "most").count(), 900);
    assert_eq!((0..1000).filter(|n| drawn(*n) == "few").count(), 100);
    assert_eq!(
        route.select_service(1.0),
        "few",
        "what rounding leaves over goes to one that has a weight"
    );
    let plain = Route {
        service: "one".to_owned(),
        ..Route::default()
    };
    assert_eq!(
        (plain.select_service(0.0), plain.select_service(0.999)),
        ("one", "one")
    );
}

#[test]
fn only_idempotent_routes_may_be_repeated() {
    let kind = |kind: &str| Route {
        route_kind: kind.to_owned(),
        ..Route::default()
    };
    let kinds = ["idempotent", "non_idempotent", "upload", "unheard-of", ""];
    assert_eq!(
        kinds.map(|k| kind(k).is_idempotent()),
        [true, false, false, false, false]
    );
    assert_eq!(kind("upload").kind(), RouteKind::Upload);
    assert_eq!(kind("unheard-of").kind(), RouteKind::NonIdempotent);
}

const SETTINGS: &str = r#"
NodeName: "core-1"
Role: "brain"
Serves: ["edge", "control", "directory"]
Ip: "10.1.0.35"
Zone: "hal1"
Zones: {hal1: "randstad", hal2: "kust"}
ListenAddrs:
  Front: "10.1.0.35:1"
  Readiness: "10.1.0.35:2"
  Control: "10.1.0.35:3"
  Directory: "10.1.0.35:4"
InternalPorts: [7660, 7675]
SeedNodes: ["10.1.0.38:8146", "10.3.0.25:8146"]
Bootstrap: true
BeatIntervalS: 0.5
FaultTolerance: {Machines: 2}
Bounds: {ContactS: 3.5, ttl_max_s: 8}
Unheard: {Of: [1, 2]}
"#;

#[test]
fn a_settings_file_is_read() {
    let read = parse(SETTINGS).unwrap();
    assert_eq!(
        (read.internal_port(), read.core_size(), read.bootstrap),
        (7660, 5, true)
    );
    assert_eq!(read.seed_ips(), ["10.1.0.38", "10.3.0.25"]);
    assert_eq!(
        (read.region_of("hal2"), read.region_of("hal3")),
        ("kust", "")
    );
    assert_eq!(
        (
            read.bounds().contact_s,
            read.bounds().ttl_max_s,
            read.bounds().ack_s
        ),
        (3.5, 8.0, 0.0)
    );
    assert_eq!(read.listen().directory, "10.1.0.35:4");
}

#[test]
fn each_fault_of_a_settings_file_is_named() {
    let faults = [
        ("NodeName: \"core-1\"", "", "NodeName is empty"),
        (
            "\"10.1.0.35\"\nZone",
            "\"here\"\nZone",
            "Ip is no IPv4 address",
        ),
        (
            "Zone: \"hal1\"",
            "Zone: \"hal3\"",
            "Zone is not among Zones",
        ),
        ("[7660, 7675]", "[]", "InternalPorts names no port"),
        (
            "[\"10.1.0.38:8146\", \"10.3.0.25:8146\"]",
            "[]",
            "SeedNodes names nobody",
        ),
        (
            "  Front: \"10.1.0.35:1\"",
            "",
            "ListenAddrs.Front is missing",
        ),
        (
            "  Readiness: \"10.1.0.35:2\"",
            "",
            "ListenAddrs.Readiness is missing",
        ),
        (
            "  Control: \"10.1.0.35:3\"",
            "",
            "ListenAddrs.Control is missing",
        ),
        (
            "  Directory: \"10.1.0.35:4\"",
            "",
            "ListenAddrs.Directory is missing",
        ),
        (
            "BeatIntervalS: 0.5",
            "BeatIntervalS: 0",
            "BeatIntervalS is not above 0",
        ),
    ];
    for (from, to, fault) in faults {
        assert!(SETTINGS.contains(from), "{from}");
        assert_eq!(parse(&SETTINGS.replace(from, to)).unwrap_err(), fault);
    }
    assert!(parse("NodeName: [").is_err() && parse("").is_err());
}
