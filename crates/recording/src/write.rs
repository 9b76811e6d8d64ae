//! Writing a day, frame by frame, so that one cut off at any byte keeps all frames before.

use std::io::{self, Write};

use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::frame::{FrameError, Kind, LONGEST, MARK, VERSION, pack};
use crate::parts::{Asks, Day, Head, Log, RecordedFault, World};

/// Entries to a frame: what a kill may lose, and what a reader must hold at once.
const ENTRIES: usize = 4096;
/// A frame is also closed once it holds this much, far below the bound on one.
const FULL: usize = LONGEST / 16;

pub struct Writer<W> {
    to: W,
    number: u32,
}

fn odd(what: impl ToString) -> FrameError {
    FrameError::Odd(what.to_string())
}

impl<W: Write> Writer<W> {
    /// Begins a day with its head.
    ///
    /// # Errors
    /// What `to` tells; so for all that follows.
    pub fn new(mut to: W, head: &Head) -> io::Result<Self> {
        to.write_all(MARK)?;
        to.write_all(&VERSION.to_le_bytes())?;
        let mut writer = Writer { to, number: 0 };
        writer.one(Kind::Head, head)?;
        Ok(writer)
    }

    fn frame(&mut self, kind: Kind, body: &[u8]) -> io::Result<()> {
        let frame = pack(kind, self.number, body).map_err(io::Error::other)?;
        self.number += 1;
        self.to.write_all(&frame)
    }

    fn one(&mut self, kind: Kind, part: &impl Serialize) -> io::Result<()> {
        let body = postcard::to_stdvec(part).map_err(io::Error::other)?;
        self.frame(kind, &body)
    }

    fn many<T: Serialize>(&mut self, kind: Kind, parts: &[T]) -> io::Result<()> {
        let mut body = Vec::new();
        let mut held = 0;
        for part in parts {
            body.extend(postcard::to_stdvec(part).map_err(io::Error::other)?);
            held += 1;
            if held == ENTRIES || body.len() > FULL {
                self.frame(kind, &body)?;
                (held, body) = (0, Vec::new());
            }
        }
        if body.is_empty() {
            Ok(())
        } else {
            self.frame(kind, &body)
        }
    }

    pub fn world(&mut self, world: &World) -> io::Result<()> {
        self.one(Kind::World, world)
    }

    pub fn asks(&mut self, asks: &[Asks]) -> io::Result<()> {
        self.many(Kind::Asks, asks)
    }

    pub fn troubles(&mut self, troubles: &[RecordedFault]) -> io::Result<()> {
        self.many(Kind::Troubles, troubles)
    }

    pub fn log(&mut self, log: &[Log]) -> io::Result<()> {
        self.many(Kind::Log, log)
    }

    /// Where it writes to.
    pub fn to(&self) -> &W {
        &self.to
    }

    pub fn flush(&mut self) -> io::Result<()> {
        self.to.flush()
    }

    /// Ends the day in order.
    pub fn end(mut self) -> io::Result<W> {
        self.frame(Kind::End, &[])?;
        self.to.flush()?;
        Ok(self.to)
    }
}

/// A whole day as its file's bytes: the same day, the same bytes.
///
/// # Errors
/// Parts that can't be put into frames.
pub fn bytes(day: &Day) -> Result<Vec<u8>, FrameError> {
    let write = || {
        let mut writer = Writer::new(Vec::new(), &day.head)?;
        if let Some(world) = &day.world {
            writer.world(world)?;
        }
        writer.asks(&day.asks)?;
        writer.troubles(&day.troubles)?;
        writer.log(&day.log)?;
        writer.end()
    };
    write().map_err(|e: io::Error| odd(e))
}

/// A name for what was digested: the first 16 hex digits of its SHA-256.
pub fn digest(of: &[u8]) -> String {
    Sha256::digest(of)
        .iter()
        .take(8)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// A running digest of what assigners heard and ordered: two plays with the same course did the same throughout.
#[derive(Default)]
pub struct RunDigest(Sha256);

impl RunDigest {
    pub fn note(&mut self, log: &Log) {
        // Every part of a log can be written; one that could not would be missing from both courses.
        self.0.update(postcard::to_stdvec(log).unwrap_or_default());
    }

    pub fn end(&self) -> String {
        self.0
            .clone()
            .finalize()
            .iter()
            .take(8)
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }
}
