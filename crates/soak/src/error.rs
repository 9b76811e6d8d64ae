//! Why a soak could not be run.

use crate::settings::SettingsError;

/// Why a soak could not be run; a broken rule is a report, not an error.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The settings are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The system could not be started or told to do something.
    #[error("the system: {0}")]
    Deployment(String),
    /// The runtime or a listener of our own is missing.
    #[error("a part of the soak can't run: {0}")]
    Io(#[from] std::io::Error),
}
