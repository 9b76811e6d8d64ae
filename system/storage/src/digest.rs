//! Digests over ranges of names, to find what two copies do not share.

use lynxmill_configuration::{Configuration, Item, fnv1a};

pub const RANGES: usize = 64;

pub fn range(key: &str) -> usize {
    (fnv1a(key.bytes()) >> 32) as usize % RANGES
}

/// SplitMix64's last steps: without them the sum of two items that went on by the same version often stays.
fn mixed(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

fn digest(item: &Item) -> u64 {
    let bytes = item.key.bytes().chain(item.version.to_be_bytes()).chain([u8::from(item.dropped)]);
    mixed(fnv1a(bytes))
}

/// One number a range; the order of items does not matter.
pub fn digests(of: &Configuration) -> Vec<u64> {
    let mut all = vec![0u64; RANGES];
    for item in of.items.values() {
        let sum = &mut all[range(&item.key)];
        *sum = sum.wrapping_add(digest(item));
    }
    all
}

/// Items in ranges whose digest is not as told.
pub fn differing(of: &Configuration, told: &[u64]) -> Vec<Item> {
    let own = digests(of);
    let differs = |item: &&Item| told.get(range(&item.key)) != Some(&own[range(&item.key)]);
    of.items.values().filter(differs).cloned().collect()
}

/// One number for all items.
pub fn sum(of: &Configuration) -> u64 {
    digests(of)
        .into_iter()
        .enumerate()
        .fold(0, |sum: u64, (i, digest)| sum.wrapping_mul(31).wrapping_add(digest ^ i as u64))
}
