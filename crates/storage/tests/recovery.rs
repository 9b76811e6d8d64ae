//! New disks made of exports: what is in them, what is told, and that nothing of before collides with them.

use std::collections::BTreeMap;

use lynxmill_configuration::Item;
use lynxmill_protocol::{
    Ballot, Change, Membership, PendingChanges, Register, ShardTable, Slice, Task,
};
use lynxmill_random::Pcg;
use lynxmill_storage::inspect::{
    CHANGES_REGISTER, DiskExport, EPOCH_STEP, EXPORT_VERSION, FENCE_STEP, FILE_NAME, ItemExport,
    MEMBERSHIP_REGISTER, MembershipExport, NoteKind, RecoveryError, RecoveryPlan, RecoveryRequest,
    RegisterExport, SurvivingDisk, TaskExport, inspect, plan_recovery, verify, write_recovery,
};
use lynxmill_storage::{Batch, Store};
use prost::Message;

const MEMBERS: usize = 3;

fn address(n: usize) -> String {
    format!("10.0.0.{}", n + 1)
}

fn request() -> RecoveryRequest {
    RecoveryRequest {
        node: address(0),
        members: (0..MEMBERS).map(address).collect(),
    }
}

fn named(disks: &[DiskExport]) -> Vec<SurvivingDisk> {
    let name = |(n, export): (usize, &DiskExport)| SurvivingDisk {
        name: format!("disk-{n}"),
        export: export.clone(),
    };
    disks.iter().enumerate().map(name).collect()
}

fn planned(disks: &[DiskExport]) -> RecoveryPlan {
    plan_recovery(&named(disks), &request()).unwrap()
}

fn service(name: &str, version: u64) -> Item {
    // Dropped: it needs no body.
    Item {
        key: format!("s/{name}"),
        version,
        dropped: true,
        ..Item::default()
    }
}

fn ballot(count: u64) -> Ballot {
    Ballot {
        count,
        node: 7,
        incarnation: 7,
    }
}

fn register(name: &str, count: u64, value: Vec<u8>) -> RegisterExport {
    let (promised, accepted) = (ballot(count), ballot(count));
    RegisterExport::from(&Register {
        name: name.to_owned(),
        promised,
        accepted,
        value,
    })
}

fn calls(count: u64, changes: &[(u64, Vec<Item>)]) -> RegisterExport {
    let last_number = changes.last().map_or(0, |(number, _)| *number);
    let change = |(number, items): &(u64, Vec<Item>)| Change {
        number: *number,
        items: items.clone(),
    };
    let value = PendingChanges {
        last_number,
        changes: changes.iter().map(change).collect(),
    };
    register(CHANGES_REGISTER, count, value.encode_to_vec())
}

fn table(count: u64, term: u64, generation: u64) -> RegisterExport {
    let slices = vec![Slice {
        from: 0,
        to: 65_535,
        owner: format!("i-{term}"),
        generation,
    }];
    let value = ShardTable {
        term,
        owner: address(1),
        slices,
    };
    register("berth/sorter", count, value.encode_to_vec())
}

fn disk(merged: u64, items: &[Item], registers: Vec<RegisterExport>) -> DiskExport {
    DiskExport {
        export_version: EXPORT_VERSION,
        format: 1,
        membership: MembershipExport {
            epoch: 5,
            addresses: (0..MEMBERS).map(address).collect(),
        },
        is_voter: true,
        merged,
        items: items.iter().map(ItemExport::from).collect(),
        registers,
        ..DiskExport::default()
    }
}

fn held(plan: &RecoveryPlan) -> BTreeMap<&str, u64> {
    plan.batch
        .items
        .iter()
        .map(|item| (item.key.as_str(), item.version))
        .collect()
}

fn lines(plan: &RecoveryPlan, kind: NoteKind) -> Vec<&str> {
    plan.notes
        .iter()
        .filter(|note| note.kind == kind)
        .map(|note| note.text.as_str())
        .collect()
}

fn has(plan: &RecoveryPlan, kind: NoteKind, words: &str) -> bool {
    lines(plan, kind).iter().any(|line| line.contains(words))
}

fn value<M: Message + Default>(plan: &RecoveryPlan, name: &str) -> M {
    let found = plan
        .batch
        .registers
        .iter()
        .find(|register| register.name == name)
        .unwrap();
    M::decode(found.value.as_slice()).unwrap()
}

// --- members as they work, in memory ---

/// A member's disk at work.
#[derive(Clone, Default)]
struct Member {
    items: BTreeMap<String, Item>,
    merged: u64,
    accepted: u64,
    value: PendingChanges,
}

impl Member {
    /// Merges changes that were agreed, unless earlier ones are missing.
    fn learn(&mut self, value: &PendingChanges) {
        let first = value
            .changes
            .first()
            .map_or(value.last_number + 1, |change| change.number);
        if self.merged + 1 < first {
            return;
        }
        for change in value
            .changes
            .iter()
            .filter(|change| change.number > self.merged)
        {
            change
                .items
                .iter()
                .for_each(|item| drop(self.items.insert(item.key.clone(), item.clone())));
        }
        self.merged = self.merged.max(value.last_number);
    }

    fn export(&self) -> DiskExport {
        let items: Vec<Item> = self.items.values().cloned().collect();
        let register = register(CHANGES_REGISTER, self.accepted, self.value.encode_to_vec());
        let registers = if self.accepted > 0 {
            vec![register]
        } else {
            Vec::new()
        };
        disk(self.merged, &items, registers)
    }
}

/// Members that agree on changes of single items, some of which find no majority.
struct Core {
    chance: Pcg,
    members: Vec<Member>,
    ballots: u64,
    /// The newest acknowledged version of each item.
    acknowledged: BTreeMap<String, u64>,
}

impl Core {
    fn some(&mut self, at_least: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..MEMBERS).collect();
        while all.len() > at_least && self.chance.unit() < 0.6 {
            all.remove((self.chance.unit() * all.len() as f64) as usize);
        }
        all
    }

    /// A round as the control plane plays it: promises of a majority, then accepts of whom it reaches.
    fn change(&mut self) {
        self.ballots += 1;
        let promised = self.some(2);
        let newest = promised
            .iter()
            .max_by_key(|n| self.members[**n].accepted)
            .unwrap();
        let mut next = self.members[*newest].value.clone();
        let mut merged: Vec<u64> = promised.iter().map(|n| self.members[*n].merged).collect();
        merged.sort_unstable_by(|one, other| other.cmp(one));
        next.changes.retain(|change| change.number > merged[1]);
        next.last_number += 1;
        let key = (self.chance.unit() * 5.0) as u64;
        let item = service(&key.to_string(), self.ballots);
        next.changes.push(Change {
            number: next.last_number,
            items: vec![item],
        });
        let accepting = self.some(1);
        for n in &accepting {
            (self.members[*n].accepted, self.members[*n].value) = (self.ballots, next.clone());
        }
        if accepting.len() < 2 {
            return;
        }
        for item in next.changes.iter().flat_map(|change| &change.items) {
            self.acknowledged.insert(item.key.clone(), item.version);
        }
        for n in self.some(0) {
            self.members[n].learn(&next);
        }
        // Repair: a copy is taken from who has merged further.
        if self.chance.unit() < 0.3 {
            let from = self
                .members
                .iter()
                .max_by_key(|member| member.merged)
                .unwrap()
                .clone();
            let to = (self.chance.unit() * MEMBERS as f64) as usize;
            (self.members[to].items, self.members[to].merged) = (from.items, from.merged);
        }
    }
}

fn core(seed: u64) -> Core {
    let mut core = Core {
        chance: Pcg::new(seed),
        members: vec![Member::default(); MEMBERS],
        ballots: 0,
        acknowledged: BTreeMap::new(),
    };
    (0..seed % 40).for_each(|_| core.change());
    core
}

#[test]
fn two_disks_of_three_hold_all_that_was_acknowledged() {
    let mut behind = 0;
    for seed in 0..3_000 {
        let core = core(seed);
        let lost = seed as usize % MEMBERS;
        let left = (0..MEMBERS).filter(|n| *n != lost);
        let exports: Vec<_> = left.map(|n| core.members[n].export()).collect();
        behind += usize::from(exports[0].merged != exports[1].merged);
        let plan = planned(&exports);
        let held = held(&plan);
        for (key, version) in &core.acknowledged {
            let found = held.get(key.as_str()).copied();
            assert!(
                found >= Some(*version),
                "seed {seed}: {key} {found:?}, {version} was acknowledged"
            );
        }
        assert!(
            !plan.notes.iter().any(|note| note.kind == NoteKind::Lost),
            "seed {seed}: {:?}",
            plan.notes
        );
    }
    assert!(behind > 500, "only {behind} of the pairs differ");
}

#[test]
fn one_disk_of_three_gives_all_that_it_held_and_tells_of_the_loss() {
    for seed in 0..500 {
        let member = &core(seed).members[seed as usize % MEMBERS];
        let plan = planned(&[member.export()]);
        let held = held(&plan);
        let pending = member
            .value
            .changes
            .iter()
            .filter(|change| change.number > member.merged);
        for item in member
            .items
            .values()
            .chain(pending.flat_map(|change| &change.items))
        {
            assert!(
                held.get(item.key.as_str()) >= Some(&item.version),
                "seed {seed}: {}",
                item.key
            );
        }
        assert!(
            has(&plan, NoteKind::Lost, "fewer than a majority (2)"),
            "{:?}",
            plan.notes
        );
    }
}

// --- single cases ---

#[test]
fn changes_that_no_disk_merged_are_merged_and_those_left_out_are_told() {
    let one = disk(
        3,
        &[service("a", 3)],
        vec![calls(8, &[(5, vec![service("b", 5)])])],
    );
    let other = disk(
        2,
        &[service("a", 2)],
        vec![calls(6, &[(3, vec![service("a", 3)])])],
    );
    let plan = planned(&[other.clone(), one.clone()]);
    assert_eq!(held(&plan), BTreeMap::from([("s/a", 3), ("s/b", 5)]));
    assert_eq!(lines(&plan, NoteKind::Lost), ["change 4: no disk holds it"]);
    assert!(has(
        &plan,
        NoteKind::Uncertain,
        "ballot 8 by 0.0.0.7 life 7 is accepted by 1 of the voting disks"
    ));
    // An older ballot has the one that is missing.
    let older = disk(2, &[], vec![calls(7, &[(4, vec![service("c", 4)])])]);
    let plan = planned(&[older, one]);
    assert_eq!(
        held(&plan),
        BTreeMap::from([("s/a", 3), ("s/b", 5), ("s/c", 4)])
    );
    assert!(has(
        &plan,
        NoteKind::Uncertain,
        "change 4 is taken from an older ballot in disk-0"
    ));
}

#[test]
fn a_proposal_that_another_overtook_is_left_out() {
    // Change 3 was agreed with other content: the second disk has merged that.
    let overtaken = disk(2, &[], vec![calls(6, &[(3, vec![service("a", 9)])])]);
    let agreed = disk(3, &[service("a", 4)], Vec::new());
    assert_eq!(
        held(&planned(&[overtaken, agreed])),
        BTreeMap::from([("s/a", 4)])
    );
}

#[test]
fn numbers_rise_beyond_all_that_was_given_before() {
    let evacuation = Item {
        key: "e/north".to_owned(),
        version: 6,
        dropped: true,
        ..Item::default()
    };
    let changes = [(12, vec![service("a", 1)])];
    let pending = Membership {
        epoch: 6,
        ips: vec![address(1)],
    };
    let change_of_members = register(MEMBERSHIP_REGISTER, 4, pending.encode_to_vec());
    let one = disk(
        11,
        &[evacuation],
        vec![calls(70, &changes), table(20, 8, 31), change_of_members],
    );
    let other = disk(11, &[], vec![table(19, 7, 90)]);
    let plan = planned(&[other, one]);
    let members = plan.batch.members.clone().unwrap();
    assert_eq!(
        (members.epoch, members.ips),
        (6 + EPOCH_STEP, request().members)
    );
    assert!(has(
        &plan,
        NoteKind::Uncertain,
        "a change of the members to epoch 6 may have been agreed"
    ));
    assert!(
        !has(&plan, NoteKind::Kept, "all that was acknowledged"),
        "{:?}",
        plan.notes
    );
    assert!(plan.batch.registers.iter().all(|register| {
        register.accepted.count == 70 + FENCE_STEP && register.promised == register.accepted
    }));
    let changes: PendingChanges = value(&plan, CHANGES_REGISTER);
    assert_eq!(
        (changes.last_number, changes.changes.len()),
        (12 + FENCE_STEP, 0)
    );
    assert_eq!(
        plan.batch.merged,
        Some(changes.last_number),
        "the next change is merged by all"
    );
    let table: ShardTable = value(&plan, "berth/sorter");
    assert_eq!(
        (table.term, table.slices[0].generation),
        (8 + FENCE_STEP, 31 + FENCE_STEP)
    );
    assert_eq!(table.slices[0].owner, "i-8");
    assert_eq!(
        held(&plan)["e/north"],
        6 + FENCE_STEP,
        "edges may hold a later one that was lost"
    );
    assert!(matches!(
        plan_recovery(
            &named(&[disk(1, &[], vec![calls(u64::MAX, &changes_of(1))])]),
            &request()
        ),
        Err(RecoveryError::TooHigh(u64::MAX))
    ));
}

fn changes_of(number: u64) -> Vec<(u64, Vec<Item>)> {
    vec![(number, vec![service("a", 1)])]
}

#[test]
fn what_two_disks_say_differently_is_told() {
    let other = Item {
        body: "{}".to_owned(),
        ..service("a", 2)
    };
    let one = disk(
        4,
        &[service("a", 2)],
        vec![calls(9, &[(5, vec![service("b", 1)])])],
    );
    let two = disk(3, &[other], vec![calls(9, &[(5, vec![service("b", 2)])])]);
    let plan = planned(&[two, one.clone()]);
    let told = "item s/a: version 00000002 has one content in disk-1, another in disk-0; the first is taken";
    assert!(
        lines(&plan, NoteKind::Uncertain).contains(&told),
        "{:?}",
        plan.notes
    );
    assert!(has(
        &plan,
        NoteKind::Uncertain,
        "register calls: ballot 9 by 0.0.0.7 life 7 has two values"
    ));
    assert!(plan.batch.items[0].body.is_empty());
    let plan = planned(&[one.clone(), one.clone()]);
    assert!(has(
        &plan,
        NoteKind::Uncertain,
        "disk-0 and disk-1 are equal: are they of two members?"
    ));
    let learner = DiskExport {
        is_voter: false,
        ..one
    };
    let plan = planned(&[learner.clone(), learner]);
    assert!(
        has(&plan, NoteKind::Lost, "0 of 3 voting disks"),
        "{:?}",
        plan.notes
    );
}

#[test]
fn the_last_word_of_each_task_is_kept() {
    let task = |call_seq, state| Task {
        id: "i-1".to_owned(),
        call_seq,
        state,
        ..Task::default()
    };
    let with = |task: Task| DiskExport {
        tasks: vec![TaskExport::from(&task)],
        ..disk(0, &[], Vec::new())
    };
    let plan = planned(&[with(task(9, 0)), with(task(4, 1))]);
    assert_eq!(plan.batch.tasks, [task(9, 1)]);
}

#[test]
fn wrong_requests_are_refused() {
    let disks = named(&[disk(0, &[], Vec::new())]);
    let fault = |node: &str, members: &[&str]| {
        let members = members.iter().map(|member| (*member).to_owned()).collect();
        plan_recovery(
            &disks,
            &RecoveryRequest {
                node: node.to_owned(),
                members,
            },
        )
        .unwrap_err()
        .to_string()
    };
    assert_eq!(
        fault("10.0.0.9", &["10.0.0.1"]),
        "node 10.0.0.9 is not among the members"
    );
    assert_eq!(
        fault("10.0.0.1", &["10.0.0.1", "10.0.0.1"]),
        "member 10.0.0.1 is named twice"
    );
    assert_eq!(
        fault("10.0.0.1", &["10.0.0.1", "core-2"]),
        "member core-2 is no IPv4 address"
    );
    assert!(matches!(
        plan_recovery(&[], &request()),
        Err(RecoveryError::NoExport)
    ));
    let newer = DiskExport {
        export_version: EXPORT_VERSION + 1,
        ..DiskExport::default()
    };
    assert!(matches!(
        plan_recovery(&named(&[newer]), &request()),
        Err(RecoveryError::NewerExport(..))
    ));
    let torn = disk(0, &[], vec![register("berth/sorter", 3, vec![255])]);
    assert!(matches!(
        plan_recovery(&named(&[torn]), &request()),
        Err(RecoveryError::NoShardTable(_))
    ));
}

#[test]
fn a_new_disk_reads_back_as_planned_and_no_folder_in_use_is_touched() {
    let items = [service("a", 3), service("b", 1)];
    let plan = planned(&[disk(
        4,
        &items,
        vec![table(3, 2, 5), calls(9, &changes_of(5))],
    )]);
    let place = tempfile::tempdir().unwrap();
    let folder = place.path().join("data");
    write_recovery(&plan, &folder).unwrap();
    let found = inspect(&folder.join(FILE_NAME)).unwrap();
    assert_eq!(
        (found.faults, verify(&found.export)),
        (Vec::new(), Vec::new())
    );
    let (_, opened) = Store::open(&folder.join(FILE_NAME)).unwrap();
    assert!(opened.is_voter && opened.members.epoch == 5 + EPOCH_STEP);
    assert_eq!(opened.configuration.items.len(), 2);
    assert_eq!(Some(opened.merged), plan.batch.merged);
    assert!(matches!(
        write_recovery(&plan, &folder),
        Err(RecoveryError::FolderTaken(_))
    ));
    let used = place.path().join("used");
    std::fs::create_dir(&used).unwrap();
    std::fs::write(used.join("a file"), "of somebody").unwrap();
    assert!(matches!(
        write_recovery(&plan, &used),
        Err(RecoveryError::FolderTaken(_))
    ));
    assert!(!used.join(FILE_NAME).exists());
}

#[test]
fn a_recovery_may_be_recovered_from() {
    let first = planned(&[disk(4, &[service("a", 3)], vec![table(3, 2, 5)])]);
    let place = tempfile::tempdir().unwrap();
    write_recovery(&first, place.path()).unwrap();
    let path = place.path().join(FILE_NAME);
    let (store, _) = Store::open(&path).unwrap();
    store
        .write(Batch {
            items: vec![service("a", 4)],
            ..Batch::default()
        })
        .unwrap();
    drop(store);
    let again = planned(&[inspect(&path).unwrap().export]);
    assert_eq!(
        again.batch.members.as_ref().unwrap().epoch,
        5 + 2 * EPOCH_STEP
    );
    assert_eq!(held(&again), BTreeMap::from([("s/a", 4)]));
}
