//! HTTP/1.1 as clients, tasks and callers of a soak speak it: byte by byte where that matters, on kept connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lynxmill_deployment::client::{REDIRECT, location_parts};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::links::Links;

/// The longest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
const PIECE_BYTES: usize = 64 << 10;
/// Bytes that the socket of a client on a slow link takes.
const SMALL_WINDOW: u32 = 32 << 10;

/// The head of a request or an answer.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// The first line.
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn parse(bytes: &[u8]) -> io::Result<Self> {
        let text = std::str::from_utf8(bytes).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Head { line, headers })
    }

    /// The value of a header, by its name in small letters.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// A word of the first line.
    pub(crate) fn word(&self, place: usize) -> &str {
        self.line.split(' ').nth(place).unwrap_or_default()
    }

    /// The status of an answer.
    pub(crate) fn status(&self) -> io::Result<u16> {
        let status = self.word(1).parse();
        status.map_err(|_| io::ErrorKind::InvalidData.into())
    }

    /// Whether the connection ends with this message.
    pub(crate) fn closes(&self) -> bool {
        let connection = self.header("connection").unwrap_or_default();
        connection.eq_ignore_ascii_case("close")
    }

    fn length(&self) -> io::Result<usize> {
        let length = self.header("content-length").unwrap_or("0").parse();
        length.map_err(|_| io::ErrorKind::InvalidData.into())
    }
}

/// How fast a body is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Bytes of a piece.
    pub piece: usize,
    /// The pause after each.
    pub pause: Duration,
}

impl Pace {
    /// As fast as bytes come.
    pub(crate) const FAST: Pace = Pace {
        piece: PIECE_BYTES,
        pause: Duration::ZERO,
    };
}

/// A connection and the bytes that were read ahead.
#[derive(Debug)]
pub(crate) struct HttpStream {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl HttpStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        HttpStream {
            stream,
            ahead: Vec::new(),
        }
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the own side of the connection.
    pub(crate) async fn end(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// The next head; none if the connection has ended before it.
    pub(crate) async fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self
                .ahead
                .windows(END_OF_HEAD.len())
                .position(|w| w == END_OF_HEAD);
            if let Some(end) = end {
                let head = Head::parse(&self.ahead[..end])?;
                self.ahead.drain(..end + END_OF_HEAD.len());
                return Ok(Some(head));
            }
            if self.ahead.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let mut piece = [0u8; 4096];
            match self.stream.read(&mut piece).await? {
                0 if self.ahead.is_empty() => return Ok(None),
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                bytes => self.ahead.extend_from_slice(&piece[..bytes]),
            }
        }
    }

    /// The whole body that belongs to a head.
    pub(crate) async fn read_body(&mut self, head: &Head, pace: Pace) -> io::Result<Vec<u8>> {
        let length = head.length()?;
        let ahead = self.ahead.len().min(length);
        let mut body: Vec<u8> = self.ahead.drain(..ahead).collect();
        let mut piece = vec![0u8; pace.piece];
        while body.len() < length {
            let wanted = (length - body.len()).min(pace.piece);
            let bytes = self.stream.read(&mut piece[..wanted]).await?;
            if bytes == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&piece[..bytes]);
            if !pace.pause.is_zero() {
                tokio::time::sleep(pace.pause).await;
            }
        }
        Ok(body)
    }
}

/// A whole answer to a call.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Answer {
    /// The address and the path at which the call is to be made again.
    pub(crate) fn redirect(&self) -> Option<(&str, &str)> {
        let location = (self.status == REDIRECT).then(|| self.head.header("location"))?;
        location_parts(location?)
    }
}

/// Calls of members on a connection that is kept between them.
#[derive(Debug)]
pub(crate) struct Caller {
    links: Arc<Links>,
    kept: Option<(String, HttpStream)>,
}

impl Caller {
    pub(crate) fn new(links: Arc<Links>) -> Self {
        Caller { links, kept: None }
    }

    /// Makes a call with a body of JSON, within a time.
    pub(crate) async fn call(
        &mut self,
        address: &str,
        method: &str,
        path: &str,
        body: &str,
        patience: Duration,
    ) -> io::Result<Answer> {
        let kept = self.kept.take().filter(|(to, _)| to == address);
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let call = async {
            let mut stream = match kept {
                Some((_, stream)) => stream,
                None => connect(self.links.begin_of(address)).await?,
            };
            stream.write(request.as_bytes()).await?;
            let head = stream
                .read_head()
                .await?
                .ok_or(io::ErrorKind::UnexpectedEof)?;
            let body = stream.read_body(&head, Pace::FAST).await?;
            Ok::<_, io::Error>((stream, head, body))
        };
        // A call that is given up closes its connection.
        let (stream, head, body) = timeout(patience, call)
            .await
            .map_err(|_| io::ErrorKind::TimedOut)??;
        if !head.closes() {
            self.kept = Some((address.to_owned(), stream));
        }
        Ok(Answer {
            status: head.status()?,
            head,
            body,
        })
    }
}

/// Opens a connection that takes few bytes at a time, as over a slow link.
pub(crate) async fn connect_slowly(address: &str) -> io::Result<HttpStream> {
    let address: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SMALL_WINDOW)?;
    socket.connect(address).await.map(HttpStream::new)
}

/// Opens a connection.
pub(crate) async fn connect(address: &str) -> io::Result<HttpStream> {
    let address: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    TcpStream::connect(address).await.map(HttpStream::new)
}
