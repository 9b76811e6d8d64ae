//! The operator of rollouts: it brings versions of services in, sound and bad ones, and follows each to its end.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

use crate::http::Caller;
use crate::ledger::{Ledger, RolloutEnd, RolloutRecord};
use crate::links::Links;
use crate::schedule::PlannedRollout;

/// A call is made at another member after so long.
const PATIENCE: Duration = Duration::from_secs(1);
const AGAIN_AFTER: Duration = Duration::from_millis(250);
/// An order is sent again for so long, in seconds.
const ORDER_PATIENCE_S: f64 = 5.0;
/// A rollout is followed for so long beyond its term, in seconds.
pub(crate) const END_PATIENCE_S: f64 = 12.0;
const PATH: &str = "/v1/rollouts";

/// What tasks are to do about a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RolloutEvent {
    /// It is acknowledged: tasks of the version start beside the others.
    Acknowledged(TaskVersion),
    /// Tasks of all other versions end at once.
    Completed(TaskVersion),
    /// Tasks of the version drain.
    Reverted(TaskVersion),
}

/// A version of a service's tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TaskVersion {
    pub service: &'static str,
    pub version: String,
    /// Half of its answers are failures.
    pub is_bad: bool,
}

/// Brings one version after the other in.
pub(crate) struct RolloutOperator {
    pub ledger: Arc<Ledger>,
    pub controls: Vec<String>,
    pub links: Arc<Links>,
    pub events: UnboundedSender<RolloutEvent>,
}

impl RolloutOperator {
    /// Orders a rollout and follows it to its end.
    pub(crate) async fn bring_in(&self, first_member: usize, planned: PlannedRollout) {
        let (place, version) = self.record(planned);
        let mut caller = Caller::new(self.links.clone());
        if !self
            .order(&mut caller, first_member, planned, &version)
            .await
        {
            return;
        }
        let acknowledged = self.ledger.now();
        self.ledger.records().rollouts[place].acknowledged = Some(acknowledged);
        let _ = self
            .events
            .send(RolloutEvent::Acknowledged(version.clone()));
        let until = acknowledged + planned.term_s + END_PATIENCE_S;
        let Some(end) = self
            .follow(&mut caller, first_member, &version, until)
            .await
        else {
            return;
        };
        let now = self.ledger.now();
        self.ledger.records().rollouts[place].ended = Some((now, end));
        let event = match end {
            RolloutEnd::Completed => RolloutEvent::Completed(version),
            RolloutEnd::Reverted => RolloutEvent::Reverted(version),
        };
        let _ = self.events.send(event);
    }

    fn record(&self, planned: PlannedRollout) -> (usize, TaskVersion) {
        let ordered = self.ledger.now();
        let mut records = self.ledger.records();
        let place = records.rollouts.len();
        let version = TaskVersion {
            service: planned.service,
            version: format!("v{}", place + 2),
            is_bad: planned.is_bad,
        };
        records.rollouts.push(RolloutRecord {
            service: planned.service,
            version: version.version.clone(),
            is_bad: planned.is_bad,
            term_s: planned.term_s,
            ordered,
            acknowledged: None,
            ended: None,
            read_back: None,
        });
        (place, version)
    }

    async fn order(
        &self,
        caller: &mut Caller,
        first_member: usize,
        planned: PlannedRollout,
        version: &TaskVersion,
    ) -> bool {
        let body = json!({
            "Service": version.service, "TargetVersion": version.version, "DurationS": planned.term_s,
        });
        let body = body.to_string();
        let began = self.ledger.now();
        for member in first_member.. {
            let control = &self.controls[member % self.controls.len()];
            let answer = caller.call(control, "POST", PATH, &body, PATIENCE).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            if self.ledger.now() - began > ORDER_PATIENCE_S {
                break;
            }
            sleep(AGAIN_AFTER).await;
        }
        false
    }

    async fn follow(
        &self,
        caller: &mut Caller,
        first_member: usize,
        version: &TaskVersion,
        until: f64,
    ) -> Option<RolloutEnd> {
        for member in first_member.. {
            let end = self.read(caller, member, version).await;
            if end.is_some() || self.ledger.now() > until {
                return end;
            }
            sleep(AGAIN_AFTER).await;
        }
        None
    }

    /// How a rollout has ended, as a member says; none if it has not, or there is no answer.
    async fn read(
        &self,
        caller: &mut Caller,
        member: usize,
        version: &TaskVersion,
    ) -> Option<RolloutEnd> {
        let control = &self.controls[member % self.controls.len()];
        let path = format!("{PATH}/{}", version.service);
        let answer = caller.call(control, "GET", &path, "", PATIENCE).await;
        let answer = answer.ok().filter(|answer| answer.status == 200)?;
        let told: Value = serde_json::from_slice(&answer.body).ok()?;
        if told["TargetVersion"] != version.version.as_str() {
            return None;
        }
        match told["State"].as_str()? {
            "completed" => Some(RolloutEnd::Completed),
            "reverted" => Some(RolloutEnd::Reverted),
            _ => None,
        }
    }

    /// Reads the end of the newest rollout of each service back.
    pub(crate) async fn read_back(&self) {
        let newest: Vec<(usize, TaskVersion)> = {
            let records = self.ledger.records();
            let all = records.rollouts.iter().enumerate();
            let is_newest = |place: usize, record: &RolloutRecord| {
                let later = &records.rollouts[place + 1..];
                !later.iter().any(|other| other.service == record.service)
            };
            all.filter(|(place, record)| record.ended.is_some() && is_newest(*place, record))
                .map(|(place, record)| (place, record.task_version()))
                .collect()
        };
        let mut caller = Caller::new(self.links.clone());
        for (place, version) in newest {
            let end = self.read(&mut caller, place, &version).await;
            self.ledger.records().rollouts[place].read_back = end;
        }
    }
}

impl RolloutRecord {
    fn task_version(&self) -> TaskVersion {
        TaskVersion {
            service: self.service,
            version: self.version.clone(),
            is_bad: self.is_bad,
        }
    }
}
