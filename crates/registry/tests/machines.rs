//! The machines one by one, against a registry of a few lines that a seed lets go wrong.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_random::Pcg;
use lynxmill_registry::layout::{Layout, Line, Mark, spell};
use lynxmill_registry::{
    Answer, Backoff, Came, Change, KeyValue, Lease, LiveMembers, Precondition, PutOperation,
    Revision, ShardOwnership, StoreRequest, Tables, Transaction, WatchEvent, WatchFollower,
    WatchStyle, Writes, best,
};
use lynxmill_time::{TimeDelta, Timestamp};
use rstest::rstest;

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

fn secs(seconds: f64) -> TimeDelta {
    TimeDelta::from_secs(seconds)
}

fn backoff(seed: u64) -> Backoff {
    Backoff::new(secs(0.05), secs(1.0), seed)
}

/// Keys under one revision, with their history.
#[derive(Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, KeyValue>,
    history: Vec<Change>,
    compacted: u64,
}

impl Store {
    fn put(&mut self, key: &str, value: &[u8], lease: Option<Lease>) {
        self.revision += 1;
        let changed = Revision(self.revision);
        let made = self.keys.get(key).map_or(changed, |pair| pair.made);
        let pair = KeyValue {
            key: key.to_owned(),
            value: value.to_vec(),
            made,
            changed,
            lease,
        };
        self.keys.insert(key.to_owned(), pair.clone());
        self.history.push(Change::Put(pair));
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change::Gone {
                key: key.to_owned(),
                at: Revision(self.revision),
            });
        }
    }

    fn at(&self, revision: u64) -> BTreeMap<String, KeyValue> {
        let mut keys = BTreeMap::new();
        for change in self
            .history
            .iter()
            .filter(|change| change.at().0 <= revision)
        {
            match change {
                Change::Put(pair) => drop(keys.insert(pair.key.clone(), pair.clone())),
                Change::Gone { key, .. } => drop(keys.remove(key)),
            }
        }
        keys
    }

    fn holds(&self, guards: &[(String, Precondition)]) -> bool {
        guards
            .iter()
            .all(|(key, expect)| match (self.keys.get(key), expect) {
                (None, Precondition::Absent) => true,
                (Some(pair), Precondition::At(at)) => pair.changed == *at,
                (Some(pair), Precondition::Of(lease)) => pair.lease.as_ref() == Some(lease),
                _ => false,
            })
    }

    fn carry_out(&mut self, txn: &Transaction) -> bool {
        let holds = self.holds(&txn.guards);
        if holds {
            for put in &txn.puts {
                match &put.value {
                    Some(value) => self.put(&put.key, value, put.lease.clone()),
                    None => self.delete(&put.key),
                }
            }
        }
        holds
    }
}

/// A follower, what it was told, and what it asked that has no answer yet.
struct Walk {
    store: Store,
    follow: WatchFollower,
    style: WatchStyle,
    now: f64,
    pending: Vec<StoreRequest>,
    /// The stream: its turn and the next revision to be told.
    stream: Option<(u64, u64)>,
    mute: bool,
    /// Its looks tell another count than that of all keys.
    miscounts: bool,
    chance: Pcg,
    copy: BTreeMap<String, KeyValue>,
    told: BTreeSet<(String, Revision)>,
    newest: Revision,
    rereads: usize,
    current: usize,
    went_back: usize,
}

impl Walk {
    fn new(style: WatchStyle, seed: u64) -> Self {
        let mut store = Store::default();
        (0..7).for_each(|k| store.put(&format!("p/{k}"), b"0", None));
        Walk {
            store,
            follow: WatchFollower::new(style, "p/", secs(0.3), backoff(seed)),
            style,
            now: 0.0,
            pending: Vec::new(),
            stream: None,
            mute: false,
            miscounts: false,
            chance: Pcg::new(seed),
            copy: BTreeMap::new(),
            told: BTreeSet::new(),
            newest: Revision(0),
            rereads: 0,
            current: 0,
            went_back: 0,
        }
    }

    fn below(&mut self, most: usize) -> usize {
        (self.chance.unit() * most as f64) as usize
    }

    fn hear(&mut self, told: Vec<WatchEvent>) {
        let mut whole = told
            .iter()
            .any(|told| matches!(told, WatchEvent::Whole { .. }));
        for told in told {
            match told {
                WatchEvent::Change(change) => {
                    let new = self.told.insert((change.key().to_owned(), change.at()));
                    // A reread tells of keys that have gone at its own revision.
                    assert!(
                        new || matches!(change, Change::Gone { .. }),
                        "told twice: {change:?}"
                    );
                    assert!(
                        whole || self.style == WatchStyle::Poll || change.at() > self.newest,
                        "out of order: {change:?}"
                    );
                    if !whole {
                        self.newest = self.newest.max(change.at());
                    }
                    match change {
                        Change::Put(pair) => drop(self.copy.insert(pair.key.clone(), pair)),
                        Change::Gone { key, .. } => {
                            assert!(
                                self.copy.remove(&key).is_some(),
                                "went without having been: {key}"
                            );
                        }
                    }
                }
                WatchEvent::Whole { revision } => {
                    (whole, self.newest, self.rereads) = (false, revision, self.rereads + 1);
                    assert_eq!(
                        self.copy,
                        self.store.at(revision.0),
                        "a whole reading is of one revision"
                    );
                }
                WatchEvent::Current { as_of } => {
                    assert!(as_of <= at(self.now));
                    self.current += 1;
                }
                WatchEvent::WentBack { .. } => self.went_back += 1,
                WatchEvent::Broke => {}
            }
        }
        assert_eq!(
            &self.copy,
            self.follow.held(),
            "what is told is what is held"
        );
    }

    fn take(&mut self, answer: Answer) {
        let mut told = Vec::new();
        let now = at(self.now);
        self.follow.take(now, answer, &mut told, &mut self.pending);
        self.hear(told);
    }

    fn wake(&mut self) {
        let now = at(self.now);
        self.follow.wake(now, &mut self.pending);
        self.pending
            .retain(|ask| !matches!(ask, StoreRequest::WakeAt(_)));
    }

    /// Answers what is asked as a sound registry does.
    fn serve(&mut self, ask: StoreRequest) {
        let revision = Revision(self.store.revision);
        match ask {
            StoreRequest::Page { turn, after, at } => {
                let at = at.unwrap_or(revision);
                if at.0 < self.store.compacted {
                    return self.take(Answer::Compacted {
                        turn,
                        oldest: Revision(self.store.compacted),
                    });
                }
                let behind = |key: &String| after.as_ref().is_none_or(|after| key > after);
                let all = self.store.at(at.0);
                let mut left: Vec<KeyValue> =
                    all.into_values().filter(|pair| behind(&pair.key)).collect();
                let more = left.len() > 3;
                left.truncate(3);
                self.take(Answer::Page {
                    turn,
                    revision: at,
                    pairs: left,
                    more,
                });
            }
            StoreRequest::Watch { turn, from } if self.style == WatchStyle::Stream => {
                if from.0 <= self.store.compacted {
                    let oldest = Revision(self.store.compacted + 1);
                    return self.take(Answer::Compacted { turn, oldest });
                }
                (self.stream, self.mute) = (Some((turn, from.0)), false);
                self.take(Answer::Begun { turn });
            }
            StoreRequest::Watch { turn, .. } => {
                let pairs = self.store.keys.values().cloned().collect();
                self.take(Answer::Whole {
                    turn,
                    revision,
                    pairs,
                });
            }
            StoreRequest::Look { .. } => {
                let answer = self.looked(&ask);
                answer.into_iter().for_each(|answer| self.take(answer));
            }
            StoreRequest::Leave { turn } => self.stream = self.stream.filter(|(of, _)| *of != turn),
            _ => {}
        }
    }

    /// What a look finds now.
    fn looked(&self, ask: &StoreRequest) -> Option<Answer> {
        let StoreRequest::Look { turn, since } = ask else {
            return None;
        };
        let newer = self.store.keys.values().map(|pair| pair.changed);
        let newest = newer.filter(|changed| changed > since).max();
        let count = if self.miscounts {
            0
        } else {
            self.store.keys.len() as u64
        };
        Some(Answer::Looked {
            turn: *turn,
            revision: Revision(self.store.revision),
            newest,
            count,
        })
    }

    /// The turn of the stream that it listens to.
    fn follow_turn(&self) -> Option<u64> {
        self.stream.map(|(turn, _)| turn)
    }

    fn stream(&mut self) {
        let Some((turn, next)) = self.stream.filter(|_| !self.mute) else {
            return;
        };
        let due: Vec<Change> = self
            .store
            .history
            .iter()
            .filter(|c| c.at().0 >= next)
            .cloned()
            .collect();
        // Sometimes what was told before comes again.
        let again = self.below(4) == 0;
        let repeat = self
            .store
            .history
            .iter()
            .filter(|c| again && c.at().0 < next)
            .cloned();
        let changes: Vec<Change> = repeat.chain(due).collect();
        let revision = Revision(self.store.revision);
        self.stream = Some((turn, self.store.revision + 1));
        if !changes.is_empty() {
            self.take(Answer::Changes {
                turn,
                revision,
                changes,
            });
        }
    }

    fn turn_of(ask: &StoreRequest) -> Option<u64> {
        match ask {
            StoreRequest::Page { turn, .. }
            | StoreRequest::Watch { turn, .. }
            | StoreRequest::Look { turn, .. } => Some(*turn),
            _ => None,
        }
    }

    fn step(&mut self) {
        self.now += 0.02 * self.chance.unit();
        match self.below(14) {
            0..=3 => {
                let (key, value) = (format!("p/{}", self.below(9)), self.below(100).to_string());
                if self.below(4) == 0 {
                    self.store.delete(&key)
                } else {
                    self.store.put(&key, value.as_bytes(), None)
                }
            }
            4..=6 if !self.pending.is_empty() => {
                let which = self.below(self.pending.len());
                let ask = self.pending.remove(which);
                self.serve(ask);
            }
            7 if !self.pending.is_empty() => {
                let which = self.below(self.pending.len());
                let ask = self.pending.remove(which);
                if let Some(turn) = Self::turn_of(&ask) {
                    self.take(Answer::Failed { turn });
                }
            }
            8 => {
                if let Some((turn, _)) = self.stream.take() {
                    self.take(Answer::Failed { turn });
                }
            }
            9 if self.below(3) == 0 => self.store.compacted = self.store.revision,
            10 if self.below(5) == 0 => self.mute = true,
            // A late answer to a turn that is over.
            11 => self.take(Answer::Changes {
                turn: 0,
                revision: Revision(9999),
                changes: Vec::new(),
            }),
            _ => self.stream(),
        }
        self.wake();
    }

    fn settle(&mut self) {
        for _ in 0..400 {
            self.now += 0.1;
            self.wake();
            while let Some(ask) = self.pending.pop() {
                self.serve(ask);
                if self.style == WatchStyle::Poll {
                    break;
                }
            }
            self.stream();
        }
    }
}

#[rstest]
#[case::stream(WatchStyle::Stream)]
#[case::poll(WatchStyle::Poll)]
fn whatever_goes_wrong_every_change_is_told_once_or_covered_by_a_reread(#[case] style: WatchStyle) {
    let mut rereads = 0;
    for seed in 0..400 {
        let mut walk = Walk::new(style, seed);
        walk.wake();
        (0..400).for_each(|_| walk.step());
        walk.settle();
        assert_eq!(walk.copy, walk.store.keys, "seed {seed}");
        assert_eq!(walk.went_back, 0, "seed {seed}");
        rereads += walk.rereads;
    }
    assert!(rereads >= 400, "{rereads}");
}

#[rstest]
#[case::stream(WatchStyle::Stream)]
#[case::poll(WatchStyle::Poll)]
fn a_registry_restored_from_a_backup_is_seen_to_have_gone_back(#[case] style: WatchStyle) {
    let mut walk = Walk::new(style, 1);
    walk.wake();
    walk.settle();
    (0..50).for_each(|k| walk.store.put("p/1", &[k], None));
    walk.settle();
    assert_eq!(walk.copy, walk.store.keys);
    let old = walk.store.at(9);
    walk.store = Store {
        revision: 9,
        history: old.values().cloned().map(Change::Put).collect(),
        keys: old,
        compacted: 9,
    };
    walk.stream = None;
    walk.told.clear();
    walk.settle();
    assert_eq!((walk.went_back, &walk.copy), (1, &walk.store.keys));
}

#[test]
fn a_stream_that_is_silent_but_does_not_end_is_left_and_resumed() {
    let mut walk = Walk::new(WatchStyle::Stream, 3);
    walk.wake();
    walk.settle();
    walk.mute = true;
    walk.store.put("p/1", b"new", None);
    let rereads = walk.rereads;
    walk.settle();
    assert_eq!(
        (walk.copy.get("p/1"), walk.rereads),
        (walk.store.keys.get("p/1"), rereads),
        "resumed, not reread"
    );
}

#[test]
fn a_registry_that_never_rests_is_followed_as_current_all_the_same() {
    let mut walk = Walk::new(WatchStyle::Stream, 5);
    walk.wake();
    walk.settle();
    let (mut now, mut current, turns) = (walk.now, 0, walk.follow_turn());
    for k in 0..400_u32 {
        // Each look finds a change that the stream has not told yet, and its answer comes after the next.
        now += 0.02;
        walk.now = now;
        walk.store.put("p/1", &k.to_le_bytes(), None);
        walk.wake();
        let asks = std::mem::take(&mut walk.pending);
        let late: Vec<Answer> = asks.iter().filter_map(|ask| walk.looked(ask)).collect();
        walk.stream();
        walk.store.put("p/2", &k.to_le_bytes(), None);
        walk.stream();
        for answer in late {
            walk.take(answer);
        }
        current += std::mem::take(&mut walk.current);
    }
    assert!(current > 10, "{current}");
    assert_eq!(walk.follow_turn(), turns, "neither resumed nor reread");
}

#[test]
fn a_key_that_went_while_the_stream_was_silent_is_missed_by_the_count() {
    let mut walk = Walk::new(WatchStyle::Stream, 3);
    walk.wake();
    walk.settle();
    walk.mute = true;
    walk.store.delete("p/1");
    walk.settle();
    assert_eq!(walk.copy, walk.store.keys);
}

#[test]
fn a_count_that_means_something_else_is_ignored_after_a_reread() {
    let mut walk = Walk::new(WatchStyle::Stream, 3);
    walk.miscounts = true;
    walk.wake();
    walk.settle();
    let rereads = walk.rereads;
    walk.settle();
    assert_eq!(
        (walk.rereads, &walk.copy),
        (rereads, &walk.store.keys),
        "no end of rereads"
    );
}

// --- writes ---

/// A transaction that counts a key up from the revision it had, under a stamp of its own.
fn counts(store: &Store, stamp: u64) -> Transaction {
    let key = "p/line".to_owned();
    let expect = store
        .keys
        .get(&key)
        .map_or(Precondition::Absent, |pair| Precondition::At(pair.changed));
    let put = PutOperation {
        key: key.clone(),
        value: Some(format!("stamp-{stamp}").into_bytes()),
        lease: None,
    };
    Transaction {
        guards: vec![(key, expect)],
        puts: vec![put],
    }
}

#[test]
fn a_write_of_unknown_fate_is_done_once_or_refused_for_good() {
    let (mut lost, mut refused, mut passed) = (0, 0, 0);
    for seed in 0..600 {
        let mut chance = Pcg::new(seed);
        let mut below = |most: usize| (chance.unit() * most as f64) as usize;
        let (mut store, mut now) = (Store::default(), 0.0);
        let mut writes = Writes::new(4, secs(0.01), backoff(seed));
        let (mut asks, mut came) = (Vec::new(), Vec::new());
        // Requests that are still on their way though their answer was given up.
        let mut late: Vec<Transaction> = Vec::new();
        let mut ended: BTreeMap<u64, Came> = BTreeMap::new();
        let mut stamps: BTreeMap<u64, String> = BTreeMap::new();
        for round in 0..60 {
            now += 0.02;
            if below(3) == 0
                && let Ok(id) = writes.push(at(now), counts(&store, round), 0, &mut asks)
            {
                stamps.insert(id, format!("stamp-{round}"));
            }
            // Somebody else writes too, there and elsewhere.
            store.put("p/elsewhere", &round.to_le_bytes(), None);
            if below(9) == 0 {
                store.put("p/line", format!("other-{round}").as_bytes(), None);
            }
            if !late.is_empty() && below(2) == 0 {
                store.carry_out(&late.remove(0));
            }
            writes.wake(at(now), &mut asks);
            for ask in std::mem::take(&mut asks) {
                let answer = match ask {
                    StoreRequest::Txn { id, txn } => match below(6) {
                        0 => {
                            late.push(txn);
                            Answer::Unknown { id }
                        }
                        1 => {
                            store.carry_out(&txn);
                            Answer::Unknown { id }
                        }
                        2 => Answer::Later { id, millis: 30 },
                        _ if store.carry_out(&txn) => Answer::Done {
                            id,
                            revision: Revision(store.revision),
                        },
                        _ => Answer::Refused { id },
                    },
                    StoreRequest::Get { id, .. } if below(4) == 0 => Answer::Unknown { id },
                    StoreRequest::Get { id, key } => Answer::Got {
                        id,
                        revision: Revision(store.revision),
                        pair: store.keys.get(&key).cloned(),
                    },
                    _ => continue,
                };
                writes.take(at(now), &answer, &mut came, &mut asks);
            }
            for (id, came) in came.drain(..) {
                assert!(
                    ended.insert(id, came).is_none(),
                    "seed {seed}: {id} ended twice"
                );
            }
        }
        // What is still on its way comes at last, after all has been told.
        for txn in late {
            store.carry_out(&txn);
        }
        lost += writes.lost;
        for (id, came) in ended {
            let stamp = stamps[&id].as_bytes();
            let stood =
                |change: &&Change| matches!(change, Change::Put(pair) if pair.value == stamp);
            let stood: Vec<Revision> = store.history.iter().filter(stood).map(Change::at).collect();
            let times = stood.len();
            match came {
                Came::Done(at) => assert_eq!(stood, [at], "seed {seed}: {id} is told to be done"),
                Came::Refused => assert_eq!(times, 0, "seed {seed}: {id} is told to be refused"),
                Came::Passed => assert!(times <= 1, "seed {seed}: {id} was carried out twice"),
            }
            refused += usize::from(came == Came::Refused);
            passed += usize::from(came == Came::Passed);
        }
    }
    assert!(
        lost > 1000 && refused > 200 && passed > 20,
        "{lost} lost, {refused} refused, {passed} passed"
    );
}

#[test]
fn a_full_queue_says_when_to_return() {
    let mut writes = Writes::new(2, secs(0.5), backoff(1));
    let mut asks = Vec::new();
    for stamp in 0..2 {
        assert!(
            writes
                .push(at(0.0), counts(&Store::default(), stamp), 0, &mut asks)
                .is_ok()
        );
    }
    let full = writes
        .push(at(0.0), counts(&Store::default(), 9), 0, &mut asks)
        .expect_err("full");
    assert_eq!(full.return_after, secs(1.0));
    assert_eq!(asks.len(), 1, "one at a time");
}

#[test]
fn a_registry_that_asks_for_a_pause_is_left_alone_for_it() {
    let mut writes = Writes::new(2, secs(0.5), backoff(1));
    let (mut asks, mut came) = (Vec::new(), Vec::new());
    assert!(
        writes
            .push(at(0.0), counts(&Store::default(), 1), 0, &mut asks)
            .is_ok()
    );
    let Some(StoreRequest::Txn { id, .. }) = asks.pop() else {
        panic!("{asks:?}")
    };
    writes.take(
        at(0.0),
        &Answer::Later { id, millis: 3000 },
        &mut came,
        &mut asks,
    );
    assert_eq!(asks, [StoreRequest::WakeAt(at(3.0))]);
    asks.clear();
    writes.wake(at(2.9), &mut asks);
    assert_eq!(asks, [StoreRequest::WakeAt(at(3.0))]);
    writes.wake(at(3.0), &mut asks);
    assert!(matches!(asks.last(), Some(StoreRequest::Txn { .. })));
}

// --- custody ---

fn granted(custody: &mut ShardOwnership, now: f64) -> Vec<StoreRequest> {
    let mut asks = Vec::new();
    custody.wake(at(now), &mut asks);
    let Some(StoreRequest::Grant { turn, seconds: 6 }) = asks.pop() else {
        panic!("{asks:?}")
    };
    custody.take(
        at(now + 0.5),
        &Answer::Granted {
            turn,
            lease: Lease("7".into()),
        },
        &mut asks,
    );
    asks
}

fn custody() -> ShardOwnership {
    ShardOwnership::new("n0", 6, secs(2.0), backoff(1))
}

#[test]
fn a_lease_counts_from_when_it_was_asked_for_and_ends_here_first() {
    let mut custody = custody();
    assert_eq!(custody.live(at(0.0)), LiveMembers::No);
    granted(&mut custody, 10.0);
    assert_eq!(custody.live(at(14.7)), LiveMembers::Yes(Lease("7".into())));
    assert_eq!(
        custody.live(at(14.8)),
        LiveMembers::No,
        "4.8 of 6 s after it was asked for"
    );
    let mut asks = Vec::new();
    custody.wake(at(14.8), &mut asks);
    assert!(
        asks.contains(&StoreRequest::Revoke {
            lease: Lease("7".into())
        }),
        "{asks:?}"
    );
}

#[test]
fn a_lease_is_kept_and_a_keep_that_fails_is_tried_again() {
    let mut custody = custody();
    granted(&mut custody, 10.0);
    let mut asks = Vec::new();
    custody.wake(at(12.0), &mut asks);
    let keep = asks.iter().find_map(|ask| {
        if let StoreRequest::Keep { turn, .. } = ask {
            Some(*turn)
        } else {
            None
        }
    });
    custody.take(
        at(12.1),
        &Answer::Failed {
            turn: keep.expect("a keep"),
        },
        &mut asks,
    );
    asks.clear();
    custody.wake(at(12.3), &mut asks);
    let keep = asks.iter().find_map(|ask| {
        if let StoreRequest::Keep { turn, .. } = ask {
            Some(*turn)
        } else {
            None
        }
    });
    custody.take(
        at(12.4),
        &Answer::Kept {
            turn: keep.expect("again"),
        },
        &mut asks,
    );
    assert_eq!(custody.live(at(17.0)), LiveMembers::Yes(Lease("7".into())));
    custody.take(
        at(12.5),
        &Answer::Expired {
            turn: keep.expect("again"),
        },
        &mut asks,
    );
    assert_eq!(custody.live(at(12.5)), LiveMembers::No);
}

#[test]
fn a_keep_that_is_answered_too_late_does_not_bring_a_lease_back() {
    let mut custody = custody();
    granted(&mut custody, 10.0);
    let mut asks = Vec::new();
    custody.wake(at(12.0), &mut asks);
    let keep = asks.iter().find_map(|ask| {
        if let StoreRequest::Keep { turn, .. } = ask {
            Some(*turn)
        } else {
            None
        }
    });
    assert_eq!(custody.live(at(14.9)), LiveMembers::No);
    asks.clear();
    custody.take(
        at(14.9),
        &Answer::Kept {
            turn: keep.expect("a keep"),
        },
        &mut asks,
    );
    assert_eq!(custody.live(at(14.9)), LiveMembers::No);
    assert!(
        asks.contains(&StoreRequest::Revoke {
            lease: Lease("7".into())
        }),
        "{asks:?}"
    );
}

#[test]
fn slices_are_left_to_those_that_live_and_taken_when_they_are_not_claimed() {
    let living: BTreeSet<String> = ["n0", "n1", "n2"].map(str::to_owned).into();
    let mut custody = custody();
    (0..90).for_each(|slice| custody.seen(at(1.0), slice, false));
    let own = custody.claims(at(1.0), &living, 90);
    assert!((15..50).contains(&own.len()), "{}", own.len());
    assert_eq!(
        custody.claims(at(1.0), &living, 90),
        [0_usize; 0],
        "claimed once"
    );
    let rest = custody.claims(at(3.0), &living, 90);
    assert_eq!(own.len() + rest.len(), 90);
    // Only the slices of one that is gone have another best.
    let fewer: BTreeSet<String> = ["n0", "n1"].map(str::to_owned).into();
    for slice in 0..90 {
        let (before, after) = (best(slice, living.iter()), best(slice, fewer.iter()));
        assert!(before == after || before.is_some_and(|name| name == "n2"));
    }
}

// --- the forwarder's tables ---

const LEASE: f64 = 4.0;

fn layout() -> Layout {
    Layout::new("p")
}

fn line(server: Option<&str>, generation: u64) -> WatchEvent {
    let value = spell(&Line {
        server: server.map(str::to_owned),
        generation,
        stamp: "x".into(),
    });
    let pair = KeyValue {
        key: "p/slices/00003/line".into(),
        value,
        made: Revision(1),
        changed: Revision(generation),
        lease: None,
    };
    WatchEvent::Change(Change::Put(pair))
}

fn tables(told: &[(f64, WatchEvent)]) -> Tables {
    let mut tables = Tables::new(layout(), secs(LEASE));
    for (now, told) in told {
        tables.take(at(*now), told);
    }
    tables
}

fn whole() -> WatchEvent {
    WatchEvent::Whole {
        revision: Revision(9),
    }
}

fn current(as_of: f64) -> WatchEvent {
    WatchEvent::Current { as_of: at(as_of) }
}

#[test]
fn writes_end_a_lease_after_the_copy_was_last_current_and_reads_go_on() {
    let tables = tables(&[
        (1.0, line(Some("s-a"), 5)),
        (1.0, whole()),
        (1.2, current(1.1)),
    ]);
    for (now, writes) in [(1.2, true), (5.0, true), (5.1, false), (60.0, false)] {
        let sight = tables.see(at(now), 3, "vote");
        assert_eq!(
            (sight.server, sight.writes),
            (Some("s-a"), writes),
            "at {now}"
        );
    }
}

#[test]
fn writes_resume_only_after_a_whole_reading_that_came_later() {
    let mut tables = tables(&[
        (1.0, line(Some("s-a"), 5)),
        (1.0, whole()),
        (1.2, current(1.1)),
    ]);
    assert!(tables.tick(at(5.2)) && !tables.tick(at(5.3)), "told once");
    tables.take(at(6.0), &current(5.9));
    assert!(!tables.writes(at(6.0)), "a resumed watch is not enough");
    tables.take(at(6.5), &whole());
    assert!(!tables.writes(at(6.5)), "nor is a reading that may be old");
    tables.take(at(6.6), &current(6.5));
    assert!(tables.writes(at(6.6)));
}

#[test]
fn what_comes_late_does_not_lengthen_a_lease() {
    let mut tables = tables(&[
        (1.0, line(Some("s-a"), 5)),
        (1.0, whole()),
        (1.2, current(1.1)),
    ]);
    tables.take(at(9.0), &current(5.0));
    assert!(!tables.writes(at(9.0)));
    tables.take(at(9.0), &whole());
    tables.take(at(9.0), &current(4.9));
    assert!(
        !tables.writes(at(9.0)),
        "a look that was sent over a lease ago shows nothing"
    );
}

#[test]
fn an_earlier_generation_than_was_held_gets_no_writes() {
    let serving = [
        (1.0, line(Some("s-a"), 5)),
        (1.0, whole()),
        (1.2, current(1.1)),
    ];
    let mut tables = tables(&serving);
    tables.take(at(1.5), &line(Some("s-old"), 3));
    assert!(!tables.see(at(1.5), 3, "vote").writes);
    tables.take(at(1.6), &line(Some("s-b"), 6));
    assert!(tables.see(at(1.6), 3, "vote").writes);
}

#[test]
fn a_line_that_can_not_be_read_names_nobody_and_is_counted() {
    let mut tables = tables(&[
        (1.0, line(Some("s-a"), 5)),
        (1.0, whole()),
        (1.2, current(1.1)),
    ]);
    let WatchEvent::Change(Change::Put(mut pair)) = line(None, 6) else {
        panic!()
    };
    pair.value = b"{\"server\":7}".to_vec();
    tables.take(at(1.3), &WatchEvent::Change(Change::Put(pair)));
    assert_eq!(
        (tables.see(at(1.3), 3, "vote").server, tables.spoilt),
        (None, 1)
    );
    assert!(
        tables
            .last_spoilt
            .as_ref()
            .is_some_and(|told| told.contains("p/slices/00003/line"))
    );
}

#[test]
fn a_mark_is_answered_once_all_before_it_is_surely_held() {
    let mark = Mark {
        mark: 7,
        life: "1".into(),
        stamp: "x".into(),
    };
    let pair = KeyValue {
        key: "p/marks/n0".into(),
        value: spell(&mark),
        made: Revision(2),
        changed: Revision(2),
        lease: None,
    };
    let mut tables = tables(&[(1.0, whole())]);
    assert_eq!(
        tables.take(at(1.1), &WatchEvent::Change(Change::Put(pair))),
        []
    );
    assert_eq!(
        tables.take(at(1.3), &current(1.2)),
        [("n0".to_owned(), mark)]
    );
    assert_eq!(tables.take(at(1.5), &current(1.4)), []);
}

#[test]
fn history_that_went_back_ends_writes_at_once() {
    let mut tables = tables(&[
        (1.0, line(Some("s-a"), 5)),
        (1.0, whole()),
        (1.2, current(1.1)),
    ]);
    tables.take(
        at(1.3),
        &WatchEvent::WentBack {
            from: Revision(9),
            to: Revision(4),
        },
    );
    assert!(!tables.writes(at(1.3)));
    tables.take(at(1.4), &current(1.35));
    assert!(!tables.writes(at(1.4)));
}
