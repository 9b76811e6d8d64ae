//! Whatever answers in the registry's place, over sockets: each fault its code, in bounded memory and time.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lynxmill_registry::{Answer, Revision, StoreRequest, Transaction, etcd};
use lynxmill_registry_transport::Registry;
use rstest::rstest;

/// Listens on a free port and lets `answer` write whatever it likes to each who asks.
fn listens(answer: fn(&mut TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            std::thread::spawn(move || {
                let mut asked = Vec::new();
                let mut piece = [0; 4096];
                while !asked.windows(4).any(|four| four == b"\r\n\r\n") {
                    match stream.read(&mut piece) {
                        Ok(n) if n > 0 => asked.extend_from_slice(&piece[..n]),
                        _ => return,
                    }
                }
                answer(&mut stream);
            });
        }
    });
    at
}

fn says(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

/// A body without end, until nobody reads it any more.
fn floods(stream: &mut TcpStream) {
    says(
        stream,
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    );
    let piece = [b"10000\r\n".as_slice(), &vec![b'x'; 1 << 16], b"\r\n"].concat();
    let mut left = 2000;
    while left > 0 && stream.write_all(&piece).is_ok() {
        left -= 1;
    }
}

fn page() -> StoreRequest {
    StoreRequest::Page {
        turn: 1,
        after: None,
        at: None,
    }
}

fn watch() -> StoreRequest {
    StoreRequest::Watch {
        turn: 1,
        from: Revision(1),
    }
}

fn write() -> StoreRequest {
    StoreRequest::Txn {
        id: 1,
        txn: Transaction::default(),
    }
}

/// What comes of an ask, and the reason codes that were met.
fn comes(at: SocketAddr, ask: StoreRequest) -> (Answer, Vec<&'static str>) {
    actix_rt::System::new().block_on(async move {
        let registry = Registry::new(at, Box::new(etcd::Etcd::new("p/")));
        let came: Rc<RefCell<Option<Answer>>> = Rc::default();
        let to = came.clone();
        registry.ask(
            ask,
            &(Rc::new(move |answer| drop(to.replace(Some(answer)))) as Rc<dyn Fn(Answer)>),
        );
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            if let Some(answer) = came.take() {
                return (answer, registry.faults().into_keys().collect());
            }
            assert!(Instant::now() < end, "nothing came of it");
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    })
}

#[rstest]
#[case::redirect(|s: &mut TcpStream| says(s, "HTTP/1.1 307 Temporary Redirect\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n"), page(), "redirected")]
#[case::redirected_watch(|s: &mut TcpStream| says(s, "HTTP/1.1 301 Moved\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n"), watch(), "redirected")]
#[case::page_of_html(|s: &mut TcpStream| says(s, "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n<html>"), page(), "unreadable")]
#[case::endless_body(floods, page(), "too-long")]
#[case::endless_line(floods, watch(), "too-long")]
#[case::cut_off(|s: &mut TcpStream| says(s, "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"header\""), page(), "unreadable")]
#[case::no_http(|s: &mut TcpStream| says(s, "what?\r\n\r\n"), page(), "unreadable")]
#[case::watch_ends(|s: &mut TcpStream| says(s, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"), watch(), "peer-closed")]
#[case::silent(|_: &mut TcpStream| std::thread::sleep(Duration::from_secs(30)), page(), "no-answer")]
fn what_is_no_registry_is_told_by_its_code(
    #[case] answer: fn(&mut TcpStream),
    #[case] ask: StoreRequest,
    #[case] code: &str,
) {
    let (came, codes) = comes(listens(answer), ask);
    assert_eq!(came, Answer::Failed { turn: 1 }, "{codes:?}");
    assert_eq!(codes, [code]);
}

#[rstest]
#[case::error_with_a_good_status(|s: &mut TcpStream| {
    let body = "{\"error\":\"etcdserver: request timed out\",\"code\":14,\"message\":\"x\"}";
    says(s, &format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
})]
#[case::cut_off(|s: &mut TcpStream| says(s, "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{"))]
#[case::closed(|_: &mut TcpStream| {})]
fn a_write_is_of_unknown_fate_wherever_it_may_have_been_carried_out(
    #[case] answer: fn(&mut TcpStream),
) {
    assert_eq!(comes(listens(answer), write()).0, Answer::Unknown { id: 1 });
}

#[test]
fn a_write_that_never_left_is_known_not_to_be_done() {
    let nobody = TcpListener::bind("127.0.0.1:0")
        .expect("a free port")
        .local_addr()
        .expect("its address");
    let (came, codes) = comes(nobody, write());
    assert_eq!(
        (came, codes),
        (Answer::Later { id: 1, millis: 0 }, vec!["unreachable"])
    );
}
