//! The database file of a member: tables of items, registers, tasks and single facts.

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use lynxmill_configuration::{Configuration, Item};
use lynxmill_protocol::{Membership, Register, Task};
use prost::Message;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

use crate::group_commit::{GroupCommit, Mergeable, Ticket};

/// The format of the file; a newer one is refused.
pub const FORMAT_VERSION: u64 = 1;

pub(crate) const ITEMS: TableDefinition<&str, &[u8]> = TableDefinition::new("items");
pub(crate) const REGISTERS: TableDefinition<&str, &[u8]> = TableDefinition::new("registers");
pub(crate) const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
pub(crate) const TASKS: TableDefinition<&str, &[u8]> = TableDefinition::new("tasks");
/// Pages that redb keeps in memory, in bytes.
const CACHE_BYTES: usize = 2 << 20;

/// Why the file can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The file was written by a newer version, in this format.
    #[error("the file is of format {0}, this program reads up to {FORMAT_VERSION}")]
    UnsupportedFormat(u64),
    /// The disk or the database has failed; the cause is in the text.
    #[error("the store can't be written: {0}")]
    Disk(String),
    /// A row can't be decoded.
    #[error("the file says what can't be read: {0}")]
    Corrupt(String),
}

impl StorageError {
    fn disk(e: impl Into<redb::Error>) -> Self {
        StorageError::Disk(e.into().to_string())
    }
}

/// What is written in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Items to be set, with their history.
    pub items: Vec<Item>,
    /// Registers to be set.
    pub registers: Vec<Register>,
    /// The membership, if it changed.
    pub members: Option<Membership>,
    /// Tasks as last known: after a start of the whole core they are expected again.
    pub tasks: Vec<Task>,
    /// Tasks to be removed, by `InstanceId`.
    pub removed_tasks: Vec<String>,
    /// The number of the last change whose items are merged.
    pub merged: Option<u64>,
    /// Whether the member has a vote.
    pub is_voter: Option<bool>,
}

impl Mergeable for Batch {
    fn is_empty(&self) -> bool {
        let lists = [
            self.items.len(),
            self.registers.len(),
            self.tasks.len(),
            self.removed_tasks.len(),
        ];
        let facts = self.members.is_some() || self.merged.is_some() || self.is_voter.is_some();
        !facts && lists.iter().all(|length| *length == 0)
    }

    fn merge(&mut self, other: Batch) {
        self.items.extend(other.items);
        self.registers.extend(other.registers);
        self.tasks.extend(other.tasks);
        self.removed_tasks.extend(other.removed_tasks);
        self.members = other.members.or(self.members.take());
        self.merged = other.merged.or(self.merged);
        self.is_voter = other.is_voter.or(self.is_voter);
    }
}

/// All that a file holds.
#[derive(Clone, Debug, Default)]
pub struct DiskContents {
    /// The merged items.
    pub configuration: Configuration,
    /// Registers in the order of their names.
    pub registers: Vec<Register>,
    /// The newest membership that was adopted.
    pub members: Membership,
    /// Tasks as last known.
    pub tasks: Vec<Task>,
    /// The number of the last change whose items are merged.
    pub merged: u64,
    /// Whether the member has a vote.
    pub is_voter: bool,
}

/// An open file, and the queue of batches that are written to it in groups.
pub struct Store {
    path: std::path::PathBuf,
    file: Mutex<Option<Database>>,
    group: GroupCommit<Batch>,
}

fn open(path: &Path) -> Result<Database, StorageError> {
    redb::Builder::new()
        .set_cache_size(CACHE_BYTES)
        .create(path)
        .map_err(StorageError::disk)
}

pub(crate) fn decode_number(bytes: &[u8]) -> Result<u64, StorageError> {
    let read = bytes.try_into().map(u64::from_be_bytes);
    read.map_err(|_| StorageError::Corrupt("a number".to_owned()))
}

impl Store {
    /// Opens the file, or creates it, and reads all of it.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the file is of a newer format, can't be decoded, or the disk fails.
    pub fn open(path: &Path) -> Result<(Store, DiskContents), StorageError> {
        let file = open(path)?;
        let held = load(&file)?;
        let store = Store {
            path: path.to_owned(),
            file: Mutex::new(Some(file)),
            group: GroupCommit::default(),
        };
        Ok((store, held))
    }

    /// Queues a batch behind those before it; [`Store::wait`] tells when it is on disk.
    pub fn enqueue(&self, batch: Batch) -> Ticket {
        self.group.enqueue(batch)
    }

    /// Writes a batch together with what is queued; returns at once if both are empty.
    ///
    /// # Errors
    ///
    /// [`StorageError::Disk`] if it could not be written.
    pub fn flush(&self, batch: Batch) -> Result<(), StorageError> {
        self.group
            .enqueue_unless_empty(batch)
            .map_or(Ok(()), |ticket| self.wait(ticket))
    }

    /// Writes a batch and returns once it is on disk.
    ///
    /// # Errors
    ///
    /// [`StorageError::Disk`] if it could not be written.
    pub fn write(&self, batch: Batch) -> Result<(), StorageError> {
        self.wait(self.enqueue(batch))
    }

    /// Returns once the batch of this ticket is on disk.
    ///
    /// # Errors
    ///
    /// [`StorageError::Disk`] if it could not be written.
    pub fn wait(&self, ticket: Ticket) -> Result<(), StorageError> {
        let commit = |batch: &Batch| self.commit(batch).map_err(|error| error.to_string());
        self.group.wait(ticket, commit).map_err(StorageError::Disk)
    }

    fn commit(&self, batch: &Batch) -> Result<(), StorageError> {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // After a failed write the file has to be opened anew.
        if file.is_none() {
            *file = Some(open(&self.path)?);
        }
        let Some(database) = file.as_ref() else {
            return Ok(());
        };
        let written = write_batch(database, batch);
        if written.is_err() {
            *file = None;
        }
        written
    }
}

fn write_batch(file: &Database, batch: &Batch) -> Result<(), StorageError> {
    let write = file.begin_write().map_err(StorageError::disk)?;
    {
        let mut items = write.open_table(ITEMS).map_err(StorageError::disk)?;
        for item in &batch.items {
            items
                .insert(item.key.as_str(), item.encode_to_vec().as_slice())
                .map_err(StorageError::disk)?;
        }
        let mut registers = write.open_table(REGISTERS).map_err(StorageError::disk)?;
        for register in &batch.registers {
            let bytes = register.encode_to_vec();
            registers
                .insert(register.name.as_str(), bytes.as_slice())
                .map_err(StorageError::disk)?;
        }
        let mut tasks = write.open_table(TASKS).map_err(StorageError::disk)?;
        for task in &batch.tasks {
            tasks
                .insert(task.id.as_str(), task.encode_to_vec().as_slice())
                .map_err(StorageError::disk)?;
        }
        for id in &batch.removed_tasks {
            tasks.remove(id.as_str()).map_err(StorageError::disk)?;
        }
        let mut facts = write.open_table(FACTS).map_err(StorageError::disk)?;
        let mut fact = |name, bytes: &[u8]| {
            facts
                .insert(name, bytes)
                .map(drop)
                .map_err(StorageError::disk)
        };
        fact("format", &FORMAT_VERSION.to_be_bytes())?;
        if let Some(members) = &batch.members {
            fact("members", &members.encode_to_vec())?;
        }
        if let Some(merged) = batch.merged {
            fact("merged", &merged.to_be_bytes())?;
        }
        if let Some(is_voter) = batch.is_voter {
            fact("counts", &u64::from(is_voter).to_be_bytes())?;
        }
    }
    write.commit().map_err(StorageError::disk)
}

fn load(file: &Database) -> Result<DiskContents, StorageError> {
    // A file that was just made has no tables yet.
    let write = file.begin_write().map_err(StorageError::disk)?;
    write.open_table(ITEMS).map_err(StorageError::disk)?;
    write.open_table(REGISTERS).map_err(StorageError::disk)?;
    write.open_table(FACTS).map_err(StorageError::disk)?;
    write.open_table(TASKS).map_err(StorageError::disk)?;
    write.commit().map_err(StorageError::disk)?;
    let read = file.begin_read().map_err(StorageError::disk)?;
    let facts = read.open_table(FACTS).map_err(StorageError::disk)?;
    let fact = |name: &str| -> Result<Option<Vec<u8>>, StorageError> {
        Ok(facts
            .get(name)
            .map_err(StorageError::disk)?
            .map(|value| value.value().to_vec()))
    };
    let corrupt = |e: prost::DecodeError| StorageError::Corrupt(e.to_string());
    let mut contents = DiskContents::default();
    if let Some(format) = fact("format")? {
        let format = decode_number(&format)?;
        if format > FORMAT_VERSION {
            return Err(StorageError::UnsupportedFormat(format));
        }
    }
    if let Some(members) = fact("members")? {
        contents.members = Membership::decode(members.as_slice()).map_err(corrupt)?;
    }
    contents.merged = fact("merged")?.map_or(Ok(0), |bytes| decode_number(&bytes))?;
    contents.is_voter = fact("counts")?.map_or(Ok(0), |bytes| decode_number(&bytes))? == 1;
    let items = read.open_table(ITEMS).map_err(StorageError::disk)?;
    for row in items.iter().map_err(StorageError::disk)? {
        let (_, value) = row.map_err(StorageError::disk)?;
        contents
            .configuration
            .merge(&Item::decode(value.value()).map_err(corrupt)?);
    }
    let registers = read.open_table(REGISTERS).map_err(StorageError::disk)?;
    for row in registers.iter().map_err(StorageError::disk)? {
        let (_, value) = row.map_err(StorageError::disk)?;
        contents
            .registers
            .push(Register::decode(value.value()).map_err(corrupt)?);
    }
    let tasks = read.open_table(TASKS).map_err(StorageError::disk)?;
    for row in tasks.iter().map_err(StorageError::disk)? {
        let (_, value) = row.map_err(StorageError::disk)?;
        contents
            .tasks
            .push(Task::decode(value.value()).map_err(corrupt)?);
    }
    Ok(contents)
}
