//! `lynxmill members`: the other assigners, as a running one sees them.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use lynxmill_runtime_commands::{Show, tabled};
use serde_json::Value;

use crate::ctl::{REFUSED, SocketArg, ask};
use crate::end::{CliError, other};

#[derive(Args)]
pub(crate) struct At {
    #[command(flatten)]
    place: SocketArg,
    /// Seconds to wait for an answer.
    #[arg(long, default_value_t = 10.0)]
    patience: f64,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// All that are or were there.
    List {
        #[command(flatten)]
        at: At,
        #[arg(long)]
        json: bool,
    },
    /// One of them, with what it says of servers.
    Show {
        #[command(flatten)]
        at: At,
        name: String,
    },
    /// What all say of servers, and which of these are doubted for it.
    Evidence {
        #[command(flatten)]
        at: At,
        /// Of this one alone.
        server: Option<String>,
        #[arg(long)]
        json: bool,
    },
    /// Tells the others that this assigner goes by its own will, before it is stopped.
    Leave {
        #[command(flatten)]
        at: At,
    },
}

fn said(at: &At, line: &str) -> Result<String, CliError> {
    let patience = Duration::from_secs_f64(at.patience.clamp(0.1, 86_400.0));
    ask(&at.place, patience, &format!("{line}\n"))
        .map_err(|e| other(format!("the assigner said nothing: {e}")))
}

/// The rows that a command is answered with.
fn rows(at: &At, what: &str) -> Result<Vec<Value>, CliError> {
    let text = said(at, &format!("show {what} json"))?;
    serde_json::from_str(&text).map_err(|_| {
        other(format!(
            "the assigner's answer can't be read: {}",
            text.trim()
        ))
    })
}

fn shown(what: Show, rows: Vec<Value>, json: bool) {
    print!("{}", tabled(what, json, &Value::Array(rows)));
}

pub(crate) fn run(command: Command) -> Result<ExitCode, CliError> {
    match command {
        Command::List { at, json } => shown(Show::Members, rows(&at, "members")?, json),
        Command::Show { at, name } => {
            let of = |key: &str, rows: Vec<Value>| -> Vec<Value> {
                rows.into_iter()
                    .filter(|row| row[key] == name.as_str())
                    .collect()
            };
            let found = of("member", rows(&at, "members")?);
            if found.is_empty() {
                return Err(other(format!("no member {name} is known")));
            }
            shown(Show::Members, found, false);
            let said = of("by", rows(&at, "evidence")?);
            if !said.is_empty() {
                println!();
                shown(Show::Evidence, said, false);
            }
        }
        Command::Evidence { at, server, json } => {
            let mut told = rows(&at, "evidence")?;
            told.retain(|row| {
                server
                    .as_deref()
                    .is_none_or(|server| row["server"] == server)
            });
            shown(Show::Evidence, told, json);
        }
        Command::Leave { at } => {
            let answer = said(&at, "leave members")?;
            print!("{answer}");
            if answer.starts_with("refused") {
                return Ok(ExitCode::from(REFUSED));
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
