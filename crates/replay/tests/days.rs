//! Plays the days of `scenarios/*.txt`. A line tells one thing, `#` begins a comment:
//!
//!     day seconds=20 forwarders=2 servers=2 slices=1 assigners=1 seed=1 load=0.5 troubles=deploy,lost
//!     set lease=4                        a setting, as `lynxmill replay --set`
//!     server cores=1 queue=10            all servers alike: speed 1, warm, and no memory of slices
//!     clients retries=2 honour=1         what clients do
//!     ask 2.0 0 vote 0.05 x40 every 0.1  first tries: when, slice, operation, work, how many and how often
//!     at 5 cut-off forwarder 0 for 12    see `trouble`
//!     fault lease-ignored                something put wrong on purpose
//!     expect service 0.25 | expect succeeded 3 | expect kept | expect broken 2 | expect moves 1
//!
//! Where there are `ask` lines they are all that is asked. Each day is played twice and must come out alike.

use std::collections::BTreeMap;
use std::path::PathBuf;

use lynxmill_recording::{Asks, Day, RecordedEvent, RecordedFault};
use lynxmill_replay::{GeneratedDay, InjectedFault, Memory, Play, Report, knobs, make, play};
use rstest::rstest;

fn pairs<'a>(words: &[&'a str]) -> BTreeMap<&'a str, &'a str> {
    words
        .iter()
        .map(|word| word.split_once('=').unwrap_or_else(|| panic!("{word:?}")))
        .collect()
}

fn number<T: std::str::FromStr>(word: &str) -> T {
    word.parse()
        .unwrap_or_else(|_| panic!("{word:?} is no number"))
}

fn micros(word: &str) -> i64 {
    (number::<f64>(word) * 1e6).round() as i64
}

fn made(words: &[&str]) -> GeneratedDay {
    let mut made = GeneratedDay::default();
    for (key, value) in pairs(words) {
        match key {
            "seconds" => made.seconds = number(value),
            "forwarders" => made.forwarders = number(value),
            "servers" => made.servers = number(value),
            "slices" => made.slices = number(value),
            "assigners" => made.assigners = number(value),
            "seed" => made.seed = number(value),
            "load" => made.load = number(value),
            "troubles" => made.troubles = value.split(',').map(str::to_owned).collect(),
            _ => panic!("{key:?}"),
        }
    }
    made
}

fn trouble(words: &[&str]) -> RecordedEvent {
    match words {
        ["forwarder", f, "dies"] => RecordedEvent::ForwarderDies(number(f)),
        ["forwarder", f, "returns"] => RecordedEvent::ForwarderReturns(number(f)),
        ["forwarder", f, "stalls", "for", s] => {
            RecordedEvent::ForwarderStalls(number(f), micros(s))
        }
        ["stream", f, a, "breaks"] => RecordedEvent::StreamBreaks(number(f), number(a)),
        ["cut-off", "forwarder", f, "for", s] => RecordedEvent::CutOff(number(f), micros(s)),
        ["assigner", a, "dies"] => RecordedEvent::AssignerDies(number(a)),
        ["assigner", a, "returns"] => RecordedEvent::AssignerReturns(number(a)),
        ["assigner", a, "stalls", "for", s] => RecordedEvent::AssignerStalls(number(a), micros(s)),
        ["server", s, "starts"] => RecordedEvent::ServerStarts(number(s)),
        ["server", s, "drains"] => RecordedEvent::ServerDrains(number(s)),
        ["server", s, "ends"] => RecordedEvent::ServerEnds(number(s)),
        ["server", s, "falls", "silent"] => RecordedEvent::ServerFallsSilent(number(s)),
        ["channel", a, "slows", by, "for", s] => {
            RecordedEvent::ChannelSlows(number(a), number(by), micros(s))
        }
        ["call", a, "lost", "done"] => RecordedEvent::CallLost(number(a), true),
        ["call", a, "lost", "undone"] => RecordedEvent::CallLost(number(a), false),
        _ => panic!("{words:?}"),
    }
}

#[derive(Default)]
struct Scenario {
    day: Option<Day>,
    asks: Vec<Asks>,
    changes: Vec<knobs::Change>,
    fault: Option<InjectedFault>,
    expected: Vec<Vec<String>>,
}

impl Scenario {
    fn day(&mut self) -> &mut Day {
        self.day.as_mut().expect("`day` comes first")
    }

    fn ask(&mut self, words: &[&str]) {
        let [at, slice, operation, work, rest @ ..] = words else {
            panic!("{words:?}")
        };
        let (count, every) = match rest {
            [] => (1, 0),
            [count, "every", every] => (number(count.trim_start_matches('x')), micros(every)),
            _ => panic!("{words:?}"),
        };
        let operation = u8::from(*operation == "vote");
        self.asks.extend((0..count).map(|k| Asks {
            at: micros(at) + every * k,
            client: 0,
            zone: 0,
            slice: number(slice),
            operation,
            work: micros(work) as u32,
        }));
    }

    fn line(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["day", words @ ..] => self.day = Some(make(&made(words)).expect("a day")),
            ["set", set] => self.changes.extend(knobs::parse(set).expect("a setting")),
            ["server", words @ ..] => {
                let world = self.day().world.as_mut().expect("a world");
                for server in &mut world.servers {
                    (server.speed, server.gain) = (1.0, 0.0);
                    for (key, value) in pairs(words) {
                        match key {
                            "cores" => server.cores = number(value),
                            "queue" => server.queue = number(value),
                            "cold_for" => server.cold_for = micros(value),
                            "cold_from" => server.cold_from = number(value),
                            _ => panic!("{key:?}"),
                        }
                    }
                }
            }
            ["clients", words @ ..] => {
                let clients = &mut self.day().world.as_mut().expect("a world").clients;
                for (key, value) in pairs(words) {
                    match key {
                        "retries" => clients.retries = number(value),
                        "try_share" => clients.try_share = number(value),
                        "backoff" => clients.backoff = micros(value),
                        "honour" => clients.honour = number(value),
                        _ => panic!("{key:?}"),
                    }
                }
            }
            ["ask", words @ ..] => self.ask(words),
            ["at", at, words @ ..] => {
                let trouble = RecordedFault {
                    at: micros(at),
                    what: trouble(words),
                };
                self.day().troubles.push(trouble);
            }
            ["fault", "lease-ignored"] => self.fault = Some(InjectedFault::LeaseIgnored),
            ["fault", "writes-unread"] => self.fault = Some(InjectedFault::WritesUnread),
            ["fault", "writes-repeated"] => self.fault = Some(InjectedFault::WritesRepeated),
            ["expect", words @ ..] => {
                self.expected
                    .push(words.iter().map(|&word| word.to_owned()).collect());
            }
            _ => panic!("{line:?}"),
        }
    }

    fn plays(&self) -> Report {
        let mut day = self.day.clone().expect("a day");
        let configuration = knobs::apply(&mut day, &self.changes).expect("settings");
        let how = Play {
            fault: self.fault,
            ..Play::default()
        };
        play(&day, &configuration, &how, Memory::default())
            .expect("a play")
            .report
    }
}

fn check(report: &Report, expected: &[String]) {
    let words: Vec<&str> = expected.iter().map(String::as_str).collect();
    let tally = &report.whole;
    let same =
        |is: u64, word: &str| assert_eq!(is, number::<u64>(word), "{words:?} {}", report.json());
    match words.as_slice() {
        ["service", figure] => assert_eq!(
            report.service,
            Some(number::<f64>(figure)),
            "{}",
            report.json()
        ),
        ["service", "over", figure] => {
            assert!(
                report.service > Some(number::<f64>(figure)),
                "{}",
                report.json()
            )
        }
        ["service", "under", figure] => {
            assert!(
                report.service.is_some_and(|s| s < number::<f64>(figure)),
                "{}",
                report.json()
            );
        }
        ["asked", count] => same(tally.asked, count),
        ["succeeded", count] => same(tally.succeeded, count),
        ["late", count] => same(tally.late, count),
        ["rate-limited", count] => same(tally.rate_limited, count),
        ["errored", count] => same(tally.errored, count),
        ["open", count] => same(tally.open, count),
        ["tries", count] => same(report.tries, count),
        ["moves", count] => same(report.moves, count),
        ["moves", "over", count] => {
            assert!(report.moves > number::<u64>(count), "{}", report.json())
        }
        ["kept"] => assert_eq!(report.broken, [], "a rule is broken"),
        ["broken", rule] => {
            let rule: u8 = number(rule);
            assert!(
                report.broken.iter().any(|b| b.rule == rule && b.count > 0),
                "{}",
                report.json()
            );
            assert_eq!(report.service, None, "a broken rule counts for nothing");
        }
        _ => panic!("{words:?}"),
    }
}

#[rstest]
fn a_day_comes_out_as_told(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(path).expect("a scenario");
    let mut scenario = Scenario::default();
    let told = text
        .lines()
        .map(|line| line.split('#').next().unwrap_or_default().trim());
    told.filter(|line| !line.is_empty())
        .for_each(|line| scenario.line(line));
    if !scenario.asks.is_empty() {
        let mut asks = std::mem::take(&mut scenario.asks);
        asks.sort_by_key(|asks| asks.at);
        scenario.day().asks = asks;
    }
    scenario.day().troubles.sort_by_key(|trouble| trouble.at);
    let report = scenario.plays();
    assert_eq!(
        report.json(),
        scenario.plays().json(),
        "two plays of one day"
    );
    assert!(!scenario.expected.is_empty(), "nothing is expected");
    scenario
        .expected
        .iter()
        .for_each(|expected| check(&report, expected));
}
