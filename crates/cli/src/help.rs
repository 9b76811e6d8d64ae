//! What the command line tells of itself: completions and manual pages.

use std::path::Path;
use std::process::ExitCode;

use clap::Command;
use clap_complete::Shell;

use crate::end::{CliError, other};

pub(crate) fn completions(shell: Shell, line: &mut Command) -> Result<ExitCode, CliError> {
    clap_complete::generate(shell, line, "lynxmill", &mut std::io::stdout());
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn pages(folder: &Path, line: &Command) -> Result<ExitCode, CliError> {
    std::fs::create_dir_all(folder).map_err(|e| other(format!("{}: {e}", folder.display())))?;
    let named = |e| other(format!("{}: {e}", folder.display()));
    clap_mangen::generate_to(line.clone(), folder).map_err(named)?;
    Ok(ExitCode::SUCCESS)
}
