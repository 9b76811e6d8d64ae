//! Frames: a length of four bytes and a body.

use bytes::{Buf, BytesMut};
use prost::Message;

/// The longest body that is taken, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 << 20;

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    #[error("a frame can't be read: {0}")]
    Unreadable(String),
}

/// A message as it goes out.
pub fn encode_frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut out = Vec::with_capacity(length + 4);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    message.encode(&mut out).expect("a vector has room");
    out
}

/// What has come in of a stream.
#[derive(Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let Some(head) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        self.buffer.advance(4);
        let body = self.buffer.split_to(length);
        M::decode(body)
            .map(Some)
            .map_err(|e| FrameError::Unreadable(e.to_string()))
    }
}
