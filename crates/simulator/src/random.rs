//! Seeded chance: the same seed draws the same numbers on every machine.

use lynxmill_random::Pcg;
use lynxmill_time::TimeDelta;

/// A stream of numbers drawn from a seed.
#[derive(Clone, Debug)]
pub(crate) struct Random(Pcg);

/// SplitMix64's last steps: neighbouring seeds begin far apart.
fn mixed(seed: u64) -> u64 {
    let seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let seed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let seed = (seed ^ (seed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    seed ^ (seed >> 31)
}

impl Random {
    /// `purpose` keeps streams of one seed apart.
    pub(crate) fn new(seed: u64, purpose: &str) -> Self {
        let purpose = lynxmill_configuration::fnv1a(purpose.bytes());
        Random(Pcg::new(mixed(seed) ^ mixed(purpose)))
    }

    /// From 0 to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.0.unit()
    }

    /// Whether something of this probability happens.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// From 0 to `most - 1`; 0 if there is nothing to choose.
    pub(crate) fn below(&mut self, most: usize) -> usize {
        ((self.unit() * most as f64) as usize).min(most.saturating_sub(1))
    }

    /// Seconds between two bounds.
    pub(crate) fn seconds(&mut self, least: f64, most: f64) -> f64 {
        least + self.unit() * (most - least)
    }

    /// A time between two bounds, in seconds.
    pub(crate) fn time_delta(&mut self, least: f64, most: f64) -> TimeDelta {
        TimeDelta::from_secs(self.seconds(least, most))
    }

    pub(crate) fn choose<'a, T>(&mut self, of: &'a [T]) -> Option<&'a T> {
        of.get(self.below(of.len()))
    }

    /// A number that is not 0.
    pub(crate) fn number(&mut self) -> u64 {
        1 + (self.unit() * 4e9) as u64
    }
}
