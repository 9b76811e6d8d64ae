//! An exchange with a server, byte by byte accounted for. Head and body go out as they come, the answer comes in as it
//! is taken; nothing of either is held beyond its window.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::PayloadError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{
    BoxedPayloadStream, Method, Payload, RequestHead, RequestHeadType, ResponseHead, StatusCode,
};
use actix_rt::task::JoinHandle;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use lynxmill_forwarder::{AttemptProgress, Progress};
use lynxmill_time::TimeDelta;
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use crate::start::Clock;

/// A server's head, and what is read of it at a time.
const LONGEST_HEAD: usize = 64 << 10;
const PIECE: usize = 16 << 10;

/// A connection to a server between two exchanges.
pub(crate) struct ServerConnection {
    stream: Rc<TcpStream>,
}

impl ServerConnection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        ServerConnection {
            stream: Rc::new(stream),
        }
    }

    /// Nothing has come on it and it has not been closed.
    pub(crate) fn quiet(&self) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Why an exchange came to no answer, or to no whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// The server's connection, or what it says.
    Server(&'static str),
    /// The client's.
    Client(&'static str),
}

impl ExchangeError {
    pub(crate) fn code(self) -> &'static str {
        match self {
            ExchangeError::Server(code) | ExchangeError::Client(code) => code,
        }
    }
}

/// A client's body: what comes of it, and what is kept of it in case that it has to be sent again.
pub(crate) struct Source {
    payload: Payload<BoxedPayloadStream>,
    pub size: BodySize,
    kept: VecDeque<Bytes>,
    kept_bytes: usize,
    most: usize,
    /// All that has come is kept.
    whole: bool,
    ended: bool,
}

impl Source {
    pub(crate) fn new(
        payload: Payload<BoxedPayloadStream>,
        size: BodySize,
        most: usize,
    ) -> Rc<RefCell<Self>> {
        let ended = matches!(size, BodySize::None | BodySize::Sized(0));
        let kept = VecDeque::new();
        Rc::new(RefCell::new(Source {
            payload,
            size,
            kept,
            kept_bytes: 0,
            most,
            whole: true,
            ended,
        }))
    }

    pub(crate) fn kept(&self) -> bool {
        self.whole
    }

    /// The piece at this place; None at its end.
    async fn piece(of: &Rc<RefCell<Source>>, at: usize) -> Option<Result<Bytes, PayloadError>> {
        {
            let source = of.borrow();
            if let Some(piece) = source.kept.get(at).filter(|_| source.whole) {
                return Some(Ok(piece.clone()));
            }
            if source.ended {
                return None;
            }
        }
        let next = std::future::poll_fn(|cx| of.borrow_mut().payload.poll_next_unpin(cx)).await;
        let mut source = of.borrow_mut();
        match &next {
            None => source.ended = true,
            Some(Ok(piece)) if source.whole => {
                source.kept_bytes += piece.len();
                if source.kept_bytes <= source.most {
                    source.kept.push_back(piece.clone());
                } else {
                    source.whole = false;
                    source.kept.clear();
                }
            }
            _ => {}
        }
        next
    }
}

/// How far what is sent has come.
#[derive(Default)]
struct SendProgress {
    head: Cell<u64>,
    written: Cell<u64>,
    whole: Cell<bool>,
}

impl SendProgress {
    fn reach(&self) -> AttemptProgress {
        if self.written.get() < self.head.get() {
            AttemptProgress::HeadPart
        } else {
            AttemptProgress::HeadWhole
        }
    }
}

/// How peers are held to make progress.
#[derive(Clone, Copy)]
pub(crate) struct Timeouts {
    pub clock: Clock,
    pub span: TimeDelta,
    pub least: u64,
}

impl Timeouts {
    pub(crate) fn progress(&self) -> Progress {
        Progress::new(self.span, self.least)
    }

    /// Waits for something that is a peer's turn; None once it has stood still for too long.
    async fn turn<T>(&self, progress: &mut Progress, of: impl Future<Output = T>) -> Option<T> {
        progress.expect(self.clock.now());
        let mut of = std::pin::pin!(of);
        loop {
            let until = progress.until().unwrap_or_default();
            match tokio::time::timeout_at(self.clock.instant(until), &mut of).await {
                Ok(came) => return Some(came),
                Err(_) if progress.stalled(self.clock.now()) => return None,
                // Enough has moved within this span: the next one begins.
                Err(_) => {
                    progress.moved(self.clock.now(), 0);
                    progress.expect(self.clock.now());
                }
            }
        }
    }
}

async fn write(
    stream: &TcpStream,
    patience: Timeouts,
    progress: &mut Progress,
    bytes: &mut BytesMut,
    sent: &SendProgress,
) -> Result<(), ExchangeError> {
    while !bytes.is_empty() {
        let wrote = match stream.try_write(bytes) {
            Ok(0) => return Err(ExchangeError::Server("broken")),
            Ok(wrote) => wrote,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                match patience.turn(progress, stream.writable()).await {
                    None => return Err(ExchangeError::Server("server-stalled")),
                    Some(Err(_)) => return Err(ExchangeError::Server("broken")),
                    Some(Ok(())) => continue,
                }
            }
            Err(_) => return Err(ExchangeError::Server("broken")),
        };
        sent.written.set(sent.written.get() + wrote as u64);
        progress.moved(patience.clock.now(), wrote as u64);
        let _ = bytes.split_to(wrote);
    }
    Ok(())
}

async fn upload(
    stream: Rc<TcpStream>,
    mut codec: ClientCodec,
    mut bytes: BytesMut,
    source: Rc<RefCell<Source>>,
    sent: Rc<SendProgress>,
    patience: Timeouts,
) -> Result<(), ExchangeError> {
    let (mut server, mut client) = (patience.progress(), patience.progress());
    write(&stream, patience, &mut server, &mut bytes, &sent).await?;
    let mut at = 0;
    let sized = !matches!(source.borrow().size, BodySize::None | BodySize::Sized(0));
    if !sized {
        sent.whole.set(true);
        return Ok(());
    }
    loop {
        let piece = match patience.turn(&mut client, Source::piece(&source, at)).await {
            None => return Err(ExchangeError::Client("client-stalled")),
            Some(None) => break,
            Some(Some(Err(_))) => return Err(ExchangeError::Client("client-broke")),
            Some(Some(Ok(piece))) => piece,
        };
        client.moved(patience.clock.now(), piece.len() as u64);
        at += 1;
        let mut piece = piece;
        while !piece.is_empty() {
            let part = piece.split_to(piece.len().min(PIECE));
            codec
                .encode(Message::Chunk(Some(part)), &mut bytes)
                .map_err(|_| ExchangeError::Client("too-much"))?;
            write(&stream, patience, &mut server, &mut bytes, &sent).await?;
        }
    }
    codec
        .encode(Message::Chunk(None), &mut bytes)
        .map_err(|_| ExchangeError::Client("too-little"))?;
    write(&stream, patience, &mut server, &mut bytes, &sent).await?;
    sent.whole.set(true);
    Ok(())
}

/// What goes out ends with the exchange, whoever ends it.
struct Upload(JoinHandle<Result<(), ExchangeError>>);

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What became of a try.
pub(crate) enum ExchangeOutcome {
    Answer(Box<(ResponseHead, Answer)>),
    Broke(ExchangeError, AttemptProgress),
    Late(AttemptProgress),
}

/// How the body of an answer ends.
enum BodyEnd {
    Nothing,
    Framed(ClientPayloadCodec),
    /// With the connection.
    Open,
}

/// An answer whose head has come.
pub(crate) struct Answer {
    stream: Rc<TcpStream>,
    read: BytesMut,
    rest: BodyEnd,
    upload: Upload,
    sent: Rc<SendProgress>,
    keep: bool,
    progress: Progress,
    patience: Timeouts,
    pub length: Option<u64>,
}

async fn read_more(stream: &TcpStream, read: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        read.reserve(PIECE);
        // No more than a piece at a time, whatever room there is.
        let mut piece = [0; PIECE];
        match stream.try_read(&mut piece) {
            Ok(got) => {
                read.extend_from_slice(&piece[..got]);
                return Ok(got);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// The answer's head; those that only tell of one to come are passed over.
async fn head(
    stream: &TcpStream,
    read: &mut BytesMut,
    codec: &mut ClientCodec,
) -> Result<ResponseHead, &'static str> {
    loop {
        match codec.decode(read) {
            Ok(Some(head)) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err("upgrade");
            }
            Ok(Some(head)) if head.status.is_informational() => continue,
            Ok(Some(head)) => return Ok(head),
            Ok(None) if read.len() > LONGEST_HEAD => return Err("too-long"),
            Ok(None) => {}
            Err(_) => return Err("unreadable"),
        }
        match read_more(stream, read).await {
            Ok(0) | Err(_) => return Err("broken"),
            Ok(_) => {}
        }
    }
}

/// What writes and what reads, both of which must know what is asked; and the head as it is written.
fn begun(
    asked: &Rc<RequestHead>,
    size: BodySize,
) -> io::Result<(ClientCodec, BytesMut, ClientCodec)> {
    let item = || Message::Item((RequestHeadType::Rc(asked.clone(), None), size));
    let (mut writes, mut reads, mut bytes) = (
        ClientCodec::default(),
        ClientCodec::default(),
        BytesMut::new(),
    );
    writes.encode(item(), &mut bytes)?;
    reads.encode(item(), &mut BytesMut::new())?;
    Ok((writes, bytes, reads))
}

/// Sends an invocation and waits for the head of its answer for so long.
pub(crate) async fn exchange(
    wire: ServerConnection,
    asked: &Rc<RequestHead>,
    source: &Rc<RefCell<Source>>,
    patience: Timeouts,
    wait: Duration,
) -> ExchangeOutcome {
    let size = source.borrow().size;
    let Ok((codec, bytes, mut reads)) = begun(asked, size) else {
        return ExchangeOutcome::Broke(
            ExchangeError::Client("bad-head"),
            AttemptProgress::HeadPart,
        );
    };
    let sent = Rc::new(SendProgress::default());
    sent.head.set(bytes.len() as u64);
    let stream = wire.stream;
    let task = upload(
        stream.clone(),
        codec,
        bytes,
        source.clone(),
        sent.clone(),
        patience,
    );
    let mut upload = Upload(actix_rt::spawn(task));
    let mut read = BytesMut::new();
    let came = {
        let answer = head(&stream, &mut read, &mut reads);
        let mut answer = std::pin::pin!(answer);
        let mut going = true;
        let both = async {
            loop {
                tokio::select! {
                    biased;
                    head = &mut answer => return head.map_err(ExchangeError::Server),
                    sent = &mut upload.0, if going => {
                        going = false;
                        // A server that reads no more may have answered all the same.
                        if let Ok(Err(ExchangeError::Client(code))) = sent {
                            return Err(ExchangeError::Client(code));
                        }
                    }
                }
            }
        };
        tokio::time::timeout(wait, both).await
    };
    let head = match came {
        Err(_) => return ExchangeOutcome::Late(sent.reach()),
        Ok(Err(broke)) if read.is_empty() => return ExchangeOutcome::Broke(broke, sent.reach()),
        Ok(Err(broke)) => return ExchangeOutcome::Broke(broke, AttemptProgress::Answered),
        Ok(Ok(head)) => head,
    };
    let length = length(&head.headers);
    let bare = asked.method == Method::HEAD || matches!(head.status.as_u16(), 204 | 304);
    let keep = reads.keep_alive();
    let rest = match reads.message_type() {
        _ if bare => BodyEnd::Nothing,
        MessageType::None if length == Some(0) => BodyEnd::Nothing,
        MessageType::None if !keep => BodyEnd::Open,
        MessageType::None => BodyEnd::Nothing,
        MessageType::Payload | MessageType::Stream => BodyEnd::Framed(reads.into_payload_codec()),
    };
    let progress = patience.progress();
    let answer = Answer {
        stream,
        read,
        rest,
        upload,
        sent,
        keep,
        progress,
        patience,
        length,
    };
    ExchangeOutcome::Answer(Box::new((head, answer)))
}

fn length(heads: &HeaderMap) -> Option<u64> {
    heads
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

impl Answer {
    pub(crate) fn empty(&self) -> bool {
        matches!(self.rest, BodyEnd::Nothing)
    }

    /// The next piece of its body; None at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match &mut self.rest {
                BodyEnd::Nothing => return Ok(None),
                BodyEnd::Framed(codec) => match codec.decode(&mut self.read) {
                    Ok(Some(Some(piece))) => return Ok(Some(piece)),
                    Ok(Some(None)) => {
                        self.rest = BodyEnd::Nothing;
                        return Ok(None);
                    }
                    Ok(None) => {}
                    Err(_) => return Err(ExchangeError::Server("unreadable")),
                },
                BodyEnd::Open if !self.read.is_empty() => {
                    return Ok(Some(self.read.split().freeze()));
                }
                BodyEnd::Open => {}
            }
            let (patience, stream) = (self.patience, self.stream.clone());
            let got = patience
                .turn(&mut self.progress, read_more(&stream, &mut self.read))
                .await;
            match got {
                None => return Err(ExchangeError::Server("server-stalled")),
                Some(Ok(0)) if matches!(self.rest, BodyEnd::Open) => {
                    self.rest = BodyEnd::Nothing;
                    return Ok(None);
                }
                Some(Ok(0) | Err(_)) => return Err(ExchangeError::Server("broken")),
                Some(Ok(got)) => self.progress.moved(patience.clock.now(), got as u64),
            }
        }
    }

    /// Its connection, where another exchange may follow: all has been sent and read, and nothing more has come.
    pub(crate) fn over(self) -> Option<ServerConnection> {
        let whole = self.keep && self.sent.whole.get() && self.read.is_empty();
        drop(self.upload);
        (whole && matches!(self.rest, BodyEnd::Nothing)).then_some(ServerConnection {
            stream: self.stream,
        })
    }
}
