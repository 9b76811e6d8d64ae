//! The listener, its connections, and the end of both in order.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::body::{self, BodyMemory, Reservation};
use crate::caller_stream::CallerStream;
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
    /// How long a head may take, and a connection may be idle.
    pub idle_time: Duration,
    /// Bytes of one body.
    pub body_bytes: usize,
    /// Bytes of all bodies that have not been answered.
    pub all_bodies_bytes: usize,
    /// How long one body may take.
    pub body_time: Duration,
}

/// A server that listens.
#[derive(Debug)]
pub struct HttpServer {
    listener: std::net::TcpListener,
    limits: Limits,
}

/// What all connections of a server share.
struct Shared<H> {
    handle: H,
    limits: Limits,
    body_memory: Arc<BodyMemory>,
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
        Ok(HttpServer { listener, limits })
    }

    /// The address that it listens on.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers calls by `handle` until `ends` is true and the last caller has its answer. A call whose caller closes its
    /// connection before the answer is dropped.
    ///
    /// # Errors
    ///
    /// The system's, if the runtime can't wait for the listener.
    pub async fn serve<H, F>(self, handle: H, mut ends: watch::Receiver<bool>) -> io::Result<()>
    where
        H: Fn(Request) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let listener = TcpListener::from_std(self.listener)?;
        let most = self.limits.connections;
        let shared = Arc::new(Shared {
            handle,
            limits: self.limits,
            body_memory: Arc::default(),
        });
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept(), if connections.len() < most => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(serve_connection(shared.clone(), stream, ends.clone()));
                    }
                    Err(error) => {
                        log::warn!("a caller can't be taken: {error}");
                        sleep(ACCEPT_RETRY).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                () = ended(&mut ends) => break,
            }
        }
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            connections.spawn(serve_connection(shared.clone(), stream, ends.clone()));
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
        Ok(())
    }
}

/// Waits until `ends` is true; never returns if that can't come any more.
async fn ended(ends: &mut watch::Receiver<bool>) {
    if ends.wait_for(|ended| *ended).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn serve_connection<H, F>(
    shared: Arc<Shared<H>>,
    stream: TcpStream,
    mut ends: watch::Receiver<bool>,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Without it answers wait for the caller's acknowledgements; a caller that has gone has none.
    let _ = stream.set_nodelay(true);
    let idle_time = shared.limits.idle_time;
    let service = service_fn(move |request| answer(shared.clone(), request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_time);
    let taken_last = *ends.borrow();
    builder.keep_alive(!taken_last);
    let stream = TokioIo::new(CallerStream::new(stream));
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
    request: hyper::Request<Incoming>,
) -> Result<Response, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let (head, incoming) = request.into_parts();
    let mut reservation = Reservation::new(shared.body_memory.clone());
    match body::read(incoming, &shared.limits, &mut reservation).await {
        Ok(body) => Ok((shared.handle)(Request::new(head, body, reservation)).await),
        Err(error) => Ok(error.response()),
    }
}
