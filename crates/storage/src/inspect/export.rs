//! An exported disk: all rows as JSON, and back to the messages they were made of.

use std::collections::BTreeMap;
use std::fmt;
use std::net::Ipv4Addr;

use lynxmill_configuration::{Item, TakenVersion};
use lynxmill_protocol::{
    Ballot, Change, Membership, PendingChanges, Register, ShardTable, Slice, Task,
};
use prost::Message;
use serde::{Deserialize, Serialize};

use super::{CHANGES_REGISTER, MEMBERSHIP_REGISTER, SHARD_TABLE_PREFIX};

/// The layout of an export; a newer one is refused.
pub const EXPORT_VERSION: u64 = 1;

/// All that one disk holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DiskExport {
    /// The layout of this export; `EXPORT_VERSION` where this program wrote it.
    pub export_version: u64,
    /// The format of the file; 0 if nothing was ever written to it.
    pub format: u64,
    /// The newest membership that was adopted.
    pub membership: MembershipExport,
    /// Whether the member has a vote.
    pub is_voter: bool,
    /// The last change whose items are merged.
    pub merged: u64,
    /// Items in the order of their keys.
    pub items: Vec<ItemExport>,
    /// Registers in the order of their names.
    pub registers: Vec<RegisterExport>,
    /// Tasks in the order of their ids.
    pub tasks: Vec<TaskExport>,
    /// Facts that this program doesn't know, as hexadecimal digits.
    #[serde(default)]
    pub other_facts: BTreeMap<String, String>,
}

/// The members and the number of their change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MembershipExport {
    /// Rises by one with each change of the members.
    pub epoch: u64,
    /// IPv4 addresses of the members.
    pub addresses: Vec<String>,
}

/// An item of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ItemExport {
    /// The key, such as `r/NAME`.
    pub key: String,
    /// The version, a number.
    pub version: u64,
    /// Whether the item was removed by this version.
    pub dropped: bool,
    /// The operator's JSON without `Version`.
    pub body: String,
    /// Versions of its name that were taken, each with the digest of its content.
    #[serde(default)]
    pub taken: Vec<(u64, u64)>,
}

/// A ballot, ordered by its fields in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct BallotExport {
    /// The count.
    pub count: u64,
    /// The proposer's IPv4 address as a number.
    pub node: u32,
    /// The low half of the proposer's incarnation.
    pub life: u32,
}

impl fmt::Display for BallotExport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BallotExport { count, node, life } = self;
        write!(f, "{count} by {} life {life}", Ipv4Addr::from(*node))
    }
}

/// A register: what was promised, what was accepted and its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RegisterExport {
    /// The name of the register.
    pub name: String,
    /// The highest ballot that was promised.
    pub promised: BallotExport,
    /// The ballot by which the value was accepted.
    pub accepted: BallotExport,
    /// The accepted value.
    pub value: RegisterValue,
}

/// A register's value by what the register is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterValue {
    /// Of the register `calls`.
    PendingChanges {
        /// The number of the last change that was ever agreed.
        last: u64,
        /// The pending changes.
        changes: Vec<ChangeExport>,
    },
    /// Of the register `members`.
    Membership(MembershipExport),
    /// Of a register `berth/SERVICE`.
    ShardTable {
        /// The term of the owner.
        term: u64,
        /// The member that owns the table, by IPv4 address.
        holder: String,
        /// Its slices.
        slices: Vec<SliceExport>,
    },
    /// What this program can't decode in full, as hexadecimal digits.
    Bytes(String),
}

/// A change that is not merged everywhere yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ChangeExport {
    /// The number of the change.
    pub number: u64,
    /// Its items.
    pub items: Vec<ItemExport>,
}

/// A slice of a sharded service: its keys, its stored owner and its generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SliceExport {
    /// The first key.
    pub from: u32,
    /// The last key, included.
    pub to: u32,
    /// The owner's `InstanceId`; empty if there never was one.
    pub owner: String,
    /// The generation.
    pub fence: u64,
}

/// A task as it was last known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TaskExport {
    /// `InstanceId`.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it serves requests, as `IP:PORT`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// How many requests it serves at once.
    pub slots: u32,
    /// 0 ready, 1 draining, 2 gone.
    pub state: i32,
    /// `CallSeq` of its last heartbeat.
    pub call_seq: u64,
    /// How much longer it warmed up, in milliseconds.
    pub cold_left_ms: u32,
    /// Whether it had timed out.
    pub silent: bool,
    /// The version of its software.
    pub version: String,
}

/// Bytes as hexadecimal digits.
pub(super) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Bytes of hexadecimal digits; none if they are not.
pub(super) fn from_hex(digits: &str) -> Option<Vec<u8>> {
    let pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits
        .len()
        .is_multiple_of(2)
        .then(|| digits.as_bytes().chunks(2).map(pair).collect())?
}

impl RegisterValue {
    fn of(register: &Register) -> Self {
        let bytes = register.value.as_slice();
        let value = match register.name.as_str() {
            CHANGES_REGISTER => PendingChanges::decode(bytes)
                .ok()
                .map(|value| Self::from(&value)),
            MEMBERSHIP_REGISTER => Membership::decode(bytes)
                .ok()
                .map(|value| Self::Membership((&value).into())),
            name if name.starts_with(SHARD_TABLE_PREFIX) => ShardTable::decode(bytes)
                .ok()
                .map(|value| Self::from(&value)),
            _ => None,
        };
        // Fields that this program doesn't know are not to be lost.
        value
            .filter(|value| value.bytes() == bytes)
            .unwrap_or_else(|| Self::Bytes(to_hex(bytes)))
    }

    /// The value as it stands on disk.
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Self::PendingChanges { last, changes } => {
                let changes = changes.iter().map(Change::from).collect();
                PendingChanges {
                    last_number: *last,
                    changes,
                }
                .encode_to_vec()
            }
            Self::Membership(members) => Membership::from(members).encode_to_vec(),
            Self::ShardTable {
                term,
                holder,
                slices,
            } => {
                let slices = slices.iter().map(Slice::from).collect();
                ShardTable {
                    term: *term,
                    owner: holder.clone(),
                    slices,
                }
                .encode_to_vec()
            }
            Self::Bytes(digits) => from_hex(digits).unwrap_or_default(),
        }
    }
}

impl From<&PendingChanges> for RegisterValue {
    fn from(value: &PendingChanges) -> Self {
        let change = |change: &Change| ChangeExport {
            number: change.number,
            items: change.items.iter().map(ItemExport::from).collect(),
        };
        Self::PendingChanges {
            last: value.last_number,
            changes: value.changes.iter().map(change).collect(),
        }
    }
}

impl From<&ShardTable> for RegisterValue {
    fn from(value: &ShardTable) -> Self {
        let slice = |slice: &Slice| SliceExport {
            from: slice.from,
            to: slice.to,
            owner: slice.owner.clone(),
            fence: slice.generation,
        };
        let slices = value.slices.iter().map(slice).collect();
        Self::ShardTable {
            term: value.term,
            holder: value.owner.clone(),
            slices,
        }
    }
}

impl From<&ChangeExport> for Change {
    fn from(change: &ChangeExport) -> Self {
        Change {
            number: change.number,
            items: change.items.iter().map(Item::from).collect(),
        }
    }
}

impl From<&SliceExport> for Slice {
    fn from(slice: &SliceExport) -> Self {
        Slice {
            from: slice.from,
            to: slice.to,
            owner: slice.owner.clone(),
            generation: slice.fence,
        }
    }
}

impl From<&Membership> for MembershipExport {
    fn from(members: &Membership) -> Self {
        MembershipExport {
            epoch: members.epoch,
            addresses: members.ips.clone(),
        }
    }
}

impl From<&MembershipExport> for Membership {
    fn from(members: &MembershipExport) -> Self {
        Membership {
            epoch: members.epoch,
            ips: members.addresses.clone(),
        }
    }
}

impl From<&Item> for ItemExport {
    fn from(item: &Item) -> Self {
        let Item {
            key,
            version,
            dropped,
            body,
            history,
        } = item.clone();
        let taken = history
            .into_iter()
            .map(|taken| (taken.version, taken.content))
            .collect();
        ItemExport {
            key,
            version,
            dropped,
            body,
            taken,
        }
    }
}

impl From<&ItemExport> for Item {
    fn from(item: &ItemExport) -> Self {
        let ItemExport {
            key,
            version,
            dropped,
            body,
            taken,
        } = item.clone();
        let history = taken
            .into_iter()
            .map(|(version, content)| TakenVersion { version, content })
            .collect();
        Item {
            key,
            version,
            dropped,
            body,
            history,
        }
    }
}

impl From<Ballot> for BallotExport {
    fn from(
        Ballot {
            count,
            node,
            incarnation,
        }: Ballot,
    ) -> Self {
        BallotExport {
            count,
            node,
            life: incarnation,
        }
    }
}

impl From<BallotExport> for Ballot {
    fn from(
        BallotExport {
            count,
            node,
            life: incarnation,
        }: BallotExport,
    ) -> Self {
        Ballot {
            count,
            node,
            incarnation,
        }
    }
}

impl From<&Register> for RegisterExport {
    fn from(register: &Register) -> Self {
        RegisterExport {
            name: register.name.clone(),
            promised: register.promised.into(),
            accepted: register.accepted.into(),
            value: RegisterValue::of(register),
        }
    }
}

impl From<&RegisterExport> for Register {
    fn from(register: &RegisterExport) -> Self {
        Register {
            name: register.name.clone(),
            promised: register.promised.into(),
            accepted: register.accepted.into(),
            value: register.value.bytes(),
        }
    }
}

impl From<&Task> for TaskExport {
    fn from(task: &Task) -> Self {
        let Task {
            id,
            service,
            address,
            zone,
            slots,
            state,
            call_seq,
            warm_up_left_ms,
            timed_out,
            version,
        } = task.clone();
        TaskExport {
            id,
            service,
            address,
            zone,
            slots,
            state,
            call_seq,
            cold_left_ms: warm_up_left_ms,
            silent: timed_out,
            version,
        }
    }
}

impl From<&TaskExport> for Task {
    fn from(task: &TaskExport) -> Self {
        let TaskExport {
            id,
            service,
            address,
            zone,
            slots,
            state,
            call_seq,
            cold_left_ms: warm_up_left_ms,
            silent: timed_out,
            version,
        } = task.clone();
        Task {
            id,
            service,
            address,
            zone,
            slots,
            state,
            call_seq,
            warm_up_left_ms,
            timed_out,
            version,
        }
    }
}
