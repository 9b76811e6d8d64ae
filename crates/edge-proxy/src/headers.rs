//! Names of headers, and which of them concern one connection only.

use hyper::HeaderMap;
use hyper::header::HeaderName;

/// The id of a client's try; tasks echo it.
pub(crate) const ATTEMPT_ID: &str = "lynxmill-attempt-id";
/// Milliseconds that the client, or the edge, will wait.
pub(crate) const DEADLINE: &str = "lynxmill-deadline-ms";
/// The task that alone may run the request.
pub(crate) const EXPECT_INSTANCE: &str = "lynxmill-expect-instance";
/// Running, waiting and slots of a task.
pub(crate) const INSTANCE_LOAD: &str = "lynxmill-instance-load";
/// A task's word that it did not run the request.
pub(crate) const NOT_EXECUTED: &str = "lynxmill-not-executed";
/// A task's stamp on an answer of its own.
pub(crate) const SERVER_SEAL: &str = "lynxmill-server-seal";
/// The key of a request to a sharded service.
pub(crate) const SHARD_KEY: &str = "lynxmill-shard-key";

/// Headers that concern one connection only, whether or not `Connection` names them.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// A header's first value, if it is text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// All that the `Connection` headers say, in lower case.
fn connection_options(headers: &HeaderMap) -> String {
    let all = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok());
    all.collect::<Vec<_>>().join(",").to_ascii_lowercase()
}

fn contains_option(options: &str, option: &str) -> bool {
    options.split(',').any(|named| named.trim() == option)
}

/// Whether the sender says that it closes the connection after this message.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    contains_option(&connection_options(headers), "close")
}

/// The headers that are passed along: all but those of one connection.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let options = connection_options(headers);
    let passed = |name: &HeaderName| {
        !HOP_BY_HOP.contains(&name.as_str()) && !contains_option(&options, name.as_str())
    };
    let mut kept = HeaderMap::with_capacity(headers.len() + 1);
    for (name, value) in headers.iter().filter(|(name, _)| passed(name)) {
        kept.append(name.clone(), value.clone());
    }
    kept
}
