//! Seats, leases and tasks, each by itself under a scripted clock.

use lynxmill_consensus::{
    Acceptor, HeldLease, InstanceRegistry, LEASE, Leases, MembershipChange, MembershipMonitor,
    RegisterCopy,
};
use lynxmill_protocol::{
    Accept, Ballot, LeaseRequest, MemberStatus, Membership, Prepare, State, Task,
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
        me: me.to_owned(),
        life: 7,
        members: of.clone(),
        ..Acceptor::default()
    }
}

fn ballot(count: u64) -> Ballot {
    Ballot {
        count,
        node: 1,
        life: 1,
    }
}

fn votes(acceptor: &mut Acceptor, of: &Membership) -> bool {
    let count = acceptor.highest("calls").count + 1;
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
        told.iter().for_each(|members| assert!(old.agreed(members)));
        assert!(
            [&one, &two, &three].iter().all(|of| !votes(&mut old, of)),
            "told of {told:?}"
        );
    }
    // Nor while it has not been told, but is asked by who has.
    let mut old = acceptor(D, &one);
    assert!(!votes(&mut old, &two) && !votes(&mut old, &three));
    assert!(old.agreed(&three));
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

#[test]
fn who_helped_to_agree_on_the_members_goes_on_voting() {
    let [one, two, three] = [
        members(1, &[A, B, C]),
        members(2, &[A, B, D]),
        members(3, &[A, B, C]),
    ];
    let mut own = acceptor(A, &one);
    own.agreed(&two);
    let value = three.encode_to_vec();
    let asked = Accept {
        register: "members".to_owned(),
        ballot: ballot(1),
        members: two.clone(),
        value,
        life: 7,
    };
    assert!(own.accept(&asked).0.ok);
    assert!(!votes(&mut own, &two), "the members may have been changed");
    assert!(votes(&mut own, &three) || own.agreed(&three) && votes(&mut own, &three));
    assert!(
        !votes(&mut own, &two),
        "who goes by older members is refused"
    );
}

#[test]
fn an_accept_holds_only_in_the_life_that_promised() {
    let of = members(1, &[A, B, C]);
    let mut own = acceptor(A, &of);
    let asked = |life, count| Accept {
        register: "calls".to_owned(),
        ballot: ballot(count),
        members: of.clone(),
        value: vec![1],
        life,
    };
    assert!(own.accept(&asked(7, 2)).0.ok && !own.accept(&asked(6, 3)).0.ok);
    assert!(!own.accept(&asked(7, 1)).0.ok && own.accept(&asked(0, 3)).0.ok);
    assert_eq!(own.highest("calls"), ballot(3));
}

// --- leases ---

fn lease(holder: &str, life: u64, back: bool) -> LeaseRequest {
    LeaseRequest {
        service: "wuno".to_owned(),
        holder: holder.to_owned(),
        life,
        epoch: 1,
        back,
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
        let mut leases = ips.map(|_| Leases::new(at(0.0), true));
        let mut tenures = ips.map(|_| HeldLease::default());
        let mut lives = [1, 1, 1];
        // Answers on their way: when, to whom, from whom, the life and the question that they answer.
        let mut answers: Vec<(u32, usize, usize, u64, u32)> = Vec::new();
        let (mut asked, mut last) = ([0u32; 3], None);
        for ms in (0..20_000u32).step_by(10) {
            answers.retain(|&(due, to, from, life, question)| {
                if due <= ms && (life, question) == (lives[to], asked[to]) {
                    tenures[to].yes(ips[from], &of);
                }
                due > ms
            });
            for n in 0..3 {
                let drawn = chance.unit();
                let back = drawn < 0.004 && tenures[n].holds(clock(n, ms));
                if back {
                    tenures[n].end();
                }
                if back || drawn < 0.02 {
                    if !back {
                        tenures[n].ask(clock(n, ms));
                    }
                    asked[n] = ms;
                    for (from, given) in leases.iter_mut().enumerate() {
                        let yes = given.ask(clock(from, ms), &lease(ips[n], lives[n], back), &of);
                        let late = ms + (chance.unit() * 300.0) as u32;
                        if yes && !back && chance.unit() < 0.8 {
                            answers.push((late, n, from, lives[n], ms));
                        }
                    }
                } else if drawn > 0.9992 {
                    lives[n] += 1;
                    (leases[n], tenures[n]) =
                        (Leases::new(clock(n, ms), false), HeldLease::default());
                }
            }
            let holders: Vec<usize> = (0..3)
                .filter(|n| tenures[*n].holds(clock(*n, ms)))
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
    let mut leases = Leases::new(at(10.0), false);
    assert!(!leases.ask(at(10.0) + LEASE, &lease(A, 1, false), &of));
    assert!(leases.ask(at(10.0) + LEASE.times(1.06), &lease(A, 1, false), &of));
    leases.seated(at(20.0));
    assert!(
        !leases.ask(at(20.0) + LEASE, &lease(A, 1, false), &of),
        "nor does who has just been seated"
    );
    assert!(Leases::new(at(10.0), true).ask(at(10.0), &lease(A, 1, false), &of));
}

#[test]
fn a_lease_is_for_one_life_of_a_member_and_can_be_given_back() {
    let of = members(1, &[A, B, C]);
    let mut leases = Leases::new(at(0.0), true);
    assert!(!leases.ask(at(0.0), &lease(D, 1, false), &of), "no member");
    assert!(
        !leases.ask(
            at(0.0),
            &LeaseRequest {
                epoch: 2,
                ..lease(A, 1, false)
            },
            &of
        ),
        "of other members"
    );
    assert!(leases.ask(at(0.0), &lease(A, 1, false), &of));
    assert!(
        !leases.ask(at(0.1), &lease(A, 2, false), &of)
            && !leases.ask(at(0.1), &lease(B, 1, true), &of)
    );
    assert_eq!(
        (
            leases.holder(at(0.1), "wuno"),
            leases.holder(at(0.1), "huvo")
        ),
        (Some(A), None)
    );
    assert!(
        leases.ask(at(0.2), &lease(A, 1, true), &of)
            && leases.ask(at(0.2), &lease(B, 1, false), &of)
    );
    assert_eq!(leases.holder(at(0.2) + LEASE.times(1.06), "wuno"), None);
}

#[test]
fn a_tenure_counts_from_when_it_was_asked_for() {
    let of = members(1, &[A, B, C]);
    let mut tenure = HeldLease::default();
    tenure.ask(at(1.0));
    tenure.yes(A, &of);
    tenure.yes(A, &of);
    tenure.yes(D, &of);
    assert!(
        !tenure.holds(at(1.0)),
        "one member, twice, and one that is none"
    );
    tenure.yes(B, &of);
    assert!(tenure.holds(at(1.0) + LEASE.times(0.99)) && !tenure.holds(at(1.0) + LEASE));
    tenure.ask(at(2.0));
    tenure.yes(C, &of);
    assert!(
        !tenure.holds(at(1.0) + LEASE),
        "a majority has to say so anew"
    );
}

// --- the roll ---

fn roll(words: &[(f64, &str, bool)]) -> MembershipMonitor {
    let mut roll = MembershipMonitor::new(at(0.0), 3);
    for (when, ip, leaving) in words {
        roll.heard(
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
    let due = |words: &[(f64, &str, bool)], of: &Membership| roll(words).due(at(5.0), A, of);
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
    assert!(!roll.silent(at(2.4), D) && roll.silent(at(2.6), D));
    assert!(!roll.silent(at(3.4), B) && roll.silent(at(3.6), B));
    assert!(
        roll.heard_lately(at(2.0), B)
            && !roll.heard_lately(at(2.1), B)
            && roll.heard_lately(at(1.0), C)
            && !roll.heard_lately(at(1.0), D)
    );
}

// --- tasks ---

fn task(seq: u64, state: State) -> Task {
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
    assert!(!yard.grown(at(2.6)) && yard.grown(at(2.7)));
    assert!(yard.word(at(0.0), &task(1, State::Ready)));
    yard.word(at(1.0), &task(2, State::Ready));
    assert!(
        !yard.word(at(3.0), &task(1, State::Ready)),
        "a late beat is no sign of life"
    );
    assert!(yard.fallen(at(3.6)).is_empty());
    assert!(
        yard.fallen(at(3.7))[0].silent && yard.fallen(at(3.8)).is_empty(),
        "told once"
    );
    assert!(!yard.heard(at(3.9), "i-1", 2) && !yard.heard(at(3.9), "i-2", 9));
    assert!(yard.heard(at(4.0), "i-1", 3), "another heard it");
    assert!(!yard.heard(at(5.0), "i-1", 4) && yard.fallen(at(7.0)).is_empty());
    assert_eq!(yard.fallen(at(7.7)).len(), 1);
    assert!(
        yard.word(at(8.0), &task(5, State::Ready)),
        "its own word is news after silence"
    );
    assert!(yard.forgotten(at(47.9)).is_empty() && yard.get("i-1").is_some());
    assert_eq!(
        yard.forgotten(at(48.0)),
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
            yard.word(at(0.0), &task(*seq, State::Ready));
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
    drains.word(at(0.1), &task(2, State::Draining));
    assert_ne!(drains.digest(), yard(&[1]).digest());
    // Silent ones are forgotten at moments that differ: they don't count.
    let mut silent = yard(&[1]);
    silent.fallen(at(9.0));
    assert_eq!(silent.digest(), yard(&[]).digest());
}

#[test]
fn a_beat_alone_is_no_news() {
    let mut yard = InstanceRegistry::new(at(0.0), TimeDelta::from_secs(1.0));
    yard.word(at(0.0), &task(1, State::Ready));
    assert!(
        !yard.word(at(1.0), &task(2, State::Ready)),
        "a warm task that beats on time says nothing of weight"
    );
}

#[test]
fn a_task_that_is_gone_stays_so_and_cold_runs_off() {
    let mut yard = InstanceRegistry::new(at(0.0), TimeDelta::from_secs(1.0));
    yard.word(
        at(0.0),
        &Task {
            cold_left_ms: 3000,
            ..task(1, State::Ready)
        },
    );
    assert_eq!(yard.get("i-1").unwrap().told(at(1.0)).cold_left_ms, 2000);
    assert_eq!(yard.get("i-1").unwrap().told(at(9.0)).cold_left_ms, 0);
    assert!(
        yard.word(
            at(1.0),
            &Task {
                cold_left_ms: 9000,
                ..task(2, State::Ready)
            }
        ),
        "cold again"
    );
    assert!(
        yard.word(at(1.1), &task(3, State::Draining))
            && !yard.word(at(1.2), &task(4, State::Ready))
    );
    assert_eq!(yard.gone("i-1").unwrap().state, State::Gone as i32);
    assert!(!yard.word(at(1.3), &task(5, State::Ready)) && yard.gone("i-2").is_none());
    assert_eq!(yard.get("i-1").unwrap().task.state, State::Gone as i32);
}
