//! The command line as a program: what it prints, what it leaves and its exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use rstest::rstest;

/// A folder of a test's own.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("lynxmill-line-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn file(&self, name: &str) -> String {
        self.0.join(name).to_string_lossy().into_owned()
    }

    fn made(&self) -> String {
        let day = self.file("made.day");
        let made = [
            "day",
            "make",
            &day,
            "--seconds",
            "20",
            "--forwarders",
            "3",
            "--servers",
            "4",
            "--slices",
            "12",
        ];
        let made = [made.as_slice(), &["--troubles", "deploy,lost"]].concat();
        assert_eq!(code(&run(&made)), 0);
        day
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lynxmill"));
    command
        .env_remove("RUST_LOG")
        .args(words)
        .output()
        .expect("the program")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_day_is_made_looked_at_played_recorded_and_played_from_its_recording() {
    let folder = Folder::new("whole");
    let (day, recorded, rebuilt) = (
        folder.made(),
        folder.file("recorded.day"),
        folder.file("rebuilt.day"),
    );
    let played = run(&[
        "replay",
        &day,
        "--record",
        &recorded,
        "--tables",
        &folder.file("tables"),
    ]);
    assert_eq!(code(&played), 0, "{}", text(&played.stderr));
    assert!(text(&played.stdout).contains("service"));
    let verified = run(&["day", "verify", &recorded]);
    assert_eq!(code(&verified), 0, "{}", text(&verified.stderr));
    assert_eq!(code(&run(&["day", "rebuild", &recorded, &rebuilt])), 0);
    assert_eq!(code(&run(&["replay", &rebuilt])), 0);
    // A second time it is found and compared.
    let again = run(&["replay", &day, "--tables", &folder.file("tables")]);
    assert!(
        text(&again.stdout).contains("the same as kept"),
        "{}",
        text(&again.stdout)
    );
}

#[test]
fn reports_of_a_sweep_are_written_as_a_list_that_comes_out_alike() {
    let folder = Folder::new("sweep");
    let day = folder.made();
    let sweep = |name: &str| {
        let json = folder.file(name);
        let swept = run(&[
            "replay",
            &day,
            "--set",
            "lease=2,4",
            "--set",
            "retries=0,1",
            "--json",
            &json,
        ]);
        assert_eq!(code(&swept), 0, "{}", text(&swept.stderr));
        std::fs::read_to_string(json).expect("a file")
    };
    let first = sweep("first.json");
    assert_eq!(first, sweep("second.json"));
    let reports: serde_json::Value = serde_json::from_str(&first).expect("JSON");
    assert_eq!(reports.as_array().map(Vec::len), Some(4));
}

#[test]
fn a_setting_that_breaks_a_rule_is_told_and_has_a_code_of_its_own() {
    let folder = Folder::new("broken");
    let day = folder.made();
    let broken = run(&[
        "replay",
        &day,
        "--set",
        "grace=0.05",
        "--set",
        "delay=1",
        "--set",
        "delay_most=2",
    ]);
    assert_eq!(code(&broken), 5, "{}", text(&broken.stdout));
    assert!(text(&broken.stdout).contains("not scored"));
}

#[rstest]
#[case::no_command(&[], 2)]
#[case::no_day(&["replay"], 2)]
#[case::trouble(&["day", "make", "x.day", "--troubles", "rain"], 2)]
#[case::missing(&["replay", "/no/such.day"], 3)]
#[case::setting(&["replay", "/no/such.day", "--set", "gras=1"], 4)]
#[case::empty(&["day", "make", "/no/such/x.day", "--servers", "0"], 4)]
#[case::folder(&["day", "make", "/no/such/x.day"], 1)]
fn what_can_not_be_done_is_told_by_its_code(#[case] words: &[&str], #[case] expected: i32) {
    let output = run(words);
    assert_eq!(code(&output), expected, "{}", text(&output.stderr));
    assert!(!output.stderr.is_empty());
}

#[test]
fn a_damaged_day_is_not_played_but_its_front_can_be_cut_off() {
    let folder = Folder::new("damaged");
    let (day, bad, cut) = (
        folder.made(),
        folder.file("bad.day"),
        folder.file("cut.day"),
    );
    let mut bytes = std::fs::read(&day).expect("a file");
    let at = bytes.len() - 40;
    bytes[at] ^= 4;
    std::fs::write(&bad, bytes).expect("a file");
    assert_eq!(code(&run(&["replay", &bad])), 3);
    assert_eq!(code(&run(&["day", "verify", &bad])), 3);
    assert_eq!(code(&run(&["day", "info", &bad])), 0);
    assert_eq!(code(&run(&["day", "cut", &bad, &cut, "--until", "10"])), 0);
    assert_eq!(code(&run(&["replay", &cut])), 0);
    assert_eq!(
        code(&run(&["day", "cut", &bad, &cut])),
        1,
        "what is there is not overwritten"
    );
    assert!(Path::new(&cut).exists());
}

#[test]
fn the_settings_are_listed_with_their_bounds() {
    let listed = run(&["replay", "--list"]);
    assert_eq!(code(&listed), 0);
    assert!(text(&listed.stdout).contains("grace"));
}

/// A registry with eight slices, all but one in nobody's charge.
fn registry() -> lynxmill_fake_servers::registry::Registry {
    let registry =
        lynxmill_fake_servers::registry::Registry::start(Default::default()).expect("a free port");
    registry.change(|store| {
        for slice in 0..8 {
            let line = format!(
                "{{\"server\":\"s-a\",\"generation\":{},\"stamp\":\"x\"}}",
                slice + 2
            );
            store.put(&format!("lynxmill/slices/{slice:05}/line"), line.as_bytes());
        }
    });
    registry
}

fn at(registry: &lynxmill_fake_servers::registry::Registry, words: &[&str]) -> Output {
    let address = registry.at.to_string();
    run(&[
        &["registry"],
        words,
        &["--address", &address, "--patience", "5"],
    ]
    .concat())
}

fn put(
    registry: &lynxmill_fake_servers::registry::Registry,
    slice: usize,
    server: &str,
    generation: u64,
) {
    let line = format!("{{\"server\":\"{server}\",\"generation\":{generation},\"stamp\":\"y\"}}");
    registry
        .change(|store| store.put(&format!("lynxmill/slices/{slice:05}/line"), line.as_bytes()));
}

fn line_of(registry: &lynxmill_fake_servers::registry::Registry, slice: usize) -> String {
    let store = registry.store();
    let kv = store
        .keys
        .get(&format!("lynxmill/slices/{slice:05}/line"))
        .expect("a line");
    text(&kv.value)
}

#[rstest]
fn what_stands_in_a_registry_is_listed_and_followed(#[values("etcd", "consul")] protocol: &str) {
    let registry = registry();
    let listed = at(&registry, &["list", "--protocol", protocol]);
    assert!(
        text(&listed.stdout).contains("8 slices at revision 8"),
        "{}",
        text(&listed.stdout)
    );
    let one = at(&registry, &["get", "3", "--protocol", protocol]);
    assert!(text(&one.stdout).contains("s-a") && text(&one.stdout).contains("generation 5"));
    assert_eq!(
        code(&at(&registry, &["get", "9", "--protocol", protocol])),
        1
    );
    let watched = at(
        &registry,
        &["watch", "--count", "8", "--protocol", protocol],
    );
    assert_eq!(
        text(&watched.stdout)
            .lines()
            .filter(|line| line.contains(" put "))
            .count(),
        8
    );
}

#[test]
fn a_snapshot_is_restored_but_not_over_newer_lines_nor_where_somebody_is_in_charge() {
    let (folder, registry) = (Folder::new("dump"), registry());
    let file = folder.file("tables.dump");
    assert_eq!(code(&at(&registry, &["dump", &file])), 0);
    assert_eq!(
        code(&at(&registry, &["dump", &file])),
        1,
        "what is there is not overwritten"
    );
    put(&registry, 0, "s-b", 9);
    put(&registry, 1, "s-b", 1);
    put(&registry, 2, "s-b", 1);
    registry.change(|store| {
        store.put(
            "lynxmill/slices/00002/charge",
            b"{\"by\":\"n0\",\"stamp\":\"x\"}",
        )
    });
    let before = registry.store().revision;
    assert_eq!(code(&at(&registry, &["restore", &file, "--dry-run"])), 0);
    assert_eq!(
        registry.store().revision,
        before,
        "a dry run writes nothing"
    );
    let restored = at(&registry, &["restore", &file]);
    assert_eq!(code(&restored), 1, "{}", text(&restored.stdout));
    assert!(
        text(&restored.stdout).contains("1 written, 2 left alone"),
        "{}",
        text(&restored.stdout)
    );
    assert!(line_of(&registry, 0).contains("s-b") && line_of(&registry, 2).contains("s-b"));
    assert!(
        line_of(&registry, 1).contains("s-a") && line_of(&registry, 1).contains("\"generation\":4")
    );
    registry.change(|store| store.delete("lynxmill/slices/00002/charge"));
    assert_eq!(code(&at(&registry, &["restore", &file, "--over-newer"])), 0);
    assert!(
        line_of(&registry, 0).contains("s-a")
            && line_of(&registry, 0).contains("\"generation\":10")
    );
}

#[test]
fn a_damaged_snapshot_is_no_snapshot() {
    let (folder, registry) = (Folder::new("bad-dump"), registry());
    let file = folder.file("tables.dump");
    assert_eq!(code(&at(&registry, &["dump", &file])), 0);
    let bytes = std::fs::read(&file).expect("a file");
    for (at_byte, flip) in [(0, 1), (9, 1), (bytes.len() - 3, 4)] {
        let mut bad = bytes.clone();
        bad[at_byte] ^= flip;
        std::fs::write(folder.file("bad.dump"), bad).expect("a file");
        assert_eq!(
            code(&at(&registry, &["restore", &folder.file("bad.dump")])),
            3
        );
    }
    std::fs::write(folder.file("cut.dump"), &bytes[..30]).expect("a file");
    assert_eq!(
        code(&at(&registry, &["restore", &folder.file("cut.dump")])),
        3
    );
}

#[test]
fn what_is_wrong_in_a_registry_is_told() {
    let registry = registry();
    registry.change(|store| {
        store.put("lynxmill/slices/00001/line", b"{}");
        store.put("lynxmill/odd", b"x");
    });
    let verified = at(&registry, &["verify"]);
    assert_eq!(code(&verified), 1);
    for fault in [
        "slices/00001/line: can't be read",
        "lynxmill/odd: nobody",
        "slice 3: in nobody's charge",
    ] {
        assert!(
            text(&verified.stdout).contains(fault),
            "{fault}: {}",
            text(&verified.stdout)
        );
    }
}

#[test]
fn a_registry_that_is_not_there_is_given_up_with_the_reason() {
    let gone = run(&[
        "registry",
        "list",
        "--address",
        "127.0.0.1:9",
        "--patience",
        "0.5",
    ]);
    assert_eq!(code(&gone), 1);
    assert!(
        text(&gone.stderr).contains("unreachable"),
        "{}",
        text(&gone.stderr)
    );
}

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");

#[test]
fn settings_are_checked_shown_compared_and_told_as_a_schema() {
    let folder = Folder::new("settings");
    let shown = run(&["settings", "show", EXAMPLE]);
    assert_eq!(code(&shown), 0, "{}", text(&shown.stderr));
    let file = folder.file("shown.types");
    let more = "  runtime: sockets: [{path: \"/run/l.sock\", level: \"admin\"}]\n  runtime: line_bytes: 4KiB\n";
    let whole = text(&shown.stdout);
    std::fs::write(
        &file,
        format!("{}{more}}}\n", whole.trim_end().trim_end_matches('}')),
    )
    .expect("a file");
    let right = run(&["settings", "check", EXAMPLE, &file]);
    assert_eq!(
        (code(&right), text(&right.stdout).lines().count()),
        (0, 2),
        "{}",
        text(&right.stderr)
    );
    let json = run(&["settings", "show", "--json", &file]);
    assert!(
        text(&json.stdout).contains("\"line_bytes\": 4096"),
        "{}",
        text(&json.stdout)
    );
    let differ = text(&run(&["settings", "diff", EXAMPLE, &file]).stdout);
    assert!(
        differ.starts_with("runtime: nothing -> ") && differ.contains("(takes a restart)"),
        "{differ}"
    );
    assert_eq!(differ.lines().count(), 1, "{differ}");
    assert!(text(&run(&["settings", "schema"]).stdout).contains("#Runtime"));
    assert!(text(&run(&["settings", "schema", "--json"]).stdout).contains("\"$defs\""));
    std::fs::write(
        &file,
        "seed: 7\nlimits: {memory_mb: 0, sockets: 9\nspeed: 3}\n",
    )
    .expect("a file");
    let wrong = run(&["settings", "check", &file]);
    let told = text(&wrong.stderr);
    assert_eq!(code(&wrong), 4, "{told}");
    for part in [
        "faults",
        ":1:7: `seed`",
        ":2:21: `limits.memory_mb`",
        "`settings`: it is missing",
    ] {
        assert!(told.contains(part), "{part}: {told}");
    }
}

#[test]
fn completions_and_manual_pages_tell_every_command() {
    let folder = Folder::new("man");
    for shell in ["bash", "zsh", "fish"] {
        assert!(text(&run(&["completions", shell]).stdout).contains("registry"));
    }
    assert_eq!(code(&run(&["man", &folder.file("pages")])), 0);
    let page =
        std::fs::read_to_string(folder.0.join("pages/lynxmill-settings-check.1")).expect("a page");
    assert!(page.contains("line and column"), "{page}");
}

#[test]
fn a_deployment_is_tried_and_told_by_second() {
    let folder = Folder::new("try");
    let json = folder.file("told.json");
    let tried = run(&["try", "--seconds", "2", "--rate", "40", "--json", &json]);
    assert_eq!(
        code(&tried),
        0,
        "{}{}",
        text(&tried.stdout),
        text(&tried.stderr)
    );
    let told = text(&tried.stdout);
    assert!(
        told.contains("all five rules held") && told.contains("   1 s "),
        "{told}"
    );
    let told: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(json).expect("a file")).expect("JSON");
    assert!(
        told["service"]
            .as_f64()
            .is_some_and(|service| service > 0.5),
        "{told}"
    );
    let wrong = run(&["try", "--trouble", "fire"]);
    assert!(
        code(&wrong) == 4 && text(&wrong.stderr).contains("deploy"),
        "{}",
        text(&wrong.stderr)
    );
}

#[test]
fn a_forwarder_s_file_is_checked_against_its_own_schema() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/lynxforward.cue");
    assert_eq!(
        code(&run(&["settings", "--of", "lynxforward", "check", file])),
        0
    );
    assert_eq!(code(&run(&["settings", "check", file])), 4);
}

#[test]
fn a_recorded_day_is_counted_over_all_its_assigners() {
    let folder = Folder::new("count");
    let (day, recorded, json) = (
        folder.made(),
        folder.file("recorded.day"),
        folder.file("count.json"),
    );
    let nothing = run(&["day", "count", &day]);
    assert_eq!(code(&nothing), 3, "a made day holds no log");
    assert_eq!(code(&run(&["replay", &day, "--record", &recorded])), 0);
    let counted = run(&["day", "count", &recorded, "--each", "--json", &json]);
    assert_eq!(code(&counted), 0, "{}", text(&counted.stderr));
    let told = text(&counted.stdout);
    assert!(
        told.contains("2 assigners") && told.contains("without an owner"),
        "{told}"
    );
    let json: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(json).expect("written")).expect("JSON");
    let owners = |second: &serde_json::Value| second["counts"]["owners"].as_u64().expect("a count");
    let all: u64 = json["seconds"]
        .as_array()
        .expect("a list")
        .iter()
        .map(owners)
        .sum();
    let moved = json["bare"]
        .as_array()
        .expect("a list")
        .iter()
        .filter(|bare| !bare["to"].is_null())
        .count();
    assert!(
        moved > 0 && all >= 12 + moved as u64,
        "{all} owners, {moved} of them after a shut"
    );
    assert_eq!(
        code(&run(&["day", "count", &recorded, &recorded])),
        3,
        "made days are not merged"
    );
}

#[test]
fn a_hunt_tells_each_day_and_keeps_what_breaks_a_rule() {
    let little = [
        "hunt",
        "--days",
        "3",
        "--forwarders",
        "6",
        "--servers",
        "4",
        "--slices",
        "12",
        "--seconds",
        "15",
    ];
    let little = [little.as_slice(), &["--assigners", "2", "--pace", "1000"]].concat();
    let hunted = run(&little);
    assert_eq!(code(&hunted), 0, "{}", text(&hunted.stderr));
    let told = text(&hunted.stdout);
    assert!(
        told.contains("3 days, rules broken in 0") && told.lines().count() == 4,
        "{told}"
    );
    // A channel that carries next to nothing breaks its limits, whatever the assigner does.
    let folder = Folder::new("hunt");
    let keep = folder.file("kept");
    let narrow = [little.as_slice(), &["--pace", "2", "--keep", &keep]].concat();
    assert_eq!(code(&run(&narrow)), 2, "--pace is given twice");
    let narrow: Vec<&str> = narrow
        .iter()
        .copied()
        .filter(|word| *word != "1000")
        .collect();
    let at = narrow
        .iter()
        .position(|word| *word == "--pace")
        .expect("there");
    let narrow = [&narrow[..at], &narrow[at + 1..]].concat();
    let broken = run(&narrow);
    assert_eq!(code(&broken), 5, "{}", text(&broken.stdout));
    let kept = std::fs::read_dir(folder.file("kept"))
        .expect("a folder")
        .flatten()
        .next()
        .expect("a day");
    let again = run(&["replay", &kept.path().to_string_lossy()]);
    assert_eq!(code(&again), 5, "{}", text(&again.stdout));
    assert_eq!(code(&run(&["hunt", "--load", "0"])), 4);
}

/// Keys from their making to their end; a secret is in its own file alone.
#[test]
fn keys_are_made_shown_rotated_and_revoked() {
    let folder = Folder::new("keys");
    // Names that differ in their endings alone.
    let (secret, trust) = (folder.file("n0"), folder.file("n0.trust"));
    let of = ["--secret", &secret, "--name", "n0", "--trust", &trust];
    let keys = |words: &[&str]| run(&[&["keys"], words].concat());
    let done = |words: &[&str]| {
        let output = keys(words);
        assert_eq!(code(&output), 0, "{words:?}: {}", text(&output.stderr));
        text(&output.stdout).trim().to_owned()
    };
    let line = done(&[&["new"], of.as_slice()].concat());
    let written = std::fs::read_to_string(&secret).expect("a secret");
    assert!(line.starts_with("n0 ") && !line.contains(written.trim()));
    assert_eq!(done(&["show", "--trust", &trust]), line);
    assert_eq!(format!("n0 {}", done(&["show", "--secret", &secret])), line);
    assert_eq!(
        code(&keys(&[&["new"], of.as_slice()].concat())),
        1,
        "a key is never overwritten"
    );
    // Both are trusted until the old one is taken out.
    let next = done(&[&["rotate"], of.as_slice()].concat());
    assert_eq!(
        done(&["show", "--trust", &trust]),
        format!("{line}\n{next}")
    );
    assert_eq!(
        format!("n0 {}", done(&["show", "--secret", &secret])),
        line,
        "not in use yet"
    );
    done(&[&["rotate", "--finish"], of.as_slice()].concat());
    assert_eq!(format!("n0 {}", done(&["show", "--secret", &secret])), next);
    let old = line.trim_start_matches("n0 ");
    done(&["revoke", "--trust", &trust, "--name", "n0", "--key", old]);
    assert_eq!(done(&["show", "--trust", &trust]), next);
    // What can't be is told in one line.
    let refused = |words: &[&str], why: &str| {
        let output = keys(words);
        let told = text(&output.stderr);
        assert_eq!((code(&output), told.lines().count()), (1, 1), "{told}");
        assert!(told.contains(why), "{told}");
    };
    refused(
        &["revoke", "--trust", &trust, "--name", "n0", "--key", old],
        "no such key of n0",
    );
    refused(
        &["revoke", "--trust", &trust, "--name", "n0", "--key", "12"],
        "64 hexadecimal digits",
    );
    refused(
        &["new", "--secret", &folder.file("x"), "--name", "a b"],
        "can be no name",
    );
    refused(&["show", "--trust", &folder.file("none")], "No such file");
    done(&[&["rotate"], &of[..4]].concat());
    refused(
        &[&["rotate", "--finish"], of.as_slice()].concat(),
        "is not trusted there yet",
    );
    std::fs::write(&trust, "n0\n").expect("written");
    refused(
        &["show", "--trust", &trust],
        "n0.trust:1: expected NAME KEY",
    );
}

#[test]
fn members_of_an_assigner_that_is_not_there_are_told_as_such() {
    let output = run(&[
        "members",
        "list",
        "--address",
        "127.0.0.1:1",
        "--patience",
        "0.2",
    ]);
    assert_eq!(code(&output), 1);
    assert!(text(&output.stderr).contains("the assigner said nothing"));
}

#[test]
fn the_words_of_the_whole_system_end_with_codes_of_their_own() {
    let folder = Folder::new("system");
    let (deploy, first, next) = (
        folder.file("deploy.toml"),
        folder.file("first.json"),
        folder.file("next.json"),
    );
    let write = |path: &str, text: &str| std::fs::write(path, text).expect("a file");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/system.toml");
    assert_eq!(code(&run(&["system", "check", &root.to_string_lossy()])), 0);
    write(
        &deploy,
        "build = \"\"\n[roles.gate]\nrun = \"sh gate\"\non = \"edge\"\nshare = 2\nserves = [\"edge\"]\n",
    );
    let checked = run(&["system", "check", &deploy]);
    // The build, the helper, the share, and two that nobody serves.
    assert_eq!(
        (code(&checked), text(&checked.stdout).lines().count()),
        (4, 5),
        "{}",
        text(&checked.stdout)
    );
    write(
        &first,
        r#"{"Services": [{"Name": "mill", "Version": "00000001"}]}"#,
    );
    write(
        &next,
        r#"{"Upsert": {"Services": [{"Name": "mill", "MaxConns": 5, "Version": "00000002"}]}}"#,
    );
    let planned = run(&["system", "plan", &first, &next]);
    assert_eq!(code(&planned), 0, "{}", text(&planned.stderr));
    assert!(text(&planned.stdout).contains("service mill: version 00000001 -> 00000002"));
    write(
        &next,
        r#"{"Upsert": {"Routes": [{"Name": "r", "Version": "1"}]}}"#,
    );
    assert_eq!(code(&run(&["system", "plan", &first, &next])), 6);
    assert_eq!(code(&run(&["system", "plan", "nowhere", &next])), 1);
    assert_eq!(
        code(&run(&["system", "try", "--programs", &folder.file("none")])),
        1
    );
    assert_eq!(code(&run(&["system", "no-such-word"])), 2);
    assert_eq!(code(&run(&["system", "--help"])), 0);
}
