//! What a registry holds and what can be asked of one, whatever its protocol.

use lynxmill_time::Timestamp;
use serde::{Deserialize, Serialize};

/// A point in the registry's history; it counts up over all keys.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// What keeps keys alive that belong to a process: etcd's lease, Consul's session.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease(pub String);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyValue {
    pub key: String,
    pub value: Vec<u8>,
    /// When it was made, and when it changed last.
    pub made: Revision,
    pub changed: Revision,
    pub lease: Option<Lease>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    Put(KeyValue),
    Gone { key: String, at: Revision },
}

impl Change {
    pub fn at(&self) -> Revision {
        match self {
            Change::Put(pair) => pair.changed,
            Change::Gone { at, .. } => *at,
        }
    }

    pub fn key(&self) -> &str {
        match self {
            Change::Put(pair) => &pair.key,
            Change::Gone { key, .. } => key,
        }
    }
}

/// What must hold of a key for a transaction to be carried out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Precondition {
    Absent,
    /// It has not changed since.
    At(Revision),
    /// It is there and belongs to this lease.
    Of(Lease),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PutOperation {
    pub key: String,
    /// None takes the key away.
    pub value: Option<Vec<u8>>,
    pub lease: Option<Lease>,
}

/// All or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Transaction {
    pub guards: Vec<(String, Precondition)>,
    pub puts: Vec<PutOperation>,
}

/// What is asked of the registry. `turn` comes back with the answer: answers of earlier turns count for nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreRequest {
    /// A page of all there is below the prefix, after a key, as of a revision.
    Page {
        turn: u64,
        after: Option<String>,
        at: Option<Revision>,
    },
    /// All changes from a revision on; with polls, all there is once something is newer than this.
    Watch {
        turn: u64,
        from: Revision,
    },
    /// The newest change since, if there is one, and how many keys there are.
    Look {
        turn: u64,
        since: Revision,
    },
    /// Ends a watch.
    Leave {
        turn: u64,
    },
    Txn {
        id: u64,
        txn: Transaction,
    },
    /// A key as it is now.
    Get {
        id: u64,
        key: String,
    },
    /// A lease of so many seconds.
    Grant {
        turn: u64,
        seconds: u64,
    },
    Keep {
        turn: u64,
        lease: Lease,
    },
    Revoke {
        lease: Lease,
    },
    WakeAt(Timestamp),
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Page {
        turn: u64,
        revision: Revision,
        pairs: Vec<KeyValue>,
        more: bool,
    },
    /// The watch stands; with a stream only.
    Begun {
        turn: u64,
    },
    Changes {
        turn: u64,
        revision: Revision,
        changes: Vec<Change>,
    },
    /// All there is, as a poll tells it.
    Whole {
        turn: u64,
        revision: Revision,
        pairs: Vec<KeyValue>,
    },
    /// The revision asked for is no longer kept; this is the oldest that is.
    Compacted {
        turn: u64,
        oldest: Revision,
    },
    Looked {
        turn: u64,
        revision: Revision,
        newest: Option<Revision>,
        count: u64,
    },
    /// A page, watch, look, grant or keep failed, or the watch broke.
    Failed {
        turn: u64,
    },
    Done {
        id: u64,
        revision: Revision,
    },
    /// A guard did not hold: nothing was carried out.
    Refused {
        id: u64,
    },
    /// Carried out or not, nobody knows.
    Unknown {
        id: u64,
    },
    /// Not carried out; later, the registry says.
    Later {
        id: u64,
        millis: u64,
    },
    Got {
        id: u64,
        revision: Revision,
        pair: Option<KeyValue>,
    },
    Granted {
        turn: u64,
        lease: Lease,
    },
    Kept {
        turn: u64,
    },
    /// The lease is no more.
    Expired {
        turn: u64,
    },
}
