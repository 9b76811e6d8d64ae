//! Responses with bodies that are whole.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, LOCATION};
use serde::Serialize;

/// A response with a body of known length.
pub type Response = hyper::Response<Full<Bytes>>;

/// The body of a refusal.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct ErrorBody {
    error: String,
}

fn with_type(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status_code(status);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn status_code(status: u16) -> hyper::StatusCode {
    hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR)
}

/// A response without a body.
pub fn empty(status: u16) -> Response {
    let mut response = Response::default();
    *response.status_mut() = status_code(status);
    response
}

/// 307: the call is to be made again at this URL. 500 if that can't be written into a head.
pub fn redirect(location: &str) -> Response {
    let Ok(location) = HeaderValue::from_str(location) else {
        return empty(500);
    };
    let mut response = empty(307);
    response.headers_mut().insert(LOCATION, location);
    response
}

/// A line of text.
pub fn text(status: u16, text: &'static str) -> Response {
    with_type(status, "text/plain; charset=utf-8", text)
}

/// JSON that is there as text.
pub fn json_text(text: String) -> Response {
    with_type(200, "application/json", text)
}

/// A value as JSON; 500 if it can't be written as such.
pub fn json(status: u16, value: &impl Serialize) -> Response {
    match serde_json::to_string(value) {
        Ok(body) => with_type(status, "application/json", body),
        Err(_) => empty(500),
    }
}

/// A refusal with its reason, as JSON with one field `Error`.
pub fn error(status: u16, reason: impl ToString) -> Response {
    let body = ErrorBody {
        error: reason.to_string(),
    };
    json(status, &body)
}
