//! One datagram of every kind as the first release encodes and signs it: members of different builds have to
//! understand each other.

use std::collections::BTreeMap;

use lynxmill_membership::{
    Ask, BallotKind, BallotRow, Ballots, Body, Claim, Datagram, Evidence, Identity, KeyRing, Kind,
    Payload, Row, SecretKey, Signed, TrustStore, VoteRow, Votes, decode, encode,
};

/// Lines of a name and the bytes of a datagram in hexadecimal digits.
const DATAGRAMS: &str = include_str!("fixtures/datagrams.txt");
/// Kinds that are signed: a datagram, a claim, evidence.
const SIGNED_KINDS: [u8; 3] = [1, 2, 3];

fn keys() -> KeyRing {
    let secret = || SecretKey::read(&"07".repeat(32)).expect("a key");
    let mut trust = TrustStore::default();
    trust.add("a", secret().public());
    KeyRing {
        secret: secret(),
        trust,
    }
}

fn signed(keys: &KeyRing, kind: u8, text: Vec<u8>) -> Signed {
    let signature = keys.sign(kind, &text);
    Signed {
        author: "a".to_owned(),
        key: keys.key(),
        text,
        signature,
    }
}

fn bodies(keys: &KeyRing) -> Vec<(&'static str, Body)> {
    let row = BallotRow {
        kind: BallotKind::Keep as i32,
        slice: 7,
        generation: 3,
        round: 9,
    };
    let vote = VoteRow {
        slice: 7,
        round: 9,
        yes: true,
        known: 4,
    };
    let what = |what| Body {
        what: Some(what),
        ..Body::default()
    };
    let claim = Claim {
        about: "b".to_owned(),
        kind: Kind::Suspect as i32,
        incarnation: 5,
        at: "10.0.0.2:7".to_owned(),
    };
    let seen = Row {
        server: "s-1".to_owned(),
        tries: 9,
        lost: 2,
        quiet_ms: 1500,
    };
    let evidence = Evidence {
        number: 11,
        rows: vec![seen],
    };
    let news = Body {
        what: Some(Payload::News(true)),
        claims: vec![signed(keys, SIGNED_KINDS[1], encode(&claim))],
        evidence: vec![signed(keys, SIGNED_KINDS[2], encode(&evidence))],
        present: 6,
    };
    vec![
        ("ping", what(Payload::Ping(1))),
        ("ack", what(Payload::Ack(2))),
        ("nack", what(Payload::Nack(3))),
        (
            "ask",
            what(Payload::Ask(Ask {
                number: 4,
                about: "b".to_owned(),
            })),
        ),
        ("exchange", what(Payload::Exchange(true))),
        ("behind", what(Payload::Behind(5))),
        ("news", news),
        (
            "ballots",
            what(Payload::Ballots(Ballots {
                rows: vec![row],
                holds: 2,
            })),
        ),
        ("votes", what(Payload::Votes(Votes { rows: vec![vote] }))),
    ]
}

fn datagram(keys: &KeyRing, body: &Body) -> Datagram {
    let mut datagram = Datagram {
        version: 1,
        from: "a".to_owned(),
        to: "b".to_owned(),
        key: keys.key(),
        life: 21,
        number: 22,
        body: encode(body),
        signature: Vec::new(),
    };
    datagram.signature = keys.sign(SIGNED_KINDS[0], &datagram.signed_text());
    datagram
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn every_kind_of_datagram_has_the_bytes_of_the_first_release() {
    let keys = keys();
    let mut left: BTreeMap<&str, &str> = DATAGRAMS
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect();
    for (name, body) in bodies(&keys) {
        let datagram = datagram(&keys, &body);
        let bytes = encode(&datagram);
        assert_eq!(
            left.remove(name),
            Some(hexadecimal(&bytes).as_str()),
            "{name}"
        );
        let read: Datagram = decode(&bytes).expect("a datagram");
        assert_eq!(read, datagram, "{name}");
        assert_eq!(decode::<Body>(&read.body).as_ref(), Ok(&body), "{name}");
        assert!(
            keys.holds(
                "a",
                read.key,
                SIGNED_KINDS[0],
                &read.signed_text(),
                &read.signature
            ),
            "{name}"
        );
    }
    assert!(left.is_empty(), "not checked: {left:?}");
}
