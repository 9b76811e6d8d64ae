//! The listener, its connections, and the end of both in order.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lynxmill_lingering_close::{ServerStream, WriteObserver};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::body::{self, BodyMemory, Reservation};
use crate::connection::Connection;
use crate::request::Request;
use crate::response::Response;

/// Connections that wait to be taken.
const BACKLOG: i32 = 1024;
/// Between two tries to take a connection where one failed, as for want of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// What callers may take up.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections that are open; further ones wait to be taken.
    pub connections: usize,
    /// How long a head may take, a connection may be idle, and a caller may take nothing of an answer.
    pub idle_time: Duration,
    /// Bytes of one body.
    pub body_bytes: usize,
    /// Bytes of all bodies that have not been answered.
    pub all_bodies_bytes: usize,
    /// How long one body may take.
    pub body_time: Duration,
}

/// How many connections a server has open.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// Their number.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, count: usize) {
        self.0.store(count, Ordering::Relaxed);
    }
}

/// A server that listens.
#[derive(Debug)]
pub struct HttpServer {
    listener: std::net::TcpListener,
    limits: Limits,
    open_connections: OpenConnections,
}

/// What all connections of a server share.
struct Shared<H> {
    handle: H,
    limits: Limits,
    body_memory: Arc<BodyMemory>,
    versions: watch::Receiver<u64>,
    ends: watch::Receiver<bool>,
}

impl HttpServer {
    /// Listens on an address, as `IP:PORT`.
    ///
    /// # Errors
    ///
    /// The system's, if this is not an address or can't be listened on.
    pub fn bind(address: &str, limits: Limits) -> io::Result<Self> {
        let mut addresses = address.to_socket_addrs()?;
        let address = addresses.next().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener = socket.into();
        Ok(HttpServer {
            listener,
            limits,
            open_connections: OpenConnections::default(),
        })
    }

    /// The address that it listens on.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// How many connections it has open, while it serves.
    pub fn open_connections(&self) -> OpenConnections {
        self.open_connections.clone()
    }

    /// Answers calls by `handle` until `ends` is true and the last caller has its answer. A call whose caller closes its
    /// connection before the answer is dropped.
    ///
    /// # Errors
    ///
    /// The system's, if the runtime can't wait for the listener.
    pub async fn serve<H, F>(self, handle: H, ends: watch::Receiver<bool>) -> io::Result<()>
    where
        H: Fn(Request) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let (_unversioned, versions) = watch::channel(0);
        self.serve_versioned(handle, versions, ends).await
    }

    /// As [`serve`](Self::serve), with the version of the state that the calls are about, which only rises. Each request
    /// tells by [`Request::sent_after`] a version that had been reached before its caller sent it: a request that the
    /// network held up tells an old one.
    ///
    /// # Errors
    ///
    /// The system's, if the runtime can't wait for the listener.
    pub async fn serve_versioned<H, F>(
        self,
        handle: H,
        mut versions: watch::Receiver<u64>,
        mut ends: watch::Receiver<bool>,
    ) -> io::Result<()>
    where
        H: Fn(Request) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let shared = Arc::new(Shared {
            handle,
            limits: self.limits,
            body_memory: Arc::default(),
            versions: versions.clone(),
            ends: ends.clone(),
        });
        let listener = TcpListener::from_std(self.listener)?;
        let mut connections = Connections::new(shared, listener, self.open_connections);
        versions.mark_changed();
        loop {
            let has_room = connections.has_room();
            tokio::select! {
                accepted = connections.listener.accept(), if has_room => match accepted {
                    Ok((stream, caller)) => connections.serve(stream, caller),
                    Err(error) => {
                        log::warn!("a caller can't be taken: {error}");
                        sleep(ACCEPT_RETRY).await;
                    }
                },
                Some(_) = connections.open.join_next() => connections.count(),
                Ok(()) = versions.changed() => {
                    let reached = *versions.borrow_and_update();
                    connections.state_reached(reached);
                }
                () = ended(&mut ends) => break,
            }
        }
        connections.finish().await;
        Ok(())
    }
}

/// The connections that a server has taken, and what is known of those that it will take.
struct Connections<H> {
    shared: Arc<Shared<H>>,
    listener: TcpListener,
    open: JoinSet<()>,
    open_connections: OpenConnections,
    /// Connections that are taken from now on were established after the state had reached this version.
    established_after: u64,
}

impl<H, F> Connections<H>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    fn new(
        shared: Arc<Shared<H>>,
        listener: TcpListener,
        open_connections: OpenConnections,
    ) -> Self {
        Connections {
            shared,
            listener,
            open: JoinSet::new(),
            open_connections,
            established_after: 0,
        }
    }

    fn has_room(&self) -> bool {
        self.open.len() < self.shared.limits.connections
    }

    fn serve(&mut self, stream: TcpStream, caller: SocketAddr) {
        let versions = self.shared.versions.clone();
        let connection = Arc::new(Connection::new(caller, versions, self.established_after));
        self.open
            .spawn(serve_connection(self.shared.clone(), stream, connection));
        self.count();
    }

    fn count(&self) {
        self.open_connections.set(self.open.len());
    }

    /// The state has reached a version. Connections that wait to be taken may have been established before; those that
    /// come after them were not.
    fn state_reached(&mut self, version: u64) {
        while self.has_room() {
            match accept_waiting(&self.listener) {
                Ok(Some((stream, caller))) => self.serve(stream, caller),
                Ok(None) => {
                    self.established_after = version;
                    return;
                }
                Err(_) => return,
            }
        }
    }

    /// Takes those that wait, no others, and serves all to their ends.
    async fn finish(mut self) {
        while let Ok(Some((stream, caller))) = accept_waiting(&self.listener) {
            self.serve(stream, caller);
        }
        drop(self.listener);
        while self.open.join_next().await.is_some() {}
    }
}

/// Takes a connection that waits; none if there is none. It asks the system, not the runtime, which may not have heard of
/// one that waits.
fn accept_waiting(listener: &TcpListener) -> io::Result<Option<(TcpStream, SocketAddr)>> {
    let (socket, caller) = match SockRef::from(listener).accept() {
        Ok(accepted) => accepted,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
        Err(error) => return Err(error),
    };
    socket.set_nonblocking(true)?;
    let caller = caller.as_socket().ok_or(io::ErrorKind::Unsupported)?;
    Ok(Some((TcpStream::from_std(socket.into())?, caller)))
}

/// Waits until `ends` is true; never returns if that can't come any more.
async fn ended(ends: &mut watch::Receiver<bool>) {
    if ends.wait_for(|ended| *ended).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Nobody asks how far answers are written.
struct Unobserved;

impl WriteObserver for Unobserved {
    fn wrote(&self, _bytes: usize) {}

    fn flushed(&self) {}

    fn stalled(&self) {
        log::info!("a caller that takes nothing of its answer is cut off");
    }
}

async fn serve_connection<H, F>(shared: Arc<Shared<H>>, stream: TcpStream, caller: Arc<Connection>)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Without it answers wait for the caller's acknowledgements; a caller that has gone has none.
    let _ = stream.set_nodelay(true);
    let idle_time = shared.limits.idle_time;
    let mut ends = shared.ends.clone();
    let service = service_fn(move |request| answer(shared.clone(), caller.clone(), request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_time);
    let taken_last = *ends.borrow();
    builder.keep_alive(!taken_last);
    let stream = ServerStream::new(stream, Unobserved, idle_time);
    let stream = TokioIo::new(stream);
    let connection = builder.serve_connection(stream, service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = ended(&mut ends), if !taken_last => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("a caller's connection broke: {error}");
    }
}

async fn answer<H, F>(
    shared: Arc<Shared<H>>,
    connection: Arc<Connection>,
    request: hyper::Request<Incoming>,
) -> Result<Response, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let (head, incoming) = request.into_parts();
    let mut reservation = Reservation::new(shared.body_memory.clone());
    let response = match body::read(incoming, &shared.limits, &mut reservation).await {
        Ok(body) => {
            let request = Request::new(head, body, &connection, reservation);
            (shared.handle)(request).await
        }
        Err(error) => error.response(),
    };
    connection.answers();
    Ok(response)
}
