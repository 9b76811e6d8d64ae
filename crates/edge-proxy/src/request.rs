//! A client's request: its route, its deadline, its body, and the service that it goes to.

use std::rc::Rc;

use hyper::Request;
use hyper::body::Incoming;
use lynxmill_configuration::MatchedRoute;
use lynxmill_load_balancing::Attempts;
use lynxmill_time::TimeDelta;

use crate::app::App;
use crate::attempts::RequestAttempts;
use crate::body::{self, ActiveRequest};
use crate::headers::{ATTEMPT_ID, DEADLINE, SHARD_KEY, end_to_end, text};
use crate::response::{ClientResponse, local_response};

/// Part of a client's time after which its answer would come too late to be of use.
const TIMEOUT_USED: f64 = 0.97;
/// The longest body where the configuration names no bound, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// The time in which an answer earns its full value.
pub(crate) fn latency_target(route: &MatchedRoute) -> TimeDelta {
    let seconds = if route.target_s > 0.0 {
        route.target_s
    } else {
        route.timeout_s
    };
    TimeDelta::from_secs(seconds)
}

/// An answer of the edge's own, counted.
fn counted(app: &App, status: u16, reason: &'static str, again: Option<f64>) -> ClientResponse {
    app.count(reason);
    local_response(status, reason, again)
}

/// Carries a request to an answer.
pub(crate) async fn serve(app: Rc<App>, request: Request<Incoming>) -> ClientResponse {
    let mut active = ActiveRequest::new(&app);
    app.count("requests");
    if !app.is_configured.get() {
        return counted(&app, 503, "not-ready", Some(0.3));
    }
    match prepare(&app, request, &mut active).await {
        Ok(mut attempts) => attempts.run().await,
        Err(reply) => reply,
    }
}

/// A request with its route and its whole body, or why it can't be carried.
async fn prepare(
    app: &Rc<App>,
    request: Request<Incoming>,
    active: &mut ActiveRequest,
) -> Result<RequestAttempts, ClientResponse> {
    let started = app.now();
    let (head, body) = request.into_parts();
    let host = text(&head.headers, "host")
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let path = head
        .uri
        .path_and_query()
        .cloned()
        .ok_or_else(|| counted(app, 400, "no-path", None))?;
    let found = app
        .load_balancer
        .borrow()
        .routes()
        .match_route(host, path.path());
    let route = found.ok_or_else(|| counted(app, 404, "no-route", None))?;
    let attempt = text(&head.headers, ATTEMPT_ID).map(str::to_owned);
    let attempt_id = attempt.ok_or_else(|| counted(app, 400, "no-id", None))?;
    let told = text(&head.headers, DEADLINE)
        .and_then(|v| v.parse::<f64>().ok())
        .filter(|ms| *ms >= 0.0);
    let most = told.map_or(route.timeout_s, |ms| {
        (ms / 1000.0 * TIMEOUT_USED).min(route.timeout_s)
    });
    let deadline = started + TimeDelta::from_secs(most);
    let bound = app.load_balancer.borrow().routes().limits.max_body_bytes;
    let longest = if bound > 0 { bound } else { MAX_BODY_BYTES };
    let read = body::read(app, body, active, longest, app.instant(deadline)).await;
    let body = read.inspect_err(|_| app.count("body"))?;
    let name = route.select_service(app.random_fraction()).to_owned();
    let service = app.load_balancer.borrow().routes().service(&name).cloned();
    let service = service.ok_or_else(|| counted(app, 503, "no-service", Some(0.2)))?;
    // No task may begin what the end of the process would cut: refused, it is safe to send again.
    let left = deadline - app.now();
    if app.ends_within(latency_target(&route).min(left)) {
        return Err(counted(app, 503, "leaving", Some(0.0)));
    }
    let headers = end_to_end(&head.headers);
    Ok(RequestAttempts {
        app: app.clone(),
        started,
        deadline,
        service,
        attempt_id,
        key: text(&headers, SHARD_KEY).and_then(|v| v.trim().parse::<u32>().ok()),
        method: head.method,
        uri: hyper::Uri::from(path),
        headers,
        body,
        attempts: Attempts::new(route.max_attempts),
        route,
    })
}
