//! FNV-1a, the same on every machine: digests, lots and orders are made of it.

const START: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x100_0000_01b3;

pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(START, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
