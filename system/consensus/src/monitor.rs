//! Who is to be a member of the core: newcomers that have caught up as learners are added while there are too few, or
//! take the place of one that leaves or has been silent.

use std::collections::BTreeMap;

use lynxmill::{Moment, Span};
use lynxmill_protocol::{MemberStatus, Membership};

/// A member that was silent for so long gives its place to a newcomer.
const DEAD: Span = Span::from_micros(2_500_000);
/// A newcomer counts while it was heard this lately.
const FRESH: Span = Span::from_micros(1_000_000);

#[derive(Clone, Debug)]
struct Seen {
    at: Moment,
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
    born: Moment,
    size: usize,
    seen: BTreeMap<String, Seen>,
}

impl MembershipMonitor {
    /// `size`: how many there are to be.
    pub fn new(now: Moment, size: usize) -> Self {
        MembershipMonitor { born: now, size, seen: BTreeMap::new() }
    }

    pub fn heard(&mut self, now: Moment, word: &MemberStatus) {
        self.seen.insert(word.ip.clone(), Seen { at: now, leaving: word.leaving, ready: word.learner_ready });
    }

    pub fn silent(&self, now: Moment, ip: &str) -> bool {
        let last = self.seen.get(ip).map_or(self.born, |seen| seen.at.max(self.born));
        now - last > DEAD
    }

    pub fn heard_lately(&self, now: Moment, ip: &str) -> bool {
        self.seen.get(ip).is_some_and(|seen| now - seen.at <= FRESH)
    }

    fn all_heard(&self, now: Moment, me: &str, members: &Membership) -> bool {
        members.ips.iter().all(|ip| ip == me || self.heard_lately(now, ip))
    }

    /// The change that is due, as `me`, a member, sees it.
    pub fn due(&self, now: Moment, me: &str, members: &Membership) -> MembershipChange {
        let newcomer = self.seen.iter().find(|(ip, seen)| {
            !members.ips.contains(ip) && seen.ready && !seen.leaving && now - seen.at <= FRESH
        });
        let gone = |ip: &&String| {
            let leaves = self.seen.get(*ip).is_some_and(|seen| seen.leaving);
            ip.as_str() != me && (leaves || self.silent(now, ip))
        };
        let to = |ips: Vec<String>| MembershipChange::To(Membership { epoch: members.epoch + 1, ips });
        let without = |out: &String| members.ips.iter().filter(|ip| *ip != out).cloned().collect::<Vec<_>>();
        match (newcomer, members.ips.iter().find(gone)) {
            (Some((new, _)), Some(out)) => to(without(out).into_iter().chain([new.clone()]).collect()),
            // One more member makes the majority larger: not while one of them may be lost, who is then replaced.
            (Some((new, _)), None)
                if members.ips.len() < self.size + 1 && self.all_heard(now, me, members) =>
            {
                to(members.ips.iter().cloned().chain([new.clone()]).collect())
            }
            (None, Some(out)) if members.ips.len() > self.size => to(without(out)),
            _ => MembershipChange::None,
        }
    }
}
