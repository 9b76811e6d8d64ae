//! The HTTP servers of the control plane: threads that answer, and a way to wait for the answers that they still write.

use std::sync::Arc;
use std::time::Duration;

use lynxmill_startup::ServeError;
use rouille::{Request, Response, Server};

use crate::error::ProgramError;
use crate::host::Host;

/// Between two looks for requests where none comes; each that comes is taken at once.
const IDLE_INTERVAL: Duration = Duration::from_secs(60);

/// A server that listens, and what it needs to serve.
pub(crate) struct HttpServer {
    /// Serves until the process ends.
    pub serve: Box<dyn FnOnce() + Send>,
    /// Waits until no request is being answered.
    pub wait_until_idle: Box<dyn FnOnce() + Send>,
}

impl HttpServer {
    /// Listens on an address and answers by `handle` in so many threads.
    pub(crate) fn bind(
        host: &Arc<Host>,
        address: &str,
        threads: usize,
        handle: fn(&Arc<Host>, &Request) -> Response,
    ) -> Result<Self, ProgramError> {
        let host = host.clone();
        let server = Server::new(address, move |request| handle(&host, request))
            .map_err(|error| ServeError::Listen(address.to_owned(), error))?
            .pool_size(threads);
        let serving = Arc::new(server);
        let ending = serving.clone();
        Ok(HttpServer {
            serve: Box::new(move || {
                loop {
                    serving.poll_timeout(IDLE_INTERVAL);
                }
            }),
            wait_until_idle: Box::new(move || ending.join()),
        })
    }
}
