//! What a forwarder met at servers and for slices, summed up between two reports and spelled as collectors tell it.

use std::collections::BTreeMap;

use lynxmill_time::{TimeDelta, Timestamp};

/// A try that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedAttempt<'a> {
    /// The assigner that has the slice in its charge.
    pub assigner: &'a str,
    pub server: &'a str,
    pub ok: bool,
    pub took: TimeDelta,
    /// The server's own word on its load: pairs as `outstanding:3,utilization:0.4`.
    pub load: Option<&'a str>,
}

#[derive(Clone, Debug, Default)]
struct Server {
    tries: u64,
    failed: u64,
    took: TimeDelta,
    load: Option<String>,
}

#[derive(Clone, Debug)]
pub struct LoadSums {
    zone: String,
    since: Timestamp,
    servers: BTreeMap<(String, String), Server>,
    /// By assigner, slice and operation: invocations, and those that were given up after they were let in.
    slices: BTreeMap<(String, usize, String), (u64, u64)>,
}

/// Pairs of a name and a number, as a report may hold them; one that is spoilt is left out.
fn load(text: &str) -> Option<String> {
    let pair = |pair: &&str| {
        let (name, value) = pair.trim().split_once(':')?;
        let known = !name.is_empty()
            && name.len() <= 40
            && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
        let value: f64 = value.parse().ok()?;
        (known && value.is_finite() && value >= 0.0).then(|| format!("{name}:{value}"))
    };
    let pairs: Vec<String> = text
        .split(',')
        .take(8)
        .filter_map(|text| pair(&text))
        .collect();
    (!pairs.is_empty()).then(|| pairs.join(","))
}

impl LoadSums {
    pub fn new(zone: &str, now: Timestamp) -> Self {
        LoadSums {
            zone: zone.to_owned(),
            since: now,
            servers: BTreeMap::new(),
            slices: BTreeMap::new(),
        }
    }

    pub fn met(&mut self, met: &ObservedAttempt<'_>) {
        let sum = self
            .servers
            .entry((met.assigner.to_owned(), met.server.to_owned()))
            .or_default();
        sum.tries += 1;
        if met.ok {
            sum.took = sum.took + met.took;
        } else {
            sum.failed += 1;
        }
        if let Some(load) = met.load.and_then(load) {
            sum.load = Some(load);
        }
    }

    /// An invocation that was let in has ended.
    pub fn asked(&mut self, assigner: &str, slice: usize, operation: &str, ok: bool) {
        let sum = self
            .slices
            .entry((assigner.to_owned(), slice, operation.to_owned()))
            .or_default();
        sum.0 += 1;
        sum.1 += u64::from(!ok);
    }

    /// Messages for each assigner, words each; the sums begin anew.
    pub fn take(&mut self, now: Timestamp) -> BTreeMap<String, Vec<Vec<String>>> {
        let span = format!("{:.1}", ((now - self.since).secs() * 1e3).max(0.1));
        self.since = now;
        let mut told: BTreeMap<String, Vec<Vec<String>>> = BTreeMap::new();
        for ((assigner, server), sum) in std::mem::take(&mut self.servers) {
            let ok = sum.tries - sum.failed;
            let mean = if ok == 0 {
                0.0
            } else {
                sum.took.secs() * 1e3 / ok as f64
            };
            let mut words = vec!["upstream_stats".to_owned()];
            let pairs = [
                ("zone", self.zone.clone()),
                ("server", server),
                ("tries", sum.tries.to_string()),
                ("failed", sum.failed.to_string()),
                ("mean_ms", format!("{mean:.3}")),
                ("span_ms", span.clone()),
            ];
            let load = sum.load.map(|load| ("load", load));
            words.extend(
                pairs
                    .into_iter()
                    .chain(load)
                    .flat_map(|(name, value)| [name.to_owned(), value]),
            );
            told.entry(assigner).or_default().push(words);
        }
        for ((assigner, slice, operation), (tries, failed)) in std::mem::take(&mut self.slices) {
            let mut words = vec!["range_stats".to_owned()];
            let pairs = [
                ("slice", slice.to_string()),
                ("class", operation),
                ("tries", tries.to_string()),
                ("failed", failed.to_string()),
                ("span_ms", span.clone()),
            ];
            words.extend(
                pairs
                    .into_iter()
                    .flat_map(|(name, value)| [name.to_owned(), value]),
            );
            told.entry(assigner).or_default().push(words);
        }
        told
    }
}
