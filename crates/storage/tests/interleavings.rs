//! Group commit under every kind of interleaving that `shuttle` draws: needs the feature `shuttle`.

use lynxmill_storage::{GroupCommit, Mergeable, Ticket};
use shuttle::sync::{Arc, Mutex};
use shuttle::{check_pct, check_random, thread};

/// Schedules that are drawn at random, and by the number of preemptions.
const SCHEDULES: usize = 2_000;
const PREEMPTIONS: usize = 3;

#[derive(Debug, Default)]
struct Numbers(Vec<u32>);

impl Mergeable for Numbers {
    fn merge(&mut self, later: Self) {
        self.0.extend(later.0);
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A file that takes every group, or fails each whose number fits.
#[derive(Default)]
struct File {
    begun: u32,
    busy: bool,
    committed: Vec<u32>,
    /// Every batch that came, committed or not, in the order of groups.
    came: Vec<u32>,
}

struct World {
    group: GroupCommit<Numbers>,
    file: Mutex<File>,
    /// The order in which batches were queued, under a lock of the test's own.
    queued: Mutex<Vec<u32>>,
    fails: fn(u32) -> bool,
}

impl World {
    fn put(&self, number: u32) -> Ticket {
        let mut queued = self.queued.lock().unwrap();
        queued.push(number);
        self.group.enqueue(Numbers(vec![number]))
    }

    fn commit(&self, batch: &Numbers) -> Result<(), String> {
        let group = {
            let mut file = self.file.lock().unwrap();
            assert!(!file.busy, "two groups are committed at once");
            (file.busy, file.begun) = (true, file.begun + 1);
            file.begun
        };
        thread::yield_now();
        let mut file = self.file.lock().unwrap();
        file.busy = false;
        file.came.extend(&batch.0);
        if (self.fails)(group) {
            return Err(format!("group {group}"));
        }
        file.committed.extend(&batch.0);
        Ok(())
    }

    /// Ok only if the batch was in a group that was committed, an error only if it was in none.
    fn wait(&self, number: u32, ticket: Ticket) {
        let told = self.group.wait(ticket, |batch| self.commit(batch));
        let file = self.file.lock().unwrap();
        assert_eq!(
            told.is_ok(),
            file.committed.contains(&number),
            "batch {number} was told {told:?}"
        );
    }
}

/// Three writers; the first queues two batches before it waits for either, later one first.
fn play(fails: fn(u32) -> bool) {
    let world = Arc::new(World {
        group: GroupCommit::default(),
        file: Mutex::new(File::default()),
        queued: Mutex::new(Vec::new()),
        fails,
    });
    let writers: Vec<_> = (0..3)
        .map(|writer| {
            let world = world.clone();
            thread::spawn(move || {
                let (first, second) = (writer * 2, writer * 2 + 1);
                let earlier = world.put(first);
                if writer == 0 {
                    let later = world.put(second);
                    world.wait(second, later);
                    world.wait(first, earlier);
                } else {
                    world.wait(first, earlier);
                    let later = world.put(second);
                    world.wait(second, later);
                }
            })
        })
        .collect();
    // A waiter that waits for ever is a deadlock, which shuttle reports.
    writers
        .into_iter()
        .for_each(|writer| writer.join().unwrap());
    assert_eq!(
        *world.queued.lock().unwrap(),
        world.file.lock().unwrap().came,
        "batches out of order"
    );
}

fn check(fails: fn(u32) -> bool) {
    check_random(move || play(fails), SCHEDULES);
    check_pct(move || play(fails), SCHEDULES, PREEMPTIONS);
}

#[test]
fn every_waiter_is_told_once_its_batch_is_committed() {
    check(|_| false);
}

#[test]
fn a_group_that_fails_fails_all_that_wait_for_it_and_no_other() {
    check(|group| group == 1);
    check(|group| group % 2 == 0);
    check(|_| true);
}
