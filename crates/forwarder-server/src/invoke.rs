//! One invocation, carried out as its flight says: what is decided is decided there.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodySize, BodyStream, BoxBody, MessageBody, SizedStream};
use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use actix_http::{HttpMessage, Method, Request, RequestHead, Response, StatusCode, Version};
use bytes::Bytes;
use futures_util::stream;
use lynxmill_forwarder::{
    AttemptFate, AttemptProgress, Effect, FinalOutcome, Grant, MatchedRoute, ObservedAttempt,
    PooledConnection, RequestFlight, RetainedBody, Step,
};
use lynxmill_time::{TimeDelta, Timestamp};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

use crate::app::App;
use crate::back::{
    Answer, ExchangeError, ExchangeOutcome, ServerConnection, Source, Timeouts, exchange,
};
use crate::start::SkippedGuard;

/// Heads of our own: which slice, of which generation its owner is, which try; the server's word on its load; and what
/// a client is told of an invocation that was given up.
const SLICE: HeaderName = HeaderName::from_static("x-lynxmill-slice");
const GENERATION: HeaderName = HeaderName::from_static("x-lynxmill-generation");
const TRY: HeaderName = HeaderName::from_static("x-lynxmill-try");
const LOAD: HeaderName = HeaderName::from_static("x-lynxmill-load");
const REASON: HeaderName = HeaderName::from_static("x-lynxmill-reason");
const RAN: HeaderName = HeaderName::from_static("x-lynxmill-ran");
const RETURN: HeaderName = HeaderName::from_static("x-lynxmill-return-ms");
const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY: [HeaderName; 3] = [
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authenticate"),
    HeaderName::from_static("proxy-authorization"),
];

/// Whether a head is for the next hop alone.
fn hop(name: &HeaderName, named: &[String]) -> bool {
    [
        CONNECTION,
        KEEP_ALIVE,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ]
    .contains(name)
        || PROXY.contains(name)
        || named
            .iter()
            .any(|other| name.as_str().eq_ignore_ascii_case(other))
}

/// The heads that `connection` names.
fn named(heads: &HeaderMap) -> Vec<String> {
    let values = heads
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| {
            value
                .split(',')
                .map(|name| name.trim().to_owned())
                .collect::<Vec<_>>()
        })
        .collect()
}

fn given_up(end: &FinalOutcome, last: bool) -> Response<BoxBody> {
    let status = StatusCode::from_u16(end.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let ran = if end.may_have_run { "maybe" } else { "no" };
    let mut answer = Response::build(status);
    answer
        .insert_header((REASON, end.code))
        .insert_header((RAN, ran));
    if let Some(after) = end.return_after {
        let seconds = after.secs().ceil().max(1.0);
        answer.insert_header((RETRY_AFTER, format!("{seconds}")));
        answer.insert_header((RETURN, (after.micros() / 1000).max(1).to_string()));
    }
    if last {
        answer.force_close();
    }
    answer.body(format!("{}\n", end.code)).map_into_boxed_body()
}

/// Counts an invocation for as long as it lasts, its answer's body included.
struct BusyGuard(Rc<App>);

impl BusyGuard {
    fn begin(app: &Rc<App>) -> Self {
        app.gate.borrow_mut().begin();
        BusyGuard(app.clone())
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.gate.borrow_mut().done();
    }
}

/// A connection in use: given back, closed, if nobody says otherwise.
struct ConnectionGuard {
    app: Rc<App>,
    server: String,
    conn: Option<PooledConnection>,
}

impl ConnectionGuard {
    fn over(mut self, wire: Option<ServerConnection>) {
        self.give(wire);
    }

    fn give(&mut self, wire: Option<ServerConnection>) {
        if let Some(conn) = self.conn.take() {
            self.app.give(&self.server, conn, wire);
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.give(None);
    }
}

/// What goes to the server: the client's heads but those for this hop, and what the tables say.
fn onward(asked: &Request, flight: &RequestFlight, generation: u64) -> RequestHead {
    let head = asked.head();
    let mut onward = RequestHead::default();
    onward.method = head.method.clone();
    onward.version = Version::HTTP_11;
    // The path alone: a whole URI is for proxies.
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    onward.uri = path.parse().unwrap_or_default();
    let named = named(&head.headers);
    for (name, value) in &head.headers {
        if !hop(name, &named) && ![CONTENT_LENGTH, EXPECT, SLICE, GENERATION, TRY].contains(name) {
            onward.headers.append(name.clone(), value.clone());
        }
    }
    if !onward.headers.contains_key(HOST) {
        let host = head
            .uri
            .authority()
            .and_then(|a| HeaderValue::from_str(a.as_str()).ok());
        onward.headers.insert(
            HOST,
            host.unwrap_or_else(|| HeaderValue::from_static("lynxmill")),
        );
    }
    for (name, value) in [
        (SLICE, flight.slice as u64),
        (GENERATION, generation),
        (TRY, u64::from(flight.tries())),
    ] {
        onward.headers.insert(name, HeaderValue::from(value));
    }
    onward
}

fn size(asked: &Request) -> BodySize {
    let heads = asked.headers();
    if heads.contains_key(TRANSFER_ENCODING) {
        return BodySize::Stream;
    }
    let length = heads
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let bodied = [Method::POST, Method::PUT, Method::PATCH].contains(asked.method());
    length.map_or(
        if bodied {
            BodySize::Sized(0)
        } else {
            BodySize::None
        },
        BodySize::Sized,
    )
}

/// An answer on its way to the client.
struct ForwardedResponse {
    answer: Option<Answer>,
    held: Option<ConnectionGuard>,
    server: String,
    _busy: BusyGuard,
}

impl ForwardedResponse {
    async fn next(mut self) -> Option<(Result<Bytes, std::io::Error>, Option<Self>)> {
        let answer = self.answer.as_mut()?;
        match answer.next().await {
            Ok(Some(piece)) => Some((Ok(piece), Some(self))),
            Ok(None) => {
                self.end();
                None
            }
            Err(broke) => {
                log::info!(server = self.server.as_str(), reason = broke.code();
                    "answer of {} ended reason={}", self.server, broke.code());
                if let Some(held) = &self.held {
                    held.app.count(broke.code());
                }
                Some((Err(std::io::Error::other(broke.code())), None))
            }
        }
    }

    fn end(&mut self) {
        if let (Some(answer), Some(held)) = (self.answer.take(), self.held.take()) {
            held.over(answer.over());
        }
    }
}

/// What a try has come to.
enum AttemptOutcome {
    Passed(Response<BoxBody>),
    Failed(AttemptFate),
    /// The tables changed before anything of it was sent.
    Overtaken,
    /// The client's own fault, or it has gone.
    Client(&'static str),
}

struct Invocation {
    app: Rc<App>,
    asked: Request,
    flight: RequestFlight,
    source: Rc<RefCell<Source>>,
    charge: Rc<str>,
    last: bool,
    busy: Cell<Option<BusyGuard>>,
}

impl Invocation {
    fn look(&mut self) -> Step {
        let (app, flight) = (&self.app, &mut self.flight);
        app.see(flight.slice, flight.operation, |now, sight| {
            flight.look(&app.terms, now, sight)
        })
    }

    fn failed(&mut self, fate: AttemptFate) -> Step {
        let (app, flight) = (&self.app, &mut self.flight);
        let seen = RetainedBody {
            kept: self.source.borrow().kept(),
            gone: false,
        };
        // Without its guard everything is tried again.
        if app.wish.fault == Some(SkippedGuard::RepeatsAll) && flight.tries() < 3 {
            return app.see(flight.slice, flight.operation, |now, sight| {
                flight.look(&app.terms, now, sight)
            });
        }
        app.see(flight.slice, flight.operation, |now, sight| {
            flight.failed(&app.terms, now, fate, seen, sight)
        })
    }

    fn overtaken(&mut self) -> Step {
        let (app, flight) = (&self.app, &mut self.flight);
        let seen = RetainedBody {
            kept: self.source.borrow().kept(),
            gone: false,
        };
        app.see(flight.slice, flight.operation, |now, sight| {
            flight.overtaken(&app.terms, now, seen, sight)
        })
    }

    fn met(&self, server: &str, ok: bool, took: TimeDelta, load: Option<&str>) {
        self.app.sums.borrow_mut().met(&ObservedAttempt {
            assigner: &self.charge,
            server,
            ok,
            took,
            load,
        });
    }

    /// An invocation that was let in has ended.
    fn asked(&self, ok: bool) {
        let operation = &self.app.terms.operations[self.flight.operation].name;
        self.app
            .sums
            .borrow_mut()
            .asked(&self.charge, self.flight.slice, operation, ok);
    }

    /// Carries out what the flight says until its end.
    async fn fly(&mut self) -> Response<BoxBody> {
        let mut step = self.look();
        loop {
            step = match step {
                Step::End(end) => {
                    self.app.count(end.code);
                    if end.code != "level" {
                        self.asked(false);
                    }
                    return given_up(&end, self.last);
                }
                Step::Wait { until } => {
                    let app = self.app.clone();
                    let changed = app.changed.notified();
                    tokio::pin!(changed);
                    changed.as_mut().enable();
                    // What has changed since the last look is not missed.
                    match self.look() {
                        Step::Wait { .. } => {
                            let _ = timeout_at(app.clock.instant(until), changed).await;
                            self.look()
                        }
                        other => other,
                    }
                }
                Step::Try {
                    server,
                    generation,
                    patience,
                } => {
                    let began = self.app.now();
                    match self.attempt(&server, generation, patience).await {
                        AttemptOutcome::Passed(answer) => return answer,
                        AttemptOutcome::Overtaken => self.overtaken(),
                        AttemptOutcome::Client(code) => {
                            self.app.count(code);
                            self.asked(false);
                            let status = if code == "client-stalled" { 408 } else { 400 };
                            let ran = FinalOutcome {
                                status,
                                code,
                                may_have_run: true,
                                return_after: None,
                            };
                            return given_up(&ran, true);
                        }
                        AttemptOutcome::Failed(fate) => {
                            self.met(&server, false, self.app.now() - began, None);
                            self.failed(fate)
                        }
                    }
                }
            };
        }
    }

    /// A connection to the server, or why there is none.
    async fn connect(
        &self,
        server: &str,
        fresh: bool,
    ) -> Result<(ConnectionGuard, ServerConnection), AttemptFate> {
        let app = &self.app;
        // Those that were closed while they stood idle are passed over.
        loop {
            let mut grant = app.take(server, fresh);
            if let Grant::Wait(ticket, until) = grant {
                let until = until.min(self.flight.deadline(&app.terms));
                grant = app.turn(server, ticket, until).await.unwrap_or(Grant::Full);
            }
            match grant {
                Grant::Use(conn) => {
                    let held = ConnectionGuard {
                        app: app.clone(),
                        server: server.to_owned(),
                        conn: Some(conn),
                    };
                    if let Some(wire) = app.idle(conn).filter(ServerConnection::quiet) {
                        return Ok((held, wire));
                    }
                }
                Grant::Open(conn) => {
                    let held = ConnectionGuard {
                        app: app.clone(),
                        server: server.to_owned(),
                        conn: Some(conn),
                    };
                    let address = app.book.borrow().address(server);
                    let Some(address) = address else {
                        return Err(AttemptFate::Broke(AttemptProgress::Unconnected));
                    };
                    let most = Duration::from_millis(app.wish.limits.connect_ms);
                    return match timeout(most, TcpStream::connect(address)).await {
                        Ok(Ok(stream)) => Ok((held, ServerConnection::new(stream))),
                        Ok(Err(_)) => Err(AttemptFate::Broke(AttemptProgress::Unconnected)),
                        Err(_) => Err(AttemptFate::Late(AttemptProgress::Unconnected)),
                    };
                }
                Grant::Wait(..) | Grant::Full => return Err(AttemptFate::NoRoom),
            }
        }
    }

    async fn attempt(
        &mut self,
        server: &str,
        generation: u64,
        patience: TimeDelta,
    ) -> AttemptOutcome {
        let app = self.app.clone();
        let operation = &app.terms.operations[self.flight.operation];
        let began = app.now();
        let fresh = operation.effect != Effect::Safe;
        let (held, wire) = match self.connect(server, fresh).await {
            Ok(had) => had,
            Err(fate) => return AttemptOutcome::Failed(fate),
        };
        // Waiting took its time: what is sent now is sent by what the tables say now.
        let stands = app.see(self.flight.slice, self.flight.operation, |now, sight| {
            self.flight
                .stands(&app.terms, now, server, generation, sight)
        });
        if !stands {
            held.over(wire.quiet().then_some(wire));
            return AttemptOutcome::Overtaken;
        }
        let asked = Rc::new(onward(&self.asked, &self.flight, generation));
        let (span, least) = app.stall();
        let held_to = Timeouts {
            clock: app.clock,
            span,
            least,
        };
        let wait = (began + patience) - app.now();
        let wait = Duration::from_micros(wait.micros().max(1) as u64);
        let sent_at = app.now();
        let (head, mut answer) = match exchange(wire, &asked, &self.source, held_to, wait).await {
            ExchangeOutcome::Answer(came) => *came,
            ExchangeOutcome::Broke(ExchangeError::Client(code), _) => {
                return AttemptOutcome::Client(code);
            }
            ExchangeOutcome::Broke(ExchangeError::Server(_), reach) => {
                return AttemptOutcome::Failed(AttemptFate::Broke(reach));
            }
            ExchangeOutcome::Late(reach) => {
                return AttemptOutcome::Failed(AttemptFate::Late(reach));
            }
        };
        if app.wish.turned_back.contains(&head.status.as_u16()) {
            // Short words after it don't cost the connection.
            let rest = async { while let Ok(Some(_)) = answer.next().await {} };
            let read = timeout(Duration::from_millis(app.wish.limits.connect_ms), rest).await;
            held.over(read.ok().and_then(|()| answer.over()));
            return AttemptOutcome::Failed(AttemptFate::TurnedBack);
        }
        let load = head.headers.get(LOAD).and_then(|value| value.to_str().ok());
        let ok = !head.status.is_server_error();
        self.met(server, ok, app.now() - sent_at, load);
        self.asked(ok);
        app.count(if ok { "passed" } else { "passed-failed" });
        AttemptOutcome::Passed(self.pass(&head, answer, held, server))
    }

    fn pass(
        &self,
        head: &actix_http::ResponseHead,
        answer: Answer,
        held: ConnectionGuard,
        server: &str,
    ) -> Response<BoxBody> {
        let mut passed = Response::build(head.status);
        let named = named(&head.headers);
        for (name, value) in &head.headers {
            if !hop(name, &named) && ![CONTENT_LENGTH, LOAD].contains(name) {
                passed.append_header((name.clone(), value.clone()));
            }
        }
        if self.last {
            passed.force_close();
        }
        let length = answer.length;
        if answer.empty() {
            held.over(answer.over());
            return passed.finish().map_into_boxed_body();
        }
        let busy = self
            .busy
            .take()
            .unwrap_or_else(|| BusyGuard::begin(&self.app));
        let passing = ForwardedResponse {
            answer: Some(answer),
            held: Some(held),
            server: server.to_owned(),
            _busy: busy,
        };
        let body = Box::pin(stream::unfold(Some(passing), async |passing| {
            passing?.next().await
        }));
        match length {
            Some(length) => passed.message_body(SizedStream::new(length, body).boxed()),
            None => passed.message_body(BodyStream::new(body).boxed()),
        }
        .unwrap_or_else(|_| Response::new(StatusCode::BAD_GATEWAY))
    }
}

fn refused(
    app: &App,
    status: u16,
    code: &'static str,
    return_after: Option<TimeDelta>,
) -> Response<BoxBody> {
    app.count(code);
    let last = app.gate.borrow().ending();
    given_up(
        &FinalOutcome {
            status,
            code,
            may_have_run: false,
            return_after,
        },
        last,
    )
}

pub(crate) async fn invoke(
    app: Rc<App>,
    peer: Option<IpAddr>,
    mut asked: Request,
) -> Response<BoxBody> {
    if asked.method() == Method::CONNECT || asked.headers().contains_key(UPGRADE) {
        return refused(&app, 501, "upgrade", None);
    }
    let peer = peer.map(|peer| peer.to_string()).unwrap_or_default();
    let found = {
        let heads = asked.headers();
        let head = |name: &str| heads.get(name).and_then(|value| value.to_str().ok());
        app.routes
            .find(asked.method().as_str(), asked.path(), head, &peer)
    };
    let found: MatchedRoute = match found {
        Ok(found) => found,
        Err(lost) => return refused(&app, 404, lost.code(), None),
    };
    let now: Timestamp = app.now();
    let paced = app
        .paces
        .borrow_mut()
        .as_mut()
        .map_or(Ok(()), |paces| paces.take(now, found.client));
    if let Err(after) = paced {
        return refused(&app, 429, "pace", Some(after));
    }
    let size = size(&asked);
    let source = Source::new(asked.take_payload(), size, app.wish.limits.kept_bytes);
    let flight = RequestFlight::new(&app.terms, found.operation, found.slice, now, found.draw());
    let busy = Cell::new(Some(BusyGuard::begin(&app)));
    let charge = app.charge(found.slice).unwrap_or_else(|| Rc::from(""));
    let last = app.gate.borrow().ending();
    let mut invocation = Invocation {
        app: app.clone(),
        asked,
        flight,
        source,
        charge,
        last,
        busy,
    };
    invocation.fly().await
}
