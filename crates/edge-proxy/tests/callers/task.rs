//! Scripted tasks: each arrival has a script, drawn from the seed, the request's id and the arrival's number.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, yield_now};

use crate::ledger::{Chance, Ledger};
use crate::wire::{self, Wire};

pub(crate) type Shared = Rc<RefCell<Ledger>>;

/// What a task does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Script {
    Serve,
    ServeInPieces,
    ServeInChunks,
    ServeAndClose,
    SayClose,
    ThenCloseIdle,
    ThenResetIdle,
    ThenSurplus,
    SurplusFirst,
    SurplusLater,
    Doubled,
    ThenGarbage,
    Garbage,
    Switch,
    OddStatus,
    WrongId,
    NoId,
    TwoIds,
    CutClose,
    CutReset,
    Silent,
    Shed,
    Misdirected,
    Fail,
    UnfoundedPromise,
    Unsealed,
    Encoded,
    Unframed,
}

/// Each in turn; the first ones come often.
const SCRIPTS: [Script; 28] = [
    Script::Serve,
    Script::ServeInPieces,
    Script::ServeInChunks,
    Script::ServeAndClose,
    Script::SayClose,
    Script::ThenCloseIdle,
    Script::ThenResetIdle,
    Script::ThenSurplus,
    Script::SurplusFirst,
    Script::SurplusLater,
    Script::Doubled,
    Script::ThenGarbage,
    Script::Garbage,
    Script::Switch,
    Script::OddStatus,
    Script::WrongId,
    Script::NoId,
    Script::TwoIds,
    Script::CutClose,
    Script::CutReset,
    Script::Silent,
    Script::Shed,
    Script::Misdirected,
    Script::Fail,
    Script::UnfoundedPromise,
    Script::Unsealed,
    Script::Encoded,
    Script::Unframed,
];

fn draw(chance: &mut Chance) -> Script {
    match chance.below(10) {
        0..3 => SCRIPTS[chance.below(3)],
        3 => Script::ThenSurplus,
        _ => SCRIPTS[chance.below(SCRIPTS.len())],
    }
}

/// An answer: its status, its further header lines, its body.
fn answer(status: &str, id: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nLynxmill-Attempt-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

const SEAL: &str = "Lynxmill-Server-Seal: 1.2\r\n";
const NOT_RUN: &str = "Lynxmill-Not-Executed: 1\r\n";
const PROMISES: [&str; 3] = ["503 Full", "429 Slow Down", "408 Late"];

/// A whole answer to somebody else, also of the kinds that say that nothing has run.
fn surplus(chance: &mut Chance) -> Vec<u8> {
    match chance.below(4) {
        0 => answer("200 OK", "nobody", SEAL, b"nobody's"),
        1 => answer("503 Full", "nobody", NOT_RUN, b""),
        2 => answer("421 Misdirected", "nobody", "", b""),
        _ => {
            let whole = answer("200 OK", "nobody", SEAL, b"nobody's");
            whole[..chance.below(whole.len())].to_vec()
        }
    }
}

fn chunked(id: &str, body: &[u8], chance: &mut Chance) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nLynxmill-Attempt-Id: {id}\r\n{SEAL}Transfer-Encoding: chunked\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    for chunk in body.chunks(1 + chance.below(body.len())) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        bytes.extend([chunk, b"\r\n"].concat());
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// One connection of a task.
struct Serving {
    seed: u64,
    wire: Wire,
    ledger: Shared,
    /// Bytes to be sent before the next answer.
    stale: Vec<u8>,
}

/// How an exchange leaves the connection.
#[derive(PartialEq, Eq)]
enum After {
    Open,
    Close,
    Reset,
}

impl Serving {
    async fn write(&mut self, bytes: &[u8]) -> After {
        if self.wire.stream.write_all(bytes).await.is_ok() {
            After::Open
        } else {
            After::Close
        }
    }

    async fn pieces(&mut self, bytes: &[u8], chance: &mut Chance) -> After {
        for piece in bytes.chunks(1 + chance.below(bytes.len())) {
            if self.write(piece).await == After::Close {
                return After::Close;
            }
            yield_now().await;
        }
        After::Open
    }

    /// Idle for a moment: the edge may be about to write its next request.
    async fn linger(&self, chance: &mut Chance) {
        for _ in 0..chance.below(40) {
            yield_now().await;
        }
    }

    async fn respond(&mut self, id: &str, number: usize, line: &str) -> After {
        let mut chance = Chance::new(self.seed, &format!("{id}/{number}"));
        let script = draw(&mut chance);
        let length = if chance.one_in(20) {
            chance.below(100_000)
        } else {
            chance.below(300)
        };
        let mut body = format!("{id} {number} {line} ").into_bytes();
        body.extend((0..length).map(|n| b'a' + ((n * 7 + id.len()) % 26) as u8));
        let (status, more): (&str, String) = match script {
            Script::Shed => (PROMISES[chance.below(2)], NOT_RUN.to_owned()),
            Script::Misdirected => ("421 Misdirected", String::new()),
            Script::Fail => ("500 Error", SEAL.to_owned()),
            Script::UnfoundedPromise => (PROMISES[chance.below(3)], SEAL.to_owned()),
            Script::Unsealed => ("200 OK", String::new()),
            Script::Encoded => ("200 OK", format!("{SEAL}Content-Encoding: gzip\r\n")),
            Script::ServeAndClose | Script::SayClose => {
                ("200 OK", format!("{SEAL}Connection: close\r\n"))
            }
            Script::TwoIds => ("200 OK", format!("{SEAL}Lynxmill-Attempt-Id: nobody\r\n")),
            _ => ("200 OK", SEAL.to_owned()),
        };
        let turned_away = matches!(script, Script::Shed | Script::Misdirected);
        let told = status[..3].parse().expect("a status");
        self.ledger
            .borrow_mut()
            .answered(id, number, (told, body.clone()), turned_away);
        let good = answer(status, id, &more, &body);
        let stale = std::mem::take(&mut self.stale);
        if !stale.is_empty() && self.write(&stale).await == After::Close {
            return After::Close;
        }
        self.carry_out(script, id, good, &body, &mut chance).await
    }

    async fn carry_out(
        &mut self,
        script: Script,
        id: &str,
        good: Vec<u8>,
        body: &[u8],
        chance: &mut Chance,
    ) -> After {
        let cut = chance.below(good.len() + 1);
        match script {
            Script::ServeInPieces => self.pieces(&good, chance).await,
            Script::ServeInChunks => {
                let bytes = chunked(id, body, chance);
                self.pieces(&bytes, chance).await
            }
            Script::ServeAndClose => {
                self.write(&good).await;
                After::Close
            }
            Script::ThenCloseIdle | Script::ThenResetIdle => {
                self.write(&good).await;
                self.linger(chance).await;
                if script == Script::ThenCloseIdle {
                    After::Close
                } else {
                    After::Reset
                }
            }
            Script::ThenSurplus => self.write(&[good, surplus(chance)].concat()).await,
            Script::SurplusFirst => self.write(&[surplus(chance), good].concat()).await,
            Script::SurplusLater => {
                let after = self.write(&good).await;
                let late = surplus(chance);
                if chance.one_in(2) {
                    self.stale = late;
                    return after;
                }
                self.linger(chance).await;
                self.write(&late).await
            }
            Script::Doubled => self.write(&[good.clone(), good].concat()).await,
            Script::ThenGarbage => {
                self.write(&[good, b"\x01\r\n\r\nHTTP/".to_vec()].concat())
                    .await
            }
            Script::Garbage => self.write(b"HTTP/1.1 abc\r\n\x02\xff: \r\n\r\n").await,
            Script::Switch => {
                self.write(&answer("101 Switching Protocols", id, SEAL, b""))
                    .await
            }
            Script::OddStatus => self.write(&answer("799 Odd", id, SEAL, b"odd")).await,
            Script::WrongId => {
                self.write(&answer("200 OK", "nobody", SEAL, b"nobody's"))
                    .await
            }
            Script::NoId => {
                self.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
                    .await
            }
            Script::CutClose | Script::CutReset => {
                self.write(&good[..cut]).await;
                if script == Script::CutClose {
                    After::Close
                } else {
                    After::Reset
                }
            }
            Script::Silent => {
                while self.wire.read(1 << 10).await > 0 {}
                After::Close
            }
            Script::Unframed => {
                let head = format!("HTTP/1.1 200 OK\r\nLynxmill-Attempt-Id: {id}\r\n{SEAL}\r\n");
                self.write(&[head.as_bytes(), &body[..chance.below(body.len())]].concat())
                    .await;
                After::Close
            }
            _ => self.write(&good).await,
        }
    }

    /// Reads some bytes of a request and resets; what had reached the socket counts as arrived.
    async fn reset_in_request(mut self, bytes: usize) {
        while self.wire.bytes.len() < bytes {
            let left = bytes - self.wire.bytes.len();
            if self.wire.read(left).await == 0 {
                return;
            }
        }
        let arrived = self.wire.arrived().to_vec();
        if let Some((head, _)) = wire::head(&arrived) {
            let whole = wire::message(&arrived).map(|(message, _)| message.body);
            let id = head.header("lynxmill-attempt-id");
            self.ledger
                .borrow_mut()
                .arrived(id, &head.line, whole.as_deref());
        }
        self.wire.reset();
    }

    async fn serve(mut self, mut chance: Chance) {
        loop {
            if chance.one_in(25) {
                let bytes = if chance.one_in(4) {
                    chance.below(100_000)
                } else {
                    chance.below(400)
                };
                return self.reset_in_request(bytes).await;
            }
            let Some(request) = self.wire.next().await else {
                return;
            };
            let id = request.header("lynxmill-attempt-id").to_owned();
            let number = self
                .ledger
                .borrow_mut()
                .arrived(&id, &request.line, Some(&request.body));
            let after = self.respond(&id, number, &request.line).await;
            if after == After::Reset {
                return self.wire.reset();
            }
            if after == After::Close {
                return;
            }
        }
    }
}

/// Serves a task's connections.
pub(crate) async fn run(seed: u64, listener: TcpListener, ledger: Shared) {
    for connection in 0.. {
        let (stream, from) = listener.accept().await.expect("a connection");
        let chance = Chance::new(seed, &format!("{connection} {}", from.port()));
        let serving = Serving {
            seed,
            wire: Wire::new(stream),
            ledger: ledger.clone(),
            stale: Vec::new(),
        };
        spawn_local(serving.serve(chance));
    }
}
