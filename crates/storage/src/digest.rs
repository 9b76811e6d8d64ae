//! Digests over ranges of keys, to find which items two members do not share.

use lynxmill_configuration::{Configuration, Item, finalize, fnv1a};

/// Into how many ranges keys are divided.
pub const RANGE_COUNT: usize = 64;

/// The range of a key.
pub fn range_of(key: &str) -> usize {
    (fnv1a(key.bytes()) >> 32) as usize % RANGE_COUNT
}

/// The digest of an item covers its content and history, so that repair finds copies that differ in these
/// under one version (from before identities were checked, or from before histories). The history's first
/// entry digests the content already; the body itself is read only without one.
fn digest(item: &Item) -> u64 {
    let identity = item
        .key
        .bytes()
        .chain(item.version.to_be_bytes())
        .chain([u8::from(item.dropped)]);
    let history = item
        .history
        .iter()
        .flat_map(|taken| [taken.version, taken.content]);
    let body = if item.history.is_empty() {
        item.body.as_str()
    } else {
        ""
    };
    finalize(fnv1a(
        identity
            .chain(history.flat_map(u64::to_be_bytes))
            .chain(body.bytes()),
    ))
}

/// One digest for each range; it does not depend on the order of items.
pub fn digests(of: &Configuration) -> Vec<u64> {
    let mut all = vec![0u64; RANGE_COUNT];
    for item in of.items.values() {
        let sum = &mut all[range_of(&item.key)];
        *sum = sum.wrapping_add(digest(item));
    }
    all
}

/// The items in ranges whose digest differs from the other's.
pub fn differing_items(of: &Configuration, other: &[u64]) -> Vec<Item> {
    let own = digests(of);
    let differs = |item: &&Item| other.get(range_of(&item.key)) != Some(&own[range_of(&item.key)]);
    of.items.values().filter(differs).cloned().collect()
}

/// One digest of all items.
pub fn combined_digest(of: &Configuration) -> u64 {
    digests(of)
        .into_iter()
        .enumerate()
        .fold(0, |sum: u64, (i, digest)| {
            sum.wrapping_mul(31).wrapping_add(digest ^ i as u64)
        })
}
