//! Every order in which things can come about for two assigners that want one slice: leases that run out, crashes, lost
//! requests that arrive late, lost answers. The library's own custody and writes; a registry of a few lines.

mod explore;

use std::collections::{BTreeMap, BTreeSet};

use explore::{Model, Printed, explore, most};
use lynxmill_registry::{
    Answer, Backoff, Came, KeyValue, Lease, LiveMembers, Precondition, PutOperation, Revision,
    ShardOwnership, StoreRequest, Transaction, Writes,
};
use lynxmill_time::{TimeDelta, Timestamp};

const LAST: i64 = 6;
const SECONDS: u64 = 2;
const CHARGE: &str = "p/charge";
const LINE: &str = "p/line";

#[derive(Clone, Hash)]
struct Node {
    custody: Printed<ShardOwnership>,
    writes: Printed<Writes>,
    asks: Vec<StoreRequest>,
    /// The lease under which its claim was carried out, and the claim under way.
    holds: Option<Lease>,
    claim: Option<(u64, Lease)>,
    /// Its line writes: how many it gave, and the stamps by their ids.
    given: u64,
    stamps: BTreeMap<u64, Vec<u8>>,
    lives: u8,
}

#[derive(Clone, Hash)]
struct World {
    now: i64,
    keys: BTreeMap<String, KeyValue>,
    revision: u64,
    leases: BTreeMap<String, i64>,
    granted: u64,
    /// Requests that are on their way though nobody waits for them any more.
    late: Vec<Transaction>,
    nodes: Vec<Node>,
    /// Stamps that were ever carried out, in order.
    history: Vec<Vec<u8>>,
    lost: u8,
    wrong: Option<&'static str>,
}

#[derive(Clone, Debug)]
enum Step {
    Tick,
    Serve(usize, usize),
    LoseAnswer(usize, usize),
    LoseRequest(usize, usize),
    Arrive(usize),
    Crash(usize),
}

/// Whether assigners go by what they believe of their lease alone, as a fault put in on purpose.
struct Two {
    believes: bool,
}

fn at(now: i64) -> Timestamp {
    Timestamp::from_micros(now * 1_000_000)
}

fn secs(seconds: i64) -> TimeDelta {
    TimeDelta::from_micros(seconds * 1_000_000)
}

fn node(which: usize, lives: u8) -> Node {
    let backoff = || Backoff::new(secs(1), secs(1), 1);
    let custody = ShardOwnership::new(&format!("n{which}-{lives}"), SECONDS, secs(1), backoff());
    let writes = Writes::new(4, secs(1), backoff());
    Node {
        custody: Printed(custody),
        writes: Printed(writes),
        asks: Vec::new(),
        holds: None,
        claim: None,
        given: 0,
        stamps: BTreeMap::new(),
        lives,
    }
}

impl World {
    fn carry_out(&mut self, txn: &Transaction) -> bool {
        let holds = |(key, expect): &(String, Precondition)| match (self.keys.get(key), expect) {
            (None, Precondition::Absent) => true,
            (Some(pair), Precondition::At(at)) => pair.changed == *at,
            (Some(pair), Precondition::Of(lease)) => pair.lease.as_ref() == Some(lease),
            _ => false,
        };
        let leased = |put: &PutOperation| {
            put.lease
                .as_ref()
                .is_none_or(|lease| self.leases.contains_key(&lease.0))
        };
        if !txn.guards.iter().all(holds) || !txn.puts.iter().all(leased) {
            return false;
        }
        self.revision += 1;
        for put in &txn.puts {
            let value = put.value.clone().unwrap_or_default();
            if put.key == LINE {
                if self.history.contains(&value) {
                    self.wrong = Some("a write was carried out twice");
                }
                self.history.push(value.clone());
            }
            let changed = Revision(self.revision);
            let pair = KeyValue {
                key: put.key.clone(),
                value,
                made: changed,
                changed,
                lease: put.lease.clone(),
            };
            self.keys.insert(put.key.clone(), pair);
        }
        true
    }

    /// What a node does with what has come: it claims, and writes while it may speak for the slice.
    fn act(&mut self, n: usize) {
        let now = at(self.now);
        let charge = self.keys.get(CHARGE).cloned();
        let line = self.keys.get(LINE).map(|pair| pair.changed);
        let node = &mut self.nodes[n];
        let LiveMembers::Yes(lease) = node.custody.0.live(now) else {
            return;
        };
        let idle = node.writes.0.waiting() == 0;
        if idle && node.claim.is_none() && charge.is_none() && node.holds.as_ref() != Some(&lease) {
            let key = CHARGE.to_owned();
            let value = format!("{}-{n}-{}", lease.0, node.lives).into_bytes();
            let put = PutOperation {
                key: key.clone(),
                value: Some(value),
                lease: Some(lease.clone()),
            };
            let txn = Transaction {
                guards: vec![(key, Precondition::Absent)],
                puts: vec![put],
            };
            if let Ok(id) = node.writes.0.push(now, txn, 0, &mut node.asks) {
                node.claim = Some((id, lease));
            }
        } else if idle && node.holds.as_ref() == Some(&lease) && node.given < 2 {
            node.given += 1;
            let stamp = format!("{n}-{}-{}", node.lives, node.given).into_bytes();
            let expect = line.map_or(Precondition::Absent, Precondition::At);
            let put = PutOperation {
                key: LINE.to_owned(),
                value: Some(stamp.clone()),
                lease: None,
            };
            let guards = vec![
                (LINE.to_owned(), expect),
                (CHARGE.to_owned(), Precondition::Of(lease)),
            ];
            if let Ok(id) = node.writes.0.push(
                now,
                Transaction {
                    guards,
                    puts: vec![put],
                },
                0,
                &mut node.asks,
            ) {
                node.stamps.insert(id, stamp);
            }
        }
        node.asks
            .retain(|ask| !matches!(ask, StoreRequest::WakeAt(_)));
    }

    fn take(&mut self, n: usize, answer: &Answer) {
        let now = at(self.now);
        let mut came = Vec::new();
        let node = &mut self.nodes[n];
        node.writes.0.take(now, answer, &mut came, &mut node.asks);
        node.custody.0.take(now, answer, &mut node.asks);
        for (id, came) in came {
            if let Some((_, lease)) = node.claim.take_if(|(claim, _)| *claim == id) {
                node.holds = matches!(came, Came::Done(_)).then_some(lease);
            }
            if let Some(stamp) = node.stamps.remove(&id) {
                let stands = self.history.contains(&stamp);
                let lies = match came {
                    Came::Done(_) => !stands,
                    Came::Refused => stands,
                    Came::Passed => false,
                };
                if lies {
                    self.wrong = Some("what is told of a write is not so");
                }
            }
        }
        node.asks
            .retain(|ask| !matches!(ask, StoreRequest::WakeAt(_)));
        self.act(n);
    }

    fn answer(&mut self, ask: &StoreRequest) -> Option<Answer> {
        Some(match ask {
            StoreRequest::Grant { turn, seconds } => {
                self.granted += 1;
                let lease = Lease(self.granted.to_string());
                self.leases
                    .insert(lease.0.clone(), self.now + *seconds as i64);
                Answer::Granted { turn: *turn, lease }
            }
            StoreRequest::Keep { turn, lease } => match self.leases.get_mut(&lease.0) {
                Some(until) => {
                    *until = self.now + SECONDS as i64;
                    Answer::Kept { turn: *turn }
                }
                None => Answer::Expired { turn: *turn },
            },
            StoreRequest::Txn { id, txn } if self.carry_out(txn) => Answer::Done {
                id: *id,
                revision: Revision(self.revision),
            },
            StoreRequest::Txn { id, .. } => Answer::Refused { id: *id },
            StoreRequest::Get { id, key } => {
                let pair = self.keys.get(key).cloned();
                Answer::Got {
                    id: *id,
                    revision: Revision(self.revision),
                    pair,
                }
            }
            StoreRequest::Revoke { lease } => {
                self.leases.remove(&lease.0);
                self.expire();
                return None;
            }
            _ => return None,
        })
    }

    fn expire(&mut self) {
        let now = self.now;
        self.leases.retain(|_, until| *until > now);
        let leases = &self.leases;
        let before = self.keys.len();
        self.keys.retain(|_, pair| {
            pair.lease
                .as_ref()
                .is_none_or(|lease| leases.contains_key(&lease.0))
        });
        self.revision += u64::from(self.keys.len() < before);
    }
}

impl Model for Two {
    type World = World;
    type Step = Step;

    fn first(&self) -> World {
        let mut world = World {
            now: 0,
            keys: BTreeMap::new(),
            revision: 0,
            leases: BTreeMap::new(),
            granted: 0,
            late: Vec::new(),
            nodes: (0..2).map(|n| node(n, 0)).collect(),
            history: Vec::new(),
            lost: 0,
            wrong: None,
        };
        for node in &mut world.nodes {
            node.custody.0.wake(at(0), &mut node.asks);
        }
        world
    }

    fn steps(&self, world: &World, to: &mut Vec<Step>) {
        if world.now < LAST {
            to.push(Step::Tick);
        }
        to.extend((0..world.late.len()).map(Step::Arrive));
        for (n, node) in world.nodes.iter().enumerate() {
            for (k, ask) in node.asks.iter().enumerate() {
                to.push(Step::Serve(n, k));
                if world.lost < 1 && matches!(ask, StoreRequest::Txn { .. }) {
                    to.extend([Step::LoseAnswer(n, k), Step::LoseRequest(n, k)]);
                }
            }
            if node.lives < 1 && n == 0 {
                to.push(Step::Crash(n));
            }
        }
    }

    fn next(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Tick => {
                next.now += 1;
                next.expire();
                for n in 0..next.nodes.len() {
                    let now = at(next.now);
                    let node = &mut next.nodes[n];
                    node.custody.0.wake(now, &mut node.asks);
                    node.writes.0.wake(now, &mut node.asks);
                    node.asks
                        .retain(|ask| !matches!(ask, StoreRequest::WakeAt(_)));
                    next.act(n);
                }
            }
            Step::Serve(n, k) => {
                let ask = next.nodes[n].asks.remove(k);
                if let Some(answer) = next.answer(&ask) {
                    next.take(n, &answer);
                }
            }
            Step::LoseAnswer(n, k) | Step::LoseRequest(n, k) => {
                let StoreRequest::Txn { id, txn } = next.nodes[n].asks.remove(k) else {
                    return None;
                };
                next.lost += 1;
                if matches!(step, Step::LoseAnswer(..)) {
                    next.carry_out(&txn);
                } else {
                    next.late.push(txn);
                }
                next.take(n, &Answer::Unknown { id });
            }
            Step::Arrive(k) => {
                let txn = next.late.remove(k);
                next.carry_out(&txn);
            }
            Step::Crash(n) => {
                // What it asked is still on its way.
                let asks = std::mem::take(&mut next.nodes[n].asks);
                next.late
                    .extend(asks.into_iter().filter_map(|ask| match ask {
                        StoreRequest::Txn { txn, .. } => Some(txn),
                        _ => None,
                    }));
                let lives = next.nodes[n].lives + 1;
                next.nodes[n] = node(n, lives);
                let now = at(next.now);
                let node = &mut next.nodes[n];
                node.custody.0.wake(now, &mut node.asks);
            }
        }
        Some(next)
    }

    fn wrong(&self, world: &World) -> Option<&'static str> {
        let speaks = |node: &&Node| match (&node.holds, node.custody.0.live(at(world.now))) {
            (Some(holds), LiveMembers::Yes(lease)) => *holds == lease,
            (Some(_), LiveMembers::No) => self.believes,
            (None, _) => false,
        };
        if world.nodes.iter().filter(speaks).count() > 1 {
            return Some("two assigners speak for one slice");
        }
        world.wrong
    }

    fn seen(&self, world: &World, to: &mut BTreeSet<&'static str>) {
        let writers: BTreeSet<u8> = world
            .history
            .iter()
            .filter_map(|stamp| stamp.first().copied())
            .collect();
        if writers.len() > 1 {
            to.insert("both have written in turn");
        }
        if world.lost > 0 && world.history.len() > 1 {
            to.insert("writes went on after a lost one");
        }
    }
}

#[test]
fn two_assigners_never_speak_for_one_slice_and_writes_are_told_as_they_are() {
    let found = explore(&Two { believes: false }, most());
    assert!(found.wrong.is_none(), "{:?}", found.wrong);
    let went_on = found.seen.contains("writes went on after a lost one");
    assert!(
        went_on && found.worlds > 10_000,
        "{} {:?}",
        found.worlds,
        found.seen
    );
}

#[test]
fn one_that_goes_by_its_belief_alone_is_found() {
    let found = explore(&Two { believes: true }, most());
    assert!(
        found
            .wrong
            .is_some_and(|(what, _)| what.starts_with("two assigners")),
        "{}",
        found.worlds
    );
}
