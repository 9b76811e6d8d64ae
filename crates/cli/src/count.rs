//! `lynxmill day count`: what all assigners of a day ordered and heard, side by side.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use clap::Args;
use lynxmill_recording::{Day, DayCounts, KnownServer, Row, UnavailableSpan, count, merge};
use serde_json::{Value, json};

use crate::day::open;
use crate::end::{CliError, other};

#[derive(Args)]
pub(crate) struct CountArgs {
    /// Recordings of one day, one for each assigner or one for all.
    #[arg(required = true)]
    days: Vec<PathBuf>,
    /// A line for each assigner in each second.
    #[arg(long)]
    each: bool,
    /// So many of the slices that were longest without an owner, and who was waited for.
    #[arg(long, default_value_t = 10)]
    slices: usize,
    /// So many of the servers that the assigners knew of at times farthest apart.
    #[arg(long, default_value_t = 10)]
    servers: usize,
    /// Only what lies between these seconds of the day.
    #[arg(long)]
    from: Option<f64>,
    #[arg(long)]
    until: Option<f64>,
    /// Writes everything that was counted there as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn secs(micros: i64) -> f64 {
    micros as f64 / 1e6
}

const HEAD: &str =
    "  calls   KB  shut owner level mark fail  join part answer  report spoilt list  bare";

fn line(row: &Row) -> String {
    format!(
        "{:>7} {:>4} {:>5} {:>5} {:>5} {:>4} {:>4} {:>5} {:>4} {:>6} {:>7} {:>6} {:>4} {:>5}",
        row.calls,
        row.bytes / 1000,
        row.shuts,
        row.owners,
        row.levels,
        row.marks,
        row.failed,
        row.joined,
        row.parted,
        row.answers,
        row.reports,
        row.spoilt,
        row.listed,
        row.bare
    )
}

/// How long a slice was without an owner, as far as the log goes.
fn long(bare: &UnavailableSpan, end: i64) -> i64 {
    bare.to
        .as_ref()
        .map_or(bare.left.unwrap_or(end), |(_, at)| *at)
        - bare.shut
}

/// Between when the first and the last assigner knew.
fn apart(known: &KnownServer) -> i64 {
    let times = || known.by.values().copied();
    times().max().unwrap_or(0) - times().min().unwrap_or(0)
}

fn slices(bare: &[UnavailableSpan], most: usize, end: i64) {
    if bare.is_empty() || most == 0 {
        return;
    }
    let mut spans: Vec<i64> = bare.iter().map(|bare| long(bare, end)).collect();
    spans.sort_unstable();
    let at = |part: f64| secs(spans[((spans.len() - 1) as f64 * part) as usize]);
    println!(
        "\n{} times a slice was without an owner: half within {:.2} s, nine tenths within {:.2} s, at most {:.2} s",
        bare.len(),
        at(0.5),
        at(0.9),
        at(1.0)
    );
    let mut longest: Vec<&UnavailableSpan> = bare.iter().collect();
    longest.sort_by_key(|bare| (-long(bare, end), bare.shut));
    for bare in longest.into_iter().take(most) {
        let since = |at: Option<i64>| {
            at.map_or("-".to_owned(), |at| format!("+{:.2}", secs(at - bare.shut)))
        };
        let next = match (&bare.to, bare.left) {
            (Some((server, _)), _) => format!("then {server}"),
            (None, Some(_)) => "left by its assigner".to_owned(),
            (None, None) => "still so at the end".to_owned(),
        };
        println!(
            "  slice {:>5} of assigner {} shut at {:>8.2} s for {:>6.2} s: answers whole {:>7}, {:>4} parted without, the last {:>7}; {} {next}",
            bare.slice,
            bare.assigner,
            secs(bare.shut),
            secs(long(bare, end)),
            since(bare.answered),
            bare.parted,
            since(bare.last_parted),
            bare.from
        );
    }
}

fn servers(known: &[KnownServer], assigners: usize, most: usize) {
    if known.is_empty() || most == 0 {
        return;
    }
    println!(
        "\n{} changes of servers told; those that the assigners knew of at times farthest apart:",
        known.len()
    );
    let mut farthest: Vec<&KnownServer> = known.iter().collect();
    farthest.sort_by_key(|known| (-apart(known), known.by.values().copied().min()));
    for known in farthest.into_iter().take(most) {
        let first = known.by.values().copied().min().unwrap_or(0);
        let at = |(assigner, at): (&u16, &i64)| format!("{assigner}: +{:.2}", secs(at - first));
        println!(
            "  {} {} first known at {:.2} s, by {} of {assigners}: {}",
            known.server,
            known.what,
            secs(first),
            known.by.len(),
            known.by.iter().map(at).collect::<Vec<_>>().join(", ")
        );
    }
}

fn together(paths: &[PathBuf]) -> Result<Day, CliError> {
    let mut days = Vec::new();
    for path in paths {
        let (day, extent) = open(path)?;
        if let Some(error) = extent.damage {
            eprintln!(
                "lynxmill: {}: {error}; counted as far as it is sound",
                path.display()
            );
        }
        days.push(day);
    }
    match days.pop() {
        Some(day) if days.is_empty() => Ok(day),
        Some(day) => {
            days.push(day);
            merge(days).map_err(|error| CliError::BadDay(error.to_string()))
        }
        None => Err(CliError::BadDay("no day".to_owned())),
    }
}

fn written(counted: &DayCounts, to: &Path) -> Result<(), CliError> {
    let seconds: Vec<Value> = counted
        .seconds
        .iter()
        .map(|((second, assigner), row)| json!({"second": second, "assigner": assigner, "counts": row}))
        .collect();
    let told = json!({"seconds": seconds, "bare": counted.bare, "known": counted.known,
        "unread": counted.unread, "missing": counted.missing});
    std::fs::write(to, format!("{told:#}\n")).map_err(|e| other(format!("{}: {e}", to.display())))
}

pub(crate) fn run(args: &CountArgs) -> Result<(), CliError> {
    let day = together(&args.days)?;
    if day.log.is_empty() {
        return Err(CliError::BadDay(
            "the day holds no log: `lynxmill replay --record` or a recording does".to_owned(),
        ));
    }
    let mut counted = count(&day.log);
    let end = day.log.last().map_or(0, |last| last.at);
    let (from, until) = (
        args.from.unwrap_or(f64::MIN),
        args.until.unwrap_or(f64::MAX),
    );
    let within = |at: i64| secs(at) >= from && secs(at) < until;
    counted
        .seconds
        .retain(|(second, _), _| within(second * 1_000_000));
    counted.bare.retain(|bare| within(bare.shut));
    counted
        .known
        .retain(|known| known.by.values().any(|&at| within(at)));
    let assigners: BTreeSet<u16> = day.log.iter().map(|log| log.of.assigner).collect();
    println!(
        "{} assigners, {} entries, {:.1} s",
        assigners.len(),
        day.log.len(),
        secs(end)
    );
    if counted.unread + counted.missing > 0 {
        println!(
            "{} calls can't be read, {} entries are missing",
            counted.unread, counted.missing
        );
    }
    println!(
        "{}{HEAD}",
        if args.each { " second  by" } else { " second" }
    );
    let mut sums: BTreeMap<i64, Row> = BTreeMap::new();
    let mut whole = Row::default();
    for ((second, assigner), row) in &counted.seconds {
        sums.entry(*second).or_default().add(row);
        whole.add(row);
        if args.each {
            println!("{second:>7} {assigner:>3}{}", line(row));
        }
    }
    if !args.each {
        sums.iter()
            .for_each(|(second, row)| println!("{second:>7}{}", line(row)));
    }
    whole.bare = 0;
    println!(
        "{}{}",
        if args.each { "    all    " } else { "    all" },
        line(&whole)
    );
    slices(&counted.bare, args.slices, end);
    servers(&counted.known, assigners.len(), args.servers);
    args.json
        .as_deref()
        .map_or(Ok(()), |to| written(&counted, to))
}
