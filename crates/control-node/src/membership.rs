//! Who the members are: changes by agreement, one at a time. A newcomer catches up as a learner, and is
//! seated by the change itself: while it is under way the members answer no other ballot, and the newcomer
//! reads their registers, so that it is a full voter by the time that the change is told.
//!
//! A majority of the old members agrees; the newcomer, which has no vote before its seat, is not counted.
//! That is enough since a change adds one member at most and takes one out at most: any majority of the new
//! members without the newcomer meets any majority of the old ones, and the newcomer with its seat holds what
//! the old ones agreed on. Asking for a majority of the new members as well would let one lost member stop
//! the addition of a fourth for ever.

use lynxmill_consensus::{MEMBERSHIP_REGISTER, MembershipChange};
use lynxmill_protocol::{EdgeWelcome, Membership, PeerRequest, PromoteRequest, ToEdgeBody};
use lynxmill_storage::Batch;
use lynxmill_time::{TimeDelta, Timestamp};
use prost::Message;

use crate::event::Event;
use crate::node::ControlNode;
use crate::pending_requests::Awaited;
use crate::proposals::{Choice, Phase, Proposal, Purpose};

/// How long a change is tried before it is abandoned.
const PROPOSAL_TIMEOUT: TimeDelta = TimeDelta::from_micros(1_500_000);
/// A learner has this long to copy registers before it is asked again, by the same ballot: what a majority
/// has accepted can't change any more, and a further round would only compete with those of other members.
const PROMOTION_TIMEOUT: TimeDelta = TimeDelta::from_micros(1_200_000);
/// A learner is asked for so long; then it catches up as a member. Until it votes one more lost
/// disk could stop the core, so this is longer than a restarted machine needs; it is shorter than
/// an operator waits for an acknowledgement, since no other register is written meanwhile.
const PROMOTION_PATIENCE: TimeDelta = TimeDelta::from_micros(4_000_000);
/// A learner that is heard of again has so long in all: once it answers it holds what a voter holds, and adding it
/// blank beside a member that leaves could leave one voter of three.
const LIVE_PROMOTION_PATIENCE: TimeDelta = TimeDelta::from_micros(6_000_000);
/// A member waits this much for each member before it, so that one proposes at a time.
const RANK_DELAY: TimeDelta = TimeDelta::from_micros(300_000);

/// What this node wants changed.
#[derive(Debug, Default)]
pub(crate) struct MembershipControl {
    /// The change that is due, and since when.
    due: Option<(Membership, Timestamp)>,
    /// The change whose learner is asked to take its seat, and since when.
    promotion: Option<(Membership, Timestamp)>,
}

/// A membership as a register holds it; none if the value is empty.
pub(crate) fn decode(value: &[u8]) -> Option<Membership> {
    Membership::decode(value)
        .ok()
        .filter(|members| !members.ips.is_empty())
}

impl ControlNode {
    /// Proposes the change that is due: a member leaves or has timed out, or a learner is ready.
    pub(crate) fn advance_membership(&mut self, now: Timestamp) {
        let members = self.acceptor.members.clone();
        if self.departure.is_some() || !self.in_contact(now) {
            self.membership.due = None;
            return;
        }
        let MembershipChange::To(next) = self.monitor.due_change(now, &self.options.ip, &members)
        else {
            self.membership.due = None;
            return;
        };
        let same = self.membership.due.as_ref().filter(|(due, _)| *due == next);
        let since = same.map_or(now, |(_, since)| *since);
        self.membership.due = Some((next.clone(), since));
        let before = members.ips.iter().take_while(|ip| !self.is_self(ip));
        let rank = before
            .filter(|ip| !self.monitor.has_timed_out(now, ip))
            .count();
        if now - since >= RANK_DELAY.times(rank as f64) {
            self.propose(
                now,
                MEMBERSHIP_REGISTER,
                Purpose::ChangeMembership(Some(next)),
                now + PROPOSAL_TIMEOUT,
            );
        }
    }

    /// Finishes a change that may have been chosen.
    pub(crate) fn finish_membership_change(&mut self, now: Timestamp) {
        self.propose(
            now,
            MEMBERSHIP_REGISTER,
            Purpose::ChangeMembership(None),
            now + PROPOSAL_TIMEOUT,
        );
    }

    pub(crate) fn choose_membership(
        &mut self,
        proposal: &Proposal,
        target: Option<Membership>,
    ) -> Choice {
        let members = &proposal.members;
        let held = proposal.round.accepted_value().and_then(decode);
        let pending = held.filter(|held| held.epoch > members.epoch);
        let wanted = target.filter(|target| target.epoch == members.epoch + 1);
        pending
            .or(wanted)
            .map_or(Choice::End, |next| Choice::Propose(next.encode_to_vec()))
    }

    /// A majority has accepted: learners copy the registers of the members before.
    pub(crate) fn membership_accepted(&mut self, now: Timestamp) {
        let Some(proposal) = self.proposals.get_mut(MEMBERSHIP_REGISTER) else {
            return;
        };
        let Some(next) = decode(&proposal.value) else {
            return;
        };
        let asked_before = self.membership.promotion.as_ref();
        if asked_before.is_none_or(|(change, _)| *change != next) {
            self.membership.promotion = Some((next, now));
        }
        self.send_promotion(now);
    }

    /// Asks the learner of the change that was accepted to take its seat.
    fn send_promotion(&mut self, now: Timestamp) {
        let attempt = self.proposals.next_attempt();
        let since = self.promotion_asked_since(now);
        let ends = [since + PROMOTION_PATIENCE, since + LIVE_PROMOTION_PATIENCE];
        let Some(proposal) = self.proposals.get_mut(MEMBERSHIP_REGISTER) else {
            return;
        };
        let Some(next) = decode(&proposal.value) else {
            return;
        };
        let previous = proposal.members.clone();
        // Copies of members that have not accepted yet do not count; but one more that has may be the one
        // that the newcomer reaches.
        let sources = previous.ips.clone();
        let newcomers: Vec<String> = next
            .ips
            .iter()
            .filter(|ip| !previous.ips.contains(ip))
            .cloned()
            .collect();
        (proposal.phase, proposal.attempt) = (Phase::Promote, attempt);
        let later = ends.into_iter().filter(|end| *end > now);
        proposal.deadline = later.fold(now + PROMOTION_TIMEOUT, Timestamp::min);
        let seat = PromoteRequest {
            ballot: proposal.round.ballot,
            previous,
            next,
            sources,
        };
        if newcomers.is_empty() {
            return self.membership_chosen(now);
        }
        for newcomer in newcomers {
            self.send_request(
                now,
                &newcomer,
                PeerRequest::Promote(seat.clone()),
                Awaited::Promotion { attempt },
            );
        }
    }

    pub(crate) fn learner_promoted(&mut self, now: Timestamp, question: u64, _from: &str) {
        let waits = |p: &mut Proposal| p.phase == Phase::Promote && p.attempt == question;
        if self
            .proposals
            .get_mut(MEMBERSHIP_REGISTER)
            .is_some_and(waits)
        {
            self.membership_chosen(now);
        }
    }

    /// The change stands, but the learner has not answered: it is asked again, or in the end
    /// catches up as a member.
    pub(crate) fn promotion_timed_out(&mut self, now: Timestamp) {
        let Some(proposal) = self.proposals.get_mut(MEMBERSHIP_REGISTER) else {
            return;
        };
        let next = decode(&proposal.value).unwrap_or_default();
        let previous = proposal.members.clone();
        if self.acceptor.members.epoch >= next.epoch {
            // Another member has finished the change.
            self.close_proposal(MEMBERSHIP_REGISTER);
            return;
        }
        self.count("promotions-unanswered");
        // Without the newcomer a majority has to stand, or those that lost their disks could never recover, and
        // it has to stay, or a blank newcomer would be left with too few: until then it is asked again.
        let mut newcomers = next.ips.iter().filter(|ip| !previous.ips.contains(ip));
        let patience = if newcomers.any(|ip| self.monitor.is_alive(now, ip)) {
            LIVE_PROMOTION_PATIENCE
        } else {
            PROMOTION_PATIENCE
        };
        let overdue = now - self.promotion_asked_since(now) >= patience;
        if !overdue || !self.majority_stays(now, &next) {
            self.resend_accepts(now, MEMBERSHIP_REGISTER);
            return self.send_promotion(now);
        }
        let newcomer = next
            .ips
            .into_iter()
            .find(|ip| !previous.ips.contains(ip))
            .unwrap_or_default();
        self.log(Event::PromotedWithoutResponse { newcomer });
        self.membership_chosen(now);
    }

    /// When the learner of the change that was accepted was first asked to take its seat.
    fn promotion_asked_since(&self, now: Timestamp) -> Timestamp {
        self.membership
            .promotion
            .as_ref()
            .map_or(now, |(_, since)| *since)
    }

    fn membership_chosen(&mut self, now: Timestamp) {
        let Some(proposal) = self.close_proposal(MEMBERSHIP_REGISTER) else {
            return;
        };
        let Some(next) = decode(&proposal.value) else {
            return;
        };
        self.count("membership-changes");
        self.adopt_membership(now, &next);
        self.broadcast_status(now);
    }

    /// Sends this node's status to all others at once.
    pub(crate) fn broadcast_status(&mut self, now: Timestamp) {
        let status = self.status(now);
        for ip in self.known_peers() {
            self.send_notification(&ip, PeerRequest::MemberStatus(status.clone()));
        }
    }

    pub(crate) fn membership_change_failed(&mut self, target: Option<Membership>) {
        if let Some(target) = target {
            self.log(Event::MembershipChangeFailed {
                wanted: target.ips.join(" "),
            });
        }
    }

    /// Adopts a membership that was chosen.
    pub(crate) fn adopt_membership(&mut self, now: Timestamp, members: &Membership) {
        if members.ips.is_empty() {
            return;
        }
        let was_member = self.is_member();
        if !self.acceptor.adopt_membership(members) {
            return;
        }
        // Whoever comes to a seat, or lost its place in what was agreed, may not promise leases at once.
        if !was_member || self.acceptor.catching_up {
            self.leases.became_voter(now);
        }
        let is_voter = Some(!self.acceptor.catching_up);
        self.store(Batch {
            members: Some(members.clone()),
            is_voter,
            ..Batch::default()
        });
        let told = members.ips.join(" ");
        self.log(Event::MembershipChanged {
            epoch: members.epoch,
            members: told,
        });
        members.ips.iter().for_each(|ip| self.connect(ip));
        let welcome = EdgeWelcome {
            name: self.options.name.clone(),
            members: members.ips.clone(),
        };
        self.send_edges(self.edges.all(), ToEdgeBody::EdgeWelcome(welcome));
    }
}
