//! Seats, leases and tasks, each by itself under a scripted clock.

use lynxmill_consensus::{
    Acceptor, HeldLease, InstanceRegistry, LEASE_DURATION, LeaseGrants, MembershipChange,
    MembershipMonitor, RegisterCopy,
};
use lynxmill_protocol::{
    Accept, Ballot, LeaseRequest, MemberStatus, Membership, Prepare, Task, TaskState,
};
use lynxmill_random::Pcg;
use lynxmill_time::{TimeDelta, Timestamp};
use prost::Message;

const A: &str = "10.0.0.1";
const B: &str = "10.0.0.2";
const C: &str = "10.0.0.3";
const D: &str = "10.0.0.4";

fn members(epoch: u64, ips: &[&str]) -> Membership {
    Membership {
        epoch,
        ips: ips.iter().map(|ip| ip.to_string()).collect(),
    }
}

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

// --- acceptors ---

fn acceptor(me: &str, of: &Membership) -> Acceptor {
    Acceptor {
        ip: me.to_owned(),
        incarnation: 7,
        members: of.clone(),
        ..Acceptor::default()
    }
}

fn ballot(count: u64) -> Ballot {
    Ballot {
        count,
        node: 1,
        incarnation: 1,
    }
}

fn votes(acceptor: &mut Acceptor, of: &Membership) -> bool {
    let count = acceptor.highest_ballot("calls").count + 1;
    let asked = Prepare {
        register: "calls".to_owned(),
        ballot: ballot(count),
        members: of.clone(),
    };
    let (promise, write) = acceptor.prepare(&asked, 0);
    assert_eq!(
        promise.ok,
        write.is_some(),
        "what is promised has to be on disk, and nothing else"
    );
    promise.ok
}

#[test]
fn who_has_been_out_does_not_vote_until_it_has_merged() {
    let [one, two, three] = [
        members(1, &[A, B, D]),
        members(2, &[A, B, C]),
        members(3, &[A, B, D]),
    ];
    for told in [vec![&two], vec![&two, &three], vec![&three]] {
        let mut old = acceptor(D, &one);
        assert!(votes(&mut old, &one));
        told.iter()
            .for_each(|members| assert!(old.adopt_membership(members)));
        assert!(
            [&one, &two, &three].iter().all(|of| !votes(&mut old, of)),
            "told of {told:?}"
        );
    }
    // Nor while it has not been told, but is asked by who has.
    let mut old = acceptor(D, &one);
    assert!(!votes(&mut old, &two) && !votes(&mut old, &three));
    assert!(old.adopt_membership(&three));
    let dump = |catching_up| RegisterCopy {
        members: three.clone(),
        catching_up,
        ..RegisterCopy::default()
    };
    assert!(
        !old.recover(&[dump(false), dump(true)]),
        "of three, both others have to stand"
    );
    assert!(old.recover(&[dump(false), dump(false)]) && votes(&mut old, &three));
}

/// A full disk beside a lost one: the memory of the member with the full disk holds all that it has answered.
#[test]
fn a_lost_disk_is_recovered_from_a_member_whose_disk_refuses_writes() {
    let stands = members(1, &[A, B, C]);
    let copy = |catching_up, storage_failed| RegisterCopy {
        members: stands.clone(),
        catching_up,
        storage_failed,
        ..RegisterCopy::default()
    };
    let mut wiped = acceptor(C, &stands);
    wiped.catching_up = true;
    assert!(!wiped.recover(&[copy(false, false), copy(true, false)]));
    assert!(wiped.recover(&[copy(false, false), copy(true, true)]));
    assert!(votes(&mut wiped, &stands));
}

#[test]
fn who_helped_to_agree_on_the_members_goes_on_voting() {
    let [one, two, three] = [
        members(1, &[A, B, C]),
        members(2, &[A, B, D]),
        members(3, &[A, B, C]),
    ];
    let mut own = acceptor(A, &one);
    own.adopt_membership(&two);
    let value = three.encode_to_vec();
    let asked = Accept {
        register: "members".to_owned(),
        ballot: ballot(1),
        members: two.clone(),
        value,
        incarnation: 7,
    };
    assert!(own.accept(&asked).0.ok);
    assert!(!votes(&mut own, &two), "the members may have been changed");
    assert!(votes(&mut own, &three) || own.adopt_membership(&three) && votes(&mut own, &three));
    assert!(
        !votes(&mut own, &two),
        "who goes by older members is refused"
    );
}

/// Guards against a lease that the old members renew while the new ones grant it anew.
#[test]
fn who_has_accepted_other_members_grants_no_lease_until_they_are_adopted() {
    let [one, two] = [members(1, &[A, B, C]), members(2, &[A, B, D])];
    let mut own = acceptor(A, &one);
    assert!(own.may_grant_leases());
    let asked = Accept {
        register: "members".to_owned(),
        ballot: ballot(1),
        members: one.clone(),
        value: two.encode_to_vec(),
        incarnation: 7,
    };
    assert!(own.accept(&asked).0.ok);
    assert!(!own.may_grant_leases(), "the members may have been changed");
    assert!(own.adopt_membership(&two) && own.may_grant_leases());
    own.catching_up = true;
    assert!(!own.may_grant_leases());
}

#[test]
fn an_accept_holds_only_in_the_life_that_promised() {
    let of = members(1, &[A, B, C]);
    let mut own = acceptor(A, &of);
    let asked = |incarnation, count| Accept {
        register: "calls".to_owned(),
        ballot: ballot(count),
        members: of.clone(),
        value: vec![1],
        incarnation,
    };
    assert!(own.accept(&asked(7, 2)).0.ok && !own.accept(&asked(6, 3)).0.ok);
    assert!(!own.accept(&asked(7, 1)).0.ok && own.accept(&asked(0, 3)).0.ok);
    assert_eq!(own.highest_ballot("calls"), ballot(3));
}

// --- leases ---

fn lease(holder: &str, incarnation: u64, release: bool) -> LeaseRequest {
    LeaseRequest {
        service: "wuno".to_owned(),
        holder: holder.to_owned(),
        incarnation,
        epoch: 1,
        release,
    }
}

/// Three members, clocks up to 2% slow, ask for one lease, restart and give it back: never two hold it.
#[test]
fn a_lease_has_one_holder_at_a_time() {
    let (of, ips) = (members(1, &[A, B, C]), [A, B, C]);
    let (mut held, mut changes) = (0, 0);
    for seed in 0..60 {
        let mut chance = Pcg::new(seed);
        let rates = [0, 1, 2].map(|_| 0.98 + 0.02 * chance.unit());
        let clock = |n: usize, ms: u32| at(f64::from(ms) / 1000.0 * rates[n]);
        let mut leases = ips.map(|_| LeaseGrants::new(at(0.0), true));
        let mut tenures = ips.map(|_| HeldLease::default());
        let mut lives = [1, 1, 1];
        // Answers on their way: when, to whom, from whom, the life and the question that they answer.
        let mut answers: Vec<(u32, usize, usize, u64, u32)> = Vec::new();
        let (mut asked, mut last) = ([0u32; 3], None);
        for ms in (0..20_000u32).step_by(10) {
            answers.retain(|&(due, to, from, life, question)| {
                if due <= ms && (life, question) == (lives[to], asked[to]) {
                    tenures[to].granted(ips[from], &of);
                }
                due > ms
            });
            for n in 0..3 {
                let drawn = chance.unit();
                let back = drawn < 0.004 && tenures[n].is_held(clock(n, ms));
                if back {
                    tenures[n].release();
                }
                if back || drawn < 0.02 {
                    if !back {
                        tenures[n].request(clock(n, ms));
                    }
                    asked[n] = ms;
                    for (from, given) in leases.iter_mut().enumerate() {
                        let yes = given.grant(clock(from, ms), &lease(ips[n], lives[n], back), &of);
                        let late = ms + (chance.unit() * 300.0) as u32;
                        if yes && !back && chance.unit() < 0.8 {
                            answers.push((late, n, from, lives[n], ms));
                        }
                    }
                } else if drawn > 0.9992 {
                    lives[n] += 1;
                    (leases[n], tenures[n]) =
                        (LeaseGrants::new(clock(n, ms), false), HeldLease::default());
                }
            }
            let holders: Vec<usize> = (0..3)
                .filter(|n| tenures[*n].is_held(clock(*n, ms)))
                .collect();
            assert!(
                holders.len() < 2,
                "seed {seed}, {ms} ms: {holders:?} hold it at once"
            );
            held += holders.len();
            changes += usize::from(!holders.is_empty() && last != holders.first().copied());
            last = holders.first().copied().or(last);
        }
    }
    assert!(
        held > 30_000 && changes > 200,
        "held for {held}, changed hands {changes} times"
    );
}

#[test]
fn a_process_that_just_started_promises_nothing_for_a_lease() {
    let of = members(1, &[A, B, C]);
    let mut leases = LeaseGrants::new(at(10.0), false);
    assert!(!leases.grant(at(10.0) + LEASE_DURATION, &lease(A, 1, false), &of));
    assert!(leases.grant(
        at(10.0) + LEASE_DURATION.times(1.06),
        &lease(A, 1, false),
        &of
    ));
    leases.became_voter(at(20.0));
    assert!(
        !leases.grant(at(20.0) + LEASE_DURATION, &lease(A, 1, false), &of),
        "nor does who has just been seated"
    );
    assert!(LeaseGrants::new(at(10.0), true).grant(at(10.0), &lease(A, 1, false), &of));
}

#[test]
fn a_lease_is_for_one_life_of_a_member_and_can_be_given_back() {
    let of = members(1, &[A, B, C]);
    let mut leases = LeaseGrants::new(at(0.0), true);
    assert!(
        !leases.grant(at(0.0), &lease(D, 1, false), &of),
        "no member"
    );
    assert!(
        !leases.grant(
            at(0.0),
            &LeaseRequest {
                epoch: 2,
                ..lease(A, 1, false)
            },
            &of
        ),
        "of other members"
    );
    assert!(leases.grant(at(0.0), &lease(A, 1, false), &of));
    assert!(
        !leases.grant(at(0.1), &lease(A, 2, false), &of)
            && !leases.grant(at(0.1), &lease(B, 1, true), &of)
    );
    assert_eq!(
        (
            leases.holder(at(0.1), "wuno"),
            leases.holder(at(0.1), "huvo")
        ),
        (Some(A), None)
    );
    assert!(
        leases.grant(at(0.2), &lease(A, 1, true), &of)
            && leases.grant(at(0.2), &lease(B, 1, false), &of)
    );
    assert_eq!(
        leases.holder(at(0.2) + LEASE_DURATION.times(1.06), "wuno"),
        None
    );
}

#[test]
fn a_tenure_counts_from_when_it_was_asked_for() {
    let of = members(1, &[A, B, C]);
    let mut tenure = HeldLease::default();
    tenure.request(at(1.0));
    tenure.granted(A, &of);
    tenure.granted(A, &of);
    tenure.granted(D, &of);
    assert!(
        !tenure.is_held(at(1.0)),
        "one member, twice, and one that is none"
    );
    tenure.granted(B, &of);
    assert!(
        tenure.is_held(at(1.0) + LEASE_DURATION.times(0.99))
            && !tenure.is_held(at(1.0) + LEASE_DURATION)
    );
    tenure.request(at(2.0));
    tenure.granted(C, &of);
    assert!(
        !tenure.is_held(at(1.0) + LEASE_DURATION),
        "a majority has to say so anew"
    );
}

// --- the roll ---

fn roll(words: &[(f64, &str, bool)]) -> MembershipMonitor {
    let mut roll = MembershipMonitor::new(at(0.0), 3);
    for (when, ip, leaving) in words {
        roll.status_received(
            at(*when),
            &MemberStatus {
                ip: ip.to_string(),
                leaving: *leaving,
                learner_ready: true,
                ..MemberStatus::default()
            },
        );
    }
    roll
}

#[test]
fn the_roll_swaps_adds_and_drops_one_at_a_time() {
    let three = members(4, &[A, B, C]);
    let to = |ips: &[&str]| MembershipChange::To(members(5, ips));
    let due = |words: &[(f64, &str, bool)], of: &Membership| roll(words).due_change(at(5.0), A, of);
    let (b, c, d) = ((5.0, B, false), (5.0, C, false), (5.0, D, false));
    assert_eq!(due(&[b, c], &three), MembershipChange::None);
    assert_eq!(
        due(&[b, c, d], &three),
        MembershipChange::None,
        "as many as there are to be: it waits"
    );
    let two = Membership {
        ips: vec![A.to_owned(), B.to_owned()],
        ..three.clone()
    };
    assert_eq!(due(&[b, d], &two), to(&[A, B, D]), "there are too few");
    assert_eq!(
        due(&[b, (2.0, C, false), d], &three),
        to(&[A, B, D]),
        "for a silent one"
    );
    assert_eq!(
        due(&[b, (5.0, C, true), d], &three),
        to(&[A, B, D]),
        "for one that leaves"
    );
    assert_eq!(
        due(&[b, (5.0, C, true)], &three),
        MembershipChange::None,
        "nobody to take its place"
    );
    assert_eq!(
        due(&[b, c, (3.0, D, false)], &three),
        MembershipChange::None,
        "not heard lately"
    );
    assert_eq!(
        due(&[b, c, (5.0, D, true)], &three),
        MembershipChange::None,
        "a newcomer that leaves"
    );
    assert_eq!(
        due(&[(2.0, B, false), (2.0, C, false), d], &three),
        to(&[A, C, D]),
        "one at a time"
    );
    let four = members(4, &[A, B, C, D]);
    assert_eq!(due(&[b, c, (2.0, D, false)], &four), to(&[A, B, C]));
    assert_eq!(
        due(&[b, c, d, (5.0, "10.0.0.5", false)], &four),
        MembershipChange::None,
        "enough and one"
    );
}

#[test]
fn who_was_never_heard_is_silent_only_after_a_while() {
    let roll = roll(&[(1.0, B, false), (1.0, C, true)]);
    assert!(!roll.has_timed_out(at(2.4), D) && roll.has_timed_out(at(2.6), D));
    assert!(!roll.has_timed_out(at(3.4), B) && roll.has_timed_out(at(3.6), B));
    assert!(
        roll.is_alive(at(2.0), B)
            && !roll.is_alive(at(2.1), B)
            && roll.is_alive(at(1.0), C)
            && !roll.is_alive(at(1.0), D)
    );
}

// --- tasks ---

fn task(seq: u64, state: TaskState) -> Task {
    Task {
        id: "i-1".to_owned(),
        call_seq: seq,
        state: state as i32,
        ..Task::default()
    }
}

#[test]
fn tasks_fall_silent_come_back_and_are_forgotten() {
    let mut yard = InstanceRegistry::new(at(0.0), TimeDelta::from_secs(1.0));
    assert!(!yard.is_complete(at(2.6)) && yard.is_complete(at(2.7)));
    assert!(yard.update(at(0.0), &task(1, TaskState::Ready)));
    yard.update(at(1.0), &task(2, TaskState::Ready));
    assert!(
        !yard.update(at(3.0), &task(1, TaskState::Ready)),
        "a late beat is no sign of life"
    );
    assert!(yard.take_timed_out(at(3.6)).is_empty());
    assert!(
        yard.take_timed_out(at(3.7))[0].timed_out && yard.take_timed_out(at(3.8)).is_empty(),
        "told once"
    );
    assert!(!yard.seen_elsewhere(at(3.9), "i-1", 2) && !yard.seen_elsewhere(at(3.9), "i-2", 9));
    assert!(yard.seen_elsewhere(at(4.0), "i-1", 3), "another heard it");
    assert!(!yard.seen_elsewhere(at(5.0), "i-1", 4) && yard.take_timed_out(at(7.0)).is_empty());
    assert_eq!(yard.take_timed_out(at(7.7)).len(), 1);
    assert!(
        yard.update(at(8.0), &task(5, TaskState::Ready)),
        "its own word is news after silence"
    );
    assert!(yard.remove_expired(at(47.9)).is_empty() && yard.get("i-1").is_some());
    assert_eq!(
        yard.remove_expired(at(48.0)),
        ["i-1"],
        "told, so that the disk forgets it as well"
    );
    assert!(yard.get("i-1").is_none());
}

#[test]
fn members_that_hear_of_the_same_tasks_have_the_same_digest() {
    let yard = |seqs: &[u64]| {
        let mut yard = InstanceRegistry::new(at(0.0), TimeDelta::from_secs(1.0));
        for seq in seqs {
            yard.update(at(0.0), &task(*seq, TaskState::Ready));
        }
        yard
    };
    assert_eq!(
        yard(&[1, 2, 3]).digest(),
        yard(&[9]).digest(),
        "calls apart"
    );
    assert_ne!(
        yard(&[1]).digest(),
        yard(&[]).digest(),
        "a word that was missed shows"
    );
    let mut drains = yard(&[1]);
    drains.update(at(0.1), &task(2, TaskState::Draining));
    assert_ne!(drains.digest(), yard(&[1]).digest());
    // Silent ones are forgotten at moments that differ: they don't count.
    let mut silent = yard(&[1]);
    silent.take_timed_out(at(9.0));
    assert_eq!(silent.digest(), yard(&[]).digest());
}

#[test]
fn a_beat_alone_is_no_news() {
    let mut yard = InstanceRegistry::new(at(0.0), TimeDelta::from_secs(1.0));
    yard.update(at(0.0), &task(1, TaskState::Ready));
    assert!(
        !yard.update(at(1.0), &task(2, TaskState::Ready)),
        "a warm task that beats on time says nothing of weight"
    );
}

#[test]
fn a_task_that_is_gone_stays_so_and_cold_runs_off() {
    let mut yard = InstanceRegistry::new(at(0.0), TimeDelta::from_secs(1.0));
    yard.update(
        at(0.0),
        &Task {
            warm_up_left_ms: 3000,
            ..task(1, TaskState::Ready)
        },
    );
    assert_eq!(
        yard.get("i-1").unwrap().as_of(at(1.0)).warm_up_left_ms,
        2000
    );
    assert_eq!(yard.get("i-1").unwrap().as_of(at(9.0)).warm_up_left_ms, 0);
    assert!(
        yard.update(
            at(1.0),
            &Task {
                warm_up_left_ms: 9000,
                ..task(2, TaskState::Ready)
            }
        ),
        "cold again"
    );
    assert!(
        yard.update(at(1.1), &task(3, TaskState::Draining))
            && !yard.update(at(1.2), &task(4, TaskState::Ready))
    );
    assert_eq!(yard.mark_gone("i-1").unwrap().state, TaskState::Gone as i32);
    assert!(!yard.update(at(1.3), &task(5, TaskState::Ready)) && yard.mark_gone("i-2").is_none());
    assert_eq!(yard.get("i-1").unwrap().task.state, TaskState::Gone as i32);
}
