//! Why a call of the operator is refused, and the checks of one route.

use crate::resources::Route;

/// A `TargetS` must be less than this above its route's `TimeoutS`, in seconds.
const TARGET_MARGIN_S: f64 = 60.0;

/// Why a call of the operator is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
    #[error("the configuration can't be read in full: {0}")]
    Unreadable(String),
    #[error("{0}: no Version of hexadecimal digits")]
    InvalidVersion(String),
    #[error("{0}: an item has no Name")]
    MissingName(String),
    #[error("route {0} names service {1}, which is not known")]
    UnknownService(String, String),
    #[error("routes {0} and {1} have the same host and prefix")]
    DuplicateRoute(String, String),
    #[error("route {0}: TimeoutS is not above 0")]
    InvalidTimeout(String),
    #[error("route {0}: TargetS is a minute or more above TimeoutS")]
    TargetTooLong(String),
    #[error("route {0}: MaxAttempts is 0")]
    InvalidAttempts(String),
    #[error("route {0}: Host is empty")]
    MissingHost(String),
    #[error("route {0}: PathPrefix does not begin and end with a slash")]
    InvalidPrefix(String),
    #[error("route {0}: its Split has no weight above 0, or one below")]
    InvalidWeight(String),
    /// Two operators chose the same number: only the one whose content was agreed first is confirmed.
    #[error("{0}: version {1:08x} is taken by other content")]
    VersionTaken(String, u64),
}

/// Checks what can be said of a route by itself, whatever else stands.
pub(crate) fn check_route(route: &Route) -> Result<(), ValidationError> {
    let name = || route.name.clone();
    let split = &route.split;
    let weights: f64 = split.iter().map(|s| s.weight).sum();
    match () {
        () if route.host.is_empty() => Err(ValidationError::MissingHost(name())),
        () if !(route.timeout_s > 0.0 && route.timeout_s.is_finite()) => {
            Err(ValidationError::InvalidTimeout(name()))
        }
        () if route.target_s >= route.timeout_s + TARGET_MARGIN_S => {
            Err(ValidationError::TargetTooLong(name()))
        }
        () if route.max_attempts == 0 => Err(ValidationError::InvalidAttempts(name())),
        () if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') => {
            Err(ValidationError::InvalidPrefix(name()))
        }
        () if !split.is_empty() && (weights <= 0.0 || split.iter().any(|s| s.weight < 0.0)) => {
            Err(ValidationError::InvalidWeight(name()))
        }
        () => Ok(()),
    }
}
