//! What each program of the system does first: it finds its settings file, reads and checks it, starts its
//! log.

use std::io;
use std::path::{Path, PathBuf};

use flexi_logger::{FlexiLoggerError, Logger};
use lynxmill_configuration::NodeSettings;

/// The environment variable that names the settings file where the command line doesn't.
pub const SETTINGS_VARIABLE: &str = "LYNXMILL_NODE_FILE";
/// What is logged unless `RUST_LOG` says otherwise.
const LOG_LEVEL: &str = "info";

/// Why a program can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The variable that names the settings file is not set.
    #[error("no settings file: name it by --settings or {SETTINGS_VARIABLE}")]
    NoSettingsFile,
    /// The settings file can't be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, io::Error),
    /// The settings file says what is not valid.
    #[error("{0}: {1}")]
    Invalid(PathBuf, String),
    /// The log can't be set up.
    #[error("the log can't be started: {0}")]
    Log(#[from] FlexiLoggerError),
}

/// Why a program can't serve; the text names the address, thread or signal.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// An address can't be listened on.
    #[error("{0}: {1}")]
    Listen(String, Box<dyn std::error::Error + Send + Sync>),
    /// A thread can't be started.
    #[error("no thread for {0}: {1}")]
    Thread(String, io::Error),
    /// A signal handler can't be installed.
    #[error("{0}: {1}")]
    Signal(&'static str, io::Error),
}

/// The settings file: the one that the command line names, else the one of the environment.
///
/// # Errors
///
/// [`StartError::NoSettingsFile`] if neither names one.
pub fn settings_path(named: Option<PathBuf>) -> Result<PathBuf, StartError> {
    let path = named.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    path.ok_or(StartError::NoSettingsFile)
}

/// What the settings file says now, checked.
///
/// # Errors
///
/// [`StartError`] if the file can not be read or is not valid.
pub fn read_settings(path: &Path) -> Result<NodeSettings, StartError> {
    let text = std::fs::read_to_string(path)
        .map_err(|fault| StartError::Unreadable(path.into(), fault))?;
    lynxmill_configuration::parse(&text).map_err(|faults| StartError::Invalid(path.into(), faults))
}

/// Starts the log to standard error. If only a check was asked for, tells that the settings are in order and
/// ends the program.
///
/// # Errors
///
/// [`StartError::Log`] if the log can not be opened.
pub fn begin(settings: &NodeSettings, check_only: bool) -> Result<(), StartError> {
    if check_only {
        println!("the settings of {} are in order", settings.node_name);
        std::process::exit(0);
    }
    let logger = Logger::try_with_env_or_str(LOG_LEVEL)?;
    logger
        .log_to_stderr()
        .format(flexi_logger::opt_format)
        .start()?;
    Ok(())
}
