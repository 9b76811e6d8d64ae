//! Key files. A secret is one line of 64 hexadecimal digits in a file that nobody but its owner may read; the
//! trust file has a line for each key, `NAME KEY`, and `#` begins what is passed over.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use lynxmill_membership::{PublicKey, SecretKey, TrustStore};
use zeroize::Zeroizing;

/// Bits of a file's mode that let others than its owner at it.
const OTHERS: u32 = 0o077;

fn named(path: &Path, what: impl std::fmt::Display) -> String {
    format!("{}: {what}", path.display())
}

/// The file of this name with more at its end: another one for every file, whatever its ending.
pub fn beside(path: &Path, more: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(more);
    PathBuf::from(name)
}

/// 32 bytes that nobody else has.
///
/// # Errors
/// The machine has no chance to give.
pub fn chance() -> io::Result<Zeroizing<[u8; 32]>> {
    let mut bytes = Zeroizing::new([0; 32]);
    getrandom::fill(&mut *bytes).map_err(|e| io::Error::other(e.to_string()))?;
    Ok(bytes)
}

/// A new secret key.
///
/// # Errors
/// As `chance`.
pub fn fresh() -> Result<SecretKey, String> {
    chance()
        .map(|bytes| SecretKey::of(&bytes))
        .map_err(|e| e.to_string())
}

/// # Errors
/// One line: no such file, its mode lets others read it, or it holds no key; never what it holds.
pub fn read_secret(path: &Path) -> Result<SecretKey, String> {
    let mode = fs::metadata(path).map_err(|e| named(path, e))?.mode();
    if mode & OTHERS != 0 {
        return Err(named(
            path,
            format!(
                "mode {:o}: a secret is its owner's alone (600)",
                mode & 0o777
            ),
        ));
    }
    let text = Zeroizing::new(fs::read_to_string(path).map_err(|e| named(path, e.kind()))?);
    SecretKey::read(text.trim()).map_err(|e| named(path, e))
}

/// Writes a secret into a file that must not be there yet.
///
/// # Errors
/// One line.
pub fn write_secret(path: &Path, secret: &SecretKey) -> Result<(), String> {
    let mut open = OpenOptions::new();
    let mut file = open
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .map_err(|e| named(path, e))?;
    let line = Zeroizing::new(format!("{}\n", *secret.written()));
    file.write_all(line.as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(|e| named(path, e))
}

/// The trust file as it stands, so that a line can be put in or taken out and all else of it stays.
pub struct TrustedKeys {
    lines: Vec<String>,
}

/// The part of a line before a `#`.
fn said(line: &str) -> &str {
    line.split('#').next().unwrap_or_default().trim()
}

fn key(line: &str) -> Result<Option<(&str, PublicKey)>, String> {
    let mut words = said(line).split_whitespace();
    match (words.next(), words.next(), words.next()) {
        (None, ..) => Ok(None),
        (Some(name), Some(key), None) => PublicKey::read(key)
            .map(|key| Some((name, key)))
            .map_err(|e| format!("the key of {name} {e}")),
        _ => Err("expected NAME KEY".to_owned()),
    }
}

impl TrustedKeys {
    /// # Errors
    /// The file and line, and what is wrong there.
    pub fn open(path: &Path) -> Result<Self, String> {
        let text = fs::read_to_string(path).map_err(|e| named(path, e))?;
        let lines: Vec<String> = text.lines().map(str::to_owned).collect();
        for (i, line) in lines.iter().enumerate() {
            key(line).map_err(|e| format!("{}:{}: {e}", path.display(), i + 1))?;
        }
        Ok(TrustedKeys { lines })
    }

    /// As `open`; a file that is not there has no lines.
    ///
    /// # Errors
    /// As `open`.
    pub fn open_or_new(path: &Path) -> Result<Self, String> {
        if path.exists() {
            TrustedKeys::open(path)
        } else {
            Ok(TrustedKeys { lines: Vec::new() })
        }
    }

    pub fn keys(&self) -> impl Iterator<Item = (&str, PublicKey)> {
        self.lines
            .iter()
            .filter_map(|line| key(line).ok().flatten())
    }

    /// Whether it was not there before.
    pub fn add(&mut self, name: &str, key: PublicKey) -> bool {
        let new = !self.keys().any(|known| known == (name, key));
        if new {
            self.lines.push(format!("{name} {key}"));
        }
        new
    }

    /// Takes out all keys of a name, or one; how many there were.
    pub fn revoke(&mut self, name: &str, which: Option<PublicKey>) -> usize {
        let before = self.lines.len();
        self.lines.retain(|line| match key(line) {
            Ok(Some((of, key))) => of != name || which.is_some_and(|which| which != key),
            _ => true,
        });
        before - self.lines.len()
    }

    /// Writes it whole or not at all.
    ///
    /// # Errors
    /// One line.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        let next = beside(path, ".new");
        let text: String = self.lines.iter().map(|line| format!("{line}\n")).collect();
        let write = || -> io::Result<()> {
            let mut file = fs::File::create(&next)?;
            file.write_all(text.as_bytes())?;
            file.sync_all()?;
            fs::rename(&next, path)
        };
        write().map_err(|e| named(path, e))
    }
}

/// # Errors
/// As `Trusted::open`.
pub fn read_trust(path: &Path) -> Result<TrustStore, String> {
    let mut trust = TrustStore::default();
    TrustedKeys::open(path)?
        .keys()
        .for_each(|(name, key)| trust.add(name, key));
    Ok(trust)
}
