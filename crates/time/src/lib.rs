//! Points in time and spans, in microseconds; one can't be taken for the other.

use std::ops::{Add, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(i64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(i64);

fn micros(seconds: f64) -> i64 {
    (seconds * 1e6).round() as i64
}

impl Timestamp {
    pub fn from_secs(seconds: f64) -> Self {
        Timestamp(micros(seconds))
    }

    /// Microseconds since the clock's beginning.
    pub const fn from_micros(micros: i64) -> Self {
        Timestamp(micros)
    }

    pub const fn micros(self) -> i64 {
        self.0
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl TimeDelta {
    pub fn from_secs(seconds: f64) -> Self {
        TimeDelta(micros(seconds))
    }

    pub const fn from_micros(micros: i64) -> Self {
        TimeDelta(micros)
    }

    pub const fn micros(self) -> i64 {
        self.0
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn times(self, factor: f64) -> TimeDelta {
        TimeDelta((self.0 as f64 * factor).round() as i64)
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;
    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;
    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;
    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }
}
