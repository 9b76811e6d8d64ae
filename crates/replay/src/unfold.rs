//! What can go wrong in a made day, each unfolded from a seed into what happens when.

use lynxmill_assigner_settings::DecodeError;
use lynxmill_recording::RecordedEvent;

use crate::chance::Chance;
use crate::make::{GeneratedDay, ZONES, micros};

/// What can go wrong in a made day.
pub const TROUBLES: [&str; 18] = [
    "deploy", "deaths", "breaks", "stalls", "cutoff", "silent", "assigner", "join", "slow", "lost",
    "crowd", "few", "seven", "roll", "replace", "zone", "late", "spoilt",
];

/// A part of a dense range, at least one, by chance.
fn some(most: u16, part: f64, chance: &mut Chance) -> Vec<u16> {
    let mut all: Vec<u16> = (0..most).collect();
    let count = ((f64::from(most) * part).round() as usize).clamp(1, all.len().max(1));
    (0..count.min(all.len()))
        .map(|_| all.swap_remove(chance.below(all.len())))
        .collect()
}

/// Seven in ten, and never all.
fn mostly(of: u16) -> u16 {
    of - (of * 3 / 10).max(1)
}

/// Each of these drains within a span, ends and comes back cold.
fn replaced(due: Vec<u16>, from: f64, over: f64, out: &mut Vec<(f64, RecordedEvent)>) {
    let each = over / due.len().max(1) as f64;
    for (k, s) in due.into_iter().enumerate() {
        let at = from + each * k as f64;
        out.push((at, RecordedEvent::ServerDrains(s.into())));
        out.push((at + 7.0, RecordedEvent::ServerEnds(s.into())));
        out.push((at + 8.0, RecordedEvent::ServerStarts(s.into())));
    }
}

/// One trouble that begins at `from` and has `over` to unfold.
pub(crate) fn unfold(
    kind: &str,
    of: &GeneratedDay,
    from: f64,
    over: f64,
    chance: &mut Chance,
) -> Result<Vec<(f64, RecordedEvent)>, DecodeError> {
    let (fs, ss, aa) = (of.forwarders, of.servers, of.assigners);
    let mut out = Vec::new();
    match kind {
        // One server after the other drains, ends and is back cold.
        "deploy" => replaced(some(ss, 0.5, chance), from, over, &mut out),
        "deaths" => {
            for f in some(fs, 0.4, chance) {
                let at = from + chance.between(0.0, over * 0.3);
                out.push((at, RecordedEvent::ForwarderDies(f)));
                out.push((
                    at + chance.between(1.3, 4.7),
                    RecordedEvent::ForwarderReturns(f),
                ));
            }
        }
        "breaks" | "join" => {
            let (part, spread) = if kind == "join" {
                (1.0, 0.05)
            } else {
                (0.5, over * 0.5)
            };
            for f in some(fs, part, chance) {
                for a in 0..aa {
                    out.push((
                        from + chance.between(0.0, spread),
                        RecordedEvent::StreamBreaks(f, a),
                    ));
                }
            }
        }
        "stalls" => {
            for k in 0..4 {
                for f in some(fs, 0.5, chance) {
                    let at = from + over * 0.2 * f64::from(k) + chance.unit();
                    out.push((
                        at,
                        RecordedEvent::ForwarderStalls(f, micros(chance.between(0.5, 1.4))),
                    ));
                }
                out.push((
                    from + over * 0.2 * f64::from(k),
                    RecordedEvent::AssignerStalls(0, micros(0.8)),
                ));
            }
        }
        "cutoff" => {
            for f in some(fs, 0.3, chance) {
                out.push((
                    from + chance.unit(),
                    RecordedEvent::CutOff(f, micros(chance.between(5.0, 9.0))),
                ));
            }
        }
        "silent" => {
            for s in some(ss, 0.1, chance) {
                out.push((from, RecordedEvent::ServerFallsSilent(s.into())));
                out.push((from + over * 0.6, RecordedEvent::ServerStarts(s.into())));
            }
        }
        // Killed while its first orders of a drain are on their way.
        "assigner" => {
            let s = u32::from(chance.below(ss.into()) as u16);
            out.push((from, RecordedEvent::ServerDrains(s)));
            out.push((from + 2.0, RecordedEvent::AssignerDies(0)));
            out.push((from + 6.0, RecordedEvent::AssignerReturns(0)));
            out.push((from + 12.0, RecordedEvent::ServerEnds(s)));
        }
        "slow" => {
            for a in 0..aa {
                out.push((
                    from,
                    RecordedEvent::ChannelSlows(a, 2.5, micros(over * 0.6)),
                ));
            }
        }
        "lost" => {
            for k in 0..8 {
                let at = from + over * f64::from(k) / 8.0;
                out.push((at, RecordedEvent::CallLost(k as u16 % aa, k % 3 != 0)));
            }
        }
        // Assigners die one after the other until three in ten are left, whom all forwarders come to.
        "crowd" => {
            for a in 0..mostly(aa) {
                out.push((from + f64::from(a), RecordedEvent::AssignerDies(a)));
                out.push((
                    from + over * 0.6 + f64::from(a),
                    RecordedEvent::AssignerReturns(a),
                ));
            }
        }
        // Seven in ten assigners at once; the same of forwarders.
        "few" => {
            for a in 0..mostly(aa) {
                out.push((from, RecordedEvent::AssignerDies(a)));
                out.push((
                    from + chance.between(3.0, 6.0),
                    RecordedEvent::AssignerReturns(a),
                ));
            }
        }
        "seven" => {
            for f in some(fs, 0.7, chance) {
                out.push((from, RecordedEvent::ForwarderDies(f)));
                out.push((
                    from + chance.between(2.0, 4.0),
                    RecordedEvent::ForwarderReturns(f),
                ));
            }
        }
        // Half of the servers are replaced while the assigners start anew, one after the other.
        "roll" => {
            let each = over / f64::from(aa);
            for a in 0..aa {
                out.push((from + each * f64::from(a), RecordedEvent::AssignerDies(a)));
                out.push((
                    from + each * f64::from(a) + 1.2,
                    RecordedEvent::AssignerReturns(a),
                ));
            }
            replaced(some(ss, 0.5, chance), from, over * 0.7, &mut out);
        }
        "replace" => replaced(some(ss, 0.6, chance), from, 7.0, &mut out),
        // A zone is lost for 5 s and comes back cold; of the servers elsewhere some are slow, some turn all away.
        "zone" => {
            let zone = chance.below(ZONES.len()) as u16;
            let here = |k: &u16| usize::from(*k) % ZONES.len() == usize::from(zone);
            for f in (0..fs).filter(here) {
                out.push((from, RecordedEvent::CutOff(f, micros(5.0))));
            }
            for s in (0..ss).filter(here) {
                out.push((from, RecordedEvent::ServerEnds(s.into())));
                out.push((
                    from + chance.between(5.0, 6.0),
                    RecordedEvent::ServerStarts(s.into()),
                ));
            }
            for s in some(ss, 0.125, chance).into_iter().filter(|s| !here(s)) {
                let length = micros(over * 0.5);
                out.push((
                    from,
                    match chance.unit() < 0.5 {
                        true => RecordedEvent::ServerSlows(s.into(), 3.0, length),
                        false => RecordedEvent::ServerRefuses(s.into(), length),
                    },
                ));
            }
        }
        // A fifth of the servers fall silent and the list comes late.
        "late" => {
            out.push((from, RecordedEvent::ListLags(micros(4.0), micros(over))));
            for s in some(ss, 0.2, chance) {
                out.push((
                    from + chance.unit(),
                    RecordedEvent::ServerFallsSilent(s.into()),
                ));
                out.push((
                    from + 16.0 + chance.unit(),
                    RecordedEvent::ServerStarts(s.into()),
                ));
            }
        }
        "spoilt" => {
            for a in 0..aa {
                out.push((
                    from,
                    RecordedEvent::ReportsSpoil(a, chance.between(0.2, 0.8), micros(over * 0.7)),
                ));
            }
        }
        other => {
            return Err(format!(
                "no trouble {other:?}; there are {}",
                TROUBLES.join(", ")
            ));
        }
    }
    Ok(out)
}

/// Of troubles in the order of time, which may run into one another, what can happen as servers then are: only one that
/// is down or silent starts, only one that runs drains or falls silent.
pub(crate) fn possible(
    troubles: Vec<(f64, RecordedEvent)>,
    of: &GeneratedDay,
) -> Vec<(f64, RecordedEvent)> {
    #[derive(Clone, Copy, PartialEq)]
    enum Is {
        Up,
        Draining,
        Silent,
        Down,
    }
    let mut servers = vec![Is::Up; of.servers.into()];
    let mut can = |what: &RecordedEvent| {
        let (server, next, from): (u32, Is, &[Is]) = match what {
            RecordedEvent::ServerStarts(s) => (*s, Is::Up, &[Is::Silent, Is::Down]),
            RecordedEvent::ServerDrains(s) => (*s, Is::Draining, &[Is::Up]),
            RecordedEvent::ServerEnds(s) => (*s, Is::Down, &[Is::Up, Is::Draining, Is::Silent]),
            RecordedEvent::ServerFallsSilent(s) => (*s, Is::Silent, &[Is::Up, Is::Draining]),
            _ => return true,
        };
        let is = &mut servers[server as usize];
        let can = from.contains(is);
        if can {
            *is = next;
        }
        can
    };
    troubles.into_iter().filter(|(_, what)| can(what)).collect()
}
