//! Fingerprints of 128 bits, by which states that were visited are remembered.

use std::fmt::{Debug, Write};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Hashes into two lanes of 64 bits each; also takes text, so that whatever has a `Debug` form can be hashed.
#[derive(Clone, Debug)]
pub struct Fingerprint {
    first: u64,
    second: u64,
}

impl Default for Fingerprint {
    fn default() -> Self {
        Fingerprint {
            first: 0x9e37_79b9_7f4a_7c15,
            second: 0xc2b2_ae3d_27d4_eb4f,
        }
    }
}

impl Fingerprint {
    fn word(&mut self, word: u64) {
        self.first = (self.first ^ word)
            .wrapping_mul(0xff51_afd7_ed55_8ccd)
            .rotate_left(29);
        self.second = (self.second.rotate_left(23) ^ word).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        self.second ^= self.second >> 31;
    }

    /// Both lanes.
    pub fn wide(&self) -> u128 {
        let mixed = |lane: u64| (lane ^ (lane >> 32)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (u128::from(mixed(self.first)) << 64) | u128::from(mixed(self.second))
    }

    /// The fingerprint of a value that can be hashed.
    pub fn of(value: &impl Hash) -> u128 {
        let mut hasher = Fingerprint::default();
        value.hash(&mut hasher);
        hasher.wide()
    }
}

impl Hasher for Fingerprint {
    fn finish(&self) -> u64 {
        self.wide() as u64
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.word(u64::from_le_bytes(word));
        }
        self.word(bytes.len() as u64);
    }

    fn write_u8(&mut self, number: u8) {
        self.word(u64::from(number));
    }

    fn write_u64(&mut self, number: u64) {
        self.word(number);
    }

    fn write_usize(&mut self, number: usize) {
        self.word(number as u64);
    }

    fn write_u128(&mut self, number: u128) {
        self.word(number as u64);
        self.word((number >> 64) as u64);
    }
}

impl Write for Fingerprint {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.write(text.as_bytes());
        Ok(())
    }
}

/// What a part of a state has to tell of itself, all of it, so that two states with the same fingerprint are
/// the same.
pub trait Content {
    /// Feeds all that it holds.
    fn feed(&self, into: &mut Fingerprint);
}

impl Fingerprint {
    /// Feeds the `Debug` form of a value whose fields are private: nothing of it is left out.
    pub fn feed_debug(&mut self, value: &impl Debug) {
        let _ = write!(self, "{value:?}");
    }
}

/// A part of a state, shared between the states that have it, with its fingerprint.
#[derive(Clone, Debug)]
pub struct Part<T> {
    value: Arc<T>,
    fingerprint: u128,
}

impl<T: Content> Part<T> {
    /// Takes a value and its fingerprint.
    pub fn new(value: T) -> Self {
        let mut hasher = Fingerprint::default();
        value.feed(&mut hasher);
        Part {
            value: Arc::new(value),
            fingerprint: hasher.wide(),
        }
    }

    /// The fingerprint that was taken.
    pub fn fingerprint(&self) -> u128 {
        self.fingerprint
    }
}

impl<T: Content + Clone> Part<T> {
    /// Changes the value in this state alone.
    pub fn update<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut value = (*self.value).clone();
        let result = change(&mut value);
        *self = Part::new(value);
        result
    }
}

impl<T> std::ops::Deref for Part<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> Hash for Part<T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hasher.write_u128(self.fingerprint);
    }
}
