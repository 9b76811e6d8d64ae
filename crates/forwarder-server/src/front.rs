//! Clients' connections: taken in as the gate says, held to make progress, each with one line at its end.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_http::error::DispatchError;
use actix_http::{HttpService, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use lynxmill_forwarder::Progress;
use lynxmill_lingering_close::LingeringClose;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Sleep;

use crate::app::App;
use crate::back::Timeouts;
use crate::invoke::invoke;

/// How long a client may take to close its side after its last answer.
const LINGER: Duration = Duration::from_secs(2);

/// What has gone over a connection, and why it was cut.
#[derive(Default)]
struct ConnectionLog {
    read: Cell<u64>,
    written: Cell<u64>,
    /// Its other side has ended, and how many invocations came and were answered.
    over: Cell<bool>,
    asked: Cell<u64>,
    answered: Cell<u64>,
    cut: Cell<Option<&'static str>>,
}

/// A client's socket, and how far its close is. It outlasts what the HTTP library does with it.
struct ClientSocket {
    stream: TcpStream,
    closing: LingeringClose,
}

/// A client's connection that is cut once it takes nothing of what is written.
pub(crate) struct Front {
    socket: Rc<RefCell<ClientSocket>>,
    patience: Timeouts,
    progress: Progress,
    alarm: Pin<Box<Sleep>>,
    told: Rc<ConnectionLog>,
}

impl Front {
    fn new(stream: TcpStream, patience: Timeouts, told: Rc<ConnectionLog>) -> Self {
        let socket = ClientSocket {
            stream,
            closing: LingeringClose::new(LINGER),
        };
        Front {
            socket: Rc::new(RefCell::new(socket)),
            patience,
            progress: patience.progress(),
            alarm: Box::pin(tokio::time::sleep(Duration::ZERO)),
            told,
        }
    }

    fn wrote(
        &mut self,
        cx: &mut Context<'_>,
        wrote: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let now = self.patience.clock.now();
        match wrote {
            Poll::Ready(Ok(wrote)) => {
                self.told
                    .written
                    .set(self.told.written.get() + wrote as u64);
                self.progress.moved(now, wrote as u64);
                self.socket.borrow_mut().closing.wrote();
                Poll::Ready(Ok(wrote))
            }
            Poll::Pending => {
                self.progress.expect(now);
                loop {
                    let until = self.progress.until().unwrap_or(now);
                    self.alarm
                        .as_mut()
                        .reset(self.patience.clock.instant(until));
                    ready!(self.alarm.as_mut().poll(cx));
                    if self.progress.stalled(self.patience.clock.now()) {
                        self.told.cut.set(Some("client-stalled"));
                        return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                    }
                    self.progress.moved(self.patience.clock.now(), 0);
                    self.progress.expect(self.patience.clock.now());
                }
            }
            failed => failed,
        }
    }
}

impl AsyncRead for Front {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = to.filled().len();
        let read = Pin::new(&mut self.socket.borrow_mut().stream).poll_read(cx, to);
        let got = to.filled().len() - before;
        self.told.read.set(self.told.read.get() + got as u64);
        if got == 0 && to.remaining() > 0 && matches!(read, Poll::Ready(Ok(()))) {
            self.told.over.set(true);
        }
        read
    }
}

impl AsyncWrite for Front {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.socket.borrow_mut().stream).poll_write(cx, bytes);
        self.wrote(cx, wrote)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket.borrow_mut().stream).poll_shutdown(cx)
    }
}

/// Closes a client's connection once it has got what was written.
async fn close(socket: &RefCell<ClientSocket>) {
    let closed = poll_fn(|cx| {
        let mut socket = socket.borrow_mut();
        let ClientSocket { stream, closing } = &mut *socket;
        closing.poll_close(stream, cx)
    });
    // Its client has reset it: nothing is left to be done.
    let _ = closed.await;
}

/// A place inside the gate.
struct GatePermit(Rc<App>, IpAddr);

impl Drop for GatePermit {
    fn drop(&mut self) {
        self.0.gate.borrow_mut().leave(self.1);
        self.0.changed.notify_waiters();
    }
}

fn reason(end: &Result<(), DispatchError>, told: &ConnectionLog) -> &'static str {
    if let Some(cut) = told.cut.get() {
        return cut;
    }
    match end {
        // Ends of our own: a head that did not become whole, or nothing more to say.
        Ok(()) if !told.over.get() && told.asked.get() == 0 && told.read.get() > 0 => "slow-head",
        Ok(()) if !told.over.get() && told.asked.get() > told.answered.get() => "bad-body",
        Ok(()) if !told.over.get() => "done",
        Ok(()) => "peer-closed",
        Err(DispatchError::Parse(_)) => "bad-frame",
        Err(DispatchError::SlowRequestTimeout) => "slow-head",
        Err(DispatchError::Body(_)) => "server-broke",
        Err(DispatchError::HandlerDroppedPayload) => "body-unread",
        Err(DispatchError::DisconnectTimeout) => "unread",
        Err(DispatchError::Io(_)) => "peer-reset",
        Err(_) => "other",
    }
}

fn ended(app: &App, peer: SocketAddr, reason: &'static str, told: &ConnectionLog) {
    app.count(reason);
    let (read, written, asked) = (told.read.get(), told.written.get(), told.asked.get());
    log::info!(peer:%, reason, read, written, asked;
        "connection {peer} ended reason={reason} asked={asked} read={read} written={written}");
}

/// The port, which several may share where the file says so.
pub(crate) fn listen(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(at),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(1024)?;
    TcpListener::from_std(socket.into())
}

/// Serves until it is told to end, then until nobody is inside any more or the time for that is over.
pub(crate) async fn serve(app: Rc<App>, listener: TcpListener) -> io::Result<()> {
    let of = &app.wish.limits;
    let (span, least) = app.stall();
    let patience = Timeouts {
        clock: app.clock,
        span,
        least,
    };
    let serving = app.clone();
    let ends = app.clone();
    let service = HttpService::<Front, _, _>::build()
        .keep_alive(Duration::from_secs_f64(of.keep_alive_s))
        .client_request_timeout(Duration::from_millis(of.head_ms))
        .client_disconnect_timeout(Duration::from_millis(of.head_ms))
        .h1_allow_half_closed(false)
        .h1_write_buffer_size(of.window_bytes)
        .graceful_shutdown_signal(move || {
            let ends = ends.clone();
            async move {
                ends.ending.cancelled().await;
                let Some(until) = ends.gate.borrow().idle_until() else {
                    return;
                };
                let left = (until - ends.now()).secs().max(0.0);
                tokio::time::sleep(Duration::from_secs_f64(left)).await;
            }
        })
        .on_connect_ext(|front: &Front, kept| drop(kept.insert(front.told.clone())))
        .h1(fn_service(move |asked: Request| {
            let app = serving.clone();
            let told = asked
                .conn_data::<Rc<ConnectionLog>>()
                .cloned()
                .unwrap_or_default();
            told.asked.set(told.asked.get() + 1);
            async move {
                let peer = asked.peer_addr().map(|peer| peer.ip());
                let answer = invoke(app, peer, asked).await;
                told.answered.set(told.answered.get() + 1);
                Ok::<_, std::convert::Infallible>(answer)
            }
        }));
    let service = Rc::new(
        service
            .new_service(())
            .await
            .map_err(|()| io::Error::other("no service"))?,
    );
    let take = |stream: TcpStream, peer: SocketAddr| {
        let told = Rc::new(ConnectionLog::default());
        if let Err(shut) = app.gate.borrow_mut().enter(peer.ip()) {
            return ended(&app, peer, shut.code(), &told);
        }
        let inside = GatePermit(app.clone(), peer.ip());
        let _ = stream.set_nodelay(true);
        let front = Front::new(stream, patience, told.clone());
        let socket = front.socket.clone();
        let service = service.clone();
        actix_rt::spawn(async move {
            let end = service.call((front, Some(peer))).await;
            ended(&inside.0, peer, reason(&end, &told), &told);
            // One that took nothing any more gets no time for the rest either.
            if told.cut.get().is_none() {
                close(&socket).await;
            }
        });
    };
    loop {
        tokio::select! {
            came = listener.accept() => match came {
                Ok((stream, peer)) => take(stream, peer),
                Err(e) => {
                    // No descriptors: those inside go on.
                    log::warn!("a connection could not be taken: {e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
            () = app.ending.cancelled() => break,
        }
    }
    // Those whose connection had come up are served yet; whoever comes later meets a successor.
    while let Some(Ok((stream, peer))) = futures_util::FutureExt::now_or_never(listener.accept()) {
        take(stream, peer);
    }
    drop(listener);
    loop {
        let changed = app.changed.notified();
        if app.gate.borrow().over(app.now()) {
            return Ok(());
        }
        let _ = tokio::time::timeout(Duration::from_millis(20), changed).await;
    }
}
