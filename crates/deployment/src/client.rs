//! Calls by HTTP, each with a bound on its time; no status is an error.

use std::time::Duration;

use serde_json::Value;
use ureq::http;

const PATIENCE: Duration = Duration::from_secs(3);
/// Callers of control addresses follow so many redirects.
const MAX_REDIRECTS: usize = 2;
/// The status of a redirect that keeps method and body.
pub const REDIRECT: u16 = 307;

/// An answer, read whole.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The head.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: String,
}

impl Answer {
    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn json(&self) -> Result<Value, String> {
        serde_json::from_str(&self.body).map_err(|e| format!("the answer is no JSON: {e}"))
    }

    /// The value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
    }
}

/// The address and the path of a `Location`, as `http://10.0.0.4:8080/path`.
pub fn location_parts(location: &str) -> Option<(&str, &str)> {
    let rest = location.strip_prefix("http://")?;
    let path_at = rest.find('/')?;
    Some(rest.split_at(path_at))
}

/// Makes calls, each within this time.
pub fn agent(patience: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(patience));
    config.build().into()
}

/// Makes a call.
///
/// # Errors
///
/// If no whole answer comes.
pub fn call(agent: &ureq::Agent, request: http::Request<Vec<u8>>) -> Result<Answer, String> {
    let at = request.uri().to_string();
    let (head, body) = request.into_parts();
    // A body of no bytes is none.
    let came = match body.is_empty() {
        true => agent.run(http::Request::from_parts(head, ())),
        false => agent.run(http::Request::from_parts(head, body)),
    };
    let mut answer = came.map_err(|e| format!("{at}: {e}"))?;
    let body = answer
        .body_mut()
        .read_to_string()
        .map_err(|e| format!("{at}: {e}"))?;
    Ok(Answer {
        status: answer.status().as_u16(),
        headers: answer.headers().clone(),
        body,
    })
}

/// A call of JSON to a path at an address.
///
/// # Errors
///
/// If no whole answer comes.
pub fn by(
    agent: &ureq::Agent,
    method: &str,
    address: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<Answer, String> {
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("Content-Type", "application/json")
        .body(body)
        .map_err(|e| format!("{address}{path}: {e}"))?;
    call(agent, request)
}

/// A call of JSON to a control address, which follows redirects as callers do.
///
/// # Errors
///
/// If no whole answer comes.
pub fn by_following(
    agent: &ureq::Agent,
    method: &str,
    address: &str,
    path: &str,
    body: &[u8],
) -> Result<Answer, String> {
    let mut answer = by(agent, method, address, path, body.to_vec())?;
    for _ in 0..MAX_REDIRECTS {
        if answer.status != REDIRECT {
            break;
        }
        let Some((address, path)) = location_parts(answer.header("Location")) else {
            break;
        };
        answer = by(agent, method, address, path, body.to_vec())?;
    }
    Ok(answer)
}

/// Reads a page.
///
/// # Errors
///
/// If no whole answer comes.
pub fn get(address: &str, path: &str) -> Result<Answer, String> {
    by(&agent(PATIENCE), "GET", address, path, Vec::new())
}

/// Sends a configuration to a control address, and follows redirects.
///
/// # Errors
///
/// If no whole answer comes.
pub fn patch(address: &str, change: &Value) -> Result<Answer, String> {
    by_following(
        &agent(PATIENCE),
        "PATCH",
        address,
        "/v1/configuration",
        change.to_string().as_bytes(),
    )
}
