//! The settings file of a program: found, read, checked, and what is told if it can't be.

use std::path::PathBuf;

use lynxmill_startup::{SETTINGS_VARIABLE, StartError, begin, read_settings, settings_path};

const SETTINGS: &str = r#"
NodeName: core-1
Serves: [control]
Ip: 127.0.0.1
Zone: north
Zones: {north: vale}
ListenAddrs: {Control: "127.0.0.1:8146"}
InternalPorts: [7660, 7675]
SeedNodes: ["127.0.0.1:8146"]
BeatIntervalS: 1.5
"#;

const CHILD: &str = "SETTINGS_TEST_CHILD";

#[test]
fn sound_settings_are_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("node.yaml");
    std::fs::write(&path, SETTINGS).expect("written");
    assert_eq!(read_settings(&path).expect("settings").node_name, "core-1");
}

#[test]
fn each_reason_is_one_line_with_the_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("node.yaml");
    let missing = read_settings(&path).expect_err("there is no file");
    assert!(matches!(missing, StartError::Unreadable(..)));
    assert!(
        missing
            .to_string()
            .starts_with(&format!("{}: ", path.display())),
        "{missing}"
    );
    std::fs::write(&path, SETTINGS.replace("Zone: north", "Zone: west")).expect("written");
    let invalid = read_settings(&path).expect_err("its zone is not known");
    assert_eq!(
        invalid.to_string(),
        format!("{}: Zone is not among Zones", path.display())
    );
}

/// Run as a process of its own by the test below: what the environment names depends on it.
#[test]
fn the_command_line_comes_before_the_environment() {
    if std::env::var_os(CHILD).is_some() {
        let named = PathBuf::from("named.yaml");
        assert_eq!(settings_path(Some(named.clone())).expect("a path"), named);
        match settings_path(None) {
            Ok(path) => println!("path {}", path.display()),
            Err(fault) => println!("fault {fault}"),
        }
        return;
    }
    let run = |variable: Option<&str>| {
        let mut child = std::process::Command::new(std::env::current_exe().expect("this test"));
        child.args([
            "--exact",
            "--nocapture",
            "the_command_line_comes_before_the_environment",
        ]);
        child
            .env(CHILD, "1")
            .env_remove(SETTINGS_VARIABLE)
            .envs(variable.map(|v| (SETTINGS_VARIABLE, v)));
        let ran = child.output().expect("it runs");
        assert!(ran.status.success(), "{ran:?}");
        String::from_utf8(ran.stdout).expect("text")
    };
    assert!(run(Some("other.yaml")).contains("path other.yaml"));
    let none = run(None);
    assert!(
        none.contains("fault no settings file: name it by --settings or LYNXMILL_NODE_FILE"),
        "{none}"
    );
}

#[test]
fn a_check_ends_the_program_with_a_line() {
    if std::env::var_os(CHILD).is_some() {
        let settings = lynxmill_configuration::parse(SETTINGS).expect("settings");
        begin(&settings, true).expect("it ends before");
        unreachable!("a check ends the program");
    }
    let mut child = std::process::Command::new(std::env::current_exe().expect("this test"));
    child
        .args([
            "--exact",
            "--nocapture",
            "a_check_ends_the_program_with_a_line",
        ])
        .env(CHILD, "1");
    let ran = child.output().expect("it runs");
    let said = String::from_utf8_lossy(&ran.stdout);
    assert!(
        ran.status.success() && said.contains("the settings of core-1 are in order"),
        "{ran:?}"
    );
}
