//! What clients of an edge proxy get whose process is told to end.

mod world;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use lynxmill_raw_client::{read_body, read_head};
use rustix::process::{Pid, Signal, kill_process};

use world::{LONG_ANSWER, SHORT_ANSWER, World};

/// Seconds between SIGTERM and SIGKILL.
const GRACE_S: f64 = 6.0;
/// Far more than a process without work takes to end.
const TIME_TO_END: Duration = Duration::from_secs(2);
/// Far more than a process that waits for nobody takes to end.
const TIME_TO_WAIT: Duration = Duration::from_millis(500);
/// A client that gets nothing for so long gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections that wait to be taken.
const WAITING_CLIENTS: usize = 8;
/// What a request with a body of two bytes ends with.
const END_OF_REQUEST: &[u8] = b"\r\n\r\nhi";
const POLL: Duration = Duration::from_millis(2);

/// A client's connection with a small window, as over a slow link.
fn connect(world: &World) -> TcpStream {
    lynxmill_raw_client::connect(world.front.parse().unwrap(), READ_TIMEOUT)
}

fn request(method: &str, path: &str, id: &str, length: usize) -> String {
    let length = if method == "POST" {
        format!("Content-Length: {length}\r\n")
    } else {
        String::new()
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nLynxmill-Attempt-Id: {id}\r\nLynxmill-Deadline-Ms: 1900\r\n{length}\r\n"
    )
}

fn signal(world: &World, signal: Signal) {
    kill_process(Pid::from_child(&world.process), signal).unwrap();
}

fn terminate(world: &World) {
    signal(world, Signal::TERM);
}

/// Waits until the process has seen SIGTERM.
fn wait_for_not_ready(world: &World) {
    let until = Instant::now() + Duration::from_secs_f64(GRACE_S);
    while world.is_ready() {
        assert!(Instant::now() < until, "it stays ready");
        std::thread::sleep(POLL);
    }
}

/// Waits until the process takes no more connections.
fn wait_for_closing(world: &World) {
    let address: SocketAddr = world.front.parse().unwrap();
    let until = Instant::now() + Duration::from_secs_f64(GRACE_S);
    while TcpStream::connect(address).is_ok() {
        assert!(Instant::now() < until, "it takes connections for ever");
        std::thread::sleep(POLL);
    }
}

/// Whether the process ends within some time; its exit has to be a success.
fn ends_within(world: &mut World, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        if let Some(status) = world.process.try_wait().unwrap() {
            assert!(status.success(), "{status}");
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(POLL);
    }
}

/// Guards against answers that are cut by the end of the process while slow clients still read them.
#[test]
fn answers_that_clients_still_read_come_whole_from_an_edge_that_ends() {
    let mut world = World::new("slow-readers", GRACE_S);
    let requests = [("GET", "/get/long"), ("POST", "/once/long")];
    let mut clients: Vec<TcpStream> = requests
        .iter()
        .map(|(method, path)| {
            let mut client = connect(&world);
            let bytes = request(method, path, &format!("{method}-1"), 0);
            client.write_all(bytes.as_bytes()).unwrap();
            assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
            client
        })
        .collect();
    terminate(&world);
    wait_for_closing(&world);
    assert!(!ends_within(&mut world, TIME_TO_WAIT), "it did not wait");
    for client in &mut clients {
        assert_eq!(read_body(client, LONG_ANSWER), LONG_ANSWER);
    }
    let arrivals = world.arrivals.lock().unwrap().clone();
    assert_eq!(arrivals["POST-1"].len(), 1, "{arrivals:?}");
    drop(clients);
    assert!(ends_within(&mut world, TIME_TO_END), "it waited for nobody");
}

/// Guards against first and next requests after SIGTERM that get no answer, or leave their connection open.
#[test]
fn connections_are_served_once_more_after_sigterm_and_closed() {
    let mut world = World::new("once-more", GRACE_S);
    let mut kept = connect(&world);
    let send = |client: &mut TcpStream, id: &str| {
        let bytes = request("GET", "/get/ok", id, 0);
        client.write_all(bytes.as_bytes()).unwrap();
        let head = read_head(client);
        assert!(head.starts_with("HTTP/1.1 200 "), "{id}: {head}");
        head.to_ascii_lowercase().contains("connection: close")
    };
    assert!(!send(&mut kept, "before"), "closed too early");
    assert_eq!(read_body(&mut kept, SHORT_ANSWER), SHORT_ANSWER);
    let mut unused = connect(&world);
    terminate(&world);
    wait_for_not_ready(&world);
    let mut late = connect(&world);
    for (client, id) in [
        (&mut kept, "kept"),
        (&mut unused, "unused"),
        (&mut late, "late"),
    ] {
        assert!(send(client, id), "{id}: stays open");
        assert_eq!(read_body(client, usize::MAX), SHORT_ANSWER, "{id}");
    }
    wait_for_closing(&world);
    assert!(ends_within(&mut world, TIME_TO_END), "it waits for nobody");
}

/// Guards against connections that came up while the process stood still, and are reset when it takes no new ones.
#[test]
fn connections_that_wait_to_be_taken_are_served_when_the_edge_closes() {
    let mut world = World::new("backlog", GRACE_S);
    terminate(&world);
    wait_for_not_ready(&world);
    signal(&world, Signal::STOP);
    let mut clients: Vec<TcpStream> = (0..WAITING_CLIENTS)
        .map(|n| {
            let mut client = connect(&world);
            let bytes = request("GET", "/get/ok", &format!("waiting-{n}"), 0);
            client.write_all(bytes.as_bytes()).unwrap();
            client
        })
        .collect();
    // The time at which it takes no new connections passes meanwhile.
    std::thread::sleep(Duration::from_secs_f64(GRACE_S * 0.6));
    signal(&world, Signal::CONT);
    for client in &mut clients {
        assert!(read_head(client).starts_with("HTTP/1.1 200 "));
        assert_eq!(read_body(client, usize::MAX), SHORT_ANSWER);
    }
    drop(clients);
    assert!(ends_within(&mut world, TIME_TO_END), "it waits for nobody");
}

/// Guards against requests that reach a task so late that the end of the process cuts their answers.
#[test]
fn a_request_that_is_whole_just_before_the_end_is_refused_and_reaches_no_task() {
    let mut world = World::new("late-request", GRACE_S);
    let begun = Instant::now();
    terminate(&world);
    wait_for_not_ready(&world);
    let send_all_but_the_end = |id: &str| {
        let mut client = connect(&world);
        let whole = request("POST", "/once/ok", id, 2);
        client.write_all(whole.trim_end().as_bytes()).unwrap();
        client
    };
    let (mut in_time, mut too_late) = (send_all_but_the_end("soon"), send_all_but_the_end("late"));
    wait_for_closing(&world);
    in_time.write_all(END_OF_REQUEST).unwrap();
    assert!(read_head(&mut in_time).starts_with("HTTP/1.1 200 "));
    // Less than the route's `TargetS` is left.
    let left = Duration::from_secs_f64(GRACE_S - 0.5) - begun.elapsed();
    std::thread::sleep(left);
    too_late.write_all(END_OF_REQUEST).unwrap();
    let head = read_head(&mut too_late).to_ascii_lowercase();
    assert!(head.starts_with("http/1.1 503 "), "{head}");
    assert!(head.contains("retry-after: "), "{head}");
    assert!(!world.arrivals.lock().unwrap().contains_key("late"));
    drop((in_time, too_late));
    assert!(ends_within(&mut world, TIME_TO_END), "it waits for nobody");
}

/// Guards against answers that are lost as the edge closes a connection on which its client sends once more.
#[test]
fn clients_that_send_across_a_close_get_their_answers_whole() {
    let mut world = World::new("senders", GRACE_S);
    let mut clients: Vec<TcpStream> = (0..2)
        .map(|n| {
            let mut client = connect(&world);
            let bytes = request("GET", "/get/long", &format!("sender-{n}"), 0);
            let closing = bytes.replace("Host: h", "Host: h\r\nConnection: close");
            client.write_all(closing.as_bytes()).unwrap();
            assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
            client
        })
        .collect();
    assert_eq!(read_across_a_close(&mut clients[0]), LONG_ANSWER);
    terminate(&world);
    wait_for_closing(&world);
    assert_eq!(read_across_a_close(&mut clients[1]), LONG_ANSWER);
    drop(clients);
    assert!(ends_within(&mut world, TIME_TO_END), "it waits for nobody");
}

/// Reads a long answer and sends a further request while its last part is under way.
fn read_across_a_close(client: &mut TcpStream) -> usize {
    let next = request("GET", "/get/ok", "crossing", 0);
    lynxmill_raw_client::read_across_a_close(client, LONG_ANSWER, &next)
}
