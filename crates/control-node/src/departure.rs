//! Graceful shutdown: a node ends only once those that stay hold what it has acknowledged, within
//! its grace.

use std::collections::BTreeSet;

use lynxmill_consensus::{MEMBERSHIP_REGISTER, majority};
use lynxmill_protocol::{InstanceReport, PeerRequest};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::contact::STATUS_MAX_AGE;
use crate::event::Event;
use crate::messages::Effect;
use crate::node::ControlNode;
use crate::pending_requests::Awaited;

/// Of the grace, so much is left for the end of the process itself.
const SHUTDOWN_RESERVE_S: f64 = 1.0;
/// The shortest time that a departure may take, in seconds.
const MIN_DEPARTURE_S: f64 = 0.5;
/// Between two departure reports to a member that has not acknowledged one.
const RETRY_INTERVAL: TimeDelta = TimeDelta::from_micros(250_000);

/// A graceful shutdown that is under way.
#[derive(Debug)]
pub(crate) struct Departure {
    deadline: Timestamp,
    next_attempt: Timestamp,
    /// Members that have acknowledged the departure report.
    acknowledged_by: BTreeSet<String>,
    finished: bool,
}

impl ControlNode {
    pub(crate) fn leave(&mut self, now: Timestamp) {
        if self.departure.is_some() {
            return;
        }
        self.log(Event::Leaving);
        let grace = (self.options.bounds.grace_s - SHUTDOWN_RESERVE_S).max(MIN_DEPARTURE_S);
        let deadline = now + TimeDelta::from_secs(grace);
        self.departure = Some(Departure {
            deadline,
            next_attempt: now,
            acknowledged_by: BTreeSet::new(),
            finished: false,
        });
        self.release_leases(now);
        self.broadcast_status(now);
        self.advance_departure(now);
    }

    pub(crate) fn advance_departure(&mut self, now: Timestamp) {
        let Some(departure) = self
            .departure
            .as_ref()
            .filter(|departure| !departure.finished)
        else {
            return;
        };
        let (until, next_try) = (departure.deadline, departure.next_attempt);
        let missing = self.missing_at_peers(now);
        if missing.is_none() || now >= until {
            if let Some(what) = missing {
                self.count("departures-incomplete");
                self.log(Event::LeftIncomplete(what));
            }
            if let Some(departure) = self.departure.as_mut() {
                departure.finished = true;
            }
            return self.effect(Effect::Exit);
        }
        if now >= next_try {
            self.send_departure_report(now);
        }
    }

    /// What those that stay do not hold yet, of what this node has acknowledged.
    fn missing_at_peers(&self, now: Timestamp) -> Option<&'static str> {
        if !self.is_member() || self.acceptor.catching_up {
            return None;
        }
        let members = &self.acceptor.members;
        if self.acceptor.pending_membership().is_some()
            || self.proposals.is_open(MEMBERSHIP_REGISTER)
        {
            return Some("the end of a change of the members");
        }
        if members.ips.len() > self.options.core_size || self.monitor.has_learner(now, members) {
            return Some("an agreement of the members without it");
        }
        let quorum = majority(members);
        let others = self.other_members();
        let merged = |ip: &&String| {
            let peer = self
                .statuses
                .get(*ip)
                .filter(|peer| now - peer.received < STATUS_MAX_AGE);
            peer.is_some_and(|p| {
                !p.status.leaving && !p.status.catching_up && p.status.merged >= self.merged
            })
        };
        let needed = quorum.min(others.len());
        if others.iter().filter(merged).count() < needed {
            return Some("a quorum of others with all changes");
        }
        let heard = self
            .departure
            .as_ref()
            .map_or(0, |departure| departure.acknowledged_by.len());
        (heard < needed).then_some("a quorum of others with its word of tasks")
    }

    /// Sends the tasks that drain or are gone to all others that have not acknowledged them.
    fn send_departure_report(&mut self, now: Timestamp) {
        let Some(departure) = self.departure.as_mut() else {
            return;
        };
        departure.next_attempt = now + RETRY_INTERVAL;
        let heard = departure.acknowledged_by.clone();
        let tasks = self.leaving_tasks(now);
        let report = InstanceReport {
            tasks,
            ..InstanceReport::default()
        };
        for ip in self
            .other_members()
            .into_iter()
            .filter(|ip| !heard.contains(ip))
        {
            let body = PeerRequest::InstanceReport(report.clone());
            self.send_request(now, &ip, body, Awaited::DepartureReport);
        }
    }

    pub(crate) fn departure_report_acknowledged(&mut self, from: &str) {
        if let Some(departure) = self.departure.as_mut() {
            departure.acknowledged_by.insert(from.to_owned());
        }
    }
}
