//! One round of Paxos on a register: prepare, then propose the value that follows from the
//! promises.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_protocol::{Accepted, Ballot, Membership, Promise};

use crate::quorum::has_majority;

/// What a round has come to.
#[derive(Clone, Debug, PartialEq)]
pub enum RoundOutcome {
    /// Responses are missing.
    Pending,
    /// A majority has promised: a value can be proposed.
    Propose,
    /// A majority has accepted: the value is chosen.
    Chosen,
    /// A higher ballot was promised elsewhere: try again with a higher one.
    Preempted(Ballot),
    /// The proposer's membership is outdated: this is the newer one.
    MembershipChanged(Membership),
    /// A change of the members may have been chosen: finish that first.
    MembershipChanging,
}

/// The responses to one ballot.
#[derive(Clone, Debug)]
pub struct BallotRound {
    /// The ballot of this round.
    pub ballot: Ballot,
    /// A majority of each of these is needed.
    quorums: Vec<Membership>,
    promises: BTreeMap<String, Promise>,
    refused: BTreeSet<String>,
    accepted: BTreeSet<String>,
    highest: Ballot,
}

impl BallotRound {
    /// Begins a round that needs a majority of `members`.
    pub fn new(ballot: Ballot, members: &Membership) -> Self {
        BallotRound {
            ballot,
            quorums: vec![members.clone()],
            promises: BTreeMap::new(),
            refused: BTreeSet::new(),
            accepted: BTreeSet::new(),
            highest: ballot,
        }
    }

    /// Needs a majority of these members as well.
    pub fn require_majority_of_both(&mut self, members: &Membership) {
        self.quorums.push(members.clone());
    }

    /// Who is to be asked.
    pub fn recipients(&self) -> BTreeSet<String> {
        self.quorums
            .iter()
            .flat_map(|m| m.ips.iter().cloned())
            .collect()
    }

    /// Members that have not accepted the value.
    pub fn without_acceptance(&self) -> BTreeSet<String> {
        let mut members = self.recipients();
        members.retain(|ip| !self.accepted.contains(ip));
        members
    }

    /// Whether so many have refused that the rest is no majority.
    fn cannot_succeed(&self) -> bool {
        self.quorums.iter().any(|m| {
            let left = m
                .ips
                .iter()
                .filter(|ip| !self.refused.contains(*ip))
                .count();
            left < crate::quorum::majority(m)
        })
    }

    /// A member has answered `Prepare`.
    pub fn promised(&mut self, from: &str, promise: Promise) -> RoundOutcome {
        if let Some(members) = promise.members {
            return RoundOutcome::MembershipChanged(members);
        }
        if promise.membership_changing {
            return RoundOutcome::MembershipChanging;
        }
        self.highest = self.highest.max(promise.promised);
        if promise.ok {
            self.promises.insert(from.to_owned(), promise);
        } else {
            self.refused.insert(from.to_owned());
            if self.cannot_succeed() {
                return RoundOutcome::Preempted(self.highest);
            }
        }
        let who = self.promises.keys().cloned().collect();
        if self.quorums.iter().all(|m| has_majority(m, &who)) {
            RoundOutcome::Propose
        } else {
            RoundOutcome::Pending
        }
    }

    /// The value of the highest ballot that any of those asked has accepted: Paxos requires that it
    /// is proposed again.
    pub fn accepted_value(&self) -> Option<&[u8]> {
        let best = self.promises.values().max_by_key(|p| p.accepted)?;
        (best.accepted != Ballot::default()).then_some(best.value.as_slice())
    }

    /// Whether that value is known to be chosen: a majority has accepted it by one ballot.
    pub fn is_chosen(&self) -> bool {
        let Some(best) = self.promises.values().map(|p| p.accepted).max() else {
            return false;
        };
        let who = self
            .promises
            .iter()
            .filter(|(_, p)| p.accepted == best)
            .map(|(ip, _)| ip.clone())
            .collect();
        best != Ballot::default() && self.quorums.iter().all(|m| has_majority(m, &who))
    }

    /// The last change that a majority has merged, as far as the promises tell.
    pub fn merged_by_majority(&self) -> u64 {
        let by_majority = |members: &Membership| {
            let promised = members.ips.iter().filter_map(|ip| self.promises.get(ip));
            let mut merged: Vec<u64> = promised.map(|promise| promise.merged).collect();
            merged.sort_unstable_by(|a, b| b.cmp(a));
            merged
                .get(crate::quorum::majority(members) - 1)
                .copied()
                .unwrap_or(0)
        };
        self.quorums.iter().map(by_majority).min().unwrap_or(0)
    }

    /// Who has accepted.
    pub fn acceptors(&self) -> &BTreeSet<String> {
        &self.accepted
    }

    /// The member that has merged the most changes, and how many.
    pub fn most_advanced(&self) -> Option<(&str, u64)> {
        self.promises
            .iter()
            .map(|(ip, p)| (ip.as_str(), p.merged))
            .max_by_key(|(_, merged)| *merged)
    }

    /// The incarnation that a member's promise named; 0 if it has not promised.
    pub fn incarnation(&self, of: &str) -> u64 {
        self.promises.get(of).map_or(0, |p| p.incarnation)
    }

    /// A member has answered `Accept`.
    pub fn accepted(&mut self, from: &str, answer: Accepted) -> RoundOutcome {
        self.highest = self.highest.max(answer.promised);
        if answer.ok {
            self.accepted.insert(from.to_owned());
        } else {
            self.refused.insert(from.to_owned());
            if self.cannot_succeed() {
                return RoundOutcome::Preempted(self.highest);
            }
        }
        if self.quorums.iter().all(|m| has_majority(m, &self.accepted)) {
            RoundOutcome::Chosen
        } else {
            RoundOutcome::Pending
        }
    }
}
