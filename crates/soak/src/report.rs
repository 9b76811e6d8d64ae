//! What a soak came to: counts, latencies, what was done, and for each broken rule the times of the request or key concerned.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use lynxmill_deployment::Machine;
use serde::Serialize;

use crate::ledger::{Outcome, Records, RolloutEnd, Try};
use crate::rules::{Rule, Violation};
use crate::schedule::Planned;

/// Latencies are kept in microseconds with so many digits.
const DIGITS: u8 = 3;
/// Violations that are shown with their times.
const SHOWN: usize = 5;
/// What happened to machines is shown for so long around a violation, in seconds.
const AROUND_S: f64 = 6.0;

/// Latencies of whole answers of a kind of request, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Latencies {
    /// How many there were.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// Latencies of the whole answers of one second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Second {
    /// The middle of the second, since the start.
    pub at: f64,
    /// How many answers there were.
    pub count: u64,
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

/// How many tries ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ends {
    /// Whole answers of tasks.
    pub served: usize,
    /// Promises that a request had not run.
    pub promised: usize,
    /// Other answers of edges.
    pub failed: usize,
    /// Connections that ended before.
    pub cut: usize,
    /// Clients that left.
    pub left: usize,
    /// Clients whose time was over.
    pub timed_out: usize,
}

/// What a soak came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// How long it lasted, in seconds.
    pub seconds: f64,
    /// Tries of requests.
    pub tries: usize,
    /// How they ended.
    pub ends: Ends,
    /// Requests that ran, and how often in all.
    pub runs: usize,
    /// Changes acknowledged, of those sent.
    pub changes: (usize, usize),
    /// Evacuations acknowledged, of those sent.
    pub evacuations: (usize, usize),
    /// Rollouts that were completed and reverted, of those ordered.
    pub rollouts: (usize, usize, usize),
    /// Tasks that have lived.
    pub tasks: usize,
    /// Connections of callers at each member at the end.
    pub callers_by_member: Vec<usize>,
    /// Latencies by kind of request.
    pub latencies: BTreeMap<&'static str, Latencies>,
    /// Latencies by kind of request and second.
    pub seconds_by_kind: BTreeMap<&'static str, Vec<Second>>,
    /// When the first request was sent: the schedule counts from there.
    pub first_request_s: f64,
    /// What was done to the system.
    pub schedule: Vec<Planned>,
    /// Broken rules, by time.
    pub violations: Vec<Violation>,
    /// The times of the first of them.
    pub timelines: Vec<String>,
}

fn callers_by_member(records: &Records) -> Vec<usize> {
    let members = records
        .last_usage()
        .into_iter()
        .filter(|(machine, _)| matches!(machine, Machine::Member(_)));
    members.map(|(_, usage)| usage.callers).collect()
}

fn rollouts(records: &Records) -> (usize, usize, usize) {
    let count = |wanted: RolloutEnd| {
        let ends = records.rollouts.iter().filter_map(|rollout| rollout.ended);
        ends.filter(|(_, end)| *end == wanted).count()
    };
    let (completed, reverted) = (count(RolloutEnd::Completed), count(RolloutEnd::Reverted));
    (completed, reverted, records.rollouts.len())
}

impl Report {
    /// Sums the records up.
    pub fn new(
        seed: u64,
        seconds: f64,
        records: &Records,
        schedule: Vec<Planned>,
        violations: Vec<Violation>,
    ) -> Self {
        let acknowledged = records.changes.iter().filter(|c| c.acknowledged.is_some());
        let evacuated = records
            .evacuations
            .iter()
            .filter(|e| e.acknowledged.is_some());
        let shown = violations.iter().take(SHOWN);
        Report {
            seed,
            seconds,
            tries: records.tries.len(),
            ends: ends(records),
            runs: records.runs.values().map(Vec::len).sum(),
            changes: (acknowledged.count(), records.changes.len()),
            evacuations: (evacuated.count(), records.evacuations.len()),
            rollouts: rollouts(records),
            tasks: records.tasks.len(),
            callers_by_member: callers_by_member(records),
            latencies: latencies(records),
            seconds_by_kind: seconds_by_kind(records),
            first_request_s: records.tries.iter().map(|t| t.sent).fold(seconds, f64::min),
            timelines: shown
                .map(|violation| timeline(records, violation))
                .collect(),
            schedule,
            violations,
        }
    }

    /// Whether no rule was broken.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }

    /// How often each rule was broken.
    pub fn broken(&self) -> BTreeMap<Rule, usize> {
        let mut broken = BTreeMap::new();
        for violation in &self.violations {
            *broken.entry(violation.rule).or_default() += 1;
        }
        broken
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Ends {
            served,
            promised,
            failed,
            cut,
            left,
            timed_out,
        } = self.ends;
        writeln!(
            out,
            "seed {}: {} tries in {:.0} s: {served} served, {promised} promised not to have run, {failed} failed, {cut} cut, \
             {left} left, {timed_out} timed out; {} runs; {} of {} changes, {} of {} evacuations; \
             {} rollouts completed and {} reverted of {}; {} tasks; {} disruptions",
            self.seed,
            self.tries,
            self.seconds,
            self.runs,
            self.changes.0,
            self.changes.1,
            self.evacuations.0,
            self.evacuations.1,
            self.rollouts.0,
            self.rollouts.1,
            self.rollouts.2,
            self.tasks,
            self.schedule.len()
        )?;
        for (kind, latencies) in &self.latencies {
            let Latencies {
                count,
                p50_ms,
                p99_ms,
                max_ms,
            } = latencies;
            writeln!(
                out,
                "  {kind:8} {count:6} answers, p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms, longest {max_ms:.1} ms"
            )?;
        }
        let callers: Vec<String> = self
            .callers_by_member
            .iter()
            .map(usize::to_string)
            .collect();
        writeln!(
            out,
            "  connections of callers at members at the end: {}",
            callers.join(", ")
        )?;
        for (rule, count) in self.broken() {
            writeln!(out, "  {rule:?} was broken {count} times")?;
        }
        self.timelines
            .iter()
            .try_for_each(|timeline| out.write_str(timeline))
    }
}

fn ends(records: &Records) -> Ends {
    let mut ends = Ends::default();
    for sent in &records.tries {
        let count = match &sent.outcome {
            Outcome::Answered { seal, .. } if !seal.is_empty() => &mut ends.served,
            Outcome::Answered { status, .. } if crate::rules::PROMISES.contains(status) => {
                &mut ends.promised
            }
            Outcome::Answered { .. } => &mut ends.failed,
            Outcome::Cut | Outcome::NotSent => &mut ends.cut,
            Outcome::Left => &mut ends.left,
            Outcome::TimedOut => &mut ends.timed_out,
        };
        *count += 1;
    }
    ends
}

/// Latencies of whole answers of tasks, by something that their tries have in common.
fn histograms<K: Ord>(
    records: &Records,
    common: impl Fn(&Try) -> K,
) -> BTreeMap<K, Histogram<u64>> {
    let mut histograms: BTreeMap<K, Histogram<u64>> = BTreeMap::new();
    for sent in &records.tries {
        let served = matches!(&sent.outcome, Outcome::Answered { seal, .. } if !seal.is_empty());
        if !served {
            continue;
        }
        let Ok(empty) = Histogram::new(DIGITS) else {
            continue;
        };
        let micros = ((sent.ended - sent.sent_whole) * 1e6).max(0.0) as u64;
        let histogram = histograms.entry(common(sent)).or_insert(empty);
        // It grows as it has to; no value is too large for it.
        let _ = histogram.record(micros);
    }
    histograms
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

fn latencies(records: &Records) -> BTreeMap<&'static str, Latencies> {
    let summed = |histogram: &Histogram<u64>| Latencies {
        count: histogram.len(),
        p50_ms: quantile_ms(histogram, 0.5),
        p99_ms: quantile_ms(histogram, 0.99),
        max_ms: histogram.max() as f64 / 1e3,
    };
    let by_kind = histograms(records, |sent| sent.kind);
    by_kind.iter().map(|(kind, h)| (*kind, summed(h))).collect()
}

fn seconds_by_kind(records: &Records) -> BTreeMap<&'static str, Vec<Second>> {
    let mut by_kind: BTreeMap<&'static str, Vec<Second>> = BTreeMap::new();
    for ((kind, second), histogram) in histograms(records, |sent| (sent.kind, sent.ended as u64)) {
        by_kind.entry(kind).or_default().push(Second {
            at: second as f64 + 0.5,
            count: histogram.len(),
            p50_ms: quantile_ms(&histogram, 0.5),
            p99_ms: quantile_ms(&histogram, 0.99),
        });
    }
    by_kind
}

/// All that is known of the subject of a violation, and what was done to machines around it.
fn timeline(records: &Records, violation: &Violation) -> String {
    let Violation {
        rule,
        at,
        subject,
        text,
    } = violation;
    let mut lines: Vec<(f64, String)> = Vec::new();
    for sent in records.tries.iter().filter(|sent| sent.id == *subject) {
        let edge = sent.edge + 1;
        lines.push((
            sent.sent,
            format!("{} {subject} is sent to edge-{edge}", sent.kind),
        ));
        lines.push((sent.sent_whole, "its last byte is sent".to_owned()));
        lines.push((sent.ended, format!("it ends: {:?}", sent.outcome)));
    }
    for run in records.runs_of(subject) {
        lines.push((run.begun, format!("{} runs it ({:?})", run.task, run.fault)));
        if let Some(ended) = run.ended {
            lines.push((ended, format!("{} has answered", run.task)));
        }
    }
    for (machine, events) in &records.machines {
        let near = events
            .iter()
            .filter(|(when, _)| (when - at).abs() < AROUND_S);
        lines.extend(near.map(|(when, event)| (*when, format!("{machine}: {event:?}"))));
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut shown = format!("  {at:8.3} s  {rule:?} broken by {subject}: {text}\n");
    for (when, line) in lines {
        shown.push_str(&format!("    {when:8.3} s  {line}\n"));
    }
    shown
}
