//! Lines to commands.

use std::fmt;
use std::str::FromStr;

use lynxmill_assigner_state::hand::{Order, Want};
use serde::Deserialize;
use winnow::ascii::space0;
use winnow::combinator::{alt, delimited, repeat};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

/// Who may give a command: each may what those before may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    User,
    Operator,
    Admin,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Show {
    Info,
    Servers,
    Slices,
    Proxies,
    /// Orders under way, and all that are remembered.
    Pending,
    Orders,
    Sessions,
    /// Connections at the assigner's address.
    Streams,
    /// What this socket and the assigner hold at most.
    Limits,
    /// What ended otherwise than it should; the last that happened; how long orders took.
    Errors,
    Events,
    Times,
    /// Other assigners, what they and this one say of servers, and what that costs.
    Members,
    Evidence,
    Gossip,
}

/// A limit of the socket that can be set while it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketLimit {
    Connections,
    Commands,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Help,
    Prompt,
    Quit,
    Show {
        what: Show,
        json: bool,
    },
    /// An order, under an id if it has one; for so many microseconds; told at its end if that comes in so many.
    Give {
        order: Order,
        id: Option<String>,
        lasts: Option<i64>,
        wait: Option<i64>,
    },
    /// The file is read again, whole or not at all.
    Reload,
    /// The text that follows the line, against the schema.
    Check,
    ClearCounters,
    /// A connection at the assigner's address ends.
    Shutdown(u64),
    /// The other assigners are told that this one goes by its own will.
    Leave,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    LogLevel(&'static str),
    Limit(SocketLimit, u32),
    /// How an order stands at its end, or after so many microseconds.
    Wait {
        id: String,
        most: i64,
    },
}

impl Command {
    pub fn level(&self) -> Level {
        match self {
            Command::Give { .. } => Level::Operator,
            Command::Shutdown(_) | Command::ClearCounters => Level::Operator,
            Command::Leave | Command::Reload | Command::LogLevel(_) | Command::Limit(..) => {
                Level::Admin
            }
            _ => Level::User,
        }
    }
}

pub const HELP: &str = "\
show info|servers|slices|proxies|pending|orders|sessions [json]   what the assigner holds
show events|errors|times|limits|streams [json]                    what has happened, what is allowed
set server NAME state ready|drain|maint [for TIME] [id ID] [wait TIME]
set weight NAME FACTOR [for TIME] [id ID] [wait TIME]             0.01 to 100 of its listed size
set slice NUMBER owner NAME [id ID] [wait TIME]
enable|disable health NAME [for TIME] [id ID] [wait TIME]         whether it is judged by what it answers
wait ID TIME                                                      until an order has ended
prompt                                                            several lines on one connection
show members|evidence|gossip [json]                               other assigners, what they say, its cost
leave members                                                     tells them that this one goes by its own will
shutdown stream NUMBER                                            ends a connection, as `show streams` numbers it
clear counters                                                    of errors and times
set log-level error|warn|info|debug|trace
set limit connections|commands NUMBER                             of this socket: sessions, commands a second
check settings <<                                                 lines of a file up to an empty one: all its faults
reload                                                            the file again, whole or not at all
help, quit
TIME is a number with ms, s, m or h. An order that is given again under its id is not carried out again.";

/// What is wrong with a line: at which column, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    pub column: usize,
    pub expected: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: expected {}", self.column, self.expected)
    }
}

/// A word and the column where it begins, from 1.
#[derive(Clone, Debug)]
struct Word {
    text: String,
    column: usize,
}

fn word<'a>(from: &mut &'a str) -> ModalResult<&'a str> {
    let plain = take_while(1.., |c: char| !c.is_whitespace() && c != ';' && c != '"');
    alt((delimited('"', take_till(0.., '"'), '"'), plain)).parse_next(from)
}

fn words(line: &str) -> Result<Vec<Vec<Word>>, ParseError> {
    let mut commands = vec![Vec::new()];
    let mut rest = line;
    loop {
        let _: &str = space0::<_, winnow::error::ContextError>
            .parse_next(&mut rest)
            .unwrap_or_default();
        let column = line[..line.len() - rest.len()].chars().count() + 1;
        if rest.is_empty() {
            commands.retain(|command| !command.is_empty());
            return Ok(commands);
        }
        if let Some(after) = rest.strip_prefix(';') {
            rest = after;
            commands.push(Vec::new());
            continue;
        }
        let text = word(&mut rest).map_err(|_| ParseError {
            column,
            expected: "a word, or the end of a quoted one".into(),
        })?;
        if let Some(command) = commands.last_mut() {
            command.push(Word {
                text: text.to_owned(),
                column,
            });
        }
    }
}

/// A time in microseconds: a number and its unit.
fn micros(text: &str) -> Option<i64> {
    let mut rest = text;
    let number: String = repeat::<_, _, String, winnow::error::ContextError, _>(
        1..,
        winnow::token::one_of(('0'..='9', '.')),
    )
    .parse_next(&mut rest)
    .ok()?;
    let unit = match rest {
        "ms" => 1e3,
        "s" => 1e6,
        "m" => 60e6,
        "h" => 3600e6,
        _ => return None,
    };
    let micros = f64::from_str(&number).ok()? * unit;
    (micros > 0.0 && micros <= 30.0 * 86_400e6).then_some(micros as i64)
}

/// Words of a command, taken one after the other.
struct TokenCursor<'a> {
    words: &'a [Word],
    at: usize,
    end: usize,
}

impl<'a> TokenCursor<'a> {
    fn fault(&self, expected: impl Into<String>) -> ParseError {
        let column = self.words.get(self.at).map_or(self.end, |word| word.column);
        ParseError {
            column,
            expected: expected.into(),
        }
    }

    fn next(&mut self, expected: &str) -> Result<&'a str, ParseError> {
        let word = self
            .words
            .get(self.at)
            .ok_or_else(|| self.fault(expected))?;
        self.at += 1;
        Ok(&word.text)
    }

    /// Takes a word that is one of these.
    fn one_of<T: Copy>(&mut self, known: &[(&str, T)]) -> Result<T, ParseError> {
        let expected = known
            .iter()
            .map(|(word, _)| *word)
            .collect::<Vec<_>>()
            .join(", ");
        let at = self.at;
        let word = self.next(&expected)?;
        let found = known.iter().find(|(known, _)| *known == word);
        self.at = if found.is_some() { self.at } else { at };
        found
            .map(|(_, value)| *value)
            .ok_or_else(|| self.fault(expected))
    }

    fn read<T>(
        &mut self,
        expected: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, ParseError> {
        let at = self.at;
        let word = self.next(expected)?;
        read(word).ok_or_else(|| {
            self.at = at;
            self.fault(expected)
        })
    }

    fn done(&self) -> Result<(), ParseError> {
        if self.at == self.words.len() {
            Ok(())
        } else {
            Err(self.fault("the end of the command"))
        }
    }
}

const TIME: &str = "a time, as 500ms, 5s, 10m or 1h, up to 30 days";

fn id(text: &str) -> Option<String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:#".contains(c);
    ((1..=64).contains(&text.len()) && text.chars().all(plain)).then(|| text.to_owned())
}

#[derive(Clone, Copy)]
enum CommandOption {
    For,
    Id,
    Wait,
}

fn give(order: Order, words: &mut TokenCursor<'_>) -> Result<Command, ParseError> {
    let (mut given, mut lasts, mut wait) = (None, None, None);
    while words.at < words.words.len() {
        match words.one_of(&[
            ("for", CommandOption::For),
            ("id", CommandOption::Id),
            ("wait", CommandOption::Wait),
        ])? {
            CommandOption::For => lasts = Some(words.read(TIME, micros)?),
            CommandOption::Id => {
                given = Some(words.read("an id of up to 64 letters, digits and -_.:#", id)?)
            }
            CommandOption::Wait => wait = Some(words.read(TIME, micros)?),
        }
    }
    Ok(Command::Give {
        order,
        id: given,
        lasts,
        wait,
    })
}

#[derive(Clone, Copy)]
enum CommandVerb {
    Help,
    Prompt,
    Quit,
    Reload,
    Check,
    Clear,
    Shutdown,
    Leave,
    Health(bool),
    Show,
    Set,
    Wait,
}

#[derive(Clone, Copy)]
enum CommandTarget {
    Server,
    Weight,
    Slice,
    LogLevel,
    Limit,
}

fn command(words: &mut TokenCursor<'_>) -> Result<Command, ParseError> {
    let verbs = [
        ("help", CommandVerb::Help),
        ("prompt", CommandVerb::Prompt),
        ("quit", CommandVerb::Quit),
        ("reload", CommandVerb::Reload),
        ("check", CommandVerb::Check),
        ("clear", CommandVerb::Clear),
        ("shutdown", CommandVerb::Shutdown),
        ("leave", CommandVerb::Leave),
        ("enable", CommandVerb::Health(true)),
        ("disable", CommandVerb::Health(false)),
        ("show", CommandVerb::Show),
        ("set", CommandVerb::Set),
        ("wait", CommandVerb::Wait),
    ];
    Ok(match words.one_of(&verbs)? {
        CommandVerb::Help => Command::Help,
        CommandVerb::Prompt => Command::Prompt,
        CommandVerb::Quit => Command::Quit,
        CommandVerb::Reload => Command::Reload,
        CommandVerb::Check => {
            words.one_of(&[("settings", ())])?;
            words.one_of(&[("<<", ())])?;
            Command::Check
        }
        CommandVerb::Clear => {
            words.one_of(&[("counters", ())])?;
            Command::ClearCounters
        }
        CommandVerb::Leave => {
            words.one_of(&[("members", ())])?;
            Command::Leave
        }
        CommandVerb::Shutdown => {
            words.one_of(&[("stream", ())])?;
            Command::Shutdown(words.read("a stream's number", |text| text.parse().ok())?)
        }
        CommandVerb::Health(watched) => {
            words.one_of(&[("health", ())])?;
            let server = words.next("a server's name")?.to_owned();
            give(Order::Health { server, watched }, words)?
        }
        CommandVerb::Show => {
            let what = words.one_of(&[
                ("info", Show::Info),
                ("servers", Show::Servers),
                ("slices", Show::Slices),
                ("proxies", Show::Proxies),
                ("pending", Show::Pending),
                ("orders", Show::Orders),
                ("sessions", Show::Sessions),
                ("streams", Show::Streams),
                ("members", Show::Members),
                ("evidence", Show::Evidence),
                ("gossip", Show::Gossip),
                ("limits", Show::Limits),
                ("errors", Show::Errors),
                ("events", Show::Events),
                ("times", Show::Times),
            ])?;
            let json = words.at < words.words.len();
            if json {
                words.one_of(&[("json", ())])?;
            }
            Command::Show { what, json }
        }
        CommandVerb::Wait => {
            let id = words.read("an order's id", id)?;
            Command::Wait {
                id,
                most: words.read(TIME, micros)?,
            }
        }
        CommandVerb::Set => match words.one_of(&[
            ("server", CommandTarget::Server),
            ("weight", CommandTarget::Weight),
            ("slice", CommandTarget::Slice),
            ("log-level", CommandTarget::LogLevel),
            ("limit", CommandTarget::Limit),
        ])? {
            CommandTarget::LogLevel => Command::LogLevel(
                words.one_of(&["error", "warn", "info", "debug", "trace"].map(|l| (l, l)))?,
            ),
            CommandTarget::Limit => {
                let bounds = [
                    ("connections", (SocketLimit::Connections, 1000)),
                    ("commands", (SocketLimit::Commands, 100_000)),
                ];
                let (bound, most) = words.one_of(&bounds)?;
                let within =
                    |text: &str| text.parse().ok().filter(|n: &u32| (1..=most).contains(n));
                Command::Limit(
                    bound,
                    words.read(&format!("a number from 1 to {most}"), within)?,
                )
            }
            CommandTarget::Server => {
                let server = words.next("a server's name")?.to_owned();
                words.one_of(&[("state", ())])?;
                let want = [
                    ("ready", Want::Ready),
                    ("drain", Want::Drain),
                    ("maint", Want::Maint),
                ];
                let order = Order::Server {
                    server,
                    want: words.one_of(&want)?,
                };
                give(order, words)?
            }
            CommandTarget::Weight => {
                let server = words.next("a server's name")?.to_owned();
                let within = |text: &str| {
                    text.parse()
                        .ok()
                        .filter(|w: &f64| (0.01..=100.0).contains(w))
                };
                let weight = words.read("a factor from 0.01 to 100", within)?;
                give(Order::Weight { server, weight }, words)?
            }
            CommandTarget::Slice => {
                let slice = words.read("a slice's number", |text| text.parse().ok())?;
                words.one_of(&[("owner", ())])?;
                let server = words.next("a server's name")?.to_owned();
                give(Order::Owner { slice, server }, words)?
            }
        },
    })
}

/// The commands of a line. Nothing of a line with a fault is carried out.
///
/// # Errors
/// The first fault, by its column.
pub fn parse(line: &str) -> Result<Vec<Command>, ParseError> {
    let end = line.chars().count() + 1;
    let mut commands = Vec::new();
    for words in words(line)? {
        let mut words = TokenCursor {
            words: &words,
            at: 0,
            end,
        };
        commands.push(command(&mut words)?);
        words.done()?;
    }
    Ok(commands)
}
