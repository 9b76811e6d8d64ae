//! What an edge proxy makes of its tasks' answers: what may have run goes nowhere else, what is not whole is no
//! answer, a promise is made only where it holds.

mod world;

use world::{World, raw};

/// Seconds between SIGTERM and SIGKILL.
const GRACE_S: f64 = 2.0;

/// A client that sends one request after the other, each on a connection of its own.
struct Client {
    world: World,
    next: u32,
}

impl Client {
    fn new(name: &str) -> Client {
        Client {
            world: World::new(name, GRACE_S),
            next: 0,
        }
    }

    /// What a client gets for a path, and how many tasks its request came to.
    fn ask(&mut self, method: &str, path: &str) -> (String, usize) {
        self.next += 1;
        let id = format!("try-{}", self.next);
        let length = if method == "POST" {
            "Content-Length: 2\r\n"
        } else {
            ""
        };
        let body = if method == "POST" { "hi" } else { "" };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h\r\nLynxmill-Attempt-Id: {id}\r\nLynxmill-Deadline-Ms: 1500\r\n\
             {length}Connection: close\r\n\r\n{body}"
        );
        let got = raw(&self.world.front, request.as_bytes());
        let came = self
            .world
            .arrivals
            .lock()
            .unwrap()
            .get(&id)
            .map_or(0, Vec::len);
        (got, came)
    }
}

fn status(got: &str) -> &str {
    got.split(' ').nth(1).unwrap_or_default()
}

#[test]
fn what_may_have_run_goes_to_no_other_task_and_gets_no_promise() {
    let mut client = Client::new("once");
    for what in ["hang-up", "cut", "other-id"] {
        let (got, came) = client.ask("POST", &format!("/once/{what}"));
        assert_eq!((status(&got), came), ("502", 1), "{what}: {got}");
        assert!(!got.to_ascii_lowercase().contains("retry-after"), "{what}");
    }
    // The task's own word is passed on, and a 2xx without its seal is none.
    let (got, came) = client.ask("POST", "/once/error");
    assert_eq!(
        (status(&got), came, got.ends_with("oops")),
        ("500", 1, true),
        "{got}"
    );
    let (got, came) = client.ask("POST", "/once/no-seal");
    assert_eq!((status(&got), came), ("502", 1), "{got}");
    // Not run, says the task: another one may have it.
    let (got, came) = client.ask("POST", "/once/shed");
    assert_eq!(
        (status(&got), came, got.ends_with("whole")),
        ("200", 2, true),
        "{got}"
    );
    // Nobody ran it: that is a promise, with when to come back.
    let (got, came) = client.ask("POST", "/once/shed-all");
    assert_eq!((status(&got), came), ("503", 2), "{got}");
    assert!(
        got.to_ascii_lowercase().contains("retry-after: 0."),
        "{got}"
    );
}

#[test]
fn what_may_be_repeated_comes_whole_from_another_task() {
    let mut client = Client::new("get");
    for what in ["hang-up", "cut", "other-id", "no-seal", "error", "shed"] {
        let (got, came) = client.ask("GET", &format!("/get/{what}"));
        assert_eq!((status(&got), came), ("200", 2), "{what}: {got}");
        assert!(
            got.ends_with("whole") && got.contains("1.2"),
            "{what}: {got}"
        );
    }
    // An answer that nobody asked for is nobody's, whoever has the connection next.
    for _ in 0..8 {
        let (got, _) = client.ask("GET", "/get/extra");
        assert_eq!(
            (status(&got), got.ends_with("whole")),
            ("200", true),
            "{got}"
        );
    }
}

#[test]
fn clients_that_send_what_is_no_request_get_400_and_a_close() {
    let world = World::new("bad", GRACE_S);
    let id = "Host: h\r\nLynxmill-Attempt-Id: x\r\n";
    let both = format!(
        "POST /once/ok HTTP/1.1\r\n{id}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /get/ok"
    );
    let twice =
        format!("POST /once/ok HTTP/1.1\r\n{id}Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc");
    for bad in [
        "nonsense\r\n\r\n",
        "GET /get/ok HTTP/1.1\r\nHost : h\r\n\r\n",
        twice.as_str(),
    ] {
        let got = raw(&world.front, bad.as_bytes());
        assert!(status(&got) == "400" || got.is_empty(), "{bad}: {got}");
        assert!(!got.contains("whole"), "{bad}: {got}");
    }
    // Two framings at once: one request at most, and nothing of its rest.
    let got = raw(&world.front, both.as_bytes());
    assert!(got.matches("HTTP/1.1").count() <= 1, "{got}");
    let unknown = raw(
        &world.front,
        b"GET /nowhere/ HTTP/1.1\r\nHost: h\r\nLynxmill-Attempt-Id: x\r\nConnection: close\r\n\r\n",
    );
    assert_eq!(status(&unknown), "404");
    let long =
        format!("POST /once/ok HTTP/1.1\r\n{id}Content-Length: 5000\r\nConnection: close\r\n\r\n");
    assert_eq!(status(&raw(&world.front, long.as_bytes())), "413");
    assert_eq!(
        world.arrivals.lock().unwrap().get("x").map_or(0, Vec::len),
        usize::from(got.contains("200"))
    );
}
