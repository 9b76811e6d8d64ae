//! A request's way: its route, its task, further ones where that does no harm, its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use lynxmill::{Moment, Span};
use lynxmill_configuration::{Found, Kind, Service};
use lynxmill_load_balancing::{Choice, Ended, Further, Pick, Tries};
use tokio::time::{timeout, timeout_at};

use crate::app::App;
use crate::back::{Answer, UpstreamError, UpstreamRequest, exchange};

const ATTEMPT: &str = "lynxmill-attempt-id";
const DEADLINE: &str = "lynxmill-deadline-ms";
const EXPECT: &str = "lynxmill-expect-instance";
const LOAD: &str = "lynxmill-instance-load";
const NOT_EXECUTED: &str = "lynxmill-not-executed";
const SEAL: &str = "lynxmill-server-seal";
const KEY: &str = "lynxmill-shard-key";
/// Parts of the aim that a request may wait for a slice to open or for a task to be found, and that a refused
/// client is asked to wait.
const WAITS: f64 = 0.22;
const COME_BACK: f64 = 0.2;
/// Part of the aim within which a task has to open a connection, and the least there is for it.
const CONNECT: f64 = 0.8;
const LEAST_CONNECT: Span = Span::from_micros(300_000);
/// Part of a client's time after which its answer would come too late to be of use.
const SPENT: f64 = 0.97;
/// Parts of the memory that bodies may take.
const BODIES: f64 = 0.3;

pub type ResponseEnvelope = Response<Full<Bytes>>;

/// Headers that concern one connection only.
fn hop(name: &HeaderName, named: &str) -> bool {
    let fixed = ["connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection"];
    let more = ["te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"];
    let name = name.as_str();
    fixed.contains(&name) || more.contains(&name) || named.split(',').any(|n| n.trim() == name)
}

fn named(headers: &HeaderMap) -> String {
    let all = headers.get_all("connection").iter().filter_map(|v| v.to_str().ok());
    all.collect::<Vec<_>>().join(",").to_ascii_lowercase()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

pub fn own(status: u16, why: &'static str, again: Option<f64>) -> ResponseEnvelope {
    let mut reply = Response::new(Full::new(Bytes::from(format!("{why}\n"))));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(again) = again {
        let seconds = HeaderValue::from_str(&format!("{again:.3}"));
        seconds.into_iter().for_each(|s| drop(reply.headers_mut().insert("retry-after", s)));
    }
    reply
}

/// Counts what a request takes up for as long as it lasts.
struct Busy {
    app: Rc<App>,
    bytes: usize,
}

impl Busy {
    fn new(app: &Rc<App>) -> Self {
        app.busy.set(app.busy.get() + 1);
        Busy { app: app.clone(), bytes: 0 }
    }

    fn hold(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.app.held.set(self.app.held.get() + bytes);
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.app.busy.set(self.app.busy.get() - 1);
        self.app.held.set(self.app.held.get() - self.bytes);
    }
}

/// A try under way, whatever ends it.
struct InFlightAttempt<'a> {
    app: &'a App,
    id: &'a str,
    over: bool,
}

impl InFlightAttempt<'_> {
    fn ended(mut self, how: Ended, load: Option<f64>) {
        self.over = true;
        self.app.pilot.borrow_mut().ended(self.app.now(), self.id, how, load);
    }
}

impl Drop for InFlightAttempt<'_> {
    fn drop(&mut self) {
        // The client has gone.
        if !self.over {
            self.app.pilot.borrow_mut().unsent(self.id);
        }
    }
}

/// What a request is and has come to.
struct RequestAttempts {
    app: Rc<App>,
    began: Moment,
    until: Moment,
    route: Found,
    service: std::sync::Arc<Service>,
    attempt: String,
    key: Option<u32>,
    method: hyper::Method,
    uri: hyper::Uri,
    headers: HeaderMap,
    body: Bytes,
    tries: Tries,
}

enum Next {
    Send(String),
    End(ResponseEnvelope),
}

impl RequestAttempts {
    fn aim(&self) -> Span {
        let aim = if self.route.target_s > 0.0 { self.route.target_s } else { self.route.timeout_s };
        Span::from_secs(aim)
    }

    /// A refusal is a promise: only where nothing has run.
    fn refuse(&self, why: &'static str) -> ResponseEnvelope {
        self.app.count(why);
        if self.tries.ran {
            return own(502, why, None);
        }
        let spread = 0.5 + self.app.drawn();
        own(503, why, Some(self.aim().secs() * COME_BACK * spread))
    }

    async fn next(&self) -> Next {
        let waits = (self.began + self.aim().times(WAITS)).min(self.until);
        loop {
            let changed = self.app.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let choice = Choice {
                service: &self.service,
                homes: &self.route.home_regions,
                key: self.key,
                tried: self.tries.tried(),
                aim: self.aim(),
            };
            let drawn = self.app.drawn();
            let pick = self.app.pilot.borrow_mut().choose(self.app.now(), &choice, drawn);
            match pick {
                Pick::Task(id) => return Next::Send(id),
                Pick::None if !self.tries.tried().is_empty() => {
                    return Next::End(self.refuse("no-other-task"));
                }
                Pick::None | Pick::Shut => {
                    let why = if pick == Pick::Shut { "shut" } else { "no-task" };
                    if self.app.now() >= waits {
                        return Next::End(self.refuse(why));
                    }
                    // A cold task's share may free itself without a change of tables.
                    let look = if pick == Pick::Shut {
                        waits
                    } else {
                        waits.min(self.app.now() + self.aim().times(0.05))
                    };
                    let _ = timeout_at(self.app.instant(look), changed).await;
                }
            }
        }
    }

    fn request(&self, id: &str) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = ((self.until - self.app.now()).micros() / 1000).max(1);
        request.headers_mut().insert(DEADLINE, HeaderValue::from(left));
        if let Ok(id) = HeaderValue::from_str(id) {
            request.headers_mut().insert(EXPECT, id);
        }
        request
    }

    /// Sends it to a task; an answer for the client, or None if it may go on to another.
    async fn attempt(&mut self, id: &str) -> Option<ResponseEnvelope> {
        let app = self.app.clone();
        let address = app.pilot.borrow().seen(id).map(|seen| seen.task.address.clone());
        let Some(address) = address else {
            self.tries.unsent(id);
            return None;
        };
        let once = !self.route.repeatable();
        let sent = app.now();
        let errand = UpstreamRequest {
            id,
            address: &address,
            most: app.conns(self.service.max_conns),
            once,
            attempt: &self.attempt,
            connect: app.instant(sent + self.aim().times(CONNECT).max(LEAST_CONNECT)),
            until: app.instant(self.until),
        };
        app.pilot.borrow_mut().sent(sent, id);
        let aboard = InFlightAttempt { app: &app, id, over: false };
        let came = exchange(&app.pools, &errand, self.request(id)).await;
        let answer = match came {
            Ok(answer) => answer,
            Err(UpstreamError::Unsent(why)) => {
                app.count(why);
                if why == "conns" {
                    drop(aboard)
                } else {
                    aboard.ended(Ended::Failed, None)
                }
                self.tries.unsent(id);
                return None;
            }
            Err(broke) => {
                let why = if let UpstreamError::Sent(why) = broke { why } else { "late" };
                app.count(why);
                aboard.ended(Ended::Failed, None);
                self.tries.ran = true;
                let over = once || broke == UpstreamError::Late;
                self.tries.sent(id);
                return over.then(|| own(if broke == UpstreamError::Late { 504 } else { 502 }, why, None));
            }
        };
        let load = text(&answer.headers, LOAD).and_then(|told| {
            let mut parts = told.split(',').map(|part| part.trim().parse::<f64>());
            Some(parts.next()?.ok()? + parts.next()?.ok()?)
        });
        let misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || answer.headers.contains_key(NOT_EXECUTED) {
            app.count(if misdirected { "misdirected" } else { "shed" });
            aboard.ended(if misdirected { Ended::Misdirected } else { Ended::Shed }, load);
            self.tries.sent(id);
            return None;
        }
        aboard.ended(Ended::Answered(app.span(sent)), load);
        self.tries.ran = true;
        let failed = answer.status.is_server_error();
        let unsealed = answer.status.is_success() && !answer.headers.contains_key(SEAL);
        let encoded = answer.headers.contains_key("content-encoding");
        if (unsealed || encoded) && once {
            app.count("spoilt");
            return Some(own(502, "spoilt", None));
        }
        if (failed || unsealed || encoded) && !once {
            app.count(if failed { "failed" } else { "spoilt" });
            let last = self.tries.last();
            self.tries.sent(id);
            return (last && failed).then(|| pass(answer));
        }
        app.count("served");
        Some(pass(answer))
    }

    async fn fly(&mut self) -> ResponseEnvelope {
        self.app.pilot.borrow_mut().request(&self.service.name);
        loop {
            if self.app.now() >= self.until {
                self.app.count("deadline");
                return own(504, "deadline", None);
            }
            let id = match self.next().await {
                Next::Send(id) => id,
                Next::End(reply) => return reply,
            };
            match self.tries.further() {
                Further::Over => return self.refuse("attempts"),
                Further::Budget if !self.app.pilot.borrow_mut().further(&self.service.name) => {
                    return self.refuse("budget");
                }
                Further::Budget | Further::Free => {}
            }
            if let Some(reply) = self.attempt(&id).await {
                return reply;
            }
        }
    }
}

/// A task's answer as the client gets it.
fn pass(answer: Answer) -> ResponseEnvelope {
    let named = named(&answer.headers);
    let mut reply = Response::new(Full::new(answer.body));
    *reply.status_mut() = answer.status;
    for (name, value) in &answer.headers {
        if !hop(name, &named) {
            reply.headers_mut().append(name.clone(), value.clone());
        }
    }
    reply
}

/// The whole body of a request.
async fn read(
    app: &App,
    body: Incoming,
    busy: &mut Busy,
    most: u64,
    wait: Span,
) -> Result<Bytes, ResponseEnvelope> {
    let too_long = || own(413, "body-too-long", None);
    let size = hyper::body::Body::size_hint(&body);
    if size.lower() > most {
        return Err(too_long());
    }
    let room = (app.local.borrow().caps().memory_mb.max(64.0) * BODIES * 1e6) as usize;
    if app.held.get() + size.lower() as usize > room {
        app.count("memory");
        return Err(own(503, "memory", Some(0.2)));
    }
    let mut body = body;
    if size.exact() == Some(0) {
        return Ok(Bytes::new());
    }
    let mut whole = BytesMut::with_capacity(size.lower().min(most) as usize);
    let wait = Duration::from_micros(wait.micros().max(1) as u64);
    loop {
        match timeout(wait, body.frame()).await {
            Err(_) => return Err(own(408, "body-late", None)),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(_))) => return Err(own(400, "body-cut", None)),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                busy.hold(data.len());
                whole.extend_from_slice(&data);
                if whole.len() as u64 > most || app.held.get() > room {
                    return Err(too_long());
                }
            }
        }
    }
}

pub async fn serve(app: Rc<App>, request: Request<Incoming>) -> ResponseEnvelope {
    let began = app.now();
    let mut busy = Busy::new(&app);
    app.count("requests");
    if !app.whole.get() {
        app.count("not-ready");
        return own(503, "not-ready", Some(0.3));
    }
    let (head, body) = request.into_parts();
    let host = text(&head.headers, "host").or_else(|| head.uri.host()).unwrap_or_default();
    let Some(path) = head.uri.path_and_query().cloned() else {
        app.count("no-path");
        return own(400, "no-path", None);
    };
    let found = app.pilot.borrow().chart().find(host, path.path());
    let Some(route) = found else {
        app.count("no-route");
        return own(404, "no-route", None);
    };
    let Some(attempt) = text(&head.headers, ATTEMPT).map(str::to_owned) else {
        app.count("no-id");
        return own(400, "no-id", None);
    };
    let told = text(&head.headers, DEADLINE).and_then(|v| v.parse::<f64>().ok()).filter(|ms| *ms >= 0.0);
    let most = told.map_or(route.timeout_s, |ms| (ms / 1000.0 * SPENT).min(route.timeout_s));
    let until = began + Span::from_secs(most);
    let limits = app.pilot.borrow().chart().limits.clone();
    let longest = if limits.max_body_bytes > 0 { limits.max_body_bytes } else { 64 << 20 };
    let body = match read(&app, body, &mut busy, longest, until - began).await {
        Ok(body) => body,
        Err(reply) => {
            app.count("body");
            return reply;
        }
    };
    let service = {
        let pilot = app.pilot.borrow();
        let name = route.draw(app.drawn()).to_owned();
        pilot.chart().service(&name).cloned()
    };
    let Some(service) = service else {
        app.count("no-service");
        return own(503, "no-service", Some(0.2));
    };
    let named = named(&head.headers);
    let mut headers = HeaderMap::with_capacity(head.headers.len() + 1);
    for (name, value) in &head.headers {
        if !hop(name, &named) {
            headers.append(name.clone(), value.clone());
        }
    }
    let key = text(&headers, KEY).and_then(|v| v.trim().parse::<u32>().ok());
    let uri = hyper::Uri::from(path);
    let mut flight = RequestAttempts {
        app: app.clone(),
        began,
        until,
        service,
        attempt,
        key,
        method: head.method,
        uri,
        headers,
        body,
        tries: Tries::new(route.max_attempts),
        route,
    };
    debug_assert!(flight.route.kind() != Kind::Upload || !flight.route.repeatable());
    flight.fly().await
}
