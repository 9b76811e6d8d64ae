//! Scripted clients: one request after another, pipelined, with bodies that hold requests, cut in a
//! request, gone in the middle of an answer.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::edge::LONGEST_BODY;
use crate::ledger::{Chance, Request};
use crate::task::Shared;
use crate::wire::{Message, Wire};

/// The longest that any answer may be waited for; requests have half a second at most.
const MOST: Duration = Duration::from_secs(5);
const PROMISES: [u16; 4] = [429, 503, 408, 421];

/// A request in raw bytes.
struct Raw {
    id: String,
    bytes: Vec<u8>,
    /// The edge answers it by itself, since it may not go to a task.
    refused: bool,
}

/// A client and where it writes down what it does.
pub(crate) struct Client {
    pub name: String,
    pub edge: String,
    pub ledger: Shared,
    pub chance: Chance,
    pub made: usize,
}

/// How a client leaves a connection.
enum Leave {
    /// Once it has all answers.
    Done,
    /// So many bytes before its last request is written.
    InRequest(usize),
    /// After so many bytes of its answers.
    InAnswer(usize),
}

impl Client {
    fn body(&mut self) -> Vec<u8> {
        match self.chance.below(10) {
            0 => format!(
                "GET /idempotent/smuggled HTTP/1.1\r\nHost: h\r\nLynxmill-Attempt-Id: smuggled-{}\r\n\r\n",
                self.made
            )
            .into_bytes(),
            1 => vec![b'x'; self.chance.below(200_000)],
            2 => vec![b'\n'; self.chance.below(2_000)],
            _ => vec![b'y'; self.chance.below(40)],
        }
    }

    /// A body's framing and its bytes.
    fn framed(&mut self, body: &[u8]) -> (String, Vec<u8>) {
        if body.is_empty() || !self.chance.one_in(3) {
            return (format!("Content-Length: {}\r\n", body.len()), body.to_vec());
        }
        let mut bytes = Vec::new();
        for chunk in body.chunks(1 + self.chance.below(body.len())) {
            bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            bytes.extend([chunk, b"\r\n"].concat());
        }
        bytes.extend(b"0\r\n\r\n");
        ("Transfer-Encoding: chunked\r\n".to_owned(), bytes)
    }

    fn request(&mut self) -> Raw {
        self.made += 1;
        let id = format!("{}-{}", self.name, self.made);
        let kind = ["idempotent", "non_idempotent", "upload"][self.chance.below(3)];
        let unknown = self.chance.one_in(20);
        let path = format!(
            "/{}/{}",
            if unknown { "nowhere" } else { kind },
            self.chance.below(1000)
        );
        let get = kind == "idempotent" && self.chance.one_in(2);
        let long = !get && self.chance.one_in(30);
        let body = match (get, long) {
            (true, _) => Vec::new(),
            (false, true) => vec![b'z'; LONGEST_BODY + 1 + self.chance.below(1000)],
            (false, false) => self.body(),
        };
        let (framing, written) = if get {
            (String::new(), Vec::new())
        } else {
            self.framed(&body)
        };
        let line = format!("{} {path} HTTP/1.1", if get { "GET" } else { "POST" });
        let deadline = 200 + self.chance.below(400);
        let head = format!(
            "{line}\r\nHost: h\r\nLynxmill-Attempt-Id: {id}\r\n\
             Lynxmill-Deadline-Ms: {deadline}\r\n{framing}\r\n"
        );
        let (repeatable, sent) = (kind == "idempotent", false);
        let refused = unknown || long;
        let request = Request {
            repeatable,
            refused,
            line,
            body,
            sent,
            arrivals: Vec::new(),
            promised: None,
        };
        self.ledger
            .borrow_mut()
            .requests
            .insert(id.clone(), request);
        Raw {
            id,
            bytes: [head.as_bytes(), &written].concat(),
            refused,
        }
    }

    fn leave(&mut self, last: &Raw) -> Leave {
        match self.chance.below(10) {
            0 => Leave::InRequest(1 + self.chance.below(last.bytes.len())),
            1 => Leave::InAnswer(self.chance.below(600)),
            _ => Leave::Done,
        }
    }

    fn sent(&self, id: &str) {
        self.ledger
            .borrow_mut()
            .requests
            .get_mut(id)
            .expect("its own")
            .sent = true;
    }

    /// Writes bytes, at times in pieces; false once the edge has closed.
    async fn write(&mut self, wire: &mut Wire, bytes: &[u8]) -> bool {
        let piece = if self.chance.one_in(3) {
            1 + self.chance.below(bytes.len().max(1))
        } else {
            bytes.len().max(1)
        };
        for piece in bytes.chunks(piece) {
            if wire.stream.write_all(piece).await.is_err() {
                return false;
            }
            yield_now().await;
        }
        true
    }

    fn take(&mut self, raw: &Raw, answer: &Message) {
        let mut ledger = self.ledger.borrow_mut();
        let id = &raw.id;
        let status: u16 = answer
            .line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let sealed = !answer.header("lynxmill-server-seal").is_empty();
        if !answer.line.starts_with("HTTP/1.1 ") || !(200..600).contains(&status) {
            ledger.broke(format!("{id}: no answer of the protocol: {}", answer.line));
        }
        if !answer.headers.contains_key("content-length") {
            ledger.broke(format!("{id}: an answer without a length"));
        }
        if sealed {
            ledger.got_sealed(
                id,
                answer.header("lynxmill-attempt-id"),
                status,
                &answer.body,
            );
        } else if (200..300).contains(&status) || answer.body.len() > 40 {
            ledger.broke(format!(
                "{id}: {status} without a seal, {} bytes",
                answer.body.len()
            ));
        }
        // A body too long may also come too late, or find no memory: it goes to no task in any case.
        if raw.refused && (sealed || !matches!(status, 404 | 408 | 413 | 503)) {
            ledger.broke(format!("{id}: {status} for what is to be refused"));
        }
        if PROMISES.contains(&status) {
            ledger.promised(id, status);
        }
        ledger.count(&if sealed {
            format!("{status} sealed")
        } else {
            format!("{status}")
        });
    }

    /// The answer to the oldest request that waits; false if the edge closes instead.
    async fn answer(&mut self, wire: &mut Wire, raw: &Raw) -> bool {
        match timeout(MOST, wire.next()).await {
            Err(_) => {
                self.ledger
                    .borrow_mut()
                    .broke(format!("{}: no answer and no close in {MOST:?}", raw.id));
                false
            }
            Ok(None) => {
                if !wire.bytes.is_empty() {
                    self.ledger.borrow_mut().count("closed in an answer");
                }
                self.ledger.borrow_mut().count("closed");
                false
            }
            Ok(Some(answer)) => {
                self.take(raw, &answer);
                !answer.header("connection").contains("close")
            }
        }
    }

    /// Reads a part of the answers and goes.
    async fn abandon(&mut self, mut wire: Wire, bytes: usize) {
        while wire.bytes.len() < bytes {
            let left = bytes - wire.bytes.len();
            if timeout(MOST, wire.read(left)).await.unwrap_or(0) == 0 {
                break;
            }
        }
        self.hang_up(wire);
    }

    fn hang_up(&mut self, wire: Wire) {
        if self.chance.one_in(2) {
            wire.reset();
        }
    }

    /// Nothing more comes where no request waits.
    async fn finish(&mut self, mut wire: Wire, last: &str) {
        let _ = wire.stream.shutdown().await;
        while timeout(MOST, wire.read(1 << 10)).await.unwrap_or(0) > 0 {}
        if !wire.bytes.is_empty() {
            self.ledger
                .borrow_mut()
                .broke(format!("{last}: bytes where no request waits"));
        }
    }

    /// One connection with some requests; how many it began.
    pub(crate) async fn connection(&mut self) -> usize {
        let count = 1 + self.chance.below(6);
        let raws: Vec<Raw> = (0..count).map(|_| self.request()).collect();
        let leave = self.leave(&raws[count - 1]);
        let stream = TcpStream::connect(&self.edge).await.expect("the edge");
        let mut wire = Wire::new(stream);
        if self.chance.one_in(2) {
            self.pipelined(wire, &raws, leave).await;
            return count;
        }
        for (n, raw) in raws.iter().enumerate() {
            let last = n + 1 == count;
            if let (true, Leave::InRequest(missing)) = (last, &leave) {
                self.write(&mut wire, &raw.bytes[..raw.bytes.len() - missing])
                    .await;
                self.hang_up(wire);
                return count;
            }
            self.sent(&raw.id);
            self.write(&mut wire, &raw.bytes).await;
            if let (true, Leave::InAnswer(bytes)) = (last, &leave) {
                self.abandon(wire, *bytes).await;
                return count;
            }
            if !self.answer(&mut wire, raw).await {
                return n + 1;
            }
        }
        self.finish(wire, &raws[count - 1].id).await;
        count
    }

    async fn pipelined(&mut self, mut wire: Wire, raws: &[Raw], leave: Leave) {
        let mut all: Vec<u8> = raws.iter().flat_map(|raw| raw.bytes.clone()).collect();
        let whole = raws.len() - usize::from(matches!(leave, Leave::InRequest(_)));
        raws[..whole].iter().for_each(|raw| self.sent(&raw.id));
        if let Leave::InRequest(missing) = leave {
            all.truncate(all.len() - missing);
        }
        // Answers are not read before all is written: what is under way is bounded by the sockets' buffers.
        let written = timeout(MOST, self.write(&mut wire, &all)).await;
        if written.is_err() {
            self.ledger
                .borrow_mut()
                .broke(format!("{}: can't write for {MOST:?}", raws[0].id));
        }
        match leave {
            Leave::InRequest(_) => self.hang_up(wire),
            Leave::InAnswer(bytes) => self.abandon(wire, bytes).await,
            Leave::Done => {
                for raw in raws {
                    if !self.answer(&mut wire, raw).await {
                        return;
                    }
                }
                self.finish(wire, &raws[raws.len() - 1].id).await;
            }
        }
    }
}
