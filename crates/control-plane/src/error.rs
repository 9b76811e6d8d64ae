//! Why the program can't start or go on.

use std::io;

use lynxmill_startup::{ServeError, StartError};
use lynxmill_storage::StorageError;

/// Why the program ends before it is told to; the text names the file or address.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProgramError {
    /// The settings file can't be used, or the log can't be opened.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The settings file names no disk.
    #[error("DataPath is missing: the control state needs a disk")]
    NoDataPath,
    /// The folder of the database can't be created.
    #[error("{0}: {1}")]
    Folder(String, io::Error),
    /// The database can't be opened.
    #[error("{0}: {1}")]
    Database(String, StorageError),
    /// An address can't be listened on, or a thread or a signal handler is missing.
    #[error(transparent)]
    Serve(#[from] ServeError),
}
