//! What the inspection of a disk tells, and that it leaves the disk alone.

use std::path::{Path, PathBuf};

use lynxmill_configuration::Item;
use lynxmill_protocol::{
    Ballot, Change, Membership, PendingChanges, Register, ShardTable, Slice, Task,
};
use lynxmill_storage::inspect::{
    CHANGES_REGISTER, DiskExport, FILE_NAME, InspectError, MEMBERSHIP_REGISTER, RegisterValue,
    inspect, verify,
};
use lynxmill_storage::{Batch, FORMAT_VERSION, Store};
use prost::Message;

const FACTS: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("facts");
const ITEMS: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("items");

fn evacuation(zone: &str, version: u64) -> Item {
    Item {
        key: format!("e/{zone}"),
        version,
        dropped: false,
        ..Item::default()
    }
}

fn register(name: &str, count: u64, value: Vec<u8>) -> Register {
    let ballot = Ballot {
        count,
        node: 167_772_161,
        incarnation: 5,
    };
    let promised = Ballot {
        count: count + 1,
        ..ballot
    };
    Register {
        name: name.to_owned(),
        promised,
        accepted: ballot,
        value,
    }
}

fn members(epoch: u64) -> Membership {
    Membership {
        epoch,
        ips: (1..=3).map(|n| format!("10.0.0.{n}")).collect(),
    }
}

/// A disk as a member has it at work.
fn batch() -> Batch {
    let change = |number, zone: &str| Change {
        number,
        items: vec![evacuation(zone, number)],
    };
    let calls = PendingChanges {
        last_number: 7,
        changes: vec![change(6, "south"), change(7, "west")],
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
        owner: "10.0.0.2".to_owned(),
        slices,
    };
    Batch {
        items: vec![evacuation("north", 2), evacuation("south", 6)],
        registers: vec![
            register(CHANGES_REGISTER, 40, calls.encode_to_vec()),
            register(MEMBERSHIP_REGISTER, 3, members(4).encode_to_vec()),
            register("berth/sorter", 12, table.encode_to_vec()),
            register("of a later program", 2, vec![1, 2, 255]),
            Register {
                name: "berth/only-promised".to_owned(),
                promised: Ballot {
                    count: 9,
                    node: 1,
                    incarnation: 1,
                },
                ..Register::default()
            },
        ],
        members: Some(members(4)),
        tasks: vec![Task {
            id: "i-4".to_owned(),
            call_seq: 77,
            ..Task::default()
        }],
        merged: Some(6),
        is_voter: Some(true),
        ..Batch::default()
    }
}

struct Disk {
    _folder: tempfile::TempDir,
    path: PathBuf,
}

impl Disk {
    fn of(batches: &[Batch]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join(FILE_NAME);
        let (store, _) = Store::open(&path).unwrap();
        batches
            .iter()
            .for_each(|batch| store.write(batch.clone()).unwrap());
        Disk {
            _folder: folder,
            path,
        }
    }

    fn put(&self, table: redb::TableDefinition<&str, &[u8]>, key: &str, value: &[u8]) {
        let file = redb::Database::open(&self.path).unwrap();
        let write = file.begin_write().unwrap();
        write.open_table(table).unwrap().insert(key, value).unwrap();
        write.commit().unwrap();
    }

    /// All faults and remarks, a line each.
    fn lines(&self) -> Vec<String> {
        let found = inspect(&self.path).unwrap();
        let all = found.faults.into_iter().chain(verify(&found.export));
        all.map(|finding| {
            format!(
                "{}: {}",
                if finding.is_fault { "fault" } else { "remark" },
                finding.text
            )
        })
        .collect()
    }
}

/// Reads a file and sees to it that it is not changed by that.
fn untouched(path: &Path) -> Result<DiskExport, InspectError> {
    let before = std::fs::read(path).unwrap();
    let found = inspect(path);
    assert_eq!(std::fs::read(path).unwrap(), before, "the file was changed");
    found.map(|found| {
        assert_eq!(found.faults, [], "rows can't be read");
        found.export
    })
}

#[test]
fn an_export_holds_every_row_and_gives_it_back() {
    let disk = Disk::of(&[batch()]);
    let export = untouched(&disk.path).unwrap();
    assert_eq!(verify(&export), []);
    let text = serde_json::to_string(&export).unwrap();
    let back: DiskExport = serde_json::from_str(&text).unwrap();
    assert_eq!(back, export);
    let wanted = batch();
    assert_eq!(
        back.items.iter().map(Item::from).collect::<Vec<_>>(),
        wanted.items
    );
    assert_eq!(
        back.tasks.iter().map(Task::from).collect::<Vec<_>>(),
        wanted.tasks
    );
    assert_eq!(Some(Membership::from(&back.membership)), wanted.members);
    assert_eq!(
        (back.merged, back.is_voter, back.format),
        (6, true, FORMAT_VERSION)
    );
    let mut registers = wanted.registers;
    registers.sort_by(|one, other| one.name.cmp(&other.name));
    assert_eq!(
        back.registers
            .iter()
            .map(Register::from)
            .collect::<Vec<_>>(),
        registers
    );
    let is_typed = |name: &str| {
        let found = back
            .registers
            .iter()
            .find(|register| register.name == name)
            .unwrap();
        !matches!(found.value, RegisterValue::Bytes(_))
    };
    assert!(
        [CHANGES_REGISTER, MEMBERSHIP_REGISTER, "berth/sorter"]
            .into_iter()
            .all(is_typed)
    );
}

#[test]
fn a_disk_in_use_and_one_that_nobody_ended_are_read_and_left_alone() {
    let disk = Disk::of(&[]);
    let (store, _) = Store::open(&disk.path).unwrap();
    store.write(batch()).unwrap();
    let in_use = untouched(&disk.path).unwrap();
    assert_eq!(in_use.items.len(), 2);
    // As a crash leaves it: never ended in order.
    let crashed = disk.path.with_extension("crashed");
    std::fs::copy(&disk.path, &crashed).unwrap();
    assert_eq!(untouched(&crashed).unwrap(), in_use);
}

#[test]
fn a_torn_copy_is_read_in_full_or_refused_and_never_changed() {
    let disk = Disk::of(&[batch()]);
    let whole = std::fs::read(&disk.path).unwrap();
    let export = untouched(&disk.path).unwrap();
    let torn = disk.path.with_extension("torn");
    let (mut refused, mut told) = (0, 0);
    let cuts = (0..whole.len())
        .step_by(whole.len() / 40)
        .map(|cut| whole[..cut].to_vec());
    let garbled = (0..whole.len()).step_by(whole.len() / 80).map(|at| {
        let mut garbled = whole.clone();
        let until = (at + 700).min(whole.len());
        garbled[at..until].iter_mut().for_each(|byte| *byte ^= 0x5a);
        garbled
    });
    for bytes in cuts.chain(garbled) {
        std::fs::write(&torn, &bytes).unwrap();
        match inspect(&torn) {
            Err(fault) => {
                refused += 1;
                assert!(!fault.to_string().contains('\n'), "{fault}");
            }
            Ok(found) if found.faults.is_empty() => assert_eq!(found.export, export),
            Ok(_) => told += 1,
        }
        assert_eq!(std::fs::read(&torn).unwrap(), bytes, "the file was changed");
    }
    assert!(refused > 0, "{refused} refused, {told} with faults");
    std::fs::write(&torn, "not a store ".repeat(1000)).unwrap();
    assert!(matches!(inspect(&torn), Err(InspectError::Unreadable(_))));
    assert!(matches!(
        inspect(&disk.path.with_extension("none")),
        Err(InspectError::Copy(_))
    ));
}

#[test]
fn a_newer_format_is_refused_in_one_line() {
    let disk = Disk::of(&[batch()]);
    disk.put(FACTS, "format", &(FORMAT_VERSION + 1).to_be_bytes());
    let fault = untouched(&disk.path).unwrap_err();
    assert_eq!(
        fault.to_string(),
        format!(
            "the file is of format {}, this program reads up to {FORMAT_VERSION}",
            FORMAT_VERSION + 1
        )
    );
}

#[test]
fn rows_that_cannot_be_read_are_told_and_left_out() {
    let disk = Disk::of(&[batch()]);
    disk.put(ITEMS, "e/torn", &[255, 255, 255]);
    disk.put(ITEMS, "e/other", &evacuation("else", 3).encode_to_vec());
    disk.put(FACTS, "merged", &[1, 2]);
    disk.put(FACTS, "counts", &2u64.to_be_bytes());
    disk.put(FACTS, "of a later program", &[7]);
    let found = inspect(&disk.path).unwrap();
    let lines: Vec<&str> = found
        .faults
        .iter()
        .map(|fault| fault.text.as_str())
        .collect();
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert!(
        lines.contains(&"table items, row e/other: it holds e/else"),
        "{lines:?}"
    );
    assert!(
        lines.contains(&"table facts, row merged: it is no number of eight bytes"),
        "{lines:?}"
    );
    assert!(
        lines.contains(&"table facts, row counts: 2 is neither 0 nor 1"),
        "{lines:?}"
    );
    assert!(
        lines
            .iter()
            .any(|line| line.starts_with("table items, row e/torn: ")),
        "{lines:?}"
    );
    assert_eq!(found.export.items.len(), 2);
    assert_eq!(found.export.other_facts["of a later program"], "07");
}

/// The whole disk, and one change of it that is to be told by one line.
fn told(change: impl Fn(&mut Batch), line: &str) {
    let mut batch = batch();
    change(&mut batch);
    assert_eq!(Disk::of(&[batch]).lines(), [line]);
}

fn table(change: impl Fn(&mut ShardTable)) -> impl Fn(&mut Batch) {
    move |batch| {
        let register = &mut batch.registers[2];
        let mut table = ShardTable::decode(register.value.as_slice()).unwrap();
        change(&mut table);
        register.value = table.encode_to_vec();
    }
}

fn calls(change: impl Fn(&mut PendingChanges)) -> impl Fn(&mut Batch) {
    move |batch| {
        let register = &mut batch.registers[0];
        let mut calls = PendingChanges::decode(register.value.as_slice()).unwrap();
        change(&mut calls);
        register.value = calls.encode_to_vec();
    }
}

#[test]
fn each_fault_of_members_and_ballots_is_one_line() {
    told(
        |batch| batch.members.as_mut().unwrap().ips[1] = "core-2".to_owned(),
        "fault: membership: core-2 is no IPv4 address",
    );
    told(
        |batch| batch.members.as_mut().unwrap().ips[1] = "10.0.0.1".to_owned(),
        "fault: membership: an address stands more than once",
    );
    told(
        |batch| batch.members.as_mut().unwrap().epoch = 2,
        "fault: register members: epoch 4 leaves one out",
    );
    told(
        |batch| batch.registers[3].accepted.count = 9,
        "fault: register of a later program: accepted a higher ballot than it promised",
    );
    told(
        |batch| batch.registers[3].accepted = Ballot::default(),
        "fault: register of a later program: a value, but no ballot was accepted",
    );
    told(
        |batch| batch.registers[0].value = vec![255],
        "fault: register calls: its value can't be read in full",
    );
}

#[test]
fn each_fault_of_items_tasks_and_slices_is_one_line() {
    told(
        |batch| batch.items[0].key = "x/north".to_owned(),
        "fault: item x/north: neither route, service, limits, evacuation nor rollouts",
    );
    told(
        |batch| batch.items[0].version = 0,
        "fault: item e/north: an evacuation in version 0",
    );
    told(
        |batch| batch.tasks[0].state = 9,
        "fault: task i-4: state 9 is not known",
    );
    told(
        table(|table| table.slices[1].from = 30_000),
        "fault: register berth/sorter: slice 30000 to 65535 after 30001",
    );
    told(
        table(|table| table.slices[1].to = 65_000),
        "fault: register berth/sorter: slices end before 65001, not at 65535",
    );
    told(
        table(|table| table.slices[1].generation = 0),
        "fault: register berth/sorter: slice 30001 is owned in generation 0",
    );
    told(
        table(|table| table.term = 0),
        "fault: register berth/sorter: term 0",
    );
}

#[test]
fn bodies_are_read_and_have_to_go_together() {
    let route = |name: &str, service: &str| {
        let body = serde_json::json!({
            "Name": name, "Host": "a", "PathPrefix": "/", "RouteKind": "idempotent", "TimeoutS": 1.0,
            "TargetS": 1.0, "Priority": 1, "Service": service, "MaxAttempts": 1, "HomeRegions": [],
        });
        Item {
            key: "r/one".to_owned(),
            version: 1,
            dropped: false,
            body: body.to_string(),
            ..Item::default()
        }
    };
    told(
        |batch| batch.items.push(route("one", "nobody")),
        "fault: configuration: route one names service nobody, which is not known",
    );
    let disk = Disk::of(&[Batch {
        items: vec![route("other", "nobody")],
        ..batch()
    }]);
    assert!(
        disk.lines()
            .contains(&"fault: item r/one: its body is of other".to_owned()),
        "{:?}",
        disk.lines()
    );
}

#[test]
fn merged_and_the_pending_changes_have_to_fit_together() {
    told(
        calls(|calls| calls.last_number = 9),
        "fault: register calls: changes 6, 7 don't lead one by one to 9",
    );
    told(
        calls(|calls| calls.changes[0].number = 5),
        "fault: register calls: changes 5, 7 don't lead one by one to 7",
    );
    told(
        |batch| batch.merged = Some(3),
        "remark: changes 4 to 5 are missing here: it had fallen behind",
    );
    told(
        |batch| batch.items[1].version = 5,
        "remark: change 6 counts as merged, yet e/south is not in version 00000006: lost, or overtaken",
    );
    told(
        |batch| batch.items[1].dropped = true,
        "remark: change 6 has e/south in version 00000006 with other content than is held",
    );
}
