//! Ranges of keys, and finer slices where the requests are: busy keys lie close together, and a slice moves
//! only as a whole.

use lynxmill_protocol::Slice;

/// A slice is split if it has more than this fraction of an owner's fair share of the requests.
const SPLIT_ABOVE_FAIR_SHARE: f64 = 0.3;
/// Into how many slices it is split.
const SPLIT_INTO: u32 = 4;
/// No slice with fewer requests a second is split.
const MIN_SPLIT_RATE: f64 = 1.0;

/// Slices of a service with few tasks, and of one with as many as it may have.
const FEWEST_SLICES: usize = 64;
const MOST_SLICES: usize = 512;
/// Slices for each task: with fewer slices than tasks some tasks would hold no key.
const SLICES_PER_TASK: f64 = 1.5;
/// How many slices there may be for each one at first, once busy ones have been split.
const SPLIT_GROWTH: f64 = 100.0 / 64.0;

/// How many slices a service with so many tasks is divided into at first: a power of two, so that finer slices
/// begin where coarser ones do.
pub(crate) fn initial_count(tasks: usize) -> usize {
    let wanted = (tasks as f64 * SLICES_PER_TASK).ceil() as usize;
    wanted.next_power_of_two().clamp(FEWEST_SLICES, MOST_SLICES)
}

/// Whether so many slices are too few for so many tasks.
pub(crate) fn are_too_few(slices: usize, tasks: usize) -> bool {
    (slices as f64) < tasks as f64 * SLICES_PER_TASK
}

/// How many slices a service with so many tasks may come to, `configured` if it has few.
pub(crate) fn max_count(tasks: usize, configured: usize) -> usize {
    let initial = initial_count(tasks);
    if initial <= FEWEST_SLICES {
        return configured;
    }
    configured.max((initial as f64 * SPLIT_GROWTH) as usize)
}

/// Keys from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyRange {
    pub first: u32,
    pub last: u32,
}

impl KeyRange {
    pub(crate) fn new(first: u32, last: u32) -> Self {
        KeyRange { first, last }
    }

    pub(crate) fn of(slice: &Slice) -> Self {
        KeyRange::new(slice.from, slice.to)
    }
}

/// The slices that a slice is split into; only itself if it is a single key.
pub(crate) fn split_slice(slice: &Slice) -> Vec<Slice> {
    let width = slice.to - slice.from + 1;
    let count = SPLIT_INTO.min(width);
    let boundary = |index: u32| slice.from + width * index / count;
    (0..count)
        .map(|index| Slice {
            from: boundary(index),
            to: boundary(index + 1) - 1,
            ..slice.clone()
        })
        .collect()
}

/// Which slices to split, the busiest first: `rates` are requests a second, `owners` how many tasks share
/// them, `max_slices` how many slices there may be.
pub(crate) fn slices_to_split(
    slices: &[Slice],
    rates: &[f64],
    owners: usize,
    max_slices: usize,
) -> Vec<usize> {
    let fair_share = rates.iter().sum::<f64>() / owners.max(1) as f64;
    let threshold = (fair_share * SPLIT_ABOVE_FAIR_SHARE).max(MIN_SPLIT_RATE);
    let has_keys = |index: usize| slices[index].to > slices[index].from;
    let mut busy: Vec<usize> = (0..slices.len())
        .filter(|&index| rates[index] > threshold && has_keys(index))
        .collect();
    busy.sort_by(|&a, &b| rates[b].total_cmp(&rates[a]));
    let added_by_split = SPLIT_INTO as usize - 1;
    busy.truncate(max_slices.saturating_sub(slices.len()) / added_by_split);
    busy
}

/// Whether the ranges have all keys of `wanted` among them.
pub(crate) fn covers(mut ranges: Vec<KeyRange>, wanted: KeyRange) -> bool {
    ranges.sort_unstable();
    let mut next = wanted.first;
    for range in ranges {
        if range.first <= next && range.last >= next {
            if range.last >= wanted.last {
                return true;
            }
            next = range.last + 1;
        }
    }
    false
}
