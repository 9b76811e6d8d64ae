//! A majority of the disks lost for good, with real processes on loopback: the tool's commands, one after the
//! other, as docs/on-call.md has them. The programs are taken from where a test of the workspace builds them.

use std::path::PathBuf;
use std::time::Duration;

use lynxmill_operator::disk::{DiskOutcome, check, export, import};
use lynxmill_operator::{Deployment, Machine, Task, configuration, get, tasks};
use lynxmill_storage::inspect::{
    EPOCH_STEP, FENCE_STEP, FILE_NAME, RecoveryRequest, RegisterValue, inspect,
};
use serde_json::Value;

const PATIENCE: Duration = Duration::from_secs(30);
const MEMBERS: usize = 3;
const KEYS: usize = 65_536;

fn programs() -> PathBuf {
    let test = std::env::current_exe().expect("this test");
    let folder = test
        .parent()
        .and_then(|deps| deps.parent())
        .expect("the folder of programs")
        .to_owned();
    for name in ["lynxmill-control-plane", "lynxmill-edge-proxy"] {
        assert!(
            folder.join(name).is_file(),
            "no {name}: `cargo build -p {name}`, or test the whole workspace"
        );
    }
    folder
}

fn read_back(control: &str) -> Option<Value> {
    get(control, "/v1/configuration")
        .ok()
        .filter(|answer| answer.status == 200)?
        .json()
        .ok()
}

fn all_read_back(system: &mut Deployment, wanted: &Value) {
    let controls = system.controls();
    let holds = || {
        controls
            .iter()
            .all(|at| read_back(at).as_ref() == Some(wanted))
    };
    system
        .wait("all read back the same", PATIENCE, holds)
        .expect("read back");
}

fn every_key_has_an_owner(system: &mut Deployment, tasks: &[Task], fence: u64) {
    let holds = || {
        tasks
            .iter()
            .map(|task| task.keys_from(fence))
            .sum::<usize>()
            == KEYS
    };
    system
        .wait("each key has one owner", PATIENCE, holds)
        .expect("owners");
}

/// A route like the first of the configuration, at another path.
fn later() -> Value {
    let mut route = configuration()["Upsert"]["Routes"][0].clone();
    (route["Name"], route["PathPrefix"]) = ("r-later".into(), "/later/".into());
    serde_json::json!({"Upsert": {"Routes": [route]}})
}

#[test]
fn a_majority_of_the_disks_lost_for_good_is_recovered_from_the_one_that_is_left() {
    let mut system = Deployment::start(&programs()).expect("the system starts");
    let tasks = tasks(&system).expect("tasks start");
    let (_, answer) = system
        .configure(&configuration(), PATIENCE)
        .expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    system.wait_ready(PATIENCE).expect("edges are ready");
    every_key_has_an_owner(&mut system, &tasks, 1);
    let controls = system.controls();
    let wanted = read_back(&controls[0]).expect("it reads back");
    all_read_back(&mut system, &wanted);

    (0..MEMBERS).for_each(|n| system.kill(Machine::Member(n)));
    (1..MEMBERS)
        .for_each(|n| std::fs::remove_dir_all(system.data_folder(n)).expect("the disk is lost"));
    let (left, exported) = (system.data_folder(0), system.folder.join("core-1.json"));
    assert_eq!(check(&left).expect("it can be read"), DiskOutcome::Done);
    assert_eq!(
        export(&left, Some(&exported)).expect("an export"),
        DiskOutcome::Done
    );
    let members: Vec<String> = (0..MEMBERS).map(|n| system.core_address(n)).collect();
    for n in 0..MEMBERS {
        let request = RecoveryRequest {
            node: members[n].clone(),
            members: members.clone(),
        };
        let folder = system.folder.join(format!("new-{n}"));
        let made = import(std::slice::from_ref(&exported), &request, &folder, true);
        assert_eq!(made.expect("a new disk"), DiskOutcome::Done);
        system.move_data(n, &folder);
    }
    (0..MEMBERS).for_each(|n| system.restart(Machine::Member(n)).expect("it starts again"));

    all_read_back(&mut system, &wanted);
    every_key_has_an_owner(&mut system, &tasks, FENCE_STEP);
    let (_, answer) = system.configure(&later(), PATIENCE).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    let controls = system.controls();
    let has_later =
        |at: &String| read_back(at).is_some_and(|held| held.to_string().contains("r-later"));
    system
        .wait("the change is everywhere", PATIENCE, || {
            controls.iter().all(has_later)
        })
        .expect("a change");

    (0..MEMBERS).for_each(|n| system.kill(Machine::Member(n)));
    let held = inspect(&system.data_folder(1).join(FILE_NAME))
        .expect("it can be read")
        .export;
    assert!(held.membership.epoch > EPOCH_STEP, "{:?}", held.membership);
    let tables = held
        .registers
        .iter()
        .filter_map(|register| match &register.value {
            RegisterValue::ShardTable { term, slices, .. } => Some((*term, slices.clone())),
            _ => None,
        });
    let mut tables = tables.peekable();
    assert!(tables.peek().is_some(), "a sharded service has a table");
    for (term, slices) in tables {
        let fences: Vec<u64> = slices.iter().map(|slice| slice.fence).collect();
        assert!(
            term > FENCE_STEP && fences.iter().all(|fence| *fence > FENCE_STEP),
            "{term} {fences:?}"
        );
    }
}
