//! A machine's steady clock. It begins at a time of its own and may creep: run a little faster or slower than true
//! time. All that nodes promise for a time (contact, leases, holds) is counted by it.
//!
//! The time of day is no part of a node: a process draws its incarnation from it at its start, and the simulator
//! draws incarnations at random, in no order, which is more than any jump of the time of day can bring about.

use lynxmill_time::{TimeDelta, Timestamp};

/// How much a clock may be off: leases allow for 5% between two clocks (`CLOCK_DRIFT` of `lynxmill-consensus`).
const CREEP: f64 = 0.02;

/// How a clock runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Pace {
    #[default]
    True,
    Slow,
    Fast,
}

impl Pace {
    fn rate(self) -> f64 {
        match self {
            Pace::True => 1.0,
            Pace::Slow => 1.0 - CREEP,
            Pace::Fast => 1.0 + CREEP,
        }
    }
}

/// What a machine's clock shows, as a function of true time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    pace: Pace,
    /// When the pace was last set: true time, and what the clock showed. None while it shows true time.
    set_at: Option<(Timestamp, Timestamp)>,
}

impl Clock {
    /// What it shows at a true time.
    pub(crate) fn read(&self, now: Timestamp) -> Timestamp {
        let Some((then, shown)) = self.set_at else {
            return now;
        };
        shown + TimeDelta::from_secs((now - then).secs() * self.pace.rate())
    }

    /// Runs at another pace from now on.
    pub(crate) fn set_pace(&mut self, now: Timestamp, pace: Pace) {
        self.set_at = Some((now, self.read(now)));
        self.pace = pace;
    }
}
