//! What calls have in common: bodies that are read in full, and answers that say no more than done or not.

use std::io::Read;

use lynxmill_control_node::Answer;
use rouille::{Request, Response};
use serde::Serialize;

/// The longest body that is read, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// The body of a refusal.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Refused {
    error: String,
}

/// A refusal with its reason.
pub(super) fn refused(status: u16, error: impl ToString) -> Response {
    Response::json(&Refused {
        error: error.to_string(),
    })
    .with_status_code(status)
}

/// The response to an answer without content; `refusal` is the status of a refused call.
pub(super) fn done_or_refused(answer: Answer, refusal: u16) -> Result<Response, Response> {
    match answer {
        Answer::Refused(reason) => Err(refused(refusal, reason)),
        Answer::Unavailable(reason) => Err(refused(503, reason)),
        _ => Ok(Response::json(&serde_json::json!({}))),
    }
}

/// The whole body; a body that is too long or cut short is a refusal.
pub(super) fn read_body(request: &Request) -> Result<Vec<u8>, Response> {
    let length = request
        .header("Content-Length")
        .and_then(|value| value.parse::<usize>().ok());
    let Some(reader) = request.data() else {
        return Err(refused(400, "the body has been read"));
    };
    let mut bytes = Vec::new();
    if reader
        .take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut bytes)
        .is_err()
    {
        return Err(refused(400, "the body can't be read in full"));
    }
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(refused(413, "the body is too long"));
    }
    if length.is_some_and(|length| length != bytes.len()) {
        return Err(refused(400, "the body is cut short"));
    }
    Ok(bytes)
}
