//! A disk that the first release wrote, with something in every table: the present version reads all of it.

use std::path::Path;

use lynxmill_configuration::{Item, TakenVersion};
use lynxmill_protocol::{
    Ballot, Change, Membership, PendingChanges, Register, ShardTable, Slice, Task, TaskState,
};
use lynxmill_storage::{Batch, Store};
use prost::Message;

/// A member's disk in the middle of a snapshot: items beyond the last change that is merged are there.
const DISK: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/disk.redb");

fn text(text: &str) -> String {
    text.to_owned()
}

fn item(key: &str, version: u64, dropped: bool, body: &str) -> Item {
    let history = vec![
        TakenVersion {
            version,
            content: 11,
        },
        TakenVersion {
            version: version - 1,
            content: 12,
        },
    ];
    Item {
        key: text(key),
        version,
        dropped,
        body: text(body),
        history,
    }
}

fn register(name: &str, count: u64, value: Vec<u8>) -> Register {
    let accepted = Ballot {
        count,
        node: 167_772_161,
        incarnation: 5,
    };
    Register {
        name: text(name),
        promised: Ballot {
            count: count + 1,
            ..accepted
        },
        accepted,
        value,
    }
}

fn members(epoch: u64) -> Membership {
    Membership {
        epoch,
        ips: (1..=3).map(|n| format!("10.0.0.{n}")).collect(),
    }
}

fn batch() -> Batch {
    let change = Change {
        number: 7,
        items: vec![item("r/late", 3, false, r#"{"Host":"c"}"#)],
    };
    let calls = PendingChanges {
        last_number: 7,
        changes: vec![change],
    };
    let slice = |from, to, generation| Slice {
        from,
        to,
        owner: format!("i-{generation}"),
        generation,
    };
    let slices = vec![slice(0, 30_000, 4), slice(30_001, 65_535, 9)];
    let table = ShardTable {
        term: 3,
        owner: text("10.0.0.2"),
        slices,
    };
    let task = Task {
        id: text("i-4"),
        service: text("keys"),
        address: text("10.1.0.9:8080"),
        zone: text("north"),
        slots: 12,
        state: TaskState::Draining as i32,
        call_seq: 41,
        warm_up_left_ms: 900,
        timed_out: true,
        version: text("v3"),
    };
    Batch {
        items: vec![
            item("e/north", 2, true, ""),
            item("l/", 4, false, r#"{"MaxBodyBytes":1000}"#),
            item("r/search", 9, false, r#"{"Host":"a","Prefix":"/"}"#),
            item("s/keys", 5, false, r#"{"Name":"keys","Sharded":true}"#),
        ],
        registers: vec![
            register("berth/keys", 8, table.encode_to_vec()),
            register("calls", 12, calls.encode_to_vec()),
            register("members", 3, members(5).encode_to_vec()),
        ],
        members: Some(members(4)),
        merged: Some(6),
        is_voter: Some(true),
        tasks: vec![task],
        removed_tasks: Vec::new(),
    }
}

#[test]
fn a_disk_of_the_first_release_is_read_in_full() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("disk");
    std::fs::copy(Path::new(DISK), &path).expect("a copy of the disk");
    let (_store, held) = Store::open(&path).expect("a disk that can be read");
    let written = batch();
    let items: Vec<Item> = held.configuration.items.into_values().collect();
    assert_eq!(items, written.items);
    assert_eq!(held.registers, written.registers);
    assert_eq!(Some(held.members), written.members);
    assert_eq!(held.tasks, written.tasks);
    assert_eq!(
        (Some(held.merged), Some(held.is_voter)),
        (written.merged, written.is_voter)
    );
}
