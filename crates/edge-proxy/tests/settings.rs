//! The program's own look at its settings file.

use std::process::Command;

#[test]
fn a_settings_file_with_faults_is_refused_before_anything_is_opened() {
    let path = std::env::temp_dir().join(format!(
        "lynxmill-edge-proxy-settings-{}.yaml",
        std::process::id()
    ));
    std::fs::write(&path, "NodeName: edge-1\nServes: [edge]\nIp: 127.0.0.1\n").expect("a file");
    let checked = Command::new(env!("CARGO_BIN_EXE_lynxmill-edge-proxy"))
        .arg("--check")
        .arg("--settings")
        .arg(&path)
        .output();
    let _ = std::fs::remove_file(&path);
    let checked = checked.expect("the program");
    let told = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert_eq!(checked.status.code(), Some(2), "{told}");
    for fault in [
        "Zone is not among Zones",
        "ListenAddrs.Front is missing",
        "SeedNodes names nobody",
    ] {
        assert!(told.contains(fault), "{told}");
    }
}
