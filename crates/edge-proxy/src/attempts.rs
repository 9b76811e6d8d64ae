//! Attempts of a request: the task that it goes to, further ones where that does no harm, and the answer.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use lynxmill_configuration::{MatchedRoute, Service};
use lynxmill_load_balancing::{
    AttemptResult, Attempts, Candidates, Outcome, RetryDecision, Selection,
};
use lynxmill_time::{TimeDelta, Timestamp};
use tokio::time::timeout_at;

use crate::app::App;
use crate::headers::{DEADLINE, EXPECT_INSTANCE, INSTANCE_LOAD, NOT_EXECUTED, SERVER_SEAL, text};
use crate::request::latency_target;
use crate::response::{ClientResponse, forward_response, local_response};
use crate::upstream::{UpstreamError, UpstreamRequest, UpstreamResponse, WITHDRAWN, exchange};

/// Statuses by which a client is told that its request has not run and never will.
const RETRY_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Part of the aim that a request may wait for a slice to open or for a task to be found.
const QUEUE_SHARE: f64 = 0.22;
/// Part of the aim that a refused client is asked to wait.
const RETRY_AFTER_SHARE: f64 = 0.2;
/// Part of the aim that lies between two looks for a task.
const RETRY_INTERVAL_SHARE: f64 = 0.05;
/// Part of the aim within which a task has to open a connection.
const CONNECT_SHARE: f64 = 0.8;
/// The least time there is for it.
const MIN_CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_micros(300_000);

/// A try under way, whatever ends it.
struct InFlightAttempt<'a> {
    app: &'a App,
    id: &'a str,
    finished: bool,
}

impl InFlightAttempt<'_> {
    fn ended(mut self, result: AttemptResult, load: Option<f64>) {
        self.finished = true;
        self.app
            .load_balancer
            .borrow_mut()
            .attempt_ended(self.app.now(), self.id, result, load);
    }
}

impl Drop for InFlightAttempt<'_> {
    fn drop(&mut self) {
        // The client has gone.
        if !self.finished {
            self.app.load_balancer.borrow_mut().attempt_unsent(self.id);
        }
    }
}

/// What a request is and has come to.
pub(crate) struct RequestAttempts {
    pub app: Rc<App>,
    pub started: Timestamp,
    pub deadline: Timestamp,
    pub route: MatchedRoute,
    pub service: Arc<Service>,
    pub attempt_id: String,
    pub key: Option<u32>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub attempts: Attempts,
}

enum Next {
    Attempt(String),
    Respond(ClientResponse),
}

impl RequestAttempts {
    fn latency_target(&self) -> TimeDelta {
        latency_target(&self.route)
    }

    /// A refusal is a promise: only where nothing has run.
    fn refuse(&self, reason: &'static str) -> ClientResponse {
        self.app.count(reason);
        if self.attempts.may_have_run {
            return local_response(502, reason, None);
        }
        let spread = 0.5 + self.app.random_fraction();
        local_response(
            503,
            reason,
            Some(self.latency_target().secs() * RETRY_AFTER_SHARE * spread),
        )
    }

    async fn next_step(&self) -> Next {
        let waits = (self.started + self.latency_target().times(QUEUE_SHARE)).min(self.deadline);
        loop {
            let changed = self.app.table_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let choice = Candidates {
                service: &self.service,
                homes: &self.route.home_regions,
                key: self.key,
                excluded: self.attempts.tried(),
                latency_target: self.latency_target(),
            };
            let random = self.app.random_fraction();
            let selection =
                self.app
                    .load_balancer
                    .borrow_mut()
                    .select(self.app.now(), &choice, random);
            match selection {
                Selection::Task(id) => return Next::Attempt(id),
                Selection::None if !self.attempts.tried().is_empty() => {
                    return Next::Respond(self.refuse("no-other-task"));
                }
                Selection::None | Selection::Closed => {
                    let reason = if selection == Selection::Closed {
                        "shut"
                    } else {
                        "no-task"
                    };
                    if self.app.now() >= waits {
                        return Next::Respond(self.refuse(reason));
                    }
                    // A cold task's share may free itself without a change of tables.
                    let look = if selection == Selection::Closed {
                        waits
                    } else {
                        waits
                            .min(self.app.now() + self.latency_target().times(RETRY_INTERVAL_SHARE))
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
        let left = ((self.deadline - self.app.now()).micros() / 1000).max(1);
        request
            .headers_mut()
            .insert(DEADLINE, HeaderValue::from(left));
        if let Ok(id) = HeaderValue::from_str(id) {
            request.headers_mut().insert(EXPECT_INSTANCE, id);
        }
        request
    }

    /// Sends it to a task; an answer for the client, or None if it may go on to another.
    async fn attempt(&mut self, id: &str) -> Option<ClientResponse> {
        let app = self.app.clone();
        let address = app
            .load_balancer
            .borrow()
            .endpoint(id)
            .map(|seen| seen.task.address.clone());
        let Some(address) = address else {
            self.attempts.unsent(id);
            return None;
        };
        let sent = app.now();
        let is_allowed = || app.load_balancer.borrow().may_send(app.now(), id);
        let call = UpstreamRequest {
            id,
            address: &address,
            max_connections: app.connections_per_task(self.service.max_conns),
            fresh_only: !self.route.is_idempotent(),
            attempt_id: &self.attempt_id,
            connect_deadline: app.instant(
                sent + self
                    .latency_target()
                    .times(CONNECT_SHARE)
                    .max(MIN_CONNECT_TIMEOUT),
            ),
            deadline: app.instant(self.deadline),
            memory: &app.answer_memory,
            is_allowed: &is_allowed,
        };
        app.load_balancer.borrow_mut().attempt_started(sent, id);
        let in_flight = InFlightAttempt {
            app: &app,
            id,
            finished: false,
        };
        match exchange(&app.pools, &call, self.request(id)).await {
            Ok(answer) => self.attempt_answered(in_flight, sent, answer),
            Err(error) => self.attempt_failed(in_flight, error),
        }
    }

    fn attempt_failed(
        &mut self,
        in_flight: InFlightAttempt<'_>,
        error: UpstreamError,
    ) -> Option<ClientResponse> {
        let reason = match error {
            UpstreamError::NotSent(reason) | UpstreamError::MayHaveRun(reason) => reason,
            UpstreamError::TimedOut => "late",
            UpstreamError::NoMemory => "answer-memory",
        };
        let id = in_flight.id;
        self.app.count(reason);
        // A task is not to blame for our own bounds, nor for draining.
        let is_our_own = reason == "conns" || error == UpstreamError::NoMemory;
        if !is_our_own && reason != WITHDRAWN {
            in_flight.ended(AttemptResult::Failed, None);
        }
        if matches!(error, UpstreamError::NotSent(_)) {
            self.attempts.unsent(id);
            return None;
        }
        self.attempts.may_have_run = true;
        self.attempts.sent(id);
        if error != UpstreamError::NoMemory {
            self.record_outcome(id, Outcome::Failed);
        }
        match error {
            UpstreamError::TimedOut | UpstreamError::NoMemory => {
                Some(local_response(504, reason, None))
            }
            _ => (!self.route.is_idempotent()).then(|| local_response(502, reason, None)),
        }
    }

    fn record_outcome(&self, id: &str, outcome: Outcome) {
        let mut load_balancer = self.app.load_balancer.borrow_mut();
        load_balancer.record_outcome(self.app.now(), id, &self.route.name, outcome);
    }

    fn attempt_answered(
        &mut self,
        in_flight: InFlightAttempt<'_>,
        sent: Timestamp,
        answer: UpstreamResponse,
    ) -> Option<ClientResponse> {
        let (id, load) = (in_flight.id, reported_load(&answer));
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
            self.attempts.sent(id);
            return None;
        }
        let latency = self.app.elapsed(sent);
        in_flight.ended(AttemptResult::Answered(latency), load);
        self.attempts.may_have_run = true;
        let failed = answer.status.is_server_error();
        let spoilt = was_not_executed(&answer);
        let outcome = if failed || spoilt {
            Outcome::Failed
        } else {
            Outcome::Succeeded(latency)
        };
        self.record_outcome(id, outcome);
        if spoilt && !self.route.is_idempotent() {
            self.app.count("spoilt");
            return Some(local_response(502, "spoilt", None));
        }
        if (failed || spoilt) && self.route.is_idempotent() {
            self.app.count(if spoilt { "spoilt" } else { "failed" });
            let last = self.attempts.is_last();
            self.attempts.sent(id);
            return (last && failed && !spoilt).then(|| forward_response(answer));
        }
        self.app.count("served");
        Some(forward_response(answer))
    }

    /// Carries the request to an answer.
    pub(crate) async fn run(&mut self) -> ClientResponse {
        self.app
            .load_balancer
            .borrow_mut()
            .count_request(&self.service.name);
        loop {
            if self.app.now() >= self.deadline {
                self.app.count("deadline");
                return local_response(504, "deadline", None);
            }
            let id = match self.next_step().await {
                Next::Attempt(id) => id,
                Next::Respond(reply) => return reply,
            };
            match self.attempts.retry() {
                RetryDecision::Exhausted => return self.refuse("attempts"),
                RetryDecision::NeedsBudget
                    if !self
                        .app
                        .load_balancer
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
fn reported_load(answer: &UpstreamResponse) -> Option<f64> {
    let mut parts = text(&answer.headers, INSTANCE_LOAD)?
        .split(',')
        .map(|part| part.trim().parse::<f64>());
    Some(parts.next()?.ok()? + parts.next()?.ok()?)
}

/// An answer that can't be passed on as the task's own. A status that promises that nothing has run is none
/// from a task that does not say so too: the client would send the request again.
fn was_not_executed(answer: &UpstreamResponse) -> bool {
    let unsealed = answer.status.is_success() && !answer.headers.contains_key(SERVER_SEAL);
    unsealed
        || RETRY_STATUSES.contains(&answer.status)
        || answer.headers.contains_key("content-encoding")
}
