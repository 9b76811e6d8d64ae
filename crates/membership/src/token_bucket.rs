//! How much may be sent: so much a second, and what of one second was left over.

use lynxmill_time::Timestamp;

#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    left: f64,
    at: Timestamp,
}

impl Bucket {
    /// So much a second, of which a second's worth may come at once.
    pub fn new(rate: f64, now: Timestamp) -> Self {
        Bucket {
            rate,
            left: rate,
            at: now,
        }
    }

    fn fill(&mut self, now: Timestamp) {
        if now > self.at {
            self.left = (self.left + (now - self.at).secs() * self.rate).min(self.rate);
            self.at = now;
        }
    }

    /// Whether so much may be taken, with this part of a second's worth kept for what matters more.
    pub fn has(&mut self, now: Timestamp, much: f64, kept: f64) -> bool {
        self.fill(now);
        self.left - much >= self.rate * kept
    }

    pub fn take(&mut self, much: f64) {
        self.left -= much;
    }
}
