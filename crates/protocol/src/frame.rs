//! Frames on a stream: four bytes of length, most significant first, and an encoded message.

use bytes::{Buf, BytesMut};
use prost::Message;

/// The longest message that is accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 << 20;

/// Why a stream can't be read any further: its connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame announces more than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// The bytes are no message of the expected type.
    #[error("a frame can't be read: {0}")]
    Unreadable(String),
}

/// A message with its length in front.
///
/// # Panics
///
/// Never: a vector grows as needed, which is the only way for encoding to fail.
pub fn encode_frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut out = Vec::with_capacity(length + 4);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    message.encode(&mut out).expect("a vector has room");
    out
}

/// Collects the bytes of a stream and yields its messages.
#[derive(Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete message, or none until more bytes arrive.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the frame is too long or is no message of type `M`.
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
