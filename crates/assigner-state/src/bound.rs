//! What the assigner's records may come to in memory, by the size of its fleet. Nothing else that it holds for longer than a
//! message grows with time: who has gone is forgotten, of servers gone no more are kept than there are others.

/// Bytes for each proxy, for each slice of the deployment whoever has it in charge, and for each server that it knows, with
/// room for what a library's containers take at most beyond what is in them.
const PROXY: usize = 160;
const SLICE: usize = 400;
const SERVER: usize = 1500;
/// What there is without any of them: marks, operations, zones.
const ALONE: usize = 16_000;

/// How much is held for so many; `proxies` and `slices` as the settings tell them, `servers` as they are known, those gone
/// and not yet forgotten among them.
pub(crate) fn bytes_at_most(proxies: usize, slices: usize, servers: usize) -> usize {
    ALONE + proxies * PROXY + slices * SLICE + servers * SERVER
}
