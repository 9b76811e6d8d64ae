//! The identity of an order: the same again is acknowledged, other content under its version is refused.

use lynxmill_configuration::{Configuration, ConfigurationChange, Item, ValidationError};
use quickcheck::QuickCheck;
use serde_json::{Value, json};

const SERVICE: &str = r#"{"Name":"huvo","MaxConns":130,"Version":"7"}"#;

/// A route of JSON text, so that spelling is the test's own.
fn route(fields: &str, version: &str) -> String {
    format!(
        r#"{{"Name":"r-a","Host":"h","PathPrefix":"/a/","Service":"huvo","TimeoutS":3,"MaxAttempts":2,
        {fields}"Version":"{version}"}}"#
    )
}

fn call(routes: &[String]) -> String {
    format!(
        r#"{{"Upsert":{{"Routes":[{}],"Services":[{SERVICE}]}}}}"#,
        routes.join(",")
    )
}

fn removal(version: &str) -> String {
    json!({"Remove": {"Routes": [{"Name": "r-a", "Version": version}]}}).to_string()
}

/// Takes a call as the register does: what it proposes is merged by every member.
fn take(to: &mut Configuration, call: &str) -> Result<usize, ValidationError> {
    let change = ConfigurationChange::read(call.as_bytes())?;
    to.check(&change)?;
    Ok(to.apply(&change).len())
}

fn taken(version: u64) -> Result<usize, ValidationError> {
    Err(ValidationError::VersionTaken("r/r-a".to_owned(), version))
}

fn first() -> Configuration {
    let mut all = Configuration::default();
    assert_eq!(take(&mut all, &call(&[route("", "7")])), Ok(2));
    all
}

#[test]
fn other_content_under_a_taken_version_is_refused_and_changes_nothing() {
    let mut all = first();
    let before = all.clone();
    let other = call(&[
        route(r#""Priority":2,"#, "7"),
        route("", "7").replace("r-a", "r-new").replace("/a/", "/n/"),
    ]);
    assert_eq!(take(&mut all, &other), taken(7));
    assert_eq!(take(&mut all, &removal("7")), taken(7));
    assert_eq!(all, before);
}

#[test]
fn the_same_call_is_acknowledged_again_however_it_is_spelt() {
    let mut all = first();
    let before = all.clone();
    for same in [
        route("", "7"),
        route("", "0000000000000007"),
        route("", "7").replace(":3,", ":3.0,"),
        route("", "7").replace(":3,", ": 0.3E1 ,"),
        route("", "7").replace("\"h\"", r#""\u0068""#),
        // Of a key that stands twice the last value counts.
        route(r#""TimeoutS":3,"#, "7").replacen(":3,", ":9,", 1),
        r#"{"Version":"7","MaxAttempts":2,"TimeoutS":3,"Service":"huvo","PathPrefix":"/a/","Host":"h",
            "Name":"r-a"}"#
            .to_owned(),
    ] {
        assert_eq!(take(&mut all, &call(std::slice::from_ref(&same))), Ok(0), "{same}");
    }
    assert_eq!(all, before);
}

#[test]
fn a_call_is_acknowledged_again_after_later_changes_and_after_a_lost_disk() {
    let mut all = first();
    for version in 8..14 {
        assert_eq!(
            take(
                &mut all,
                &call(&[route(
                    &format!(r#""Priority":{version},"#),
                    &format!("{version:x}")
                )])
            ),
            Ok(1)
        );
    }
    assert_eq!(take(&mut all, &removal("e")), Ok(1));
    // Another route takes its place: of a call that is new this would be a fault.
    let other = route("", "e").replace("r-a", "r-b");
    assert_eq!(take(&mut all, &call(&[other])), Ok(1));
    let mut filled = Configuration::default();
    assert!(all.items.values().all(|item| filled.merge(item)));
    assert_eq!(filled, all);
    for mut member in [all, filled] {
        let before = member.clone();
        assert_eq!(take(&mut member, &call(&[route("", "7")])), Ok(0));
        assert_eq!(
            take(&mut member, &call(&[route(r#""Priority":9,"#, "9")])),
            Ok(0)
        );
        assert_eq!(take(&mut member, &removal("e")), Ok(0));
        assert_eq!(
            take(&mut member, &call(&[route(r#""Priority":8,"#, "9")])),
            taken(9)
        );
        assert_eq!(take(&mut member, &removal("7")), taken(7));
        assert_eq!(member, before);
    }
}

#[test]
fn a_lower_version_is_overtaken_and_its_number_is_taken_as_well() {
    let mut all = first();
    assert_eq!(take(&mut all, &call(&[route("", "20")])), Ok(1));
    let standing = all.items["r/r-a"].body.clone();
    assert_eq!(
        take(&mut all, &call(&[route("", "1f")])),
        Ok(1),
        "to be remembered"
    );
    assert_eq!(take(&mut all, &call(&[route("", "1f")])), Ok(0));
    assert_eq!(
        take(&mut all, &removal("1f")),
        taken(0x1f),
        "two operators, one number"
    );
    assert_eq!(take(&mut all, &removal("3")), Ok(1));
    assert_eq!(take(&mut all, &call(&[route("", "3")])), taken(3));
    assert_eq!(
        (all.version("r/r-a"), &all.items["r/r-a"].body),
        (0x20, &standing)
    );
    for version in 0x21..0x29 {
        assert_eq!(
            take(&mut all, &call(&[route("", &format!("{version:x}"))])),
            Ok(1)
        );
    }
    let before = all.clone();
    assert_eq!(
        take(&mut all, &removal("7")),
        Ok(0),
        "older than the history reaches"
    );
    assert_eq!(
        take(&mut all, &removal("20")),
        Ok(0),
        "older than the history reaches"
    );
    assert_eq!(take(&mut all, &removal("21")), taken(0x21));
    assert_eq!(all, before);
}

#[test]
fn a_call_of_many_items_is_acknowledged_again_when_some_are_overtaken() {
    let mut all = first();
    let [b, c] = [("r-b", "/b/"), ("r-c", "/c/")]
        .map(|(n, p)| route("", "8").replace("r-a", n).replace("/a/", p));
    let many = call(&[route(r#""Priority":1,"#, "8"), b.clone(), c]);
    assert_eq!(take(&mut all, &many), Ok(3));
    let moved = b.replace("/b/", "/d/").replace("\"8\"", "\"9\"");
    let place = b.replace("r-b", "r-e");
    assert_eq!(take(&mut all, &call(&[moved, place])), Ok(2));
    assert_eq!(take(&mut all, &many), Ok(0));
}

#[test]
fn a_call_that_names_an_item_twice_under_one_version_with_other_content_is_refused() {
    for at in ["6", "8"] {
        let version = u64::from_str_radix(at, 16).unwrap();
        let mut all = first();
        let before = all.clone();
        let twice = [route("", at), route(r#""Priority":2,"#, at)];
        assert_eq!(take(&mut all, &call(&twice)), taken(version));
        let both = json!({"Upsert": {"Routes": [serde_json::from_str::<Value>(&route("", at)).unwrap()]},
            "Remove": {"Routes": [{"Name": "r-a", "Version": at}]}});
        assert_eq!(take(&mut all, &both.to_string()), taken(version));
        assert_eq!(all, before);
    }
    assert_eq!(
        take(&mut first(), &call(&[route("", "8"), route("", "8")])),
        Ok(1),
        "the same twice"
    );
    assert_eq!(
        take(&mut first(), &call(&[route("", "8"), route("", "9")])),
        Ok(2),
        "two versions"
    );
}

/// The digest of a service with one field of its own.
fn digest(value: &Value) -> u64 {
    let call = json!({"Upsert": {"Services": [{"Name": "huvo", "Other": value, "Version": "7"}]}});
    let change = ConfigurationChange::read(call.to_string().as_bytes()).unwrap();
    let text = Item {
        history: Vec::new(),
        ..change.items[0].clone()
    };
    assert_eq!(
        text.identity(),
        change.items[0].identity(),
        "the same of an item from before histories"
    );
    change.items[0].identity().content
}

#[test]
fn contents_that_differ_have_digests_of_their_own() {
    let all = [
        "null",
        "false",
        "true",
        "0",
        "1",
        "-1",
        "0.5",
        "-0.5",
        "1e300",
        "18446744073709551615",
        "18446744073709551616",
        "9007199254740992",
        "9007199254740993",
        "-9223372036854775808",
        "\"\"",
        "\"0\"",
        "\"null\"",
        "[]",
        "[[]]",
        "[0]",
        "[0,0]",
        "[[0],0]",
        "[0,[0]]",
        "{}",
        "[{}]",
        "{\"a\":0}",
        "{\"a\":[0]}",
        "{\"a\":0,\"b\":0}",
        "{\"a\":{\"b\":0}}",
        "{\"ab\":0}",
        "[\"a\",\"b\"]",
        "[\"ab\"]",
    ];
    let digests = all.map(|text| digest(&serde_json::from_str(text).unwrap()));
    for (n, one) in digests.iter().enumerate() {
        let same = digests.iter().skip(n + 1).position(|other| other == one);
        assert_eq!(same.map(|m| all[n + 1 + m]), None, "{}", all[n]);
    }
    for (one, two) in [
        ("3", "3.0"),
        ("0", "-0.0"),
        ("-7", "-7.0"),
        ("1e3", "1000"),
        ("0.10", "1e-1"),
    ] {
        let [one, two] = [one, two].map(|text| digest(&serde_json::from_str(text).unwrap()));
        assert_eq!(one, two);
    }
}

#[test]
fn fractions_differ_to_the_last_digit() {
    fn differ(bits: u64) -> bool {
        let one = f64::from_bits((bits % (1 << 52)) | 0x3ff0_0000_0000_0000);
        digest(&json!(one)) != digest(&json!(one.next_up()))
            && digest(&json!(one)) == digest(&json!(one))
    }
    QuickCheck::new()
        .tests(400)
        .quickcheck(differ as fn(u64) -> bool);
}

#[test]
fn an_item_from_before_histories_gets_its_own_identity() {
    let mut old = Configuration::default();
    assert!(
        first()
            .items
            .values()
            .all(|item| old.merge(&item.without_history()))
    );
    assert_eq!(take(&mut old, &call(&[route("", "7")])), Ok(0));
    assert_eq!(take(&mut old, &removal("7")), taken(7));
    assert_eq!(take(&mut old, &call(&[route("", "8")])), Ok(1));
    assert_eq!(old.items["r/r-a"].history.len(), 2);
    assert_eq!(take(&mut old, &removal("7")), taken(7));
    assert_eq!(take(&mut old, &call(&[route("", "7")])), Ok(0));
}
