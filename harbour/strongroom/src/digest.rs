//! Digests over ranges of names, to find what two copies do not share.

use lynxmill_manifest::{Item, Manifest};

pub const RANGES: usize = 64;

/// FNV-1a, the same on every machine.
fn hash(bytes: &[u8], from: u64) -> u64 {
    bytes.iter().fold(from, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

const START: u64 = 0xcbf2_9ce4_8422_2325;

pub fn range(key: &str) -> usize {
    (hash(key.as_bytes(), START) >> 32) as usize % RANGES
}

fn digest(item: &Item) -> u64 {
    let version = item.version * 2 + u64::from(item.dropped);
    hash(&version.to_be_bytes(), hash(item.key.as_bytes(), START))
}

/// One number a range; the order of items does not matter.
pub fn digests(of: &Manifest) -> Vec<u64> {
    let mut all = vec![0u64; RANGES];
    for item in of.items.values() {
        let sum = &mut all[range(&item.key)];
        *sum = sum.wrapping_add(digest(item));
    }
    all
}

/// Items in ranges whose digest is not as told.
pub fn differing(of: &Manifest, told: &[u64]) -> Vec<Item> {
    let own = digests(of);
    let differs = |item: &&Item| told.get(range(&item.key)) != Some(&own[range(&item.key)]);
    of.items.values().filter(differs).cloned().collect()
}
