//! `lynxmill system`: its words go to a parser of its own.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Args;

use crate::end::CliError;

#[derive(Args)]
#[command(disable_help_flag = true)]
pub(crate) struct SystemArgs {
    /// check, show, plan, disk or try, and their words; `--help` tells of each.
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    words: Vec<OsString>,
}

pub(crate) fn run(args: SystemArgs) -> Result<ExitCode, CliError> {
    Ok(ExitCode::from(lynxmill_operator::run(args.words)))
}
