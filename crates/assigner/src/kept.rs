//! What the module keeps of slices, of streams and of messages that it sent.

use lynxmill_time::Timestamp;

/// A slice on its way from one owner to the next.
#[derive(Clone, Copy)]
pub(crate) struct Handover {
    pub mark: u64,
    pub since: Timestamp,
    pub fence: Timestamp,
}

#[derive(Clone, Default)]
pub(crate) struct Slice {
    pub mine: bool,
    pub owner: Option<usize>,
    pub given: Timestamp,
    pub republish: bool,
    pub generation: u64,
    pub handover: Option<Handover>,
    pub rate: Option<Vec<f64>>,
    /// The server that an operator wants it at.
    pub wish: Option<usize>,
    /// What its levels were last written for.
    pub admitted: Option<f64>,
}

/// A proxy's stream: the marks it has been asked and has answered count only from `since` on.
#[derive(Clone, Copy, Default)]
pub(crate) struct Stream {
    pub joined: bool,
    pub parted: Timestamp,
    pub since: u64,
    /// The mark at which it joined for sure; what was told to be joined already may be told so again.
    pub begun: u64,
    /// The newest mark that was in the store for certain when it came back, and when it had parted before.
    pub shown: u64,
    pub rid: Timestamp,
    pub asked: u64,
    /// The newest that it answered, on this stream or one before.
    pub answered: u64,
}

/// A message: its mark and the lines it is for each proxy.
pub(crate) struct Sent {
    pub mark: u64,
    pub at: Timestamp,
    pub lines: f64,
}
