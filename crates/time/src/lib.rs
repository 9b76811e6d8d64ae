//! Points in time and durations in microseconds, as two types that can't be confused. The clock is
//! passed in by the caller: libraries read none.

use std::ops::{Add, Sub};

/// A point in time, in microseconds since the beginning of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(i64);

/// A duration in microseconds; it may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(i64);

fn micros(seconds: f64) -> i64 {
    (seconds * 1e6).round() as i64
}

impl Timestamp {
    /// Seconds since the clock's beginning, rounded to microseconds.
    pub fn from_secs(seconds: f64) -> Self {
        Timestamp(micros(seconds))
    }

    /// Microseconds since the clock's beginning.
    pub const fn from_micros(micros: i64) -> Self {
        Timestamp(micros)
    }

    /// Microseconds since the clock's beginning.
    pub const fn micros(self) -> i64 {
        self.0
    }

    /// Seconds since the clock's beginning.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl TimeDelta {
    /// From seconds, rounded to microseconds.
    pub fn from_secs(seconds: f64) -> Self {
        TimeDelta(micros(seconds))
    }

    /// From microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        TimeDelta(micros)
    }

    /// In microseconds.
    pub const fn micros(self) -> i64 {
        self.0
    }

    /// In seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplied by a factor, rounded to microseconds.
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
