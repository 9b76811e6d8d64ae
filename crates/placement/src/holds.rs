//! Who may still hold a slice, and until when.

use lynxmill_time::{TimeDelta, Timestamp};

/// A task's clock may run slow by 2%: a hold of a second may last this many.
pub const SLOW_CLOCK: f64 = 1.0205;
/// On top of it, for what lies between a grant and the reading of a clock.
const MARGIN: TimeDelta = TimeDelta::from_micros(100_000);

/// The last grant of a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hold {
    pub task: Option<String>,
    pub until: Timestamp,
}

impl Hold {
    /// Granted now for so long; the task counts from earlier, when it sent its beat.
    pub fn grant(&mut self, now: Timestamp, task: &str, hold: TimeDelta) {
        let until = now + hold.times(SLOW_CLOCK) + MARGIN;
        if self.task.as_deref() != Some(task) {
            self.task = Some(task.to_owned());
            self.until = until;
        }
        self.until = self.until.max(until);
    }

    pub fn free(&mut self) {
        self.task = None;
    }

    /// Whether somebody may still hold it.
    pub fn by(&self, now: Timestamp) -> Option<&str> {
        self.task.as_deref().filter(|_| now < self.until)
    }
}
