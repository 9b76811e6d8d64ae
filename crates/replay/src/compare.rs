//! Where in the day, and for what, two plays differ.

use serde::Serialize;

use crate::figure::{Report, ReportPart};

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Service of the second less that of the first; None where either broke a rule.
    pub service: Option<f64>,
    pub operations: Vec<(String, f64)>,
    /// Windows in which billed value answered differs, the largest difference first.
    pub windows: Vec<(String, f64)>,
    /// Rules that only one of the two broke.
    pub broken_before: Vec<u8>,
    pub broken_now: Vec<u8>,
    pub moves: i64,
    pub same: bool,
}

fn parts(
    before: &[ReportPart],
    now: &[ReportPart],
    of: impl Fn(&ReportPart) -> f64,
) -> Vec<(String, f64)> {
    let pairs = before.iter().zip(now).filter(|(a, b)| a.name == b.name);
    pairs
        .map(|(a, b)| (a.name.clone(), of(b) - of(a)))
        .filter(|(_, by)| *by != 0.0)
        .collect()
}

pub fn compare(before: &Report, now: &Report) -> Difference {
    let rules = |of: &Report, not: &Report| {
        let of = of.broken.iter().map(|b| b.rule);
        of.filter(|rule| !not.broken.iter().any(|b| b.rule == *rule))
            .collect()
    };
    let mut windows = parts(&before.windows, &now.windows, |part| {
        part.tally.billed_answered
    });
    windows.sort_by(|a, b| b.1.abs().total_cmp(&a.1.abs()));
    Difference {
        service: before.service.zip(now.service).map(|(a, b)| b - a),
        operations: parts(&before.operations, &now.operations, |part| part.service),
        windows,
        broken_before: rules(before, now),
        broken_now: rules(now, before),
        moves: now.moves as i64 - before.moves as i64,
        same: before == now,
    }
}
