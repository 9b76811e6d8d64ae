//! A snapshot of the items taken in parts, over `Configuration::merge` and the digests of the store: whoever
//! takes it raises its `merged` only at the last part, and only to what every part's sender had merged.

use std::hash::{Hash, Hasher};

use lynxmill_configuration::{Configuration, Item};
use lynxmill_consensus::{is_behind, unmerged};
use lynxmill_protocol::{Change, PendingChanges, SnapshotChunk, SnapshotRequest};
use lynxmill_storage::{differing_items, digests};
use prost::Message;

use crate::search::Model;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bug {
    #[default]
    None,
    /// A half-taken snapshot counts as whole: each part raises `merged`.
    HalfCountsAsWhole,
    /// The last part's number counts for the parts before it.
    LastNumberCounts,
}

/// Items in one part.
const PART: usize = 1;

/// The model: the agreed changes, of which two senders merge more and more.
pub struct SnapshotModel {
    pub bug: Bug,
    pub changes: Vec<Change>,
    /// Whether the receiver tells digests of what it holds.
    pub tells_digests: bool,
}

impl SnapshotModel {
    /// Changes that set three items, the first of them again and again.
    pub fn new(bug: Bug, changes: u64, tells_digests: bool) -> Self {
        let keys = ["s/a", "s/b", "s/a", "s/c", "s/a", "s/b"];
        let item = |number: u64| Item {
            key: keys[(number as usize - 1) % keys.len()].to_owned(),
            version: number,
            body: format!("{number}"),
            ..Item::default()
        };
        let changes = (1..=changes)
            .map(|number| Change {
                number,
                items: vec![item(number)],
            })
            .collect();
        SnapshotModel {
            bug,
            changes,
            tells_digests,
        }
    }

    fn configuration(&self, merged: u64) -> Configuration {
        let mut configuration = Configuration::default();
        let agreed = self.changes.iter().filter(|change| change.number <= merged);
        for item in agreed.flat_map(|change| &change.items) {
            configuration.merge(item);
        }
        configuration
    }

    /// What a sender answers.
    fn answer(&self, merged: u64, asked: &SnapshotRequest) -> SnapshotChunk {
        let held = self.configuration(merged);
        let mut items = match asked.digests.as_slice() {
            [] => held.items.values().cloned().collect(),
            told => differing_items(&held, told),
        };
        items.retain(|item| item.key > asked.after);
        items.sort_by(|a, b| a.key.cmp(&b.key));
        let items_left = items.split_off(PART.min(items.len())).len();
        SnapshotChunk {
            merged,
            items,
            is_last: items_left == 0,
            items_left: items_left as u32,
        }
    }
}

/// Who takes the snapshot.
#[derive(Clone, Debug, Default)]
pub struct Receiver {
    pub configuration: Configuration,
    pub merged: u64,
    after: String,
    /// The least that any sender of a part had merged.
    least: Option<u64>,
}

impl Receiver {
    fn take(&mut self, bug: Bug, part: &SnapshotChunk) {
        for item in &part.items {
            self.configuration.merge(item);
        }
        let least = self
            .least
            .map_or(part.merged, |least| least.min(part.merged));
        let counts = if bug == Bug::LastNumberCounts {
            part.merged
        } else {
            least
        };
        if part.is_last || bug == Bug::HalfCountsAsWhole {
            self.merged = self.merged.max(counts);
        }
        let next = part
            .items
            .last()
            .map(|item| item.key.clone())
            .unwrap_or_default();
        (self.after, self.least) = if part.is_last {
            (String::new(), None)
        } else {
            (next, Some(least))
        };
    }
}

/// The state: senders by what they have merged, the receiver, one part on its way.
#[derive(Clone, Debug, Default)]
pub struct State {
    senders: [u64; 2],
    receiver: Receiver,
    answer: Option<SnapshotChunk>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let Receiver {
            configuration,
            merged,
            after,
            least,
        } = &self.receiver;
        (self.senders, merged, after, least).hash(hasher);
        configuration
            .items
            .values()
            .for_each(|item| item.encode_to_vec().hash(hasher));
        self.answer
            .as_ref()
            .map(|part| part.encode_to_vec())
            .hash(hasher);
    }
}

/// Something that may happen.
#[derive(Clone, Debug)]
pub enum Action {
    Merge {
        sender: usize,
    },
    /// The next part is asked of a sender, be it another one than before; an older answer is dropped.
    Ask {
        sender: usize,
    },
    Take,
    /// News of the last changes comes to the receiver.
    Learn {
        last: u64,
        length: u64,
    },
    /// The receiver starts again with what is on its disk.
    Restart,
}

impl Model for SnapshotModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        vec![State::default()]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let all = self.changes.len() as u64;
        let behind = (0..2).filter(|sender| state.senders[*sender] < all);
        let mut actions: Vec<Action> = behind.map(|sender| Action::Merge { sender }).collect();
        actions.extend((0..2).map(|sender| Action::Ask { sender }));
        actions.extend([Action::Take, Action::Restart]);
        let agreed = state.senders.iter().copied().max().unwrap_or(0);
        for last in 1..=agreed {
            actions.extend((0..last.min(2)).map(|length| Action::Learn { last, length }));
        }
        actions
    }

    fn step(&self, state: &State, action: &Action) -> Option<State> {
        let mut next = state.clone();
        let receiver = &mut next.receiver;
        match action {
            Action::Merge { sender } => next.senders[*sender] += 1,
            Action::Ask { sender } => {
                let digests = if self.tells_digests {
                    digests(&receiver.configuration)
                } else {
                    Vec::new()
                };
                let asked = SnapshotRequest {
                    digests,
                    after: receiver.after.clone(),
                };
                next.answer = Some(self.answer(state.senders[*sender], &asked));
            }
            Action::Take => receiver.take(self.bug, &next.answer.take()?),
            Action::Learn { last, length } => {
                let recent =
                    |change: &&Change| change.number <= *last && change.number + length >= *last;
                let changes = self.changes.iter().filter(recent).cloned().collect();
                let changes = PendingChanges {
                    last_number: *last,
                    changes,
                };
                if is_behind(receiver.merged, &changes) {
                    return None;
                }
                let items: Vec<Item> = unmerged(receiver.merged, &changes)
                    .flat_map(|change| change.items.clone())
                    .collect();
                for item in &items {
                    receiver.configuration.merge(item);
                }
                receiver.merged = receiver.merged.max(*last);
            }
            Action::Restart => {
                (receiver.after, receiver.least, next.answer) = (String::new(), None, None);
            }
        }
        Some(next)
    }

    fn violation(&self, state: &State) -> Option<String> {
        let receiver = &state.receiver;
        let counted = self
            .changes
            .iter()
            .filter(|change| change.number <= receiver.merged);
        let missing = |item: &&Item| receiver.configuration.version(&item.key) < item.version;
        let missing = counted.flat_map(|change| &change.items).find(missing)?;
        Some(format!(
            "counts as merged up to {}, but lacks {}@{}",
            receiver.merged, missing.key, missing.version
        ))
    }
}
