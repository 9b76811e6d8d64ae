//! The command line and the settings file.

use std::path::PathBuf;

use lynxmill_configuration::NodeSettings;
use lynxmill_startup::{StartError, begin, read_settings, settings_path};

use crate::error::ProgramError;

xflags::xflags! {
    /// lynxmill's control plane: heartbeats, configuration, evacuations, placement, directory.
    cmd lynxmill-control-plane {
        /// The settings file; without it the one that LYNXMILL_NODE_FILE names.
        optional --settings path: PathBuf
        /// Checks the settings file and ends.
        optional --check
    }
}

/// The path of the settings file.
pub(crate) fn path() -> Result<PathBuf, StartError> {
    let named = LynxmillControlPlane::from_env()
        .ok()
        .and_then(|flags| flags.settings);
    settings_path(named)
}

/// The settings file as it is now.
pub(crate) fn read_current() -> Result<NodeSettings, StartError> {
    read_settings(&path()?)
}

/// Reads the settings file and opens the log, or ends the process after a check.
pub(crate) fn read() -> Result<NodeSettings, ProgramError> {
    let flags = LynxmillControlPlane::from_env_or_exit();
    let settings = read_current()?;
    if settings.data_path.is_none() {
        return Err(ProgramError::NoDataPath);
    }
    begin(&settings, flags.check)?;
    Ok(settings)
}
