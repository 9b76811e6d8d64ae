//! What becomes of an invocation whose server or client misbehaves, byte by byte; and what clients may not do.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{PATIENCE, Place, any, file, hang_up, head, say, scripted};
use lynxmill_test_bed::Process;
use rstest::rstest;
use serde_json::{Value, json};

/// A server that counts what it was sent whole, and then does as told.
fn counting(
    then: impl Fn(usize, &mut std::net::TcpStream) + Send + Sync + 'static,
) -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let counts = count.clone();
    let at = scripted(move |_, mut stream| {
        while let Some((_, rest)) = head(&mut stream) {
            if rest.len() < 6 && stream.read_exact(&mut vec![0; 6 - rest.len()]).is_err() {
                return;
            }
            let number = counts.fetch_add(1, Ordering::SeqCst);
            then(number, &mut stream);
        }
    });
    (at, count)
}

const DONE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// What a server says before it breaks off, and what the client of a vote is told.
#[rstest]
#[case::nothing("", "fate-unknown")]
#[case::half_a_line("HTTP/1.1 20", "fate-unknown")]
#[case::half_a_head("HTTP/1.1 200 OK\r\ncontent-le", "fate-unknown")]
#[case::nonsense("\u{1}\u{2}nonsense\r\n\r\n", "fate-unknown")]
#[case::upgrade(
    "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
    "fate-unknown"
)]
fn a_vote_whose_answer_breaks_off_is_sent_once(#[case] said: &'static str, #[case] reason: &str) {
    let (at, count) = counting(move |_, stream| {
        say(stream, said);
        hang_up(stream);
    });
    let place = Place::start(at, |told| {
        told["settings"]["specifics"]["retry_default"] = json!(3)
    });
    let answer = place.vote();
    assert!(
        answer.starts_with("HTTP/1.1 502") && answer.contains(reason),
        "{answer}"
    );
    assert!(
        answer.contains("x-lynxmill-ran: maybe") && !answer.contains("retry-after"),
        "{answer}"
    );
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

#[test]
fn an_answer_cut_short_reaches_its_client_cut_short() {
    let (at, count) = counting(|_, stream| {
        say(stream, "HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\nhalf");
        hang_up(stream);
    });
    let mut place = Place::start(at, |_| ());
    let answer = place.vote();
    assert!(
        answer.is_empty() || answer.ends_with("\r\n\r\nhalf"),
        "{answer}"
    );
    place
        .forwarder
        .told("ended reason=broken")
        .expect("its line");
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

#[test]
fn nobody_at_the_address_is_told_at_once_with_when_to_return() {
    let nobody = TcpListener::bind(any())
        .expect("a port")
        .local_addr()
        .expect("an address");
    let place = Place::start(nobody, |_| ());
    let began = Instant::now();
    let answer = place.vote();
    assert!(
        answer.starts_with("HTTP/1.1 502") && answer.contains("x-lynxmill-reason: unreachable"),
        "{answer}"
    );
    assert!(
        answer.contains("x-lynxmill-ran: no") && answer.contains("retry-after: 1"),
        "{answer}"
    );
    assert!(began.elapsed() < Duration::from_secs(2), "it sat on it");
}

/// A head that a server does not take in whole: what is left of it was never handed on, so that nothing has run.
#[test]
fn a_head_that_was_not_handed_on_whole_has_not_run() {
    let at = scripted(|_, stream| {
        std::thread::sleep(PATIENCE);
        drop(stream);
    });
    let stall = |told: &mut Value| {
        told["limits"]["stall_ms"] = json!(300);
        told["settings"]["classes"][1]["deadline"] = json!(1.0);
    };
    let place = Place::start(at, stall);
    // Connections take some MB before they are full; heads up to 128 KB are taken from clients.
    let text = format!(
        "POST /vote/k HTTP/1.1\r\nhost: f\r\nx-a: {}\r\ncontent-length: 6\r\nconnection: close\r\n\r\nballot",
        "a".repeat(100_000)
    );
    let answer = place.ask(&text);
    // Either way its client is told, in time, and nothing is sent again.
    let (late, unsent) = (
        answer.contains("x-lynxmill-reason: late"),
        answer.contains("not-sent"),
    );
    assert!(late || unsent, "{answer}");
    assert_eq!(answer.contains("x-lynxmill-ran: no"), unsent, "{answer}");
}

#[test]
fn one_turned_back_goes_elsewhere_once_the_table_says_so() {
    let (first, count) =
        counting(|_, stream| say(stream, "HTTP/1.1 429 Too Many\r\ncontent-length: 0\r\n\r\n"));
    let place = Place::start(first, |_| ());
    let answer = place.vote();
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("turned-back"),
        "{answer}"
    );
    assert!(answer.contains("x-lynxmill-ran: no"), "{answer}");
    assert_eq!(
        count.load(Ordering::SeqCst),
        1,
        "no other server in the table, no other try"
    );
}

#[test]
fn words_before_the_answer_are_passed_over_and_an_early_answer_is_passed_on() {
    let (at, _) = counting(|_, stream| {
        say(
            stream,
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
        );
        say(stream, DONE);
    });
    let place = Place::start(at, |_| ());
    let answer = place.vote();
    assert!(
        answer.starts_with("HTTP/1.1 200 OK")
            && answer.ends_with("done")
            && !answer.contains("link"),
        "{answer}"
    );
    let early = scripted(|_, mut stream| {
        let _ = head(&mut stream);
        say(
            &mut stream,
            "HTTP/1.1 413 Too Large\r\ncontent-length: 3\r\nconnection: close\r\n\r\nbig",
        );
    });
    let place = Place::start(early, |_| ());
    let mut client = place.connect();
    client.send("POST /vote/k HTTP/1.1\r\nhost: f\r\ncontent-length: 100000\r\n\r\nsome");
    assert!(
        client.head().starts_with("HTTP/1.1 413"),
        "before its body was whole"
    );
}

#[test]
fn a_client_that_waits_to_be_asked_for_its_body_is_asked() {
    let (at, count) = counting(|_, stream| say(stream, DONE));
    let place = Place::start(at, |_| ());
    let mut client = place.connect();
    client.send("POST /vote/k HTTP/1.1\r\nhost: f\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: 6\r\n\r\n");
    assert!(client.head().starts_with("HTTP/1.1 100"));
    client.send("ballot");
    let answer = client.rest();
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("done"),
        "{answer}"
    );
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

#[test]
fn a_body_that_ends_with_its_connection_is_whole() {
    let (at, _) = counting(|_, stream| {
        say(
            stream,
            "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nas long as it lasts",
        );
        hang_up(stream);
    });
    let answer = Place::start(at, |_| ()).vote();
    assert!(
        answer.contains("as long as it lasts") && answer.contains("chunked"),
        "{answer}"
    );
}

/// Connections that their servers closed while they stood idle cost nobody an answer.
#[test]
fn idle_connections_that_were_closed_are_not_used() {
    let at = scripted(|_, mut stream| {
        if head(&mut stream).is_some() {
            say(&mut stream, DONE);
            std::thread::sleep(Duration::from_millis(20));
            hang_up(&stream);
        }
    });
    let place = Place::start(at, |_| ());
    for _ in 0..20 {
        let answer = place.lookup();
        assert!(answer.ends_with("done"), "{answer}");
        std::thread::sleep(Duration::from_millis(25));
    }
}

#[test]
fn heads_of_one_hop_stay_there_and_ours_are_ours_alone() {
    let seen = Arc::new(Mutex::new(String::new()));
    let sees = seen.clone();
    let at = scripted(move |_, mut stream| {
        if let Some((text, _)) =
            head(&mut stream).filter(|(text, _)| text.contains("/lookup/k?a=b"))
        {
            *sees.lock().expect("a text") = text;
            say(
                &mut stream,
                "HTTP/1.1 200 OK\r\nkeep-alive: 5\r\nx-hop: 1\r\nconnection: x-hop\r\nx-lynxmill-load: outstanding:1\r\ncontent-length: 4\r\n\r\ndone",
            );
        }
    });
    let place = Place::start(at, |_| ());
    let answer = place.ask("GET /lookup/k?a=b HTTP/1.1\r\nhost: f\r\nx-end: 1\r\nx-hop: 2\r\nte: trailers\r\nx-lynxmill-slice: 99\r\nconnection: close, x-hop\r\n\r\n");
    let text = seen.lock().expect("a text").to_lowercase();
    assert!(
        text.contains("host: f")
            && text.contains("x-end: 1")
            && text.contains("x-lynxmill-generation: 1"),
        "{text}"
    );
    assert!(
        !text.contains("x-hop") && !text.contains("\nte:") && !text.contains("99"),
        "{text}"
    );
    assert!(
        !answer.contains("x-hop") && !answer.contains("x-lynxmill-load"),
        "{answer}"
    );
}

/// What nobody may send: one clear refusal, one reason code, nothing at any server.
#[rstest]
#[case::both_lengths(
    "POST /vote/k HTTP/1.1\r\nhost: f\r\ncontent-length: 6\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "400",
    "bad-frame"
)]
#[case::two_lengths(
    "POST /vote/k HTTP/1.1\r\nhost: f\r\ncontent-length: 6\r\ncontent-length: 5\r\n\r\nballot",
    "400",
    "bad-frame"
)]
#[case::signed(
    "POST /vote/k HTTP/1.1\r\nhost: f\r\ncontent-length: +6\r\n\r\nballot",
    "400",
    "bad-frame"
)]
#[case::coding(
    "POST /vote/k HTTP/1.1\r\nhost: f\r\ntransfer-encoding: gzip, identity\r\n\r\nballot",
    "400",
    "bad-frame"
)]
#[case::chunk(
    "POST /vote/k HTTP/1.1\r\nhost: f\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nballot\r\n0\r\n\r\n",
    "",
    "bad-body"
)]
#[case::line("nonsense\r\n\r\n", "400", "bad-frame")]
#[case::space("POST /vote/k HTTP/1.1\r\nhost : f\r\n\r\n", "400", "bad-frame")]
#[case::upgrade(
    "GET /lookup/k HTTP/1.1\r\nhost: f\r\nupgrade: websocket\r\nconnection: upgrade\r\n\r\n",
    "501",
    "upgrade"
)]
#[case::connect("CONNECT f:80 HTTP/1.1\r\nhost: f\r\n\r\n", "501", "upgrade")]
#[case::nowhere(
    "GET /nothing HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n",
    "404",
    "no-route"
)]
#[case::slow("POST /vote/k HTTP/1.1\r\nhost: f\r\nx-a: ", "408", "slow-head")]
fn what_nobody_may_send_is_refused_with_a_reason(
    #[case] text: &str,
    #[case] status: &str,
    #[case] reason: &str,
) {
    let (at, count) = counting(|_, stream| say(stream, DONE));
    let mut place = Place::start(at, |told| told["limits"]["head_ms"] = json!(400));
    let mut client = place.connect();
    client.send(text);
    let answer = client.head();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}"))
            || (status.is_empty() && answer.is_empty()),
        "{answer:?}: {:?}",
        place.forwarder.last(4)
    );
    drop(client);
    if answer.contains("x-lynxmill-reason") {
        assert!(answer.contains(reason), "{answer}");
    } else {
        let line = place.forwarder.told(&format!("ended reason={reason}"));
        line.unwrap_or_else(|e| panic!("{e}: {:?}", place.forwarder.last(4)));
    }
    assert_eq!(count.load(Ordering::SeqCst), 0, "a server has run it");
}

#[test]
fn a_head_without_end_is_refused() {
    let (at, count) = counting(|_, stream| say(stream, DONE));
    let place = Place::start(at, |_| ());
    let mut client = place.connect();
    client.send("GET /lookup/k HTTP/1.1\r\nhost: f\r\n");
    let line = format!("x-a: {}\r\n", "a".repeat(1000));
    while client.0.write_all(line.as_bytes()).is_ok() {}
    let answer = client.head();
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
    assert_eq!(count.load(Ordering::SeqCst), 0);
}

#[test]
fn a_client_that_leaves_ends_its_invocation_and_frees_its_connection() {
    let (at, count) = counting(|number, stream| {
        // The first is answered too late for anybody.
        std::thread::sleep(Duration::from_millis(if number == 0 { 800 } else { 0 }));
        say(stream, DONE);
    });
    let one = |told: &mut Value| {
        told["limits"]["to_each"] = json!(1);
        told["limits"]["wait_ms"] = json!(700);
    };
    let place = Place::start(at, one);
    let mut client = place.connect();
    client.send("POST /vote/k HTTP/1.1\r\nhost: f\r\ncontent-length: 6\r\n\r\nballot");
    let end = Instant::now() + PATIENCE;
    while count.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < end, "it never came");
        std::thread::yield_now();
    }
    drop(client);
    let answer = place.vote();
    assert!(answer.ends_with("done"), "{answer}");
    assert_eq!(count.load(Ordering::SeqCst), 2);
}

#[test]
fn bounds_are_told_with_when_to_return() {
    let (at, _) = counting(|number, stream| {
        std::thread::sleep(Duration::from_millis(if number == 0 { 600 } else { 0 }));
        say(stream, DONE);
    });
    let bounds = |told: &mut Value| {
        for (key, value) in [
            ("to_each", 1),
            ("waiting", 0),
            ("per_client_s", 2),
            ("connections_each", 3),
        ] {
            told["limits"][key] = json!(value);
        }
    };
    let mut place = Place::start(at, bounds);
    let vote = |client: &str| {
        format!(
            "POST /vote/k HTTP/1.1\r\nhost: f\r\nx-client: {client}\r\nconnection: close\r\ncontent-length: 6\r\n\r\nballot"
        )
    };
    let mut first = place.connect();
    first.send(&vote("a"));
    std::thread::sleep(Duration::from_millis(100));
    let second = place.ask(&vote("b"));
    assert!(
        second.starts_with("HTTP/1.1 503")
            && second.contains("no-room")
            && second.contains("x-lynxmill-ran: no"),
        "{second}"
    );
    assert!(first.rest().ends_with("done"));
    let answers: Vec<String> = (0..4).map(|_| place.ask(&vote("c"))).collect();
    let paced = answers
        .iter()
        .find(|answer| answer.contains("x-lynxmill-reason: pace"));
    assert!(
        paced.is_some_and(|a| a.starts_with("HTTP/1.1 429") && a.contains("x-lynxmill-return-ms")),
        "{answers:?}"
    );
    let held: Vec<_> = (0..4).map(|_| place.connect()).collect();
    place
        .forwarder
        .told("ended reason=too-many")
        .expect("its line");
    drop(held);
}

#[test]
fn writes_end_a_lease_after_the_registry_fell_silent_and_reads_go_on() {
    let (at, _) = counting(|_, stream| say(stream, DONE));
    let place = Place::start(at, |told| {
        told["settings"]["specifics"]["waits_for_table"] = json!(0.1)
    });
    assert!(place.vote().ends_with("done"));
    place.registry.silence(true);
    let began = Instant::now();
    let end = began + PATIENCE;
    let refused = loop {
        let answer = place.vote();
        if answer.contains("no-writes") {
            break answer;
        }
        assert!(Instant::now() < end, "writes go on: {answer}");
    };
    assert!(
        began.elapsed() < Duration::from_millis(2500),
        "a lease of one second: {:?}",
        began.elapsed()
    );
    assert!(
        refused.starts_with("HTTP/1.1 503") && refused.contains("retry-after"),
        "{refused}"
    );
    // A read has no body here; the server takes six bytes of anything.
    let read = place
        .ask("POST /lookup/k HTTP/1.1\r\nhost: f\r\nconnection: close\r\ncontent-length: 6\r\n\r\nballot");
    assert!(read.ends_with("done"), "{read}");
    place.registry.silence(false);
    while !place.vote().ends_with("done") {
        assert!(Instant::now() < end, "writes never resumed");
    }
}

#[rstest]
#[case::zone(|told: &mut Value| told["zone"] = json!("z"), "`zone`")]
#[case::route(|told: &mut Value| told["routes"][0]["operation"] = json!("sing"), "sing")]
#[case::path(|told: &mut Value| told["routes"][0]["path"] = json!("/a/{b}"), "{b}")]
#[case::source(|told: &mut Value| told["routes"][0]["key_head"] = json!("x-key"), "key_head")]
#[case::bound(|told: &mut Value| told["limits"]["connections"] = json!(0), "limits.connections")]
#[case::effect(|told: &mut Value| told["settings"]["classes"][0]["effect"] = json!("odd"), "effect")]
#[case::fault(|told: &mut Value| { told["fault"] = json!("repeats-all"); told["listen"] = json!("0.0.0.0:1"); }, "loopback")]
fn a_file_that_is_wrong_is_one_clear_line(#[case] change: fn(&mut Value), #[case] told_of: &str) {
    let mut told = json!({"name": "f0", "number": 0, "zone": "a", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "collectors": [], "store": {"protocol": "etcd", "address": "127.0.0.1:1"}, "limits": {},
        "routes": [{"operation": "lookup", "path": "/lookup/{key}"}], "settings": common::settings()});
    change(&mut told);
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_lynxforward"));
    let path = file(&told);
    let output = std::process::Command::new(program)
        .arg(&path)
        .output()
        .expect("the program");
    std::fs::remove_file(&path).expect("a file");
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(
        !output.status.success() && text.lines().count() == 1 && text.contains(told_of),
        "{text}"
    );
    assert!(Process::start(program, file(&told), None).is_err());
}

/// A client that is idle when the forwarder is to end may come once more on its connection and is told to close it; one
/// that does not is shut after half of the time.
#[test]
fn an_idle_client_is_not_hung_up_on_when_the_forwarder_ends() {
    let (at, _) = counting(|_, stream| say(stream, DONE));
    let mut place = Place::start(at, |told| told["drain_s"] = json!(4));
    let [mut first, mut second] = [place.connect(), place.connect()];
    let vote = "POST /vote/k HTTP/1.1\r\nhost: f\r\ncontent-length: 6\r\n\r\nballot";
    for client in [&mut first, &mut second] {
        client.send(vote);
        let head = client.head();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    let begun = Instant::now();
    place.forwarder.end();
    place
        .forwarder
        .told("ends, with 2 connections")
        .expect("its line");
    std::thread::sleep(Duration::from_millis(300));
    first.send(vote);
    let last = first.rest();
    assert!(
        last.contains("HTTP/1.1 200") && last.to_lowercase().contains("connection: close"),
        "{last}"
    );
    assert!(!second.rest().contains("HTTP/1.1"));
    let took = begun.elapsed();
    assert!(
        took > Duration::from_millis(1900) && took < Duration::from_millis(3900),
        "{took:?}"
    );
}
