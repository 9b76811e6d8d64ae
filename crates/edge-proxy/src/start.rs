//! The command line and the settings file.

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

/// The settings file that the process was told of.
pub fn path() -> Option<PathBuf> {
    settings_path(named_path()).ok()
}

fn settings() -> Result<NodeSettings, StartError> {
    read_settings(&settings_path(named_path())?)
}

/// Reads what it is told again.
pub fn reread() -> Result<NodeSettings, String> {
    settings().map_err(|fault| fault.to_string())
}

/// Reads the command line and the settings file and starts the log, or ends after a check.
pub fn read() -> Result<NodeSettings, String> {
    let flags = LynxmillEdgeProxy::from_env_or_exit();
    let settings = reread()?;
    begin(&settings, flags.check).map_err(|fault| fault.to_string())?;
    Ok(settings)
}
