//! How long a close lasts, by what the peer does.

use std::future::poll_fn;
use std::time::Duration;

use lynxmill_lingering_close::LingeringClose;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

const LONGEST: Duration = Duration::from_secs(30);
/// Far less than the longest close, and far more than bytes on loopback take.
const SOON: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(200);

async fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (peer, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (accepted.expect("a connection").0, peer.expect("a peer"))
}

async fn close(closing: &mut LingeringClose, stream: &mut TcpStream) {
    let closed = poll_fn(|context| closing.poll_close(stream, context)).await;
    closed.expect("a socket that is not reset");
}

async fn answered(longest: Duration) -> (LingeringClose, TcpStream, TcpStream) {
    let (mut stream, peer) = connected().await;
    let mut closing = LingeringClose::new(longest);
    stream.write_all(b"answer").await.expect("room");
    closing.wrote();
    (closing, stream, peer)
}

#[tokio::test]
async fn it_ends_when_the_peer_closes_after_all_that_it_sent() {
    let (mut closing, mut stream, mut peer) = answered(LONGEST).await;
    let client = async {
        let mut answer = Vec::new();
        peer.read_to_end(&mut answer).await.expect("no reset");
        assert_eq!(answer, b"answer");
        let late = vec![0u8; 1 << 20];
        peer.write_all(&late).await.expect("room");
        drop(peer);
    };
    let both = async { tokio::join!(close(&mut closing, &mut stream), client) };
    timeout(SOON, both).await.expect("the peer has closed");
}

#[tokio::test]
async fn it_does_not_wait_for_ever_for_a_peer_that_stays() {
    let (mut closing, mut stream, peer) = answered(SHORT).await;
    let begun = Instant::now();
    close(&mut closing, &mut stream).await;
    let took = begun.elapsed();
    assert!(took >= SHORT && took < SOON, "{took:?}");
    drop(peer);
}

#[tokio::test]
async fn a_connection_without_an_answer_is_closed_at_once() {
    let (mut stream, peer) = connected().await;
    let mut closing = LingeringClose::new(LONGEST);
    let closed = timeout(SOON, close(&mut closing, &mut stream)).await;
    closed.expect("nothing to wait for");
    drop(peer);
}
