//! PCG-XSH-RR 64/32: one stream for each instance.

/// A generator of the PCG family with 64 bits of state.
#[derive(Clone, Debug, Default)]
pub struct Pcg(u64);

impl Pcg {
    /// The same seed gives the same numbers.
    pub fn new(seed: u64) -> Self {
        let mut pcg = Pcg(seed);
        pcg.next();
        pcg
    }

    fn next(&mut self) -> u32 {
        let old = self.0;
        self.0 = old
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// Uniform in 0..1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.next()) / 4_294_967_296.0
    }
}
