//! What a soak is told: its size, its load, and how often each disruption comes. A TOML file, all of it optional.

use std::fmt::Display;
use std::ops::Range;

use serde::Deserialize;

/// The most disruptions of one kind a minute.
const MOST_A_MINUTE: f64 = 120.0;
/// The most seconds of one soak.
const MOST_SECONDS: f64 = 86_400.0;

/// Why a settings file is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {message}")]
pub struct SettingsError {
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

fn within<T: PartialOrd + Display>(value: T, least: T, most: T) -> Result<T, String> {
    if value >= least && value <= most {
        Ok(value)
    } else {
        Err(format!("{value} is not within {least} to {most}"))
    }
}

/// How often something comes, a minute.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(try_from = "f64")]
pub struct PerMinute(pub f64);

impl TryFrom<f64> for PerMinute {
    type Error = String;

    fn try_from(value: f64) -> Result<Self, String> {
        let told = within(value, 0.0, MOST_A_MINUTE);
        told.map(PerMinute)
            .map_err(|error| format!("{error} a minute"))
    }
}

/// How many of something there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "usize")]
pub struct Count<const LEAST: usize, const MOST: usize>(pub usize);

impl<const LEAST: usize, const MOST: usize> TryFrom<usize> for Count<LEAST, MOST> {
    type Error = String;

    fn try_from(value: usize) -> Result<Self, String> {
        within(value, LEAST, MOST).map(Count)
    }
}

/// How long a soak lasts.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(try_from = "f64")]
pub struct Seconds(pub f64);

impl TryFrom<f64> for Seconds {
    type Error = String;

    fn try_from(value: f64) -> Result<Self, String> {
        let told = within(value, 1.0, MOST_SECONDS);
        told.map(Seconds)
            .map_err(|error| format!("{error} seconds"))
    }
}

/// How often each disruption comes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Doses {
    /// An edge gets SIGTERM, and starts again once it has ended.
    pub edge_terminate: PerMinute,
    /// An edge gets SIGKILL, and starts again.
    pub edge_kill: PerMinute,
    /// An edge gets SIGSTOP, and SIGCONT after a while.
    pub edge_freeze: PerMinute,
    /// An edge gets SIGHUP, with its settings file half written before it is whole.
    pub edge_hang_up: PerMinute,
    /// A member of the core gets SIGTERM, and starts again once it has ended.
    pub member_terminate: PerMinute,
    /// A member gets SIGKILL, and starts again.
    pub member_kill: PerMinute,
    /// A member gets SIGSTOP, and SIGCONT after a while.
    pub member_freeze: PerMinute,
    /// A member gets SIGHUP.
    pub member_hang_up: PerMinute,
    /// A task says `draining`, serves on, signs off and ends; another starts.
    pub task_drain: PerMinute,
    /// A task signs off first, serves on and ends; another starts.
    pub task_sign_off: PerMinute,
    /// A task ends without a word; another starts.
    pub task_crash: PerMinute,
    /// A route moves to another service.
    pub configuration: PerMinute,
    /// A zone is evacuated, and taken back after a while; half of the time twice in a row.
    pub evacuation: PerMinute,
    /// A version of a service is brought in, sound or bad; one at a time.
    pub rollout: PerMinute,
    /// The way from callers to a member holds everything back for a while.
    pub calls_hold: PerMinute,
    /// All connections of callers to a member are reset.
    pub calls_reset: PerMinute,
}

impl Default for Doses {
    fn default() -> Self {
        Doses {
            edge_terminate: PerMinute(6.0),
            edge_kill: PerMinute(2.0),
            edge_freeze: PerMinute(2.0),
            edge_hang_up: PerMinute(4.0),
            member_terminate: PerMinute(2.0),
            member_kill: PerMinute(2.0),
            member_freeze: PerMinute(1.0),
            member_hang_up: PerMinute(2.0),
            task_drain: PerMinute(3.0),
            task_sign_off: PerMinute(3.0),
            task_crash: PerMinute(2.0),
            configuration: PerMinute(12.0),
            evacuation: PerMinute(2.0),
            rollout: PerMinute(4.0),
            calls_hold: PerMinute(4.0),
            calls_reset: PerMinute(3.0),
        }
    }
}

/// What a soak is to be.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SoakSettings {
    /// How long clients send.
    pub seconds: Seconds,
    /// Members of the core; one may be in trouble at a time.
    pub members: Count<3, 9>,
    /// Edge proxies.
    pub edges: Count<2, 60>,
    /// Tasks of each of the three services.
    pub tasks: Count<2, 60>,
    /// Clients, each with connections of its own.
    pub clients: Count<1, 4_000>,
    /// How often each disruption comes.
    pub doses: Doses,
}

impl Default for SoakSettings {
    fn default() -> Self {
        SoakSettings {
            seconds: Seconds(60.0),
            members: Count(3),
            edges: Count(4),
            tasks: Count(4),
            clients: Count(32),
            doses: Doses::default(),
        }
    }
}

/// Reads settings.
///
/// # Errors
///
/// The first fault, by line and column.
pub fn parse(text: &str) -> Result<SoakSettings, SettingsError> {
    toml::from_str(text).map_err(|error| {
        let (line, column) = position(text, error.span().unwrap_or(Range::default()).start);
        SettingsError {
            line,
            column,
            message: error.message().to_owned(),
        }
    })
}

fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
