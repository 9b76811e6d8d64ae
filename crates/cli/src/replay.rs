//! `lynxmill replay`: a day as it was, or against other settings.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use lynxmill_recording::{Day, bytes};
use lynxmill_replay::{
    Case, Difference, Loopback, Memory, Play, RULES, Report, cases, compare, knobs, play, sweep,
};

use crate::assigner::Assigner;
use crate::day::whole;
use crate::end::{CliError, RULE_BROKEN, other};

#[derive(Clone, Copy, ValueEnum)]
enum PlaybackMedium {
    Memory,
    Loopback,
}

#[derive(Args)]
pub(crate) struct ReplayArgs {
    /// The day; may be left out with --list.
    #[arg(required_unless_present = "list")]
    day: Option<PathBuf>,
    /// A setting and its value; several values make a sweep.
    #[arg(long = "set", value_name = "NAME=VALUE[,VALUE...]")]
    sets: Vec<String>,
    /// Assigners in this process, or a started one over loopback: the figures are the same.
    #[arg(long, value_enum, default_value = "memory")]
    over: PlaybackMedium,
    /// The program for --over loopback; else the lynxmilld beside this one.
    #[arg(long)]
    assigner: Option<PathBuf>,
    /// Writes the reports there as JSON, a list where there are several.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Keeps each report in a folder by the day's and the settings' digests, and compares a repeat.
    #[arg(long)]
    tables: Option<PathBuf>,
    /// Writes a day with what the assigners heard and ordered in this play.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Also plays the day as it was and tells where it differs.
    #[arg(long)]
    against_recorded: bool,
    /// Also plays the day, with the last of the settings, with assigners that tell each other what they see of
    /// servers, and tells where it differs.
    #[arg(long)]
    gossip: bool,
    /// Lists the settings that can be changed.
    #[arg(long)]
    list: bool,
}

fn settings() {
    println!("{:<16} {:<26} what it is", "setting", "type");
    for knob in &knobs::KNOBS {
        let kind = match knob.kind {
            knobs::Kind::Seconds { least, most } => format!("{least} to {most} s"),
            knobs::Kind::Number { least, most } => format!("{least} to {most}"),
            knobs::Kind::Count { least, most } => format!("whole, {least} to {most}"),
            knobs::Kind::OneOf(words) => words.join(" | "),
        };
        println!("{:<16} {kind:<26} {}", knob.name, knob.what);
    }
}

fn percent(service: f64) -> String {
    format!("{:.3} %", service * 100.0)
}

fn name(report: &Report) -> String {
    if report.changed.is_empty() {
        return "as recorded".to_owned();
    }
    report
        .changed
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect::<Vec<_>>()
        .join(" ")
}

fn show(report: &Report) {
    println!("{} ({})", report.day, name(report));
    match report.service {
        Some(service) => println!("  service        {}", percent(service)),
        None => println!("  service        not scored, a rule was broken"),
    }
    for breach in &report.broken {
        let rule = RULES[usize::from(breach.rule) - 1];
        println!(
            "  rule {} broken  {} times, first at {:.3} s: {}",
            breach.rule, breach.count, breach.first_at_s, breach.first
        );
        println!("                 ({rule})");
    }
    let tally = &report.whole;
    println!(
        "  asked {}  succeeded {}  late {}  rate-limited {}  errored {}  open {}",
        tally.asked, tally.succeeded, tally.late, tally.rate_limited, tally.errored, tally.open
    );
    for part in &report.operations {
        println!("  {:<14} {}", part.name, percent(part.service));
    }
    let windows: Vec<String> = report
        .windows
        .iter()
        .map(|w| format!("{:.1}", w.service * 100.0))
        .collect();
    println!("  by 10 s        {}", windows.join(" "));
    if let Some(worst) = &report.worst_window {
        println!("  worst 10 s     {worst}");
    }
    println!(
        "  moves {}  calls {}  orders {}  lines waiting {:.0} at most  messages {} at most",
        report.moves, report.calls, report.orders, report.most_waiting, report.most_messages
    );
    println!(
        "  longest bare {:.2} s  longest after a drain {:.2} s  course {}",
        report.longest_bare_s, report.longest_drain_s, report.course
    );
}

fn differs(before: &Report, now: &Report, by: &Difference) {
    println!("{} against {}", name(now), name(before));
    if by.same {
        return println!("  no difference");
    }
    if let Some(service) = by.service {
        println!("  service        {:+.3} points", service * 100.0);
    }
    for (operation, by) in &by.operations {
        println!("  {operation:<14} {:+.3} points", by * 100.0);
    }
    for rule in &by.broken_now {
        println!("  rule {rule} is broken now");
    }
    for rule in &by.broken_before {
        println!("  rule {rule} was broken before");
    }
    println!("  moves          {:+}", by.moves);
    for (window, by) in by.windows.iter().take(5) {
        println!("  {window:<14} {by:+.1} of billed value answered");
    }
}

/// Keeps a report; one that is there must be the same.
fn keep(folder: &Path, report: &Report) -> Result<(), CliError> {
    let folder = folder.join(&report.day_digest);
    let path = folder.join(format!("{}.json", report.settings_digest));
    let text = report.json();
    match std::fs::read_to_string(&path) {
        Ok(before) if before == text => println!("  the same as kept in {}", path.display()),
        Ok(_) => {
            return Err(other(format!(
                "{} holds another report of the same play",
                path.display()
            )));
        }
        Err(_) => {
            std::fs::create_dir_all(&folder).map_err(other)?;
            std::fs::write(&path, text).map_err(|e| other(format!("{}: {e}", path.display())))?;
            println!("  kept in {}", path.display());
        }
    }
    Ok(())
}

fn bar(length: usize) -> ProgressBar {
    let bar = if length > 1 {
        ProgressBar::new(length as u64)
    } else {
        ProgressBar::hidden()
    };
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} plays, {elapsed}, {eta} left");
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

fn plays(day: &Day, cases: &[Case], args: &ReplayArgs) -> Result<Vec<Report>, CliError> {
    let bar = bar(cases.len());
    let done = |_| bar.inc(1);
    let reports = match args.over {
        PlaybackMedium::Memory => sweep(day, cases, || Ok(Memory::default()), done),
        PlaybackMedium::Loopback => {
            let assigner = Assigner::start(args.assigner.as_deref())?;
            sweep(day, cases, || Loopback::new(assigner.at), done)
        }
    };
    bar.finish_and_clear();
    reports.map_err(other)
}

/// Plays once more with the log kept, and writes both as a day.
fn record(day: &Day, case: &Case, to: &Path) -> Result<(), CliError> {
    let mut day = day.clone();
    let configuration = knobs::apply(&mut day, case).map_err(CliError::BadSetting)?;
    let how = Play {
        record: true,
        ..Play::default()
    };
    let played = play(&day, &configuration, &how, Memory::default()).map_err(other)?;
    day.head.configuration = configuration.to_string();
    day.log = played.log;
    let bytes = bytes(&day).map_err(other)?;
    std::fs::write(to, bytes).map_err(|e| other(format!("{}: {e}", to.display())))?;
    println!("  recorded in {}", to.display());
    Ok(())
}

/// A case with and without assigners that talk to each other; the report of the former.
fn gossip(day: &Day, case: &Case) -> Result<Report, CliError> {
    let mut day = day.clone();
    let configuration = knobs::apply(&mut day, case).map_err(CliError::BadSetting)?;
    let one = |gossip| {
        let how = Play {
            gossip,
            ..Play::default()
        };
        play(&day, &configuration, &how, Memory::default()).map_err(other)
    };
    let (alone, mut together) = (one(false)?, one(true)?);
    together
        .report
        .changed
        .push(("gossip".to_owned(), "on".to_owned()));
    show(&together.report);
    differs(
        &alone.report,
        &together.report,
        &compare(&alone.report, &together.report),
    );
    let rid = |span: Option<lynxmill_time::TimeDelta>| {
        span.map_or("it kept some".to_owned(), |span| {
            format!("{:.2} s", span.secs())
        })
    };
    for ((name, at, before), (_, _, now)) in alone.silent.iter().zip(&together.silent) {
        let (before, now) = (rid(*before), rid(*now));
        println!(
            "  {name} silent from {:.2} s: last slice shut after {before} alone, {now}",
            at.secs()
        );
    }
    Ok(together.report)
}

pub(crate) fn run(args: &ReplayArgs) -> Result<ExitCode, CliError> {
    if args.list {
        settings();
        return Ok(ExitCode::SUCCESS);
    }
    let values = args
        .sets
        .iter()
        .map(|set| knobs::parse(set))
        .collect::<Result<Vec<_>, _>>();
    let mut cases = cases(&values.map_err(CliError::BadSetting)?);
    if args.against_recorded && !cases[0].is_empty() {
        cases.insert(0, Case::new());
    }
    let day = whole(args.day.as_deref().unwrap_or(Path::new("")))?;
    if day.world.is_none() {
        return Err(CliError::BadDay(
            "the day holds no world; `lynxmill day rebuild` infers one".to_owned(),
        ));
    }
    let mut reports = plays(&day, &cases, args)?;
    for report in &reports {
        show(report);
        if let Some(folder) = &args.tables {
            keep(folder, report)?;
        }
        log::info!(day = report.day.as_str(), settings = report.settings_digest.as_str(),
            service = report.service.unwrap_or(-1.0), moves = report.moves; "played");
    }
    if let [first, rest @ ..] = reports.as_slice() {
        rest.iter()
            .for_each(|report| differs(first, report, &compare(first, report)));
    }
    if let (Some(to), Some(case)) = (&args.record, cases.last()) {
        record(&day, case, to)?;
    }
    if let (true, Some(case)) = (args.gossip, cases.last()) {
        reports.push(gossip(&day, case)?);
    }
    if let Some(path) = &args.json {
        let text = match reports.as_slice() {
            [one] => one.json(),
            many => serde_json::to_string_pretty(many).map_err(other)?,
        };
        std::fs::write(path, text).map_err(|e| other(format!("{}: {e}", path.display())))?;
    }
    let broken = reports.iter().any(|report| !report.broken.is_empty());
    Ok(if broken {
        ExitCode::from(RULE_BROKEN)
    } else {
        ExitCode::SUCCESS
    })
}
