//! Instances against liars, replays and floods, byte for byte, without sockets; and when others' words on a
//! server are enough.

use std::net::SocketAddr;

use lynxmill_membership::KeyRing;
use lynxmill_membership::{
    Body, Claim, Config, Datagram, EvidenceLog, Identity, Kind, Node, Observation, Output,
    OwnObservation, Payload, Refused, Row, SecretKey, Signed, State, Transport, TrustStore,
    VERSION, Verdict, encode,
};
use lynxmill_time::{TimeDelta, Timestamp};
use rstest::rstest;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn secret(of: usize) -> SecretKey {
    SecretKey::read(&format!("{:02x}", of + 1).repeat(32)).expect("a key")
}

fn keys(of: usize) -> KeyRing {
    let mut trust = TrustStore::default();
    NAMES
        .iter()
        .enumerate()
        .for_each(|(i, name)| trust.add(name, secret(i).public()));
    KeyRing {
        secret: secret(of),
        trust,
    }
}

fn at(of: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + of as u16))
}

fn node(of: usize) -> Node<KeyRing> {
    Node::new(
        NAMES[of],
        at(of),
        1000,
        Config::default(),
        keys(of),
        of as u64,
        Timestamp::default(),
    )
}

fn secs(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

/// They meet, and all that is sent goes through, for so long.
fn meet(nodes: &mut [Node<KeyRing>], from: f64, until: f64) -> Vec<(usize, Transport, Vec<u8>)> {
    let mut carried = Vec::new();
    for node in nodes.iter_mut() {
        node.swim.join(&[at(0)]);
    }
    let mut now = from;
    while now < until {
        for i in 0..nodes.len() {
            let mut out = Vec::new();
            nodes[i].tick(secs(now), &mut out);
            carry(nodes, i, now, out, &mut carried);
        }
        now += 0.1;
    }
    carried
}

fn carry(
    nodes: &mut [Node<KeyRing>],
    from: usize,
    now: f64,
    out: Vec<Output>,
    carried: &mut Vec<(usize, Transport, Vec<u8>)>,
) {
    for Output { to, road, bytes } in out {
        let to = usize::from(to.port() - 7000);
        carried.push((to, road, bytes.clone()));
        let mut back = Vec::new();
        let answer = nodes[to]
            .heard(secs(now), at(from), road, &bytes, &mut back)
            .ok()
            .flatten();
        if let Some(bytes) = answer {
            let _ = nodes[from].heard(
                secs(now),
                at(to),
                Transport::Exchange,
                &bytes,
                &mut Vec::new(),
            );
        }
        carry(nodes, to, now, back, carried);
    }
}

/// A message of one member to another, signed with any key.
fn message(from: &str, to: &str, number: u64, with: &KeyRing, body: &Body) -> Vec<u8> {
    let mut datagram = Datagram {
        version: VERSION,
        from: from.into(),
        to: to.into(),
        key: with.key(),
        life: 1000,
        number,
        body: encode(body),
        signature: Vec::new(),
    };
    datagram.signature = with.sign(1, &datagram.signed_text());
    encode(&datagram)
}

fn ping() -> Body {
    Body {
        what: Some(Payload::Ping(1)),
        ..Body::default()
    }
}

#[rstest]
#[case::wrong_key("b", "a", 3, Refused::Signature)]
#[case::own_name("a", "a", 0, Refused::NotForMe)]
#[case::for_another("b", "c", 1, Refused::NotForMe)]
#[case::stranger("zoe", "a", 1, Refused::Stranger)]
fn a_forged_message_counts_for_nothing(
    #[case] from: &str,
    #[case] to: &str,
    #[case] signer: usize,
    #[case] refused: Refused,
) {
    let mut a = node(0);
    let bytes = message(from, to, 1, &keys(signer), &ping());
    let mut out = Vec::new();
    assert_eq!(
        a.heard(secs(1.0), at(1), Transport::Datagram, &bytes, &mut out),
        Err(refused)
    );
    assert!(out.is_empty());
    assert_eq!(a.tally.refused.get(refused.code()), Some(&1));
}

#[test]
fn every_changed_byte_is_found() {
    let bytes = message("b", "a", 1, &keys(1), &ping());
    for i in 0..bytes.len() {
        let mut a = node(0);
        let mut changed = bytes.clone();
        changed[i] ^= 1;
        let taken = a.heard(
            secs(1.0),
            at(1),
            Transport::Datagram,
            &changed,
            &mut Vec::new(),
        );
        assert!(taken.is_err(), "byte {i}");
    }
}

#[test]
fn a_replayed_message_counts_once_and_after_a_restart_of_its_sender_never() {
    let mut nodes = [node(0), node(1)];
    let carried = meet(&mut nodes, 0.0, 5.0);
    let again: Vec<_> = carried.iter().filter(|(to, ..)| *to == 0).collect();
    assert!(again.len() > 5);
    for (_, road, bytes) in &again {
        let taken = nodes[0].heard(secs(5.0), at(3), *road, bytes, &mut Vec::new());
        assert_eq!(taken, Err(Refused::Replayed));
    }
}

#[test]
fn a_flood_costs_no_more_than_the_intake() {
    let mut a = node(0);
    let crowded = |a: &Node<KeyRing>| a.tally.refused.get("crowded").copied().unwrap_or(0);
    for number in 0..1000 {
        let bytes = message("b", "a", number + 1, &keys(3), &ping());
        let _ = a.heard(
            secs(1.0),
            at(1),
            Transport::Datagram,
            &bytes,
            &mut Vec::new(),
        );
    }
    assert_eq!(crowded(&a), 600, "the intake is 400 a second");
    // Strangers use up none of it.
    let mut a = node(0);
    for number in 0..1000 {
        let bytes = message("zoe", "a", number + 1, &keys(3), &ping());
        let _ = a.heard(
            secs(1.0),
            at(1),
            Transport::Datagram,
            &bytes,
            &mut Vec::new(),
        );
    }
    assert_eq!(crowded(&a), 0);
    let bytes = message("b", "a", 1, &keys(1), &ping());
    assert!(
        a.heard(
            secs(1.0),
            at(1),
            Transport::Datagram,
            &bytes,
            &mut Vec::new()
        )
        .is_ok()
    );
}

/// One that claims all others suspect, again and again, with no other of its mind.
#[test]
fn a_single_liar_makes_nobody_dead() {
    let mut nodes: Vec<_> = (0..4).map(node).collect();
    meet(&mut nodes, 0.0, 10.0);
    for round in 0..40 {
        for about in [1, 2] {
            let incarnation = nodes[0].swim.member(NAMES[about]).expect("met").incarnation;
            let said = Claim {
                about: NAMES[about].into(),
                kind: Kind::Suspect as i32,
                incarnation,
                at: "".into(),
            };
            let text = encode(&said);
            let signature = keys(3).sign(2, &text);
            let claims = vec![Signed {
                author: "d".into(),
                key: keys(3).key(),
                text,
                signature,
            }];
            let body = Body {
                what: Some(Payload::News(true)),
                claims,
                ..Body::default()
            };
            let bytes = message(
                "d",
                "a",
                1_000_000 + round * 2 + about as u64,
                &keys(3),
                &body,
            );
            let taken = nodes[0].heard(
                secs(10.0 + round as f64),
                at(3),
                Transport::Datagram,
                &bytes,
                &mut Vec::new(),
            );
            assert!(taken.is_ok(), "{taken:?}");
        }
        meet(&mut nodes, 10.0 + round as f64, 11.0 + round as f64);
        for seen in nodes[0].swim.members() {
            assert!(seen.state.there(), "{round}: {seen:?}");
        }
    }
}

/// A claim in another's name, with the liar's key.
#[test]
fn nobody_speaks_for_another() {
    let mut nodes: Vec<_> = (0..4).map(node).collect();
    meet(&mut nodes, 0.0, 10.0);
    let known = nodes[0].swim.member("b").expect("met").incarnation;
    let said = Claim {
        about: "b".into(),
        kind: Kind::Left as i32,
        incarnation: known + 5,
        at: at(1).to_string(),
    };
    let text = encode(&said);
    let signature = keys(3).sign(2, &text);
    for author in ["b", "d"] {
        let signed = Signed {
            author: author.into(),
            key: keys(3).key(),
            text: text.clone(),
            signature: signature.clone(),
        };
        let body = Body {
            what: Some(Payload::News(true)),
            claims: vec![signed],
            ..Body::default()
        };
        let bytes = message(
            "d",
            "a",
            if author == "b" { 900_000 } else { 900_001 },
            &keys(3),
            &body,
        );
        assert!(
            nodes[0]
                .heard(
                    secs(10.0),
                    at(3),
                    Transport::Datagram,
                    &bytes,
                    &mut Vec::new()
                )
                .is_ok()
        );
        let seen = nodes[0].swim.member("b").expect("still there");
        assert_eq!((seen.state, seen.incarnation), (State::Alive, known));
    }
}

// --- evidence ---

fn row(tries: u32, lost: u32) -> Row {
    Row {
        server: "t1".into(),
        tries,
        lost,
        quiet_ms: 4000,
    }
}

fn own(tries: u32, lost: u32, quiet: Option<f64>) -> OwnObservation {
    OwnObservation {
        tries,
        lost,
        quiet: quiet.map(TimeDelta::from_secs),
    }
}

#[rstest]
#[case::nobody(&[], own(0, 0, None), false)]
#[case::one(&[(20, 20)], own(0, 0, None), false)]
#[case::one_and_own(&[(20, 20)], own(20, 20, None), false)]
#[case::two(&[(20, 20), (9, 9)], own(0, 0, None), true)]
#[case::two_but_one_with_too_few(&[(20, 20), (2, 2)], own(0, 0, None), false)]
#[case::two_who_have_lost_too_little(&[(4, 4), (3, 3)], own(0, 0, None), false)]
#[case::little_each_but_enough_together(&[(4, 4), (4, 4)], own(0, 0, None), true)]
#[case::own_losses_add_to_theirs(&[(3, 3), (3, 3)], own(3, 3, None), true)]
#[case::one_can_not_make_up_for_two(&[(900, 900), (2, 2)], own(2, 2, None), false)]
#[case::two_and_one_otherwise(&[(20, 20), (9, 9), (30, 2)], own(0, 0, None), true)]
#[case::two_and_two_otherwise(&[(20, 20), (9, 9), (30, 2), (30, 2)], own(0, 0, None), false)]
#[case::own_eyes_first(&[(20, 20), (9, 9), (20, 20)], own(10, 9, Some(0.4)), false)]
#[case::inflated(&[(u32::MAX, u32::MAX)], own(0, 0, None), false)]
#[case::more_lost_than_tried(&[(6, 60), (8, 9)], own(0, 0, None), true)]
fn a_quorum_of_witnesses_is_needed(
    #[case] said: &[(u32, u32)],
    #[case] own: OwnObservation,
    #[case] silent: bool,
) {
    let mut ledger = EvidenceLog::new(TimeDelta::from_secs(10.0));
    for (i, (tries, lost)) in said.iter().enumerate() {
        ledger.told(secs(1.0), NAMES[i], 1, &[row(*tries, *lost)]);
    }
    let verdict = ledger.weigh(secs(2.0), "t1", own);
    assert_eq!(matches!(verdict, Verdict::Silent(_)), silent, "{verdict:?}");
}

#[test]
fn words_age_and_go_with_who_said_them() {
    let mut ledger = EvidenceLog::new(TimeDelta::from_secs(10.0));
    ledger.told(secs(1.0), "a", 1, &[row(9, 9)]);
    ledger.told(secs(1.0), "b", 1, &[row(9, 9)]);
    assert!(matches!(
        ledger.weigh(secs(10.9), "t1", OwnObservation::default()),
        Verdict::Silent(_)
    ));
    assert_eq!(
        ledger.weigh(secs(11.1), "t1", OwnObservation::default()),
        Verdict::Open
    );
    ledger.age(secs(2.0), |author| author == "a");
    assert_eq!(
        ledger.weigh(secs(2.0), "t1", OwnObservation::default()),
        Verdict::Open
    );
    // A word of before takes no newer one's place, and one that says nothing takes back what was said.
    ledger.told(secs(3.0), "a", 1, &[]);
    assert_eq!(ledger.of(secs(3.0), "t1").len(), 1);
    ledger.told(secs(3.0), "a", 2, &[]);
    assert_eq!(ledger.servers().count(), 0);
}

#[test]
fn who_is_often_wrong_is_no_witness_until_it_has_been_right_as_often() {
    let mut ledger = EvidenceLog::new(TimeDelta::from_secs(10.0));
    let mut number = 0;
    let mut say = |ledger: &mut EvidenceLog, at: f64, rows: &[Row]| {
        number += 1;
        ["a", "b"]
            .iter()
            .for_each(|author| ledger.told(secs(at), author, number, rows));
    };
    let silent = |ledger: &EvidenceLog, at| {
        matches!(
            ledger.weigh(secs(at), "t1", OwnObservation::default()),
            Verdict::Silent(_)
        )
    };
    say(&mut ledger, 1.0, &[row(9, 9)]);
    assert!(silent(&ledger, 1.0));
    // A success of before, or of just after, tells nothing yet.
    ledger.judged(secs(2.0), "t1", own(9, 1, Some(1.5)));
    ledger.judged(secs(5.0), "t1", own(9, 1, Some(0.1)));
    assert_eq!(ledger.weight("a"), 1.0);
    for _ in 0..5 {
        ledger.judged(secs(7.0), "t1", own(9, 1, Some(0.1)));
    }
    assert_eq!(
        ledger.weight("a"),
        0.5,
        "wrong once, however often it is looked at"
    );
    // It says so still, which is the same word; then anew.
    say(&mut ledger, 8.0, &[row(12, 12)]);
    ledger.judged(secs(20.0), "t1", own(9, 1, Some(0.1)));
    assert_eq!(ledger.weight("a"), 0.5);
    say(&mut ledger, 20.0, &[]);
    say(&mut ledger, 21.0, &[row(9, 9)]);
    ledger.judged(secs(27.0), "t1", own(9, 1, Some(0.1)));
    assert!(ledger.weight("a") < 0.5 && ledger.weight("never heard") == 1.0);
    assert!(!silent(&ledger, 27.0));
    for turn in 0..12 {
        say(&mut ledger, 30.0 + f64::from(turn), &[]);
        say(&mut ledger, 30.5 + f64::from(turn), &[row(9, 9)]);
        ledger.judged(secs(30.5 + f64::from(turn)), "t1", own(8, 8, None));
    }
    assert!(silent(&ledger, 42.0));
}

#[test]
fn own_reports_are_a_run_since_the_last_success() {
    let mut sight = Observation::new(TimeDelta::from_secs(10.0));
    sight.met(secs(1.0), "t1", 6.0, 1.0);
    assert_eq!(sight.own(secs(1.5), "t1"), own(6, 1, Some(0.5)));
    sight.met(secs(2.0), "t1", 4.0, 4.0);
    sight.met(secs(3.0), "t1", 4.0, 5.0);
    assert_eq!(
        sight.own(secs(3.0), "t1"),
        own(8, 8, None),
        "the losses before the last success are not of the run"
    );
    assert_eq!(
        sight.own(secs(13.0), "t1"),
        OwnObservation::default(),
        "nothing heard for long"
    );
    sight.met(secs(14.0), "t1", f64::INFINITY, f64::INFINITY);
    assert_eq!(sight.own(secs(14.0), "t1").tries, u32::MAX);
    assert!(sight.all(secs(40.0)).is_empty());
}

#[test]
fn a_doubt_is_told_when_it_begins_and_when_it_ends() {
    let mut sight = Observation::new(TimeDelta::from_secs(10.0));
    let silent = |_: &str, own: OwnObservation| match own.quiet {
        None => Verdict::Silent(vec!["a".into(), "b".into()]),
        Some(_) => Verdict::Well,
    };
    let look = |sight: &mut Observation, at| sight.doubts(secs(at), ["t1"].into_iter(), silent);
    assert_eq!(look(&mut sight, 1.0), [("t1".to_owned(), true)]);
    assert_eq!(look(&mut sight, 2.0), []);
    assert_eq!(sight.doubted().collect::<Vec<_>>(), [("t1", secs(1.0))]);
    sight.met(secs(3.0), "t1", 3.0, 0.0);
    assert_eq!(look(&mut sight, 3.0), [("t1".to_owned(), false)]);
}

/// Words on servers of very many members don't keep an exchange above the ceiling, where it would never go.
#[test]
fn an_exchange_with_all_that_is_said_of_servers_still_goes() {
    let mut trust = TrustStore::default();
    let secrets: Vec<SecretKey> = (0..60).map(secret).collect();
    let name = |of: usize| format!("m{of}");
    (0..60).for_each(|of| trust.add(&name(of), secrets[of].public()));
    let terms = Config {
        evidence_for: TimeDelta::from_secs(300.0),
        ..Config::default()
    };
    let keys = |of: usize| KeyRing {
        secret: secrets[of].clone(),
        trust: trust.clone(),
    };
    let node = |of: usize| {
        Node::new(
            &name(of),
            at(of),
            1000,
            terms.clone(),
            keys(of),
            1,
            Timestamp::default(),
        )
    };
    let mut nodes: Vec<_> = (0..60).map(node).collect();
    meet(&mut nodes, 0.0, 30.0);
    // All of them have met, and see many servers fall silent.
    for (of, node) in nodes.iter_mut().enumerate().skip(1) {
        let rows = (0..24).map(|k| (format!("server-{of}-{k}"), own(9, 9, None)));
        node.saw(rows);
    }
    meet(&mut nodes, 30.0, 75.0);
    assert!(
        nodes[0].ledger.servers().count() > 700,
        "{}",
        nodes[0].ledger.servers().count()
    );
    let asked = message(
        "m1",
        "m0",
        1 << 40,
        &keys(1),
        &Body {
            what: Some(Payload::Exchange(true)),
            ..Body::default()
        },
    );
    let answer = nodes[0].heard(
        secs(80.0),
        at(1),
        Transport::Exchange,
        &asked,
        &mut Vec::new(),
    );
    let bytes = answer.expect("heard").expect("it is answered").len();
    assert!(
        bytes as f64 <= Config::default().bytes_per_s * 0.75,
        "{bytes}"
    );
}
