//! Versions of services brought in: ordered, shown, and followed to their end.

use std::time::{Duration, Instant};

use lynxmill_deployment::client::{self, Answer};
use serde_json::{Value, json};

/// Until a member answers; then the next one is asked.
const MEMBER_PATIENCE: Duration = Duration::from_secs(2);
/// An order that no member has answered clearly is sent again for so long.
const ORDER_PATIENCE: Duration = Duration::from_secs(4);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Between two looks at a rollout that is followed.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Members may be out of reach for so long while a rollout is followed.
const WATCH_PATIENCE: Duration = Duration::from_secs(30);
const PATH: &str = "/v1/rollouts";

/// Why something could not be done.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// The order was refused.
    #[error("refused with {0}: {1}")]
    Refused(u16, String),
    /// No member has answered clearly.
    #[error("no member has answered: {0}")]
    Unanswered(String),
    /// An answer that can't be read.
    #[error("the answer can't be read: {0}")]
    Unreadable(String),
    /// Another version is being brought in.
    #[error("the newest rollout is to another version: {0}")]
    OtherVersion(String),
}

/// How far a rollout is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// `in_progress`, `completed` or `reverted`.
    pub state: String,
    /// The version that is brought in.
    pub version: String,
}

/// Whether an answer says something that asking another member would not change.
fn is_clear(answer: &Answer) -> bool {
    !matches!(answer.status, 307 | 408 | 429 | 500..)
}

/// Asks one member after the other until one answers clearly.
fn ask(
    controls: &[String],
    method: &str,
    path: &str,
    body: &[u8],
    patience: Duration,
) -> Result<Answer, RolloutError> {
    let (caller, began) = (client::agent(MEMBER_PATIENCE), Instant::now());
    let mut last = "no address is named".to_owned();
    for control in controls.iter().cycle() {
        match client::by_following(&caller, method, control, path, body) {
            Ok(answer) if is_clear(&answer) => return Ok(answer),
            Ok(answer) => last = format!("{control}: {} {}", answer.status, answer.body.trim()),
            Err(error) => last = error,
        }
        if began.elapsed() >= patience {
            break;
        }
        std::thread::sleep(RETRY_PAUSE);
    }
    Err(RolloutError::Unanswered(last))
}

fn accept(answer: Answer) -> Result<Answer, RolloutError> {
    if answer.status == 200 {
        return Ok(answer);
    }
    let body: Result<Value, String> = answer.json();
    let reason = body
        .ok()
        .and_then(|b| b["Error"].as_str().map(str::to_owned));
    let reason = reason.unwrap_or_else(|| answer.body.trim().to_owned());
    Err(RolloutError::Refused(answer.status, reason))
}

/// Orders that a service's traffic move to a version within a term.
///
/// # Errors
///
/// If the order is refused, or no member answers clearly.
pub fn start(
    controls: &[String],
    service: &str,
    version: &str,
    term: Duration,
) -> Result<(), RolloutError> {
    let order = json!({
        "Service": service, "TargetVersion": version, "DurationS": term.as_secs_f64(),
    });
    let body = order.to_string();
    let answer = ask(controls, "POST", PATH, body.as_bytes(), ORDER_PATIENCE)?;
    accept(answer).map(drop)
}

/// How far the newest rollout of a service is.
///
/// # Errors
///
/// If there is none, or no member answers clearly.
pub fn status(controls: &[String], service: &str) -> Result<RolloutStatus, RolloutError> {
    let path = format!("{PATH}/{service}");
    let answer = accept(ask(controls, "GET", &path, b"", ORDER_PATIENCE)?)?;
    let told = answer.json().map_err(RolloutError::Unreadable)?;
    let field = |name: &str| {
        let text = told[name].as_str();
        text.map(str::to_owned)
            .ok_or_else(|| RolloutError::Unreadable(format!("there is no {name}")))
    };
    Ok(RolloutStatus {
        state: field("State")?,
        version: field("TargetVersion")?,
    })
}

/// Follows the rollout of a service to a version, telling each new state; whether it was completed.
///
/// # Errors
///
/// If there is none, another one is the newest, or no member has answered for long.
pub fn watch(
    controls: &[String],
    service: &str,
    version: &str,
    mut tell: impl FnMut(&RolloutStatus),
) -> Result<bool, RolloutError> {
    let mut told: Option<RolloutStatus> = None;
    let mut last_answer = Instant::now();
    loop {
        match status(controls, service) {
            Ok(status) => {
                last_answer = Instant::now();
                if status.version != version && status.state != "in_progress" {
                    return Err(RolloutError::OtherVersion(status.version));
                }
                if status.version == version && told.as_ref() != Some(&status) {
                    tell(&status);
                    match status.state.as_str() {
                        "completed" => return Ok(true),
                        "reverted" => return Ok(false),
                        _ => told = Some(status),
                    }
                }
            }
            Err(RolloutError::Unanswered(_)) if last_answer.elapsed() < WATCH_PATIENCE => {}
            Err(error) => return Err(error),
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}
