//! The relay, which is the store as well: calls that carry orders, and the watch that brings news.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, SendClientRequest};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use lynxmill_assigner_state::{News, Outcome};
use serde::Deserialize;

use crate::close::Reason;

/// The protocol answers a call within 50 ms or never, and gives a sign of life every second.
const ANSWER: Duration = Duration::from_millis(100);
const SILENCE: Duration = Duration::from_millis(1800);
/// A line of news, and the body of an answer.
const LONGEST: usize = 1 << 20;

/// Why a call or the watch ended, and whether the call may have been carried out all the same.
#[derive(Debug)]
pub(crate) struct Failed {
    pub reason: Reason,
    pub detail: String,
}

impl Failed {
    pub(crate) fn new(reason: Reason, detail: impl Display) -> Self {
        Failed {
            reason,
            detail: detail.to_string().chars().take(200).collect(),
        }
    }

    fn sending(e: &SendRequestError) -> Self {
        let reason = match e {
            // awc names so what breaks off before an answer, too.
            SendRequestError::Connect(ConnectError::Disconnected) => Reason::Broken,
            SendRequestError::Connect(_) => Reason::Unreachable,
            SendRequestError::Timeout => Reason::NoAnswer,
            SendRequestError::Response(_) => Reason::Unreadable,
            _ => Reason::Broken,
        };
        Failed::new(reason, e)
    }
}

/// Sends a call and reads its answer, whatever its status says.
pub(crate) async fn body_of(
    call: SendClientRequest,
    longest: usize,
) -> Result<(bool, Bytes), Failed> {
    let mut answer = call.await.map_err(|e| Failed::sending(&e))?;
    let body = answer
        .body()
        .limit(longest)
        .await
        .map_err(|e| Failed::new(Reason::Broken, e))?;
    Ok((answer.status().is_success(), body))
}

#[derive(Deserialize)]
struct ParsedMessages {
    taken: usize,
}

/// What an answer tells, and what there is to say of one that is no plain yes.
pub(crate) fn outcome(ok: bool, answer: &[u8]) -> (Outcome, Option<Failed>) {
    if ok {
        return match serde_json::from_slice::<ParsedMessages>(answer) {
            Ok(ParsedMessages { taken }) => (Outcome::Taken(taken), None),
            Err(e) => (Outcome::Unknown, Some(Failed::new(Reason::Unreadable, e))),
        };
    }
    let text = String::from_utf8_lossy(answer);
    let outcome = if text.contains("Throttling") {
        Outcome::Throttled
    } else if text.contains("ValidationError") {
        // Nothing was taken: the first order is at fault, or will be known not to be.
        Outcome::Taken(0)
    } else {
        Outcome::Unknown
    };
    (outcome, Some(Failed::new(Reason::TurnedBack, text)))
}

/// Each call has a connection of its own: the relay closes idle ones unseen, and on such a one the call's
/// fate would be unknown.
pub(crate) async fn call(
    client: &Client,
    at: SocketAddr,
    body: String,
) -> (Outcome, Option<Failed>) {
    let call = client
        .post(format!("http://{at}/v1/txn"))
        .force_close()
        .content_type("application/json");
    match timeout(ANSWER, body_of(call.send_body(body), LONGEST)).await {
        Ok(Ok((ok, answer))) => outcome(ok, &answer),
        Ok(Err(failed)) if failed.reason == Reason::Unreachable => {
            (Outcome::Throttled, Some(failed))
        }
        Ok(Err(failed)) => (Outcome::Unknown, Some(failed)),
        Err(_) => (
            Outcome::Unknown,
            Some(Failed::new(Reason::NoAnswer, "in time")),
        ),
    }
}

/// One line of news as the relay spells it.
#[derive(Deserialize)]
#[serde(tag = "type", content = "object", rename_all = "lowercase")]
enum RelayMessage {
    Attach { proxy: u16 },
    Detach { proxy: u16 },
    Done { proxy: u16, mark: u16, took_ms: f64 },
    Owner { slice: usize, on: bool },
    Entry { slice: usize, server: String },
}

impl From<RelayMessage> for News {
    fn from(line: RelayMessage) -> Self {
        match line {
            RelayMessage::Attach { proxy } => News::Attach { proxy },
            RelayMessage::Detach { proxy } => News::Detach { proxy },
            RelayMessage::Done {
                proxy,
                mark,
                took_ms,
            } => News::Done {
                proxy,
                mark,
                took_ms,
            },
            RelayMessage::Owner { slice, on } => News::Owner { slice, on },
            RelayMessage::Entry { slice, server } => News::Entry { slice, server },
        }
    }
}

/// Whole lines of what has come of the watch so far.
#[derive(Default)]
pub(crate) struct Lines {
    waiting: BytesMut,
    looked: usize,
}

impl Lines {
    pub(crate) fn take(&mut self, more: &[u8]) -> Result<Vec<News>, Failed> {
        self.waiting.extend_from_slice(more);
        let mut news = Vec::new();
        while let Some(end) = self.waiting[self.looked..].iter().position(|&b| b == b'\n') {
            let line = self.waiting.split_to(self.looked + end);
            self.waiting.advance(1);
            self.looked = 0;
            let line = line.trim_ascii();
            match line {
                b"" => {}
                b"{}" => news.push(News::Alive),
                line => {
                    let line = serde_json::from_slice::<RelayMessage>(line).map(News::from);
                    news.push(line.map_err(|e| Failed::new(Reason::Unreadable, e))?);
                }
            }
        }
        self.looked = self.waiting.len();
        if self.looked > LONGEST {
            return Err(Failed::new(Reason::TooLong, "a line over 1 MiB"));
        }
        Ok(news)
    }
}

/// Reads the watch until it ends, and tells why it did.
pub(crate) async fn watch(
    client: &Client,
    at: SocketAddr,
    mut tell: impl FnMut(Option<Vec<News>>),
) -> Failed {
    let call = client.get(format!("http://{at}/v1/watch")).send();
    let mut answer = match timeout(SILENCE, call).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => return Failed::sending(&e),
        Err(_) => return Failed::new(Reason::NoAnswer, "to the watch"),
    };
    if !answer.status().is_success() {
        return Failed::new(Reason::TurnedBack, answer.status());
    }
    tell(None);
    let mut lines = Lines::default();
    loop {
        match timeout(SILENCE, answer.next()).await {
            Ok(Some(Ok(bytes))) => match lines.take(&bytes) {
                Ok(news) => tell(Some(news)),
                Err(failed) => return failed,
            },
            Ok(Some(Err(e))) => return Failed::new(Reason::Broken, e),
            Ok(None) => return Failed::new(Reason::PeerClosed, "the watch"),
            Err(_) => return Failed::new(Reason::Silent, "no sign of life"),
        }
    }
}
