//! `lynxmill system disk` as operators run it: exit codes, and what is written and what is not.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use lynxmill_configuration::Item;
use lynxmill_operator::disk::summary;
use lynxmill_operator::run;
use lynxmill_protocol::{Ballot, Change, Membership, PendingChanges, Register};
use lynxmill_storage::inspect::{EPOCH_STEP, FILE_NAME, inspect};
use lynxmill_storage::{Batch, Store};
use prost::Message;

const DONE: u8 = 0;
const FAILED: u8 = 1;
const FAULTS: u8 = 4;
const LOSS_NOT_ACCEPTED: u8 = 8;

fn item(zone: &str, version: u64) -> Item {
    Item {
        key: format!("e/{zone}"),
        version,
        dropped: false,
        ..Item::default()
    }
}

/// A member's disk that has merged changes up to one, and accepted the next.
fn disk(folder: &Path, merged: u64) -> PathBuf {
    std::fs::create_dir_all(folder).unwrap();
    let next = Change {
        number: merged + 1,
        items: vec![item("west", merged + 1)],
    };
    let value = PendingChanges {
        last_number: merged + 1,
        changes: vec![next],
    }
    .encode_to_vec();
    let ballot = Ballot {
        count: merged,
        node: 167_772_162,
        incarnation: 3,
    };
    let calls = Register {
        name: "calls".to_owned(),
        promised: ballot,
        accepted: ballot,
        value,
    };
    let ips = (1..=3).map(|n| format!("10.0.0.{n}")).collect();
    let batch = Batch {
        items: vec![item("north", merged)],
        registers: vec![calls],
        members: Some(Membership { epoch: 3, ips }),
        merged: Some(merged),
        is_voter: Some(true),
        ..Batch::default()
    };
    let path = folder.join(FILE_NAME);
    Store::open(&path).unwrap().0.write(batch).unwrap();
    path
}

fn code(words: &[&dyn AsRef<std::ffi::OsStr>]) -> u8 {
    let words = words.iter().map(|word| word.as_ref().to_owned());
    run(std::iter::once(OsString::from("disk"))
        .chain(words)
        .collect())
}

fn import(exports: [&Path; 2], to: &Path, more: &[&dyn AsRef<std::ffi::OsStr>]) -> u8 {
    let members = "10.0.0.1,10.0.0.2,10.0.0.4";
    let mut words: Vec<&dyn AsRef<std::ffi::OsStr>> = vec![
        &"import",
        &"--from",
        &exports[0],
        &"--from",
        &exports[1],
        &"--node",
        &"10.0.0.4",
        &"--members",
        &members,
        &"--to",
        &to,
    ];
    words.extend_from_slice(more);
    code(&words)
}

#[test]
fn a_new_disk_is_made_of_two_exports_only_if_the_loss_is_accepted() {
    let place = tempfile::tempdir().unwrap();
    let path = |name: &str| place.path().join(name);
    let (one, two) = (disk(&path("one"), 4), disk(&path("two"), 9));
    let before = [std::fs::read(&one).unwrap(), std::fs::read(&two).unwrap()];
    // The file, or its folder.
    assert_eq!(code(&[&"export", &one, &"--to", &path("one.json")]), DONE);
    assert_eq!(
        code(&[&"export", &path("two"), &"--to", &path("two.json")]),
        DONE
    );
    let exports = [&*path("one.json"), &*path("two.json")];
    assert_eq!(import(exports, &path("new"), &[]), LOSS_NOT_ACCEPTED);
    assert!(!path("new").exists(), "nothing was to be written");
    assert_eq!(import(exports, &path("new"), &[&"--accept-loss"]), DONE);
    let export = inspect(&path("new").join(FILE_NAME)).unwrap().export;
    assert_eq!(export.membership.epoch, 3 + EPOCH_STEP);
    assert_eq!(
        export.membership.addresses,
        ["10.0.0.1", "10.0.0.2", "10.0.0.4"]
    );
    let keys: Vec<&str> = export.items.iter().map(|item| item.key.as_str()).collect();
    assert_eq!(keys, ["e/north", "e/west"]);
    assert_eq!(code(&[&"verify", &path("new")]), DONE);
    assert_eq!(code(&[&"show", &path("new")]), DONE);
    // A folder in use is left alone.
    let made = std::fs::read(path("new").join(FILE_NAME)).unwrap();
    assert_eq!(import(exports, &path("new"), &[&"--accept-loss"]), FAILED);
    assert_eq!(std::fs::read(path("new").join(FILE_NAME)).unwrap(), made);
    assert_eq!(
        [std::fs::read(&one).unwrap(), std::fs::read(&two).unwrap()],
        before,
        "the sources stay"
    );
}

#[test]
fn what_cannot_be_read_fails_and_what_is_wrong_is_told() {
    let place = tempfile::tempdir().unwrap();
    let path = disk(place.path(), 4);
    assert_eq!(code(&[&"verify", &path]), DONE);
    assert_eq!(code(&[&"show", &place.path().join("none")]), FAILED);
    let text = place.path().join("text");
    std::fs::write(&text, "not a disk").unwrap();
    assert_eq!(code(&[&"verify", &text]), FAILED);
    assert_eq!(
        import(
            [&text, &text],
            &place.path().join("new"),
            &[&"--accept-loss"]
        ),
        FAILED
    );
    assert!(!place.path().join("new").exists());
    let nobody = Membership {
        epoch: 3,
        ips: vec!["nobody".to_owned()],
    };
    Store::open(&path)
        .unwrap()
        .0
        .write(Batch {
            members: Some(nobody),
            ..Batch::default()
        })
        .unwrap();
    assert_eq!(code(&[&"verify", &path]), FAULTS);
}

#[test]
fn a_summary_tells_members_votes_changes_and_ballots() {
    let place = tempfile::tempdir().unwrap();
    let export = inspect(&disk(place.path(), 4)).unwrap().export;
    assert_eq!(
        summary(&export),
        [
            "format 1",
            "members in epoch 3: 10.0.0.1 10.0.0.2 10.0.0.3",
            "votes: yes",
            "merged up to change 4",
            "1 items, 0 of them dropped",
            "1 registers",
            "0 tasks",
            "register calls: promised 4 by 10.0.0.2 life 3; accepted 4 by 10.0.0.2 life 3; last change 5, 1 \
             still to be merged",
        ]
    );
}
