//! Plays tests/scenarios/*.txt against the module. A file opens with `facts key=value ...` over the defaults
//! below; `@ seconds` opens a round of events, orders that must come (`>`) or must not (`!`), one a line or
//! between semicolons.

use std::collections::BTreeMap;
use std::path::PathBuf;

use lynxmill_assigner::{Assigner, Facts, Listing, Operation, Orders, Standing};
use lynxmill_time::{TimeDelta, Timestamp};
use rstest::rstest;

#[derive(Default)]
struct Book {
    orders: Vec<String>,
    mark: u16,
}

impl Orders for Book {
    fn publish(&mut self, slice: usize, task: u32) {
        self.orders.push(format!("publish {slice} {task}"));
    }
    fn shut(&mut self, slice: usize, task: u32) {
        self.orders.push(format!("shut {slice} {task}"));
    }
    fn let_in(&mut self, slice: usize, mask: u64, level: f64, _: u8) {
        let step = if level == 0.0 {
            "none"
        } else if level < 1.0 {
            "less"
        } else {
            "all"
        };
        self.orders.push(format!("let {slice} {mask} {step}"));
    }
    fn mark(&mut self, number: u16) {
        self.mark = number;
        self.orders.push("mark".into());
    }
    fn wake(&mut self, after: TimeDelta) {
        self.orders.push(format!("wake {}", after.secs()));
    }
    fn subscribe(&mut self) {
        self.orders.push("subscribe".into());
    }
    fn probe(&mut self, task: u32) {
        self.orders.push(format!("probe {task}"));
    }
    fn answers_no_one(&mut self, _: u32) {}
    fn stays(&mut self, _: usize) {}
}

fn facts(line: &str) -> Facts {
    let given: BTreeMap<&str, &str> = line
        .split_whitespace()
        .filter_map(|w| w.split_once('='))
        .collect();
    let get = |key, usual: f64| given.get(key).map_or(usual, |v| v.parse().expect(key));
    let secs = |key, usual| TimeDelta::from_secs(get(key, usual));
    let operation = |name: &str, billed_value, latency_objective| Operation {
        name: name.into(),
        billed_value,
        latency_objective: TimeDelta::from_secs(latency_objective),
    };
    Facts {
        operations: vec![operation("read", 1.0, 1.0), operation("write", 5.0, 0.4)],
        slices: get("slices", 2.0) as usize,
        assigners: get("assigners", 1.0) as usize,
        position: given.get("position").map(|v| v.parse().expect("position")),
        proxies: get("proxies", 2.0) as usize,
        list_on_request: given.contains_key("on_request"),
        ask_within: secs("ask_within", 10.0),
        probes: given.contains_key("probes"),
        dropped_stay_open: given.contains_key("stay_open"),
        levels_work: !given.contains_key("no_levels"),
        again: 0,
        held_field: (!given.contains_key("busy")).then_some(0),
        busy_field: given.contains_key("busy").then_some(0),
        zones: 1.0,
        interval: secs("interval", 1.0),
        bare: secs("bare", 12.0),
        lease: secs("lease", 2.5),
        settle: secs("settle", 0.6),
        push_delay: secs("push_delay", 0.3),
        push_delay_max: secs("push_delay_max", 0.7),
        overhead: get("overhead", 8.0),
        lines_per_s: get("lines_per_s", 1e4),
        drain_grace: secs("drain_grace", 2.0),
        most_waiting: get("most_waiting", 1e4),
        pushes_allowed: get("pushes_allowed", f64::INFINITY),
        reload_span: secs("reload_span", 10.0),
        cold_from: 0.2,
        tip_multiple: get("tip_multiple", 3.0),
        warm_after: secs("warm_after", 14.0),
    }
}

/// One event line: `list 1 2 cold:3 drain:4 gone:5`, `custody 0 1` (slice and stored owner), `join 0`, `part
/// 0`, `answer 0 [old]`, `heard 1 tries lost seconds [held [span]]`, `demand 0 operation tries`; by hand `out
/// 1`, `back 1`, `weigh 1 2.0`, `trust 1`, `judge 1`, `doubt 1 1`, `wish 0 1` (slice, server), which must not
/// be refused, `no_wish 0 1`, which must.
fn feed(to: &mut Assigner, line: &str, now: f64, mark: u16, old: u16) -> Result<(), String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let num = |k: usize| words[k].parse::<f64>().map_err(|e| format!("{line}: {e}"));
    match words[0] {
        "list" => {
            let entry = |word: &&str| {
                let (how, task) = word.split_once(':').unwrap_or(("ready", word));
                let standing = match how {
                    "drain" => Standing::Draining,
                    "gone" => Standing::Gone,
                    _ => Standing::Ready,
                };
                let started = (how == "cold").then(|| Timestamp::from_secs(now));
                let task = task.parse().expect(line);
                Listing {
                    task,
                    lot: task,
                    standing,
                    size: None,
                    started,
                }
            };
            to.listed(
                false,
                false,
                &words[1..].iter().map(entry).collect::<Vec<_>>(),
            );
        }
        "alive" => to.probed(num(1)? as u32, true),
        "list_failed" => to.list_failed(),
        "custody" => {
            to.custody(num(1)? as usize, true);
            if words.len() > 2 {
                to.stored(num(1)? as usize, num(2)? as u32);
            }
        }
        "lost_custody" => to.custody(num(1)? as usize, false),
        "join" => to.joined(num(1)? as usize),
        "part" => to.parted(num(1)? as usize),
        "answer" => to.answered(
            num(1)? as usize,
            if words.len() > 2 { old } else { mark },
            TimeDelta::from_secs(0.3),
        ),
        "heard" => {
            let report: Vec<f64> = words
                .get(5)
                .map(|w| w.parse().expect(line))
                .into_iter()
                .collect();
            let over = TimeDelta::from_secs(if words.len() > 6 { num(6)? } else { 1.0 });
            to.heard(
                num(1)? as u32,
                num(2)?,
                num(3)?,
                TimeDelta::from_secs(num(4)?),
                over,
                &report,
            );
        }
        "demand" => to.demand(
            num(1)? as usize,
            num(2)? as usize,
            num(3)?,
            TimeDelta::from_secs(1.0),
        ),
        "out" => to.by_hand(num(1)? as u32, true, 1.0),
        "back" => to.by_hand(num(1)? as u32, false, 1.0),
        "weigh" => to.by_hand(num(1)? as u32, false, num(2)?),
        "trust" => to.trust(num(1)? as u32, true),
        "doubt" => to.doubted(num(1)? as u32, num(2)? == 1.0),
        "judge" => to.trust(num(1)? as u32, false),
        "wish" => assert_eq!(
            to.wish(num(1)? as usize, num(2)? as u32),
            None,
            "at {now}: {line}"
        ),
        "no_wish" => assert!(
            to.wish(num(1)? as usize, num(2)? as u32).is_some(),
            "at {now}: {line}"
        ),
        "may_out" => assert_eq!(to.forbids_out(num(1)? as u32), None, "at {now}: {line}"),
        "may_not_out" => assert!(to.forbids_out(num(1)? as u32).is_some(), "at {now}: {line}"),
        other => return Err(format!("unknown event {other}")),
    }
    Ok(())
}

fn round(to: &mut Assigner, at: f64, lines: &[&str], marks: &mut (u16, u16)) {
    let events = lines.iter().filter(|l| !l.starts_with(['>', '!']));
    let mut book = Book {
        mark: marks.0,
        ..Book::default()
    };
    let (now, last) = (Timestamp::from_secs(at), *marks);
    to.round(
        now,
        |a| {
            events
                .clone()
                .try_for_each(|l| feed(a, l, at, last.0, last.1))
        },
        &mut book,
    )
    .unwrap();
    if book.mark != marks.0 {
        *marks = (book.mark, marks.0);
    }
    for line in lines.iter().filter(|l| l.starts_with(['>', '!'])) {
        let (wanted, order) = (line.starts_with('>'), line[1..].trim());
        let found = book
            .orders
            .iter()
            .any(|o| o == order || o.strip_prefix(order).is_some_and(|r| r.starts_with(' ')));
        assert_eq!(
            found, wanted,
            "at {at}: `{line}`, but the orders are {:?}",
            book.orders
        );
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(path).unwrap();
    let told = text
        .lines()
        .filter(|l| !l.starts_with('#'))
        .flat_map(|l| l.split(';'))
        .map(str::trim);
    let lines: Vec<&str> = told.filter(|l| !l.is_empty()).collect();
    let facts = facts(
        lines[0]
            .strip_prefix("facts")
            .expect("a scenario opens with its facts"),
    );
    let mut assigner = Assigner::new(7, Timestamp::from_secs(0.0), facts);
    let mut marks = (0, 0);
    for block in lines[1..].chunk_by(|_, next| !next.starts_with('@')) {
        let at = block[0][1..].trim().parse().expect("seconds after @");
        round(&mut assigner, at, &block[1..], &mut marks);
    }
}
