//! lynxmill: everything that operators do by hand, a sub-command each.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

mod assigner;
mod count;
mod ctl;
mod day;
mod end;
mod help;
mod hunt;
mod keys;
mod members;
mod registry;
mod replay;
mod settings;
mod system;
mod top;
mod trial;

use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

/// Looks into recorded days and plays them against other settings.
#[derive(Parser)]
#[command(name = "lynxmill", version, after_help = end::HELP)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A command for a running assigner's runtime socket.
    Ctl(ctl::CtlArgs),
    /// Recorded days: look, check, cut, merge, count, make, rebuild.
    #[command(subcommand)]
    Day(day::Command),
    /// Days from seeds with troubles that run into one another: which of them break a rule.
    Hunt(hunt::HuntArgs),
    /// Keys of assigners that meet each other: make, show, change in service, take out.
    #[command(subcommand)]
    Keys(keys::Command),
    /// The assigners that a running one knows, and what they say of servers.
    #[command(subcommand)]
    Members(members::Command),
    /// The tables in a key-value registry: look, follow, save and restore.
    #[command(subcommand)]
    Registry(registry::Command),
    /// Settings files: check, show whole, compare, export the schema.
    Settings(settings::SettingsArgs),
    /// The whole system: check files, show programs, plan changes, try all of it on loopback.
    System(system::SystemArgs),
    /// A live view of servers, moves, orders and events.
    Top(top::TopArgs),
    /// A whole deployment on loopback, with clients and troubles, and whether the rules hold.
    Try(trial::TrialArgs),
    /// Completions for a shell, to be read by it.
    Completions { shell: clap_complete::Shell },
    /// Manual pages, one for each command, written into a folder.
    Man { folder: std::path::PathBuf },
    /// Plays a day, as it was or with other settings.
    Replay(replay::ReplayArgs),
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("warn,lynxmill_assigner_state=error"),
    )
    .init();
    let ended = match CommandLine::parse().command {
        Command::Ctl(args) => ctl::run(&args),
        Command::Day(command) => day::run(command),
        Command::Hunt(args) => hunt::run(&args),
        Command::Keys(command) => keys::run(command),
        Command::Members(command) => members::run(command),
        Command::Registry(command) => registry::run(command),
        Command::Replay(args) => replay::run(&args),
        Command::Settings(args) => settings::run(&args),
        Command::System(args) => system::run(args),
        Command::Top(args) => top::run(&args),
        Command::Try(args) => trial::run(&args),
        Command::Completions { shell } => help::completions(shell, &mut CommandLine::command()),
        Command::Man { folder } => help::pages(&folder, &CommandLine::command()),
    };
    match ended {
        Ok(code) => code,
        Err(fail) => {
            eprintln!("lynxmill: {fail}");
            fail.code()
        }
    }
}
