//! Assigners and forwarders at a registry that misbehaves by chance, over loopback. Throughout, no forwarder may write to
//! a former owner, none writes a lease after the registry fell silent, and in the end all hold what it holds.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use lynxmill_assigner_state::{Effect, Epoch, Event, State, decode, members};
use lynxmill_fake_servers::registry::{Faults, Registry as Standin};
use lynxmill_random::Pcg;
use lynxmill_registry::layout::{KeyLocation, Layout, Line, read};
use lynxmill_registry::{
    Backoff, Member, RegistryStore, ShardOwnership, Spelling, Tables, WatchFollower, Writes,
};
use lynxmill_registry_transport::{Registry, Runner};
use lynxmill_time::{TimeDelta, Timestamp};
use rstest::rstest;
use serde_json::{Value, json};

const SERVERS: [&str; 4] = ["s-a", "s-b", "s-c", "s-d"];
const SLICES: usize = 10;
const FORWARDERS: u16 = 4;
const LEASE: f64 = 1.6;

fn layout() -> Layout {
    Layout::new("soak")
}

fn secs(seconds: f64) -> TimeDelta {
    TimeDelta::from_secs(seconds)
}

/// What machines at one registry are made of.
struct Made {
    spelling: Spelling,
    standin: Standin,
    begun: Instant,
    seeds: RefCell<Pcg>,
}

impl Made {
    fn now(&self) -> Timestamp {
        Timestamp::from_secs(self.begun.elapsed().as_secs_f64())
    }

    fn clock(&self) -> impl Fn() -> Timestamp + 'static {
        let begun = self.begun;
        move || Timestamp::from_secs(begun.elapsed().as_secs_f64())
    }

    fn seed(&self) -> u64 {
        (self.seeds.borrow_mut().unit() * 1e9) as u64
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(secs(0.01), secs(0.3), self.seed())
    }

    fn registry(&self) -> Rc<Registry> {
        Registry::new(self.standin.at, self.spelling.protocol(layout().prefix()))
    }

    fn follow(&self, registry: &Registry) -> WatchFollower {
        WatchFollower::new(
            registry.protocol().style(),
            layout().prefix(),
            secs(0.1),
            self.backoff(),
        )
    }

    fn custody(&self, name: &str) -> ShardOwnership {
        ShardOwnership::new(name, 2, secs(0.5), self.backoff())
    }

    fn member(&self, number: u16) -> Rc<Runner<Member>> {
        let registry = self.registry();
        let member = Member::new(
            number,
            layout(),
            self.follow(&registry),
            Tables::new(layout(), secs(LEASE)),
            Writes::new(8, secs(0.02), self.backoff()),
            self.custody(&format!("f{number}")),
        );
        Runner::start(member, registry, self.clock(), |()| {})
    }
}

fn settings() -> Value {
    let mut settings = lynxmill_fake_servers::settings();
    let own = &mut settings["specifics"];
    for (key, value) in [
        ("lease", json!(LEASE)),
        ("proxy_count", json!(FORWARDERS)),
        ("shards", json!(SLICES)),
    ] {
        own[key] = value;
    }
    settings
}

/// An assigner: the reducer, and the depot in the place of its relay.
struct Assigner {
    state: RefCell<State>,
    depot: RefCell<Option<Rc<Runner<RegistryStore>>>>,
    due: RefCell<VecDeque<Event>>,
    made: Rc<Made>,
    me: Weak<Assigner>,
}

impl Assigner {
    fn start(made: &Rc<Made>, name: &str, list: Value) -> Rc<Self> {
        let told = json!({
            "name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:2", "seed": format!("{:x}", made.seed()),
            "limits": {"memory_mb": 192, "sockets": 64}, "registry": {"address": "127.0.0.1:3"}, "known": list,
            "settings": settings(),
        });
        let start = decode(&told, |_| None).expect("a configuration");
        let operations = start
            .facts
            .operations
            .iter()
            .map(|o| o.name.clone())
            .collect();
        let state = State::new(Epoch { unix_ms: 0.0 }, made.now(), start);
        let assigner = Rc::new_cyclic(|me| Assigner {
            state: RefCell::new(state),
            depot: RefCell::default(),
            due: RefCell::default(),
            made: made.clone(),
            me: me.clone(),
        });
        let registry = made.registry();
        let depot = RegistryStore::new(
            name,
            layout(),
            operations,
            SLICES,
            made.follow(&registry),
            Writes::new(64, secs(0.02), made.backoff()),
            made.custody(name),
        );
        let hears = Rc::downgrade(&assigner);
        let hear = move |event| {
            if let Some(assigner) = hears.upgrade() {
                assigner.tell(event);
            }
        };
        let runner = Runner::start(depot, registry, made.clock(), hear);
        *assigner.depot.borrow_mut() = Some(runner);
        assigner.tell(Event::Begin);
        assigner.tell(Event::Listed(members(list).expect("a list")));
        assigner
    }

    /// Events are taken one after the other, however they come.
    fn tell(&self, event: Event) {
        self.due.borrow_mut().push_back(event);
        loop {
            let Ok(mut state) = self.state.try_borrow_mut() else {
                return;
            };
            let Some(event) = self.due.borrow_mut().pop_front() else {
                return;
            };
            let mut effects = Vec::new();
            state.reduce(self.made.now(), event, &mut effects);
            drop(state);
            effects.into_iter().for_each(|effect| self.effect(effect));
        }
    }

    fn effect(&self, effect: Effect) {
        let depot = self.depot.borrow().clone();
        let Some(depot) = depot else { return };
        match effect {
            Effect::WakeAt(at) => {
                let (me, wait) = (self.me.clone(), (at - self.made.now()).secs().max(0.0));
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(Duration::from_secs_f64(wait)).await;
                    if let Some(me) = me.upgrade().filter(|me| me.depot.borrow().is_some()) {
                        me.tell(Event::Wake);
                    }
                });
            }
            Effect::Watch => depot.step(|depot, now, asks, out| {
                let mut step = lynxmill_registry::StoreStep::default();
                depot.watch(now, &mut step);
                asks.append(&mut step.asks);
                out.append(&mut step.events);
            }),
            Effect::Call(body) => depot.step(|depot, now, asks, out| {
                let mut step = lynxmill_registry::StoreStep::default();
                depot.call(now, &body, &mut step);
                asks.append(&mut step.asks);
                out.append(&mut step.events);
            }),
            _ => {}
        }
    }

    fn kill(&self) {
        if let Some(depot) = self.depot.take() {
            depot.kill();
        }
    }
}

/// What the checks have seen of a slice: the newest generation that somebody wrote at, and its owner.
#[derive(Default)]
struct Seen {
    generation: u64,
    server: String,
}

struct Soak {
    made: Rc<Made>,
    assigners: Vec<Rc<Assigner>>,
    members: Vec<Rc<Runner<Member>>>,
    seen: BTreeMap<usize, Seen>,
    drains: Vec<bool>,
    index: u64,
    silent_since: Option<Timestamp>,
    writes: u64,
    moves: u64,
}

impl Soak {
    fn list(&self, snapshot: bool) -> Value {
        let entry = |(name, drains): (&&str, &bool)| json!({"name": name, "status": if *drains { "draining" } else { "ready" }, "weight": 1.0});
        let entries: Vec<Value> = SERVERS.iter().zip(&self.drains).map(entry).collect();
        json!({"index": self.index, "snapshot": snapshot, "endpoints": entries})
    }

    /// Every forwarder tries a write of every slice.
    fn look(&mut self) {
        let now = self.made.now();
        for (f, member) in self.members.iter().enumerate() {
            member.look(|member| {
                let silent = self.silent_since.is_some_and(|since| now - since > secs(LEASE));
                assert!(
                    !(silent && member.tables().writes(now)),
                    "forwarder {f} writes a lease after silence"
                );
                for slice in 0..SLICES {
                    let sight = member.see(now, slice, "vote");
                    let Some(server) = sight.server.filter(|_| sight.writes) else { continue };
                    let seen = self.seen.entry(slice).or_default();
                    // One that is published again has a newer generation, and is no former owner.
                    let other = !seen.server.is_empty() && server != seen.server;
                    assert!(
                        !other || sight.generation > seen.generation,
                        "slice {slice}: forwarder {f} writes to {server} of {}, {} of {} has had writes",
                        sight.generation,
                        seen.server,
                        seen.generation
                    );
                    self.moves += u64::from(other);
                    let generation = sight.generation.max(seen.generation);
                    *seen = Seen { generation, server: server.to_owned() };
                    self.writes += 1;
                }
            });
        }
    }

    fn tell_list(&mut self) {
        self.index += 1;
        let list = self.list(false);
        for assigner in &self.assigners {
            assigner.tell(Event::Listed(members(list.clone()).expect("a list")));
        }
    }

    /// Something changes or goes wrong.
    fn strike(&mut self, which: usize, draw: f64) {
        match which {
            0 | 1 => {
                // Never more than one drains, so that slices have somewhere to go.
                let server = (draw * SERVERS.len() as f64) as usize;
                let before = self.drains[server];
                self.drains.fill(false);
                self.drains[server] = !before;
                self.tell_list();
            }
            2 => self.made.standin.break_watches(),
            3 if draw < 0.3 => {
                let at = (draw * 100.0) as usize % self.assigners.len();
                self.assigners[at].kill();
                self.assigners[at] =
                    Assigner::start(&self.made, &format!("n{at}"), self.list(true));
            }
            4 if draw < 0.4 => {
                let at = (draw * 100.0) as usize % self.members.len();
                self.members[at].kill();
                self.members[at] = self.made.member(at as u16);
            }
            5 if draw < 0.3 => {
                let silent = self.silent_since.is_none();
                self.made.standin.silence(silent);
                self.silent_since = silent.then(|| self.made.now());
            }
            6 if draw < 0.1 => {
                let mut store = self.made.standin.store();
                let at = store.revision;
                store.compact(at);
            }
            _ => {}
        }
    }

    fn lines(&self) -> BTreeMap<usize, (Option<String>, u64)> {
        let store = self.made.standin.store();
        let line = |(key, kv): (&String, &lynxmill_fake_servers::registry::Kv)| match layout()
            .place(key)?
        {
            KeyLocation::Line(slice) => {
                let line: Line = read(&kv.value).ok()?;
                Some((slice, (line.server, line.generation)))
            }
            _ => None,
        };
        store.keys.iter().filter_map(line).collect()
    }

    /// How often something failed for those that are there now.
    fn faults(&self) -> u64 {
        self.members
            .iter()
            .map(|member| member.faults().values().sum::<u64>())
            .sum()
    }

    fn settled(&self) -> bool {
        let lines = self.lines();
        let owned = lines.len() == SLICES && lines.values().all(|(server, _)| server.is_some());
        let now = self.made.now();
        let same = |member: &Rc<Runner<Member>>| {
            member.look(|member| {
                let held: BTreeMap<usize, (Option<String>, u64)> = member
                    .tables()
                    .slices()
                    .map(|(slice, server, generation)| {
                        (slice, (server.map(str::to_owned), generation))
                    })
                    .collect();
                held == lines && member.tables().writes(now)
            })
        };
        owned && self.members.iter().all(same)
    }
}

fn rough(seed: u64) -> Faults {
    Faults {
        seed,
        lose_request: 0.03,
        lose_answer: 0.03,
        break_watch: 0.01,
        mute_watch: 0.002,
        repeat: 0.1,
        delay: Duration::from_millis(6),
        compact: 0.05,
        stale: 0.05,
    }
}

async fn soak(spelling: Spelling, seed: u64, lasts: Duration) {
    let standin = Standin::start(rough(seed)).expect("a free port");
    for slice in 0..SLICES {
        let line = Line {
            server: Some(SERVERS[slice % 4].to_owned()),
            generation: 1,
            stamp: "0".into(),
        };
        let value = lynxmill_registry::layout::spell(&line);
        standin.change(|store| store.put(&layout().key(&KeyLocation::Line(slice)), &value));
    }
    let made = Rc::new(Made {
        spelling,
        standin,
        begun: Instant::now(),
        seeds: RefCell::new(Pcg::new(seed)),
    });
    let mut soak = Soak {
        members: (0..FORWARDERS).map(|number| made.member(number)).collect(),
        assigners: Vec::new(),
        made,
        seen: BTreeMap::new(),
        drains: vec![false; SERVERS.len()],
        index: 1,
        silent_since: None,
        writes: 0,
        moves: 0,
    };
    for name in ["n0", "n1"] {
        soak.assigners
            .push(Assigner::start(&soak.made, name, soak.list(true)));
    }
    let mut chance = Pcg::new(seed ^ 0x5eed);
    let mut strike_at = Duration::from_secs(3);
    while soak.made.begun.elapsed() < lasts {
        actix_rt::time::sleep(Duration::from_millis(3)).await;
        soak.look();
        // Others write there too, which gives the streams something to break at.
        soak.made
            .standin
            .change(|store| store.put(&format!("{}noise", layout().prefix()), b"x"));
        if soak.made.begun.elapsed() >= strike_at {
            // A silent registry comes back sooner than anything else happens.
            let which = if soak.silent_since.is_some() {
                5
            } else {
                (chance.unit() * 7.0) as usize
            };
            soak.strike(which, chance.unit());
            strike_at += Duration::from_millis(100 + (chance.unit() * 400.0) as u64);
        }
    }
    soak.made.standin.faults(Faults::default());
    if soak.silent_since.take().is_some() {
        soak.made.standin.silence(false);
    }
    let end = Instant::now() + Duration::from_secs(30);
    while !soak.settled() {
        assert!(Instant::now() < end, "not settled: {:?}", soak.lines());
        actix_rt::time::sleep(Duration::from_millis(3)).await;
        soak.look();
    }
    let (compactions, txns) = {
        let store = soak.made.standin.store();
        (store.compactions, store.txns)
    };
    let faults: u64 = soak.faults();
    eprintln!(
        "writes {} moves {} compactions {compactions} transactions {txns} requests and streams that failed {faults}",
        soak.writes, soak.moves
    );
    assert!(
        soak.writes > 1_000 && soak.moves > 0 && compactions > 5 && faults > 10,
        "nothing was tested"
    );
}

/// How long a soak lasts; longer by hand with SOAK_S.
fn lasts() -> Duration {
    let told = std::env::var("SOAK_S")
        .ok()
        .and_then(|text| text.parse().ok());
    Duration::from_secs(told.unwrap_or(20))
}

#[rstest]
#[case::etcd(Spelling::Etcd, 1)]
#[case::etcd_again(Spelling::Etcd, 2)]
#[case::consul(Spelling::Consul, 3)]
fn no_former_owner_has_writes_whatever_the_registry_does(
    #[case] spelling: Spelling,
    #[case] seed: u64,
) {
    actix_rt::System::new().block_on(soak(spelling, seed, lasts()));
}
