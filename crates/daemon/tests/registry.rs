//! The program on a key-value registry in the relay's place, with forwarders that follow it there.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lynxmill_fake_servers::registry::{Faults, Registry as Store};
use lynxmill_fake_servers::{FakeServers, config};
use lynxmill_registry::layout::{KeyLocation, Layout, Line, read, spell};
use lynxmill_registry::{Backoff, Member, ShardOwnership, Spelling, Tables, WatchFollower, Writes};
use lynxmill_registry_transport::{Registry, Runner};
use lynxmill_time::{TimeDelta, Timestamp};
use rstest::rstest;
use serde_json::{Value, json};

use common::{ANY, Daemon, PATIENCE, command, write};

const SLICES: usize = 8;

fn layout() -> Layout {
    Layout::new("lynxmill")
}

/// Discovery with three servers; the registry with slices at the first two.
fn world(faults: Faults) -> (FakeServers, Store) {
    let any = || ANY.parse::<SocketAddr>().expect("an address");
    let standin = FakeServers::start(any(), any(), Duration::from_secs(1)).expect("free ports");
    standin.change(|state| {
        ["s-a", "s-b", "s-c"]
            .iter()
            .for_each(|server| state.list(server, "ready", 0.0))
    });
    let store = Store::start(faults).expect("a free port");
    for slice in 0..SLICES {
        let server = Some(["s-a", "s-b"][slice % 2].to_owned());
        let line = Line {
            server,
            generation: 1,
            stamp: "0".into(),
        };
        store.change(|store| store.put(&layout().key(&KeyLocation::Line(slice)), &spell(&line)));
    }
    (standin, store)
}

fn told(standin: &FakeServers, store: &Store, name: &str, protocol: &str) -> Value {
    let mut told = config(ANY.parse().expect("an address"), standin, Value::Null);
    told["name"] = json!(name);
    told["settings"]["specifics"]["lease"] = json!(1.6);
    let lease = if protocol == "consul" { 10 } else { 2 };
    told["store"] =
        json!({"protocol": protocol, "address": store.at, "lease_s": lease, "look_ms": 100});
    if let Some(told) = told.as_object_mut() {
        told.remove("registry");
    }
    told
}

fn start(standin: &FakeServers, store: &Store, name: &str, protocol: &str) -> Daemon {
    Daemon::start_with(
        ANY.parse().expect("an address"),
        &told(standin, store, name, protocol),
    )
}

fn member(at: SocketAddr, number: u16, protocol: &str) -> Rc<Runner<Member>> {
    let secs = TimeDelta::from_secs;
    let spelled = protocol
        .parse::<Spelling>()
        .expect("its name")
        .protocol(layout().prefix());
    let registry = Registry::new(at, spelled);
    let backoff = || Backoff::new(secs(0.02), secs(0.3), number.into());
    let follow = WatchFollower::new(
        registry.protocol().style(),
        layout().prefix(),
        secs(0.1),
        backoff(),
    );
    let tables = Tables::new(layout(), secs(1.6));
    let writes = Writes::new(8, secs(0.02), backoff());
    let custody = ShardOwnership::new("f", 10, secs(1.0), backoff());
    let begun = Instant::now();
    let clock = move || Timestamp::from_secs(begun.elapsed().as_secs_f64());
    Runner::start(
        Member::new(number, layout(), follow, tables, writes, custody),
        registry,
        clock,
        |()| {},
    )
}

fn lines(store: &Store) -> Vec<(usize, Option<String>, u64)> {
    let store = store.store();
    let line = |slice| {
        let kv = store.keys.get(&layout().key(&KeyLocation::Line(slice)))?;
        let line: Line = read(&kv.value).ok()?;
        Some((slice, line.server, line.generation))
    };
    (0..SLICES).filter_map(line).collect()
}

async fn until(what: &str, store: &Store, so: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !so() {
        assert!(Instant::now() < end, "{what}: {:?}", lines(store));
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// All slices have owners, none of them this one, and all have been published by an assigner.
fn owned(store: &Store, not: &str) -> bool {
    let lines = lines(store);
    let fine = |(_, server, generation): &(usize, Option<String>, u64)| {
        server.as_deref().is_some_and(|server| server != not) && *generation > 1
    };
    lines.len() == SLICES && lines.iter().all(fine)
}

fn follows(member: &Rc<Runner<Member>>, store: &Store) -> bool {
    let lines = lines(store);
    member.look(|member| {
        let held = member
            .tables()
            .slices()
            .map(|(s, server, g)| (s, server.map(str::to_owned), g));
        held.collect::<Vec<_>>() == lines
    })
}

#[rstest]
#[case::etcd("etcd", Faults::default())]
#[case::consul("consul", Faults::default())]
#[case::etcd_rough("etcd", Faults { seed: 4, lose_request: 0.05, lose_answer: 0.1, break_watch: 0.05, compact: 0.1,
    delay: Duration::from_millis(5), ..Faults::default() })]
fn a_drained_server_gives_up_its_slices_at_a_registry(
    #[case] protocol: &str,
    #[case] faults: Faults,
) {
    let (standin, store) = world(faults);
    let daemon = start(&standin, &store, "n0", protocol);
    actix_rt::System::new().block_on(async {
        let members: Vec<_> = (0..3)
            .map(|number| member(store.at, number, protocol))
            .collect();
        until("all are published", &store, || owned(&store, "nobody")).await;
        // They live on this thread, which must not stand still meanwhile.
        let joined = || daemon.status()["proxies"] == 3 && daemon.status()["slices"] == 8;
        until("forwarders have joined", &store, joined).await;
        standin.change(|state| state.list("s-a", "draining", 0.0));
        until("all have moved", &store, || owned(&store, "s-a")).await;
        until("all follow", &store, || {
            members.iter().all(|member| follows(member, &store))
        })
        .await;
    });
}

#[test]
fn another_takes_the_slices_of_one_that_was_killed() {
    let (standin, store) = world(Faults::default());
    let mut first = start(&standin, &store, "n0", "etcd");
    actix_rt::System::new().block_on(async {
        let _member = member(store.at, 0, "etcd");
        until("all are published", &store, || owned(&store, "nobody")).await;
        let second = start(&standin, &store, "n1", "etcd");
        first.child.kill().expect("it runs");
        first.child.wait().expect("it ran");
        until("it has all slices", &store, || {
            second.status()["slices"] == 8
        })
        .await;
        standin.change(|state| state.list("s-b", "draining", 0.0));
        until("all have moved", &store, || owned(&store, "s-b")).await;
    });
}

#[rstest]
#[case::protocol(json!({"protocol": "zookeeper", "address": "127.0.0.1:1"}), "zookeeper")]
#[case::no_address(json!({"protocol": "etcd"}), "address")]
#[case::address(json!({"protocol": "etcd", "address": "here"}), "address")]
#[case::lease(json!({"protocol": "etcd", "address": "127.0.0.1:1", "lease_s": 0}), "lease_s")]
#[case::session(json!({"protocol": "consul", "address": "127.0.0.1:1", "lease_s": 5}), "lease_s")]
#[case::prefix(json!({"protocol": "etcd", "address": "127.0.0.1:1", "prefix": "a b"}), "prefix")]
#[case::other_key(json!({"protocol": "etcd", "address": "127.0.0.1:1", "speed": 1}), "speed")]
fn a_wrong_store_is_one_clear_line(#[case] wrong: Value, #[case] told_of: &str) {
    let (standin, store) = world(Faults::default());
    let mut told = told(&standin, &store, "n0", "etcd");
    told["store"] = wrong;
    let path = write(&told);
    let output = command(Some(&path)).output().expect("the program");
    std::fs::remove_file(&path).expect("a file");
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(
        !output.status.success() && text.lines().count() == 1 && text.contains(told_of),
        "{text}"
    );
}
