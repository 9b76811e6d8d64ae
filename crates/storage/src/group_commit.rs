//! Group commit: batches that come while a commit is under way share the next one. No file I/O; what commits
//! a group is given by whoever waits.

use crate::sync::{Condvar, Mutex, PoisonError};

/// How many failed groups are remembered by number.
const MAX_REMEMBERED_FAILURES: usize = 64;

/// What can be joined to a group that is committed as one.
pub trait Mergeable: Default {
    /// Adds what came later.
    fn merge(&mut self, later: Self);

    /// Whether there is nothing to commit.
    fn is_empty(&self) -> bool;
}

/// A batch that is on its way to disk: the number of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[must_use]
pub struct Ticket(u64);

#[derive(Debug, Default)]
struct Queue<B> {
    batch: B,
    /// The number of the group that `batch` will be, and of the last one that is over.
    next: u64,
    done: u64,
    /// The last groups that failed, and the last one of those before them.
    failed: Vec<(u64, String)>,
    forgotten_failures: u64,
    writing: bool,
}

impl<B> Queue<B> {
    /// How a group ended that is over.
    fn outcome(&self, group: u64) -> Result<(), String> {
        match self.failed.iter().find(|(failed, _)| *failed == group) {
            Some((_, fault)) => Err(fault.clone()),
            None if group <= self.forgotten_failures => Err("too long ago to tell".to_owned()),
            None => Ok(()),
        }
    }

    fn complete(&mut self, group: u64, fault: Option<String>) {
        self.writing = false;
        self.done = group;
        self.failed.extend(fault.map(|fault| (group, fault)));
        if self.failed.len() > MAX_REMEMBERED_FAILURES {
            self.forgotten_failures = self.failed.remove(0).0;
        }
    }
}

/// The queue of batches. One of those who wait commits a group for all of them.
#[derive(Debug)]
pub struct GroupCommit<B> {
    queue: Mutex<Queue<B>>,
    completed: Condvar,
}

impl<B: Mergeable> Default for GroupCommit<B> {
    fn default() -> Self {
        let queue = Queue {
            batch: B::default(),
            next: 1,
            done: 0,
            failed: Vec::new(),
            forgotten_failures: 0,
            writing: false,
        };
        GroupCommit {
            queue: Mutex::new(queue),
            completed: Condvar::new(),
        }
    }
}

impl<B: Mergeable> GroupCommit<B> {
    /// Queues a batch behind those before it; `wait` tells when its group is over.
    pub fn enqueue(&self, batch: B) -> Ticket {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.batch.merge(batch);
        Ticket(queue.next)
    }

    /// Queues a batch; no ticket if nothing is queued then.
    pub fn enqueue_unless_empty(&self, batch: B) -> Option<Ticket> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.batch.merge(batch);
        (!queue.batch.is_empty()).then_some(Ticket(queue.next))
    }

    /// Returns once the batch's group is over: committed by this thread or by another one, or failed. Groups
    /// are committed one at a time, in their order.
    ///
    /// # Errors
    ///
    /// The failure of the commit that the batch went with.
    pub fn wait(
        &self,
        ticket: Ticket,
        commit: impl Fn(&B) -> Result<(), String>,
    ) -> Result<(), String> {
        let lock = || self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let Ticket(mine) = ticket;
        let mut queue = lock();
        loop {
            if queue.done >= mine {
                return queue.outcome(mine);
            }
            if queue.writing {
                queue = self
                    .completed
                    .wait(queue)
                    .unwrap_or_else(PoisonError::into_inner);
                continue;
            }
            queue.writing = true;
            let (batch, group) = (std::mem::take(&mut queue.batch), queue.next);
            queue.next += 1;
            drop(queue);
            let fault = commit(&batch).err();
            queue = lock();
            queue.complete(group, fault);
            self.completed.notify_all();
        }
    }
}
