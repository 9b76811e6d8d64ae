//! The page that tells whether this edge is to get clients, and its counters.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use lynxmill_http_server::{HttpServer, Limits, Request, Response, response};
use lynxmill_startup::ServeError;
use tokio::sync::watch;

/// What those that ask may take up.
const LIMITS: Limits = Limits {
    connections: 64,
    idle_time: Duration::from_secs(30),
    body_bytes: 0,
    all_bodies_bytes: 0,
    body_time: Duration::from_secs(1),
};

/// What the page tells.
#[derive(Default)]
pub struct Health {
    /// Whether clients may be sent here.
    pub ready: AtomicBool,
    /// Events by kind.
    pub counters: Mutex<std::collections::BTreeMap<&'static str, u64>>,
}

/// Answers `GET /v1/readiness` (200 or 503) and `GET /v1/counters` (JSON) until the process ends.
pub(crate) fn serve(address: &str, health: Arc<Health>) -> Result<(), ServeError> {
    let server = HttpServer::bind(address, LIMITS)
        .map_err(|error| ServeError::Listen(address.to_owned(), error.into()))?;
    let handle = move |request: Request| {
        let answer = answer(&health, &request);
        async move { answer }
    };
    tokio::spawn(async move {
        let (_never, ends) = watch::channel(false);
        if let Err(error) = server.serve(handle, ends).await {
            log::error!("readiness can't be told: {error}");
        }
    });
    Ok(())
}

fn answer(health: &Health, request: &Request) -> Response {
    match request.path().as_str() {
        "/v1/readiness" if health.ready.load(Ordering::Relaxed) => response::text(200, "ready\n"),
        "/v1/readiness" => response::text(503, "not ready\n"),
        "/v1/counters" => {
            let counters = health
                .counters
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            response::json(200, &counters)
        }
        _ => response::empty(404),
    }
}
