//! The last of a day in bounded memory: the oldest frames of its log make room.

use std::collections::VecDeque;

use crate::frame::{FrameError, Kind, MARK, VERSION, pack, renumbered};
use crate::parts::{Entry, Head, Life, Log};

pub struct Ring {
    head: Vec<u8>,
    /// Bodies of log frames and how many entries each holds.
    held: VecDeque<(Vec<u8>, u64)>,
    bytes: usize,
    most: usize,
    /// Entries that have made room.
    gone: u64,
}

fn packed(part: &impl serde::Serialize) -> Result<Vec<u8>, FrameError> {
    postcard::to_stdvec(part).map_err(|e| FrameError::Odd(e.to_string()))
}

impl Ring {
    /// `most` bounds the bytes of frames held.
    ///
    /// # Errors
    /// A head that can't be put into a frame.
    pub fn new(head: &Head, most: usize) -> Result<Self, FrameError> {
        Ok(Ring {
            head: packed(head)?,
            held: VecDeque::new(),
            bytes: 0,
            most,
            gone: 0,
        })
    }

    /// Takes a part of the log.
    ///
    /// # Errors
    /// An entry over the bound on a frame; nothing is taken then.
    pub fn push(&mut self, log: &[Log]) -> Result<(), FrameError> {
        let mut body = Vec::new();
        for entry in log {
            body.extend(packed(entry)?);
        }
        // Packed now, so that what is held is small; the number is given when it is asked for.
        let frame = pack(Kind::Log, 0, &body)?;
        self.bytes += frame.len();
        self.held.push_back((frame, log.len() as u64));
        while self.bytes > self.most
            && let Some((frame, entries)) = self.held.pop_front()
        {
            self.bytes -= frame.len();
            self.gone += entries;
        }
        Ok(())
    }

    pub fn held(&self) -> usize {
        self.bytes
    }

    /// What is held as a day's file. Where entries have made room it begins with one that tells how many.
    ///
    /// # Errors
    /// As `new`.
    pub fn file(&self) -> Result<Vec<u8>, FrameError> {
        let mut file = MARK.to_vec();
        file.extend(VERSION.to_le_bytes());
        file.extend(pack(Kind::Head, 0, &self.head)?);
        let mut number = 1;
        if self.gone > 0 {
            let missing = Log {
                at: 0,
                of: Life {
                    assigner: 0,
                    life: 1,
                },
                entry: Entry::Missing(self.gone),
            };
            file.extend(pack(Kind::Log, number, &packed(&missing)?)?);
            number += 1;
        }
        for (frame, _) in &self.held {
            file.extend(renumbered(frame, number));
            number += 1;
        }
        file.extend(pack(Kind::End, number, &[])?);
        Ok(file)
    }
}
