//! Changes of the operator: what is refused, what changes nothing, what is read back.

use lynxmill_configuration::{
    Configuration, ConfigurationChange, Item, MAX_HISTORY, ValidationError, evacuation,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{Value, json};

fn route(name: &str, prefix: &str, version: &str) -> Value {
    json!({"Name": name, "Host": "ficu95.example", "PathPrefix": prefix, "RouteKind": "idempotent",
        "TimeoutS": 2.5, "TargetS": 0.6, "Priority": 2, "Service": "huvo", "MaxAttempts": 2,
        "HomeRegions": [], "Version": version})
}

fn service(name: &str, version: &str) -> Value {
    json!({"Name": name, "HealthPath": "/health", "MaxConns": 130, "Protocol": "h1", "Tls": false,
        "ColdStartS": 3.0, "ColdPerS": 3.9, "Version": version})
}

fn call(routes: &[Value], services: &[Value], remove: Value) -> Vec<u8> {
    json!({"Upsert": {"Routes": routes, "Services": services}, "Remove": remove})
        .to_string()
        .into_bytes()
}

fn read(
    routes: &[Value],
    services: &[Value],
    remove: Value,
) -> Result<ConfigurationChange, ValidationError> {
    ConfigurationChange::read(&call(routes, services, remove))
}

fn merge<'a>(to: &mut Configuration, items: impl IntoIterator<Item = &'a Item>) {
    for item in items {
        to.merge(item);
    }
}

/// Takes a call if it is valid, as the register of calls does.
fn take(
    to: &mut Configuration,
    patch: Result<ConfigurationChange, ValidationError>,
) -> Result<(), ValidationError> {
    let patch = patch?;
    to.check(&patch)?;
    to.apply(&patch);
    Ok(())
}

fn first() -> Configuration {
    let mut all = Configuration::default();
    let routes = [
        route("r-a", "/a/", "00000007"),
        route("r-b", "/b/", "00000007"),
    ];
    take(
        &mut all,
        read(
            &routes,
            &[service("huvo", "00000007"), service("wuno", "00000007")],
            json!({}),
        ),
    )
    .unwrap();
    all
}

/// The fault of a route that differs in one field, sent beside a valid one.
fn fault(field: &str, value: Value) -> ValidationError {
    let mut spoilt = route("r-z", "/z/", "00000009");
    spoilt[field] = value;
    let mut all = first();
    let before = all.clone();
    let told = take(
        &mut all,
        read(&[route("r-y", "/y/", "00000009"), spoilt], &[], json!({})),
    )
    .unwrap_err();
    assert_eq!(all, before, "no part of an invalid call takes effect");
    told
}

#[test]
fn each_invalid_kind_is_refused_and_changes_nothing() {
    let z = || "r-z".to_owned();
    assert_eq!(
        fault("Service", json!("nobody")),
        ValidationError::UnknownService(z(), "nobody".to_owned())
    );
    assert_eq!(
        fault("Service", json!("")),
        ValidationError::UnknownService(z(), String::new())
    );
    assert_eq!(
        fault("PathPrefix", json!("/a/")),
        ValidationError::DuplicateRoute("r-a".to_owned(), z())
    );
    assert_eq!(
        fault("PathPrefix", json!("/y/")),
        ValidationError::DuplicateRoute("r-y".to_owned(), z())
    );
    assert_eq!(
        fault("TimeoutS", json!(0)),
        ValidationError::InvalidTimeout(z())
    );
    assert_eq!(
        fault("TimeoutS", json!(0.0)),
        ValidationError::InvalidTimeout(z())
    );
    assert_eq!(
        fault("TimeoutS", json!(-1)),
        ValidationError::InvalidTimeout(z())
    );
    assert_eq!(
        fault("TargetS", json!(62.5)),
        ValidationError::TargetTooLong(z())
    );
    assert_eq!(
        fault("TargetS", json!(4000)),
        ValidationError::TargetTooLong(z())
    );
    assert_eq!(
        fault("MaxAttempts", json!(0)),
        ValidationError::InvalidAttempts(z())
    );
    assert_eq!(fault("Host", json!("")), ValidationError::MissingHost(z()));
    assert_eq!(
        fault("PathPrefix", json!("/z")),
        ValidationError::InvalidPrefix(z())
    );
    assert_eq!(
        fault("PathPrefix", json!("z/")),
        ValidationError::InvalidPrefix(z())
    );
    let split = |a: f64, b: f64| json!([{"Service": "huvo", "Weight": a}, {"Service": "wuno", "Weight": b}]);
    assert_eq!(
        fault("Split", split(0.0, 0.0)),
        ValidationError::InvalidWeight(z())
    );
    assert_eq!(
        fault("Split", split(5.0, -1.0)),
        ValidationError::InvalidWeight(z())
    );
    let strange = json!([{"Service": "huvo", "Weight": 1}, {"Service": "nobody", "Weight": 1}]);
    assert_eq!(
        fault("Split", strange),
        ValidationError::UnknownService(z(), "nobody".to_owned())
    );
    assert_eq!(
        fault("Version", json!("")),
        ValidationError::InvalidVersion("r/r-z".to_owned())
    );
    assert_eq!(
        fault("Version", json!("xyz")),
        ValidationError::InvalidVersion("r/r-z".to_owned())
    );
    assert_eq!(
        fault("Version", Value::Null),
        ValidationError::InvalidVersion("r/r-z".to_owned())
    );
    assert_eq!(
        fault("Name", Value::Null),
        ValidationError::MissingName("Routes".to_owned())
    );
    for (field, value) in [
        ("TimeoutS", json!("2")),
        ("MaxAttempts", json!(-1)),
        ("Split", json!(7)),
    ] {
        assert!(
            matches!(fault(field, value), ValidationError::Unreadable(_)),
            "{field}"
        );
    }
}

#[test]
fn an_aim_less_than_a_minute_above_is_taken() {
    let mut near = route("r-z", "/z/", "00000009");
    near["TargetS"] = json!(62.499);
    assert_eq!(take(&mut first(), read(&[near], &[], json!({}))), Ok(()));
}

#[test]
fn a_call_cut_short_is_unreadable() {
    let whole = call(
        &[route("r-z", "/z/", "00000009")],
        &[service("huvo", "00000009")],
        json!({"Routes": []}),
    );
    for cut in 0..whole.len() {
        assert!(
            matches!(
                ConfigurationChange::read(&whole[..cut]),
                Err(ValidationError::Unreadable(_))
            ),
            "cut at {cut}"
        );
    }
    for other in [
        "[]",
        "7",
        r#"{"Upsert":[]}"#,
        r#"{"Upsert":{"Routes":{}}}"#,
        r#"{"Remove":{"Routes":[7]}}"#,
    ] {
        assert!(
            matches!(
                ConfigurationChange::read(other.as_bytes()),
                Err(ValidationError::Unreadable(_))
            ),
            "{other}"
        );
    }
    assert!(matches!(
        ConfigurationChange::read(b"{\"Upsert\":{}}\xff"),
        Err(ValidationError::Unreadable(_))
    ));
}

#[test]
fn a_service_goes_only_once_no_route_names_it() {
    let mut all = first();
    let gone = || json!({"Services": [{"Name": "huvo", "Version": "0000000a"}]});
    let unknown = ValidationError::UnknownService("r-a".to_owned(), "huvo".to_owned());
    assert_eq!(take(&mut all, read(&[], &[], gone())), Err(unknown));
    let mut moved = [
        route("r-a", "/a/", "0000000a"),
        route("r-b", "/b/", "0000000a"),
    ];
    moved.iter_mut().for_each(|r| r["Service"] = json!("wuno"));
    assert_eq!(take(&mut all, read(&moved, &[], gone())), Ok(()));
    assert_eq!(all.services().map(|s| s.name).collect::<Vec<_>>(), ["wuno"]);
}

#[test]
fn overtaken_items_change_nothing_and_do_no_harm() {
    let mut all = first();
    let before = all.clone();
    // Each would be a fault if it were newer.
    let mut strange = route("r-a", "/a/", "00000006");
    strange["Service"] = json!("nobody");
    let late = [
        strange,
        route("r-b", "/b/", "00000007"),
        route("r-b", "/a/", "00000006"),
    ];
    let remove = json!({"Services": [{"Name": "huvo", "Version": "00000003"}],
        "Routes": [{"Name": "r-b", "Version": "00000005"}]});
    assert_eq!(take(&mut all, read(&late, &[], remove)), Ok(()));
    // All that stands is as before; only the numbers are remembered.
    let standing = |of: &Configuration| {
        of.items
            .values()
            .map(Item::without_history)
            .collect::<Vec<_>>()
    };
    assert_eq!(standing(&all), standing(&before));
    assert_eq!(all.read_back(), before.read_back());
}

#[test]
fn places_are_free_again_after_a_drop_and_swaps_go_through() {
    let mut all = first();
    let swap = [
        route("r-a", "/b/", "00000008"),
        route("r-b", "/a/", "00000008"),
    ];
    assert_eq!(take(&mut all, read(&swap, &[], json!({}))), Ok(()));
    let drop_a = json!({"Routes": [{"Name": "r-a", "Version": "00000009"}]});
    assert_eq!(
        take(
            &mut all,
            read(&[route("r-c", "/b/", "00000009")], &[], drop_a)
        ),
        Ok(())
    );
    let mut shouted = route("r-d", "/b/", "00000009");
    shouted["Host"] = json!("FICU95.example");
    let same = ValidationError::DuplicateRoute("r-c".to_owned(), "r-d".to_owned());
    assert_eq!(take(&mut all, read(&[shouted], &[], json!({}))), Err(same));
}

#[test]
fn drops_keep_their_version() {
    let mut all = first();
    let remove = json!({"Routes": [{"Name": "r-a", "Version": "0000001f"}, {"Name": "r-x", "Version": "0000001f"}]});
    take(&mut all, read(&[], &[], remove)).unwrap();
    let taken = |key: &str| Err(ValidationError::VersionTaken(key.to_owned(), 0x1f));
    let orders = [
        ("0000001e", Ok(()), 1),
        ("0000001f", taken("r/r-a"), 1),
        ("00000020", Ok(()), 2),
    ];
    for (version, told, stands) in orders {
        assert_eq!(
            take(
                &mut all,
                read(&[route("r-a", "/a/", version)], &[], json!({}))
            ),
            told,
            "{version}"
        );
        assert_eq!(all.routes().count(), stands, "{version}");
    }
    let sent = take(
        &mut all,
        read(&[route("r-x", "/x/", "0000001f")], &[], json!({})),
    );
    assert_eq!(sent, taken("r/r-x"));
    assert_eq!(
        take(
            &mut all,
            read(&[route("r-x", "/x/", "0000001e")], &[], json!({}))
        ),
        Ok(())
    );
    assert_eq!(
        (all.routes().count(), all.version("r/r-x")),
        (2, 0x1f),
        "a drop came before what it drops"
    );
}

#[test]
fn read_back_equals_what_was_sent() {
    let mut split = route("r-a", "/a/", "0000000c");
    split["Split"] =
        json!([{"Service": "huvo", "Weight": 90}, {"Service": "wuno", "Weight": 0.125}]);
    split.as_object_mut().unwrap().remove("Service");
    split["TimeoutS"] = json!(3);
    split["TargetS"] = json!(0.30000000000000004);
    split["Later"] = json!({"Deep": [1, 2.5, null, "ü\n\""], "Big": 18446744073709551615u64});
    let mut sharded = service("wuno", "fffffffe");
    (sharded["Sharded"], sharded["WarmupS"]) = (json!(true), json!(2.0));
    let limits = json!({"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3,
        "IdleTimeoutS": 1.75, "New": false, "Version": "0000000c"});
    let sent = json!({"Routes": [split, route("r-b", "/b/", "0000000d")],
        "Services": [service("huvo", "00000007"), sharded], "Limits": limits});
    let mut all = Configuration::default();
    take(
        &mut all,
        ConfigurationChange::read(json!({"Upsert": sent}).to_string().as_bytes()),
    )
    .unwrap();
    all.merge(&evacuation("hal1", true, 0));
    assert_eq!(all.read_back().to_string(), sent.to_string());
    assert_eq!(all.limits().idle_timeout_s, 1.75);
    // What was read back can be sent again and changes nothing.
    let before = all.clone();
    let again = json!({"Upsert": before.read_back()}).to_string();
    take(&mut all, ConfigurationChange::read(again.as_bytes())).unwrap();
    assert_eq!(all, before);
}

#[test]
fn fractions_come_back_to_the_last_digit() {
    fn same(bits: u64) -> bool {
        let sent = f64::from_bits((bits % (1 << 52)) | 0x3ff0_0000_0000_0000);
        let mut own = service("huvo", "00000007");
        own["Other"] = json!(sent);
        let text = json!({"Upsert": {"Services": [own]}}).to_string();
        assert!(text.contains(&format!("{sent}")));
        let mut all = Configuration::default();
        take(&mut all, ConfigurationChange::read(text.as_bytes())).unwrap();
        all.read_back()["Services"][0]
            .to_string()
            .contains(&format!("\"Other\":{sent}"))
    }
    QuickCheck::new()
        .tests(400)
        .quickcheck(same as fn(u64) -> bool);
}

#[test]
fn evacuations_rise_by_one_and_are_taken_back() {
    let mut all = Configuration::default();
    assert!(all.merge(&evacuation("hal1", true, 0)));
    assert_eq!(all.evacuated().collect::<Vec<_>>(), ["hal1"]);
    assert!(all.merge(&evacuation("hal1", false, all.version("e/hal1"))));
    assert_eq!((all.evacuated().count(), all.version("e/hal1")), (0, 2));
    assert!(
        !all.merge(&evacuation("hal1", true, 0)),
        "an older order that comes again"
    );
}

/// What is taken once by everyone: some names, each with rising versions whose content follows from them.
fn agreed(name: u8, upto: u64) -> Item {
    let mut all = Configuration::default();
    for version in 0..=upto {
        let dropped = (u64::from(name) + version).is_multiple_of(3);
        let body = if dropped {
            String::new()
        } else {
            format!("{name}@{version}")
        };
        all.merge(&Item {
            key: format!("r/{name}"),
            version,
            dropped,
            body,
            ..Item::default()
        });
    }
    all.items.into_values().next().unwrap()
}

/// A copy of a few names as some member or an older file holds it, so that copies meet: with the history that
/// was agreed, or, from before histories, without.
#[derive(Clone, Debug)]
struct Held(Configuration);

impl Arbitrary for Held {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut all = Configuration::default();
        for _ in 0..u8::arbitrary(g) % 12 {
            let item = agreed(u8::arbitrary(g) % 6, u64::arbitrary(g) % 14);
            let item = if u8::arbitrary(g) % 4 == 0 {
                item.without_history()
            } else {
                item
            };
            all.items.insert(item.key.clone(), item);
        }
        Held(all)
    }
}

fn merged(a: &Configuration, b: &Configuration) -> Configuration {
    let mut both = a.clone();
    merge(&mut both, b.items.values());
    both
}

#[test]
fn merge_is_commutative_idempotent_and_associative() {
    fn holds(Held(a): Held, Held(b): Held, Held(c): Held) -> bool {
        let both = merged(&a, &b);
        both == merged(&b, &a)
            && merged(&a, &a) == a
            && merged(&both, &b) == both
            && merged(&both, &c) == merged(&a, &merged(&b, &c))
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(holds as fn(Held, Held, Held) -> bool);
}

#[test]
fn copies_that_came_in_any_order_remember_the_same() {
    fn holds(order: Vec<(u8, u8)>) -> bool {
        let agreed_items: Vec<Item> = (0..30)
            .map(|version| agreed(version as u8 % 2, version / 2))
            .collect();
        let mut shuffled: Vec<(u8, &Item)> = agreed_items
            .iter()
            .enumerate()
            .map(|(n, item)| (order.get(n).map_or(7, |o| o.0), item))
            .collect();
        shuffled.sort_by_key(|(rank, _)| *rank);
        let mut copy = Configuration::default();
        merge(&mut copy, shuffled.into_iter().map(|(_, item)| item));
        copy.items["r/0"] == agreed(0, 14) && copy.items["r/1"] == agreed(1, 14)
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn an_older_copy_adds_to_the_history_and_stands_not() {
    let copy = |version, body: &str| Item {
        key: "r/a".to_owned(),
        version,
        body: body.to_owned(),
        ..Item::default()
    };
    let mut all = Configuration::default();
    assert!(all.merge(&copy(9, "nine")));
    assert!(!all.merge(&copy(4, "four")));
    assert_eq!(
        (all.version("r/a"), all.items["r/a"].body.as_str()),
        (9, "nine")
    );
    let remembered: Vec<u64> = all.items["r/a"]
        .history
        .iter()
        .map(|taken| taken.version)
        .collect();
    assert_eq!(remembered, [9, 4]);
    assert!((10..30).all(|version| all.merge(&copy(version, "later"))));
    let remembered: Vec<u64> = all.items["r/a"]
        .history
        .iter()
        .map(|taken| taken.version)
        .collect();
    assert_eq!(remembered, (22..30).rev().collect::<Vec<_>>());
    assert_eq!(remembered.len(), MAX_HISTORY);
    assert!(all.items["r/a"].without_history().history.is_empty());
    assert_eq!(all.items["r/a"].without_history().body, "later");
}
