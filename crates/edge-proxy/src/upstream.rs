//! One exchange with a task. An answer counts only whole and with the id that was sent.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::ext::ReasonPhrase;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::headers::{ATTEMPT_ID, closes_connection, text};
use crate::memory::{BodyMemory, Reservation};
use crate::pool::{Checkout, Connection, MAX_IDLE, Pools};

/// The longest answer that is held, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// An answer that is no longer, in bytes, never waits for memory: those that are long can't hold it up.
const SMALL_RESPONSE_BYTES: usize = 64 << 10;
/// How long bytes may stay unacknowledged by a task.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why nothing was sent: the task may get no requests any more.
pub(crate) const WITHDRAWN: &str = "withdrawn";

/// A task's whole answer.
pub struct UpstreamResponse {
    /// From 200 to 599.
    pub status: StatusCode,
    /// As they came.
    pub headers: HeaderMap,
    /// All of it.
    pub body: Bytes,
    /// The memory that the body takes up.
    pub reservation: Reservation,
}

/// Why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// Nothing was sent: the task can't be reached, or there are too many connections.
    NotSent(&'static str),
    /// It may have run.
    MayHaveRun(&'static str),
    /// No answer in time; it may have run.
    TimedOut,
    /// There was no memory for the answer in time; it has run.
    NoMemory,
}

/// What is to be sent, and to whom.
pub struct UpstreamRequest<'a> {
    /// The task's `InstanceId`.
    pub id: &'a str,
    /// Where it listens.
    pub address: &'a str,
    /// Connections that may be open there.
    pub max_connections: usize,
    /// It may run only once.
    pub fresh_only: bool,
    /// `Lynxmill-Attempt-Id`.
    pub attempt_id: &'a str,
    /// By when a connection has to be open.
    pub connect_deadline: Instant,
    /// By when the answer has to be whole.
    pub deadline: Instant,
    /// What answers hold.
    pub memory: &'a Arc<BodyMemory>,
    /// Whether the request may still go to this task. It is asked once a connection is open: meanwhile the task
    /// may have begun to drain, or its zone may have been evacuated.
    pub is_allowed: &'a dyn Fn() -> bool,
}

async fn connect(address: &str) -> Result<Connection, &'static str> {
    let stream = TcpStream::connect(address).await.map_err(|_| "refused")?;
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let shaken = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, conn) = shaken.map_err(|_| "handshake")?;
    let driver = tokio::task::spawn_local(async move {
        let _ = conn.await;
    });
    Ok(Connection::new(sender, driver.abort_handle()))
}

/// How long a task keeps an idle connection, by what its answer says.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let seconds = text(headers, "keep-alive")
        .and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
        .and_then(|s| s.parse::<f64>().ok())
        .filter(|s| *s >= 0.0 && *s < 3600.0);
    // A whole second less: it counts from when the task sent it.
    seconds.map_or(MAX_IDLE, |s| Duration::from_secs_f64((s - 1.0).max(0.0)))
}

async fn open<'a>(
    pools: &'a RefCell<Pools>,
    call: &UpstreamRequest<'a>,
) -> Result<Checkout<'a>, UpstreamError> {
    let mut place = Checkout::reserve(pools, call.id, call.max_connections)
        .ok_or(UpstreamError::NotSent("conns"))?;
    match timeout_at(
        call.deadline.min(call.connect_deadline),
        connect(call.address),
    )
    .await
    {
        Ok(Ok(connection)) if (call.is_allowed)() => place.opened(connection),
        Ok(Ok(_)) => return Err(UpstreamError::NotSent(WITHDRAWN)),
        Ok(Err(reason)) => return Err(UpstreamError::NotSent(reason)),
        Err(_) => return Err(UpstreamError::NotSent("connect")),
    }
    Ok(place)
}

/// How a request went out on a connection.
enum SendResult {
    Answering(Response<Incoming>),
    /// The connection had been closed before: none of it was written.
    NotWritten(Request<Full<Bytes>>),
}

async fn send(
    connection: &mut Checkout<'_>,
    until: Instant,
    request: Request<Full<Bytes>>,
) -> Result<SendResult, UpstreamError> {
    let Some(sender) = connection.sender() else {
        return Ok(SendResult::NotWritten(request));
    };
    match timeout_at(until, sender.try_send_request(request)).await {
        Err(_) => Err(UpstreamError::TimedOut),
        Ok(Ok(response)) => Ok(SendResult::Answering(response)),
        Ok(Err(mut fault)) => fault
            .take_message()
            .map(SendResult::NotWritten)
            .ok_or(UpstreamError::MayHaveRun("broken")),
    }
}

/// The whole body of an answer. It is read only as far as there is memory for it.
async fn collect(
    mut body: Incoming,
    until: Instant,
    reservation: &mut Reservation,
    longest: usize,
) -> Result<Bytes, UpstreamError> {
    let length = body.size_hint().lower();
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > longest {
        return Err(UpstreamError::MayHaveRun("too-long"));
    }
    // All of it at once, so that no two answers each hold what the other waits for.
    if length > SMALL_RESPONSE_BYTES && !reservation.hold_when_free(length, until).await {
        return Err(UpstreamError::NoMemory);
    }
    let mut whole = BytesMut::with_capacity(length);
    loop {
        match timeout_at(until, body.frame()).await {
            Err(_) => return Err(UpstreamError::TimedOut),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(_))) => return Err(UpstreamError::MayHaveRun("cut")),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    whole.extend_from_slice(&data);
                }
            }
        }
        if whole.len() > longest {
            return Err(UpstreamError::MayHaveRun("too-long"));
        }
        let is_small = whole.len() <= SMALL_RESPONSE_BYTES;
        if !is_small && !reservation.hold_when_free(whole.len(), until).await {
            return Err(UpstreamError::NoMemory);
        }
    }
}

/// Whether an answer tells its own end: by a length, in chunks, or by saying that it ends with its connection. Of one that
/// says nothing, a part looks like the whole.
fn has_framing(response: &Response<Incoming>) -> bool {
    let coding = text(response.headers(), "transfer-encoding").map(str::to_ascii_lowercase);
    response.body().size_hint().exact().is_some()
        || coding.is_some_and(|v| v.trim().ends_with("chunked"))
        || closes_connection(response.headers())
}

/// Whether an answer is to this request: it echoes its id, and no other.
fn echoes_attempt(headers: &HeaderMap, attempt: &str) -> bool {
    let mut ids = headers.get_all(ATTEMPT_ID).iter().peekable();
    ids.peek().is_some() && ids.all(|id| id.as_bytes() == attempt.as_bytes())
}

/// Whether some text holds the start of another answer: a part of a surplus answer stood before this one,
/// and its status is not this one's.
fn holds_status_line(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let status = |rest: &str| {
        rest.get(2..5)
            .is_some_and(|code| code.bytes().all(|b| b.is_ascii_digit()))
    };
    text.split("HTTP/1.").skip(1).any(status)
}

/// Whether an answer's head was run together with a part of another's.
fn has_glued_head(response: &Response<Incoming>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let mut values = response.headers().values();
    reason.is_some_and(|reason| holds_status_line(reason.as_bytes()))
        || values.any(|value| holds_status_line(value.as_bytes()))
}

/// Why the head of an answer is none that may be passed on.
fn protocol_violation(response: &Response<Incoming>, attempt: &str) -> Option<&'static str> {
    match response {
        _ if !echoes_attempt(response.headers(), attempt) => Some("stray"),
        _ if !(200..600).contains(&response.status().as_u16()) => Some("garbled"),
        _ if has_glued_head(response) => Some("garbled"),
        _ if !has_framing(response) => Some("unframed"),
        _ => None,
    }
}

/// Sends a request and reads the whole answer.
///
/// # Errors
///
/// [`UpstreamError`], which says whether the task may have run the request: only then is a retry unsafe.
pub async fn exchange(
    pools: &RefCell<Pools>,
    call: &UpstreamRequest<'_>,
    mut request: Request<Full<Bytes>>,
) -> Result<UpstreamResponse, UpstreamError> {
    loop {
        let idle = Checkout::idle(pools, call.id, call.fresh_only);
        let reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => open(pools, call).await?,
        };
        let response = match send(&mut connection, call.deadline, request).await? {
            SendResult::Answering(response) => response,
            // It may have been closed while it stood idle: the next one may do.
            SendResult::NotWritten(back) if reused => {
                request = back;
                continue;
            }
            SendResult::NotWritten(_) => return Err(UpstreamError::NotSent("closed")),
        };
        if let Some(reason) = protocol_violation(&response, call.attempt_id) {
            return Err(UpstreamError::MayHaveRun(reason));
        }
        let (head, body) = response.into_parts();
        let mut reservation = Reservation::new(call.memory);
        let longest = MAX_RESPONSE_BYTES.min(call.memory.limit());
        let body = collect(body, call.deadline, &mut reservation, longest).await?;
        if !closes_connection(&head.headers) {
            connection.return_to_pool(keep_alive(&head.headers));
        }
        return Ok(UpstreamResponse {
            status: head.status,
            headers: head.headers,
            body,
            reservation,
        });
    }
}
