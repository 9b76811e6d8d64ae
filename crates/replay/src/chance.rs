//! Chance: a draw belongs to what it is for, so that another setting doesn't shift the draws of all that
//! follows.

use rand_core::Rng;
use rand_pcg::Pcg32;

/// What draws are for.
#[derive(Clone, Copy)]
pub(crate) enum For {
    Front = 1,
    Level,
    Honour,
    Delay,
    Read,
    Seed,
    Made,
    Spoilt,
    Hunt,
    Key,
}

pub(crate) struct Chance(Pcg32);

impl Chance {
    /// The stream of draws for one thing, told by its numbers.
    pub(crate) fn of(seed: u64, what: For, one: u64, two: u64) -> Self {
        let mixed =
            one.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ two.wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
        let mut chance = Chance(Pcg32::new(seed ^ mixed, what as u64));
        // The first outputs of near seeds are alike.
        let _ = (chance.0.next_u32(), chance.0.next_u32());
        chance
    }

    /// Uniform in 0..1.
    pub(crate) fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    pub(crate) fn below(&mut self, most: usize) -> usize {
        (self.unit() * most as f64) as usize
    }

    pub(crate) fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.unit()
    }

    pub(crate) fn word(&mut self) -> u64 {
        self.0.next_u64()
    }
}
