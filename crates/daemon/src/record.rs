//! What the assigner hears and orders, recorded as a day where its file asks for that. Entries go to a thread of
//! their own that packs and writes them; the hub never waits for it.

use std::cell::Cell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use lynxmill_assigner_state::{Epoch, Event};
use lynxmill_recording::{Entry, Head, Life, Log, Ring, Source, Writer};
use lynxmill_time::Timestamp;
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::oneshot;

/// Entries that may wait for the thread; what comes beyond is counted as missing.
const WAITING: usize = 16_384;
/// Entries to a frame, and how long the first of them may wait: what a kill may cost.
const ENTRIES: usize = 1024;
const WAIT: Duration = Duration::from_millis(500);
const LIFE: Life = Life {
    assigner: 0,
    life: 1,
};

/// The key `record` of the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "to", rename_all = "lowercase", deny_unknown_fields)]
pub(crate) enum RecordOptions {
    /// A file, begun anew at each start, that stops growing at a bound.
    File { path: PathBuf, most_mb: u32 },
    /// The last of the day in memory, told by `GET /day`.
    Ring { most_mb: u32 },
}

/// # Errors
/// One line that names the key.
pub(crate) fn wish(told: &Value, memory: usize) -> Result<Option<RecordOptions>, String> {
    let Some(options) = told.get("record").filter(|options| !options.is_null()) else {
        return Ok(None);
    };
    let options: RecordOptions =
        serde_json::from_value(options.clone()).map_err(|e| format!("`record`: {e}"))?;
    match &options {
        RecordOptions::Ring { most_mb } if *most_mb as usize * 4_000_000 > memory => {
            Err("`record`: `most_mb` is to be a quarter of the memory at most".to_owned())
        }
        _ => Ok(Some(options)),
    }
}

enum RecorderMessage {
    Entry(i64, Entry),
    /// The file so far is asked for.
    Show(oneshot::Sender<Option<Vec<u8>>>),
}

pub(crate) struct Recorder {
    to: SyncSender<RecorderMessage>,
    missing: Cell<u64>,
}

impl Recorder {
    /// Begins a recording; `configuration` is the one in force.
    ///
    /// # Errors
    /// A file that can't be made.
    pub(crate) fn start(
        options: RecordOptions,
        name: String,
        epoch: Epoch,
        configuration: String,
    ) -> io::Result<Self> {
        let head = Head {
            name,
            source: Source::Assigner,
            seed: 0,
            began_ms: epoch.unix_ms,
            configuration,
        };
        let (to, from) = sync_channel(WAITING);
        let mut sink = Sink::open(options, &head)?;
        std::thread::Builder::new()
            .name("record".to_owned())
            .spawn(move || sink.run(&from))?;
        Ok(Recorder {
            to,
            missing: Cell::new(0),
        })
    }

    fn note(&self, at: Timestamp, entry: Entry) {
        let at = at.micros();
        let missing = self.missing.get();
        // Whoever reads must know that something is not there before what follows.
        if missing > 0
            && self
                .to
                .try_send(RecorderMessage::Entry(at, Entry::Missing(missing)))
                .is_ok()
        {
            self.missing.set(0);
        }
        let lost =
            self.missing.get() > 0 || self.to.try_send(RecorderMessage::Entry(at, entry)).is_err();
        self.missing.set(self.missing.get() + u64::from(lost));
    }

    pub(crate) fn started(&self, at: Timestamp, configuration: String) {
        self.note(at, Entry::Started(configuration));
    }

    pub(crate) fn heard(&self, at: Timestamp, event: &Event) {
        self.note(at, Entry::Heard(event.clone()));
    }

    pub(crate) fn ordered(&self, at: Timestamp, body: &str) {
        self.note(at, Entry::Ordered(body.to_owned()));
    }

    /// The ring's day, once its thread has packed what came before; `None` where a file is written.
    pub(crate) async fn show(&self) -> Option<Vec<u8>> {
        let (tell, told) = oneshot::channel();
        match self.to.try_send(RecorderMessage::Show(tell)) {
            Ok(()) => told.await.ok().flatten(),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }
}

/// Counts what has been written.
struct Counted<W> {
    to: W,
    bytes: u64,
}

impl<W: Write> Write for Counted<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.to.write(bytes)?;
        self.bytes += written as u64;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.to.flush()
    }
}

enum Sink {
    File {
        writer: Option<Writer<Counted<BufWriter<File>>>>,
        most: u64,
    },
    Ring(Ring),
}

impl Sink {
    fn open(options: RecordOptions, head: &Head) -> io::Result<Self> {
        let odd = |e: lynxmill_recording::FrameError| io::Error::other(e.to_string());
        match options {
            RecordOptions::File { path, most_mb } => {
                let file = File::create(&path).map_err(|e| {
                    io::Error::new(e.kind(), format!("`record` {}: {e}", path.display()))
                })?;
                let writer = Writer::new(
                    Counted {
                        to: BufWriter::new(file),
                        bytes: 0,
                    },
                    head,
                )?;
                Ok(Sink::File {
                    writer: Some(writer),
                    most: u64::from(most_mb) * 1_000_000,
                })
            }
            RecordOptions::Ring { most_mb } => Ok(Sink::Ring(
                Ring::new(head, most_mb as usize * 1_000_000).map_err(odd)?,
            )),
        }
    }

    fn run(&mut self, from: &Receiver<RecorderMessage>) {
        let mut waiting: Vec<Log> = Vec::new();
        let mut due = Instant::now() + WAIT;
        loop {
            let told = from.recv_timeout(due.saturating_duration_since(Instant::now()));
            match told {
                Ok(RecorderMessage::Entry(at, entry)) => waiting.push(Log {
                    at,
                    of: LIFE,
                    entry,
                }),
                Ok(RecorderMessage::Show(tell)) => {
                    self.write(&mut waiting);
                    let file = if let Sink::Ring(ring) = self {
                        ring.file().ok()
                    } else {
                        None
                    };
                    let _ = tell.send(file);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.write(&mut waiting),
            }
            if waiting.len() >= ENTRIES || Instant::now() >= due {
                self.write(&mut waiting);
                due = Instant::now() + WAIT;
            }
        }
    }

    fn write(&mut self, waiting: &mut Vec<Log>) {
        let log = std::mem::take(waiting);
        if log.is_empty() {
            return;
        }
        match self {
            Sink::Ring(ring) => {
                if let Err(e) = ring.push(&log) {
                    log::warn!("not recorded: {e}");
                }
            }
            Sink::File { writer, most } => {
                let Some(open) = writer else { return };
                let written = open.log(&log).and_then(|()| open.flush());
                let full = open.to().bytes >= *most;
                match written {
                    Ok(()) if full => {
                        log::warn!("the recording has reached its bound and ends here")
                    }
                    Ok(()) => return,
                    Err(e) => log::error!("the recording ends here: {e}"),
                }
                if let Some(open) = writer.take() {
                    let _ = open.end();
                }
            }
        }
    }
}

/// The configuration in force: the file's, with the variables that prevail over it.
pub(crate) fn in_force(told: &Value, variable: impl Fn(&str) -> Option<String>) -> String {
    let mut told = told.clone();
    for (name, key) in [
        ("PROXY_NAME", "name"),
        ("PROXY_LISTEN", "listen"),
        ("PROXY_DISCOVERY", "discovery"),
    ] {
        if let Some(value) = variable(name) {
            told[key] = Value::String(value);
        }
    }
    told.to_string()
}
