//! What connections to a control-plane node take of its descriptors.

use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

use lynxmill_operator::{Deployment, Machine, configuration};

const PATIENCE: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);
const STEADY: Duration = Duration::from_millis(500);
const STREAMS: usize = 50;
/// Connections of the other members and edges that may come and go meanwhile.
const OTHERS: usize = 10;

fn descriptors(process: u32) -> usize {
    let folder = format!("/proc/{process}/fd");
    std::fs::read_dir(folder).expect("the process runs").count()
}

/// The count once it has been the same for a while: the connection of the first call may still be ending.
fn steady_descriptors(process: u32) -> usize {
    let mut last = descriptors(process);
    let mut since = Instant::now();
    while since.elapsed() < STEADY {
        std::thread::sleep(POLL);
        let now = descriptors(process);
        if now != last {
            (last, since) = (now, Instant::now());
        }
    }
    last
}

/// Guards against a node that runs out of descriptors with a third of the edges that `MaxFds` allows.
#[test]
fn a_stream_of_an_edge_takes_one_descriptor() {
    let programs = Path::new(env!("CARGO_BIN_EXE_lynxmill-control-plane"))
        .parent()
        .expect("a folder");
    let mut system = Deployment::start(programs).expect("the system starts");
    let configured = system.configure(&configuration(), PATIENCE);
    assert_eq!(configured.expect("an answer").1.status, 200);
    let process = system.process_id(Machine::Member(0)).expect("it runs");
    let before = steady_descriptors(process);
    let address = system.internal_address(0);
    let streams: Vec<TcpStream> = (0..STREAMS)
        .map(|_| TcpStream::connect(&address).expect("a connection"))
        .collect();
    let until = Instant::now() + PATIENCE;
    while descriptors(process) < before + STREAMS {
        assert!(Instant::now() < until, "the streams are not taken");
        std::thread::sleep(POLL);
    }
    // Whatever a stream takes more is taken by now.
    std::thread::sleep(Duration::from_millis(500));
    let taken = descriptors(process) - before;
    drop(streams);
    assert!(
        taken <= STREAMS + OTHERS,
        "{taken} descriptors for {STREAMS} streams"
    );
}
