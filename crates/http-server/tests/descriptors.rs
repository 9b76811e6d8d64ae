//! A server that can't take a connection for want of descriptors takes connections again later. A test program of its
//! own: the limit holds for the whole process.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use lynxmill_http_server::{HttpServer, Limits, Request, response};
use rustix::process::{Resource, getrlimit, setrlimit};
use tokio::sync::watch;

const PATIENCE: Duration = Duration::from_secs(10);
/// Descriptors that are left for the test.
const DESCRIPTORS: u64 = 64;
/// Longer than a few tries to take a connection.
const WITHOUT_DESCRIPTORS: Duration = Duration::from_millis(200);

#[test]
fn a_server_outlives_a_lack_of_descriptors() {
    let limits = Limits {
        connections: 10,
        idle_time: PATIENCE,
        body_bytes: 0,
        all_bodies_bytes: 0,
        body_time: PATIENCE,
    };
    let server = HttpServer::bind("127.0.0.1:0", limits).expect("a port");
    let address = server.local_address().expect("an address");
    let (_end, ends) = watch::channel(false);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let handle = |_: Request| async { response::text(200, "here\n") };
        runtime.block_on(server.serve(handle, ends))
    });
    assert!(ask(&mut connect(address)).ends_with("here\n"));
    let mut before = getrlimit(Resource::Nofile);
    before.current = Some(DESCRIPTORS);
    setrlimit(Resource::Nofile, before).expect("a limit");
    let mut files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    files.pop();
    let mut caller = connect(address);
    let freeing = std::thread::spawn(move || {
        std::thread::sleep(WITHOUT_DESCRIPTORS);
        drop(files);
    });
    let answer = ask(&mut caller);
    assert!(answer.ends_with("here\n"), "{answer}");
    freeing.join().expect("it frees them");
}

fn connect(address: SocketAddr) -> TcpStream {
    let caller = TcpStream::connect(address).expect("a connection");
    caller.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    caller
}

fn ask(caller: &mut TcpStream) -> String {
    caller
        .write_all(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        .expect("room to write");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("an answer");
    answer
}
