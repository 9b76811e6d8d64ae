//! Bodies of requests: read in full, within bounds of size, memory and time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::response::{self, Response};
use crate::server::Limits;

/// How long a caller is to wait that was refused as bodies take too much memory, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than one body may be.
    #[error("the body is too long")]
    TooLong,
    /// The bodies of all callers together take as much memory as they may.
    #[error("too many bodies are being read")]
    NoRoom,
    /// It did not come in time.
    #[error("the body came too slowly")]
    TooSlow,
    /// It ended early or can't be read.
    #[error("the body is cut short")]
    CutShort,
}

impl BodyError {
    pub(crate) fn response(self) -> Response {
        let status = match self {
            BodyError::TooLong => 413,
            BodyError::NoRoom => 503,
            BodyError::TooSlow => 408,
            BodyError::CutShort => 400,
        };
        let mut refusal = response::error(status, self);
        if self == BodyError::NoRoom {
            refusal
                .headers_mut()
                .insert(hyper::header::RETRY_AFTER, RETRY_AFTER_S.into());
        }
        refusal
    }
}

/// The bytes that bodies of all callers hold.
#[derive(Debug, Default)]
pub(crate) struct BodyMemory(AtomicUsize);

/// Bytes that one body holds until this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Reservation {
    pub(crate) fn new(memory: Arc<BodyMemory>) -> Self {
        Reservation { memory, bytes: 0 }
    }

    /// Takes room for more bytes; whether there is any.
    fn grow(&mut self, bytes: usize, most: usize) -> bool {
        let before = self.memory.0.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= most
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body to its end.
pub(crate) async fn read(
    body: Incoming,
    limits: &Limits,
    reservation: &mut Reservation,
) -> Result<Bytes, BodyError> {
    timeout(limits.body_time, read_frames(body, limits, reservation))
        .await
        .unwrap_or(Err(BodyError::TooSlow))
}

async fn read_frames(
    mut body: Incoming,
    limits: &Limits,
    reservation: &mut Reservation,
) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::CutShort)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > limits.body_bytes {
            return Err(BodyError::TooLong);
        }
        if !reservation.grow(data.len(), limits.all_bodies_bytes) {
            return Err(BodyError::NoRoom);
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.freeze())
}
