//! Stands in for servers: each at an address of its own, with cores, work, warmth, a memory of slices and a bound of its
//! own on what it takes on at once. Every effect goes into one ledger that all share, so that rules can be checked
//! against what really ran where.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use actix_server::{Server, ServerHandle};
use bytes::Bytes;
use futures_util::{StreamExt, stream};

use crate::serve::{hang_up, http};

/// What a server is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerKind {
    pub cores: usize,
    /// What an invocation takes of a core, and a write.
    pub work: Duration,
    pub write_work: Duration,
    /// The part of its pace that it has at its start, and when it has all.
    pub cold_from: f64,
    pub warm_after: Duration,
    /// A slice that it has not met for the warming time takes so many times as long.
    pub strange: f64,
    /// Invocations at once; more are turned back with 429.
    pub most: usize,
}

/// How a server misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Misbehavior {
    #[default]
    Well,
    /// Takes connections and says nothing; nothing runs.
    Silent,
    /// Runs what it gets and breaks off before the answer.
    BreaksAfter,
}

/// Something that ran.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutedRequest {
    pub server: String,
    /// The client's own number of it.
    pub id: String,
    pub operation: String,
    pub write: bool,
    pub slice: usize,
    pub generation: u64,
    pub began: Duration,
    /// When its core is done with it, whoever waits for it then.
    pub ended: Duration,
    /// Seconds of a core, as a warm server would need.
    pub work: f64,
}

/// All that ran, in the order in which it began.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    pub ran: Vec<ExecutedRequest>,
    /// When each server last started, and its nature.
    pub started: BTreeMap<String, Duration>,
}

struct Inner {
    nature: WorkerKind,
    mood: Misbehavior,
    started: Duration,
    /// When each core is free.
    cores: Vec<Duration>,
    met: BTreeMap<usize, Duration>,
    inside: usize,
}

struct Shared {
    begun: Instant,
    ledger: Mutex<ExecutionLog>,
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// All servers' common ledger and clock.
#[derive(Clone)]
pub struct Workers(Arc<Shared>);

impl Default for Workers {
    fn default() -> Self {
        Workers(Arc::new(Shared {
            begun: Instant::now(),
            ledger: Mutex::default(),
        }))
    }
}

impl Workers {
    pub fn now(&self) -> Duration {
        self.0.begun.elapsed()
    }

    pub fn ledger(&self) -> MutexGuard<'_, ExecutionLog> {
        locked(&self.0.ledger)
    }

    /// Starts a server on a free port, cold; `warm` counts as having started long ago.
    pub fn start(&self, name: &str, nature: WorkerKind, warm: bool) -> std::io::Result<Worker> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let at = listener.local_addr()?;
        let now = self.now();
        self.ledger()
            .started
            .insert(name.to_owned(), if warm { Duration::ZERO } else { now });
        let server = Inner {
            nature,
            mood: Misbehavior::Well,
            started: now,
            cores: vec![Duration::ZERO; nature.cores.max(1)],
            met: BTreeMap::new(),
            inside: 0,
        };
        let one = Arc::new(One {
            name: name.to_owned(),
            warm,
            server: Mutex::new(server),
            all: self.clone(),
        });
        let served = one.clone();
        let (tell, told) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let serving = actix_rt::System::new().block_on(async {
                let server = Server::build().workers(1).disable_signals();
                let server = server
                    .listen("worker", listener, http(&served, answer))?
                    .run();
                let _ = tell.send(server.handle());
                server.await
            });
            if let Err(fail) = serving {
                eprintln!("stand-in server: {fail}");
            }
        });
        let handle = told.recv().map_err(std::io::Error::other)?;
        Ok(Worker { one, handle, at })
    }
}

struct One {
    name: String,
    warm: bool,
    server: Mutex<Inner>,
    all: Workers,
}

/// A server that runs.
pub struct Worker {
    one: Arc<One>,
    handle: ServerHandle,
    pub at: SocketAddr,
}

impl Worker {
    pub fn name(&self) -> &str {
        &self.one.name
    }

    pub fn mood(&self, mood: Misbehavior) {
        locked(&self.one.server).mood = mood;
    }

    /// Ends it as a kill would: what it had under way comes to nothing.
    pub fn kill(&self) {
        locked(&self.one.server).mood = Misbehavior::Silent;
        drop(self.handle.stop(false));
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        drop(self.handle.stop(false));
    }
}

/// Counts an invocation as long as it is in hand.
struct Inside(Arc<One>);

impl Drop for Inside {
    fn drop(&mut self) {
        locked(&self.0.server).inside -= 1;
    }
}

fn number(asked: &Request, head: &str) -> Option<u64> {
    asked.headers().get(head)?.to_str().ok()?.parse().ok()
}

fn word<'a>(asked: &'a Request, head: &str) -> &'a str {
    asked
        .headers()
        .get(head)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// The part of its pace that a server has.
pub fn warmth(nature: &WorkerKind, since: Duration) -> f64 {
    let warm = (since.as_secs_f64() / nature.warm_after.as_secs_f64().max(1e-9)).min(1.0);
    nature.cold_from + (1.0 - nature.cold_from) * warm
}

impl One {
    /// When what begins now will be done, and what it takes of a warm core.
    fn plan(&self, now: Duration, slice: usize, write: bool) -> (Duration, f64) {
        let mut server = locked(&self.server);
        let nature = server.nature;
        let known = server
            .met
            .insert(slice, now)
            .is_some_and(|at| now - at < nature.warm_after);
        let pace = if self.warm {
            1.0
        } else {
            warmth(&nature, now - server.started)
        };
        let work = if write {
            nature.write_work
        } else {
            nature.work
        }
        .as_secs_f64();
        let work = if known { work } else { work * nature.strange };
        let Some(core) = server.cores.iter_mut().min() else {
            return (now, work);
        };
        *core = (*core).max(now) + Duration::from_secs_f64(work / pace.max(0.01));
        (*core, work)
    }
}

async fn answer(one: Arc<One>, mut asked: Request) -> Response<BoxBody> {
    let (mood, full) = {
        let server = locked(&one.server);
        (server.mood, server.inside >= server.nature.most)
    };
    if mood == Misbehavior::Silent {
        return std::future::pending().await;
    }
    if full {
        return Response::build(StatusCode::TOO_MANY_REQUESTS)
            .body("full\n")
            .map_into_boxed_body();
    }
    locked(&one.server).inside += 1;
    let inside = Inside(one.clone());
    // The whole of it counts: what comes in part never runs.
    let (mut payload, mut bytes) = (asked.take_payload(), 0_u64);
    while let Some(piece) = payload.next().await {
        match piece {
            Ok(piece) => bytes += piece.len() as u64,
            Err(_) => {
                return Response::build(StatusCode::BAD_REQUEST)
                    .finish()
                    .map_into_boxed_body();
            }
        }
    }
    let operation = asked
        .path()
        .split('/')
        .nth(1)
        .unwrap_or_default()
        .to_owned();
    let write = operation == "vote";
    let slice = number(&asked, "x-lynxmill-slice").unwrap_or(0) as usize;
    let now = one.all.now();
    let (until, work) = one.plan(now, slice, write);
    one.all.ledger().ran.push(ExecutedRequest {
        server: one.name.clone(),
        id: word(&asked, "x-id").to_owned(),
        operation,
        write,
        slice,
        generation: number(&asked, "x-lynxmill-generation").unwrap_or(0),
        began: now,
        ended: until,
        work,
    });
    if until > now {
        actix_rt::time::sleep(until - now).await;
    }
    if locked(&one.server).mood == Misbehavior::BreaksAfter {
        hang_up(&asked);
        return std::future::pending().await;
    }
    let load = format!(
        "outstanding:{}",
        locked(&one.server).inside.saturating_sub(1)
    );
    drop(inside);
    let mut answer = Response::ok();
    for (name, value) in [
        ("x-lynxmill-load", load),
        ("x-server", one.name.clone()),
        ("x-bytes", bytes.to_string()),
    ] {
        if let Ok(value) = value.parse() {
            answer
                .headers_mut()
                .insert(actix_http::header::HeaderName::from_static(name), value);
        }
    }
    match number(&asked, "x-want-bytes") {
        Some(want) => answer
            .set_body(BodyStream::new(flow(want)))
            .map_body(|_, body| body.boxed()),
        None => answer.set_body("done\n").map_into_boxed_body(),
    }
}

/// So many bytes, as quickly as they are taken.
fn flow(want: u64) -> impl stream::Stream<Item = Result<Bytes, std::io::Error>> {
    const PIECE: u64 = 16 << 10;
    let piece = Bytes::from(vec![b'r'; PIECE as usize]);
    stream::unfold(want, move |left| {
        let piece = piece.clone();
        async move {
            let now = left.min(PIECE);
            (now > 0).then(|| (Ok(piece.slice(..now as usize)), left - now))
        }
    })
}
