//! Collects the decisions of one round of the assigner.

use lynxmill_assigner::Orders;
use lynxmill_time::TimeDelta;

/// What the assigner has decided in a round.
#[derive(Default)]
pub(crate) struct Decisions {
    /// Slices that get this task as their next owner.
    pub published: Vec<(usize, u32)>,
    /// Slices that are to be closed at all edges.
    pub closed: Vec<usize>,
    /// A barrier was made: its number, 16 bits.
    pub barrier: Option<u16>,
    /// When the next round is due at the latest.
    pub wake: Option<TimeDelta>,
    /// Slices that stay where they are since an edge does not answer.
    pub staying: Vec<usize>,
}

impl Orders for Decisions {
    fn publish(&mut self, slice: usize, task: u32) {
        self.closed.retain(|s| *s != slice);
        self.published.push((slice, task));
    }

    fn shut(&mut self, slice: usize, _task: u32) {
        self.closed.push(slice);
    }

    fn let_in(&mut self, _slice: usize, _mask: u64, _level: f64, _again: u8) {}

    fn mark(&mut self, number: u16) {
        self.barrier = Some(number);
    }

    fn wake(&mut self, after: TimeDelta) {
        self.wake = Some(after);
    }

    fn subscribe(&mut self) {}

    fn probe(&mut self, _task: u32) {}

    fn answers_no_one(&mut self, _task: u32) {}

    fn stays(&mut self, slice: usize) {
        self.staying.push(slice);
    }
}
