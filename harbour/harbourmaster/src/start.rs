//! The command line, the settings file and the log.

use std::path::PathBuf;

use lynxmill_manifest::Local;

const FILE: &str = "LYNXMILL_NODE_FILE";

xflags::xflags! {
    /// lynxmill's control plane: beats, configuration, evacuations, placement, directory.
    cmd harbourmaster {
        /// The settings file; without it the one that LYNXMILL_NODE_FILE names.
        optional --settings path: PathBuf
        /// Checks the settings file and ends.
        optional --check
    }
}

pub fn read() -> Result<Local, String> {
    let flags = Harbourmaster::from_env_or_exit();
    let named = flags.settings.or_else(|| std::env::var_os(FILE).map(PathBuf::from));
    let path = named.ok_or_else(|| format!("no settings file: name it by --settings or {FILE}"))?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let local = lynxmill_manifest::local(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    if local.data_path.is_none() {
        return Err(format!("{}: DataPath is missing: the control state needs a disk", path.display()));
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
