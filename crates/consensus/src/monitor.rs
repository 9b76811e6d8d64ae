//! Who is to be a member of the core: newcomers that have caught up as learners are added while there are too
//! few, or wait to take the place of one that leaves or has been silent.

use std::collections::BTreeMap;

use lynxmill_protocol::{MemberStatus, Membership};
use lynxmill_time::{TimeDelta, Timestamp};

/// A member that was silent for so long gives its place to a newcomer.
const DEAD: TimeDelta = TimeDelta::from_micros(2_500_000);
/// A newcomer counts while it was heard this lately.
const FRESH: TimeDelta = TimeDelta::from_micros(1_000_000);

#[derive(Clone, Debug)]
struct Seen {
    at: Timestamp,
    leaving: bool,
    /// No member yet, and it has read all that members hold.
    ready: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    None,
    To(Membership),
}

#[derive(Clone, Debug)]
pub struct MembershipMonitor {
    born: Timestamp,
    size: usize,
    seen: BTreeMap<String, Seen>,
}

impl MembershipMonitor {
    /// `size`: how many there are to be.
    pub fn new(now: Timestamp, size: usize) -> Self {
        MembershipMonitor {
            born: now,
            size,
            seen: BTreeMap::new(),
        }
    }

    pub fn heard(&mut self, now: Timestamp, word: &MemberStatus) {
        self.seen.insert(
            word.ip.clone(),
            Seen {
                at: now,
                leaving: word.leaving,
                ready: word.learner_ready,
            },
        );
    }

    pub fn silent(&self, now: Timestamp, ip: &str) -> bool {
        let last = self
            .seen
            .get(ip)
            .map_or(self.born, |seen| seen.at.max(self.born));
        now - last > DEAD
    }

    pub fn heard_lately(&self, now: Timestamp, ip: &str) -> bool {
        self.seen.get(ip).is_some_and(|seen| now - seen.at <= FRESH)
    }

    /// Whether a newcomer is there that can take the place of a member that leaves, now or once it has
    /// caught up.
    pub fn has_newcomer(&self, now: Timestamp, members: &Membership) -> bool {
        self.learners(now, members).next().is_some()
    }

    fn learners(
        &self,
        now: Timestamp,
        members: &Membership,
    ) -> impl Iterator<Item = (&String, &Seen)> {
        let learns = move |ip: &String, seen: &Seen| {
            !members.ips.contains(ip) && !seen.leaving && now - seen.at <= FRESH
        };
        self.seen.iter().filter(move |(ip, seen)| learns(ip, seen))
    }

    fn newcomer(&self, now: Timestamp, members: &Membership) -> Option<&String> {
        self.learners(now, members)
            .find(|(_, seen)| seen.ready)
            .map(|(ip, _)| ip)
    }

    /// The change that is due, as `me`, a member, sees it.
    pub fn due(&self, now: Timestamp, me: &str, members: &Membership) -> MembershipChange {
        let newcomer = self.newcomer(now, members);
        let gone = |ip: &&String| {
            let leaves = self.seen.get(*ip).is_some_and(|seen| seen.leaving);
            ip.as_str() != me && (leaves || self.silent(now, ip))
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
