//! The lease of a task on a slice, as far as its granter can tell.

use lynxmill_time::{TimeDelta, Timestamp};

/// A task's clock may run slow by 2%: a lease of a second may last so many.
pub const CLOCK_DRIFT: f64 = 1.0205;
/// On top of it, for the time between a grant and the reading of a clock.
const MARGIN: TimeDelta = TimeDelta::from_micros(100_000);

/// The last grant of a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardLease {
    /// The task that may hold it.
    pub holder: Option<String>,
    /// When the lease is over by the slowest clock.
    pub expires: Timestamp,
}

impl ShardLease {
    /// Grants the lease now for so long; the task counts from earlier, when it sent its heartbeat.
    pub fn grant(&mut self, now: Timestamp, task: &str, duration: TimeDelta) {
        let until = now + duration.times(CLOCK_DRIFT) + MARGIN;
        if self.holder.as_deref() != Some(task) {
            self.holder = Some(task.to_owned());
            self.expires = until;
        }
        self.expires = self.expires.max(until);
    }

    /// The holder has let it go.
    pub fn release(&mut self) {
        self.holder = None;
    }

    /// The task that may still hold it.
    pub fn holder_at(&self, now: Timestamp) -> Option<&str> {
        self.holder.as_deref().filter(|_| now < self.expires)
    }
}
