//! HTTP/1.1 as the stand-ins speak it: one call on a connection of its own, and the reading of messages.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message: its first line and its headers.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Bytes of a connection that were read and not used yet.
#[derive(Default)]
pub struct Buffer(Vec<u8>);

fn ended() -> Error {
    Error::new(ErrorKind::UnexpectedEof, "the connection ended")
}

impl Buffer {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    fn fill(&mut self, from: &mut TcpStream) -> Result<usize> {
        let mut piece = [0u8; 16384];
        let got = from.read(&mut piece)?;
        self.0.extend_from_slice(&piece[..got]);
        Ok(got)
    }

    /// The next head; None if the connection ended before it began.
    pub fn head(&mut self, from: &mut TcpStream) -> Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.0.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill(from)? == 0 {
                return if self.0.is_empty() { Ok(None) } else { Err(ended()) };
            }
        };
        let text = String::from_utf8_lossy(&self.0[..end]).into_owned();
        self.0.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let split = |l: &str| l.split_once(':').map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        Ok(Some(Head { first, headers: lines.filter_map(split).collect() }))
    }

    fn exactly(&mut self, from: &mut TcpStream, count: usize) -> Result<Vec<u8>> {
        while self.0.len() < count {
            if self.fill(from)? == 0 {
                return Err(ended());
            }
        }
        Ok(self.0.drain(..count).collect())
    }

    /// The body of a message; `to_end`: one without a length ends with its connection.
    pub fn body(&mut self, from: &mut TcpStream, head: &Head, to_end: bool) -> Result<Vec<u8>> {
        if head.is_chunked() {
            let mut whole = Vec::new();
            loop {
                let line = loop {
                    if let Some(at) = self.0.windows(2).position(|w| w == b"\r\n") {
                        let line: Vec<u8> = self.0.drain(..at + 2).collect();
                        break String::from_utf8_lossy(&line).trim().to_owned();
                    }
                    if self.fill(from)? == 0 {
                        return Err(ended());
                    }
                };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| Error::new(ErrorKind::InvalidData, "no size of a chunk"))?;
                let piece = self.exactly(from, size + 2)?;
                if size == 0 {
                    return Ok(whole);
                }
                whole.extend_from_slice(&piece[..size]);
            }
        }
        match head.length() {
            Some(length) => self.exactly(from, length),
            None if to_end => {
                while self.fill(from)? > 0 {}
                Ok(std::mem::take(&mut self.0))
            }
            None => Ok(Vec::new()),
        }
    }
}

/// An answer, read whole.
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

pub fn connect(at: &str, patience: Duration) -> Result<TcpStream> {
    let at: SocketAddr = at.parse().map_err(|_| Error::new(ErrorKind::InvalidInput, "no address"))?;
    let stream = TcpStream::connect_timeout(&at, patience)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    Ok(stream)
}

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2000000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    #[link_name = "connect"]
    fn connect_socket(socket: i32, address: *const u8, length: u32) -> i32;
}

/// A connection like one over a link: segments of 1,460 bytes and a small window, where loopback has segments of
/// 64 KB and a window of megabytes.
pub fn connect_over_link(at: &str, window: i32) -> Result<TcpStream> {
    let at: std::net::SocketAddrV4 =
        at.parse().map_err(|_| Error::new(ErrorKind::InvalidInput, "no address"))?;
    let mut address = [0u8; 16];
    address[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    address[2..4].copy_from_slice(&at.port().to_be_bytes());
    address[4..8].copy_from_slice(&at.ip().octets());
    // SAFETY: plain calls of the C library; the descriptor is owned by the stream as soon as it is there, and all
    // pointers are to values that live through the call.
    unsafe {
        let raw = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if raw < 0 {
            return Err(Error::last_os_error());
        }
        let stream = <TcpStream as std::os::fd::FromRawFd>::from_raw_fd(raw);
        for (level, name, value) in [(IPPROTO_TCP, TCP_MAXSEG, 1460), (SOL_SOCKET, SO_RCVBUF, window)] {
            if setsockopt(raw, level, name, &value, 4) != 0 {
                return Err(Error::last_os_error());
            }
        }
        if connect_socket(raw, address.as_ptr(), 16) != 0 {
            return Err(Error::last_os_error());
        }
        Ok(stream)
    }
}

pub fn request(method: &str, path: &str, host: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "PUT" || method == "PATCH" || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own, with a whole answer within `patience`.
pub fn call(
    at: &str,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> Result<Answer> {
    let until = Instant::now() + patience;
    let mut stream = connect(at, patience)?;
    let mut all: Vec<(&str, String)> = headers.to_vec();
    all.push(("Connection", "close".to_owned()));
    stream.write_all(&request(method, path, host, &all, body))?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut buffer = Buffer::default();
    let head = buffer.head(&mut stream)?.ok_or_else(ended)?;
    let body = buffer.body(&mut stream, &head, true)?;
    Ok(Answer { status: head.status(), head, body })
}

/// One JSON call to an address of the control plane.
pub fn control(at: &str, method: &str, path: &str, body: &str, patience: Duration) -> Result<Answer> {
    let headers = [("Content-Type", "application/json".to_owned())];
    call(at, method, path, at, &headers, body.as_bytes(), patience)
}
