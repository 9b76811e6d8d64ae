//! Claims to custody that are made at once: one wins soon, never two, whoever asks first.

use lynxmill_consensus::{ElectionStep, LEASE_DURATION, LeaseElection, LeaseGrants};
use lynxmill_protocol::{LeaseRequest, Membership};
use lynxmill_random::Pcg;
use lynxmill_time::{TimeDelta, Timestamp};

const STEP_MS: i64 = 25;

fn at(ms: i64) -> Timestamp {
    Timestamp::default() + TimeDelta::from_micros(ms * 1000)
}

fn asked(holder: &str, release: bool) -> LeaseRequest {
    LeaseRequest {
        service: "s".to_owned(),
        holder: holder.to_owned(),
        incarnation: 1,
        epoch: 1,
        release,
    }
}

/// Membership that all start at once, each with a claim; who answers whom is up to `reached`.
fn contend(
    seed: u64,
    ips: &[&str],
    until_ms: i64,
    reached: impl Fn(i64, usize, usize) -> bool,
) -> Vec<(i64, usize)> {
    let members = Membership {
        epoch: 1,
        ips: ips.iter().map(|ip| (*ip).to_owned()).collect(),
    };
    let mut chance = Pcg::new(seed);
    let mut leases: Vec<LeaseGrants> = ips.iter().map(|_| LeaseGrants::new(at(0), false)).collect();
    let mut claims: Vec<LeaseElection> = ips.iter().map(|_| LeaseElection::default()).collect();
    let mut held = Vec::new();
    for ms in (0..until_ms).step_by(STEP_MS as usize) {
        // In any order: all that is asked for in a step reaches everyone before the next.
        let mut turns: Vec<usize> = (0..ips.len()).collect();
        turns.sort_by_key(|_| (chance.unit() * 1e6) as u64);
        let mut all = Vec::new();
        for &i in &turns {
            let other = leases[i].holder(at(ms), "s").is_some_and(|h| h != ips[i]);
            let taken = other || !leases[i].grants_leases(at(ms));
            let step = claims[i].step(at(ms), taken, i, chance.unit());
            // One's own promise is there before others can ask for it.
            if step == ElectionStep::Request
                && leases[i].grant(at(ms), &asked(ips[i], false), &members)
            {
                claims[i].granted(ips[i], &members);
            }
            all.push((i, step));
        }
        for (i, step) in all
            .into_iter()
            .filter(|(_, step)| *step != ElectionStep::Wait)
        {
            let lease = asked(ips[i], step == ElectionStep::Release);
            for j in (0..ips.len()).filter(|&j| reached(ms, i, j)) {
                if leases[j].grant(at(ms), &lease, &members) && step == ElectionStep::Request {
                    claims[i].granted(ips[j], &members);
                }
            }
        }
        held.extend(
            (0..ips.len())
                .filter(|&i| claims[i].is_held(at(ms)))
                .map(|i| (ms, i)),
        );
    }
    held
}

fn check(held: &[(i64, usize)]) {
    let two = held.windows(2).find(|w| w[0].0 == w[1].0);
    assert_eq!(two, None, "two hold it at once");
}

#[test]
fn all_members_start_at_once_and_one_has_it_soon() {
    for seed in 0..300 {
        for ips in [&["a", "b", "c"][..], &["a", "b", "c", "d", "e"][..]] {
            let held = contend(seed, ips, 6000, |_, _, _| true);
            check(&held);
            assert!(
                held.first().is_some_and(|(ms, _)| *ms < 2500),
                "seed {seed}: {:?}",
                held.first()
            );
            // Whoever has it keeps it.
            assert!(held.iter().all(|(_, i)| *i == held[0].1), "seed {seed}");
        }
    }
}

#[test]
fn a_holder_that_is_cut_off_loses_it_and_another_takes_over() {
    for seed in 0..100 {
        let first = contend(seed, &["a", "b", "c"], 3000, |_, _, _| true)[0].1;
        let held = contend(seed, &["a", "b", "c"], 9000, |ms, i, j| {
            i == j || !(3000..=6000).contains(&ms) || (i != first && j != first)
        });
        check(&held);
        let over = 3000 + LEASE_DURATION.micros() / 1000;
        assert!(
            held.iter()
                .all(|(ms, i)| *i != first || *ms <= over || *ms > 6000),
            "seed {seed}"
        );
        assert!(
            held.iter().any(|(ms, i)| *i != first && *ms < 5500),
            "seed {seed}"
        );
    }
}
