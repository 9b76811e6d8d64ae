//! A started assigner whose clock the replay steps: each life is a connection to `lynxmilld` in drive mode. What
//! it is told goes over in the spelling of the protocol, so that its decoders are played too.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use lynxmill_assigner_settings::DecodeError;
use lynxmill_assigner_state::{Effect, Epoch, Event, Members, Message, News, Outcome};
use lynxmill_recording::Life;
use lynxmill_time::Timestamp;
use serde_json::{Value, json};

use crate::driver::Driver;

/// How long an answer may take before the assigner counts as lost.
const PATIENCE: Duration = Duration::from_secs(30);

pub struct Loopback {
    at: SocketAddr,
    lives: BTreeMap<Life, BufReader<TcpStream>>,
}

fn resp(words: &[String]) -> String {
    let mut text = format!("*{}\r\n", words.len());
    words
        .iter()
        .for_each(|word| text.push_str(&format!("${}\r\n{word}\r\n", word.len())));
    text
}

/// A message as a collector spells it.
fn spelled(message: &Message) -> String {
    let words: Vec<String> = match message {
        Message::Heartbeat => vec!["hb".into()],
        Message::Zone(zone) => vec!["telemetry".into(), "zone".into(), zone.clone()],
        Message::Met(met) => {
            let load: Vec<String> = met
                .load
                .iter()
                .map(|(name, value)| format!("{name}:{value}"))
                .collect();
            let mut words = vec!["upstream_stats".into()];
            let figures = [
                ("tries", met.tries),
                ("failed", met.failed),
                ("mean_ms", met.mean_ms),
            ];
            words.extend([
                "zone".into(),
                met.zone.clone(),
                "server".into(),
                met.server.clone(),
            ]);
            words.extend(
                figures
                    .iter()
                    .flat_map(|(name, value)| [(*name).to_owned(), value.to_string()]),
            );
            words.extend(["span_ms".into(), met.span_ms.to_string()]);
            if !load.is_empty() {
                words.extend(["load".into(), load.join(",")]);
            }
            words
        }
        Message::Asked(asked) => {
            let (slice, tries) = (asked.slice.to_string(), asked.tries.to_string());
            let pairs = [
                ("slice", slice),
                ("class", asked.operation.clone()),
                ("tries", tries),
            ];
            let mut words = vec!["range_stats".into()];
            words.extend(
                pairs
                    .into_iter()
                    .flat_map(|(name, value)| [name.to_owned(), value]),
            );
            words.extend(["span_ms".into(), asked.span_ms.to_string()]);
            words
        }
        // Cut short before its figures.
        Message::Spoilt(_) => vec!["upstream_stats".into(), "zone".into()],
    };
    resp(&words)
}

/// News as the relay spells them.
fn lines(news: &[News]) -> String {
    let line = |news: &News| {
        let (kind, object) = match news {
            News::Attach { proxy } => ("attach", json!({"proxy": proxy})),
            News::Detach { proxy } => ("detach", json!({"proxy": proxy})),
            News::Done {
                proxy,
                mark,
                took_ms,
            } => (
                "done",
                json!({"proxy": proxy, "mark": mark, "took_ms": took_ms}),
            ),
            News::Owner { slice, on } => ("owner", json!({"slice": slice, "on": on})),
            News::Entry { slice, server } => (
                "entry",
                json!({"slice": slice, "server": server, "weight": 1.0}),
            ),
            News::Alive => return "{}\n".to_owned(),
        };
        format!("{}\n", json!({"type": kind, "object": object}))
    };
    news.iter().map(line).collect()
}

fn list(members: &Members) -> Value {
    serde_json::to_value(members).unwrap_or_default()
}

fn step(now: Timestamp, event: &Event) -> Result<Value, DecodeError> {
    let mut step = json!({"at": now.micros()});
    let (key, value) = match event {
        Event::Begin => ("begin", json!(true)),
        Event::Wake => ("wake", json!(true)),
        Event::Opened(id) => ("opened", json!(id)),
        Event::Said(id, message) => ("said", json!([id, spelled(message)])),
        Event::Ended(id) => ("ended", json!(id)),
        Event::WatchBegun => ("watch", json!("begun")),
        Event::WatchEnded => ("watch", json!("ended")),
        Event::News(news) => ("news", json!(lines(news))),
        Event::Called(Outcome::Taken(taken)) => (
            "answer",
            json!({"ok": true, "body": json!({"taken": taken}).to_string()}),
        ),
        Event::Called(Outcome::Throttled) => (
            "answer",
            json!({"ok": false, "body": "{\"error\":\"Throttling\"}"}),
        ),
        Event::Called(Outcome::Unknown) => ("answer", json!({"ok": true, "body": ""})),
        Event::Listed(members) => ("list", list(members)),
        Event::ListFailed => ("list", Value::Null),
        Event::NextNews(_)
        | Event::NextEnded
        | Event::Moved(_)
        | Event::Hand { .. }
        | Event::Journal(_)
        | Event::Kept { .. }
        | Event::Doubted(_) => {
            return Err(
                "nobody moves addresses, orders by hand or speaks for others in drive mode"
                    .to_owned(),
            );
        }
    };
    step[key] = value;
    Ok(step)
}

fn effect(line: &Value) -> Result<Effect, DecodeError> {
    let odd = || format!("the assigner's answer can't be read: {line}");
    let (key, value) = line
        .as_object()
        .and_then(|o| o.iter().next())
        .ok_or_else(odd)?;
    Ok(match key.as_str() {
        "wake_at" => Effect::WakeAt(Timestamp::from_micros(value.as_i64().ok_or_else(odd)?)),
        "watch" => Effect::Watch,
        "call" => Effect::Call(value.as_str().ok_or_else(odd)?.to_owned()),
        "ask" => Effect::Ask(value.as_u64()),
        "close" => {
            let (id, reason) = serde_json::from_value(value.clone()).map_err(|_| odd())?;
            Effect::Close(id, reason)
        }
        "fault" => return Err(format!("the assigner could not take a step: {value}")),
        _ => return Err(odd()),
    })
}

impl Loopback {
    /// Lives will be connections to this address.
    ///
    /// # Errors
    /// An address that is not a loopback one: a clock that can be stepped is for no network.
    pub fn new(at: SocketAddr) -> Result<Self, DecodeError> {
        if !at.ip().is_loopback() {
            return Err(format!("{at} is no loopback address"));
        }
        Ok(Loopback {
            at,
            lives: BTreeMap::new(),
        })
    }

    fn ask(
        &mut self,
        of: Life,
        step: &Value,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DecodeError> {
        let Some(stream) = self.lives.get_mut(&of) else {
            return Ok(());
        };
        let lost = |e: std::io::Error| format!("the started assigner: {e}");
        stream
            .get_mut()
            .write_all(format!("{step}\n").as_bytes())
            .map_err(lost)?;
        let mut line = String::new();
        loop {
            line.clear();
            if stream.read_line(&mut line).map_err(lost)? == 0 {
                return Err("the started assigner ended".to_owned());
            }
            let told: Value =
                serde_json::from_str(&line).map_err(|e| format!("the assigner's answer: {e}"))?;
            if told.as_object().is_some_and(serde_json::Map::is_empty) {
                return Ok(());
            }
            effects.push(effect(&told)?);
        }
    }
}

impl Driver for Loopback {
    fn start(
        &mut self,
        of: Life,
        now: Timestamp,
        epoch: Epoch,
        configuration: &str,
    ) -> Result<(), DecodeError> {
        let lost = |e: std::io::Error| format!("the started assigner at {}: {e}", self.at);
        let stream = TcpStream::connect(self.at).map_err(lost)?;
        stream
            .set_nodelay(true)
            .and_then(|()| stream.set_read_timeout(Some(PATIENCE)))
            .map_err(lost)?;
        self.lives.insert(of, BufReader::new(stream));
        let told: Value =
            serde_json::from_str(configuration).map_err(|e| format!("configuration: {e}"))?;
        let step = json!({"at": now.micros(), "epoch_ms": epoch.unix_ms, "start": told});
        self.ask(of, &step, &mut Vec::new())
    }

    fn tell(
        &mut self,
        of: Life,
        now: Timestamp,
        event: Event,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DecodeError> {
        self.ask(of, &step(now, &event)?, effects)
    }

    fn end(&mut self, of: Life) {
        self.lives.remove(&of);
    }
}
