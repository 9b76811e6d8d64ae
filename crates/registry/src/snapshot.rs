//! A snapshot of all below a prefix at one revision, and what restoring one would change. Only owners and levels are
//! restored: charges, lives, marks and answers belong to processes that are there or not.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::layout::{KeyLocation, Layout, Levels, Line, read, spell};
use crate::transaction::{KeyValue, Precondition, PutOperation, Revision, Transaction};

const MARK: &[u8; 8] = b"lynxreg\n";
const VERSION: u16 = 1;
/// A snapshot is never longer than this, unpacked: bounds what a damaged one can ask for.
const LONGEST: usize = 512 << 20;
const LEVEL: i32 = 9;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dump {
    pub prefix: String,
    pub revision: Revision,
    pub pairs: Vec<KeyValue>,
}

impl Dump {
    /// The file: a mark, the version, a SHA-256 of what follows, and the rest packed.
    ///
    /// # Errors
    /// One line.
    pub fn bytes(&self) -> Result<Vec<u8>, String> {
        let body = serde_json::to_vec(self).map_err(|e| e.to_string())?;
        let packed = zstd::bulk::compress(&body, LEVEL).map_err(|e| e.to_string())?;
        let mut file = MARK.to_vec();
        file.extend(VERSION.to_le_bytes());
        file.extend((body.len() as u64).to_le_bytes());
        file.extend(Sha256::digest(&packed));
        file.extend(packed);
        Ok(file)
    }

    /// # Errors
    /// Why it is no snapshot, or no longer one.
    pub fn read(file: &[u8]) -> Result<Self, String> {
        let rest = file
            .strip_prefix(MARK)
            .ok_or("this is no snapshot of a registry")?;
        let (version, rest) = rest
            .split_first_chunk::<2>()
            .ok_or("the snapshot is cut off")?;
        if u16::from_le_bytes(*version) != VERSION {
            return Err(format!(
                "a snapshot of version {}",
                u16::from_le_bytes(*version)
            ));
        }
        let (length, rest) = rest
            .split_first_chunk::<8>()
            .ok_or("the snapshot is cut off")?;
        let (sum, packed) = rest
            .split_first_chunk::<32>()
            .ok_or("the snapshot is cut off")?;
        let length = usize::try_from(u64::from_le_bytes(*length))
            .ok()
            .filter(|length| *length <= LONGEST);
        if Sha256::digest(packed).as_slice() != sum {
            return Err("the snapshot is damaged: its checksum doesn't match".to_owned());
        }
        let length = length.ok_or("the snapshot is damaged: a length that can't be")?;
        let body = zstd::bulk::decompress(packed, length).map_err(|e| e.to_string())?;
        serde_json::from_slice(&body).map_err(|e| e.to_string())
    }
}

/// What restoring does with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannedWrite {
    /// It stands already.
    Same(String),
    /// Written, as nothing or something else stands there.
    Write(String, Transaction),
    /// Left alone: what stands is newer than the snapshot's.
    Newer {
        key: String,
        stands: u64,
        dumped: u64,
    },
    /// Its slice is in somebody's charge: who restores must stop that one first.
    InCharge(String),
}

/// What restoring a snapshot over what stands would do. Lines with a newer generation are left alone unless that is
/// asked for; then the snapshot's owner is written under a generation above both, so that forwarders take it.
pub fn plan(
    dump: &Dump,
    stands: &BTreeMap<String, KeyValue>,
    over_newer: bool,
) -> Vec<PlannedWrite> {
    let layout = Layout::new(&dump.prefix);
    let mut planned = Vec::new();
    for pair in &dump.pairs {
        let key = pair.key.clone();
        let there = stands.get(&key);
        let charge = |slice: usize| layout.key(&KeyLocation::Charge(slice));
        let write = |value: Vec<u8>, slice: usize| {
            let expect = there.map_or(Precondition::Absent, |there| {
                Precondition::At(there.changed)
            });
            let guards = vec![(key.clone(), expect), (charge(slice), Precondition::Absent)];
            PlannedWrite::Write(
                key.clone(),
                Transaction {
                    guards,
                    puts: vec![PutOperation {
                        key: key.clone(),
                        value: Some(value),
                        lease: None,
                    }],
                },
            )
        };
        match layout.place(&key) {
            Some(KeyLocation::Line(slice)) => {
                let Ok(mut line) = read::<Line>(&pair.value) else {
                    continue;
                };
                let now = there.and_then(|there| read::<Line>(&there.value).ok());
                let newer = now.as_ref().filter(|now| now.generation > line.generation);
                if now.as_ref().is_some_and(|now| {
                    (&now.server, now.generation) == (&line.server, line.generation)
                }) {
                    planned.push(PlannedWrite::Same(key));
                } else if let Some(newer) = newer.filter(|_| !over_newer) {
                    let (stands, dumped) = (newer.generation, line.generation);
                    planned.push(PlannedWrite::Newer {
                        key,
                        stands,
                        dumped,
                    });
                } else if stands.contains_key(&charge(slice)) {
                    planned.push(PlannedWrite::InCharge(key));
                } else {
                    line.generation = line.generation.max(now.map_or(0, |now| now.generation)) + 1;
                    line.stamp = format!("restored-{}-{slice}", dump.revision.0);
                    planned.push(write(spell(&line), slice));
                }
            }
            Some(KeyLocation::Levels(slice)) => {
                let Ok(levels) = read::<Levels>(&pair.value) else {
                    continue;
                };
                let now = there.and_then(|there| read::<Levels>(&there.value).ok());
                if now.is_some_and(|now| now.levels == levels.levels) {
                    planned.push(PlannedWrite::Same(key));
                } else if stands.contains_key(&charge(slice)) {
                    planned.push(PlannedWrite::InCharge(key));
                } else {
                    planned.push(write(pair.value.clone(), slice));
                }
            }
            _ => {}
        }
    }
    planned
}

/// What is wrong with what stands, one line each.
pub fn faults(prefix: &str, stands: &BTreeMap<String, KeyValue>) -> Vec<String> {
    let layout = Layout::new(prefix);
    let mut faults = Vec::new();
    let mut slices: BTreeMap<usize, (bool, bool)> = BTreeMap::new();
    for (key, pair) in stands {
        match layout.place(key) {
            None => faults.push(format!("{key}: nobody here writes such a key")),
            Some(KeyLocation::Line(slice)) => {
                slices.entry(slice).or_default().0 = true;
                match read::<Line>(&pair.value) {
                    Err(e) => faults.push(format!("{key}: can't be read: {e}")),
                    Ok(line) if line.server.is_none() => {
                        faults.push(format!("{key}: the slice is shut"))
                    }
                    Ok(_) => {}
                }
            }
            Some(KeyLocation::Charge(slice)) => {
                slices.entry(slice).or_default().1 = true;
                if pair.lease.is_none() {
                    faults.push(format!("{key}: held without a lease, so for good"));
                }
            }
            Some(KeyLocation::Levels(_)) => {
                if let Err(e) = read::<Levels>(&pair.value) {
                    faults.push(format!("{key}: can't be read: {e}"));
                }
            }
            Some(KeyLocation::Forwarder(_) | KeyLocation::Assigner(_)) if pair.lease.is_none() => {
                faults.push(format!("{key}: there without a lease, so for good"));
            }
            Some(_) => {}
        }
    }
    for (slice, (line, charge)) in slices {
        if !line {
            faults.push(format!("slice {slice}: no line"));
        }
        if !charge {
            faults.push(format!("slice {slice}: in nobody's charge"));
        }
    }
    faults
}
