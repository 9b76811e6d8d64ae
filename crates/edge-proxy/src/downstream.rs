//! Connections of clients: HTTP/1.1, kept alive, requests of one connection one after the other.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lynxmill_lingering_close::ServerStream;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::app::App;
use crate::connections::{OpenConnection, WrittenAnswers};
use crate::request;

/// After a failure to take a connection: descriptors may be free again.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// One client's connection.
async fn client(
    app: Rc<App>,
    open: Rc<OpenConnection>,
    stream: TcpStream,
    mut ends: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(Duration::from_secs(5)));
    let limits = app.load_balancer.borrow().routes().limits.clone();
    let longest = usize::try_from(limits.max_header_bytes)
        .unwrap_or(0)
        .clamp(16 << 10, 256 << 10);
    let header_s = if limits.header_timeout_s > 0.0 {
        limits.header_timeout_s
    } else {
        5.0
    };
    let idle_s = if limits.idle_timeout_s > 0.0 {
        limits.idle_timeout_s
    } else {
        15.0
    };
    let service = service_fn(|request| {
        let (app, open) = (app.clone(), open.clone());
        async move {
            let mut reply = request::serve(app.clone(), request).await;
            if app.is_leaving() {
                reply
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            open.answer_begun(reply.extensions_mut().remove());
            Ok::<_, Infallible>(reply)
        }
    });
    let mut builder = http1::Builder::new();
    // One bound for a header and for the pause before it: the longer of both.
    builder
        .timer(TokioTimer::new())
        .max_buf_size(longest)
        .header_read_timeout(Duration::from_secs_f64(header_s.max(idle_s)));
    let observer = WrittenAnswers(open.clone());
    let stream = ServerStream::new(stream, observer, Duration::from_secs_f64(idle_s));
    let taken_last = *ends.borrow();
    builder.keep_alive(!taken_last);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing(&mut ends), if !taken_last => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if ended.is_err() {
        app.count("client-broke");
    }
}

/// Counts the connection as open at once: its task may run later.
fn serve_client(app: &Rc<App>, stream: TcpStream, ends: &watch::Receiver<bool>) {
    let open = OpenConnection::new(app);
    spawn_local(client(app.clone(), open, stream, ends.clone()));
}

/// Waits until `ends` says true; never returns if that can't come any more.
async fn closing(ends: &mut watch::Receiver<bool>) {
    if ends.wait_for(|closes| *closes).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Takes clients' connections until `ends` says true. Those that have come up by then are served once more, idle
/// ones are closed.
pub async fn accept(app: Rc<App>, listener: TcpListener, mut ends: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing(&mut ends) => break,
        };
        match accepted {
            Ok((stream, _)) => serve_client(&app, stream, &ends),
            Err(error) => {
                log::warn!("a client can't be taken: {error}");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        serve_client(&app, stream, &ends);
    }
}
