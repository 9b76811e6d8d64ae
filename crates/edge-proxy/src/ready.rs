//! The page that tells whether this edge is to get clients, and its counters.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use lynxmill_startup::ServeError;
use rouille::{Response, Server};

/// What other threads may see.
#[derive(Default)]
pub struct Health {
    /// Whether clients may be sent here.
    pub ready: AtomicBool,
    /// Events by kind.
    pub counters: Mutex<std::collections::BTreeMap<&'static str, u64>>,
}

/// Serves `GET /v1/readiness` (200 or 503) and `GET /v1/counters` (JSON) in a thread of its own.
pub(crate) fn serve(address: &str, health: Arc<Health>) -> Result<(), ServeError> {
    let handler = move |request: &rouille::Request| match request.url().as_str() {
        "/v1/readiness" if health.ready.load(Ordering::Relaxed) => Response::text("ready\n"),
        "/v1/readiness" => Response::text("not ready\n").with_status_code(503),
        "/v1/counters" => {
            let counters = health
                .counters
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            Response::from_data("application/json", serde_json::json!(counters).to_string())
        }
        _ => Response::empty_404(),
    };
    let server = Server::new(address, handler)
        .map_err(|error| ServeError::Listen(address.to_owned(), error))?;
    std::thread::Builder::new()
        .name("readiness".to_owned())
        .stack_size(256 << 10)
        .spawn(move || server.run())
        .map(drop)
        .map_err(|error| ServeError::Thread("readiness".to_owned(), error))
}
