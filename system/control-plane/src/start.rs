//! The command line, the settings file and the log.

use std::path::PathBuf;

use lynxmill_configuration::NodeSettings;

const FILE: &str = "LYNXMILL_NODE_FILE";

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
    let named = LynxmillControlPlane::from_env().ok().and_then(|flags| flags.settings);
    let named = named.or_else(|| std::env::var_os(FILE).map(PathBuf::from));
    named.ok_or_else(|| format!("no settings file: name it by --settings or {FILE}"))
}

/// What the settings file says now.
pub fn local() -> Result<NodeSettings, String> {
    let path = path()?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    lynxmill_configuration::local(&text).map_err(|e| format!("{}: {e}", path.display()))
}

pub fn read() -> Result<NodeSettings, String> {
    let flags = LynxmillControlPlane::from_env_or_exit();
    let local = local()?;
    if local.data_path.is_none() {
        return Err("DataPath is missing: the control state needs a disk".to_owned());
    }
    if flags.check {
        println!("the settings of {} are in order", local.node_name);
        std::process::exit(0);
    }
    flexi_logger::Logger::try_with_env_or_str("info")
        .and_then(|logger| logger.log_to_stderr().format(flexi_logger::opt_format).start())
        .map_err(|e| format!("the log can't be started: {e}"))?;
    Ok(local)
}
