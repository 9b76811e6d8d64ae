//! Catching up: items by a snapshot in parts, registers by copies in parts.
//!
//! - A node that lacks changes reads a snapshot: items of ranges that differ, in the order of keys. All of them
//!   were agreed, so each part is merged as it comes; `merged` is raised only by the last part, and only to what
//!   the sender had merged at the first. A part that does not come is asked for again, of another member if need
//!   be.
//! - A member whose disk was lost reads the registers of enough others, and votes again once all is on disk.
//! - A newcomer reads the registers of those that have accepted its seat.

use std::collections::BTreeMap;

use lynxmill_configuration::Item;
use lynxmill_consensus::{Acceptor, RECOVERY_DELAY, RegisterCopy, is_behind, recovery_quorum};
use lynxmill_protocol::{
    PeerRequest, PeerResponse, PendingChanges, PromoteRequest, Register, RegisterVersion,
    RegistersChunk, RegistersRequest, SnapshotChunk, SnapshotRequest,
};
use lynxmill_storage::{Batch, digests, range_of};
use lynxmill_time::{TimeDelta, Timestamp};
use prost::Message;

use crate::contact::STATUS_MAX_AGE;
use crate::event::Event;
use crate::messages::ConnectionId;
use crate::node::ControlNode;
use crate::orders::CHANGES_REGISTER;
use crate::pending_requests::Awaited;
use crate::storage::AfterStore;

/// Bytes of items or registers in one chunk, about.
const CHUNK_BYTES: usize = 128 << 10;
/// How long a chunk may take before the transfer is given up.
const CHUNK_TIMEOUT: TimeDelta = TimeDelta::from_micros(2_000_000);
/// A copy of registers that is not complete by then is begun anew.
const COPY_TIMEOUT: TimeDelta = TimeDelta::from_micros(3_000_000);
/// A member that is ahead for so long has changes that did not arrive here by themselves.
const REPAIR_DELAY: TimeDelta = TimeDelta::from_micros(300_000);
/// Between two attempts to recover.
const RECOVERY_INTERVAL: TimeDelta = TimeDelta::from_micros(200_000);
/// A learner that lacks more changes can't be promoted yet; fewer are in the register, or soon
/// read.
const MAX_LEARNER_LAG: u64 = 64;

/// How far the transfer of a snapshot is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotProgress {
    /// The member that it is read from.
    pub from: String,
    /// Items that have arrived.
    pub items: usize,
    /// Items that are still to come.
    pub items_left: usize,
}

/// A snapshot that is being read.
#[derive(Debug)]
struct SnapshotTransfer {
    number: u64,
    from: String,
    digests: Vec<u64>,
    after: String,
    /// What the sender had merged at the first part: this much is whole once the last part has come.
    floor: Option<u64>,
    items: usize,
    items_left: usize,
    deadline: Timestamp,
}

#[derive(Clone, Debug)]
enum CopyPurpose {
    Recover,
    Promote {
        request: Box<PromoteRequest>,
        connection: ConnectionId,
        id: u64,
    },
}

/// Registers that are being copied from several members.
#[derive(Debug)]
struct RegisterTransfer {
    number: u64,
    purpose: CopyPurpose,
    /// By member: what has come, and whether that is all.
    copies: BTreeMap<String, (RegisterCopy, bool)>,
    merged: u64,
    deadline: Timestamp,
}

#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    snapshot: Option<SnapshotTransfer>,
    registers: Option<RegisterTransfer>,
    last_number: u64,
    ahead_since: Option<Timestamp>,
    next_recovery: Timestamp,
}

impl CatchUp {
    pub(crate) fn progress(&self) -> Option<SnapshotProgress> {
        let transfer = self.snapshot.as_ref()?;
        let (from, items, items_left) =
            (transfer.from.clone(), transfer.items, transfer.items_left);
        Some(SnapshotProgress {
            from,
            items,
            items_left,
        })
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// As many of the entries as fit into a chunk, and how many are left.
fn first_chunk<T: Message>(entries: Vec<T>) -> (Vec<T>, usize) {
    let mut bytes = 0;
    let fits = |entry: &&T| {
        bytes += entry.encoded_len();
        bytes <= CHUNK_BYTES
    };
    let count = entries
        .iter()
        .take_while(fits)
        .count()
        .max(1)
        .min(entries.len());
    let left = entries.len() - count;
    (entries.into_iter().take(count).collect(), left)
}

impl ControlNode {
    // --- what others are given ---

    pub(crate) fn snapshot_chunk(&self, request: &SnapshotRequest) -> SnapshotChunk {
        let own = digests(&self.configuration);
        let differs = |item: &&Item| {
            request.digests.get(range_of(&item.key)) != Some(&own[range_of(&item.key)])
        };
        let after = (
            std::ops::Bound::Excluded(request.after.clone()),
            std::ops::Bound::Unbounded,
        );
        let items = self.configuration.items.range(after).map(|(_, item)| item);
        let (items, items_left) = first_chunk(items.filter(differs).cloned().collect());
        SnapshotChunk {
            merged: self.merged,
            items,
            is_last: items_left == 0,
            items_left: items_left as u32,
        }
    }

    pub(crate) fn registers_chunk(&self, request: &RegistersRequest) -> RegistersChunk {
        let known: BTreeMap<&str, _> = request
            .known
            .iter()
            .map(|v| (v.name.as_str(), v.accepted))
            .collect();
        let without_known = |register: &Register| match known.get(register.name.as_str()) {
            Some(accepted) if *accepted == register.accepted => Register {
                value: Vec::new(),
                ..register.clone()
            },
            _ => register.clone(),
        };
        let after = (
            std::ops::Bound::Excluded(request.after.clone()),
            std::ops::Bound::Unbounded,
        );
        let registers = self
            .acceptor
            .registers
            .range(after)
            .map(|(_, register)| without_known(register));
        let (registers, left) = first_chunk(registers.collect());
        RegistersChunk {
            registers,
            members: self.acceptor.members.clone(),
            pending_membership: self.acceptor.pending_membership(),
            catching_up: self.acceptor.catching_up || self.storage.has_failed(),
            is_last: left == 0,
            merged: self.merged,
            storage_failed: !self.acceptor.catching_up && self.storage.has_failed(),
        }
    }

    // --- snapshots ---

    /// Reads the items that are missing here from another, unless that is under way.
    pub(crate) fn read_snapshot(&mut self, now: Timestamp, from: &str) {
        if self.catch_up.snapshot.is_some() || self.is_self(from) {
            return;
        }
        let transfer = SnapshotTransfer {
            number: self.catch_up.next_number(),
            from: from.to_owned(),
            digests: digests(&self.configuration),
            after: String::new(),
            floor: None,
            items: 0,
            items_left: 0,
            deadline: now + CHUNK_TIMEOUT,
        };
        self.catch_up.snapshot = Some(transfer);
        self.request_snapshot_chunk(now);
    }

    fn request_snapshot_chunk(&mut self, now: Timestamp) {
        let Some(transfer) = self.catch_up.snapshot.as_mut() else {
            return;
        };
        transfer.deadline = now + CHUNK_TIMEOUT;
        let request = SnapshotRequest {
            digests: transfer.digests.clone(),
            after: transfer.after.clone(),
        };
        let (to, number) = (transfer.from.clone(), transfer.number);
        self.send_request(
            now,
            &to,
            PeerRequest::Snapshot(request),
            Awaited::Snapshot(number),
        );
    }

    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        now: Timestamp,
        number: u64,
        from: &str,
        chunk: &SnapshotChunk,
    ) {
        let Some(transfer) = self.catch_up.snapshot.as_mut() else {
            return;
        };
        if transfer.number != number || transfer.from != from {
            return;
        }
        transfer.items += chunk.items.len();
        transfer.items_left = chunk.items_left as usize;
        let floor = *transfer.floor.get_or_insert(chunk.merged);
        if let Some(item) = chunk.items.last() {
            transfer.after = item.key.clone();
        }
        let (first, items) = (transfer.items == chunk.items.len(), transfer.items);
        if !chunk.is_last {
            if first {
                let from = transfer.from.clone();
                self.log(Event::SnapshotStarted { from });
            }
            self.merge(&chunk.items, 0);
            return self.request_snapshot_chunk(now);
        }
        self.catch_up.snapshot = None;
        self.merge(&chunk.items, floor);
        self.count("snapshots-read");
        if !first {
            self.log(Event::SnapshotComplete { items });
        }
        self.use_complete_copies(now);
    }

    /// A part that did not come: the rest is read of whoever is ahead by then; what has come is kept.
    fn expire_snapshot(&mut self, now: Timestamp) {
        let late = self
            .catch_up
            .snapshot
            .as_ref()
            .is_some_and(|transfer| now >= transfer.deadline);
        if let Some(transfer) = self.catch_up.snapshot.take_if(|_| late) {
            self.count("snapshots-failed");
            self.log(Event::SnapshotFailed {
                from: transfer.from,
                items: transfer.items,
            });
        }
    }

    // --- repair ---

    pub(crate) fn advance_catch_up(&mut self, now: Timestamp) {
        self.expire_snapshot(now);
        self.expire_copies(now);
        self.repair(now);
        self.recover(now);
    }

    /// Reads what others have merged and this node has not.
    fn repair(&mut self, now: Timestamp) {
        let own = self.items_digest;
        let lately = |at: Timestamp| now - at < STATUS_MAX_AGE;
        let peers = self
            .statuses
            .values()
            .filter(|peer| lately(peer.received) && !peer.status.catching_up);
        let best = peers.max_by_key(|peer| peer.status.merged);
        // Copies that say the same of changes are compared by their digests.
        let differs =
            |merged: u64, items: u64, same: bool| same && merged == self.merged && items != own;
        let further = best.filter(|peer| {
            let status = &peer.status;
            status.merged > self.merged
                || differs(status.merged, status.items_digest, peer.same_items)
        });
        let Some(from) = further.map(|peer| peer.status.ip.clone()) else {
            self.catch_up.ahead_since = None;
            return;
        };
        let since = *self.catch_up.ahead_since.get_or_insert(now);
        if now - since >= REPAIR_DELAY && self.catch_up.snapshot.is_none() {
            self.count("repairs");
            self.read_snapshot(now, &from);
        }
    }

    /// Whether this node, no member yet, has read what members hold.
    pub(crate) fn is_ready_learner(&self, now: Timestamp) -> bool {
        if self.is_member() || self.departure.is_some() || self.storage.has_failed() {
            return false;
        }
        if !self.reaches_majority(now) {
            return false;
        }
        let members = &self.acceptor.members;
        let voters = members.ips.iter().filter_map(|ip| self.statuses.get(ip));
        let voters =
            voters.filter(|peer| now - peer.received < STATUS_MAX_AGE && !peer.status.catching_up);
        let newest = voters.map(|peer| peer.status.merged).max();
        newest.is_some_and(|merged| {
            self.merged + MAX_LEARNER_LAG >= merged && self.catch_up.snapshot.is_none()
        })
    }

    // --- copies of registers ---

    /// A member whose disk was lost reads the others, once no round can be open that relied on what it
    /// forgot.
    fn recover(&mut self, now: Timestamp) {
        let waits =
            self.acceptor.catching_up && self.is_member() && self.catch_up.registers.is_none();
        let early = now - self.started <= RECOVERY_DELAY || now < self.catch_up.next_recovery;
        if !waits || early || self.storage.has_failed() || self.storage.is_becoming_voter() {
            return;
        }
        self.catch_up.next_recovery = now + RECOVERY_INTERVAL;
        let sources = self.other_members();
        self.copy_registers(now, CopyPurpose::Recover, &sources);
    }

    /// A newcomer is asked to take its seat.
    pub(crate) fn handle_promote(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        id: u64,
        request: PromoteRequest,
    ) {
        if self.acceptor.is_voter_of(&request.next) {
            return self.respond(connection, id, PeerResponse::Acknowledged(true));
        }
        if self.storage.has_failed() || self.departure.is_some() || self.storage.is_becoming_voter()
        {
            return self.respond(connection, id, PeerResponse::Acknowledged(false));
        }
        let sources = request.sources.clone();
        let purpose = CopyPurpose::Promote {
            request: Box::new(request),
            connection,
            id,
        };
        self.copy_registers(now, purpose, &sources);
    }

    fn copy_registers(&mut self, now: Timestamp, purpose: CopyPurpose, sources: &[String]) {
        let number = self.catch_up.next_number();
        let copies = sources.iter().filter(|ip| !self.is_self(ip));
        let copies: BTreeMap<_, _> = copies
            .map(|ip| {
                (
                    ip.clone(),
                    (
                        RegisterCopy {
                            from: ip.clone(),
                            ..RegisterCopy::default()
                        },
                        false,
                    ),
                )
            })
            .collect();
        let asks: Vec<String> = copies.keys().cloned().collect();
        let deadline = now + COPY_TIMEOUT;
        self.catch_up.registers = Some(RegisterTransfer {
            number,
            purpose,
            copies,
            merged: 0,
            deadline,
        });
        for ip in asks {
            self.request_registers_chunk(now, number, &ip, String::new());
        }
    }

    fn request_registers_chunk(&mut self, now: Timestamp, number: u64, to: &str, after: String) {
        let version = |r: &Register| RegisterVersion {
            name: r.name.clone(),
            accepted: r.accepted,
        };
        let known = self
            .acceptor
            .registers
            .values()
            .filter(|r| r.name > after)
            .map(version)
            .collect();
        let request = RegistersRequest { after, known };
        self.send_request(
            now,
            to,
            PeerRequest::Registers(request),
            Awaited::Registers(number),
        );
    }

    pub(crate) fn handle_registers_chunk(
        &mut self,
        now: Timestamp,
        number: u64,
        from: &str,
        mut chunk: RegistersChunk,
    ) {
        // Values that were left out are held here, by the same ballot.
        for register in chunk
            .registers
            .iter_mut()
            .filter(|register| register.value.is_empty())
        {
            let held = self.acceptor.registers.get(&register.name);
            if let Some(held) = held.filter(|held| held.accepted == register.accepted) {
                register.value = held.value.clone();
            }
        }
        let Some(copying) = self
            .catch_up
            .registers
            .as_mut()
            .filter(|copying| copying.number == number)
        else {
            return;
        };
        let Some((copy, whole)) = copying.copies.get_mut(from) else {
            return;
        };
        let after = chunk
            .registers
            .last()
            .map(|register| register.name.clone())
            .unwrap_or_default();
        // A copy counts as frozen only if all its parts were read after the sender had accepted the change.
        let frozen =
            copy.registers.is_empty() || copy.pending_membership == chunk.pending_membership;
        copy.registers.extend(chunk.registers);
        (copy.members, copy.catching_up) = (chunk.members, chunk.catching_up);
        copy.storage_failed = chunk.storage_failed;
        copy.pending_membership = chunk.pending_membership.filter(|_| frozen);
        *whole = chunk.is_last;
        copying.merged = copying.merged.max(chunk.merged);
        if chunk.is_last {
            self.use_complete_copies(now);
        } else {
            self.request_registers_chunk(now, number, from, after);
        }
    }

    /// Becomes a voter if enough copies are complete.
    fn use_complete_copies(&mut self, now: Timestamp) {
        let Some(copying) = self.catch_up.registers.as_ref() else {
            return;
        };
        let complete = copying.copies.values().filter(|(_, whole)| *whole);
        let copies: Vec<RegisterCopy> = complete.map(|(copy, _)| copy.clone()).collect();
        let (purpose, merged) = (copying.purpose.clone(), copying.merged);
        let mut acceptor = self.acceptor.clone();
        let filled = match &purpose {
            CopyPurpose::Recover => acceptor.recover(&copies),
            CopyPurpose::Promote { request, .. } => {
                let PromoteRequest {
                    ballot,
                    previous,
                    next,
                    ..
                } = request.as_ref();
                copies.len() >= recovery_quorum(previous)
                    && acceptor.promote(*ballot, previous, next, &copies)
            }
        };
        if !filled || self.lacks_changes(now, &acceptor, &copies, merged) {
            return;
        }
        self.catch_up.registers = None;
        let seat = match purpose {
            CopyPurpose::Recover => None,
            CopyPurpose::Promote { connection, id, .. } => Some((connection, id)),
        };
        let batch = Batch {
            is_voter: Some(true),
            ..self.full_batch(&acceptor)
        };
        self.store_then(
            batch,
            AfterStore::BecomeVoter {
                acceptor: Box::new(acceptor),
                seat,
            },
        );
    }

    /// A voter holds the changes that are in no register any more: these are read first.
    fn lacks_changes(
        &mut self,
        now: Timestamp,
        acceptor: &Acceptor,
        copies: &[RegisterCopy],
        merged: u64,
    ) -> bool {
        let value = acceptor.value(CHANGES_REGISTER).unwrap_or_default();
        let pending = PendingChanges::decode(value).unwrap_or_default();
        if !is_behind(self.merged, &pending) && self.merged + MAX_LEARNER_LAG >= merged {
            return false;
        }
        let ahead = copies
            .iter()
            .filter_map(|copy| self.statuses.get(&copy.from));
        let from = ahead
            .max_by_key(|peer| peer.status.merged)
            .map(|peer| peer.status.ip.clone());
        if let Some(from) = from {
            self.read_snapshot(now, &from);
        }
        true
    }

    fn expire_copies(&mut self, now: Timestamp) {
        // Copies from before a change of the members count no more: those of now are read instead.
        let epoch = self.acceptor.members.epoch;
        let old = |copying: &RegisterTransfer| {
            let recovers = matches!(copying.purpose, CopyPurpose::Recover);
            recovers
                && copying
                    .copies
                    .values()
                    .any(|(copy, whole)| *whole && copy.members.epoch < epoch)
        };
        let late = self
            .catch_up
            .registers
            .as_ref()
            .is_some_and(|c| now >= c.deadline || old(c));
        let Some(copying) = self.catch_up.registers.take_if(|_| late) else {
            return;
        };
        self.count("register-copies-failed");
        if let CopyPurpose::Promote { connection, id, .. } = copying.purpose {
            self.respond(connection, id, PeerResponse::Acknowledged(false));
        }
    }

    /// All registers are on disk, or could not be written.
    pub(crate) fn become_voter(
        &mut self,
        now: Timestamp,
        acceptor: Acceptor,
        seat: Option<(ConnectionId, u64)>,
        written: bool,
    ) {
        let overtaken = self.acceptor.members.epoch > acceptor.members.epoch;
        let seated = written && !overtaken;
        if seated {
            let epoch = acceptor
                .pending_membership()
                .map_or(acceptor.members.epoch, |pending| pending.epoch);
            self.acceptor = acceptor;
            self.leases.became_voter(now);
            self.count("became-voter");
            self.log(if seat.is_some() {
                Event::Promoted { epoch }
            } else {
                Event::BecameVoter
            });
            if seat.is_some() {
                self.announce_promotion(now);
            }
        } else if written {
            // The members have changed meanwhile: what is on disk must not vote after a restart.
            let batch = self.full_batch(&self.acceptor);
            self.store(batch);
        }
        if let Some((connection, id)) = seat {
            self.respond(connection, id, PeerResponse::Acknowledged(seated));
        }
    }

    /// Tells the others that the change is chosen: whoever proposed it may be lost before it has
    /// told anybody.
    fn announce_promotion(&mut self, now: Timestamp) {
        let Some(agreed) = self.acceptor.pending_membership() else {
            return;
        };
        self.adopt_membership(now, &agreed);
        self.broadcast_status(now);
    }
}
