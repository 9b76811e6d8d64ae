//! Several assigners' recordings of the same day as one.

use crate::frame::FrameError;
use crate::parts::{Day, Source};

/// One log, in the order of the wall clock, each recording's assigner under a number of its own.
///
/// # Errors
/// No recording, recordings of other than assigners, or clocks that began over a day apart.
pub fn merge(days: Vec<Day>) -> Result<Day, FrameError> {
    let odd = |what: &str| Err(FrameError::Odd(what.to_owned()));
    let Some(began) = days
        .iter()
        .map(|day| day.head.began_ms)
        .min_by(f64::total_cmp)
    else {
        return odd("nothing to merge");
    };
    if days.iter().any(|day| day.head.source != Source::Assigner) {
        return odd("only assigners' recordings can be merged");
    }
    if days
        .iter()
        .any(|day| day.head.began_ms - began > 86_400_000.0)
    {
        return odd("the recordings are of other days");
    }
    let mut merged: Option<Day> = None;
    let mut log = Vec::new();
    for (number, day) in days.into_iter().enumerate() {
        let later = ((day.head.began_ms - began) * 1e3).round() as i64;
        log.extend(day.log.into_iter().map(|mut entry| {
            entry.at += later;
            entry.of.assigner = number as u16;
            entry
        }));
        let mut head = day.head;
        head.began_ms = began;
        merged.get_or_insert(Day {
            head,
            world: None,
            asks: Vec::new(),
            troubles: Vec::new(),
            log: Vec::new(),
        });
    }
    log.sort_by_key(|entry| entry.at);
    match merged {
        Some(mut day) => {
            day.log = log;
            Ok(day)
        }
        None => odd("nothing to merge"),
    }
}
