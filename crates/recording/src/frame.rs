//! Frames: a kind, a number that counts up, lengths, a checksum, and a body packed by zstd.

use std::fmt;

/// What every file begins with, and the version of what follows.
pub(crate) const MARK: &[u8; 8] = b"lynxday\n";
pub const VERSION: u16 = 1;
/// A body is never longer than this, packed or not: bounds what a damaged length can ask for.
pub(crate) const LONGEST: usize = 8 << 20;
/// Kind, number, packed length, length, checksum.
pub(crate) const HEAD: usize = 1 + 4 * 4;
/// The packing's level: the daemon packs while it serves, so it is a quick one.
const LEVEL: i32 = 1;

/// Why a day can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Nothing is there, or no head.
    Empty,
    NoDay,
    /// Written by a later version.
    Newer(u16),
    /// The frame that begins at this byte is not what its checksum, number or length says.
    Damaged {
        at: usize,
        what: String,
    },
    /// Its parts contradict each other.
    Odd(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Empty => write!(f, "the day is empty"),
            FrameError::NoDay => write!(f, "this is no recorded day"),
            FrameError::Newer(version) => {
                write!(
                    f,
                    "written in version {version}, this program reads up to {VERSION}"
                )
            }
            FrameError::Damaged { at, what } => write!(f, "damaged at byte {at}: {what}"),
            FrameError::Odd(what) => write!(f, "odd day: {what}"),
        }
    }
}

impl std::error::Error for FrameError {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Head = 1,
    World = 2,
    Asks = 3,
    Troubles = 4,
    Log = 5,
    /// The writer ended in order.
    End = 9,
}

impl Kind {
    fn of(byte: u8) -> Option<Self> {
        [
            Kind::Head,
            Kind::World,
            Kind::Asks,
            Kind::Troubles,
            Kind::Log,
            Kind::End,
        ]
        .into_iter()
        .find(|kind| *kind as u8 == byte)
    }
}

fn sum(head: &[u8], body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(head);
    sum.update(body);
    sum.finalize()
}

/// One frame, ready to be written.
///
/// # Errors
/// A body over `LONGEST`, which no writer here makes.
pub(crate) fn pack(kind: Kind, number: u32, body: &[u8]) -> Result<Vec<u8>, FrameError> {
    let odd = |what: String| FrameError::Odd(what);
    if body.len() > LONGEST {
        return Err(odd(format!("a frame of {} bytes", body.len())));
    }
    let packed = zstd::bulk::compress(body, LEVEL).map_err(|e| odd(e.to_string()))?;
    let mut frame = Vec::with_capacity(HEAD + packed.len());
    frame.push(kind as u8);
    for part in [number, packed.len() as u32, body.len() as u32] {
        frame.extend(part.to_le_bytes());
    }
    let sum = sum(&frame, &packed);
    frame.extend(sum.to_le_bytes());
    frame.extend(packed);
    Ok(frame)
}

/// The same frame with another number.
pub(crate) fn renumbered(frame: &[u8], number: u32) -> Vec<u8> {
    let mut frame = frame.to_vec();
    if frame.len() >= HEAD {
        frame[1..5].copy_from_slice(&number.to_le_bytes());
        let sum = sum(&frame[..HEAD - 4], &frame[HEAD..]);
        frame[HEAD - 4..HEAD].copy_from_slice(&sum.to_le_bytes());
    }
    frame
}

/// A frame that has been read.
pub(crate) struct Frame {
    pub kind: Kind,
    pub body: Vec<u8>,
    /// Where the next one begins.
    pub end: usize,
}

fn word(bytes: &[u8], at: usize) -> u32 {
    let four = bytes.get(at..at + 4).and_then(|four| four.try_into().ok());
    four.map_or(0, u32::from_le_bytes)
}

/// The frame that begins at byte `at`, which must have this number. `None` where it is not whole: a day cut off
/// by a kill ends so.
///
/// # Errors
/// `Damaged` where checksum, number, kind or lengths are not what they should be.
pub(crate) fn unpack(bytes: &[u8], at: usize, number: u32) -> Result<Option<Frame>, FrameError> {
    let damaged = |what: &str| FrameError::Damaged {
        at,
        what: what.to_owned(),
    };
    let rest = bytes.get(at..).unwrap_or_default();
    if rest.len() < HEAD {
        return Ok(None);
    }
    let (packed, length) = (word(rest, 5) as usize, word(rest, 9) as usize);
    if packed > LONGEST + LONGEST / 8 || length > LONGEST {
        return Err(damaged("a length that can't be"));
    }
    let Some(body) = rest.get(HEAD..HEAD + packed) else {
        return Ok(None);
    };
    if sum(&rest[..HEAD - 4], body) != word(rest, HEAD - 4) {
        return Err(damaged("the checksum doesn't match"));
    }
    let kind = Kind::of(rest[0]).ok_or_else(|| damaged("a kind of frame that nobody knows"))?;
    if word(rest, 1) != number {
        return Err(damaged(&format!(
            "frame {} where {number} is due",
            word(rest, 1)
        )));
    }
    let body = zstd::bulk::decompress(body, length).map_err(|e| damaged(&e.to_string()))?;
    if body.len() != length {
        return Err(damaged("its body has another length"));
    }
    Ok(Some(Frame {
        kind,
        body,
        end: at + HEAD + packed,
    }))
}
