//! The memory that bodies take up: those of requests, and those of answers until their clients have read them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Bytes that are held of a kind of bodies, within a limit.
#[derive(Debug)]
pub struct BodyMemory {
    limit: usize,
    held: AtomicUsize,
    freed: Notify,
}

impl BodyMemory {
    /// Nothing is held yet.
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(BodyMemory {
            limit: limit_bytes,
            held: AtomicUsize::new(0),
            freed: Notify::new(),
        })
    }

    /// The most that may be held, in bytes. No body is longer.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Whether so many bytes more may be held.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.held.load(Ordering::Relaxed).saturating_add(bytes) <= self.limit
    }
}

/// What one body holds, until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Reservation {
    /// Nothing is held for the body yet.
    pub fn new(memory: &Arc<BodyMemory>) -> Self {
        Reservation {
            memory: memory.clone(),
            bytes: 0,
        }
    }

    /// Holds more bytes, whether or not there is room.
    pub fn hold(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.memory.held.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Holds at least `total` bytes as soon as there is room; false if there was none by `until`.
    pub async fn hold_when_free(&mut self, total: usize, until: Instant) -> bool {
        let more = total.saturating_sub(self.bytes);
        loop {
            let freed = self.memory.freed.notified();
            if self.memory.has_room_for(more) {
                break;
            }
            if timeout_at(until, freed).await.is_err() {
                return false;
            }
        }
        self.hold(more);
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.memory.freed.notify_waiters();
    }
}
