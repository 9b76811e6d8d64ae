//! What a client gets: a task's answer, or one of the edge's own.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use crate::headers::end_to_end;
use crate::memory::Reservation;
use crate::upstream::UpstreamResponse;

/// The memory of an answer, in the extensions of its response: it is held until the client has read the answer.
#[derive(Clone, Debug)]
pub(crate) struct HeldAnswer(
    #[expect(dead_code, reason = "held until it is dropped")] Arc<Reservation>,
);

/// A whole answer to a client.
pub(crate) type ClientResponse = Response<Full<Bytes>>;

/// An answer of the edge's own; `again`: seconds after which the client may come back.
pub(crate) fn local_response(
    status: u16,
    reason: &'static str,
    again: Option<f64>,
) -> ClientResponse {
    let mut reply = Response::new(Full::new(Bytes::from(format!("{reason}\n"))));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(again) = again {
        let seconds = HeaderValue::from_str(&format!("{again:.3}"));
        seconds
            .into_iter()
            .for_each(|s| drop(reply.headers_mut().insert("retry-after", s)));
    }
    reply
}

/// A task's answer as the client gets it.
pub(crate) fn forward_response(answer: UpstreamResponse) -> ClientResponse {
    let headers = end_to_end(&answer.headers);
    let mut reply = Response::new(Full::new(answer.body));
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = headers;
    reply
        .extensions_mut()
        .insert(HeldAnswer(Arc::new(answer.reservation)));
    reply
}
