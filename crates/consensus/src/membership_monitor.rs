//! Decides who is to be a member of the core: learners that have caught up are added while there
//! are too few members, or replace one that leaves or has timed out.

use std::collections::BTreeMap;

use lynxmill_protocol::{MemberStatus, Membership};
use lynxmill_time::{TimeDelta, Timestamp};

/// A member that has sent no status for so long is replaced by a learner.
const MEMBER_TIMEOUT: TimeDelta = TimeDelta::from_micros(2_500_000);
/// A learner counts while its last status is not older.
const LEARNER_TIMEOUT: TimeDelta = TimeDelta::from_micros(1_000_000);

#[derive(Clone, Debug)]
struct PeerObservation {
    last_status: Timestamp,
    leaving: bool,
    /// No member yet, and it has read all that members hold.
    ready: bool,
}

/// What the monitor wants changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Nothing.
    None,
    /// To this membership, one epoch later.
    To(Membership),
}

/// The last status of every peer.
#[derive(Clone, Debug)]
pub struct MembershipMonitor {
    started: Timestamp,
    size: usize,
    peers: BTreeMap<String, PeerObservation>,
}

impl MembershipMonitor {
    /// `size` is the number of members that there are to be.
    pub fn new(now: Timestamp, size: usize) -> Self {
        MembershipMonitor {
            started: now,
            size,
            peers: BTreeMap::new(),
        }
    }

    /// A peer has sent its status.
    pub fn status_received(&mut self, now: Timestamp, status: &MemberStatus) {
        self.peers.insert(
            status.ip.clone(),
            PeerObservation {
                last_status: now,
                leaving: status.leaving,
                ready: status.learner_ready,
            },
        );
    }

    /// Whether a member has sent no status for [`MEMBER_TIMEOUT`].
    pub fn has_timed_out(&self, now: Timestamp, ip: &str) -> bool {
        let last = self
            .peers
            .get(ip)
            .map_or(self.started, |seen| seen.last_status.max(self.started));
        now - last > MEMBER_TIMEOUT
    }

    /// Whether a peer has sent its status within [`LEARNER_TIMEOUT`].
    pub fn is_alive(&self, now: Timestamp, ip: &str) -> bool {
        self.peers
            .get(ip)
            .is_some_and(|seen| now - seen.last_status <= LEARNER_TIMEOUT)
    }

    /// Whether a learner is there that can replace a member that leaves, now or once it has caught
    /// up.
    pub fn has_learner(&self, now: Timestamp, members: &Membership) -> bool {
        self.learners(now, members).next().is_some()
    }

    fn learners(
        &self,
        now: Timestamp,
        members: &Membership,
    ) -> impl Iterator<Item = (&String, &PeerObservation)> {
        let learns = move |ip: &String, seen: &PeerObservation| {
            !members.ips.contains(ip) && !seen.leaving && now - seen.last_status <= LEARNER_TIMEOUT
        };
        self.peers.iter().filter(move |(ip, seen)| learns(ip, seen))
    }

    fn ready_learner(&self, now: Timestamp, members: &Membership) -> Option<&String> {
        self.learners(now, members)
            .find(|(_, seen)| seen.ready)
            .map(|(ip, _)| ip)
    }

    /// The change that is due, as the member `me` sees it.
    pub fn due_change(&self, now: Timestamp, me: &str, members: &Membership) -> MembershipChange {
        let newcomer = self.ready_learner(now, members);
        let gone = |ip: &&String| {
            let leaves = self.peers.get(*ip).is_some_and(|seen| seen.leaving);
            ip.as_str() != me && (leaves || self.has_timed_out(now, ip))
        };
        let to = |ips: Vec<String>| {
            MembershipChange::To(Membership {
                epoch: members.epoch + 1,
                ips,
            })
        };
        let without = |out: &String| {
            members
                .ips
                .iter()
                .filter(|ip| *ip != out)
                .cloned()
                .collect::<Vec<_>>()
        };
        match (newcomer, members.ips.iter().find(gone)) {
            (Some(new), Some(out)) => to(without(out).into_iter().chain([new.clone()]).collect()),
            // Never more than there are to be: one more bears no further loss, but needs one more answer.
            (Some(new), None) if members.ips.len() < self.size => {
                to(members.ips.iter().cloned().chain([new.clone()]).collect())
            }
            (None, Some(out)) if members.ips.len() > self.size => to(without(out)),
            _ => MembershipChange::None,
        }
    }
}
