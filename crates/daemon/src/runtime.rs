//! The runtime socket: operators' sessions over Unix sockets and loopback. Orders go through the reducer as all else
//! does; what is shown is a copy, written in its own time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{Instant, timeout};
use lynxmill_assigner_state::Event;
use lynxmill_assigner_state::hand::{REMEMBERED, Record, Said, UNDER_WAY};
use lynxmill_runtime_commands::journal::Journal;
use lynxmill_runtime_commands::{
    Command, HELP, Level, RateLimiter, Show, SocketLimit, entry, looked, parse, said, tabled,
};
use lynxmill_settings::{SettingsError, daemon, position};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::io::{
    AsyncBufRead, AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader,
};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout_at;

use crate::close::{Reason, ended};
use crate::happened;
use crate::hub::{Hub, Reload};
use crate::journal::OnDisk;
use crate::start::Clock;

/// A session says its next line within this, or ends; one that does not read its answer for so long ends too.
const IDLE: Duration = Duration::from_secs(600);
const UNREAD: Duration = Duration::from_secs(5);
/// What is passed over of one who is turned away.
const MOMENT: Duration = Duration::from_millis(500);
const MOST: u64 = 1 << 20;
/// What follows a line with `<<` is as long as so many lines.
const LINES: usize = 16;
/// An answer is written in pieces, so that a long one lets others have their turn.
const PIECE: usize = 16 << 10;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged, deny_unknown_fields)]
pub(crate) enum SocketAddressOption {
    Unix {
        path: PathBuf,
        level: Level,
        /// Of the file, in octal digits.
        mode: String,
    },
    Loopback {
        address: SocketAddr,
        level: Level,
    },
}

/// The key `runtime` of the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RuntimeOptions {
    pub sockets: Vec<SocketAddressOption>,
    pub connections: usize,
    pub line_bytes: usize,
    pub commands_per_s: u32,
    /// A file in which orders survive a restart, on a disk that lasts.
    #[serde(default)]
    pub journal: Option<PathBuf>,
}

/// # Errors
/// One line that names the key; bounds and defaults are the schema's.
pub(crate) fn wish(told: &Value) -> Result<Option<RuntimeOptions>, String> {
    let options = told.get("runtime").filter(|options| !options.is_null());
    options
        .map(|options| {
            serde_json::from_value(options.clone()).map_err(|e| format!("`runtime`: {e}"))
        })
        .transpose()
}

/// A socket that listens and has not been served yet.
pub(crate) enum Listening {
    Unix(std::os::unix::net::UnixListener, PathBuf, Level),
    Loopback(std::net::TcpListener, Level),
}

/// A socket file that nobody listens at any more is in the way.
fn clear(path: &Path) -> io::Result<()> {
    match std::fs::symlink_metadata(path) {
        Ok(there) if there.file_type().is_socket() => {
            if std::os::unix::net::UnixStream::connect(path).is_ok() {
                return Err(io::Error::new(
                    io::ErrorKind::AddrInUse,
                    "another program listens there",
                ));
            }
            std::fs::remove_file(path)
        }
        Ok(_) => Err(io::Error::new(
            io::ErrorKind::AlreadyExists,
            "a file that is no socket is there",
        )),
        Err(_) => Ok(()),
    }
}

/// # Errors
/// One line that names the socket.
pub(crate) fn listen(options: &RuntimeOptions) -> Result<Vec<Listening>, String> {
    let one = |at: &SocketAddressOption| -> io::Result<Listening> {
        Ok(match at {
            SocketAddressOption::Unix { path, level, mode } => {
                clear(path)?;
                let listener = std::os::unix::net::UnixListener::bind(path)?;
                let mode = u32::from_str_radix(mode, 8).unwrap_or(0o600);
                std::fs::set_permissions(path, std::fs::Permissions::from_mode(mode))?;
                listener.set_nonblocking(true)?;
                Listening::Unix(listener, path.clone(), *level)
            }
            SocketAddressOption::Loopback { address, level } => {
                let listener = std::net::TcpListener::bind(address)?;
                listener.set_nonblocking(true)?;
                log::info!("runtime socket on {}", listener.local_addr()?);
                Listening::Loopback(listener, *level)
            }
        })
    };
    let name = |at: &SocketAddressOption| match at {
        SocketAddressOption::Unix { path, .. } => path.display().to_string(),
        SocketAddressOption::Loopback { address, .. } => address.to_string(),
    };
    options
        .sockets
        .iter()
        .map(|at| one(at).map_err(|e| format!("`runtime` {}: {e}", name(at))))
        .collect()
}

/// A journal and what stood in it.
pub(crate) type Opened = (Journal<OnDisk>, Vec<Record>);

/// Opens the journal, where one is to be kept.
///
/// # Errors
/// One line that names the file.
pub(crate) fn journal(options: &RuntimeOptions) -> Result<Option<Opened>, String> {
    let Some(path) = &options.journal else {
        return Ok(None);
    };
    let opened = OnDisk::open(path).and_then(Journal::open);
    let (journal, stood, cut) = opened.map_err(|e| format!("`runtime` {}: {e}", path.display()))?;
    if cut > 0 {
        log::warn!(
            "the journal of orders by hand ended in {cut} bytes that were not whole, cut off"
        );
    }
    Ok(Some((journal, stood)))
}

/// What is not the assigner's picture, but the program's.
fn of_the_program(what: Show) -> bool {
    use Show::{Errors, Events, Evidence, Gossip, Limits, Members, Streams, Times};
    matches!(
        what,
        Events | Errors | Times | Limits | Streams | Members | Evidence | Gossip
    )
}

pub(crate) struct Runtime {
    hub: Rc<Hub>,
    clock: Clock,
    wish: RuntimeOptions,
    /// As the file says, or as they were set since.
    connections: Cell<usize>,
    commands: Cell<u32>,
    reload: Option<Reload>,
    last: Cell<u64>,
    open: RefCell<BTreeMap<u64, (&'static str, String)>>,
    /// What is said of orders that a session waits for, each under a number of its own.
    said: RefCell<BTreeMap<u64, Option<Said>>>,
    stepped: Notify,
}

impl Runtime {
    pub(crate) fn start(
        options: RuntimeOptions,
        listening: Vec<Listening>,
        reload: Option<Reload>,
        clock: Clock,
        hub: &Rc<Hub>,
    ) -> Rc<Self> {
        let runtime = Rc::new(Runtime {
            hub: hub.clone(),
            clock,
            connections: Cell::new(options.connections),
            commands: Cell::new(options.commands_per_s),
            wish: options,
            reload,
            last: Cell::new(0),
            open: RefCell::default(),
            said: RefCell::default(),
            stepped: Notify::new(),
        });
        for listening in listening {
            actix_rt::spawn(runtime.clone().accept(listening));
        }
        runtime
    }

    /// What the reducer says of an order; nobody may wait for it any more.
    pub(crate) fn told(&self, order: u64, said: Said) {
        if let Some(waits) = self.said.borrow_mut().get_mut(&order) {
            *waits = Some(said);
            self.stepped.notify_waiters();
        }
    }

    /// An order has come further.
    pub(crate) fn step(&self) {
        self.stepped.notify_waiters();
    }

    async fn accept(self: Rc<Self>, listening: Listening) {
        match listening {
            Listening::Unix(listener, path, level) => {
                let Ok(listener) = tokio::net::UnixListener::from_std(listener) else {
                    return;
                };
                while let Ok((stream, _)) = listener.accept().await {
                    self.begin(stream, path.display().to_string(), level);
                }
            }
            Listening::Loopback(listener, level) => {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                    return;
                };
                while let Ok((stream, peer)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    self.begin(stream, peer.to_string(), level);
                }
            }
        }
    }

    fn begin<S: AsyncRead + AsyncWrite + Unpin + 'static>(
        self: &Rc<Self>,
        stream: S,
        peer: String,
        level: Level,
    ) {
        let id = self.number();
        let runtime = self.clone();
        let full = self.open.borrow().len() >= self.connections.get();
        let name = match level {
            Level::User => "user",
            Level::Operator => "operator",
            Level::Admin => "admin",
        };
        if !full {
            self.open.borrow_mut().insert(id, (name, peer.clone()));
        }
        actix_rt::spawn(async move {
            let reason = if full {
                runtime.turn_away(stream).await
            } else {
                runtime.serve(stream, level).await
            };
            runtime.open.borrow_mut().remove(&id);
            ended("runtime", peer, reason, "");
        });
    }

    async fn turn_away<S: AsyncRead + AsyncWrite + Unpin>(&self, stream: S) -> Reason {
        let (mut read, mut write) = tokio::io::split(stream);
        part(
            &mut read,
            &mut write,
            "refused: too many sessions, return after 1000 ms\n",
        )
        .await;
        Reason::Crowded
    }

    async fn serve<S: AsyncRead + AsyncWrite + Unpin>(&self, stream: S, level: Level) -> Reason {
        let (read, mut write) = tokio::io::split(stream);
        let mut lines = BufReader::new(read);
        let mut pace = RateLimiter::new(self.commands.get(), self.clock.now().micros());
        let mut prompt = false;
        loop {
            let mut line = Vec::new();
            let most = self.wish.line_bytes as u64 + 1;
            let taken = timeout(IDLE, (&mut lines).take(most).read_until(b'\n', &mut line)).await;
            match taken {
                Err(_) => return Reason::Silent,
                Ok(Err(_)) => return Reason::PeerReset,
                Ok(Ok(0)) => return Reason::PeerClosed,
                Ok(Ok(_)) if line.len() > self.wish.line_bytes => {
                    let text = format!("refused: a line is up to {} bytes\n", self.wish.line_bytes);
                    part(&mut lines, &mut write, &text).await;
                    return Reason::TooLong;
                }
                Ok(Ok(_)) => {}
            }
            // What is not whole is no command: whoever broke off did not mean all of it.
            if line.last() != Some(&b'\n') {
                return Reason::PeerClosed;
            }
            let text = String::from_utf8_lossy(&line).into_owned();
            let text = text.trim_end();
            let payload = match text.ends_with("<<") {
                true => match self.payload(&mut lines).await {
                    Ok(payload) => payload,
                    Err(reason) => {
                        part(
                            &mut lines,
                            &mut write,
                            "refused: what follows << is too long or never ends\n",
                        )
                        .await;
                        return reason;
                    }
                },
                false => String::new(),
            };
            let (answer, quit) = self
                .line(text, &payload, level, &mut pace, &mut prompt)
                .await;
            let mut answer = answer;
            if prompt && !quit {
                answer.push_str("\n> ");
            }
            for piece in answer.as_bytes().chunks(PIECE) {
                match timeout(UNREAD, write.write_all(piece)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Reason::PeerReset,
                    Err(_) => return Reason::Unread,
                }
            }
            if quit || !prompt {
                let _ = timeout(UNREAD, write.shutdown()).await;
                return Reason::Done;
            }
        }
    }

    /// Lines up to an empty one, in all as long as some lines may be.
    async fn payload(&self, lines: &mut (impl AsyncBufRead + Unpin)) -> Result<String, Reason> {
        let most = self.wish.line_bytes * LINES;
        let mut bytes = Vec::new();
        loop {
            let (start, left) = (bytes.len(), most.saturating_sub(bytes.len()) as u64);
            let taken = timeout(IDLE, (&mut *lines).take(left).read_until(b'\n', &mut bytes)).await;
            taken
                .map_err(|_| Reason::Silent)?
                .map_err(|_| Reason::PeerReset)?;
            match &bytes[start..] {
                b"\n" | b"\r\n" => return Ok(String::from_utf8_lossy(&bytes).into_owned()),
                line if line.last() == Some(&b'\n') => {}
                _ if bytes.len() >= most => return Err(Reason::TooLong),
                _ => return Err(Reason::PeerClosed),
            }
        }
    }

    async fn line(
        &self,
        line: &str,
        payload: &str,
        level: Level,
        pace: &mut RateLimiter,
        prompt: &mut bool,
    ) -> (String, bool) {
        let commands = match parse(line) {
            Ok(commands) => commands,
            Err(error) => return (format!("wrong: {error}\n"), false),
        };
        let mut answer = String::new();
        for command in commands {
            if let Command::Quit = command {
                return (answer, true);
            }
            if let Err(turned) = pace.take(self.clock.now().micros()) {
                answer.push_str(&format!(
                    "refused: too many commands, return after {} ms\n",
                    turned.return_ms
                ));
                continue;
            }
            if command.level() > level {
                answer.push_str("refused: this socket's level does not allow it\n");
                continue;
            }
            match command {
                Command::Help => answer.push_str(&format!("{HELP}\n")),
                Command::Prompt => *prompt = true,
                Command::Quit => {}
                Command::Show { what, json } if of_the_program(what) => {
                    answer.push_str(&tabled(what, json, &self.seen(what)))
                }
                Command::Check => answer.push_str(&checked(payload)),
                Command::ClearCounters => {
                    happened::note(|now, happened| happened.clear(now));
                    answer.push_str("done\n");
                }
                Command::Leave => {
                    let members = self.hub.members();
                    members.iter().for_each(|members| members.leave());
                    let done = members.is_some();
                    answer.push_str(if done {
                        "done\n"
                    } else {
                        "refused: no other assigners are told\n"
                    });
                }
                Command::Shutdown(stream) => {
                    let done = self.hub.shut(stream, Reason::ByHand);
                    answer.push_str(if done {
                        "done\n"
                    } else {
                        "refused: no stream of this number\n"
                    });
                }
                Command::LogLevel(level) => {
                    log::set_max_level(level.parse().unwrap_or(log::LevelFilter::Info));
                    log::warn!("log level {level}, by hand");
                    answer.push_str("done\n");
                }
                Command::Limit(bound, most) => {
                    match bound {
                        SocketLimit::Connections => self.connections.set(most as usize),
                        SocketLimit::Commands => self.commands.set(most),
                    }
                    answer.push_str(
                        "done (until the assigner restarts; sessions that are open keep their pace)\n",
                    );
                }
                Command::Show { what, json } => {
                    let open = self.open.borrow();
                    let sessions: Vec<_> = open
                        .iter()
                        .map(|(id, (level, peer))| (*id, *level, peer.clone()))
                        .collect();
                    answer.push_str(&self.hub.with_state(|state| {
                        looked(
                            what,
                            json,
                            &state.status(),
                            &state.picture(),
                            state.orders(),
                            &sessions,
                        )
                    }));
                }
                Command::Give {
                    order,
                    id: given,
                    lasts,
                    wait,
                } => {
                    let from = self.number();
                    self.said.borrow_mut().insert(from, None);
                    self.hub.tell(Event::Hand {
                        from,
                        id: given,
                        order,
                        lasts,
                    });
                    let told = self.answered(from, wait.unwrap_or(0)).await;
                    let journaled = self
                        .hub
                        .with_state(lynxmill_assigner_state::State::journaled);
                    match (told, wait) {
                        (Some(Said::Stands(of)), Some(most)) if !of.stage.ended() => {
                            answer.push_str(&self.until(&of.id, most).await);
                        }
                        (Some(told), _) => {
                            answer.push_str(&format!("{}\n", said(&told, journaled)))
                        }
                        (None, _) => {
                            answer.push_str("refused: nothing is known yet, ask again by its id\n")
                        }
                    }
                }
                Command::Reload => answer.push_str(&self.reload().await),
                Command::Wait { id, most } => answer.push_str(&self.until(&id, most).await),
            }
        }
        (answer, false)
    }

    /// What has happened and what is allowed.
    fn seen(&self, what: Show) -> Value {
        let happened = match what {
            Show::Events => happened::look(|now, happened| happened.events(now)),
            Show::Errors => happened::look(|now, happened| happened.errors(now)),
            Show::Times => happened::look(|now, happened| happened.times(now)),
            Show::Members => self.hub.members().map(|members| members.members()),
            Show::Evidence => self.hub.members().map(|members| members.evidence()),
            Show::Gossip => self.hub.members().map(|members| members.tally()),
            Show::Streams => {
                let stream =
                    |(id, peer): (u64, Option<SocketAddr>)| json!({"stream": id, "peer": peer});
                Some(self.hub.streams().into_iter().map(stream).collect())
            }
            _ => None,
        };
        if matches!(what, Show::Members | Show::Evidence | Show::Gossip) {
            return happened.unwrap_or_else(|| json!([]));
        }
        happened.unwrap_or_else(|| {
            let under_way = self
                .hub
                .with_state(|state| state.orders().filter(|of| !of.stage.ended()).count());
            json!({"sessions": self.open.borrow().len(), "sessions_most": self.connections.get(),
                "commands_per_s": self.commands.get(), "line_bytes": self.wish.line_bytes,
                "payload_bytes": self.wish.line_bytes * LINES, "orders_under_way": under_way,
                "orders_under_way_most": UNDER_WAY, "orders_remembered_most": REMEMBERED})
        })
    }

    /// The file is read again, whole or not at all.
    async fn reload(&self) -> String {
        let (tell, told) = oneshot::channel();
        let asked = self
            .reload
            .as_ref()
            .is_some_and(|reload| reload.send(tell).is_ok());
        let told = if asked {
            timeout(UNREAD, told).await.ok().and_then(Result::ok)
        } else {
            None
        };
        format!(
            "{}\n",
            told.as_deref()
                .unwrap_or("refused: nothing is known yet, look at the log")
        )
    }

    /// Numbers sessions and orders.
    fn number(&self) -> u64 {
        let number = self.last.get() + 1;
        self.last.set(number);
        number
    }

    /// What the reducer says of an order, which waits for the disk where a journal is kept: as long as who gave
    /// the order would wait for its end, if that is longer.
    async fn answered(&self, from: u64, most: i64) -> Option<Said> {
        let end = Instant::now() + UNREAD.max(Duration::from_micros(most.max(0) as u64));
        loop {
            let stepped = self.stepped.notified();
            let said = self.said.borrow().get(&from).is_some_and(Option::is_some);
            if said || timeout_at(end, stepped).await.is_err() {
                return self.said.borrow_mut().remove(&from).flatten();
            }
        }
    }

    /// How an order stands at its end, or when the time is over.
    async fn until(&self, id: &str, most: i64) -> String {
        let end = Instant::now() + Duration::from_micros(most.max(0) as u64);
        loop {
            let stepped = self.stepped.notified();
            let stands = self.hub.with_state(|state| state.order(id).cloned());
            let Some(stands) = stands else {
                return format!("refused: no order {id} is remembered\n");
            };
            if stands.stage.ended() || timeout_at(end, stepped).await.is_err() {
                return format!("{}\n", entry(&stands));
            }
        }
    }
}

/// All faults of a file's text, a line each.
fn checked(text: &str) -> String {
    match daemon().check(text) {
        Ok(_) => "right\n".to_owned(),
        Err(faults) => {
            let line = |of: &SettingsError| {
                format!("wrong: {}: {}\n", position(text, of.at.start), of.line())
            };
            faults.iter().map(line).collect()
        }
    }
}

/// Last words to one who is still saying something: what comes is passed over for a moment, or the words would be
/// lost with it.
async fn part(
    read: &mut (impl AsyncRead + Unpin),
    write: &mut (impl AsyncWrite + Unpin),
    words: &str,
) {
    let _ = timeout(UNREAD, write.write_all(words.as_bytes())).await;
    let _ = timeout(UNREAD, write.shutdown()).await;
    let _ = timeout(
        MOMENT,
        tokio::io::copy(&mut read.take(MOST), &mut tokio::io::sink()),
    )
    .await;
}
