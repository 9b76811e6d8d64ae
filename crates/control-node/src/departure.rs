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
    /// The number of the departure reports that count. It rises whenever something else is missing, so that
    /// those that end the departure were asked after everything else was there.
    report_number: u64,
    /// Members that have acknowledged a departure report of this number.
    acknowledged_by: BTreeSet<String>,
    finished: bool,
}

/// What those that stay lack, of what a node that leaves has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    /// Something that has to be there before the others are asked for the last time.
    Agreement(&'static str),
    /// A quorum of others has not acknowledged the last departure report.
    Acknowledgements,
}

impl Missing {
    fn description(self) -> &'static str {
        match self {
            Missing::Agreement(what) => what,
            Missing::Acknowledgements => "a quorum of others with its word of tasks",
        }
    }
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
            report_number: 0,
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
                self.log(Event::LeftIncomplete(what.description()));
            }
            if let Some(departure) = self.departure.as_mut() {
                departure.finished = true;
            }
            return self.effect(Effect::Exit);
        }
        // A member whose disk was lost after it had acknowledged holds nothing of this node's: whoever has
        // acknowledged before the last condition came true is asked again.
        if missing != Some(Missing::Acknowledgements)
            && let Some(departure) = self.departure.as_mut()
        {
            departure.report_number += 1;
            departure.acknowledged_by.clear();
        }
        if now >= next_try {
            self.send_departure_report(now);
        }
    }

    /// What those that stay do not hold yet, of what this node has acknowledged.
    fn missing_at_peers(&self, now: Timestamp) -> Option<Missing> {
        if !self.is_member() || self.acceptor.catching_up {
            return None;
        }
        let members = &self.acceptor.members;
        if self.acceptor.pending_membership().is_some()
            || self.proposals.is_open(MEMBERSHIP_REGISTER)
        {
            return Some(Missing::Agreement("the end of a change of the members"));
        }
        if members.ips.len() > self.options.core_size || self.monitor.has_learner(now, members) {
            return Some(Missing::Agreement("an agreement of the members without it"));
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
            return Some(Missing::Agreement("a quorum of others with all changes"));
        }
        let heard = self
            .departure
            .as_ref()
            .map_or(0, |departure| departure.acknowledged_by.len());
        (heard < needed).then_some(Missing::Acknowledgements)
    }

    /// Sends the tasks that drain or are gone to all others that have not acknowledged them.
    fn send_departure_report(&mut self, now: Timestamp) {
        let Some(departure) = self.departure.as_mut() else {
            return;
        };
        departure.next_attempt = now + RETRY_INTERVAL;
        let number = departure.report_number;
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
            self.send_request(now, &ip, body, Awaited::DepartureReport { number });
        }
    }

    pub(crate) fn departure_report_acknowledged(&mut self, number: u64, from: &str) {
        if let Some(departure) = self.departure.as_mut()
            && departure.report_number == number
        {
            departure.acknowledged_by.insert(from.to_owned());
        }
    }
}
