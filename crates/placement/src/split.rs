//! Finer slices where the requests are: busy keys sit close together, and a slice moves only as a whole.

use lynxmill_protocol::Slice;

/// A slice is cut when it has more than this part of what an owner would have in a fair division.
const BUSY: f64 = 0.3;
/// Into so many parts at a time.
const PARTS: u32 = 4;
/// Requests a second below which no slice is worth it.
const LEAST: f64 = 1.0;
/// The parts of a slice; none if it is a single key.
pub fn parts(slice: &Slice) -> Vec<Slice> {
    let width = slice.to - slice.from + 1;
    let count = PARTS.min(width);
    let edge = |i: u32| slice.from + width * i / count;
    (0..count)
        .map(|i| Slice {
            from: edge(i),
            to: edge(i + 1) - 1,
            ..slice.clone()
        })
        .collect()
}

/// Which slices to cut: `rates` are requests a second, `owners` how many tasks share them, `most` how many
/// slices there may be.
pub fn busy(slices: &[Slice], rates: &[f64], owners: usize, most: usize) -> Vec<usize> {
    let fair = rates.iter().sum::<f64>() / owners.max(1) as f64;
    let wide = |i: usize| slices[i].to > slices[i].from;
    let mut all: Vec<usize> = (0..slices.len())
        .filter(|&i| rates[i] > (fair * BUSY).max(LEAST) && wide(i))
        .collect();
    all.sort_by(|&a, &b| rates[b].total_cmp(&rates[a]));
    all.truncate(most.saturating_sub(slices.len()) / (PARTS as usize - 1));
    all
}

/// Whether rows hold all keys of a range among them.
pub fn covered(mut rows: Vec<(u32, u32)>, from: u32, to: u32) -> bool {
    rows.sort_unstable();
    let mut next = from;
    for (first, last) in rows {
        if first <= next && last >= next {
            if last >= to {
                return true;
            }
            next = last + 1;
        }
    }
    false
}
