//! The socket of a client's connection, which tells how far its answers are written and closes without losing any.
//!
//! A socket that is closed while its client still sends is reset, and what its client has not got by then is lost. So
//! only the sending side is closed at first, and what comes is dropped until the client closes too (RFC 9112, 9.6).

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::connections::OpenConnection;

/// How long a client may take to close its side after its last answer.
const LINGER: Duration = Duration::from_secs(2);
/// Bytes that are read and dropped at a time.
const DISCARD_BYTES: usize = 4 << 10;

/// A client's socket. The HTTP library flushes it only when it holds no more bytes itself.
pub(crate) struct ClientStream {
    stream: TcpStream,
    connection: Rc<OpenConnection>,
    /// Runs once the sending side is closed.
    linger: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub(crate) fn new(stream: TcpStream, connection: Rc<OpenConnection>) -> Self {
        ClientStream {
            stream,
            connection,
            linger: None,
        }
    }

    fn wrote(&self, written: io::Result<usize>) -> Poll<io::Result<usize>> {
        if let Ok(bytes) = &written {
            self.connection.wrote(*bytes);
        }
        Poll::Ready(written)
    }

    /// Drops what the client sends until it has closed its side.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut bytes = [MaybeUninit::uninit(); DISCARD_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        self.wrote(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices));
        self.wrote(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            if !self.connection.wrote_within(LINGER) {
                return Poll::Ready(Ok(()));
            }
            self.linger = Some(Box::pin(sleep(LINGER)));
        }
        if self.poll_discard(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        match &mut self.linger {
            Some(linger) => linger.as_mut().poll(context).map(Ok),
            None => Poll::Pending,
        }
    }
}
