//! How a command ends: exit codes that scripts can tell apart.

use std::fmt;
use std::process::ExitCode;

pub(crate) const HELP: &str = "Exit codes: 0 done, 1 anything else, 2 a wrong command line, 3 a bad day, 4 a bad setting, \
5 a rule broken, \
6 an order refused.";

#[derive(Debug)]
pub(crate) enum CliError {
    Other(String),
    BadDay(String),
    BadSetting(String),
}

/// A play in which a rule was broken has ended well, but counts for nothing.
pub(crate) const RULE_BROKEN: u8 = 5;

impl CliError {
    pub(crate) fn code(&self) -> ExitCode {
        match self {
            CliError::Other(_) => ExitCode::from(1),
            CliError::BadDay(_) => ExitCode::from(3),
            CliError::BadSetting(_) => ExitCode::from(4),
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (CliError::Other(text) | CliError::BadDay(text) | CliError::BadSetting(text)) = self;
        f.write_str(text)
    }
}

pub(crate) fn other(e: impl fmt::Display) -> CliError {
    CliError::Other(e.to_string())
}
