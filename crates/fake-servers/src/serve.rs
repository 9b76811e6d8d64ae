//! The relay's and discovery's sockets.

use std::convert::Infallible;
use std::net::{Shutdown, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerHandle};
use actix_service::{ServiceFactoryExt, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt, stream};
use serde::Deserialize;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use crate::world::{CallOutcome, World, WorldOperation, WorldUpdate};

/// The socket behind an exchange, to break it off.
struct ConnectionPlug(OwnedFd);

pub(crate) fn run(
    world: &Arc<World>,
    relay: TcpListener,
    discovery: TcpListener,
    tell: &Sender<ServerHandle>,
) {
    let serving = actix_rt::System::new().block_on(async {
        let server = Server::build().workers(1).disable_signals();
        let server = server.listen("relay", relay, http(world, relayed))?;
        let server = server
            .listen("discovery", discovery, http(world, discovered))?
            .run();
        let _ = tell.send(server.handle());
        server.await
    });
    if let Err(fail) = serving {
        eprintln!("stand-in: {fail}");
    }
}

/// An HTTP service whose exchanges see a world.
pub(crate) fn http<W, F, A>(
    world: &Arc<W>,
    answer: F,
) -> impl Fn() -> actix_service::boxed::BoxServiceFactory<(), TcpStream, (), (), ()>
+ Clone
+ Send
+ 'static
where
    W: Send + Sync + 'static,
    F: Fn(Arc<W>, Request) -> A + Clone + Send + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let world = world.clone();
    move || {
        let (world, answer) = (world.clone(), answer.clone());
        let plug = |io: &TcpStream, kept: &mut actix_http::Extensions| {
            let _ = io.set_nodelay(true);
            if let Ok(copy) = io.as_fd().try_clone_to_owned() {
                kept.insert(ConnectionPlug(copy));
            }
        };
        let service =
            HttpService::build()
                .on_connect_ext(plug)
                .h1(fn_service(move |asked: Request| {
                    let answered = answer(world.clone(), asked);
                    async move { Ok::<_, Infallible>(answered.await) }
                }));
        actix_service::boxed::factory(service.tcp().map_err(|_| ()))
    }
}

fn turned_back(error: &str, status: StatusCode) -> Response<BoxBody> {
    Response::build(status)
        .body(format!("{{\"error\":\"{error}\"}}"))
        .map_into_boxed_body()
}

/// Breaks an exchange off.
pub(crate) fn hang_up(asked: &Request) {
    if let Some(ConnectionPlug(socket)) = asked.conn_data::<ConnectionPlug>()
        && let Ok(socket) = socket.try_clone()
    {
        let _ = std::net::TcpStream::from(socket).shutdown(Shutdown::Both);
    }
}

pub(crate) async fn body(asked: &mut Request) -> Bytes {
    let mut payload = asked.take_payload();
    let mut whole = BytesMut::new();
    while let Some(Ok(piece)) = payload.next().await {
        whole.extend_from_slice(&piece);
    }
    whole.freeze()
}

#[derive(Deserialize)]
struct Txn {
    ops: Vec<WorldOperation>,
}

async fn relayed(world: Arc<World>, mut asked: Request) -> Response<BoxBody> {
    match asked.path() {
        "/v1/watch" => watch(&world).await,
        "/v1/txn" => {
            let Ok(Txn { ops }) = serde_json::from_slice(&body(&mut asked).await) else {
                return turned_back("ValidationError", StatusCode::BAD_REQUEST);
            };
            if world.lock().out_of_reach {
                return std::future::pending().await;
            }
            let (fate, taken) = world.change(|state| state.call(ops));
            match fate {
                CallOutcome::Throttled => turned_back("Throttling", StatusCode::TOO_MANY_REQUESTS),
                CallOutcome::Invalid => turned_back("ValidationError", StatusCode::BAD_REQUEST),
                CallOutcome::Silent(_) => std::future::pending().await,
                CallOutcome::Garbled(_) => {
                    Response::ok().set_body("{\"taken\":").map_into_boxed_body()
                }
                CallOutcome::Boasts => Response::ok()
                    .set_body(format!("{{\"taken\":{}}}", taken + 1))
                    .map_into_boxed_body(),
                CallOutcome::Broken(_) => {
                    hang_up(&asked);
                    std::future::pending().await
                }
                CallOutcome::Answered | CallOutcome::Takes(_) => Response::ok()
                    .set_body(format!("{{\"taken\":{taken}}}"))
                    .map_into_boxed_body(),
            }
        }
        _ => turned_back("ValidationError", StatusCode::NOT_FOUND),
    }
}

async fn watch(world: &Arc<World>) -> Response<BoxBody> {
    let (tell, told) = unbounded_channel::<WorldUpdate>();
    let begun = world.change(|state| {
        if state.out_of_reach {
            return false;
        }
        let _ = tell.send(Ok(state.standing()));
        state.watches.push(tell.clone());
        state.watched += 1;
        true
    });
    if !begun {
        return std::future::pending().await;
    }
    let world = world.clone();
    actix_rt::spawn(async move {
        // A sign of life at once as well, so that nobody has to wait for the end of what stands.
        loop {
            let reached = !world.lock().out_of_reach;
            if reached && tell.send(Ok("{}\n".to_owned())).is_err() {
                return;
            }
            actix_rt::time::sleep(Duration::from_secs(1)).await;
        }
    });
    Response::ok()
        .set_body(BodyStream::new(lines(told)))
        .map_body(|_, body| body.boxed())
}

fn lines(
    told: UnboundedReceiver<WorldUpdate>,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    stream::unfold(told, async |mut told| {
        let news = told.recv().await?;
        Some((news.map(Bytes::from), told))
    })
}

async fn discovered(world: Arc<World>, asked: Request) -> Response<BoxBody> {
    if asked.path() != "/catalog/members" {
        return Response::not_found();
    }
    let query = asked.uri().query().unwrap_or_default();
    let number = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)?
            .1
            .parse()
            .ok()
    };
    let (from, hold) = (
        number("from"),
        Duration::from_millis(number("hold_ms").unwrap_or(0)),
    );
    let news = async {
        loop {
            let changed = world.listed.notified();
            if world.lock().answers(from) {
                return;
            }
            changed.await;
        }
    };
    let _ = actix_rt::time::timeout(hold, news).await;
    if world.lock().mute {
        return std::future::pending().await;
    }
    let members = world.lock().members(from);
    Response::ok()
        .set_body(members.to_string())
        .map_into_boxed_body()
}
