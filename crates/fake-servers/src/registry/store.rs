//! What the registry holds: keys, leases and a history of changes, under one revision that counts up.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kv {
    pub value: Vec<u8>,
    pub made: u64,
    pub changed: u64,
    /// 0 for none.
    pub lease: u64,
}

#[derive(Clone, Debug)]
pub enum Guard {
    Absent(String),
    At(String, u64),
    Of(String, u64),
}

#[derive(Clone, Debug)]
pub enum Operation {
    Put {
        key: String,
        value: Vec<u8>,
        lease: u64,
    },
    Delete {
        key: String,
    },
}

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub keys: BTreeMap<String, Kv>,
    /// Each change with its revision; None for a key that went.
    history: Vec<(u64, String, Option<Kv>)>,
    /// Nothing before this revision is kept.
    pub compacted: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    pub compactions: u64,
    pub txns: u64,
}

impl Store {
    fn holds(&self, guard: &Guard) -> bool {
        match guard {
            Guard::Absent(key) => !self.keys.contains_key(key),
            Guard::At(key, at) => self.keys.get(key).is_some_and(|kv| kv.changed == *at),
            Guard::Of(key, lease) => self.keys.get(key).is_some_and(|kv| kv.lease == *lease),
        }
    }

    /// All or nothing: the first guard that does not hold, or the revision.
    pub fn txn(&mut self, guards: &[Guard], operations: &[Operation]) -> Result<u64, usize> {
        self.txns += 1;
        let leased = |op: &Operation| match op {
            Operation::Put { lease, .. } => *lease == 0 || self.leases.contains_key(lease),
            Operation::Delete { .. } => true,
        };
        if let Some(at) = guards.iter().position(|guard| !self.holds(guard)) {
            return Err(at);
        }
        if let Some(at) = operations.iter().position(|op| !leased(op)) {
            return Err(guards.len() + at);
        }
        if !operations.is_empty() {
            self.revision += 1;
            operations
                .iter()
                .for_each(|operation| self.apply(operation));
        }
        Ok(self.revision)
    }

    fn apply(&mut self, operation: &Operation) {
        let at = self.revision;
        match operation {
            Operation::Put { key, value, lease } => {
                let made = self.keys.get(key).map_or(at, |kv| kv.made);
                let kv = Kv {
                    value: value.clone(),
                    made,
                    changed: at,
                    lease: *lease,
                };
                self.keys.insert(key.clone(), kv.clone());
                self.history.push((at, key.clone(), Some(kv)));
            }
            Operation::Delete { key } => {
                if self.keys.remove(key).is_some() {
                    self.history.push((at, key.clone(), None));
                }
            }
        }
    }

    pub fn put(&mut self, key: &str, value: &[u8]) -> u64 {
        let put = Operation::Put {
            key: key.to_owned(),
            value: value.to_vec(),
            lease: 0,
        };
        self.txn(&[], &[put]).unwrap_or(0)
    }

    pub fn delete(&mut self, key: &str) {
        let _ = self.txn(
            &[],
            &[Operation::Delete {
                key: key.to_owned(),
            }],
        );
    }

    pub fn compact(&mut self, at: u64) {
        self.compacted = self.compacted.max(at.min(self.revision));
        let compacted = self.compacted;
        self.history.retain(|(of, ..)| *of > compacted);
        self.compactions += 1;
    }

    /// Changes below a prefix from a revision on; the compacted revision where that is no longer kept.
    pub fn since(&self, prefix: &str, from: u64) -> Result<Vec<(u64, String, Option<Kv>)>, u64> {
        if from <= self.compacted {
            return Err(self.compacted + 1);
        }
        let first = self.history.partition_point(|(at, ..)| *at < from);
        let here = |(_, key, _): &&(u64, String, Option<Kv>)| key.starts_with(prefix);
        Ok(self.history[first..].iter().filter(here).cloned().collect())
    }

    /// How many keys there are below a prefix, and the newest that changed at a revision or later.
    pub fn newer(&self, prefix: &str, than: u64) -> (usize, Option<(String, Kv)>) {
        let here = || {
            self.keys
                .range(prefix.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
        };
        let newest = here()
            .filter(|(_, kv)| kv.changed >= than)
            .max_by_key(|(_, kv)| kv.changed);
        (
            here().count(),
            newest.map(|(key, kv)| (key.clone(), kv.clone())),
        )
    }

    /// Keys from one on, so many, as they stood at a revision, where its history is still there.
    pub fn range(
        &self,
        from: &str,
        prefix: &str,
        at: u64,
        most: usize,
    ) -> Option<Vec<(String, Kv)>> {
        let inside = |key: &str| key >= from && key.starts_with(prefix);
        if at == 0 || at == self.revision {
            let all = self
                .keys
                .range(from.to_owned()..)
                .filter(|(key, _)| inside(key));
            return Some(
                all.map(|(key, kv)| (key.clone(), kv.clone()))
                    .take(most)
                    .collect(),
            );
        }
        if at < self.compacted || at > self.revision {
            return None;
        }
        // What stands now, with what has come since taken back.
        let mut then: BTreeMap<String, Kv> = self.keys.clone();
        let mut first: BTreeMap<&String, ()> = BTreeMap::new();
        for (_, key, _) in self.history.iter().filter(|(of, ..)| *of > at) {
            first.insert(key, ());
        }
        for key in first.into_keys() {
            let before = self
                .history
                .iter()
                .rev()
                .find(|(of, k, _)| *of <= at && k == key);
            match before {
                Some((_, _, Some(kv))) => drop(then.insert(key.clone(), kv.clone())),
                Some((_, _, None)) => drop(then.remove(key)),
                // Its earlier state has been compacted away or it was not there: only the latter is sure.
                None => {
                    let made = self.history.iter().find(|(of, k, _)| *of > at && k == key);
                    match made {
                        Some((of, _, Some(kv))) if kv.made == *of => drop(then.remove(key)),
                        _ => return None,
                    }
                }
            }
        }
        Some(
            then.into_iter()
                .filter(|(key, _)| inside(key))
                .take(most)
                .collect(),
        )
    }

    pub fn grant(&mut self, seconds: f64) -> u64 {
        self.last_lease += 1;
        let lasts = Duration::from_secs_f64(seconds.max(0.05));
        self.leases
            .insert(self.last_lease, (lasts, Instant::now() + lasts));
        self.last_lease
    }

    pub fn keep(&mut self, lease: u64) -> Option<Duration> {
        let (lasts, until) = self.leases.get_mut(&lease)?;
        *until = Instant::now() + *lasts;
        Some(*lasts)
    }

    pub fn revoke(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let held = self.keys.iter().filter(|(_, kv)| kv.lease == lease);
        let gone: Vec<Operation> = held
            .map(|(key, _)| Operation::Delete { key: key.clone() })
            .collect();
        if !gone.is_empty() {
            let _ = self.txn(&[], &gone);
        }
    }

    /// A lease has run out.
    pub fn due(&self) -> bool {
        let now = Instant::now();
        self.leases.values().any(|(_, until)| *until <= now)
    }

    pub fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        over.into_iter().for_each(|lease| self.revoke(lease));
    }

    /// As after a restart from a backup: an earlier state under an earlier revision, without leases.
    pub fn restore(&mut self, keys: BTreeMap<String, Kv>, revision: u64) {
        (self.keys, self.revision) = (keys, revision);
        (self.history, self.compacted) = (Vec::new(), revision);
        let leases: Vec<u64> = self.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| self.revoke(lease));
    }
}
