//! The journal of orders by hand, on a disk that fails at any byte.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use lynxmill_assigner_state::hand::{Order, Record, Stage, Want};
use lynxmill_runtime_commands::journal::{Disk, Journal, framed, sound};

/// Bytes that outlive the program, those that are sure, and how many more may be written before it is killed.
#[derive(Clone, Default)]
struct Bytes {
    all: Rc<RefCell<Vec<u8>>>,
    left: Rc<RefCell<Option<usize>>>,
    fail_sync: Rc<RefCell<bool>>,
    fail_replace: Rc<RefCell<bool>>,
}

impl Disk for Bytes {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.all.borrow().clone())
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.all.borrow_mut().truncate(length as usize);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let most = self.left.borrow().unwrap_or(usize::MAX).min(bytes.len());
        self.all.borrow_mut().extend(&bytes[..most]);
        if let Some(left) = &mut *self.left.borrow_mut() {
            *left -= most;
        }
        if most < bytes.len() {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        if *self.fail_sync.borrow() {
            Err(io::ErrorKind::Other.into())
        } else {
            Ok(())
        }
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if *self.fail_replace.borrow() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        *self.all.borrow_mut() = bytes.to_vec();
        Ok(())
    }
}

fn record(id: &str, stands: bool) -> Record {
    let order = Order::Server {
        server: format!("s-{id}"),
        want: Want::Drain,
    };
    let stage = if stands { Stage::Accepted } else { Stage::Done };
    Record {
        id: id.to_owned(),
        order,
        stage,
        until_ms: Some(1.5e12),
        stands,
    }
}

fn ids(records: &[Record]) -> Vec<&str> {
    records.iter().map(|record| record.id.as_str()).collect()
}

#[test]
fn a_kill_at_any_byte_loses_nothing_that_was_told_to_be_kept() {
    let whole: usize = (0..6)
        .map(|k| framed(&record(&k.to_string(), true)).expect("short").len())
        .sum();
    for killed_at in 0..=whole {
        let disk = Bytes::default();
        *disk.left.borrow_mut() = Some(killed_at);
        let (mut journal, ..) = Journal::open(disk.clone()).expect("a disk");
        let mut kept = Vec::new();
        for k in 0..6 {
            if journal.keep(&[record(&k.to_string(), true)]).is_err() {
                break;
            }
            kept.push(k.to_string());
        }
        *disk.left.borrow_mut() = None;
        let (mut again, stood, _) = Journal::open(disk.clone()).expect("a disk");
        // One that was written whole but not told may be there; none that was told is missing, none is half there.
        assert!(stood.len() - kept.len() <= 1, "killed at {killed_at}");
        assert_eq!(&ids(&stood)[..kept.len()], kept, "killed at {killed_at}");
        again.keep(&[record("x", true)]).expect("room");
        assert_eq!(
            sound(&disk.all.borrow()).1,
            disk.all.borrow().len(),
            "nothing torn is left between"
        );
    }
}

#[test]
fn a_write_that_failed_leaves_no_trace_before_the_next() {
    let disk = Bytes::default();
    let (mut journal, ..) = Journal::open(disk.clone()).expect("a disk");
    journal.keep(&[record("a", true)]).expect("room");
    *disk.left.borrow_mut() = Some(11);
    assert!(journal.keep(&[record("b", true)]).is_err());
    *disk.left.borrow_mut() = None;
    journal.keep(&[record("c", true)]).expect("room");
    *disk.fail_sync.borrow_mut() = true;
    assert!(journal.keep(&[record("d", true)]).is_err());
    // Killed right then, what was told to have failed does not stand.
    assert_eq!(ids(&sound(&disk.all.borrow()).0), ["a", "c"]);
    *disk.fail_sync.borrow_mut() = false;
    journal.keep(&[record("e", true)]).expect("room");
    assert_eq!(
        ids(&Journal::open(disk).expect("a disk").1),
        ["a", "c", "e"]
    );
}

#[test]
fn a_flipped_bit_ends_what_is_read_there() {
    let disk = Bytes::default();
    let (mut journal, ..) = Journal::open(disk.clone()).expect("a disk");
    let first = framed(&record("a", true)).expect("short").len();
    journal
        .keep(&[record("a", true), record("b", true)])
        .expect("room");
    let all = disk.all.borrow().clone();
    for at in first..all.len() {
        let mut bad = all.clone();
        bad[at] ^= 1;
        assert_eq!(ids(&sound(&bad).0), ["a"], "byte {at}");
    }
}

#[test]
fn what_has_ended_is_remembered_for_its_result_and_written_anew_without_the_rest() {
    let disk = Bytes::default();
    let (mut journal, ..) = Journal::open(disk.clone()).expect("a disk");
    journal.keep(&[record("stands", true)]).expect("room");
    for k in 0..3000 {
        let id = k.to_string();
        journal
            .keep(&[record(&id, true), record(&id, true), record(&id, false)])
            .expect("room");
    }
    assert!(
        journal.length() < 300_000 && journal.length() == disk.all.borrow().len() as u64,
        "{}",
        journal.length()
    );
    let stood = Journal::open(disk).expect("a disk").1;
    assert!(
        stood
            .iter()
            .any(|record| record.id == "stands" && record.stands)
    );
    assert!(
        stood
            .iter()
            .any(|record| record.id == "2999" && !record.stands),
        "its result"
    );
    assert!(stood.len() <= 514, "{}", stood.len());
}

#[test]
fn what_is_kept_is_kept_though_the_file_can_not_be_written_anew() {
    let disk = Bytes::default();
    *disk.fail_replace.borrow_mut() = true;
    let (mut journal, ..) = Journal::open(disk.clone()).expect("a disk");
    for k in 0..2000 {
        journal
            .keep(&[record(&k.to_string(), false)])
            .expect("kept all the same");
    }
    assert!(journal.length() > 200_000, "{}", journal.length());
    *disk.fail_replace.borrow_mut() = false;
    for k in 0..4000 {
        journal
            .keep(&[record(&k.to_string(), false)])
            .expect("room");
    }
    assert!(journal.length() < 300_000 && journal.length() == disk.all.borrow().len() as u64);
}
