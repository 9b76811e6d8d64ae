//! The notation, the checks and what they are turned into.

use lynxmill_settings::{DAEMON, Schema, compare, daemon, position, render};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

const SCHEMA: &str = r#"
#Level: "user" | "operator"
#Unix: { path: string, level: #Level, mode: =~"^[0-7]{3}$" | *"600" }
#Loopback: { address: loopback, level: #Level }

sockets: [...#Unix | #Loopback]
// Sessions at a time.
connections: int & >=1 & <=1000 | *32 @live()
least: number & >0 | *0.1 @unit(s)
most: number & >=least & <=3600 | *5 @unit(s)
room: int & >=64 | *1024 @unit(B)
pair: { a: int | *1, b: bool | *true }
journal?: string
mode: "fast" | "safe" | *"safe"
"#;

fn schema() -> Schema {
    Schema::read(SCHEMA).unwrap_or_else(|faults| panic!("{}", render("schema", SCHEMA, &faults)))
}

fn checked(file: &str) -> Value {
    let read = schema().check(file);
    read.unwrap_or_else(|faults| panic!("{}", render("file", file, &faults)))
        .value
}

/// Faults as `line:column path: text`.
fn faults(file: &str) -> Vec<String> {
    let faults = schema().check(file).expect_err("faults");
    faults
        .iter()
        .map(|fault| format!("{} {}", position(file, fault.at.start), fault.line()))
        .collect()
}

#[test]
fn what_is_not_written_has_its_default_and_units_are_turned_into_the_field_s_own() {
    let told = checked("sockets: []\nmost: 2m\nroom: 64KiB // much\nleast: 250ms,\n");
    assert_eq!(
        told,
        json!({"sockets": [], "connections": 32, "least": 0.25, "most": 120, "room": 65536,
            "pair": {"a": 1, "b": true}, "mode": "safe"})
    );
}

#[test]
fn json_is_a_part_of_the_notation() {
    let told = json!({"sockets": [{"address": "127.0.0.1:0", "level": "user"}], "connections": 7, "journal": null});
    for text in [
        told.to_string(),
        format!("{told:#}"),
        format!("\n\n{told:#}\n"),
    ] {
        let read = checked(&text);
        assert_eq!(
            (&read["connections"], &read["sockets"]),
            (&json!(7), &told["sockets"])
        );
    }
}

#[test]
fn a_file_may_be_written_in_parts_and_refer_to_itself() {
    let told = checked(
        "_desk: {level: \"operator\"}\nsockets: [\n  {path: \"/run/a\", level: _desk.level}\n  {path: \"/run/b\", level: \"user\"},\n]\n\
         least: 2s\nmost: least\npair: a: 5\npair: b: false\npair: {a: 5}\n",
    );
    assert_eq!(
        told["sockets"][0],
        json!({"path": "/run/a", "level": "operator", "mode": "600"})
    );
    assert_eq!(
        (&told["most"], &told["pair"]),
        (&json!(2), &json!({"a": 5, "b": false}))
    );
}

#[rstest]
#[case::bound("sockets: []\nconnections: 0", &["2:14 `connections`: expected a whole number, >= 1, <= 1000 or 32; found 0"])]
#[case::kind("sockets: 3", &["1:10 `sockets`: expected a list, each"])]
#[case::missing("connections: 3", &["`sockets`: it is missing"])]
#[case::unknown("sockets: []\nconections: 3", &["2:1 `conections`: no such field; is `connections` meant?"])]
#[case::nearest(
    "sockets: [{path: \"/a\", level: \"root\"}]",
    &["1:31 `sockets[0].level`: expected \"user\" or \"operator\"; found \"root\""],
)]
#[case::outside(
    "sockets: [{address: \"10.0.0.1:80\", level: \"user\"}]",
    &["1:21 `sockets[0].address`: expected a loopback address"],
)]
#[case::beside("sockets: []\nleast: 10s", &["`most`: expected >= `least`, which is 10; found 5"])]
#[case::unit("sockets: []\nmost: 5KiB", &["2:7 `most`: expected a number"])]
#[case::no_unit("sockets: []\nconnections: 5s", &["2:14 `connections`: expected a whole number, >= 1, <= 1000 or 32; found 5s"])]
#[case::odd_unit("sockets: []\nmost: 5weeks", &["2:7 no unit `weeks`"])]
#[case::fraction("sockets: []\nroom: 100.5", &["2:7 `room`: expected a whole number"])]
#[case::word("sockets: []\nmode: fast", &["2:7 `mode`: no field `fast` to refer to; text stands in quotes"])]
#[case::twice("sockets: []\nconnections: 3\nconnections: 4", &["3:1 `connections`: it is given twice"])]
#[case::circle("sockets: []\nleast: most\nmost: least", &["refers to itself", "refers to itself"])]
#[case::pattern("sockets: [{path: \"/a\", level: \"user\", mode: \"rw\"}]", &["`sockets[0].mode`: expected text like"])]
#[case::typed("sockets: []\nconnections: int", &["2:14 `connections`: no field `int`"])]
#[case::bounded("sockets: []\nconnections: >=3", &["2:14 `connections`: expected a value; bounds"])]
#[case::open("sockets: []\npair: {a: 1, ...}", &["2:7 `pair`: `...` is for schemas"])]
#[case::sign("sockets: []\nconnections 3", &["2:13 expected"])]
#[case::quote("sockets: []\nmode: \"fast\nconnections: 4", &["2:7 no text in quotes"])]
#[case::brace("sockets: [{path: \"/a\"", &["1:22 expected"])]
fn a_fault_is_told_with_its_place_and_what_was_expected(
    #[case] file: &str,
    #[case] expected: &[&str],
) {
    let told = faults(file);
    for (i, words) in expected.iter().enumerate() {
        assert!(
            told.get(i).is_some_and(|line| line.contains(words)),
            "{words}: {told:#?}"
        );
    }
    let text = render("file", file, &schema().check(file).expect_err("faults"));
    assert!(text.contains("file:"), "{text}");
}

#[test]
fn all_faults_of_a_file_are_told_in_one_pass() {
    let told = faults(
        "sockets: [\n  {path: 3, level: \"user\"}\n]\nconnections: = 4\nroom: 1\nmost: 2h\nspeed: 9\npair: {a: \"x\"}\n",
    );
    let lines: Vec<&str> = told
        .iter()
        .filter_map(|line| line.split(':').next())
        .collect();
    assert_eq!(lines, ["2", "4", "5", "6", "7", "8"], "{told:#?}");
}

#[test]
fn deep_nesting_is_a_fault_and_no_crash() {
    let told = faults(&format!("sockets: {}{}", "[".repeat(90), "]".repeat(90)));
    assert!(
        told.iter().any(|line| line.contains("too deep")),
        "{told:?}"
    );
}

#[rstest]
#[case::name("a: integer", "no type `integer`")]
#[case::definition("a: #Missing", "no definition #Missing")]
#[case::default("a: int & >=1 & <=5 | *9 | *3", "a second default")]
#[case::own("a: { b: int | *\"x\", c: =~\"^[0-9]$\" | *7s }", "no unit")]
#[case::pattern("a: =~\"(\"", "no pattern")]
#[case::beside("a: int & >=b", "no field `b`")]
#[case::attribute("a: int @soon()", "no attribute")]
#[case::unit("a: int & >=1s", "has no unit")]
#[case::kinds("a: int & >=1KiB @unit(s)", "don't go together")]
#[case::twice("#A: int\n#A: string", "defined twice")]
fn a_schema_is_checked_when_it_is_read(#[case] schema: &str, #[case] told: &str) {
    let faults = Schema::read(schema).expect_err("faults");
    assert!(
        faults.iter().any(|fault| fault.text.contains(told)),
        "{faults:?}"
    );
}

#[test]
fn what_is_shown_reads_as_the_same_file_and_tells_what_nobody_wrote() {
    let schema = schema();
    let file =
        "sockets: [{address: \"127.0.0.1:1\", level: \"user\"}]\nconnections: 9\nleast: 200ms\n";
    let first = schema.check(file).expect("a file");
    let shown = schema.show(&first);
    assert!(
        shown.contains("// Sessions at a time.\n  connections: 9\n"),
        "{shown}"
    );
    assert!(
        shown.contains("least: 0.2 // s\n") && shown.contains("room: 1024 // B, default\n"),
        "{shown}"
    );
    let again = schema
        .check(&shown)
        .unwrap_or_else(|faults| panic!("{}", render("shown", &shown, &faults)));
    assert_eq!(again.value, first.value);
}

#[test]
fn differences_tell_what_a_running_program_takes_over() {
    let schema = schema();
    let read = |file: &str| schema.check(file).expect("a file").value;
    let (before, after) = (
        read("sockets: []"),
        read("sockets: []\nconnections: 3\npair: a: 2\njournal: \"/j\""),
    );
    let told: Vec<(String, bool)> = compare(&schema, &before, &after)
        .into_iter()
        .map(|d| (d.path, d.live))
        .collect();
    let expected = [("connections", true), ("journal", false), ("pair.a", false)];
    assert_eq!(told, expected.map(|(path, live)| (path.to_owned(), live)));
}

/// Whole numbers without a point, as they come out.
fn as_numbers(of: &Value) -> Value {
    match of {
        Value::Number(n) => n
            .as_f64()
            .filter(|n| n.fract() == 0.0)
            .map_or(of.clone(), |n| Value::from(n as i64)),
        Value::Array(items) => items.iter().map(as_numbers).collect(),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, of)| (name.clone(), as_numbers(of)))
            .collect(),
        other => other.clone(),
    }
}

fn example() -> String {
    std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/config.json"
    ))
    .expect("a file")
}

#[test]
fn the_daemon_s_own_schema_takes_its_files() {
    let deploy = |name: &str| {
        let path = format!("{}/../../deploy/{name}", env!("CARGO_MANIFEST_DIR"));
        std::fs::read_to_string(path).expect("a file")
    };
    for file in [
        example(),
        deploy("on-registry.json"),
        deploy("with-members.json"),
    ] {
        let read = daemon().check(&file);
        let read = read.unwrap_or_else(|faults| panic!("{}", render("file", &file, &faults)));
        let told: Value = serde_json::from_str(&file).expect("JSON");
        // Nothing of what the platform tells is lost or changed.
        assert_eq!(read.value["settings"], as_numbers(&told["settings"]));
    }
    let consul = example().replacen(
        '{',
        "{\"store\": {\"protocol\": \"consul\", \"address\": \"127.0.0.1:1\", \"lease_s\": 4},",
        1,
    );
    let faults = daemon().check(&consul).expect_err("a short session");
    assert!(faults[0].text.contains(">= 10"), "{faults:?}");
    assert!(DAEMON.contains("#Runtime"));
}

fn valid(told: &Value) -> bool {
    let schema = serde_json::to_value(schema().json_schema()).expect("JSON");
    jsonschema::validator_for(&schema)
        .expect("a JSON schema")
        .is_valid(told)
}

fn value() -> impl Strategy<Value = Value> {
    let socket = prop_oneof![
        Just(json!({"path": "/a", "level": "user"})),
        Just(json!({"path": "/a", "level": "operator", "mode": "640"})),
        Just(json!({"path": "/a", "level": "root"})),
        Just(json!({"address": "127.0.0.1:8000", "level": "user"})),
        Just(json!({"address": 3, "level": "user"})),
        Just(json!({"level": "user", "mode": "9"})),
    ];
    let connections = prop_oneof![
        Just(json!(null)),
        (-2_i64..1200).prop_map(Value::from),
        Just(json!("x"))
    ];
    let mode = prop_oneof![
        Just(json!("fast")),
        Just(json!("safe")),
        Just(json!("odd")),
        Just(json!(null))
    ];
    let other = prop_oneof![9 => Just(None), 1 => Just(Some(1))];
    let sockets = proptest::collection::vec(socket, 0..3);
    (
        sockets,
        connections,
        mode,
        (60_i64..70),
        any::<bool>(),
        other,
    )
        .prop_map(|(sockets, connections, mode, room, pair, other)| {
            let mut told =
                json!({"sockets": sockets, "connections": connections, "mode": mode, "room": room});
            if pair {
                told["pair"] = json!({"a": 4, "b": room % 2 == 0});
            }
            if let Some(other) = other {
                told["other"] = json!(other);
            }
            told
        })
}

proptest! {
    #[test]
    fn the_json_schema_takes_what_the_schema_takes(told in value()) {
        prop_assert_eq!(schema().check(&told.to_string()).is_ok(), valid(&told), "{}", told);
    }

    #[test]
    fn no_text_is_a_crash(text in "[a-c:{}\\[\\]\"0-9.,|&*#@?<>=~ \n/-]{0,80}") {
        let _ = schema().check(&text);
        let _ = Schema::read(&text);
        let faults = schema().check(&text).err().unwrap_or_default();
        render("text", &text, &faults);
    }

    #[test]
    fn any_json_is_read_as_serde_reads_it(words in proptest::collection::vec("[ -~\u{e4}\n]{0,12}", 0..5), n in any::<i32>()) {
        let open = Schema::read("...").expect("a schema");
        let told = json!({"words": words, "n": n, "f": f64::from(n) + 0.25, "deep": {"a b": [null, true, {}]}});
        prop_assert_eq!(open.check(&told.to_string()).expect("JSON").value, told);
    }
}
