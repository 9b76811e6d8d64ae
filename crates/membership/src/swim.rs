//! Who is there. Each member probes one other in a period, by itself and then through helpers; one that stays
//! silent is suspected, and dead once its time to answer for itself is over. Suspicions and signs of life
//! travel with probes and answers, in their authors' own signed words. Nobody is dead before this instance
//! has probed for itself once more, and nobody by one other's word alone.

mod claims;
mod exchanges;
mod probes;
mod rumours;
mod suspicion;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use lynxmill_time::Timestamp;
use rand_core::Rng;
use rand_pcg::Pcg32;

use crate::codec::{Body, Claim, Kind, Signed};
use crate::config::Config;
use crate::health::Health;
use crate::keys::Identity;
use crate::node::Transport;

/// What a claim's signature is for.
pub(crate) const CLAIM: u8 = 2;

/// Periods that a suspect has at least to answer for itself, for each tenfold of members; what it has at
/// first, as a multiple of that; and others that must suspect it too until it has the least.
const LEAST: f64 = 4.0;
const FIRST: f64 = 6.0;
const FELLOWS: usize = 3;
/// Times that it is probed once more before that time is over.
const LOOKS: u8 = 3;
/// Periods without a look at the clock after which this instance has stood still.
const STALLED: f64 = 2.0;
/// Part of a second's bytes that one half of an exchange may take, and of the time between two that is waited
/// while more are there than are known.
const EXCHANGED: f64 = 0.5;
const SOON: f64 = 1.0 / 16.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl State {
    /// Whether one in it counts as being there.
    pub fn there(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    pub fn word(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// Another member as this instance sees it.
#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    pub at: SocketAddr,
    pub state: State,
    pub incarnation: u64,
    /// When it came to be in this state.
    pub since: Timestamp,
    /// Its own word that it is alive, or has left.
    word: Signed,
    /// Who suspects it in this incarnation, in their own words.
    by: BTreeMap<String, Signed>,
    deadline: Timestamp,
    /// How often it has been probed here once more before its time to answer is over.
    looks: u8,
}

/// A member is seen otherwise than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub name: String,
    pub from: Option<State>,
    pub to: State,
}

/// Something to be said to somebody; the name is empty for a seed that is not known by name yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Transmission {
    pub to: SocketAddr,
    pub name: String,
    pub road: Transport,
    pub body: Body,
}

struct Probe {
    number: u64,
    about: usize,
    /// Of whom it is probed: what comes of it tells nothing of a later one.
    incarnation: u64,
    /// Then helpers are asked, and then it is over.
    helped_at: Timestamp,
    over_at: Timestamp,
    /// Helpers were due, whether or not there were any.
    asked: bool,
    helpers: u32,
    nacks: u32,
}

/// A probe on behalf of another.
struct IndirectProbe {
    number: u64,
    of: usize,
    its_number: u64,
    nack_at: Timestamp,
    over_at: Timestamp,
}

/// What a rumour is about, of what kind, and whose where several may say it: a newer one takes its place.
type Key = (String, i32, String);

/// How often it was passed on, then which was said last.
type GossipPriority = (u32, Reverse<u64>);

/// Something to be passed on with whatever is sent.
struct GossipItem {
    signed: Signed,
    place: GossipPriority,
}

pub struct Swim<S> {
    pub seal: S,
    terms: Config,
    chance: Pcg32,
    name: String,
    at: SocketAddr,
    incarnation: u64,
    word: Signed,
    members: Vec<Member>,
    by_name: BTreeMap<String, usize>,
    /// Who is suspected, and how many others are there, so that nothing looks at all of them for each
    /// message.
    suspects: BTreeSet<usize>,
    there: usize,
    order: Vec<usize>,
    next: usize,
    probe_at: Timestamp,
    exchange_at: Timestamp,
    probes: Vec<Probe>,
    favours: Vec<IndirectProbe>,
    rumours: BTreeMap<Key, GossipItem>,
    due: BTreeMap<GossipPriority, Key>,
    told: u64,
    seeds: Vec<SocketAddr>,
    /// As many as somebody lately took to be there.
    heard_of: u32,
    number: u64,
    last: Timestamp,
    left: bool,
    pub health: Health,
    pub changes: Vec<Change>,
    /// How often another's suspicion turned out to be wrong, by who said so.
    pub wrong: BTreeMap<String, u32>,
}

fn claim(about: &str, kind: Kind, incarnation: u64, at: &str) -> Claim {
    Claim {
        about: about.to_owned(),
        kind: kind as i32,
        incarnation,
        at: at.to_owned(),
    }
}

impl<S: Identity> Swim<S> {
    /// `incarnation` is to be above that of any start before: the wall clock's milliseconds will do.
    pub fn new(
        name: &str,
        at: SocketAddr,
        incarnation: u64,
        terms: Config,
        seal: S,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut chance = Pcg32::new(seed, 0x6d65_6d62);
        let _ = (chance.next_u32(), chance.next_u32());
        let mut swim = Swim {
            seal,
            probe_at: now,
            exchange_at: now,
            terms,
            chance,
            name: name.to_owned(),
            at,
            incarnation,
            word: Signed::default(),
            members: Vec::new(),
            by_name: BTreeMap::new(),
            suspects: BTreeSet::new(),
            there: 0,
            order: Vec::new(),
            next: 0,
            probes: Vec::new(),
            favours: Vec::new(),
            rumours: BTreeMap::new(),
            due: BTreeMap::new(),
            told: 0,
            seeds: Vec::new(),
            heard_of: 0,
            number: 0,
            last: now,
            left: false,
            health: Health::default(),
            changes: Vec::new(),
            wrong: BTreeMap::new(),
        };
        swim.say(Kind::Alive);
        swim
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Others' keys and its own are other ones from now on; its own word is said anew under the new key.
    pub fn sealed(&mut self, seal: S) {
        let before = std::mem::replace(&mut self.seal, seal).key();
        if before != self.seal.key() && !self.left {
            self.incarnation += 1;
            self.say(Kind::Alive);
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub fn member(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name).map(|&i| &self.members[i])
    }

    /// Those who are there, this instance among them.
    pub fn present(&self) -> usize {
        1 + self.there
    }

    fn unit(&mut self) -> f64 {
        f64::from(self.chance.next_u32()) / 4_294_967_296.0
    }

    fn below(&mut self, most: usize) -> usize {
        (self.unit() * most as f64) as usize
    }

    fn tenfolds(&self) -> f64 {
        (self.present() as f64).log10().max(1.0)
    }

    /// Names of those who are there, this instance among them unless it leaves.
    pub fn present_names(&self) -> BTreeSet<String> {
        let there = self.members.iter().filter(|m| m.state.there());
        let own = (!self.left).then(|| self.name.clone());
        there.map(|m| m.name.clone()).chain(own).collect()
    }

    pub fn wake(&self) -> Timestamp {
        let probes = self.probes.iter().map(|p| {
            if p.asked {
                p.over_at
            } else {
                p.helped_at.min(p.over_at)
            }
        });
        let favours = self.favours.iter().map(|f| f.nack_at);
        let suspects = self.suspects.iter().map(|&i| &self.members[i]);
        let suspects = suspects.map(|m| {
            if m.looks >= LOOKS {
                m.deadline
            } else {
                self.look_at(m.looks, m.deadline)
            }
        });
        // One that has left probes nobody any more; it only answers.
        let own = [self.probe_at, self.exchange_at]
            .into_iter()
            .filter(|_| !self.left);
        let idle = self.last + self.terms.exchange_every;
        probes
            .chain(favours)
            .chain(suspects)
            .chain(own)
            .fold(idle, Timestamp::min)
    }

    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<Transmission>) {
        self.stood(now);
        self.last = now;
        self.favours_due(now, out);
        self.probes_due(now, out);
        self.suspects_due(now, out);
        if self.left {
            return;
        }
        if now >= self.probe_at {
            self.probe_at = now + self.terms.period.times(self.health.patience());
            if let Some(about) = self.whom() {
                self.probe(now, about, out);
            }
        }
        if now >= self.exchange_at {
            self.exchange(now, out);
        }
    }

    /// One that stood still has heard nobody: what it waited for tells nothing, and nobody's time to answer
    /// has run.
    fn stood(&mut self, now: Timestamp) {
        if now > self.last + self.terms.period.times(STALLED * self.health.patience()) {
            let still = now - self.last;
            self.health.worse(2);
            self.probes.clear();
            self.favours.clear();
            for &about in &self.suspects {
                self.members[about].deadline = self.members[about].deadline + still;
            }
        }
    }

    fn present_ones(&self, but: Option<usize>) -> Vec<usize> {
        (0..self.members.len())
            .filter(|&i| Some(i) != but && self.members[i].state == State::Alive)
            .collect()
    }
}
