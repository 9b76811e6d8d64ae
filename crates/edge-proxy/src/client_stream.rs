//! The socket of a client's connection, which tells how far its answers are written and closes without losing any.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use lynxmill_lingering_close::LingeringClose;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connections::OpenConnection;

/// How long a client may take to close its side after its last answer.
const LINGER: Duration = Duration::from_secs(2);

/// A client's socket. The HTTP library flushes it only when it holds no more bytes itself.
pub(crate) struct ClientStream {
    stream: TcpStream,
    connection: Rc<OpenConnection>,
    closing: LingeringClose,
}

impl ClientStream {
    pub(crate) fn new(stream: TcpStream, connection: Rc<OpenConnection>) -> Self {
        ClientStream {
            stream,
            connection,
            closing: LingeringClose::new(LINGER),
        }
    }

    fn wrote(&mut self, written: io::Result<usize>) -> Poll<io::Result<usize>> {
        if let Ok(bytes) = &written {
            self.connection.wrote(*bytes);
            self.closing.wrote();
        }
        Poll::Ready(written)
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
        let this = &mut *self;
        this.closing.poll_close(&mut this.stream, context)
    }
}
