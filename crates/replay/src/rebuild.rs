//! Infers a world from what assigners heard, where nobody recorded the world itself. What it can't know is put
//! at its likeliest; `docs/design/replay.md` tells how far that can be trusted.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_assigner::Standing;
use lynxmill_assigner_settings::{DecodeError, field, list, number, text, zones};
use lynxmill_assigner_state::{Event, Message, News, Outcome};
use lynxmill_recording::{
    Asks, Assigner, Clients, Day, Entry, Forwarder, Life, Link, Operation, RecordedEvent,
    RecordedFault, Server, Source, World,
};
use lynxmill_time::{TimeDelta, Timestamp};
use serde_json::Value;

use crate::chance::{Chance, For};
use crate::terms::ReplayConfig;

/// Tries that make a mean worth looking at, and the share of means that lie below the time without a queue.
const ENOUGH: f64 = 3.0;
const QUICK: f64 = 0.2;
/// Headroom over the most that a server was seen to do.
const HEADROOM: f64 = 1.3;

#[derive(Default)]
struct ObservedWorld {
    /// Servers in the order of their first mention; their starts, drains and ends.
    servers: Vec<String>,
    standing: BTreeMap<u32, Standing>,
    sizes: BTreeMap<u32, f64>,
    zones_of: BTreeMap<u32, BTreeMap<u16, u64>>,
    at_first: BTreeSet<u32>,
    troubles: Vec<(i64, RecordedEvent)>,
    joined: BTreeMap<(u16, u16), bool>,
    parted: BTreeMap<(u16, u16), i64>,
    slices: BTreeMap<usize, (u16, u32)>,
    forwarders: u16,
    /// Demand: when it was heard, for which span, slice, operation and how many tries.
    asked: Vec<(i64, i64, usize, usize, f64)>,
    /// Per server: means in seconds, and tries in a second, zone by zone.
    means: Vec<(f64, f64)>,
    paces: BTreeMap<u32, BTreeMap<u16, f64>>,
    most_pace: BTreeMap<u32, f64>,
    last: BTreeMap<u16, (u16, i64)>,
}

impl ObservedWorld {
    fn server(&mut self, name: &str) -> u32 {
        let known = self.servers.iter().position(|known| known == name);
        let at = known.unwrap_or_else(|| {
            self.servers.push(name.to_owned());
            self.servers.len() - 1
        });
        at as u32
    }

    fn news(&mut self, at: i64, of: Life, news: &News) {
        let a = of.assigner;
        match news {
            News::Attach { proxy } => {
                self.forwarders = self.forwarders.max(proxy + 1);
                self.joined.insert((*proxy, a), true);
                // Without its stream for longer than a dial takes: it was out of reach.
                if let Some(since) = self.parted.remove(&(*proxy, a)) {
                    self.troubles
                        .push((since, RecordedEvent::CutOff(*proxy, at - since)));
                }
            }
            News::Detach { proxy } => {
                if self.joined.insert((*proxy, a), false) == Some(true) {
                    self.parted.insert((*proxy, a), at);
                    self.troubles
                        .push((at, RecordedEvent::StreamBreaks(*proxy, a)));
                }
            }
            News::Entry { slice, server } => {
                let server = self.server(server);
                self.slices.entry(*slice).or_insert((a, server));
            }
            News::Owner { .. } | News::Done { .. } | News::Alive => {}
        }
    }

    fn listed(&mut self, at: i64, members: &lynxmill_assigner_state::Members) {
        for endpoint in &members.endpoints {
            let server = self.server(&endpoint.name);
            self.sizes.insert(server, endpoint.weight.unwrap_or(1.0));
            let before = self.standing.insert(server, endpoint.standing);
            if before == Some(endpoint.standing) {
                continue;
            }
            match endpoint.standing {
                Standing::Ready if endpoint.since_ms == 0.0 && before.is_none() => {
                    self.at_first.insert(server);
                }
                Standing::Ready => self
                    .troubles
                    .push((at, RecordedEvent::ServerStarts(server))),
                Standing::Draining => self
                    .troubles
                    .push((at, RecordedEvent::ServerDrains(server))),
                Standing::Gone => self.troubles.push((at, RecordedEvent::ServerEnds(server))),
            }
        }
    }

    fn said(&mut self, at: i64, message: &Message, terms: &ReplayConfig, zones: &[String]) {
        match message {
            Message::Met(met) => {
                let server = self.server(&met.server);
                let zone = zones.iter().position(|zone| *zone == met.zone).unwrap_or(0) as u16;
                *self
                    .zones_of
                    .entry(server)
                    .or_default()
                    .entry(zone)
                    .or_default() += 1;
                if met.tries - met.failed >= ENOUGH {
                    self.means.push((met.mean_ms / 1e3, met.tries - met.failed));
                }
                let paces = self.paces.entry(server).or_default();
                paces.insert(zone, (met.tries - met.failed) / (met.span_ms / 1e3));
                let pace = paces.values().sum();
                let most = self.most_pace.entry(server).or_default();
                *most = most.max(pace);
            }
            Message::Asked(asked) => {
                let operation = terms
                    .operations
                    .iter()
                    .position(|o| o.name == asked.operation);
                if let Some(operation) = operation {
                    let span = (asked.span_ms * 1e3) as i64;
                    self.asked
                        .push((at, span, asked.slice, operation, asked.tries));
                }
            }
            Message::Heartbeat | Message::Zone(_) | Message::Spoilt(_) => {}
        }
    }

    /// Time on a core without a queue, for the mix of operations there was.
    fn service(&self) -> TimeDelta {
        let mut means: Vec<f64> = self.means.iter().map(|(mean, _)| *mean).collect();
        means.sort_by(f64::total_cmp);
        let at = (means.len() as f64 * QUICK) as usize;
        TimeDelta::from_secs(means.get(at).copied().unwrap_or(0.05).max(1e-4))
    }
}

/// The first tries that the sums tell of, spread evenly over their spans. Repeats can't be told from first
/// tries, so clients of a rebuilt day don't come again.
fn asks(
    heard: &ObservedWorld,
    terms: &ReplayConfig,
    service: TimeDelta,
    delay: i64,
    zones: u16,
    seed: u64,
) -> Vec<Asks> {
    let mut chance = Chance::of(seed, For::Made, 3, 0);
    let aims: Vec<f64> = terms.operations.iter().map(|o| o.aim.secs()).collect();
    let tries = |k: usize| {
        heard
            .asked
            .iter()
            .filter(|a| a.3 == k)
            .map(|a| a.4)
            .sum::<f64>()
    };
    let (all, weighed) = (0..aims.len()).fold((0.0, 0.0), |(all, sum), k| {
        (all + tries(k), sum + tries(k) * aims[k])
    });
    // The latency objective is the best measure of an operation's work that is told.
    let usual = if all > 0.0 { weighed / all } else { 1.0 };
    let mut asks = Vec::new();
    for &(at, span, slice, operation, count) in &heard.asked {
        let work = service.times(aims[operation] / usual);
        for k in 0..count as u64 {
            let into = (k as f64 + chance.unit()) / count;
            asks.push(Asks {
                at: (at - delay - span + (span as f64 * into) as i64).max(0),
                client: 0,
                zone: chance.below(zones.into()) as u16,
                slice: slice as u16,
                operation: operation as u8,
                work: work.times(0.5 + chance.unit()).micros() as u32,
            });
        }
    }
    asks.sort_by_key(|asks| (asks.at, asks.slice, asks.operation));
    asks.iter_mut()
        .enumerate()
        .for_each(|(k, asks)| asks.client = k as u32);
    asks
}

/// Ways and waits that assigners don't hear of.
fn link(terms: &ReplayConfig) -> Link {
    let part = |of: TimeDelta, by: f64| of.times(by).micros();
    Link {
        same_zone: 300,
        cross_zone: 1_000,
        call: 8_000,
        apply: 40,
        read: part(terms.delay, 1.0).max(50_000),
        redial: part(terms.delay, 2.0).max(100_000),
        takeover: 1_500_000,
        notice: 0,
        // What was heard is what was told: the way is in it already.
        listed: 0,
        dropped: 0,
        missed: 0,
        report: part(terms.interval, 1.0),
        front: 2_500_000,
        return_after: 100_000,
    }
}

/// A day with a world that explains its log.
///
/// # Errors
/// A log without a life's beginning, or a configuration that can't be read.
pub fn rebuild(day: &Day) -> Result<Day, DecodeError> {
    let begun = day.log.iter().find_map(|log| match &log.entry {
        Entry::Started(configuration) => Some(configuration),
        _ => None,
    });
    let configuration = begun.unwrap_or(&day.head.configuration);
    let told: Value =
        serde_json::from_str(configuration).map_err(|e| format!("configuration: {e}"))?;
    let settings = field(&told, "settings")?;
    let (terms, names) = (ReplayConfig::of(settings)?, zones(settings)?);
    let mut heard = ObservedWorld::default();
    for log in &day.log {
        let (at, of) = (log.at, log.of);
        let last = heard.last.insert(of.assigner, (of.life, at));
        match &log.entry {
            Entry::Started(_) => {
                if let Some((_, died)) = last {
                    heard
                        .troubles
                        .push((died, RecordedEvent::AssignerDies(of.assigner)));
                    heard
                        .troubles
                        .push((at, RecordedEvent::AssignerReturns(of.assigner)));
                }
            }
            Entry::Heard(Event::News(news)) => {
                news.iter().for_each(|news| heard.news(at, of, news))
            }
            Entry::Heard(Event::Listed(members)) => heard.listed(at, members),
            Entry::Heard(Event::Said(_, message)) => heard.said(at, message, &terms, &names),
            Entry::Heard(Event::Called(Outcome::Unknown)) => {
                heard
                    .troubles
                    .push((at, RecordedEvent::CallLost(of.assigner, true)));
            }
            Entry::Heard(_) | Entry::Ordered(_) | Entry::Missing(_) => {}
        }
    }
    if heard.slices.is_empty() || heard.servers.is_empty() {
        return Err("the log tells of no slice or server".to_owned());
    }
    let service = heard.service();
    let assigners = day.log.iter().map(|log| log.of.assigner).max().unwrap_or(0) + 1;
    let zone_count = names.len().max(1) as u16;
    let delay = terms.interval.micros();
    let length = day.log.iter().map(|log| log.at).max().unwrap_or(0).max(1);
    let server = |(k, name): (usize, &String)| {
        let number = k as u32;
        let busy = heard.most_pace.get(&number).copied().unwrap_or(0.0) * service.secs();
        // It listens in the zone that nobody can tell; where forwarders are even that makes little difference.
        let size = heard.sizes.get(&number).copied().unwrap_or(1.0);
        let cores = (busy * HEADROOM).ceil().max(1.0) as u32;
        Server {
            name: name.clone(),
            zone: (k % usize::from(zone_count)) as u16,
            cores,
            speed: 1.0,
            queue: cores * 12,
            weight: size,
            cold_from: 0.4,
            cold_for: terms.warm_after.micros(),
            gain: 0.0,
            memory: 10_000_000,
            runs: heard.at_first.contains(&number),
        }
    };
    // Several assigners hear of one change: it happened when the first did.
    let mut troubles: Vec<(i64, RecordedEvent)> = Vec::new();
    let of_a_server = |what: &RecordedEvent| {
        use RecordedEvent::*;
        matches!(what, ServerStarts(_) | ServerDrains(_) | ServerEnds(_))
    };
    let mut all = heard.troubles.clone();
    all.sort_by_key(|(at, _)| *at);
    for (at, what) in all {
        let again =
            |(before, known): &(i64, RecordedEvent)| *known == what && at - before < 5_000_000;
        if at > 0 && !(of_a_server(&what) && troubles.iter().any(again)) {
            troubles.push((at, what));
        }
    }
    let classes = list(settings, "classes")?;
    let operation = |class: &Value| {
        let effect = class
            .get("effect")
            .and_then(Value::as_str)
            .unwrap_or("unsafe");
        Ok(Operation {
            name: text(class, "name")?.to_owned(),
            writes: effect != "safe",
            safe: effect == "safe",
            deadline: TimeDelta::from_secs(number(class, "deadline")?).micros(),
        })
    };
    let slices = (0..terms.slices)
        .map(|slice| heard.slices.get(&slice).copied().unwrap_or((0, 0)))
        .collect();
    let world = World {
        length,
        zones: names,
        operations: classes
            .iter()
            .map(operation)
            .collect::<Result<_, DecodeError>>()?,
        servers: heard.servers.iter().enumerate().map(server).collect(),
        forwarders: (0..heard.forwarders)
            .map(|k| Forwarder {
                zone: k % zone_count,
            })
            .collect(),
        assigners: (0..assigners)
            .map(|k| Assigner {
                name: format!("n{k}"),
                zone: k % zone_count,
            })
            .collect(),
        slices,
        link: link(&terms),
        clients: Clients {
            retries: 0,
            try_share: 1.0,
            backoff: 0,
            honour: 0.0,
        },
    };
    let mut head = day.head.clone();
    (head.source, head.configuration) = (Source::Rebuilt, configuration.clone());
    let trouble = |(at, what): (i64, RecordedEvent)| RecordedFault {
        at: Timestamp::from_micros(at).micros(),
        what,
    };
    Ok(Day {
        asks: asks(&heard, &terms, service, delay, zone_count, head.seed),
        head,
        world: Some(world),
        troubles: troubles.into_iter().map(trouble).collect(),
        log: Vec::new(),
    })
}
