//! Bodies of requests are held whole before anything is sent, within a bound of memory and of time.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::app::App;
use crate::response::{ClientResponse, local_response};

/// Part of the memory that bodies may take.
const MEMORY_SHARE: f64 = 0.3;

/// Counts what a request takes up for as long as it lasts.
pub(crate) struct BodyMemory {
    app: Rc<App>,
    bytes: usize,
}

impl BodyMemory {
    /// One more request is under way.
    pub(crate) fn new(app: &Rc<App>) -> Self {
        app.active_requests.set(app.active_requests.get() + 1);
        BodyMemory {
            app: app.clone(),
            bytes: 0,
        }
    }

    fn reserve(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.app
            .buffered_bytes
            .set(self.app.buffered_bytes.get() + bytes);
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.app
            .active_requests
            .set(self.app.active_requests.get() - 1);
        self.app
            .buffered_bytes
            .set(self.app.buffered_bytes.get() - self.bytes);
    }
}

/// The whole body of a request, of `most` bytes, by `until`.
pub(crate) async fn read(
    app: &App,
    mut body: Incoming,
    usage: &mut BodyMemory,
    most: u64,
    until: Instant,
) -> Result<Bytes, ClientResponse> {
    let too_long = || local_response(413, "body-too-long", None);
    let size = body.size_hint();
    if size.lower() > most {
        return Err(too_long());
    }
    let room =
        (app.settings.borrow().resource_limits().memory_mb.max(64.0) * MEMORY_SHARE * 1e6) as usize;
    if app.buffered_bytes.get() + size.lower() as usize > room {
        app.count("memory");
        return Err(local_response(503, "memory", Some(0.2)));
    }
    if size.exact() == Some(0) {
        return Ok(Bytes::new());
    }
    let mut whole = BytesMut::with_capacity(size.lower().min(most) as usize);
    loop {
        // One bound for all of it: a client that sends a byte now and then must not hold it for ever.
        match timeout_at(until, body.frame()).await {
            Err(_) => return Err(local_response(408, "body-late", None)),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(_))) => return Err(local_response(400, "body-cut", None)),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                usage.reserve(data.len());
                whole.extend_from_slice(&data);
                if whole.len() as u64 > most || app.buffered_bytes.get() > room {
                    return Err(too_long());
                }
            }
        }
    }
}
