//! One exchange after another with a scripted task that resets, cuts, garbles, doubles or keeps silent at
//! each byte: an answer is the request's own, whole, or none; "unsent" means that nothing of it reached the
//! task's socket.

#[path = "../wire/mod.rs"]
mod wire;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use lynxmill_edge_proxy::memory::BodyMemory;
use lynxmill_edge_proxy::pool::Pools;
use lynxmill_edge_proxy::upstream::{UpstreamError, UpstreamRequest, UpstreamResponse, exchange};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;
use wire::Wire;

/// Time that an exchange has, and the most that it may take.
const TIME: Duration = Duration::from_millis(300);
const MOST: Duration = Duration::from_millis(1_500);

/// Connections that may be open to the task.
const MOST_OPEN: usize = 8;
/// Far more than answers are long.
const ANSWER_MEMORY: usize = 1 << 20;
/// The most that a scene may take.
const SCENE: Duration = Duration::from_secs(40);

/// The edge's side: its pools and the task's address.
struct Edge {
    pools: RefCell<Pools>,
    address: String,
    /// The task has begun to drain.
    withdrawn: Cell<bool>,
    memory: Arc<BodyMemory>,
}

impl Edge {
    fn new(listener: &TcpListener) -> Rc<Edge> {
        let address = listener.local_addr().unwrap().to_string();
        Rc::new(Edge {
            pools: RefCell::default(),
            address,
            withdrawn: Cell::new(false),
            memory: BodyMemory::new(ANSWER_MEMORY),
        })
    }

    /// One exchange; its time is bounded.
    async fn ask(
        &self,
        attempt_id: &str,
        body: Vec<u8>,
    ) -> Result<UpstreamResponse, UpstreamError> {
        let began = Instant::now();
        let call = UpstreamRequest {
            id: "i-1",
            address: &self.address,
            max_connections: MOST_OPEN,
            fresh_only: true,
            attempt_id,
            connect_deadline: began + TIME,
            deadline: began + TIME,
            memory: &self.memory,
            is_allowed: &|| !self.withdrawn.get(),
        };
        let request = Request::post("/p")
            .header("host", "h")
            .header("lynxmill-attempt-id", attempt_id)
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        let came = exchange(&self.pools, &call, request).await;
        assert!(
            began.elapsed() < MOST,
            "{attempt_id} took {:?}",
            began.elapsed()
        );
        came
    }

    /// Its own whole answer, or an error.
    async fn own(&self, attempt: &str) -> Result<(), UpstreamError> {
        let answer = self.ask(attempt, b"hi".to_vec()).await?;
        assert_eq!(answer.body, own_body(attempt), "the answer to {attempt}");
        Ok(())
    }
}

fn own_body(attempt: &str) -> String {
    format!("the answer to {attempt}")
}

fn answer_with(status: &str, attempt: &str) -> Vec<u8> {
    let body = own_body(attempt);
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nLynxmill-Attempt-Id: {attempt}\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn answer(attempt: &str) -> Vec<u8> {
    answer_with("200 OK", attempt)
}

/// Runs both sides in one thread, as the edge does.
fn play<F: Future>(scene: impl FnOnce(TcpListener) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let playing = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        tokio::time::timeout(SCENE, scene(listener))
            .await
            .expect("a scene that ends");
    };
    tokio::task::LocalSet::new().block_on(&runtime, playing);
}

async fn accept(listener: &TcpListener) -> Wire {
    Wire::new(listener.accept().await.unwrap().0)
}

/// Answers one request in order.
async fn serve(wire: &mut Wire) {
    let request = wire.next().await.expect("a request");
    assert_eq!(request.line, "POST /p HTTP/1.1");
    wire.stream
        .write_all(&answer(request.header("lynxmill-attempt-id")))
        .await
        .unwrap();
}

/// How a task ends a connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

impl End {
    fn of(self, wire: Wire) {
        match self {
            End::Close => drop(wire),
            End::Reset => wire.reset(),
        }
    }
}

/// Where and how a task ends a connection.
#[derive(Clone, Copy, Debug)]
struct Cut {
    /// It had carried an exchange before.
    reused: bool,
    /// Bytes of the request that the task reads first.
    after: usize,
    end: End,
}

/// What reached the task's sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Reached {
    /// Bytes on the connection that it ended.
    bytes: usize,
    /// Whole requests on later connections.
    again: usize,
}

/// Ends one connection as told and serves all later ones.
async fn cut_request(listener: TcpListener, cut: Cut, reached: Rc<Cell<Reached>>) {
    let mut wire = accept(&listener).await;
    if cut.reused {
        serve(&mut wire).await;
    }
    while wire.bytes.len() < cut.after {
        let left = cut.after - wire.bytes.len();
        assert!(wire.read(left).await > 0, "{cut:?}");
    }
    reached.set(Reached {
        bytes: wire.arrived().len(),
        again: 0,
    });
    cut.end.of(wire);
    loop {
        let mut wire = accept(&listener).await;
        if let Some(request) = wire.next().await {
            reached.set(Reached {
                again: reached.get().again + 1,
                ..reached.get()
            });
            let id = request.header("lynxmill-attempt-id").to_owned();
            let _ = wire.stream.write_all(&answer(&id)).await;
        }
    }
}

/// A request that may run once meets a cut; whether it was served.
async fn ask_through(listener: TcpListener, cut: Cut, body: Vec<u8>) -> bool {
    let edge = Edge::new(&listener);
    let reached = Rc::new(Cell::new(Reached::default()));
    let task = spawn_local(cut_request(listener, cut, reached.clone()));
    if cut.reused {
        edge.own("a").await.unwrap();
    }
    let came = edge.ask("b", body).await.map(|answer| answer.body);
    task.abort();
    let reached = reached.get();
    match &came {
        Err(UpstreamError::NotSent(_)) => {
            assert_eq!(reached, Reached::default(), "{cut:?}: {came:?}")
        }
        Err(_) => assert_eq!(reached.again, 0, "{cut:?}: {came:?}"),
        Ok(body) => {
            assert_eq!(reached, Reached { bytes: 0, again: 1 }, "{cut:?}");
            assert_eq!(*body, own_body("b"), "{cut:?}");
        }
    }
    came.is_ok()
}

/// All cuts after some numbers of bytes.
fn cuts(after: impl Iterator<Item = usize> + Clone) -> impl Iterator<Item = Cut> {
    let ways = [
        (false, End::Close),
        (false, End::Reset),
        (true, End::Close),
        (true, End::Reset),
    ];
    ways.into_iter()
        .flat_map(move |(reused, end)| after.clone().map(move |after| Cut { reused, after, end }))
}

/// Bytes of the request that `ask_through` sends.
async fn request_length(listener: &TcpListener, body: Vec<u8>) -> usize {
    let edge = Edge::new(listener);
    let asking = spawn_local(async move { edge.ask("b", body).await.map(drop) });
    let mut wire = accept(listener).await;
    let length = loop {
        if let Some((_, length)) = wire::message(&wire.bytes) {
            break length;
        }
        assert!(wire.read(16 << 10).await > 0);
    };
    asking.abort();
    length
}

/// A connection may take long to open: a task that drains by then gets nothing, and the request goes elsewhere.
#[test]
fn a_task_that_drains_while_a_connection_opens_is_sent_nothing() {
    play(async |listener| {
        let edge = Edge::new(&listener);
        edge.withdrawn.set(true);
        let (came, accepted) = tokio::join!(edge.ask("1", b"hi".to_vec()), listener.accept());
        assert_eq!(came.err(), Some(UpstreamError::NotSent("withdrawn")));
        let mut stream = accepted.unwrap().0;
        let mut bytes = Vec::new();
        tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes)
            .await
            .unwrap();
        assert!(bytes.is_empty(), "{bytes:?}");
    });
}

#[test]
fn a_request_cut_at_any_byte_is_never_sent_again_and_unsent_means_unsent() {
    play(|listener| async move {
        let body = b"hi".to_vec();
        let length = request_length(&listener, body.clone()).await;
        let mut served = 0;
        for cut in cuts(0..=length) {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            served += usize::from(ask_through(listener, cut, body.clone()).await);
        }
        // Idle connections that were closed at byte 0 are taken for what they are.
        assert!(served <= 2, "{served} served");
    });
}

#[test]
fn a_long_request_cut_at_some_byte_is_never_sent_again() {
    play(|listener| async move {
        let body = vec![b'x'; 3 << 20];
        let length = request_length(&listener, body.clone()).await;
        for cut in cuts((0..=length).step_by(length / 12)) {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            ask_through(listener, cut, body.clone()).await;
        }
    });
}

#[test]
fn an_answer_cut_at_any_byte_is_none_and_leaves_nothing_for_the_next() {
    play(|_| async move {
        let whole = answer("a");
        for (end, after) in (0..=whole.len()).flat_map(|n| [(End::Close, n), (End::Reset, n)]) {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let edge = Edge::new(&listener);
            let part = whole[..after].to_vec();
            let task = spawn_local(async move {
                let mut wire = accept(&listener).await;
                wire.next().await.unwrap();
                wire.stream.write_all(&part).await.unwrap();
                end.of(wire);
                serve(&mut accept(&listener).await).await;
            });
            let came = edge.own("a").await;
            assert!(
                after == whole.len() || matches!(came, Err(UpstreamError::MayHaveRun(_))),
                "{after}: {came:?}"
            );
            // The close may not have been seen yet; the one after it is served.
            if edge.own("b").await.is_err() {
                edge.own("c").await.unwrap();
            }
            task.abort();
        }
    });
}

/// When a task sends what nobody asked for.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// In one write with the answer before.
    WithAnswer,
    /// When the answer before has been read, and the connection is idle.
    WhileIdle,
    /// When the next request has been read, before its answer.
    BeforeNext,
}

/// Bytes that nobody asked for.
fn surplus() -> Vec<(&'static str, Vec<u8>)> {
    let part = |bytes: Vec<u8>, most: usize| bytes[..most.min(bytes.len())].to_vec();
    vec![
        ("another's", answer("x")),
        ("the last one's again", answer("a")),
        ("another's refusal", answer_with("503 Full", "x")),
        ("another's 421", answer_with("421 Misdirected", "x")),
        ("a part of another's", part(answer("x"), 40)),
        (
            "all but a byte of another's",
            part(answer("x"), answer("x").len() - 1),
        ),
        ("two of others", [answer("x"), answer("y")].concat()),
        ("no answer", b"\x00\xffnonsense\r\n\r\n".to_vec()),
        ("empty lines", b"\r\n\r\n".to_vec()),
        ("to go on", b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()),
        (
            "another's early hints",
            b"HTTP/1.1 103 Early Hints\r\nLynxmill-Attempt-Id: x\r\n\r\n".to_vec(),
        ),
        (
            "a switch",
            b"HTTP/1.1 101 Switching Protocols\r\nLynxmill-Attempt-Id: b\r\n\r\n".to_vec(),
        ),
    ]
}

/// Answers all requests of a connection in order.
async fn serve_all(mut wire: Wire) {
    while let Some(request) = wire.next().await {
        let bytes = answer(request.header("lynxmill-attempt-id"));
        if wire.stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Serves all in order, but for something more on the first connection.
async fn serve_with_surplus(listener: TcpListener, when: Moment, extra: Vec<u8>, idle: Rc<Notify>) {
    let mut wire = accept(&listener).await;
    wire.next().await.unwrap();
    let first = [
        answer("a"),
        if matches!(when, Moment::WithAnswer) {
            extra.clone()
        } else {
            Vec::new()
        },
    ];
    wire.stream.write_all(&first.concat()).await.unwrap();
    spawn_local(async move {
        loop {
            spawn_local(serve_all(accept(&listener).await));
        }
    });
    if matches!(when, Moment::WhileIdle) {
        idle.notified().await;
        let _ = wire.stream.write_all(&extra).await;
    }
    if let Some(request) = wire.next().await {
        if matches!(when, Moment::BeforeNext) {
            let _ = wire.stream.write_all(&extra).await;
        }
        let _ = wire
            .stream
            .write_all(&answer(request.header("lynxmill-attempt-id")))
            .await;
    }
    serve_all(wire).await;
}

#[test]
fn bytes_that_nobody_asked_for_are_nobodys_answer() {
    play(|_| async move {
        for (what, extra) in surplus() {
            for when in [Moment::WithAnswer, Moment::WhileIdle, Moment::BeforeNext] {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let edge = Edge::new(&listener);
                let idle = Rc::new(Notify::new());
                let task = spawn_local(serve_with_surplus(
                    listener,
                    when,
                    extra.clone(),
                    idle.clone(),
                ));
                edge.own("a").await.unwrap();
                idle.notify_one();
                for attempt in ["b", "c", "d"] {
                    let came = edge.own(attempt).await;
                    let waits = matches!(
                        came,
                        Err(UpstreamError::TimedOut | UpstreamError::NotSent(_))
                    );
                    assert!(!waits, "{what}, {when:?}, {attempt}: {came:?}");
                }
                edge.own("e")
                    .await
                    .unwrap_or_else(|e| panic!("{what}, {when:?}: {e:?}"));
                task.abort();
            }
        }
    });
}

#[test]
fn a_connection_with_anothers_answer_is_not_used_again() {
    play(|listener| async move {
        let edge = Edge::new(&listener);
        let (came, mut wire) = tokio::join!(edge.own("a"), async {
            let mut wire = accept(&listener).await;
            wire.next().await.unwrap();
            // The answer to "a" is late, and would be taken for the next one's.
            wire.stream.write_all(&answer("x")).await.unwrap();
            wire
        });
        assert_eq!(came, Err(UpstreamError::MayHaveRun("stray")));
        let (came, ()) = tokio::join!(edge.own("b"), async {
            serve(&mut accept(&listener).await).await
        });
        came.unwrap();
        assert_eq!(wire.read(1).await, 0, "the first connection is still open");
    });
}

/// A task that answers before it has read the request's body, and never reads the rest.
async fn answer_early(listener: TcpListener) {
    let mut wires = Vec::new();
    loop {
        let mut wire = accept(&listener).await;
        let head = loop {
            if let Some((head, _)) = wire::head(&wire.bytes) {
                break head;
            }
            assert!(wire.read(100).await > 0);
        };
        let _ = wire
            .stream
            .write_all(&answer(head.header("lynxmill-attempt-id")))
            .await;
        wires.push(wire);
    }
}

#[test]
fn a_connection_that_still_writes_an_answered_request_holds_up_no_other() {
    play(|listener| async move {
        let edge = Edge::new(&listener);
        let task = spawn_local(answer_early(listener));
        for attempt in ["a", "b", "c"] {
            let came = edge.ask(attempt, vec![b'x'; 8 << 20]).await;
            assert!(
                came.is_ok_and(|answer| answer.body == own_body(attempt)),
                "{attempt}"
            );
        }
        task.abort();
    });
}

#[test]
fn a_connection_that_still_writes_an_answered_request_is_closed_at_once() {
    play(|listener| async move {
        let edge = Edge::new(&listener);
        let long = 8 << 20;
        let asking = async {
            edge.ask("a", vec![b'x'; long])
                .await
                .map(|answer| answer.body)
        };
        let (came, mut wire) = tokio::join!(asking, async {
            let mut wire = accept(&listener).await;
            wire.read(1 << 10).await;
            wire.stream.write_all(&answer("a")).await.unwrap();
            wire
        });
        assert_eq!(came.unwrap(), own_body("a"));
        while wire.read(1 << 20).await > 0 {}
        assert!(
            wire.bytes.len() < long,
            "all of it was written, {} bytes",
            wire.bytes.len()
        );
    });
}

#[test]
fn no_more_connections_are_open_than_may_be_however_many_are_asked_for() {
    play(|listener| async move {
        let edge = Edge::new(&listener);
        let asked = |n: usize| {
            let edge = edge.clone();
            spawn_local(async move { edge.own(&n.to_string()).await })
        };
        let waiting: Vec<_> = (0..MOST_OPEN).map(asked).collect();
        let mut wires = Vec::new();
        for _ in 0..MOST_OPEN {
            wires.push(accept(&listener).await);
        }
        for n in 0..5 {
            let came = edge.own(&format!("beyond-{n}")).await;
            assert_eq!(came, Err(UpstreamError::NotSent("conns")), "{n} beyond");
        }
        for wire in &mut wires {
            serve(wire).await;
        }
        for asked in waiting {
            asked.await.unwrap().unwrap();
        }
    });
}

#[test]
fn a_connection_that_is_in_order_is_used_again() {
    play(|listener| async move {
        let edge = Edge::new(&listener);
        let task = spawn_local(async move {
            serve_all(accept(&listener).await).await;
            panic!("the connection was closed");
        });
        for exchange in 0..300 {
            let body = vec![
                b'x';
                if exchange % 10 == 0 {
                    1 << 20
                } else {
                    exchange
                }
            ];
            let answer = edge.ask(&exchange.to_string(), body).await.unwrap();
            assert_eq!(answer.body, own_body(&exchange.to_string()));
        }
        assert!(!task.is_finished());
        task.abort();
    });
}

#[test]
fn a_silent_task_is_left_in_time_at_each_step() {
    play(|listener| async move {
        let whole = answer("a");
        let edge = Edge::new(&listener);
        for after in [0, 1, 20, whole.len() - 1] {
            let part = whole[..after].to_vec();
            let asking = edge.own("a");
            let task = async {
                let mut wire = accept(&listener).await;
                wire.next().await.unwrap();
                wire.stream.write_all(&part).await.unwrap();
                // The edge hangs up.
                assert_eq!(wire.read(1).await, 0);
            };
            let (came, ()) = tokio::join!(asking, task);
            assert_eq!(came, Err(UpstreamError::TimedOut), "after {after}");
        }
    });
}

/// Answers that are whole in a way, but not such that they could be told from a part of one, or from no
/// answer.
#[test]
fn what_cannot_be_told_to_be_a_whole_answer_is_none() {
    let echo = "Lynxmill-Attempt-Id: a\r\n";
    let cases = [
        (
            "the end is told by the close alone",
            format!("HTTP/1.1 200 OK\r\n{echo}\r\nthe answer"),
        ),
        (
            "the same, of the older protocol",
            format!("HTTP/1.0 200 OK\r\n{echo}\r\nthe answer"),
        ),
        (
            "a switch of protocols",
            format!("HTTP/1.1 101 Switching Protocols\r\n{echo}\r\n"),
        ),
        (
            "no status of the protocol",
            format!("HTTP/1.1 999 Odd\r\n{echo}Content-Length: 0\r\n\r\n"),
        ),
        (
            "two ids",
            format!("HTTP/1.1 200 OK\r\n{echo}Lynxmill-Attempt-Id: x\r\nContent-Length: 0\r\n\r\n"),
        ),
        (
            "two lengths",
            format!("HTTP/1.1 200 OK\r\n{echo}Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc"),
        ),
        (
            "a part of another's status line before it",
            format!("HTTP/1.1 200 OHTTP/1.1 500 Error\r\n{echo}Content-Length: 0\r\n\r\n"),
        ),
        (
            "a part of another's head before it",
            format!("HTTP/1.1 200 OK\r\nA: bHTTP/1.1 500 Error\r\n{echo}Content-Length: 0\r\n\r\n"),
        ),
        (
            "no id",
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned(),
        ),
    ];
    for (what, bytes) in cases {
        play(|listener| async move {
            let edge = Edge::new(&listener);
            let task = async {
                let mut wire = accept(&listener).await;
                wire.next().await.unwrap();
                wire.stream.write_all(bytes.as_bytes()).await.unwrap();
            };
            let (came, ()) = tokio::join!(edge.ask("a", Vec::new()), task);
            let came = came.map(|answer| (answer.status, answer.body));
            assert!(
                matches!(came, Err(UpstreamError::MayHaveRun(_))),
                "{what}: {came:?}"
            );
        });
    }
}

/// Guards against tasks whose answers have no length and end with their connections: none was passed on. One whose connection
/// is reset may be a part.
#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    play(|_| async move {
        for end in [End::Close, End::Reset] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let edge = Edge::new(&listener);
            let task = spawn_local(async move {
                let mut wire = accept(&listener).await;
                let request = wire.next().await.unwrap();
                let attempt = request.header("lynxmill-attempt-id").to_owned();
                let body = own_body(&attempt);
                let bytes = format!(
                    "HTTP/1.1 200 OK\r\nLynxmill-Attempt-Id: {attempt}\r\nConnection: close\r\n\r\n{body}"
                );
                wire.stream.write_all(bytes.as_bytes()).await.unwrap();
                // Read before the end comes.
                tokio::time::sleep(TIME / 10).await;
                end.of(wire);
            });
            let came = edge.own("a").await;
            match end {
                End::Close => assert!(came.is_ok(), "{came:?}"),
                End::Reset => assert!(
                    matches!(came, Err(UpstreamError::MayHaveRun(_))),
                    "{came:?}"
                ),
            }
            task.abort();
        }
    });
}
