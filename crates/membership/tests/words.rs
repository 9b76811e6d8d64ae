//! Bytes, keys and numbers: what counts as somebody's word.

use lynxmill_membership::{
    Body, Bucket, Claim, Datagram, Evidence, Identity, KeyRing, Kind, Payload, PublicKey,
    ReplayError, ReplayWindow, Row, SecretKey, Signed, TrustStore, decode, encode,
};
use lynxmill_time::{TimeDelta, Timestamp};
use proptest::prelude::*;
use rstest::rstest;

fn secret(of: u8) -> SecretKey {
    SecretKey::read(&format!("{of:02x}").repeat(32)).expect("a key")
}

fn keys() -> KeyRing {
    let mut trust = TrustStore::default();
    trust.add("a", secret(1).public());
    trust.add("b", secret(2).public());
    KeyRing {
        secret: secret(1),
        trust,
    }
}

#[test]
fn a_signature_holds_for_its_author_key_kind_and_bytes_alone() {
    let keys = keys();
    let signed = keys.sign(1, b"text");
    assert!(keys.holds("a", keys.key(), 1, b"text", &signed));
    assert!(
        !keys.holds("b", keys.key(), 1, b"text", &signed),
        "another's name"
    );
    assert!(
        !keys.holds("b", secret(2).public().id(), 1, b"text", &signed),
        "another's key"
    );
    assert!(
        !keys.holds("a", keys.key(), 2, b"text", &signed),
        "another kind"
    );
    assert!(!keys.holds("a", keys.key(), 1, b"texT", &signed));
    assert!(!keys.holds("a", keys.key(), 1, b"text", &signed[..63]));
    assert!(!keys.holds("stranger", keys.key(), 1, b"text", &signed));
}

#[test]
fn two_keys_of_a_name_hold_while_one_follows_the_other() {
    let mut keys = keys();
    let old = keys.sign(1, b"x");
    let old_key = keys.key();
    keys.trust.add("a", secret(3).public());
    keys.secret = secret(3);
    let new = keys.sign(1, b"x");
    assert!(keys.holds("a", old_key, 1, b"x", &old) && keys.holds("a", keys.key(), 1, b"x", &new));
    keys.trust.revoke("a", &secret(1).public());
    assert!(!keys.holds("a", old_key, 1, b"x", &old));
    assert!(keys.holds("a", keys.key(), 1, b"x", &new));
    keys.trust.revoke("a", &secret(3).public());
    assert!(!keys.knows("a"), "a name without keys is nobody's");
}

#[rstest]
#[case::short("abcd")]
#[case::not_hex("zz")]
#[case::weak("00")]
fn what_is_no_key_is_refused(#[case] of: &str) {
    let text = if of.len() == 2 {
        of.repeat(32)
    } else {
        of.to_owned()
    };
    assert!(PublicKey::read(&text).is_err());
}

#[test]
fn a_secret_is_never_shown() {
    let written = secret(7).written().to_string();
    assert_eq!(written, "07".repeat(32));
    assert!(
        !format!(
            "{:?} {:?}",
            secret(7),
            KeyRing {
                secret: secret(7),
                ..keys()
            }
        )
        .contains(&written)
    );
    assert_eq!(
        SecretKey::read(&written).expect("a key").public(),
        secret(7).public()
    );
    let wrong = SecretKey::read(&"0x".repeat(32))
        .map(|_| ())
        .expect_err("no key");
    assert!(!wrong.to_string().contains("0x"));
}

#[test]
fn fields_that_a_later_version_adds_are_passed_over() {
    let body = Body {
        what: Some(Payload::Ping(9)),
        ..Body::default()
    };
    let mut bytes = encode(&body);
    // Field 1000, length-delimited, 3 bytes.
    bytes.extend([0xc2, 0x3e, 3, 1, 2, 3]);
    assert_eq!(decode::<Body>(&bytes).expect("it is read"), body);
}

#[test]
fn a_window_takes_each_number_of_a_life_once() {
    let mut window = ReplayWindow::default();
    assert_eq!(window.take(5, 10), Ok(()));
    assert_eq!(window.take(5, 10), Err(ReplayError::Number));
    assert_eq!(window.take(5, 8), Ok(()), "out of order");
    assert_eq!(window.take(4, 11), Err(ReplayError::Life(5)));
    assert_eq!(window.take(5, 5000), Ok(()));
    assert_eq!(
        window.take(5, 9),
        Err(ReplayError::Number),
        "too old to be told"
    );
    assert_eq!(window.take(6, 1), Ok(()), "a later life begins anew");
    assert_eq!(window.take(5, 6000), Err(ReplayError::Life(6)));
}

#[test]
fn a_bucket_gives_a_seconds_worth_at_once_and_keeps_a_part() {
    let start = Timestamp::default();
    let mut bucket = Bucket::new(100.0, start);
    assert!(bucket.has(start, 100.0, 0.0) && !bucket.has(start, 80.0, 0.25));
    bucket.take(100.0);
    assert!(!bucket.has(start, 1.0, 0.0));
    assert!(bucket.has(start + TimeDelta::from_secs(0.5), 50.0, 0.0));
    assert!(
        !bucket.has(start + TimeDelta::from_secs(90.0), 101.0, 0.0),
        "no more than a second's worth"
    );
}

fn signed() -> impl Strategy<Value = Signed> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..80);
    ("[a-z0-9-]{0,12}", any::<u64>(), bytes(), bytes()).prop_map(
        |(author, key, text, signature)| Signed {
            author,
            key,
            text,
            signature,
        },
    )
}

proptest! {
    #[test]
    fn a_window_agrees_with_a_set(numbers in proptest::collection::vec(1u64..3000, 1..400)) {
        let mut window = ReplayWindow::default();
        let mut seen = std::collections::BTreeSet::new();
        for number in numbers {
            let newest = seen.last().copied().unwrap_or(0);
            let fresh = number + 1024 > newest && !seen.contains(&number);
            prop_assert_eq!(window.take(1, number).is_ok(), fresh);
            seen.insert(number);
        }
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode::<Datagram>(&bytes);
        let _ = decode::<Body>(&bytes);
        let _ = decode::<Claim>(&bytes);
        let _ = decode::<Evidence>(&bytes);
    }

    #[test]
    fn what_is_written_is_read_again(
        claims in proptest::collection::vec(signed(), 0..6),
        evidence in proptest::collection::vec(signed(), 0..3),
        present in any::<u32>(),
        number in any::<u64>(),
    ) {
        let body = Body { what: Some(Payload::Ack(number)), claims, evidence, present };
        prop_assert_eq!(decode::<Body>(&encode(&body)).expect("read"), body);
    }

    #[test]
    fn a_cut_datagram_is_never_taken_for_whole(cut in 0usize..100) {
        let row = Row { server: "t1".into(), tries: 9, lost: 9, quiet_ms: 1 };
        let said = Evidence { number: 3, rows: vec![row] };
        let text = encode(&Datagram { version: 1, from: "a".into(), to: "b".into(), body: encode(&said),
            ..Datagram::default() });
        let cut = cut.min(text.len() - 1);
        if let Ok(read) = decode::<Datagram>(&text[..cut]) {
            prop_assert_ne!(encode(&read), text);
        }
    }
}

#[test]
fn a_kind_that_is_not_known_is_no_claim() {
    assert!(Kind::try_from(77).is_err());
}
