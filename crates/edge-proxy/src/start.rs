//! The command line and the settings file.

// Of the parser that xflags generates.
#![allow(missing_docs)]

use std::path::PathBuf;

use lynxmill_configuration::NodeSettings;
use lynxmill_startup::{StartError, begin, read_settings, settings_path};

xflags::xflags! {
    /// lynxmill's edge: carries clients' requests to tasks.
    cmd lynxmill-edge-proxy {
        /// The settings file; without it the one that LYNXMILL_NODE_FILE names.
        optional --settings path: PathBuf
        /// Checks the settings file and ends.
        optional --check
    }
}

fn named_path() -> Option<PathBuf> {
    LynxmillEdgeProxy::from_env()
        .ok()
        .and_then(|flags| flags.settings)
}

/// The path of the settings file.
pub(crate) fn path() -> Option<PathBuf> {
    settings_path(named_path()).ok()
}

/// Reads the settings file as it is now.
pub(crate) fn reread() -> Result<NodeSettings, StartError> {
    read_settings(&settings_path(named_path())?)
}

/// Reads the command line and the settings file and opens the log, or ends the process after a check.
///
/// # Errors
///
/// [`StartError`] if the settings file can't be read or is not valid, or the log can't be opened.
pub fn read() -> Result<NodeSettings, StartError> {
    let flags = LynxmillEdgeProxy::from_env_or_exit();
    let settings = reread()?;
    begin(&settings, flags.check)?;
    Ok(settings)
}
