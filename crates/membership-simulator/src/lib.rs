//! Instances of the membership core on a virtual clock, with loss, one-way loss, partitions, stalls and
//! deaths. The same seed gives the same course. Signatures are of the right size and no secret: what they are
//! worth is tested elsewhere.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use lynxmill_membership::{Charge, Config, Identity, Node, Output, State, Transport, mixed};
use lynxmill_time::{TimeDelta, Timestamp};
use rand_core::Rng;
use rand_pcg::Pcg32;

/// Signs without a secret, in as many bytes as a real signature.
#[derive(Clone, Debug)]
pub struct UnsignedKeys {
    name: String,
    /// How many belong, whether there or not.
    count: usize,
}

fn plain(name: &str, road: u8, text: &[u8]) -> Vec<u8> {
    mixed(&[name.as_bytes(), &[road], text])
        .to_be_bytes()
        .repeat(8)
}

impl Identity for UnsignedKeys {
    fn key(&self) -> u64 {
        mixed(&[self.name.as_bytes()])
    }
    fn sign(&self, road: u8, text: &[u8]) -> Vec<u8> {
        plain(&self.name, road, text)
    }
    fn knows(&self, _: &str) -> bool {
        true
    }
    fn count(&self) -> usize {
        self.count
    }
    fn holds(&self, name: &str, _: u64, road: u8, text: &[u8], signature: &[u8]) -> bool {
        plain(name, road, text) == signature
    }
}

enum EventKind {
    Tick(usize),
    Arrive {
        to: usize,
        from: usize,
        road: Transport,
        bytes: Vec<u8>,
    },
    /// The other half of an exchange.
    Answer {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
}

struct ScheduledEvent {
    key: Reverse<(Timestamp, u64)>,
    what: EventKind,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

/// What one that lives and can be reached was taken for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FalseSuspicions {
    /// Times that somebody suspected it, and took it for dead.
    pub suspected: u64,
    pub dead: u64,
}

pub struct World {
    pub terms: Config,
    seed: u64,
    chance: Pcg32,
    agenda: BinaryHeap<ScheduledEvent>,
    count: u64,
    pub now: Timestamp,
    pub nodes: Vec<Option<Node<UnsignedKeys>>>,
    ticks: Vec<Timestamp>,
    stalled: Vec<Timestamp>,
    /// Who can't reach whom: by the sides they are on.
    pub sides: Vec<u8>,
    /// Part of datagrams that are lost, and of those from some to anybody.
    pub loss: f64,
    pub deaf: BTreeMap<usize, f64>,
    pub mistakes: FalseSuspicions,
    /// When each first took another for dead.
    pub dead_at: BTreeMap<(usize, usize), Timestamp>,
    pub present_at: BTreeMap<(usize, usize), Timestamp>,
    starts: u64,
    /// Bytes of the busiest second of any instance.
    pub most_bytes: u64,
    second: Vec<(i64, u64)>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from((
        [127, (node >> 14) as u8, 0, 1],
        10_000 + (node & 0x3fff) as u16,
    ))
}

fn node_at(at: SocketAddr) -> usize {
    let host = match at {
        SocketAddr::V4(at) => usize::from(at.ip().octets()[1]),
        SocketAddr::V6(_) => 0,
    };
    host << 14 | usize::from(at.port() - 10_000)
}

pub fn name(node: usize) -> String {
    format!("n{node}")
}

fn number(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}

impl World {
    /// So many, each of which knows the first as its seed and starts within a second.
    pub fn new(size: usize, terms: Config, seed: u64) -> Self {
        let mut world = World {
            terms,
            seed,
            chance: Pcg32::new(seed, 7),
            agenda: BinaryHeap::new(),
            count: 0,
            now: Timestamp::default(),
            nodes: (0..size).map(|_| None).collect(),
            ticks: vec![Timestamp::from_micros(i64::MAX); size],
            stalled: vec![Timestamp::default(); size],
            sides: vec![0; size],
            loss: 0.0,
            deaf: BTreeMap::new(),
            mistakes: FalseSuspicions::default(),
            dead_at: BTreeMap::new(),
            present_at: BTreeMap::new(),
            starts: 0,
            most_bytes: 0,
            second: vec![(0, 0); size],
        };
        let _ = (world.chance.next_u32(), world.chance.next_u32());
        for node in 0..size {
            world.start(node, 0);
        }
        world
    }

    fn unit(&mut self) -> f64 {
        f64::from(self.chance.next_u32()) / 4_294_967_296.0
    }

    /// A process starts, under its name of before if it had one; its clock may be off by so many
    /// milliseconds.
    pub fn start(&mut self, node: usize, clock_ms: i64) {
        self.starts += 1;
        let life = (1_700_000_000_000 + self.now.micros() / 1000 + clock_ms).max(1) as u64;
        let seed = mixed(&[&self.seed.to_be_bytes(), &self.starts.to_be_bytes()]);
        let name = name(node);
        let terms = self.terms.clone();
        let seal = UnsignedKeys {
            name: name.clone(),
            count: self.nodes.len(),
        };
        let mut started = Node::new(&name, address(node), life, terms, seal, seed, self.now);
        let seeds: Vec<SocketAddr> = [0, 1]
            .into_iter()
            .filter(|&seed| seed < self.nodes.len())
            .map(address)
            .collect();
        started.swim.join(&seeds);
        self.nodes[node] = Some(started);
        self.dead_at.retain(|(_, about), _| *about != node);
        let within = TimeDelta::from_secs(self.unit());
        self.tick_at(node, self.now + within);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
        self.dead_at.retain(|(_, about), _| *about != node);
        self.ticks[node] = Timestamp::from_micros(i64::MAX);
    }

    /// It neither sends nor reads for so long; what comes meanwhile waits.
    pub fn stall(&mut self, node: usize, length: TimeDelta) {
        self.stalled[node] = self.now + length;
    }

    fn at(&mut self, at: Timestamp, what: EventKind) {
        self.count += 1;
        self.agenda.push(ScheduledEvent {
            key: Reverse((at.max(self.now), self.count)),
            what,
        });
    }

    fn tick_at(&mut self, node: usize, at: Timestamp) {
        if at < self.ticks[node] {
            self.ticks[node] = at;
            self.at(at, EventKind::Tick(node));
        }
    }

    fn reach(&self, from: usize, to: usize) -> bool {
        self.sides[from] == self.sides[to] && self.nodes[to].is_some()
    }

    fn carry(&mut self, from: usize, out: Vec<Output>) {
        for Output { to, road, bytes } in out {
            let to = node_at(to);
            self.counted(from, bytes.len());
            let lost = match road {
                // Connections repeat what is lost.
                Transport::Exchange => false,
                Transport::Datagram => {
                    let part = self.loss.max(self.deaf.get(&from).copied().unwrap_or(0.0));
                    self.unit() < part
                }
            };
            let way = TimeDelta::from_secs(0.0005 + 0.004 * self.unit() * self.unit());
            if to < self.nodes.len() && !lost && self.reach(from, to) {
                self.at(
                    self.now + way,
                    EventKind::Arrive {
                        to,
                        from,
                        road,
                        bytes,
                    },
                );
            }
        }
    }

    fn counted(&mut self, from: usize, bytes: usize) {
        let second = self.now.micros() / 1_000_000;
        let of = &mut self.second[from];
        if of.0 != second {
            *of = (second, 0);
        }
        of.1 += bytes as u64;
        self.most_bytes = self.most_bytes.max(of.1);
    }

    fn after(&mut self, node: usize) {
        let Some(of) = &mut self.nodes[node] else {
            return;
        };
        // Whoever is to hand a slice over has it shut by the time that this is carried out.
        let (mut out, now) = (Vec::new(), self.now);
        let told = of
            .charges
            .as_mut()
            .map(|charges| std::mem::take(&mut charges.told))
            .unwrap_or_default();
        for charge in told {
            if let Charge::HandOver(slice) = charge {
                of.released(now, slice, &mut out);
            }
        }
        let changes = of.changes();
        let wake = of.wake();
        for change in changes {
            let about = number(&change.name);
            let lives = self.nodes.get(about).is_some_and(Option::is_some)
                && self.sides[about] == self.sides[node]
                && self.stalled[about] <= self.now
                && self.stalled[node] <= self.now;
            match change.to {
                State::Suspect if lives => self.mistakes.suspected += 1,
                State::Dead => {
                    self.mistakes.dead += u64::from(lives);
                    self.dead_at.insert((node, about), self.now);
                }
                State::Alive => {
                    self.present_at.insert((node, about), self.now);
                    self.dead_at.remove(&(node, about));
                }
                _ => {}
            }
        }
        self.tick_at(node, wake.max(self.now));
        self.carry(node, out);
    }

    /// Plays on for so long.
    pub fn run(&mut self, length: f64) {
        let end = self.now + TimeDelta::from_secs(length);
        while self.agenda.peek().is_some_and(|due| due.key.0.0 <= end) {
            let Some(due) = self.agenda.pop() else { break };
            self.now = due.key.0.0;
            self.due(due.what);
        }
        self.now = end;
    }

    fn due(&mut self, what: EventKind) {
        let node = match &what {
            EventKind::Tick(node) => *node,
            EventKind::Arrive { to, .. } | EventKind::Answer { to, .. } => *to,
        };
        if self.stalled[node] > self.now {
            if let EventKind::Tick(_) = what {
                self.ticks[node] = self.stalled[node];
            }
            return self.at(self.stalled[node], what);
        }
        let now = self.now;
        let mut out = Vec::new();
        match what {
            EventKind::Tick(_) => {
                if self.ticks[node] > now {
                    return;
                }
                self.ticks[node] = Timestamp::from_micros(i64::MAX);
                if let Some(of) = &mut self.nodes[node] {
                    of.tick(now, &mut out);
                }
            }
            EventKind::Arrive {
                from, road, bytes, ..
            } => {
                let Some(of) = &mut self.nodes[node] else {
                    return;
                };
                let answer = of.heard(now, address(from), road, &bytes, &mut out);
                if let Ok(Some(bytes)) = answer {
                    self.counted(node, bytes.len());
                    if self.reach(node, from) {
                        self.at(
                            now + TimeDelta::from_secs(0.001),
                            EventKind::Answer {
                                to: from,
                                from: node,
                                bytes,
                            },
                        );
                    }
                }
            }
            EventKind::Answer { from, bytes, .. } => {
                if let Some(of) = &mut self.nodes[node] {
                    let _ = of.heard(now, address(from), Transport::Exchange, &bytes, &mut out);
                }
            }
        }
        self.carry(node, out);
        self.after(node);
    }

    pub fn living(&self) -> impl Iterator<Item = (usize, &Node<UnsignedKeys>)> {
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(node, of)| Some((node, of.as_ref()?)))
    }

    /// Those who live and see all others that live, and nobody else.
    pub fn agree(&self) -> usize {
        let names: BTreeSet<String> = self.living().map(|(node, _)| name(node)).collect();
        let sees = |node: usize, of: &Node<UnsignedKeys>| {
            let seen = of.swim.members().iter().filter(|m| m.state.there());
            let mut seen: BTreeSet<String> = seen.map(|m| m.name.clone()).collect();
            seen.insert(name(node));
            seen == names
        };
        self.living().filter(|(node, of)| sees(*node, of)).count()
    }

    /// Who holds each slice, where members divide them, and in which generation. A process that stands still
    /// says nothing for them, but its own clock goes on.
    pub fn held(&self) -> BTreeMap<u32, Vec<(usize, u64)>> {
        let mut held: BTreeMap<u32, Vec<(usize, u64)>> = BTreeMap::new();
        for (node, of) in self.living() {
            for (slice, generation) in of
                .charges
                .iter()
                .flat_map(|charges| charges.holds(self.now))
            {
                held.entry(slice).or_default().push((node, generation));
            }
        }
        held
    }

    /// Seconds until the first, half and all of those who live had taken one for dead.
    pub fn known_after(&self, about: usize, since: Timestamp) -> Option<(f64, f64, f64)> {
        let mut times: Vec<f64> = self
            .living()
            .filter_map(|(node, _)| Some((*self.dead_at.get(&(node, about))? - since).secs()))
            .collect();
        times.sort_by(f64::total_cmp);
        let all = times.len() == self.living().count();
        let (first, half) = (*times.first()?, *times.get(times.len() / 2)?);
        all.then(|| (first, half, times[times.len() - 1]))
    }

    /// Bytes and messages that an instance has sent a second, on average, since some earlier count.
    pub fn sent(&self) -> (u64, u64) {
        self.living().fold((0, 0), |(bytes, messages), (_, of)| {
            (bytes + of.tally.sent_bytes, messages + of.tally.sent)
        })
    }
}
