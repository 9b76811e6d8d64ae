//! How much a session may ask for: commands a second with some to spare, told when to return where that is over.

/// Turned away: come again after so many milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimited {
    pub return_ms: u64,
}

/// A bucket that fills at a pace and holds a second's worth. Times are microseconds of the caller's clock.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_second: f64,
    left: f64,
    at: i64,
}

impl RateLimiter {
    pub fn new(per_second: u32, now: i64) -> Self {
        let per_second = f64::from(per_second.max(1));
        RateLimiter {
            per_second,
            left: per_second,
            at: now,
        }
    }

    /// Takes one.
    ///
    /// # Errors
    /// When there will be one.
    pub fn take(&mut self, now: i64) -> Result<(), RateLimited> {
        let passed = (now - self.at).max(0) as f64 / 1e6;
        self.at = self.at.max(now);
        self.left = (self.left + passed * self.per_second).min(self.per_second);
        if self.left >= 1.0 {
            self.left -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.left) / self.per_second;
        Err(RateLimited {
            return_ms: (seconds * 1e3).ceil().max(1.0) as u64,
        })
    }
}
