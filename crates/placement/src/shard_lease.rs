//! Who may still hold a slice, and until when.

use lynxmill_time::{TimeDelta, Timestamp};

/// A task's clock may run slow by 2%: a hold of a second may last this many.
pub const CLOCK_DRIFT: f64 = 1.0205;
/// On top of it, for what lies between a grant and the reading of a clock.
const MARGIN: TimeDelta = TimeDelta::from_micros(100_000);

/// The last grant of a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardLease {
    pub holder: Option<String>,
    pub expires: Timestamp,
}

impl ShardLease {
    /// Granted now for so long; the task counts from earlier, when it sent its beat.
    pub fn grant(&mut self, now: Timestamp, task: &str, duration: TimeDelta) {
        let until = now + duration.times(CLOCK_DRIFT) + MARGIN;
        if self.holder.as_deref() != Some(task) {
            self.holder = Some(task.to_owned());
            self.expires = until;
        }
        self.expires = self.expires.max(until);
    }

    pub fn release(&mut self) {
        self.holder = None;
    }

    /// Whether somebody may still hold it.
    pub fn holder_at(&self, now: Timestamp) -> Option<&str> {
        self.holder.as_deref().filter(|_| now < self.expires)
    }
}
