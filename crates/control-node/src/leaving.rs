//! Leaving in order: a node ends only once those that stay hold what it has acknowledged, within its grace.

use std::collections::BTreeSet;

use lynxmill_consensus::{MEMBERS, majority};
use lynxmill_protocol::{InstanceReport, PeerRequest};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::contact::FRESH_STATUS;
use crate::event::Event;
use crate::messages::Effect;
use crate::node::ControlNode;
use crate::outstanding::Awaited;

/// Of the grace, so much is left for the end of the process itself.
const RESERVE_S: f64 = 1.0;
const SHORTEST_S: f64 = 0.5;
/// Between two tries to tell the others.
const RETRY: TimeDelta = TimeDelta::from_micros(250_000);

#[derive(Debug)]
pub(crate) struct Departure {
    until: Timestamp,
    next_try: Timestamp,
    /// Members that have its word of tasks that drain or are gone.
    heard: BTreeSet<String>,
    over: bool,
}

impl ControlNode {
    pub(crate) fn leave(&mut self, now: Timestamp) {
        if self.departure.is_some() {
            return;
        }
        self.log(Event::Leaving);
        let grace = (self.options.bounds.grace_s - RESERVE_S).max(SHORTEST_S);
        let until = now + TimeDelta::from_secs(grace);
        self.departure = Some(Departure {
            until,
            next_try: now,
            heard: BTreeSet::new(),
            over: false,
        });
        self.give_leases_back(now);
        self.tell_status(now);
        self.advance_departure(now);
    }

    pub(crate) fn advance_departure(&mut self, now: Timestamp) {
        let Some(departure) = self.departure.as_ref().filter(|departure| !departure.over) else {
            return;
        };
        let (until, next_try) = (departure.until, departure.next_try);
        let missing = self.missing_at_others(now);
        if missing.is_none() || now >= until {
            if let Some(what) = missing {
                self.count("left-without");
                self.log(Event::LeftWithout(what));
            }
            if let Some(departure) = self.departure.as_mut() {
                departure.over = true;
            }
            return self.effect(Effect::Left);
        }
        if now >= next_try {
            self.tell_last_words(now);
        }
    }

    /// What those that stay do not hold yet, of what this node has acknowledged.
    fn missing_at_others(&self, now: Timestamp) -> Option<&'static str> {
        if !self.is_member() || self.acceptor.catching_up {
            return None;
        }
        let members = &self.acceptor.members;
        if self.acceptor.pending().is_some() || self.proposals.is_open(MEMBERS) {
            return Some("the end of a change of the members");
        }
        if members.ips.len() > self.options.core_size || self.monitor.has_newcomer(now, members) {
            return Some("an agreement of the members without it");
        }
        let quorum = majority(members);
        let others = self.other_members();
        let merged = |ip: &&String| {
            let peer = self
                .statuses
                .get(*ip)
                .filter(|peer| now - peer.at < FRESH_STATUS);
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
            .map_or(0, |departure| departure.heard.len());
        (heard < needed).then_some("a quorum of others with its word of tasks")
    }

    /// Others get its word of tasks that drain or are gone, and the changes that it has accepted.
    fn tell_last_words(&mut self, now: Timestamp) {
        let Some(departure) = self.departure.as_mut() else {
            return;
        };
        departure.next_try = now + RETRY;
        let heard = departure.heard.clone();
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
            self.ask(now, &ip, body, Awaited::LastWords);
        }
    }

    pub(crate) fn last_words_heard(&mut self, from: &str) {
        if let Some(departure) = self.departure.as_mut() {
            departure.heard.insert(from.to_owned());
        }
    }
}
