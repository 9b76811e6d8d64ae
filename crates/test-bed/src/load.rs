//! Clients that come at their own pace, whatever becomes of those before. Each asks again as it is told, under its first
//! try; one that may have had an effect never comes again.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, sleep_until, timeout};
use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use hdrhistogram::Histogram;
use lynxmill_random::Pcg;

/// What became of one, all its tries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    /// Answered after its latency objective.
    Late,
    /// Given up: told so, with the reason; or the connection broke.
    GivenUp,
    Broke,
}

#[derive(Clone, Debug)]
pub struct Tally {
    pub asked: u64,
    pub by: BTreeMap<(&'static str, &'static str), u64>,
    /// Billed value asked for, and answered within the objective.
    pub worth: f64,
    pub served: f64,
    /// By second: asked and answered in time.
    pub seconds: Vec<(u64, u64)>,
    pub took: Histogram<u64>,
    /// Reasons that were told.
    pub reasons: BTreeMap<String, u64>,
    /// Votes that were answered, by their numbers.
    pub answered: Vec<String>,
}

impl Default for Tally {
    fn default() -> Self {
        Tally {
            asked: 0,
            by: BTreeMap::new(),
            worth: 0.0,
            served: 0.0,
            seconds: Vec::new(),
            took: Histogram::new_with_max(60_000_000, 3)
                .unwrap_or_else(|_| unreachable!("fixed bounds")),
            reasons: BTreeMap::new(),
            answered: Vec::new(),
        }
    }
}

impl Tally {
    /// Billed value answered within the objective, over what was asked for.
    pub fn service(&self) -> f64 {
        if self.worth > 0.0 {
            self.served / self.worth
        } else {
            1.0
        }
    }

    pub fn count(&self, operation: &str, outcome: &str) -> u64 {
        self.by
            .iter()
            .filter(|((o, w), _)| *o == operation && *w == outcome)
            .map(|(_, n)| n)
            .sum()
    }
}

struct Operation {
    name: &'static str,
    aim: Duration,
    deadline: Duration,
    worth: f64,
}

const OPERATIONS: [Operation; 2] = [
    Operation {
        name: "lookup",
        aim: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        worth: 1.0,
    },
    Operation {
        name: "vote",
        aim: Duration::from_millis(400),
        deadline: Duration::from_millis(800),
        worth: 5.0,
    },
];

pub struct Load {
    client: Client,
    ports: Vec<SocketAddr>,
    pub tally: Rc<RefCell<Tally>>,
    begun: Instant,
    chance: RefCell<Pcg>,
    /// The part of writes.
    pub writes: f64,
    pub clients: usize,
    pub keys: usize,
}

/// What came of one call.
enum CallOutcome {
    Done,
    /// Come again after so long, if at all, as it did not run.
    Again(Option<Duration>),
    Over,
    Broke {
        sent: bool,
    },
}

impl Load {
    pub fn new(ports: &[SocketAddr], seed: u64) -> Rc<Self> {
        let connector = awc::Connector::new()
            .limit(0)
            .timeout(Duration::from_secs(1));
        Rc::new(Load {
            client: Client::builder()
                .connector(connector)
                .disable_timeout()
                .finish(),
            ports: ports.to_vec(),
            tally: Rc::default(),
            begun: Instant::now(),
            chance: RefCell::new(Pcg::new(seed)),
            writes: 0.3,
            clients: 200,
            keys: 500,
        })
    }

    fn draw(&self, of: usize) -> usize {
        (self.chance.borrow_mut().unit() * of as f64) as usize
    }

    async fn call(&self, at: SocketAddr, path: &str, id: &str, client: usize) -> CallOutcome {
        let call = self.client.post(format!("http://{at}{path}"));
        let call = call
            .insert_header(("x-id", id.to_owned()))
            .insert_header(("x-client", format!("c{client}")));
        match call.send_body("ballot").await {
            // Closed before an answer is told as of connecting too, but all of it may have gone out.
            Err(SendRequestError::Connect(ConnectError::Disconnected)) => {
                CallOutcome::Broke { sent: true }
            }
            Err(SendRequestError::Connect(_)) => CallOutcome::Broke { sent: false },
            Err(_) => CallOutcome::Broke { sent: true },
            Ok(mut answer) => {
                let head = |name: &str| {
                    answer
                        .headers()
                        .get(name)
                        .and_then(|v| v.to_str().ok())
                        .map(str::to_owned)
                };
                let (reason, ran) = (head("x-lynxmill-reason"), head("x-lynxmill-ran"));
                let again = head("x-lynxmill-return-ms")
                    .and_then(|ms| ms.parse().ok())
                    .map(Duration::from_millis);
                let whole = answer.body().await.is_ok();
                if answer.status().is_success() {
                    return if whole {
                        CallOutcome::Done
                    } else {
                        CallOutcome::Broke { sent: true }
                    };
                }
                let reason =
                    reason.unwrap_or_else(|| format!("status {}", answer.status().as_u16()));
                *self.tally.borrow_mut().reasons.entry(reason).or_default() += 1;
                if ran.as_deref() == Some("no") {
                    CallOutcome::Again(again)
                } else {
                    CallOutcome::Over
                }
            }
        }
    }

    async fn one(self: Rc<Self>, number: u64) {
        let operation = &OPERATIONS[usize::from(self.chance.borrow_mut().unit() < self.writes)];
        let (client, key, mut port) = (
            self.draw(self.clients),
            self.draw(self.keys),
            self.draw(self.ports.len()),
        );
        let (path, id) = (
            format!("/{}/k{key}", operation.name),
            format!("{}-{number}", operation.name),
        );
        let begun = Instant::now();
        let second = (begun - self.begun).as_secs() as usize;
        {
            let mut tally = self.tally.borrow_mut();
            tally.asked += 1;
            tally.worth += operation.worth;
            if tally.seconds.len() <= second {
                tally.seconds.resize(second + 1, (0, 0));
            }
            tally.seconds[second].0 += 1;
        }
        let end = begun + operation.deadline;
        let outcome = loop {
            let left = end.saturating_duration_since(Instant::now());
            let said = timeout(left, self.call(self.ports[port], &path, &id, client)).await;
            let pause = match said {
                Ok(CallOutcome::Done) if begun.elapsed() <= operation.aim => {
                    break Outcome::Answered;
                }
                Ok(CallOutcome::Done) => break Outcome::Late,
                Ok(CallOutcome::Again(Some(pause))) => pause,
                Ok(CallOutcome::Again(None) | CallOutcome::Over) => break Outcome::GivenUp,
                // Nothing has gone out: the next forwarder, at once.
                Ok(CallOutcome::Broke { sent: false }) => {
                    port = (port + 1) % self.ports.len();
                    Duration::from_millis(5)
                }
                Ok(CallOutcome::Broke { sent: true }) if operation.name == "lookup" => {
                    port = (port + 1) % self.ports.len();
                    Duration::from_millis(20)
                }
                Ok(CallOutcome::Broke { sent: true }) | Err(_) => break Outcome::Broke,
            };
            if Instant::now() + pause >= end {
                break Outcome::GivenUp;
            }
            sleep(pause).await;
        };
        let mut tally = self.tally.borrow_mut();
        let word = match outcome {
            Outcome::Answered => "in time",
            Outcome::Late => "late",
            Outcome::GivenUp => "given up",
            Outcome::Broke => "broke",
        };
        *tally.by.entry((operation.name, word)).or_default() += 1;
        if matches!(outcome, Outcome::Answered | Outcome::Late) {
            let _ = tally.took.record(begun.elapsed().as_micros().max(1) as u64);
            if operation.name == "vote" {
                tally.answered.push(id);
            }
        }
        if outcome == Outcome::Answered {
            tally.served += operation.worth;
            tally.seconds[second].1 += 1;
        }
    }

    /// Clients come for so long, so many a second, evenly with a little chance; returns when all have ended.
    pub async fn run(self: &Rc<Self>, rate: f64, lasts: Duration) {
        let begun = tokio::time::Instant::now();
        let mut under_way = Vec::new();
        let mut at = 0.0;
        let mut number = 0;
        while at < lasts.as_secs_f64() {
            sleep_until(begun + Duration::from_secs_f64(at)).await;
            under_way.push(actix_rt::spawn(self.clone().one(number)));
            number += 1;
            at += (0.5 + self.chance.borrow_mut().unit()) / rate;
            if under_way.len() > 4096 {
                under_way.retain(|task| !task.is_finished());
            }
        }
        for task in under_way {
            let _ = task.await;
        }
    }
}
