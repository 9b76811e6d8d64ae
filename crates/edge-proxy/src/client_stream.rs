//! The socket of a client's connection, which tells how far its answers are written and closes without losing any.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use lynxmill_lingering_close::LingeringClose;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::connections::OpenConnection;

/// How long a client may take to close its side after its last answer.
const LINGER: Duration = Duration::from_secs(2);

/// A client's socket. The HTTP library flushes it only when it holds no more bytes itself.
pub(crate) struct ClientStream {
    stream: TcpStream,
    connection: Rc<OpenConnection>,
    closing: LingeringClose,
    /// How long the client may take none of an answer.
    longest_stall: Duration,
    /// Runs while the client takes none.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Rc<OpenConnection>,
        longest_stall: Duration,
    ) -> Self {
        ClientStream {
            stream,
            connection,
            closing: LingeringClose::new(LINGER),
            longest_stall,
            stalled: None,
        }
    }

    /// Notes how much the client's socket took; a client that takes nothing for too long is cut off.
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
            self.connection.wrote(*bytes);
            self.closing.wrote();
        }
        Poll::Ready(written)
    }

    fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let longest = self.longest_stall;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(longest)));
        ready!(stalled.as_mut().poll(context));
        self.connection.client_stalled();
        Poll::Ready(io::ErrorKind::TimedOut.into())
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
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.closing.poll_close(&mut this.stream, context)
    }
}
