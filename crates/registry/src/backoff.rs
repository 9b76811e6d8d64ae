//! Pauses after failures: they double up to a bound and are jittered, so that many clients don't come at once.

use lynxmill_random::Pcg;
use lynxmill_time::TimeDelta;

#[derive(Clone, Debug)]
pub struct Backoff {
    least: TimeDelta,
    most: TimeDelta,
    failures: u32,
    chance: Pcg,
}

impl Backoff {
    pub fn new(least: TimeDelta, most: TimeDelta, seed: u64) -> Self {
        Backoff {
            least,
            most,
            failures: 0,
            chance: Pcg::new(seed),
        }
    }

    pub fn worked(&mut self) {
        self.failures = 0;
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// The pause after one more failure: from half of its span up to the whole.
    pub fn failed(&mut self) -> TimeDelta {
        let doubled = self.least.times(f64::from(1_u32 << self.failures.min(16)));
        self.failures = self.failures.saturating_add(1);
        doubled.min(self.most).times(0.5 + 0.5 * self.chance.unit())
    }
}
