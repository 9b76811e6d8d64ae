//! Contact with a majority: a lease that every round trip of a heartbeat renews, counted from when it was
//! asked.
//!
//! This is the one rule by which a node knows that it is not cut off. It is asked before orders, read-backs,
//! joins of edges, heartbeats of tasks and ownership of shards; the directory answers without it, but only
//! for a moment at a time. Whoever was heard of says nothing about who hears us, so only round trips count.

use std::collections::BTreeMap;

use lynxmill_consensus::majority;
use lynxmill_protocol::{MemberStatus, Membership, PeerRequest};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::event::Event;
use crate::node::ControlNode;
use crate::pending_requests::Awaited;

/// Between two heartbeats to each other member.
pub const HEARTBEAT_INTERVAL: TimeDelta = TimeDelta::from_micros(250_000);
/// How long a round trip proves contact, counted from when the heartbeat was sent.
pub const CONTACT_LEASE: TimeDelta = TimeDelta::from_micros(1_200_000);
/// A member's status is believed for so long.
pub(crate) const STATUS_MAX_AGE: TimeDelta = TimeDelta::from_micros(1_500_000);

/// The last status of another member.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerStatus {
    pub status: MemberStatus,
    pub received: Timestamp,
    /// The status before had the same digest of tasks, and of items.
    pub same_tasks: bool,
    pub same_items: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Contact {
    next_heartbeat: Timestamp,
    /// For each other member, when the last heartbeat that it answered was sent.
    round_trips: BTreeMap<String, Timestamp>,
    /// As it was at the last check, to notice changes.
    was_in_contact: bool,
    /// Since contact was found, this node has compared itself with a majority.
    pub synchronized: bool,
}

impl ControlNode {
    /// Whether another member has answered a heartbeat that was sent less than a lease ago.
    pub(crate) fn answers_lately(&self, now: Timestamp, ip: &str) -> bool {
        let last = self.contact.round_trips.get(ip);
        last.is_some_and(|sent_at| now - *sent_at < CONTACT_LEASE)
    }

    /// Whether a majority has answered lately: what this node holds is not older than the lease.
    pub(crate) fn in_contact(&self, now: Timestamp) -> bool {
        let members = &self.acceptor.members;
        let votes = !self.acceptor.catching_up && members.ips.contains(&self.options.ip);
        votes && self.reaches_majority_of(now, members)
    }

    /// Whether a majority of these members, this node among them, votes and has answered lately.
    pub(crate) fn reaches_majority_of(&self, now: Timestamp, members: &Membership) -> bool {
        let lately = |ip: &&String| {
            let voter = self
                .statuses
                .get(*ip)
                .is_none_or(|peer| !peer.status.catching_up);
            **ip == self.options.ip || voter && self.answers_lately(now, ip)
        };
        members.ips.iter().filter(lately).count() >= majority(members)
    }

    /// Whether a majority of these members votes, has answered lately and stays: one that leaves is gone within
    /// its grace.
    pub(crate) fn majority_stays(&self, now: Timestamp, members: &Membership) -> bool {
        let stays = |ip: &&String| {
            if self.is_self(ip) {
                return self.departure.is_none();
            }
            let votes = self
                .statuses
                .get(*ip)
                .is_none_or(|peer| !peer.status.catching_up && !peer.status.leaving);
            votes && self.answers_lately(now, ip)
        };
        members.ips.iter().filter(stays).count() >= majority(members)
    }

    /// Whether a majority of the members has lately answered this node, which need not be one of them:
    /// without that a newcomer could not copy what its seat needs.
    pub(crate) fn reaches_majority(&self, now: Timestamp) -> bool {
        let members = &self.acceptor.members;
        let lately = |ip: &&String| self.answers_lately(now, ip);
        members.ips.iter().filter(lately).count() >= majority(members)
    }

    /// Whether it may send an edge its configuration: in contact, and compared with a majority
    /// since then.
    pub(crate) fn may_serve_joins(&self, now: Timestamp) -> bool {
        self.contact.synchronized && self.in_contact(now) && !self.is_behind(now)
    }

    /// Whether another member has merged changes that are missing here.
    pub(crate) fn is_behind(&self, now: Timestamp) -> bool {
        let ahead = |peer: &PeerStatus| {
            now - peer.received < STATUS_MAX_AGE
                && !peer.status.catching_up
                && peer.status.merged > self.merged
        };
        self.statuses.values().any(ahead)
    }

    /// Logs contact that was found or lost since the last check.
    pub(crate) fn update_contact(&mut self, now: Timestamp) {
        let in_contact = self.in_contact(now);
        if in_contact != self.contact.was_in_contact {
            self.contact.was_in_contact = in_contact;
            self.log(if in_contact {
                Event::ContactFound
            } else {
                Event::ContactLost
            });
        }
        if !in_contact {
            self.contact.synchronized = false;
        }
    }

    pub(crate) fn send_heartbeats(&mut self, now: Timestamp) {
        if now < self.contact.next_heartbeat {
            return;
        }
        self.contact.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let status = self.status(now);
        for ip in self.known_peers() {
            let awaited = Awaited::Heartbeat { sent_at: now };
            self.send_request(now, &ip, PeerRequest::MemberStatus(status.clone()), awaited);
        }
    }

    pub(crate) fn handle_heartbeat_response(
        &mut self,
        now: Timestamp,
        from: &str,
        sent_at: Timestamp,
        status: &MemberStatus,
    ) {
        let latest = self
            .contact
            .round_trips
            .entry(from.to_owned())
            .or_insert(sent_at);
        *latest = sent_at.max(*latest);
        self.handle_status(now, status);
    }

    /// A member has sent its status.
    pub(crate) fn handle_status(&mut self, now: Timestamp, status: &MemberStatus) {
        if status.ip == self.options.ip || status.ip.is_empty() {
            return;
        }
        self.monitor.status_received(now, status);
        let before = self.statuses.get(&status.ip).map(|peer| &peer.status);
        let same_tasks = before.is_some_and(|told| told.tasks_digest == status.tasks_digest);
        let same_items = before.is_some_and(|told| {
            told.items_digest == status.items_digest && told.merged == status.merged
        });
        let peer = PeerStatus {
            status: status.clone(),
            received: now,
            same_tasks,
            same_items,
        };
        self.statuses.insert(status.ip.clone(), peer);
        self.connect(&status.ip);
        self.adopt_membership(now, &status.members);
        self.resend_instances(now, &status.ip);
    }
}
