//! Answers that say no more than done or not.

use lynxmill_configuration::ValidationError;
use lynxmill_control_node::Answer;
use lynxmill_http_server::{Response, response};

/// The response to an answer without content; `refusal` tells the status of a refused call.
pub(super) fn done_or_refused(
    answer: Answer,
    refusal: impl FnOnce(&ValidationError) -> u16,
) -> Response {
    match answer {
        Answer::Refused(reason) => response::error(refusal(&reason), reason),
        Answer::Unavailable(reason) => response::error(503, reason),
        _ => response::json(200, &serde_json::json!({})),
    }
}
