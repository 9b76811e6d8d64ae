//! Points in time and spans, in microseconds; one can't be taken for the other.

use std::ops::{Add, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(i64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

fn micros(seconds: f64) -> i64 {
    (seconds * 1e6).round() as i64
}

impl Moment {
    pub fn from_secs(seconds: f64) -> Self {
        Moment(micros(seconds))
    }

    /// Microseconds since the clock's beginning.
    pub const fn from_micros(micros: i64) -> Self {
        Moment(micros)
    }

    pub const fn micros(self) -> i64 {
        self.0
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Span {
    pub fn from_secs(seconds: f64) -> Self {
        Span(micros(seconds))
    }

    pub const fn from_micros(micros: i64) -> Self {
        Span(micros)
    }

    pub const fn micros(self) -> i64 {
        self.0
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as i64)
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
