//! Drive mode: an assigner whose clock whoever connects steps. Each connection is one life; each line tells one
//! step at its time, in the spelling of the protocol, and is answered with what the reducer asks for, a line
//! each, then `{}`. Only on loopback, and nothing else is served then.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use actix_codec::Decoder;
use bytes::BytesMut;
use lynxmill_assigner_state::{Effect, Epoch, Event, Message, Outcome, State, decode, members};
use lynxmill_time::Timestamp;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::relay::{Lines, outcome};
use crate::resp::{MemoryBudget, Resp};

/// A step's line is no longer than this.
const LONGEST: u64 = 16 << 20;

type DriveError = String;

/// What a step tells; exactly one beside its time.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    at: i64,
    #[serde(default)]
    epoch_ms: f64,
    start: Option<Value>,
    begin: Option<bool>,
    wake: Option<bool>,
    opened: Option<u64>,
    said: Option<(u64, String)>,
    ended: Option<u64>,
    watch: Option<Watch>,
    news: Option<String>,
    answer: Option<Answer>,
    #[serde(default, deserialize_with = "told")]
    list: Option<Value>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Watch {
    Begun,
    Ended,
}

#[derive(Deserialize)]
struct Answer {
    ok: bool,
    body: String,
}

/// A list that is null was told to have failed; one that is absent was not told.
fn told<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Option<Value>, D::Error> {
    Value::deserialize(from).map(Some)
}

/// One life, from its first line on.
#[derive(Default)]
struct Incarnation {
    state: Option<State>,
    /// Bytes of each connection's messages that are not whole yet.
    talks: BTreeMap<u64, (Resp, BytesMut)>,
    lines: Lines,
}

impl Incarnation {
    fn said(&mut self, id: u64, text: &str) -> Result<Vec<Message>, DriveError> {
        let new = || {
            (
                Resp::new(MemoryBudget::new(LONGEST as usize)),
                BytesMut::new(),
            )
        };
        let (codec, bytes) = self.talks.entry(id).or_insert_with(new);
        bytes.extend_from_slice(text.as_bytes());
        let mut messages = Vec::new();
        while let Some(message) = codec.decode(bytes).map_err(|error| format!("{error:?}"))? {
            messages.push(message);
        }
        Ok(messages)
    }

    fn events(&mut self, step: Step) -> Result<Vec<Event>, DriveError> {
        let mut events = Vec::new();
        events.extend(step.begin.map(|_| Event::Begin));
        events.extend(step.wake.map(|_| Event::Wake));
        events.extend(step.opened.map(Event::Opened));
        if let Some((id, text)) = step.said {
            events.extend(
                self.said(id, &text)?
                    .into_iter()
                    .map(|message| Event::Said(id, message)),
            );
        }
        if let Some(id) = step.ended {
            self.talks.remove(&id);
            events.push(Event::Ended(id));
        }
        match step.watch {
            Some(Watch::Begun) => {
                self.lines = Lines::default();
                events.push(Event::WatchBegun);
            }
            Some(Watch::Ended) => events.push(Event::WatchEnded),
            None => {}
        }
        if let Some(text) = step.news {
            let news = self
                .lines
                .take(text.as_bytes())
                .map_err(|failed| failed.detail)?;
            events.push(Event::News(news));
        }
        if let Some(Answer { ok, body }) = step.answer {
            let came = if body.is_empty() {
                Outcome::Unknown
            } else {
                outcome(ok, body.as_bytes()).0
            };
            events.push(Event::Called(came));
        }
        match step.list {
            Some(Value::Null) => events.push(Event::ListFailed),
            Some(list) => events.push(Event::Listed(
                members(list).map_err(|e| format!("the list: {e}"))?,
            )),
            None => {}
        }
        Ok(events)
    }

    fn step(&mut self, line: &str) -> Result<Vec<Effect>, DriveError> {
        let mut step: Step = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let now = Timestamp::from_micros(step.at);
        if let Some(configuration) = step.start.take() {
            let epoch = Epoch {
                unix_ms: step.epoch_ms,
            };
            self.state = Some(State::new(epoch, now, decode(&configuration, |_| None)?));
        }
        let mut effects = Vec::new();
        for event in self.events(step)? {
            let state = self.state.as_mut().ok_or("a life begins with `start`")?;
            state.reduce(now, event, &mut effects);
        }
        Ok(effects)
    }
}

fn asked(effect: Effect) -> Value {
    match effect {
        Effect::WakeAt(at) => json!({"wake_at": at.micros()}),
        Effect::Watch => json!({"watch": true}),
        Effect::Call(body) => json!({"call": body}),
        Effect::Ask(from) => json!({"ask": from}),
        Effect::Close(id, reason) => json!({"close": (id, reason)}),
        other => json!({"fault": format!("{other:?} has no place in drive mode")}),
    }
}

fn serve(stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut lines = BufReader::new(stream);
    let (mut life, mut line) = (Incarnation::default(), String::new());
    loop {
        line.clear();
        if io::Read::take(&mut lines, LONGEST).read_line(&mut line)? == 0 {
            return Ok(());
        }
        let answers = match life.step(&line) {
            Ok(effects) => effects.into_iter().map(asked).collect(),
            Err(fail) => vec![json!({"fault": fail})],
        };
        let mut text: String = answers.iter().map(|answer| format!("{answer}\n")).collect();
        text.push_str("{}\n");
        out.write_all(text.as_bytes())?;
    }
}

/// The address that a configuration asks to be driven at.
///
/// # Errors
/// One line: no address, or none of loopback.
pub(crate) fn address(told: &Value) -> Result<Option<SocketAddr>, DriveError> {
    let Some(at) = told.get("drive").filter(|at| !at.is_null()) else {
        return Ok(None);
    };
    let at: Option<SocketAddr> = at.as_str().and_then(|at| at.parse().ok());
    let at = at.ok_or("`drive` is no address")?;
    if at.ip().is_loopback() {
        Ok(Some(at))
    } else {
        Err(format!("`drive` {at} is no loopback address"))
    }
}

/// Serves lives until the program is killed.
pub(crate) fn run(at: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(at)?;
    log::info!(
        "drive mode, its clock is stepped: listens on {}",
        listener.local_addr()?
    );
    for stream in listener.incoming() {
        let stream = stream?;
        std::thread::spawn(move || {
            if let Err(e) = serve(stream) {
                log::warn!("a driven life broke off: {e}");
            }
        });
    }
    Ok(())
}
