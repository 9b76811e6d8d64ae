//! The command line, the settings file and the log.

use std::path::PathBuf;

use lynxmill_configuration::NodeSettings;

const FILE: &str = "LYNXMILL_NODE_FILE";

xflags::xflags! {
    /// lynxmill's edge: carries clients' requests to tasks.
    cmd lynxmill-edge-proxy {
        /// The settings file; without it the one that LYNXMILL_NODE_FILE names.
        optional --settings path: PathBuf
        /// Checks the settings file and ends.
        optional --check
    }
}

/// The settings file that the process was told of.
pub fn path() -> Option<PathBuf> {
    let named = LynxmillEdgeProxy::from_env().ok().and_then(|flags| flags.settings);
    named.or_else(|| std::env::var_os(FILE).map(PathBuf::from))
}

fn local(path: &PathBuf) -> Result<NodeSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    lynxmill_configuration::local(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads what it is told again.
pub fn again() -> Result<NodeSettings, String> {
    local(&path().ok_or_else(|| format!("no settings file: name it by --settings or {FILE}"))?)
}

/// Reads the command line and the settings file, and starts the log.
pub fn read() -> Result<NodeSettings, String> {
    let flags = LynxmillEdgeProxy::from_env_or_exit();
    let local = again()?;
    if flags.check {
        println!("the settings of {} are in order", local.node_name);
        std::process::exit(0);
    }
    flexi_logger::Logger::try_with_env_or_str("info")
        .and_then(|logger| logger.log_to_stderr().format(flexi_logger::opt_format).start())
        .map_err(|e| format!("the log can't be started: {e}"))?;
    Ok(local)
}
