//! Looks into the file of one control-plane node without changing it: a temporary copy is opened, as opening
//! a file may repair it. What is read can be verified, exported as JSON, and made into a new disk.

mod export;
mod merge;
mod recovery;
mod verify;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use lynxmill_configuration::Item;
use lynxmill_protocol::{Membership, Register, Task};
use prost::Message;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableError};

pub use export::{
    BallotExport, ChangeExport, DiskExport, EXPORT_VERSION, ItemExport, MembershipExport,
    RegisterExport, RegisterValue, SliceExport, TaskExport,
};
pub use recovery::{
    EPOCH_STEP, FENCE_STEP, NoteKind, RecoveryError, RecoveryNote, RecoveryPlan, RecoveryRequest,
    SurvivingDisk, plan_recovery, write_recovery,
};
pub use verify::{Finding, verify};

use crate::store::{FACTS, FORMAT_VERSION, ITEMS, REGISTERS, TASKS, decode_number};

/// The name of the file in a control-plane node's data folder.
pub const FILE_NAME: &str = "control.redb";
/// The register of the changes that are not merged everywhere yet.
pub const CHANGES_REGISTER: &str = "calls";
/// The register of the members.
pub const MEMBERSHIP_REGISTER: &str = "members";
/// Registers of shard tables are named by this and the service.
pub const SHARD_TABLE_PREFIX: &str = "berth/";

/// Why nothing can be read of a file.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// The file can't be copied for reading.
    #[error("no temporary copy can be made: {0}")]
    Copy(#[from] std::io::Error),
    /// The file was written by a newer version, in this format.
    #[error("the file is of format {0}, this program reads up to {FORMAT_VERSION}")]
    NewerFormat(u64),
    /// The file is no database, or the disk fails.
    #[error("it is no store, or damaged beyond repair: {0}")]
    Unreadable(String),
}

impl InspectError {
    fn unreadable(fault: impl Into<redb::Error>) -> Self {
        InspectError::Unreadable(fault.into().to_string())
    }
}

/// What a file holds, and rows of it that can't be read, which the export lacks.
#[derive(Clone, Debug, Default)]
pub struct Inspection {
    /// What could be read.
    pub export: DiskExport,
    /// What could not be read.
    pub faults: Vec<Finding>,
}

/// A row as it stands on disk.
struct RawRow {
    key: String,
    value: Vec<u8>,
}

/// Reads a file by a temporary copy of it.
///
/// # Errors
///
/// [`InspectError`] if the file can not be copied or is no database of a known format.
pub fn inspect(path: &Path) -> Result<Inspection, InspectError> {
    let folder = tempfile::tempdir()?;
    let copy = folder.path().join(FILE_NAME);
    std::fs::copy(path, &copy)?;
    // The library may panic on pages that were garbled.
    let read = catch_unwind(AssertUnwindSafe(|| read_copy(&copy)));
    read.unwrap_or_else(|_| {
        Err(InspectError::Unreadable(
            "its pages don't fit together".to_owned(),
        ))
    })
}

fn read_copy(copy: &Path) -> Result<Inspection, InspectError> {
    let mut file = Database::open(copy).map_err(InspectError::unreadable)?;
    let export = DiskExport {
        export_version: EXPORT_VERSION,
        ..DiskExport::default()
    };
    let mut found = Inspection {
        export,
        faults: Vec::new(),
    };
    read_facts(&rows(&file, FACTS)?, &mut found)?;
    found.export.items = decoded(
        &rows(&file, ITEMS)?,
        "items",
        &mut found.faults,
        |item: &Item| &item.key,
    )
    .iter()
    .map(ItemExport::from)
    .collect();
    let registers = rows(&file, REGISTERS)?;
    found.export.registers = decoded(
        &registers,
        "registers",
        &mut found.faults,
        |register: &Register| &register.name,
    )
    .iter()
    .map(RegisterExport::from)
    .collect();
    found.export.tasks = decoded(
        &rows(&file, TASKS)?,
        "tasks",
        &mut found.faults,
        |task: &Task| &task.id,
    )
    .iter()
    .map(TaskExport::from)
    .collect();
    match file.check_integrity() {
        Ok(true) => {}
        Ok(false) => found.faults.push(Finding::fault(
            "the file's pages had to be repaired".to_owned(),
        )),
        Err(fault) => found
            .faults
            .push(Finding::fault(format!("the file's pages: {fault}"))),
    }
    Ok(found)
}

fn rows(file: &Database, table: TableDefinition<&str, &[u8]>) -> Result<Vec<RawRow>, InspectError> {
    let read = file.begin_read().map_err(InspectError::unreadable)?;
    let table = match read.open_table(table) {
        Ok(table) => table,
        // Tables come with the first write.
        Err(TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
        Err(fault) => return Err(InspectError::unreadable(fault)),
    };
    let mut rows = Vec::new();
    for row in table.iter().map_err(InspectError::unreadable)? {
        let (key, value) = row.map_err(InspectError::unreadable)?;
        rows.push(RawRow {
            key: key.value().to_owned(),
            value: value.value().to_vec(),
        });
    }
    Ok(rows)
}

/// Messages of all rows that can be decoded and stand under their own name; a fault for each other row.
fn decoded<M: Message + Default>(
    rows: &[RawRow],
    table: &str,
    faults: &mut Vec<Finding>,
    name: impl Fn(&M) -> &String,
) -> Vec<M> {
    let mut messages = Vec::new();
    for RawRow { key, value } in rows {
        match M::decode(value.as_slice()) {
            Ok(message) if name(&message) == key => messages.push(message),
            Ok(message) => {
                let told = format!("table {table}, row {key}: it holds {}", name(&message));
                faults.push(Finding::fault(told));
            }
            Err(fault) => faults.push(Finding::fault(format!("table {table}, row {key}: {fault}"))),
        }
    }
    messages
}

fn read_facts(rows: &[RawRow], found: &mut Inspection) -> Result<(), InspectError> {
    for RawRow { key, value } in rows {
        let (export, faults) = (&mut found.export, &mut found.faults);
        let mut wrong =
            |why: String| faults.push(Finding::fault(format!("table facts, row {key}: {why}")));
        match (key.as_str(), decode_number(value)) {
            ("format", Ok(format)) if format > FORMAT_VERSION => {
                return Err(InspectError::NewerFormat(format));
            }
            ("format", Ok(format)) => export.format = format,
            ("merged", Ok(merged)) => export.merged = merged,
            ("counts", Ok(voter @ 0..=1)) => export.is_voter = voter == 1,
            ("counts", Ok(voter)) => wrong(format!("{voter} is neither 0 nor 1")),
            ("members", _) => match Membership::decode(value.as_slice()) {
                Ok(members) => export.membership = MembershipExport::from(&members),
                Err(fault) => wrong(fault.to_string()),
            },
            ("format" | "merged" | "counts", Err(_)) => {
                wrong("it is no number of eight bytes".to_owned())
            }
            _ => drop(
                export
                    .other_facts
                    .insert(key.clone(), export::to_hex(value)),
            ),
        }
    }
    Ok(())
}
