//! A machine's disk, with the group commits of `lynxmill-storage`: one sync at a time, and those that wait go
//! together.
//!
//! The store writes each group as one transaction of one file, and begins none before the last is synced. So
//! what a process or the power takes away is the group under way, whole or not at all, and those that wait
//! behind it. A disk may also tear: each batch that was not synced is there or missing by itself, so that
//! later ones may be there without earlier ones. The store lets that never happen; a node bears it all the
//! same.

use std::collections::{BTreeMap, VecDeque};

use lynxmill_configuration::{Configuration, Item};
use lynxmill_protocol::{Membership, Register, Task};
use lynxmill_storage::{Batch, DiskContents};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::random::Random;

/// How long a sync takes, in seconds, on a disk that is well.
const SYNC_S: (f64, f64) = (0.000_5, 0.006);
/// A slow disk takes this many times as long.
const SLOW: f64 = 60.0;

/// What is on the disk.
#[derive(Clone, Debug, Default)]
struct Image {
    items: BTreeMap<String, Item>,
    registers: BTreeMap<String, Register>,
    members: Membership,
    tasks: BTreeMap<String, Task>,
    merged: u64,
    is_voter: bool,
}

impl Image {
    fn apply(&mut self, batch: Batch) {
        self.items
            .extend(batch.items.into_iter().map(|item| (item.key.clone(), item)));
        self.registers
            .extend(batch.registers.into_iter().map(|r| (r.name.clone(), r)));
        self.tasks
            .extend(batch.tasks.into_iter().map(|task| (task.id.clone(), task)));
        for id in &batch.removed_tasks {
            self.tasks.remove(id);
        }
        self.members = batch.members.unwrap_or(std::mem::take(&mut self.members));
        self.merged = batch.merged.unwrap_or(self.merged);
        self.is_voter = batch.is_voter.unwrap_or(self.is_voter);
    }
}

/// What becomes of batches that were not synced when a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unsynced {
    Lost,
    Kept,
    /// Each one may be there or missing.
    Torn,
}

#[derive(Debug, Default)]
pub(crate) struct Disk {
    image: Image,
    waiting: VecDeque<(u64, Batch)>,
    syncing: Vec<(u64, Batch)>,
    /// Writes are refused.
    pub full: usize,
    pub slow: usize,
    /// Nothing is synced before.
    pub stalled_until: Timestamp,
}

impl Disk {
    /// Queues a batch; when the sync is over that this begins, if no other is under way.
    pub(crate) fn store(
        &mut self,
        now: Timestamp,
        ticket: u64,
        batch: Batch,
        random: &mut Random,
    ) -> Option<Timestamp> {
        self.waiting.push_back((ticket, batch));
        self.begin(now, random)
    }

    fn begin(&mut self, now: Timestamp, random: &mut Random) -> Option<Timestamp> {
        if !self.syncing.is_empty() || self.waiting.is_empty() {
            return None;
        }
        self.syncing = std::mem::take(&mut self.waiting).into();
        let took = random
            .time_delta(SYNC_S.0, SYNC_S.1)
            .times(if self.slow > 0 { SLOW } else { 1.0 });
        Some(now.max(self.stalled_until) + took)
    }

    /// A sync is over: the last ticket of its group and its failure, and when the next one is over.
    pub(crate) fn synced(&mut self, now: Timestamp, random: &mut Random) -> Synced {
        if now < self.stalled_until {
            return Synced::Later(self.stalled_until + TimeDelta::from_micros(500));
        }
        let group = std::mem::take(&mut self.syncing);
        let ticket = group.last().map_or(0, |(ticket, _)| *ticket);
        let failure = (self.full > 0).then(|| "no space left on device".to_owned());
        if failure.is_none() {
            group
                .into_iter()
                .for_each(|(_, batch)| self.image.apply(batch));
        }
        Synced::Done {
            ticket,
            failure,
            next: self.begin(now, random),
        }
    }

    /// The process ended, with or without the power.
    pub(crate) fn lose(&mut self, unsynced: Unsynced, random: &mut Random) {
        let syncing = std::mem::take(&mut self.syncing);
        let waiting = std::mem::take(&mut self.waiting);
        if self.full > 0 {
            return;
        }
        match unsynced {
            Unsynced::Lost => {}
            Unsynced::Kept => syncing
                .into_iter()
                .for_each(|(_, batch)| self.image.apply(batch)),
            Unsynced::Torn => {
                let all = syncing
                    .into_iter()
                    .chain(waiting)
                    .filter(|_| random.chance(0.5));
                all.for_each(|(_, batch)| self.image.apply(batch));
            }
        }
    }

    pub(crate) fn wipe(&mut self) {
        self.image = Image::default();
        self.syncing.clear();
        self.waiting.clear();
    }

    /// Whether what is on disk makes its machine a voter among these members: one that missed more than one
    /// change of them (its disk was full, or it was down) has to catch up as if its disk were lost.
    pub(crate) fn is_voter(&self, newest: &Membership) -> bool {
        self.image.is_voter && self.image.members.epoch + 1 >= newest.epoch
    }

    /// For a bug put in on purpose: an empty disk says that its member votes.
    pub(crate) fn pretend_voter(&mut self, members: Membership) {
        (self.image.members, self.image.is_voter) = (members, true);
    }

    /// What a process that starts reads.
    pub(crate) fn read(&self) -> DiskContents {
        let image = self.image.clone();
        DiskContents {
            configuration: Configuration { items: image.items },
            registers: image.registers.into_values().collect(),
            members: image.members,
            tasks: image.tasks.into_values().collect(),
            merged: image.merged,
            is_voter: image.is_voter,
        }
    }
}

/// How a sync has ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Synced {
    /// The disk hangs.
    Later(Timestamp),
    Done {
        ticket: u64,
        failure: Option<String>,
        next: Option<Timestamp>,
    },
}
