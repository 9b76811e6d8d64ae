//! What waits for the disk: nothing that another relies on goes out before it is on disk.

use std::collections::BTreeMap;

use lynxmill_consensus::Acceptor;
use lynxmill_protocol::{Accepted, PeerResponse, Promise};
use lynxmill_storage::Batch;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::event::Event;
use crate::messages::{ConnectionId, Effect};
use crate::node::ControlNode;

/// Between two attempts to write everything again after a failure.
const REWRITE_INTERVAL: TimeDelta = TimeDelta::from_micros(1_000_000);

/// A response that goes out behind a write.
#[derive(Clone, Debug)]
pub(crate) struct DelayedResponse {
    pub connection: ConnectionId,
    pub id: u64,
    pub written: PeerResponse,
    pub failed: PeerResponse,
}

/// What is done once a batch is on disk.
#[derive(Clone, Debug)]
pub(crate) enum AfterStore {
    Respond(Box<DelayedResponse>),
    /// This node's own promise in a round of its own.
    HandleOwnPromise {
        register: String,
        attempt: u64,
        promise: Box<Promise>,
    },
    HandleOwnAccepted {
        register: String,
        attempt: u64,
        accepted: Accepted,
    },
    /// It has all registers and votes from now on; where it took a seat, that is answered.
    BecomeVoter {
        acceptor: Box<Acceptor>,
        seat: Option<(ConnectionId, u64)>,
    },
    /// The items of all changes up to this one.
    Merged(u64),
    /// All that was in memory, with the changes up to this one.
    Rewritten(u64),
}

#[derive(Debug, Default)]
pub(crate) struct StorageQueue {
    last_ticket: u64,
    continuations: BTreeMap<u64, AfterStore>,
    /// A write has failed: no ballot is answered until everything has been written again.
    failed: bool,
    next_rewrite: Timestamp,
}

impl StorageQueue {
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// It waits for the disk to become a voter.
    pub(crate) fn is_becoming_voter(&self) -> bool {
        self.continuations
            .values()
            .any(|after| matches!(after, AfterStore::BecomeVoter { .. }))
    }
}

impl ControlNode {
    pub(crate) fn store(&mut self, batch: Batch) -> u64 {
        self.storage.last_ticket += 1;
        let ticket = self.storage.last_ticket;
        self.effect(Effect::Store { ticket, batch });
        ticket
    }

    pub(crate) fn store_then(&mut self, batch: Batch, after: AfterStore) {
        let ticket = self.store(batch);
        self.storage.continuations.insert(ticket, after);
    }

    /// All of the control state, as it has to be on disk.
    pub(crate) fn full_batch(&self, acceptor: &Acceptor) -> Batch {
        Batch {
            items: self.configuration.items.values().cloned().collect(),
            registers: acceptor.registers.values().cloned().collect(),
            members: Some(acceptor.members.clone()),
            merged: Some(self.merged),
            is_voter: Some(!acceptor.catching_up),
            ..Batch::default()
        }
    }

    pub(crate) fn stored(&mut self, now: Timestamp, ticket: u64, failure: Option<String>) {
        let later = self.storage.continuations.split_off(&(ticket + 1));
        let done = std::mem::replace(&mut self.storage.continuations, later);
        let written = failure.is_none();
        if let Some(failure) = failure {
            self.storage_failed(now, failure);
        }
        for after in done.into_values() {
            self.after_store(now, after, written);
        }
    }

    /// What is in memory may be ahead of the disk.
    fn storage_failed(&mut self, now: Timestamp, failure: String) {
        self.count("disk-failed");
        if !std::mem::replace(&mut self.storage.failed, true) {
            self.log(Event::StorageFailed(failure));
        }
        self.storage.next_rewrite = now + REWRITE_INTERVAL;
    }

    fn after_store(&mut self, now: Timestamp, after: AfterStore, written: bool) {
        match after {
            AfterStore::Respond(delayed) => {
                let DelayedResponse {
                    connection,
                    id,
                    written: yes,
                    failed: no,
                } = *delayed;
                self.respond(connection, id, if written { yes } else { no });
            }
            AfterStore::HandleOwnPromise {
                register,
                attempt,
                promise,
            } => {
                let promise = Promise {
                    ok: promise.ok && written,
                    ..*promise
                };
                let me = self.options.ip.clone();
                self.handle_promise(now, &register, attempt, &me, promise);
            }
            AfterStore::HandleOwnAccepted {
                register,
                attempt,
                accepted,
            } => {
                let accepted = Accepted {
                    ok: accepted.ok && written,
                    ..accepted
                };
                let me = self.options.ip.clone();
                self.handle_accepted(now, &register, attempt, &me, accepted);
            }
            AfterStore::BecomeVoter { acceptor, seat } => {
                self.become_voter(now, *acceptor, seat, written)
            }
            // Batches that follow a failed one leave a hole behind them until all is written once more.
            AfterStore::Merged(merged) if written && !self.storage.failed => {
                self.merged_on_disk = self.merged_on_disk.max(merged);
            }
            AfterStore::Rewritten(merged) if written => {
                self.storage.failed = false;
                self.merged_on_disk = self.merged_on_disk.max(merged);
                self.log(Event::StorageRecovered);
            }
            AfterStore::Merged(_) | AfterStore::Rewritten(_) => {}
        }
    }

    /// After a failed write, writes everything again before any ballot is answered.
    pub(crate) fn rewrite_after_failure(&mut self, now: Timestamp) {
        if !self.storage.failed || now < self.storage.next_rewrite {
            return;
        }
        self.storage.next_rewrite = now + REWRITE_INTERVAL;
        let tasks = self
            .instances
            .registry
            .all()
            .map(|known| known.task.clone())
            .collect();
        let batch = Batch {
            tasks,
            ..self.full_batch(&self.acceptor)
        };
        self.store_then(batch, AfterStore::Rewritten(self.merged));
    }
}
