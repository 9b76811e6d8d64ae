//! What a write that returned has put on disk, whatever becomes of the process and of the file's end.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use lynxmill_configuration::Item;
use lynxmill_protocol::{Ballot, Membership, Register, Task};
use lynxmill_random::Pcg;
use lynxmill_storage::{Batch, DiskContents, FORMAT_VERSION, StorageError, Store};
use prost::Message;

fn item(n: u64) -> Item {
    Item {
        key: format!("r/{n}"),
        version: n + 1,
        dropped: n.is_multiple_of(7),
        body: "x".repeat(n as usize % 900),
        ..Item::default()
    }
}

fn batch(n: u64) -> Batch {
    let promised = Ballot {
        count: n,
        node: 1,
        incarnation: 2,
    };
    let register = Register {
        name: "calls".to_owned(),
        promised,
        value: vec![n as u8; 300],
        ..Register::default()
    };
    let members = Membership {
        epoch: n,
        ips: vec!["10.0.0.1".to_owned()],
    };
    Batch {
        items: vec![item(n)],
        registers: vec![register],
        members: Some(members),
        merged: Some(n),
        is_voter: Some(n.is_multiple_of(2)),
        tasks: vec![task(n)],
        removed_tasks: n
            .checked_sub(2)
            .map(|old| task(old).id)
            .into_iter()
            .collect(),
    }
}

fn task(n: u64) -> Task {
    Task {
        id: format!("i-{n}"),
        call_seq: n,
        ..Task::default()
    }
}

/// Holds all batches up to `n`, and at most one that was on its way.
fn holds(held: &DiskContents, n: u64) {
    let at = held.merged;
    assert!(at == n || at == n + 1, "holds up to {at}, {n} had returned");
    assert_eq!(held.configuration.items.len() as u64, at + 1);
    assert!((0..=at).all(|k| held.configuration.items.get(&item(k).key) == Some(&item(k))));
    assert_eq!(
        (held.members.epoch, held.is_voter),
        (at, at.is_multiple_of(2))
    );
    // Tasks come and are forgotten: the last two are there.
    let mut tasks: Vec<u64> = held.tasks.iter().map(|task| task.call_seq).collect();
    tasks.sort_unstable();
    assert_eq!(tasks, (at.saturating_sub(1)..=at).collect::<Vec<_>>());
    assert_eq!(held.registers, batch(at).registers);
}

fn fill(store: &Store, upto: u64) {
    (0..=upto).for_each(|n| store.write(batch(n)).unwrap());
}

struct Place(tempfile::TempDir);

impl Place {
    fn new() -> Self {
        Place(tempfile::tempdir().unwrap())
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }
}

#[test]
fn what_returned_is_there_after_reopening() {
    let place = Place::new();
    let path = place.file("a");
    {
        let (store, held) = Store::open(&path).unwrap();
        assert!(
            held.configuration.items.is_empty() && !held.is_voter && held.members.ips.is_empty()
        );
        fill(&store, 20);
        store.write(Batch::default()).unwrap();
    }
    let (store, held) = Store::open(&path).unwrap();
    holds(&held, 20);
    store
        .write(Batch {
            is_voter: Some(true),
            ..Batch::default()
        })
        .unwrap();
    drop(store);
    let (_, held) = Store::open(&path).unwrap();
    assert!(
        held.is_voter && held.merged == 20,
        "what a batch leaves out stays"
    );
}

#[test]
fn writers_of_several_threads_all_come_to_disk() {
    let place = Place::new();
    let path = place.file("a");
    let (store, _) = Store::open(&path).unwrap();
    std::thread::scope(|scope| {
        for writer in 0..6 {
            let store = &store;
            scope.spawn(move || {
                for n in 0..15 {
                    let queued = store.enqueue(Batch {
                        items: vec![item(writer * 100 + n)],
                        ..Batch::default()
                    });
                    let more = Batch {
                        items: vec![item(writer * 100 + 50 + n)],
                        ..Batch::default()
                    };
                    store.write(more).unwrap();
                    store.wait(queued).unwrap();
                }
            });
        }
    });
    let copy = place.file("copy");
    std::fs::copy(&path, &copy).unwrap();
    let held = Store::open(&copy).unwrap().1.configuration.items;
    assert_eq!(held.len(), 6 * 30);
    assert!(held.values().all(|i| *i == item(i.version - 1)));
}

#[test]
fn batches_come_to_disk_in_the_order_they_were_put() {
    let place = Place::new();
    let (store, _) = Store::open(&place.file("a")).unwrap();
    let tickets: Vec<_> = (0..9).map(|n| store.enqueue(batch(n))).collect();
    tickets
        .into_iter()
        .rev()
        .for_each(|ticket| store.wait(ticket).unwrap());
    drop(store);
    holds(&Store::open(&place.file("a")).unwrap().1, 8);
}

#[test]
fn a_newer_format_is_refused_and_left_alone() {
    const FACTS: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("facts");
    let place = Place::new();
    let path = place.file("a");
    fill(&Store::open(&path).unwrap().0, 3);
    let format = |format: u64| {
        let file = redb::Database::open(&path).unwrap();
        let write = file.begin_write().unwrap();
        write
            .open_table(FACTS)
            .unwrap()
            .insert("format", format.to_be_bytes().as_slice())
            .unwrap();
        write.commit().unwrap();
    };
    format(FORMAT_VERSION + 1);
    assert!(
        matches!(Store::open(&path), Err(StorageError::UnsupportedFormat(n)) if n == FORMAT_VERSION + 1)
    );
    format(FORMAT_VERSION);
    holds(&Store::open(&path).unwrap().1, 3);
}

/// Opens a spoilt file: `Ok` if it says why it can't be read or holds all up to `n`.
fn opens(path: &Path, n: u64) -> Result<bool, String> {
    let read = catch_unwind(AssertUnwindSafe(|| {
        Store::open(path).map(|(_, held)| holds(&held, n)).is_ok()
    }));
    read.map_err(|why| {
        why.downcast_ref::<String>()
            .cloned()
            .unwrap_or_else(|| "a panic".to_owned())
    })
}

/// A file of batches up to 40, as a crash leaves it and as an end in order does.
fn files(place: &Place) -> [Vec<u8>; 2] {
    let (store, _) = Store::open(&place.file("a")).unwrap();
    fill(&store, 40);
    let crashed = std::fs::read(place.file("a")).unwrap();
    drop(store);
    [crashed, std::fs::read(place.file("a")).unwrap()]
}

#[test]
fn a_file_that_was_cut_opens_with_all_or_says_why() {
    let place = Place::new();
    let (path, mut bad) = (place.file("cut"), Vec::new());
    std::fs::write(&path, b"").unwrap();
    assert!(
        !Store::open(&path).unwrap().1.is_voter,
        "cut to nothing it is a new one, which does not count"
    );
    std::fs::write(&path, "not a store ".repeat(1000)).unwrap();
    assert!(matches!(Store::open(&path), Err(StorageError::Disk(_))));
    for whole in files(&place) {
        let steps = (1..24).chain((24..whole.len()).step_by(whole.len() / 100));
        for cut in steps.chain([whole.len() - 1]) {
            std::fs::write(&path, &whole[..cut]).unwrap();
            bad.extend(
                opens(&path, 40)
                    .err()
                    .map(|why| format!("cut at {cut}: {why}")),
            );
        }
    }
    assert!(
        bad.is_empty(),
        "{} of them: {:#?}",
        bad.len(),
        &bad[..bad.len().min(5)]
    );
}

/// A crash in a commit leaves any of its sectors on disk, and none of what was there before harmed.
#[test]
fn a_commit_that_was_torn_leaves_what_was_there_before() {
    const SECTOR: usize = 512;
    let place = Place::new();
    let (store, _) = Store::open(&place.file("a")).unwrap();
    let (path, mut chance, mut bad) = (place.file("torn"), Pcg::new(7), Vec::new());
    let mut before = Vec::new();
    for n in 0..20 {
        store.write(batch(n)).unwrap();
        let after = std::fs::read(place.file("a")).unwrap();
        for _ in 0..if n == 0 { 0 } else { 6 } {
            let mut torn = after.clone();
            let share = chance.unit();
            for (at, sector) in torn.chunks_mut(SECTOR).enumerate() {
                let old = before.get(at * SECTOR..at * SECTOR + sector.len());
                if chance.unit() < share {
                    match old {
                        Some(old) => sector.copy_from_slice(old),
                        None => sector.fill(0),
                    }
                }
            }
            std::fs::write(&path, &torn).unwrap();
            match opens(&path, n - 1) {
                Ok(true) => {}
                Ok(false) => bad.push(format!("batch {n}: what had returned can't be read")),
                Err(why) => bad.push(format!("batch {n}: {why}")),
            }
        }
        before = after;
    }
    assert!(
        bad.is_empty(),
        "{} of 114: {:#?}",
        bad.len(),
        &bad[..bad.len().min(5)]
    );
}

const FULL: &str = "STORE_ON_A_FULL_DISK";

/// Writes until nothing more goes in, under a limit on the file's size that its parent has set.
fn on_a_full_disk(path: &Path) {
    let (store, _) = Store::open(path).unwrap();
    let fat = |n| {
        let more = Register {
            name: format!("fat{n}"),
            value: vec![0; 90_000],
            ..Register::default()
        };
        let Batch {
            mut registers,
            items,
            ..
        } = batch(n);
        registers.push(more);
        Batch {
            registers,
            items,
            ..batch(n)
        }
    };
    let full = (0..).find(|n| store.write(fat(*n)).is_err()).unwrap();
    println!("returned {}", full - 1);
    let late = store.enqueue(fat(full));
    assert!(
        (0..70).all(|_| store.write(fat(full)).is_err()),
        "nothing goes in"
    );
    assert!(
        store.wait(late).is_err(),
        "nor does it for one who asks late"
    );
}

#[test]
fn a_full_disk_refuses_and_keeps_what_returned() {
    if let Some(path) = std::env::var_os(FULL) {
        return on_a_full_disk(Path::new(&path));
    }
    let place = Place::new();
    let limited = "trap '' XFSZ; ulimit -f 3600; exec \"$0\" --exact --nocapture ";
    let limited = format!("{limited}a_full_disk_refuses_and_keeps_what_returned");
    let mut child = std::process::Command::new("sh");
    child
        .args(["-c", &limited])
        .arg(std::env::current_exe().unwrap())
        .env(FULL, place.file("a"));
    let ran = child.output().unwrap();
    let said = String::from_utf8_lossy(&ran.stdout);
    assert!(
        ran.status.success(),
        "{said} {}",
        String::from_utf8_lossy(&ran.stderr)
    );
    let returned = said
        .lines()
        .find_map(|line| line.split_once("returned ")?.1.parse::<u64>().ok())
        .unwrap();
    let (_, held) = Store::open(&place.file("a")).unwrap();
    assert!(
        held.merged >= returned && held.configuration.items.len() as u64 == held.merged + 1,
        "{returned}"
    );
    assert_eq!(held.registers.len() as u64, held.merged + 2);
}

#[test]
fn a_file_from_before_histories_opens_and_its_items_know_what_was_taken() {
    // As the program before wrote it: key, version and body, no history.
    let old = Item {
        key: "r/a".to_owned(),
        version: 7,
        body: "{}".to_owned(),
        ..Item::default()
    };
    assert_eq!(old.encode_to_vec(), b"\x0a\x03r/a\x10\x07\x22\x02{}");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    Store::open(&path)
        .unwrap()
        .0
        .write(Batch {
            items: vec![old.clone()],
            ..Batch::default()
        })
        .unwrap();
    let mut configuration = Store::open(&path).unwrap().1.configuration;
    assert_eq!(configuration.items["r/a"], old);
    assert_eq!(
        configuration.items["r/a"].content_of(7),
        Some(old.identity().content)
    );
    assert!(configuration.merge(&Item {
        version: 9,
        body: "[]".to_owned(),
        ..old.clone()
    }));
    assert_eq!(
        configuration.items["r/a"].content_of(7),
        Some(old.identity().content)
    );
    // With its history it comes back from disk as it was.
    let items: Vec<Item> = configuration.items.values().cloned().collect();
    Store::open(&path)
        .unwrap()
        .0
        .write(Batch {
            items,
            ..Batch::default()
        })
        .unwrap();
    assert_eq!(Store::open(&path).unwrap().1.configuration, configuration);
}
