//! The messages at the assigner's address: RESP2 arrays of bulk strings, a kind followed by names and values.
//! Bytes come in pieces; each message is decoded once into a small typed value.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use actix_codec::{Decoder, Encoder};
use bytes::{Buf, Bytes, BytesMut};

use lynxmill_assigner_state::{Asked, Message, Met};

use crate::close::Reason;

/// The protocol's bound on a message.
const LONGEST: usize = 1 << 20;
/// The longest line that can open an array or a bulk string of such a message: a sign, digits, line end.
const HEAD: usize = 16;

#[derive(Debug)]
pub(crate) enum ProtocolError {
    Bad(Reason, String),
    Io(io::Error),
}

impl From<io::Error> for ProtocolError {
    fn from(e: io::Error) -> Self {
        ProtocolError::Io(e)
    }
}

/// The only answer ever written.
pub(crate) struct HeartbeatReply;

/// Bytes that all connections together may hold of messages that are not whole.
#[derive(Clone)]
pub(crate) struct MemoryBudget {
    held: Rc<Cell<usize>>,
    most: usize,
}

impl MemoryBudget {
    pub(crate) fn new(most: usize) -> Self {
        MemoryBudget {
            held: Rc::default(),
            most,
        }
    }
}

/// What has come of a message so far; only the piece that is not whole yet is looked at again.
pub(crate) struct Resp {
    /// Words still to come of the array begun.
    missing: usize,
    words: Vec<Bytes>,
    length: Option<usize>,
    taken: usize,
    room: MemoryBudget,
    held: usize,
}

impl Drop for Resp {
    fn drop(&mut self) {
        self.holds(0);
    }
}

fn bad(text: &str) -> ProtocolError {
    ProtocolError::Bad(Reason::BadFrame, text.to_owned())
}

impl Resp {
    pub(crate) fn new(room: MemoryBudget) -> Self {
        Resp {
            missing: 0,
            words: Vec::new(),
            length: None,
            taken: 0,
            room,
            held: 0,
        }
    }

    /// Part of a message has come.
    pub(crate) fn begun(&self) -> bool {
        self.held > 0
    }

    fn holds(&mut self, bytes: usize) -> usize {
        let all = self.room.held.get() - self.held + bytes;
        self.room.held.set(all);
        self.held = bytes;
        all
    }

    /// The number in a line that begins with `sign`, once the line is whole.
    fn head(&mut self, from: &mut BytesMut, sign: u8) -> Result<Option<usize>, ProtocolError> {
        if from.first().is_some_and(|&b| b != sign) {
            return Err(bad("no array of bulk strings"));
        }
        let seen = &from[..from.len().min(HEAD)];
        let Some(end) = seen.iter().position(|&b| b == b'\n') else {
            return if seen.len() == HEAD {
                Err(bad("endless length"))
            } else {
                Ok(None)
            };
        };
        let digits = seen[..end]
            .strip_suffix(b"\r")
            .and_then(|line| line.get(1..))
            .unwrap_or_default();
        let digits = digits
            .iter()
            .all(u8::is_ascii_digit)
            .then(|| std::str::from_utf8(digits).ok())
            .flatten();
        let number = digits
            .and_then(|d| d.parse().ok())
            .ok_or_else(|| bad("odd length"))?;
        self.taken += end + 1;
        from.advance(end + 1);
        Ok(Some(number))
    }

    fn room_for(&self, more: usize) -> Result<(), ProtocolError> {
        if more > LONGEST || self.taken + more > LONGEST {
            return Err(ProtocolError::Bad(Reason::TooLong, "over 1 MiB".to_owned()));
        }
        Ok(())
    }
}

impl Decoder for Resp {
    type Item = Message;
    type Error = ProtocolError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Message>, ProtocolError> {
        let message = self.piece(from)?;
        // Guards the memory against many who each keep a long message unfinished; short ones always fit.
        let words = self.words.len() * size_of::<Bytes>();
        let held = if message.is_some() {
            0
        } else {
            self.taken + from.len() + words
        };
        if self.holds(held) > self.room.most && held > LONGEST / 16 {
            return Err(ProtocolError::Bad(
                Reason::Crowded,
                "too much unfinished".to_owned(),
            ));
        }
        Ok(message)
    }
}

impl Resp {
    fn piece(&mut self, from: &mut BytesMut) -> Result<Option<Message>, ProtocolError> {
        loop {
            if self.missing == 0 {
                let Some(count) = self.head(from, b'*')? else {
                    return Ok(None);
                };
                // The shortest word takes 5 bytes, its line ends included.
                self.room_for(count.saturating_mul(5))?;
                if count == 0 {
                    return Err(bad("an empty array"));
                }
                self.missing = count;
            }
            let length = match self.length {
                Some(length) => length,
                None => {
                    let Some(length) = self.head(from, b'$')? else {
                        return Ok(None);
                    };
                    self.room_for(length.saturating_add(2))?;
                    *self.length.insert(length)
                }
            };
            if from.len() < length + 2 {
                return Ok(None);
            }
            let mut word = from.split_to(length + 2);
            if &word[length..] != b"\r\n" {
                return Err(bad("a word without its line end"));
            }
            word.truncate(length);
            self.words.push(word.freeze());
            (self.length, self.taken) = (None, self.taken + length + 2);
            self.missing -= 1;
            if self.missing == 0 {
                self.taken = 0;
                return message(&std::mem::take(&mut self.words)).map(Some);
            }
        }
    }
}

impl Encoder<HeartbeatReply> for Resp {
    type Error = ProtocolError;

    fn encode(&mut self, _: HeartbeatReply, to: &mut BytesMut) -> Result<(), ProtocolError> {
        to.extend_from_slice(b"*1\r\n$5\r\nhb_ok\r\n");
        Ok(())
    }
}

/// Guards against figures out of range: what the wire counts fits into 32 bits, be it tries, milliseconds or
/// load.
fn figure(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|n| (0.0..=f64::from(u32::MAX)).contains(n))
}

/// The names and values of one message. A name that isn't known is passed over.
struct FieldReader<'a>(Vec<(&'a str, &'a str)>);

impl<'a> FieldReader<'a> {
    fn text(&self, name: &str) -> Result<&'a str, MalformedMessage> {
        let found = self.0.iter().find(|(n, _)| *n == name);
        found.map(|(_, value)| *value).ok_or_else(|| wrong(name))
    }

    fn number(&self, name: &str) -> Result<f64, MalformedMessage> {
        figure(self.text(name)?).ok_or_else(|| wrong(name))
    }

    /// What a sum covers: never nothing.
    fn span(&self, name: &str) -> Result<f64, MalformedMessage> {
        self.number(name).and_then(|span| {
            if span > 0.0 {
                Ok(span)
            } else {
                Err(wrong(name))
            }
        })
    }

    /// A figure that is absent where nothing was met.
    fn number_or_none(&self, name: &str) -> Result<f64, MalformedMessage> {
        if self.text(name).is_ok_and(|text| !text.is_empty()) {
            self.number(name)
        } else {
            Ok(0.0)
        }
    }
}

/// What is wrong with a message whose framing is sound.
type MalformedMessage = String;

fn wrong(name: &str) -> MalformedMessage {
    format!("no or odd `{name}`")
}

/// Guards the sound reports around a spoilt one: only a kind that nobody knows ends the connection.
fn message(words: &[Bytes]) -> Result<Message, ProtocolError> {
    let read = match words.first().map(|kind| &kind[..]) {
        Some(b"hb") => |_: &FieldReader| Ok(Message::Heartbeat),
        Some(b"telemetry") => {
            |fields: &FieldReader| Ok(Message::Zone(fields.text("zone")?.to_owned()))
        }
        Some(b"upstream_stats") => |fields: &FieldReader| met(fields).map(Message::Met),
        Some(b"range_stats") => |fields: &FieldReader| asked(fields).map(Message::Asked),
        other => {
            let kind: String = String::from_utf8_lossy(other.unwrap_or_default())
                .chars()
                .take(40)
                .collect();
            return Err(ProtocolError::Bad(Reason::UnknownKind, format!("{kind:?}")));
        }
    };
    Ok(fields(&words[1..])
        .and_then(|fields| read(&fields))
        .unwrap_or_else(Message::Spoilt))
}

fn fields(words: &[Bytes]) -> Result<FieldReader<'_>, MalformedMessage> {
    let (pairs, odd) = words.as_chunks::<2>();
    if !odd.is_empty() {
        return Err(wrong("a value"));
    }
    let text = |word| std::str::from_utf8(word).map_err(|_| "no text".to_owned());
    pairs
        .iter()
        .map(|[name, value]| Ok((text(name)?, text(value)?)))
        .collect::<Result<_, _>>()
        .map(FieldReader)
}

fn met(fields: &FieldReader) -> Result<Met, MalformedMessage> {
    let met = Met {
        zone: fields.text("zone")?.to_owned(),
        server: fields.text("server")?.to_owned(),
        tries: fields.number("tries")?,
        failed: fields.number("failed")?,
        mean_ms: fields.number_or_none("mean_ms")?,
        span_ms: fields.span("span_ms")?,
        load: load(fields.text("load").unwrap_or_default())?,
    };
    if met.failed > met.tries {
        Err(wrong("failed"))
    } else {
        Ok(met)
    }
}

fn asked(fields: &FieldReader) -> Result<Asked, MalformedMessage> {
    Ok(Asked {
        slice: fields.text("slice")?.parse().map_err(|_| wrong("slice"))?,
        operation: fields.text("class")?.to_owned(),
        tries: fields.number("tries")?,
        span_ms: fields.span("span_ms")?,
    })
}

fn load(text: &str) -> Result<Vec<(String, f64)>, MalformedMessage> {
    let pair = |part: &str| {
        let (name, value) = part.split_once(':')?;
        Some((name.to_owned(), figure(value)?))
    };
    text.split(',')
        .filter(|part| !part.is_empty())
        .map(|p| pair(p).ok_or_else(|| wrong("load")))
        .collect()
}
