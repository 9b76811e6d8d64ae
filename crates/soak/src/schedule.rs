//! When which disruption comes, drawn from a seed.

use std::fmt;

use lynxmill_deployment::{Machine, ZONES};
use lynxmill_random::Pcg;
use serde::Serialize;

use crate::operators::SERVICES;
use crate::settings::{PerMinute, SoakSettings};

/// No disruption comes in the first seconds, nor in the last ones.
const CALM_AT_START_S: f64 = 3.0;
const CALM_AT_END_S: f64 = 2.0;
/// After a disruption of one member the others are left alone for so long: one may be in trouble at a time.
const MEMBER_RECOVERY_S: f64 = 9.0;
/// An edge is left alone for so long after a disruption.
const EDGE_RECOVERY_S: f64 = 4.0;
/// How long a process stands still, at least and at most.
const FREEZE_S: (f64, f64) = (0.3, 2.5);
/// How long calls are held up, at least and at most.
const HOLD_S: (f64, f64) = (0.5, 6.0);
/// How long a zone stays evacuated, at least and at most. Longer than an evacuation takes to be in force.
const EVACUATION_S: (f64, f64) = (6.0, 9.0);

/// The term of a rollout, at least and at most.
const ROLLOUT_TERM_S: (f64, f64) = (12.0, 16.0);
/// Between the term of a rollout and the next one.
const ROLLOUT_PAUSE_S: f64 = 6.0;
/// Services whose versions are brought in.
const ROLLOUT_SERVICES: [&str; 2] = [SERVICES[0], SERVICES[2]];

/// A round trip, a lost segment, several.
const ENDS_BEHIND_S: [f64; 4] = [0.0, 0.126, 0.3, 0.6];

/// A version of a service that is to be brought in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PlannedRollout {
    /// The service.
    pub service: &'static str,
    /// Half of the version's answers are failures.
    pub is_bad: bool,
    /// The term, in seconds.
    pub term_s: f64,
}

/// What happens to the system.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Disruption {
    /// SIGTERM, and a new start after the end.
    Terminate(#[serde(serialize_with = "as_name")] Machine),
    /// SIGKILL, and a new start.
    Kill(#[serde(serialize_with = "as_name")] Machine),
    /// SIGSTOP, and SIGCONT after so many seconds.
    Freeze(#[serde(serialize_with = "as_name")] Machine, f64),
    /// SIGHUP, after the settings file was half written.
    HangUp(#[serde(serialize_with = "as_name")] Machine),
    /// A task drains and ends.
    DrainTask,
    /// A task signs off first, serves on and ends.
    SignOffTask,
    /// A task ends without a word.
    CrashTask,
    /// A route moves to another service.
    Configure,
    /// A zone, by its number, is evacuated for so many seconds, so often in a row.
    Evacuate(usize, f64, usize),
    /// A version of a service is brought in.
    BringIn(PlannedRollout),
    /// The way from callers to a member, by its number, holds everything back for so many seconds; the ends of
    /// connections come so many seconds behind their last bytes.
    HoldCalls(usize, f64, f64),
    /// All connections of callers to a member, by its number, are reset.
    ResetCalls(usize),
}

fn as_name<S: serde::Serializer>(machine: &Machine, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(machine)
}

impl fmt::Display for Disruption {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Disruption::Terminate(machine) => write!(out, "SIGTERM to {machine}"),
            Disruption::Kill(machine) => write!(out, "SIGKILL to {machine}"),
            Disruption::Freeze(machine, s) => write!(out, "{machine} stands still for {s:.2} s"),
            Disruption::HangUp(machine) => write!(out, "SIGHUP to {machine}"),
            Disruption::DrainTask => out.write_str("a task drains"),
            Disruption::SignOffTask => out.write_str("a task signs off first"),
            Disruption::CrashTask => out.write_str("a task crashes"),
            Disruption::Configure => out.write_str("a route moves"),
            Disruption::Evacuate(zone, s, times) => {
                let zone = ZONES[*zone];
                write!(out, "{zone} is evacuated for {s:.2} s, {times} times")
            }
            Disruption::BringIn(PlannedRollout {
                service,
                is_bad,
                term_s,
            }) => {
                let kind = if *is_bad { "bad" } else { "sound" };
                write!(
                    out,
                    "a {kind} version of {service} is brought in within {term_s:.1} s"
                )
            }
            Disruption::HoldCalls(member, s, behind_s) => {
                let member = Machine::Member(*member);
                write!(
                    out,
                    "calls to {member} are held up for {s:.2} s, their ends {behind_s:.2} s behind"
                )
            }
            Disruption::ResetCalls(member) => {
                write!(out, "calls to {} are reset", Machine::Member(*member))
            }
        }
    }
}

/// A disruption and when it comes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Planned {
    /// Seconds from the first request.
    pub at_s: f64,
    /// What happens.
    pub disruption: Disruption,
}

fn below(random: &mut Pcg, count: usize) -> usize {
    ((random.unit() * count as f64) as usize).min(count.saturating_sub(1))
}

fn between(random: &mut Pcg, (least, most): (f64, f64)) -> f64 {
    least + random.unit() * (most - least)
}

/// Draws all disruptions, by time.
pub fn draw(settings: &SoakSettings, seed: u64) -> Vec<Planned> {
    let mut random = Pcg::new(seed);
    let doses = &settings.doses;
    let (members, edges) = (settings.members.0, settings.edges.0);
    type Draw<'a> = (PerMinute, &'a dyn Fn(&mut Pcg) -> Disruption);
    let edge = |random: &mut Pcg| Machine::Edge(below(random, edges));
    let member = |random: &mut Pcg| Machine::Member(below(random, members));
    let kinds: [Draw; 16] = [
        (doses.edge_terminate, &|r| Disruption::Terminate(edge(r))),
        (doses.edge_kill, &|r| Disruption::Kill(edge(r))),
        (doses.edge_freeze, &|r| {
            Disruption::Freeze(edge(r), between(r, FREEZE_S))
        }),
        (doses.edge_hang_up, &|r| Disruption::HangUp(edge(r))),
        (doses.member_terminate, &|r| {
            Disruption::Terminate(member(r))
        }),
        (doses.member_kill, &|r| Disruption::Kill(member(r))),
        (doses.member_freeze, &|r| {
            Disruption::Freeze(member(r), between(r, FREEZE_S))
        }),
        (doses.member_hang_up, &|r| Disruption::HangUp(member(r))),
        (doses.task_drain, &|_| Disruption::DrainTask),
        (doses.task_sign_off, &|_| Disruption::SignOffTask),
        (doses.task_crash, &|_| Disruption::CrashTask),
        (doses.configuration, &|_| Disruption::Configure),
        (doses.evacuation, &|r| {
            let zone = below(r, ZONES.len());
            Disruption::Evacuate(zone, between(r, EVACUATION_S), 1 + below(r, 2))
        }),
        (doses.calls_hold, &|r| {
            let member = below(r, members);
            let behind_s = ENDS_BEHIND_S[below(r, ENDS_BEHIND_S.len())];
            Disruption::HoldCalls(member, between(r, HOLD_S), behind_s)
        }),
        (doses.calls_reset, &|r| {
            Disruption::ResetCalls(below(r, members))
        }),
        (doses.rollout, &|r| {
            Disruption::BringIn(PlannedRollout {
                service: ROLLOUT_SERVICES[below(r, ROLLOUT_SERVICES.len())],
                is_bad: r.unit() < 0.5,
                term_s: between(r, ROLLOUT_TERM_S),
            })
        }),
    ];
    let last = settings.seconds.0 - CALM_AT_END_S;
    let mut drawn = Vec::new();
    for (dose, kind) in &kinds {
        if dose.0 <= 0.0 {
            continue;
        }
        let mut at_s = CALM_AT_START_S;
        loop {
            at_s -= (1.0 - random.unit()).ln() * 60.0 / dose.0;
            if at_s >= last {
                break;
            }
            let disruption = kind(&mut random);
            drawn.push(Planned { at_s, disruption });
        }
    }
    drawn.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    // Clients send until its term.
    drawn.retain(|planned| match planned.disruption {
        Disruption::BringIn(rollout) => planned.at_s + rollout.term_s <= last,
        _ => true,
    });
    keep_apart(drawn)
}

/// Drops what would disrupt two members at once, an edge that is in trouble already, a second zone, or a rollout under way.
fn keep_apart(drawn: Vec<Planned>) -> Vec<Planned> {
    let mut members_free_at = 0.0;
    let mut zones_free_at = 0.0;
    let mut rollouts_free_at = 0.0;
    let mut edges_free_at = std::collections::BTreeMap::new();
    let mut kept = Vec::new();
    for planned in drawn {
        let at = planned.at_s;
        let free = match planned.disruption {
            Disruption::Terminate(machine)
            | Disruption::Kill(machine)
            | Disruption::Freeze(machine, _)
            | Disruption::HangUp(machine) => match machine {
                Machine::Member(_) => take(&mut members_free_at, at, MEMBER_RECOVERY_S),
                Machine::Edge(n) => {
                    take(edges_free_at.entry(n).or_insert(0.0), at, EDGE_RECOVERY_S)
                }
            },
            Disruption::Evacuate(_, lasts, times) => {
                let lasts = (lasts + EDGE_RECOVERY_S) * times as f64;
                take(&mut zones_free_at, at, lasts)
            }
            Disruption::BringIn(rollout) => {
                let lasts = rollout.term_s + ROLLOUT_PAUSE_S;
                take(&mut rollouts_free_at, at, lasts)
            }
            _ => true,
        };
        if free {
            kept.push(planned);
        }
    }
    kept
}

fn take(free_at: &mut f64, at: f64, lasts: f64) -> bool {
    let free = at >= *free_at;
    if free {
        *free_at = at + lasts;
    }
    free
}
