//! Bodies of requests are held whole before anything is sent, within a bound of memory and of time.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::app::App;
use crate::memory::Reservation;
use crate::response::{ClientResponse, local_response};

/// After how long a client may come again whose body found no room, in seconds.
const RETRY_AFTER_S: f64 = 0.2;

/// A request under way, counted for as long as it lasts.
pub(crate) struct ActiveRequest {
    app: Rc<App>,
    body: Reservation,
}

impl ActiveRequest {
    /// One more request is under way.
    pub(crate) fn new(app: &Rc<App>) -> Self {
        app.active_requests.set(app.active_requests.get() + 1);
        ActiveRequest {
            app: app.clone(),
            body: Reservation::new(&app.request_memory),
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.app
            .active_requests
            .set(self.app.active_requests.get() - 1);
    }
}

/// A matter of load: the body is in order by itself.
fn no_room(app: &App) -> ClientResponse {
    app.count("memory");
    local_response(503, "memory", Some(RETRY_AFTER_S))
}

/// The whole body of a request, of `most` bytes, by `until`.
pub(crate) async fn read(
    app: &App,
    mut body: Incoming,
    active: &mut ActiveRequest,
    most: u64,
    until: Instant,
) -> Result<Bytes, ClientResponse> {
    let too_long = || local_response(413, "body-too-long", None);
    let size = body.size_hint();
    if size.lower() > most {
        return Err(too_long());
    }
    let memory = &app.request_memory;
    if !memory.has_room_for(size.lower() as usize) {
        return Err(no_room(app));
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
                if (whole.len() + data.len()) as u64 > most {
                    return Err(too_long());
                }
                if !memory.has_room_for(data.len()) {
                    return Err(no_room(app));
                }
                active.body.hold(data.len());
                whole.extend_from_slice(&data);
            }
        }
    }
}
