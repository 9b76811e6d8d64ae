//! Attempts of a request: the task that it goes to, further ones where that does no harm, and the answer.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use lynxmill_configuration::{MatchedRoute, Service};
use lynxmill_load_balancing::{AttemptResult, Attempts, Candidates, RetryDecision, Selection};
use lynxmill_time::{TimeDelta, Timestamp};
use tokio::time::timeout_at;

use crate::app::App;
use crate::headers::{DEADLINE, EXPECT, LOAD, NOT_EXECUTED, SEAL, text};
use crate::response::{ClientResponse, own, pass};
use crate::upstream::{Answer, UpstreamError, UpstreamRequest, exchange};

/// Statuses by which a client is told that its request has not run and never will.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Part of the aim that a request may wait for a slice to open or for a task to be found.
const WAITS: f64 = 0.22;
/// Part of the aim that a refused client is asked to wait.
const COME_BACK: f64 = 0.2;
/// Part of the aim that lies between two looks for a task.
const LOOK_AGAIN: f64 = 0.05;
/// Part of the aim within which a task has to open a connection.
const CONNECT: f64 = 0.8;
/// The least time there is for it.
const LEAST_CONNECT: TimeDelta = TimeDelta::from_micros(300_000);

/// A try under way, whatever ends it.
struct InFlightAttempt<'a> {
    app: &'a App,
    id: &'a str,
    over: bool,
}

impl InFlightAttempt<'_> {
    fn ended(mut self, how: AttemptResult, load: Option<f64>) {
        self.over = true;
        self.app
            .pilot
            .borrow_mut()
            .attempt_ended(self.app.now(), self.id, how, load);
    }
}

impl Drop for InFlightAttempt<'_> {
    fn drop(&mut self) {
        // The client has gone.
        if !self.over {
            self.app.pilot.borrow_mut().attempt_unsent(self.id);
        }
    }
}

/// What a request is and has come to.
pub struct RequestAttempts {
    pub app: Rc<App>,
    pub began: Timestamp,
    pub until: Timestamp,
    pub route: MatchedRoute,
    pub service: Arc<Service>,
    pub attempt: String,
    pub key: Option<u32>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub tries: Attempts,
}

enum Next {
    Send(String),
    End(ClientResponse),
}

impl RequestAttempts {
    fn aim(&self) -> TimeDelta {
        let aim = if self.route.target_s > 0.0 {
            self.route.target_s
        } else {
            self.route.timeout_s
        };
        TimeDelta::from_secs(aim)
    }

    /// A refusal is a promise: only where nothing has run.
    fn refuse(&self, why: &'static str) -> ClientResponse {
        self.app.count(why);
        if self.tries.may_have_run {
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
            let choice = Candidates {
                service: &self.service,
                homes: &self.route.home_regions,
                key: self.key,
                excluded: self.tries.tried(),
                latency_target: self.aim(),
            };
            let drawn = self.app.drawn();
            let pick = self
                .app
                .pilot
                .borrow_mut()
                .select(self.app.now(), &choice, drawn);
            match pick {
                Selection::Task(id) => return Next::Send(id),
                Selection::None if !self.tries.tried().is_empty() => {
                    return Next::End(self.refuse("no-other-task"));
                }
                Selection::None | Selection::Closed => {
                    let why = if pick == Selection::Closed {
                        "shut"
                    } else {
                        "no-task"
                    };
                    if self.app.now() >= waits {
                        return Next::End(self.refuse(why));
                    }
                    // A cold task's share may free itself without a change of tables.
                    let look = if pick == Selection::Closed {
                        waits
                    } else {
                        waits.min(self.app.now() + self.aim().times(LOOK_AGAIN))
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
        request
            .headers_mut()
            .insert(DEADLINE, HeaderValue::from(left));
        if let Ok(id) = HeaderValue::from_str(id) {
            request.headers_mut().insert(EXPECT, id);
        }
        request
    }

    /// Sends it to a task; an answer for the client, or None if it may go on to another.
    async fn attempt(&mut self, id: &str) -> Option<ClientResponse> {
        let app = self.app.clone();
        let address = app
            .pilot
            .borrow()
            .endpoint(id)
            .map(|seen| seen.task.address.clone());
        let Some(address) = address else {
            self.tries.unsent(id);
            return None;
        };
        let sent = app.now();
        let call = UpstreamRequest {
            id,
            address: &address,
            most: app.conns(self.service.max_conns),
            once: !self.route.is_idempotent(),
            attempt: &self.attempt,
            connect: app.instant(sent + self.aim().times(CONNECT).max(LEAST_CONNECT)),
            until: app.instant(self.until),
        };
        app.pilot.borrow_mut().attempt_started(sent, id);
        let in_flight = InFlightAttempt {
            app: &app,
            id,
            over: false,
        };
        match exchange(&app.pools, &call, self.request(id)).await {
            Ok(answer) => self.answered(in_flight, sent, answer),
            Err(broke) => self.failed(in_flight, broke),
        }
    }

    fn failed(
        &mut self,
        in_flight: InFlightAttempt<'_>,
        broke: UpstreamError,
    ) -> Option<ClientResponse> {
        let why = match broke {
            UpstreamError::Unsent(why) | UpstreamError::Sent(why) => why,
            UpstreamError::Late => "late",
        };
        let id = in_flight.id;
        self.app.count(why);
        // A task is not to blame for our own bound of connections.
        if why != "conns" {
            in_flight.ended(AttemptResult::Failed, None);
        }
        if matches!(broke, UpstreamError::Unsent(_)) {
            self.tries.unsent(id);
            return None;
        }
        self.tries.may_have_run = true;
        self.tries.sent(id);
        match broke {
            UpstreamError::Late => Some(own(504, why, None)),
            _ => (!self.route.is_idempotent()).then(|| own(502, why, None)),
        }
    }

    fn answered(
        &mut self,
        in_flight: InFlightAttempt<'_>,
        sent: Timestamp,
        answer: Answer,
    ) -> Option<ClientResponse> {
        let (id, load) = (in_flight.id, load(&answer));
        let misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || answer.headers.contains_key(NOT_EXECUTED) {
            self.app
                .count(if misdirected { "misdirected" } else { "shed" });
            in_flight.ended(
                if misdirected {
                    AttemptResult::Misdirected
                } else {
                    AttemptResult::Shed
                },
                load,
            );
            self.tries.sent(id);
            return None;
        }
        in_flight.ended(AttemptResult::Answered(self.app.span(sent)), load);
        self.tries.may_have_run = true;
        let failed = answer.status.is_server_error();
        let spoilt = spoilt(&answer);
        if spoilt && !self.route.is_idempotent() {
            self.app.count("spoilt");
            return Some(own(502, "spoilt", None));
        }
        if (failed || spoilt) && self.route.is_idempotent() {
            self.app.count(if spoilt { "spoilt" } else { "failed" });
            let last = self.tries.is_last();
            self.tries.sent(id);
            return (last && failed && !spoilt).then(|| pass(answer));
        }
        self.app.count("served");
        Some(pass(answer))
    }

    /// Carries the request to an answer.
    pub async fn run(&mut self) -> ClientResponse {
        self.app
            .pilot
            .borrow_mut()
            .count_request(&self.service.name);
        loop {
            if self.app.now() >= self.until {
                self.app.count("deadline");
                return own(504, "deadline", None);
            }
            let id = match self.next().await {
                Next::Send(id) => id,
                Next::End(reply) => return reply,
            };
            match self.tries.retry() {
                RetryDecision::Exhausted => return self.refuse("attempts"),
                RetryDecision::NeedsBudget
                    if !self
                        .app
                        .pilot
                        .borrow_mut()
                        .acquire_retry(&self.service.name) =>
                {
                    return self.refuse("budget");
                }
                RetryDecision::NeedsBudget | RetryDecision::Allowed => {}
            }
            if let Some(reply) = self.attempt(&id).await {
                return reply;
            }
        }
    }
}

/// Requests running and waiting at a task, as its answer tells.
fn load(answer: &Answer) -> Option<f64> {
    let mut parts = text(&answer.headers, LOAD)?
        .split(',')
        .map(|part| part.trim().parse::<f64>());
    Some(parts.next()?.ok()? + parts.next()?.ok()?)
}

/// An answer that can't be passed on as the task's own. A status that promises that nothing has run is none
/// from a task that does not say so too: the client would send the request again.
fn spoilt(answer: &Answer) -> bool {
    let unsealed = answer.status.is_success() && !answer.headers.contains_key(SEAL);
    unsealed || PROMISES.contains(&answer.status) || answer.headers.contains_key("content-encoding")
}
