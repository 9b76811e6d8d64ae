//! What was ordered, told and sent of rollouts, and what has to hold of it.

use std::collections::BTreeMap;

use lynxmill_configuration::{RolloutState, ServiceRollouts};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::client_traffic::SentRequests;
use crate::violation::Violation;

/// The bounds on what a bad version may get: a share of all requests in its term, and so many more.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

#[derive(Clone, Debug)]
struct RolloutRecord {
    is_bad: bool,
    ordered: Timestamp,
    term: TimeDelta,
    acknowledged: Option<Timestamp>,
    /// The last state that was told, and when.
    told: Option<(Timestamp, RolloutState)>,
    /// Requests for the service in its term, and those that were sent to the version.
    requests: u64,
    target_requests: u64,
}

impl RolloutRecord {
    fn has_ended(&self) -> bool {
        self.told
            .is_some_and(|(_, state)| state != RolloutState::InProgress)
    }

    fn is_in_term(&self, now: Timestamp) -> bool {
        now <= self.ordered + self.term
    }
}

/// All rollouts of a run, by version.
#[derive(Debug, Default)]
pub(crate) struct RolloutHistory {
    records: BTreeMap<String, RolloutRecord>,
}

impl RolloutHistory {
    pub(crate) fn ordered(&mut self, now: Timestamp, version: &str, term: TimeDelta, is_bad: bool) {
        let record = RolloutRecord {
            is_bad,
            ordered: now,
            term,
            acknowledged: None,
            told: None,
            requests: 0,
            target_requests: 0,
        };
        self.records.insert(version.to_owned(), record);
    }

    pub(crate) fn acknowledged(&mut self, now: Timestamp, version: &str) {
        if let Some(record) = self.records.get_mut(version) {
            record.acknowledged.get_or_insert(now);
        }
    }

    /// Requests that an edge has sent.
    pub(crate) fn sent(&mut self, now: Timestamp, sent: &SentRequests) {
        for (version, record) in &mut self.records {
            if record.is_in_term(now) {
                record.requests += sent.all;
                record.target_requests += sent.by_version.get(version).copied().unwrap_or(0);
            }
        }
    }

    /// What a read-back that was asked for at a time says; the first thing that must not be.
    pub(crate) fn read(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        held: &ServiceRollouts,
    ) -> Option<Violation> {
        let mut found = None;
        for (version, record) in &mut self.records {
            let state = held.of_version(version).map(|rollout| rollout.state);
            let violation = record.compare(asked, version, state);
            found = found.or(violation);
            if let Some(state) = state {
                record.told = Some((now, state));
            }
        }
        found
    }

    /// A bad version that got more requests than it may by its term.
    pub(crate) fn overexposed(&self, now: Timestamp) -> Option<Violation> {
        let is_too_many = |record: &RolloutRecord| {
            let allowed = record.requests as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK;
            record.target_requests as f64 > allowed
        };
        let mut over = self
            .records
            .iter()
            .filter(|(_, record)| record.is_bad && !record.is_in_term(now) && is_too_many(record));
        over.next()
            .map(|(version, record)| Violation::BadVersionExposed {
                version: version.clone(),
                requests: record.requests,
                sent: record.target_requests,
            })
    }

    /// An acknowledged rollout that has not ended so long after its term, in time that has been calm since `calm`. Where
    /// all members have ended since its order, up to `all_ended`, nobody may know how much of the term has passed.
    pub(crate) fn stuck(
        &self,
        now: Timestamp,
        calm: Timestamp,
        all_ended: Option<Timestamp>,
        patience: TimeDelta,
    ) -> Option<Violation> {
        let is_stuck = |record: &RolloutRecord| {
            let counted_anew = all_ended.is_some_and(|at| record.ordered <= at);
            let term_from = if counted_anew { calm } else { record.ordered };
            let due = (term_from + record.term).max(calm) + patience;
            record.acknowledged.is_some() && !record.has_ended() && now > due
        };
        let mut stuck = self.records.iter().filter(|(_, record)| is_stuck(record));
        stuck.next().map(|(version, _)| Violation::RolloutStuck {
            version: version.clone(),
        })
    }

    /// How many rollouts were completed and reverted.
    pub(crate) fn ended(&self) -> (usize, usize) {
        let count = |wanted: RolloutState| {
            let told = self.records.values().filter_map(|record| record.told);
            told.filter(|(_, state)| *state == wanted).count()
        };
        (
            count(RolloutState::Completed),
            count(RolloutState::Reverted),
        )
    }
}

impl RolloutRecord {
    fn compare(
        &self,
        asked: Timestamp,
        version: &str,
        found: Option<RolloutState>,
    ) -> Option<Violation> {
        let version = version.to_owned();
        if self.is_bad && found == Some(RolloutState::Completed) {
            return Some(Violation::BadVersionCompleted { version });
        }
        let known = self.acknowledged.is_some_and(|at| at < asked);
        if known && found.is_none() {
            return Some(Violation::RolloutLost { version });
        }
        let told = self.told.filter(|(at, _)| *at < asked);
        let (_, told) = told?;
        let went_back = told != RolloutState::InProgress && found != Some(told);
        went_back.then_some(Violation::RolloutWentBack { version })
    }
}
