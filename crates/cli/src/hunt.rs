//! `lynxmill hunt`: days from seeds, with troubles that run into one another, and which of them breaks a rule.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use lynxmill_recording::bytes;
use lynxmill_replay::{Found, GeneratedDay, RULES, hunt};

use crate::end::{CliError, RULE_BROKEN, other};

#[derive(Args)]
pub(crate) struct HuntArgs {
    /// The first seed, and how many.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    days: u64,
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    #[arg(long, default_value_t = 2400)]
    forwarders: u16,
    #[arg(long, default_value_t = 200)]
    servers: u16,
    #[arg(long, default_value_t = 5)]
    assigners: u16,
    #[arg(long, default_value_t = 960)]
    slices: u16,
    /// Share of what warm servers can do.
    #[arg(long, default_value_t = 0.3)]
    load: f64,
    /// Lines a second that a channel carries for each forwarder.
    #[arg(long, default_value_t = 150.0)]
    pace: f64,
    /// Keeps each day that breaks a rule in this folder, for `lynxmill replay`.
    #[arg(long)]
    keep: Option<PathBuf>,
}

fn line(found: &Found) -> String {
    let report = &found.report;
    let ended = match report.service {
        Some(service) => format!("service {:>5.1} %", service * 100.0),
        None => "RULE BROKEN    ".to_owned(),
    };
    let mut line = format!(
        "seed {:>5}  {ended}  moves {:>5}  lines {:>9.0}  messages {:>2}  bare {:>5.2} s  drains {:>4.2} s  {}",
        found.made.seed,
        report.moves,
        report.most_waiting,
        report.most_messages,
        report.longest_bare_s,
        report.longest_drain_s,
        found.made.troubles.join(",")
    );
    for breach in &report.broken {
        line.push_str(&format!(
            "\n            rule {} ({}), {} times, first at {:.3} s: {}",
            breach.rule,
            RULES[usize::from(breach.rule) - 1],
            breach.count,
            breach.first_at_s,
            breach.first
        ));
    }
    line
}

pub(crate) fn run(args: &HuntArgs) -> Result<ExitCode, CliError> {
    let bounded = |what: &str, number: f64, most: f64| {
        let right = number > 0.0 && number <= most;
        if right {
            Ok(())
        } else {
            Err(CliError::BadSetting(format!(
                "--{what} is over 0 and up to {most}"
            )))
        }
    };
    bounded("seconds", args.seconds, 86_400.0)?;
    bounded("load", args.load, 10.0)?;
    bounded("pace", args.pace, 1e6)?;
    let made = GeneratedDay {
        name: "hunt".to_owned(),
        seconds: args.seconds,
        forwarders: args.forwarders,
        servers: args.servers,
        assigners: args.assigners,
        slices: args.slices,
        load: args.load,
        pace: Some(args.pace),
        ..GeneratedDay::default()
    };
    let end = args.seed.saturating_add(args.days);
    let found = hunt(&made, args.seed..end, None, |found| {
        println!("{}", line(found))
    })
    .map_err(other)?;
    let broken: Vec<&Found> = found
        .iter()
        .filter(|found| !found.report.broken.is_empty())
        .collect();
    if let Some(folder) = args.keep.as_ref().filter(|_| !broken.is_empty()) {
        std::fs::create_dir_all(folder).map_err(|e| other(format!("{}: {e}", folder.display())))?;
        for found in &broken {
            let path = folder.join(format!("{}.day", found.made.name));
            let bytes = bytes(&found.day).map_err(other)?;
            std::fs::write(&path, bytes).map_err(|e| other(format!("{}: {e}", path.display())))?;
            println!("kept in {}", path.display());
        }
    }
    println!("{} days, rules broken in {}", found.len(), broken.len());
    Ok(if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(RULE_BROKEN)
    })
}
