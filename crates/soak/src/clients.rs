//! Clients that keep using open connections until these end: kept ones, old ones, slow senders and readers, early leavers.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lynxmill_random::Pcg;
use tokio::time::{sleep, timeout};

use crate::http::{Head, HttpStream, Pace, connect, connect_slowly};
use crate::ledger::{Ledger, Outcome, Try};
use crate::rules::PROMISES;
use crate::tasks::body_of;

/// How long a client waits for an answer.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_000);
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// Tries of one request at most.
const MAX_TRIES: u32 = 3;
/// Between two requests of a client, at most.
const PAUSE_S: f64 = 0.25;
/// A connection that stays unused, at most.
const IDLE_S: f64 = 4.0;
/// The share of pauses that leave a connection unused for long.
const IDLE_SHARE: f64 = 0.08;
const LEAVES_SHARE: f64 = 0.04;
/// The share of requests that may have another behind them, and have.
const PIPELINED_SHARE: f64 = 0.08;
/// Bytes of an answer to a pipelined request, at most.
const MAX_PIPELINED_ANSWER: usize = 20_000;
const SLOW_SENDER_SHARE: f64 = 0.06;
/// The share of connections that go to a client's own edge.
const OWN_EDGE_SHARE: f64 = 0.8;
/// One of so many clients has a slow link: its answers take up to half of a grace of 3 s, so that all can be written.
const SLOW_ONE_IN: usize = 4;
const SLOW_PACE: Pace = Pace {
    piece: 64 << 10,
    pause: Duration::from_millis(3),
};
const SEND_PAUSE: Duration = Duration::from_millis(150);
/// Between two tries of one request.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Bytes of the answers to all but reads.
const SHORT_ANSWER: usize = 300;
/// Sizes of answers in bytes, each with its share.
const ANSWERS: [(f64, usize); 5] = [
    (0.2, 0),
    (0.5, 300),
    (0.24, 20_000),
    (0.05, 1_000_000),
    (0.01, 8_000_000),
];
/// The same for clients with slow links; the longest is more than the sockets between an edge and a client hold.
const SLOW_ANSWERS: [(f64, usize); 3] = [(0.4, 300), (0.4, 20_000), (0.2, 8_000_000)];

/// A kind of request.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    method: &'static str,
    repeatable: bool,
    keyed: bool,
    body_bytes: usize,
    share: f64,
}

const KINDS: [Kind; 5] = [
    Kind {
        name: "read",
        method: "GET",
        repeatable: true,
        keyed: false,
        body_bytes: 0,
        share: 0.35,
    },
    Kind {
        name: "order",
        method: "POST",
        repeatable: false,
        keyed: false,
        body_bytes: 200,
        share: 0.25,
    },
    Kind {
        name: "upload",
        method: "PUT",
        repeatable: false,
        keyed: false,
        body_bytes: 100_000,
        share: 0.08,
    },
    Kind {
        name: "keyed",
        method: "GET",
        repeatable: true,
        keyed: true,
        body_bytes: 0,
        share: 0.2,
    },
    Kind {
        name: "moving",
        method: "GET",
        repeatable: true,
        keyed: false,
        body_bytes: 0,
        share: 0.12,
    },
];

/// What all clients share.
#[derive(Debug)]
pub(crate) struct ClientWorld {
    pub ledger: Arc<Ledger>,
    pub fronts: Vec<String>,
    pub host: &'static str,
    pub over: AtomicBool,
    pub seed: u64,
}

/// One request, whatever its tries.
#[derive(Clone, Debug)]
struct Request {
    id: String,
    kind: Kind,
    key: u32,
    answer_bytes: usize,
    tries: u32,
}

impl Request {
    fn drawn(id: String, random: &mut Pcg, slow_link: bool) -> Self {
        let kind = pick(random, KINDS.map(|kind| (kind.share, kind)));
        let answer_bytes = match (kind.name, slow_link) {
            ("read", false) => pick(random, ANSWERS),
            ("read", true) => pick(random, SLOW_ANSWERS),
            _ => SHORT_ANSWER,
        };
        Request {
            id,
            kind,
            key: (random.unit() * 65_536.0) as u32,
            answer_bytes,
            tries: 0,
        }
    }

    fn head(&self, host: &str) -> String {
        let Kind {
            name,
            method,
            body_bytes,
            ..
        } = self.kind;
        let key = if self.kind.keyed {
            format!("Lynxmill-Shard-Key: {}\r\n", self.key)
        } else {
            String::new()
        };
        format!(
            "{method} /{name}/{id} HTTP/1.1\r\nHost: {host}\r\nLynxmill-Attempt-Id: {id}\r\n\
             Lynxmill-Deadline-Ms: {}\r\nSoak-Method: {method}\r\nSoak-Body: {body_bytes}\r\n\
             Soak-Answer: {}\r\n{key}Content-Length: {body_bytes}\r\n\r\n",
            DEADLINE.as_millis(),
            self.answer_bytes,
            id = self.id,
        )
    }

    /// Whether another may be sent behind it before its answer: it may be repeated, and neither body nor answer is long.
    fn may_be_pipelined(&self) -> bool {
        self.kind.repeatable
            && self.kind.body_bytes == 0
            && self.answer_bytes <= MAX_PIPELINED_ANSWER
    }

    /// Whether it may be sent again after such an end.
    fn may_go_again(&self, outcome: &Outcome) -> bool {
        let again = match outcome {
            Outcome::Answered { status, .. } if PROMISES.contains(status) => true,
            Outcome::Answered { status, .. } => *status >= 500 && self.kind.repeatable,
            Outcome::NotSent => true,
            Outcome::Cut | Outcome::TimedOut => self.kind.repeatable,
            Outcome::Left => false,
        };
        again && self.tries < MAX_TRIES
    }
}

fn pick<T: Copy, const N: usize>(random: &mut Pcg, shares: [(f64, T); N]) -> T {
    let mut left = random.unit();
    for (share, value) in shares {
        left -= share;
        if left < 0.0 {
            return value;
        }
    }
    shares[N - 1].1
}

/// Sends requests until it is over.
pub(crate) async fn run(number: usize, world: Arc<ClientWorld>) {
    let seed = world
        .seed
        .wrapping_mul(1_000_003)
        .wrapping_add(number as u64);
    let mut client = Client {
        random: Pcg::new(seed),
        number,
        count: 0,
        world,
    };
    let mut pending = None;
    while !client.is_over() {
        let edge = client.next_edge();
        pending = client.use_connection(edge, pending).await;
    }
}

struct Client {
    random: Pcg,
    number: usize,
    count: u64,
    world: Arc<ClientWorld>,
}

/// How a try ended, and its connection if it can be used again.
struct TryResult {
    outcome: Outcome,
    stream: Option<HttpStream>,
}

impl TryResult {
    fn ended(outcome: Outcome) -> Self {
        TryResult {
            outcome,
            stream: None,
        }
    }
}

impl Client {
    fn is_over(&self) -> bool {
        self.world.over.load(Ordering::Relaxed)
    }

    /// Most connections go to the client's own edge, also while that is ending, until it takes none.
    fn next_edge(&mut self) -> usize {
        let edges = self.world.fronts.len();
        if self.random.unit() < OWN_EDGE_SHARE {
            return self.number / SLOW_ONE_IN % edges;
        }
        (self.random.unit() * edges as f64) as usize
    }

    fn has_slow_link(&self) -> bool {
        self.number.is_multiple_of(SLOW_ONE_IN)
    }

    fn next_request(&mut self) -> Request {
        self.count += 1;
        let id = format!("{:x}-{}-{}", self.world.seed, self.number, self.count);
        let slow_link = self.has_slow_link();
        Request::drawn(id, &mut self.random, slow_link)
    }

    async fn pause(&mut self) {
        let idle = self.random.unit() < IDLE_SHARE;
        let most = if idle { IDLE_S } else { PAUSE_S };
        sleep(Duration::from_secs_f64(self.random.unit() * most)).await;
    }

    /// Uses one connection until it ends; a request that is to be sent again on another.
    async fn use_connection(&mut self, edge: usize, pending: Option<Request>) -> Option<Request> {
        let address = self.world.fronts[edge].clone();
        let slow = self.has_slow_link();
        let connected = async {
            if slow {
                connect_slowly(&address).await
            } else {
                connect(&address).await
            }
        };
        let Ok(Ok(stream)) = timeout(CONNECT_PATIENCE, connected).await else {
            sleep(RETRY_PAUSE).await;
            return pending;
        };
        let mut stream = Some(stream);
        let mut pending = pending;
        while let Some(open) = stream.take() {
            self.pause().await;
            if self.is_over() {
                return None;
            }
            let mut request = match pending.take() {
                Some(request) => request,
                None => self.next_request(),
            };
            request.tries += 1;
            if request.may_be_pipelined() && self.random.unit() < PIPELINED_SHARE {
                stream = self.send_two(edge, open, &request).await;
                continue;
            }
            let result = self.send(edge, open, &request).await;
            stream = result.stream;
            if request.may_go_again(&result.outcome) {
                sleep(RETRY_PAUSE).await;
                pending = Some(request);
            }
        }
        pending
    }

    /// Sends a request and reads its answer; what happened goes into the ledger.
    async fn send(&mut self, edge: usize, mut stream: HttpStream, request: &Request) -> TryResult {
        let sent = self.world.ledger.now();
        let slowly = self.random.unit() < SLOW_SENDER_SHARE;
        let leaves = self.random.unit() < LEAVES_SHARE;
        let pace = if self.has_slow_link() {
            SLOW_PACE
        } else {
            Pace::FAST
        };
        let written = self.write(&mut stream, request, slowly).await;
        let sent_whole = self.world.ledger.now();
        let result = match written {
            Err(_) => TryResult::ended(Outcome::Cut),
            Ok(()) if leaves => TryResult::ended(Outcome::Left),
            Ok(()) => timeout(DEADLINE, read(stream, request, pace))
                .await
                .unwrap_or_else(|_| TryResult::ended(Outcome::TimedOut)),
        };
        self.note(edge, request, (sent, sent_whole), &result.outcome);
        result
    }

    /// Sends a request and another behind it, and reads both answers; neither is sent again. The connection, if it can be
    /// used again.
    async fn send_two(
        &mut self,
        edge: usize,
        mut stream: HttpStream,
        first: &Request,
    ) -> Option<HttpStream> {
        let second = loop {
            let drawn = self.next_request();
            if drawn.may_be_pipelined() {
                break drawn;
            }
        };
        let sent = self.world.ledger.now();
        let heads = first.head(self.world.host) + &second.head(self.world.host);
        let written = stream.write(heads.as_bytes()).await;
        let times = (sent, self.world.ledger.now());
        let mut open = written.is_ok().then_some(stream);
        for request in [first, &second] {
            let result = match open.take() {
                Some(stream) => timeout(DEADLINE, read(stream, request, Pace::FAST))
                    .await
                    .unwrap_or_else(|_| TryResult::ended(Outcome::TimedOut)),
                // The edge need not have read a request behind an answer that closes, or is cut.
                None => TryResult::ended(Outcome::NotSent),
            };
            self.note(edge, request, times, &result.outcome);
            open = result.stream;
        }
        open
    }

    /// Writes a try down that has ended now.
    fn note(
        &self,
        edge: usize,
        request: &Request,
        (sent, sent_whole): (f64, f64),
        outcome: &Outcome,
    ) {
        let ended = self.world.ledger.now();
        self.world.ledger.records().tries.push(Try {
            id: request.id.clone(),
            kind: request.kind.name,
            repeatable: request.kind.repeatable,
            edge,
            sent,
            sent_whole,
            ended,
            outcome: outcome.clone(),
        });
    }

    async fn write(
        &mut self,
        stream: &mut HttpStream,
        request: &Request,
        slowly: bool,
    ) -> io::Result<()> {
        let mut bytes = request.head(self.world.host).into_bytes();
        bytes.extend(body_of(&request.id, request.kind.body_bytes));
        if !slowly {
            return stream.write(&bytes).await;
        }
        let (first, rest) = bytes.split_at(bytes.len() / 2);
        stream.write(first).await?;
        sleep(SEND_PAUSE).await;
        stream.write(rest).await
    }
}

async fn read(mut stream: HttpStream, request: &Request, pace: Pace) -> TryResult {
    let Ok(Some(head)) = stream.read_head().await else {
        return TryResult::ended(Outcome::Cut);
    };
    let Ok(body) = stream.read_body(&head, pace).await else {
        return TryResult::ended(Outcome::Cut);
    };
    let Ok(status) = head.status() else {
        return TryResult::ended(Outcome::Cut);
    };
    let outcome = Outcome::Answered {
        status,
        seal: head
            .header("lynxmill-server-seal")
            .unwrap_or_default()
            .to_owned(),
        is_own: is_own(&head, &body, request),
    };
    TryResult {
        outcome,
        stream: (!head.closes()).then_some(stream),
    }
}

/// Whether an answer is this request's, as its task gave it.
fn is_own(head: &Head, body: &[u8], request: &Request) -> bool {
    let seal = head.header("lynxmill-server-seal").unwrap_or_default();
    let echoed = head.header("lynxmill-attempt-id") == Some(request.id.as_str());
    let sealed = seal.ends_with(&format!(".{}", request.id));
    echoed && sealed && body == body_of(&request.id, request.answer_bytes)
}
