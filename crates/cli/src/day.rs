//! `lynxmill day`: recorded days.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use lynxmill_recording::{Day, Entry, ReadExtent, RecordedFault, bytes, digest, read};
use lynxmill_replay::{GeneratedDay, TROUBLES, make, rebuild, redrive};

use crate::count;
use crate::end::{CliError, other};

#[derive(Subcommand)]
pub(crate) enum Command {
    /// What a day holds.
    Info { day: PathBuf },
    /// Checks every frame, and that the reducer orders again what the log says it ordered.
    Verify { day: PathBuf },
    /// Writes the sound front of a day, or a part of it, to a new file.
    Cut {
        day: PathBuf,
        /// The new file; one that is there is not overwritten.
        to: PathBuf,
        /// Seconds into the day at which to end.
        #[arg(long)]
        until: Option<f64>,
    },
    /// Several assigners' recordings of one day as one.
    Merge {
        to: PathBuf,
        #[arg(required = true)]
        days: Vec<PathBuf>,
    },
    /// Infers the world behind an assigner's recording, so that it can be replayed.
    Rebuild { day: PathBuf, to: PathBuf },
    /// Orders, messages and news by second over all assigners, slices without an owner, and who knew when.
    Count(count::CountArgs),
    /// Makes a day from a seed.
    Make {
        to: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        #[arg(long, default_value_t = 9)]
        forwarders: u16,
        #[arg(long, default_value_t = 12)]
        servers: u16,
        #[arg(long, default_value_t = 2)]
        assigners: u16,
        #[arg(long, default_value_t = 60)]
        slices: u16,
        /// Share of what warm servers can do.
        #[arg(long, default_value_t = 0.5)]
        load: f64,
        /// What goes wrong, in turn.
        #[arg(long, value_delimiter = ',', value_parser = clap::builder::PossibleValuesParser::new(TROUBLES))]
        troubles: Vec<String>,
        /// They begin whenever chance has it, and run into one another.
        #[arg(long)]
        overlap: bool,
        /// Lines a second that a channel carries for each forwarder; without it more than is needed.
        #[arg(long)]
        pace: Option<f64>,
    },
}

/// Reads a day as far as it is sound.
pub(crate) fn open(path: &Path) -> Result<(Day, ReadExtent), CliError> {
    let bytes =
        std::fs::read(path).map_err(|e| CliError::BadDay(format!("{}: {e}", path.display())))?;
    read(&bytes).map_err(|error| CliError::BadDay(format!("{}: {error}", path.display())))
}

/// A day that must be whole.
pub(crate) fn whole(path: &Path) -> Result<Day, CliError> {
    let (day, extent) = open(path)?;
    match extent.damage {
        Some(error) => Err(CliError::BadDay(format!(
            "{}: {error}; `lynxmill day cut` keeps what is before",
            path.display()
        ))),
        None => Ok(day),
    }
}

fn save(path: &Path, day: &Day) -> Result<ExitCode, CliError> {
    let bytes = bytes(day).map_err(other)?;
    let made = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(path);
    let written = made.and_then(|mut file| std::io::Write::write_all(&mut file, &bytes));
    written.map_err(|e| other(format!("{}: {e}", path.display())))?;
    println!(
        "{}: {} bytes, digest {}",
        path.display(),
        bytes.len(),
        digest(&bytes)
    );
    Ok(ExitCode::SUCCESS)
}

fn told(day: &Day, extent: &ReadExtent) {
    println!("name       {}", day.head.name);
    println!("source     {:?}", day.head.source);
    println!("seed       {}", day.head.seed);
    let end = if extent.whole { "whole" } else { "cut off" };
    println!(
        "frames     {} ({end}, {} of {} bytes sound)",
        extent.frames, extent.end, extent.bytes
    );
    if let Some(world) = &day.world {
        println!("length     {:.1} s", world.length as f64 / 1e6);
        println!(
            "fleet      {} servers, {} forwarders, {} assigners, {} slices, {} zones",
            world.servers.len(),
            world.forwarders.len(),
            world.assigners.len(),
            world.slices.len(),
            world.zones.len()
        );
    }
    println!("asks       {}", day.asks.len());
    println!("troubles   {}", day.troubles.len());
    for RecordedFault { at, what } in &day.troubles {
        log::info!("{:.3} s {what:?}", *at as f64 / 1e6);
    }
    let heard = day
        .log
        .iter()
        .filter(|log| matches!(log.entry, Entry::Heard(_)))
        .count();
    let ordered = day
        .log
        .iter()
        .filter(|log| matches!(log.entry, Entry::Ordered(_)))
        .count();
    let missing = day.log.iter().map(|log| {
        if let Entry::Missing(n) = log.entry {
            n
        } else {
            0
        }
    });
    println!(
        "log        {heard} heard, {ordered} calls, {} missing",
        missing.sum::<u64>()
    );
}

fn verify(path: &Path) -> Result<ExitCode, CliError> {
    let (day, extent) = open(path)?;
    told(&day, &extent);
    if let Some(error) = extent.damage {
        return Err(CliError::BadDay(format!("{}: {error}", path.display())));
    }
    let found = redrive(&day).map_err(CliError::BadDay)?;
    println!(
        "redriven   {} lives, {} heard, {} calls, {} entries left out",
        found.lives, found.events, found.calls, found.left_out
    );
    match found.differs {
        Some(what) => Err(CliError::BadDay(format!(
            "the reducer orders something else: {what}"
        ))),
        None => Ok(ExitCode::SUCCESS),
    }
}

fn cut(mut day: Day, until: Option<f64>) -> Result<Day, CliError> {
    if let Some(seconds) = until {
        if !(seconds > 0.0 && seconds < 1e7) {
            return Err(CliError::BadSetting(format!(
                "`--until` is to be over 0 s, not {seconds}"
            )));
        }
        let end = (seconds * 1e6) as i64;
        day.asks.retain(|asks| asks.at < end);
        day.troubles.retain(|trouble| trouble.at < end);
        day.log.retain(|log| log.at < end);
        if let Some(world) = &mut day.world {
            world.length = world.length.min(end);
        }
    }
    Ok(day)
}

pub(crate) fn run(command: Command) -> Result<ExitCode, CliError> {
    match command {
        Command::Info { day } => {
            let (day, extent) = open(&day)?;
            told(&day, &extent);
            if let Some(error) = extent.damage {
                println!("damage     {error}");
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Verify { day } => verify(&day),
        Command::Cut { day, to, until } => save(&to, &cut(open(&day)?.0, until)?),
        Command::Merge { to, days } => {
            let days = days
                .iter()
                .map(|path| whole(path))
                .collect::<Result<_, _>>()?;
            save(
                &to,
                &lynxmill_recording::merge(days)
                    .map_err(|error| CliError::BadDay(error.to_string()))?,
            )
        }
        Command::Count(args) => count::run(&args).map(|()| ExitCode::SUCCESS),
        Command::Rebuild { day, to } => {
            save(&to, &rebuild(&open(&day)?.0).map_err(CliError::BadDay)?)
        }
        Command::Make {
            to,
            seed,
            seconds,
            forwarders,
            servers,
            assigners,
            slices,
            load,
            troubles,
            overlap,
            pace,
        } => {
            let name = to
                .file_stem()
                .map_or_else(|| "made".into(), |stem| stem.to_string_lossy().into_owned());
            let made = GeneratedDay {
                name,
                seed,
                seconds,
                forwarders,
                servers,
                assigners,
                slices,
                load,
                troubles,
                overlap,
                pace,
            };
            save(&to, &make(&made).map_err(CliError::BadSetting)?)
        }
    }
}
