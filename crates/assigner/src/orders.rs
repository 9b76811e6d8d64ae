//! The writer that a round's decisions go to.

use lynxmill_time::TimeDelta;

pub trait Orders {
    /// Make `task` the owner of a slice.
    fn publish(&mut self, slice: usize, task: u32);
    /// Take the owner's line out of a slice's table.
    fn shut(&mut self, slice: usize, task: u32);
    /// Let in this much of the operations in `mask`.
    fn let_in(&mut self, slice: usize, mask: u64, level: f64, again: u8);
    /// Ask every joined proxy to answer once it has applied what this round writes.
    fn mark(&mut self, number: u16);
    fn wake(&mut self, after: TimeDelta);
    fn subscribe(&mut self);
    /// Ask a server whether it is there.
    fn probe(&mut self, task: u32);
    /// For those who watch: the slices of a server that answers no one are on their way.
    fn answers_no_one(&mut self, task: u32);
    /// For those who watch: a slice stays with its owner, as a proxy keeps silent.
    fn stays(&mut self, slice: usize);
}
