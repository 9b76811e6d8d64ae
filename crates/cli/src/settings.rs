//! `lynxmill settings`: files of the daemon and the forwarder against their schemas, before they are to be read.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand, ValueEnum};
use lynxmill_settings::{Checked, DAEMON, FORWARDER, Schema, compare, daemon, forwarder, render};
use serde_json::Value;

use crate::end::{CliError, other};

/// Whose file.
#[derive(Clone, Copy, ValueEnum)]
enum SettingsProgram {
    Lynxmilld,
    Lynxforward,
}

impl SettingsProgram {
    fn schema(self) -> (&'static Schema, &'static str) {
        match self {
            SettingsProgram::Lynxmilld => (daemon(), DAEMON),
            SettingsProgram::Lynxforward => (forwarder(), FORWARDER),
        }
    }
}

#[derive(Args)]
pub(crate) struct SettingsArgs {
    /// Whose files they are.
    #[arg(long, value_enum, default_value = "lynxmilld", global = true)]
    of: SettingsProgram,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Tells all that is wrong with files, by line and column.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// A file as it is in force: every field, what it is for, and which are defaults.
    Show {
        file: PathBuf,
        /// As the JSON that the platform's form is.
        #[arg(long)]
        json: bool,
    },
    /// Where two files differ, and which differences take a restart.
    Diff { before: PathBuf, after: PathBuf },
    /// What a file may have.
    Schema {
        /// As JSON Schema, for editors.
        #[arg(long)]
        json: bool,
    },
}

fn read(schema: &Schema, file: &Path) -> Result<Checked, CliError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| other(format!("{name}: {e}")))?;
    schema.check(&text).map_err(|faults| {
        let word = if faults.len() == 1 { "fault" } else { "faults" };
        let shown = render(&name, &text, &faults);
        CliError::BadSetting(format!(
            "{name}: {} {word}\n{}",
            faults.len(),
            shown.trim_end()
        ))
    })
}

fn told(of: &Option<Value>) -> String {
    of.as_ref()
        .map_or_else(|| "nothing".to_owned(), Value::to_string)
}

pub(crate) fn run(args: &SettingsArgs) -> Result<ExitCode, CliError> {
    let (schema, text) = args.of.schema();
    match &args.command {
        Command::Check { files } => {
            let mut wrong = Vec::new();
            for file in files {
                match read(schema, file) {
                    Ok(_) => println!("{}: right", file.display()),
                    Err(CliError::BadSetting(fail)) => wrong.push(fail),
                    Err(fail) => return Err(fail),
                }
            }
            if !wrong.is_empty() {
                return Err(CliError::BadSetting(wrong.join("\n")));
            }
        }
        Command::Show { file, json: true } => println!("{:#}", read(schema, file)?.value),
        Command::Show { file, json: false } => print!("{}", schema.show(&read(schema, file)?)),
        Command::Diff { before, after } => {
            let differences = compare(
                schema,
                &read(schema, before)?.value,
                &read(schema, after)?.value,
            );
            for of in &differences {
                let takes = if of.live {
                    "taken over by a reload"
                } else {
                    "takes a restart"
                };
                println!(
                    "{}: {} -> {} ({takes})",
                    of.path,
                    told(&of.before),
                    told(&of.after)
                );
            }
        }
        Command::Schema { json: true } => {
            let json = serde_json::to_string_pretty(&schema.json_schema()).map_err(other)?;
            println!("{json}");
        }
        Command::Schema { json: false } => print!("{text}"),
    }
    Ok(ExitCode::SUCCESS)
}
