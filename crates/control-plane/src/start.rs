//! The command line and the settings file.

use std::path::PathBuf;

use lynxmill_configuration::NodeSettings;
use lynxmill_startup::{begin, read_settings, settings_path};

xflags::xflags! {
    /// lynxmill's control plane: beats, configuration, evacuations, placement, directory.
    cmd lynxmill-control-plane {
        /// The settings file; without it the one that LYNXMILL_NODE_FILE names.
        optional --settings path: PathBuf
        /// Checks the settings file and ends.
        optional --check
    }
}

/// The settings file that the process was told of.
pub fn path() -> Result<PathBuf, String> {
    let named = LynxmillControlPlane::from_env()
        .ok()
        .and_then(|flags| flags.settings);
    settings_path(named).map_err(|fault| fault.to_string())
}

/// What the settings file says now.
pub fn local() -> Result<NodeSettings, String> {
    read_settings(&path()?).map_err(|fault| fault.to_string())
}

/// Reads the settings file and starts the log, or ends after a check.
pub fn read() -> Result<NodeSettings, String> {
    let flags = LynxmillControlPlane::from_env_or_exit();
    let settings = local()?;
    if settings.data_path.is_none() {
        return Err("DataPath is missing: the control state needs a disk".to_owned());
    }
    begin(&settings, flags.check).map_err(|fault| fault.to_string())?;
    Ok(settings)
}
