//! A scripted operator: it sends orders one after the other, each again unchanged to another node after
//! silence or a 5xx, and now and then an old one once more.

use std::collections::VecDeque;

use lynxmill_configuration::{ConfigurationChange, Item};
use lynxmill_control_node::{Answer, ControlRequest};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::invariants::{History, OrderRecord, Validity};
use crate::random::Random;

/// A call follows so many redirects.
const MAX_REDIRECTS: u32 = 2;
/// Silence after which an operator moves on.
const RESPONSE_TIMEOUT: TimeDelta = TimeDelta::from_micros(1_000_000);
/// Evacuations are sent again for so long at most.
const EVACUATION_PATIENCE: TimeDelta = TimeDelta::from_micros(8_000_000);
/// The zones, one for each operator.
pub(crate) const ZONES: [&str; 2] = ["north", "south"];
/// Services that stand from the beginning to the end.
pub(crate) const PLAIN: &str = "plain";
pub(crate) const SHARDED: &str = "keys";
const ROUTES: usize = 4;

/// Versions of the items of both operators; each is given once, unless the plan wants conflicts.
#[derive(Debug)]
pub(crate) struct Versions {
    last: u64,
    /// Now and then one version gets two contents.
    pub conflicts: bool,
}

impl Versions {
    pub(crate) fn new(conflicts: bool) -> Self {
        Versions { last: 1, conflicts }
    }

    fn next(&mut self, random: &mut Random) -> u64 {
        if !(self.conflicts && random.chance(0.3)) {
            self.last += 1 + random.below(3) as u64;
        }
        self.last
    }
}

#[derive(Clone, Debug)]
struct OpenCall {
    call: u64,
    machine: usize,
    sent: Timestamp,
    deadline: Timestamp,
}

/// What an operator wants done.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OperatorCall {
    pub machine: usize,
    pub call: u64,
    pub request: ControlRequest,
}

#[derive(Debug)]
pub(crate) struct Operator {
    index: usize,
    random: Random,
    /// The order under way: its number in the ledger, none for a read-back.
    current: Option<(Option<usize>, ControlRequest)>,
    /// Since when that is under way.
    since: Timestamp,
    open: Option<OpenCall>,
    /// The machine that the open order is to be sent to again, and how often it was so far.
    redirected_to: Option<usize>,
    redirects: u32,
    next: Timestamp,
    failures: u32,
    done: Vec<(usize, ControlRequest)>,
    made: usize,
    /// Seconds between orders.
    pause_s: (f64, f64),
    /// All zones are to be taken back, and none is emptied any more.
    calm: bool,
    takes_back: bool,
    /// Changes that it sends one after the other, in place of drawn ones.
    pub script: VecDeque<Vec<Item>>,
}

fn service(name: &str, sharded: bool, version: u64) -> Item {
    let body = format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":130,\"Protocol\":\"h1\",\
         \"ColdStartS\":0.5,\"ColdPerS\":4.0,\"Sharded\":{sharded},\"WarmupS\":1.0,\"Grants\":\"heartbeat\"}}"
    );
    read("Services", &body, version)
}

/// A route; `mark` makes the content of versions differ.
pub(crate) fn route(name: &str, place: &str, service: &str, version: u64, mark: u64) -> Item {
    let body = format!(
        "{{\"Name\":\"{name}\",\"Host\":\"a.example\",\"PathPrefix\":\"/{place}/\",\"RouteKind\":\"idempotent\",\
         \"TimeoutS\":{}.5,\"TargetS\":0.6,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2}}",
        1 + mark % 50
    );
    read("Routes", &body, version)
}

/// An item as a call of an operator is read by a node.
fn read(list: &str, body: &str, version: u64) -> Item {
    let body = body.replacen('{', &format!("{{\"Version\":\"{version:08x}\","), 1);
    let call = format!("{{\"Upsert\":{{\"{list}\":[{body}]}}}}");
    let change = ConfigurationChange::read(call.as_bytes()).expect("a scripted call can be read");
    change.items.into_iter().next().expect("it has one item")
}

fn dropped(name: &str, version: u64) -> Item {
    let row = format!("{{\"Name\":\"{name}\",\"Version\":\"{version:08x}\"}}");
    let call = format!("{{\"Remove\":{{\"Routes\":[{row}]}}}}");
    let change = ConfigurationChange::read(call.as_bytes()).expect("a scripted call can be read");
    change.items.into_iter().next().expect("it has one item")
}

/// The first call: it carries all items and is sent until it is taken.
pub(crate) fn first_call() -> Vec<Item> {
    vec![
        service(PLAIN, false, 1),
        service(SHARDED, true, 1),
        route("fixed", "fixed", PLAIN, 1, 0),
        route("sharded", "sharded", SHARDED, 1, 0),
    ]
}

impl Operator {
    pub(crate) fn new(seed: u64, index: usize, now: Timestamp) -> Self {
        let mut random = Random::new(seed, &format!("operator {index}"));
        let quick = random.chance(0.3);
        Operator {
            index,
            random,
            current: None,
            since: now,
            open: None,
            redirected_to: None,
            redirects: 0,
            next: now,
            failures: 0,
            done: Vec::new(),
            made: 0,
            pause_s: if quick { (0.0, 0.15) } else { (0.05, 1.2) },
            calm: false,
            takes_back: false,
            script: VecDeque::new(),
        }
    }

    /// All faults are over: its zone is taken back, and it goes on with changes and read-backs.
    pub(crate) fn calm_down(&mut self) {
        (self.calm, self.takes_back) = (true, true);
    }

    /// What is under way without an answer: since when, and its number in the ledger, none for a read-back.
    pub(crate) fn under_way(&self) -> Option<(Timestamp, Option<usize>)> {
        self.current
            .as_ref()
            .map(|(number, _)| (self.since, *number))
    }

    pub(crate) fn next_wake(&self) -> Timestamp {
        self.open.as_ref().map_or(self.next, |open| open.deadline)
    }

    /// Time has passed: what to call, if anything. `machines` are those on the list; `most` orders are made.
    pub(crate) fn wake(
        &mut self,
        now: Timestamp,
        machines: &[usize],
        most: usize,
        versions: &mut Versions,
        ledger: &mut History,
        call: u64,
    ) -> Option<OperatorCall> {
        if let Some(open) = &self.open {
            if now < open.deadline {
                return None;
            }
            self.unanswered(now, ledger);
        }
        if now < self.next || machines.is_empty() {
            return None;
        }
        if self.current.is_none() {
            self.since = now;
            if self.made >= most && !self.takes_back {
                self.next = now + TimeDelta::from_secs(0.5);
                self.current = Some((None, ControlRequest::ReadBack));
            } else {
                self.made += 1;
                self.current = Some(self.make(now, versions, ledger));
            }
        }
        let machine = match self.redirected_to.take() {
            Some(machine) => machine,
            None => self.random.choose(machines).copied()?,
        };
        self.send(now, machine, call)
    }

    fn send(&mut self, now: Timestamp, machine: usize, call: u64) -> Option<OperatorCall> {
        let (_, request) = self.current.as_ref()?;
        self.open = Some(OpenCall {
            call,
            machine,
            sent: now,
            deadline: now + RESPONSE_TIMEOUT,
        });
        Some(OperatorCall {
            machine,
            call,
            request: request.clone(),
        })
    }

    fn make(
        &mut self,
        now: Timestamp,
        versions: &mut Versions,
        ledger: &mut History,
    ) -> (Option<usize>, ControlRequest) {
        if self.made == 1 && self.index == 0 {
            return self.change(now, first_call(), Validity::Valid, ledger);
        }
        if let Some(items) = self.script.pop_front() {
            (self.made, self.pause_s) = (2, (0.0, 0.0));
            return self.change(now, items, Validity::Valid, ledger);
        }
        if std::mem::take(&mut self.takes_back) {
            return self.evacuation(now, false, ledger);
        }
        let version = versions.next(&mut self.random);
        let draw = self.random.below(100);
        let own = format!("own-{}-{}", self.index, self.random.below(ROUTES));
        let shared = format!("shared-{}", self.random.below(ROUTES));
        let mark = self.random.number();
        match draw {
            0..25 => {
                let item = route(&own, &own, PLAIN, version, mark);
                self.change(now, vec![item], Validity::Unknown, ledger)
            }
            25..45 => {
                let item = route(&shared, &shared, PLAIN, version, mark);
                self.change(now, vec![item], Validity::Unknown, ledger)
            }
            // Two routes of different names at one place: of two operators' ones at most one can stand.
            45..55 => {
                let place = format!("disputed-{}", self.random.below(2));
                let item = route(&own, &place, PLAIN, version, mark);
                self.change(now, vec![item], Validity::Unknown, ledger)
            }
            55..63 => {
                let name = if self.random.chance(0.5) { own } else { shared };
                let item = dropped(&name, version);
                self.change(now, vec![item], Validity::Unknown, ledger)
            }
            63..68 => {
                let items = vec![
                    route(&own, &own, PLAIN, version, mark),
                    route(
                        &format!("bad-{}", self.index),
                        "bad",
                        "unknown",
                        version,
                        mark,
                    ),
                ];
                self.change(now, items, Validity::Invalid, ledger)
            }
            68..72 => {
                let item = route(
                    &format!("bad-{}", self.index),
                    "fixed",
                    PLAIN,
                    version,
                    mark,
                );
                self.change(now, vec![item], Validity::Invalid, ledger)
            }
            72..80 if !self.calm => {
                let on = self.random.chance(0.5);
                self.evacuation(now, on, ledger)
            }
            80..86 if !self.done.is_empty() => self.again(),
            _ => (None, ControlRequest::ReadBack),
        }
    }

    fn change(
        &mut self,
        now: Timestamp,
        items: Vec<Item>,
        validity: Validity,
        ledger: &mut History,
    ) -> (Option<usize>, ControlRequest) {
        let record = OrderRecord {
            items: items.clone(),
            evacuation: None,
            validity,
            first_sent: now,
            acknowledged: None,
            refused: None,
            unclear_answers: 0,
        };
        (
            Some(ledger.order(record)),
            ControlRequest::Change(ConfigurationChange { items }),
        )
    }

    fn evacuation(
        &mut self,
        now: Timestamp,
        on: bool,
        ledger: &mut History,
    ) -> (Option<usize>, ControlRequest) {
        let zone = ZONES[self.index % ZONES.len()].to_owned();
        let record = OrderRecord {
            items: Vec::new(),
            evacuation: Some((zone.clone(), on)),
            validity: Validity::Valid,
            first_sent: now,
            acknowledged: None,
            refused: None,
            unclear_answers: 0,
        };
        (
            Some(ledger.order(record)),
            ControlRequest::Evacuate { zone, on },
        )
    }

    /// An old change arrives again.
    fn again(&mut self) -> (Option<usize>, ControlRequest) {
        let place = self.random.below(self.done.len());
        let (number, request) = self.done[place].clone();
        (Some(number), request)
    }

    /// The call failed, or nothing came for long: the same again, to another.
    fn unanswered(&mut self, now: Timestamp, ledger: &mut History) {
        self.open = None;
        self.redirects = 0;
        self.failures += 1;
        let pause = 0.05 * f64::from(1 << self.failures.min(4));
        self.next = now + self.random.time_delta(0.5 * pause, pause);
        let Some((Some(number), request)) = self.current.clone() else {
            return;
        };
        let order = &mut ledger.orders[number];
        order.unclear_answers += 1;
        let evacuates = matches!(request, ControlRequest::Evacuate { .. });
        if evacuates && now - order.first_sent > EVACUATION_PATIENCE {
            self.current = None;
        }
    }

    /// An answer came; answers to calls that were given up are late.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        call: u64,
        answer: Answer,
        ledger: &mut History,
    ) {
        let Some(open) = self.open.as_ref().filter(|open| open.call == call) else {
            return;
        };
        if answer == Answer::Outdated && self.redirects < MAX_REDIRECTS {
            self.redirects += 1;
            self.redirected_to = Some(open.machine);
            (self.open, self.next) = (None, now);
            return;
        }
        let sent = open.sent;
        let settled = match (
            &answer,
            self.current.as_ref().and_then(|(number, _)| *number),
        ) {
            (Answer::Unavailable(_) | Answer::Outdated, _) => false,
            (Answer::Done, Some(number)) => {
                ledger.order_acknowledged(now, number);
                true
            }
            (Answer::Refused(why), Some(number)) => {
                ledger.order_refused(now, number, &why.to_string());
                true
            }
            (Answer::Configuration(all), None) => {
                ledger.read_back(now, sent, all);
                true
            }
            _ => true,
        };
        if !settled {
            return self.unanswered(now, ledger);
        }
        if let (Answer::Done, Some((Some(number), request @ ControlRequest::Change(_)))) =
            (&answer, self.current.clone())
        {
            self.done.push((number, request));
        }
        (self.open, self.current, self.failures, self.redirects) = (None, None, 0, 0);
        self.next = now + self.random.time_delta(self.pause_s.0, self.pause_s.1);
    }

    /// Nobody took the call.
    pub(crate) fn refused(&mut self, now: Timestamp, call: u64, ledger: &mut History) {
        if self.open.as_ref().is_some_and(|open| open.call == call) {
            self.unanswered(now, ledger);
        }
    }
}
