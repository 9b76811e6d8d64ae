//! A forwarder at the registry: it follows the tables, tells that it is there and answers marks.

use std::collections::BTreeMap;

use lynxmill_time::Timestamp;

use crate::layout::{Applied, KeyLocation, Layout, Mark, Presence, spell};
use crate::shard_ownership::{LiveMembers, ShardOwnership};
use crate::tables::{SliceView, Tables};
use crate::transaction::{Answer, Lease, Precondition, PutOperation, StoreRequest, Transaction};
use crate::watch::WatchFollower;
use crate::writes::Writes;

pub struct Member {
    number: u16,
    layout: Layout,
    follow: WatchFollower,
    tables: Tables,
    writes: Writes,
    custody: ShardOwnership,
    lease: Option<Lease>,
    stamps: u64,
    /// The last mark of each assigner that has yet to be answered.
    owed: BTreeMap<String, Mark>,
}

impl Member {
    pub fn new(
        number: u16,
        layout: Layout,
        follow: WatchFollower,
        tables: Tables,
        writes: Writes,
        custody: ShardOwnership,
    ) -> Self {
        Member {
            number,
            layout,
            follow,
            tables,
            writes,
            custody,
            lease: None,
            stamps: 0,
            owed: BTreeMap::new(),
        }
    }

    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    pub fn follow(&self) -> &WatchFollower {
        &self.follow
    }

    pub fn see(&self, now: Timestamp, slice: usize, operation: &str) -> SliceView<'_> {
        self.tables.see(now, slice, operation)
    }

    pub fn wake(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        // Writes have ended: they begin again only with a reading that begins now.
        if self.tables.tick(now) {
            self.follow.read_again(now, asks);
        }
        self.follow.wake(now, asks);
        self.writes.wake(now, asks);
        self.custody.wake(now, asks);
        self.settle(now, asks);
        asks.extend(self.tables.until().map(StoreRequest::WakeAt));
    }

    pub fn take(&mut self, now: Timestamp, answer: Answer, asks: &mut Vec<StoreRequest>) {
        if self.tables.tick(now) {
            self.follow.read_again(now, asks);
        }
        self.writes.take(now, &answer, &mut Vec::new(), asks);
        self.custody.take(now, &answer, asks);
        let mut told = Vec::new();
        self.follow.take(now, answer, &mut told, asks);
        for told in &told {
            self.owed.extend(self.tables.take(now, told));
        }
        self.settle(now, asks);
        asks.extend(self.tables.until().map(StoreRequest::WakeAt));
    }

    fn stamp(&mut self) -> String {
        self.stamps += 1;
        format!("{}-{}", self.number, self.stamps)
    }

    fn settle(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        match self.custody.live(now) {
            LiveMembers::Yes(lease) if self.lease.as_ref() != Some(&lease) => {
                // What an earlier life was to write is over.
                self.writes.give_up();
                self.lease = Some(lease.clone());
                let value = Presence {
                    life: lease.0.clone(),
                    stamp: self.stamp(),
                };
                let key = self.layout.key(&KeyLocation::Forwarder(self.number));
                let puts = vec![PutOperation {
                    key,
                    value: Some(spell(&value)),
                    lease: Some(lease),
                }];
                // An empty queue has room.
                let _ = self.writes.push(
                    now,
                    Transaction {
                        guards: Vec::new(),
                        puts,
                    },
                    0,
                    asks,
                );
            }
            LiveMembers::Yes(_) => {}
            LiveMembers::No => self.lease = None,
        }
        self.answer(now, asks);
    }

    /// Answers what is owed once the write before is done: a later mark stands for those before.
    fn answer(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        let Some(lease) = self.lease.clone().filter(|_| self.writes.waiting() == 0) else {
            return;
        };
        if let Some((assigner, mark)) = self.owed.pop_first() {
            let key = self.layout.key(&KeyLocation::Answer(self.number, assigner));
            let value = Applied {
                mark: mark.mark,
                life: mark.life,
                by: lease.0.clone(),
            };
            let presence = self.layout.key(&KeyLocation::Forwarder(self.number));
            let txn = Transaction {
                guards: vec![(presence, Precondition::Of(lease.clone()))],
                puts: vec![PutOperation {
                    key,
                    value: Some(spell(&value)),
                    lease: Some(lease),
                }],
            };
            let _ = self.writes.push(now, txn, 0, asks);
        }
    }
}
