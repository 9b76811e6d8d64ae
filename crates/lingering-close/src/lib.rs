//! Closes a server's side of a TCP connection without losing the last answer.
//!
//! A socket that is closed while its peer still sends is reset, and what the peer has not got by then is lost. So only
//! the sending side is closed at first, and what comes is dropped until the peer closes too (RFC 9112, section 9.6).

mod stream;

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

pub use stream::{ServerStream, WriteObserver};

/// Bytes that are read and dropped at a time.
const DISCARD_BYTES: usize = 4 << 10;

/// How far the close of one connection is.
#[derive(Debug)]
pub struct LingeringClose {
    /// How long the peer may take to close its side.
    longest: Duration,
    last_write: Option<Instant>,
    /// Runs once the sending side is closed.
    deadline: Option<Pin<Box<Sleep>>>,
}

impl LingeringClose {
    /// The peer gets `longest` to close its side after the last answer. A connection on which nothing was written for as
    /// long is closed at once: its peer has all of it.
    pub fn new(longest: Duration) -> Self {
        LingeringClose {
            longest,
            last_write: None,
            deadline: None,
        }
    }

    /// Some bytes were written.
    pub fn wrote(&mut self) {
        self.last_write = Some(Instant::now());
    }

    /// Closes the sending side of the connection, then waits for the peer.
    ///
    /// # Errors
    ///
    /// The socket's own, where its sending side can't be closed: the peer has reset it.
    pub fn poll_close(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let deadline = match &mut self.deadline {
            Some(deadline) => deadline,
            None => {
                ready!(Pin::new(&mut *stream).poll_shutdown(context))?;
                let last = self.last_write;
                if last.is_none_or(|last| last.elapsed() >= self.longest) {
                    return Poll::Ready(Ok(()));
                }
                self.deadline.insert(Box::pin(sleep(self.longest)))
            }
        };
        if poll_discard(stream, context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        deadline.as_mut().poll(context).map(Ok)
    }
}

/// Drops what the peer sends until it has closed its side.
fn poll_discard(stream: &mut TcpStream, context: &mut Context<'_>) -> Poll<()> {
    loop {
        let mut bytes = [MaybeUninit::uninit(); DISCARD_BYTES];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        match ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer)) {
            Ok(()) if !buffer.filled().is_empty() => {}
            Ok(()) | Err(_) => return Poll::Ready(()),
        }
    }
}
