//! `lynxmill keys`: files of the keys by which assigners know each other. A secret never leaves its file.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use lynxmill_membership::PublicKey;
use lynxmill_membership_transport::{TrustedKeys, beside, fresh, read_secret, write_secret};

use crate::end::{CliError, other};

/// Whose key, and where it and its public part go.
#[derive(Args)]
pub(crate) struct KeyArgs {
    /// The file of the secret.
    #[arg(long)]
    secret: PathBuf,
    /// The assigner whose key it is.
    #[arg(long)]
    name: String,
    /// A trust file that the line is put into as well, or that is to have it.
    #[arg(long)]
    trust: Option<PathBuf>,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// A new secret in a file of its own, which must not be there yet, and its public key as a line of the trust file.
    New {
        #[command(flatten)]
        whose: KeyArgs,
    },
    /// The public key of a secret, or the keys of a trust file.
    Show {
        #[arg(long, required_unless_present = "trust")]
        secret: Option<PathBuf>,
        #[arg(long)]
        trust: Option<PathBuf>,
    },
    /// A key in another's place. First it makes `SECRET.next` and the line that all must trust; with
    /// `--finish`, once they do, it is put in place; the old key is then taken out with `revoke`.
    Rotate {
        #[command(flatten)]
        whose: KeyArgs,
        #[arg(long)]
        finish: bool,
    },
    /// Takes a name's keys, or one of them, out of a trust file.
    Revoke {
        #[arg(long)]
        trust: PathBuf,
        #[arg(long)]
        name: String,
        /// This key alone.
        #[arg(long)]
        key: Option<String>,
    },
}

fn next(secret: &Path) -> PathBuf {
    beside(secret, ".next")
}

/// Makes a secret; its line is told and put into a trust file.
fn made(secret: &Path, name: &str, trust: Option<&Path>) -> Result<(), CliError> {
    if name.is_empty() || name.contains(|c: char| c.is_whitespace() || c == '#') {
        return Err(other(format!("{name:?} can be no name in a trust file")));
    }
    // Whether the trust file can be read is known before a secret is made.
    let trusted = trust.map(|path| TrustedKeys::open_or_new(path).map(|trusted| (path, trusted)));
    let trusted = trusted.transpose().map_err(other)?;
    let key = fresh().map_err(other)?;
    write_secret(secret, &key).map_err(other)?;
    if let Some((path, mut trusted)) = trusted {
        trusted.add(name, key.public());
        trusted.write(path).map_err(other)?;
    }
    println!("{name} {}", key.public());
    Ok(())
}

pub(crate) fn run(command: Command) -> Result<ExitCode, CliError> {
    match command {
        Command::New {
            whose:
                KeyArgs {
                    secret,
                    name,
                    trust,
                },
        } => made(&secret, &name, trust.as_deref())?,
        Command::Show { secret, trust } => {
            if let Some(secret) = secret {
                println!("{}", read_secret(&secret).map_err(other)?.public());
            }
            if let Some(trust) = trust {
                TrustedKeys::open(&trust)
                    .map_err(other)?
                    .keys()
                    .for_each(|(name, key)| println!("{name} {key}"));
            }
        }
        Command::Rotate {
            whose:
                KeyArgs {
                    secret,
                    name,
                    trust,
                },
            finish: false,
        } => made(&next(&secret), &name, trust.as_deref())?,
        Command::Rotate {
            whose:
                KeyArgs {
                    secret,
                    name,
                    trust,
                },
            finish: true,
        } => {
            let key = read_secret(&next(&secret)).map_err(other)?.public();
            if let Some(trust) = trust {
                let trusted = TrustedKeys::open(&trust).map_err(other)?;
                if !trusted.keys().any(|of| of == (name.as_str(), key)) {
                    return Err(other(format!(
                        "{}: {name} {key} is not trusted there yet",
                        trust.display()
                    )));
                }
            }
            let old = read_secret(&secret).map_err(other)?.public();
            std::fs::rename(next(&secret), &secret)
                .map_err(|e| other(format!("{}: {e}", secret.display())))?;
            println!("{name} {key} is in place of {old}, which is now to be revoked");
        }
        Command::Revoke { trust, name, key } => {
            let which = key.map(|key| PublicKey::read(&key)).transpose();
            let which = which.map_err(|e| other(format!("the key {e}")))?;
            let mut trusted = TrustedKeys::open(&trust).map_err(other)?;
            if trusted.revoke(&name, which) == 0 {
                return Err(other(format!("{}: no such key of {name}", trust.display())));
            }
            trusted.write(&trust).map_err(other)?;
        }
    }
    Ok(ExitCode::SUCCESS)
}
