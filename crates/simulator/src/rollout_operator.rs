//! A scripted operator who brings versions of a service in, one after the other, sound and bad ones, and asks how far
//! they are.

use lynxmill_configuration::{RolloutOrder, RolloutState};
use lynxmill_control_node::{Answer, ControlRequest};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::client_traffic::BAD_VERSION;
use crate::invariants::History;
use crate::operator::{OperatorCall, PLAIN};
use crate::random::Random;

/// Silence after which it moves on.
const RESPONSE_TIMEOUT: TimeDelta = TimeDelta::from_micros(1_000_000);
/// An order is sent again for so long at most.
const ORDER_PATIENCE: TimeDelta = TimeDelta::from_micros(4_000_000);
/// A rollout that was never acknowledged is followed for so long.
const UNCLEAR_PATIENCE: TimeDelta = TimeDelta::from_micros(12_000_000);
const TERM_S: (f64, f64) = (4.0, 9.0);
const BAD_CHANCE: f64 = 0.4;
/// Between two calls, and between two rollouts, in seconds.
const POLL_S: (f64, f64) = (0.1, 0.5);
const PAUSE_S: (f64, f64) = (0.2, 2.0);
const RETRY_S: (f64, f64) = (0.05, 0.4);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Ordering,
    Following,
}

#[derive(Clone, Debug)]
struct Current {
    order: RolloutOrder,
    stage: Stage,
    since: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct OpenCall {
    call: u64,
    sent: Timestamp,
}

/// What an answer has led to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RolloutNews {
    Nothing,
    /// Tasks of this version are to be started.
    Acknowledged(String),
    /// Tasks of all versions but this one are to be stopped at once.
    Completed(String),
    /// Tasks of this version are to drain.
    Reverted(String),
}

#[derive(Debug)]
pub(crate) struct RolloutOperator {
    random: Random,
    current: Option<Current>,
    ordered: usize,
    open: Option<OpenCall>,
    next: Timestamp,
    /// Nothing new is ordered.
    is_calm: bool,
}

impl RolloutOperator {
    pub(crate) fn new(seed: u64, now: Timestamp) -> Self {
        RolloutOperator {
            random: Random::new(seed, "operator of rollouts"),
            current: None,
            ordered: 0,
            open: None,
            next: now,
            is_calm: false,
        }
    }

    /// All faults are over: it follows the last rollout to its end.
    pub(crate) fn calm_down(&mut self) {
        self.is_calm = true;
    }

    pub(crate) fn next_wake(&self) -> Timestamp {
        self.open
            .as_ref()
            .map_or(self.next, |open| open.sent + RESPONSE_TIMEOUT)
    }

    /// Time has passed: what to call, if anything.
    pub(crate) fn wake(
        &mut self,
        now: Timestamp,
        machines: &[usize],
        history: &mut History,
        call: u64,
    ) -> Option<OperatorCall> {
        if let Some(open) = self.open {
            if now < open.sent + RESPONSE_TIMEOUT {
                return None;
            }
            self.unanswered(now);
        }
        if now < self.next {
            return None;
        }
        self.give_up_if_late(now);
        if self.current.is_none() && !self.order_next(now, history) {
            self.next = now + TimeDelta::from_secs(POLL_S.1);
            return None;
        }
        let current = self.current.as_ref()?;
        let request = match current.stage {
            Stage::Ordering => ControlRequest::Rollout(current.order.clone()),
            Stage::Following => ControlRequest::ReadBack,
        };
        let machine = self.random.choose(machines).copied()?;
        self.open = Some(OpenCall { call, sent: now });
        Some(OperatorCall {
            machine,
            call,
            request,
        })
    }

    /// Whether a further rollout is ordered.
    fn order_next(&mut self, now: Timestamp, history: &mut History) -> bool {
        if self.is_calm || !history.is_first_change_acknowledged() {
            return false;
        }
        self.ordered += 1;
        let is_bad = self.random.chance(BAD_CHANCE);
        let prefix = if is_bad { BAD_VERSION } else { "good-" };
        let term = TimeDelta::from_secs(self.random.seconds(TERM_S.0, TERM_S.1));
        let order = RolloutOrder {
            service: PLAIN.to_owned(),
            target_version: format!("{prefix}{}", self.ordered),
            duration_ms: (term.micros() / 1000) as u64,
            base_versions: Vec::new(),
        };
        history
            .rollouts
            .ordered(now, &order.target_version, term, is_bad);
        self.current = Some(Current {
            order,
            stage: Stage::Ordering,
            since: now,
        });
        true
    }

    fn give_up_if_late(&mut self, now: Timestamp) {
        let Some(current) = &mut self.current else {
            return;
        };
        let waited = now - current.since;
        if current.stage == Stage::Ordering && waited > ORDER_PATIENCE {
            current.stage = Stage::Following;
        }
        if waited > UNCLEAR_PATIENCE {
            self.current = None;
        }
    }

    fn unanswered(&mut self, now: Timestamp) {
        self.open = None;
        self.next = now + self.random.time_delta(RETRY_S.0, RETRY_S.1);
    }

    /// Nobody took the call.
    pub(crate) fn refused(&mut self, now: Timestamp, call: u64) {
        if self.open.is_some_and(|open| open.call == call) {
            self.unanswered(now);
        }
    }

    /// An answer came; answers to calls that were given up are late.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        call: u64,
        answer: &Answer,
        history: &mut History,
    ) -> RolloutNews {
        let Some(open) = self.open.filter(|open| open.call == call) else {
            return RolloutNews::Nothing;
        };
        let Some(current) = self.current.clone() else {
            return RolloutNews::Nothing;
        };
        let version = current.order.target_version.clone();
        match (answer, current.stage) {
            (Answer::Done, Stage::Ordering) => {
                history.rollouts.acknowledged(now, &version);
                self.go_on(now, Some(Stage::Following));
                RolloutNews::Acknowledged(version)
            }
            (Answer::Refused(why), Stage::Ordering) => {
                history.rollout_refused(now, &version, &why.to_string());
                self.go_on(now, None);
                RolloutNews::Nothing
            }
            (Answer::Configuration(held), Stage::Following) => {
                history.read_back(now, open.sent, held);
                let rollouts = held.rollouts(PLAIN).unwrap_or_default();
                let state = rollouts.of_version(&version).map(|rollout| rollout.state);
                self.follow(now, &version, state)
            }
            _ => {
                self.unanswered(now);
                RolloutNews::Nothing
            }
        }
    }

    fn follow(
        &mut self,
        now: Timestamp,
        version: &str,
        state: Option<RolloutState>,
    ) -> RolloutNews {
        let version = version.to_owned();
        match state {
            Some(RolloutState::Completed) => {
                self.go_on(now, None);
                RolloutNews::Completed(version)
            }
            Some(RolloutState::Reverted) => {
                self.go_on(now, None);
                RolloutNews::Reverted(version)
            }
            Some(RolloutState::InProgress) | None => {
                self.go_on(now, Some(Stage::Following));
                RolloutNews::Nothing
            }
        }
    }

    /// The call is settled; without a stage the rollout is.
    fn go_on(&mut self, now: Timestamp, stage: Option<Stage>) {
        self.open = None;
        let (least, most) = if stage.is_some() { POLL_S } else { PAUSE_S };
        self.next = now + self.random.time_delta(least, most);
        match (stage, &mut self.current) {
            (Some(stage), Some(current)) => current.stage = stage,
            _ => self.current = None,
        }
    }
}
