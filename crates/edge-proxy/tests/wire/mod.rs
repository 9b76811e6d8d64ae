//! Raw HTTP/1.1 messages on a socket, for scripted tasks and clients: framed by `Content-Length` only.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A whole request or answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    /// Its first line.
    pub line: String,
    /// Names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// The head at the start of some bytes, and its length with the empty line.
pub(crate) fn head(bytes: &[u8]) -> Option<(Message, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let line = lines.next()?.to_owned();
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let headers = pairs
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Some((
        Message {
            line,
            headers,
            body: Vec::new(),
        },
        end + 4,
    ))
}

/// The whole message at the start of some bytes, and its length.
pub(crate) fn message(bytes: &[u8]) -> Option<(Message, usize)> {
    let (mut message, start) = head(bytes)?;
    let end = start
        + message
            .header("content-length")
            .parse::<usize>()
            .unwrap_or(0);
    message.body = bytes.get(start..end)?.to_vec();
    Some((message, end))
}

/// A socket and what came in of it that was not yet taken.
pub(crate) struct Wire {
    pub stream: TcpStream,
    pub bytes: Vec<u8>,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("no delay");
        Wire {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Reads `most` bytes or fewer; 0 at the end and after a reset.
    pub(crate) async fn read(&mut self, most: usize) -> usize {
        let mut piece = vec![0; most];
        let got = self.stream.read(&mut piece).await.unwrap_or(0);
        self.bytes.extend_from_slice(&piece[..got]);
        got
    }

    /// The next whole message, or None if the stream ends before.
    pub(crate) async fn next(&mut self) -> Option<Message> {
        loop {
            if let Some((message, length)) = message(&self.bytes) {
                self.bytes.drain(..length);
                return Some(message);
            }
            if self.read(16 << 10).await == 0 {
                return None;
            }
        }
    }

    /// Takes all that has arrived at the socket by now.
    pub(crate) fn arrived(&mut self) -> &[u8] {
        let mut piece = [0; 64 << 10];
        while let Ok(got @ 1..) = self.stream.try_read(&mut piece) {
            self.bytes.extend_from_slice(&piece[..got]);
        }
        &self.bytes
    }

    /// Ends the connection by a reset.
    pub(crate) fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
