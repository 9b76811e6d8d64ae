//! Makes a day from a seed: a fleet, its settings, what clients ask for and what goes wrong. For examples, tests
//! and measurements; a recorded day takes its place where there is one.

use lynxmill_assigner_settings::DecodeError;
use lynxmill_recording::{
    Asks, Assigner, Clients, Day, Forwarder, Head, Link, Operation, RecordedEvent, RecordedFault,
    Server, Source, World,
};
use serde_json::{Value, json};

use crate::chance::{Chance, For};
use crate::unfold::{possible, unfold};

#[derive(Clone, Debug)]
pub struct GeneratedDay {
    pub name: String,
    pub seed: u64,
    pub seconds: f64,
    pub forwarders: u16,
    pub servers: u16,
    pub assigners: u16,
    pub slices: u16,
    /// Share of what the servers can do when warm.
    pub load: f64,
    /// Of `TROUBLES`, in the order in which they come.
    pub troubles: Vec<String>,
    /// They begin whenever chance has it, and run into one another.
    pub overlap: bool,
    /// Lines a second that a channel carries for each forwarder; without it, more than is ever needed.
    pub pace: Option<f64>,
}

impl Default for GeneratedDay {
    fn default() -> Self {
        GeneratedDay {
            name: "made".to_owned(),
            seed: 1,
            seconds: 60.0,
            forwarders: 9,
            servers: 12,
            assigners: 2,
            slices: 60,
            load: 0.5,
            troubles: Vec::new(),
            overlap: false,
            pace: None,
        }
    }
}

pub(crate) const ZONES: [&str; 3] = ["east", "west", "north"];
/// Work of a lookup and of a vote on one core, in microseconds on average, and the lookups' share.
const WORK: [f64; 2] = [180_000.0, 80_000.0];
const LOOKUPS: f64 = 0.5;
const COLD_FOR: i64 = 12_000_000;

pub(crate) fn micros(seconds: f64) -> i64 {
    (seconds * 1e6).round() as i64
}

/// Figures of the settings follow from the size: what can't be put off must fit into channel and messages twice.
fn settings(of: &GeneratedDay) -> Value {
    let (slices, forwarders) = (f64::from(of.slices), f64::from(of.forwarders));
    let ample = (slices * forwarders * 16.0).max(4000.0).round();
    let lines_per_s = of
        .pace
        .map_or(ample, |pace| (pace * forwarders).max(1.0).round());
    json!({
        "balancers": of.assigners,
        "classes": [
            {"name": "lookup", "credit": 1.0, "slo": 1.0, "deadline": 2.5, "effect": "safe"},
            {"name": "vote", "credit": 5.0, "slo": 0.4, "deadline": 0.6, "effect": "unsafe"}],
        "failure_domains": ZONES,
        "feedback": {"fields": ["outstanding"], "source": "answers"},
        "policy_limits": {"probes": false},
        "registry_mode": "pushed",
        "rules": {"ask_within": 10.0, "cold_from": 0.3, "stop_sending_within": 4.0, "tip_multiple": 2.5,
            "tip_after": 2.0, "warm_after": 12.0},
        "specifics": {"bare": 18.0, "exclusive": true, "ingest_rate": 200.0, "interval": 0.5, "lease": 4.0,
            "lines_per_s": lines_per_s, "most_waiting": (lines_per_s * 1.5).round(), "overhead": 16,
            "propagation": 0.25, "proxy_count": of.forwarders, "push_delay_max": 0.6, "pushes_allowed": 12,
            "reload_span": 10.0, "retry_default": 0, "settle": 0.62, "shards": of.slices,
            "throttle_by": "share", "waits_for_table": 0.3},
        "step": 0.004
    })
}

fn world(of: &GeneratedDay, chance: &mut Chance) -> World {
    let zone = |k: usize| (k % ZONES.len()) as u16;
    let server = |k: usize, chance: &mut Chance| Server {
        name: format!("s-{:06x}", chance.word() & 0xff_ffff),
        zone: zone(k),
        cores: 4,
        speed: chance.between(0.85, 1.15),
        queue: 48,
        weight: 1.0,
        cold_from: chance.between(0.3, 0.45),
        cold_for: COLD_FOR,
        gain: 0.4,
        memory: 15_000_000,
        runs: true,
    };
    let servers: Vec<Server> = (0..of.servers.into()).map(|k| server(k, chance)).collect();
    let count = u32::from(of.servers);
    World {
        length: micros(of.seconds),
        zones: ZONES.iter().map(|&zone| zone.to_owned()).collect(),
        operations: vec![
            Operation {
                name: "lookup".to_owned(),
                writes: false,
                safe: true,
                deadline: 2_500_000,
            },
            Operation {
                name: "vote".to_owned(),
                writes: true,
                safe: false,
                deadline: 600_000,
            },
        ],
        servers,
        forwarders: (0..of.forwarders.into())
            .map(|k| Forwarder { zone: zone(k) })
            .collect(),
        assigners: (0..of.assigners.into())
            .map(|k| Assigner {
                name: format!("n{k}"),
                zone: zone(k),
            })
            .collect(),
        slices: (0..of.slices)
            .map(|k| (k % of.assigners, u32::from(k) % count))
            .collect(),
        link: Link {
            same_zone: 300,
            cross_zone: 1_000,
            call: 8_000,
            apply: 40,
            read: 450_000,
            redial: 1_200_000,
            takeover: 1_500_000,
            notice: 900_000,
            listed: 1_200_000,
            dropped: 1_500_000,
            missed: 9_000_000,
            report: 900_000,
            front: 2_500_000,
            return_after: 100_000,
        },
        clients: Clients {
            retries: 2,
            try_share: 0.8,
            backoff: 80_000,
            honour: 0.6,
        },
    }
}

/// First tries, evenly but for chance, with some slices asked for more than others.
fn asks(of: &GeneratedDay, world: &World, chance: &mut Chance) -> Vec<Asks> {
    let able: f64 = world
        .servers
        .iter()
        .filter(|s| s.runs)
        .map(|s| f64::from(s.cores) * s.speed * (1.0 + s.gain))
        .sum();
    let work = WORK[0] * LOOKUPS + WORK[1] * (1.0 - LOOKUPS);
    let gap = work / (of.load.max(0.001) * able);
    let heats: Vec<f64> = (0..of.slices).map(|_| chance.between(0.4, 1.6)).collect();
    let all: f64 = heats.iter().sum();
    let mut asks = Vec::new();
    let mut at = 0.0;
    loop {
        at += gap * 2.0 * chance.unit();
        if at >= world.length as f64 {
            return asks;
        }
        let mut left = chance.unit() * all;
        let past = |heat: &f64| {
            left -= heat;
            left < 0.0
        };
        let slice = heats.iter().position(past).unwrap_or(0);
        let operation = usize::from(chance.unit() >= LOOKUPS);
        asks.push(Asks {
            at: at as i64,
            client: asks.len() as u32,
            zone: (chance.below(ZONES.len())) as u16,
            slice: slice as u16,
            operation: operation as u8,
            work: (WORK[operation] * chance.between(0.4, 1.6)) as u32,
        });
    }
}

/// Makes a day: the same wishes, the same day.
///
/// # Errors
/// A size of 0 or a trouble that nobody knows.
pub fn make(of: &GeneratedDay) -> Result<Day, DecodeError> {
    if [of.forwarders, of.servers, of.assigners, of.slices].contains(&0) || of.seconds <= 0.0 {
        return Err("a day needs forwarders, servers, assigners, slices and a length".to_owned());
    }
    let mut chance = Chance::of(of.seed, For::Made, 0, 0);
    let world = world(of, &mut chance);
    let asks = asks(of, &world, &mut Chance::of(of.seed, For::Made, 1, 0));
    let mut chance = Chance::of(of.seed, For::Made, 2, 0);
    // Troubles follow one another from a tenth of the day on, or each has a third of it, wherever.
    let each = of.seconds
        * if of.overlap {
            0.33
        } else {
            0.85 / of.troubles.len().max(1) as f64
        };
    let mut troubles = Vec::new();
    for (k, kind) in of.troubles.iter().enumerate() {
        let after = if of.overlap {
            chance.between(0.0, 0.5) * of.seconds
        } else {
            each * k as f64
        };
        troubles.extend(unfold(
            kind,
            of,
            of.seconds * 0.1 + after,
            each,
            &mut chance,
        )?);
    }
    troubles.sort_by(|a, b| a.0.total_cmp(&b.0));
    let troubles = possible(troubles, of);
    let configuration = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:2", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "registry": {"address": "127.0.0.1:3"}, "known": null, "settings": settings(of),
    });
    let trouble = |(at, what): (f64, RecordedEvent)| RecordedFault {
        at: micros(at),
        what,
    };
    Ok(Day {
        head: Head {
            name: of.name.clone(),
            source: Source::Engine,
            seed: of.seed,
            began_ms: 1_700_000_000_000.0,
            configuration: configuration.to_string(),
        },
        world: Some(world),
        asks,
        troubles: troubles.into_iter().map(trouble).collect(),
        log: Vec::new(),
    })
}
