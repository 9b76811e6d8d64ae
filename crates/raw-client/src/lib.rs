//! A client for tests that sends and reads HTTP/1.1 byte by byte over a small window, as over a slow link. What a test
//! can't go on without panics.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Bytes that a slow client's socket takes.
pub const SMALL_WINDOW: usize = 16 << 10;
/// Bytes of an answer that are in the sockets' buffers when the server has written all of it.
const LAST_PART: usize = 64 << 10;
/// Far more than bytes on loopback take.
pub const TIME_TO_WRITE: Duration = Duration::from_millis(50);

/// Connects with a small window; a read that takes longer than `patience` fails.
///
/// # Panics
///
/// If there is no connection.
pub fn connect(address: SocketAddr, patience: Duration) -> TcpStream {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SMALL_WINDOW).expect("a window");
    socket.connect(&address.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(patience)).expect("a timeout");
    stream
}

/// Reads the head of an answer and no byte more; what there was of it where the connection ends.
///
/// # Panics
///
/// If it is no text.
pub fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0u8];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8(head).expect("text")
}

/// Bytes of a body that come until the end of the connection, or `most`.
pub fn read_body(stream: &mut TcpStream, most: usize) -> usize {
    let mut piece = vec![0u8; SMALL_WINDOW];
    let mut got = 0;
    while got < most {
        match stream.read(&mut piece) {
            Ok(bytes) if bytes > 0 => got += bytes,
            _ => break,
        }
    }
    got
}

/// Reads a body of `length` bytes and sends a further request while its last part is under way; bytes that came until the
/// end of the connection.
///
/// # Panics
///
/// If the connection does not take the request.
pub fn read_across_a_close(stream: &mut TcpStream, length: usize, next_request: &str) -> usize {
    let first = read_body(stream, length - LAST_PART);
    std::thread::sleep(TIME_TO_WRITE);
    stream
        .write_all(next_request.as_bytes())
        .expect("room to write");
    std::thread::sleep(TIME_TO_WRITE);
    first + read_body(stream, usize::MAX)
}
