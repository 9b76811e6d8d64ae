//! Connections to tasks, and one exchange on one of them. An answer counts only whole and with the id that was sent.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

type Sender = SendRequest<Full<Bytes>>;

/// The longest answer that is held, in bytes.
const LONGEST: usize = 64 << 20;
/// An idle connection that its task may be about to close carries nothing that may run only once.
const OLD: Duration = Duration::from_millis(4_000);
/// What is idle for longer is closed.
const IDLE: Duration = Duration::from_millis(8_000);

struct Idle {
    sender: Sender,
    since: Instant,
    /// How long its task said that it keeps it.
    keeps: Duration,
}

/// Connections to one task.
#[derive(Default)]
pub struct Pool {
    idle: VecDeque<Idle>,
    pub open: usize,
}

#[derive(Default)]
pub struct Pools {
    tasks: BTreeMap<String, Pool>,
}

impl Pools {
    /// The connection used last, if one is fit for what is sent.
    fn take(&mut self, id: &str, once: bool) -> Option<Sender> {
        let pool = self.tasks.get_mut(id)?;
        while let Some(idle) = pool.idle.pop_back() {
            let age = idle.since.elapsed();
            let fit = !idle.sender.is_closed() && age < idle.keeps.min(if once { OLD } else { IDLE });
            if fit {
                return Some(idle.sender);
            }
            pool.open -= 1;
        }
        None
    }

    fn opened(&mut self, id: &str, most: usize) -> bool {
        let pool = self.tasks.entry(id.to_owned()).or_default();
        let room = pool.open < most;
        pool.open += usize::from(room);
        room
    }

    fn give(&mut self, id: &str, sender: Option<Sender>, keeps: Duration) {
        let Some(pool) = self.tasks.get_mut(id) else { return };
        match sender {
            Some(sender) => pool.idle.push_back(Idle { sender, since: Instant::now(), keeps }),
            None => pool.open = pool.open.saturating_sub(1),
        }
    }

    /// Closes what has been idle for long.
    pub fn sweep(&mut self) {
        for pool in self.tasks.values_mut() {
            let before = pool.idle.len();
            pool.idle.retain(|idle| !idle.sender.is_closed() && idle.since.elapsed() < idle.keeps.min(IDLE));
            pool.open -= before - pool.idle.len();
        }
        self.tasks.retain(|_, pool| pool.open > 0);
    }
}

/// A task's whole answer.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// Nothing was sent: the task can't be reached, or there are too many connections.
    Unsent(&'static str),
    /// It may have run.
    Sent(&'static str),
    /// No answer in time; it may have run.
    Late,
}

/// What is to be sent, and to whom.
pub struct UpstreamRequest<'a> {
    pub id: &'a str,
    pub address: &'a str,
    /// Connections that may be open there.
    pub most: usize,
    /// It may run only once.
    pub once: bool,
    /// `Lynxmill-Attempt-Id`.
    pub attempt: &'a str,
    /// By when a connection has to be open.
    pub connect: Instant,
    pub until: Instant,
}

/// Gives a connection back, closed, if nobody says otherwise.
struct Held<'a> {
    pools: &'a std::cell::RefCell<Pools>,
    id: &'a str,
    open: bool,
}

impl Held<'_> {
    fn keep(mut self, sender: Sender, keeps: Duration) {
        self.open = false;
        self.pools.borrow_mut().give(self.id, Some(sender), keeps);
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if self.open {
            self.pools.borrow_mut().give(self.id, None, Duration::ZERO);
        }
    }
}

async fn connect(address: &str) -> Result<Sender, &'static str> {
    let stream = TcpStream::connect(address).await.map_err(|_| "refused")?;
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(Duration::from_secs(3)));
    let shaken = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, conn) = shaken.map_err(|_| "handshake")?;
    tokio::task::spawn_local(async move {
        let _ = conn.await;
    });
    Ok(sender)
}

/// How long a task keeps an idle connection, by what its answer says.
fn keeps(headers: &HeaderMap) -> Duration {
    let told = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = told.and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")));
    let seconds = seconds.and_then(|s| s.parse::<f64>().ok()).filter(|s| *s >= 0.0 && *s < 3600.0);
    // A whole second less: it counts from when the task sent it.
    seconds.map_or(IDLE, |s| Duration::from_secs_f64((s - 1.0).max(0.0)))
}

/// Sends a request and takes the whole answer.
pub async fn exchange(
    pools: &std::cell::RefCell<Pools>,
    errand: &UpstreamRequest<'_>,
    mut request: Request<Full<Bytes>>,
) -> Result<Answer, UpstreamError> {
    // A connection may have been closed while it stood idle: what was not written is given back.
    loop {
        let idle = pools.borrow_mut().take(errand.id, errand.once);
        let reused = idle.is_some();
        let mut sender = match idle {
            Some(sender) => sender,
            None => {
                if !pools.borrow_mut().opened(errand.id, errand.most) {
                    return Err(UpstreamError::Unsent("conns"));
                }
                let until = errand.until.min(errand.connect);
                let held = Held { pools, id: errand.id, open: true };
                let sender = match timeout_at(until, connect(errand.address)).await {
                    Ok(Ok(sender)) => sender,
                    Ok(Err(why)) => return Err(UpstreamError::Unsent(why)),
                    Err(_) => return Err(UpstreamError::Unsent("connect")),
                };
                std::mem::forget(held);
                sender
            }
        };
        let held = Held { pools, id: errand.id, open: true };
        if reused && sender.ready().await.is_err() {
            continue;
        }
        let sent = match timeout_at(errand.until, sender.try_send_request(request)).await {
            Err(_) => return Err(UpstreamError::Late),
            Ok(sent) => sent,
        };
        let response = match sent {
            Ok(response) => response,
            Err(mut fault) => match fault.take_message() {
                Some(back) if reused => {
                    request = back;
                    continue;
                }
                Some(_) => return Err(UpstreamError::Unsent("closed")),
                None => return Err(UpstreamError::Sent("broken")),
            },
        };
        let (head, mut body) = response.into_parts();
        let mut whole = BytesMut::new();
        loop {
            match timeout_at(errand.until, body.frame()).await {
                Err(_) => return Err(UpstreamError::Late),
                Ok(None) => break,
                Ok(Some(Err(_))) => return Err(UpstreamError::Sent("cut")),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        whole.extend_from_slice(&data);
                    }
                }
            }
            if whole.len() > LONGEST {
                return Err(UpstreamError::Sent("too-long"));
            }
        }
        let echoed = head.headers.get("lynxmill-attempt-id").and_then(|v| v.to_str().ok());
        if echoed != Some(errand.attempt) {
            return Err(UpstreamError::Sent("stray"));
        }
        let closes = head.headers.get("connection").and_then(|v| v.to_str().ok());
        if !closes.is_some_and(|v| v.to_ascii_lowercase().contains("close")) {
            held.keep(sender, keeps(&head.headers));
        }
        return Ok(Answer { status: head.status, headers: head.headers, body: whole.freeze() });
    }
}
