//! The socket of a peer as an HTTP server uses it: it closes without losing an answer, and cuts a peer off that takes
//! nothing of one.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::LingeringClose;

/// How long a peer may take to close its side after its last answer.
const LINGER: Duration = Duration::from_secs(2);

/// Is told how far the answers on a connection are written.
pub trait WriteObserver {
    /// The socket has taken some bytes.
    fn wrote(&self, bytes: usize);
    /// The socket has taken all bytes that there are.
    fn flushed(&self);
    /// The peer has taken nothing of an answer for too long.
    fn stalled(&self);
}

/// A server's side of one connection. The HTTP library flushes it only when it holds no more bytes itself.
#[derive(Debug)]
pub struct ServerStream<O> {
    stream: TcpStream,
    observer: O,
    closing: LingeringClose,
    /// How long the peer may take none of an answer.
    longest_stall: Duration,
    /// Runs while the peer takes none.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<O: WriteObserver> ServerStream<O> {
    /// A peer that takes nothing of an answer for `longest_stall` is cut off.
    pub fn new(stream: TcpStream, observer: O, longest_stall: Duration) -> Self {
        ServerStream {
            stream,
            observer,
            closing: LingeringClose::new(LINGER),
            longest_stall,
            stalled: None,
        }
    }

    /// Notes how much the socket took.
    fn poll_wrote(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let Poll::Ready(written) = written else {
            return self.poll_stalled(context).map(Err);
        };
        self.stalled = None;
        if let Ok(bytes) = &written {
            self.observer.wrote(*bytes);
            self.closing.wrote();
        }
        Poll::Ready(written)
    }

    fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let longest = self.longest_stall;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(longest)));
        ready!(stalled.as_mut().poll(context));
        self.observer.stalled();
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }
}

impl<O: WriteObserver + Unpin> AsyncRead for ServerStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<O: WriteObserver + Unpin> AsyncWrite for ServerStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.poll_wrote(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.poll_wrote(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.observer.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.closing.poll_close(&mut this.stream, context)
    }
}
