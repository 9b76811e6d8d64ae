//! What callers of a server get that take much, stop midway, leave early, or stay until its end.

use std::future::pending;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lynxmill_http_server::{HttpServer, Limits, OpenConnections, Request, Response, response};
use rstest::rstest;
use tokio::sync::watch;

const PATIENCE: Duration = Duration::from_secs(10);
const BODY_TIME: Duration = Duration::from_millis(400);
const POLL: Duration = Duration::from_millis(2);
/// More than any pool of threads would have.
const STALLED_CALLERS: usize = 40;
/// Far less than a stalled body may take.
const AT_ONCE: Duration = Duration::from_millis(200);

fn limits() -> Limits {
    Limits {
        connections: 100,
        idle_time: PATIENCE,
        body_bytes: 1_000,
        all_bodies_bytes: 1_500,
        body_time: BODY_TIME,
    }
}

/// A server in a thread, and what it has seen.
struct Running {
    address: SocketAddr,
    end: watch::Sender<bool>,
    thread: JoinHandle<()>,
    begun: Arc<AtomicUsize>,
    open: OpenConnections,
    dropped: Arc<AtomicUsize>,
}

struct CountedDrop(Arc<AtomicUsize>);

impl Drop for CountedDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// `GET /wait` is never answered, `GET /long` at length, a body is answered by its length.
async fn answer(request: Request, begun: Arc<AtomicUsize>, dropped: Arc<AtomicUsize>) -> Response {
    begun.fetch_add(1, Ordering::Relaxed);
    match (request.method(), request.path().as_str()) {
        ("GET", "/wait") => {
            let _counted = CountedDrop(dropped);
            pending().await
        }
        ("GET", "/long") => response::json_text("x".repeat(4 << 20)),
        ("GET", "/a b") => response::json(200, &request.parameter("who")),
        ("POST", _) => response::json(200, &request.body().len()),
        _ => response::empty(404),
    }
}

fn started(limits: Limits) -> Running {
    let server = HttpServer::bind("127.0.0.1:0", limits).expect("a port");
    let address = server.local_address().expect("an address");
    let open = server.open_connections();
    let (end, ends) = watch::channel(false);
    let begun = Arc::new(AtomicUsize::new(0));
    let dropped = Arc::new(AtomicUsize::new(0));
    let (seen, gone) = (begun.clone(), dropped.clone());
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let handle = move |request| answer(request, seen.clone(), gone.clone());
        runtime
            .block_on(server.serve(handle, ends))
            .expect("it serves");
    });
    Running {
        address,
        end,
        thread,
        begun,
        open,
        dropped,
    }
}

impl Running {
    fn send(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        stream.write_all(bytes.as_bytes()).expect("room to write");
        stream
    }
}

fn head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0u8];
    while !head.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("text")
}

fn wait_for(count: &AtomicUsize, wanted: usize) {
    let until = Instant::now() + PATIENCE;
    while count.load(Ordering::Relaxed) < wanted {
        assert!(Instant::now() < until, "it does not come");
        std::thread::sleep(POLL);
    }
}

/// Guards against callers that stop in the middle of a body and hold up all others.
#[test]
fn callers_that_stop_midway_hold_nobody_up() {
    let server = started(limits());
    let half = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nhalf";
    let mut stalled: Vec<TcpStream> = (0..STALLED_CALLERS).map(|_| server.send(half)).collect();
    let began = Instant::now();
    let mut other = server.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
    assert!(head(&mut other).starts_with("HTTP/1.1 200 "));
    assert!(began.elapsed() < AT_ONCE, "it took {:?}", began.elapsed());
    for stream in &mut stalled {
        assert!(head(stream).starts_with("HTTP/1.1 408 "));
    }
    assert_eq!(server.begun.load(Ordering::Relaxed), 1);
}

#[rstest]
#[case::whole(1_000, "HTTP/1.1 200 ")]
#[case::too_long(1_001, "HTTP/1.1 413 ")]
fn a_body_has_a_longest_length(#[case] length: usize, #[case] status: &str) {
    let server = started(limits());
    let head_of = format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    let mut caller = server.send(&(head_of + &"x".repeat(length)));
    let answered = head(&mut caller);
    assert!(answered.starts_with(status), "{answered}");
}

/// A body that is in order by itself is a matter of load: its caller may come again.
#[test]
fn bodies_that_take_too_much_together_are_refused_for_now() {
    let server = started(limits());
    let start = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n".to_owned();
    let first = server.send(&(start.clone() + &"x".repeat(900)));
    std::thread::sleep(BODY_TIME / 4);
    let mut second = server.send(&(start.clone() + &"x".repeat(1_000)));
    let refused = head(&mut second).to_ascii_lowercase();
    assert!(refused.starts_with("http/1.1 503 "), "{refused}");
    assert!(refused.contains("retry-after: 1\r\n"), "{refused}");
    drop(first);
    std::thread::sleep(BODY_TIME / 4);
    let mut third = server.send(&(start + &"x".repeat(1_000)));
    assert!(head(&mut third).starts_with("HTTP/1.1 200 "));
}

#[rstest]
#[case::with_its_connection(Shutdown::Both)]
#[case::with_its_side(Shutdown::Write)]
fn a_caller_that_leaves_drops_its_call(#[case] how: Shutdown) {
    let server = started(limits());
    let caller = server.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_for(&server.begun, 1);
    caller.shutdown(how).expect("it closes");
    wait_for(&server.dropped, 1);
}

#[test]
fn a_body_that_is_cut_short_is_no_call() {
    let server = started(limits());
    let caller = server.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
    caller.shutdown(Shutdown::Write).expect("it closes");
    std::thread::sleep(BODY_TIME * 2);
    assert_eq!(server.begun.load(Ordering::Relaxed), 0);
}

#[test]
fn paths_and_parameters_are_decoded() {
    let server = started(limits());
    let mut caller =
        server.send("GET /a%20b?who=x%2By+z HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("an answer");
    assert!(answer.ends_with("\r\n\r\n\"x+y z\""), "{answer}");
}

/// A server that ends serves connections that have come up, closes idle ones, and waits for slow readers.
#[test]
fn a_server_that_ends_gives_each_caller_its_answer() {
    let server = started(limits());
    let mut slow = server.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
    let answered = head(&mut slow);
    let mut idle = server.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
    assert!(head(&mut idle).starts_with("HTTP/1.1 200 "));
    let mut digit = [0u8];
    idle.read_exact(&mut digit).expect("the body");
    server.end.send(true).expect("it runs");
    assert_eq!(idle.read(&mut digit).expect("its end"), 0);
    drop(idle);
    std::thread::sleep(AT_ONCE);
    assert!(!server.thread.is_finished(), "it did not wait");
    let mut body = Vec::new();
    slow.read_to_end(&mut body).expect("the body");
    assert!(answered.contains("content-length: 4194304"), "{answered}");
    assert_eq!(body.len(), 4 << 20);
    drop(slow);
    server.thread.join().expect("it ends");
}

/// A caller that has gone elsewhere and left its connection open does not keep it.
#[test]
fn an_idle_connection_is_closed() {
    let idle_time = Duration::from_millis(300);
    let server = started(Limits {
        idle_time,
        ..limits()
    });
    let mut kept = server.send("GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(head(&mut kept).starts_with("HTTP/1.1 404"));
    let began = Instant::now();
    let mut rest = Vec::new();
    kept.read_to_end(&mut rest).expect("its end");
    assert!(rest.is_empty(), "{rest:?}");
    assert!(began.elapsed() >= idle_time / 2, "{:?}", began.elapsed());
    assert!(began.elapsed() < PATIENCE / 2, "{:?}", began.elapsed());
}

/// A caller that takes nothing of a long answer does not hold it for ever.
#[test]
fn a_caller_that_never_reads_is_cut_off() {
    let server = started(Limits {
        idle_time: Duration::from_millis(300),
        ..limits()
    });
    let stalled = server.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_for(&server.begun, 1);
    let until = Instant::now() + PATIENCE;
    while server.open.count() > 0 {
        assert!(Instant::now() < until, "it holds its answer");
        std::thread::sleep(POLL);
    }
    drop(stalled);
}
