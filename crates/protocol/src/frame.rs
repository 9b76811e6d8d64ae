//! Frames: a length of four bytes and a body.

use bytes::{Buf, BytesMut};
use prost::Message;

/// The longest body that is taken, in bytes.
pub const MOST: usize = 32 << 20;

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    #[error("a frame can't be read: {0}")]
    Unreadable(String),
}

/// A message as it goes out.
pub fn frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut out = Vec::with_capacity(length + 4);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    message.encode(&mut out).expect("a vector has room");
    out
}

/// What has come in of a stream.
#[derive(Default)]
pub struct Frames {
    bytes: BytesMut,
}

impl Frames {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message.
    pub fn take<M: Message + Default>(&mut self) -> Result<Option<M>, Broken> {
        let Some(head) = self.bytes.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MOST {
            return Err(Broken::TooLong(length));
        }
        if self.bytes.len() < 4 + length {
            return Ok(None);
        }
        self.bytes.advance(4);
        let body = self.bytes.split_to(length);
        M::decode(body)
            .map(Some)
            .map_err(|e| Broken::Unreadable(e.to_string()))
    }
}
