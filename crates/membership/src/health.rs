//! How far this instance trusts its own eyes: one that is slow, stalled or cut off takes others for silent.
//! After every sign of that its own probes take longer; after every probe that went well less so (Lifeguard's
//! local health).

/// The most that its patience is multiplied by, less one.
const MOST: u32 = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health(u32);

impl Health {
    /// Helpers that did not even say that they had no answer, a suspicion of this instance, a stall.
    pub fn worse(&mut self, by: u32) {
        self.0 = self.0.saturating_add(by).min(MOST);
    }

    pub fn better(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// What spans are multiplied by: 1 in good health.
    pub fn patience(self) -> f64 {
        f64::from(self.0 + 1)
    }
}
