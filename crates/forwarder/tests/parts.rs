//! Routes, the gate, paces, the pool, progress, sums and the book.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use lynxmill_forwarder::{
    AdmissionGate, GateClosed, Grant, LoadSums, NoRoute, ObservedAttempt, Pattern, Pool,
    PoolLimits, PooledConnection, Progress, RateLimits, Route, Routes, ServerTable, Source, Ticket,
};
use lynxmill_time::{TimeDelta, Timestamp};
use proptest::prelude::*;
use rstest::rstest;

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

fn secs(seconds: f64) -> TimeDelta {
    TimeDelta::from_secs(seconds)
}

fn routes() -> Routes {
    let route = |operation, method: Option<&str>, path, source| Route {
        operation,
        method: method.map(str::to_owned),
        pattern: Pattern::read(path).expect("a path"),
        source,
    };
    Routes {
        routes: vec![
            route(0, Some("GET"), "/recipes/{key}/{}/scale", Source::Path),
            route(1, None, "/votes/*", Source::Head("x-ballot".into())),
            route(2, None, "/raw", Source::Slice("x-slice".into())),
        ],
        slices: 16,
        client: Some("x-client".to_owned()),
    }
}

#[rstest]
#[case::key("GET", "/recipes/soup/4/scale", None, Ok(0))]
#[case::method("POST", "/recipes/soup/4/scale", None, Err(NoRoute::NoRoute))]
#[case::longer("GET", "/recipes/soup/4/scale/more", None, Err(NoRoute::NoRoute))]
#[case::empty_key("GET", "/recipes//4/scale", None, Err(NoRoute::NoRoute))]
#[case::head("PUT", "/votes/2026/pie", Some(("x-ballot", "b7")), Ok(1))]
#[case::no_head("PUT", "/votes/2026/pie", None, Err(NoRoute::NoKey))]
#[case::slice("GET", "/raw", Some(("x-slice", "15")), Ok(2))]
#[case::beyond("GET", "/raw", Some(("x-slice", "16")), Err(NoRoute::NoSuchSlice))]
#[case::star("OPTIONS", "*", None, Err(NoRoute::NoRoute))]
fn a_route_is_found_by_what_the_settings_name(
    #[case] method: &str,
    #[case] path: &str,
    #[case] head: Option<(&str, &'static str)>,
    #[case] expected: Result<usize, NoRoute>,
) {
    let heads = |name: &str| {
        head.filter(|(known, _)| *known == name)
            .map(|(_, value)| value)
    };
    let found = routes().find(method, path, heads, "127.0.0.9");
    assert_eq!(found.map(|found| found.operation), expected);
}

#[test]
fn a_key_has_one_slice_and_a_client_one_draw() {
    let routes = routes();
    let find = |key: &str, client: &'static str| {
        routes.find(
            "GET",
            &format!("/recipes/{key}/1/scale"),
            |name| (name == "x-client").then_some(client),
            "p",
        )
    };
    let (one, other) = (
        find("soup", "c1").expect("a way"),
        find("soup", "c2").expect("a way"),
    );
    assert_eq!(one, find("soup", "c1").expect("a way"));
    assert!(one.slice == other.slice && one.draw() != other.draw());
    let mut counts = [0; 16];
    (0..1600).for_each(|key| counts[find(&key.to_string(), "c").expect("a way").slice] += 1);
    assert!(
        counts.iter().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
}

#[rstest]
#[case::slash("recipes", "begins with no /")]
#[case::brace("/a/{name}", "{name}")]
#[case::keys("/{key}/{key}", "two keys")]
#[case::star("/a*b", "a*b")]
fn a_path_that_is_none_is_told(#[case] path: &str, #[case] told: &str) {
    let fault = Pattern::read(path).expect_err("a fault");
    assert!(fault.contains(told), "{fault}");
}

#[test]
fn the_gate_counts_in_all_and_by_address_and_ends() {
    let host = |last| IpAddr::V4(Ipv4Addr::new(127, 0, 0, last));
    let mut gate = AdmissionGate::new(3, 2);
    assert!(gate.enter(host(1)).is_ok() && gate.enter(host(1)).is_ok());
    assert_eq!(gate.enter(host(1)), Err(GateClosed::TooMany));
    assert!(gate.enter(host(2)).is_ok());
    assert_eq!(gate.enter(host(3)), Err(GateClosed::Crowded));
    gate.leave(host(1));
    assert!(gate.enter(host(3)).is_ok() && !gate.over(at(100.0)));
    assert_eq!(gate.idle_until(), None);
    gate.end_by(at(4.0), at(10.0));
    gate.end_by(at(5.0), at(20.0));
    assert_eq!(gate.idle_until(), Some(at(7.0)));
    assert!(!gate.over(at(9.0)) && gate.over(at(10.0)));
    (1..=3).for_each(|last| gate.leave(host(last)));
    assert!(gate.over(at(1.0)) && gate.inside() == 0);
}

#[test]
fn a_client_is_told_when_there_is_room_and_others_are_not_held_up() {
    let mut paces = RateLimits::new(2, 2);
    assert!(paces.take(at(0.0), 1).is_ok() && paces.take(at(0.0), 1).is_ok());
    assert_eq!(paces.take(at(0.0), 1), Err(secs(0.5)));
    assert!(paces.take(at(0.0), 2).is_ok());
    // A third is told apart in the place of the one unseen for longest.
    assert!(paces.take(at(0.1), 3).is_ok() && paces.len() == 2);
    assert!(paces.take(at(5.0), 4).is_ok() && paces.len() == 1);
}

fn pool() -> Pool {
    Pool::new(PoolLimits {
        most: 3,
        each: 2,
        idle: secs(10.0),
        age: secs(60.0),
        waiting: 2,
        patience: secs(1.0),
    })
}

#[test]
fn connections_are_used_again_the_latest_first_and_close_when_idle_or_old() {
    let (mut pool, mut shut) = (pool(), Vec::new());
    let open = |pool: &mut Pool, now, shut: &mut Vec<PooledConnection>| match pool
        .take(now, "s", false, shut)
    {
        Grant::Open(conn) => conn,
        other => panic!("{other:?}"),
    };
    let (one, two) = (
        open(&mut pool, at(0.0), &mut shut),
        open(&mut pool, at(0.0), &mut shut),
    );
    pool.give(at(1.0), "s", one, true, &mut shut);
    pool.give(at(2.0), "s", two, true, &mut shut);
    assert_eq!(pool.take(at(3.0), "s", false, &mut shut), Grant::Use(two));
    // One that must be new takes the place of an idle one.
    assert!(matches!(
        pool.take(at(3.0), "s", true, &mut shut),
        Grant::Open(_)
    ));
    assert_eq!((std::mem::take(&mut shut), pool.open()), (vec![one], 2));
    pool.give(at(61.0), "s", two, true, &mut shut);
    assert_eq!(
        (std::mem::take(&mut shut), pool.open()),
        (vec![two], 1),
        "too old"
    );
    let Grant::Open(three) = pool.take(at(61.0), "t", false, &mut shut) else {
        panic!("no room")
    };
    pool.give(at(61.0), "t", three, true, &mut shut);
    pool.sweep(at(71.0), &mut shut);
    assert_eq!((shut, pool.open()), (vec![three], 1), "idle too long");
}

#[test]
fn who_waits_is_served_in_turn_and_too_many_are_not_let_wait() {
    let (mut pool, mut shut) = (pool(), Vec::new());
    let grants: Vec<Grant> = (0..5)
        .map(|_| pool.take(at(0.0), "s", false, &mut shut))
        .collect();
    let [
        Grant::Open(one),
        Grant::Open(_),
        Grant::Wait(first, until),
        Grant::Wait(second, _),
        Grant::Full,
    ] = grants[..]
    else {
        panic!("{grants:?}")
    };
    assert_eq!(until, at(1.0));
    pool.leave("s", first);
    assert_eq!(
        pool.give(at(0.5), "s", one, true, &mut shut),
        Some((second, Grant::Use(one)))
    );
    let Grant::Wait(..) = pool.take(at(0.5), "s", false, &mut shut) else {
        panic!("room")
    };
    assert_eq!(
        pool.give(at(2.0), "s", one, true, &mut shut),
        None,
        "its time is over"
    );
    assert_eq!((pool.waiting(), pool.idle()), (0, 1));
}

proptest! {
    /// Whatever is taken, given, left and swept: bounds hold, what is closed was open, and nothing is lost.
    #[test]
    fn a_pool_keeps_its_bounds(steps in prop::collection::vec((0..4_u8, 0..3_usize, any::<bool>(), 0.0..3.0_f64), 1..200)) {
        let names = ["s", "t", "u"];
        let (mut pool, mut now) = (pool(), at(0.0));
        let mut busy: BTreeMap<PooledConnection, usize> = BTreeMap::new();
        let mut open: BTreeMap<PooledConnection, usize> = BTreeMap::new();
        let mut waits: Vec<(Ticket, usize)> = Vec::new();
        for (what, server, flag, after) in steps {
            now = now + secs(after);
            let mut shut = Vec::new();
            let mut granted = Vec::new();
            match what {
                0 | 1 => match pool.take(now, names[server], flag, &mut shut) {
                    Grant::Wait(ticket, _) => waits.push((ticket, server)),
                    Grant::Full => prop_assert!(pool.waiting() == 2),
                    grant => granted.push((server, grant)),
                },
                2 => if let Some((conn, server)) = busy.pop_first()
                    && let Some((ticket, grant)) = pool.give(now, names[server], conn, flag, &mut shut) {
                        let at = waits.iter().position(|(of, _)| *of == ticket).expect("somebody who waits");
                        granted.push((waits.swap_remove(at).1, grant));
                },
                _ => pool.sweep(now, &mut shut),
            }
            for conn in shut {
                prop_assert!(open.remove(&conn).is_some(), "closed twice");
            }
            for (server, grant) in granted {
                match grant {
                    Grant::Open(conn) => prop_assert!(open.insert(conn, server).is_none()),
                    Grant::Use(conn) => prop_assert_eq!(open.get(&conn), Some(&server)),
                    other => prop_assert!(false, "{:?}", other),
                }
                let (Grant::Open(conn) | Grant::Use(conn)) = grant else { unreachable!() };
                prop_assert!(busy.insert(conn, server).is_none(), "in use twice");
            }
            prop_assert_eq!(pool.open(), open.len());
            prop_assert!(pool.open() <= 3 && pool.waiting() <= 2 && pool.idle() + busy.len() == open.len());
            for server in 0..3 {
                prop_assert!(open.values().filter(|of| **of == server).count() <= 2);
            }
        }
    }
}

#[test]
fn a_peer_stands_still_only_in_its_own_turn() {
    let mut progress = Progress::new(secs(2.0), 100);
    assert!(!progress.stalled(at(50.0)) && progress.until().is_none());
    progress.expect(at(1.0));
    assert_eq!(progress.until(), Some(at(3.0)));
    progress.moved(at(2.0), 10);
    // Nobody waited meanwhile; half of its span is left.
    progress.expect(at(10.0));
    assert!(!progress.stalled(at(10.9)) && progress.stalled(at(11.0)));
    progress.moved(at(10.5), 200);
    progress.expect(at(11.0));
    assert_eq!(
        progress.until(),
        Some(at(13.0)),
        "enough has moved: a new span"
    );
}

#[test]
fn what_was_met_is_told_to_the_assigner_in_charge_as_collectors_spell_it() {
    let mut sums = LoadSums::new("a", at(0.0));
    let met = |ok, took, load| ObservedAttempt {
        assigner: "n0",
        server: "s",
        ok,
        took: secs(took),
        load,
    };
    sums.met(&met(
        true,
        0.010,
        Some("outstanding:3,bad name:1,utilization:0.5"),
    ));
    sums.met(&met(true, 0.030, Some("outstanding:nan")));
    sums.met(&met(false, 0.5, None));
    sums.asked("n0", 7, "vote", true);
    sums.asked("n1", 8, "vote", false);
    let told = sums.take(at(0.5));
    let lines: Vec<String> = told["n0"].iter().map(|words| words.join(" ")).collect();
    assert_eq!(
        lines,
        [
            "upstream_stats zone a server s tries 3 failed 1 mean_ms 20.000 span_ms 500.0 load \
             outstanding:3,utilization:0.5",
            "range_stats slice 7 class vote tries 1 failed 0 span_ms 500.0"
        ]
    );
    assert_eq!(told["n1"][0][8], "1");
    assert!(sums.take(at(1.0)).is_empty());
}

#[test]
fn the_book_keeps_addresses_and_not_judgments() {
    let mut book = ServerTable::default();
    let take = |book: &mut ServerTable, index: u64, entries: &[(&str, &str, &str)]| {
        let entry = |(name, address, status): &(&str, &str, &str)| {
            format!(r#"{{"name":"{name}","address":"{address}","status":"{status}"}}"#)
        };
        let entries: Vec<String> = entries.iter().map(entry).collect();
        let text = format!(
            r#"{{"index":{index},"snapshot":false,"endpoints":[{}]}}"#,
            entries.join(",")
        );
        book.take(text.as_bytes())
    };
    let all = [
        ("s", "127.0.0.1:1", "ready"),
        ("t", "127.0.0.1:2", "draining"),
        ("u", "here", "ready"),
    ];
    take(&mut book, 4, &all).expect("a list");
    assert_eq!((book.index(), book.len(), book.spoilt), (Some(4), 2, 1));
    take(&mut book, 5, &[("t", "", "gone")]).expect("a list");
    assert!(book.address("t").is_some(), "a table may name it yet");
    take(&mut book, 6, &[("s", "127.0.0.1:9", "ready")]).expect("a list");
    assert_eq!(book.address("s"), "127.0.0.1:9".parse().ok());
    assert!(book.take(b"{\"index\":7").is_err() && book.index() == Some(6));
}
