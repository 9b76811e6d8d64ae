//! `lynxmill ctl`: commands for a running assigner's runtime socket. Orders go under an id, so that one whose answer
//! was lost is asked for again and not given twice.

use std::io::{IsTerminal, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Args;
use lynxmill_runtime_commands::{Command, parse};

use crate::end::{CliError, other};

/// An order that was refused, or a command that was wrong.
pub(crate) const REFUSED: u8 = 6;

#[derive(Args)]
#[group(id = "place", required = true, multiple = false)]
pub(crate) struct SocketArg {
    /// The Unix socket.
    #[arg(long)]
    socket: Option<PathBuf>,
    /// The loopback address.
    #[arg(long)]
    address: Option<SocketAddr>,
}

#[derive(Args)]
pub(crate) struct CtlArgs {
    #[command(flatten)]
    place: SocketArg,
    /// Seconds to wait for an answer, and how often to ask again where none comes.
    #[arg(long, default_value_t = 10.0)]
    patience: f64,
    #[arg(long, default_value_t = 3)]
    tries: u32,
    /// The command, as `help` tells.
    #[arg(required = true, trailing_var_arg = true)]
    words: Vec<String>,
}

/// What the assigner answers to a line.
pub(crate) fn ask(place: &SocketArg, patience: Duration, line: &str) -> std::io::Result<String> {
    let patience = Some(patience);
    let mut text = String::new();
    if let Some(path) = &place.socket {
        let mut stream = UnixStream::connect(path)?;
        stream.set_read_timeout(patience)?;
        stream.write_all(line.as_bytes())?;
        stream.read_to_string(&mut text)?;
    } else if let Some(address) = place.address {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(patience)?;
        stream.write_all(line.as_bytes())?;
        stream.read_to_string(&mut text)?;
    }
    match text.as_str() {
        // Broken off before anything was said: nobody knows whether the order was taken.
        "" => Err(std::io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(text),
    }
}

/// Gives every order of a line an id, where it has none.
fn named(line: &str) -> Result<String, CliError> {
    let commands = parse(line).map_err(|error| CliError::BadSetting(format!("{line}: {error}")))?;
    let bare = |command: &Command| matches!(command, Command::Give { id: None, .. });
    if commands.len() == 1 && commands.iter().any(bare) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        return Ok(format!(
            "{line} id ctl-{}-{}",
            std::process::id(),
            now.as_micros()
        ));
    }
    // A table on a terminal, JSON on a pipe.
    let table = |command: &Command| matches!(command, Command::Show { json: false, .. });
    if commands.len() == 1 && commands.iter().any(table) && !std::io::stdout().is_terminal() {
        return Ok(format!("{line} json"));
    }
    Ok(line.to_owned())
}

pub(crate) fn run(args: &CtlArgs) -> Result<ExitCode, CliError> {
    let quoted = |word: &String| {
        if word.contains([' ', ';']) {
            format!("\"{word}\"")
        } else {
            word.clone()
        }
    };
    let words: Vec<String> = match args.words.as_slice() {
        [one] => vec![one.clone()],
        many => many.iter().map(quoted).collect(),
    };
    let line = named(&words.join(" "))?;
    let patience = Duration::from_secs_f64(args.patience.clamp(0.1, 86_400.0));
    let mut last = None;
    for turn in 0..args.tries.max(1) {
        match ask(&args.place, patience, &format!("{line}\n")) {
            Ok(answer) => {
                print!("{answer}");
                let bad = |line: &str| line.starts_with("refused") || line.starts_with("wrong");
                return Ok(if answer.lines().any(bad) {
                    ExitCode::from(REFUSED)
                } else {
                    ExitCode::SUCCESS
                });
            }
            Err(e) => {
                last = Some(e);
                std::thread::sleep(Duration::from_millis(100 << turn.min(5)));
            }
        }
    }
    Err(other(format!(
        "the assigner said nothing: {}",
        last.map_or_else(String::new, |e| e.to_string())
    )))
}
