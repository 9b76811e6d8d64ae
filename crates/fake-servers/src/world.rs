//! What the relay, its proxies and discovery hold, and how they are to misbehave.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Answered,
    /// Turned back.
    Throttled,
    Invalid,
    /// Carried out or not, but the answer doesn't come, can't be read, or the connection breaks.
    Broken(bool),
    Silent(bool),
    Garbled(bool),
    /// Carried out, but the answer tells of more orders than there were.
    Boasts,
    /// Only so many orders are taken.
    Takes(usize),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
pub enum WorldOperation {
    Share {
        table: usize,
        server: String,
        weight: f64,
    },
    Admit {
        table: usize,
        routes: Vec<String>,
        admit: f64,
    },
    Mark {
        nonce_out: u16,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Slice {
    pub mine: bool,
    pub line: Option<String>,
    pub levels: BTreeMap<String, f64>,
}

/// A proxy's tables, whether it keeps up, and when its stream ended.
#[derive(Debug, Default)]
pub struct Proxy {
    tables: BTreeMap<usize, String>,
    slow: bool,
    owes: Vec<u16>,
    parted: Option<Duration>,
}

pub type WorldUpdate = Result<String, std::io::Error>;

#[derive(Default)]
pub struct State {
    pub slices: BTreeMap<usize, Slice>,
    pub proxies: BTreeMap<u16, Proxy>,
    pub calls: Vec<(CallOutcome, Vec<WorldOperation>)>,
    /// What becomes of the calls to come; then all are answered.
    pub fates: VecDeque<CallOutcome>,
    pub watches: Vec<UnboundedSender<WorldUpdate>>,
    /// Watches that have begun so far; none is taken while the relay is out of reach.
    pub watched: usize,
    pub out_of_reach: bool,
    /// The list, each entry with the version that it changed in; silent; a whole list next.
    members: BTreeMap<String, (u64, Value)>,
    pub index: u64,
    pub mute: bool,
    pub whole: bool,
    /// Slices that had two owners at some time.
    pub torn: Vec<String>,
    lease: Duration,
    begun: Option<Instant>,
    /// Time, where whoever plays with the state tells it.
    pub told_time: Duration,
}

pub struct World {
    state: Mutex<State>,
    changed: Condvar,
    pub listed: Notify,
}

impl World {
    pub fn new(lease: Duration) -> Self {
        let state = State {
            begun: Some(Instant::now()),
            ..State::new(lease)
        };
        World {
            state: Mutex::new(state),
            changed: Condvar::new(),
            listed: Notify::new(),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        self.listed.notify_waiters();
        result
    }

    pub fn wait<'a>(
        &'a self,
        state: MutexGuard<'a, State>,
        most: Duration,
    ) -> MutexGuard<'a, State> {
        self.changed
            .wait_timeout(state, most)
            .unwrap_or_else(PoisonError::into_inner)
            .0
    }
}

impl State {
    /// One without sockets, whose time is told.
    pub fn new(lease: Duration) -> Self {
        State {
            lease,
            ..State::default()
        }
    }

    fn now(&self) -> Duration {
        self.begun.map_or(self.told_time, |begun| begun.elapsed())
    }

    // --- the relay ---

    fn news(&mut self, kind: &str, object: Value) {
        let line = line(kind, object);
        self.watches
            .retain(|watch| watch.send(Ok(line.clone())).is_ok());
    }

    /// What a watch is told first.
    pub fn standing(&self) -> String {
        let joined = self.proxies.iter().filter(|(_, p)| p.parted.is_none());
        let mut lines: String = joined.map(|(px, _)| line("attach", attach(*px))).collect();
        for (slice, held) in self.slices.iter().filter(|(_, held)| held.mine) {
            lines += &line("owner", owner(*slice, true));
            lines.extend(
                held.line
                    .iter()
                    .map(|server| line("entry", entry(*slice, server))),
            );
        }
        lines
    }

    /// The tables of a proxy that has read the store.
    fn store(&self) -> BTreeMap<usize, String> {
        let lines = self
            .slices
            .iter()
            .filter_map(|(slice, held)| Some((*slice, held.line.clone()?)));
        lines.collect()
    }

    /// Breaks all watches off.
    pub fn cut(&mut self) {
        for watch in self.watches.drain(..) {
            let _ = watch.send(Err(std::io::ErrorKind::ConnectionReset.into()));
        }
    }

    /// A proxy joins; it reads the store.
    pub fn attach(&mut self, px: u16) {
        if self
            .proxies
            .get(&px)
            .is_some_and(|proxy| proxy.parted.is_none())
        {
            return;
        }
        let tables = self.store();
        self.proxies.insert(
            px,
            Proxy {
                tables,
                ..Proxy::default()
            },
        );
        self.news("attach", attach(px));
    }

    pub fn detach(&mut self, px: u16) {
        let now = self.now();
        if let Some(proxy) = self
            .proxies
            .get_mut(&px)
            .filter(|proxy| proxy.parted.is_none())
        {
            proxy.parted = Some(now);
            self.news("detach", json!({"proxy": px}));
        }
    }

    /// The store gives the assigner a slice, as it stands or with another line. Whoever had it before has
    /// waited for the leases; the proxies read it afresh.
    pub fn give(&mut self, slice: usize, server: Option<&str>) {
        let line = server.map(str::to_owned);
        for proxy in self.proxies.values_mut() {
            proxy.tables.remove(&slice);
            proxy.tables.extend(
                line.clone()
                    .filter(|_| proxy.parted.is_none())
                    .map(|line| (slice, line)),
            );
        }
        self.slices.insert(
            slice,
            Slice {
                mine: true,
                line,
                ..Slice::default()
            },
        );
        self.news("owner", owner(slice, true));
        if let Some(server) = server {
            self.news("entry", entry(slice, server));
        }
    }

    pub fn take(&mut self, slice: usize) {
        self.slices.entry(slice).or_default().mine = false;
        self.news("owner", owner(slice, false));
    }

    pub fn owner(&self, slice: usize) -> Option<&str> {
        self.slices.get(&slice)?.line.as_deref()
    }

    /// Takes a call: what becomes of it, and how many orders the store took.
    pub fn call(&mut self, ops: Vec<WorldOperation>) -> (CallOutcome, usize) {
        let fate = self.fates.pop_front().unwrap_or(CallOutcome::Answered);
        let carried = match fate {
            CallOutcome::Throttled | CallOutcome::Invalid => 0,
            CallOutcome::Broken(done) | CallOutcome::Silent(done) | CallOutcome::Garbled(done) => {
                ops.len() * usize::from(done)
            }
            CallOutcome::Takes(some) => some.min(ops.len()),
            CallOutcome::Answered | CallOutcome::Boasts => ops.len(),
        };
        let strange = |op: &WorldOperation| matches!(op, WorldOperation::Share { server, .. } if !self.members.contains_key(server));
        let taken = ops[..carried].iter().position(strange).unwrap_or(carried);
        self.carry_out(&ops[..taken]);
        self.calls.push((fate, ops));
        (fate, taken)
    }

    fn carry_out(&mut self, ops: &[WorldOperation]) {
        for op in ops {
            match op {
                WorldOperation::Share {
                    table,
                    server,
                    weight,
                } => {
                    let Some(slice) = self.slices.get_mut(table).filter(|slice| slice.mine) else {
                        continue;
                    };
                    if *weight > 0.0 {
                        slice.line = Some(server.clone());
                    } else if slice.line.as_ref() == Some(server) {
                        slice.line = None;
                    }
                    let line = slice.line.clone();
                    for proxy in self
                        .proxies
                        .values_mut()
                        .filter(|p| p.parted.is_none() && !p.slow)
                    {
                        match &line {
                            Some(server) => drop(proxy.tables.insert(*table, server.clone())),
                            None => drop(proxy.tables.remove(table)),
                        }
                    }
                    self.check(*table);
                }
                WorldOperation::Admit {
                    table,
                    routes,
                    admit,
                } => {
                    if let Some(slice) = self.slices.get_mut(table).filter(|slice| slice.mine) {
                        slice
                            .levels
                            .extend(routes.iter().map(|route| (route.clone(), *admit)));
                    }
                }
                WorldOperation::Mark { nonce_out } => {
                    let joined = self
                        .proxies
                        .iter_mut()
                        .filter(|(_, proxy)| proxy.parted.is_none());
                    let (slow, quick): (Vec<_>, Vec<_>) = joined.partition(|(_, proxy)| proxy.slow);
                    slow.into_iter()
                        .for_each(|(_, proxy)| proxy.owes.push(*nonce_out));
                    let quick: Vec<u16> = quick.into_iter().map(|(px, _)| *px).collect();
                    quick.into_iter().for_each(|px| self.done(px, *nonce_out));
                }
            }
        }
    }

    fn done(&mut self, px: u16, mark: u16) {
        self.news("done", json!({"proxy": px, "mark": mark, "took_ms": 0.5}));
    }

    /// Lets a proxy fall behind, or catch up: it applies all that it was sent and answers the marks.
    pub fn slow(&mut self, px: u16, slow: bool) {
        let tables = self.store();
        let Some(proxy) = self.proxies.get_mut(&px) else {
            return;
        };
        proxy.slow = slow;
        if !slow {
            proxy.tables = tables;
            let owed = std::mem::take(&mut proxy.owes);
            owed.into_iter().for_each(|mark| self.done(px, mark));
        }
    }

    /// No two proxies may write at different owners: those joined, and those gone for less than a lease.
    fn check(&mut self, table: usize) {
        let now = self.now();
        let writes = |proxy: &&Proxy| proxy.parted.is_none_or(|at| now - at < self.lease);
        let writing = self.proxies.values().filter(writes);
        let mut owners: Vec<&str> = writing
            .filter_map(|p| Some(p.tables.get(&table)?.as_str()))
            .collect();
        owners.sort_unstable();
        owners.dedup();
        if owners.len() > 1 {
            let torn = format!("slice {table} at {owners:?}");
            self.torn.push(torn);
        }
    }

    // --- discovery ---

    pub fn list(&mut self, name: &str, status: &str, since_ms: f64) {
        self.list_at(name, "127.0.0.1:9", status, since_ms);
    }

    /// The same with where it listens.
    pub fn list_at(&mut self, name: &str, address: &str, status: &str, since_ms: f64) {
        self.index += 1;
        let entry = json!({"name": name, "address": address, "zone": "a", "type": "m2", "group": 0,
            "status": status, "weight": 1.0, "since_ms": since_ms});
        self.members.insert(name.to_owned(), (self.index, entry));
    }

    /// Whether a call for what has come since a version is answered at once.
    pub fn answers(&self, from: Option<u64>) -> bool {
        !self.mute && (self.whole || from.is_none_or(|from| self.index > from))
    }

    /// What a call for the list gets: all that stands, or what has come since a version.
    pub fn members(&mut self, from: Option<u64>) -> Value {
        let whole = from.is_none() || std::mem::take(&mut self.whole);
        let gone = |entry: &Value| entry["status"] == "gone";
        let due = |(at, entry): &&(u64, Value)| {
            if whole {
                !gone(entry)
            } else {
                Some(*at) > from
            }
        };
        let due: Vec<&Value> = self
            .members
            .values()
            .filter(due)
            .map(|(_, entry)| entry)
            .collect();
        json!({"index": self.index, "snapshot": whole, "endpoints": due})
    }
}

fn line(kind: &str, object: Value) -> String {
    format!("{}\n", json!({"type": kind, "object": object}))
}

fn owner(slice: usize, on: bool) -> Value {
    json!({"slice": slice, "on": on})
}

fn entry(slice: usize, server: &str) -> Value {
    json!({"slice": slice, "server": server, "weight": 1.0})
}

fn attach(px: u16) -> Value {
    json!({"proxy": px, "zone": "a", "weight": 20.0, "fresh": true})
}
