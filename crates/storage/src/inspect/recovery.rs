//! A new disk made of what was exported from the disks that are left, after a majority was lost for good.
//! Nothing that the lost members acknowledged or granted can be taken for something newer: epoch, ballots,
//! change numbers, terms and generations all rise by a step that those can't have made.

use std::collections::BTreeSet;
use std::fmt;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use super::merge::Recovery;
use super::{
    DiskExport, EXPORT_VERSION, FILE_NAME, InspectError, Inspection, ItemExport, MembershipExport,
    RegisterExport, inspect,
};
use crate::store::{Batch, StorageError, Store};

/// The new epoch is by so much above all that were seen: members of older ones are refused.
pub const EPOCH_STEP: u64 = 1_000;
/// Ballots, change numbers, terms, generations and versions of evacuations rise by so much.
pub const FENCE_STEP: u64 = 1_000_000;

/// Why no recovery can be planned or written.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// No export was given.
    #[error("no export is named")]
    NoExport,
    /// An export was written by a newer version, in this format.
    #[error("{0} is of export version {1}, this program reads up to {EXPORT_VERSION}")]
    NewerExport(String, u64),
    /// A name is no IPv4 address.
    #[error("member {0} is no IPv4 address")]
    NoAddress(String),
    /// A member is named twice.
    #[error("member {0} is named twice")]
    TwiceNamed(String),
    /// The node is not among the members.
    #[error("node {0} is not among the members")]
    NoMember(String),
    /// No export holds a readable shard table of this service.
    #[error(
        "no export holds a shard table of {0} that can be read: its generations would begin anew"
    )]
    NoShardTable(String),
    /// A number is so high that it can't be raised.
    #[error("a number can't be raised by {FENCE_STEP}: it is {0}")]
    TooHigh(u64),
    /// The folder holds a disk already.
    #[error("{0} is there and not empty: a new folder is needed")]
    FolderTaken(PathBuf),
    /// The disk that was written is not as planned.
    #[error("what was written has a fault: {0}")]
    Faulty(String),
    /// The folder can't be made.
    #[error(transparent)]
    Folder(#[from] std::io::Error),
    /// The disk can't be written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The disk that was written can't be read.
    #[error(transparent)]
    Inspect(#[from] InspectError),
}

/// An export of a disk that is left, under the name that it is told by.
#[derive(Clone, Debug)]
pub struct SurvivingDisk {
    /// The node's IPv4 address.
    pub name: String,
    /// What its disk holds.
    pub export: DiskExport,
}

/// For which node the disk is, and who the members are to be.
#[derive(Clone, Debug)]
pub struct RecoveryRequest {
    /// The node that the new disk is for.
    pub node: String,
    /// The members of the recovered core.
    pub members: Vec<String>,
}

/// What a line of a plan is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteKind {
    /// It is on the new disk.
    Kept,
    /// It can't be told whether it was acknowledged, or whether more was.
    Uncertain,
    /// It is not on the new disk.
    Lost,
    /// What the operator has to see to.
    Needed,
}

/// A line of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryNote {
    /// What the note is about.
    pub kind: NoteKind,
    /// For the operator.
    pub text: String,
}

impl fmt::Display for RecoveryNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            NoteKind::Kept => "kept",
            NoteKind::Uncertain => "uncertain",
            NoteKind::Lost => "lost",
            NoteKind::Needed => "needed",
        };
        write!(f, "{kind}: {}", self.text)
    }
}

/// What a new disk is to hold, and what is to be known of it.
#[derive(Clone, Debug, Default)]
pub struct RecoveryPlan {
    /// What the new disk will hold.
    pub batch: Batch,
    /// What the operator has to know.
    pub notes: Vec<RecoveryNote>,
}

/// Merges exports into the content of a new disk; nothing is written.
///
/// # Errors
///
/// [`RecoveryError`] if the exports or the request do not fit together.
pub fn plan_recovery(
    disks: &[SurvivingDisk],
    request: &RecoveryRequest,
) -> Result<RecoveryPlan, RecoveryError> {
    check_request(disks, request)?;
    let mut sorted: Vec<&SurvivingDisk> = disks.iter().collect();
    // Of two contents under one version the one of who had merged further stays.
    sorted.sort_by_key(|disk| std::cmp::Reverse(disk.export.merged));
    let mut recovery = Recovery::new(sorted)?;
    recovery.note_disks();
    recovery.merge_items();
    recovery.merge_changes();
    recovery.check_configuration();
    recovery.raise_own_items()?;
    recovery.write_changes_register()?;
    recovery.merge_shard_tables()?;
    recovery.write_membership(request)?;
    recovery.merge_tasks();
    recovery.note_what_is_needed(request);
    Ok(recovery.finish())
}

fn check_request(disks: &[SurvivingDisk], request: &RecoveryRequest) -> Result<(), RecoveryError> {
    if disks.is_empty() {
        return Err(RecoveryError::NoExport);
    }
    if let Some(newer) = disks
        .iter()
        .find(|disk| disk.export.export_version > EXPORT_VERSION)
    {
        return Err(RecoveryError::NewerExport(
            newer.name.clone(),
            newer.export.export_version,
        ));
    }
    let mut named = BTreeSet::new();
    for member in &request.members {
        if member.parse::<Ipv4Addr>().is_err() {
            return Err(RecoveryError::NoAddress(member.clone()));
        }
        if !named.insert(member) {
            return Err(RecoveryError::TwiceNamed(member.clone()));
        }
    }
    if !named.contains(&request.node) {
        return Err(RecoveryError::NoMember(request.node.clone()));
    }
    Ok(())
}

/// Writes a plan to a new data folder, and reads it back.
///
/// # Errors
///
/// [`RecoveryError`] if the folder is taken or the disk can not be written.
pub fn write_recovery(plan: &RecoveryPlan, folder: &Path) -> Result<(), RecoveryError> {
    std::fs::create_dir_all(folder)?;
    if std::fs::read_dir(folder)?.next().is_some() {
        return Err(RecoveryError::FolderTaken(folder.to_owned()));
    }
    let path = folder.join(FILE_NAME);
    let (store, _) = Store::open(&path)?;
    store.write(plan.batch.clone())?;
    drop(store);
    // The file's name has to outlive a loss of power as well.
    std::fs::File::open(folder)?.sync_all()?;
    check_written(plan, &inspect(&path)?)
}

fn check_written(plan: &RecoveryPlan, found: &Inspection) -> Result<(), RecoveryError> {
    if let Some(fault) = found.faults.first() {
        return Err(RecoveryError::Faulty(fault.text.clone()));
    }
    let (batch, export) = (&plan.batch, &found.export);
    let mut registers: Vec<RegisterExport> =
        batch.registers.iter().map(RegisterExport::from).collect();
    registers.sort_by(|one, other| one.name.cmp(&other.name));
    let items: Vec<ItemExport> = batch.items.iter().map(ItemExport::from).collect();
    let is_same = items == export.items
        && registers == export.registers
        && batch.members.as_ref().map(MembershipExport::from).as_ref() == Some(&export.membership)
        && batch.merged == Some(export.merged)
        && export.is_voter;
    let differs = || RecoveryError::Faulty("it reads back other than it was written".to_owned());
    is_same.then_some(()).ok_or_else(differs)
}
