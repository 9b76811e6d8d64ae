//! Compressed messages to edges. Tasks, routes and edges repeat the names of zones and services, so that what an edge
//! gets when it joins shrinks to a fraction. Only edges that say so in their first message are sent any.

use prost::Message;

use crate::edge::{ToEdge, ToEdgeBody};
use crate::frame::{FrameError, MAX_FRAME_BYTES};

/// Shorter messages are sent as they are.
const MIN_BYTES: usize = 512;
/// A low level of `zstd`: a member compresses for each edge that joins.
const LEVEL: i32 = 3;

impl ToEdge {
    /// A message as it is.
    pub fn plain(body: ToEdgeBody) -> ToEdge {
        ToEdge {
            body: Some(body),
            ..ToEdge::default()
        }
    }

    /// The same message compressed; none if that saves nothing.
    pub fn compressed(&self) -> Option<ToEdge> {
        let plain = self.encode_to_vec();
        if plain.len() < MIN_BYTES {
            return None;
        }
        let compressed = zstd::bulk::compress(&plain, LEVEL).ok()?;
        if compressed.len() >= plain.len() {
            return None;
        }
        Some(ToEdge {
            body: None,
            compressed,
            plain_bytes: plain.len() as u32,
        })
    }

    /// The body, decompressed if need be; none if its kind is not known to this build.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if it is longer than a frame may be, or can't be read: the stream has to be closed.
    pub fn into_body(self) -> Result<Option<ToEdgeBody>, FrameError> {
        if self.compressed.is_empty() {
            return Ok(self.body);
        }
        let length = self.plain_bytes as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let unreadable = |error: String| FrameError::Unreadable(error);
        let plain = zstd::bulk::decompress(&self.compressed, length)
            .map_err(|error| unreadable(error.to_string()))?;
        let message = ToEdge::decode(plain.as_slice()).map_err(|e| unreadable(e.to_string()))?;
        if message.compressed.is_empty() {
            Ok(message.body)
        } else {
            Err(unreadable("compressed twice".to_owned()))
        }
    }
}
