//! A copy of all below a prefix that misses no change and tells none twice: pages at one revision, then a watch
//! from there on; resumed after a break, reread after a compaction or where history went back. Whoever follows is
//! told only of differences, and as of when the copy is known to be what the registry holds.

use std::collections::BTreeMap;

use lynxmill_time::{TimeDelta, Timestamp};

use crate::backoff::Backoff;
use crate::transaction::{Answer, Change, KeyValue, Revision, StoreRequest};

/// How the registry tells of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStyle {
    /// A stream of changes, and looks beside it that show it keeps up.
    Stream,
    /// An answer with all there is once something has changed, or after a while.
    Poll,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    Change(Change),
    /// A reread is over: all that stands has been told.
    Whole {
        revision: Revision,
    },
    /// The copy is what the registry held at this moment or later.
    Current {
        as_of: Timestamp,
    },
    /// The watch broke, it is being resumed.
    Broke,
    /// The registry holds an earlier state than it did: restored from a backup, or it has lost its history.
    WentBack {
        from: Revision,
        to: Revision,
    },
}

/// Looks in a row that show the same changes undelivered before the stream counts as stuck.
const STUCK: u32 = 2;
/// Part of the span between looks after which one may follow a change.
const SOON: f64 = 0.2;
/// Answers older than what was seen before they are taken for the registry's present state.
const STALE: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing has been asked, or a pause is over at this moment.
    Pause(Timestamp),
    Reading {
        at: Option<Revision>,
        found: BTreeMap<String, KeyValue>,
    },
    Watching {
        begun: bool,
    },
}

/// A question whether the copy keeps up: when it was sent, and what had been seen then.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FreshnessProbe {
    turn: u64,
    sent: Timestamp,
    since: Revision,
}

/// What a look sent then has found: once the stream has told it the copy holds all that the registry did.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FreshnessResult {
    sent: Timestamp,
    newest: Revision,
    count: u64,
}

/// Whether the registry's count of keys is what it seems.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyCountCheck {
    Trusted,
    Doubted,
    Ignored,
}

#[derive(Clone, Debug)]
pub struct WatchFollower {
    style: WatchStyle,
    prefix: String,
    every: TimeDelta,
    phase: Phase,
    held: BTreeMap<String, KeyValue>,
    /// All changes up to here have been told; None before the first whole reading.
    seen: Option<Revision>,
    /// The next turn reads all, whatever has been seen.
    reread: bool,
    turn: u64,
    asked: Timestamp,
    /// The look under way; what one has found that has yet to come; and how often in a row it had not.
    look: Option<FreshnessProbe>,
    coming: Option<FreshnessResult>,
    look_at: Timestamp,
    /// When the last look was sent.
    looked: Timestamp,
    behind: u32,
    stale: u32,
    counts: KeyCountCheck,
    backoff: Backoff,
    look_turn: u64,
}

impl WatchFollower {
    /// Follows all below `prefix`; `every` is the span between looks.
    pub fn new(style: WatchStyle, prefix: &str, every: TimeDelta, backoff: Backoff) -> Self {
        WatchFollower {
            style,
            prefix: prefix.to_owned(),
            every,
            phase: Phase::Pause(Timestamp::default()),
            held: BTreeMap::new(),
            seen: None,
            reread: false,
            turn: 0,
            asked: Timestamp::default(),
            look: None,
            coming: None,
            look_at: Timestamp::default(),
            looked: Timestamp::default(),
            behind: 0,
            stale: 0,
            counts: KeyCountCheck::Trusted,
            backoff,
            look_turn: 1 << 32,
        }
    }

    pub fn held(&self) -> &BTreeMap<String, KeyValue> {
        &self.held
    }

    pub fn seen(&self) -> Option<Revision> {
        self.seen
    }

    /// The watch stands, as far as is known.
    pub fn watching(&self) -> bool {
        matches!(self.phase, Phase::Watching { .. })
    }

    fn next_turn(&mut self, now: Timestamp) -> u64 {
        self.turn += 1;
        (self.asked, self.look, self.coming) = (now, None, None);
        self.turn
    }

    /// Everything is read anew before the copy counts as current again.
    pub fn read_again(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        if matches!(self.phase, Phase::Reading { .. }) {
            return;
        }
        self.reread = true;
        if self.watching() {
            self.leave(asks);
            self.begin(now, asks);
        }
    }

    fn leave(&mut self, asks: &mut Vec<StoreRequest>) {
        if self.style == WatchStyle::Stream && self.watching() {
            asks.push(StoreRequest::Leave { turn: self.turn });
        }
    }

    /// Begins, and goes on after a pause.
    pub fn wake(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        match &self.phase {
            Phase::Pause(until) if *until <= now => self.begin(now, asks),
            Phase::Pause(until) => asks.push(StoreRequest::WakeAt(*until)),
            Phase::Watching { begun: true } if self.style == WatchStyle::Stream => {
                self.look(now, asks)
            }
            _ => {}
        }
    }

    fn begin(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        let turn = self.next_turn(now);
        match self.seen.filter(|_| !self.reread) {
            Some(seen) => self.watch(turn, seen, asks),
            None => {
                self.phase = Phase::Reading {
                    at: None,
                    found: BTreeMap::new(),
                };
                asks.push(match self.style {
                    WatchStyle::Stream => StoreRequest::Page {
                        turn,
                        after: None,
                        at: None,
                    },
                    WatchStyle::Poll => StoreRequest::Watch {
                        turn,
                        from: Revision(0),
                    },
                });
            }
        }
    }

    fn watch(&mut self, turn: u64, seen: Revision, asks: &mut Vec<StoreRequest>) {
        self.phase = Phase::Watching {
            begun: self.style == WatchStyle::Poll,
        };
        let from = if self.style == WatchStyle::Stream {
            Revision(seen.0 + 1)
        } else {
            seen
        };
        asks.push(StoreRequest::Watch { turn, from });
    }

    /// Asks how many keys are newer than the copy, which shows a stream that is silent but does not end.
    fn look(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        if let (None, true, Some(seen)) = (&self.look, now >= self.look_at, self.seen) {
            self.look_turn += 1;
            self.look = Some(FreshnessProbe {
                turn: self.look_turn,
                sent: now,
                since: seen,
            });
            self.looked = now;
            asks.push(StoreRequest::Look {
                turn: self.look_turn,
                since: seen,
            });
        }
        if self.look.is_none() {
            asks.push(StoreRequest::WakeAt(self.look_at));
        }
    }

    fn pause(&mut self, now: Timestamp, told: &mut Vec<WatchEvent>, asks: &mut Vec<StoreRequest>) {
        if self.watching() {
            told.push(WatchEvent::Broke);
            self.leave(asks);
        }
        // What was found in part is of no use: the next reading begins anew at one revision.
        let until = now + self.backoff.failed();
        self.phase = Phase::Pause(until);
        (self.look, self.coming) = (None, None);
        // No answer of this turn counts any more.
        self.turn += 1;
        asks.push(StoreRequest::WakeAt(until));
    }

    fn inside(&self, key: &str) -> bool {
        key.starts_with(&self.prefix)
    }

    /// Takes an answer. Those of earlier turns, and of what is asked elsewhere, are passed over.
    pub fn take(
        &mut self,
        now: Timestamp,
        answer: Answer,
        told: &mut Vec<WatchEvent>,
        asks: &mut Vec<StoreRequest>,
    ) {
        match answer {
            Answer::Page {
                turn,
                revision,
                pairs,
                more,
            } if turn == self.turn => {
                self.page(now, revision, pairs, more, told, asks);
            }
            Answer::Begun { turn } if turn == self.turn => {
                if let Phase::Watching { begun } = &mut self.phase {
                    *begun = true;
                    self.backoff.worked();
                    self.look_at = now;
                    self.look(now, asks);
                }
            }
            Answer::Changes {
                turn,
                revision,
                changes,
            } if turn == self.turn => {
                self.changes(now, revision, changes, told, asks);
            }
            Answer::Whole {
                turn,
                revision,
                pairs,
            } if turn == self.turn => {
                self.whole(now, revision, pairs, told, asks);
            }
            Answer::Compacted { turn, .. } if turn == self.turn => {
                // What lies between is no longer told: only a reread shows it.
                if self.watching() {
                    told.push(WatchEvent::Broke);
                }
                self.reread = true;
                self.begin(now, asks);
            }
            Answer::Looked {
                turn,
                revision,
                newest,
                count,
            } => {
                self.looked(now, turn, revision, (newest, count), told, asks);
            }
            Answer::Failed { turn } if turn == self.turn => self.pause(now, told, asks),
            Answer::Failed { turn } if self.look.as_ref().is_some_and(|look| look.turn == turn) => {
                self.look = None;
                self.look_at = now + self.every;
                asks.push(StoreRequest::WakeAt(self.look_at));
            }
            _ => {}
        }
    }

    fn page(
        &mut self,
        now: Timestamp,
        revision: Revision,
        pairs: Vec<KeyValue>,
        more: bool,
        told: &mut Vec<WatchEvent>,
        asks: &mut Vec<StoreRequest>,
    ) {
        let Phase::Reading { at, found } = &mut self.phase else {
            return;
        };
        // Guards against a follower of the registry that lags: no page may be older than what was seen.
        if at.is_none() && self.seen.is_some_and(|seen| revision < seen) {
            self.stale += 1;
            if self.stale < STALE {
                return self.pause(now, told, asks);
            }
        }
        // The first page tells the revision that all others are read at.
        let at = *at.get_or_insert(revision);
        let last = pairs.last().map(|pair| pair.key.clone());
        let prefix = &self.prefix;
        found.extend(
            pairs
                .into_iter()
                .filter(|p| p.key.starts_with(prefix))
                .map(|p| (p.key.clone(), p)),
        );
        match last {
            Some(after) if more => {
                let turn = self.turn;
                asks.push(StoreRequest::Page {
                    turn,
                    after: Some(after),
                    at: Some(at),
                });
            }
            _ => {
                let found = std::mem::take(found);
                self.stands(at, found, told);
                let turn = self.next_turn(now);
                self.watch(turn, at, asks);
            }
        }
    }

    /// All there is at a revision: tells what differs from the copy.
    fn stands(
        &mut self,
        at: Revision,
        found: BTreeMap<String, KeyValue>,
        told: &mut Vec<WatchEvent>,
    ) {
        if let Some(seen) = self.seen.filter(|seen| at < *seen) {
            told.push(WatchEvent::WentBack { from: seen, to: at });
        }
        self.stale = 0;
        for key in self.held.keys().filter(|key| !found.contains_key(*key)) {
            told.push(WatchEvent::Change(Change::Gone {
                key: key.clone(),
                at,
            }));
        }
        let mut newer: Vec<&KeyValue> = found
            .values()
            .filter(|pair| self.held.get(&pair.key) != Some(*pair))
            .collect();
        // In the order in which they came about.
        newer.sort_by_key(|pair| pair.changed);
        told.extend(
            newer
                .into_iter()
                .map(|pair| WatchEvent::Change(Change::Put(pair.clone()))),
        );
        (self.held, self.seen, self.reread) = (found, Some(at), false);
        self.backoff.worked();
        told.push(WatchEvent::Whole { revision: at });
    }

    fn changes(
        &mut self,
        now: Timestamp,
        revision: Revision,
        changes: Vec<Change>,
        told: &mut Vec<WatchEvent>,
        asks: &mut Vec<StoreRequest>,
    ) {
        let Some(seen) = self.seen.filter(|_| self.watching()) else {
            return;
        };
        // Guards against a stream that skips back within itself: resumed from what is sure.
        if !changes.is_sorted_by_key(Change::at) {
            return self.pause(now, told, asks);
        }
        let mut newest = seen.max(revision);
        for change in changes {
            // Told before: streams that overlap repeat.
            if change.at() <= seen {
                continue;
            }
            newest = newest.max(change.at());
            if !self.inside(change.key()) {
                continue;
            }
            match &change {
                Change::Put(pair) => drop(self.held.insert(pair.key.clone(), pair.clone())),
                // A key that came and went while nobody looked.
                Change::Gone { key, .. } => {
                    if self.held.remove(key).is_none() {
                        continue;
                    }
                }
            }
            told.push(WatchEvent::Change(change));
        }
        self.seen = Some(newest);
        // Looked at soon, as answers to marks wait for it, but not at each change: a look costs the registry a scan.
        self.look_at = self
            .look_at
            .min(now.max(self.looked + self.every.times(SOON)));
        if let Some(found) = self.coming.take_if(|found| newest >= found.newest) {
            self.behind = 0;
            if self.counted(found.count) {
                told.push(WatchEvent::Current { as_of: found.sent });
            }
        }
        self.backoff.worked();
        self.look(now, asks);
    }

    /// Keys that have gone show in how many there are.
    fn counted(&self, count: u64) -> bool {
        self.counts == KeyCountCheck::Ignored || count == self.held.len() as u64
    }

    fn whole(
        &mut self,
        now: Timestamp,
        revision: Revision,
        pairs: Vec<KeyValue>,
        told: &mut Vec<WatchEvent>,
        asks: &mut Vec<StoreRequest>,
    ) {
        let asked = self.asked;
        let first = !self.watching();
        let back = self.seen.is_some_and(|seen| revision < seen);
        if back && self.stale + 1 < STALE {
            self.stale += 1;
            return self.pause(now, told, asks);
        }
        if first || back || self.seen != Some(revision) {
            let inside = pairs.into_iter().filter(|pair| self.inside(&pair.key));
            let found = inside.map(|pair| (pair.key.clone(), pair)).collect();
            let before = told.len();
            self.stands(revision, found, told);
            // A poll always tells all; only a reading that was asked for counts as one.
            if !first && !back {
                told.truncate(told.len().max(before + 1) - 1);
            }
        }
        told.push(WatchEvent::Current { as_of: asked });
        self.backoff.worked();
        let turn = self.next_turn(now);
        self.watch(turn, revision, asks);
    }

    fn looked(
        &mut self,
        now: Timestamp,
        turn: u64,
        revision: Revision,
        (newest, count): (Option<Revision>, u64),
        told: &mut Vec<WatchEvent>,
        asks: &mut Vec<StoreRequest>,
    ) {
        let Some(look) = self.look.take_if(|look| look.turn == turn) else {
            return;
        };
        self.look_at = now + self.every;
        let Some(seen) = self.seen.filter(|_| self.watching()) else {
            return;
        };
        if revision < look.since {
            // The registry tells of less than was seen: a reread shows whether it went back.
            self.reread = true;
            return self.pause(now, told, asks);
        }
        let holds_all = newest.is_none_or(|newest| newest <= seen);
        if holds_all && self.counted(count) {
            if self.counts == KeyCountCheck::Doubted {
                self.counts = KeyCountCheck::Trusted;
            }
            self.behind = 0;
            self.backoff.worked();
            told.push(WatchEvent::Current { as_of: look.sent });
        } else if !holds_all || seen <= revision {
            // On its way, if the stream is; one that has fallen silent does not bring it by the next look.
            self.behind += 1;
            if self.behind >= STUCK {
                self.behind = 0;
                if holds_all {
                    // A reread shows who is right; where the count is odd even then it means something else.
                    self.reread = true;
                    let doubted = self.counts == KeyCountCheck::Doubted;
                    self.counts = if doubted {
                        KeyCountCheck::Ignored
                    } else {
                        KeyCountCheck::Doubted
                    };
                }
                return self.pause(now, told, asks);
            }
            if let Some(newest) = newest {
                self.coming.get_or_insert(FreshnessResult {
                    sent: look.sent,
                    newest,
                    count,
                });
            }
        }
        asks.push(StoreRequest::WakeAt(self.look_at));
    }
}
