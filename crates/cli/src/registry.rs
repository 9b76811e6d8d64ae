//! `lynxmill registry`: the tables in a key-value registry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::builder::{PossibleValuesParser, TypedValueParser};
use clap::{Args, Subcommand};
use lynxmill_registry::layout::{KeyLocation, Layout, Line, read};
use lynxmill_registry::snapshot::{Dump, PlannedWrite, faults, plan};
use lynxmill_registry::{
    Backoff, Came, Change, KeyValue, Spelling, Transaction, WatchEvent, WatchFollower, Writes,
};
use lynxmill_registry_transport::{Machine, Registry, Runner};
use lynxmill_time::{TimeDelta, Timestamp};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use crate::end::{CliError, other};

/// One of the names that the registry library knows.
fn spelling() -> impl TypedValueParser<Value = Spelling> {
    PossibleValuesParser::new(Spelling::NAMES).try_map(|name| name.parse())
}

#[derive(Args)]
pub(crate) struct Where {
    #[arg(long, value_parser = spelling(), default_value = "etcd")]
    protocol: Spelling,
    #[arg(long, default_value = "127.0.0.1:2379")]
    address: SocketAddr,
    #[arg(long, default_value = "lynxmill")]
    prefix: String,
    /// Seconds after which a registry that does not answer is given up.
    #[arg(long, default_value_t = 10.0)]
    patience: f64,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// A slice's owner, generation and levels.
    Get {
        slice: u16,
        #[command(flatten)]
        at: Where,
    },
    /// All slices with their owners.
    List {
        #[command(flatten)]
        at: Where,
    },
    /// Changes as they come, a line each, resumed after breaks.
    Watch {
        /// End after so many changes.
        #[arg(long)]
        count: Option<usize>,
        #[command(flatten)]
        at: Where,
    },
    /// Writes a snapshot of one revision; a file that is there is not overwritten.
    Dump {
        to: PathBuf,
        #[command(flatten)]
        at: Where,
    },
    /// Writes a snapshot's owners and levels back where nobody has the slice in charge.
    Restore {
        from: PathBuf,
        /// Only tells what would be done.
        #[arg(long)]
        dry_run: bool,
        /// Also over lines of a newer generation, under one above both.
        #[arg(long)]
        over_newer: bool,
        #[command(flatten)]
        at: Where,
    },
    /// Checks what stands.
    Verify {
        #[command(flatten)]
        at: Where,
    },
}

struct Open {
    registry: Rc<Registry>,
    layout: Layout,
    begun: Instant,
    patience: Duration,
}

impl Open {
    fn new(at: &Where) -> Result<Self, CliError> {
        if !(at.patience > 0.0 && at.patience < 86_400.0) {
            return Err(CliError::BadSetting(
                "`--patience` is to be over 0 s and under a day".to_owned(),
            ));
        }
        let layout = Layout::new(&at.prefix);
        let protocol = at.protocol.protocol(layout.prefix());
        let (begun, patience) = (Instant::now(), Duration::from_secs_f64(at.patience));
        Ok(Open {
            registry: Registry::new(at.address, protocol),
            layout,
            begun,
            patience,
        })
    }

    fn backoff() -> Backoff {
        Backoff::new(
            TimeDelta::from_secs(0.05),
            TimeDelta::from_secs(2.0),
            u64::from(std::process::id()),
        )
    }

    fn run<M: Machine>(&self, machine: M) -> (Rc<Runner<M>>, UnboundedReceiver<M::Out>) {
        let (tell, told) = unbounded_channel();
        let begun = self.begun;
        let clock = move || Timestamp::from_secs(begun.elapsed().as_secs_f64());
        (
            Runner::start(machine, self.registry.clone(), clock, move |out| {
                drop(tell.send(out))
            }),
            told,
        )
    }

    fn follow(&self) -> WatchFollower {
        let style = self.registry.protocol().style();
        WatchFollower::new(
            style,
            self.layout.prefix(),
            TimeDelta::from_secs(0.5),
            Self::backoff(),
        )
    }

    /// Why nothing came in time, by the reason codes met.
    fn silent(&self) -> CliError {
        let met: Vec<String> = self
            .registry
            .faults()
            .into_iter()
            .map(|(code, n)| format!("{code} x{n}"))
            .collect();
        other(format!(
            "the registry did not answer within {:?}: {}",
            self.patience,
            met.join(", ")
        ))
    }

    /// All below the prefix, at one revision.
    async fn snapshot(&self) -> Result<Dump, CliError> {
        let (runner, mut told) = self.run(self.follow());
        let whole = async {
            while let Some(told) = told.recv().await {
                if let WatchEvent::Whole { revision } = told {
                    return Some(revision);
                }
            }
            None
        };
        let revision = actix_rt::time::timeout(self.patience, whole)
            .await
            .ok()
            .flatten();
        let revision = revision.ok_or_else(|| self.silent())?;
        let pairs = runner.look(|follow| follow.held().values().cloned().collect());
        runner.kill();
        Ok(Dump {
            prefix: self.layout.prefix().to_owned(),
            revision,
            pairs,
        })
    }

    /// Carries transactions out one after the other; what came of each.
    async fn write(&self, txns: Vec<Transaction>) -> Result<Vec<Came>, CliError> {
        let writes = Writes::new(
            txns.len().max(1),
            TimeDelta::from_secs(0.05),
            Self::backoff(),
        );
        let (runner, mut told) = self.run(writes);
        let count = txns.len();
        for txn in txns {
            runner.step(|writes, now, asks, _| {
                // The queue has room for all.
                let _ = writes.push(now, txn, 0, asks);
            });
        }
        let mut came = Vec::new();
        while came.len() < count {
            let next = actix_rt::time::timeout(self.patience, told.recv())
                .await
                .ok()
                .flatten();
            came.push(next.ok_or_else(|| self.silent())?.1);
        }
        Ok(came)
    }
}

fn held(dump: &Dump) -> BTreeMap<String, KeyValue> {
    dump.pairs
        .iter()
        .map(|pair| (pair.key.clone(), pair.clone()))
        .collect()
}

fn line(pair: &KeyValue) -> String {
    match read::<Line>(&pair.value) {
        Ok(line) => format!(
            "{:<24} generation {}",
            line.server.as_deref().unwrap_or("-"),
            line.generation
        ),
        Err(e) => format!("can't be read: {e}"),
    }
}

fn show(dump: &Dump, layout: &Layout, only: Option<usize>) -> usize {
    let mut shown = 0;
    for pair in &dump.pairs {
        match layout.place(&pair.key) {
            Some(KeyLocation::Line(slice)) if only.is_none_or(|only| only == slice) => {
                println!("{slice:>5} {}", line(pair));
                shown += 1;
            }
            Some(KeyLocation::Levels(slice) | KeyLocation::Charge(slice))
                if only == Some(slice) =>
            {
                println!("{:>5} {}", "", String::from_utf8_lossy(&pair.value));
            }
            _ => {}
        }
    }
    shown
}

async fn watch(open: &Open, count: Option<usize>) -> Result<ExitCode, CliError> {
    let (_runner, mut told) = open.run(open.follow());
    let mut left = count.unwrap_or(usize::MAX);
    let mut begun = false;
    while left > 0 {
        let next = if begun {
            told.recv().await
        } else {
            actix_rt::time::timeout(open.patience, told.recv())
                .await
                .map_err(|_| open.silent())?
        };
        let Some(next) = next else { break };
        match next {
            WatchEvent::Change(Change::Put(pair)) => {
                println!(
                    "{:>8} put {} {}",
                    pair.changed.0,
                    pair.key,
                    String::from_utf8_lossy(&pair.value)
                );
                left -= 1;
            }
            WatchEvent::Change(Change::Gone { key, at }) => {
                println!("{:>8} gone {key}", at.0);
                left -= 1;
            }
            WatchEvent::Whole { revision } => {
                begun = true;
                println!("{:>8} all that stands has been told", revision.0);
            }
            WatchEvent::Broke => println!("{:>8} the watch broke and is resumed", ""),
            WatchEvent::WentBack { from, to } => {
                println!(
                    "{:>8} the registry went back from {} to {}",
                    "", from.0, to.0
                )
            }
            WatchEvent::Current { .. } => {}
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn restore(
    open: &Open,
    from: &Path,
    dry_run: bool,
    over_newer: bool,
) -> Result<ExitCode, CliError> {
    let file =
        std::fs::read(from).map_err(|e| CliError::BadDay(format!("{}: {e}", from.display())))?;
    let dump =
        Dump::read(&file).map_err(|e| CliError::BadDay(format!("{}: {e}", from.display())))?;
    if dump.prefix != open.layout.prefix() {
        return Err(CliError::BadSetting(format!(
            "the snapshot is of {:?}, not of {:?}",
            dump.prefix,
            open.layout.prefix()
        )));
    }
    let planned = plan(&dump, &held(&open.snapshot().await?), over_newer);
    let (mut keys, mut txns, mut left) = (Vec::new(), Vec::new(), 0);
    for planned in planned {
        match planned {
            PlannedWrite::Same(_) => {}
            PlannedWrite::Write(key, txn) => {
                keys.push(key);
                txns.push(txn);
            }
            PlannedWrite::Newer {
                key,
                stands,
                dumped,
            } => {
                println!(
                    "{key}: left alone, generation {stands} stands and the snapshot has {dumped}"
                );
                left += 1;
            }
            PlannedWrite::InCharge(key) => {
                println!("{key}: left alone, its slice is in somebody's charge");
                left += 1;
            }
        }
    }
    if dry_run {
        keys.iter()
            .for_each(|key| println!("{key}: would be written"));
        return Ok(ExitCode::SUCCESS);
    }
    let came = open.write(txns).await?;
    for (key, came) in keys.iter().zip(&came) {
        let done = matches!(came, Came::Done(_));
        let how = if done {
            "written"
        } else {
            "changed meanwhile, left alone"
        };
        left += usize::from(!done);
        println!("{key}: {how}");
    }
    println!(
        "{} written, {left} left alone",
        came.iter()
            .filter(|came| matches!(came, Came::Done(_)))
            .count()
    );
    Ok(if left > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

async fn command(command: Command) -> Result<ExitCode, CliError> {
    match command {
        Command::Get { slice, at } => {
            let open = Open::new(&at)?;
            let dump = open.snapshot().await?;
            match show(&dump, &open.layout, Some(slice.into())) {
                0 => Err(other(format!("slice {slice} has no line"))),
                _ => Ok(ExitCode::SUCCESS),
            }
        }
        Command::List { at } => {
            let open = Open::new(&at)?;
            let dump = open.snapshot().await?;
            let shown = show(&dump, &open.layout, None);
            println!("{shown} slices at revision {}", dump.revision.0);
            Ok(ExitCode::SUCCESS)
        }
        Command::Watch { count, at } => watch(&Open::new(&at)?, count).await,
        Command::Dump { to, at } => {
            let dump = Open::new(&at)?.snapshot().await?;
            let bytes = dump.bytes().map_err(other)?;
            let made = std::fs::OpenOptions::new()
                .write(true)
                .create_new(true)
                .open(&to);
            let written = made.and_then(|mut file| std::io::Write::write_all(&mut file, &bytes));
            written.map_err(|e| other(format!("{}: {e}", to.display())))?;
            println!(
                "{}: {} keys at revision {}",
                to.display(),
                dump.pairs.len(),
                dump.revision.0
            );
            Ok(ExitCode::SUCCESS)
        }
        Command::Restore {
            from,
            dry_run,
            over_newer,
            at,
        } => restore(&Open::new(&at)?, &from, dry_run, over_newer).await,
        Command::Verify { at } => {
            let open = Open::new(&at)?;
            let dump = open.snapshot().await?;
            let faults = faults(open.layout.prefix(), &held(&dump));
            faults.iter().for_each(|error| println!("{error}"));
            println!(
                "{} keys at revision {}, {} faults",
                dump.pairs.len(),
                dump.revision.0,
                faults.len()
            );
            Ok(if faults.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
    }
}

pub(crate) fn run(what: Command) -> Result<ExitCode, CliError> {
    actix_rt::System::new().block_on(command(what))
}
