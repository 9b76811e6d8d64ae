//! A newcomer's seat and the loss that follows, reduced from what the model in `crates/models` found.

use lynxmill_consensus::{
    Acceptor, BallotRound, MEMBERSHIP_REGISTER, RegisterCopy, RoundOutcome, node_number,
};
use lynxmill_protocol::{Accept, Ballot, Membership, Prepare};
use prost::Message;

const A: &str = "10.0.0.1";
const B: &str = "10.0.0.2";
const C: &str = "10.0.0.3";
const X: &str = "10.0.0.4";

fn members(epoch: u64, ips: [&str; 3]) -> Membership {
    Membership {
        epoch,
        ips: ips.map(str::to_owned).to_vec(),
    }
}

fn ballot(count: u64, ip: &str) -> Ballot {
    Ballot {
        count,
        node: node_number(ip),
        incarnation: 1,
    }
}

fn member(ip: &str, members: Membership) -> Acceptor {
    Acceptor {
        ip: ip.to_owned(),
        incarnation: 1,
        members,
        ..Acceptor::default()
    }
}

fn copy(of: &Acceptor) -> RegisterCopy {
    RegisterCopy {
        from: of.ip.clone(),
        members: of.members.clone(),
        pending_membership: of.pending_membership(),
        catching_up: of.catching_up,
        storage_failed: false,
        registers: of.registers.values().cloned().collect(),
    }
}

/// What a round comes to that one of these begins by the members that it knows.
fn promises(proposer: usize, acceptors: &mut [Acceptor]) -> RoundOutcome {
    let (members, ballot) = (
        acceptors[proposer].members.clone(),
        ballot(9, &acceptors[proposer].ip),
    );
    let mut round = BallotRound::new(ballot, &members);
    let asked = Prepare {
        register: MEMBERSHIP_REGISTER.to_owned(),
        ballot,
        members,
    };
    let mut outcome = RoundOutcome::Pending;
    for acceptor in acceptors
        .iter_mut()
        .filter(|acceptor| asked.members.ips.contains(&acceptor.ip))
    {
        let promise = acceptor.prepare(&asked, 0).0;
        outcome = round.promised(&acceptor.ip, promise);
    }
    outcome
}

/// C is lost for good, X takes its place by agreement of A and B, and A is lost before it tells anyone.
fn seated_and_proposer_lost() -> ([Acceptor; 2], Membership) {
    let (previous, next) = (members(1, [A, B, C]), members(2, [A, B, X]));
    let mut standing = [member(A, previous.clone()), member(B, previous.clone())];
    let accept = Accept {
        register: MEMBERSHIP_REGISTER.to_owned(),
        ballot: ballot(1, A),
        members: previous.clone(),
        value: next.encode_to_vec(),
        incarnation: 1,
    };
    assert!(
        standing
            .iter_mut()
            .all(|acceptor| acceptor.accept(&accept).0.ok)
    );
    let mut newcomer = member(X, Membership::default());
    newcomer.catching_up = true;
    let copies: Vec<RegisterCopy> = standing.iter().map(copy).collect();
    assert!(newcomer.promote(accept.ballot, &previous, &next, &copies));
    let [_, b] = standing;
    ([b, newcomer], next)
}

/// B and X are two of the three new members and hold everything. As long as neither knows that the change is
/// agreed, no round of either finds a majority.
#[test]
fn two_of_three_that_do_not_know_of_their_agreement_wait_for_a_third() {
    let (mut standing, _) = seated_and_proposer_lost();
    assert_eq!(promises(0, &mut standing), RoundOutcome::Pending);
    assert_eq!(promises(1, &mut standing), RoundOutcome::Pending);
}

/// A newcomer is asked to take its seat only once the change is agreed: it may go by it at once, and tell the
/// others.
#[test]
fn a_newcomer_that_tells_of_its_seat_makes_a_majority() {
    let (mut standing, next) = seated_and_proposer_lost();
    for acceptor in standing.iter_mut().rev() {
        assert!(
            acceptor.adopt_membership(&next)
                && !acceptor.catching_up
                && acceptor.is_voter_of(&next)
        );
    }
    assert_eq!(promises(0, &mut standing), RoundOutcome::Propose);
    assert_eq!(promises(1, &mut standing), RoundOutcome::Propose);
}
