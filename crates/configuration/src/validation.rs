//! Why a change is refused, and the checks of a single route.

use crate::resources::Route;

/// By how much a route's latency target may exceed its timeout, exclusive, in seconds.
const MAX_TARGET_ABOVE_TIMEOUT_S: f64 = 60.0;

/// Why a change is refused; the text names the item.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
    /// The body is no JSON of the expected shape.
    #[error("the configuration can't be read in full: {0}")]
    Unreadable(String),
    /// An item has no version of hexadecimal digits.
    #[error("{0}: no Version of hexadecimal digits")]
    InvalidVersion(String),
    /// An item has no name.
    #[error("{0}: an item has no Name")]
    MissingName(String),
    /// A route names a service that is not known.
    #[error("route {0} names service {1}, which is not known")]
    UnknownService(String, String),
    /// Two routes have the same host and prefix.
    #[error("routes {0} and {1} have the same host and prefix")]
    DuplicateRoute(String, String),
    /// A route's timeout is not above zero.
    #[error("route {0}: TimeoutS is not above 0")]
    InvalidTimeout(String),
    /// A route's latency target is a minute or more above its timeout.
    #[error("route {0}: TargetS is a minute or more above TimeoutS")]
    TargetTooLong(String),
    /// A route allows no attempt.
    #[error("route {0}: MaxAttempts is 0")]
    InvalidAttempts(String),
    /// A route has no host.
    #[error("route {0}: Host is empty")]
    MissingHost(String),
    /// A route's prefix does not begin and end with `/`.
    #[error("route {0}: PathPrefix does not begin and end with a slash")]
    InvalidPrefix(String),
    /// A route's split has no positive weight, or a negative one.
    #[error("route {0}: its Split has no weight above 0, or one below")]
    InvalidWeight(String),
    /// Two operators chose the same number: only the one whose content was agreed first is confirmed.
    #[error("{0}: version {1:08x} is taken by other content")]
    VersionTaken(String, u64),
    /// A rollout names a service that is not known.
    #[error("service {0} is not known")]
    UnknownRolloutService(String),
    /// The version is brought in already, with another term.
    #[error("service {0}: version {1} is brought in already, with another DurationS")]
    RolloutUnderWay(String, String),
}

/// Checks a route by itself, without the items around it.
///
/// # Errors
///
/// The first rule of the control protocol that the route breaks.
pub(crate) fn check_route(route: &Route) -> Result<(), ValidationError> {
    let name = || route.name.clone();
    if route.host.is_empty() {
        return Err(ValidationError::MissingHost(name()));
    }
    if !route.timeout_s.is_finite() || route.timeout_s <= 0.0 {
        return Err(ValidationError::InvalidTimeout(name()));
    }
    if route.target_s >= route.timeout_s + MAX_TARGET_ABOVE_TIMEOUT_S {
        return Err(ValidationError::TargetTooLong(name()));
    }
    if route.max_attempts == 0 {
        return Err(ValidationError::InvalidAttempts(name()));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(ValidationError::InvalidPrefix(name()));
    }
    if !has_valid_split(route) {
        return Err(ValidationError::InvalidWeight(name()));
    }
    Ok(())
}

/// A split may be absent; else its weights are not negative, and one is positive.
fn has_valid_split(route: &Route) -> bool {
    let split = &route.split;
    let total: f64 = split.iter().map(|part| part.weight).sum();
    let invalid = total <= 0.0 || split.iter().any(|part| part.weight < 0.0);
    split.is_empty() || !invalid
}
